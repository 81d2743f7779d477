/* The world of fuzz-account-parts.c: owners of pools that divide caps, workers and messages. */
#pragma once

#include "fb-event.h"
#include "internal/account-parts.h"
#include "internal/codec.h"

#define SERVICES_N 3
#define WORKERS_N 2
#define ACCOUNTS_N 4
#define TROUBLED_MS 30000
#define CALM_MS 20000
/* Time after the last fault until all leases have ended, and jobs no longer come. */
#define SETTLED_MS 8000
#define LAST_JOB_MS 13000
#define STEP_MS 10
/* A configuration reaches all owners within CONFIG_MS, and the rules allow it CONFIG_MAX_MS. */
#define CONFIG_MS 2000
#define CONFIG_MAX_MS 3000
/* An account under half of its cap may wait for this long in a calm world. */
#define WAIT_MAX_MS 3000
#define LEASE_MS 6000
#define WALL_MS 1700000000000ULL

typedef struct
{
  char *task;
  guint account;
  uint32_t attempt;
  int64_t cpu_milli;
  uint64_t ends_ms;
} Run;

typedef struct
{
  char *id;
  uint64_t epoch;  /* highest seen */
  GPtrArray *runs; /* of Run */
  GArray *ends;    /* of FbReportedEnd */
  uint64_t last_end;
  uint64_t lease_ms;     /* until when its runs may go on */
  uint64_t cut_until_ms; /* unreachable, and runs on */
} Worker;

typedef struct _World World;

typedef struct
{
  World *world;
  guint service;
  uint64_t epoch;
  FbPool *pool;
  FbAccountParts *parts;
  uint64_t frozen_until_ms;
  uint64_t config_ms; /* when it reads the newest configuration */
  gboolean replaced;
  uint64_t gone_ms; /* a replaced owner acts on until then */
} Owner;

typedef struct
{
  char id[17];
  guint service;
  guint account;
  fb_work_admit record;
  fb_work_step step;
  uint64_t stored_ms;
} Job;

typedef enum
{
  EVENT_START,
  EVENT_START_ANSWER,
  EVENT_POLL,
  EVENT_POLL_ANSWER,
  EVENT_STOP,
  EVENT_PARTS,
  EVENT_PARTS_REPLY
} EventKind;

typedef struct
{
  EventKind kind;
  uint64_t due_ms;
  uint64_t number;
  guint service;  /* of the owner that it comes from or goes to */
  uint64_t epoch; /* of that owner */
  Worker *worker;
  char *task;
  uint32_t attempt;
  uint64_t order;
  uint64_t deadline_ms;
  uint64_t acknowledged;
  FbOrderResult result;
  guint coordinator;
  fb_account_parts_request request; /* owned copies */
  fb_account_grants_reply reply;
  gboolean answered;
} Event;

struct _World
{
  GRand *rand;
  uint64_t now_ms;
  uint64_t events_n;
  GList *events; /* of Event, by due time */
  Worker workers[SERVICES_N][WORKERS_N];
  Owner *owners[SERVICES_N]; /* the present ones */
  GPtrArray *replaced;       /* of Owner */
  GPtrArray *jobs;           /* of Job */
  GHashTable *progress;      /* job -> GBytes */
  FbAccount accounts[ACCOUNTS_N];
  int64_t previous_cap[ACCOUNTS_N]; /* in force beside the present one until CHANGED_MS */
  uint64_t changed_ms[ACCOUNTS_N];
  uint64_t idle_since_ms[ACCOUNTS_N];
  GPtrArray *services;
  gboolean calm;
  guint starts_n;
  char *fault;
};

/* account-world.c */

gboolean account_world_chance (World *world, double share);
void account_world_fail (World *world, const char *format, ...);
Event *account_world_schedule (World *world, EventKind kind, const Owner *owner);
void account_world_post (World *world, Event *event);
Owner *account_world_owner (const World *world, guint service, uint64_t epoch);
gboolean account_world_is_frozen (const World *world, const Owner *owner);
void account_world_run_events (World *world);

/* account-world-owners.c */

Owner *account_world_owner_new (World *world, guint service, uint64_t epoch);
void account_world_owner_free (gpointer data);
void account_world_replace_owner (World *world, guint service);
void account_world_run_owner (Owner *owner);

/* account-world-workers.c */

int64_t account_world_running (World *world, guint account);
void account_world_run_free (gpointer data);
void account_world_end_run (Worker *worker, Run *run, FbEndReason reason);
void account_world_start (World *world, const Event *event);
void account_world_stop (World *world, const Event *event);
void account_world_poll (World *world, const Event *event);
void account_world_poll_answered (World *world, Owner *owner, const Event *event);

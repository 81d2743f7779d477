/* Feeds work straight to the real decision code under a fake clock.
 *
 * A load driver, not a cluster simulator: racks, ranges and the router are the
 * product's own and call each other directly; a worker here is a list of runs
 * that end when their time is up.  There is no network, log, daemon or fault but
 * what a scenario does to workers. */
#pragma once

#include "internal/place.h"
#include "internal/router.h"

#define BENCH_LOAD_MAX 16

typedef struct
{
  char *name;
  uint32_t partner;
  FbKind kind;
  uint32_t flags;
  fb_res demand;
  uint32_t tasks;
  double jobs_per_s;
  uint64_t from_ms;  /* when it begins */
  uint64_t until_ms; /* and ends */
  uint64_t run_ms;
  uint64_t deadline_ms; /* 0 for none */
} BenchLoad;

typedef struct
{
  char *name;
  uint32_t racks_small; /* 5 hosts of 16 cores and 32 GB, of partner 0 */
  uint32_t racks_large; /* 5 hosts of 64 cores and 256 GB, of partner 1 */
  uint32_t racks_accel; /* 3 hosts of 64 cores, 256 GB and 8 accelerators, of both */
  uint64_t seconds;
  uint32_t seed;
  uint32_t ranges;           /* each routes by its own picture */
  uint64_t summary_ms;       /* age of that picture */
  uint32_t usage_percent;    /* what runs really use, of what they declare */
  uint32_t bad_workers;      /* fail all that they start */
  uint64_t cancel_at_ms;     /* all open batch jobs are cancelled, 0: never */
  uint64_t lose_rack_at_ms;  /* one rack's owner is replaced, 0: never */
  uint32_t churn_per_minute; /* hosts restarted */
  uint32_t lend_milli;
  BenchLoad loads[BENCH_LOAD_MAX];
  guint load_n;
} BenchScenario;

typedef struct
{
  guint asked;
  guint started;
  guint not_run;
  guint failed;
  uint32_t p50_ms;
  uint32_t p99_ms;
  uint32_t max_ms;
} BenchClass;

typedef struct
{
  BenchClass classes[BENCH_LOAD_MAX];
  double cpu_reserved; /* of all, average over time */
  double accel_held;
  double accel_bound; /* fractional relaxation, computed apart */
  guint64 placements;
  guint64 routed;
  guint64 refused;
  guint64 preempted;
  double cpu_us_per_placement;
  double bytes_per_task;
} BenchResult;

/* POLICY NULL keeps the product's. */
BenchResult bench_run (const BenchScenario *scenario, const FbPlacePolicy *place,
                       const FbRoutePolicy *route);

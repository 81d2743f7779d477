/* Internal definitions of the HTTP front end for callers. */
#pragma once

#include "frontend.h"

#include "fb-event.h"

#include "src/entry/entry-private.h"

#define FB_NO_SUCH_JOB_BODY "{\"error\":\"no such job\"}"

/* One HTTP request of a caller; talloc context of its strings. */
typedef struct
{
  FbEntryDaemon *entry;
  SoupServerMessage *message;
  char *job;
  char *queue;
  char *queue_service;    /* to which the queue is directed */
  char *service;          /* whose owner is asked */
  GPtrArray *services;    /* of char *, other services to be asked; NULL: not known */
  GPtrArray *without_job; /* of char *, services that do not have the job that is cancelled */
  uint32_t pending;       /* sum of the services that were asked */
  char *account;          /* the caller's client account; "" on a route that needs no key */
  char *key;              /* key of the record to store */
  GBytes *value;
  GByteArray *records; /* the record, encoded; also sent to peers */
  GPtrArray *tried;    /* addresses of peers that have been tried for storing the record */
  gboolean in_doubt;   /* an unanswered call may have stored the record */
  gboolean appended;   /* this daemon has tried to append the record itself */
  uint32_t partition;
  uint64_t received_ms;
  uint64_t store_began_ms; /* time at which storing the record began */
  gboolean is_delete;
  gboolean has_no_job; /* the cancel is of a job that no service has */
  /* The route of the cancel is not in the configuration of this daemon. */
  gboolean route_is_not_in_force;
} FbFrontendRequest;

/* Answers the caller and frees REQUEST. */
void fb_entry_frontend_finish (FbFrontendRequest *request, guint status, const char *body);
/* Stores VALUE (borrowed), answers the caller and frees REQUEST.  KIND: first letter of the
 * record's key, FB_KEY_JOB or FB_KEY_CANCEL. */
void fb_entry_frontend_store (FbFrontendRequest *request, char kind, GBytes *value);
/* Stores a cancel with the next of the services that do not have the job, of which there is one;
 * answers the caller after the last of them and frees REQUEST. */
void fb_entry_frontend_store_next_cancel (FbFrontendRequest *request);
/* Logs EVENT about the job of REQUEST; HOW: why or by which way. */
void fb_entry_frontend_log (const FbFrontendRequest *request, FbEvent event, const char *how);

/* frontend-admission.c */

typedef enum
{
  FB_ADMISSION_STORE,
  FB_ADMISSION_KNOWN, /* it is stored already */
  FB_ADMISSION_REFUSE
} FbAdmissionAnswer;

/* Returns: TRUE when the owner of the pool of SERVICE has to be asked before JOB is stored; sets
 * EPOCH to that of the owner. */
gboolean fb_entry_frontend_must_ask (const FbLoadNotices *notices, FbRecentAppends *recent_appends,
                                     const char *service, const char *job, const fb_work_spec *spec,
                                     uint64_t now_ms, uint64_t *epoch);
/* Returns: what to do with JOB.  REPLY: the owner's answer; NULL: it gave none. */
FbAdmissionAnswer fb_entry_frontend_admission_answer (FbRecentAppends *recent_appends,
                                                      const char *job,
                                                      const fb_admission_reply *reply,
                                                      uint64_t now_ms);
/* Asks the owner; then stores VALUE (borrowed), the record of ADMIT, or refuses the caller, answers
 * it and frees REQUEST. */
void fb_entry_frontend_ask (FbFrontendRequest *request, const fb_work_admit *admit, GBytes *value,
                            uint64_t epoch);

/* Internal definitions of the HTTP front end for callers. */
#pragma once

#include "frontend.h"

#include "src/entry/entry-private.h"

/* One HTTP request of a caller; talloc context of its strings. */
typedef struct
{
  FbEntryDaemon *entry;
  SoupServerMessage *message;
  char *job;
  char *queue;
  char *service;
  char *account; /* the caller's client account; "" on a route that needs no key */
  char *key;     /* key of the record to store */
  GBytes *value;
  GByteArray *records; /* the record, encoded; also sent to peers */
  GPtrArray *tried;    /* addresses of peers that have been tried for storing the record */
  gboolean in_doubt;   /* an unanswered call may have stored the record */
  gboolean appended;   /* this daemon has tried to append the record itself */
  uint32_t partition;
  uint64_t received_ms;
  uint64_t store_began_ms; /* time at which storing the record began */
  gboolean is_delete;
} FbFrontendRequest;

/* Answers the caller and frees REQUEST. */
void fb_entry_frontend_finish (FbFrontendRequest *request, guint status, const char *body);
/* Stores VALUE (borrowed), answers the caller and frees REQUEST.  KIND: first letter of the
 * record's key, FB_KEY_JOB or FB_KEY_CANCEL. */
void fb_entry_frontend_store (FbFrontendRequest *request, char kind, GBytes *value);

/* A call of a caller, for the files of the front only. */
#pragma once

#include "front.h"

#include "src/entry/entry-private.h"

/* One call of a caller; the arena of all that it needs. */
typedef struct
{
  FbEntry *entry;
  SoupServerMessage *message;
  char *job;
  char *queue;
  char *service;
  char *key; /* of the record that is to be stored */
  GBytes *value;
  GByteArray *records; /* the same, encoded; kept for a peer */
  GPtrArray *asked;    /* addresses of peers that were asked to store it */
  gboolean in_doubt;   /* a call that may have stored it got no answer */
  uint32_t partition;
  uint64_t since_ms;
  uint64_t stored_since_ms; /* when storing began */
  gboolean is_delete;
} FbFrontRequest;

/* Answers the caller and frees REQUEST. */
void fb_front_finish (FbFrontRequest *request, guint status, const char *body);
/* Stores VALUE (borrowed) and answers the caller; KIND is the first letter of the record's
 * key.  REQUEST is freed when that is done. */
void fb_front_store (FbFrontRequest *request, char kind, GBytes *value);

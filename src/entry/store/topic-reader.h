/* Reads one partition of a keyed topic: the newest record of each key, then each later record. */
#pragma once

#include "platform/wire.h"

typedef struct _FbEntryDaemon FbEntryDaemon;
typedef struct _FbTopicReader FbTopicReader;

typedef struct
{
  /* A full listing begins; keys that it does not contain do not exist any more. */
  void (*begin) (gpointer user);
  void (*record) (gpointer user, const FbStoreRecord *record);
  /* The listing is complete; later records follow as they are stored. */
  void (*listed) (gpointer user);
} FbTopicReaderOps;

/* PAUSE_MS: pause between a page of changes and the next poll. */
FbTopicReader *fb_topic_reader_new (FbEntryDaemon *entry, const char *topic, uint32_t partition,
                                    uint32_t pause_ms, const FbTopicReaderOps *ops, gpointer user);
void fb_topic_reader_free (FbTopicReader *self);
/* Skips the pause before the next poll. */
void fb_topic_reader_skip_pause (FbTopicReader *self);
/* Asks the store at once whether there are records that were not read yet.  If there are none,
 * fb_topic_reader_synced_ms() becomes the time of this call. */
void fb_topic_reader_check (FbTopicReader *self);
/* Sets for how long the store may delay its answer while there is nothing new. */
void fb_topic_reader_set_wait (FbTopicReader *self, uint32_t wait_ms);
/* While SUSPENDED, nothing is read after the call that is open, unless a listing is in progress. */
void fb_topic_reader_set_suspended (FbTopicReader *self, gboolean suspended);
gboolean fb_topic_reader_is_suspended (const FbTopicReader *self);
/* Returns: TRUE when the last call has failed and none has been answered since. */
gboolean fb_topic_reader_has_failed (const FbTopicReader *self);
/* Returns: the time at which the last answered read was sent: every record that was stored before
 * then has been read; 0 while the first listing is incomplete. */
uint64_t fb_topic_reader_synced_ms (const FbTopicReader *self);
/* Returns: the offset up to which records have been read; meaningless while the first listing is
 * incomplete. */
uint64_t fb_topic_reader_next_offset (const FbTopicReader *self);

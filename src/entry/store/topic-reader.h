/* Follows one partition of a keyed topic: the newest record of each key, then each change. */
#pragma once

#include "platform/wire.h"

typedef struct _FbEntry FbEntry;
typedef struct _FbTopicReader FbTopicReader;

typedef struct
{
  /* A full listing begins; what it does not pass is gone. */
  void (*begin) (gpointer user);
  void (*record) (gpointer user, const FbStoreRecord *record);
  /* The listing is complete; changes follow. */
  void (*listed) (gpointer user);
} FbTopicReaderOps;

/* PAUSE_MS lies between a page of changes and the next poll. */
FbTopicReader *fb_topic_reader_new (FbEntry *entry, const char *topic, uint32_t partition,
                                    uint32_t pause_ms, const FbTopicReaderOps *ops, gpointer user);
void fb_topic_reader_free (FbTopicReader *self);
/* Reads now what it would read after its pause. */
void fb_topic_reader_read_now (FbTopicReader *self);
/* When the last answered read was sent: everything stored before is known.  0
 * while the first listing is open. */
uint64_t fb_topic_reader_fresh_ms (const FbTopicReader *self);

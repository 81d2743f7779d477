/* Group commit to one partition of a topic. */
#pragma once

#include "platform/wire.h"

typedef struct _FbEntry FbEntry;
typedef struct _FbAppender FbAppender;

typedef void (*FbAppended) (gpointer user, FbAppendResult result);

/* WRITER of NULL: beside the writer in force, repeated only to resolve doubt.
 * Else repeated until it is stored or refused for good. */
FbAppender *fb_appender_new (FbEntry *entry, const char *topic, uint32_t partition,
                             const char *writer, uint64_t epoch);
void fb_appender_free (FbAppender *self);
/* Takes over RECORDS, already encoded.  DONE is called once unless the appender is
 * freed; not later than GIVE_UP_MS when there is no writer. */
void fb_appender_put (FbAppender *self, GByteArray *records, uint64_t give_up_ms, FbAppended done,
                      gpointer user);

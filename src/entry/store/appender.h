/* Group commit to one partition of a topic. */
#pragma once

#include "platform/wire.h"

typedef struct _FbEntryDaemon FbEntryDaemon;
typedef struct _FbAppender FbAppender;

typedef void (*FbAppendDone) (gpointer user, FbAppendResult result);

/* WRITER: name under which appends are fenced; each call is repeated until it is stored or finally
 * rejected.  NULL: no fencing; a call is repeated only while its outcome is unknown. */
FbAppender *fb_appender_new (FbEntryDaemon *entry, const char *topic, uint32_t partition,
                             const char *writer, uint64_t epoch);
void fb_appender_free (FbAppender *self);
/* Appends RECORDS (transfer full), which are encoded, all or none of them.  DONE is called once
 * unless the appender is freed; FB_APPEND_INVALID: the store does not accept RECORDS.  Without a
 * writer, a call of unknown outcome is not repeated after the latest RETRY_UNTIL_MS of its records.
 */
void fb_appender_put (FbAppender *self, GByteArray *records, uint64_t retry_until_ms,
                      FbAppendDone done, gpointer user);

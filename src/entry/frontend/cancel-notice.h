/* Notices of stored cancels to the owners of their jobs. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntryDaemon FbEntryDaemon;

/* Notifies the owner of PARTITION of a cancel, stored as VALUE under KEY, and repeats the notice
 * until the owner has applied it, for some seconds at most. */
void fb_cancel_notice_send (FbEntryDaemon *entry, uint32_t partition, const char *key,
                            GBytes *value);

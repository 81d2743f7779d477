/* A fake of the platform's log: streams of records with offsets and a retention time. */
#pragma once

#include "internal/node.h"

typedef struct _WorldLog WorldLog;

WorldLog *world_log_new (uint64_t retention_ms);
void world_log_free (WorldLog *self);
uint64_t world_log_append (WorldLog *self, uint64_t now_ms, uint32_t stream, GBytes *data);
/* Appends the retained records from offset FROM on to RECORDS, at most one page; their data is
 * borrowed.  Returns: TRUE when the end of the stream is reached. */
gboolean world_log_read (WorldLog *self, uint64_t now_ms, uint32_t stream, uint64_t from,
                         uint64_t *first_retained, GArray *records);
/* Returns: the time by the log's clock, which differs from that of the nodes. */
uint64_t world_log_clock_ms (uint64_t now_ms);
void world_log_drop_expired (WorldLog *self, uint64_t now_ms);

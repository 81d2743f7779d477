/* A fake of the platform's log: streams with offsets and retention. */
#pragma once

#include "internal/node.h"

typedef struct _WorldLog WorldLog;

WorldLog *world_log_new (uint64_t retention_ms);
void world_log_free (WorldLog *self);
uint64_t world_log_append (WorldLog *self, uint64_t now_ms, uint32_t stream, GBytes *data);
/* Adds what is kept from FROM on to RECORDS (data borrowed), at most a page.
 * Returns: TRUE when that is the end. */
gboolean world_log_read (WorldLog *self, uint64_t now_ms, uint32_t stream, uint64_t from,
                         uint64_t *first_retained, GArray *records);
/* The log's own clock. */
uint64_t world_log_clock_ms (uint64_t now_ms);
void world_log_drop_old (WorldLog *self, uint64_t now_ms);

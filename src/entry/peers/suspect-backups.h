/* What owners of pools hold against tasks and could not store yet, kept for the next owner.
 *
 * A copy, which the owner takes back once the store has it; without that it goes by its age.
 * Bounded by time and number.  No I/O, clock or thread. */
#pragma once

#include "internal/pool.h"

typedef struct _FbSuspectBackups FbSuspectBackups;

FbSuspectBackups *fb_suspect_backups_new (void);
void fb_suspect_backups_free (FbSuspectBackups *self);
/* Takes what KEPT says of its job, unless that is of an earlier owner than what is kept. */
void fb_suspect_backups_put (FbSuspectBackups *self, const fb_suspects_backup *kept,
                             uint64_t now_ms);
/* Fills in TOLD, which is the caller's to xdr_free(). */
void fb_suspect_backups_list (const FbSuspectBackups *self, uint64_t now_ms,
                              fb_suspect_backups_reply *told);

/* Copies of crash suspects that owners of pools could not store yet, held for the next owner.
 *
 * The owner withdraws its copy once the record is stored; otherwise the copy expires.  Bounded by
 * age and number.  No I/O, clock or thread. */
#pragma once

#include "internal/pool.h"

typedef struct _FbSuspectBackups FbSuspectBackups;

FbSuspectBackups *fb_suspect_backups_new (void);
void fb_suspect_backups_free (FbSuspectBackups *self);
/* Replaces the copy of BACKUP's job unless the existing copy is from a later owner. */
void fb_suspect_backups_put (FbSuspectBackups *self, const fb_suspects_backup *backup,
                             uint64_t now_ms);
/* Fills in PEER_REPLY with all copies; the caller frees it with xdr_free(). */
void fb_suspect_backups_list (const FbSuspectBackups *self, uint64_t now_ms,
                              fb_suspect_backups_reply *peer_reply);

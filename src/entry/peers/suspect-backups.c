#include "suspect-backups.h"

#include "internal/codec.h"

#include <stdlib.h>
#include <string.h>

/* Maximum age of a copy.  An outage of the store lasts some tens of seconds; an owner that still
 * exists sends changes again. */
#define BACKUP_MAX_AGE_MS 60000
/* Size of the copies in one reply; the rest of a message is for the ids of their jobs. */
#define REPLY_MAX_BYTES (FB_CODEC_RECORD_MAX_BYTES / 16 * 15)

typedef struct
{
  uint64_t epoch;
  uint64_t received_ms;
  GBytes *suspects;
} Backup;

struct _FbSuspectBackups
{
  GHashTable *jobs; /* id -> Backup */
};

static void
backup_free (gpointer data)
{
  Backup *backup = data;
  g_bytes_unref (backup->suspects);
  g_free (backup);
}

FbSuspectBackups *
fb_suspect_backups_new (void)
{
  FbSuspectBackups *self = g_new0 (FbSuspectBackups, 1);
  self->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, backup_free);
  return self;
}

void
fb_suspect_backups_free (FbSuspectBackups *self)
{
  g_hash_table_unref (self->jobs);
  g_free (self);
}

static gboolean
has_expired (const Backup *backup, uint64_t now_ms)
{
  return now_ms >= backup->received_ms + BACKUP_MAX_AGE_MS;
}

static gboolean
is_expired_entry (gpointer id, gpointer backup, gpointer now_ms)
{
  (void) id;
  return has_expired (backup, *(const uint64_t *) now_ms);
}

void
fb_suspect_backups_put (FbSuspectBackups *self, const fb_suspects_backup *backup, uint64_t now_ms)
{
  const Backup *previous = g_hash_table_lookup (self->jobs, backup->job);
  if (previous != NULL && previous->epoch > backup->epoch)
    return;
  g_hash_table_foreach_remove (self->jobs, is_expired_entry, &now_ms);
  gboolean is_empty = backup->suspects.tasks.tasks_len == 0;
  GBytes *suspects = is_empty ? NULL : fb_codec_encode_suspects (&backup->suspects);
  if (suspects == NULL && !is_empty)
    return;
  g_hash_table_remove (self->jobs, backup->job);
  if (is_empty)
    return;
  if (g_hash_table_size (self->jobs) >= FB_WORK_MAX_SUSPECT_BACKUPS)
    {
      g_bytes_unref (suspects);
      return;
    }
  Backup *copy = g_new0 (Backup, 1);
  copy->epoch = backup->epoch;
  copy->received_ms = now_ms;
  copy->suspects = suspects;
  g_hash_table_insert (self->jobs, g_strdup (backup->job), copy);
}

void
fb_suspect_backups_list (const FbSuspectBackups *self, uint64_t now_ms,
                         fb_suspect_backups_reply *peer_reply)
{
  peer_reply->jobs.jobs_val
      = calloc (g_hash_table_size (self->jobs) + 1, sizeof (fb_suspects_backup));
  peer_reply->jobs.jobs_len = 0;
  gsize left_bytes = REPLY_MAX_BYTES;
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const Backup *backup = value;
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (backup->suspects, &len);
      fb_suspects_backup *job = &peer_reply->jobs.jobs_val[peer_reply->jobs.jobs_len];
      /* A reply that is too large would lose the copies of all jobs. */
      if (has_expired (backup, now_ms) || g_bytes_get_size (backup->suspects) > left_bytes
          || !fb_codec_decode_suspects (data, len, &job->suspects))
        continue;
      left_bytes -= g_bytes_get_size (backup->suspects);
      job->job = strdup (id);
      job->epoch = backup->epoch;
      peer_reply->jobs.jobs_len++;
    }
}

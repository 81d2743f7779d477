#include "suspect-backups.h"

#include "internal/codec.h"

#include <stdlib.h>
#include <string.h>

/* A store is away for some tens of seconds; an owner that lives hands over what is new again. */
#define KEPT_MS 60000

typedef struct
{
  uint64_t epoch;
  uint64_t taken_ms;
  GBytes *suspects;
} Kept;

struct _FbSuspectBackups
{
  GHashTable *jobs; /* id -> Kept */
};

static void
kept_free (gpointer data)
{
  Kept *kept = data;
  g_bytes_unref (kept->suspects);
  g_free (kept);
}

FbSuspectBackups *
fb_suspect_backups_new (void)
{
  FbSuspectBackups *self = g_new0 (FbSuspectBackups, 1);
  self->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, kept_free);
  return self;
}

void
fb_suspect_backups_free (FbSuspectBackups *self)
{
  g_hash_table_unref (self->jobs);
  g_free (self);
}

static gboolean
is_old (const Kept *kept, uint64_t now_ms)
{
  return now_ms >= kept->taken_ms + KEPT_MS;
}

static gboolean
drop_if_old (gpointer id, gpointer kept, gpointer now_ms)
{
  (void) id;
  return is_old (kept, *(const uint64_t *) now_ms);
}

void
fb_suspect_backups_put (FbSuspectBackups *self, const fb_suspects_backup *kept, uint64_t now_ms)
{
  const Kept *before = g_hash_table_lookup (self->jobs, kept->job);
  if (before != NULL && before->epoch > kept->epoch)
    return;
  g_hash_table_foreach_remove (self->jobs, drop_if_old, &now_ms);
  g_hash_table_remove (self->jobs, kept->job);
  if (kept->suspects.tasks.tasks_len == 0
      || g_hash_table_size (self->jobs) >= FB_WORK_MAX_SUSPECT_BACKUPS)
    return;
  GBytes *suspects = fb_codec_encode_suspects (&kept->suspects);
  if (suspects == NULL)
    return;
  Kept *copy = g_new0 (Kept, 1);
  copy->epoch = kept->epoch;
  copy->taken_ms = now_ms;
  copy->suspects = suspects;
  g_hash_table_insert (self->jobs, g_strdup (kept->job), copy);
}

void
fb_suspect_backups_list (const FbSuspectBackups *self, uint64_t now_ms,
                         fb_suspect_backups_reply *told)
{
  told->jobs.jobs_val = calloc (g_hash_table_size (self->jobs) + 1, sizeof (fb_suspects_backup));
  told->jobs.jobs_len = 0;
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const Kept *kept = value;
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (kept->suspects, &len);
      fb_suspects_backup *job = &told->jobs.jobs_val[told->jobs.jobs_len];
      if (is_old (kept, now_ms) || !fb_codec_decode_suspects (data, len, &job->suspects))
        continue;
      job->job = strdup (id);
      job->epoch = kept->epoch;
      told->jobs.jobs_len++;
    }
}

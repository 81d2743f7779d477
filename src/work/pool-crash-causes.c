/* Number of tasks that may have caused each crash.
 *
 * A task whose crashes were cleared, because a later run ended or lasted without crashing its
 * worker, did not cause the crash. Once only one possible cause is left, the crash counts as if
 * that task had been alone on the worker. */
#include "internal/pool-crash.h"

GHashTable *
fb_pool_crash_causes_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

static guint
cause_count (const FbPool *self, uint64_t worker)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (self->crash_causes, &worker));
}

void
fb_pool_crash_cause_add (FbPool *self, uint64_t worker)
{
  uint64_t *key = g_new (uint64_t, 1);
  *key = worker;
  g_hash_table_insert (self->crash_causes, key, GUINT_TO_POINTER (cause_count (self, worker) + 1));
}

void
fb_pool_crash_cause_drop (FbPool *self, uint64_t worker)
{
  guint n = cause_count (self, worker);
  if (n <= 1)
    {
      g_hash_table_remove (self->crash_causes, &worker);
      return;
    }
  uint64_t *key = g_new (uint64_t, 1);
  *key = worker;
  g_hash_table_insert (self->crash_causes, key, GUINT_TO_POINTER (n - 1));
}

gboolean
fb_pool_crash_has_one_cause (const FbPool *self, uint64_t worker)
{
  return cause_count (self, worker) == 1;
}

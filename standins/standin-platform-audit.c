/* What really ran on the workers, and what of it must never be. */
#include "standin-platform.h"

#include <string.h>

/* Workers that a task may crash before STARTS_MOST more of its starts are too many. */
#define CRASHES_MOST 3
#define STARTS_MOST 3

/* What became of a task that crashes its workers. */
typedef struct
{
  guint crashes;
  guint starts_after;
} Crasher;

static GHashTable *done_tasks;   /* task -> number of its ends that count */
static GHashTable *started_jobs; /* set of ids */
static GHashTable *crashers;     /* task -> Crasher */
static guint crashes;
static guint started;
static guint doubled;
static guint over_capacity;
static guint started_too_often;
static guint64 newest_epoch;
static guint epochs; /* that workers have taken orders under */

void
sp_audit_init (void)
{
  done_tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  started_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  crashers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
sp_audit_start (const char *task, guint running, gboolean fits)
{
  gboolean is_done = g_hash_table_contains (done_tasks, task);
  if (running > 0 || is_done)
    g_debug ("DOUBLED %s: %u run, %s", task, running, is_done ? "it is done" : "not done");
  doubled += running + is_done;
  over_capacity += !fits;
  Crasher *crasher = g_hash_table_lookup (crashers, task);
  if (crasher != NULL && crasher->crashes >= CRASHES_MOST)
    started_too_often += ++crasher->starts_after == STARTS_MOST;
  started++;
  g_hash_table_add (started_jobs, g_strndup (task, strcspn (task, ".")));
}

static guint
done_n (const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (done_tasks, task));
}

void
sp_audit_done (const char *task)
{
  g_hash_table_replace (done_tasks, g_strdup (task), GUINT_TO_POINTER (done_n (task) + 1));
}

void
sp_audit_forget_done (const char *task)
{
  if (done_n (task) > 1)
    g_hash_table_replace (done_tasks, g_strdup (task), GUINT_TO_POINTER (done_n (task) - 1));
  else
    g_hash_table_remove (done_tasks, task);
}

guint
sp_audit_crash (const char *task)
{
  Crasher *crasher = g_hash_table_lookup (crashers, task);
  if (crasher == NULL)
    {
      crasher = g_new0 (Crasher, 1);
      g_hash_table_insert (crashers, g_strdup (task), crasher);
    }
  crasher->crashes++;
  return ++crashes;
}

void
sp_audit_order (guint64 token)
{
  epochs += token > newest_epoch;
  newest_epoch = MAX (newest_epoch, token);
}

gboolean
sp_audit_job_started (const char *job)
{
  return g_hash_table_contains (started_jobs, job);
}

char *
sp_audit_text (void)
{
  return g_strdup_printf ("{\"started\":%u,\"done\":%u,\"doubled\":%u,\"over-capacity\":%u,"
                          "\"epochs\":%u,\"crashes\":%u,"
                          "\"started-too-often\":%u}",
                          started, g_hash_table_size (done_tasks), doubled, over_capacity, epochs,
                          crashes, started_too_often);
}

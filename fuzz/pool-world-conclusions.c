/* Compares what the owner of a pool concludes of workers and runs with what the workers have.
 *
 * The pool logs each conclusion with its proof.  One that the state of the workers contradicts is a
 * violation, also if no task runs twice.  The margin of a conclusion is the time since it has been
 * true. */
#include "pool-world.h"

#include "fb-event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static World *observed;     /* NULL: conclusions are not checked */
static GHashTable *margins; /* guard -> GArray of int64_t; NULL: they are not kept */

/* ---- margins ------------------------------------------------------------------------- */

static void
add_margin (const char *guard, int64_t margin_ms)
{
  if (margins == NULL)
    return;
  GArray *values = g_hash_table_lookup (margins, guard);
  if (values == NULL)
    {
      values = g_array_new (FALSE, FALSE, sizeof (int64_t));
      g_hash_table_insert (margins, g_strdup (guard), values);
    }
  g_array_append_val (values, margin_ms);
}

static gint
compare_margins (gconstpointer a, gconstpointer b)
{
  int64_t first = *(const int64_t *) a;
  int64_t second = *(const int64_t *) b;
  return (first > second) - (first < second);
}

void
world_conclusions_keep_margins (void)
{
  margins = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_array_unref);
}

void
world_conclusions_print_margins (void)
{
  if (margins == NULL)
    return;
  g_autoptr (GList) guards = g_list_sort (g_hash_table_get_keys (margins), (GCompareFunc) strcmp);
  for (const GList *l = guards; l != NULL; l = l->next)
    {
      GArray *values = g_hash_table_lookup (margins, l->data);
      g_array_sort (values, compare_margins);
      const int64_t *sorted = (const int64_t *) (const void *) values->data;
      printf ("%s: %u, least %d ms, p1 %d ms, p50 %d ms\n", (const char *) l->data, values->len,
              (int) sorted[0], (int) sorted[values->len / 100], (int) sorted[values->len / 2]);
    }
  g_clear_pointer (&margins, g_hash_table_unref);
}

/* ---- what the workers have ----------------------------------------------------------- */

static char *
run_key (const char *place, const char *task, guint attempt)
{
  return g_strdup_printf ("%s %s %u", place, task, attempt);
}

/* Returns: the key of a run on WORKER, the same for all its incarnations. */
static char *
run_key_at (const World *world, const Worker *worker, const char *task, guint attempt)
{
  char place[8];
  g_snprintf (place, sizeof place, "w%u", (guint) (worker - world->workers));
  return run_key (place, task, attempt);
}

static void
set_run_end (World *world, const Worker *worker, const char *task, guint attempt, uint64_t end_ms)
{
  g_hash_table_replace (world->run_ends, run_key_at (world, worker, task, attempt),
                        g_memdup2 (&end_ms, sizeof end_ms));
}

void
world_conclusions_run_started (World *world, const Worker *worker, const Run *run)
{
  if (observed != world)
    return;
  g_autofree char *name = world_worker_name (world, worker);
  g_autofree char *key = run_key (name, run->task, run->attempt);
  const char *proof = g_hash_table_lookup (world->starts_over, key);
  if (proof != NULL)
    world_report_violation (world, "%s, attempt %u, starts on %s although it never would: %s",
                            run->task, run->attempt, name, proof);
  set_run_end (world, worker, run->task, run->attempt, G_MAXUINT64);
}

void
world_conclusions_run_ended (World *world, const Worker *worker, const Run *run)
{
  if (observed == world)
    set_run_end (world, worker, run->task, run->attempt, world->now_ms);
}

/* Returns: when the lease of WORKER ends. */
static uint64_t
lease_end_ms (const Worker *worker)
{
  uint64_t lease_ms = worker->lease_until_ms - worker->clock_start_ms;
  uint64_t clock_permille = 1000 - worker->slow_permille;
  return worker->started_ms + (lease_ms * 1000 + clock_permille - 1) / clock_permille;
}

/* ---- conclusions --------------------------------------------------------------------- */

/* Returns: (transfer full) (nullable): the value of KEY in TEXT, a list of KEY=VALUE or
 * KEY="VALUE". */
static char *
value_of (const char *text, const char *key)
{
  g_autofree char *prefix = g_strdup_printf (" %s=", key);
  const char *at = strstr (text, prefix);
  if (at == NULL)
    return NULL;
  at += strlen (prefix);
  gboolean is_quoted = *at == '"';
  at += is_quoted;
  return g_strndup (at, strcspn (at, is_quoted ? "\"" : " "));
}

static void
check_lease (World *world, const Worker *worker, const char *proof)
{
  if (worker->lease_until_ms <= worker->clock_start_ms)
    return;
  int64_t margin_ms = (int64_t) world->now_ms - (int64_t) lease_end_ms (worker);
  g_autofree char *guard = g_strdup_printf ("lease ended, %s", proof);
  add_margin (guard, margin_ms);
  if (margin_ms < 0)
    world_report_violation (world, "the lease of %s is taken for ended %d ms early: %s", worker->id,
                            (int) -margin_ms, proof);
}

static void
check_worker_lost (World *world, const Worker *worker, const char *text)
{
  g_autofree char *name = world_worker_name (world, worker);
  g_autofree char *lost = value_of (text, "worker");
  g_autofree char *why = value_of (text, "why");
  g_autofree char *proof = value_of (text, "proof");
  if (!worker->up || g_strcmp0 (lost, name) != 0)
    return;
  if (g_strcmp0 (why, "lease ended") == 0)
    check_lease (world, worker, proof);
  else
    world_report_violation (world, "%s is taken for ended while it runs: %s", name, proof);
}

/* A run of TEXT on WORKER is taken for over or for never begun, as PROOF of GUARD. */
static void
check_run_over (World *world, const Worker *worker, const char *text, const char *what,
                const char *proof)
{
  g_autofree char *task = value_of (text, "task");
  g_autofree char *attempt_text = value_of (text, "attempt");
  guint attempt = (guint) atoi (attempt_text);
  g_autofree char *key = run_key_at (world, worker, task, attempt);
  const uint64_t *recorded_end_ms = g_hash_table_lookup (world->run_ends, key);
  if (recorded_end_ms == NULL)
    return;
  /* What runs on a worker that stands still is killed with its lease. */
  uint64_t end_ms = world_stops_stands_still (world, worker)
                        ? MIN (*recorded_end_ms, lease_end_ms (worker))
                        : *recorded_end_ms;
  g_autofree char *guard = g_strdup_printf ("%s, %s", what, proof);
  if (end_ms <= world->now_ms)
    add_margin (guard, (int64_t) (world->now_ms - end_ms));
  else
    world_report_violation (world, "%s, attempt %u, runs on %s and is taken for over: %s", task,
                            attempt, worker->id, guard);
}

/* The incarnation that TEXT names will not carry out a start of TEXT. */
static void
note_start_over (World *world, const char *text, const char *proof)
{
  g_autofree char *name = value_of (text, "worker");
  g_autofree char *task = value_of (text, "task");
  g_autofree char *attempt = value_of (text, "attempt");
  g_hash_table_replace (world->starts_over, run_key (name, task, (guint) atoi (attempt)),
                        g_strdup (proof));
}

static void
check (World *world, int event, const char *text)
{
  g_autofree char *epoch = value_of (text, "epoch");
  g_autofree char *name = value_of (text, "worker");
  /* What an owner concludes that has been replaced has no effect: it cannot start anything. */
  if (epoch == NULL || name == NULL || strtoull (epoch, NULL, 10) != world->store_epoch)
    return;
  const Worker *worker = &world->workers[atoi (name + 1)];
  g_autofree char *why = value_of (text, "why");
  g_autofree char *proof = value_of (text, "proof");
  g_autofree char *reason = value_of (text, "reason");
  if (event == FB_EVENT_POOL_WORKER_LOST)
    check_worker_lost (world, worker, text);
  else if (event == FB_EVENT_TASK_LOST)
    check_run_over (world, worker, text, "run lost", why);
  else if (event == FB_EVENT_RUN_ABSENT)
    {
      check_run_over (world, worker, text, "run absent", proof);
      note_start_over (world, text, proof);
    }
  else if (event == FB_EVENT_TASK_REFUSED)
    {
      check_run_over (world, worker, text, "start refused", reason);
      note_start_over (world, text, reason);
    }
}

static GLogWriterOutput
observe (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer unused)
{
  (void) unused;
  int event = 0;
  const char *message = "";
  for (gsize i = 0; i < n_fields; i++)
    {
      if (g_str_equal (fields[i].key, "FB_EVENT"))
        event = atoi (fields[i].value);
      else if (g_str_equal (fields[i].key, "MESSAGE"))
        message = fields[i].value;
    }
  if (event != 0 && observed != NULL)
    check (observed, event, message);
  if (event != 0 && observed != NULL && !observed->traced)
    return G_LOG_WRITER_HANDLED;
  return g_log_writer_default (level, fields, n_fields, NULL);
}

void
world_conclusions_begin (World *world)
{
  world->run_ends = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->starts_over = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (!world->restarts && margins == NULL)
    return;
  static gboolean is_set;
  if (!is_set)
    g_log_set_writer_func (observe, NULL, NULL);
  is_set = TRUE;
  observed = world;
  fb_event_set_quiet (FALSE);
}

void
world_conclusions_end (World *world)
{
  observed = NULL;
  g_hash_table_unref (world->run_ends);
  g_hash_table_unref (world->starts_over);
}

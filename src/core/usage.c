/* Accounting of the capacity charged to each worker, partner and team.
 *
 * Capacity is charged before a start is ordered, and released only when the worker reports the
 * end of the run or when it is proven that the run cannot be running any more. A task is charged
 * the larger of its declared and its measured usage. */
#include "internal/rack-private.h"

static uint64_t
team_key (const fb_spec *spec)
{
  return ((uint64_t) spec->partner << 32) | spec->team;
}

static fb_res *
team_used (FbRack *self, const fb_spec *spec)
{
  uint64_t key = team_key (spec);
  fb_res *used = g_hash_table_lookup (self->team_used, &key);
  if (used == NULL)
    {
      used = g_new0 (fb_res, 1);
      g_hash_table_insert (self->team_used, g_memdup2 (&key, sizeof key), used);
    }
  return used;
}

const fb_res *
fb_rack_team_used (const FbRack *self, uint32_t partner, uint32_t team)
{
  static const fb_res nothing = { { 0 } };
  uint64_t key = ((uint64_t) partner << 32) | team;
  const fb_res *used = g_hash_table_lookup (self->team_used, &key);
  return used != NULL ? used : &nothing;
}

void
fb_usage_charge (FbRack *self, FbTask *task, guint worker, const fb_res *charge)
{
  FbWorker *w = fb_rack_worker (self, worker);
  task->worker = worker;
  task->charge = *charge;
  fb_res_add (&w->used, charge);
  fb_res_add (&self->partner_used[task->spec.partner], charge);
  fb_res_add (team_used (self, &task->spec), charge);
  g_ptr_array_add (w->tasks, task);
}

void
fb_usage_release (FbRack *self, FbTask *task)
{
  if (task->worker == FB_NO_WORKER)
    return;
  FbWorker *w = fb_rack_worker (self, task->worker);
  fb_res *team = team_used (self, &task->spec);
  fb_res_sub (&w->used, &task->charge);
  fb_res_sub (&self->partner_used[task->spec.partner], &task->charge);
  fb_res_sub (team, &task->charge);
  if (fb_res_is_zero (team))
    {
      uint64_t key = team_key (&task->spec);
      g_hash_table_remove (self->team_used, &key);
    }
  g_ptr_array_remove_fast (w->tasks, task);
  task->charge = (fb_res){ { 0 } };
  task->worker = FB_NO_WORKER;
  self->schedule_pending = TRUE;
}

void
fb_usage_recharge (FbRack *self, FbTask *task, const fb_res *charge)
{
  FbWorker *w = fb_rack_worker (self, task->worker);
  fb_res *const totals[]
      = { &w->used, &self->partner_used[task->spec.partner], team_used (self, &task->spec) };
  for (guint i = 0; i < G_N_ELEMENTS (totals); i++)
    {
      fb_res_sub (totals[i], &task->charge);
      fb_res_add (totals[i], charge);
    }
  task->charge = *charge;
}

fb_res
fb_worker_free_capacity (const FbWorker *worker)
{
  fb_res free = worker->capacity;
  fb_res_sub (&free, &worker->used);
  return free;
}

gboolean
fb_worker_takes_work (const FbWorker *worker)
{
  return worker->state == FB_WORKER_OK && !worker->leaving
         && worker->confirmed_incarnation == worker->incarnation;
}

#include "internal/rack-query.h"

#include "internal/rack-private.h"

void
fb_rack_summary (const FbRack *self, fb_summary *summary)
{
  *summary = (fb_summary){ .rack = self->id, .epoch = self->epoch };
  for (guint i = 0; i < FB_WAIT_CLASS_N; i++)
    summary->waiting[i] = fb_task_queues_waiting (self->queues, self->home, (FbWaitClass) i);
  summary->complete = fb_rack_is_complete (self);
  if (self->draining)
    return;
  for (guint i = 0; i < self->workers->len; i++)
    {
      const FbWorker *w = fb_rack_worker (self, i);
      if (!fb_worker_takes_work (w) || w->quarantined)
        continue;
      fb_res free = fb_worker_free_capacity (w);
      fb_res_add (&summary->free, &free);
      for (guint r = 0; r < FB_RES_N; r++)
        summary->largest.amount[r] = MAX (summary->largest.amount[r], free.amount[r]);
    }
}

uint32_t
fb_rack_id (const FbRack *self)
{
  return self->id;
}

uint64_t
fb_rack_epoch (const FbRack *self)
{
  return self->epoch;
}

guint
fb_rack_worker_count (const FbRack *self)
{
  return self->workers->len;
}

guint
fb_rack_queue_count (const FbRack *self)
{
  return fb_task_queues_count (self->queues);
}

guint
fb_rack_unacked_count (const FbRack *self)
{
  guint n = 0;
  for (const GList *link = self->ended.head; link != NULL; link = link->next)
    n += ((const FbTask *) link->data)->acked ? 0 : 1;
  return n;
}

fb_res
fb_rack_worker_used (const FbRack *self, guint worker)
{
  return fb_rack_worker (self, worker)->used;
}

fb_res
fb_rack_worker_capacity (const FbRack *self, guint worker)
{
  return fb_rack_worker (self, worker)->capacity;
}

const char *
fb_rack_worker_name (const FbRack *self, guint worker)
{
  return worker < self->workers->len ? fb_rack_worker (self, worker)->name : "none";
}

uint64_t
fb_rack_worker_confirmed_incarnation (const FbRack *self, guint worker)
{
  return fb_rack_worker (self, worker)->confirmed_incarnation;
}

const char *
fb_rack_worker_state (const FbRack *self, guint worker)
{
  static const char *const names[] = { "unknown", "ok", "silent", "lapsed", "gone" };
  const FbWorker *w = fb_rack_worker (self, worker);
  if (w->state == FB_WORKER_OK && w->leaving)
    return "leaving";
  if (w->state == FB_WORKER_OK && w->quarantined)
    return "quarantined";
  return names[w->state];
}

static const char *
waiting_reason (const FbRack *self, const FbTask *task)
{
  gboolean fits = FALSE;
  for (guint i = 0; i < self->workers->len; i++)
    {
      const FbWorker *w = fb_rack_worker (self, i);
      fb_res free = fb_worker_free_capacity (w);
      fits = fits || (fb_worker_takes_work (w) && fb_res_fits (&task->spec.demand, &free));
    }
  if (!fits)
    return "no worker has the room";
  if (task->spec.partner != self->home)
    return "the rack lends no more, or its own partner's work goes first";
  return "its team's quota is used, or the room is kept for urgent, older or accelerator work";
}

char *
fb_rack_explain (const FbRack *self, uint64_t now_ms, const fb_run *run)
{
  const FbTask *task = fb_rack_find (self, run);
  if (task == NULL)
    return NULL;
  uint64_t waited_ms = now_ms - task->arrived_ms;
  switch (task->state)
    {
    case FB_TASK_QUEUED:
      return g_strdup_printf ("waits at rack %s for %" G_GUINT64_FORMAT " ms: %s", self->name,
                              waited_ms, waiting_reason (self, task));
    case FB_TASK_ENDED:
      return g_strdup_printf ("ended at rack %s: %s (%s)", self->name,
                              fb_run_status_name (task->run_status), fb_reason_name (task->reason));
    default:
      return g_strdup_printf ("%s on worker %s of rack %s",
                              task->state == FB_TASK_RESERVED   ? "reserved"
                              : task->state == FB_TASK_STARTING ? "ordered"
                              : task->state == FB_TASK_STOPPING ? "being stopped"
                                                                : "runs",
                              fb_rack_worker (self, task->worker)->name, self->name);
    }
}

/* Quarantine of workers that fail the work they start.
 *
 * A broken worker that fails every run at once always has free capacity and would attract all
 * work of its rack. It is recognized by failures of different jobs: after FAILURES_MAX of them in
 * a row, the worker is quarantined. It then gets one idempotent task at a time as a probe, at
 * growing intervals, until one completes.
 *
 * If no task that could serve as a probe arrives for UNPROBED_MAX_MS, the worker is restored for
 * all work, one failure short of the next quarantine; otherwise a worker that is never probed
 * would remain quarantined forever. Repeated failures of one job count once, since that job may
 * fail everywhere. At most half of the workers of a rack are quarantined: beyond that the fault is
 * more likely in the work, and a rack without usable workers is of no use. A worker that has
 * failures in a row but is not quarantined yet has a higher placement cost, most of all for the
 * job that failed there last. */
#include "internal/rack-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define FAILURES_MAX 3
#define PROBE_WAIT_MAX_MS (60 * 1000)
#define UNPROBED_MAX_MS (10 * 1000)
/* Added to placement costs of a few thousand, see place.c. */
#define FAIL_COST 1000
#define SAME_JOB_COST 100000

static guint
count_quarantined (const FbRack *self)
{
  guint n = 0;
  for (guint i = 0; i < self->workers->len; i++)
    n += fb_rack_worker (self, i)->quarantined ? 1 : 0;
  return n;
}

static void
record_failure (FbRack *self, uint64_t now_ms, FbWorker *w, uint64_t job)
{
  if (w->quarantined)
    {
      w->probe_wait_ms = MIN (w->probe_wait_ms * 2, PROBE_WAIT_MAX_MS);
      w->probe_at_ms = now_ms + w->probe_wait_ms;
      return;
    }
  if (w->fail_streak == 0 || w->last_failed_job != job)
    w->fail_streak++;
  w->last_failed_job = job;
  if (w->fail_streak < FAILURES_MAX || (count_quarantined (self) + 1) * 2 > self->workers->len)
    return;
  w->quarantined = TRUE;
  w->probe_at_ms = now_ms + w->probe_wait_ms;
  fb_counter_add (FB_COUNTER_QUARANTINES, 1);
  fb_event_log (FB_EVENT_WORKER_QUARANTINED, "rack=%s worker=%s streak=%u", self->name, w->name,
                w->fail_streak);
}

void
fb_worker_health_record_end (FbRack *self, uint64_t now_ms, guint worker, const FbTask *task,
                             FbRunStatus run_status)
{
  FbWorker *w = fb_rack_worker (self, worker);
  if (run_status == FB_RUN_STATUS_FAILED)
    {
      record_failure (self, now_ms, w, task->spec.run.job);
      return;
    }
  if (run_status != FB_RUN_STATUS_COMPLETED)
    return;
  if (w->quarantined)
    fb_event_log (FB_EVENT_WORKER_RESTORED, "rack=%s worker=%s", self->name, w->name);
  w->quarantined = FALSE;
  w->fail_streak = 0;
  w->probe_wait_ms = MAX (w->probe_wait_ms / 2, 2000);
}

int64_t
fb_worker_health_cost (const FbWorker *worker, const FbTask *task)
{
  if (worker->fail_streak == 0)
    return 0;
  /* A retry of the job prefers another worker. */
  gboolean same = worker->last_failed_job == task->spec.run.job;
  return FAIL_COST * (int64_t) worker->fail_streak + (same ? SAME_JOB_COST : 0);
}

void
fb_worker_health_record_start (FbWorker *worker, uint64_t now_ms)
{
  if (worker->quarantined)
    worker->probe_at_ms = now_ms + worker->probe_wait_ms;
}

void
fb_worker_health_tick (FbRack *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->workers->len; i++)
    {
      FbWorker *w = fb_rack_worker (self, i);
      if (!w->quarantined || now_ms < w->probe_at_ms + UNPROBED_MAX_MS)
        continue;
      w->quarantined = FALSE;
      w->fail_streak = FAILURES_MAX - 1;
      fb_event_log (FB_EVENT_WORKER_RESTORED, "rack=%s worker=%s unprobed", self->name, w->name);
    }
}

gboolean
fb_worker_health_allows (const FbRack *self, uint64_t now_ms, const FbWorker *worker,
                         const FbTask *task)
{
  (void) self;
  if (!worker->quarantined)
    return TRUE;
  return now_ms >= worker->probe_at_ms && !(task->spec.flags & FB_FLAG_AT_MOST_ONCE)
         && task->spec.kind != FB_KIND_GANG;
}

/* What is known of tasks that are to last and do not run: for how long, how their last run ended,
 * and what the next one waited for.  Who is away for longest is placed first. */
#include "internal/pool-private.h"

#include "fb-event.h"
#include "fb-histogram.h"

/* A worker's loss and a take-over beside it explain a wait of this length. */
#define LONG_WAIT_MS 5000

/* Since when nothing of a task runs, unless it was started again. */
typedef struct
{
  uint64_t over_ms; /* when its last run was known to be over; 0: no run of it was */
  const char *how;
} Away;

/* Of a step that is to last, once a run of it was over or a round found no place for it. */
struct _FbPoolLongRunning
{
  const char *waits_for; /* NULL: for nothing */
  uint64_t waits_ms;     /* since when for that */
  uint64_t began_ms;     /* since when for anything */
  uint64_t told_ms;      /* 0: nothing was told of this wait */
  Away tasks[];
};

static FbPoolLongRunning *
lasting_of (FbPoolStep *step)
{
  if (step->long_running == NULL)
    step->long_running
        = g_malloc0 (sizeof (FbPoolLongRunning) + step->shape->count * sizeof (Away));
  return step->long_running;
}

static void
forget_wait (FbPoolLongRunning *long_running)
{
  long_running->waits_for = NULL;
  long_running->told_ms = 0;
}

void
fb_pool_long_running_ended (FbPoolStep *step, uint32_t index, const char *how, uint64_t now_ms)
{
  if (!step->shape->long_running)
    return;
  FbPoolLongRunning *long_running = lasting_of (step);
  long_running->tasks[index] = (Away){ .over_ms = now_ms, .how = how };
  if (fb_pool_step_waiting_n (step) <= 1)
    forget_wait (long_running);
}

static void
tell_wait (const FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  FbPoolLongRunning *long_running = step->long_running;
  uint64_t from_ms = long_running->told_ms != 0 ? long_running->told_ms : long_running->began_ms;
  if (now_ms < from_ms + LONG_WAIT_MS)
    return;
  long_running->told_ms = now_ms;
  g_autofree char *name = fb_pool_step_name (step);
  fb_event_log (
      FB_EVENT_LASTING_WAITS,
      "step=%s tasks=%u of=%u waited_ms=%u waits_for=%s for_ms=%u epoch=%" G_GUINT64_FORMAT, name,
      fb_pool_step_waiting_n (step), step->shape->count, (guint) (now_ms - long_running->began_ms),
      long_running->waits_for, (guint) (now_ms - long_running->waits_ms), self->epoch);
}

void
fb_pool_long_running_waits (const FbPool *self, FbPoolStep *step, const char *waits_for,
                            uint64_t now_ms)
{
  if (!step->shape->long_running)
    return;
  FbPoolLongRunning *long_running = lasting_of (step);
  if (long_running->waits_for == NULL)
    long_running->began_ms = now_ms;
  if (long_running->waits_for != waits_for)
    long_running->waits_ms = now_ms;
  long_running->waits_for = waits_for;
  tell_wait (self, step, now_ms);
}

void
fb_pool_long_running_wait_over (FbPoolStep *step)
{
  if (step->long_running != NULL)
    forget_wait (step->long_running);
}

/* What task INDEX is known to be away for.  Of a job that an earlier owner had accepted, and of
 * which this one has found no run, only the time since the take-over is known. */
static Away
away_of (const FbPool *self, const FbPoolStep *step, uint32_t index)
{
  if (step->long_running != NULL && step->long_running->tasks[index].over_ms != 0)
    return step->long_running->tasks[index];
  const FbPoolJob *job = step->job;
  if (job->restored && !job->never_started && job->admitted_ms < self->began_ms)
    return (Away){ .over_ms = self->began_ms, .how = "not known" };
  return (Away){ 0 };
}

uint32_t
fb_pool_long_running_next (const FbPool *self, const FbPoolStep *step, GHashTable *but)
{
  uint32_t next = step->shape->count;
  uint64_t next_over_ms = 0;
  for (uint32_t i = step->waiting_from; i < step->shape->count; i++)
    {
      if (!fb_pool_task_waits (&step->tasks[i])
          || (but != NULL && g_hash_table_contains (but, &step->tasks[i])))
        continue;
      const Away away = away_of (self, step, i);
      uint64_t over_ms = away.over_ms != 0 ? away.over_ms : G_MAXUINT64;
      if (next == step->shape->count || over_ms < next_over_ms)
        {
          next = i;
          next_over_ms = over_ms;
        }
    }
  return next;
}

static const char *
what_it_waited_for (const FbPool *self, const FbPoolStep *step, uint64_t over_ms, uint64_t now_ms,
                    uint64_t *for_ms)
{
  const FbPoolLongRunning *long_running = step->long_running;
  if (long_running != NULL && long_running->waits_for != NULL)
    {
      *for_ms = now_ms - MAX (long_running->waits_ms, over_ms);
      return long_running->waits_for;
    }
  if (self->no_start_ms >= over_ms && self->no_start_reason != NULL)
    {
      *for_ms = self->no_start_ms - over_ms;
      return self->no_start_reason;
    }
  return "nothing";
}

void
fb_pool_long_running_started (const FbPool *self, FbPoolStep *step, const FbPoolRun *run,
                              uint64_t now_ms)
{
  if (!step->shape->long_running)
    return;
  const Away away = away_of (self, step, run->index);
  if (away.over_ms == 0)
    return;
  uint64_t for_ms = 0;
  const char *waited_for = what_it_waited_for (self, step, away.over_ms, now_ms, &for_ms);
  fb_histogram_add (FB_HISTOGRAM_LASTING_AWAY, now_ms - away.over_ms);
  fb_event_log (FB_EVENT_LASTING_RESTARTED,
                "task=%s attempt=%u away_ms=%u ended=\"%s\" waited_for=%s for_ms=%u"
                " epoch=%" G_GUINT64_FORMAT,
                run->name, run->attempt, (guint) (now_ms - away.over_ms), away.how, waited_for,
                (guint) for_ms, self->epoch);
}

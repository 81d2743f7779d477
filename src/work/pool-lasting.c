/* Interruptions of long-running tasks: for how long each task has been down, how its last run
 * ended and what its next start waited for. The task that has been down for longest is placed
 * first. */
#include "internal/pool-private.h"

#include "fb-event.h"
#include "fb-histogram.h"

/* Waits of this length are logged; the loss of a worker together with a take-over explains
 * shorter ones. */
#define LONG_WAIT_MS 5000

/* The interruption of one task; out of date once the task has been started again. */
typedef struct
{
  uint64_t over_ms; /* when its last run was known to have ended; 0: no run has ended */
  const char *how;
} Away;

/* State of a long-running step, allocated when one of its runs ends or a round cannot place it. */
struct _FbPoolLasting
{
  const char *waits_for; /* why the step is not placed: static text; NULL: it does not wait */
  uint64_t waits_ms;     /* when the step began to wait for WAITS_FOR */
  uint64_t began_ms;     /* when the step began to wait */
  uint64_t told_ms;      /* when this wait was last logged; 0: not yet */
  Away tasks[];
};

static FbPoolLasting *
lasting_of (FbPoolStep *step)
{
  if (step->lasting == NULL)
    step->lasting = g_malloc0 (sizeof (FbPoolLasting) + step->shape->count * sizeof (Away));
  return step->lasting;
}

static void
forget_wait (FbPoolLasting *lasting)
{
  lasting->waits_for = NULL;
  lasting->told_ms = 0;
}

void
fb_pool_lasting_over (FbPoolStep *step, uint32_t index, const char *how, uint64_t now_ms)
{
  if (!step->shape->lasting)
    return;
  FbPoolLasting *lasting = lasting_of (step);
  lasting->tasks[index] = (Away){ .over_ms = now_ms, .how = how };
  if (fb_pool_step_waiting_n (step) <= 1)
    forget_wait (lasting);
}

static void
tell_wait (const FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  FbPoolLasting *lasting = step->lasting;
  uint64_t from_ms = lasting->told_ms != 0 ? lasting->told_ms : lasting->began_ms;
  if (now_ms < from_ms + LONG_WAIT_MS)
    return;
  lasting->told_ms = now_ms;
  g_autofree char *name = fb_pool_step_name (step);
  fb_event_log (
      FB_EVENT_LASTING_WAITS,
      "step=%s tasks=%u of=%u waited_ms=%u waits_for=%s for_ms=%u epoch=%" G_GUINT64_FORMAT, name,
      fb_pool_step_waiting_n (step), step->shape->count, (guint) (now_ms - lasting->began_ms),
      lasting->waits_for, (guint) (now_ms - lasting->waits_ms), self->epoch);
}

void
fb_pool_lasting_waits (const FbPool *self, FbPoolStep *step, const char *waits_for, uint64_t now_ms)
{
  if (!step->shape->lasting)
    return;
  FbPoolLasting *lasting = lasting_of (step);
  if (lasting->waits_for == NULL)
    lasting->began_ms = now_ms;
  if (lasting->waits_for != waits_for)
    lasting->waits_ms = now_ms;
  lasting->waits_for = waits_for;
  tell_wait (self, step, now_ms);
}

void
fb_pool_lasting_waits_no_more (FbPoolStep *step)
{
  if (step->lasting != NULL)
    forget_wait (step->lasting);
}

/* Returns: the interruption of task INDEX. For a job that an earlier owner accepted, and of
 * which this owner has found no run, only the time since the take-over is known. */
static Away
away_of (const FbPool *self, const FbPoolStep *step, uint32_t index)
{
  if (step->lasting != NULL && step->lasting->tasks[index].over_ms != 0)
    return step->lasting->tasks[index];
  const FbPoolJob *job = step->job;
  if (job->restored && !job->untouched && job->admitted_ms < self->began_ms)
    return (Away){ .over_ms = self->began_ms, .how = "not known" };
  return (Away){ 0 };
}

uint32_t
fb_pool_lasting_next (const FbPool *self, const FbPoolStep *step, GHashTable *but)
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
  const FbPoolLasting *lasting = step->lasting;
  if (lasting != NULL && lasting->waits_for != NULL)
    {
      *for_ms = now_ms - MAX (lasting->waits_ms, over_ms);
      return lasting->waits_for;
    }
  if (self->barred_ms >= over_ms && self->barred != NULL)
    {
      *for_ms = self->barred_ms - over_ms;
      return self->barred;
    }
  return "nothing";
}

void
fb_pool_lasting_started (const FbPool *self, FbPoolStep *step, const FbPoolRun *run,
                         uint64_t now_ms)
{
  if (!step->shape->lasting)
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

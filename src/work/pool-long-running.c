/* Interruptions of long-running tasks: for how long each task has been down, how its last run ended
 * and what its next start waited for.  The task that has been down for longest is placed first. */
#include "internal/pool-private.h"

#include "fb-event.h"
#include "fb-histogram.h"

/* Waits of this length are logged; the loss of a worker together with a takeover explains shorter
 * ones. */
#define LOGGED_WAIT_MS 5000

/* The interruption of one task; out of date once the task has been started again. */
typedef struct
{
  uint64_t ended_ms; /* when its last run was known to have ended; 0: no run has ended */
  const char *outcome;
} Interruption;

/* State of a long-running step, allocated when one of its runs ends or a round cannot place it. */
struct _FbPoolLongRunning
{
  const char *reason;        /* why the step is not placed: static text; NULL: it does not wait */
  uint64_t reason_since_ms;  /* since when REASON applies */
  uint64_t waiting_since_ms; /* when the step began to wait */
  uint64_t logged_ms;        /* when this wait was last logged; 0: not yet */
  Interruption tasks[];
};

static FbPoolLongRunning *
ensure_state (FbPoolStep *step)
{
  if (step->long_running == NULL)
    step->long_running
        = g_malloc0 (sizeof (FbPoolLongRunning) + step->spec->count * sizeof (Interruption));
  return step->long_running;
}

static void
clear_wait (FbPoolLongRunning *long_running)
{
  long_running->reason = NULL;
  long_running->logged_ms = 0;
}

void
fb_pool_long_running_ended (FbPoolStep *step, uint32_t index, const char *outcome, uint64_t now_ms)
{
  if (!step->spec->long_running)
    return;
  FbPoolLongRunning *long_running = ensure_state (step);
  long_running->tasks[index] = (Interruption){ .ended_ms = now_ms, .outcome = outcome };
  if (fb_pool_step_pending_n (step) <= 1)
    clear_wait (long_running);
}

static void
log_long_wait (const FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  FbPoolLongRunning *long_running = step->long_running;
  uint64_t from_ms
      = long_running->logged_ms != 0 ? long_running->logged_ms : long_running->waiting_since_ms;
  if (now_ms < from_ms + LOGGED_WAIT_MS)
    return;
  long_running->logged_ms = now_ms;
  g_autofree char *name = fb_pool_step_name (step);
  fb_event_log (
      FB_EVENT_LASTING_WAITS,
      "step=%s tasks=%u of=%u waited_ms=%u waits_for=%s for_ms=%u epoch=%" G_GUINT64_FORMAT, name,
      fb_pool_step_pending_n (step), step->spec->count,
      (guint) (now_ms - long_running->waiting_since_ms), long_running->reason,
      (guint) (now_ms - long_running->reason_since_ms), self->epoch);
}

void
fb_pool_long_running_set_wait_reason (const FbPool *self, FbPoolStep *step, const char *reason,
                                      uint64_t now_ms)
{
  if (!step->spec->long_running)
    return;
  FbPoolLongRunning *long_running = ensure_state (step);
  if (long_running->reason == NULL)
    long_running->waiting_since_ms = now_ms;
  if (long_running->reason != reason)
    long_running->reason_since_ms = now_ms;
  long_running->reason = reason;
  log_long_wait (self, step, now_ms);
}

void
fb_pool_long_running_clear_wait (FbPoolStep *step)
{
  if (step->long_running != NULL)
    clear_wait (step->long_running);
}

/* Returns: the interruption of task INDEX.  For a job that an earlier owner accepted, and of which
 * this owner has found no run, only the time since the takeover is known. */
static Interruption
interruption_of (const FbPool *self, const FbPoolStep *step, uint32_t index)
{
  if (step->long_running != NULL && step->long_running->tasks[index].ended_ms != 0)
    return step->long_running->tasks[index];
  const FbPoolJob *job = step->job;
  if (job->restored && !job->never_started && job->admitted_ms < self->created_ms)
    return (Interruption){ .ended_ms = self->created_ms, .outcome = "not known" };
  return (Interruption){ 0 };
}

uint32_t
fb_pool_long_running_next (const FbPool *self, const FbPoolStep *step, GHashTable *skipped)
{
  uint32_t next = step->spec->count;
  uint64_t next_ended_ms = 0;
  for (uint32_t i = step->pending_from; i < step->spec->count; i++)
    {
      if (!fb_pool_task_is_pending (&step->tasks[i])
          || (skipped != NULL && g_hash_table_contains (skipped, &step->tasks[i])))
        continue;
      const Interruption interruption = interruption_of (self, step, i);
      uint64_t ended_ms = interruption.ended_ms != 0 ? interruption.ended_ms : G_MAXUINT64;
      if (next == step->spec->count || ended_ms < next_ended_ms)
        {
          next = i;
          next_ended_ms = ended_ms;
        }
    }
  return next;
}

static const char *
last_wait_reason (const FbPool *self, const FbPoolStep *step, uint64_t ended_ms, uint64_t now_ms,
                  uint64_t *for_ms)
{
  const FbPoolLongRunning *long_running = step->long_running;
  if (long_running != NULL && long_running->reason != NULL)
    {
      *for_ms = now_ms - MAX (long_running->reason_since_ms, ended_ms);
      return long_running->reason;
    }
  if (self->no_start_ms >= ended_ms && self->no_start_reason != NULL)
    {
      *for_ms = self->no_start_ms - ended_ms;
      return self->no_start_reason;
    }
  return "nothing";
}

void
fb_pool_long_running_placed (const FbPool *self, FbPoolStep *step, const FbPoolRun *run,
                             uint64_t now_ms)
{
  if (!step->spec->long_running)
    return;
  const Interruption interruption = interruption_of (self, step, run->index);
  if (interruption.ended_ms == 0)
    return;
  uint64_t for_ms = 0;
  const char *waited_for = last_wait_reason (self, step, interruption.ended_ms, now_ms, &for_ms);
  fb_histogram_add (FB_HISTOGRAM_LONG_RUNNING_DOWNTIME, now_ms - interruption.ended_ms);
  fb_event_log (FB_EVENT_LASTING_RESTARTED,
                "task=%s attempt=%u away_ms=%u ended=\"%s\" waited_for=%s for_ms=%u"
                " epoch=%" G_GUINT64_FORMAT,
                run->name, run->attempt, (guint) (now_ms - interruption.ended_ms),
                interruption.outcome, waited_for, (guint) for_ms, self->epoch);
}

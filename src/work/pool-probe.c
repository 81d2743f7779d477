/* Steps under whose tasks several workers crashed start one task at a time.
 *
 * Failure: a step has hundreds of tasks that crash their workers; each time it starts again it
 * takes down as many workers as it reaches, three times over; it shows as a service without workers
 * for tens of seconds.  Guard: once PROBE_WORKERS have crashed under a step, the next of its tasks
 * waits until the one before has run for PROBE_MS, or has crashed its worker as well and brings the
 * job nearer to its end.  A step that only lost its workers to a rack without power is let go again
 * by the first task that runs so long: most of a second after seconds without the workers.
 *
 * Tasks that are to last are never held back: they may not be gone for long, and are few. */
#include "internal/pool-crash.h"

#include "fb-event.h"

/* A rack without power or a release takes this many too, but rarely with all of one step on them.
 */
#define PROBE_WORKERS 3
/* Tasks that crash their worker do it as they begin, or a little later. */
#define PROBE_MS 1000

void
fb_pool_probe_note_crash (FbPoolStep *step, uint64_t worker, uint64_t now_ms)
{
  if (step->shape->long_running || step->shape->gang || worker == step->crashed_last)
    return;
  step->crashed_last = worker;
  step->crashed_n++;
  step->crashed_ms = now_ms;
}

void
fb_pool_probe_passed (FbPoolStep *step)
{
  if (step->crashed_n >= PROBE_WORKERS)
    fb_event_log (FB_EVENT_STEP_RELEASED, "step=%s.%u.%u crashed=%u", step->job->id,
                  step->occurrence, step->index, step->crashed_n);
  step->crashed_n = 0;
}

gboolean
fb_pool_probe_is_on (const FbPoolStep *step)
{
  return step->crashed_n >= PROBE_WORKERS;
}

/* Returns: the run of STEP that was started since its last crash and is not known to have run for
 * PROBE_MS; *PASSED: one is known to have, since whenever. */
static const FbPoolRun *
open_probe (const FbPoolStep *step, gboolean *passed)
{
  const FbPoolRun *open = NULL;
  *passed = FALSE;
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      const FbPoolRun *run = step->tasks[i].run;
      if (run == NULL)
        continue;
      if (run->listed_ms >= run->started_ms + PROBE_MS)
        *passed = TRUE;
      else if (run->started_ms > step->crashed_ms)
        open = run;
    }
  return open;
}

uint32_t
fb_pool_probe_next (FbPoolStep *step)
{
  gboolean passed = FALSE;
  const FbPoolRun *open = open_probe (step, &passed);
  if (passed)
    fb_pool_probe_passed (step);
  if (!passed && open != NULL)
    return step->shape->count;
  uint32_t next = step->shape->count;
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      if (fb_pool_task_waits (&step->tasks[i])
          && (next == step->shape->count
              || fb_pool_task_crashes_n (&step->tasks[i])
                     > fb_pool_task_crashes_n (&step->tasks[next])))
        next = i;
    }
  return next;
}

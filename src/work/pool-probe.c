/* Probing: a step whose tasks have crashed several workers starts one task at a time.
 *
 * A step may have hundreds of tasks that crash their workers. Each time it started, it would crash
 * as many workers as it reaches, three times over, and leave the service without workers for tens
 * of seconds. So once PROBE_WORKERS workers have crashed, its next task waits until the one before
 * has run for PROBE_MS, or has crashed its worker as well and brought the job nearer to the crash
 * limit. A step that only lost its workers to a power failure of a rack is released by the first
 * task that runs this long, which adds most of a second to the seconds without the workers.
 *
 * Long-running tasks are never held back: they must not be down for long, and are few. */
#include "internal/pool-crash.h"

#include "fb-event.h"

/* A power failure of a rack or a software release loses this many workers as well, but rarely all
 * with tasks of one step. */
#define PROBE_WORKERS 3
/* Tasks that crash their worker do so as they begin or soon after. */
#define PROBE_MS 1000

void
fb_pool_probe_record_crash (FbPoolStep *step, uint64_t worker, uint64_t now_ms)
{
  if (step->spec->long_running || step->spec->gang || worker == step->last_crashed_worker)
    return;
  step->last_crashed_worker = worker;
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

/* Returns: a run of STEP that was started after the step's last crash and is not known to have run
 * for PROBE_MS, NULL if none. *PASSED: TRUE if some run of STEP is known to have run that long. */
static const FbPoolRun *
open_probe (const FbPoolStep *step, gboolean *passed)
{
  const FbPoolRun *open = NULL;
  *passed = FALSE;
  for (uint32_t i = 0; i < step->spec->count; i++)
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
    return step->spec->count;
  uint32_t next = step->spec->count;
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      if (fb_pool_task_is_pending (&step->tasks[i])
          && (next == step->spec->count
              || fb_pool_task_crashes_n (&step->tasks[i])
                     > fb_pool_task_crashes_n (&step->tasks[next])))
        next = i;
    }
  return next;
}

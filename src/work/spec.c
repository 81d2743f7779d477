#include "spec.h"

#include "fb-status.h"

static gboolean
check_order (const fb_work_step *step, u_int index)
{
  for (u_int i = 0; i < step->after.after_len; i++)
    {
      if (step->after.after_val[i] < index)
        continue;
      fb_status_set_message ("step %u comes after step %u, expected only earlier steps", index,
                             step->after.after_val[i]);
      return FALSE;
    }
  return TRUE;
}

gboolean
fb_spec_check (const fb_work_spec *spec)
{
  uint64_t tasks = 0;
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    {
      const fb_work_step *step = &spec->steps.steps_val[i];
      if (step->count == 0)
        {
          fb_status_set_message ("step %u has no task", i);
          return FALSE;
        }
      if (!check_order (step, i))
        return FALSE;
      tasks += step->count;
    }
  if (tasks > FB_SPEC_MAX_TASKS)
    {
      fb_status_set_message ("%u tasks, expected at most %d", (unsigned) tasks, FB_SPEC_MAX_TASKS);
      return FALSE;
    }
  if (spec->occurrences > FB_SPEC_MAX_OCCURRENCES)
    {
      fb_status_set_message ("%u occurrences, expected at most %d", spec->occurrences,
                             FB_SPEC_MAX_OCCURRENCES);
      return FALSE;
    }
  return TRUE;
}

gboolean
fb_spec_fits_cap (const fb_work_spec *spec, const FbAmounts *cap)
{
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    {
      const fb_work_step *step = &spec->steps.steps_val[i];
      int64_t n = step->gang ? step->count : 1;
      const FbAmounts needed = { n * step->cpu_milli, n * step->mem_mb, n * step->gpu_count };
      for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
        {
          int64_t limit = fb_amounts_get (cap, resource);
          if (limit == 0 || fb_amounts_get (&needed, resource) <= limit)
            continue;
          fb_status_set_message ("step %u needs more than its account may ever run at a time", i);
          return FALSE;
        }
    }
  return TRUE;
}

/* Which worker of a rack takes a task.
 *
 * A rack has a handful of workers, so every policy looks at all of them; what
 * differs is the cost.
 *
 *  first-fit    the baseline: the lowest index that fits.
 *  best-fit     the least left over, summed over the resources in thousandths
 *               of the capacity.  Keeps large holes for large tasks.
 *  worst-fit    the most left over.  Spreads, and cuts every hole small.
 *  dot-product  the best alignment of demand and free space, so that a task
 *               heavy in one resource goes where that resource is plentiful.
 *  accel-guard  best fit, but work without accelerators may not take the CPU,
 *               memory and slots that the free accelerators of a host will need.
 *               Each free accelerator keeps GUARD_MILLI of its even share.
 *
 * How much is kept follows the demand (schedule.c): all while accelerator work
 * waits at the rack; none for gangs; for work that cannot be stopped, as much as
 * accelerators are in use; nothing for work that can be stopped when they are wanted.  A fixed
 * half was tried first: it held 59% of the accelerators where 98% were wanted,
 * since half of the slots is not enough for them, and kept gangs off idle
 * accelerator hosts.  `./run bench` compares all five on the same arrivals. */
#include "internal/place.h"

static uint64_t
milli_of (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : (uint64_t) ((double) part * 1000.0 / (double) whole);
}

static int64_t
left_over_milli (const FbPlaceCandidate *view)
{
  uint64_t sum_milli = 0;
  for (guint i = 0; i < FB_RES_N; i++)
    sum_milli
        += milli_of (view->free->amount[i] - view->demand->amount[i], view->capacity->amount[i]);
  return (int64_t) sum_milli;
}

static int64_t
first_fit_cost (const FbPlaceCandidate *view)
{
  return view->index;
}

static int64_t
worst_fit_cost (const FbPlaceCandidate *view)
{
  return FB_RES_N * 1000 - left_over_milli (view);
}

static int64_t
dot_product_cost (const FbPlaceCandidate *view)
{
  uint64_t dot = 0;
  for (guint i = 0; i < FB_RES_N; i++)
    dot += milli_of (view->demand->amount[i], view->capacity->amount[i])
           * milli_of (view->free->amount[i], view->capacity->amount[i]);
  return (int64_t) (FB_RES_N * 1000 * 1000 - MIN (dot, FB_RES_N * 1000 * 1000));
}

static gboolean
strands_accelerators (const FbPlaceCandidate *view)
{
  uint64_t accel_free = view->free->amount[FB_RES_ACCEL_COUNT];
  uint64_t accel_total = view->capacity->amount[FB_RES_ACCEL_COUNT];
  if (accel_free == 0 || view->demand->amount[FB_RES_ACCEL_COUNT] > 0)
    return FALSE;
  static const FbResource guarded[] = { FB_RES_CPU_MILLI, FB_RES_MEM_BYTES, FB_RES_SLOT_COUNT };
  for (guint i = 0; i < G_N_ELEMENTS (guarded); i++)
    {
      FbResource r = guarded[i];
      uint64_t kept
          = view->capacity->amount[r] / accel_total * accel_free * view->guard_milli / 1000;
      if (view->free->amount[r] < view->demand->amount[r] + kept)
        return TRUE;
    }
  return FALSE;
}

static int64_t
accel_guard_cost (const FbPlaceCandidate *view)
{
  return strands_accelerators (view) ? -1 : left_over_milli (view);
}

const FbPlacePolicy fb_place_first_fit = { "first-fit", first_fit_cost };
const FbPlacePolicy fb_place_best_fit = { "best-fit", left_over_milli };
const FbPlacePolicy fb_place_worst_fit = { "worst-fit", worst_fit_cost };
const FbPlacePolicy fb_place_dot_product = { "dot-product", dot_product_cost };
const FbPlacePolicy fb_place_accel_guard = { "accel-guard", accel_guard_cost };

const FbPlacePolicy *
fb_place_by_name (const char *name)
{
  static const FbPlacePolicy *const all[]
      = { &fb_place_first_fit, &fb_place_best_fit, &fb_place_worst_fit, &fb_place_dot_product,
          &fb_place_accel_guard };
  for (guint i = 0; i < G_N_ELEMENTS (all); i++)
    {
      if (g_strcmp0 (name, all[i]->name) == 0)
        return all[i];
    }
  return NULL;
}

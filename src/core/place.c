/* Choice of the worker in a rack for a task.
 *
 * A rack has few workers, so every policy examines all of them; the policies differ in the cost.
 *
 *   first-fit    baseline: the lowest index that fits.
 *   best-fit     the least capacity left over, summed over the resources in thousandths
 *                of the worker's capacity. Preserves large blocks of free capacity for
 *                large tasks.
 *   worst-fit    the most capacity left over. Spreads the load, but fragments the free
 *                capacity.
 *   dot-product  the best alignment of demand and free capacity, so that a task that
 *                needs much of one resource goes where that resource is plentiful.
 *   accel-guard  best fit, but work without accelerators may not use the CPU, memory and
 *                slots that the free accelerators of a host will need. Each free
 *                accelerator keeps GUARD_MILLI of its even share.
 *
 * How much is kept depends on the demand (schedule.c): all of it while accelerator work is
 * queued at the rack; nothing for gangs; for work that cannot be preempted, the share of the
 * rack's accelerators that is in use; nothing for preemptible work, which can be stopped when
 * accelerators are needed. With a fixed half, accelerator utilization was 59% at a demand of
 * 98%: half of the slots is not enough for the accelerators, and gangs were kept off idle
 * accelerator hosts. `./run bench` compares all five policies on the same arrivals. */
#include "internal/place.h"

static uint64_t
milli_of (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : (uint64_t) ((double) part * 1000.0 / (double) whole);
}

static int64_t
left_over_milli (const FbPlaceCandidate *candidate)
{
  uint64_t sum_milli = 0;
  for (guint i = 0; i < FB_RES_N; i++)
    sum_milli += milli_of (candidate->free->amount[i] - candidate->demand->amount[i],
                           candidate->capacity->amount[i]);
  return (int64_t) sum_milli;
}

static int64_t
first_fit_cost (const FbPlaceCandidate *candidate)
{
  return candidate->index;
}

static int64_t
worst_fit_cost (const FbPlaceCandidate *candidate)
{
  return FB_RES_N * 1000 - left_over_milli (candidate);
}

static int64_t
dot_product_cost (const FbPlaceCandidate *candidate)
{
  uint64_t dot = 0;
  for (guint i = 0; i < FB_RES_N; i++)
    dot += milli_of (candidate->demand->amount[i], candidate->capacity->amount[i])
           * milli_of (candidate->free->amount[i], candidate->capacity->amount[i]);
  return (int64_t) (FB_RES_N * 1000 * 1000 - MIN (dot, FB_RES_N * 1000 * 1000));
}

static gboolean
strands_accelerators (const FbPlaceCandidate *candidate)
{
  uint64_t accel_free = candidate->free->amount[FB_RES_ACCEL_COUNT];
  uint64_t accel_total = candidate->capacity->amount[FB_RES_ACCEL_COUNT];
  if (accel_free == 0 || candidate->demand->amount[FB_RES_ACCEL_COUNT] > 0)
    return FALSE;
  static const FbResource guarded[] = { FB_RES_CPU_MILLI, FB_RES_MEM_BYTES, FB_RES_SLOT_COUNT };
  for (guint i = 0; i < G_N_ELEMENTS (guarded); i++)
    {
      FbResource r = guarded[i];
      uint64_t kept = candidate->capacity->amount[r] / accel_total * accel_free
                      * candidate->guard_milli / 1000;
      if (candidate->free->amount[r] < candidate->demand->amount[r] + kept)
        return TRUE;
    }
  return FALSE;
}

static int64_t
accel_guard_cost (const FbPlaceCandidate *candidate)
{
  return strands_accelerators (candidate) ? -1 : left_over_milli (candidate);
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

/* Routing by summaries, which lag behind.
 *
 * A summary is up to one heartbeat old when it arrives. If every daemon sends to the rack that
 * looks best, all of them send to the same one (herding). Three policies are available; `./run
 * bench` compares them:
 *
 *   random        any rack that fits according to its summary.
 *   two-choices   the better of two random racks: nearly as even as the best of all,
 *                 without herding.
 *   best-known    the best of all, corrected by what this daemon itself has sent since
 *                 the summary.
 *
 * In a large cell a choice examines SAMPLE_N racks drawn at random, and all racks only if none
 * of those is suitable: with 1,536 racks, examining all of them took four fifths of the cost of
 * a placement. The best of some fifty random racks is in the best two percent, and the sampling
 * prevents herding as two choices do.
 *
 * All three policies debit what they send from the summary, so that one daemon does not overload
 * a rack between two summaries. None of them uses a rack for REFUSED_WAIT_MS after it has
 * refused a task, or until its next summary if its owner has changed or is leaving. Racks that
 * can start the work at once are preferred to racks where it would queue, the partner's own
 * racks to those of the other partner, and, for work without accelerators, racks that have none
 * to racks that have some.
 *
 * Preemptible work may run on the other partner's racks, but is queued at its own partner's racks
 * in preference to that; its range moves it when there is free capacity elsewhere. A gang keeps its
 * reservations while it queues, and none of its members can move alone. For a gang, free capacity
 * of the other partner is therefore preferred to queueing at its own: otherwise a gang whose own
 * racks had permanently lost a host waited although the other partner's racks were idle. */
#include "internal/router.h"

#include <string.h>

#define REFUSED_WAIT_MS 500
#define QUEUE_SOFT_MAX 32
#define SAMPLE_N 48
#define COST_BORROWED 1000000
#define COST_QUEUE 100000
#define COST_QUEUE_GANG (2 * COST_BORROWED)
#define COST_SPREAD_RACK 20000
#define COST_SPREAD_DOMAIN 4000
#define COST_ACCEL_UNUSED 2000

typedef struct
{
  FbRackInfo info;
  gboolean known;  /* a summary has arrived */
  gboolean usable; /* its owner is known */
  uint64_t refused_until_ms;
  fb_summary summary;
  fb_res debit;                       /* demand sent since the summary */
  guint queue_debit[FB_WAIT_CLASS_N]; /* tasks sent since the summary that will queue */
} Rack;

struct _FbRouter
{
  const FbRoutePolicy *policy;
  GRand *rand;
  GPtrArray *racks;
};

FbRouter *
fb_router_new (const FbRoutePolicy *policy, uint32_t seed)
{
  FbRouter *self = g_new0 (FbRouter, 1);
  self->policy = policy;
  self->rand = g_rand_new_with_seed (seed);
  self->racks = g_ptr_array_new_with_free_func (g_free);
  return self;
}

void
fb_router_free (FbRouter *self)
{
  g_rand_free (self->rand);
  g_ptr_array_free (self->racks, TRUE);
  g_free (self);
}

void
fb_router_add_rack (FbRouter *self, const FbRackInfo *info)
{
  Rack *rack = g_new0 (Rack, 1);
  rack->info = *info;
  g_ptr_array_add (self->racks, rack);
}

static Rack *
rack_at (const FbRouter *self, uint32_t rack)
{
  return g_ptr_array_index (self->racks, rack);
}

const FbRackInfo *
fb_router_rack (const FbRouter *self, uint32_t rack)
{
  return rack < self->racks->len ? &rack_at (self, rack)->info : NULL;
}

void
fb_router_update_summary (FbRouter *self, uint64_t now_ms, const fb_summary *summary)
{
  (void) now_ms;
  if (summary->rack >= self->racks->len)
    return;
  Rack *rack = rack_at (self, summary->rack);
  if (rack->known && summary->epoch < rack->summary.epoch)
    return;
  rack->known = TRUE;
  rack->usable = TRUE;
  rack->summary = *summary;
  rack->debit = (fb_res){ { 0 } };
  memset (rack->queue_debit, 0, sizeof rack->queue_debit);
}

void
fb_router_disable_rack (FbRouter *self, uint32_t rack)
{
  if (rack < self->racks->len)
    rack_at (self, rack)->usable = FALSE;
}

void
fb_router_record_refusal (FbRouter *self, uint64_t now_ms, uint32_t rack, FbReason reason)
{
  if (rack >= self->racks->len)
    return;
  rack_at (self, rack)->refused_until_ms = now_ms + REFUSED_WAIT_MS;
  if (reason == FB_REASON_WRONG_EPOCH || reason == FB_REASON_LEAVING)
    rack_at (self, rack)->usable = FALSE;
}

static gboolean
fits_now (const Rack *rack, const fb_res *demand)
{
  if (!fb_res_fits (demand, &rack->summary.largest))
    return FALSE;
  fb_res free = rack->summary.free;
  fb_res_sub (&free, &rack->debit);
  return fb_res_fits (demand, &free);
}

static gboolean
may_use (const Rack *rack, const FbRouteRequest *request)
{
  const fb_spec *spec = request->spec;
  if (!rack->known || !rack->usable || rack->refused_until_ms > request->now_ms)
    return FALSE;
  if (rack->info.partner != spec->partner && !(spec->flags & FB_FLAG_PREEMPTIBLE))
    return FALSE;
  return fb_res_fits (&spec->demand, &rack->info.host_capacity);
}

/* Returns: the length of the queue that the work would join at RACK. */
static guint
queue_length_at (const Rack *rack, const fb_spec *spec)
{
  FbWaitClass waiting = fb_spec_wait_class (spec);
  return rack->summary.waiting[waiting] + rack->queue_debit[waiting];
}

static gboolean
is_candidate (const Rack *rack, const FbRouteRequest *request)
{
  if (!may_use (rack, request))
    return FALSE;
  if (fits_now (rack, &request->spec->demand))
    return TRUE;
  if (request->probe_only)
    return FALSE;
  /* Only work of the home partner queues at a rack. Work of the other partner would wait behind
   * all of it; its range places it when there is free capacity. */
  return rack->info.partner == request->spec->partner
         && queue_length_at (rack, request->spec) < QUEUE_SOFT_MAX;
}

static uint64_t
cost_of (const FbRouter *self, const FbRouteRequest *request, uint32_t id)
{
  const Rack *rack = rack_at (self, id);
  const fb_res *demand = &request->spec->demand;
  fb_res used = rack->info.total;
  fb_res_sub (&used, &rack->summary.free);
  fb_res_add (&used, &rack->debit);
  uint64_t cost = fb_res_dominant_share_milli (&used, &rack->info.total);
  if (rack->info.partner != request->spec->partner)
    cost += COST_BORROWED;
  if (!fits_now (rack, demand))
    cost += (request->spec->kind == FB_KIND_GANG ? COST_QUEUE_GANG : COST_QUEUE)
            + (uint64_t) queue_length_at (rack, request->spec) * 1000;
  if (demand->amount[FB_RES_ACCEL_COUNT] == 0
      && rack->info.host_capacity.amount[FB_RES_ACCEL_COUNT] > 0)
    cost += COST_ACCEL_UNUSED;
  if (request->count_in_rack != NULL)
    cost += (uint64_t) request->count_in_rack (request->user, id) * COST_SPREAD_RACK;
  if (request->count_in_domain != NULL)
    cost += (uint64_t) request->count_in_domain (request->user, rack->info.domain)
            * COST_SPREAD_DOMAIN;
  return cost;
}

static uint32_t
pick (FbRouter *self, const GArray *candidates)
{
  return g_array_index (candidates, uint32_t,
                        g_rand_int_range (self->rand, 0, (gint32) candidates->len));
}

static gboolean
choose_random (FbRouter *self, const FbRouteRequest *request, const GArray *candidates,
               FbRouteChoice *choice)
{
  (void) request;
  choice->rack = pick (self, candidates);
  return TRUE;
}

static gboolean
choose_two_choices (FbRouter *self, const FbRouteRequest *request, const GArray *candidates,
                    FbRouteChoice *choice)
{
  uint32_t a = pick (self, candidates);
  uint32_t b = pick (self, candidates);
  gboolean a_wins = cost_of (self, request, a) <= cost_of (self, request, b);
  choice->rack = a_wins ? a : b;
  choice->runner_up = a_wins ? b : a;
  return TRUE;
}

static gboolean
choose_best (FbRouter *self, const FbRouteRequest *request, const GArray *candidates,
             FbRouteChoice *choice)
{
  uint64_t best_cost = G_MAXUINT64;
  /* Start at a random position so that racks of equal cost share the load. */
  guint start = (guint) g_rand_int_range (self->rand, 0, (gint32) candidates->len);
  for (guint i = 0; i < candidates->len; i++)
    {
      uint32_t id = g_array_index (candidates, uint32_t, (start + i) % candidates->len);
      uint64_t cost = cost_of (self, request, id);
      if (cost < best_cost)
        {
          best_cost = cost;
          choice->runner_up = choice->rack;
          choice->rack = id;
        }
      else if (choice->runner_up == FB_NO_RACK)
        choice->runner_up = id;
    }
  return TRUE;
}

const FbRoutePolicy fb_route_random = { "random", choose_random };
const FbRoutePolicy fb_route_two_choices = { "two-choices", choose_two_choices };
const FbRoutePolicy fb_route_best_known = { "best-known", choose_best };

static void
add_candidate (const FbRouter *self, const FbRouteRequest *request, uint32_t id, GArray *candidates)
{
  if (id != request->avoid_rack && is_candidate (rack_at (self, id), request))
    g_array_append_val (candidates, id);
}

static void
find_candidates (FbRouter *self, const FbRouteRequest *request, GArray *candidates)
{
  guint n = self->racks->len;
  for (guint i = 0; i < SAMPLE_N && n > SAMPLE_N; i++)
    add_candidate (self, request, (uint32_t) g_rand_int_range (self->rand, 0, (gint32) n),
                   candidates);
  if (candidates->len > 0)
    return;
  for (uint32_t id = 0; id < n; id++)
    add_candidate (self, request, id, candidates);
}

gboolean
fb_router_choose (FbRouter *self, const FbRouteRequest *request, FbRouteChoice *choice)
{
  g_autoptr (GArray) candidates = g_array_sized_new (FALSE, FALSE, sizeof (uint32_t), SAMPLE_N);
  find_candidates (self, request, candidates);
  *choice = (FbRouteChoice){ FB_NO_RACK, FB_NO_RACK, 0 };
  if (candidates->len == 0 || !self->policy->choose (self, request, candidates, choice))
    return FALSE;
  if (request->probe_only)
    return TRUE;
  Rack *rack = rack_at (self, choice->rack);
  choice->epoch = rack->summary.epoch;
  if (!fits_now (rack, &request->spec->demand))
    rack->queue_debit[fb_spec_wait_class (request->spec)]++;
  fb_res_add (&rack->debit, &request->spec->demand);
  return TRUE;
}

gboolean
fb_router_ever_fits (const FbRouter *self, const fb_spec *spec)
{
  for (uint32_t id = 0; id < self->racks->len; id++)
    {
      const FbRackInfo *info = &rack_at (self, id)->info;
      gboolean allowed = info->partner == spec->partner || (spec->flags & FB_FLAG_PREEMPTIBLE);
      if (allowed && fb_res_fits (&spec->demand, &info->host_capacity))
        return TRUE;
    }
  return FALSE;
}

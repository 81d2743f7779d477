/* Routing on lagging summaries.
 *
 * A summary is a heartbeat old when it arrives.  If every daemon sends to the
 * rack that looks best, they all send to the same one (herding).  Three ways
 * are kept; `./run bench` compares them:
 *
 *  random        any rack that fits by its summary.
 *  two-choices   the better of two random ones: nearly as even as the best of
 *                all, without the herd.
 *  best-known    the best of all, corrected by what this daemon itself has sent
 *                since the summary.
 *
 * In a large cell a choice looks at SAMPLE_N racks drawn at random, and at all
 * only when none of those will do: with 1,536 racks looking at all of them was
 * four fifths of the cost of a placement.  The best of some fifty random racks is
 * in the best two percent, and spreads the herd as two choices do.
 *
 * All three debit what they send from the summary, so that one daemon does not
 * overrun a rack between two summaries, and all set a refusing rack aside until
 * its next summary or REFUSED_WAIT_MS.  A rack that could take the work at once
 * is preferred to one where it would queue; own racks to the other partner's;
 * and work that needs no accelerator prefers racks that have none.
 *
 * Work that may be lent a place queues at home rather than be a guest, and its
 * range moves it when it sees room elsewhere.  A gang holds what it has gathered
 * while it queues, and none of its members moves alone, so for a gang a free
 * place at the other partner's comes before a line at home: otherwise one whose
 * home racks had lost a host for good waited beside an empty pool. */
#include "internal/router.h"

#include <string.h>

#define REFUSED_WAIT_MS 500
#define QUEUE_SOFT_MAX 32
#define SAMPLE_N 48
#define COST_GUEST 1000000
#define COST_QUEUE 100000
#define COST_QUEUE_GANG (2 * COST_GUEST)
#define COST_SPREAD_RACK 20000
#define COST_SPREAD_DOMAIN 4000
#define COST_ACCEL_UNUSED 2000

typedef struct
{
  FbRackInfo facts;
  gboolean known;
  gboolean usable;
  uint64_t refused_until_ms;
  fb_summary summary;
  fb_res debit;
  guint queue_debit[FB_WAIT_CLASS_N];
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
fb_router_add_rack (FbRouter *self, const FbRackInfo *facts)
{
  Rack *rack = g_new0 (Rack, 1);
  rack->facts = *facts;
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
  return rack < self->racks->len ? &rack_at (self, rack)->facts : NULL;
}

void
fb_router_note_summary (FbRouter *self, uint64_t now_ms, const fb_summary *summary)
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
fb_router_forget (FbRouter *self, uint32_t rack)
{
  if (rack < self->racks->len)
    rack_at (self, rack)->usable = FALSE;
}

void
fb_router_note_refusal (FbRouter *self, uint64_t now_ms, uint32_t rack, FbReason reason)
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
may_use (const Rack *rack, const FbRouteRequest *ask)
{
  const fb_spec *spec = ask->spec;
  if (!rack->known || !rack->usable || rack->refused_until_ms > ask->now_ms)
    return FALSE;
  if (rack->facts.partner != spec->partner && !(spec->flags & FB_FLAG_PREEMPTIBLE))
    return FALSE;
  return fb_res_fits (&spec->demand, &rack->facts.host_capacity);
}

/* The line that the work would join there. */
static guint
line_at (const Rack *rack, const fb_spec *spec)
{
  FbWaitClass waiting = fb_spec_wait_class (spec);
  return rack->summary.waiting[waiting] + rack->queue_debit[waiting];
}

static gboolean
is_candidate (const Rack *rack, const FbRouteRequest *ask)
{
  if (!may_use (rack, ask))
    return FALSE;
  if (fits_now (rack, &ask->spec->demand))
    return TRUE;
  if (ask->probe_only)
    return FALSE;
  /* Only the home partner's work queues: a guest's would wait behind all of
   * it, and is better placed by its range when room is seen. */
  return rack->facts.partner == ask->spec->partner && line_at (rack, ask->spec) < QUEUE_SOFT_MAX;
}

static uint64_t
cost_of (const FbRouter *self, const FbRouteRequest *ask, uint32_t id)
{
  const Rack *rack = rack_at (self, id);
  const fb_res *demand = &ask->spec->demand;
  fb_res used = rack->facts.total;
  fb_res_sub (&used, &rack->summary.free);
  fb_res_add (&used, &rack->debit);
  uint64_t cost = fb_res_dominant_milli (&used, &rack->facts.total);
  if (rack->facts.partner != ask->spec->partner)
    cost += COST_GUEST;
  if (!fits_now (rack, demand))
    cost += (ask->spec->kind == FB_KIND_GANG ? COST_QUEUE_GANG : COST_QUEUE)
            + (uint64_t) line_at (rack, ask->spec) * 1000;
  if (demand->amount[FB_RES_ACCEL_COUNT] == 0
      && rack->facts.host_capacity.amount[FB_RES_ACCEL_COUNT] > 0)
    cost += COST_ACCEL_UNUSED;
  if (ask->count_in_rack != NULL)
    cost += (uint64_t) ask->count_in_rack (ask->user, id) * COST_SPREAD_RACK;
  if (ask->count_in_domain != NULL)
    cost += (uint64_t) ask->count_in_domain (ask->user, rack->facts.domain) * COST_SPREAD_DOMAIN;
  return cost;
}

static uint32_t
pick (FbRouter *self, const GArray *candidates)
{
  return g_array_index (candidates, uint32_t,
                        g_rand_int_range (self->rand, 0, (gint32) candidates->len));
}

static gboolean
choose_random (FbRouter *self, const FbRouteRequest *ask, const GArray *candidates,
               FbRouteChoice *choice)
{
  (void) ask;
  choice->rack = pick (self, candidates);
  return TRUE;
}

static gboolean
choose_two (FbRouter *self, const FbRouteRequest *ask, const GArray *candidates,
            FbRouteChoice *choice)
{
  uint32_t a = pick (self, candidates);
  uint32_t b = pick (self, candidates);
  gboolean a_wins = cost_of (self, ask, a) <= cost_of (self, ask, b);
  choice->rack = a_wins ? a : b;
  choice->runner_up = a_wins ? b : a;
  return TRUE;
}

static gboolean
choose_best (FbRouter *self, const FbRouteRequest *ask, const GArray *candidates,
             FbRouteChoice *choice)
{
  uint64_t best_cost = G_MAXUINT64;
  /* Start at a random place so that equal racks do not all go to the first. */
  guint start = (guint) g_rand_int_range (self->rand, 0, (gint32) candidates->len);
  for (guint i = 0; i < candidates->len; i++)
    {
      uint32_t id = g_array_index (candidates, uint32_t, (start + i) % candidates->len);
      uint64_t cost = cost_of (self, ask, id);
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
const FbRoutePolicy fb_route_two_choices = { "two-choices", choose_two };
const FbRoutePolicy fb_route_best_known = { "best-known", choose_best };

static void
add_candidate (const FbRouter *self, const FbRouteRequest *ask, uint32_t id, GArray *candidates)
{
  if (id != ask->avoid_rack && is_candidate (rack_at (self, id), ask))
    g_array_append_val (candidates, id);
}

static void
find_candidates (FbRouter *self, const FbRouteRequest *ask, GArray *candidates)
{
  guint n = self->racks->len;
  for (guint i = 0; i < SAMPLE_N && n > SAMPLE_N; i++)
    add_candidate (self, ask, (uint32_t) g_rand_int_range (self->rand, 0, (gint32) n), candidates);
  if (candidates->len > 0)
    return;
  for (uint32_t id = 0; id < n; id++)
    add_candidate (self, ask, id, candidates);
}

gboolean
fb_router_choose (FbRouter *self, const FbRouteRequest *ask, FbRouteChoice *choice)
{
  g_autoptr (GArray) candidates = g_array_sized_new (FALSE, FALSE, sizeof (uint32_t), SAMPLE_N);
  find_candidates (self, ask, candidates);
  *choice = (FbRouteChoice){ FB_NO_RACK, FB_NO_RACK, 0 };
  if (candidates->len == 0 || !self->policy->choose (self, ask, candidates, choice))
    return FALSE;
  if (ask->probe_only)
    return TRUE;
  Rack *rack = rack_at (self, choice->rack);
  choice->epoch = rack->summary.epoch;
  if (!fits_now (rack, &ask->spec->demand))
    rack->queue_debit[fb_spec_wait_class (ask->spec)]++;
  fb_res_add (&rack->debit, &ask->spec->demand);
  return TRUE;
}

gboolean
fb_router_ever_fits (const FbRouter *self, const fb_spec *spec)
{
  for (uint32_t id = 0; id < self->racks->len; id++)
    {
      const FbRackInfo *facts = &rack_at (self, id)->facts;
      gboolean allowed = facts->partner == spec->partner || (spec->flags & FB_FLAG_PREEMPTIBLE);
      if (allowed && fb_res_fits (&spec->demand, &facts->host_capacity))
        return TRUE;
    }
  return FALSE;
}

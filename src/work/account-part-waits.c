/* Measures for how long pools wait for parts of caps that have room, as the coordinator sees it:
 * for its own pool from when its account is found to wait, for another one from its request on. */
#include "internal/account-parts-private.h"

#include "fb-histogram.h"

/* TRUE when what all pools use, TAKEN, leaves room under the cap for what the first waiting step of
 * CLAIM needs, and PART does not. */
static gboolean
waits_with_room (const FbAmounts *cap, const FbAmounts *taken, const FbAccountClaim *claim,
                 const FbAmounts *part)
{
  gboolean lacks_part = FALSE;
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      int64_t limit = fb_amounts_get (cap, resource);
      int64_t needed = fb_amounts_get (&claim->needed, resource);
      int64_t more = needed - fb_amounts_get (&claim->taken, resource);
      if (limit == 0 || more <= 0)
        continue;
      if (fb_amounts_get (taken, resource) + more > limit)
        return FALSE;
      lacks_part = lacks_part || needed > fb_amounts_get (part, resource);
    }
  return lacks_part;
}

static void
note_wait (uint64_t *since_ms, gboolean waits, uint64_t now_ms)
{
  if (!waits && *since_ms != 0)
    fb_histogram_add (FB_HISTOGRAM_ACCOUNT_PART_WAIT, now_ms - *since_ms);
  if (!waits)
    *since_ms = 0;
  else if (*since_ms == 0)
    *since_ms = now_ms;
}

typedef struct
{
  FbAccountParts *self;
  uint64_t now_ms;
} WaitContext;

static void
measure (gpointer user, const FbPoolAccountUsage *usage)
{
  const WaitContext *context = user;
  FbAccountParts *self = context->self;
  if (!fb_account_parts_is_coordinated_by (self, usage->name, self->service))
    return;
  FbAmounts taken = usage->taken;
  for (guint i = 0; i < self->peers->len; i++)
    {
      const FbAccountGrant *grant = fb_account_parts_grant (self->peers->pdata[i], usage->name);
      if (grant != NULL)
        fb_amounts_add (&taken, &grant->claim.taken, 1);
    }
  for (guint i = 0; i < self->peers->len; i++)
    {
      FbAccountGrant *grant = fb_account_parts_grant (self->peers->pdata[i], usage->name);
      if (grant != NULL)
        note_wait (&grant->waiting_since_ms,
                   waits_with_room (&usage->cap, &taken, &grant->claim, &grant->granted),
                   context->now_ms);
    }
  const FbAccountClaim own = fb_account_claim_of (usage);
  const FbAmounts part = fb_account_parts_own (self, usage);
  note_wait (&fb_account_parts_holding (self, usage->name)->waiting_since_ms,
             usage->waits && waits_with_room (&usage->cap, &taken, &own, &part), context->now_ms);
}

void
fb_account_parts_measure_waits (FbAccountParts *self, const FbPool *pool, uint64_t now_ms)
{
  WaitContext context = { self, now_ms };
  /* While an owner is away, all accounts wait for its report. */
  if (self->services->len > 1 && fb_account_parts_all_reported (self))
    fb_pool_foreach_account (pool, measure, &context);
}

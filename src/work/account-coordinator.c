/* The coordinator's side of the parts of caps: records what the other pools hold, and grants parts.
 */
#include "internal/account-parts-private.h"

static FbAccountGrant *
grant_of (FbAccountPeer *peer, const char *account)
{
  FbAccountGrant *grant = g_hash_table_lookup (peer->grants, account);
  if (grant == NULL)
    {
      grant = g_new0 (FbAccountGrant, 1);
      g_hash_table_insert (peer->grants, g_strdup (account), grant);
    }
  return grant;
}

FbAccountGrant *
fb_account_parts_grant (const FbAccountPeer *member, const char *account)
{
  return g_hash_table_lookup (member->grants, account);
}

gboolean
fb_account_parts_all_reported (const FbAccountParts *self)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      if (!((const FbAccountPeer *) self->peers->pdata[i])->has_reported)
        return FALSE;
    }
  return TRUE;
}

/* How the cap of one account is divided, as its coordinator sees it. */
typedef struct
{
  FbAmounts granted; /* sum of what the other pools hold */
  FbAmounts own;     /* what the coordinator's own pool may use */
  FbAmounts target;  /* what the pool in question should hold */
} Division;

/* Returns: (transfer full): the claims of all pools on the account in USAGE, that of this one
 * first.  MEMBER_AT: the index of MEMBER (nullable). */
static FbAccountClaim *
collect_claims (const FbAccountParts *self, const FbPoolAccountUsage *usage,
                const FbAccountPeer *member, guint *member_at)
{
  FbAccountClaim *claims = g_new0 (FbAccountClaim, self->peers->len + 1);
  claims[0] = fb_account_claim_of (usage);
  *member_at = 0;
  for (guint i = 0; i < self->peers->len; i++)
    {
      FbAccountPeer *peer = self->peers->pdata[i];
      if (member != NULL && peer == member)
        *member_at = i + 1;
      claims[i + 1] = grant_of (peer, usage->name)->claim;
    }
  return claims;
}

/* Divides the cap of the account in USAGE.  MEMBER (nullable): the pool whose target is
 * computed. */
static Division
divide (const FbAccountParts *self, const FbPoolAccountUsage *usage, const FbAccountPeer *member)
{
  guint n = self->peers->len + 1;
  guint member_at = 0;
  g_autofree FbAccountClaim *claims = collect_claims (self, usage, member, &member_at);
  g_autofree FbAmounts *parts = g_new0 (FbAmounts, n);
  fb_account_parts_divide (&usage->cap, claims, n, parts);
  Division division = { .own = usage->cap, .target = parts[member_at] };
  for (guint i = 0; i < self->peers->len; i++)
    {
      const FbAccountGrant *grant = grant_of (self->peers->pdata[i], usage->name);
      const FbAmounts reserved = fb_amounts_max (&grant->granted, &parts[i + 1]);
      fb_amounts_add (&division.granted, &grant->granted, 1);
      fb_amounts_add (&division.own, &reserved, -1);
    }
  return division;
}

FbAmounts
fb_account_parts_own (const FbAccountParts *self, const FbPoolAccountUsage *usage)
{
  const FbAmounts none = { 0 };
  if (!fb_account_parts_all_reported (self))
    return none;
  const Division division = divide (self, usage, NULL);
  return fb_amounts_max (&division.own, &none);
}

/* Returns: TRUE when a pool with CLAIM and PART needs more of a resource that CAP limits, of which
 * HELD is some. */
static gboolean
needs_some_of (const FbAmounts *cap, const FbAccountClaim *claim, const FbAmounts *part,
               const FbAmounts *held)
{
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      if (fb_amounts_get (cap, resource) > 0 && fb_amounts_get (held, resource) > 0
          && fb_amounts_get (&claim->needed, resource) > fb_amounts_get (part, resource))
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_account_parts_needs_back (const FbAccountParts *self, const FbAccountPeer *member,
                             const FbPoolAccountUsage *usage)
{
  const FbAccountGrant *of_member = fb_account_parts_grant (member, usage->name);
  if (of_member == NULL || !fb_account_parts_all_reported (self))
    return FALSE;
  for (guint i = 0; i < self->peers->len; i++)
    {
      const FbAccountPeer *peer = self->peers->pdata[i];
      const FbAccountGrant *grant = fb_account_parts_grant (peer, usage->name);
      if (peer != member && grant != NULL
          && needs_some_of (&usage->cap, &grant->claim, &grant->granted, &of_member->granted))
        return TRUE;
    }
  if (!usage->waits)
    return FALSE;
  const FbAccountClaim own = fb_account_claim_of (usage);
  const FbAmounts part = fb_account_parts_own (self, usage);
  return needs_some_of (&usage->cap, &own, &part, &of_member->granted);
}

/* Raises what MEMBER holds to its target as far as the cap allows now.  Returns: what it should
 * hold, which is less than it holds if it should give some back. */
static FbAmounts
grant_part (const FbAccountParts *self, FbAccountPeer *member, const FbPoolAccountUsage *usage)
{
  FbAccountGrant *grant = grant_of (member, usage->name);
  const Division division = divide (self, usage, member);
  FbAmounts answer = grant->granted;
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      int64_t target = fb_amounts_get (&division.target, resource);
      int64_t *granted = fb_amounts_at (&grant->granted, resource);
      int64_t left = fb_amounts_get (&usage->cap, resource)
                     - fb_amounts_get (&usage->taken, resource)
                     - fb_amounts_get (&division.granted, resource);
      int64_t limit = MAX (*granted + left, 0);
      *granted = CLAMP (target, *granted, MAX (*granted, limit));
      /* While more than the cap is in use, no pool replaces a run that ends. */
      *fb_amounts_at (&answer, resource) = MIN (*granted, MIN (target, limit));
    }
  return answer;
}

typedef struct
{
  FbAccountParts *self;
  FbAccountPeer *member;
  GHashTable *asked; /* set of the accounts in the request */
  GArray *rows;      /* of fb_account_grant */
} GrantContext;

static void
add_grant (gpointer user, const FbPoolAccountUsage *usage)
{
  const GrantContext *context = user;
  if (!fb_account_parts_is_coordinated_by (context->self, usage->name, context->self->service))
    return;
  const FbAmounts before = grant_of (context->member, usage->name)->granted;
  const FbAmounts answer = grant_part (context->self, context->member, usage);
  if (fb_amounts_equal (&before, &answer) && !g_hash_table_contains (context->asked, usage->name))
    return;
  fb_account_grant row = { .account = g_strdup (usage->name) };
  fb_amounts_encode (&answer, &row.granted);
  fb_amounts_encode (&usage->cap, &row.cap);
  g_array_append_val (context->rows, row);
}

/* Takes notice of the accounts in REQUEST that its sender coordinates: it needs back what this pool
 * holds and does not use. */
static void
note_needs_back (FbAccountParts *self, FbAccountPeer *member,
                 const fb_account_parts_request *request)
{
  for (u_int i = 0; i < request->rows.rows_len; i++)
    {
      const char *account = request->rows.rows_val[i].account;
      if (!fb_account_parts_is_coordinated_by (self, account, member->service))
        continue;
      fb_account_parts_holding (self, account)->give_back = TRUE;
      member->report_due = TRUE;
    }
}

/* Records what REQUEST reports.  A report that was meant for an earlier owner of this pool is not
 * recorded: that owner may have granted more after the report was sent.  Returns: FALSE when
 * REQUEST is older than what is known. */
static gboolean
record_request (FbAccountParts *self, FbAccountPeer *member,
                const fb_account_parts_request *request)
{
  if (request->epoch < member->epoch
      || (request->epoch == member->epoch && request->sequence <= member->sequence))
    return FALSE;
  /* A new owner of a pool that is also a coordinator knows nothing of what is held here. */
  if (request->epoch > member->epoch)
    member->is_informed = FALSE;
  member->epoch = request->epoch;
  member->sequence = request->sequence;
  note_needs_back (self, member, request);
  /* Until its new owner has reported, the pool holds what the previous one held. */
  if (request->coordinator_epoch != self->epoch
      || (!request->complete && member->reported_epoch != request->epoch))
    return TRUE;
  if (request->complete)
    g_hash_table_remove_all (member->grants);
  member->has_reported = TRUE;
  member->reported_epoch = request->epoch;
  for (u_int i = 0; i < request->rows.rows_len; i++)
    {
      const fb_account_part *row = &request->rows.rows_val[i];
      if (fb_account_parts_is_coordinated_by (self, row->account, member->service))
        continue;
      FbAccountGrant *grant = grant_of (member, row->account);
      grant->granted = fb_amounts_decode (&row->held);
      grant->claim = fb_account_claim_decode (row);
    }
  return TRUE;
}

gboolean
fb_account_parts_serve (FbAccountParts *self, FbPool *pool, const fb_account_parts_request *request,
                        fb_account_grants_reply *reply)
{
  FbAccountPeer *member = fb_account_parts_find_peer (self, request->service);
  if (member == NULL || !record_request (self, member, request))
    return FALSE;
  *reply = (fb_account_grants_reply){ .epoch = self->epoch,
                                      .complete_needed = member->reported_epoch != member->epoch };
  if (!fb_account_parts_all_reported (self) || !fb_pool_usage_is_known (pool))
    return TRUE;
  g_autoptr (GHashTable) asked = g_hash_table_new (g_str_hash, g_str_equal);
  for (u_int i = 0; i < request->rows.rows_len; i++)
    g_hash_table_add (asked, request->rows.rows_val[i].account);
  GrantContext context
      = { self, member, asked, g_array_new (FALSE, TRUE, sizeof (fb_account_grant)) };
  fb_pool_foreach_account (pool, add_grant, &context);
  fb_account_parts_apply (self, pool);
  reply->rows.rows_len = context.rows->len;
  reply->rows.rows_val = (fb_account_grant *) (gpointer) g_array_free (context.rows, FALSE);
  return TRUE;
}

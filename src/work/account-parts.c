/* The side of a pool that holds parts of caps: what it may use, and its requests to coordinators.
 */
#include "internal/account-parts-private.h"

#include "fb-event.h"

#include <string.h>
#include <xxhash.h>

/* Intervals between two requests to a coordinator; the shorter one while steps wait for a larger
 * part, and until a complete request is answered. */
#define REPORT_INTERVAL_MS 250
#define URGENT_INTERVAL_MS 50

/* ---- services ----------------------------------------------------------------------- */

static void
peer_free (gpointer data)
{
  FbAccountPeer *peer = data;
  g_hash_table_unref (peer->grants);
  g_free (peer->service);
  g_free (peer);
}

FbAccountParts *
fb_account_parts_new (const char *service, uint64_t epoch)
{
  FbAccountParts *self = g_new0 (FbAccountParts, 1);
  self->service = g_strdup (service);
  self->epoch = epoch;
  self->services = g_ptr_array_new_with_free_func (g_free);
  self->peers = g_ptr_array_new_with_free_func (peer_free);
  self->holdings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_account_parts_free (FbAccountParts *self)
{
  g_ptr_array_unref (self->services);
  g_ptr_array_unref (self->peers);
  g_hash_table_unref (self->holdings);
  g_free (self->service);
  g_free (self);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static gboolean
same_services (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len != b->len)
    return FALSE;
  for (guint i = 0; i < a->len; i++)
    {
      if (!g_str_equal (a->pdata[i], b->pdata[i]))
        return FALSE;
    }
  return TRUE;
}

/* A change of the services may change the coordinators, so everything that this owner has granted
 * or been granted is settled anew: each pool reports what it uses to the coordinators under the new
 * configuration, and these wait for the reports of all. */
void
fb_account_parts_set_services (FbAccountParts *self, const GPtrArray *services)
{
  GPtrArray *sorted = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < services->len; i++)
    g_ptr_array_add (sorted, g_strdup (services->pdata[i]));
  g_ptr_array_sort (sorted, compare_names);
  if (same_services (sorted, self->services))
    {
      g_ptr_array_unref (sorted);
      return;
    }
  g_ptr_array_unref (self->services);
  self->services = sorted;
  g_ptr_array_set_size (self->peers, 0);
  g_hash_table_remove_all (self->holdings);
  for (guint i = 0; i < sorted->len; i++)
    {
      if (g_str_equal (sorted->pdata[i], self->service))
        continue;
      FbAccountPeer *peer = g_new0 (FbAccountPeer, 1);
      peer->service = g_strdup (sorted->pdata[i]);
      peer->grants = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_ptr_array_add (self->peers, peer);
    }
}

/* Returns: (nullable): the service among SERVICES that coordinates ACCOUNT, borrowed. */
static const char *
coordinator_of (const char *account, const GPtrArray *services)
{
  const char *best = NULL;
  uint64_t best_hash = 0;
  uint64_t seed = XXH64 (account, strlen (account), 0);
  for (guint i = 0; i < services->len; i++)
    {
      const char *service = services->pdata[i];
      uint64_t hash = XXH64 (service, strlen (service), seed);
      if (best == NULL || hash > best_hash)
        {
          best = service;
          best_hash = hash;
        }
    }
  return best;
}

gboolean
fb_account_parts_is_coordinated_by (const FbAccountParts *self, const char *account,
                                    const char *service)
{
  const char *coordinator = coordinator_of (account, self->services);
  return coordinator != NULL && g_str_equal (coordinator, service);
}

FbAccountPeer *
fb_account_parts_find_peer (const FbAccountParts *self, const char *service)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      FbAccountPeer *peer = self->peers->pdata[i];
      if (g_str_equal (peer->service, service))
        return peer;
    }
  return NULL;
}

FbAccountHolding *
fb_account_parts_holding (FbAccountParts *self, const char *account)
{
  FbAccountHolding *holding = g_hash_table_lookup (self->holdings, account);
  if (holding == NULL)
    {
      holding = g_new0 (FbAccountHolding, 1);
      g_hash_table_insert (self->holdings, g_strdup (account), holding);
    }
  return holding;
}

/* ---- claims ------------------------------------------------------------------------------ */

FbAccountClaim
fb_account_claim_of (const FbPoolAccountUsage *usage)
{
  return (FbAccountClaim){ usage->taken, usage->needed, usage->wanted };
}

FbAccountClaim
fb_account_claim_decode (const fb_account_part *row)
{
  return (FbAccountClaim){ fb_amounts_decode (&row->taken), fb_amounts_decode (&row->needed),
                           fb_amounts_decode (&row->wanted) };
}

/* ---- the parts of this pool ------------------------------------------------------------- */

/* Reduces what HOLDING allows to what the pool uses or wants, because the coordinator needs it. The
 * next request reports it. */
static void
give_back (FbAccountHolding *holding, const FbPoolAccountUsage *usage)
{
  const FbAmounts kept = fb_amounts_max (&usage->taken, &usage->wanted);
  holding->give_back = FALSE;
  holding->held = fb_amounts_min (&holding->held, &kept);
}

/* Returns: the part of an account that another service coordinates.  A part of a higher cap allows
 * no start: more than the lowered cap may be in use, and only the coordinator knows. */
static FbAmounts
held_part (FbAccountParts *self, const FbPoolAccountUsage *usage)
{
  FbAccountHolding *holding = fb_account_parts_holding (self, usage->name);
  if (holding->give_back)
    give_back (holding, usage);
  FbAmounts part = holding->held;
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      int64_t cap = fb_amounts_get (&usage->cap, resource);
      if (cap > 0 && cap < fb_amounts_get (&holding->cap, resource))
        *fb_amounts_at (&part, resource)
            = MIN (fb_amounts_get (&part, resource), fb_amounts_get (&usage->taken, resource));
    }
  return part;
}

typedef struct
{
  FbAccountParts *self;
  GPtrArray *names; /* of char *, borrowed */
  GArray *parts;    /* of FbAmounts */
} PartContext;

static void
collect_part (gpointer user, const FbPoolAccountUsage *usage)
{
  const PartContext *context = user;
  FbAccountParts *self = context->self;
  FbAmounts part = { G_MAXINT64, G_MAXINT64, G_MAXINT64 };
  if (self->services->len > 1)
    part = fb_account_parts_is_coordinated_by (self, usage->name, self->service)
               ? fb_account_parts_own (self, usage)
               : held_part (self, usage);
  g_ptr_array_add (context->names, (gpointer) usage->name);
  g_array_append_val (context->parts, part);
}

gboolean
fb_account_parts_update_ready (FbAccountParts *self, uint64_t now_ms, uint32_t *took_ms)
{
  gboolean ready = fb_account_parts_all_reported (self);
  if (self->unready_ms == 0 || (self->was_ready && !ready))
    self->unready_ms = now_ms;
  gboolean changed = ready != self->was_ready;
  *took_ms = ready ? (uint32_t) (now_ms - self->unready_ms) : 0;
  if (changed)
    fb_event_log (FB_EVENT_ACCOUNT_PARTS,
                  "service=%s epoch=%" G_GUINT64_FORMAT
                  " other_pools=%u all_reported=%d took_ms=%u",
                  self->service, self->epoch, self->peers->len, ready, *took_ms);
  self->was_ready = ready;
  return changed && ready && self->peers->len > 0;
}

void
fb_account_parts_apply (FbAccountParts *self, FbPool *pool)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  g_autoptr (GArray) parts = g_array_new (FALSE, FALSE, sizeof (FbAmounts));
  PartContext context = { self, names, parts };
  fb_pool_foreach_account (pool, collect_part, &context);
  for (guint i = 0; i < names->len; i++)
    fb_pool_set_account_part (pool, names->pdata[i], &g_array_index (parts, FbAmounts, i));
}

/* ---- requests to a coordinator ------------------------------------------------------------ */

typedef struct
{
  FbAccountParts *self;
  const FbAccountPeer *coordinator;
  gboolean waits; /* steps wait for a larger part */
  GArray *rows;   /* of fb_account_part */
} RequestContext;

static void
append_row (GArray *rows, const FbPoolAccountUsage *usage, const FbAmounts *held)
{
  fb_account_part row = { .account = g_strdup (usage->name) };
  fb_amounts_encode (held, &row.held);
  fb_amounts_encode (&usage->taken, &row.taken);
  fb_amounts_encode (&usage->needed, &row.needed);
  fb_amounts_encode (&usage->wanted, &row.wanted);
  g_array_append_val (rows, row);
}

/* Adds a row about an account that this service coordinates itself: it tells the other pool that
 * the part which it holds and does not use is needed.  Without this, a pool that waited for a part
 * of its own account got it with the next report of the other pool, after up to 260 ms.  Daemons of
 * earlier versions record the row and do not use it. */
static void
add_own_row (const RequestContext *context, const FbPoolAccountUsage *usage)
{
  const FbAmounts part = fb_account_parts_own (context->self, usage);
  const FbAmounts held = fb_amounts_max (&part, &usage->taken);
  append_row (context->rows, usage, &held);
}

static void
add_row (gpointer user, const FbPoolAccountUsage *usage)
{
  RequestContext *context = user;
  if (fb_account_parts_is_coordinated_by (context->self, usage->name, context->self->service)
      && fb_account_parts_needs_back (context->self, context->coordinator, usage))
    {
      context->waits = TRUE;
      add_own_row (context, usage);
    }
  if (!fb_account_parts_is_coordinated_by (context->self, usage->name,
                                           context->coordinator->service))
    return;
  const FbAccountHolding *holding = fb_account_parts_holding (context->self, usage->name);
  /* More may run than is held after a takeover, or after a part was reduced. */
  const FbAmounts held = fb_amounts_max (&holding->held, &usage->taken);
  context->waits = context->waits || usage->waits;
  const FbAccountClaim claim = fb_account_claim_of (usage);
  if (context->coordinator->is_informed && fb_amounts_equal (&held, &holding->sent_held)
      && fb_amounts_equal (&holding->cap, &usage->cap)
      && memcmp (&claim, &holding->sent_claim, sizeof claim) == 0)
    return;
  append_row (context->rows, usage, &held);
}

static gboolean
is_due (const FbAccountPeer *coordinator, gboolean waits, uint64_t now_ms)
{
  uint32_t interval_ms
      = waits || !coordinator->is_informed ? URGENT_INTERVAL_MS : REPORT_INTERVAL_MS;
  return coordinator->sent_ms == 0 || coordinator->report_due
         || now_ms >= coordinator->sent_ms + interval_ms;
}

static void
note_sent (FbAccountParts *self, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const fb_account_part *row = &g_array_index (rows, fb_account_part, i);
      FbAccountHolding *holding = fb_account_parts_holding (self, row->account);
      holding->sent_held = fb_amounts_decode (&row->held);
      holding->sent_claim = fb_account_claim_decode (row);
    }
}

gboolean
fb_account_parts_build_request (FbAccountParts *self, const FbPool *pool, const char *coordinator,
                                uint64_t now_ms, fb_account_parts_request *request)
{
  FbAccountPeer *peer = fb_account_parts_find_peer (self, coordinator);
  if (peer == NULL || peer->request_open || !fb_pool_usage_is_known (pool))
    return FALSE;
  /* The rows are not collected where nothing can be due, whether steps wait or not. */
  if (!is_due (peer, TRUE, now_ms))
    return FALSE;
  RequestContext context
      = { self, peer, FALSE, g_array_new (FALSE, TRUE, sizeof (fb_account_part)) };
  fb_pool_foreach_account (pool, add_row, &context);
  *request = (fb_account_parts_request){ .coordinator = peer->service,
                                         .service = self->service,
                                         .epoch = self->epoch,
                                         .coordinator_epoch = peer->coordinator_epoch,
                                         .complete = !peer->is_informed };
  request->rows.rows_len = context.rows->len;
  gboolean due = is_due (peer, context.waits, now_ms);
  if (due)
    note_sent (self, context.rows);
  request->rows.rows_val = (fb_account_part *) (gpointer) g_array_free (context.rows, FALSE);
  if (!due)
    {
      fb_account_parts_request_clear (request);
      return FALSE;
    }
  request->sequence = ++self->last_sequence;
  peer->sent_ms = now_ms;
  peer->request_open = TRUE;
  peer->report_due = FALSE;
  return TRUE;
}

void
fb_account_parts_request_clear (fb_account_parts_request *request)
{
  for (u_int i = 0; i < request->rows.rows_len; i++)
    g_free (request->rows.rows_val[i].account);
  g_free (request->rows.rows_val);
}

/* Takes over a grant.  Less than before is reported at once, since other pools may wait for it. */
static void
apply_grant (FbAccountParts *self, FbAccountPeer *coordinator, const fb_account_grant *row)
{
  FbAccountHolding *holding = fb_account_parts_holding (self, row->account);
  const FbAmounts before = holding->held;
  holding->held = fb_amounts_decode (&row->granted);
  holding->cap = fb_amounts_decode (&row->cap);
  /* The coordinator has recorded a larger part when it granted it.  Without this, a part that was
   * given back before it was reported would equal the last report, and would stay recorded. */
  holding->sent_held = fb_amounts_max (&holding->sent_held, &holding->held);
  const FbAmounts larger = fb_amounts_max (&holding->held, &before);
  coordinator->report_due = coordinator->report_due || !fb_amounts_equal (&larger, &holding->held);
}

void
fb_account_parts_answered (FbAccountParts *self, const char *coordinator,
                           const fb_account_grants_reply *reply)
{
  FbAccountPeer *peer = fb_account_parts_find_peer (self, coordinator);
  if (peer == NULL)
    return;
  peer->request_open = FALSE;
  /* The coordinator may not have received the rows, so all are reported again. */
  peer->is_informed
      = reply != NULL && reply->epoch >= peer->coordinator_epoch && !reply->complete_needed;
  if (reply != NULL && reply->epoch > peer->coordinator_epoch)
    {
      peer->coordinator_epoch = reply->epoch;
      peer->report_due = TRUE;
    }
  if (!peer->is_informed)
    return;
  for (u_int i = 0; i < reply->rows.rows_len; i++)
    {
      if (fb_account_parts_is_coordinated_by (self, reply->rows.rows_val[i].account, coordinator))
        apply_grant (self, peer, &reply->rows.rows_val[i]);
    }
}

#include "internal/account-parts.h"

#include "fb-event.h"

#include <string.h>
#include <xxhash.h>

/* Intervals between two requests to a coordinator; the shorter one while steps wait for a larger
 * part, and until a complete request is answered. */
#define REPORT_INTERVAL_MS 250
#define URGENT_INTERVAL_MS 50

#define UNLIMITED G_MAXINT64

/* What this pool holds of an account that another service coordinates. */
typedef struct
{
  FbAmounts held;            /* what the pool may use */
  FbAmounts cap;             /* the cap of which HELD is a part */
  FbAmounts sent_held;       /* as last reported */
  FbAccountClaim sent_claim; /* as last reported */
} Holding;

/* What another pool holds of an account that this service coordinates. */
typedef struct
{
  FbAmounts granted;
  FbAccountClaim claim; /* as last reported */
} Grant;

/* The pool of another service. */
typedef struct
{
  char *service;
  /* As a member, to which this service grants parts. */
  gboolean has_reported;   /* an owner of it has sent a complete request */
  uint64_t reported_epoch; /* epoch of that owner */
  uint64_t epoch;          /* highest epoch of its owners that sent a request */
  uint64_t sequence;       /* number of its last request */
  GHashTable *grants;      /* account -> Grant */
  /* As a coordinator, which grants parts to this service. */
  uint64_t coordinator_epoch; /* highest epoch of its owners that replied */
  gboolean is_informed;       /* its present owner has answered a complete request */
  gboolean request_open;
  gboolean report_due; /* less is held than last reported */
  uint64_t sent_ms;    /* when the last request was sent; 0: never */
} Peer;

struct _FbAccountParts
{
  char *service;
  uint64_t epoch;
  uint64_t last_sequence;
  GPtrArray *services;  /* of char *, sorted */
  GPtrArray *peers;     /* of Peer, in the order of SERVICES */
  GHashTable *holdings; /* account -> Holding */
  gboolean was_ready;   /* last logged state, see is_ready() */
};

/* ---- amounts -------------------------------------------------------------------- */

static void
encode_amounts (const FbAmounts *amounts, fb_work_amounts *wire)
{
  *wire = (fb_work_amounts){ (u_quad_t) MAX (amounts->cpu_milli, 0),
                             (u_quad_t) MAX (amounts->mem_mb, 0),
                             (u_quad_t) MAX (amounts->gpu_count, 0) };
}

static FbAmounts
decode_amounts (const fb_work_amounts *wire)
{
  return (FbAmounts){ (int64_t) MIN (wire->cpu_milli, (uint64_t) UNLIMITED),
                      (int64_t) MIN (wire->mem_mb, (uint64_t) UNLIMITED),
                      (int64_t) MIN (wire->gpu_count, (uint64_t) UNLIMITED) };
}

/* ---- services ----------------------------------------------------------------------- */

static void
peer_free (gpointer data)
{
  Peer *peer = data;
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
      Peer *peer = g_new0 (Peer, 1);
      peer->service = g_strdup (sorted->pdata[i]);
      peer->grants = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_ptr_array_add (self->peers, peer);
    }
}

const char *
fb_account_parts_coordinator (const char *account, const GPtrArray *services)
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

static gboolean
is_coordinated_by (const FbAccountParts *self, const char *account, const char *service)
{
  const char *coordinator = fb_account_parts_coordinator (account, self->services);
  return coordinator != NULL && g_str_equal (coordinator, service);
}

/* Returns: (nullable): the pool of the other SERVICE. */
static Peer *
find_peer (const FbAccountParts *self, const char *service)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      Peer *peer = self->peers->pdata[i];
      if (g_str_equal (peer->service, service))
        return peer;
    }
  return NULL;
}

static Holding *
holding_of (FbAccountParts *self, const char *account)
{
  Holding *holding = g_hash_table_lookup (self->holdings, account);
  if (holding == NULL)
    {
      holding = g_new0 (Holding, 1);
      g_hash_table_insert (self->holdings, g_strdup (account), holding);
    }
  return holding;
}

static Grant *
grant_of (Peer *peer, const char *account)
{
  Grant *grant = g_hash_table_lookup (peer->grants, account);
  if (grant == NULL)
    {
      grant = g_new0 (Grant, 1);
      g_hash_table_insert (peer->grants, g_strdup (account), grant);
    }
  return grant;
}

/* ---- as coordinator ------------------------------------------------------------------ */

/* TRUE when all other pools have reported what they hold to this owner. */
static gboolean
is_ready (const FbAccountParts *self)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      if (!((const Peer *) self->peers->pdata[i])->has_reported)
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
collect_claims (const FbAccountParts *self, const FbPoolAccountUsage *usage, const Peer *member,
                guint *member_at)
{
  FbAccountClaim *claims = g_new0 (FbAccountClaim, self->peers->len + 1);
  claims[0] = (FbAccountClaim){ usage->taken, usage->needed, usage->wanted };
  *member_at = 0;
  for (guint i = 0; i < self->peers->len; i++)
    {
      Peer *peer = self->peers->pdata[i];
      if (member != NULL && peer == member)
        *member_at = i + 1;
      claims[i + 1] = grant_of (peer, usage->name)->claim;
    }
  return claims;
}

/* Divides the cap of the account in USAGE.  MEMBER (nullable): the pool whose target is
 * computed. */
static Division
divide (const FbAccountParts *self, const FbPoolAccountUsage *usage, const Peer *member)
{
  guint n = self->peers->len + 1;
  guint member_at = 0;
  g_autofree FbAccountClaim *claims = collect_claims (self, usage, member, &member_at);
  g_autofree FbAmounts *parts = g_new0 (FbAmounts, n);
  fb_account_parts_divide (&usage->cap, claims, n, parts);
  Division division = { .own = usage->cap, .target = parts[member_at] };
  for (guint i = 0; i < self->peers->len; i++)
    {
      const Grant *grant = grant_of (self->peers->pdata[i], usage->name);
      const FbAmounts reserved = fb_amounts_max (&grant->granted, &parts[i + 1]);
      fb_amounts_add (&division.granted, &grant->granted, 1);
      fb_amounts_add (&division.own, &reserved, -1);
    }
  return division;
}

static FbAmounts
own_part (const FbAccountParts *self, const FbPoolAccountUsage *usage)
{
  const FbAmounts none = { 0 };
  if (!is_ready (self))
    return none;
  const Division division = divide (self, usage, NULL);
  return fb_amounts_max (&division.own, &none);
}

/* Raises what MEMBER holds to its target as far as the cap allows now.  Returns: what it should
 * hold, which is less than it holds if it should give some back. */
static FbAmounts
grant_part (const FbAccountParts *self, Peer *member, const FbPoolAccountUsage *usage)
{
  Grant *grant = grant_of (member, usage->name);
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
  Peer *member;
  GHashTable *asked; /* set of the accounts in the request */
  GArray *rows;      /* of fb_account_grant */
} GrantContext;

static void
add_grant (gpointer user, const FbPoolAccountUsage *usage)
{
  const GrantContext *context = user;
  if (!is_coordinated_by (context->self, usage->name, context->self->service))
    return;
  const FbAmounts before = grant_of (context->member, usage->name)->granted;
  const FbAmounts answer = grant_part (context->self, context->member, usage);
  if (fb_amounts_equal (&before, &answer) && !g_hash_table_contains (context->asked, usage->name))
    return;
  fb_account_grant row = { .account = g_strdup (usage->name) };
  encode_amounts (&answer, &row.granted);
  encode_amounts (&usage->cap, &row.cap);
  g_array_append_val (context->rows, row);
}

/* Records what REQUEST reports.  A report that was meant for an earlier owner of this pool is not
 * recorded: that owner may have granted more after the report was sent.  Returns: FALSE when
 * REQUEST is older than what is known. */
static gboolean
record_request (const FbAccountParts *self, Peer *member, const fb_account_parts_request *request)
{
  if (request->epoch < member->epoch
      || (request->epoch == member->epoch && request->sequence <= member->sequence))
    return FALSE;
  /* A new owner of a pool that is also a coordinator knows nothing of what is held here. */
  if (request->epoch > member->epoch)
    member->is_informed = FALSE;
  member->epoch = request->epoch;
  member->sequence = request->sequence;
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
      Grant *grant = grant_of (member, row->account);
      grant->granted = decode_amounts (&row->held);
      grant->claim = (FbAccountClaim){ decode_amounts (&row->taken), decode_amounts (&row->needed),
                                       decode_amounts (&row->wanted) };
    }
  return TRUE;
}

gboolean
fb_account_parts_serve (FbAccountParts *self, FbPool *pool, const fb_account_parts_request *request,
                        fb_account_grants_reply *reply)
{
  Peer *member = find_peer (self, request->service);
  if (member == NULL || !record_request (self, member, request))
    return FALSE;
  *reply = (fb_account_grants_reply){ .epoch = self->epoch,
                                      .complete_needed = member->reported_epoch != member->epoch };
  if (!is_ready (self) || !fb_pool_usage_is_known (pool))
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

/* ---- the parts of this pool ------------------------------------------------------------- */

/* Returns: the part of an account that another service coordinates.  A part of a higher cap allows
 * no start: more than the lowered cap may be in use, and only the coordinator knows. */
static FbAmounts
held_part (FbAccountParts *self, const FbPoolAccountUsage *usage)
{
  const Holding *holding = holding_of (self, usage->name);
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
  FbAmounts part = { UNLIMITED, UNLIMITED, UNLIMITED };
  if (self->services->len > 1)
    part = is_coordinated_by (self, usage->name, self->service) ? own_part (self, usage)
                                                                : held_part (self, usage);
  g_ptr_array_add (context->names, (gpointer) usage->name);
  g_array_append_val (context->parts, part);
}

static void
log_ready (FbAccountParts *self)
{
  gboolean ready = is_ready (self);
  if (ready != self->was_ready)
    fb_event_log (FB_EVENT_ACCOUNT_PARTS,
                  "service=%s epoch=%" G_GUINT64_FORMAT " other_pools=%u all_reported=%d",
                  self->service, self->epoch, self->peers->len, ready);
  self->was_ready = ready;
}

void
fb_account_parts_apply (FbAccountParts *self, FbPool *pool)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  g_autoptr (GArray) parts = g_array_new (FALSE, FALSE, sizeof (FbAmounts));
  PartContext context = { self, names, parts };
  log_ready (self);
  fb_pool_foreach_account (pool, collect_part, &context);
  for (guint i = 0; i < names->len; i++)
    fb_pool_set_account_part (pool, names->pdata[i], &g_array_index (parts, FbAmounts, i));
}

/* ---- requests to a coordinator ------------------------------------------------------------ */

typedef struct
{
  FbAccountParts *self;
  const Peer *coordinator;
  gboolean waits; /* steps wait for a larger part */
  GArray *rows;   /* of fb_account_part */
} RequestContext;

static void
add_row (gpointer user, const FbPoolAccountUsage *usage)
{
  RequestContext *context = user;
  if (!is_coordinated_by (context->self, usage->name, context->coordinator->service))
    return;
  const Holding *holding = holding_of (context->self, usage->name);
  /* More may run than is held after a takeover, or after a part was reduced. */
  const FbAmounts held = fb_amounts_max (&holding->held, &usage->taken);
  context->waits = context->waits || usage->waits;
  const FbAccountClaim claim = { usage->taken, usage->needed, usage->wanted };
  if (context->coordinator->is_informed && fb_amounts_equal (&held, &holding->sent_held)
      && fb_amounts_equal (&holding->cap, &usage->cap)
      && memcmp (&claim, &holding->sent_claim, sizeof claim) == 0)
    return;
  fb_account_part row = { .account = g_strdup (usage->name) };
  encode_amounts (&held, &row.held);
  encode_amounts (&usage->taken, &row.taken);
  encode_amounts (&usage->needed, &row.needed);
  encode_amounts (&usage->wanted, &row.wanted);
  g_array_append_val (context->rows, row);
}

static gboolean
is_due (const Peer *coordinator, gboolean waits, uint64_t now_ms)
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
      Holding *holding = holding_of (self, row->account);
      holding->sent_held = decode_amounts (&row->held);
      holding->sent_claim
          = (FbAccountClaim){ decode_amounts (&row->taken), decode_amounts (&row->needed),
                              decode_amounts (&row->wanted) };
    }
}

gboolean
fb_account_parts_build_request (FbAccountParts *self, const FbPool *pool, const char *coordinator,
                                uint64_t now_ms, fb_account_parts_request *request)
{
  Peer *peer = find_peer (self, coordinator);
  if (peer == NULL || peer->request_open || !fb_pool_usage_is_known (pool))
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
apply_grant (FbAccountParts *self, Peer *coordinator, const fb_account_grant *row)
{
  Holding *holding = holding_of (self, row->account);
  const FbAmounts before = holding->held;
  holding->held = decode_amounts (&row->granted);
  holding->cap = decode_amounts (&row->cap);
  const FbAmounts larger = fb_amounts_max (&holding->held, &before);
  coordinator->report_due = coordinator->report_due || !fb_amounts_equal (&larger, &holding->held);
}

void
fb_account_parts_answered (FbAccountParts *self, const char *coordinator,
                           const fb_account_grants_reply *reply)
{
  Peer *peer = find_peer (self, coordinator);
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
      if (is_coordinated_by (self, reply->rows.rows_val[i].account, coordinator))
        apply_grant (self, peer, &reply->rows.rows_val[i]);
    }
}

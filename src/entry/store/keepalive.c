#include "keepalive.h"

#include "platform/wire.h"
#include "src/entry/clock.h"

#include "fb-counter.h"
#include "src/net/loop.h"

#include <stdatomic.h>

/* Divisors of the time to live: the first repeat is sent after two renewals of the main loop are
 * missing, and two repeats may be lost. */
#define OVERDUE_DIVISOR 2
#define REPEAT_DIVISOR 4
/* Time without a renewal after which the main loop is considered hung, or too slow for the leases
 * of its workers, which last 4 s: its pools are better owned by another daemon.  The longest
 * iteration observed took 0.5 s, on a daemon of 0.12 of a core that took over 2,300 jobs at
 * once. */
#define HANG_TIMEOUT_MS 3000
#define HTTP_OK 200

/* The main loop's last renewal, as passed to the keepalive thread. */
typedef struct
{
  FbKeepalive *keepalive;
  FbMembership which;
  FbHttpCall call;
  uint32_t ttl_ms;
  uint64_t last_renewal_sent_ms;
  uint64_t generation; /* of the group, as known to the main loop */
  uint64_t sent_ms;
} Renewal;

typedef struct
{
  FbKeepalive *keepalive;
  Renewal *renewal; /* last renewal; NULL: not a member */
  GSource *timer;   /* expires when the main loop is overdue; NULL: none */
  gboolean call_open;
  uint64_t repeated_ms; /* time at which the last repeat was sent */
  _Atomic uint64_t renewed_ms;
} Membership;

struct _FbKeepalive
{
  FbLoop *loop;
  FbHttpClient *client; /* used by the keepalive thread only */
  Membership memberships[FB_MEMBERSHIP_N];
};

static void
renewal_free (gpointer data)
{
  Renewal *renewal = data;
  fb_http_call_clear (&renewal->call);
  g_free (renewal);
}

static void
stop_timer (Membership *membership)
{
  if (membership->timer == NULL)
    return;
  g_source_destroy (membership->timer);
  g_clear_pointer (&membership->timer, g_source_unref);
}

static gboolean on_overdue (gpointer data);

static void
start_timer (Membership *membership, uint32_t wait_ms)
{
  stop_timer (membership);
  membership->timer = g_timeout_source_new (wait_ms);
  g_source_set_callback (membership->timer, on_overdue, membership, NULL);
  g_source_attach (membership->timer, fb_loop_context (membership->keepalive->loop));
}

/* Records that a repeat has extended the membership.  A repeat that was sent after the time to live
 * had expired extends nothing: the store may have assigned the partitions to another daemon and
 * back. */
static void
extend_membership (Membership *membership)
{
  const Renewal *renewal = membership->renewal;
  uint64_t previous_ms = MAX (atomic_load (&membership->renewed_ms), renewal->last_renewal_sent_ms);
  if (membership->repeated_ms <= previous_ms + renewal->ttl_ms)
    atomic_store (&membership->renewed_ms, membership->repeated_ms);
}

/* In another generation the partitions may have been assigned to another daemon, of which only the
 * main loop can take note. */
static gboolean
is_of_generation (const FbHttpReply *reply, uint64_t generation)
{
  g_autoptr (GArray) partitions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  uint64_t answered = 0;
  return fb_wire_parse_join (reply, &answered, partitions) && answered == generation;
}

static void
on_repeated (gpointer data, const FbHttpReply *reply)
{
  Membership *membership = data;
  membership->call_open = FALSE;
  if (membership->renewal != NULL && reply->status == FB_HTTP_OK && reply->code == HTTP_OK
      && is_of_generation (reply, membership->renewal->generation))
    extend_membership (membership);
}

static void
send_repeat (Membership *membership)
{
  const Renewal *renewal = membership->renewal;
  membership->call_open = TRUE;
  membership->repeated_ms = fb_clock_ms ();
  fb_counter_add (FB_COUNTER_KEEPALIVE_RENEWALS, 1);
  fb_http_client_exchange (membership->keepalive->client, &renewal->call,
                           renewal->ttl_ms / OVERDUE_DIVISOR, on_repeated, membership);
}

static gboolean
on_overdue (gpointer data)
{
  Membership *membership = data;
  const Renewal *renewal = membership->renewal;
  if (fb_clock_ms () > renewal->sent_ms + HANG_TIMEOUT_MS)
    {
      stop_timer (membership);
      return G_SOURCE_REMOVE;
    }
  if (!membership->call_open)
    send_repeat (membership);
  start_timer (membership, renewal->ttl_ms / REPEAT_DIVISOR);
  return G_SOURCE_REMOVE;
}

/* ---- messages of the main loop ---------------------------------------------------- */

static void
set_renewal (gpointer data)
{
  Renewal *renewal = data;
  Membership *membership = &renewal->keepalive->memberships[renewal->which];
  g_clear_pointer (&membership->renewal, renewal_free);
  membership->renewal = renewal;
  start_timer (membership, renewal->ttl_ms / OVERDUE_DIVISOR);
}

static void
drop_renewal (gpointer data)
{
  Membership *membership = data;
  stop_timer (membership);
  g_clear_pointer (&membership->renewal, renewal_free);
}

void
fb_keepalive_set_renewal (FbKeepalive *self, FbMembership which, const FbHttpCall *call,
                          uint32_t ttl_ms, uint64_t last_renewal_sent_ms, uint64_t generation)
{
  Renewal *renewal = g_new0 (Renewal, 1);
  renewal->keepalive = self;
  renewal->which = which;
  fb_http_call_copy (&renewal->call, call);
  renewal->ttl_ms = ttl_ms;
  renewal->last_renewal_sent_ms = last_renewal_sent_ms;
  renewal->generation = generation;
  renewal->sent_ms = fb_clock_ms ();
  fb_loop_post (self->loop, set_renewal, renewal, NULL);
}

void
fb_keepalive_cancel (FbKeepalive *self, FbMembership which)
{
  fb_loop_post (self->loop, drop_renewal, &self->memberships[which], NULL);
}

uint64_t
fb_keepalive_renewed_ms (const FbKeepalive *self, FbMembership which)
{
  return atomic_load (&self->memberships[which].renewed_ms);
}

/* ---- construction ---------------------------------------------------------------------- */

FbKeepalive *
fb_keepalive_new (void)
{
  FbKeepalive *self = g_new0 (FbKeepalive, 1);
  self->client = fb_http_client_new ();
  for (guint i = 0; i < FB_MEMBERSHIP_N; i++)
    self->memberships[i].keepalive = self;
  self->loop = fb_loop_new ("keepalive");
  return self;
}

void
fb_keepalive_free (FbKeepalive *self)
{
  fb_loop_join (self->loop);
  for (guint i = 0; i < FB_MEMBERSHIP_N; i++)
    drop_renewal (&self->memberships[i]);
  fb_http_client_free (self->client);
  fb_loop_free (self->loop);
  g_free (self);
}

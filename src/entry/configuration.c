#include "configuration.h"

#include "entry-private.h"

#include "fb-event.h"
#include "fb-status.h"

/* Time for which the store may delay its answer to a read while nothing changes.  When a connection
 * has stopped delivering data, the read on it times out ANSWER_ALLOWANCE_MS later, after
 * WAIT_BOUND_PERCENT of the time within which a configuration has to be in force; the rest is for
 * another read, or for asking peers. */
#define WAIT_MIN_MS 400
#define WAIT_MAX_MS 2500
#define ANSWER_ALLOWANCE_MS 800
#define WAIT_BOUND_PERCENT 60
/* Interval at which peers are asked, one at a time. */
#define PEER_INTERVAL_MS 250
#define PEER_TIMEOUT_MS 400

uint32_t
fb_configuration_wait_ms (uint64_t bound_ms, gboolean has_accounts)
{
  uint64_t timeout_ms = bound_ms * WAIT_BOUND_PERCENT / 100;
  /* Keys and caps of accounts are withdrawn without a bound of their own. */
  if (has_accounts || timeout_ms <= ANSWER_ALLOWANCE_MS)
    return WAIT_MIN_MS;
  return (uint32_t) CLAMP (timeout_ms - ANSWER_ALLOWANCE_MS, WAIT_MIN_MS, WAIT_MAX_MS);
}

static uint32_t
wait_ms (const FbEntryDaemon *entry)
{
  return fb_configuration_wait_ms (entry->settings->config_bound_ms,
                                   entry->routes == NULL || entry->routes->accounts != NULL);
}

gboolean
fb_configuration_is_read_often (const FbEntryDaemon *entry)
{
  return wait_ms (entry) == WAIT_MIN_MS;
}

/* Applies SOURCE, a configuration as the operator wrote it, if it is valid and newer than the one
 * in force.  FROM: where it comes from, a static text for the log. */
static void
apply_configuration (FbEntryDaemon *entry, GBytes *source, const char *from)
{
  FbRoutes *routes = fb_wire_parse_routes (source);
  if (routes == NULL)
    {
      fb_event_log (FB_EVENT_CONFIG_IGNORED, "why=\"%s\" from=%s", fb_status_message (), from);
      return;
    }
  if (entry->routes != NULL && routes->version <= entry->routes->version)
    {
      fb_routes_free (routes);
      return;
    }
  fb_routes_free (entry->routes);
  entry->routes = routes;
  fb_event_log (
      FB_EVENT_ROUTES_IN_FORCE,
      "version=%" G_GUINT64_FORMAT
      " routes=%u services=%u accounts=%u keys=%u from=%s store_ok_ms_ago=%u",
      routes->version, routes->routes->len, routes->services->len,
      routes->accounts != NULL ? g_hash_table_size (fb_accounts_by_name (routes->accounts)) : 0,
      routes->accounts != NULL ? fb_accounts_keys_n (routes->accounts) : 0, from,
      (guint) (fb_clock_ms () - entry->store_answered_ms));
  fb_topic_reader_set_wait (entry->config_reader, wait_ms (entry));
  fb_entry_foreach_owner (entry, fb_owner_routes_changed);
}

/* ---- from the store -------------------------------------------------------------- */

static void
ignore_listing (gpointer user)
{
  (void) user;
}

static void
on_record (gpointer user, const FbStoreRecord *record)
{
  if (g_str_equal (record->key, FB_KEY_CONFIG) && record->value != NULL)
    apply_configuration (user, record->value, "store");
}

static const FbTopicReaderOps reader_ops = { ignore_listing, on_record, ignore_listing };

/* ---- from a peer ------------------------------------------------------------------ */

static void
on_peer_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  if (peer_reply == NULL || peer_reply->type != FB_REPLY_CONFIGURATION)
    return;
  const fb_configuration_reply *reply = &peer_reply->fb_peer_reply_u.configuration;
  g_autoptr (GBytes) source = g_bytes_new (reply->value.value_val, reply->value.value_len);
  apply_configuration (data, source, "peer");
}

/* Asks one peer for a newer version while the store does not answer: the store may turn away this
 * daemon and serve others, and a key that an operator took away must not be accepted here. */
static void
ask_peer_if_stale (gpointer data, uint64_t now_ms)
{
  FbEntryDaemon *entry = data;
  if (now_ms
      < fb_topic_reader_synced_ms (entry->config_reader) + wait_ms (entry) + ANSWER_ALLOWANCE_MS)
    return;
  const char *peer = fb_group_any_peer (entry->group, NULL);
  if (peer == NULL)
    return;
  fb_peer_request peer_request = { .type = FB_REQUEST_CONFIGURATION };
  peer_request.fb_peer_request_u.configuration.config_version
      = entry->routes != NULL ? entry->routes->version : 0;
  fb_peers_request (entry, peer, &peer_request, PEER_TIMEOUT_MS, on_peer_reply, entry);
}

void
fb_configuration_watch (FbEntryDaemon *entry)
{
  entry->config_reader = fb_topic_reader_new (entry, FB_TOPIC_CONFIG, 0, 0, &reader_ops, entry);
  fb_timer_subscribe (entry->timer, PEER_INTERVAL_MS, ask_peer_if_stale, entry);
}

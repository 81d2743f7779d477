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
/* Interval at which waiting requests of other daemons are checked. */
#define WATCHERS_INTERVAL_MS 100

uint32_t
fb_configuration_wait_ms (uint64_t bound_ms, gboolean has_accounts)
{
  uint64_t timeout_ms = bound_ms * WAIT_BOUND_PERCENT / 100;
  /* Keys and caps of accounts are withdrawn without a bound of their own. */
  if (has_accounts || timeout_ms <= ANSWER_ALLOWANCE_MS)
    return WAIT_MIN_MS;
  return (uint32_t) CLAMP (timeout_ms - ANSWER_ALLOWANCE_MS, WAIT_MIN_MS, WAIT_MAX_MS);
}

/* Daemons that others may watch notice sooner that they lack a configuration, so that a daemon has
 * the time for a read of its own after that. */
static uint32_t
wait_ms (const FbEntryDaemon *entry)
{
  if (fb_daemons_is_large_fleet (entry->daemons) && fb_daemons_may_own (entry->daemons))
    return WAIT_MIN_MS;
  return fb_configuration_wait_ms (entry->settings->config_bound_ms,
                                   entry->routes == NULL || entry->routes->accounts != NULL);
}

gboolean
fb_configuration_is_current (const FbEntryDaemon *entry, uint64_t now_ms)
{
  const FbTopicReader *reader = entry->config_reader;
  return !entry->stopping && !fb_topic_reader_is_suspended (reader)
         && !fb_topic_reader_has_failed (reader)
         && now_ms < fb_topic_reader_synced_ms (reader) + wait_ms (entry) + ANSWER_ALLOWANCE_MS;
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
  fb_route_directory_remember (entry->route_directory, routes);
  fb_event_log (
      FB_EVENT_ROUTES_IN_FORCE,
      "version=%" G_GUINT64_FORMAT
      " routes=%u services=%u accounts=%u keys=%u from=%s store_ok_ms_ago=%u",
      routes->version, routes->routes->len, routes->services->len,
      routes->accounts != NULL ? g_hash_table_size (fb_accounts_by_name (routes->accounts)) : 0,
      routes->accounts != NULL ? fb_accounts_keys_n (routes->accounts) : 0, from,
      (guint) (fb_clock_ms () - entry->store_answered_ms));
  fb_topic_reader_set_wait (entry->config_reader, wait_ms (entry));
  fb_configuration_watchers_changed (entry->configuration_watchers);
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

gboolean
fb_configuration_is_newer (const FbEntryDaemon *entry, uint64_t config_version)
{
  return entry->routes != NULL && entry->routes->version > config_version;
}

gboolean
fb_configuration_fill_reply (const FbEntryDaemon *entry, uint64_t config_version,
                             fb_peer_reply *peer_reply)
{
  if (!fb_configuration_is_newer (entry, config_version))
    return FALSE;
  gsize len = 0;
  fb_configuration_reply *configuration = &peer_reply->fb_peer_reply_u.configuration;
  peer_reply->type = FB_REPLY_CONFIGURATION;
  configuration->config_version = entry->routes->version;
  configuration->value.value_val = (char *) g_bytes_get_data (entry->routes->source, &len);
  configuration->value.value_len = (u_int) len;
  return TRUE;
}

void
fb_configuration_apply_reply (FbEntryDaemon *entry, const fb_configuration_reply *reply)
{
  g_autoptr (GBytes) source = g_bytes_new (reply->value.value_val, reply->value.value_len);
  apply_configuration (entry, source, "peer");
}

static void
on_peer_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  if (peer_reply != NULL && peer_reply->type == FB_REPLY_CONFIGURATION)
    fb_configuration_apply_reply (data, &peer_reply->fb_peer_reply_u.configuration);
}

/* Watches another daemon where that is possible, and asks one peer for a newer version while
 * neither it nor the store answers: the store may turn away this daemon and serve others, and a key
 * that an operator took away must not be accepted here. */
static void
check_sources (gpointer data, uint64_t now_ms)
{
  FbEntryDaemon *entry = data;
  uint64_t synced_ms = MAX (fb_topic_reader_synced_ms (entry->config_reader),
                            fb_configuration_watch_synced_ms (entry->configuration_watch));
  fb_configuration_watch_check (entry->configuration_watch, now_ms);
  if (now_ms < synced_ms + wait_ms (entry) + ANSWER_ALLOWANCE_MS)
    return;
  const char *peer = fb_group_any_peer (entry->group, NULL);
  if (peer == NULL)
    return;
  fb_peer_request peer_request = { .type = FB_REQUEST_CONFIGURATION };
  peer_request.fb_peer_request_u.configuration.config_version
      = entry->routes != NULL ? entry->routes->version : 0;
  fb_peers_request (entry, peer, &peer_request, PEER_TIMEOUT_MS, on_peer_reply, entry);
}

static void
check_watchers (gpointer data, uint64_t now_ms)
{
  fb_configuration_watchers_check (((FbEntryDaemon *) data)->configuration_watchers, now_ms);
}

void
fb_configuration_watch (FbEntryDaemon *entry)
{
  entry->config_reader = fb_topic_reader_new (entry, FB_TOPIC_CONFIG, 0, 0, &reader_ops, entry);
  entry->configuration_watchers = fb_configuration_watchers_new (entry);
  entry->configuration_watch = fb_configuration_watch_new (entry);
  fb_timer_subscribe (entry->timer, PEER_INTERVAL_MS, check_sources, entry);
  fb_timer_subscribe (entry->timer, WATCHERS_INTERVAL_MS, check_watchers, entry);
}

/* Exchanges parts of the caps of client accounts with the owners of other pools. */
#include "owner-private.h"

#include "fb-histogram.h"

/* Interval at which the parts are applied to a pool. */
#define APPLY_INTERVAL_MS 20
#define REQUEST_TIMEOUT_MS 600
/* Maximum number of accounts of a pool in the metrics. */
#define RENDERED_ACCOUNTS_MAX 200

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
  char *service;
  char *coordinator;
} PartsRequest;

static void
on_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  PartsRequest *request = data;
  FbOwner *owner = fb_entry_owner (request->entry, request->partition);
  FbServicePool *service_pool = owner != NULL && owner->epoch == request->epoch
                                    ? g_hash_table_lookup (owner->service_pools, request->service)
                                    : NULL;
  gboolean answered = peer_reply != NULL && peer_reply->type == FB_REPLY_ACCOUNT_GRANTS;
  if (service_pool != NULL)
    {
      fb_account_parts_answered (service_pool->parts, request->coordinator,
                                 answered ? &peer_reply->fb_peer_reply_u.grants : NULL);
      service_pool->parts_ms = 0;
      fb_owner_schedule_tick (owner);
    }
  g_free (request->service);
  g_free (request->coordinator);
  g_free (request);
}

static void
request_parts (FbServicePool *service_pool, const char *coordinator, uint64_t now_ms)
{
  const FbOwner *owner = service_pool->owner;
  fb_peer_request peer_request = { .type = FB_REQUEST_ACCOUNT_PARTS };
  fb_account_parts_request *parts = &peer_request.fb_peer_request_u.parts;
  if (!fb_account_parts_build_request (service_pool->parts, service_pool->pool, coordinator, now_ms,
                                       parts))
    return;
  PartsRequest *request = g_new0 (PartsRequest, 1);
  request->entry = owner->entry;
  request->partition = owner->partition;
  request->epoch = owner->epoch;
  request->service = g_strdup (service_pool->service);
  request->coordinator = g_strdup (coordinator);
  fb_peers_request_owner (owner->entry, coordinator, &peer_request, REQUEST_TIMEOUT_MS, on_reply,
                          request);
  fb_account_parts_request_clear (parts);
}

void
fb_owner_exchange_account_parts (FbServicePool *service_pool, uint64_t now_ms)
{
  const FbRoutes *routes = service_pool->owner->entry->routes;
  if (routes == NULL || routes->accounts == NULL
      || now_ms < service_pool->parts_ms + APPLY_INTERVAL_MS)
    return;
  service_pool->parts_ms = now_ms;
  uint32_t took_ms = 0;
  if (fb_account_parts_update_ready (service_pool->parts, now_ms, &took_ms))
    fb_histogram_add (FB_HISTOGRAM_ACCOUNT_PARTS_READY, took_ms);
  fb_account_parts_apply (service_pool->parts, service_pool->pool);
  fb_account_parts_measure_waits (service_pool->parts, service_pool->pool, now_ms);
  gboolean confirmed = fb_owner_confirm (service_pool->owner, service_pool, now_ms);
  for (guint i = 0; confirmed && i < routes->services->len; i++)
    request_parts (service_pool, routes->services->pdata[i], now_ms);
}

/* Grants nothing unless the ownership is confirmed: if two owners granted parts of the same cap,
 * the pools could use more than the cap. */
void
fb_owner_answer_account_parts (FbOwner *self, const fb_account_parts_request *peer_request,
                               fb_peer_reply *peer_reply)
{
  FbServicePool *service_pool
      = g_hash_table_lookup (self->service_pools, peer_request->coordinator);
  if (service_pool == NULL || !fb_owner_confirm (self, service_pool, fb_clock_ms ())
      || !fb_account_parts_serve (service_pool->parts, service_pool->pool, peer_request,
                                  &peer_reply->fb_peer_reply_u.grants))
    return;
  peer_reply->type = FB_REPLY_ACCOUNT_GRANTS;
  fb_owner_schedule_tick (self);
}

/* ---- metrics ------------------------------------------------------------------------------ */

typedef struct
{
  const char *service;
  GString *out;
  guint n; /* accounts rendered so far */
} RenderContext;

static void
render_account (gpointer user, const FbPoolAccountUsage *usage)
{
  static const char *const resources[FB_AMOUNTS_N] = { "cpu-milli", "mem-mb", "gpu" };
  RenderContext *context = user;
  g_autofree char *name = g_strescape (usage->name, NULL);
  if (context->n++ >= RENDERED_ACCOUNTS_MAX)
    return;
  for (guint i = 0; i < FB_AMOUNTS_N; i++)
    {
      g_autofree char *labels = g_strdup_printf ("{service=\"%s\",account=\"%s\",resource=\"%s\"}",
                                                 context->service, name, resources[i]);
      g_string_append_printf (context->out,
                              "flamingobarrow_account_used%s %" G_GINT64_FORMAT
                              "\nflamingobarrow_account_cap%s %" G_GINT64_FORMAT "\n",
                              labels, fb_amounts_get (&usage->taken, i), labels,
                              fb_amounts_get (&usage->cap, i));
    }
  g_string_append_printf (context->out,
                          "flamingobarrow_account_waits{service=\"%s\",account=\"%s\"} %d\n",
                          context->service, name, usage->waits);
}

void
fb_owner_render_accounts (const FbOwner *self, GString *out)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbServicePool *service_pool = value;
      RenderContext context = { service_pool->service, out, 0 };
      fb_pool_foreach_account (service_pool->pool, render_account, &context);
    }
}

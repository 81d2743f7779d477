#include "route-directory.h"

#include "src/entry/entry-private.h"

#include "fb-event.h"
#include "internal/codec.h"

#include <string.h>
#include <xxhash.h>

/* A caller who cancels a job waits about 3 s for the answer, and the cancel is to be stored yet. */
#define FIND_TIMEOUT_MS 1200
/* Time between two listings, so that callers at paths that never had a route cost few calls. */
#define LISTING_INTERVAL_MS 100
#define APPEND_RETRY_MS 1000

struct _FbRouteDirectory
{
  FbEntryDaemon *entry;
  FbRoutes *routes;      /* that were in force here, or have been read */
  GHashTable *by_key;    /* key -> the FbRoute in ROUTES, borrowed */
  FbTopicReader *reader; /* of the listing in progress; NULL: none is */
  GPtrArray *listed;     /* of FbSearch, which are answered by the listing in progress */
  GPtrArray *waiting;    /* of FbSearch, for the next one */
  uint64_t listed_ms;    /* time at which the last listing began */
  guint listing_source;  /* source of the next listing; 0: none */
  FbAppender *appender;
  GHashTable *stored;  /* key -> GBytes of its record: stored, or sent to the store */
  guint append_source; /* source of the next attempt to store what was not; 0: none */
};

/* A caller's path that the routes of this daemon do not have. */
typedef struct
{
  FbRouteDirectory *directory;
  char *host;
  char *path;
  FbRouteFound found;
  gpointer user;
  guint timeout_source;
} FbSearch;

/* ---- routes ------------------------------------------------------------------------- */

/* Returns: (transfer full): what the directory keeps of ROUTE. */
static FbRoute *
route_copy (const FbRoute *route)
{
  FbRoute *copy = g_new0 (FbRoute, 1);
  copy->host = g_strdup (route->host);
  copy->prefix = g_strdup (route->prefix);
  copy->anonymous = route->anonymous;
  copy->policy.queue = strdup (route->policy.queue);
  copy->policy.service = strdup (route->policy.service);
  return copy;
}

/* Returns: (transfer full): the key of the record of ROUTE; host and prefix may be as long as a
 * key. */
static char *
key_of (const FbRoute *route)
{
  g_autofree char *host = g_ascii_strdown (route->host, -1);
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
                          (guint64) XXH64 (host, strlen (host), 0),
                          (guint64) XXH64 (route->prefix, strlen (route->prefix), 0));
}

static gboolean
leads_to_same (const FbRoute *a, const FbRoute *b)
{
  return a->anonymous == b->anonymous && g_str_equal (a->policy.queue, b->policy.queue)
         && g_str_equal (a->policy.service, b->policy.service);
}

static void
put (FbRouteDirectory *self, const FbRoute *route)
{
  g_autofree char *key = key_of (route);
  FbRoute *other = g_hash_table_lookup (self->by_key, key);
  if (other != NULL && leads_to_same (other, route))
    return;
  if (other != NULL)
    g_ptr_array_remove_fast (self->routes->routes, other);
  FbRoute *copy = route_copy (route);
  fb_routes_add (self->routes, copy);
  g_hash_table_replace (self->by_key, g_steal_pointer (&key), copy);
}

void
fb_route_directory_remember (FbRouteDirectory *self, const FbRoutes *routes)
{
  for (guint i = 0; i < routes->routes->len; i++)
    put (self, routes->routes->pdata[i]);
}

/* ---- storing ------------------------------------------------------------------------- */

static gboolean
on_append_due (gpointer data)
{
  FbRouteDirectory *self = data;
  self->append_source = 0;
  fb_entry_foreach_owner (self->entry, fb_owner_store_routes);
  return G_SOURCE_REMOVE;
}

/* Which records were not stored is not known here, so all are stored again. */
static void
on_appended (gpointer data, FbAppendResult result)
{
  FbRouteDirectory *self = data;
  if (result == FB_APPEND_STORED || result == FB_APPEND_INVALID)
    return;
  g_hash_table_remove_all (self->stored);
  if (self->append_source == 0)
    self->append_source = g_timeout_add (APPEND_RETRY_MS, on_append_due, self);
}

/* Adds the record of ROUTE to RECORDS if it was not stored. */
static void
encode_route (FbRouteDirectory *self, GByteArray *records, const FbRoute *route)
{
  const fb_stored_route stored = { .host = route->host,
                                   .prefix = route->prefix,
                                   .anonymous = route->anonymous,
                                   .queue = { route->policy.queue, route->policy.service } };
  char *key = key_of (route);
  GBytes *value = fb_codec_encode_stored_route (&stored);
  GBytes *previous = g_hash_table_lookup (self->stored, key);
  if (value == NULL || (previous != NULL && g_bytes_equal (previous, value)))
    {
      g_clear_pointer (&value, g_bytes_unref);
      g_free (key);
      return;
    }
  fb_wire_encode_record (records, key, value);
  g_hash_table_replace (self->stored, key, value);
}

void
fb_route_directory_store (FbRouteDirectory *self, const FbRoutes *routes, uint32_t partition)
{
  g_autoptr (GByteArray) records = g_byte_array_new ();
  for (guint i = 0; i < routes->routes->len; i++)
    {
      const FbRoute *route = routes->routes->pdata[i];
      if (fb_entry_partition_of (self->entry, route->policy.service) == partition)
        encode_route (self, records, route);
    }
  if (records->len > 0)
    fb_appender_put (self->appender, g_steal_pointer (&records), 0, on_appended, self);
}

/* ---- searches ------------------------------------------------------------------------ */

static void
search_free (FbSearch *search)
{
  if (search->timeout_source != 0)
    g_source_remove (search->timeout_source);
  g_free (search->host);
  g_free (search->path);
  g_free (search);
}

static void
search_finish (FbSearch *search, gboolean is_known)
{
  const FbRoutes *routes = search->directory->routes;
  search->found (search->user,
                 is_known ? fb_routes_find (routes, search->host, search->path) : NULL, is_known);
  search_free (search);
}

static gboolean
on_timeout (gpointer data)
{
  FbSearch *search = data;
  search->timeout_source = 0;
  if (!g_ptr_array_remove_fast (search->directory->waiting, search))
    g_ptr_array_remove_fast (search->directory->listed, search);
  search_finish (search, FALSE);
  return G_SOURCE_REMOVE;
}

static void
ignore_begin (gpointer user)
{
  (void) user;
}

static void
on_record (gpointer user, const FbStoreRecord *record)
{
  FbRouteDirectory *self = user;
  gsize len = 0;
  gconstpointer data = record->value != NULL ? g_bytes_get_data (record->value, &len) : NULL;
  fb_stored_route stored;
  if (data == NULL)
    return;
  if (!fb_codec_decode_stored_route (data, len, &stored))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "route directory key=%s malformed", record->key);
      return;
    }
  const FbRoute route
      = { .host = stored.host,
          .prefix = stored.prefix,
          .anonymous = stored.anonymous,
          .policy = { .queue = stored.queue.queue, .service = stored.queue.service } };
  put (self, &route);
  xdr_free ((xdrproc_t) xdr_fb_stored_route, (char *) &stored);
}

static void list (FbRouteDirectory *self);

static void
on_configuration (gpointer user, const FbStoreRecord *record)
{
  if (!g_str_equal (record->key, FB_KEY_CONFIG) || record->value == NULL)
    return;
  g_autoptr (FbRoutes) routes = fb_wire_parse_routes (record->value);
  if (routes != NULL)
    fb_route_directory_remember (user, routes);
}

static void
on_configuration_listed (gpointer user)
{
  FbRouteDirectory *self = user;
  g_clear_pointer (&self->reader, fb_topic_reader_free);
  while (self->listed->len > 0)
    search_finish (g_ptr_array_steal_index_fast (self->listed, self->listed->len - 1), TRUE);
  list (self);
}

static const FbTopicReaderOps configuration_ops
    = { ignore_begin, on_configuration, on_configuration_listed };

/* Owners store the routes of a configuration once they have received it, so the newest one is read
 * as well. */
static void
on_listed (gpointer user)
{
  FbRouteDirectory *self = user;
  fb_topic_reader_free (self->reader);
  self->reader = fb_topic_reader_new (self->entry, FB_TOPIC_CONFIG, 0, 0, &configuration_ops, self);
}

static const FbTopicReaderOps reader_ops = { ignore_begin, on_record, on_listed };

static gboolean
on_listing_due (gpointer data)
{
  FbRouteDirectory *self = data;
  self->listing_source = 0;
  list (self);
  return G_SOURCE_REMOVE;
}

/* Begins a listing for the searches that wait.  One that began before a search may lack a route
 * that was stored since. */
static void
list (FbRouteDirectory *self)
{
  uint64_t now_ms = fb_clock_ms ();
  if (self->reader != NULL || self->listing_source != 0 || self->waiting->len == 0)
    return;
  if (self->listed_ms != 0 && now_ms < self->listed_ms + LISTING_INTERVAL_MS)
    {
      guint delay_ms = (guint) (self->listed_ms + LISTING_INTERVAL_MS - now_ms);
      self->listing_source = g_timeout_add (delay_ms, on_listing_due, self);
      return;
    }
  self->listed_ms = now_ms;
  g_ptr_array_extend_and_steal (self->listed, g_steal_pointer (&self->waiting));
  self->waiting = g_ptr_array_new ();
  self->reader = fb_topic_reader_new (self->entry, FB_TOPIC_ROUTES, 0, 0, &reader_ops, self);
}

void
fb_route_directory_find (FbRouteDirectory *self, const char *host, const char *path,
                         FbRouteFound found, gpointer user)
{
  const FbRoute *route = fb_routes_find (self->routes, host, path);
  /* Another route may have a longer prefix. */
  if (route != NULL && strchr (path + strlen (route->prefix), '/') == NULL)
    {
      found (user, route, TRUE);
      return;
    }
  FbSearch *search = g_new0 (FbSearch, 1);
  search->directory = self;
  search->host = g_strdup (host);
  search->path = g_strdup (path);
  search->found = found;
  search->user = user;
  search->timeout_source = g_timeout_add (FIND_TIMEOUT_MS, on_timeout, search);
  g_ptr_array_add (self->waiting, search);
  list (self);
}

/* ---- construction ------------------------------------------------------------------- */

FbRouteDirectory *
fb_route_directory_new (FbEntryDaemon *entry)
{
  FbRouteDirectory *self = g_new0 (FbRouteDirectory, 1);
  self->entry = entry;
  self->routes = fb_routes_new (0);
  self->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->listed = g_ptr_array_new ();
  self->waiting = g_ptr_array_new ();
  self->appender = fb_appender_new (entry, FB_TOPIC_ROUTES, 0, NULL, 0);
  self->stored
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  return self;
}

void
fb_route_directory_free (FbRouteDirectory *self)
{
  if (self == NULL)
    return;
  if (self->listing_source != 0)
    g_source_remove (self->listing_source);
  if (self->append_source != 0)
    g_source_remove (self->append_source);
  fb_topic_reader_free (self->reader);
  fb_appender_free (self->appender);
  for (guint i = 0; i < self->listed->len; i++)
    search_free (self->listed->pdata[i]);
  for (guint i = 0; i < self->waiting->len; i++)
    search_free (self->waiting->pdata[i]);
  g_ptr_array_unref (self->listed);
  g_ptr_array_unref (self->waiting);
  g_hash_table_unref (self->stored);
  g_hash_table_unref (self->by_key);
  fb_routes_free (self->routes);
  g_free (self);
}

#include "routes.h"

#include <string.h>

static void
route_free (gpointer data)
{
  FbRoute *route = data;
  xdr_free ((xdrproc_t) xdr_fb_work_policy, (char *) &route->policy);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route);
}

FbRoutes *
fb_routes_new (uint64_t version)
{
  FbRoutes *self = g_new0 (FbRoutes, 1);
  self->version = version;
  self->routes = g_ptr_array_new_with_free_func (route_free);
  self->services = g_ptr_array_new_with_free_func (g_free);
  return self;
}

void
fb_routes_free (FbRoutes *self)
{
  if (self == NULL)
    return;
  g_ptr_array_unref (self->routes);
  g_ptr_array_unref (self->services);
  fb_accounts_free (self->accounts);
  g_clear_pointer (&self->source, g_bytes_unref);
  g_free (self);
}

void
fb_routes_add (FbRoutes *self, FbRoute *route)
{
  g_ptr_array_add (self->routes, route);
}

static gboolean
host_matches (const char *route_host, const char *host)
{
  gsize len = strcspn (host, ":");
  return strlen (route_host) == len && g_ascii_strncasecmp (route_host, host, len) == 0;
}

const FbRoute *
fb_routes_find (const FbRoutes *self, const char *host, const char *path)
{
  const FbRoute *best = NULL;
  for (guint i = 0; i < self->routes->len; i++)
    {
      const FbRoute *route = self->routes->pdata[i];
      if (host_matches (route->host, host) && g_str_has_prefix (path, route->prefix)
          && (best == NULL || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  return best;
}

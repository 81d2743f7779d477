/* The active configuration: routes, which map the host and path of a caller's request to a queue,
 * and client accounts. */
#pragma once

#include "accounts.h"
#include "rpc/work.h"

#include <glib.h>
#include <stdint.h>

typedef struct
{
  char *host;
  char *prefix;
  gboolean anonymous;    /* callers need no key, and their jobs belong to no account */
  fb_work_policy policy; /* strings owned by the route */
} FbRoute;

typedef struct
{
  uint64_t version;
  GPtrArray *routes;    /* of FbRoute */
  GPtrArray *services;  /* of char * */
  FbAccounts *accounts; /* NULL: callers need no key */
  GBytes *source;       /* the record that was parsed, for daemons that cannot read it */
} FbRoutes;

FbRoutes *fb_routes_new (uint64_t version);
void fb_routes_free (FbRoutes *self);
/* Adds ROUTE (transfer full). */
void fb_routes_add (FbRoutes *self, FbRoute *route);
/* Returns: (nullable): the route for HOST, whose port is ignored, with the longest matching prefix
 * of PATH; borrowed. */
const FbRoute *fb_routes_find (const FbRoutes *self, const char *host, const char *path);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FbRoutes, fb_routes_free)

/* The routes of all configurations that have been in force.
 *
 * The platform keeps the newest configuration only, and jobs outlive their route.  So the owner of
 * the service to which a route leads stores the route, and a daemon reads what is stored when a
 * caller cancels a job at a path that its own configuration does not have: a route that was taken
 * out before the daemon started, or one that it has not received yet. */
#pragma once

#include "src/entry/routes.h"

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntryDaemon FbEntryDaemon;
typedef struct _FbRouteDirectory FbRouteDirectory;

/* ROUTE: NULL when there has been none; borrowed.  IS_KNOWN: FALSE when the store did not answer in
 * time, and ROUTE is NULL. */
typedef void (*FbRouteFound) (gpointer user, const FbRoute *route, gboolean is_known);

FbRouteDirectory *fb_route_directory_new (FbEntryDaemon *entry);
void fb_route_directory_free (FbRouteDirectory *self);
/* Remembers the routes of a configuration that comes into force at this daemon. */
void fb_route_directory_remember (FbRouteDirectory *self, const FbRoutes *routes);
/* Stores those of ROUTES whose service is in PARTITION, unless this daemon has stored them. */
void fb_route_directory_store (FbRouteDirectory *self, const FbRoutes *routes, uint32_t partition);
/* Finds the route for HOST with the longest prefix of PATH.  FOUND is called once, possibly before
 * this returns. */
void fb_route_directory_find (FbRouteDirectory *self, const char *host, const char *path,
                              FbRouteFound found, gpointer user);

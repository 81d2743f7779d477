/* Choice of the rack for a run, from the summaries of racks, which lag behind. Does no I/O. */
#pragma once

#include "fb-types.h"

#define FB_NO_RACK G_MAXUINT32

typedef struct _FbRouter FbRouter;

/* Properties of a rack that the settings fix. */
typedef struct
{
  uint32_t partner;
  uint32_t domain;
  fb_res host_capacity; /* capacity of its largest host */
  fb_res total;         /* capacity of all its hosts */
} FbRackInfo;

typedef struct
{
  const fb_spec *spec;
  uint64_t now_ms;
  uint32_t avoid_rack; /* the rack that refused last, or FB_NO_RACK */
  gboolean probe_only; /* only checks for free capacity on some rack; nothing will be sent */
  /* Returns: the number of tasks of the same job in a rack or domain. Both NULL for work
   * that is not spread. */
  guint (*count_in_rack) (gpointer user, uint32_t rack);
  guint (*count_in_domain) (gpointer user, uint32_t domain);
  gpointer user;
} FbRouteRequest;

typedef struct
{
  uint32_t rack;
  uint32_t runner_up; /* second choice, for the log; or FB_NO_RACK */
  uint64_t epoch;     /* epoch of the rack's owner, which the order is valid for */
} FbRouteChoice;

typedef struct
{
  const char *name;
  /* Returns: TRUE and fills CHOICE, or FALSE if no rack is suitable. CANDIDATES has the
   * ids of the racks that are suitable according to their summaries; it is not empty. */
  gboolean (*choose) (FbRouter *router, const FbRouteRequest *request, const GArray *candidates,
                      FbRouteChoice *choice);
} FbRoutePolicy;

extern const FbRoutePolicy fb_route_random;
extern const FbRoutePolicy fb_route_two_choices;
extern const FbRoutePolicy fb_route_best_known;

/* Returns: (transfer full): a router without racks. SEED makes its random choices
 * repeatable in tests. */
FbRouter *fb_router_new (const FbRoutePolicy *policy, uint32_t seed);
void fb_router_free (FbRouter *self);

/* Adds a rack. Its id is the number of racks added before. */
void fb_router_add_rack (FbRouter *self, const FbRackInfo *info);
/* Returns: the properties of RACK, borrowed, or NULL if there is no such rack. */
const FbRackInfo *fb_router_rack (const FbRouter *self, uint32_t rack);

/* Stores a summary unless one of a newer epoch is known, and resets what this daemon has debited
 * since the last one: the owner has included it. */
void fb_router_update_summary (FbRouter *self, uint64_t now_ms, const fb_summary *summary);
/* Excludes a rack without a known owner until its next summary. */
void fb_router_disable_rack (FbRouter *self, uint32_t rack);
/* Excludes, for a short time, a rack that has refused a task; see router.c. */
void fb_router_record_refusal (FbRouter *self, uint64_t now_ms, uint32_t rack, FbReason reason);

/* Returns: TRUE and fills CHOICE, or FALSE if no rack is suitable now. Unless the request is
 * PROBE_ONLY, the demand is debited from the summary of the chosen rack. */
gboolean fb_router_choose (FbRouter *self, const FbRouteRequest *request, FbRouteChoice *choice);

/* Returns: TRUE if SPEC fits an empty host of some rack that it may use. */
gboolean fb_router_ever_fits (const FbRouter *self, const fb_spec *spec);

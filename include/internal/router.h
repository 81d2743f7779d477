/* Which rack a run is sent to, chosen from lagging summaries.  Pure. */
#pragma once

#include "fb-types.h"

#define FB_NO_RACK G_MAXUINT32

typedef struct _FbRouter FbRouter;

/* The fixed facts about a rack, from the settings. */
typedef struct
{
  uint32_t partner;
  uint32_t domain;
  fb_res host_capacity; /* of its largest host */
  fb_res total;
} FbRackInfo;

typedef struct
{
  const fb_spec *spec;
  uint64_t now_ms;
  uint32_t avoid_rack; /* the last that refused, or FB_NO_RACK */
  gboolean probe_only; /* is there room now?  Nothing is sent there */
  /* Returns: how many tasks of the same job a rack already holds; NULL for
   * work that need not be spread. */
  guint (*count_in_rack) (gpointer user, uint32_t rack);
  guint (*count_in_domain) (gpointer user, uint32_t domain);
  gpointer user;
} FbRouteRequest;

typedef struct
{
  uint32_t rack;
  uint32_t runner_up;
  uint64_t epoch; /* of the rack, to bind the order to */
} FbRouteChoice;

typedef struct
{
  const char *name;
  /* Returns: TRUE and fills CHOICE, or FALSE when no rack is known to have
   * room now.  CANDIDATES are racks that fit by the summaries. */
  gboolean (*choose) (FbRouter *router, const FbRouteRequest *ask, const GArray *candidates,
                      FbRouteChoice *choice);
} FbRoutePolicy;

extern const FbRoutePolicy fb_route_random;
extern const FbRoutePolicy fb_route_two_choices;
extern const FbRoutePolicy fb_route_best_known;

/* SEED makes the choices of one daemon repeatable in tests. */
FbRouter *fb_router_new (const FbRoutePolicy *policy, uint32_t seed);
void fb_router_free (FbRouter *self);

/* Adds the next rack; ids are counted from 0. */
void fb_router_add_rack (FbRouter *self, const FbRackInfo *facts);
const FbRackInfo *fb_router_rack (const FbRouter *self, uint32_t rack);

/* Takes a summary, unless a newer epoch is known.  What was sent there since
 * the last one is forgotten: the owner has counted it. */
void fb_router_note_summary (FbRouter *self, uint64_t now_ms, const fb_summary *summary);
/* The rack has no owner to send to until the next summary. */
void fb_router_forget (FbRouter *self, uint32_t rack);
/* A refusal says that the picture was too good. */
void fb_router_note_refusal (FbRouter *self, uint64_t now_ms, uint32_t rack, FbReason reason);

gboolean fb_router_choose (FbRouter *self, const FbRouteRequest *ask, FbRouteChoice *choice);

/* Returns: TRUE when SPEC fits an empty host of some rack it may use. */
gboolean fb_router_ever_fits (const FbRouter *self, const fb_spec *spec);

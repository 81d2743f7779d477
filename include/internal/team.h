/* Teams of both partners: their weights and the parts of their quotas that apply to one rack. */
#pragma once

#include "fb-types.h"

typedef struct
{
  uint32_t partner;
  uint32_t id;
  uint32_t weight;    /* a larger one gets more; default 1 */
  fb_res quota_slice; /* for one rack; all 0 means no quota */
} FbTeam;

typedef struct _FbTeams FbTeams;

FbTeams *fb_teams_new (void);
void fb_teams_free (FbTeams *self);
/* Adds a copy of TEAM, or replaces the one with the same partner and id. */
void fb_teams_set (FbTeams *self, const FbTeam *team);
/* Returns: the team, borrowed; a default team of weight 1 if it is unknown. */
const FbTeam *fb_teams_get (const FbTeams *self, uint32_t partner, uint32_t id);
/* Returns: the id of the team NAME, the same on every daemon. */
uint32_t fb_team_id (const char *name);

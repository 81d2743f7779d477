#include "internal/team.h"

struct _FbTeams
{
  GHashTable *by_key;
};

static const FbTeam default_team = { 0, 0, 1, { { 0 } } };

static uint64_t
key_of (uint32_t partner, uint32_t id)
{
  return ((uint64_t) partner << 32) | id;
}

FbTeams *
fb_teams_new (void)
{
  FbTeams *self = g_new0 (FbTeams, 1);
  self->by_key = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return self;
}

void
fb_teams_free (FbTeams *self)
{
  g_hash_table_destroy (self->by_key);
  g_free (self);
}

void
fb_teams_set (FbTeams *self, const FbTeam *team)
{
  uint64_t key = key_of (team->partner, team->id);
  g_hash_table_replace (self->by_key, g_memdup2 (&key, sizeof key), g_memdup2 (team, sizeof *team));
}

const FbTeam *
fb_teams_get (const FbTeams *self, uint32_t partner, uint32_t id)
{
  uint64_t key = key_of (partner, id);
  const FbTeam *team = self != NULL ? g_hash_table_lookup (self->by_key, &key) : NULL;
  return team != NULL ? team : &default_team;
}

uint32_t
fb_team_id (const char *name)
{
  return (uint32_t) fb_hash64 (name, 0);
}

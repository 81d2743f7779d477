#include "fb-policy.h"

#include "fb-status.h"
#include "internal/ini.h"
#include "internal/place.h"

#include <sodium.h>
#include <stddef.h>
#include <string.h>

#define NAME_MAX_LEN 48
#define SERVICE_COUNT_MAX 20000
#define WEIGHT_MAX 1000

/* Values as the INI reader stores them, before they are converted to the public structs. */
typedef struct
{
  char *team;
  char *placement;
  uint64_t lend_milli;
  uint64_t weight;
  uint64_t cpu_milli;
  uint64_t mem_bytes;
  uint64_t accel_count;
  uint64_t slot_count;
  uint64_t kind;
  uint64_t idempotent;
  uint64_t preemptible;
  uint64_t checkpoint;
  uint64_t deadline_ms;
  uint64_t run_ms;
  uint64_t count;
} RawGroup;

#define DEMAND_FIELDS                                                                              \
  { "cpu", FB_INI_MILLI, FALSE, 0, 0, NULL, offsetof (RawGroup, cpu_milli) },                      \
      { "memory", FB_INI_BYTES, FALSE, 0, 0, NULL, offsetof (RawGroup, mem_bytes) },               \
  {                                                                                                \
    "accelerators", FB_INI_UINT, FALSE, 0, 1000000, NULL, offsetof (RawGroup, accel_count)         \
  }

static const FbIniField partner_fields[]
    = { { "lend", FB_INI_PERCENT, FALSE, 0, 0, NULL, offsetof (RawGroup, lend_milli) },
        { "placement", FB_INI_STRING, FALSE, 0, NAME_MAX_LEN, NULL,
          offsetof (RawGroup, placement) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField team_fields[]
    = { { "weight", FB_INI_UINT, FALSE, 1, WEIGHT_MAX, NULL, offsetof (RawGroup, weight) },
        DEMAND_FIELDS,
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField class_fields[]
    = { { "kind", FB_INI_CHOICE, TRUE, 0, 0, "urgent|service|gang|batch",
          offsetof (RawGroup, kind) },
        { "team", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (RawGroup, team) },
        DEMAND_FIELDS,
        { "slots", FB_INI_UINT, FALSE, 1, 1000, NULL, offsetof (RawGroup, slot_count) },
        { "idempotent", FB_INI_BOOLEAN, FALSE, 0, 0, NULL, offsetof (RawGroup, idempotent) },
        { "preemptible", FB_INI_BOOLEAN, FALSE, 0, 0, NULL, offsetof (RawGroup, preemptible) },
        { "checkpoint", FB_INI_BOOLEAN, FALSE, 0, 0, NULL, offsetof (RawGroup, checkpoint) },
        { "deadline", FB_INI_DURATION, FALSE, 0, 0, NULL, offsetof (RawGroup, deadline_ms) },
        { "run-time", FB_INI_DURATION, FALSE, 0, 0, NULL, offsetof (RawGroup, run_ms) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField service_fields[]
    = { { "team", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (RawGroup, team) },
        { "count", FB_INI_UINT, TRUE, 0, SERVICE_COUNT_MAX, NULL, offsetof (RawGroup, count) },
        DEMAND_FIELDS,
        { "slots", FB_INI_UINT, FALSE, 1, 1000, NULL, offsetof (RawGroup, slot_count) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static void
team_free (gpointer data)
{
  FbPolicyTeam *team = data;
  g_free (team->name);
  g_free (team);
}

static void
class_free (gpointer data)
{
  FbPolicyClass *class = data;
  g_free (class->name);
  g_free (class->team);
  g_free (class);
}

static void
service_free (gpointer data)
{
  FbPolicyService *service = data;
  g_free (service->name);
  g_free (service->team);
  g_free (service);
}

FbPolicy *
fb_policy_new_default (uint32_t partner)
{
  FbPolicy *self = g_new0 (FbPolicy, 1);
  self->partner = partner;
  self->placement = g_strdup (fb_place_accel_guard.name);
  self->teams = g_ptr_array_new_with_free_func (team_free);
  self->classes = g_ptr_array_new_with_free_func (class_free);
  self->services = g_ptr_array_new_with_free_func (service_free);
  self->drained_hosts = g_ptr_array_new_with_free_func (g_free);
  return self;
}

void
fb_policy_free (FbPolicy *self)
{
  g_free (self->placement);
  g_ptr_array_free (self->teams, TRUE);
  g_ptr_array_free (self->classes, TRUE);
  g_ptr_array_free (self->services, TRUE);
  g_ptr_array_free (self->drained_hosts, TRUE);
  g_free (self);
}

static fb_res
demand_of (const RawGroup *raw)
{
  return (fb_res){ { raw->cpu_milli, raw->mem_bytes, raw->accel_count, raw->slot_count } };
}

static FbPolicyStatus
status_of_ini (FbIniStatus status)
{
  switch (status)
    {
    case FB_INI_OK:
      return FB_POLICY_OK;
    case FB_INI_SYNTAX:
      return FB_POLICY_SYNTAX;
    case FB_INI_UNKNOWN_KEY:
      return FB_POLICY_UNKNOWN;
    case FB_INI_BAD_VALUE:
      return FB_POLICY_VALUE;
    case FB_INI_MISSING_KEY:
      return FB_POLICY_MISSING;
    }
  return FB_POLICY_VALUE;
}

static const FbPolicyTeam *
find_team (const FbPolicy *self, const char *name)
{
  for (guint i = 0; i < self->teams->len; i++)
    {
      const FbPolicyTeam *team = g_ptr_array_index (self->teams, i);
      if (g_str_equal (team->name, name))
        return team;
    }
  return NULL;
}

const FbPolicyClass *
fb_policy_class (const FbPolicy *self, const char *name)
{
  for (guint i = 0; i < self->classes->len; i++)
    {
      const FbPolicyClass *class = g_ptr_array_index (self->classes, i);
      if (g_str_equal (class->name, name))
        return class;
    }
  return NULL;
}

static gboolean
has_service (const FbPolicy *self, const char *name)
{
  for (guint i = 0; i < self->services->len; i++)
    {
      if (g_str_equal (((FbPolicyService *) g_ptr_array_index (self->services, i))->name, name))
        return TRUE;
    }
  return FALSE;
}

static FbPolicyStatus
declared_twice (const char *file, const char *group)
{
  fb_status_set_message ("%s: [%s]: declared twice, expected one declaration in all files", file,
                         group);
  return FB_POLICY_DUPLICATE;
}

static FbPolicyStatus
add_partner (FbPolicy *self, GKeyFile *keys, const char *file, const char *group)
{
  RawGroup raw = { .lend_milli = self->lend_milli };
  FbPolicyStatus status
      = status_of_ini (fb_ini_read_group (keys, file, group, partner_fields, &raw));
  g_autofree char *placement = raw.placement;
  if (status != FB_POLICY_OK)
    return status;
  self->lend_milli = (uint32_t) raw.lend_milli;
  if (placement == NULL)
    return FB_POLICY_OK;
  if (fb_place_by_name (placement) == NULL)
    {
      fb_status_set_message ("%s: [%s] placement: expected one of first-fit, best-fit, worst-fit, "
                             "dot-product, accel-guard, got \"%s\"",
                             file, group, placement);
      return FB_POLICY_VALUE;
    }
  g_free (self->placement);
  self->placement = g_steal_pointer (&placement);
  return FB_POLICY_OK;
}

static FbPolicyStatus
add_team (FbPolicy *self, GKeyFile *keys, const char *file, const char *group, const char *name)
{
  if (find_team (self, name) != NULL)
    return declared_twice (file, group);
  RawGroup raw = { .weight = 1 };
  FbPolicyStatus status = status_of_ini (fb_ini_read_group (keys, file, group, team_fields, &raw));
  if (status != FB_POLICY_OK)
    return status;
  FbPolicyTeam *team = g_new0 (FbPolicyTeam, 1);
  team->name = g_strdup (name);
  team->weight = (uint32_t) raw.weight;
  team->quota = demand_of (&raw);
  g_ptr_array_add (self->teams, team);
  return FB_POLICY_OK;
}

static FbPolicyStatus
check_class (const RawGroup *raw, const char *file, const char *group)
{
  if (raw->preemptible && !raw->idempotent)
    {
      fb_status_set_message ("%s: [%s] preemptible: expected false where idempotent is false, "
                             "since stopped work runs again",
                             file, group);
      return FB_POLICY_VALUE;
    }
  return FB_POLICY_OK;
}

static FbPolicyStatus
add_class (FbPolicy *self, GKeyFile *keys, const char *file, const char *group, const char *name)
{
  if (fb_policy_class (self, name) != NULL)
    return declared_twice (file, group);
  RawGroup raw
      = { .slot_count = 1, .idempotent = 1, .deadline_ms = FB_NO_DEADLINE_MS, .run_ms = 1000 };
  FbPolicyStatus status = status_of_ini (fb_ini_read_group (keys, file, group, class_fields, &raw));
  if (status == FB_POLICY_OK)
    status = check_class (&raw, file, group);
  if (status != FB_POLICY_OK)
    {
      g_free (raw.team);
      return status;
    }
  FbPolicyClass *class = g_new0 (FbPolicyClass, 1);
  class->name = g_strdup (name);
  class->kind = (FbKind) raw.kind;
  class->team = raw.team;
  class->demand = demand_of (&raw);
  class->deadline_ms = raw.deadline_ms;
  class->run_ms = raw.run_ms;
  class->flags = (raw.idempotent ? 0 : FB_FLAG_AT_MOST_ONCE)
                 | (raw.preemptible ? FB_FLAG_PREEMPTIBLE : 0)
                 | (raw.checkpoint ? FB_FLAG_CHECKPOINT : 0);
  g_ptr_array_add (self->classes, class);
  return FB_POLICY_OK;
}

static FbPolicyStatus
add_service (FbPolicy *self, GKeyFile *keys, const char *file, const char *group, const char *name)
{
  if (has_service (self, name))
    return declared_twice (file, group);
  RawGroup raw = { .slot_count = 1 };
  FbPolicyStatus status
      = status_of_ini (fb_ini_read_group (keys, file, group, service_fields, &raw));
  if (status != FB_POLICY_OK)
    {
      g_free (raw.team);
      return status;
    }
  FbPolicyService *service = g_new0 (FbPolicyService, 1);
  service->name = g_strdup (name);
  service->team = raw.team;
  service->count = (uint32_t) raw.count;
  service->demand = demand_of (&raw);
  g_ptr_array_add (self->services, service);
  return FB_POLICY_OK;
}

gboolean
fb_policy_is_drained (const FbPolicy *self, const char *host)
{
  return g_ptr_array_find_with_equal_func (self->drained_hosts, host, g_str_equal, NULL);
}

static FbPolicyStatus
add_drain (FbPolicy *self, GKeyFile *keys, const char *file, const char *group, const char *name)
{
  static const FbIniField no_fields[] = { { NULL, 0, FALSE, 0, 0, NULL, 0 } };
  if (fb_policy_is_drained (self, name))
    return declared_twice (file, group);
  FbPolicyStatus status = status_of_ini (fb_ini_read_group (keys, file, group, no_fields, NULL));
  if (status == FB_POLICY_OK)
    g_ptr_array_add (self->drained_hosts, g_strdup (name));
  return status;
}

static FbPolicyStatus
add_group (FbPolicy *self, GKeyFile *keys, const char *file, const char *group)
{
  const char *name;
  if (g_str_equal (group, "partner"))
    return add_partner (self, keys, file, group);
  if ((name = fb_ini_group_name (group, "team")) != NULL)
    return add_team (self, keys, file, group, name);
  if ((name = fb_ini_group_name (group, "class")) != NULL)
    return add_class (self, keys, file, group, name);
  if ((name = fb_ini_group_name (group, "service")) != NULL)
    return add_service (self, keys, file, group, name);
  if ((name = fb_ini_group_name (group, "drain")) != NULL)
    return add_drain (self, keys, file, group, name);
  fb_status_set_message ("%s: [%s]: unknown group, expected [partner], [team NAME], [class NAME], "
                         "[service NAME] or [drain HOST]",
                         file, group);
  return FB_POLICY_UNKNOWN;
}

static FbPolicyStatus
add_file (FbPolicy *self, const fb_rec_file *file)
{
  GKeyFile *keys = fb_ini_load (file->name, file->text.text_val, file->text.text_len);
  if (keys == NULL)
    return FB_POLICY_SYNTAX;
  g_auto (GStrv) groups = g_key_file_get_groups (keys, NULL);
  FbPolicyStatus status = FB_POLICY_OK;
  for (guint i = 0; groups[i] != NULL && status == FB_POLICY_OK; i++)
    status = add_group (self, keys, file->name, groups[i]);
  g_key_file_free (keys);
  return status;
}

static FbPolicyStatus
check_team_known (const FbPolicy *self, const char *kind, const char *name, const char *team)
{
  if (find_team (self, team) != NULL)
    return FB_POLICY_OK;
  fb_status_set_message ("[%s %s] team: expected a team declared in one of the files, got \"%s\"",
                         kind, name, team);
  return FB_POLICY_MISSING;
}

static FbPolicyStatus
check_teams (const FbPolicy *self)
{
  FbPolicyStatus status = FB_POLICY_OK;
  for (guint i = 0; i < self->classes->len && status == FB_POLICY_OK; i++)
    {
      const FbPolicyClass *class = g_ptr_array_index (self->classes, i);
      status = check_team_known (self, "class", class->name, class->team);
    }
  for (guint i = 0; i < self->services->len && status == FB_POLICY_OK; i++)
    {
      const FbPolicyService *service = g_ptr_array_index (self->services, i);
      status = check_team_known (self, "service", service->name, service->team);
    }
  return status;
}

FbPolicyStatus
fb_policy_parse (uint32_t partner, const fb_rec_file *files, guint file_n, FbPolicy **policy)
{
  FbPolicy *self = fb_policy_new_default (partner);
  FbPolicyStatus status = FB_POLICY_OK;
  for (guint i = 0; i < file_n && status == FB_POLICY_OK; i++)
    status = add_file (self, &files[i]);
  if (status == FB_POLICY_OK)
    status = check_teams (self);
  if (status == FB_POLICY_OK)
    *policy = self;
  else
    fb_policy_free (self);
  return status;
}

gboolean
fb_policy_verify (const uint8_t *public_key, const void *data, gsize len, const void *signature)
{
  return crypto_sign_verify_detached (signature, data, len, public_key) == 0;
}

void
fb_policy_sign (const uint8_t *secret_key, const void *data, gsize len, void *signature)
{
  crypto_sign_detached (signature, NULL, data, len, secret_key);
}

void
fb_policy_make_keys (uint8_t *public_key, uint8_t *secret_key)
{
  crypto_sign_keypair (public_key, secret_key);
}

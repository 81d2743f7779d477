#include "fb-settings.h"

#include "fb-status.h"
#include "internal/ini.h"

#include <gio/gio.h>
#include <stddef.h>
#include <string.h>

#define NAME_MAX_LEN 48
#define PATH_MAX_LEN 4000
#define RANGE_MAX 65536

typedef struct
{
  char *name;
  char *cell;
  uint64_t quiet;
  uint64_t drain_ms;
} RawDaemon;

static const FbIniField daemon_fields[]
    = { { "name", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (RawDaemon, name) },
        { "cell", FB_INI_STRING, TRUE, 0, PATH_MAX_LEN, NULL, offsetof (RawDaemon, cell) },
        { "quiet", FB_INI_BOOLEAN, FALSE, 0, 0, NULL, offsetof (RawDaemon, quiet) },
        { "drain-time", FB_INI_DURATION, FALSE, 0, 0, NULL, offsetof (RawDaemon, drain_ms) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

typedef struct
{
  char *partner;
  char *host;
  char *hosts;
  char *text;
  char *log;
  char *host_list;
  char *peer_key;
  uint64_t domain;
  uint64_t rpc_port;
  uint64_t http_port;
  uint64_t ranges;
  uint64_t retention_ms;
  uint64_t cpu_milli;
  uint64_t mem_bytes;
  uint64_t accel_count;
  uint64_t slot_count;
} RawCell;

static const FbIniField cell_fields[]
    = { { "log", FB_INI_STRING, TRUE, 0, PATH_MAX_LEN, NULL, offsetof (RawCell, log) },
        { "host-list", FB_INI_STRING, TRUE, 0, PATH_MAX_LEN, NULL, offsetof (RawCell, host_list) },
        { "peer-key", FB_INI_STRING, TRUE, 0, PATH_MAX_LEN, NULL, offsetof (RawCell, peer_key) },
        { "ranges", FB_INI_UINT, TRUE, FB_PARTNER_N, RANGE_MAX, NULL, offsetof (RawCell, ranges) },
        { "retention", FB_INI_DURATION, TRUE, 10000, G_MAXUINT64 / 2, NULL,
          offsetof (RawCell, retention_ms) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField partner_fields[]
    = { { "public-key", FB_INI_STRING, TRUE, 0, 64, NULL, offsetof (RawCell, text) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField member_fields[]
    = { { "partner", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (RawCell, partner) },
        { "domain", FB_INI_UINT, TRUE, 0, 1000, NULL, offsetof (RawCell, domain) },
        { "address", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (RawCell, host) },
        { "rpc-port", FB_INI_UINT, TRUE, 1, 65535, NULL, offsetof (RawCell, rpc_port) },
        { "http-port", FB_INI_UINT, TRUE, 1, 65535, NULL, offsetof (RawCell, http_port) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField rack_fields[]
    = { { "partner", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (RawCell, partner) },
        { "domain", FB_INI_UINT, TRUE, 0, 1000, NULL, offsetof (RawCell, domain) },
        { "hosts", FB_INI_STRING, TRUE, 0, PATH_MAX_LEN, NULL, offsetof (RawCell, hosts) },
        { "cpu", FB_INI_MILLI, TRUE, 0, 0, NULL, offsetof (RawCell, cpu_milli) },
        { "memory", FB_INI_BYTES, TRUE, 0, 0, NULL, offsetof (RawCell, mem_bytes) },
        { "accelerators", FB_INI_UINT, FALSE, 0, 1000, NULL, offsetof (RawCell, accel_count) },
        { "slots", FB_INI_UINT, TRUE, 1, 1000, NULL, offsetof (RawCell, slot_count) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static void
raw_clear (RawCell *raw)
{
  g_free (raw->partner);
  g_free (raw->host);
  g_free (raw->hosts);
  g_free (raw->text);
  g_free (raw->log);
  g_free (raw->host_list);
  g_free (raw->peer_key);
}

static gboolean
report_expected (const char *file, const char *group, const char *key, const char *what,
                 const char *got)
{
  fb_status_set_message ("%s: [%s] %s: expected %s, got \"%.60s\"", file, group, key, what, got);
  return FALSE;
}

gboolean
fb_settings_parse_hex (const char *text, uint8_t *bytes, gsize len)
{
  if (strlen (text) != len * 2)
    return FALSE;
  for (gsize i = 0; i < len; i++)
    {
      int high = g_ascii_xdigit_value (text[i * 2]);
      int low = g_ascii_xdigit_value (text[i * 2 + 1]);
      if (high < 0 || low < 0)
        return FALSE;
      bytes[i] = (uint8_t) (high * 16 + low);
    }
  return TRUE;
}

char *
fb_settings_format_hex (const uint8_t *bytes, gsize len)
{
  GString *out = g_string_new (NULL);
  for (gsize i = 0; i < len; i++)
    g_string_append_printf (out, "%02x", bytes[i]);
  return g_string_free (out, FALSE);
}

static gboolean
add_cell (FbCell *cell, RawCell *raw, const char *file)
{
  if (raw->ranges % FB_PARTNER_N != 0)
    {
      fb_status_set_message ("%s: [cell] ranges: expected an even number, got %" G_GUINT64_FORMAT,
                             file, raw->ranges);
      return FALSE;
    }
  cell->log_url = g_steal_pointer (&raw->log);
  cell->host_list_url = g_steal_pointer (&raw->host_list);
  cell->peer_key = g_steal_pointer (&raw->peer_key);
  cell->range_n = (uint32_t) raw->ranges;
  cell->retention_ms = raw->retention_ms;
  return TRUE;
}

static gboolean
add_partner (FbCell *cell, const RawCell *raw, const char *file, const char *group,
             const char *name)
{
  guint i = 0;
  while (i < FB_PARTNER_N && cell->partners[i].name != NULL)
    i++;
  if (i == FB_PARTNER_N)
    return report_expected (file, group, "name", "exactly two partners", name);
  if (!fb_settings_parse_hex (raw->text, cell->partners[i].public_key, FB_SIGN_PUBLIC_BYTES))
    return report_expected (file, group, "public-key", "64 hexadecimal digits", raw->text);
  cell->partners[i].name = g_strdup (name);
  return TRUE;
}

static int
partner_of (const FbCell *cell, const RawCell *raw, const char *file, const char *group)
{
  int partner = fb_cell_partner_by_name (cell, raw->partner);
  if (partner < 0)
    report_expected (file, group, "partner", "a partner declared above", raw->partner);
  return partner;
}

static gboolean
add_member (FbCell *cell, RawCell *raw, const char *file, const char *group, const char *name)
{
  int partner = partner_of (cell, raw, file, group);
  if (partner < 0)
    return FALSE;
  g_autoptr (GInetAddress) address = g_inet_address_new_from_string (raw->host);
  if (address == NULL)
    return report_expected (file, group, "address", "an IP address", raw->host);
  FbCellMember *member
      = fb_cell_add_member (cell, name, (uint32_t) partner, (uint32_t) raw->domain);
  member->host = g_steal_pointer (&raw->host);
  member->rpc_port = (uint16_t) raw->rpc_port;
  member->http_port = (uint16_t) raw->http_port;
  return TRUE;
}

/* HOSTS is "name@ip:port name@ip:port ...". */
static gboolean
add_hosts (FbCellRack *rack, const char *hosts, const char *file, const char *group)
{
  g_auto (GStrv) items = g_strsplit_set (hosts, " \t", -1);
  for (guint i = 0; items[i] != NULL; i++)
    {
      if (items[i][0] == '\0')
        continue;
      char *at = strchr (items[i], '@');
      if (at == NULL || at == items[i] || strrchr (at, ':') == NULL)
        return report_expected (file, group, "hosts", "NAME@IP:PORT ...", items[i]);
      *at = '\0';
      fb_cell_add_host (rack, items[i], at + 1);
    }
  return rack->hosts->len > 0 || report_expected (file, group, "hosts", "at least one host", hosts);
}

static gboolean
add_rack (FbCell *cell, const RawCell *raw, const char *file, const char *group, const char *name)
{
  int partner = partner_of (cell, raw, file, group);
  if (partner < 0)
    return FALSE;
  fb_res capacity = { { raw->cpu_milli, raw->mem_bytes, raw->accel_count, raw->slot_count } };
  FbCellRack *rack
      = fb_cell_add_rack (cell, name, (uint32_t) partner, (uint32_t) raw->domain, &capacity);
  return add_hosts (rack, raw->hosts, file, group);
}

typedef enum
{
  GROUP_CELL,
  GROUP_PARTNER,
  GROUP_MEMBER,
  GROUP_RACK,
  GROUP_UNKNOWN
} GroupKind;

static GroupKind
group_kind (const char *group, const char **name)
{
  *name = NULL;
  if (g_str_equal (group, "cell"))
    return GROUP_CELL;
  if ((*name = fb_ini_group_name (group, "partner")) != NULL)
    return GROUP_PARTNER;
  if ((*name = fb_ini_group_name (group, "member")) != NULL)
    return GROUP_MEMBER;
  if ((*name = fb_ini_group_name (group, "rack")) != NULL)
    return GROUP_RACK;
  return GROUP_UNKNOWN;
}

static gboolean
add_group (FbCell *cell, GKeyFile *keys, const char *file, const char *group)
{
  static const FbIniField *const fields[]
      = { cell_fields, partner_fields, member_fields, rack_fields };
  const char *name;
  GroupKind kind = group_kind (group, &name);
  if (kind == GROUP_UNKNOWN)
    {
      fb_status_set_message ("%s: [%s]: unknown group, expected [cell], [partner NAME], "
                             "[member NAME] or [rack NAME]",
                             file, group);
      return FALSE;
    }
  RawCell raw = { 0 };
  gboolean ok = fb_ini_read_group (keys, file, group, fields[kind], &raw) == FB_INI_OK;
  if (ok && kind == GROUP_CELL)
    ok = add_cell (cell, &raw, file);
  else if (ok && kind == GROUP_PARTNER)
    ok = add_partner (cell, &raw, file, group, name);
  else if (ok && kind == GROUP_MEMBER)
    ok = add_member (cell, &raw, file, group, name);
  else if (ok)
    ok = add_rack (cell, &raw, file, group, name);
  raw_clear (&raw);
  return ok;
}

static gboolean
check_cell (const FbCell *cell, const char *file)
{
  const char *missing = cell->log_url == NULL            ? "[cell]"
                        : cell->partners[1].name == NULL ? "two groups [partner NAME]"
                        : cell->members->len == 0        ? "a group [member NAME]"
                        : cell->racks->len == 0          ? "a group [rack NAME]"
                                                         : NULL;
  if (missing != NULL)
    fb_status_set_message ("%s: expected %s, found none", file, missing);
  return missing == NULL;
}

static GKeyFile *
load_keys (const char *path, FbSettingsStatus *status)
{
  g_autofree char *text = NULL;
  gsize len = 0;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (path, &text, &len, &error))
    {
      fb_status_set_message ("%s", error->message);
      *status = FB_SETTINGS_UNREADABLE;
      return NULL;
    }
  GKeyFile *keys = fb_ini_load (path, text, len);
  *status = keys != NULL ? FB_SETTINGS_OK : FB_SETTINGS_SYNTAX;
  return keys;
}

FbSettingsStatus
fb_settings_load_cell (const char *path, FbCell **out)
{
  FbSettingsStatus status;
  g_autoptr (GKeyFile) keys = load_keys (path, &status);
  if (keys == NULL)
    return status;
  FbCell *cell = fb_cell_new ();
  g_auto (GStrv) groups = g_key_file_get_groups (keys, NULL);
  gboolean ok = TRUE;
  for (guint i = 0; groups[i] != NULL && ok; i++)
    ok = add_group (cell, keys, path, groups[i]);
  if (ok && check_cell (cell, path))
    {
      *out = cell;
      return FB_SETTINGS_OK;
    }
  fb_cell_free (cell);
  return FB_SETTINGS_INVALID;
}

void
fb_settings_free (FbSettings *self)
{
  g_free (self->name);
  g_free (self->cell_path);
  g_free (self);
}

static FbSettings *
read_daemon (GKeyFile *keys, const char *path)
{
  g_auto (GStrv) groups = g_key_file_get_groups (keys, NULL);
  for (guint i = 0; groups[i] != NULL; i++)
    {
      if (!g_str_equal (groups[i], "daemon"))
        {
          fb_status_set_message ("%s: [%s]: unknown group, expected [daemon]", path, groups[i]);
          return NULL;
        }
    }
  RawDaemon raw = { .drain_ms = 20000 };
  if (fb_ini_read_group (keys, path, "daemon", daemon_fields, &raw) != FB_INI_OK)
    {
      g_free (raw.name);
      g_free (raw.cell);
      return NULL;
    }
  FbSettings *self = g_new0 (FbSettings, 1);
  self->name = raw.name;
  self->quiet = raw.quiet != 0;
  self->drain_ms = raw.drain_ms;
  if (g_path_is_absolute (raw.cell))
    self->cell_path = g_strdup (raw.cell);
  else
    {
      g_autofree char *folder = g_path_get_dirname (path);
      self->cell_path = g_build_filename (folder, raw.cell, NULL);
    }
  g_free (raw.cell);
  return self;
}

FbSettingsStatus
fb_settings_load (const char *path, FbSettings **settings, FbCell **cell)
{
  FbSettingsStatus status;
  g_autoptr (GKeyFile) keys = load_keys (path, &status);
  if (keys == NULL)
    return status;
  FbSettings *self = read_daemon (keys, path);
  if (self == NULL)
    return FB_SETTINGS_INVALID;
  status = fb_settings_load_cell (self->cell_path, cell);
  if (status == FB_SETTINGS_OK && fb_cell_member_by_name (*cell, self->name) < 0)
    {
      report_expected (path, "daemon", "name", "a member of the cell", self->name);
      fb_cell_free (*cell);
      status = FB_SETTINGS_INVALID;
    }
  if (status == FB_SETTINGS_OK)
    *settings = self;
  else
    fb_settings_free (self);
  return status;
}

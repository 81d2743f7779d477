#include "settings.h"

#include "fb-status.h"
#include "internal/ini.h"

#include <gio/gio.h>
#include <stddef.h>

#define NAME_MAX_LEN 128
#define PARTITIONS_MAX 65536
#define CPU_MILLI_DEFAULT 1000
#define CONFIG_BOUND_MS_DEFAULT 2000
/* Limits of the store, and the least ones with which records can be split. */
#define RECORD_MAX_BYTES_DEFAULT (256 * 1024)
#define RECORD_MAX_BYTES_MIN 1024
#define APPEND_MAX_BYTES_DEFAULT (2 * 1024 * 1024)
/* Maximum number of crashed workers in a job's record (FB_WORK_MAX_CRASHES). */
#define CRASH_LIMIT_MAX 8

static const FbIniField daemon_fields[]
    = { { "name", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (FbEntrySettings, name) },
        { "domain", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL,
          offsetof (FbEntrySettings, domain) },
        { "cpu", FB_INI_MILLI, FALSE, 0, 0, NULL, offsetof (FbEntrySettings, cpu_milli) },
        { "link", FB_INI_MILLI, FALSE, 0, 0, NULL, offsetof (FbEntrySettings, link_kbit_s) },
        { "grace", FB_INI_DURATION, TRUE, 0, 0, NULL, offsetof (FbEntrySettings, grace_ms) },
        { "configuration-bound", FB_INI_DURATION, FALSE, CONFIG_BOUND_MS_DEFAULT, G_MAXUINT32, NULL,
          offsetof (FbEntrySettings, config_bound_ms) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField listen_fields[] = {
  { "callers", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (FbEntrySettings, callers) },
  { "readiness", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL,
    offsetof (FbEntrySettings, readiness) },
  { "peers", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (FbEntrySettings, peers_listen) },
  { "advertised-peers", FB_INI_STRING, FALSE, 0, NAME_MAX_LEN, NULL,
    offsetof (FbEntrySettings, peers) },
  { "metrics", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL, offsetof (FbEntrySettings, metrics) },
  { NULL, 0, FALSE, 0, 0, NULL, 0 }
};

static const FbIniField store_fields[]
    = { { "address", FB_INI_STRING, TRUE, 0, NAME_MAX_LEN, NULL,
          offsetof (FbEntrySettings, store) },
        { "partitions", FB_INI_UINT, TRUE, 1, PARTITIONS_MAX, NULL,
          offsetof (FbEntrySettings, partitions) },
        { "shortest-membership", FB_INI_DURATION, TRUE, 1, 60000, NULL,
          offsetof (FbEntrySettings, shortest_ttl_ms) },
        { "largest-record", FB_INI_UINT, FALSE, RECORD_MAX_BYTES_MIN, G_MAXUINT32, NULL,
          offsetof (FbEntrySettings, record_max_bytes) },
        { "largest-append", FB_INI_UINT, FALSE, RECORD_MAX_BYTES_MIN, G_MAXUINT32, NULL,
          offsetof (FbEntrySettings, append_max_bytes) },
        { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField advice_fields[] = { { "address", FB_INI_STRING, FALSE, 0, NAME_MAX_LEN,
                                              NULL, offsetof (FbEntrySettings, advice) },
                                            { NULL, 0, FALSE, 0, 0, NULL, 0 } };

static const FbIniField worker_fields[] = {
  { "longest-lease", FB_INI_DURATION, TRUE, 1, G_MAXUINT32, NULL,
    offsetof (FbEntrySettings, max_lease_ms) },
  { "longest-stop", FB_INI_DURATION, TRUE, 0, 0, NULL, offsetof (FbEntrySettings, max_stop_ms) },
  { "gang-patience", FB_INI_DURATION, TRUE, 0, 0, NULL, offsetof (FbEntrySettings, gang_wait_ms) },
  { "crashes", FB_INI_UINT, FALSE, 2, CRASH_LIMIT_MAX, NULL,
    offsetof (FbEntrySettings, max_isolated_crashes) },
  { "shared-crashes", FB_INI_UINT, FALSE, 2, CRASH_LIMIT_MAX, NULL,
    offsetof (FbEntrySettings, max_shared_crashes) },
  { NULL, 0, FALSE, 0, 0, NULL, 0 }
};

static const struct
{
  const char *group;
  const FbIniField *fields;
} groups[] = { { "daemon", daemon_fields },
               { "listen", listen_fields },
               { "store", store_fields },
               { "advice", advice_fields },
               { "workers", worker_fields } };

gboolean
fb_entry_settings_recognize (const char *path)
{
  g_autoptr (GKeyFile) keys = g_key_file_new ();
  return g_key_file_load_from_file (keys, path, G_KEY_FILE_NONE, NULL)
         && g_key_file_has_group (keys, "store");
}

static GKeyFile *
load (const char *path)
{
  g_autofree char *text = NULL;
  gsize len = 0;
  g_autoptr (GError) error = NULL;
  if (g_file_get_contents (path, &text, &len, &error))
    return fb_ini_load (path, text, len);
  fb_status_set_message ("%s", error->message);
  return NULL;
}

static gboolean
is_known_group (const char *group)
{
  for (guint i = 0; i < G_N_ELEMENTS (groups); i++)
    {
      if (g_str_equal (group, groups[i].group))
        return TRUE;
    }
  return FALSE;
}

static gboolean
read_groups (GKeyFile *keys, const char *path, FbEntrySettings *self)
{
  g_auto (GStrv) names = g_key_file_get_groups (keys, NULL);
  for (guint i = 0; names[i] != NULL; i++)
    {
      if (is_known_group (names[i]))
        continue;
      fb_status_set_message ("%s: [%s]: unknown group", path, names[i]);
      return FALSE;
    }
  for (guint i = 0; i < G_N_ELEMENTS (groups); i++)
    {
      if (fb_ini_read_group (keys, path, groups[i].group, groups[i].fields, self) != FB_INI_OK)
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_address (const char *text)
{
  g_autoptr (GSocketConnectable) parsed = g_network_address_parse (text, 0, NULL);
  return parsed != NULL && g_network_address_get_port (G_NETWORK_ADDRESS (parsed)) != 0
         && g_hostname_is_ip_address (g_network_address_get_hostname (G_NETWORK_ADDRESS (parsed)));
}

static gboolean
check_advertised (const char *path, FbEntrySettings *self)
{
  if (self->peers == NULL)
    self->peers = g_strdup (self->peers_listen);
  else if (!is_address (self->peers))
    {
      fb_status_set_message ("%s: [listen] advertised-peers: expected IP:PORT", path);
      return FALSE;
    }
  return TRUE;
}

FbEntrySettings *
fb_entry_settings_load (const char *path)
{
  g_autoptr (GKeyFile) keys = load (path);
  if (keys == NULL)
    return NULL;
  FbEntrySettings *self = g_new0 (FbEntrySettings, 1);
  self->cpu_milli = CPU_MILLI_DEFAULT;
  self->config_bound_ms = CONFIG_BOUND_MS_DEFAULT;
  self->record_max_bytes = RECORD_MAX_BYTES_DEFAULT;
  self->append_max_bytes = APPEND_MAX_BYTES_DEFAULT;
  if (read_groups (keys, path, self) && check_advertised (path, self))
    return self;
  fb_entry_settings_free (self);
  return NULL;
}

void
fb_entry_settings_free (FbEntrySettings *self)
{
  if (self == NULL)
    return;
  g_free (self->name);
  g_free (self->domain);
  g_free (self->callers);
  g_free (self->readiness);
  g_free (self->peers);
  g_free (self->peers_listen);
  g_free (self->metrics);
  g_free (self->store);
  g_free (self->advice);
  g_free (self);
}

gboolean
fb_entry_settings_same_listeners (const FbEntrySettings *a, const FbEntrySettings *b)
{
  return g_str_equal (a->name, b->name) && g_str_equal (a->callers, b->callers)
         && g_str_equal (a->readiness, b->readiness) && g_str_equal (a->peers, b->peers)
         && g_str_equal (a->peers_listen, b->peers_listen) && g_str_equal (a->metrics, b->metrics)
         && a->partitions == b->partitions;
}

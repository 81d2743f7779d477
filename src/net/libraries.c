#include "libraries.h"

#include "fb-build-info.h"

#include <curl/curl.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define LIBRARY_N 4
#define VERSION_BYTES 32

typedef struct
{
  const char *name;
  char version[VERSION_BYTES];
} Library;

static Library
library_of (const char *name, guint major, guint minor, guint micro)
{
  Library library = { .name = name };
  g_snprintf (library.version, sizeof library.version, "%u.%u.%u", major, minor, micro);
  return library;
}

/* json-glib does not tell its version at run time, so its headers' version is given. */
static void
list_libraries (Library libraries[LIBRARY_N])
{
  unsigned curl = curl_version_info (CURLVERSION_NOW)->version_num;
  libraries[0] = library_of ("glib", glib_major_version, glib_minor_version, glib_micro_version);
  libraries[1] = library_of ("libsoup", soup_get_major_version (), soup_get_minor_version (),
                             soup_get_micro_version ());
  libraries[2]
      = library_of ("json-glib", JSON_MAJOR_VERSION, JSON_MINOR_VERSION, JSON_MICRO_VERSION);
  libraries[3] = library_of ("libcurl", curl >> 16, curl >> 8 & 0xff, curl & 0xff);
}

char *
fb_libraries_describe (void)
{
  Library libraries[LIBRARY_N];
  GString *out = g_string_new (NULL);
  list_libraries (libraries);
  for (guint i = 0; i < LIBRARY_N; i++)
    g_string_append_printf (out, "%s%s=%s", i > 0 ? " " : "", libraries[i].name,
                            libraries[i].version);
  return g_string_free (out, FALSE);
}

char *
fb_libraries_render (void)
{
  Library libraries[LIBRARY_N];
  GString *out = g_string_new ("# HELP flamingobarrow_build_info Program and libraries.\n"
                               "# TYPE flamingobarrow_build_info gauge\n");
  list_libraries (libraries);
  g_string_append_printf (out, "flamingobarrow_build_info{version=\"%s\",build=\"%s\"",
                          fb_build_version (), fb_build_id ());
  for (guint i = 0; i < LIBRARY_N; i++)
    {
      g_autofree char *label = g_strdelimit (g_strdup (libraries[i].name), "-", '_');
      g_string_append_printf (out, ",%s=\"%s\"", label, libraries[i].version);
    }
  g_string_append (out, "} 1\n");
  return g_string_free (out, FALSE);
}

/* Settings of one daemon and of its cell, from INI files.
 *
 * The daemon's own file gives its name, its log level and the path of its cell file; the cell file
 * is the same on all daemons. The formats are described in flamingobarrow(5). */
#pragma once

#include "fb-cell.h"

typedef enum
{
  FB_SETTINGS_OK,
  FB_SETTINGS_UNREADABLE,
  FB_SETTINGS_SYNTAX,
  FB_SETTINGS_INVALID
} FbSettingsStatus;

typedef struct
{
  char *name; /* name of this daemon, a member of the cell */
  char *cell_path;
  gboolean quiet;    /* writes no event lines */
  uint64_t drain_ms; /* time limit of a graceful shutdown */
} FbSettings;

/* Returns: FB_SETTINGS_OK and sets *SETTINGS and *CELL (both transfer full); else the last message
 * names the file, the group, the key and the expected value. */
FbSettingsStatus fb_settings_load (const char *path, FbSettings **settings, FbCell **cell);
/* Loads only the cell file, for tools. */
FbSettingsStatus fb_settings_load_cell (const char *path, FbCell **cell);
void fb_settings_free (FbSettings *self);

/* Converts keys from and to hexadecimal. Returns: FALSE unless TEXT encodes exactly LEN bytes. */
gboolean fb_settings_parse_hex (const char *text, uint8_t *bytes, gsize len);
char *fb_settings_format_hex (const uint8_t *bytes, gsize len);

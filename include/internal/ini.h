/* Validated reading of INI files.
 *
 * A table of fields lists the keys of a group and the values that each accepts. The first error
 * names the file, the line or the group and key, and the expected value. */
#pragma once

#include "fb-types.h"

typedef enum
{
  FB_INI_STRING,
  FB_INI_UINT,     /* whole number, MIN to MAX */
  FB_INI_PERCENT,  /* 0 to 100, stored in thousandths */
  FB_INI_MILLI,    /* number with up to three decimals, stored in thousandths */
  FB_INI_BYTES,    /* number with K, M, G or T */
  FB_INI_DURATION, /* number with ms, s, m or h, stored in ms */
  FB_INI_BOOLEAN,
  FB_INI_CHOICE /* one of the names in CHOICES; index stored */
} FbIniType;

typedef enum
{
  FB_INI_OK,
  FB_INI_SYNTAX,
  FB_INI_UNKNOWN_KEY,
  FB_INI_BAD_VALUE,
  FB_INI_MISSING_KEY
} FbIniStatus;

typedef struct
{
  const char *key;
  FbIniType type;
  gboolean required;
  uint64_t min;
  uint64_t max;
  const char *choices; /* separated by '|' */
  gsize offset;        /* of a char * or uint64_t in the target struct */
} FbIniField;

/* Loads TEXT. Returns: (transfer full): NULL with the last message set when it is malformed. */
GKeyFile *fb_ini_load (const char *file, const char *text, gsize len);

/* Reads GROUP into TARGET as described by FIELDS (ended by a NULL key). Strings are newly
 * allocated. Fields whose keys are absent keep their value in TARGET. */
FbIniStatus fb_ini_read_group (GKeyFile *keys, const char *file, const char *group,
                               const FbIniField *fields, gpointer target);

/* Splits a group header "KIND NAME". Returns: NAME, borrowed from GROUP; NULL when GROUP does not
 * start with KIND and a space. */
const char *fb_ini_group_name (const char *group, const char *kind);

#define _GNU_SOURCE /* dl_iterate_phdr() */

#include "fb-build-info.h"

#include "version.h"

#include <elf.h>
#include <glib.h>
#include <link.h>
#include <string.h>

#define BUILD_ID_CHARS 65
/* Name of the vendor of the note with the build identifier. */
#define NOTE_VENDOR "GNU"

const char *
fb_build_version (void)
{
  return FB_RELEASE "+" FB_SOURCE_REVISION;
}

static void
format_hex (char *out, const guint8 *bytes, gsize n)
{
  for (gsize i = 0; i < MIN (n, BUILD_ID_CHARS / 2); i++)
    g_snprintf (out + 2 * i, 3, "%02x", bytes[i]);
}

/* Reads the notes of one segment.  Returns: FALSE when none is the build identifier. */
static gboolean
read_notes (char *out, const guint8 *at, const guint8 *end)
{
  while (at + sizeof (ElfW (Nhdr)) <= end)
    {
      const ElfW (Nhdr) *note = (const void *) at;
      const guint8 *name = at + sizeof *note;
      const guint8 *content = name + ((note->n_namesz + 3) & ~3U);
      if (note->n_type == NT_GNU_BUILD_ID && note->n_namesz == sizeof NOTE_VENDOR
          && memcmp (name, NOTE_VENDOR, sizeof NOTE_VENDOR) == 0)
        {
          format_hex (out, content, note->n_descsz);
          return TRUE;
        }
      at = content + ((note->n_descsz + 3) & ~3U);
    }
  return FALSE;
}

/* Called for the program, which is the first object, and not for its libraries. */
static int
read_program_notes (struct dl_phdr_info *info, size_t size, void *data)
{
  (void) size;
  for (guint i = 0; i < info->dlpi_phnum; i++)
    {
      const ElfW (Phdr) *segment = &info->dlpi_phdr[i];
      const guint8 *start = (const guint8 *) (info->dlpi_addr + segment->p_vaddr);
      if (segment->p_type == PT_NOTE && read_notes (data, start, start + segment->p_memsz))
        break;
    }
  return 1;
}

const char *
fb_build_id (void)
{
  static char id[BUILD_ID_CHARS];
  if (id[0] == '\0')
    {
      g_strlcpy (id, "none", sizeof id);
      dl_iterate_phdr (read_program_notes, id);
    }
  return id;
}

#define _GNU_SOURCE /* dl_iterate_phdr() */

#include "fb-crash-report.h"

#include "fb-build-info.h"
#include "fb-event.h"

#include <execinfo.h>
#include <glib.h>
#include <link.h>
#include <signal.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Size of the stack on which the handler runs. */
#define STACK_BYTES (64 * 1024)
#define LINE_BYTES 4096
#define MAX_FRAMES 32
#define MAX_MODULES 128
#define NAME_BYTES 48

/* The program or a library.  The table is made in advance, since a handler may not ask the dynamic
 * linker. */
typedef struct
{
  uintptr_t base;
  uintptr_t end;
  char name[NAME_BYTES];
} Module;

typedef struct
{
  char text[LINE_BYTES];
  gsize len;
} Line;

static const struct
{
  int number;
  const char *name;
} signals[] = { { SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" },   { SIGFPE, "SIGFPE" },
                { SIGILL, "SIGILL" },   { SIGABRT, "SIGABRT" }, { SIGTRAP, "SIGTRAP" } };

static Module modules[MAX_MODULES];
static gsize modules_n;
static int report_fd;
static char report_name[NAME_BYTES];
static const char *report_build;

/* ---- the line ------------------------------------------------------------------- */

/* The functions of this part run in a signal handler, so they may not allocate or use stdio. */

static void
append_text (Line *line, const char *text)
{
  gsize len = MIN (strlen (text), LINE_BYTES - line->len);
  memcpy (line->text + line->len, text, len);
  line->len += len;
}

/* Appends VALUE to BASE (10 or 16), with at least DIGITS_MIN digits. */
static void
append_number (Line *line, uint64_t value, guint base, guint digits_min)
{
  char digits[24];
  gsize at = sizeof digits - 1;
  digits[at] = '\0';
  do
    {
      digits[--at] = "0123456789abcdef"[value % base];
      value /= base;
    }
  while (value > 0 || sizeof digits - 1 - at < digits_min);
  append_text (line, digits + at);
}

/* Appends the date that is DAYS after 1970-01-01, in the Gregorian calendar. */
static void
append_date (Line *line, uint64_t days)
{
  static const guint month_days[] = { 31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31 };
  guint year = 1970;
  gboolean leap = FALSE;
  for (;; year++)
    {
      leap = (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
      if (days < (leap ? 366u : 365u))
        break;
      days -= leap ? 366 : 365;
    }
  guint month = 0;
  for (; days >= month_days[month] + (leap && month == 1); month++)
    days -= month_days[month] + (leap && month == 1);
  append_number (line, year, 10, 4);
  append_text (line, "-");
  append_number (line, month + 1, 10, 2);
  append_text (line, "-");
  append_number (line, days + 1, 10, 2);
}

static void
append_time (Line *line)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  uint64_t seconds = (uint64_t) now.tv_sec;
  append_date (line, seconds / 86400);
  append_text (line, "T");
  append_number (line, seconds / 3600 % 24, 10, 2);
  append_text (line, ":");
  append_number (line, seconds / 60 % 60, 10, 2);
  append_text (line, ":");
  append_number (line, seconds % 60, 10, 2);
  append_text (line, ".");
  append_number (line, (uint64_t) now.tv_nsec / 1000, 10, 6);
  append_text (line, "Z ");
}

static void
append_frame (Line *line, uintptr_t address)
{
  for (gsize i = 0; i < modules_n; i++)
    {
      if (address < modules[i].base || address >= modules[i].end)
        continue;
      append_text (line, modules[i].name);
      append_text (line, "+");
      address -= modules[i].base;
      break;
    }
  append_text (line, "0x");
  append_number (line, address, 16, 1);
}

static void
append_signal (Line *line, int signal)
{
  append_text (line, " PROCESS_CRASHED signal=");
  append_number (line, (uint64_t) signal, 10, 1);
  for (gsize i = 0; i < G_N_ELEMENTS (signals); i++)
    {
      if (signals[i].number != signal)
        continue;
      append_text (line, " name=");
      append_text (line, signals[i].name);
    }
}

/* ---- the handler ---------------------------------------------------------------- */

/* The signal's action has been reset, and the signal is blocked until the handler returns; then the
 * raised one ends the process. */
static void
on_signal (int signal, siginfo_t *info, void *context)
{
  (void) context;
  static Line line;
  void *frames[MAX_FRAMES];
  append_time (&line);
  append_text (&line, report_name);
  append_text (&line, " FB");
  append_number (&line, FB_EVENT_PROCESS_CRASHED, 10, 1);
  append_signal (&line, signal);
  append_text (&line, " address=0x");
  append_number (&line, (uintptr_t) info->si_addr, 16, 1);
  append_text (&line, " build=");
  append_text (&line, report_build);
  append_text (&line, " frames=");
  int n = backtrace (frames, MAX_FRAMES);
  for (int i = 0; i < n; i++)
    {
      append_text (&line, i > 0 ? "," : "");
      append_frame (&line, (uintptr_t) frames[i]);
    }
  line.len = MIN (line.len, LINE_BYTES - 1);
  append_text (&line, "\n");
  (void) !write (report_fd, line.text, line.len);
  (void) raise (signal);
}

/* ---- installation ---------------------------------------------------------------- */

static int
add_module (struct dl_phdr_info *info, size_t size, void *data)
{
  (void) size;
  (void) data;
  if (modules_n == MAX_MODULES)
    return 1;
  Module *module = &modules[modules_n++];
  const char *slash = strrchr (info->dlpi_name, '/');
  const char *name = slash != NULL ? slash + 1 : info->dlpi_name;
  g_strlcpy (module->name, *name != '\0' ? name : "program", sizeof module->name);
  module->base = info->dlpi_addr;
  for (guint i = 0; i < info->dlpi_phnum; i++)
    {
      const ElfW (Phdr) *segment = &info->dlpi_phdr[i];
      if (segment->p_type == PT_LOAD)
        module->end = MAX (module->end, info->dlpi_addr + segment->p_vaddr + segment->p_memsz);
    }
  return 0;
}

void
fb_crash_report_install (int fd, const char *process_name)
{
  static char stack[STACK_BYTES];
  report_fd = fd;
  g_strlcpy (report_name, process_name, sizeof report_name);
  report_build = fb_build_id ();
  modules_n = 0;
  dl_iterate_phdr (add_module, NULL);
  /* The first call loads the library of the unwinder, which a handler may not do. */
  void *frame = NULL;
  (void) backtrace (&frame, 1);
  const stack_t alternate = { .ss_sp = stack, .ss_size = sizeof stack };
  (void) sigaltstack (&alternate, NULL);
  struct sigaction action = { .sa_sigaction = on_signal };
  action.sa_flags = (int) (SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
  sigemptyset (&action.sa_mask);
  for (gsize i = 0; i < G_N_ELEMENTS (signals); i++)
    (void) sigaction (signals[i].number, &action, NULL);
}

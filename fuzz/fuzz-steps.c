/* Runs the fuzz target without libFuzzer: on files, or on inputs from fixed seeds, so that
 * every run gives the same result. */
#include "fb-event.h"
#include "fuzz-node.h"

#include <stdio.h>
#include <string.h>

#define INPUT_BYTES 241

static int first_seed = 1;
static int input_n = 100;
static char *save_dir;
static gboolean stop_at_first;
static char **files;

static const GOptionEntry entries[]
    = { { "seed", 's', 0, G_OPTION_ARG_INT, &first_seed, "Seed of the first input", "N" },
        { "inputs", 'n', 0, G_OPTION_ARG_INT, &input_n, "Inputs to make, none when files are given",
          "N" },
        { "stop-at-first", 0, 0, G_OPTION_ARG_NONE, &stop_at_first,
          "Stop at the first violated invariant", NULL },
        { "save", 0, 0, G_OPTION_ARG_FILENAME, &save_dir,
          "Save inputs that violate an invariant to DIR", "DIR" },
        { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &files, NULL, "FILE..." },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

static guint64 steps;
static guint violations_n;

static void
run_input (const char *name, const uint8_t *data, gsize size)
{
  char *violation = NULL;
  steps += fuzz_node_run (data, size, &violation);
  if (violation == NULL)
    return;
  violations_n++;
  printf ("%s: %s (step %" G_GUINT64_FORMAT ")\n", name, violation, steps);
  if (save_dir != NULL)
    {
      g_autofree char *path = g_build_filename (save_dir, name, NULL);
      g_file_set_contents (path, (const char *) data, (gssize) size, NULL);
    }
  g_free (violation);
}

static gboolean
run_file (const char *path)
{
  g_autofree char *data = NULL;
  gsize size = 0;
  if (!g_file_get_contents (path, &data, &size, NULL))
    {
      fprintf (stderr, "%s: cannot be read\n", path);
      return FALSE;
    }
  run_input (path, (const uint8_t *) data, size);
  return TRUE;
}

static void
run_seed (guint32 seed)
{
  uint8_t data[INPUT_BYTES];
  GRand *rand = g_rand_new_with_seed (seed);
  for (gsize i = 0; i < sizeof data; i++)
    data[i] = (uint8_t) g_rand_int_range (rand, 0, 256);
  g_rand_free (rand);
  g_autofree char *name = g_strdup_printf ("seed-%u", seed);
  run_input (name, data, sizeof data);
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new ("- run the fuzz target");
  g_option_context_add_main_entries (context, entries, NULL);
  g_autoptr (GError) error = NULL;
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return 2;
    }
  fb_event_init ("fuzz", g_getenv ("FB_FUZZ_LOG") == NULL);
  for (guint i = 0; files != NULL && files[i] != NULL && !(stop_at_first && violations_n > 0); i++)
    {
      if (!run_file (files[i]))
        return 2;
    }
  for (int i = 0; files == NULL && i < input_n && !(stop_at_first && violations_n > 0); i++)
    run_seed ((guint32) (first_seed + i));
  printf ("%" G_GUINT64_FORMAT " steps, %u broken\n", steps, violations_n);
  return violations_n == 0 ? 0 : 1;
}

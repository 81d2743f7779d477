/* Runs the parsers on inputs from a fixed seed: valid messages with a few bytes changed, because
 * random bytes are mostly rejected at the first field. */
#include "fuzz-readers.h"

#include "internal/codec.h"

#include <stdio.h>
#include <string.h>

static int first_seed = 1;
static int input_n = 1000;

static const GOptionEntry entries[]
    = { { "seed", 's', 0, G_OPTION_ARG_INT, &first_seed, "Seed of the first input", "N" },
        { "inputs", 'n', 0, G_OPTION_ARG_INT, &input_n, "Inputs to make", "N" },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

static GBytes *
valid_policy (void)
{
  static const char text[]
      = "[partner]\nlend=20\n[team a]\nweight=2\ncpu=10\n[class c]\nkind=urgent\nteam=a\ncpu=0.5\n"
        "deadline=9.2s\n[service s]\nteam=a\ncount=3\n";
  return g_bytes_new_static (text, sizeof text - 1);
}

static GBytes *
valid_message (GRand *rand)
{
  char payload[20] = "payload";
  fb_msg msg = { .from = (char *) "d0", .from_incarnation = 7, .seq = 9 };
  msg.body.type = FB_MSG_PLACE;
  msg.body.fb_body_u.place.rack = (u_int) g_rand_int_range (rand, 0, 9);
  msg.body.fb_body_u.place.spec.payload.payload_len = sizeof payload;
  msg.body.fb_body_u.place.spec.payload.payload_val = payload;
  return fb_codec_encode_msg (&msg);
}

static GBytes *
valid_record (GRand *rand)
{
  fb_rec_task tasks[3] = { { .index = 1 }, { .attempt = 4 }, { .rack = 2 } };
  fb_record record = { .format = FB_REC_VERSION, .writer = 5, .seq = 6 };
  record.body.type = FB_REC_INTENT;
  record.body.fb_rec_body_u.intent.tasks.tasks_len = (u_int) g_rand_int_range (rand, 0, 4);
  record.body.fb_rec_body_u.intent.tasks.tasks_val = tasks;
  return fb_codec_encode_record (&record);
}

static void
run_seed (guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  guint kind = seed % 3;
  GBytes *valid = kind == 0   ? valid_policy ()
                  : kind == 1 ? valid_message (rand)
                              : valid_record (rand);
  gsize len = 0;
  const void *data = g_bytes_get_data (valid, &len);
  g_autofree uint8_t *input = g_malloc (len + 1);
  input[0] = (uint8_t) kind;
  memcpy (input + 1, data, len);
  guint changed_bytes = (guint) g_rand_int_range (rand, 0, 6);
  for (guint i = 0; i < changed_bytes; i++)
    input[1 + (gsize) g_rand_int_range (rand, 0, (gint32) len)]
        = (uint8_t) g_rand_int_range (rand, 0, 256);
  gsize truncated_bytes
      = g_rand_int_range (rand, 0, 4) == 0 ? (gsize) g_rand_int_range (rand, 0, (gint32) len) : 0;
  fuzz_readers_run (input, len + 1 - truncated_bytes);
  g_bytes_unref (valid);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new ("- fuzz the readers");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL))
    return 2;
  for (int i = 0; i < input_n; i++)
    run_seed ((guint32) (first_seed + i));
  printf ("%d inputs\n", input_n);
  return 0;
}

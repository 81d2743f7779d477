#include "advice-balancer.h"

#include <math.h>

/* Questions are told apart by the power of two of their time. */
#define CLASS_N 16
/* A question is kept from daemons by those that take less than a quarter of its time: a
 * wait behind one of half its length costs a caller little more than its own. */
#define CLASSES_APART 2
/* Failure: two owners do not know of each other's questions, and a daemon's calls wait for each
 * other; a short question of one waits behind a long one of the other, and its callers are late
 * (0.008 of the mean worth of a site with two services).  Guard: long ones are taken from the end
 * of the daemons, short ones from the beginning (FB_ADVICE_LONG_MS). */

/* Failure: another owner has a long question at every daemon, and a daemon that has answered a
 * short one begins a long one while the next short one is on its way; it shows as short questions
 * that get one answer for each long one.  Guard: a second short question waits at the daemon
 * already. */
#define SHORT_AT_ONCE 2

/* What was asked counts half after this: bursts last some seconds. */
#define HALF_LIFE_MS 1000

typedef struct
{
  double busy_ms; /* time of questions, halved each HALF_LIFE_MS */
  uint64_t as_of_ms;
} Load;

struct _FbAdviceShare
{
  Load loads[CLASS_N];
  GHashTable *open; /* address -> Open */
};

/* What is open at one daemon: one question, or several short ones. */
typedef struct
{
  guint class; /* of the last one */
  guint n;
} Open;

FbAdviceShare *
fb_advice_share_new (void)
{
  FbAdviceShare *self = g_new0 (FbAdviceShare, 1);
  self->open = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_advice_share_free (FbAdviceShare *self)
{
  g_hash_table_unref (self->open);
  g_free (self);
}

static guint
class_of (uint32_t expected_ms)
{
  return MIN (g_bit_storage (expected_ms), CLASS_N - 1);
}

static void
fade (Load *load, uint64_t now_ms)
{
  if (now_ms > load->as_of_ms)
    load->busy_ms *= exp2 (-(double) (now_ms - load->as_of_ms) / HALF_LIFE_MS);
  load->as_of_ms = MAX (load->as_of_ms, now_ms);
}

/* Daemons that questions much shorter than CLASS have kept busy lately. */
static double
shorter_load (FbAdviceShare *self, guint class, uint64_t now_ms)
{
  double busy_ms = 0;
  for (guint i = 0; i + CLASSES_APART < class + 1; i++)
    {
      fade (&self->loads[i], now_ms);
      busy_ms += self->loads[i].busy_ms;
    }
  /* A steady load of one daemon adds up to this. */
  return busy_ms / (HALF_LIFE_MS / G_LN2);
}

/* With 38 questions of 16 ms a second, 10 of 89 ms and 2 of 875 ms at nine daemons the long ones
 * may use seven, and six during a burst of 2.3 times the short ones.  Half as many again and one
 * more were too many: gangs waited, and the mean worth of 20 days of two sites without processor
 * time was 0.006 lower. */
guint
fb_advice_share_kept (FbAdviceShare *self, guint daemons_n, uint32_t expected_ms, uint64_t now_ms)
{
  double load = shorter_load (self, class_of (expected_ms), now_ms);
  /* A hundredth of a daemon: who asked last some seconds ago is asked for no more. */
  if (load < 0.01 || daemons_n < 2)
    return 0;
  return MIN (MAX ((guint) (load + 0.5), 1), daemons_n - 1);
}

static guint
open_n (const FbAdviceShare *self, guint from_class)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer open;
  g_hash_table_iter_init (&iter, self->open);
  while (g_hash_table_iter_next (&iter, NULL, &open))
    n += ((const Open *) open)->class >= from_class;
  return n;
}

/* Returns: (nullable): a daemon with OPEN_N questions open, all of them short if any are. */
static const char *
daemon_with (const FbAdviceShare *self, const GPtrArray *daemons, guint open_n, gboolean from_end)
{
  for (guint i = 0; i < daemons->len; i++)
    {
      const char *daemon = daemons->pdata[from_end ? daemons->len - 1 - i : i];
      const Open *open = g_hash_table_lookup (self->open, daemon);
      if (open_n == (open != NULL ? open->n : 0)
          && (open == NULL || open->class < class_of (FB_ADVICE_LONG_MS)))
        return daemon;
    }
  return NULL;
}

const char *
fb_advice_share_daemon (FbAdviceShare *self, const GPtrArray *daemons, uint32_t expected_ms,
                        uint64_t now_ms)
{
  guint class = class_of (expected_ms);
  guint kept = fb_advice_share_kept (self, daemons->len, expected_ms, now_ms);
  guint from_class = class + 1 > CLASSES_APART ? class + 1 - CLASSES_APART : 0;
  if (kept > 0 && open_n (self, from_class) + kept >= daemons->len)
    return NULL;
  gboolean is_long = expected_ms >= FB_ADVICE_LONG_MS;
  guint most = is_long ? 1 : SHORT_AT_ONCE;
  const char *daemon = NULL;
  for (guint open_n = 0; open_n < most && daemon == NULL; open_n++)
    daemon = daemon_with (self, daemons, open_n, is_long);
  return daemon;
}

void
fb_advice_share_began (FbAdviceShare *self, const char *daemon, uint32_t expected_ms,
                       uint64_t now_ms)
{
  guint class = class_of (expected_ms);
  fade (&self->loads[class], now_ms);
  self->loads[class].busy_ms += expected_ms;
  Open *open = g_hash_table_lookup (self->open, daemon);
  if (open == NULL)
    {
      open = g_new0 (Open, 1);
      g_hash_table_insert (self->open, g_strdup (daemon), open);
    }
  open->class = class;
  open->n++;
}

void
fb_advice_share_ended (FbAdviceShare *self, const char *daemon)
{
  Open *open = g_hash_table_lookup (self->open, daemon);
  if (open != NULL && --open->n == 0)
    g_hash_table_remove (self->open, daemon);
}

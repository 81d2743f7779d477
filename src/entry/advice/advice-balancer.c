#include "advice-balancer.h"

#include <math.h>

/* Number of size classes of requests; the class is the binary logarithm of the expected
 * duration. */
#define CLASS_N 16
/* Daemons are reserved against a request for those that take less than a quarter of its duration:
 * waiting behind a request of half its own length costs a caller little more than its own
 * duration. */
#define CLASS_DISTANCE 2
/* Maximum number of short requests open at one daemon.  With one, when another owner has a long
 * request at every daemon, a daemon that has answered a short request begins a long one while the
 * next short one is in transit, so that only one short request is answered for each long one.  With
 * two, a second short request is already queued. */
#define SHORT_MAX 2

/* Half-life of the load caused by sent requests; bursts last some seconds. */
#define HALF_LIFE_MS 1000

typedef struct
{
  double busy_ms; /* total expected duration of sent requests, with a half-life of HALF_LIFE_MS */
  uint64_t as_of_ms;
} Load;

struct _FbAdviceBalancer
{
  Load loads[CLASS_N];
  GHashTable *open; /* address -> OpenRequests */
};

/* Open requests at one daemon: one, or several short ones. */
typedef struct
{
  guint class; /* class of the last request */
  guint n;
} OpenRequests;

FbAdviceBalancer *
fb_advice_balancer_new (void)
{
  FbAdviceBalancer *self = g_new0 (FbAdviceBalancer, 1);
  self->open = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_advice_balancer_free (FbAdviceBalancer *self)
{
  g_hash_table_unref (self->open);
  g_free (self);
}

static guint
size_class (uint32_t expected_ms)
{
  return MIN (g_bit_storage (expected_ms), CLASS_N - 1);
}

static void
decay (Load *load, uint64_t now_ms)
{
  if (now_ms > load->as_of_ms)
    load->busy_ms *= exp2 (-(double) (now_ms - load->as_of_ms) / HALF_LIFE_MS);
  load->as_of_ms = MAX (load->as_of_ms, now_ms);
}

/* Returns: the mean number of daemons that were recently busy with requests much shorter than
 * CLASS. */
static double
shorter_load (FbAdviceBalancer *self, guint class, uint64_t now_ms)
{
  double busy_ms = 0;
  for (guint i = 0; i + CLASS_DISTANCE < class + 1; i++)
    {
      decay (&self->loads[i], now_ms);
      busy_ms += self->loads[i].busy_ms;
    }
  /* The value of a constantly busy daemon converges to HALF_LIFE_MS / ln 2. */
  return busy_ms / (HALF_LIFE_MS / G_LN2);
}

/* Example: with 38 requests of 16 ms a second, 10 of 89 ms and 2 of 875 ms at nine daemons, the
 * long ones may use seven daemons, and six during a burst of 2.3 times the short ones.  Reserving
 * half as many more plus one delays gangs too much. */
guint
fb_advice_balancer_reserved (FbAdviceBalancer *self, guint daemons_n, uint32_t expected_ms,
                             uint64_t now_ms)
{
  double load = shorter_load (self, size_class (expected_ms), now_ms);
  /* Nothing is reserved below a load of 0.01, which means that the last short request was some
   * seconds ago. */
  if (load < 0.01 || daemons_n < 2)
    return 0;
  return MIN (MAX ((guint) (load + 0.5), 1), daemons_n - 1);
}

static guint
count_open (const FbAdviceBalancer *self, guint min_class)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer open;
  g_hash_table_iter_init (&iter, self->open);
  while (g_hash_table_iter_next (&iter, NULL, &open))
    n += ((const OpenRequests *) open)->class >= min_class;
  return n;
}

/* Returns: (nullable): a daemon with OPEN_N open requests, all of them short. */
static const char *
find_daemon (const FbAdviceBalancer *self, const GPtrArray *daemons, guint open_n,
             gboolean from_end)
{
  for (guint i = 0; i < daemons->len; i++)
    {
      const char *daemon = daemons->pdata[from_end ? daemons->len - 1 - i : i];
      const OpenRequests *open = g_hash_table_lookup (self->open, daemon);
      if (open_n == (open != NULL ? open->n : 0)
          && (open == NULL || open->class < size_class (FB_ADVICE_LONG_MS)))
        return daemon;
    }
  return NULL;
}

/* Returns: from which size class on open requests count against the daemons that a request of CLASS
 * may use. */
static guint
min_class_of (guint class)
{
  return class + 1 > CLASS_DISTANCE ? class + 1 - CLASS_DISTANCE : 0;
}

guint
fb_advice_balancer_idle_n (FbAdviceBalancer *self, const GPtrArray *daemons, uint32_t expected_ms,
                           uint64_t now_ms)
{
  guint idle_n = 0;
  for (guint i = 0; i < daemons->len; i++)
    idle_n += !g_hash_table_contains (self->open, daemons->pdata[i]);
  guint reserved = fb_advice_balancer_reserved (self, daemons->len, expected_ms, now_ms);
  if (reserved == 0)
    return idle_n;
  guint taken = count_open (self, min_class_of (size_class (expected_ms))) + reserved;
  return taken < daemons->len ? MIN (idle_n, daemons->len - taken) : 0;
}

/* Assigns long requests from the end of the list of daemons and short ones from the beginning
 * (FB_ADVICE_LONG_MS).  Two owners are not aware of each other's requests, so that otherwise a
 * short request of one queues behind a long one of the other and its callers get late answers. */
const char *
fb_advice_balancer_choose (FbAdviceBalancer *self, const GPtrArray *daemons, uint32_t expected_ms,
                           uint64_t now_ms)
{
  guint class = size_class (expected_ms);
  guint reserved = fb_advice_balancer_reserved (self, daemons->len, expected_ms, now_ms);
  if (reserved > 0 && count_open (self, min_class_of (class)) + reserved >= daemons->len)
    return NULL;
  gboolean is_long = expected_ms >= FB_ADVICE_LONG_MS;
  guint max_open = is_long ? 1 : SHORT_MAX;
  const char *daemon = NULL;
  for (guint open_n = 0; open_n < max_open && daemon == NULL; open_n++)
    daemon = find_daemon (self, daemons, open_n, is_long);
  return daemon;
}

void
fb_advice_balancer_began (FbAdviceBalancer *self, const char *daemon, uint32_t expected_ms,
                          uint64_t now_ms)
{
  guint class = size_class (expected_ms);
  decay (&self->loads[class], now_ms);
  self->loads[class].busy_ms += expected_ms;
  OpenRequests *open = g_hash_table_lookup (self->open, daemon);
  if (open == NULL)
    {
      open = g_new0 (OpenRequests, 1);
      g_hash_table_insert (self->open, g_strdup (daemon), open);
    }
  open->class = class;
  open->n++;
}

void
fb_advice_balancer_ended (FbAdviceBalancer *self, const char *daemon)
{
  OpenRequests *open = g_hash_table_lookup (self->open, daemon);
  if (open != NULL && --open->n == 0)
    g_hash_table_remove (self->open, daemon);
}

#include "fair-share.h"

/* One that waits asks again each 25 ms: after so long without it waits no more. */
#define WAITS_MS 100
/* One that asked for nothing for so long has no claim for that time. */
#define IDLE_MS 1000

typedef struct
{
  uint64_t used_ms;
  uint64_t asked_ms;
  uint64_t waits_ms; /* when it was last turned away; 0: it was not, or went since */
} Turn;

struct _FbTurns
{
  GHashTable *turns; /* user -> Turn */
};

FbTurns *
fb_turns_new (void)
{
  FbTurns *self = g_new0 (FbTurns, 1);
  self->turns = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return self;
}

void
fb_turns_free (FbTurns *self)
{
  g_hash_table_unref (self->turns);
  g_free (self);
}

static Turn *
turn_of (FbTurns *self, uint32_t user)
{
  Turn *turn = g_hash_table_lookup (self->turns, GUINT_TO_POINTER (user));
  if (turn == NULL)
    {
      turn = g_new0 (Turn, 1);
      g_hash_table_insert (self->turns, GUINT_TO_POINTER (user), turn);
    }
  return turn;
}

/* The least that another has used which waits; G_MAXUINT64 when none does. */
static uint64_t
least_used_ms (const FbTurns *self, const Turn *but, uint64_t now_ms)
{
  uint64_t least_ms = G_MAXUINT64;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->turns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Turn *turn = value;
      if (turn != but && turn->waits_ms != 0 && now_ms < turn->waits_ms + WAITS_MS)
        least_ms = MIN (least_ms, turn->used_ms);
    }
  return least_ms;
}

gboolean
fb_turns_is_next (FbTurns *self, uint32_t user, uint64_t now_ms)
{
  Turn *turn = turn_of (self, user);
  uint64_t least_ms = least_used_ms (self, turn, now_ms);
  if (now_ms > turn->asked_ms + IDLE_MS && least_ms != G_MAXUINT64)
    turn->used_ms = MAX (turn->used_ms, least_ms);
  turn->asked_ms = now_ms;
  return turn->used_ms <= least_ms;
}

void
fb_turns_went (FbTurns *self, uint32_t user, uint32_t took_ms)
{
  Turn *turn = turn_of (self, user);
  turn->used_ms += took_ms;
  turn->waits_ms = 0;
}

void
fb_turns_waits (FbTurns *self, uint32_t user, uint64_t now_ms)
{
  turn_of (self, user)->waits_ms = now_ms;
}

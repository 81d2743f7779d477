/* Workers and a store that do not serve all their calls, and calls that are carried out late. */
#include "standin-platform.h"

#include <string.h>

/* A late call is carried out between these after it came. */
#define LATE_LEAST_MS 300
#define LATE_MOST_MS 5000

typedef struct
{
  gint64 until_ms;
  guint percent[SP_CALL_FATE_N]; /* of its calls; what is left is served */
} Shares;

typedef struct
{
  SoupServerMessage *message;
  guint k;
  char *path;
  JsonObject *body;
  gint64 at_ms;
} LateCall;

static Shares shares[SP_WORKER_MAX + 1]; /* the last: of the store */
static GPtrArray *late_calls;            /* of LateCall */
static GRand *luck;

static void
late_call_free (gpointer data)
{
  LateCall *call = data;
  g_object_unref (call->message);
  g_free (call->path);
  json_object_unref (call->body);
  g_free (call);
}

void
sp_faults_init (void)
{
  late_calls = g_ptr_array_new_with_free_func (late_call_free);
  luck = g_rand_new_with_seed (1);
}

void
sp_faults_set (guint k, JsonObject *told)
{
  static const char *const names[SP_CALL_FATE_N]
      = { [SP_CALL_REFUSED] = "refuse", [SP_CALL_LOST] = "lose", [SP_CALL_LATE] = "late" };
  Shares *own = &shares[MIN (k, SP_STORE)];
  own->until_ms = sp_now_ms () + json_object_get_int_member_with_default (told, "for-ms", 0);
  for (guint i = SP_CALL_SERVED + 1; i < SP_CALL_FATE_N; i++)
    own->percent[i] = (guint) json_object_get_int_member_with_default (told, names[i], 0);
}

void
sp_faults_end (void)
{
  memset (shares, 0, sizeof shares);
}

SpCallFate
sp_faults_draw (guint k)
{
  const Shares *own = &shares[k];
  if (sp_now_ms () >= own->until_ms)
    return SP_CALL_SERVED;
  guint drawn = (guint) g_rand_int_range (luck, 0, 100);
  for (guint i = SP_CALL_SERVED + 1; i < SP_CALL_FATE_N; i++)
    {
      if (drawn < own->percent[i])
        return (SpCallFate) i;
      drawn -= own->percent[i];
    }
  return SP_CALL_SERVED;
}

void
sp_faults_hold (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  LateCall *call = g_new0 (LateCall, 1);
  call->message = g_object_ref (message);
  call->k = k;
  call->path = g_strdup (path);
  call->body = json_object_ref (body);
  call->at_ms = sp_now_ms () + g_rand_int_range (luck, LATE_LEAST_MS, LATE_MOST_MS);
  soup_server_message_pause (message);
  g_ptr_array_add (late_calls, call);
}

void
sp_faults_turn (void)
{
  for (guint i = late_calls->len; i > 0; i--)
    {
      LateCall *call = late_calls->pdata[i - 1];
      if (sp_now_ms () < call->at_ms)
        continue;
      sp_worker_carry_out (call->message, call->k, call->path, call->body);
      g_ptr_array_remove_index (late_calls, i - 1);
    }
}

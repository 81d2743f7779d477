/* Workers that stand still, whose calls wait until they go on, and workers that are out of reach of
 * later owners, whose calls get no response and are not executed. */
#include "standin-platform.h"

typedef struct
{
  gint64 suspended_until_ms;   /* by sp_now_ms(); 0: it runs */
  gint64 unreachable_until_ms; /* by sp_now_ms(); 0: every owner reaches it */
  guint64 reachable_token;     /* highest fencing token of the owners that reach it */
  GQueue waiting;              /* of HeldCall, executed when the worker goes on */
  GQueue lost;                 /* of HeldCall, closed when later owners reach it */
} Reach;

typedef struct
{
  SoupServerMessage *message; /* paused */
  char *path;
  JsonObject *body;
} HeldCall;

static Reach reaches[SP_WORKER_MAX];

static void
held_call_free (gpointer data)
{
  HeldCall *call = data;
  g_object_unref (call->message);
  g_free (call->path);
  json_object_unref (call->body);
  g_free (call);
}

static void
hold (GQueue *calls, SoupServerMessage *message, const char *path, JsonObject *body)
{
  HeldCall *call = g_new (HeldCall, 1);
  *call = (HeldCall){ g_object_ref (message), g_strdup (path), json_object_ref (body) };
  soup_server_message_pause (message);
  g_queue_push_tail (calls, call);
}

static void
close_all (GQueue *calls)
{
  HeldCall *call = NULL;
  while ((call = g_queue_pop_head (calls)) != NULL)
    {
      sp_close_connection (call->message);
      held_call_free (call);
    }
}

gboolean
sp_reach_hold (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  Reach *reach = &reaches[k];
  guint64 token = (guint64) json_object_get_int_member_with_default (body, "fencing-token", 0);
  if (reach->unreachable_until_ms != 0 && token > reach->reachable_token)
    {
      g_debug ("worker %u is out of reach for token %" G_GUINT64_FORMAT, k, token);
      hold (&reach->lost, message, path, body);
    }
  else if (sp_reach_is_suspended (k))
    hold (&reach->waiting, message, path, body);
  else
    return FALSE;
  return TRUE;
}

void
sp_reach_suspend (guint k, gint64 for_ms)
{
  g_debug ("worker %u stands still for %" G_GINT64_FORMAT " ms", k, for_ms);
  reaches[k].suspended_until_ms = sp_now_ms () + for_ms;
}

gboolean
sp_reach_is_suspended (guint k)
{
  return reaches[k].suspended_until_ms != 0;
}

void
sp_reach_exclude_later (guint k, guint64 token, gint64 for_ms)
{
  g_debug ("worker %u is out of reach for tokens above %" G_GUINT64_FORMAT " for %" G_GINT64_FORMAT
           " ms",
           k, token, for_ms);
  reaches[k].reachable_token = token;
  reaches[k].unreachable_until_ms = sp_now_ms () + for_ms;
}

void
sp_reach_drop_calls (guint k)
{
  reaches[k].suspended_until_ms = 0;
  close_all (&reaches[k].waiting);
}

void
sp_reach_clear (void)
{
  for (guint k = 0; k < SP_WORKER_MAX; k++)
    {
      reaches[k].suspended_until_ms = MIN (reaches[k].suspended_until_ms, sp_now_ms ());
      reaches[k].unreachable_until_ms = MIN (reaches[k].unreachable_until_ms, sp_now_ms ());
    }
}

static void
execute_waiting (guint k)
{
  HeldCall *call = NULL;
  g_debug ("worker %u goes on, with %u calls waiting", k, g_queue_get_length (&reaches[k].waiting));
  reaches[k].suspended_until_ms = 0;
  sp_worker_go_on (k);
  while ((call = g_queue_pop_head (&reaches[k].waiting)) != NULL)
    {
      sp_worker_execute_waiting (call->message, k, call->path, call->body);
      held_call_free (call);
    }
}

void
sp_reach_tick (void)
{
  for (guint k = 0; k < SP_WORKER_MAX; k++)
    {
      Reach *reach = &reaches[k];
      if (reach->suspended_until_ms != 0 && sp_now_ms () >= reach->suspended_until_ms)
        execute_waiting (k);
      if (reach->unreachable_until_ms == 0 || sp_now_ms () < reach->unreachable_until_ms)
        continue;
      reach->unreachable_until_ms = 0;
      close_all (&reach->lost);
    }
}

/* Events of the world, among them the messages about parts between owners. */
#include "account-world.h"

#include <stdarg.h>

gboolean
account_world_chance (World *world, double share)
{
  return !world->calm && g_rand_double (world->rand) < share;
}

void
account_world_fail (World *world, const char *format, ...)
{
  if (world->fault != NULL)
    return;
  va_list args;
  va_start (args, format);
  world->fault = g_strdup_vprintf (format, args);
  va_end (args);
}

/* ---- events --------------------------------------------------------------------- */

static gint
compare_events (gconstpointer a, gconstpointer b)
{
  const Event *x = a;
  const Event *y = b;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return (x->number > y->number) - (x->number < y->number);
}

Event *
account_world_schedule (World *world, EventKind kind, const Owner *owner)
{
  Event *event = g_new0 (Event, 1);
  event->kind = kind;
  event->number = world->events_n++;
  event->service = owner->service;
  event->epoch = owner->epoch;
  uint32_t delay_ms = (uint32_t) g_rand_int_range (world->rand, 1, 8);
  if (account_world_chance (world, 0.02))
    delay_ms += (uint32_t) g_rand_int_range (world->rand, 100, 3000);
  event->due_ms = world->now_ms + delay_ms;
  return event;
}

void
account_world_post (World *world, Event *event)
{
  world->events = g_list_insert_sorted (world->events, event, compare_events);
}

static void
event_free (Event *event)
{
  fb_account_parts_request_clear (&event->request);
  g_free (event->request.service);
  g_free (event->request.coordinator);
  xdr_free ((xdrproc_t) xdr_fb_account_grants_reply, (char *) &event->reply);
  g_free (event->task);
  g_free (event);
}

/* Returns: (nullable): the owner of SERVICE with EPOCH, if it still exists. */
Owner *
account_world_owner (const World *world, guint service, uint64_t epoch)
{
  if (world->owners[service]->epoch == epoch)
    return world->owners[service];
  for (guint i = 0; i < world->replaced->len; i++)
    {
      Owner *owner = world->replaced->pdata[i];
      if (owner->service == service && owner->epoch == epoch)
        return owner;
    }
  return NULL;
}

gboolean
account_world_is_frozen (const World *world, const Owner *owner)
{
  return world->now_ms < owner->frozen_until_ms;
}

/* ---- parts ----------------------------------------------------------------------------- */

/* A request reaches the present owner, or one that was replaced, which the store and its workers
 * do not confirm, so that it grants nothing. */
static Owner *
receiver_of (World *world, guint service)
{
  for (guint i = 0; i < world->replaced->len; i++)
    {
      Owner *owner = world->replaced->pdata[i];
      if (owner->service == service && account_world_chance (world, 0.5))
        return owner;
    }
  return world->owners[service];
}

static void
handle_parts (World *world, Event *event)
{
  Owner *receiver = receiver_of (world, event->coordinator);
  Owner *sender = account_world_owner (world, event->service, event->epoch);
  fb_account_grants_reply reply = { 0 };
  gboolean served
      = !account_world_is_frozen (world, receiver) && !receiver->replaced
        && !account_world_chance (world, 0.05)
        && fb_account_parts_serve (receiver->parts, receiver->pool, &event->request, &reply);
  if (sender == NULL)
    {
      xdr_free ((xdrproc_t) xdr_fb_account_grants_reply, (char *) &reply);
      return;
    }
  Event *back = account_world_schedule (world, EVENT_PARTS_REPLY, sender);
  back->coordinator = event->coordinator;
  back->answered = served && !account_world_chance (world, 0.05);
  back->reply = reply;
  if (!back->answered)
    back->due_ms += 600;
  account_world_post (world, back);
}

static void
dispatch (World *world, Event *event)
{
  if (event->kind == EVENT_START)
    account_world_start (world, event);
  else if (event->kind == EVENT_STOP)
    account_world_stop (world, event);
  else if (event->kind == EVENT_POLL)
    account_world_poll (world, event);
  else if (event->kind == EVENT_PARTS)
    handle_parts (world, event);
  Owner *owner = account_world_owner (world, event->service, event->epoch);
  if (owner == NULL)
    return;
  if (event->kind == EVENT_START_ANSWER)
    fb_pool_start_answered (owner->pool, event->order, event->result, world->now_ms, world->now_ms);
  else if (event->kind == EVENT_POLL_ANSWER)
    account_world_poll_answered (world, owner, event);
  else if (event->kind == EVENT_PARTS_REPLY)
    fb_account_parts_answered (owner->parts, world->services->pdata[event->coordinator],
                               event->answered ? &event->reply : NULL);
}

/* An event for a frozen owner waits until it wakes. */
static gboolean
is_for_frozen (const World *world, Event *event)
{
  const Owner *owner = account_world_owner (world, event->service, event->epoch);
  gboolean incoming = event->kind == EVENT_START_ANSWER || event->kind == EVENT_POLL_ANSWER
                      || event->kind == EVENT_PARTS_REPLY;
  if (!incoming || owner == NULL || !account_world_is_frozen (world, owner))
    return FALSE;
  event->due_ms = owner->frozen_until_ms;
  return TRUE;
}

void
account_world_run_events (World *world)
{
  while (world->events != NULL && ((Event *) world->events->data)->due_ms <= world->now_ms)
    {
      Event *event = world->events->data;
      world->events = g_list_delete_link (world->events, world->events);
      if (is_for_frozen (world, event))
        {
          account_world_post (world, event);
          continue;
        }
      dispatch (world, event);
      event_free (event);
    }
}

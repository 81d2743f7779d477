#include "append-proxy.h"

#include "front.h"

#include "src/entry/store/rendezvous.h"

#include <string.h>
#include <xxhash.h>

/* Up to so many daemons each appends by itself: nine appends of 120 ms wait 1.1 s, which callers
 * bear until it is known that the store is slow. */
#define DIRECT_MAX 9
/* Four appends of 120 ms wait half a second; with one, its loss would stop all callers for the
 * time that it takes to notice. */
#define GATHERER_N 4
/* Long enough for an append by another daemon, short enough to ask one more. */
#define PATIENCE_MS 400
/* A slow store takes longer, and others wait there; what is left of a caller's time is for the
 * answer. */
#define SLOW_PATIENCE_MS 2300
#define ASKED_MAX 2
/* Later there is no time left to ask another one and to store it from here then. */
#define ASK_UNTIL_MS (FB_FRONT_LONGEST_CALL_MS - PATIENCE_MS - FB_FRONT_STORE_MS)

static gboolean
was_asked (const GPtrArray *asked, const char *address)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *) asked, address, g_str_equal, NULL);
}

typedef struct
{
  const GPtrArray *asked;
  uint64_t now_ms;
} Choice;

static gboolean
may_gather (const FbDaemon *member, gconstpointer user)
{
  const Choice *choice = user;
  return choice->now_ms >= MAX (member->rests_ms, member->refuses_ms)
         && !was_asked (choice->asked, member->address);
}

gboolean
fb_append_proxy_always (const GPtrArray *members)
{
  return members->len > DIRECT_MAX;
}

const char *
fb_append_proxy_for (const GPtrArray *members, const char *owner, const char *front,
                     const GPtrArray *asked, uint32_t partition, uint64_t now_ms)
{
  gboolean always = fb_append_proxy_always (members);
  if (!always && owner != NULL && !was_asked (asked, owner))
    return owner;
  guint group = always ? (guint) (XXH64 (front, strlen (front), 0) % GATHERER_N) : 0;
  g_autofree char *key = g_strdup_printf ("partition-%u/%u", partition, group);
  const Choice choice = { asked, now_ms };
  const FbDaemon *member = fb_rendezvous_choose (members, key, may_gather, &choice);
  return member != NULL ? member->address : NULL;
}

gboolean
fb_append_proxy_store_is_degraded (const FbStoreHealth *pace, uint64_t now_ms)
{
  return fb_store_health_has_failed (pace, now_ms) || fb_store_health_is_slow (pace);
}

/* Returns: (nullable): whom to ask, borrowed. */
static const char *
next_gatherer (const FbAppendProxyRecord *record, const FbStoreHealth *pace,
               const GPtrArray *members, uint64_t now_ms)
{
  if ((!fb_append_proxy_store_is_degraded (pace, now_ms) && !fb_append_proxy_always (members))
      || record->asked->len >= ASKED_MAX || now_ms >= record->since_ms + ASK_UNTIL_MS)
    return NULL;
  const char *address = fb_append_proxy_for (members, record->owner, record->front, record->asked,
                                             record->partition, now_ms);
  return address != NULL && !g_str_equal (address, record->front) ? address : NULL;
}

FbAppendRoute
fb_append_proxy_route (const FbAppendProxyRecord *record, const FbStoreHealth *pace,
                       const GPtrArray *members, uint64_t now_ms)
{
  const char *address = next_gatherer (record, pace, members, now_ms);
  gboolean slow = fb_store_health_is_slow (pace);
  if (address != NULL)
    {
      uint64_t remaining_ms = record->since_ms + FB_FRONT_LONGEST_CALL_MS - now_ms;
      uint32_t patience_ms = slow ? SLOW_PATIENCE_MS : PATIENCE_MS;
      return (FbAppendRoute){ FB_APPEND_ROUTE_PROXY, address,
                              (uint32_t) MIN (patience_ms, remaining_ms) };
    }
  /* Failure: who is refused by a slow store tries other ways, each of which is one more append in
   * the queue for which it was refused; it shows as callers without an answer for as long as the
   * store is slow.  Guard: then the caller is told so at once, and comes again later. */
  gboolean give_up = slow && record->asked->len > 0;
  return (FbAppendRoute){ .step = give_up ? FB_APPEND_ROUTE_GIVE_UP : FB_APPEND_ROUTE_LOCAL };
}

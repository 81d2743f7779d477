#include "append-proxy.h"

#include "frontend.h"

#include "src/entry/store/rendezvous.h"

#include <string.h>
#include <xxhash.h>

/* Maximum number of daemons with which each one appends its own records: nine appends of 120 ms
 * take 1.1 s, for which callers can wait until the store is known to be slow. */
#define DIRECT_MAX 9
/* Number of daemons per partition that append for the others.  Four appends of 120 ms take half a
 * second; with only one daemon, its failure would block all callers until it is detected. */
#define PROXY_N 4
/* Timeout of an append through another daemon: long enough for the append, short enough to try
 * another daemon afterwards. */
#define TIMEOUT_MS 400
/* The same while the store is slow and more appends are queued; the rest of a caller's time is left
 * for the answer. */
#define SLOW_TIMEOUT_MS 2300
/* Maximum number of proxies that are tried for one record. */
#define PROXIES_MAX 2
/* Age of a request beyond which no proxy is tried, because the remaining time is needed for
 * appending the record from this daemon. */
#define PROXY_MAX_AGE_MS (FB_ENTRY_FRONTEND_CALL_MAX_MS - TIMEOUT_MS - FB_ENTRY_FRONTEND_STORE_MS)

static gboolean
was_tried (const GPtrArray *tried, const char *address)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *) tried, address, g_str_equal, NULL);
}

typedef struct
{
  const GPtrArray *tried;
  uint64_t now_ms;
} Choice;

static gboolean
may_append (const FbDaemon *member, gconstpointer user)
{
  const Choice *choice = user;
  return choice->now_ms >= MAX (member->relay_backoff_until_ms, member->append_backoff_until_ms)
         && !was_tried (choice->tried, member->address);
}

gboolean
fb_append_proxy_is_always_used (const GPtrArray *members)
{
  return members->len > DIRECT_MAX;
}

static gboolean
is_any (const FbDaemon *member, gconstpointer user)
{
  (void) member;
  (void) user;
  return TRUE;
}

/* Returns: (nullable): the first choice of GROUP or, with a CHOICE (nullable), the best one that it
 * allows. */
static const FbDaemon *
proxy_of_group (const GPtrArray *members, uint32_t partition, guint group, const Choice *choice)
{
  g_autofree char *key = g_strdup_printf ("partition-%u/%u", partition, group);
  return choice != NULL ? fb_rendezvous_choose (members, key, may_append, choice)
                        : fb_rendezvous_choose (members, key, is_any, NULL);
}

/* In place of a proxy that cannot be used, one of the other groups is chosen, so that no more
 * daemons append than there are groups. */
const char *
fb_append_proxy_choose (const GPtrArray *members, const char *owner, const char *receiver,
                        const GPtrArray *tried, uint32_t partition, uint64_t now_ms)
{
  gboolean always_used = fb_append_proxy_is_always_used (members);
  if (!always_used && owner != NULL && !was_tried (tried, owner))
    return owner;
  guint group = always_used ? (guint) (XXH64 (receiver, strlen (receiver), 0) % PROXY_N) : 0;
  const Choice choice = { tried, now_ms };
  for (guint i = 0; always_used && i < PROXY_N; i++)
    {
      const FbDaemon *first = proxy_of_group (members, partition, (group + i) % PROXY_N, NULL);
      if (first != NULL && may_append (first, &choice))
        return first->address;
    }
  const FbDaemon *member = proxy_of_group (members, partition, group, &choice);
  return member != NULL ? member->address : NULL;
}

gboolean
fb_append_proxy_is_at_fault (gboolean reached)
{
  return !reached;
}

gboolean
fb_append_proxy_store_is_degraded (const FbStoreHealth *store_health, uint64_t now_ms)
{
  return fb_store_health_has_failed (store_health, now_ms)
         || fb_store_health_is_slow (store_health);
}

/* Returns: (nullable): address of the proxy to try, borrowed; NULL when none is to be tried. */
static const char *
next_proxy (const FbAppendProxyRecord *record, const FbStoreHealth *store_health,
            const GPtrArray *members, uint64_t now_ms)
{
  if ((!fb_append_proxy_store_is_degraded (store_health, now_ms)
       && !fb_append_proxy_is_always_used (members))
      || record->tried->len >= PROXIES_MAX || now_ms >= record->received_ms + PROXY_MAX_AGE_MS)
    return NULL;
  const char *address = fb_append_proxy_choose (members, record->owner, record->receiver,
                                                record->tried, record->partition, now_ms);
  return address != NULL && !g_str_equal (address, record->receiver) ? address : NULL;
}

FbAppendRoute
fb_append_proxy_route (const FbAppendProxyRecord *record, const FbStoreHealth *store_health,
                       const GPtrArray *members, uint64_t now_ms)
{
  const char *address = next_proxy (record, store_health, members, now_ms);
  gboolean is_slow = fb_store_health_is_slow (store_health);
  if (address != NULL)
    {
      uint64_t remaining_ms = record->received_ms + FB_ENTRY_FRONTEND_CALL_MAX_MS - now_ms;
      uint32_t timeout_ms = is_slow ? SLOW_TIMEOUT_MS : TIMEOUT_MS;
      return (FbAppendRoute){ FB_APPEND_ROUTE_PROXY, address,
                              (uint32_t) MIN (timeout_ms, remaining_ms) };
    }
  /* A record that a slow store has refused is not sent again by other daemons, because each attempt
   * adds an append to the queue for which it was refused, and callers get no answer for as long as
   * the store is slow.  Its caller is refused immediately and retries later. */
  gboolean give_up = is_slow && record->tried->len > 0;
  return (FbAppendRoute){ .step = give_up ? FB_APPEND_ROUTE_GIVE_UP : FB_APPEND_ROUTE_LOCAL };
}

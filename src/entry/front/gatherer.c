#include "gatherer.h"

#include "src/entry/peers/relay.h"

#include <string.h>
#include <xxhash.h>

/* Up to so many daemons each appends by itself: nine appends of 120 ms wait 1.1 s, which callers
 * bear until it is known that the store is slow. */
#define DIRECT_MAX 9
/* Four appends of 120 ms wait half a second; with one, its loss would stop all callers for the
 * time that it takes to notice. */
#define GATHERER_N 4

static gboolean
was_asked (const GPtrArray *asked, const char *address)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *) asked, address, g_str_equal, NULL);
}

/* Returns: (nullable): the address of the member that all choose alike for KEY. */
static const char *
choose (const GPtrArray *members, const GPtrArray *asked, const char *key, uint64_t now_ms)
{
  const FbDaemon *best = NULL;
  double best_weight = 0;
  for (guint i = 0; i < members->len; i++)
    {
      const FbDaemon *member = members->pdata[i];
      if (now_ms < MAX (member->rests_ms, member->refuses_ms) || was_asked (asked, member->address))
        continue;
      double weight = fb_relay_weight (member, key);
      if (best == NULL || weight > best_weight)
        {
          best = member;
          best_weight = weight;
        }
    }
  return best != NULL ? best->address : NULL;
}

gboolean
fb_gatherer_always (const GPtrArray *members)
{
  return members->len > DIRECT_MAX;
}

const char *
fb_gatherer_for (const GPtrArray *members, const char *owner, const char *front,
                 const GPtrArray *asked, uint32_t partition, uint64_t now_ms)
{
  gboolean always = fb_gatherer_always (members);
  if (!always && owner != NULL && !was_asked (asked, owner))
    return owner;
  guint group = always ? (guint) (XXH64 (front, strlen (front), 0) % GATHERER_N) : 0;
  g_autofree char *key = g_strdup_printf ("partition-%u/%u", partition, group);
  return choose (members, asked, key, now_ms);
}

#include "gatherer.h"

#include "src/entry/peers/relay.h"

static gboolean
was_asked (const GPtrArray *asked, const char *address)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *) asked, address, g_str_equal, NULL);
}

const char *
fb_gatherer_for (const GPtrArray *members, const char *owner, const GPtrArray *asked,
                 uint32_t partition, uint64_t now_ms)
{
  if (owner != NULL && !was_asked (asked, owner))
    return owner;
  g_autofree char *key = g_strdup_printf ("partition-%u", partition);
  const FbDaemon *best = NULL;
  double best_weight = 0;
  for (guint i = 0; i < members->len; i++)
    {
      const FbDaemon *member = members->pdata[i];
      if (now_ms < member->rests_ms || was_asked (asked, member->address))
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

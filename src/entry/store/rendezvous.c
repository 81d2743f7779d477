#include "rendezvous.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

static double
weight_of (const FbDaemon *member, const char *key)
{
  uint64_t hash = XXH64 (key, strlen (key), XXH64 (member->address, strlen (member->address), 0));
  double unit = ((double) (hash >> 11) + 1) / ((double) (1ULL << 53) + 2); /* in (0, 1) */
  return (double) MAX (member->cpu_milli, 1) / -log (unit);
}

const FbDaemon *
fb_rendezvous_choose (const GPtrArray *members, const char *key, FbRendezvousFilter is_eligible,
                      gconstpointer user)
{
  const FbDaemon *best = NULL;
  double best_weight = 0;
  for (guint i = 0; i < members->len; i++)
    {
      const FbDaemon *member = members->pdata[i];
      if (!is_eligible (member, user))
        continue;
      double weight = weight_of (member, key);
      if (best == NULL || weight > best_weight)
        {
          best = member;
          best_weight = weight;
        }
    }
  return best;
}

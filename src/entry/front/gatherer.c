#include "gatherer.h"

#include "src/entry/store/rendezvous.h"

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
  const Choice choice = { asked, now_ms };
  const FbDaemon *member = fb_rendezvous_choose (members, key, may_gather, &choice);
  return member != NULL ? member->address : NULL;
}

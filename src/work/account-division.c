#include "internal/account-parts.h"

#include <math.h>

/* Adds to each of the N PARTS, evenly, up to its limit in WANTED.  Returns: what is left of
 * AMOUNT. */
static int64_t
divide_evenly (int64_t amount, const int64_t *wanted, guint n, int64_t *parts)
{
  guint unsatisfied_n = n;
  while (unsatisfied_n > 0 && amount >= unsatisfied_n)
    {
      int64_t even = amount / unsatisfied_n;
      unsatisfied_n = 0;
      for (guint i = 0; i < n; i++)
        {
          int64_t more = CLAMP (wanted[i] - parts[i], 0, even);
          parts[i] += more;
          amount -= more;
          unsatisfied_n += parts[i] < wanted[i];
        }
    }
  return amount;
}

/* Number of rounds in which wants are divided.  Each round a pool takes its whole even share of the
 * resource that limits it, so with two pools the second round leaves nothing that either can use;
 * pools that are limited by different resources leave less in each round. */
#define WANTS_ROUNDS_MAX 16

/* What the pools of one division could still use of a resource. */
typedef struct
{
  int64_t *wanted; /* beyond their parts */
  int64_t *gains;  /* of that, if they were limited by this resource alone */
} ResourceWants;

/* Computes for each pool how much of what it still wants of RESOURCE it would get.  Pools that are
 * BLOCKED get nothing. */
static void
divide_resource (const FbAmounts *left, const FbAccountClaim *claims, guint n, guint resource,
                 const FbAmounts *parts, const gboolean *blocked, ResourceWants *wants)
{
  g_autofree int64_t *limits = g_new0 (int64_t, n);
  for (guint i = 0; i < n; i++)
    {
      wants->wanted[i] = MAX (
          fb_amounts_get (&claims[i].wanted, resource) - fb_amounts_get (&parts[i], resource), 0);
      limits[i] = blocked[i] ? 0 : wants->wanted[i];
      wants->gains[i] = 0;
    }
  divide_evenly (MAX (fb_amounts_get (left, resource), 0), limits, n, wants->gains);
}

/* Adds to PART what pool I can use: of each resource the same fraction of what it still wants, the
 * smallest that it would get of any limited resource.  Returns: FALSE when it can use nothing. */
static gboolean
add_usable (const FbAmounts *cap, const ResourceWants *wants, guint i, FbAmounts *part,
            FbAmounts *left)
{
  double fraction = 1;
  gboolean wants_any = FALSE;
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      int64_t wanted = wants[resource].wanted[i];
      if (fb_amounts_get (cap, resource) == 0 || wanted == 0)
        continue;
      wants_any = TRUE;
      fraction = MIN (fraction, (double) wants[resource].gains[i] / (double) wanted);
    }
  if (!wants_any || fraction <= 0)
    return FALSE;
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      if (fb_amounts_get (cap, resource) == 0)
        continue;
      /* Rounded up, so that the fraction suffices for as many tasks as the limiting resource. */
      int64_t usable = (int64_t) ceil (fraction * (double) wants[resource].wanted[i]);
      int64_t more = MIN (usable, wants[resource].gains[i]);
      *fb_amounts_at (part, resource) += more;
      *fb_amounts_at (left, resource) -= more;
    }
  return TRUE;
}

/* Divides LEFT by what the pools want.
 *
 * This is for loads in which a pool waits for one resource and has plenty of another: a pool whose
 * gangs had reached the cap on accelerators (444 of 444) held a processor part of 2.25 million, of
 * which it could use 1.39 million, while 398 of 2,026 quick checks of the same account in the other
 * pool ended too late to have any value.  So a pool gets only what it can use together, and the
 * pools that can use more get what it leaves. */
static void
divide_by_wants (const FbAmounts *cap, const FbAccountClaim *claims, guint n, FbAmounts *parts,
                 FbAmounts *left)
{
  g_autofree gboolean *blocked = g_new0 (gboolean, n);
  g_autofree int64_t *numbers = g_new0 (int64_t, (gsize) 2 * FB_AMOUNTS_N * n);
  ResourceWants wants[FB_AMOUNTS_N];
  gboolean any_gained = TRUE;
  for (guint round = 0; round < WANTS_ROUNDS_MAX && any_gained; round++)
    {
      any_gained = FALSE;
      for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
        {
          wants[resource].wanted = numbers + (gsize) 2 * resource * n;
          wants[resource].gains = wants[resource].wanted + n;
          divide_resource (left, claims, n, resource, parts, blocked, &wants[resource]);
        }
      for (guint i = 0; i < n; i++)
        {
          gboolean was_blocked = blocked[i];
          blocked[i] = was_blocked || !add_usable (cap, wants, i, &parts[i], left);
          /* A pool that becomes blocked leaves its gains to the others in the next round. */
          any_gained = any_gained || !blocked[i] || !was_blocked;
        }
    }
}

/* Divides what is LEFT of RESOURCE evenly among all pools. */
static void
divide_rest (int64_t left, guint n, guint resource, FbAmounts *parts)
{
  for (guint i = 0; i < n; i++)
    *fb_amounts_at (&parts[i], resource) += left / n;
}

/* Reduces the PARTS, whose sum exceeds the cap of RESOURCE, in proportion. */
static void
scale_down (int64_t cap, guint n, guint resource, FbAmounts *parts)
{
  double sum = 0;
  for (guint i = 0; i < n; i++)
    sum += (double) fb_amounts_get (&parts[i], resource);
  for (guint i = 0; i < n; i++)
    {
      int64_t *part = fb_amounts_at (&parts[i], resource);
      *part = (int64_t) ((double) *part * (double) cap / sum);
    }
}

/* TRUE when MORE fits into LEFT for each resource that CAP limits.  LEFT is negative where more
 * than the cap is in use, which matters only to those that need that resource. */
static gboolean
fits (const FbAmounts *cap, const FbAmounts *more, const FbAmounts *left)
{
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      if (fb_amounts_get (cap, resource) > 0
          && fb_amounts_get (more, resource) > MAX (fb_amounts_get (left, resource), 0))
        return FALSE;
    }
  return TRUE;
}

/* If gangs waited in several pools and each pool got an even part, none of the parts might suffice
 * for a gang.  So the pool that uses least gets what its first waiting step needs, then the next
 * one. */
static void
satisfy_needs (const FbAmounts *cap, const FbAccountClaim *claims, guint n, FbAmounts *parts,
               FbAmounts *left)
{
  g_autofree gboolean *visited = g_new0 (gboolean, n);
  for (guint round = 0; round < n; round++)
    {
      guint next = n;
      for (guint i = 0; i < n; i++)
        {
          if (!visited[i]
              && (next == n
                  || fb_amounts_dominant_share (&claims[i].taken, cap)
                         < fb_amounts_dominant_share (&claims[next].taken, cap)))
            next = i;
        }
      visited[next] = TRUE;
      FbAmounts more = claims[next].needed;
      fb_amounts_add (&more, &parts[next], -1);
      if (!fits (cap, &more, left))
        continue;
      fb_amounts_add (&parts[next], &more, 1);
      fb_amounts_add (left, &more, -1);
    }
}

void
fb_account_parts_divide (const FbAmounts *cap, const FbAccountClaim *claims, guint n,
                         FbAmounts *parts)
{
  FbAmounts left = *cap;
  for (guint i = 0; i < n; i++)
    {
      parts[i] = claims[i].taken;
      fb_amounts_add (&left, &claims[i].taken, -1);
    }
  satisfy_needs (cap, claims, n, parts, &left);
  divide_by_wants (cap, claims, n, parts, &left);
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      int64_t left_of_resource = fb_amounts_get (&left, resource);
      if (left_of_resource >= 0)
        divide_rest (left_of_resource, n, resource, parts);
      else
        scale_down (fb_amounts_get (cap, resource), n, resource, parts);
    }
}

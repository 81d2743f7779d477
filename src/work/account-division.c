#include "internal/account-parts.h"

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

/* Divides what is left of RESOURCE by what the pools want, and the rest evenly. */
static void
divide_rest (int64_t left, const FbAccountClaim *claims, guint n, guint resource, FbAmounts *parts)
{
  g_autofree int64_t *wanted = g_new0 (int64_t, n);
  g_autofree int64_t *amounts = g_new0 (int64_t, n);
  for (guint i = 0; i < n; i++)
    {
      wanted[i] = fb_amounts_get (&claims[i].wanted, resource);
      amounts[i] = fb_amounts_get (&parts[i], resource);
    }
  left = divide_evenly (left, wanted, n, amounts);
  for (guint i = 0; i < n; i++)
    *fb_amounts_at (&parts[i], resource) = amounts[i] + MAX (left, 0) / n;
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

/* Returns: the largest share of a limited resource of CAP that TAKEN uses. */
static double
dominant_share (const FbAmounts *cap, const FbAmounts *taken)
{
  double share = 0;
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      if (fb_amounts_get (cap, resource) > 0)
        share = MAX (share, (double) fb_amounts_get (taken, resource)
                                / (double) fb_amounts_get (cap, resource));
    }
  return share;
}

/* TRUE when MORE fits into LEFT for each resource that CAP limits. */
static gboolean
fits (const FbAmounts *cap, const FbAmounts *more, const FbAmounts *left)
{
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      if (fb_amounts_get (cap, resource) > 0
          && fb_amounts_get (more, resource) > fb_amounts_get (left, resource))
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
                  || dominant_share (cap, &claims[i].taken)
                         < dominant_share (cap, &claims[next].taken)))
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
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    {
      int64_t left_of_resource = fb_amounts_get (&left, resource);
      if (left_of_resource >= 0)
        divide_rest (left_of_resource, claims, n, resource, parts);
      else
        scale_down (fb_amounts_get (cap, resource), n, resource, parts);
    }
}

#include "internal/account-parts-private.h"

int64_t *
fb_amounts_at (FbAmounts *amounts, guint resource)
{
  int64_t *const all[FB_AMOUNTS_N] = { &amounts->cpu_milli, &amounts->mem_mb, &amounts->gpu_count };
  return all[resource];
}

int64_t
fb_amounts_get (const FbAmounts *amounts, guint resource)
{
  return *fb_amounts_at ((FbAmounts *) amounts, resource);
}

void
fb_amounts_add (FbAmounts *sum, const FbAmounts *amounts, int64_t factor)
{
  for (guint resource = 0; resource < FB_AMOUNTS_N; resource++)
    *fb_amounts_at (sum, resource) += factor * fb_amounts_get (amounts, resource);
}

FbAmounts
fb_amounts_max (const FbAmounts *a, const FbAmounts *b)
{
  return (FbAmounts){ MAX (a->cpu_milli, b->cpu_milli), MAX (a->mem_mb, b->mem_mb),
                      MAX (a->gpu_count, b->gpu_count) };
}

FbAmounts
fb_amounts_min (const FbAmounts *a, const FbAmounts *b)
{
  return (FbAmounts){ MIN (a->cpu_milli, b->cpu_milli), MIN (a->mem_mb, b->mem_mb),
                      MIN (a->gpu_count, b->gpu_count) };
}

gboolean
fb_amounts_equal (const FbAmounts *a, const FbAmounts *b)
{
  return a->cpu_milli == b->cpu_milli && a->mem_mb == b->mem_mb && a->gpu_count == b->gpu_count;
}

double
fb_amounts_dominant_share (const FbAmounts *used, const FbAmounts *capacity)
{
  double share = 0;
  for (guint i = 0; i < FB_AMOUNTS_N; i++)
    {
      if (fb_amounts_get (capacity, i) > 0)
        share = MAX (share,
                     (double) fb_amounts_get (used, i) / (double) fb_amounts_get (capacity, i));
    }
  return share;
}

void
fb_amounts_encode (const FbAmounts *amounts, fb_work_amounts *wire)
{
  *wire = (fb_work_amounts){ (u_quad_t) MAX (amounts->cpu_milli, 0),
                             (u_quad_t) MAX (amounts->mem_mb, 0),
                             (u_quad_t) MAX (amounts->gpu_count, 0) };
}

FbAmounts
fb_amounts_decode (const fb_work_amounts *wire)
{
  return (FbAmounts){ (int64_t) MIN (wire->cpu_milli, (uint64_t) G_MAXINT64),
                      (int64_t) MIN (wire->mem_mb, (uint64_t) G_MAXINT64),
                      (int64_t) MIN (wire->gpu_count, (uint64_t) G_MAXINT64) };
}

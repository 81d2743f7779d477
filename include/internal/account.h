/* Client accounts as operators configure them, without their keys. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Amounts of the resources that an account's cap limits. */
typedef struct
{
  int64_t cpu_milli; /* 1/1000 CPU */
  int64_t mem_mb;
  int64_t gpu_count;
} FbAmounts;

#define FB_AMOUNTS_N 3

/* Returns: the amount of RESOURCE, from 0 to FB_AMOUNTS_N - 1. */
int64_t *fb_amounts_at (FbAmounts *amounts, guint resource);
int64_t fb_amounts_get (const FbAmounts *amounts, guint resource);
/* Adds FACTOR times AMOUNTS to SUM. */
void fb_amounts_add (FbAmounts *sum, const FbAmounts *amounts, int64_t factor);
FbAmounts fb_amounts_max (const FbAmounts *a, const FbAmounts *b);
FbAmounts fb_amounts_min (const FbAmounts *a, const FbAmounts *b);
gboolean fb_amounts_equal (const FbAmounts *a, const FbAmounts *b);
/* Returns: the largest fraction of a resource of CAPACITY that USED is; a resource of which
 * CAPACITY has nothing does not count. */
double fb_amounts_dominant_share (const FbAmounts *used, const FbAmounts *capacity);

typedef struct
{
  char *name;
  uint32_t weight; /* jobs per second that are owed; 0: not limited */
  FbAmounts cap;   /* what may run for the account at a time, over all services; 0: no limit */
} FbAccount;

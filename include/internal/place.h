/* Placement policies: the choice of the worker in a rack for a task. */
#pragma once

#include "fb-types.h"

typedef struct _FbWorker FbWorker;

/* One candidate worker, as passed to a policy. */
typedef struct
{
  const fb_res *capacity;
  const fb_res *free;
  const fb_res *demand;
  guint index;
  uint32_t guard_milli; /* part of its even share that a free accelerator keeps, in thousandths */
} FbPlaceCandidate;

struct _FbPlacePolicy
{
  const char *name;
  /* Returns: the cost of a placement; the smallest one is chosen, a negative one forbids
   * the placement. */
  int64_t (*cost) (const FbPlaceCandidate *candidate);
};
typedef struct _FbPlacePolicy FbPlacePolicy;

extern const FbPlacePolicy fb_place_first_fit;
extern const FbPlacePolicy fb_place_best_fit;
extern const FbPlacePolicy fb_place_worst_fit;
extern const FbPlacePolicy fb_place_dot_product;
extern const FbPlacePolicy fb_place_accel_guard;

/* Returns: the policy named NAME, static, or NULL if there is none. */
const FbPlacePolicy *fb_place_by_name (const char *name);

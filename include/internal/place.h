/* Placement policies: which worker of a rack takes a task. */
#pragma once

#include "fb-types.h"

typedef struct _FbWorker FbWorker;

/* One candidate as a policy sees it. */
typedef struct
{
  const fb_res *capacity;
  const fb_res *free;
  const fb_res *demand;
  guint index;
  uint32_t guard_milli; /* how much of its even share a free accelerator keeps */
} FbPlaceCandidate;

struct _FbPlacePolicy
{
  const char *name;
  /* Returns: the cost of a placement, the smallest wins; negative forbids. */
  int64_t (*cost) (const FbPlaceCandidate *view);
};
typedef struct _FbPlacePolicy FbPlacePolicy;

extern const FbPlacePolicy fb_place_first_fit;
extern const FbPlacePolicy fb_place_best_fit;
extern const FbPlacePolicy fb_place_worst_fit;
extern const FbPlacePolicy fb_place_dot_product;
extern const FbPlacePolicy fb_place_accel_guard;

/* Returns: the policy called NAME, static, or NULL. */
const FbPlacePolicy *fb_place_by_name (const char *name);

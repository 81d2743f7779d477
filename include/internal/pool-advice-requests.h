/* The open requests of a step to the advice service; only for the pool's source files.
 *
 * A step has one request open at a time, or several parallel ones, its parts: the first request of
 * a gang may be split into requests for disjoint sets of workers.  An answer names no request, so
 * it is matched by the workers that it lists. */
#pragma once

#include "internal/pool-private.h"

typedef struct
{
  GHashTable *workers; /* set of ids */
  gboolean is_part;    /* it is one of several parallel requests */
  uint32_t expected_ms;
  uint64_t sent_ms;
  uint64_t until_ms; /* when it times out; 0: it has failed and is to be sent again */
  guint *open_n;     /* number of open requests of its kind, which counts it; NULL: not counted */
} FbPoolAdviceRequest;

/* Returns: into how many parallel requests the first request of a gang for WORKERS_N workers is
 * split.  IDLE_N: number of daemons that could forward a request now. */
guint fb_pool_advice_parts_n (const fb_work_policy *policy, guint workers_n, guint idle_n);

/* Records a request for the workers IDS. */
void fb_pool_advice_requests_add (FbPoolStep *step, const GPtrArray *ids,
                                  const FbPoolAdviceRequest *request);
/* A request for the N WORKERS was answered, or has failed. */
void fb_pool_advice_requests_ended (FbPoolStep *step, const char *const *workers, guint n,
                                    gboolean failed);
/* Ends requests that have timed out. */
void fb_pool_advice_requests_expire (FbPoolStep *step, uint64_t now_ms);
/* Returns: (nullable): the open request that is not a part, or NULL; borrowed. */
const FbPoolAdviceRequest *fb_pool_advice_requests_single (const FbPoolStep *step);
/* TRUE while a part is expected to be answered soon. */
gboolean fb_pool_advice_requests_await_part (const FbPoolStep *step, uint64_t now_ms);
/* Returns: (nullable): (transfer full): a failed part, which is no longer recorded. */
FbPoolAdviceRequest *fb_pool_advice_requests_take_failed (FbPoolStep *step);
void fb_pool_advice_request_free (gpointer request);
/* TRUE when a request of STEP has no answer yet. */
gboolean fb_pool_advice_requests_are_open (const FbPoolStep *step);
/* TRUE when a request of STEP was sent and has no answer yet. */
gboolean fb_pool_advice_requests_are_sent (const FbPoolStep *step);
/* TRUE when a request that has no answer yet lists WORKER. */
gboolean fb_pool_advice_requests_list (const FbPoolStep *step, const char *worker);

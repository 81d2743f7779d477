/* Whether more steps of one priority wait than can be started in time.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Priorities from this one on share one state. */
#define FB_POOL_OVERLOADS_N 8

typedef struct
{
  uint64_t window_ms; /* when the present window began; 0: none has */
  uint32_t arrived_n; /* steps that began to wait in it */
  uint32_t late_n;    /* steps that became late in it while they waited */
  uint64_t until_ms;  /* overloaded until then */
} FbPoolOverload;

/* A step began to wait. */
void fb_pool_overload_arrived (FbPoolOverload *self, uint64_t now_ms);
/* A waiting step cannot be completed in time any more. */
void fb_pool_overload_became_late (FbPoolOverload *self, uint64_t now_ms);
gboolean fb_pool_overload_is_on (const FbPoolOverload *self, uint64_t now_ms);

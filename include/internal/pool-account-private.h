/* State of a client account in a pool; only for the source files pool-account*.c. */
#pragma once

#include "internal/pool-account.h"

/* Number of waiting steps of one account that are tried at a time, in their order.  A gang that
 * needs much may wait at the head while smaller steps behind it can start. */
#define FB_POOL_ACCOUNT_LOOKAHEAD_N 32

struct _FbPoolAccount
{
  char *name;
  FbAmounts cap;         /* 0: no limit */
  FbAmounts part;        /* what this pool may use of the cap */
  FbAmounts used;        /* by the runs on the workers of this pool */
  FbAmounts unconfirmed; /* may run on workers that have not answered this owner yet */
  int64_t unconfirmed_best_effort_cpu_milli; /* of these, by tasks whose CPU no worker counts */
  GSequence *held;      /* of FbPoolStep that wait for the account, in the order of the queue */
  GPtrArray *earmarked; /* of FbPoolStep: gangs that wait for their tickets; borrowed */
  FbAccountShare share;
  uint32_t weight;      /* jobs per second that are owed; 0: not known */
  GHashTable *jobs_n;   /* second since 1970 -> number of jobs accepted in it */
  guint scan_position;  /* in HELD, where the next update of the keys goes on */
  gboolean release_due; /* it may run more than when its steps were last tried */
  FbAmounts demand;     /* of the first steps that wait: see wanted_by() */
  gboolean demand_due;  /* DEMAND is out of date */
  uint64_t demand_ms;   /* when DEMAND was computed; 0: never */
  /* Since when steps that the account may start find no room, and when that was last so; 0: never.
   */
  uint64_t no_room_since_ms;
  uint64_t no_room_ms;
  uint64_t logged_ms; /* when it was last logged that steps wait; 0: never */
};

/* Returns: what ACCOUNT uses, or may use on workers that have not answered yet. */
FbAmounts fb_pool_account_taken (const FbPoolAccount *account);
/* Returns: how many tasks of SPEC, at most MAX_N, ACCOUNT may start in addition to TAKEN. */
guint fb_pool_account_room_for (const FbPoolAccount *account, const FbAmounts *taken,
                                const fb_work_step *spec, guint max_n);

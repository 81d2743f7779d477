/* Two pools whose owners divide the caps of client accounts, each with one worker that answers
 * without delay.  Messages between the owners take some time. */
#pragma once

#include "internal/account-parts-private.h"

#define TWO_POOLS_N 2
/* Time that a message between two owners takes. */
#define TWO_POOLS_DELAY_MS 5

typedef struct _TwoPools TwoPools;

typedef struct
{
  TwoPools *world;
  guint index;
  char service[16];
  char worker[16];
  FbPool *pool;
  FbAccountParts *parts;
  uint64_t parts_ms; /* when parts were last applied; 0: they are due */
  GArray *runs;      /* of FbReportedRun */
  GArray *run_ends;  /* of uint64_t, when the run at the same index ends */
  GArray *ends;      /* of FbReportedEnd that are not acknowledged yet */
  GArray *starts;    /* of uint64_t, numbers of start orders without an answer */
  uint64_t last_end;
  gboolean poll_open;
  guint requests_n; /* sent to the owner of the other pool */
} TwoPoolsSide;

struct _TwoPools
{
  TwoPoolsSide sides[TWO_POOLS_N];
  GHashTable *accounts; /* name -> FbAccount */
  GPtrArray *services;  /* of char * */
  GQueue *messages;     /* of messages in the order in which they arrive */
  uint64_t now_ms;
  uint32_t run_ms; /* how long each run takes */
  guint jobs_n;
};

/* Creates the pools with workers of CAPACITIES.  Freed with two_pools_free(). */
TwoPools *two_pools_new (const FbAmounts *capacities);
void two_pools_free (TwoPools *self);
/* Configures an account that the owner of pool COORDINATOR coordinates.  Returns: its name,
 * borrowed. */
const char *two_pools_add_account (TwoPools *self, guint coordinator, const FbAmounts *cap);
/* Gives the account NAME another weight, or with 0 removes it from the configuration. */
void two_pools_set_weight (TwoPools *self, const char *name, uint32_t weight);
/* Adds a job of one step with COUNT tasks of DEMAND to pool SIDE. */
void two_pools_add_job (TwoPools *self, guint side, const char *account, guint count, gboolean gang,
                        const FbAmounts *demand);
/* Lets MS milliseconds pass. */
void two_pools_run (TwoPools *self, uint32_t ms);
/* Returns: what ACCOUNT uses in pool SIDE. */
FbPoolAccountUsage two_pools_usage (const TwoPools *self, guint side, const char *account);

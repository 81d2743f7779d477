/* Submits load directly to the scheduling code under a simulated clock.
 *
 * This is a load driver, not a cluster simulator: racks, ranges and routers are the product's code
 * and call each other directly; a worker is a list of runs that end after their run time.  There is
 * no network, log or daemon, and there are no faults except those of workers that a scenario
 * configures. */
#pragma once

#include "internal/place.h"
#include "internal/router.h"

#define BENCH_LOAD_MAX 16

typedef struct
{
  char *name;
  uint32_t partner;
  FbKind kind;
  uint32_t flags;
  fb_res demand;
  uint32_t tasks;
  double jobs_per_s;    /* each of TASKS tasks */
  uint64_t from_ms;     /* start of the load, relative to the start of the scenario */
  uint64_t until_ms;    /* end of the load, likewise */
  uint64_t run_ms;      /* declared run time of a task */
  uint64_t deadline_ms; /* after submission; 0: none */
} BenchLoad;

typedef struct
{
  char *name;
  uint32_t racks_small; /* 5 hosts of 16 cores and 32 GB, of partner 0 */
  uint32_t racks_large; /* 5 hosts of 64 cores and 256 GB, of partner 1 */
  uint32_t racks_accel; /* 3 hosts of 64 cores, 256 GB and 8 accelerators, of both */
  uint64_t seconds;
  uint32_t seed;
  uint32_t ranges;              /* each has its own copy of the racks' summaries */
  uint64_t summary_interval_ms; /* time between two updates of that copy */
  uint32_t usage_percent;       /* actual use of the declared resources by runs */
  uint32_t failing_workers;     /* number of workers on which each run fails at once */
  uint64_t cancel_at_ms; /* time at which all unfinished batch jobs are cancelled; 0: never */
  uint64_t replace_owner_at_ms; /* time at which the owner of one rack is replaced; 0: never */
  uint32_t restarts_per_minute; /* of hosts */
  uint32_t lend_milli;
  BenchLoad loads[BENCH_LOAD_MAX];
  guint load_n;
} BenchScenario;

typedef struct
{
  guint requested; /* tasks */
  guint started;   /* tasks that were started at least once */
  guint not_run;   /* jobs */
  guint failed;    /* jobs */
  uint32_t p50_ms; /* of the time from submission to the first start of a task */
  uint32_t p99_ms;
  uint32_t max_ms;
} BenchClass;

typedef struct
{
  BenchClass classes[BENCH_LOAD_MAX];
  double cpu_reserved; /* share of the total, average over time */
  double accel_reserved;
  double accel_bound; /* upper bound of accel_reserved: fractional relaxation, which ignores host
                         boundaries */
  guint64 placements;
  guint64 routed;
  guint64 refused;
  guint64 preempted;
  double cpu_us_per_placement;
  double bytes_per_task;
} BenchResult;

/* PLACE and ROUTE: NULL for the product's own policy. */
BenchResult bench_run (const BenchScenario *scenario, const FbPlacePolicy *place,
                       const FbRoutePolicy *route);

/* The schedule of faults of one run, generated from its seed. */
#pragma once

#include <gio/gio.h>

typedef enum
{
  SOAK_KILL,       /* SIGKILL to a daemon, which restarts at once or after a delay */
  SOAK_TERM,       /* SIGTERM to a daemon */
  SOAK_FREEZE,     /* SIGSTOP to a daemon, SIGCONT later */
  SOAK_RELOAD,     /* SIGHUP to a daemon */
  SOAK_STORE_LINK, /* of a daemon to the store: slow, partitioned or one-way */
  SOAK_STORE_RESET,
  SOAK_STORE_BLACKHOLE, /* open connections of that link stop forwarding permanently */
  SOAK_CALLER_LINK,
  SOAK_CALLER_RESET,
  SOAK_STORE_DOWN,         /* the store rejects all calls with 503 */
  SOAK_STORE_UNRESPONSIVE, /* the store accepts all calls and does not respond */
  SOAK_WORKER_CRASH,
  SOAK_ROLLING_RESTART, /* rolling restart of the daemons */
  SOAK_KILL_ALL,        /* SIGKILL to all daemons at once */
  SOAK_WORKER_LINK,     /* of all daemons to a worker: slow, partitioned or one-way */
  SOAK_WORKER_RESET,
  SOAK_WORKER_BLACKHOLE,
  SOAK_WORKER_PARTITION, /* its link is partitioned and its worker list entry expires */
  SOAK_WORKER_REFUSES,   /* rejects a percentage of its calls */
  SOAK_WORKER_LOSES,     /* executes a percentage of its calls without responding */
  SOAK_WORKER_FLAKY,     /* SOAK_WORKER_REFUSES and SOAK_WORKER_LOSES */
  SOAK_WORKER_LATE,      /* executes a percentage of its calls late, without responding */
  SOAK_PEER_LINK,        /* of the other daemons to a daemon: slow, partitioned or one-way */
  SOAK_PEER_RESET,
  SOAK_PEER_BLACKHOLE,
  SOAK_STORE_FLAKY, /* rejects a percentage of its calls, executes others without responding */
  SOAK_QUEUE_MOVE,  /* the configuration directs the queue to another service, or back */
  SOAK_WORKER_NO_LISTENER, /* as SOAK_WORKER_PARTITION, and connections to it are refused */
  SOAK_STORE_EXPIRY,       /* SOAK_STORE_DOWN for longer than the entries in the worker list live */
  SOAK_STORE_OUTAGE,   /* its connections are reset and refused, and what has a time to live expires
                        */
  SOAK_WORKER_CUT_OFF, /* connections of the daemons to a worker are refused */
  SOAK_OTHER_WRITER,   /* another program stores a malformed record */
  SOAK_STORE_LATE,     /* the store executes a percentage of its appends late, without responding */
  SOAK_WORKER_FREEZE,  /* a worker stands still, and its calls wait */
  SOAK_WORKER_LATER_OWNERS, /* calls to a worker are lost unless their owner has called it before */
  SOAK_DAEMON_SLOW,         /* a daemon gets a tenth of a processor */
  SOAK_WORKER_RESTART,      /* a worker restarts at once under its id; its entry may be late */
  SOAK_FAULT_N
} SoakFaultKind;

typedef struct
{
  SoakFaultKind kind;
  guint at_ms;  /* since the start of the run */
  guint target; /* index of a daemon or a worker */
  guint duration_ms;
  guint variant; /* random, 0 to 99; selects details of the fault */
} SoakFault;

typedef struct
{
  guint32 seed;
  guint daemon_n;
  guint worker_n;
  guint duration_ms;     /* no fault begins later */
  gboolean worker_links; /* links to workers and between daemons are proxied and have faults */
  gboolean queue_moves;  /* the plan has SOAK_QUEUE_MOVE besides the faults of its seed */
  gboolean other_writer; /* it has SOAK_OTHER_WRITER besides the faults of its seed */
  gboolean late_appends; /* it has SOAK_STORE_LATE besides the faults of its seed */
  gboolean partitions;   /* it has only SOAK_WORKER_NO_LISTENER, SOAK_STORE_EXPIRY and kills */
  gboolean stops;        /* it has only faults of workers and of the pool's owner */
  gboolean restarts; /* workers restart and are cut off soon after; the pool's owner has faults */
  gboolean outages;  /* it has only SOAK_STORE_OUTAGE and SOAK_WORKER_CUT_OFF */
} SoakPlanSetup;

/* Returns: (transfer full): an array of SoakFault, by at_ms. */
GArray *soak_plan_new (const SoakPlanSetup *setup);
/* Returns: (transfer full): the plan as text, one line per fault. */
char *soak_plan_text (const GArray *plan);

/* The plan of faults of one run, drawn from its seed. */
#pragma once

#include <gio/gio.h>

typedef enum
{
  SOAK_KILL,       /* a daemon, by SIGKILL; it restarts at once or after a delay */
  SOAK_TERM,       /* a daemon, by SIGTERM */
  SOAK_FREEZE,     /* a daemon, by SIGSTOP; SIGCONT later */
  SOAK_RELOAD,     /* a daemon, by SIGHUP */
  SOAK_STORE_LINK, /* of a daemon to the store: slow, cut or one-way */
  SOAK_STORE_RESET,
  SOAK_STORE_SILENCE, /* open connections of that link stop forwarding */
  SOAK_CALLER_LINK,
  SOAK_CALLER_RESET,
  SOAK_STORE_AWAY, /* the store refuses all calls */
  SOAK_STORE_MUTE, /* the store accepts all calls and answers none */
  SOAK_WORKER_CRASH,
  SOAK_ROLL,        /* rolling restart of the daemons */
  SOAK_KILL_ALL,    /* all daemons, by SIGKILL at the same moment */
  SOAK_WORKER_LINK, /* of all daemons to a worker: slow, cut or one-way */
  SOAK_WORKER_RESET,
  SOAK_WORKER_SILENCE,
  SOAK_WORKER_CUT,     /* its link is cut and its entry in the worker list expires */
  SOAK_WORKER_REFUSES, /* refuses a share of its calls */
  SOAK_WORKER_LOSES,   /* executes a share of its calls without an answer */
  SOAK_WORKER_FLAKY,   /* SOAK_WORKER_REFUSES and SOAK_WORKER_LOSES */
  SOAK_WORKER_LATE,    /* executes a share of its calls late, without an answer */
  SOAK_PEER_LINK,      /* of the other daemons to a daemon: slow, cut or one-way */
  SOAK_PEER_RESET,
  SOAK_PEER_SILENCE,
  SOAK_STORE_FLAKY, /* refuses a share of its calls, executes a share without an answer */
  SOAK_FAULT_N
} SoakFaultKind;

typedef struct
{
  SoakFaultKind kind;
  guint at_ms;  /* since the run began */
  guint target; /* index of a daemon or a worker */
  guint duration_ms;
  guint variant; /* 0 to 99, at random; details of the fault are derived from it */
} SoakFault;

typedef struct
{
  guint32 seed;
  guint daemon_n;
  guint worker_n;
  guint duration_ms;     /* the last fault begins by then */
  gboolean worker_links; /* links to workers and between daemons exist and have faults */
} SoakPlanSetup;

/* Returns: (transfer full): an array of SoakFault, by at_ms. */
GArray *soak_plan_new (const SoakPlanSetup *setup);
/* Returns: (transfer full): the plan as text, one line per fault. */
char *soak_plan_text (const GArray *plan);

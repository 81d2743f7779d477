/* The faults of one play, drawn from its seed. */
#pragma once

#include <gio/gio.h>

typedef enum
{
  SOAK_KILL,       /* a daemon, by SIGKILL; it starts again at once or late */
  SOAK_TERM,       /* a daemon, by SIGTERM */
  SOAK_FREEZE,     /* a daemon, by SIGSTOP; SIGCONT later */
  SOAK_RELOAD,     /* a daemon, by SIGHUP */
  SOAK_STORE_LINK, /* of a daemon to the store: slow, cut or one way */
  SOAK_STORE_RESET,
  SOAK_STORE_SILENCE, /* connections that are open fall silent */
  SOAK_CALLER_LINK,
  SOAK_CALLER_RESET,
  SOAK_STORE_AWAY, /* it turns all calls away */
  SOAK_STORE_MUTE, /* it takes all calls and answers none */
  SOAK_WORKER_CRASH,
  SOAK_ROLL,        /* each daemon is stopped in turn */
  SOAK_KILL_ALL,    /* at the same moment */
  SOAK_WORKER_LINK, /* of all daemons to a worker: slow, cut or one way */
  SOAK_WORKER_RESET,
  SOAK_WORKER_SILENCE,
  SOAK_WORKER_CUT,     /* its link is cut and it is not listed after a while */
  SOAK_WORKER_REFUSES, /* a share of its calls */
  SOAK_WORKER_LOSES,   /* carries a share of its calls out and does not answer */
  SOAK_WORKER_FLAKY,   /* both */
  SOAK_WORKER_LATE,    /* carries a share of its calls out late and does not answer */
  SOAK_PEER_LINK,      /* of the other daemons to a daemon */
  SOAK_PEER_RESET,
  SOAK_PEER_SILENCE,
  SOAK_STORE_FLAKY, /* refuses a share of its calls, carries a share out and does not answer */
  SOAK_FAULT_N
} SoakFaultKind;

typedef struct
{
  SoakFaultKind kind;
  guint at_ms;  /* since the play began */
  guint target; /* a daemon or a worker */
  guint for_ms;
  guint variant;
} SoakFault;

typedef struct
{
  guint32 seed;
  guint daemon_n;
  guint worker_n;
  guint until_ms;
  gboolean worker_links; /* workers, and daemons for each other, are behind links and have faults */
} SoakPlanSetup;

/* Returns: (transfer full): an array of SoakFault, in their order. */
GArray *soak_plan_new (const SoakPlanSetup *setup);
/* Returns: (transfer full): the plan as text, a line each. */
char *soak_plan_text (const GArray *plan);

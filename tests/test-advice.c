/* Two owners send requests to the advice service through the same daemons; parallel requests of one
 * step. */
#include "internal/pool-advice-requests.h"
#include "src/entry/advice/advice-balancer.h"
#include "src/entry/advice/advice-queue.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define DAEMON_N 30
#define LONG_MS 1000
#define SIMULATION_MS 3000
/* Network delay from a daemon to an owner and back. */
#define NETWORK_MS 4

typedef struct
{
  FbAdviceBalancer *balancer;
  uint32_t duration_ms;
  guint waiting;
  guint answered;
} Owner;

typedef struct
{
  Owner *owner;
  guint daemon;
  uint64_t answered_ms; /* time at which its owner receives the answer; 0: not answered yet */
} Request;

/* A daemon and its calls at the service, which handles them one after the other. */
typedef struct
{
  FbAdviceQueue *queue;
  GQueue calls;     /* of Request */
  uint64_t ends_ms; /* end time of the call at the head; 0: none is being processed */
} Daemon;

typedef struct
{
  GPtrArray *names;
  Daemon daemons[DAEMON_N];
  Owner owners[2];
  GQueue answers; /* of Request: answers in transit */
} Simulation;

static void
send_requests (Simulation *simulation, Owner *owner, uint64_t now_ms)
{
  const char *name = NULL;
  while (owner->waiting > 0
         && (name = fb_advice_balancer_choose (owner->balancer, simulation->names,
                                               owner->duration_ms, now_ms))
                != NULL)
    {
      Request *request = g_new0 (Request, 1);
      request->owner = owner;
      g_ptr_array_find (simulation->names, name, &request->daemon);
      fb_advice_balancer_began (owner->balancer, name, owner->duration_ms, now_ms);
      fb_advice_queue_add (simulation->daemons[request->daemon].queue, request, owner->duration_ms,
                           now_ms);
      owner->waiting--;
    }
}

static void
serve (Simulation *simulation, Daemon *daemon, uint64_t now_ms)
{
  Request *request = g_queue_peek_head (&daemon->calls);
  if (request != NULL && now_ms >= daemon->ends_ms)
    {
      g_queue_pop_head (&daemon->calls);
      fb_advice_queue_ended (daemon->queue, request);
      request->answered_ms = now_ms + NETWORK_MS;
      g_queue_push_tail (&simulation->answers, request);
      request = g_queue_peek_head (&daemon->calls);
      daemon->ends_ms = request != NULL ? now_ms + request->owner->duration_ms : 0;
    }
  gpointer next = NULL;
  while ((next = fb_advice_queue_next (daemon->queue)) != NULL)
    {
      if (g_queue_is_empty (&daemon->calls))
        daemon->ends_ms = now_ms + ((Request *) next)->owner->duration_ms;
      g_queue_push_tail (&daemon->calls, next);
    }
}

static void
receive_answers (Simulation *simulation, uint64_t now_ms)
{
  Request *request = NULL;
  while ((request = g_queue_peek_head (&simulation->answers)) != NULL
         && now_ms >= request->answered_ms)
    {
      g_queue_pop_head (&simulation->answers);
      fb_advice_balancer_ended (request->owner->balancer,
                                simulation->names->pdata[request->daemon]);
      request->owner->answered++;
      g_free (request);
    }
}

static void
simulation_init (Simulation *simulation, uint32_t short_ms)
{
  *simulation = (Simulation){ .names = g_ptr_array_new_with_free_func (g_free) };
  for (guint i = 0; i < DAEMON_N; i++)
    {
      g_ptr_array_add (simulation->names, g_strdup_printf ("daemon-%02u", i));
      simulation->daemons[i].queue = fb_advice_queue_new ();
    }
  simulation->owners[0]
      = (Owner){ .balancer = fb_advice_balancer_new (), .duration_ms = short_ms, .waiting = 5000 };
  simulation->owners[1]
      = (Owner){ .balancer = fb_advice_balancer_new (), .duration_ms = LONG_MS, .waiting = 500 };
}

static void
simulation_clear (Simulation *simulation)
{
  for (guint i = 0; i < G_N_ELEMENTS (simulation->owners); i++)
    fb_advice_balancer_free (simulation->owners[i].balancer);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      fb_advice_queue_free (simulation->daemons[i].queue);
      g_queue_clear (&simulation->daemons[i].calls);
    }
  g_queue_clear_full (&simulation->answers, g_free);
  g_ptr_array_unref (simulation->names);
}

static void
simulate_two_owners (uint32_t short_ms)
{
  Simulation simulation;
  simulation_init (&simulation, short_ms);
  for (uint64_t now_ms = 1; now_ms < SIMULATION_MS; now_ms++)
    {
      receive_answers (&simulation, now_ms);
      for (guint i = 0; i < DAEMON_N; i++)
        serve (&simulation, &simulation.daemons[i], now_ms);
      /* Long requests arrive first at each daemon. */
      send_requests (&simulation, &simulation.owners[1], now_ms);
      send_requests (&simulation, &simulation.owners[0], now_ms);
    }
  printf ("    in 3 s: %u short answers, %u long ones\n", simulation.owners[0].answered,
          simulation.owners[1].answered);
  CU_ASSERT_TRUE (simulation.owners[0].answered >= 3 * 200);
  /* A quarter of the answers that they would get without the short requests. */
  CU_ASSERT_TRUE (simulation.owners[1].answered >= 3 * DAEMON_N / 4);
  simulation_clear (&simulation);
}

/* Short requests of one owner must not wait for long ones of another at every daemon.  Each owner
 * has a request open at each daemon, and the service handles a daemon's calls one after the other.
 * While one service had a backlog, after all daemons had been killed, hundreds of short jobs of the
 * other started 10 s late, and long-running tasks were stopped for the same time.  The two owners
 * got 48 to 69 answers a second each during 8 s, and 198 to 335 after the long backlog was
 * processed. */
static void
test_long_requests_of_another_owner (void)
{
  simulate_two_owners (36);
}

/* The same with requests for a hundred workers each, which took 68 ms in the traced deployment. */
static void
test_long_requests_and_large_requests (void)
{
  simulate_two_owners (68);
}

/* ---- a long request beside short ones --------------------------------------------------- */

#define VERY_LONG_MS 2100
/* A request that has waited for longer than this, or for twice its own duration, is dropped without
 * a call. */
#define WAIT_MAX_MS 3000

/* A long request has to be sent to the service before it expires, even while four short ones are
 * always waiting at the daemon, as with two owners. */
static void
test_long_request_is_not_starved (void)
{
  static const uint32_t duration_ms[] = { 1000, 1800, VERY_LONG_MS };
  for (guint i = 0; i < G_N_ELEMENTS (duration_ms); i++)
    {
      FbAdviceQueue *queue = fb_advice_queue_new ();
      char long_request = 0;
      char short_requests[4] = { 0 };
      uint64_t now_ms = 1;
      gpointer next = NULL;
      fb_advice_queue_add (queue, &long_request, duration_ms[i], now_ms);
      for (guint k = 0; k < G_N_ELEMENTS (short_requests); k++)
        fb_advice_queue_add (queue, &short_requests[k], 68, now_ms);
      while ((next = fb_advice_queue_next (queue)) != &long_request)
        {
          now_ms += 68;
          fb_advice_queue_ended (queue, next);
          fb_advice_queue_add (queue, next, 68, now_ms);
        }
      printf ("    a request of %u ms is sent after %u ms\n", duration_ms[i], (guint) now_ms - 1);
      CU_ASSERT_TRUE (now_ms <= 1 + MAX (WAIT_MAX_MS, 2 * duration_ms[i]));
      fb_advice_queue_ended (queue, next);
      fb_advice_queue_free (queue);
    }
}

/* ---- parallel requests ------------------------------------------------------------------ */

/* A split that gains little, costs more than twice the time of a single request, or takes more than
 * a quarter of the idle daemons would delay other steps. */
static void
test_parts_of_a_request (void)
{
  static const struct
  {
    uint32_t decision_us;
    uint32_t per_worker_us;
    guint workers_n;
    guint idle_n;
    guint parts_n;
  } cases[] = {
    { 715000, 10270, 98, 44, 3 }, /* the gangs of the load test: 1.72 s or 1.05 s */
    { 715000, 10270, 98, 12, 3 },   { 715000, 10270, 98, 11, 2 },
    { 715000, 10270, 98, 7, 1 },    { 715000, 10270, 98, 0, 1 },
    { 715000, 10270, 30, 44, 1 }, /* one part is worth waiting for */
    { 715000, 10270, 49, 44, 1 },   { 715000, 10270, 50, 44, 2 }, /* gains of 195 and 205 ms */
    { 20000, 10000, 100, 44, 4 },   { 0, 0, 100, 44, 1 },
    { 2000000, 10000, 100, 44, 2 }, /* 4 s instead of 3 s of the service's time */
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const fb_work_policy policy = { .advice_decision_us = cases[i].decision_us,
                                      .advice_per_worker_us = cases[i].per_worker_us };
      CU_ASSERT_EQUAL (fb_pool_advice_parts_n (&policy, cases[i].workers_n, cases[i].idle_n),
                       cases[i].parts_n);
    }
}

/* The daemons that are idle are counted without those that are reserved for shorter requests. */
static void
test_idle_daemons (void)
{
  FbAdviceBalancer *balancer = fb_advice_balancer_new ();
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < 10; i++)
    g_ptr_array_add (names, g_strdup_printf ("daemon-%u", i));
  CU_ASSERT_EQUAL (fb_advice_balancer_idle_n (balancer, names, 1000, 1), 10);
  fb_advice_balancer_began (balancer, "daemon-9", 1000, 1);
  CU_ASSERT_EQUAL (fb_advice_balancer_idle_n (balancer, names, 1000, 1), 9);
  /* Short requests that have kept three daemons busy reserve three of them. */
  for (guint i = 0; i < 60; i++)
    {
      fb_advice_balancer_began (balancer, "daemon-0", 72, 2);
      fb_advice_balancer_ended (balancer, "daemon-0");
    }
  guint reserved = fb_advice_balancer_reserved (balancer, 10, 1000, 2);
  CU_ASSERT_EQUAL (reserved, 3);
  CU_ASSERT_EQUAL (fb_advice_balancer_idle_n (balancer, names, 1000, 2), 9 - reserved);
  guint sent_n = 0;
  const char *name = NULL;
  while ((name = fb_advice_balancer_choose (balancer, names, 1000, 2)) != NULL)
    {
      fb_advice_balancer_began (balancer, name, 1000, 2);
      sent_n++;
    }
  CU_ASSERT_EQUAL (sent_n, 9 - reserved);
  CU_ASSERT_EQUAL (fb_advice_balancer_idle_n (balancer, names, 1000, 2), 0);
  fb_advice_balancer_free (balancer);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  CU_pSuite suite = CU_add_suite ("advice", NULL, NULL);
  CU_add_test (suite, "long requests of another owner", test_long_requests_of_another_owner);
  CU_add_test (suite, "long requests and large requests", test_long_requests_and_large_requests);
  CU_add_test (suite, "a long request is not starved", test_long_request_is_not_starved);
  CU_add_test (suite, "parts of a request", test_parts_of_a_request);
  CU_add_test (suite, "idle daemons", test_idle_daemons);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  guint failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}

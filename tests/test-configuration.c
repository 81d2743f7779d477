/* A fleet in which most daemons learn of configurations from others that read the store. */
#include "fb-event.h"
#include "src/entry/configuration.h"
#include "src/entry/entry-private.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMON_N 90
#define DOMAIN_N 3
/* One daemon in so many may own pools. */
#define OWNER_EVERY 5
#define STEP_MS 10
#define NETWORK_MS 5
#define TICK_MS 20
#define BOUND_MS 5000
/* A daemon without faults for this long has to keep the bound. */
#define CONTACT_MS 6000
#define BEGIN_MS 100000
#define SIMULATED_MS 40000
/* Time by which each daemon has found one to watch. */
#define SETTLED_MS 3000
#define SEEDS 20

/* ---- the world -------------------------------------------------------------------------- */

/* Stands for the reader of a daemon, which is at the index of its pointer. */
typedef struct
{
  gboolean suspended;
  gboolean failed;
  uint64_t synced_ms;
  uint64_t silent_until_ms; /* its connection delivers nothing until it has timed out */
  uint32_t wait_ms;
  const FbTopicReaderOps *ops;
  gpointer user;
} Reader;

typedef struct
{
  FbEntryDaemon entry;
  FbEntrySettings settings;
  Reader reader;
  guint life; /* number of its process */
  uint64_t down_until_ms;
  uint64_t hung_until_ms;
  uint64_t refused_until_ms; /* by the store */
  uint64_t cut_until_ms;     /* from the other daemons */
  uint64_t next_silence_ms;  /* not before */
  uint64_t harmed_ms;        /* last time at which a fault was on */
  uint64_t version;          /* highest one seen in force in this life */
  uint64_t next_tick_ms;
} Daemon;

typedef struct
{
  guint from;
  guint from_life;
  guint to;
  guint to_life;
  fb_peer_request request;
  uint64_t due_ms;
  uint64_t timeout_at_ms;
  FbPeerReplyDone done;
  gpointer user;
  gboolean delivered;
  gboolean answered;
  fb_peer_reply_type type;
  uint64_t config_version;
  char *source;
} Request;

static Daemon daemons[DAEMON_N];
static GPtrArray *members;
static GPtrArray *requests;
static uint64_t clock_ms;
static uint64_t published_ms[1000]; /* version - 1 -> time */
static uint64_t published_n;
static GRand *rand_;
static gboolean peers_are_known; /* daemons may ask any other one when they have heard nothing */
/* Reads of the store, after the first seconds, by daemons that may not own pools. */
static guint late_reads_n;

static gboolean
is_up (const Daemon *daemon)
{
  return clock_ms >= daemon->down_until_ms;
}

static gboolean
runs (const Daemon *daemon)
{
  return is_up (daemon) && clock_ms >= daemon->hung_until_ms;
}

static guint
index_of (const FbEntryDaemon *entry)
{
  return (guint) ((const Daemon *) (gconstpointer) entry - daemons);
}

static Reader *
reader_of (const FbTopicReader *reader)
{
  return (Reader *) (gpointer) reader;
}

static GBytes *
source_of (uint64_t version)
{
  char *text = g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[],\"services\":[]}",
                                version);
  return g_bytes_new_take (text, strlen (text));
}

/* ---- what the daemons call ----------------------------------------------------------------- */

uint64_t __wrap_fb_clock_ms (void);
const GPtrArray *__wrap_fb_daemons_all (const FbDaemons *self);
gboolean __wrap_fb_daemons_may_own (const FbDaemons *self);
gboolean __wrap_fb_daemons_is_large_fleet (const FbDaemons *self);
const char *__wrap_fb_group_any_peer (const FbGroup *self, GPtrArray *except);
void __wrap_fb_entry_foreach_owner (FbEntryDaemon *self, void (*func) (FbOwner *owner));
FbTopicReader *__wrap_fb_topic_reader_new (FbEntryDaemon *entry, const char *topic,
                                           uint32_t partition, uint32_t pause_ms,
                                           const FbTopicReaderOps *ops, gpointer user);
void __wrap_fb_topic_reader_set_wait (FbTopicReader *self, uint32_t wait_ms);
void __wrap_fb_topic_reader_set_suspended (FbTopicReader *self, gboolean suspended);
gboolean __wrap_fb_topic_reader_is_suspended (const FbTopicReader *self);
gboolean __wrap_fb_topic_reader_has_failed (const FbTopicReader *self);
uint64_t __wrap_fb_topic_reader_synced_ms (const FbTopicReader *self);
void __wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                              const fb_peer_request *peer_request, uint32_t timeout_ms,
                              FbPeerReplyDone done, gpointer user);

uint64_t
__wrap_fb_clock_ms (void)
{
  return clock_ms;
}

const GPtrArray *
__wrap_fb_daemons_all (const FbDaemons *self)
{
  (void) self;
  return members;
}

gboolean
__wrap_fb_daemons_may_own (const FbDaemons *self)
{
  return (guint) ((const Daemon *) (gconstpointer) self - daemons) % OWNER_EVERY == 0;
}

gboolean
__wrap_fb_daemons_is_large_fleet (const FbDaemons *self)
{
  (void) self;
  return TRUE;
}

const char *
__wrap_fb_group_any_peer (const FbGroup *self, GPtrArray *except)
{
  (void) self;
  (void) except;
  return peers_are_known ? daemons[g_rand_int_range (rand_, 0, DAEMON_N)].settings.peers : NULL;
}

void
__wrap_fb_entry_foreach_owner (FbEntryDaemon *self, void (*func) (FbOwner *owner))
{
  (void) self;
  (void) func;
}

FbTopicReader *
__wrap_fb_topic_reader_new (FbEntryDaemon *entry, const char *topic, uint32_t partition,
                            uint32_t pause_ms, const FbTopicReaderOps *ops, gpointer user)
{
  (void) topic;
  (void) partition;
  (void) pause_ms;
  Reader *reader = &daemons[index_of (entry)].reader;
  *reader = (Reader){ .wait_ms = 400, .ops = ops, .user = user };
  return (FbTopicReader *) (gpointer) reader;
}

void
__wrap_fb_topic_reader_set_wait (FbTopicReader *self, uint32_t wait_ms)
{
  reader_of (self)->wait_ms = wait_ms;
}

void
__wrap_fb_topic_reader_set_suspended (FbTopicReader *self, gboolean suspended)
{
  reader_of (self)->suspended = suspended;
}

gboolean
__wrap_fb_topic_reader_is_suspended (const FbTopicReader *self)
{
  return reader_of (self)->suspended;
}

gboolean
__wrap_fb_topic_reader_has_failed (const FbTopicReader *self)
{
  return reader_of (self)->failed;
}

uint64_t
__wrap_fb_topic_reader_synced_ms (const FbTopicReader *self)
{
  return reader_of (self)->synced_ms;
}

void
__wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                         const fb_peer_request *peer_request, uint32_t timeout_ms,
                         FbPeerReplyDone done, gpointer user)
{
  Request *request = g_new0 (Request, 1);
  request->from = index_of (entry);
  request->from_life = daemons[request->from].life;
  request->to = (guint) atoi (address);
  request->request = *peer_request;
  request->due_ms = clock_ms + NETWORK_MS;
  request->timeout_at_ms = clock_ms + timeout_ms;
  request->done = done;
  request->user = user;
  g_ptr_array_add (requests, request);
}

/* ---- requests ---------------------------------------------------------------------------- */

static void
on_answered (gpointer user, const fb_peer_reply *peer_reply)
{
  Request *request = user;
  request->answered = TRUE;
  request->type = peer_reply->type;
  request->due_ms = clock_ms + NETWORK_MS;
  if (peer_reply->type != FB_REPLY_CONFIGURATION)
    return;
  const fb_configuration_reply *reply = &peer_reply->fb_peer_reply_u.configuration;
  request->config_version = reply->config_version;
  request->source = g_strndup (reply->value.value_val, reply->value.value_len);
}

static void
serve (Request *request)
{
  Daemon *to = &daemons[request->to];
  request->delivered = TRUE;
  request->to_life = to->life;
  if (request->request.type == FB_REQUEST_WATCH_CONFIGURATION)
    {
      fb_configuration_watchers_add (to->entry.configuration_watchers,
                                     &request->request.fb_peer_request_u.watch, on_answered,
                                     request);
      return;
    }
  fb_peer_reply peer_reply = { .type = FB_REPLY_UNAVAILABLE };
  const fb_configuration_request *asked = &request->request.fb_peer_request_u.configuration;
  (void) fb_configuration_fill_reply (&to->entry, asked->config_version, &peer_reply);
  on_answered (request, &peer_reply);
}

/* Passes the outcome of REQUEST to its sender. */
static void
finish (Request *request, gboolean answered)
{
  if (daemons[request->from].life != request->from_life)
    return;
  fb_peer_reply peer_reply = { .type = request->type };
  fb_configuration_reply *reply = &peer_reply.fb_peer_reply_u.configuration;
  if (request->type == FB_REPLY_CONFIGURATION)
    {
      reply->config_version = request->config_version;
      reply->value.value_val = request->source;
      reply->value.value_len = (u_int) strlen (request->source);
    }
  request->done (request->user, answered ? &peer_reply : NULL);
}

/* Returns: TRUE when REQUEST has ended. */
static gboolean
advance_request (Request *request)
{
  const Daemon *from = &daemons[request->from];
  const Daemon *to = &daemons[request->to];
  gboolean is_cut = clock_ms < from->cut_until_ms || clock_ms < to->cut_until_ms;
  if (from->life != request->from_life)
    return request->answered || !request->delivered || to->life != request->to_life;
  if (!runs (from) || clock_ms < request->due_ms)
    return FALSE;
  if (request->answered && !is_cut)
    {
      finish (request, TRUE);
      return TRUE;
    }
  if (!is_cut && !request->delivered && !is_up (to))
    {
      request->type = FB_REPLY_UNAVAILABLE;
      finish (request, TRUE);
      return TRUE;
    }
  if (!is_cut && !request->delivered && runs (to))
    serve (request);
  if (clock_ms < request->timeout_at_ms)
    return FALSE;
  /* An answer that comes later finds no request. */
  request->from_life = G_MAXUINT;
  request->done (request->user, NULL);
  return FALSE;
}

static void
advance_requests (void)
{
  for (guint i = requests->len; i > 0; i--)
    {
      Request *request = requests->pdata[i - 1];
      if (!advance_request (request))
        continue;
      g_ptr_array_remove_index_fast (requests, i - 1);
      g_free (request->source);
      g_free (request);
    }
}

/* ---- daemons ------------------------------------------------------------------------------ */

static void
start (Daemon *daemon)
{
  guint i = (guint) (daemon - daemons);
  daemon->life++;
  daemon->version = 0;
  daemon->next_tick_ms = 0;
  if (daemon->settings.peers == NULL)
    daemon->settings = (FbEntrySettings){ .peers = g_strdup_printf ("%u", i),
                                          .domain = g_strdup_printf ("z%u", i % DOMAIN_N),
                                          .config_bound_ms = BOUND_MS };
  daemon->entry = (FbEntryDaemon){ .settings = &daemon->settings,
                                   .timer = fb_timer_new (clock_ms),
                                   .daemons = (FbDaemons *) (gpointer) daemon };
  fb_configuration_watch (&daemon->entry);
}

static void
read_store (Daemon *daemon)
{
  Reader *reader = &daemon->reader;
  if (reader->suspended || clock_ms < reader->silent_until_ms)
    return;
  reader->failed = clock_ms < daemon->refused_until_ms;
  if (reader->failed)
    return;
  late_reads_n
      += clock_ms > BEGIN_MS + SETTLED_MS && !__wrap_fb_daemons_may_own (daemon->entry.daemons);
  reader->synced_ms = clock_ms;
  if (daemon->entry.routes != NULL && daemon->entry.routes->version == published_n)
    return;
  g_autoptr (GBytes) value = source_of (published_n);
  const FbStoreRecord record = { .key = (char *) FB_KEY_CONFIG, .value = value };
  reader->ops->record (reader->user, &record);
}

static void
advance_daemon (Daemon *daemon)
{
  if (!runs (daemon))
    return;
  read_store (daemon);
  if (clock_ms < daemon->next_tick_ms)
    return;
  daemon->next_tick_ms = clock_ms + TICK_MS;
  fb_timer_advance (daemon->entry.timer, clock_ms);
}

static void
harm (Daemon *daemon)
{
  uint64_t until_ms = clock_ms + (uint64_t) g_rand_int_range (rand_, 300, 6000);
  switch (g_rand_int_range (rand_, 0, 5))
    {
    case 0:
      if (is_up (daemon))
        daemon->down_until_ms = until_ms;
      break;
    case 1:
      daemon->hung_until_ms = until_ms;
      break;
    case 2:
      daemon->refused_until_ms = until_ms;
      break;
    case 3:
      daemon->cut_until_ms = until_ms;
      break;
    default:
      if (clock_ms < daemon->next_silence_ms)
        break;
      daemon->next_silence_ms = clock_ms + 10000;
      daemon->reader.silent_until_ms = clock_ms + daemon->reader.wait_ms + 800;
      break;
    }
}

static gboolean
is_harmed (const Daemon *daemon)
{
  return !runs (daemon) || clock_ms < daemon->refused_until_ms || clock_ms < daemon->cut_until_ms;
}

/* Returns: FALSE when DAEMON lacks a configuration that it must have, or went back to an older one.
 */
static gboolean
check (Daemon *daemon)
{
  uint64_t version = daemon->entry.routes != NULL ? daemon->entry.routes->version : 0;
  gboolean went_back = version < daemon->version;
  daemon->version = version;
  if (is_harmed (daemon))
    daemon->harmed_ms = clock_ms;
  if (went_back)
    return FALSE;
  return clock_ms < daemon->harmed_ms + CONTACT_MS || version == published_n
         || clock_ms < published_ms[version] + BOUND_MS;
}

/* FAULTS_PER_S: number of faults in a second, in the whole fleet.  Returns: how many daemons broke
 * the bound. */
static guint
simulate (guint32 seed, double faults_per_s)
{
  guint broken_n = 0;
  rand_ = g_rand_new_with_seed (seed);
  requests = g_ptr_array_new ();
  clock_ms = BEGIN_MS;
  published_n = 0;
  published_ms[published_n++] = clock_ms;
  for (guint i = 0; i < DAEMON_N; i++)
    {
      daemons[i].down_until_ms = daemons[i].hung_until_ms = 0;
      daemons[i].refused_until_ms = daemons[i].cut_until_ms = daemons[i].next_silence_ms = 0;
      daemons[i].harmed_ms = clock_ms;
      start (&daemons[i]);
    }
  for (uint64_t end_ms = clock_ms + SIMULATED_MS; clock_ms < end_ms; clock_ms += STEP_MS)
    {
      if (g_rand_double (rand_) < 0.5 * STEP_MS / 1000.0)
        published_ms[published_n++] = clock_ms;
      if (g_rand_double (rand_) < faults_per_s * STEP_MS / 1000.0)
        harm (&daemons[g_rand_int_range (rand_, 0, DAEMON_N)]);
      for (guint i = 0; i < DAEMON_N; i++)
        {
          gboolean was_down = daemons[i].down_until_ms > clock_ms - STEP_MS;
          if (was_down && is_up (&daemons[i]))
            start (&daemons[i]);
          advance_daemon (&daemons[i]);
        }
      advance_requests ();
      for (guint i = 0; i < DAEMON_N; i++)
        broken_n += !check (&daemons[i]);
    }
  g_ptr_array_unref (requests);
  g_rand_free (rand_);
  return broken_n;
}

static void
make_members (void)
{
  members = g_ptr_array_new ();
  for (guint i = 0; i < DAEMON_N; i++)
    {
      FbDaemon *member = g_new0 (FbDaemon, 1);
      member->address = g_strdup_printf ("%u", i);
      member->domain = g_strdup_printf ("z%u", i % DOMAIN_N);
      member->cpu_milli = i % OWNER_EVERY == 0 ? 1000 : 120;
      g_ptr_array_add (members, member);
    }
}

/* ---- tests ---------------------------------------------------------------------------------- */

static guint first_seed = 1;
static guint seeds_n = SEEDS;

static void
simulate_all (void)
{
  for (guint i = 0; i < seeds_n; i++)
    {
      guint broken_n = simulate (first_seed + i, 6);
      if (broken_n > 0)
        printf ("seed %u: %u\n", first_seed + i, broken_n);
      CU_ASSERT_EQUAL (broken_n, 0);
    }
}

/* Guards against daemons that keep an old configuration when the one that they watch fails. */
static void
test_configurations_are_in_force_in_time (void)
{
  peers_are_known = TRUE;
  simulate_all ();
}

/* The same without the requests to any peer, which make up for most mistakes. */
static void
test_configurations_without_other_peers (void)
{
  peers_are_known = FALSE;
  simulate_all ();
}

/* In calm only the daemons that may own pools read the store. */
static void
test_few_daemons_read_the_store (void)
{
  late_reads_n = 0;
  CU_ASSERT_EQUAL (simulate (1, 0), 0);
  CU_ASSERT_EQUAL (late_reads_n, 0);
}

int
main (int argc, char **argv)
{
  if (argc == 3)
    {
      first_seed = (guint) atoi (argv[1]);
      seeds_n = (guint) atoi (argv[2]);
    }
  fb_event_set_quiet (TRUE);
  make_members ();
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("configuration", NULL, NULL);
  CU_add_test (suite, "few daemons read the store", test_few_daemons_read_the_store);
  CU_add_test (suite, "configurations are in force in time",
               test_configurations_are_in_force_in_time);
  CU_add_test (suite, "configurations without other peers",
               test_configurations_without_other_peers);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

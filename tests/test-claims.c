/* Pools of three services that may have the same jobs, with owners that are replaced, messages that
 * are delayed and lost, and different ages of the queue directory at each daemon. */
#include "src/entry/cancel-records.h"
#include "src/entry/owner/owner-private.h"

#include "fb-event.h"
#include "internal/codec.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE_N 3
#define JOB_N 6
#define QUEUE "q"
/* In the same partition as the first service. */
#define SAME_PARTITION "svc39"
#define EVENTS_N 300
#define SETTLE_STEPS_N 400
#define STEP_MS 30

/* In different partitions. */
static const char *const services[SERVICE_N] = { "svc", "svc2", "svc3" };

/* One daemon for each service, which owns its partition, and what the store has of it. */
typedef struct
{
  FbEntryDaemon entry;
  FbOwner *owner;
  uint32_t partition;
  guint view_n;           /* number of records of the directory that the daemon has read */
  GPtrArray *view;        /* of FbQueueService */
  GHashTable *jobs;       /* set of the jobs that are stored with the service */
  GHashTable *disclaimed; /* key -> GBytes of the stored disclaimers */
} Daemon;

/* An append of the owner of DAEMON that has no result yet. */
typedef struct
{
  Daemon *daemon;
  GByteArray *records;
  FbAppendDone done;
  gpointer user;
} Append;

/* A claim on its way to the owner of a service, or the reply on its way back. */
typedef struct
{
  guint to;
  GBytes *request;
  GBytes *reply; /* NULL: the claim is on its way, or the reply is lost */
  gboolean is_answered;
  FbPeerReplyDone done;
  gpointer user;
} Message;

static FbEntrySettings settings;
static Daemon daemons[SERVICE_N];
static guint directory[SERVICE_N]; /* the services in the order of their records */
static guint directory_n;
static gboolean directory_known;
static GPtrArray *appends;
static GPtrArray *messages;
static uint64_t clock_ms;
static uint64_t next_epoch;
static gboolean ran[JOB_N][SERVICE_N]; /* the job has been in the pool of the service */
static gboolean submitted[JOB_N];
static GRand *random_numbers;

static guint
draw (guint n)
{
  return (guint) g_rand_int_range (random_numbers, 0, (gint32) n);
}

static Daemon *
daemon_of (const FbEntryDaemon *entry)
{
  for (guint i = 0; i < SERVICE_N; i++)
    {
      if (&daemons[i].entry == entry)
        return &daemons[i];
    }
  return NULL;
}

static char *
job_id (guint job)
{
  return g_strdup_printf ("%016x", job);
}

/* ---- what surrounds the owners -------------------------------------------------------------- */

uint64_t __wrap_fb_clock_ms (void);
FbQueueDirectory *__wrap_fb_entry_queue_directory (FbEntryDaemon *entry);
const GPtrArray *__wrap_fb_queue_directory_services (const FbQueueDirectory *self,
                                                     const char *queue);
int __wrap_fb_queue_directory_position (const FbQueueDirectory *self, const char *queue,
                                        const char *service);
void __wrap_fb_queue_directory_add (FbQueueDirectory *self, const char *queue, const char *service);
gboolean __wrap_fb_queue_directory_is_known (const FbQueueDirectory *self);
GHashTable *__wrap_fb_queue_directory_sharing (const FbQueueDirectory *self, const char *service);
GPtrArray *__wrap_fb_queue_directory_all_services (const FbQueueDirectory *self);
const char *__wrap_fb_group_owner_of (const FbGroup *group, uint32_t partition);
void __wrap_fb_group_refresh_owners (FbGroup *group);
void __wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                              const fb_peer_request *peer_request, uint32_t timeout_ms,
                              FbPeerReplyDone done, gpointer user);
void __wrap_fb_peers_notify_stored (FbEntryDaemon *entry, uint32_t partition, const char *key,
                                    GBytes *value, FbPeerReplyDone done, gpointer user);
FbAppender *__wrap_fb_appender_new (FbEntryDaemon *entry, const char *topic, uint32_t partition,
                                    const char *writer, uint64_t epoch);
void __wrap_fb_appender_free (FbAppender *self);
void __wrap_fb_appender_put (FbAppender *self, GByteArray *records, uint64_t retry_until_ms,
                             FbAppendDone done, gpointer user);
void __real_fb_pool_add_job_take (FbPool *self, const char *job, fb_work_admit *record,
                                  const FbPoolReceipt *receipt, uint64_t now_ms, uint64_t wall_ms);
void __wrap_fb_pool_add_job_take (FbPool *self, const char *job, fb_work_admit *record,
                                  const FbPoolReceipt *receipt, uint64_t now_ms, uint64_t wall_ms);

const char *__wrap_fb_relay_address_for (FbEntryDaemon *entry, const fb_relay_request *order);
void __wrap_fb_relay_call_worker (FbEntryDaemon *entry, const fb_relay_request *order,
                                  FbHttpReplyDone done, gpointer user);

const char *
__wrap_fb_relay_address_for (FbEntryDaemon *entry, const fb_relay_request *order)
{
  (void) entry;
  (void) order;
  return NULL;
}

/* Polls get no answer but those that a test gives itself. */
void
__wrap_fb_relay_call_worker (FbEntryDaemon *entry, const fb_relay_request *order,
                             FbHttpReplyDone done, gpointer user)
{
  (void) entry;
  (void) order;
  (void) done;
  (void) user;
}

uint64_t
__wrap_fb_clock_ms (void)
{
  return clock_ms;
}

/* The directory at a daemon is the view of its Daemon. */
FbQueueDirectory *
__wrap_fb_entry_queue_directory (FbEntryDaemon *entry)
{
  return (gpointer) daemon_of (entry);
}

static void
read_directory (Daemon *daemon, guint n)
{
  while (daemon->view_n < n)
    {
      FbQueueService *row = g_new0 (FbQueueService, 1);
      row->service = (char *) services[directory[daemon->view_n++]];
      g_ptr_array_add (daemon->view, row);
    }
}

const GPtrArray *
__wrap_fb_queue_directory_services (const FbQueueDirectory *self, const char *queue)
{
  (void) queue;
  return ((const Daemon *) (gconstpointer) self)->view;
}

int
__wrap_fb_queue_directory_position (const FbQueueDirectory *self, const char *queue,
                                    const char *service)
{
  const GPtrArray *view = __wrap_fb_queue_directory_services (self, queue);
  for (guint i = 0; i < view->len; i++)
    {
      if (g_str_equal (((FbQueueService *) view->pdata[i])->service, service))
        return (int) i;
    }
  return -1;
}

/* Stored only if the daemon has read all records. */
void
__wrap_fb_queue_directory_add (FbQueueDirectory *self, const char *queue, const char *service)
{
  (void) queue;
  Daemon *daemon = (gpointer) self;
  CU_ASSERT_STRING_EQUAL (service, services[daemon - daemons]);
  if (daemon->view_n < directory_n)
    return;
  directory[directory_n++] = (guint) (daemon - daemons);
  if (draw (2) == 0)
    read_directory (daemon, directory_n);
}

gboolean
__wrap_fb_queue_directory_is_known (const FbQueueDirectory *self)
{
  (void) self;
  return directory_known;
}

GHashTable *
__wrap_fb_queue_directory_sharing (const FbQueueDirectory *self, const char *service)
{
  (void) self;
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (g_str_equal (service, services[0]))
    g_hash_table_add (names, g_strdup (services[1]));
  return names;
}

GPtrArray *
__wrap_fb_queue_directory_all_services (const FbQueueDirectory *self)
{
  (void) self;
  GPtrArray *names = g_ptr_array_new ();
  for (guint i = 0; i < SERVICE_N; i++)
    g_ptr_array_add (names, (char *) services[i]);
  return names;
}

const char *
__wrap_fb_group_owner_of (const FbGroup *group, uint32_t partition)
{
  (void) group;
  for (guint i = 0; i < SERVICE_N; i++)
    {
      if (daemons[i].partition == partition)
        return services[i];
    }
  return NULL;
}

void
__wrap_fb_group_refresh_owners (FbGroup *group)
{
  (void) group;
}

void
__wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                         const fb_peer_request *peer_request, uint32_t timeout_ms,
                         FbPeerReplyDone done, gpointer user)
{
  (void) entry;
  (void) timeout_ms;
  Message *message = g_new0 (Message, 1);
  for (guint i = 0; i < SERVICE_N; i++)
    message->to = g_str_equal (services[i], address) ? i : message->to;
  message->request = fb_codec_encode_peer_request (peer_request);
  message->done = done;
  message->user = user;
  g_ptr_array_add (messages, message);
}

void
__wrap_fb_peers_notify_stored (FbEntryDaemon *entry, uint32_t partition, const char *key,
                               GBytes *value, FbPeerReplyDone done, gpointer user)
{
  (void) entry;
  (void) partition;
  (void) key;
  (void) value;
  done (user, NULL);
}

FbAppender *
__wrap_fb_appender_new (FbEntryDaemon *entry, const char *topic, uint32_t partition,
                        const char *writer, uint64_t epoch)
{
  (void) topic;
  (void) partition;
  (void) writer;
  (void) epoch;
  return (gpointer) daemon_of (entry);
}

/* The results of the appends of a freed owner are not delivered. */
void
__wrap_fb_appender_free (FbAppender *self)
{
  for (guint i = appends->len; i > 0; i--)
    {
      Append *append = appends->pdata[i - 1];
      if (append->daemon != (gpointer) self)
        continue;
      g_byte_array_unref (append->records);
      g_free (append);
      g_ptr_array_remove_index (appends, i - 1);
    }
}

void
__wrap_fb_appender_put (FbAppender *self, GByteArray *records, uint64_t retry_until_ms,
                        FbAppendDone done, gpointer user)
{
  (void) retry_until_ms;
  Append *append = g_new0 (Append, 1);
  append->daemon = (gpointer) self;
  append->records = records;
  append->done = done;
  append->user = user;
  g_ptr_array_add (appends, append);
}

void
__wrap_fb_pool_add_job_take (FbPool *self, const char *job, fb_work_admit *record,
                             const FbPoolReceipt *receipt, uint64_t now_ms, uint64_t wall_ms)
{
  for (guint i = 0; i < SERVICE_N; i++)
    ran[strtoul (job, NULL, 16)][i] |= g_str_equal (record->policy.service, services[i]);
  __real_fb_pool_add_job_take (self, job, record, receipt, now_ms, wall_ms);
}

/* ---- events ------------------------------------------------------------------------------- */

static void
admit_for (Daemon *daemon, const char *job, const char *service, const char *account)
{
  fb_work_admit record = { .accepted_ms = 1 };
  fb_work_admit *copy = &record;
  const fb_work_admit source
      = { .policy = { .queue = (char *) QUEUE, .service = (char *) service, .max_attempts = 3 },
          .spec = { .payload = (char *) "" },
          .account = (char *) account };
  g_autoptr (GBytes) bytes = fb_codec_encode_admit (&source);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (bytes, &len);
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_admit (data, len, copy));
  fb_owner_admit (daemon->owner, job, copy);
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) copy);
}

static void
admit (Daemon *daemon, const char *job, const char *service)
{
  admit_for (daemon, job, service, "");
}

/* Starts an owner with what is stored of its partition. */
static void
start_owner (Daemon *daemon)
{
  daemon->owner = fb_owner_new (&daemon->entry, daemon->partition, next_epoch++);
  __wrap_fb_appender_free ((gpointer) daemon); /* the append that fences the owner before */
  g_hash_table_insert (daemon->entry.owners, GUINT_TO_POINTER (daemon->partition), daemon->owner);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, daemon->disclaimed);
  while (g_hash_table_iter_next (&iter, &key, &value))
    fb_owner_restore_disclaimer (daemon->owner, key, value);
  g_hash_table_iter_init (&iter, daemon->jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    admit (daemon, key, services[daemon - daemons]);
  daemon->owner->loaded = TRUE;
}

static void
stop_owner (Daemon *daemon)
{
  g_hash_table_remove (daemon->entry.owners, GUINT_TO_POINTER (daemon->partition));
  fb_owner_free (daemon->owner);
}

static void
submit (guint job, Daemon *daemon)
{
  g_autofree char *id = job_id (job);
  submitted[job] = TRUE;
  g_hash_table_add (daemon->jobs, g_strdup (id));
  admit (daemon, id, services[daemon - daemons]);
}

/* Stores the records of an append, and delivers the result unless the owner is replaced. */
static void
store_append (guint at)
{
  Append *append = g_ptr_array_steal_index (appends, at);
  const guint8 *data = append->records->data;
  for (guint offset = 0; offset < append->records->len;)
    {
      guint32 size = 0;
      memcpy (&size, data + offset, sizeof size);
      size = GUINT32_FROM_BE (size);
      const guint8 *record = data + offset + sizeof size;
      char *key = g_strndup ((const char *) record + 1, record[0]);
      if (g_str_has_prefix (key, FB_KEY_DISCLAIMED))
        g_hash_table_replace (append->daemon->disclaimed, g_strdup (key),
                              g_bytes_new (record + 1 + record[0], size - 1 - record[0]));
      g_free (key);
      offset += (guint) sizeof size + size;
    }
  g_byte_array_unref (append->records);
  append->done (append->user, FB_APPEND_STORED);
  g_free (append);
}

static void
message_finish (Message *message)
{
  fb_peer_reply reply = { .type = FB_REPLY_UNAVAILABLE };
  if (message->reply != NULL)
    {
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (message->reply, &len);
      CU_ASSERT_TRUE_FATAL (fb_codec_decode_peer_reply (data, len, &reply));
    }
  message->done (message->user, message->reply != NULL ? &reply : NULL);
  xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &reply);
  g_clear_pointer (&message->reply, g_bytes_unref);
  g_bytes_unref (message->request);
  g_free (message);
}

/* The owner of the asked service has answered: the reply is on its way. */
static void
on_answered (gpointer user, const fb_peer_reply *peer_reply)
{
  Message *message = user;
  message->reply = fb_codec_encode_peer_reply (peer_reply);
  g_ptr_array_add (messages, message);
}

static void
deliver (guint at, gboolean is_lost)
{
  Message *message = g_ptr_array_steal_index (messages, at);
  if (is_lost)
    g_clear_pointer (&message->reply, g_bytes_unref);
  if (message->is_answered || is_lost)
    {
      message_finish (message);
      return;
    }
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (message->request, &len);
  fb_peer_request request;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_peer_request (data, len, &request));
  message->is_answered = TRUE;
  fb_owner_disclaim (daemons[message->to].owner, &request.fb_peer_request_u.claim, on_answered,
                     message);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &request);
}

/* Owners may be gone in the middle of an append, which is stored or not. */
static void
replace_owner (Daemon *daemon)
{
  for (guint i = appends->len; i > 0; i--)
    {
      if (((Append *) appends->pdata[i - 1])->daemon == daemon && draw (2) == 0)
        store_append (i - 1);
    }
  stop_owner (daemon);
  start_owner (daemon);
}

/* Deletes the records that the owner of DAEMON wants deleted. */
static void
delete_records (Daemon *daemon)
{
  const GPtrArray *keys = daemon->owner->stale_keys;
  for (guint i = 0; i < keys->len; i++)
    {
      const char *key = keys->pdata[i];
      if (key[0] == FB_KEY_JOB)
        g_hash_table_remove (daemon->jobs, key + 1);
    }
  g_ptr_array_set_size (daemon->owner->stale_keys, 0);
}

static void
tick (Daemon *daemon)
{
  clock_ms += STEP_MS;
  if (draw (4) == 0)
    delete_records (daemon);
  fb_owner_claim_held_jobs (daemon->owner, clock_ms);
}

static void
play_event (void)
{
  Daemon *daemon = &daemons[draw (SERVICE_N)];
  switch (draw (12))
    {
    case 0:
      submit (draw (JOB_N), daemon);
      break;
    case 1:
      if (draw (4) == 0)
        replace_owner (daemon);
      break;
    case 2:
    case 3:
      read_directory (daemon, daemon->view_n + draw (directory_n - daemon->view_n + 1));
      break;
    case 4:
    case 5:
      if (appends->len > 0)
        store_append (draw (appends->len));
      break;
    case 6:
    case 7:
    case 8:
      if (messages->len > 0)
        deliver (draw (messages->len), draw (5) == 0);
      break;
    default:
      tick (daemon);
    }
}

static void
settle (void)
{
  for (guint i = 0; i < SETTLE_STEPS_N; i++)
    {
      Daemon *daemon = &daemons[i % SERVICE_N];
      read_directory (daemon, directory_n);
      tick (daemon);
      while (messages->len > 0)
        deliver (0, FALSE);
      while (appends->len > 0)
        store_append (0);
    }
}

/* ---- plays ---------------------------------------------------------------------------------- */

static void
begin (guint32 seed)
{
  random_numbers = g_rand_new_with_seed (seed);
  settings = (FbEntrySettings){ .partitions = 32, .append_max_bytes = 1 << 20 };
  memset (ran, 0, sizeof ran);
  memset (submitted, 0, sizeof submitted);
  directory_n = 0;
  clock_ms = 100000;
  appends = g_ptr_array_new ();
  messages = g_ptr_array_new ();
  for (guint i = 0; i < SERVICE_N; i++)
    {
      Daemon *daemon = &daemons[i];
      *daemon = (Daemon){ .entry = { .settings = &settings } };
      settings.peers = (char *) "none";
      daemon->entry.owners = g_hash_table_new (NULL, NULL);
      daemon->entry.appenders = g_hash_table_new (NULL, NULL);
      daemon->entry.timer = fb_timer_new (clock_ms);
      daemon->entry.workers = fb_worker_list_new ();
      daemon->partition = fb_entry_partition_of (&daemon->entry, services[i]);
      daemon->view = g_ptr_array_new_with_free_func (g_free);
      daemon->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      daemon->disclaimed
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
      start_owner (daemon);
    }
}

static void
end (void)
{
  while (messages->len > 0)
    deliver (0, TRUE);
  for (guint i = 0; i < SERVICE_N; i++)
    {
      Daemon *daemon = &daemons[i];
      stop_owner (daemon);
      while (messages->len > 0)
        deliver (0, TRUE);
      g_hash_table_unref (daemon->entry.owners);
      g_hash_table_unref (daemon->entry.appenders);
      fb_timer_free (daemon->entry.timer);
      fb_worker_list_free (daemon->entry.workers);
      g_ptr_array_unref (daemon->view);
      g_hash_table_unref (daemon->jobs);
      g_hash_table_unref (daemon->disclaimed);
    }
  g_ptr_array_unref (appends);
  g_ptr_array_unref (messages);
  g_rand_free (random_numbers);
}

/* Returns: the number of jobs that ran in several pools, or in none although they were submitted,
 * or have a record at a service that did not run them. */
static guint
count_violations (void)
{
  guint violations_n = 0;
  for (guint job = 0; job < JOB_N; job++)
    {
      g_autofree char *id = job_id (job);
      guint ran_n = 0;
      guint left_n = 0;
      for (guint i = 0; i < SERVICE_N; i++)
        {
          ran_n += ran[job][i] ? 1 : 0;
          left_n += !ran[job][i] && g_hash_table_contains (daemons[i].jobs, id) ? 1 : 0;
        }
      violations_n += ran_n != (submitted[job] ? 1 : 0) || left_n > 0;
    }
  return violations_n;
}

/* Guards against a job that runs in the pools of two services, or in none, and against a record
 * that is taken for a new job later. */
static void
test_each_job_runs_in_one_pool (void)
{
  for (guint32 seed = 1; seed <= 2000; seed++)
    {
      begin (seed);
      for (guint i = 0; i < EVENTS_N; i++)
        play_event ();
      settle ();
      guint violations_n = count_violations ();
      if (violations_n > 0)
        printf ("seed %u: %u jobs ran in several pools, in none, or have a record left\n", seed,
                violations_n);
      CU_ASSERT_EQUAL (violations_n, 0);
      end ();
    }
}

/* Guards against the loss of a held job whose record another one of the partition replaces. */
static void
test_replaced_record_of_a_held_job (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  FbQueueService *rows = g_new0 (FbQueueService, 2);
  rows[0].service = (char *) services[0];
  rows[1].service = (char *) SAME_PARTITION;
  CU_ASSERT_EQUAL (fb_entry_partition_of (&daemon->entry, SAME_PARTITION), daemon->partition);
  for (guint i = 0; i < 2; i++)
    g_ptr_array_add (daemon->view, &rows[i]);
  g_autofree char *id = job_id (0);
  admit (daemon, id, SAME_PARTITION);
  CU_ASSERT_PTR_NOT_NULL (fb_owner_held_job (daemon->owner, id));
  CU_ASSERT_EQUAL (appends->len, 0);
  admit (daemon, id, services[0]);
  CU_ASSERT_EQUAL_FATAL (appends->len, 1);
  const GByteArray *records = ((Append *) appends->pdata[0])->records;
  guint value_at = 4 + 1 + records->data[4];
  fb_work_admit stored;
  CU_ASSERT_TRUE_FATAL (
      fb_codec_decode_admit (records->data + value_at, records->len - value_at, &stored));
  CU_ASSERT_STRING_EQUAL (stored.policy.service, SAME_PARTITION);
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &stored);
  __wrap_fb_appender_free ((gpointer) daemon);
  g_ptr_array_set_free_func (daemon->view, NULL);
  g_free (rows);
  end ();
}

/* ---- services of one partition --------------------------------------------------------------- */

#define WORKER "i-1@1"

/* The directory at DAEMON lists FIRST before SECOND. */
static void
list_services (Daemon *daemon, const char *first, const char *second)
{
  const char *const names[] = { first, second };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      FbQueueService *row = g_new0 (FbQueueService, 1);
      row->service = (char *) names[i];
      g_ptr_array_add (daemon->view, row);
    }
  daemon->view_n = (guint) daemon->view->len;
}

/* Replaces the owner of DAEMON; the only record of JOB is that of SERVICE.  The pool of the first
 * service has a worker. */
static void
take_over (Daemon *daemon, const char *job, const char *service)
{
  static const char *const labels[] = { NULL };
  const FbWorkerEntry worker = {
    .id = WORKER, .address = "127.0.0.1:1", .labels = labels, .cpu_milli = 16000, .mem_mb = 64
  };
  stop_owner (daemon);
  start_owner (daemon);
  daemon->owner->loaded = FALSE;
  fb_pool_workers_complete (fb_owner_pool_for (daemon->owner, SAME_PARTITION)->pool);
  FbPool *pool = fb_owner_pool_for (daemon->owner, services[0])->pool;
  fb_pool_worker_listed (pool, &worker, clock_ms);
  fb_pool_workers_complete (pool);
  admit (daemon, job, service);
  daemon->owner->loaded = TRUE;
}

/* The worker answers the owner of DAEMON and lists a run of TASK, or none if it is NULL. */
static void
answer_poll (Daemon *daemon, const char *task)
{
  FbReportedRun run = { .task = (char *) task, .attempt = 1, .checkpoint = "" };
  FbPollAnswer answer = { .result = FB_ORDER_DONE, .clock_ms = 5000 };
  answer.running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  answer.finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  if (task != NULL)
    g_array_append_val (answer.running, run);
  fb_pool_poll_answered (fb_owner_pool_for (daemon->owner, services[0])->pool, WORKER, &answer,
                         clock_ms, clock_ms);
  fb_poll_answer_clear (&answer);
}

/* Lets the owner of DAEMON claim held jobs, and stores what it appends. */
static void
claim_and_store (Daemon *daemon)
{
  for (guint i = 0; i < 4; i++)
    {
      clock_ms += 200;
      fb_owner_claim_held_jobs (daemon->owner, clock_ms);
      while (appends->len > 0)
        store_append (0);
    }
}

static gboolean
is_in_pool (Daemon *daemon, const char *service, const char *job)
{
  fb_work_state state;
  return fb_pool_job_state (fb_owner_pool_for (daemon->owner, service)->pool, job, &state);
}

/* Guards against a second run of a job whose record was replaced when the owner was lost. */
static void
test_running_job_whose_record_was_replaced (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autofree char *id = job_id (0);
  g_autofree char *task = g_strconcat (id, ".0.0.0", NULL);
  list_services (daemon, services[0], SAME_PARTITION);
  take_over (daemon, id, SAME_PARTITION);
  claim_and_store (daemon);
  CU_ASSERT_PTR_NOT_NULL (fb_owner_held_job (daemon->owner, id));
  answer_poll (daemon, task);
  claim_and_store (daemon);
  CU_ASSERT_TRUE (is_in_pool (daemon, services[0], id));
  CU_ASSERT_FALSE (is_in_pool (daemon, SAME_PARTITION, id));
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against a job that waits forever for workers that an earlier owner may have used. */
static void
test_new_job_beside_a_worker_that_is_never_heard (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autofree char *id = job_id (0);
  list_services (daemon, services[0], SAME_PARTITION);
  take_over (daemon, id, SAME_PARTITION);
  claim_and_store (daemon);
  CU_ASSERT_FALSE (is_in_pool (daemon, SAME_PARTITION, id));
  clock_ms += 30000;
  claim_and_store (daemon);
  CU_ASSERT_TRUE (is_in_pool (daemon, SAME_PARTITION, id));
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against the loss of a job whose record was replaced by that of a disclaiming service. */
static void
test_disclaimed_record_that_replaced_anothers (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autofree char *id = job_id (0);
  list_services (daemon, SAME_PARTITION, services[0]);
  fb_pool_workers_complete (fb_owner_pool_for (daemon->owner, SAME_PARTITION)->pool);
  admit (daemon, id, services[0]);
  claim_and_store (daemon);
  CU_ASSERT_TRUE (is_in_pool (daemon, services[0], id));
  take_over (daemon, id, SAME_PARTITION);
  claim_and_store (daemon);
  CU_ASSERT_TRUE (is_in_pool (daemon, services[0], id));
  CU_ASSERT_FALSE (is_in_pool (daemon, SAME_PARTITION, id));
  CU_ASSERT_EQUAL (daemon->owner->stale_keys->len, 0);
  /* Once the record of its end has expired, a late submission is no new job. */
  fb_owner_forget_claimant (daemon->owner, id, NULL);
  claim_and_store (daemon);
  take_over (daemon, id, SAME_PARTITION);
  claim_and_store (daemon);
  CU_ASSERT_FALSE (is_in_pool (daemon, services[0], id));
  CU_ASSERT_FALSE (is_in_pool (daemon, SAME_PARTITION, id));
  CU_ASSERT_EQUAL (daemon->owner->stale_keys->len, 1);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against the loss of a cancel that a new owner loads before it has read the directory. */
static void
test_cancels_wait_for_the_directory (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autoptr (GBytes) cancel = g_bytes_new_static (FB_CANCEL_PREFIX, strlen (FB_CANCEL_PREFIX));
  g_autoptr (GBytes) passed_on
      = g_bytes_new_static (FB_PASSED_CANCEL_PREFIX, strlen (FB_PASSED_CANCEL_PREFIX));
  g_autofree char *first = job_id (0);
  g_autofree char *second = job_id (1);
  directory_known = FALSE;
  fb_owner_apply_stored_cancel (daemon->owner, first, cancel);
  fb_owner_apply_stored_cancel (daemon->owner, second, passed_on);
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  CU_ASSERT_EQUAL (appends->len, 0);
  directory_known = TRUE;
  clock_ms += 1000;
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  clock_ms += 1000;
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  CU_ASSERT_EQUAL_FATAL (appends->len, 1);
  const GByteArray *records = ((Append *) appends->pdata[0])->records;
  CU_ASSERT_EQUAL (records->data[4 + 1], FB_KEY_CANCEL);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* A cancel of a caller without an account. */
static GBytes *
cancel_new (void)
{
  return g_bytes_new_static (FB_CANCEL_PREFIX, strlen (FB_CANCEL_PREFIX));
}

/* The directory at DAEMON lists its service first. */
static void
list_own_service (Daemon *daemon)
{
  directory[directory_n++] = (guint) (daemon - daemons);
  read_directory (daemon, directory_n);
}

/* Returns: the state of JOB that DAEMON shows once it is stored. */
static fb_work_state
state_at (Daemon *daemon, const char *job)
{
  fb_work_state state = FB_WORK_QUEUED;
  const FbServicePool *service_pool = fb_owner_pool_for (daemon->owner, services[daemon - daemons]);
  GPtrArray *records = fb_pool_flush (service_pool->pool, clock_ms, clock_ms);
  if (records != NULL)
    {
      fb_pool_flushed (service_pool->pool, clock_ms);
      g_ptr_array_unref (records);
    }
  CU_ASSERT_TRUE (fb_pool_job_state (service_pool->pool, job, &state));
  return state;
}

/* Guards against the loss of a cancel whose job is submitted, or listed, after it. */
static void
test_a_cancel_is_read_before_its_job (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  list_own_service (daemon);
  g_autoptr (GBytes) cancel = cancel_new ();
  g_autofree char *cancelled = job_id (0);
  g_autofree char *other = job_id (1);
  fb_owner_apply_stored_cancel (daemon->owner, cancelled, cancel);
  admit (daemon, cancelled, services[0]);
  CU_ASSERT_EQUAL (state_at (daemon, cancelled), FB_WORK_CANCELLED);
  admit (daemon, other, services[0]);
  CU_ASSERT_EQUAL (state_at (daemon, other), FB_WORK_QUEUED);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against the loss of a cancel whose notice arrives before that of the job. */
static void
test_a_notice_of_a_cancel_overtakes_that_of_its_job (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  list_own_service (daemon);
  g_autoptr (GBytes) cancel = cancel_new ();
  g_autofree char *job = job_id (0);
  g_autofree char *key = fb_cancel_key (job);
  fb_owner_apply_record (daemon->owner, key, cancel);
  clock_ms += 1000;
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  CU_ASSERT_EQUAL (appends->len, 0); /* the job may be in the store */
  admit (daemon, job, services[0]);
  CU_ASSERT_EQUAL (state_at (daemon, job), FB_WORK_CANCELLED);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against the loss of a cancel whose job then waits for other services. */
static void
test_a_cancel_is_read_before_its_held_job (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autoptr (GBytes) cancel = cancel_new ();
  g_autofree char *job = job_id (0);
  fb_owner_apply_stored_cancel (daemon->owner, job, cancel);
  admit (daemon, job, services[0]);
  CU_ASSERT_PTR_NOT_NULL (fb_owner_held_job (daemon->owner, job));
  list_own_service (daemon);
  fb_owner_claim_held_jobs (daemon->owner, clock_ms);
  CU_ASSERT_EQUAL (state_at (daemon, job), FB_WORK_CANCELLED);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

static void
on_claim_answered (gpointer user, const fb_peer_reply *peer_reply)
{
  *(fb_peer_reply_type *) user = peer_reply->type;
}

/* Returns: the number of records of cancels that DAEMON has sent to the store. */
static guint
cancel_appends_n (const Daemon *daemon)
{
  guint n = 0;
  for (guint i = 0; i < appends->len; i++)
    {
      const Append *append = appends->pdata[i];
      n += append->daemon == daemon && append->records->data[4 + 1] == FB_KEY_CANCEL;
    }
  return n;
}

/* Guards against a job that runs at a service which was listed after its cancel was stored. */
static void
test_a_kept_cancel_is_passed_on_to_a_claimant (void)
{
  begin (1);
  Daemon *daemon = &daemons[1];
  g_autoptr (GBytes) cancel = cancel_new ();
  g_autofree char *job = job_id (0);
  (void) fb_owner_pool_for (daemon->owner, services[1]);
  fb_owner_apply_stored_cancel (daemon->owner, job, cancel);
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  CU_ASSERT_EQUAL (cancel_appends_n (daemon), 0);
  fb_job_name name = { job };
  const fb_claim_request claim = { (char *) services[1], (char *) services[0], { 1, &name } };
  fb_peer_reply_type type = FB_REPLY_CLAIMS;
  fb_owner_disclaim (daemon->owner, &claim, on_claim_answered, &type);
  CU_ASSERT_EQUAL (type, FB_REPLY_UNAVAILABLE); /* the cancel is not stored yet */
  fb_owner_disclaim (daemon->owner, &claim, on_claim_answered, &type);
  CU_ASSERT_EQUAL (type, FB_REPLY_UNAVAILABLE);
  CU_ASSERT_EQUAL_FATAL (appends->len, 1);
  CU_ASSERT_EQUAL (cancel_appends_n (daemon), 1);
  store_append (0);
  fb_owner_disclaim (daemon->owner, &claim, on_claim_answered, &type);
  CU_ASSERT_EQUAL_FATAL (appends->len, 1);
  store_append (0); /* the disclaimer */
  CU_ASSERT_EQUAL (type, FB_REPLY_CLAIMS);
  end ();
}

/* Guards against records that stay for ever, and against one of the job that goes with them. */
static void
test_a_kept_cancel_expires_alone (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  list_own_service (daemon);
  g_autoptr (GBytes) cancel = cancel_new ();
  g_autofree char *job = job_id (0);
  g_autofree char *key = fb_cancel_key (job);
  fb_owner_apply_stored_cancel (daemon->owner, job, cancel);
  clock_ms += FB_POOL_ENDED_JOB_RETENTION_MS - 1;
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  CU_ASSERT_EQUAL (daemon->owner->stale_keys->len, 0);
  clock_ms += 1001;
  fb_owner_check_kept_cancels (daemon->owner, FALSE, clock_ms);
  CU_ASSERT_EQUAL (daemon->owner->stale_keys->len, 0); /* a later owner may keep it */
  clock_ms += 1001;
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  CU_ASSERT_EQUAL_FATAL (daemon->owner->stale_keys->len, 1);
  CU_ASSERT_STRING_EQUAL (daemon->owner->stale_keys->pdata[0], key);
  admit (daemon, job, services[0]);
  CU_ASSERT_EQUAL (state_at (daemon, job), FB_WORK_QUEUED);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against a repeated cancel that is forgotten, or deleted, with the first one. */
static void
test_a_repeated_cancel_is_kept_for_its_own_time (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  list_own_service (daemon);
  g_autoptr (GBytes) cancel = cancel_new ();
  g_autofree char *repeated = job_id (0);
  g_autofree char *late = job_id (1);
  fb_owner_apply_stored_cancel (daemon->owner, repeated, cancel);
  fb_owner_apply_stored_cancel (daemon->owner, late, cancel);
  clock_ms += FB_POOL_ENDED_JOB_RETENTION_MS - 1;
  fb_owner_apply_stored_cancel (daemon->owner, repeated, cancel);
  clock_ms += 1001;
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  CU_ASSERT_EQUAL (daemon->owner->stale_keys->len, 1); /* of LATE, not deleted yet */
  fb_owner_apply_stored_cancel (daemon->owner, late, cancel);
  CU_ASSERT_EQUAL (daemon->owner->stale_keys->len, 0);
  admit (daemon, repeated, services[0]);
  admit (daemon, late, services[0]);
  CU_ASSERT_EQUAL (state_at (daemon, repeated), FB_WORK_CANCELLED);
  CU_ASSERT_EQUAL (state_at (daemon, late), FB_WORK_CANCELLED);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against a late deletion that undoes a cancel for the next owner. */
static void
test_a_deleted_record_of_a_kept_cancel_is_stored_again (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autoptr (GBytes) cancel = cancel_new ();
  g_autofree char *job = job_id (0);
  fb_owner_cancel_deleted (daemon->owner, job);
  CU_ASSERT_EQUAL (cancel_appends_n (daemon), 0);
  fb_owner_apply_stored_cancel (daemon->owner, job, cancel);
  fb_owner_cancel_deleted (daemon->owner, job);
  CU_ASSERT_EQUAL (cancel_appends_n (daemon), 1);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against a caller's cancel that is passed on no more after another owner has passed it on
 * to this one. */
static void
test_a_passed_cancel_does_not_replace_the_callers_own (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autoptr (GBytes) cancel = cancel_new ();
  g_autoptr (GBytes) passed_on
      = g_bytes_new_static (FB_PASSED_CANCEL_PREFIX, strlen (FB_PASSED_CANCEL_PREFIX));
  g_autofree char *job = job_id (0);
  fb_owner_apply_stored_cancel (daemon->owner, job, cancel);
  fb_owner_apply_stored_cancel (daemon->owner, job, passed_on);
  clock_ms += 1000;
  fb_owner_check_kept_cancels (daemon->owner, TRUE, clock_ms);
  CU_ASSERT_EQUAL (cancel_appends_n (daemon), 1);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against a cancel that another account's cancel of the same id replaces. */
static void
test_cancels_of_two_accounts_before_the_job (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  list_own_service (daemon);
  g_autoptr (GBytes) first
      = g_bytes_new_static (FB_CANCEL_PREFIX "a", strlen (FB_CANCEL_PREFIX) + 1);
  g_autoptr (GBytes) second
      = g_bytes_new_static (FB_CANCEL_PREFIX "b", strlen (FB_CANCEL_PREFIX) + 1);
  for (guint i = 0; i < 3; i++)
    {
      static const char *const accounts[] = { "a", "b", "c" };
      g_autofree char *job = job_id (i);
      fb_owner_apply_stored_cancel (daemon->owner, job, first);
      fb_owner_apply_stored_cancel (daemon->owner, job, second);
      admit_for (daemon, job, services[0], accounts[i]);
      CU_ASSERT_EQUAL (state_at (daemon, job), i < 2 ? FB_WORK_CANCELLED : FB_WORK_QUEUED);
    }
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against the same at a job that waits for other services. */
static void
test_cancels_of_two_accounts_of_a_held_job (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autoptr (GBytes) first
      = g_bytes_new_static (FB_CANCEL_PREFIX "a", strlen (FB_CANCEL_PREFIX) + 1);
  g_autoptr (GBytes) second
      = g_bytes_new_static (FB_CANCEL_PREFIX "b", strlen (FB_CANCEL_PREFIX) + 1);
  g_autofree char *job = job_id (0);
  admit_for (daemon, job, services[0], "a");
  CU_ASSERT_PTR_NOT_NULL (fb_owner_held_job (daemon->owner, job));
  fb_owner_apply_stored_cancel (daemon->owner, job, first);
  fb_owner_apply_stored_cancel (daemon->owner, job, second);
  list_own_service (daemon);
  fb_owner_claim_held_jobs (daemon->owner, clock_ms);
  CU_ASSERT_EQUAL (state_at (daemon, job), FB_WORK_CANCELLED);
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

/* Guards against a configuration that does not reach the jobs which wait for other services. */
static void
test_policies_of_held_jobs (void)
{
  begin (1);
  Daemon *daemon = &daemons[0];
  g_autofree char *job = job_id (0);
  admit (daemon, job, services[0]);
  CU_ASSERT_PTR_NOT_NULL (fb_owner_held_job (daemon->owner, job));
  g_autoptr (FbRoutes) routes = fb_routes_new (2);
  FbRoute *route = g_new0 (FbRoute, 1);
  route->host = g_strdup ("h.example");
  route->prefix = g_strdup ("/q/");
  route->policy = (fb_work_policy){ .queue = strdup (QUEUE),
                                    .service = strdup (services[1]),
                                    .max_attempts = 7 };
  fb_routes_add (routes, route);
  daemon->entry.routes = routes;
  daemon->entry.route_directory = fb_route_directory_new (&daemon->entry);
  fb_owner_routes_changed (daemon->owner);
  list_own_service (daemon);
  fb_owner_claim_held_jobs (daemon->owner, clock_ms);
  g_autoptr (GBytes) record
      = fb_pool_encode_admission (fb_owner_pool_for (daemon->owner, services[0])->pool, job);
  fb_work_admit admitted;
  gsize len = 0;
  gconstpointer data = record != NULL ? g_bytes_get_data (record, &len) : NULL;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_admit (data, len, &admitted));
  CU_ASSERT_EQUAL (admitted.policy.max_attempts, 7);
  CU_ASSERT_STRING_EQUAL (admitted.policy.service, services[0]);
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &admitted);
  g_clear_pointer (&daemon->entry.route_directory, fb_route_directory_free);
  daemon->entry.routes = NULL;
  __wrap_fb_appender_free ((gpointer) daemon);
  end ();
}

int
main (void)
{
  fb_event_init ("test-claims", TRUE);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("claims of jobs by services", NULL, NULL);
  CU_add_test (suite, "each job runs in one pool", test_each_job_runs_in_one_pool);
  CU_add_test (suite, "a replaced record of a held job", test_replaced_record_of_a_held_job);
  CU_add_test (suite, "a running job whose record was replaced",
               test_running_job_whose_record_was_replaced);
  CU_add_test (suite, "a new job beside a worker that is never heard",
               test_new_job_beside_a_worker_that_is_never_heard);
  CU_add_test (suite, "a disclaimed record that replaced another's",
               test_disclaimed_record_that_replaced_anothers);
  CU_add_test (suite, "cancels wait for the directory", test_cancels_wait_for_the_directory);
  CU_add_test (suite, "a cancel is read before its job", test_a_cancel_is_read_before_its_job);
  CU_add_test (suite, "a notice of a cancel overtakes that of its job",
               test_a_notice_of_a_cancel_overtakes_that_of_its_job);
  CU_add_test (suite, "a cancel is read before its held job",
               test_a_cancel_is_read_before_its_held_job);
  CU_add_test (suite, "a kept cancel is passed on to a claimant",
               test_a_kept_cancel_is_passed_on_to_a_claimant);
  CU_add_test (suite, "a kept cancel expires alone", test_a_kept_cancel_expires_alone);
  CU_add_test (suite, "a repeated cancel is kept for its own time",
               test_a_repeated_cancel_is_kept_for_its_own_time);
  CU_add_test (suite, "a deleted record of a kept cancel is stored again",
               test_a_deleted_record_of_a_kept_cancel_is_stored_again);
  CU_add_test (suite, "a passed cancel does not replace the caller's own",
               test_a_passed_cancel_does_not_replace_the_callers_own);
  CU_add_test (suite, "cancels of two accounts before the job",
               test_cancels_of_two_accounts_before_the_job);
  CU_add_test (suite, "cancels of two accounts of a held job",
               test_cancels_of_two_accounts_of_a_held_job);
  CU_add_test (suite, "policies of held jobs", test_policies_of_held_jobs);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}

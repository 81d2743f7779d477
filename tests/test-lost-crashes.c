/* Crashes that must not be lost when the owner of a pool is replaced: what daemons remember of
 * starts and crashes for the next owner, and what that owner requests from them.
 *
 * Usage: test-lost-crashes CASE */
#include "src/entry/owner/owner-private.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define NOW_MS 100000
/* Owners poll each worker several times in this time. */
#define SILENT_MS 2000
#define TASK "00000000000000c1.0.0.0"
#define OTHER_TASK "00000000000000c1.0.0.1"
#define JOB "00000000000000c1"
/* Longer than the time after which requests to other daemons are repeated. */
#define REPEATED_MS 2000
#define OWN_ADDRESS "10.0.0.1:1"
#define OTHER_ADDRESS "10.0.0.2:1"

/* ---- starts that a daemon reports ---------------------------------------------------- */

/* Returns: the number of starts that SELF reports at NOW_MS. */
static guint
reported_starts_n (const FbRecentStarts *self, uint64_t now_ms)
{
  fb_recent_starts_reply reply;
  fb_recent_starts_list (self, TRUE, now_ms, &reply);
  guint n = reply.starts.starts_len;
  g_free (reply.starts.starts_val);
  return n;
}

/* A start on a worker that crashes between two owners, while nobody polls it, must be reported. */
static void
test_start_on_worker_without_orders (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE, NOW_MS);
  CU_ASSERT_EQUAL (reported_starts_n (self, NOW_MS + SILENT_MS), 1);
  fb_recent_starts_free (self);
}

/* A start on a crashed worker must not be forgotten because many tasks start on running workers. */
static void
test_running_workers_evict_no_others (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_UNKNOWN, NOW_MS);
  for (guint i = 0; i < FB_WORK_MAX_STARTS; i++)
    {
      fb_recent_starts_sent (self, "w2", "a", TASK, i, NOW_MS);
      fb_recent_starts_answered (self, "w2", TASK, i, FB_ORDER_DONE, NOW_MS);
    }
  CU_ASSERT_EQUAL (reported_starts_n (self, NOW_MS), 1);
  fb_recent_starts_free (self);
}

/* ---- backups of suspects that a daemon holds ------------------------------------------- */

/* Returns: the number of suspected tasks in the backups of SELF. */
static guint
reported_suspects_n (const FbSuspectBackups *self)
{
  fb_suspect_backups_reply reply;
  guint n = 0;
  fb_suspect_backups_list (self, NOW_MS, &reply);
  for (u_int i = 0; i < reply.jobs.jobs_len; i++)
    n += reply.jobs.jobs_val[i].suspects.tasks.tasks_len;
  xdr_free ((xdrproc_t) xdr_fb_suspect_backups_reply, (char *) &reply);
  return n;
}

/* The backup of an owner that never received an earlier one must not replace that. */
static void
test_later_owner_adds_to_backup (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  fb_work_suspect earlier = { .step = 1 };
  fb_work_suspect later = { .step = 2 };
  const fb_suspects_backup backups[]
      = { { (char *) JOB, 3, { { 1, &earlier } } }, { (char *) JOB, 4, { { 1, &later } } } };
  fb_suspect_backups_put (self, &backups[0], NOW_MS);
  fb_suspect_backups_put (self, &backups[1], NOW_MS);
  CU_ASSERT_EQUAL (reported_suspects_n (self), 2);
  fb_suspect_backups_free (self);
}

/* ---- requests of a new owner ------------------------------------------------------------ */

static GPtrArray *members;      /* of FbDaemon, borrowed: the daemons that the owner knows */
static guint backup_requests_n; /* number of requests for backups of suspects */

const GPtrArray *__wrap_fb_daemons_all (const FbDaemons *self);
void __wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                              const fb_peer_request *peer_request, uint32_t timeout_ms,
                              FbPeerReplyDone done, gpointer user);

const GPtrArray *
__wrap_fb_daemons_all (const FbDaemons *self)
{
  (void) self;
  return members;
}

/* No daemon answers within the timeout. */
void
__wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                         const fb_peer_request *peer_request, uint32_t timeout_ms,
                         FbPeerReplyDone done, gpointer user)
{
  (void) entry;
  (void) address;
  (void) timeout_ms;
  backup_requests_n += peer_request->type == FB_REQUEST_SUSPECT_BACKUPS;
  done (user, NULL);
}

typedef struct
{
  FbEntrySettings settings;
  FbEntryDaemon entry;
  FbOwner owner;
  FbDaemon other;
} Daemon;

static void
daemon_init (Daemon *self)
{
  *self = (Daemon){ .settings = { .peers = (char *) OWN_ADDRESS },
                    .other = { .address = (char *) OTHER_ADDRESS } };
  self->entry.settings = &self->settings;
  self->entry.owners = g_hash_table_new (NULL, NULL);
  self->entry.recent_starts = fb_recent_starts_new ();
  self->entry.suspect_backups = fb_suspect_backups_new ();
  self->owner.entry = &self->entry;
  self->owner.epoch = 2;
  self->owner.service_pools = g_hash_table_new (g_str_hash, g_str_equal);
  self->owner.import_sources = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  members = g_ptr_array_new ();
}

static void
daemon_clear (Daemon *self)
{
  g_ptr_array_unref (members);
  g_hash_table_unref (self->owner.import_sources);
  g_hash_table_unref (self->owner.service_pools);
  fb_suspect_backups_free (self->entry.suspect_backups);
  fb_recent_starts_free (self->entry.recent_starts);
  g_hash_table_unref (self->entry.owners);
}

/* Crashes that only one daemon knows must not be lost because one answer of it is late. */
static void
test_backups_are_requested_again (void)
{
  Daemon self;
  daemon_init (&self);
  g_ptr_array_add (members, &self.other);
  fb_owner_request_starts (&self.owner, NOW_MS);
  CU_ASSERT_EQUAL (backup_requests_n, 1);
  fb_owner_request_starts (&self.owner, NOW_MS + REPEATED_MS);
  CU_ASSERT_EQUAL (backup_requests_n, 2);
  daemon_clear (&self);
}

/* An owner that joined a moment ago must ask the daemons that it learns of later. */
static void
test_backups_are_requested_from_later_members (void)
{
  Daemon self;
  daemon_init (&self);
  fb_owner_request_starts (&self.owner, NOW_MS);
  CU_ASSERT_EQUAL (backup_requests_n, 0);
  g_ptr_array_add (members, &self.other);
  fb_owner_request_starts (&self.owner, NOW_MS + REPEATED_MS);
  CU_ASSERT_EQUAL (backup_requests_n, 1);
  daemon_clear (&self);
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} cases[] = {
  { "start-on-a-worker-without-orders", test_start_on_worker_without_orders },
  { "running-workers-evict-no-others", test_running_workers_evict_no_others },
  { "later-owner-adds-to-backup", test_later_owner_adds_to_backup },
  { "backups-are-requested-again", test_backups_are_requested_again },
  { "backups-are-requested-from-later-members", test_backups_are_requested_from_later_members },
};

int
main (int argc, char **argv)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("lost crashes", NULL, NULL);
  for (guint i = 0; argc == 2 && i < G_N_ELEMENTS (cases); i++)
    {
      if (g_str_equal (argv[1], cases[i].name))
        CU_add_test (suite, cases[i].name, cases[i].run);
    }
  CU_basic_run_tests ();
  unsigned run_n = CU_get_number_of_tests_run ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  if (run_n == 0)
    fprintf (stderr, "usage: test-lost-crashes CASE\n");
  return run_n == 0 ? 2 : failures > 0;
}

/* Cancels of the jobs of a partition.
 *
 * A cancel holds for the id of a job, not for what is known of it at the moment: its submission may
 * still be on its way to the store, and a listing of the records delivers cancels before jobs.  So
 * a cancel of an unknown job is kept, in the store and here, and the job is cancelled as soon as it
 * is known, by this owner or a later one.  Meanwhile it is passed on to the other services to which
 * the job may have been submitted. */
#include "owner-private.h"

#include "src/entry/cancel-records.h"

#include "fb-counter.h"
#include "fb-event.h"

#include <string.h>

/* Interval at which kept cancels are checked for their age and for services to which they have not
 * been passed on, and the time after which this is done for new ones. */
#define CHECK_INTERVAL_MS 1000
#define FIRST_CHECK_MS 100
/* Number of cancels that one check passes on: each is an append. */
#define PASSED_ON_PER_CHECK 32

typedef enum
{
  PASSING = 1, /* it is being stored */
  PASSED_ON
} Passed;

typedef struct
{
  GBytes *value;
  uint64_t kept_ms;   /* when its last record was received */
  gboolean is_stored; /* it was read from the store, not only told by the daemon that stored it */
  GHashTable *passed_to; /* service -> Passed */
} KeptCancel;

static void
kept_cancel_free (gpointer data)
{
  KeptCancel *kept = data;
  g_bytes_unref (kept->value);
  g_hash_table_unref (kept->passed_to);
  g_free (kept);
}

/* Returns: job -> GPtrArray of KeptCancel, each of another account. */
GHashTable *
fb_owner_kept_cancels_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                (GDestroyNotify) g_ptr_array_unref);
}

static gboolean
is_passed_on (GBytes *cancel)
{
  gsize len = 0;
  const char *text = g_bytes_get_data (cancel, &len);
  return len > 0 && text[0] == FB_PASSED_CANCEL_PREFIX[0];
}

/* ---- deleting records ------------------------------------------------------------ */

/* KEY (transfer full) (nullable): of a record that is deleted soon. */
static void
delete_key (FbOwner *self, char *key)
{
  if (key != NULL)
    g_ptr_array_add (self->stale_keys, key);
}

void
fb_owner_delete_cancels (FbOwner *self, const char *job)
{
  GHashTableIter iter;
  gpointer value;
  delete_key (self, fb_cancel_key (job));
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPool *pool = ((FbServicePool *) value)->pool;
      delete_key (self, fb_cancel_account_key (job, fb_pool_job_account (pool, job)));
    }
}

/* KEY (transfer full) (nullable): of a record that is not deleted. */
static void
keep_key (FbOwner *self, char *key)
{
  guint at = 0;
  if (key != NULL && g_ptr_array_find_with_equal_func (self->stale_keys, key, g_str_equal, &at))
    g_ptr_array_remove_index_fast (self->stale_keys, at);
  g_free (key);
}

/* ---- applying -------------------------------------------------------------------- */

/* Returns: TRUE when a pool of the partition has JOB.  Its id has one record in the partition, so
 * that no other account can have a job of this id here. */
static gboolean
cancel_in_pools (FbOwner *self, const char *job, GBytes *cancel)
{
  gboolean is_known = FALSE;
  gboolean is_needed = FALSE; /* the record of the account, by a later owner */
  g_autofree char *account = fb_cancel_account (cancel);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPool *pool = ((FbServicePool *) value)->pool;
      fb_work_state state;
      if (!fb_pool_job_state (pool, job, &state))
        continue;
      is_known = TRUE;
      if (!fb_pool_job_is_visible (pool, job, account))
        continue;
      is_needed = is_needed || state < FB_WORK_COMPLETED;
      fb_pool_cancel_job (pool, job, fb_clock_ms (), fb_clock_wall_ms ());
    }
  if (is_known && !is_needed)
    delete_key (self, fb_cancel_account_key (job, account));
  return is_known;
}

/* SOURCE: where the owner has it from, for the log.
 * Returns: FALSE when the job is not known. */
static gboolean
apply_to_known_job (FbOwner *self, const char *job, GBytes *cancel, const char *source)
{
  FbHeldJob *held = fb_owner_held_job (self, job);
  if (held != NULL)
    fb_owner_hold_cancel (held, cancel);
  else if (!cancel_in_pools (self, job, cancel))
    return FALSE;
  fb_event_log (FB_EVENT_CANCEL_APPLIED, "job=%s held=%d source=%s epoch=%" G_GUINT64_FORMAT, job,
                held != NULL, source, self->epoch);
  return TRUE;
}

/* Returns: (nullable): the kept cancel of JOB by ACCOUNT, borrowed. */
static KeptCancel *
find_kept (const FbOwner *self, const char *job, const char *account)
{
  const GPtrArray *cancels = g_hash_table_lookup (self->kept_cancels, job);
  for (guint i = 0; cancels != NULL && i < cancels->len; i++)
    {
      KeptCancel *kept = cancels->pdata[i];
      g_autofree char *other = fb_cancel_account (kept->value);
      if (g_str_equal (account, other))
        return kept;
    }
  return NULL;
}

static KeptCancel *
add_kept (FbOwner *self, const char *job, GBytes *cancel)
{
  GPtrArray *cancels = g_hash_table_lookup (self->kept_cancels, job);
  if (cancels == NULL)
    {
      cancels = g_ptr_array_new_with_free_func (kept_cancel_free);
      g_hash_table_insert (self->kept_cancels, g_strdup (job), cancels);
    }
  KeptCancel *kept = g_new0 (KeptCancel, 1);
  kept->value = g_bytes_ref (cancel);
  kept->passed_to = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (cancels, kept);
  return kept;
}

/* Returns: the kept cancel of JOB by the account of CANCEL, borrowed. */
static KeptCancel *
keep (FbOwner *self, const char *job, GBytes *cancel, const char *source)
{
  g_autofree char *account = fb_cancel_account (cancel);
  KeptCancel *kept = find_kept (self, job, account);
  if (kept == NULL)
    {
      fb_counter_add (FB_COUNTER_CANCELS_KEPT, 1);
      fb_event_log (FB_EVENT_CANCEL_KEPT, "job=%s source=%s epoch=%" G_GUINT64_FORMAT, job, source,
                    self->epoch);
      kept = add_kept (self, job, cancel);
      /* They may be due to be deleted with an earlier cancel, or an earlier job of this id. */
      keep_key (self, fb_cancel_key (job));
      keep_key (self, fb_cancel_account_key (job, account));
    }
  /* What another owner has passed on is passed on no further, unlike the caller's own record. */
  else if (!is_passed_on (cancel))
    {
      GBytes *previous = kept->value;
      kept->value = g_bytes_ref (cancel);
      g_bytes_unref (previous);
    }
  kept->kept_ms = fb_clock_ms ();
  return kept;
}

void
fb_owner_apply_cancel (FbOwner *self, const char *name, GBytes *cancel)
{
  g_autofree char *job = g_strndup (name, FB_WORK_JOB_ID_CHARS);
  if (!apply_to_known_job (self, job, cancel, "notice"))
    (void) keep (self, job, cancel, "notice");
}

void
fb_owner_apply_stored_cancel (FbOwner *self, const char *name, GBytes *cancel)
{
  g_autofree char *job = g_strndup (name, FB_WORK_JOB_ID_CHARS);
  if (apply_to_known_job (self, job, cancel, "store"))
    return;
  keep (self, job, cancel, "store")->is_stored = TRUE;
  self->next_cancel_check_ms = MIN (self->next_cancel_check_ms, fb_clock_ms () + FIRST_CHECK_MS);
}

void
fb_owner_apply_kept_cancel (FbOwner *self, const char *job)
{
  GPtrArray *cancels = g_hash_table_lookup (self->kept_cancels, job);
  for (guint i = cancels != NULL ? cancels->len : 0; i > 0; i--)
    {
      const KeptCancel *kept = cancels->pdata[i - 1];
      if (apply_to_known_job (self, job, kept->value, "kept"))
        g_ptr_array_remove_index (cancels, i - 1);
    }
  if (cancels != NULL && cancels->len == 0)
    g_hash_table_remove (self->kept_cancels, job);
}

void
fb_owner_cancel_deleted (FbOwner *self, const char *name)
{
  g_autofree char *job = g_strndup (name, FB_WORK_JOB_ID_CHARS);
  g_autofree char *key = fb_cancel_key (job);
  const GPtrArray *cancels = g_hash_table_lookup (self->kept_cancels, job);
  for (guint i = 0; cancels != NULL && i < cancels->len; i++)
    fb_owner_store_record (self->entry, self->partition, key,
                           ((const KeptCancel *) cancels->pdata[i])->value, fb_owner_ignore_stored,
                           NULL);
}

/* ---- passing on --------------------------------------------------------------------- */

/* A kept cancel that is being stored for another service. */
typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
  char *job;
  char *service;
  char *account;
} Passing;

static void
on_passed_on (gpointer data, FbAppendResult result)
{
  Passing *passing = data;
  FbOwner *owner = fb_entry_owner (passing->entry, passing->partition);
  KeptCancel *kept = owner != NULL && owner->epoch == passing->epoch
                         ? find_kept (owner, passing->job, passing->account)
                         : NULL;
  if (kept != NULL && result == FB_APPEND_STORED)
    g_hash_table_replace (kept->passed_to, g_strdup (passing->service),
                          GUINT_TO_POINTER (PASSED_ON));
  else if (kept != NULL)
    g_hash_table_remove (kept->passed_to, passing->service);
  g_free (passing->job);
  g_free (passing->service);
  g_free (passing->account);
  g_free (passing);
}

void
fb_owner_pass_on_cancel (FbOwner *self, const char *job, GBytes *cancel, const char *service,
                         FbAppendDone done, gpointer user)
{
  g_autofree char *account = fb_cancel_account (cancel);
  g_autofree char *passed_on = g_strconcat (FB_PASSED_CANCEL_PREFIX, account, NULL);
  g_autofree char *key = fb_cancel_key (job);
  g_autoptr (GBytes) value = g_bytes_new (passed_on, strlen (passed_on));
  uint32_t partition = fb_entry_partition_of (self->entry, service);
  fb_event_log (FB_EVENT_CANCEL_PASSED_ON, "job=%s service=%s", job, service);
  if (partition != self->partition)
    {
      fb_owner_store_record (self->entry, partition, key, value, done, user);
      return;
    }
  (void) cancel_in_pools (self, job, cancel);
  done (user, FB_APPEND_STORED);
}

static void
pass_on (FbOwner *self, const char *job, KeptCancel *kept, const char *service)
{
  g_hash_table_replace (kept->passed_to, g_strdup (service), GUINT_TO_POINTER (PASSING));
  Passing *passing = g_new0 (Passing, 1);
  passing->entry = self->entry;
  passing->partition = self->partition;
  passing->epoch = self->epoch;
  passing->job = g_strdup (job);
  passing->service = g_strdup (service);
  passing->account = fb_cancel_account (kept->value);
  g_autoptr (GBytes) cancel = g_bytes_ref (kept->value);
  fb_owner_pass_on_cancel (self, job, cancel, service, on_passed_on, passing);
}

gboolean
fb_owner_pass_on_kept_cancel (FbOwner *self, const char *job, const char *service)
{
  gboolean are_passed_on = TRUE;
  const GPtrArray *cancels = g_hash_table_lookup (self->kept_cancels, job);
  for (guint i = 0; cancels != NULL && i < cancels->len; i++)
    {
      KeptCancel *kept = cancels->pdata[i];
      if (!g_hash_table_contains (kept->passed_to, service))
        pass_on (self, job, kept, service);
      guint passed = GPOINTER_TO_UINT (g_hash_table_lookup (kept->passed_to, service));
      are_passed_on = are_passed_on && passed == PASSED_ON;
    }
  return are_passed_on;
}

/* Returns: (transfer full): the services that share a queue with one of this partition, which need
 * not have a pool here any more; a set of char *. */
static GHashTable *
other_services (const FbOwner *self)
{
  const FbQueueDirectory *directory = fb_entry_queue_directory (self->entry);
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GPtrArray) services = fb_queue_directory_all_services (directory);
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < services->len; i++)
    {
      const char *service = services->pdata[i];
      if (fb_entry_partition_of (self->entry, service) != self->partition
          || !g_hash_table_add (seen, (char *) service))
        continue;
      g_autoptr (GHashTable) others = fb_queue_directory_sharing (directory, service);
      GHashTableIter iter;
      gpointer other;
      g_hash_table_iter_init (&iter, others);
      while (g_hash_table_iter_next (&iter, &other, NULL))
        g_hash_table_add (names, g_strdup (other));
    }
  return names;
}

/* Returns: the number of services to which the cancel was passed on. */
static guint
pass_on_to (FbOwner *self, const char *job, KeptCancel *kept, GHashTable *services)
{
  if (!kept->is_stored || is_passed_on (kept->value))
    return 0;
  guint n = 0;
  GHashTableIter iter;
  gpointer service;
  g_hash_table_iter_init (&iter, services);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    {
      if (g_hash_table_contains (kept->passed_to, service))
        continue;
      pass_on (self, job, kept, service);
      n++;
    }
  return n;
}

static void
pass_on_to_all (FbOwner *self, uint64_t now_ms)
{
  if (!fb_queue_directory_is_known (fb_entry_queue_directory (self->entry)))
    return;
  g_autoptr (GHashTable) services = other_services (self);
  if (g_hash_table_size (services) == 0)
    return;
  guint n = 0;
  GHashTableIter cancels;
  gpointer job;
  gpointer value;
  g_hash_table_iter_init (&cancels, self->kept_cancels);
  while (n < PASSED_ON_PER_CHECK && g_hash_table_iter_next (&cancels, &job, &value))
    {
      const GPtrArray *kept = value;
      for (guint i = 0; i < kept->len; i++)
        n += pass_on_to (self, job, kept->pdata[i], services);
    }
  if (n >= PASSED_ON_PER_CHECK)
    self->next_cancel_check_ms = now_ms + FIRST_CHECK_MS;
}

/* ---- expiry --------------------------------------------------------------------------- */

static void
remove_expired_of (FbOwner *self, const char *job, GPtrArray *cancels, uint64_t now_ms)
{
  for (guint i = cancels->len; i > 0; i--)
    {
      const KeptCancel *kept = cancels->pdata[i - 1];
      if (!kept->is_stored || now_ms < kept->kept_ms + FB_POOL_ENDED_JOB_RETENTION_MS)
        continue;
      g_autofree char *account = fb_cancel_account (kept->value);
      delete_key (self, fb_cancel_account_key (job, account));
      g_ptr_array_remove_index (cancels, i - 1);
    }
}

static void
remove_expired (FbOwner *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer job;
  gpointer value;
  g_hash_table_iter_init (&iter, self->kept_cancels);
  while (g_hash_table_iter_next (&iter, &job, &value))
    {
      GPtrArray *cancels = value;
      remove_expired_of (self, job, cancels, now_ms);
      if (cancels->len > 0)
        continue;
      delete_key (self, fb_cancel_key (job));
      g_hash_table_iter_remove (&iter);
    }
}

void
fb_owner_check_kept_cancels (FbOwner *self, gboolean is_confirmed, uint64_t now_ms)
{
  if (g_hash_table_size (self->kept_cancels) == 0 || now_ms < self->next_cancel_check_ms)
    return;
  self->next_cancel_check_ms = now_ms + CHECK_INTERVAL_MS;
  /* A process that was suspended must not delete what its successor keeps. */
  if (is_confirmed)
    remove_expired (self, now_ms);
  pass_on_to_all (self, now_ms);
}

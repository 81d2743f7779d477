/* Cancels of the jobs of a partition.
 *
 * A cancel holds for the id of a job, not for what is known of it at the moment: its submission may
 * still be on its way to the store, and a listing of the records delivers cancels before jobs.  So
 * a cancel of an unknown job is kept, in the store and here, and the job is cancelled as soon as it
 * is known, by this owner or a later one.  Meanwhile it is passed on to the other services to which
 * the job may have been submitted. */
#include "owner-private.h"

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

GHashTable *
fb_owner_kept_cancels_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, kept_cancel_free);
}

/* ---- records ------------------------------------------------------------------- */

/* Returns: (transfer full): the account of the caller that sent CANCEL. */
static char *
account_of (GBytes *cancel)
{
  gsize len = 0;
  const char *text = g_bytes_get_data (cancel, &len);
  gsize prefix_len = MIN (len, strlen (FB_CANCEL_PREFIX));
  return g_strndup (text + prefix_len, len - prefix_len);
}

static gboolean
is_passed_on (GBytes *cancel)
{
  gsize len = 0;
  const char *text = g_bytes_get_data (cancel, &len);
  return len > 0 && text[0] == FB_PASSED_CANCEL_PREFIX[0];
}

char *
fb_owner_cancel_key (const char *job)
{
  return g_strdup_printf ("%c%s", FB_KEY_CANCEL, job);
}

/* ---- applying -------------------------------------------------------------------- */

/* Returns: TRUE when a pool of the partition has a job of this id that the sender of CANCEL may
 * see; other accounts may use the same id. */
static gboolean
cancel_in_pools (FbOwner *self, const char *job, GBytes *cancel)
{
  gboolean is_known = FALSE;
  g_autofree char *account = account_of (cancel);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPool *pool = ((FbServicePool *) value)->pool;
      fb_work_state state;
      if (!fb_pool_job_state (pool, job, &state) || !fb_pool_job_is_visible (pool, job, account))
        continue;
      is_known = TRUE;
      fb_pool_cancel_job (pool, job, fb_clock_ms (), fb_clock_wall_ms ());
    }
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

static gboolean
is_key (gconstpointer a, gconstpointer b)
{
  return g_str_equal (a, b);
}

/* Prevents that the record of a kept cancel is deleted with those of an earlier one, or of an
 * earlier job of this id. */
static void
keep_record (FbOwner *self, const char *job)
{
  g_autofree char *key = fb_owner_cancel_key (job);
  guint at = 0;
  if (g_ptr_array_find_with_equal_func (self->stale_keys, key, is_key, &at))
    g_ptr_array_remove_index_fast (self->stale_keys, at);
}

static KeptCancel *
keep (FbOwner *self, const char *job, GBytes *cancel, const char *source)
{
  KeptCancel *kept = g_hash_table_lookup (self->kept_cancels, job);
  if (kept == NULL)
    {
      fb_counter_add (FB_COUNTER_CANCELS_KEPT, 1);
      fb_event_log (FB_EVENT_CANCEL_KEPT, "job=%s source=%s epoch=%" G_GUINT64_FORMAT, job, source,
                    self->epoch);
      kept = g_new0 (KeptCancel, 1);
      kept->value = g_bytes_ref (cancel);
      kept->passed_to = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (self->kept_cancels, g_strdup (job), kept);
      keep_record (self, job);
    }
  /* What another owner has passed on is passed on no further, unlike the caller's own record. */
  else if (!is_passed_on (cancel))
    {
      g_bytes_unref (kept->value);
      kept->value = g_bytes_ref (cancel);
    }
  kept->kept_ms = fb_clock_ms ();
  return kept;
}

void
fb_owner_apply_cancel (FbOwner *self, const char *job, GBytes *cancel)
{
  if (!apply_to_known_job (self, job, cancel, "notice"))
    (void) keep (self, job, cancel, "notice");
}

void
fb_owner_apply_stored_cancel (FbOwner *self, const char *job, GBytes *cancel)
{
  if (apply_to_known_job (self, job, cancel, "store"))
    return;
  keep (self, job, cancel, "store")->is_stored = TRUE;
  self->next_cancel_check_ms = MIN (self->next_cancel_check_ms, fb_clock_ms () + FIRST_CHECK_MS);
}

void
fb_owner_apply_kept_cancel (FbOwner *self, const char *job)
{
  const KeptCancel *kept = g_hash_table_lookup (self->kept_cancels, job);
  if (kept != NULL && apply_to_known_job (self, job, kept->value, "kept"))
    g_hash_table_remove (self->kept_cancels, job);
}

void
fb_owner_cancel_deleted (FbOwner *self, const char *job)
{
  const KeptCancel *kept = g_hash_table_lookup (self->kept_cancels, job);
  if (kept == NULL)
    return;
  g_autofree char *key = fb_owner_cancel_key (job);
  fb_owner_store_record (self->entry, self->partition, key, kept->value, fb_owner_ignore_stored,
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
} Passing;

static void
on_passed_on (gpointer data, FbAppendResult result)
{
  Passing *passing = data;
  FbOwner *owner = fb_entry_owner (passing->entry, passing->partition);
  KeptCancel *kept = owner != NULL && owner->epoch == passing->epoch
                         ? g_hash_table_lookup (owner->kept_cancels, passing->job)
                         : NULL;
  if (kept != NULL && result == FB_APPEND_STORED)
    g_hash_table_replace (kept->passed_to, g_strdup (passing->service),
                          GUINT_TO_POINTER (PASSED_ON));
  else if (kept != NULL)
    g_hash_table_remove (kept->passed_to, passing->service);
  g_free (passing->job);
  g_free (passing->service);
  g_free (passing);
}

void
fb_owner_pass_on_cancel (FbOwner *self, const char *job, GBytes *cancel, const char *service,
                         FbAppendDone done, gpointer user)
{
  g_autofree char *account = account_of (cancel);
  g_autofree char *passed_on = g_strconcat (FB_PASSED_CANCEL_PREFIX, account, NULL);
  g_autofree char *key = fb_owner_cancel_key (job);
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
  g_autoptr (GBytes) cancel = g_bytes_ref (kept->value);
  fb_owner_pass_on_cancel (self, job, cancel, service, on_passed_on, passing);
}

gboolean
fb_owner_pass_on_kept_cancel (FbOwner *self, const char *job, const char *service)
{
  KeptCancel *kept = g_hash_table_lookup (self->kept_cancels, job);
  if (kept == NULL)
    return TRUE;
  if (!g_hash_table_contains (kept->passed_to, service))
    pass_on (self, job, kept, service);
  return GPOINTER_TO_UINT (g_hash_table_lookup (kept->passed_to, service)) == PASSED_ON;
}

/* Returns: (transfer full): the services that share a queue with one of this partition, a set of
 * char *. */
static GHashTable *
other_services (const FbOwner *self)
{
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer service;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    {
      g_autoptr (GHashTable) others
          = fb_queue_directory_sharing (fb_entry_queue_directory (self->entry), service);
      GHashTableIter other_iter;
      gpointer other;
      g_hash_table_iter_init (&other_iter, others);
      while (g_hash_table_iter_next (&other_iter, &other, NULL))
        g_hash_table_add (names, g_strdup (other));
    }
  return names;
}

/* Returns: the number of services to which the cancel was passed on. */
static guint
pass_on_to (FbOwner *self, const char *job, KeptCancel *kept, GHashTable *services)
{
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
      KeptCancel *kept = value;
      if (kept->is_stored && !is_passed_on (kept->value))
        n += pass_on_to (self, job, kept, services);
    }
  if (n >= PASSED_ON_PER_CHECK)
    self->next_cancel_check_ms = now_ms + FIRST_CHECK_MS;
}

/* ---- expiry --------------------------------------------------------------------------- */

static void
remove_expired (FbOwner *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer job;
  gpointer value;
  g_hash_table_iter_init (&iter, self->kept_cancels);
  while (g_hash_table_iter_next (&iter, &job, &value))
    {
      const KeptCancel *kept = value;
      if (!kept->is_stored || now_ms < kept->kept_ms + FB_POOL_ENDED_JOB_RETENTION_MS)
        continue;
      g_ptr_array_add (self->stale_keys, fb_owner_cancel_key (job));
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

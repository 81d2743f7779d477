/* Gangs: all members of a job start, or none.
 *
 * Members first reserve capacity and start only when all of them have a reservation. Two gangs
 * that each hold capacity that the other one needs would deadlock. A gang therefore reserves on
 * one rack after another, in ascending order of rack ids, and sends its members to the next rack
 * only after the previous one has granted all its reservations. A gang can then only wait for a
 * rack with a higher id, so no cycle of waits can form. Within a rack, gangs are queued by
 * arrival and served before batch work, so small tasks cannot starve a gang.
 *
 * Reserved capacity is idle. This is limited in two ways: a gang that has not reserved for all
 * members within FB_RANGE_GANG_RESERVE_MS gives up its reservations and tries again later, and a
 * rack drops a reservation that its range no longer queries.
 *
 * The commit is not atomic across racks: if the owner of a rack changed between reservation and
 * commit, the reservation is lost. The gang is then broken up: members that have started are
 * stopped, and all members try again together. */
#include "internal/range-private.h"

#define RESERVE_RETRY_MS 1000

static int
compare_rack (gconstpointer a, gconstpointer b)
{
  const FbJobTask *x = *(FbJobTask *const *) a;
  const FbJobTask *y = *(FbJobTask *const *) b;
  if (x->rack != y->rack)
    return x->rack < y->rack ? -1 : 1;
  return (x->index > y->index) - (x->index < y->index);
}

static guint
active_members (const FbJob *job)
{
  return job->state_n[FB_JOB_TASK_INTENT] + job->state_n[FB_JOB_TASK_PLACED]
         + job->state_n[FB_JOB_TASK_RESERVED] + job->state_n[FB_JOB_TASK_RUNNING]
         + job->state_n[FB_JOB_TASK_ENDING];
}

static void
retry_later (FbRange *self, uint64_t now_ms, FbJob *job)
{
  uint64_t at_ms = now_ms + RESERVE_RETRY_MS / 2
                   + (uint64_t) g_rand_int_range (self->rand, 0, RESERVE_RETRY_MS);
  for (guint i = 0; i < job->task_n; i++)
    {
      if (job->tasks[i].state == FB_JOB_TASK_WAITING)
        fb_range_set_timer (self, &job->tasks[i], MIN (at_ms, job->due_ms));
    }
}

/* Chooses a rack for each waiting member. Each choice is taken into account when the next member
 * is spread. Returns: FALSE if there is no rack for some member. */
static gboolean
choose_racks (FbRange *self, uint64_t now_ms, FbJob *job)
{
  g_autoptr (GArray) chosen = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  gboolean found = TRUE;
  for (guint i = 0; i < job->task_n && found; i++)
    {
      FbJobTask *task = &job->tasks[i];
      if (task->state != FB_JOB_TASK_WAITING)
        continue;
      found = fb_range_choose_rack (self, now_ms, task);
      if (!found)
        break;
      fb_job_count_rack (job, task->rack, 1);
      g_array_append_val (chosen, task->rack);
    }
  for (guint i = 0; i < chosen->len; i++)
    fb_job_count_rack (job, g_array_index (chosen, uint32_t, i), -1);
  return found;
}

/* Returns: TRUE if a member has ended without completing, so that the gang can never be complete
 * again. */
static gboolean
has_failed (const FbJob *job)
{
  return job->state_n[FB_JOB_TASK_DONE] > job->outcome_n[FB_OUTCOME_COMPLETED];
}

static void
end_waiting (FbRange *self, FbJob *job)
{
  for (guint i = 0; i < job->task_n; i++)
    {
      FbJobTask *task = &job->tasks[i];
      if (task->state == FB_JOB_TASK_WAITING)
        fb_range_end_task (self, task,
                           task->started_count > 0 ? FB_OUTCOME_UNKNOWN : FB_OUTCOME_NOT_RUN,
                           FB_REASON_CANCELLED, NULL, 0);
    }
}

void
fb_gang_reserve (FbRange *self, uint64_t now_ms, FbJob *job)
{
  if (has_failed (job))
    {
      end_waiting (self, job);
      return;
    }
  if (active_members (job) > 0)
    {
      retry_later (self, now_ms, job);
      return;
    }
  job->committed = FALSE;
  if (!choose_racks (self, now_ms, job))
    {
      retry_later (self, now_ms, job);
      return;
    }
  for (guint i = 0; i < job->task_n; i++)
    {
      if (job->tasks[i].state == FB_JOB_TASK_WAITING)
        fb_range_add_intent (self, &job->tasks[i]);
    }
  job->reserve_until_ms = now_ms + FB_RANGE_GANG_RESERVE_MS;
}

static void
commit (FbRange *self, uint64_t now_ms, FbJob *job)
{
  job->committed = TRUE;
  for (guint i = 0; i < job->task_n; i++)
    {
      FbJobTask *task = &job->tasks[i];
      if (task->state != FB_JOB_TASK_RESERVED)
        continue;
      fb_range_send_command (self, task, FB_MSG_COMMIT, FALSE);
      fb_range_set_timer (self, task, now_ms + FB_RANGE_QUERY_MS / 4);
    }
}

/* Sends the members for the next rack, in order of rack ids, once all lower racks have
 * granted their reservations; commits when all racks have. */
void
fb_gang_advance (FbRange *self, uint64_t now_ms, FbJob *job)
{
  if (job->cancelled || job->due_ms <= now_ms)
    {
      fb_gang_break (self, now_ms, job);
      return;
    }
  if (job->state_n[FB_JOB_TASK_WAITING] + job->state_n[FB_JOB_TASK_INTENT] > 0)
    return;
  g_autoptr (GPtrArray) members = g_ptr_array_new ();
  for (guint i = 0; i < job->task_n; i++)
    {
      if (job->tasks[i].state == FB_JOB_TASK_PLACED)
        g_ptr_array_add (members, &job->tasks[i]);
    }
  if (members->len == 0)
    {
      if (job->state_n[FB_JOB_TASK_RESERVED] > 0)
        commit (self, now_ms, job);
      return;
    }
  g_ptr_array_sort (members, compare_rack);
  uint32_t rack = ((FbJobTask *) g_ptr_array_index (members, 0))->rack;
  for (guint i = 0; i < members->len; i++)
    {
      FbJobTask *task = g_ptr_array_index (members, i);
      if (task->rack == rack && !task->sent)
        fb_range_send_place (self, now_ms, task);
    }
  /* A member that could not be sent would block the rest of the gang forever. */
  if (job->state_n[FB_JOB_TASK_WAITING] > 0)
    fb_gang_break (self, now_ms, job);
}

void
fb_gang_break (FbRange *self, uint64_t now_ms, FbJob *job)
{
  job->committed = FALSE;
  for (guint i = 0; i < job->task_n; i++)
    {
      FbJobTask *task = &job->tasks[i];
      if (task->state == FB_JOB_TASK_PLACED && !task->sent)
        fb_range_retry_task (self, now_ms, task, TRUE);
      else if (task->state == FB_JOB_TASK_PLACED || task->state == FB_JOB_TASK_RESERVED
               || task->state == FB_JOB_TASK_RUNNING)
        {
          /* The member is still queued although the rack's summary showed free capacity: avoid
           * this rack next time. */
          if (task->state == FB_JOB_TASK_PLACED)
            task->avoid_rack = task->rack;
          fb_range_send_command (self, task, FB_MSG_WITHDRAW, TRUE);
          fb_range_set_timer (self, task, now_ms + FB_RANGE_QUERY_MS);
        }
    }
}

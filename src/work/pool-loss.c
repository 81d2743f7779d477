/* Lost workers, and the runs that ended with them. */
#include "internal/pool-crash.h"

#include "fb-event.h"

static const char *const loss_names[] = { "lease ended", "other life" };

/* Logs what is known of WORKER, so that the evidence for its loss can be compared with what it did.
 */
static void
log_loss (const FbPool *self, const FbPoolWorker *worker, const char *why, const char *proof,
          uint64_t now_ms)
{
  uint64_t lease_ms = fb_pool_worker_lease_remaining_ms (self, worker, now_ms);
  g_autofree char *lease
      = lease_ms != G_MAXUINT64 ? g_strdup_printf ("%" G_GUINT64_FORMAT, lease_ms) : NULL;
  fb_event_log (FB_EVENT_POOL_WORKER_LOST,
                "worker=%s why=\"%s\" runs=%u heard_ms_ago=%u epoch=%" G_GUINT64_FORMAT
                " owned_ms=%u answered=%d listed=%d poll=%s lease_left_ms=%s proof=\"%s\"",
                worker->id, why, g_hash_table_size (worker->runs),
                worker->last_answer_ms != 0 ? (guint) (now_ms - worker->last_answer_ms) : 0,
                self->epoch, (guint) (now_ms - self->created_ms), worker->answered, worker->listed,
                fb_order_result_name (worker->poll_result), lease != NULL ? lease : "unknown",
                proof);
}

/* Returns: the evidence for LOSS, as a text for the log; borrowed. */
static const char *
proof_of_loss (const FbPool *self, const FbPoolWorker *worker, FbPoolLoss loss,
               const FbPoolWorker *next)
{
  if (loss == FB_LOSS_LEASE_ENDED)
    return fb_pool_worker_lease_bound (self, worker);
  return next != NULL ? next->id : "status 421";
}

static void
end_run (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, const char *why, guint runs_n,
         uint64_t now_ms)
{
  fb_pool_restart_count_crash (self, run, now_ms);
  fb_event_log (FB_EVENT_TASK_LOST,
                "task=%s attempt=%u worker=%s why=\"%s\" seen=%d ran_ms=%u beside=%u"
                " epoch=%" G_GUINT64_FORMAT,
                run->name, run->attempt, worker->id, why, run->seen_clock_ms > 0,
                (guint) (now_ms - run->started_ms), runs_n - 1, self->epoch);
  fb_pool_run_ended (self, worker, run, why, now_ms);
}

/* Ends the runs on WORKER, whose own leases have ended, except those that are or may be on a later
 * incarnation. */
static void
end_runs (FbPool *self, FbPoolWorker *worker, FbPoolLoss loss, FbPoolWorker *next, uint64_t now_ms)
{
  g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
  guint runs_n = g_list_length (runs);
  for (GList *l = runs; l != NULL; l = l->next)
    {
      FbPoolRun *run = l->data;
      FbPoolStep *step = run->step;
      gboolean goes_on = FALSE;
      if (next != NULL)
        goes_on = fb_pool_restart_transfer (self, worker, run, next, now_ms);
      else if (loss == FB_LOSS_LEASE_ENDED)
        goes_on = now_ms <= fb_pool_lease_end_of_start_ms (self, worker, run);
      if (!goes_on)
        end_run (self, worker, run, loss_names[loss], runs_n, now_ms);
      if (step != NULL && step->spec->gang)
        fb_pool_stop_gang (self, step, now_ms);
    }
}

void
fb_pool_loss_end_remaining_runs (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->runs_ended && g_hash_table_size (worker->runs) > 0)
    end_runs (self, worker, FB_LOSS_LEASE_ENDED, NULL, now_ms);
}

void
fb_pool_worker_lost (FbPool *self, FbPoolWorker *worker, FbPoolLoss loss, FbPoolWorker *next,
                     uint64_t now_ms)
{
  worker->replaced = worker->replaced || loss == FB_LOSS_OTHER_INCARNATION;
  if (worker->runs_ended && loss == FB_LOSS_OTHER_INCARNATION)
    {
      fb_pool_unresolved_loss_resolve (self, worker->id, !worker->draining, now_ms);
      end_runs (self, worker, loss, next, now_ms);
    }
  if (worker->runs_ended)
    return;
  log_loss (self, worker, loss_names[loss], proof_of_loss (self, worker, loss, next), now_ms);
  worker->runs_ended = TRUE;
  worker->answered = FALSE;
  fb_pool_awaiting_starts_withdraw (self, worker, now_ms);
  fb_pool_crash_worker_lost (self, worker, loss, next, now_ms);
  end_runs (self, worker, loss, next, now_ms);
}

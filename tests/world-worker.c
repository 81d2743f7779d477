#include "world-worker.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  fb_spec spec;
  gboolean ended;
  FbRunStatus run_status;
  uint64_t end_ms; /* planned end by the worker's clock; G_MAXUINT64: none */
  char answer[64];
} Run;

struct _Worker
{
  guint id;
  fb_res capacity;
  Oracle *oracle;
  uint64_t clock_offset_ms;
  uint64_t incarnation;
  uint64_t epoch;
  uint64_t seq;
  uint64_t lease_until_ms;
  gboolean frozen;
  gboolean runs_fail; /* every run fails */
  guint usage_percent;
  guint64 ends_version; /* incremented at each end of a run */
  guint64 list_version; /* incremented when the reported list of runs changes */
  GPtrArray *runs;
};

struct _WorkerReply
{
  FbSyncReply view;
  GArray *runs; /* FbSyncRun */
  GPtrArray *texts;
};

const FbSyncReply *
worker_reply_view (const WorkerReply *self)
{
  return &self->view;
}

void
worker_reply_free (WorkerReply *self)
{
  g_array_free (self->runs, TRUE);
  g_ptr_array_free (self->texts, TRUE);
  g_free (self);
}

Worker *
worker_new (guint id, const fb_res *capacity, Oracle *oracle, uint64_t now_ms,
            uint64_t clock_offset_ms)
{
  Worker *self = g_new0 (Worker, 1);
  self->id = id;
  self->capacity = *capacity;
  self->oracle = oracle;
  self->clock_offset_ms = clock_offset_ms;
  self->incarnation = now_ms + id;
  self->runs = g_ptr_array_new_with_free_func (g_free);
  self->list_version = 1;
  return self;
}

void
worker_free (Worker *self)
{
  g_ptr_array_free (self->runs, TRUE);
  g_free (self);
}

static uint64_t
worker_clock_ms (const Worker *self, uint64_t now_ms)
{
  return now_ms + self->clock_offset_ms;
}

static Run *
find_run (const Worker *self, const fb_run *id)
{
  for (guint i = 0; i < self->runs->len; i++)
    {
      Run *run = g_ptr_array_index (self->runs, i);
      if (fb_run_equal (&run->spec.run, id))
        return run;
    }
  return NULL;
}

static void
end_run (Worker *self, uint64_t now_ms, Run *run, FbRunStatus run_status)
{
  run->ended = TRUE;
  self->ends_version++;
  self->list_version++;
  run->run_status = run_status;
  oracle_end (self->oracle, now_ms, self->id, &run->spec, run_status);
}

static void
expire_lease (Worker *self, uint64_t now_ms)
{
  if (self->lease_until_ms == 0 || worker_clock_ms (self, now_ms) <= self->lease_until_ms)
    return;
  for (guint i = 0; i < self->runs->len; i++)
    {
      Run *run = g_ptr_array_index (self->runs, i);
      if (!run->ended)
        end_run (self, now_ms, run, FB_RUN_STATUS_LOST);
    }
}

static gboolean
start_run (Worker *self, uint64_t now_ms, const fb_spec *spec)
{
  Run *run = g_new0 (Run, 1);
  run->spec = *spec;
  run->spec.payload.payload_val = NULL;
  run->spec.payload.payload_len = 0;
  uint64_t run_ms = spec->run_ms;
  run->end_ms
      = spec->kind == FB_KIND_SERVICE ? G_MAXUINT64 : worker_clock_ms (self, now_ms) + run_ms;
  oracle_answer_text (&spec->run, run->answer, sizeof run->answer);
  g_ptr_array_add (self->runs, run);
  self->list_version++;
  oracle_start (self->oracle, now_ms, self->id, &self->capacity, spec);
  if (self->runs_fail)
    end_run (self, now_ms, run, FB_RUN_STATUS_FAILED);
  return TRUE;
}

static void
add_reply_run (const Worker *self, WorkerReply *reply, const Run *run)
{
  FbSyncRun out = { .spec = run->spec };
  out.state = run->ended ? FB_SYNC_ENDED : FB_SYNC_LIVE;
  out.run_status = run->run_status;
  out.usage = run->spec.demand;
  for (guint r = 0; r < FB_RES_N && self->usage_percent > 0; r++)
    out.usage.amount[r] = out.usage.amount[r] * self->usage_percent / 100;
  if (run->ended && run->run_status == FB_RUN_STATUS_COMPLETED)
    {
      char *text = g_strdup (run->answer);
      g_ptr_array_add (reply->texts, text);
      out.answer = text;
      out.answer_len = (uint32_t) strlen (text);
    }
  g_array_append_val (reply->runs, out);
}

static WorkerReply *
reply_new (const Worker *self, uint64_t now_ms)
{
  WorkerReply *reply = g_new0 (WorkerReply, 1);
  reply->runs = g_array_new (FALSE, TRUE, sizeof (FbSyncRun));
  reply->texts = g_ptr_array_new_with_free_func (g_free);
  reply->view.epoch = self->epoch;
  reply->view.seq = self->seq;
  reply->view.clock_ms = worker_clock_ms (self, now_ms);
  reply->view.incarnation = self->incarnation;
  return reply;
}

static void
finish_reply (const Worker *self, WorkerReply *reply)
{
  for (guint i = 0; i < self->runs->len; i++)
    add_reply_run (self, reply, g_ptr_array_index (self->runs, i));
  reply->view.runs = (const FbSyncRun *) (void *) reply->runs->data;
  reply->view.run_n = reply->runs->len;
}

static void
handle_starts (Worker *self, uint64_t now_ms, const FbSyncRequest *request, WorkerReply *reply)
{
  if (request->incarnation != self->incarnation)
    return;
  for (guint i = 0; i < request->starts->len; i++)
    {
      const fb_spec *spec = g_ptr_array_index (request->starts, i);
      if (find_run (self, &spec->run) != NULL)
        continue;
      if (worker_clock_ms (self, now_ms) > g_array_index (request->start_by_ms, uint64_t, i))
        {
          self->list_version++;
          FbSyncRun refused = { .spec = *spec, .state = FB_SYNC_REFUSED };
          g_array_append_val (reply->runs, refused);
          continue;
        }
      start_run (self, now_ms, spec);
    }
}

WorkerReply *
worker_handle (Worker *self, uint64_t now_ms, const FbSyncRequest *request)
{
  expire_lease (self, now_ms);
  if (request->epoch < self->epoch)
    {
      WorkerReply *reply = reply_new (self, now_ms);
      reply->view.fenced = TRUE;
      return reply;
    }
  if (request->epoch == self->epoch && request->seq <= self->seq)
    return NULL;
  self->epoch = request->epoch;
  self->seq = request->seq;
  self->lease_until_ms = MAX (self->lease_until_ms, request->lease_until_ms);
  expire_lease (self, now_ms);
  for (guint i = 0; i < request->acks->len; i++)
    {
      Run *run = find_run (self, &g_array_index (request->acks, fb_run, i));
      if (run != NULL && run->ended)
        {
          g_ptr_array_remove (self->runs, run);
          self->list_version++;
        }
    }
  for (guint i = 0; i < request->stops->len; i++)
    {
      Run *run = find_run (self, &g_array_index (request->stops, FbSyncStop, i).run);
      if (run != NULL && !run->ended)
        end_run (self, now_ms, run, FB_RUN_STATUS_STOPPED);
    }
  WorkerReply *reply = reply_new (self, now_ms);
  handle_starts (self, now_ms, request, reply);
  reply->view.version = self->list_version;
  reply->view.unchanged
      = request->incarnation == self->incarnation && request->known_version == self->list_version;
  if (!reply->view.unchanged)
    finish_reply (self, reply);
  return reply;
}

void
worker_tick (Worker *self, uint64_t now_ms)
{
  /* Leases also expire while the worker is frozen: a frozen host runs nothing, and when it is
   * resumed it checks its leases first. */
  expire_lease (self, now_ms);
  if (self->frozen)
    return;
  for (guint i = 0; i < self->runs->len; i++)
    {
      Run *run = g_ptr_array_index (self->runs, i);
      if (!run->ended && worker_clock_ms (self, now_ms) >= run->end_ms)
        end_run (self, now_ms, run,
                 self->runs_fail ? FB_RUN_STATUS_FAILED : FB_RUN_STATUS_COMPLETED);
    }
}

void
worker_set_frozen (Worker *self, uint64_t now_ms, gboolean frozen)
{
  self->frozen = frozen;
  if (!frozen)
    worker_tick (self, now_ms);
}

guint64
worker_ends_version (const Worker *self)
{
  return self->ends_version;
}

gboolean
worker_is_frozen (const Worker *self)
{
  return self->frozen;
}

void
worker_restart (Worker *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->runs->len; i++)
    {
      Run *run = g_ptr_array_index (self->runs, i);
      if (!run->ended)
        end_run (self, now_ms, run, FB_RUN_STATUS_LOST);
    }
  g_ptr_array_set_size (self->runs, 0);
  self->incarnation += 1000000;
  self->list_version++;
  self->lease_until_ms = 0;
  self->epoch = 0;
  self->seq = 0;
}

void
worker_set_runs_fail (Worker *self, gboolean fail)
{
  self->runs_fail = fail;
}

void
worker_set_usage (Worker *self, guint percent)
{
  self->usage_percent = percent;
  self->list_version++;
}

void
worker_set_leaving (Worker *self, uint64_t now_ms, gboolean leaving)
{
  oracle_set_worker_leaving (self->oracle, now_ms, self->id, leaving);
}

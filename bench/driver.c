#include "driver.h"

#include "fb-counter.h"
#include "internal/codec.h"
#include "internal/rack-query.h"
#include "internal/range.h"

#include <malloc.h>
#include <string.h>
#include <time.h>

#define STEP_MS 20
#define HOSTS_MAX 5
#define MAX_TASKS_PER_JOB 20000

typedef struct
{
  fb_spec spec;
  uint64_t end_ms;
  gboolean ended; /* retained until the rack has acknowledged the end */
  FbRunStatus run_status;
} Run;

typedef struct
{
  GPtrArray *runs;
  fb_res capacity;
  fb_res reserved;
  gboolean always_fails;
  uint64_t incarnation;
  gboolean was_restarted; /* the rack is notified in the next step */
} Host;

typedef struct
{
  FbRack *rack;
  Host hosts[HOSTS_MAX];
  guint host_n;
  uint32_t partner;
} RackSlot;

typedef struct
{
  uint64_t submitted_ms;
  guint load;
  gboolean *started_tasks; /* by task: it was started at least once */
} JobSlot;

typedef struct
{
  const BenchScenario *scenario;
  const FbPlacePolicy *place;
  uint64_t now_ms;
  RackSlot *racks;
  guint rack_n;
  FbRange **ranges;
  FbRouter **routers;
  GQueue inbox;     /* of GBytes: messages, and log records, each followed by NULL */
  GHashTable *jobs; /* id -> JobSlot */
  GRand *rand;
  uint64_t last_job;
  GArray *waits[BENCH_LOAD_MAX];
  double jobs_due[BENCH_LOAD_MAX];
  BenchResult result;
  fb_res total;
  double samples;
  double unused_accel;
} Bench;

typedef struct
{
  Bench *bench;
  guint index;
} RangeUser;

/* ---- messages between ranges and racks -------------------------------- */

static void
push_body (Bench *self, uint32_t to, const fb_body *body)
{
  fb_msg msg = { .from = (char *) "bench", .seq = to };
  msg.body = *body;
  g_queue_push_tail (&self->inbox, fb_codec_encode_msg (&msg));
}

static void
range_append (gpointer user, FbRange *range, const fb_rec_body *body)
{
  RangeUser *range_user = user;
  (void) range;
  fb_record record = { .format = FB_REC_VERSION, .writer = range_user->index, .seq = 1 };
  record.body = *body;
  GBytes *bytes = fb_codec_encode_record (&record);
  /* A record is delivered after the messages queued before it.  NULL marks it as a record. */
  g_queue_push_tail (&range_user->bench->inbox, bytes);
  g_queue_push_tail (&range_user->bench->inbox, NULL);
}

static gboolean
range_send (gpointer user, FbRange *range, uint32_t rack, const fb_body *body)
{
  (void) range;
  push_body (((RangeUser *) user)->bench, rack, body);
  return TRUE;
}

static gboolean
range_choose (gpointer user, FbRange *range, const FbRouteRequest *request, FbRouteChoice *choice)
{
  (void) range;
  RangeUser *range_user = user;
  range_user->bench->result.routed++;
  return fb_router_choose (range_user->bench->routers[range_user->index], request, choice);
}

static gboolean
range_ever_fits (gpointer user, const fb_spec *spec)
{
  RangeUser *range_user = user;
  return fb_router_ever_fits (range_user->bench->routers[range_user->index], spec);
}

static void
range_refused (gpointer user, uint32_t rack, FbReason reason)
{
  RangeUser *range_user = user;
  range_user->bench->result.refused++;
  fb_router_record_refusal (range_user->bench->routers[range_user->index],
                            range_user->bench->now_ms, rack, reason);
}

static uint64_t
range_log_clock_ms (gpointer user)
{
  return ((RangeUser *) user)->bench->now_ms;
}

static uint32_t
range_domain_of (gpointer user, uint32_t rack)
{
  RangeUser *range_user = user;
  return fb_router_rack (range_user->bench->routers[range_user->index], rack)->domain;
}

static void
range_answer (gpointer user, FbRange *range, const char *frontend, const fb_answer *answer)
{
  (void) range;
  (void) frontend;
  Bench *self = ((RangeUser *) user)->bench;
  JobSlot *job = g_hash_table_lookup (self->jobs, &answer->job);
  if (job == NULL || answer->outcome >= FB_OUTCOME_PENDING)
    return;
  BenchClass *class = &self->result.classes[job->load];
  class->not_run += answer->outcome == FB_OUTCOME_NOT_RUN ? 1 : 0;
  class->failed += answer->outcome == FB_OUTCOME_FAILED ? 1 : 0;
  g_hash_table_remove (self->jobs, &answer->job);
}

static const FbRangeCallbacks range_callbacks
    = { range_append,  range_send,         range_choose,    range_ever_fits,
        range_refused, range_log_clock_ms, range_domain_of, range_answer };

/* ---- racks and their hosts -------------------------------------------- */

static RackSlot *
get_rack_slot (Bench *self, const FbRack *rack)
{
  return &self->racks[fb_rack_id (rack)];
}

static Run *
find_run (const Host *host, const fb_run *id)
{
  for (guint i = 0; i < host->runs->len; i++)
    {
      Run *run = g_ptr_array_index (host->runs, i);
      if (fb_run_equal (&run->spec.run, id))
        return run;
    }
  return NULL;
}

static void
count_start (Bench *self, const fb_spec *spec)
{
  JobSlot *job = g_hash_table_lookup (self->jobs, &spec->run.job);
  self->result.placements++;
  if (job == NULL || job->started_tasks[spec->run.index])
    return;
  job->started_tasks[spec->run.index] = TRUE;
  uint32_t wait_ms = (uint32_t) (self->now_ms - job->submitted_ms);
  g_array_append_val (self->waits[job->load], wait_ms);
  self->result.classes[job->load].started++;
}

static void
end_run (Host *host, Run *run, FbRunStatus run_status)
{
  run->ended = TRUE;
  run->run_status = run_status;
  fb_res_sub (&host->reserved, &run->spec.demand);
}

static void
start_run (Bench *self, Host *host, const fb_spec *spec)
{
  Run *run = g_new0 (Run, 1);
  run->spec = *spec;
  run->spec.payload.payload_len = 0;
  run->spec.payload.payload_val = NULL;
  /* Declared run times are often wrong: the actual one is half to twice as long. */
  run->end_ms = self->now_ms + spec->run_ms / 2
                + (uint64_t) g_rand_int_range (self->rand, 0, (gint32) (spec->run_ms * 3 / 2) + 1);
  g_ptr_array_add (host->runs, run);
  fb_res_add (&host->reserved, &spec->demand);
  count_start (self, spec);
  if (host->always_fails)
    end_run (host, run, FB_RUN_STATUS_FAILED);
}

static void
answer_exchange (Bench *self, FbRack *rack, guint index, Host *host, const FbSyncRequest *request)
{
  g_autoptr (GArray) runs = g_array_new (FALSE, TRUE, sizeof (FbSyncRun));
  for (guint i = 0; i < host->runs->len; i++)
    {
      const Run *run = g_ptr_array_index (host->runs, i);
      FbSyncRun out = { .spec = run->spec,
                        .state = run->ended ? FB_SYNC_ENDED : FB_SYNC_LIVE,
                        .run_status = run->run_status,
                        .usage = run->spec.demand };
      for (guint r = 0; r < FB_RES_ACCEL_COUNT; r++)
        out.usage.amount[r] = out.usage.amount[r] * self->scenario->usage_percent / 100;
      g_array_append_val (runs, out);
    }
  FbSyncReply reply = { .epoch = request->epoch,
                        .seq = request->seq,
                        .clock_ms = self->now_ms,
                        .incarnation = host->incarnation,
                        .runs = (const FbSyncRun *) (void *) runs->data,
                        .run_n = runs->len };
  fb_rack_sync_done (rack, self->now_ms, index, &reply);
}

static void
rack_sync (gpointer user, FbRack *rack, guint index, const FbSyncRequest *request)
{
  Bench *self = user;
  Host *host = &get_rack_slot (self, rack)->hosts[index];
  for (guint i = 0; i < request->acks->len; i++)
    {
      Run *run = find_run (host, &g_array_index (request->acks, fb_run, i));
      if (run != NULL && run->ended)
        g_ptr_array_remove_fast (host->runs, run);
    }
  for (guint i = 0; i < request->stops->len; i++)
    {
      Run *run = find_run (host, &g_array_index (request->stops, FbSyncStop, i).run);
      if (run != NULL && !run->ended)
        end_run (host, run, FB_RUN_STATUS_STOPPED);
    }
  if (request->incarnation == host->incarnation)
    {
      for (guint i = 0; i < request->starts->len; i++)
        start_run (self, host, g_ptr_array_index (request->starts, i));
    }
  answer_exchange (self, rack, index, host, request);
}

static void
rack_report (gpointer user, FbRack *rack, const fb_report *report)
{
  (void) rack;
  fb_body body = { .type = FB_MSG_REPORT };
  body.fb_body_u.report = *report;
  push_body (user, report->range, &body);
}

static void
rack_confirm (gpointer user, FbRack *rack)
{
  Bench *self = user;
  fb_rack_ownership_confirmed (rack, self->now_ms, self->now_ms);
}

static void
rack_run_list (gpointer user, FbRack *rack, const fb_run_list *run_list)
{
  (void) user;
  (void) rack;
  (void) run_list;
}

static void
rack_fenced (gpointer user, FbRack *rack)
{
  (void) user;
  (void) rack;
  g_assert_not_reached ();
}

static const FbRackCallbacks rack_callbacks
    = { rack_sync, rack_report, rack_confirm, rack_run_list, rack_fenced };

static void
new_rack (Bench *self, guint id, uint64_t epoch)
{
  RackSlot *slot = &self->racks[id];
  slot->rack = fb_rack_new (id, "rack", slot->partner, epoch, &rack_callbacks, self);
  for (guint h = 0; h < slot->host_n; h++)
    fb_rack_add_worker (slot->rack, "host", &slot->hosts[h].capacity);
  FbRackPolicy policy = { self->scenario->lend_milli, self->place, FB_RACK_QUEUE_MAX, NULL };
  fb_rack_set_policy (slot->rack, &policy);
}

/* ---- delivery ------------------------------------------------------- */

static void
handle_rack_message (Bench *self, FbRack *rack, const fb_body *body)
{
  switch (body->type)
    {
    case FB_MSG_PLACE:
      fb_rack_place (rack, self->now_ms, &body->fb_body_u.place);
      break;
    case FB_MSG_ACK:
      fb_rack_ack (rack, self->now_ms, &body->fb_body_u.ack);
      break;
    case FB_MSG_WITHDRAW:
      fb_rack_withdraw (rack, self->now_ms, &body->fb_body_u.withdraw);
      break;
    case FB_MSG_QUERY:
      fb_rack_query (rack, self->now_ms, &body->fb_body_u.query);
      break;
    case FB_MSG_COMMIT:
      fb_rack_commit (rack, self->now_ms, &body->fb_body_u.commit);
      break;
    default:
      break;
    }
}

static void
deliver_record (Bench *self, GBytes *bytes)
{
  static const FbRecordPosition no_position;
  gsize len = 0;
  const void *data = g_bytes_get_data (bytes, &len);
  fb_record record;
  g_assert_true (fb_codec_decode_record (data, len, &record));
  fb_range_apply (self->ranges[record.writer], self->now_ms, &record.body, &no_position);
  fb_codec_clear_record (&record);
}

static void
deliver_message (Bench *self, GBytes *bytes)
{
  gsize len = 0;
  gsize offset = 0;
  const void *data = g_bytes_get_data (bytes, &len);
  fb_msg msg;
  g_assert_true (fb_codec_decode_msg (data, len, &offset, &msg));
  if (msg.body.type == FB_MSG_REPORT)
    fb_range_report (self->ranges[msg.seq], self->now_ms, &msg.body.fb_body_u.report);
  else
    handle_rack_message (self, self->racks[msg.seq].rack, &msg.body);
  fb_codec_clear_msg (&msg);
}

static void
deliver_all (Bench *self)
{
  while (!g_queue_is_empty (&self->inbox))
    {
      GBytes *bytes = g_queue_pop_head (&self->inbox);
      gboolean record
          = !g_queue_is_empty (&self->inbox) && g_queue_peek_head (&self->inbox) == NULL;
      if (record)
        {
          g_queue_pop_head (&self->inbox);
          deliver_record (self, bytes);
        }
      else
        deliver_message (self, bytes);
      g_bytes_unref (bytes);
    }
}

static void
deliver_until_idle (Bench *self)
{
  do
    {
      deliver_all (self);
      for (guint i = 0; i < self->scenario->ranges; i++)
        fb_range_flush (self->ranges[i], self->now_ms);
      for (guint i = 0; i < self->rack_n; i++)
        fb_rack_flush (self->racks[i].rack, self->now_ms);
    }
  while (!g_queue_is_empty (&self->inbox));
}

/* ---- time ------------------------------------------------------------- */

static void
job_slot_free (gpointer data)
{
  JobSlot *job = data;
  g_free (job->started_tasks);
  g_free (job);
}

/* Each range serves one partner, as in a real cell. */
static FbRange *
range_of (Bench *self, uint32_t partner, uint64_t job)
{
  uint32_t per_partner = MAX (self->scenario->ranges / FB_PARTNER_N, 1);
  return self->ranges[(job % per_partner * FB_PARTNER_N + partner) % self->scenario->ranges];
}

static void
submit_job (Bench *self, guint index)
{
  const BenchLoad *load = &self->scenario->loads[index];
  fb_job job = { .id = ++self->last_job,
                 .partner = load->partner,
                 .team = index % 3,
                 .kind = load->kind,
                 .flags = load->flags,
                 .count = load->tasks,
                 .demand = load->demand,
                 .remaining_ms = load->deadline_ms > 0 ? load->deadline_ms : FB_NO_DEADLINE_MS,
                 .run_ms = load->run_ms,
                 .key = (char *) "" };
  JobSlot *slot = g_new0 (JobSlot, 1);
  slot->submitted_ms = self->now_ms;
  slot->load = index;
  slot->started_tasks = g_new0 (gboolean, load->tasks);
  uint64_t *key = g_memdup2 (&job.id, sizeof job.id);
  g_hash_table_insert (self->jobs, key, slot);
  self->result.classes[index].requested += load->tasks;
  fb_range_submit (range_of (self, job.partner, job.id), self->now_ms, &job, 1, "bench");
}

static void
submit_due_jobs (Bench *self, uint64_t since_ms)
{
  for (guint i = 0; i < self->scenario->load_n; i++)
    {
      const BenchLoad *load = &self->scenario->loads[i];
      if (since_ms < load->from_ms || since_ms >= load->until_ms)
        continue;
      self->jobs_due[i] += load->jobs_per_s * STEP_MS / 1000.0;
      for (; self->jobs_due[i] >= 1; self->jobs_due[i] -= 1)
        submit_job (self, i);
    }
}

static void
end_due_runs (Bench *self)
{
  for (guint r = 0; r < self->rack_n; r++)
    {
      RackSlot *slot = &self->racks[r];
      for (guint h = 0; h < slot->host_n; h++)
        {
          Host *host = &slot->hosts[h];
          gboolean has_changed = host->was_restarted;
          for (guint i = 0; i < host->runs->len; i++)
            {
              Run *run = g_ptr_array_index (host->runs, i);
              if (run->ended || run->end_ms > self->now_ms)
                continue;
              end_run (host, run, FB_RUN_STATUS_COMPLETED);
              has_changed = TRUE;
            }
          if (has_changed)
            fb_rack_worker_changed (slot->rack, h);
          host->was_restarted = FALSE;
        }
    }
}

static void
sample_reservations (Bench *self)
{
  fb_res reserved = { { 0 } };
  for (guint r = 0; r < self->rack_n; r++)
    {
      for (guint h = 0; h < self->racks[r].host_n; h++)
        fb_res_add (&reserved, &self->racks[r].hosts[h].reserved);
    }
  double accel_total = (double) self->total.amount[FB_RES_ACCEL_COUNT];
  double requested = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const BenchLoad *load = &self->scenario->loads[((JobSlot *) value)->load];
      requested += (double) load->demand.amount[FB_RES_ACCEL_COUNT] * load->tasks;
    }
  self->samples++;
  self->result.cpu_reserved
      += (double) reserved.amount[FB_RES_CPU_MILLI] / (double) self->total.amount[FB_RES_CPU_MILLI];
  self->result.accel_reserved
      += accel_total > 0 ? (double) reserved.amount[FB_RES_ACCEL_COUNT] / accel_total : 0;
  /* The bound ignores host boundaries: all requested accelerators, up to the total. */
  self->result.accel_bound += accel_total > 0 ? MIN (1.0, requested / accel_total) : 0;
}

static void
send_summaries (Bench *self)
{
  for (guint r = 0; r < self->rack_n; r++)
    {
      fb_summary summary;
      fb_rack_summary (self->racks[r].rack, &summary);
      for (guint i = 0; i < self->scenario->ranges; i++)
        fb_router_update_summary (self->routers[i], self->now_ms, &summary);
    }
}

static void
cancel_batch (Bench *self)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_autoptr (GArray) ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (self->scenario->loads[((JobSlot *) value)->load].kind == FB_KIND_BATCH)
        g_array_append_val (ids, *(uint64_t *) key);
    }
  for (guint i = 0; i < ids->len; i++)
    {
      uint64_t id = g_array_index (ids, uint64_t, i);
      JobSlot *job = g_hash_table_lookup (self->jobs, &id);
      fb_job_command command = { id, self->scenario->loads[job->load].partner };
      fb_range_cancel (range_of (self, command.partner, id), self->now_ms, &command, "bench");
    }
}

/* Replaces the owner of one rack; the new owner reads the state of the workers from them. */
static void
replace_owner (Bench *self, guint rack)
{
  uint64_t epoch = fb_rack_epoch (self->racks[rack].rack);
  fb_rack_free (self->racks[rack].rack);
  new_rack (self, rack, epoch + 65536);
}

static void
restart_host (Bench *self)
{
  RackSlot *slot = &self->racks[g_rand_int_range (self->rand, 0, (gint32) self->rack_n)];
  Host *host = &slot->hosts[g_rand_int_range (self->rand, 0, (gint32) slot->host_n)];
  g_ptr_array_set_size (host->runs, 0);
  host->reserved = (fb_res){ { 0 } };
  host->incarnation++;
  host->was_restarted = TRUE;
}

static void
apply_faults (Bench *self, uint64_t since_ms)
{
  const BenchScenario *s = self->scenario;
  if (s->cancel_at_ms > 0 && since_ms == s->cancel_at_ms)
    cancel_batch (self);
  if (s->replace_owner_at_ms > 0 && since_ms == s->replace_owner_at_ms)
    replace_owner (self, self->rack_n - 1);
  if (s->restarts_per_minute > 0
      && since_ms % (60000 / s->restarts_per_minute / STEP_MS * STEP_MS) == 0)
    restart_host (self);
}

static void
run_step (Bench *self, uint64_t since_ms)
{
  self->now_ms += STEP_MS;
  submit_due_jobs (self, since_ms);
  end_due_runs (self);
  apply_faults (self, since_ms);
  if (since_ms % 100 == 0)
    {
      for (guint i = 0; i < self->rack_n; i++)
        fb_rack_tick (self->racks[i].rack, self->now_ms);
      for (guint i = 0; i < self->scenario->ranges; i++)
        fb_range_tick (self->ranges[i], self->now_ms);
    }
  if (since_ms % self->scenario->summary_interval_ms == 0)
    send_summaries (self);
  deliver_until_idle (self);
  if (since_ms % 1000 == 0)
    sample_reservations (self);
}

/* ---- building --------------------------------------------------------- */

static void
add_rack (Bench *self, uint32_t partner, guint host_n, const fb_res *capacity)
{
  guint id = self->rack_n++;
  RackSlot *slot = &self->racks[id];
  slot->partner = partner;
  slot->host_n = host_n;
  FbRackInfo info = { partner, id % 20, *capacity, { { 0 } } };
  for (guint h = 0; h < host_n; h++)
    {
      slot->hosts[h] = (Host){ .runs = g_ptr_array_new_with_free_func (g_free),
                               .capacity = *capacity,
                               .incarnation = 1 };
      fb_res_add (&info.total, capacity);
      fb_res_add (&self->total, capacity);
    }
  for (guint i = 0; i < self->scenario->ranges; i++)
    fb_router_add_rack (self->routers[i], &info);
  new_rack (self, id, 65536);
}

static void
build_cell (Bench *self, const FbRoutePolicy *route, RangeUser *users)
{
  const BenchScenario *s = self->scenario;
  static const fb_res small = { { 16000, 32ull << 30, 0, 8 } };
  static const fb_res large = { { 64000, 256ull << 30, 0, 8 } };
  static const fb_res accel = { { 64000, 256ull << 30, 8, 8 } };
  self->ranges = g_new0 (FbRange *, s->ranges);
  self->routers = g_new0 (FbRouter *, s->ranges);
  for (guint i = 0; i < s->ranges; i++)
    {
      users[i] = (RangeUser){ self, i };
      self->routers[i] = fb_router_new (route, s->seed + i);
      self->ranges[i] = fb_range_new (i, FALSE, &range_callbacks, &users[i], s->seed + 100 + i);
      fb_range_activate (self->ranges[i], self->now_ms, 1);
    }
  self->racks = g_new0 (RackSlot, s->racks_small + s->racks_large + s->racks_accel);
  for (guint i = 0; i < s->racks_small; i++)
    add_rack (self, 0, 5, &small);
  for (guint i = 0; i < s->racks_large; i++)
    add_rack (self, 1, 5, &large);
  for (guint i = 0; i < s->racks_accel; i++)
    add_rack (self, i % FB_PARTNER_N, 3, &accel);
  for (guint i = 0; i < s->failing_workers; i++)
    self->racks[i % self->rack_n].hosts[i / self->rack_n % HOSTS_MAX].always_fails = TRUE;
}

static int
compare_wait (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *) a;
  uint32_t y = *(const uint32_t *) b;
  return (x > y) - (x < y);
}

static void
compute_result (Bench *self, double cpu_s, double bytes)
{
  BenchResult *result = &self->result;
  guint tasks = 0;
  for (guint i = 0; i < self->scenario->load_n; i++)
    {
      GArray *waits = self->waits[i];
      BenchClass *class = &result->classes[i];
      g_array_sort (waits, compare_wait);
      tasks += class->requested;
      if (waits->len == 0)
        continue;
      class->p50_ms = g_array_index (waits, uint32_t, (waits->len - 1) / 2);
      class->p99_ms = g_array_index (waits, uint32_t, (waits->len - 1) * 99 / 100);
      class->max_ms = g_array_index (waits, uint32_t, waits->len - 1);
    }
  result->cpu_reserved /= MAX (self->samples, 1);
  result->accel_reserved /= MAX (self->samples, 1);
  result->accel_bound /= MAX (self->samples, 1);
  result->cpu_us_per_placement = cpu_s * 1e6 / (double) MAX (result->placements, 1);
  result->bytes_per_task = bytes / MAX (tasks, 1);
}

static void
free_cell (Bench *self)
{
  for (guint r = 0; r < self->rack_n; r++)
    {
      fb_rack_free (self->racks[r].rack);
      for (guint h = 0; h < self->racks[r].host_n; h++)
        g_ptr_array_free (self->racks[r].hosts[h].runs, TRUE);
    }
  for (guint i = 0; i < self->scenario->ranges; i++)
    {
      fb_range_free (self->ranges[i]);
      fb_router_free (self->routers[i]);
    }
  for (guint i = 0; i < self->scenario->load_n; i++)
    g_array_free (self->waits[i], TRUE);
  g_hash_table_destroy (self->jobs);
  g_queue_clear_full (&self->inbox, (GDestroyNotify) g_bytes_unref);
  g_rand_free (self->rand);
  g_free (self->ranges);
  g_free (self->routers);
  g_free (self->racks);
}

BenchResult
bench_run (const BenchScenario *scenario, const FbPlacePolicy *place, const FbRoutePolicy *route)
{
  Bench self = { .scenario = scenario,
                 .place = place != NULL ? place : &fb_place_accel_guard,
                 .now_ms = 1000000 };
  g_autofree RangeUser *users = g_new0 (RangeUser, scenario->ranges);
  self.rand = g_rand_new_with_seed (scenario->seed);
  self.jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, job_slot_free);
  g_queue_init (&self.inbox);
  for (guint i = 0; i < scenario->load_n; i++)
    self.waits[i] = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  guint64 preempted = fb_counter_get (FB_COUNTER_PREEMPTIONS);
  struct mallinfo2 before = mallinfo2 ();
  build_cell (&self, route != NULL ? route : &fb_route_best_known, users);
  clock_t cpu = clock ();
  for (uint64_t ms = 0; ms < scenario->seconds * 1000; ms += STEP_MS)
    run_step (&self, ms);
  double cpu_s = (double) (clock () - cpu) / CLOCKS_PER_SEC;
  struct mallinfo2 after = mallinfo2 ();
  self.result.preempted = fb_counter_get (FB_COUNTER_PREEMPTIONS) - preempted;
  compute_result (&self, cpu_s,
                  (double) (after.uordblks + after.hblkhd)
                      - (double) (before.uordblks + before.hblkhd));
  BenchResult result = self.result;
  free_cell (&self);
  return result;
}

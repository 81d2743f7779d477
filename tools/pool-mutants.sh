#!/usr/bin/env bash
# Mutation test of the checks of pools: applies each mutant to a copy of src/work or of the adapter
# of workers, and runs the scripts and then inputs of fixed seeds until one of them detects it.
# A mutant is a name, a file, a text in it and its replacement.  ONLY=NAME tests one mutant only.
set -uo pipefail
cd "$(dirname "$0")/.."
SEEDS=${SEEDS:-4000}
OUT=out/pool-mutants
rm -rf "$OUT"; mkdir -p "$OUT"
FLAGS="$(pkg-config --cflags --libs glib-2.0 gio-2.0 libtirpc libxxhash json-glib-1.0 libcurl libsodium) -Iinclude -I. -Iplatform -O1 -g -w -lm"
OTHERS="src/base/status.c src/base/event.c src/base/counter.c src/base/histogram.c src/base/timer.c src/core/codec.c
  rpc/work-xdr.c rpc/record-xdr.c rpc/peer-xdr.c src/entry/peers/recent-starts.c src/entry/peers/suspect-backups.c"
ADAPTER="src/base/traffic.c src/net/json.c src/net/http-client.c src/net/idle-sockets.c platform/operator.c platform/incarnation.c src/entry/routes.c src/entry/accounts.c"

mutants() { grep -E "^${ONLY:-[^|]*}\|" <<< "$(all_mutants)"; }
all_mutants() { cat <<'TABLE'
capacity-not-checked|pool-worker.c|worker->cpu_used + worker->cpu_reserved + cpu_milli <= worker->cpu_milli|TRUE
stopping-run-frees-capacity|pool-orders.c|  run->state = FB_RUN_STOPPING;|  run->state = FB_RUN_STOPPING; worker->cpu_used -= run->step != NULL ? run->step->spec->cpu_milli : 0;
starts-before-recovery|pool.c|  if (!fb_pool_may_place (self) \|\| !may_start)|  if (!may_start)
unresponsive-worker-ignored|pool-recovery.c|      if ((!worker->answered \|\| worker->has_unknown_end) \&\& !worker->runs_ended|      if (FALSE
draining-worker-has-no-steps|pool-drain.c|    g_hash_table_add (steps, step_of_task (name));|    g_hash_table_remove (steps, name);
listed-after-takeover-too-soon|pool-recovery.c|worker->listed_ms > self->majority_ms + FB_POOL_STEP_DOWN_MS + FB_POOL_START_WINDOW_MS|worker->listed_ms > 0
unknown-end-ignored|pool-recovery.c|      if (worker->has_unknown_end \&\& worker->last_answer_ms <= job->added_ms)|      if (FALSE)
absent-despite-an-unknown-end|pool-report.c|  if (!worker->has_unknown_end)|  if (TRUE)
unconfirmed-worker-ignored|pool-recovery.c|      if (may_run_on (self->unconfirmed_workers->pdata[i], step))|      if (FALSE)
no-advice-is-a-denial|pool-recovery.c|  return advice == NULL \|\| advice->allowed;|  return advice != NULL ? advice->allowed : FALSE;
no-earlier-starts-too-soon|pool-recovery.c|             \&\& self->jobs_complete_ms > self->majority_ms + FB_POOL_STEP_DOWN_MS);|             );
lease-expires-too-early|pool-lease.c|worker->lease_ms + LEASE_EXPIRY_SLACK_MS;|worker->lease_ms - 1500;
clock-drift-ignored|pool-lease.c|passed_ms * (1000 - CLOCK_SLOW_PERMILLE) / 1000|passed_ms * 1100 / 1000
unanswered-start-dropped|pool-orders.c|  else if (result != FB_ORDER_UNKNOWN)|  else if (TRUE)
acknowledged-before-durable|pool-report.c|      worker->processed_end = end->number;|      worker->processed_end = worker->acknowledged = end->number;
failure-not-recorded|pool-job.c|          row.failed.failed_len = task->failed->len;|          row.failed.failed_len = 0;
failures-by-highest-attempt|pool-job.c|      if (g_array_index (task->failed, uint32_t, i) == attempt)|      if (g_array_index (task->failed, uint32_t, i) >= attempt)
done-not-recorded|pool-job.c|              .done = task->done,|              .done = FALSE,
steps-at-once|pool-job.c|      step->released = ready;|      step->released = TRUE;
absence-is-proof-at-once|pool-report.c|  return run->seen_clock_ms > 0 \|\| clock_ms > run->deadline_ms;|  return TRUE;
other-incarnation-ignored|pool-report.c|  else if (answer->result == FB_ORDER_OTHER_INCARNATION)|  else if (0)
unresponsive-worker-gets-leases|pool-orders.c|worker->answered \&\& !fb_pool_worker_silent (worker, now_ms)|worker->answered
cancel-stops-nothing|pool-report.c|  if (job->state != FB_WORK_COMPLETED)|  if (0)
known-workers-dropped|pool.c|      if (worker == NULL \&\& !empty)|      if (FALSE)
crash-not-counted|pool-crash.c|  if (task->done \|\| !add_crash (task, crash))|  if (TRUE)
crash-not-recorded|pool-crash-record.c|      if (!task->done \&\& (task->crashes != NULL \|\| task->unresolved != NULL))|      if (FALSE)
crash-of-a-successor-not-counted|pool-crash-record.c|  for (u_int i = 0; i < suspect->unresolved.unresolved_len; i++)|  for (u_int i = 0; FALSE; i++)
crash-counted-repeatedly|pool-crash.c|fb_pool_task_has_crash (task, crash.worker)\n      \|\| |
no-answer-taken-for-a-crash|pool-crash.c|  if (loss == FB_LOSS_OTHER_INCARNATION)\n    {\n      fb_pool_unresolved_start_drop|  if (TRUE)\n    {\n      fb_pool_unresolved_start_drop
new-incarnation-not-detected|pool-unresolved-losses.c|          \&\& is_successor (other, lost))|          \&\& FALSE)
unlisted-new-incarnation-not-detected|pool-unresolved-losses.c|lost != NULL \&\& other->listed_ms > 0|lost != NULL \&\& other->listed
unresolved-loss-does-not-limit-starts|pool-crash.c|fb_pool_task_crashes_n (task) + task->unresolved_losses_n >= limit\n                   \|\| |
wide-step-without-probe|pool-place.c|  if (fb_pool_probe_is_on (step))\n    return FALSE;|
suspect-gets-speculative-runs|pool-copy.c|  if (fb_pool_task_is_suspect (task))|  if (FALSE)
crash-cause-never-removed|pool-crash.c|  for (guint i = 0; i < task->crashes->len; i++)\n    fb_pool_crash_cause_drop|  for (guint i = 0; FALSE; i++)\n    fb_pool_crash_cause_drop
shared-crashes-count-as-isolated|pool-crash.c|#define MIN_SHARED_FOR_HIGHER_LIMIT 2|#define MIN_SHARED_FOR_HIGHER_LIMIT 9
suspect-on-an-unstable-worker|pool-crash.c|  if (suspect_score_of (task) < ISOLATE_AFTER_CRASHES \|\| is_stable (worker))|  if (TRUE)
exclusive-worker-open-to-all|pool-choose.c|          \|\| !fb_pool_crash_may_use (worker, task, now_ms)|
overdue-worker-for-a-suspect|pool-crash.c|(overdue ? OVERDUE_ANSWER_COST : 0)|0
isolated-run-beside-others|pool-choose.c|          \|\| worker->isolated_runs_n > 0 \|\| |          \|\| 
one-shared-crash-is-enough|pool-crash.c|#define MAX_SHARED_CRASHES 4|#define MAX_SHARED_CRASHES 1
long-running-task-blamed|pool-crash.c|#define LONG_RUNNING_PROVEN_MS 20000|#define LONG_RUNNING_PROVEN_MS 2000000
drain-taken-for-a-crash|pool-crash.c|  while (!worker->draining \&\& g_hash|  while (g_hash
shrunk-capacity-ignored|pool-worker.c|  worker->cpu_milli = entry->cpu_milli;|  worker->cpu_milli = MAX (worker->cpu_milli, entry->cpu_milli);
grown-capacity-ignored|pool-worker.c|  worker->cpu_milli = entry->cpu_milli;|  worker->cpu_milli = worker->cpu_milli != 0 ? MIN (worker->cpu_milli, entry->cpu_milli) : entry->cpu_milli;
size-is-proof-of-no-run|pool-recovery.c|  if (!fb_pool_has_labels_for (worker, step->spec))|  if (!fb_pool_worker_could_run (worker, step->spec))
rejection-of-a-repeat-is-proof|platform/worker.c|  if (fb_http_reply_is_ambiguous (reply) \&\& |  if (FALSE \&\& 
lease-of-the-previous-owner-ignored|pool-report.c|answer->clock_ms + first_lease_ms (self, worker)|0
answer-counts-for-any-attempt|pool-orders.c|(*run)->attempt != ref->attempt|FALSE
full-answer-taken-as-complete|pool-report.c|  if (answer->finished->len >= self->limits.max_reported_ends)|  if (FALSE)
any-end-of-an-ended-job|pool-report.c|  if (run != NULL \&\& run->attempt <= end->attempt)\n    fb_pool_run_ended (self, worker, run, end_names[end->reason], now_ms);\n}|  if (run != NULL)\n    fb_pool_run_ended (self, worker, run, end_names[end->reason], now_ms);\n}
rejected-start-stays-in-the-record|pool-orders.c|  fb_pool_crash_task_absent (self, worker, step, run->index);|
resolved-loss-stays-in-the-record|pool-unresolved-losses.c|  fb_pool_job_changed (self, step->job);|
end-visible-before-durable|pool.c|  if (job->stored_state >= FB_WORK_COMPLETED)|  if (job->state >= FB_WORK_COMPLETED) { *state = job->state; return TRUE; } if (0)
unanswered-is-confirmed|pool-crash.c|  return confirmed ? FB_CRASH_CONFIRMED : FB_CRASH_PROBABLE;|  return FB_CRASH_CONFIRMED;
evidence-not-recorded|pool-crash-record.c|confirmed ? FB_CRASH_CONFIRMED : FB_CRASH_REPORTED|FB_CRASH_REPORTED
other-start-time-ignored|platform/worker.c|  if (incarnation_started_ms == 0 \|\| g_str_equal (answered, incarnation))|  if (TRUE)
start-of-the-previous-incarnation-abandoned|pool-restart.c|  if (!fb_pool_restart_may_deliver (self, run))\n    return FALSE;|  return FALSE;
late-starts-not-rejected|pool-report.c|    fb_pool_unanswered_starts_reject (self, worker, now_ms);|    ;
start-on-two-incarnations|pool-restart.c|  if (task == NULL \|\| |  if (TRUE \|\| 
unresponsive-worker-acknowledged|pool-orders.c|  if (worker->poll_failed)|  if (FALSE)
imported-starts-ignored|pool-import-starts.c|  if (task->done \|\| is_known (self, task, start))|  if (TRUE)
imported-start-at-a-live-worker|pool-import-starts.c|  return (worker != NULL \&\& worker->answered)|  return FALSE
moved-start-counts-twice|pool-crash.c|  if (run->deferred_crash.worker != 0)|  if (FALSE)
unconfirmed-start-is-no-cause|pool-crash.c|      if (run_may_have_begun (other) \|\| is_start_unconfirmed (other))|      if (run_may_have_begun (other))
reserved-worker-dropped|pool.c|  if (worker->listed \|\| worker->reserved_n > 0)|  if (worker->listed)
unstored-suspects-never-backed-up|pool-unstored-suspects.c|      else if (is_late \&\& job->unstored_changed)|      else if (FALSE)
acknowledged-together-with-starts|pool-orders.c|(fb_pool_has_pending_acknowledgement (worker) \&\& !has_unlisted_run (worker))|fb_pool_has_pending_acknowledgement (worker)
not-acknowledged-again|pool-report.c|  acknowledge_again (worker, answer);|  (void) acknowledge_again;
misdirected-calls-not-expected|pool-worker-slots.c|  fb_pool_lease_expect_misdirected (worker, known_ms);|  (void) known_ms;
unlisted-starts-end-with-the-lease|pool-loss.c|      else if (loss != FB_LOSS_LEASE_ENDED|      else if (TRUE
polls-keep-the-connection-of-failed-stops|pool-orders.c| \&\& !worker->has_failed_stop)|)
failed-stops-wait-for-their-repeat|pool-report.c|    fb_pool_stops_retry_failed (self, worker, now_ms);|    ;
accepted-stop-is-final|pool-stops.c|  run->stopped_clock_ms = 0;|  ;
second-copy-ignored|pool-restart.c|(run->listed_ms == 0 \|\| is_open)|(run->listed_ms == 0)
TABLE
}

try_one() { # NAME FILE TEXT REPLACEMENT
  local dir=$OUT/$1
  mkdir -p "$dir/src" "$dir/platform"
  cp -r src/work "$dir/src/work"
  cp platform/worker.c "$dir/platform"
  local file=src/work/$2
  case $2 in */*) file=$2 ;; esac
  python3 - "$dir/$file" "$3" "$4" <<'PY' || { echo "$1: TEXT NOT FOUND"; return; }
import sys
path, text, replacement = sys.argv[1:]
source = open(path).read()
text, replacement = (t.replace('\\|', '|').replace('\\&', '&').replace('\\n', '\n') for t in (text, replacement))
if text not in source: sys.exit(1)
open(path, 'w').write(source.replace(text, replacement, 1))
PY
  local sources="$dir/src/work/*.c $OTHERS"
  # shellcheck disable=SC2086
  if ! gcc -o "$dir/fuzz" fuzz/fuzz-pool.c fuzz/pool-world-*.c $sources "$dir/platform/worker.c" $ADAPTER $FLAGS 2> "$dir/log" \
     || ! gcc -o "$dir/script" tests/test-pool.c $sources $FLAGS 2>> "$dir/log"; then
    echo "$1: DOES NOT BUILD"; return
  fi
  for s in tests/pools/*.script; do
    # A script that fails without a mutant detects nothing.
    grep -q "^pool $(basename "$s"): " KNOWN-RED.txt && continue
    "$dir/script" "$s" 2>&1 | cmp -s - "${s%.script}.expected" || { echo "$1: script $(basename "$s")"; return; }
  done
  local violation
  # Without a mutant, the first seeds of kind crashing pass; KNOWN-RED.txt lists later ones that fail.
  violation=$(timeout 120 "$dir/fuzz" 1 250 crashing | grep -m1 '^seed')
  for kind in plain advised shrinking repeats cancelling; do
    [ -n "$violation" ] || violation=$(timeout 120 "$dir/fuzz" 1 "$SEEDS" "$kind" | sed -n "s/^seed/$kind seed/p" | head -1)
  done
  echo "$1: ${violation:-NOT CAUGHT}"
}
export -f try_one
export OUT FLAGS OTHERS ADAPTER SEEDS
while IFS= read -r line; do
  # A | that is part of a text is escaped as \|.
  IFS=$'\x01' read -r name file text replacement <<< "$(echo "$line" | sed 's/\([^\\]\)|/\1\x01/g')"
  printf '%s\0%s\0%s\0%s\0' "$name" "$file" "$text" "$replacement"
done < <(mutants) | xargs -0 -n 4 -P 4 bash -c 'try_one "$@"' _ | tee "$OUT/table"
all=$(mutants | wc -l)
caught=$(grep -cvE 'NOT CAUGHT|DOES NOT BUILD|TEXT NOT FOUND' "$OUT/table")
echo "$caught of $all caught"
[ "$caught" = "$all" ]

/* Benchmark of the scheduler: runs scenarios with the product's policies and with baselines.  Times
 * are by the simulated clock; CPU time is that of the process. */
#include "driver.h"

#include "fb-event.h"
#include "fb-status.h"
#include "internal/ini.h"

#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  uint64_t racks_small;
  uint64_t racks_large;
  uint64_t racks_accel;
  uint64_t seconds_ms;
  uint64_t seed;
  uint64_t ranges;
  uint64_t summary_interval_ms;
  uint64_t usage_percent;
  uint64_t failing_workers;
  uint64_t cancel_at_ms;
  uint64_t replace_owner_at_ms;
  uint64_t restarts_per_minute;
  uint64_t lend_milli;
} RawScenario;

typedef struct
{
  uint64_t partner;
  uint64_t kind;
  uint64_t once;
  uint64_t preemptible;
  uint64_t checkpoint;
  uint64_t cpu_milli;
  uint64_t mem_bytes;
  uint64_t accel_count;
  uint64_t tasks;
  uint64_t per_minute;
  uint64_t from_ms;
  uint64_t until_ms;
  uint64_t run_ms;
  uint64_t deadline_ms;
} RawLoad;

#define END_OF_FIELDS                                                                              \
  {                                                                                                \
    NULL, 0, FALSE, 0, 0, NULL, 0                                                                  \
  }
#define FIELD(struct_type, name, type, member)                                                     \
  {                                                                                                \
    name, type, FALSE, 0, 0, NULL, offsetof (struct_type, member)                                  \
  }

static const FbIniField scenario_fields[]
    = { FIELD (RawScenario, "racks-small", FB_INI_UINT, racks_small),
        FIELD (RawScenario, "racks-large", FB_INI_UINT, racks_large),
        FIELD (RawScenario, "racks-accel", FB_INI_UINT, racks_accel),
        FIELD (RawScenario, "time", FB_INI_DURATION, seconds_ms),
        FIELD (RawScenario, "seed", FB_INI_UINT, seed),
        FIELD (RawScenario, "ranges", FB_INI_UINT, ranges),
        FIELD (RawScenario, "summary-every", FB_INI_DURATION, summary_interval_ms),
        FIELD (RawScenario, "usage-percent", FB_INI_UINT, usage_percent),
        FIELD (RawScenario, "bad-workers", FB_INI_UINT, failing_workers),
        FIELD (RawScenario, "cancel-batch-at", FB_INI_DURATION, cancel_at_ms),
        FIELD (RawScenario, "replace-owner-at", FB_INI_DURATION, replace_owner_at_ms),
        FIELD (RawScenario, "restarts-a-minute", FB_INI_UINT, restarts_per_minute),
        FIELD (RawScenario, "lend", FB_INI_PERCENT, lend_milli),
        END_OF_FIELDS };

static const FbIniField load_fields[]
    = { FIELD (RawLoad, "partner", FB_INI_UINT, partner),
        { "kind", FB_INI_CHOICE, TRUE, 0, 0, "urgent|service|gang|batch",
          offsetof (RawLoad, kind) },
        FIELD (RawLoad, "once", FB_INI_BOOLEAN, once),
        FIELD (RawLoad, "preemptible", FB_INI_BOOLEAN, preemptible),
        FIELD (RawLoad, "checkpoint", FB_INI_BOOLEAN, checkpoint),
        FIELD (RawLoad, "cpu", FB_INI_MILLI, cpu_milli),
        FIELD (RawLoad, "memory", FB_INI_BYTES, mem_bytes),
        FIELD (RawLoad, "accelerators", FB_INI_UINT, accel_count),
        FIELD (RawLoad, "tasks", FB_INI_UINT, tasks),
        FIELD (RawLoad, "jobs-a-minute", FB_INI_UINT, per_minute),
        FIELD (RawLoad, "from", FB_INI_DURATION, from_ms),
        FIELD (RawLoad, "until", FB_INI_DURATION, until_ms),
        FIELD (RawLoad, "run-time", FB_INI_DURATION, run_ms),
        FIELD (RawLoad, "deadline", FB_INI_DURATION, deadline_ms),
        END_OF_FIELDS };

static gboolean
read_load (GKeyFile *keys, const char *file, const char *group, const char *name,
           BenchScenario *out)
{
  RawLoad raw = { .tasks = 1, .run_ms = 1000, .until_ms = G_MAXUINT64 };
  if (out->load_n == BENCH_LOAD_MAX
      || fb_ini_read_group (keys, file, group, load_fields, &raw) != FB_INI_OK)
    return FALSE;
  out->loads[out->load_n++] = (BenchLoad){
    .name = g_strdup (name),
    .partner = (uint32_t) raw.partner % FB_PARTNER_N,
    .kind = (FbKind) raw.kind,
    .flags = (raw.once ? FB_FLAG_AT_MOST_ONCE : 0) | (raw.preemptible ? FB_FLAG_PREEMPTIBLE : 0)
             | (raw.checkpoint ? FB_FLAG_CHECKPOINT : 0),
    .demand = { { raw.cpu_milli, raw.mem_bytes, raw.accel_count, 1 } },
    .tasks = (uint32_t) MAX (raw.tasks, 1),
    .jobs_per_s = (double) raw.per_minute / 60,
    .from_ms = raw.from_ms,
    .until_ms = raw.until_ms,
    .run_ms = raw.run_ms,
    .deadline_ms = raw.deadline_ms,
  };
  return TRUE;
}

static gboolean
read_scenario_group (GKeyFile *keys, const char *file, BenchScenario *out)
{
  RawScenario raw = { .seconds_ms = 60000,
                      .seed = 1,
                      .ranges = 8,
                      .summary_interval_ms = 1000,
                      .usage_percent = 100,
                      .lend_milli = 300 };
  if (fb_ini_read_group (keys, file, "scenario", scenario_fields, &raw) != FB_INI_OK)
    return FALSE;
  out->racks_small = (uint32_t) raw.racks_small;
  out->racks_large = (uint32_t) raw.racks_large;
  out->racks_accel = (uint32_t) raw.racks_accel;
  out->seconds = raw.seconds_ms / 1000;
  out->seed = (uint32_t) raw.seed;
  out->ranges = (uint32_t) MAX (raw.ranges, 1);
  out->summary_interval_ms = MAX (raw.summary_interval_ms / 20 * 20, 20);
  out->usage_percent = (uint32_t) raw.usage_percent;
  out->failing_workers = (uint32_t) raw.failing_workers;
  out->cancel_at_ms = raw.cancel_at_ms;
  out->replace_owner_at_ms = raw.replace_owner_at_ms;
  out->restarts_per_minute = (uint32_t) raw.restarts_per_minute;
  out->lend_milli = (uint32_t) raw.lend_milli;
  return TRUE;
}

static gboolean
read_scenario (const char *path, BenchScenario *out)
{
  g_autofree char *text = NULL;
  gsize len = 0;
  if (!g_file_get_contents (path, &text, &len, NULL))
    {
      fb_status_set_message ("%s: cannot read the file", path);
      return FALSE;
    }
  g_autoptr (GKeyFile) keys = fb_ini_load (path, text, len);
  if (keys == NULL || !read_scenario_group (keys, path, out))
    return FALSE;
  out->name = g_path_get_basename (path);
  g_auto (GStrv) groups = g_key_file_get_groups (keys, NULL);
  for (guint i = 0; groups[i] != NULL; i++)
    {
      const char *name = fb_ini_group_name (groups[i], "load");
      if (name != NULL && !read_load (keys, path, groups[i], name, out))
        return FALSE;
    }
  return TRUE;
}

/* ---- policies --------------------------------------------------------- */

static const struct
{
  const char *name;
  const FbPlacePolicy *place;
  const FbRoutePolicy *route;
} policies[] = {
  { "random+first-fit", &fb_place_first_fit, &fb_route_random },
  { "best-known+first-fit", &fb_place_first_fit, &fb_route_best_known },
  { "best-known+worst-fit", &fb_place_worst_fit, &fb_route_best_known },
  { "best-known+dot-product", &fb_place_dot_product, &fb_route_best_known },
  { "best-known+best-fit", &fb_place_best_fit, &fb_route_best_known },
  { "two-choices+accel-guard", &fb_place_accel_guard, &fb_route_two_choices },
  { "best-known+accel-guard", &fb_place_accel_guard, &fb_route_best_known },
};

static gboolean only_product_policies;
static gboolean as_json;
static gboolean measure_scaling;
static char **paths;

static const GOptionEntry options[]
    = { { "ours", 'o', 0, G_OPTION_ARG_NONE, &only_product_policies,
          "Only the product's own policies", NULL },
        { "json", 'j', 0, G_OPTION_ARG_NONE, &as_json, "One JSON object per line", NULL },
        { "slopes", 's', 0, G_OPTION_ARG_NONE, &measure_scaling,
          "Cost of decisions by size of the cell, and memory per waiting task", NULL },
        { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &paths, NULL, "SCENARIO..." },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

static void
print_text (const BenchScenario *scenario, const char *policy, const BenchResult *result)
{
  printf ("  %-24s cpu %5.1f%%  accel %5.1f%% of bound %5.1f%%  preempted %" G_GUINT64_FORMAT
          "  refused %" G_GUINT64_FORMAT "  %.1f us/placement\n",
          policy, 100 * result->cpu_reserved, 100 * result->accel_reserved,
          100 * result->accel_bound, result->preempted, result->refused,
          result->cpu_us_per_placement);
  for (guint i = 0; i < scenario->load_n; i++)
    {
      const BenchClass *class = &result->classes[i];
      printf (
          "      p%u %-14s requested %6u started %6u not-run %4u failed %4u  wait p50 %6u p99 %6u "
          "max %6u ms\n",
          scenario->loads[i].partner, scenario->loads[i].name, class->requested, class->started,
          class->not_run, class->failed, class->p50_ms, class->p99_ms, class->max_ms);
    }
}

static void
print_json (const BenchScenario *scenario, const char *policy, const BenchResult *result)
{
  printf ("{\"scenario\":\"%s\",\"policy\":\"%s\",\"cpu_held\":%.4f,\"accel_held\":%.4f,"
          "\"accel_bound\":%.4f,\"preempted\":%" G_GUINT64_FORMAT ",\"classes\":[",
          scenario->name, policy, result->cpu_reserved, result->accel_reserved, result->accel_bound,
          result->preempted);
  for (guint i = 0; i < scenario->load_n; i++)
    {
      const BenchClass *class = &result->classes[i];
      printf ("%s{\"name\":\"%s\",\"asked\":%u,\"started\":%u,\"not_run\":%u,\"p50_ms\":%u,"
              "\"p99_ms\":%u,\"max_ms\":%u}",
              i > 0 ? "," : "", scenario->loads[i].name, class->requested, class->started,
              class->not_run, class->p50_ms, class->p99_ms, class->max_ms);
    }
  printf ("]}\n");
}

static void
run_scenario (const BenchScenario *scenario)
{
  if (!as_json)
    printf ("%s\n", scenario->name);
  guint first = only_product_policies ? G_N_ELEMENTS (policies) - 1 : 0;
  for (guint i = first; i < G_N_ELEMENTS (policies); i++)
    {
      BenchResult result = bench_run (scenario, policies[i].place, policies[i].route);
      if (as_json)
        print_json (scenario, policies[i].name, &result);
      else
        print_text (scenario, policies[i].name, &result);
    }
}

/* Measures the cost of decisions in cells of four sizes with the same load per host. */
static void
run_scaling (void)
{
  static const guint sizes[] = { 24, 96, 384, 1536 };
  printf ("racks   hosts  tasks started  us/placement (all decisions: route, range, rack)\n");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      guint n = sizes[i];
      BenchScenario scenario = { .name = (char *) "slopes",
                                 .racks_small = n / 3,
                                 .racks_large = n / 3,
                                 .racks_accel = n / 3,
                                 .seconds = n > 400 ? 4 : 12,
                                 .seed = 1,
                                 .ranges = 4,
                                 .summary_interval_ms = 1000,
                                 .usage_percent = 100,
                                 .load_n = 2 };
      scenario.loads[0] = (BenchLoad){ .name = (char *) "urgent",
                                       .partner = 0,
                                       .kind = FB_KIND_URGENT,
                                       .demand = { { 1000, 1ull << 30, 0, 1 } },
                                       .tasks = 1,
                                       .jobs_per_s = n * 0.5,
                                       .until_ms = G_MAXUINT64,
                                       .run_ms = 1000 };
      scenario.loads[1] = scenario.loads[0];
      scenario.loads[1].name = (char *) "batch";
      scenario.loads[1].partner = 1;
      scenario.loads[1].kind = FB_KIND_BATCH;
      scenario.loads[1].tasks = 10;
      scenario.loads[1].jobs_per_s = n * 0.05;
      BenchResult result = bench_run (&scenario, NULL, NULL);
      printf ("%5u  %6u  %13" G_GUINT64_FORMAT "  %.1f\n", n, n / 3 * 13, result.placements,
              result.cpu_us_per_placement);
    }
}

/* Measures the memory per waiting task, for jobs of different sizes. */
static void
run_memory (void)
{
  static const guint tasks[] = { 1000, 5000, 20000 };
  printf ("\ntasks waiting  bytes per task (range, rack queues, records of the benchmark)\n");
  for (guint i = 0; i < G_N_ELEMENTS (tasks); i++)
    {
      BenchScenario scenario = { .name = (char *) "memory",
                                 .racks_small = 2,
                                 .seconds = 2,
                                 .seed = 1,
                                 .ranges = 2,
                                 .summary_interval_ms = 1000,
                                 .usage_percent = 100,
                                 .load_n = 1 };
      scenario.loads[0] = (BenchLoad){ .name = (char *) "waiting",
                                       .kind = FB_KIND_BATCH,
                                       .demand = { { 16000, 1ull << 30, 0, 1 } },
                                       .tasks = tasks[i],
                                       .jobs_per_s = 50,
                                       .until_ms = 20,
                                       .run_ms = 600000 };
      BenchResult result = bench_run (&scenario, NULL, NULL);
      printf ("%13u  %.0f\n", tasks[i], result.bytes_per_task);
    }
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new ("- benchmark of scheduling decisions");
  g_option_context_add_main_entries (context, options, NULL);
  g_autoptr (GError) error = NULL;
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return 2;
    }
  fb_event_init ("bench", TRUE);
  if (measure_scaling)
    {
      run_scaling ();
      run_memory ();
    }
  for (guint i = 0; paths != NULL && paths[i] != NULL; i++)
    {
      BenchScenario scenario = { 0 };
      if (!read_scenario (paths[i], &scenario))
        {
          fprintf (stderr, "%s\n", fb_status_message ());
          return 3;
        }
      run_scenario (&scenario);
    }
  return 0;
}

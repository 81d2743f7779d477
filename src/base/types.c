#include "fb-types.h"

#include <string.h>
#include <xxhash.h>

static const char *const kind_names[FB_KIND_N] = { "urgent", "service", "gang", "batch" };

static const char *const run_status_names[]
    = { "none",      "queued", "reserved", "started", "refused",  "not-run",
        "completed", "failed", "stopped",  "lost",    "not-here", "unsure" };

static const char *const reason_names[FB_REASON_N]
    = { "none",          "never-fits", "queue-full",   "quota",          "not-lent",
        "wrong-epoch",   "leaving",    "past-due",     "withdrawn",      "expired",
        "preempted",     "reclaimed",  "worker-lost",  "worker-refused", "cancelled",
        "owner-changed", "overload",   "key-mismatch", "log-down",       "retention-passed" };

static const char *const outcome_names[FB_OUTCOME_N]
    = { "completed", "failed", "not run", "unknown", "pending", "no such job" };

static const char *
name_or_unknown (const char *const *names, gsize n, gsize index)
{
  return index < n ? names[index] : "?";
}

const char *
fb_kind_name (FbKind kind)
{
  return name_or_unknown (kind_names, G_N_ELEMENTS (kind_names), kind);
}

const char *
fb_run_status_name (FbRunStatus run_status)
{
  return name_or_unknown (run_status_names, G_N_ELEMENTS (run_status_names), run_status);
}

const char *
fb_reason_name (FbReason reason)
{
  return name_or_unknown (reason_names, G_N_ELEMENTS (reason_names), reason);
}

const char *
fb_outcome_name (FbOutcome outcome)
{
  return name_or_unknown (outcome_names, G_N_ELEMENTS (outcome_names), outcome);
}

gboolean
fb_kind_parse (const char *name, FbKind *kind)
{
  for (guint i = 0; i < FB_KIND_N; i++)
    {
      if (g_strcmp0 (name, kind_names[i]) == 0)
        {
          *kind = (FbKind) i;
          return TRUE;
        }
    }
  return FALSE;
}

void
fb_res_add (fb_res *to, const fb_res *amount)
{
  for (guint i = 0; i < FB_RES_N; i++)
    to->amount[i] += amount->amount[i];
}

void
fb_res_sub (fb_res *from, const fb_res *amount)
{
  for (guint i = 0; i < FB_RES_N; i++)
    from->amount[i] -= MIN (from->amount[i], amount->amount[i]);
}

gboolean
fb_res_fits (const fb_res *demand, const fb_res *free)
{
  for (guint i = 0; i < FB_RES_N; i++)
    {
      if (demand->amount[i] > free->amount[i])
        return FALSE;
    }
  return TRUE;
}

gboolean
fb_res_is_zero (const fb_res *amount)
{
  for (guint i = 0; i < FB_RES_N; i++)
    {
      if (amount->amount[i] != 0)
        return FALSE;
    }
  return TRUE;
}

uint32_t
fb_res_dominant_share_milli (const fb_res *used, const fb_res *total)
{
  uint64_t share_milli = 0;
  for (guint i = 0; i < FB_RES_N; i++)
    {
      if (used->amount[i] == 0)
        continue;
      uint64_t milli = 1000;
      if (total->amount[i] > 0)
        milli = (uint64_t) ((double) used->amount[i] * 1000.0 / (double) total->amount[i]);
      share_milli = MAX (share_milli, milli);
    }
  return (uint32_t) MIN (share_milli, G_MAXUINT32);
}

guint
fb_run_hash (gconstpointer run)
{
  const fb_run *r = run;
  uint64_t mixed = (r->job ^ ((uint64_t) r->index << 32) ^ r->attempt) * 0x9E3779B97F4A7C15ull;
  return (guint) (mixed >> 32);
}

gboolean
fb_run_equal (gconstpointer a, gconstpointer b)
{
  const fb_run *x = a;
  const fb_run *y = b;
  return x->job == y->job && x->index == y->index && x->attempt == y->attempt;
}

FbWaitClass
fb_spec_wait_class (const fb_spec *spec)
{
  if (spec->kind == FB_KIND_URGENT)
    return FB_WAIT_CLASS_URGENT;
  return spec->demand.amount[FB_RES_ACCEL_COUNT] > 0 ? FB_WAIT_CLASS_ACCEL : FB_WAIT_CLASS_OTHER;
}

void
fb_spec_copy (fb_spec *to, const fb_spec *from)
{
  *to = *from;
  to->payload.payload_val = g_memdup2 (from->payload.payload_val, from->payload.payload_len);
}

void
fb_spec_clear (fb_spec *spec)
{
  g_clear_pointer (&spec->payload.payload_val, g_free);
  spec->payload.payload_len = 0;
}

void
fb_job_copy (fb_job *to, const fb_job *from)
{
  *to = *from;
  to->key = g_strdup (from->key);
  to->payload.payload_val = g_memdup2 (from->payload.payload_val, from->payload.payload_len);
}

void
fb_job_clear (fb_job *job)
{
  g_clear_pointer (&job->key, g_free);
  g_clear_pointer (&job->payload.payload_val, g_free);
  job->payload.payload_len = 0;
}

uint64_t
fb_deadline_after (uint64_t now_ms, uint64_t remaining_ms)
{
  return remaining_ms >= FB_NO_DEADLINE_MS - now_ms ? FB_NO_DEADLINE_MS : now_ms + remaining_ms;
}

uint64_t
fb_deadline_remaining (uint64_t now_ms, uint64_t due_ms)
{
  if (due_ms == FB_NO_DEADLINE_MS)
    return FB_NO_DEADLINE_MS;
  return due_ms > now_ms ? due_ms - now_ms : 0;
}

uint64_t
fb_hash64 (const char *text, uint64_t salt)
{
  return XXH64 (text, strlen (text), salt);
}

#include "internal/pool-advice-requests.h"

/* A part of a gang's first request is awaited for OVERDUE_FACTOR times its expected duration: that
 * long it takes behind another request of the same length.  After that the gang is placed on the
 * workers of the other parts, or renews their tickets, as if the part did not exist. */
#define OVERDUE_FACTOR 2

void
fb_pool_advice_request_free (gpointer data)
{
  FbPoolAdviceRequest *request = data;
  if (request->open_n != NULL)
    (*request->open_n)--;
  g_hash_table_unref (request->workers);
  g_free (request);
}

void
fb_pool_advice_requests_add (FbPoolStep *step, const GPtrArray *ids,
                             const FbPoolAdviceRequest *request)
{
  FbPoolAdviceRequest *added = g_memdup2 (request, sizeof *request);
  added->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < ids->len; i++)
    g_hash_table_add (added->workers, g_strdup (ids->pdata[i]));
  if (step->advice_requests == NULL)
    step->advice_requests = g_ptr_array_new_with_free_func (fb_pool_advice_request_free);
  g_ptr_array_add (step->advice_requests, added);
  if (added->open_n != NULL)
    (*added->open_n)++;
}

/* TRUE when an answer for the N WORKERS may be that of REQUEST.  The open requests of a step list
 * different workers.  An answer for more workers is a late one: that of an earlier request, which
 * has timed out. */
static gboolean
is_answered_by (const FbPoolAdviceRequest *request, const char *const *workers, guint n)
{
  if (n > g_hash_table_size (request->workers))
    return FALSE;
  for (guint i = 0; i < n; i++)
    {
      if (g_hash_table_contains (request->workers, workers[i]))
        return TRUE;
    }
  return FALSE;
}

static void
end_request (FbPoolStep *step, guint position, gboolean failed)
{
  FbPoolAdviceRequest *request = step->advice_requests->pdata[position];
  if (failed && request->is_part)
    request->until_ms = 0;
  else
    g_ptr_array_remove_index (step->advice_requests, position);
}

void
fb_pool_advice_requests_ended (FbPoolStep *step, const char *const *workers, guint n,
                               gboolean failed)
{
  for (guint i = 0; step->advice_requests != NULL && i < step->advice_requests->len; i++)
    {
      if (is_answered_by (step->advice_requests->pdata[i], workers, n))
        {
          end_request (step, i, failed);
          return;
        }
    }
}

void
fb_pool_advice_requests_expire (FbPoolStep *step, uint64_t now_ms)
{
  guint n = step->advice_requests != NULL ? step->advice_requests->len : 0;
  for (guint i = n; i > 0; i--)
    {
      const FbPoolAdviceRequest *request = step->advice_requests->pdata[i - 1];
      if (now_ms >= request->until_ms)
        end_request (step, i - 1, TRUE);
    }
}

const FbPoolAdviceRequest *
fb_pool_advice_requests_single (const FbPoolStep *step)
{
  for (guint i = 0; step->advice_requests != NULL && i < step->advice_requests->len; i++)
    {
      const FbPoolAdviceRequest *request = step->advice_requests->pdata[i];
      if (!request->is_part)
        return request;
    }
  return NULL;
}

gboolean
fb_pool_advice_requests_await_part (const FbPoolStep *step, uint64_t now_ms)
{
  for (guint i = 0; step->advice_requests != NULL && i < step->advice_requests->len; i++)
    {
      const FbPoolAdviceRequest *request = step->advice_requests->pdata[i];
      if (request->is_part && request->until_ms != 0
          && now_ms < request->sent_ms + (uint64_t) OVERDUE_FACTOR * request->expected_ms)
        return TRUE;
    }
  return FALSE;
}

FbPoolAdviceRequest *
fb_pool_advice_requests_take_failed (FbPoolStep *step)
{
  for (guint i = 0; step->advice_requests != NULL && i < step->advice_requests->len; i++)
    {
      if (((FbPoolAdviceRequest *) step->advice_requests->pdata[i])->until_ms == 0)
        return g_ptr_array_steal_index (step->advice_requests, i);
    }
  return NULL;
}

gboolean
fb_pool_advice_requests_are_open (const FbPoolStep *step)
{
  return step->advice_requests != NULL && step->advice_requests->len > 0;
}

gboolean
fb_pool_advice_requests_are_sent (const FbPoolStep *step)
{
  for (guint i = 0; step->advice_requests != NULL && i < step->advice_requests->len; i++)
    {
      if (((const FbPoolAdviceRequest *) step->advice_requests->pdata[i])->until_ms != 0)
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_pool_advice_requests_list (const FbPoolStep *step, const char *worker)
{
  for (guint i = 0; step->advice_requests != NULL && i < step->advice_requests->len; i++)
    {
      const FbPoolAdviceRequest *request = step->advice_requests->pdata[i];
      if (g_hash_table_contains (request->workers, worker))
        return TRUE;
    }
  return FALSE;
}

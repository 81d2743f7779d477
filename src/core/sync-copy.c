#include "internal/sync-copy.h"

FbSyncRequest *
fb_sync_request_copy (const FbSyncRequest *request)
{
  FbSyncRequest *self = g_memdup2 (request, sizeof *request);
  self->starts = g_ptr_array_new ();
  for (guint i = 0; i < request->starts->len; i++)
    {
      fb_spec *spec = g_new0 (fb_spec, 1);
      fb_spec_copy (spec, g_ptr_array_index (request->starts, i));
      g_ptr_array_add (self->starts, spec);
    }
  self->start_by_ms = g_array_copy (request->start_by_ms);
  self->stops = g_array_copy (request->stops);
  self->throttles = g_array_copy (request->throttles);
  self->acks = g_array_copy (request->acks);
  return self;
}

void
fb_sync_request_free (FbSyncRequest *self)
{
  for (guint i = 0; i < self->starts->len; i++)
    {
      fb_spec *spec = g_ptr_array_index (self->starts, i);
      fb_spec_clear (spec);
      g_free (spec);
    }
  g_ptr_array_free (self->starts, TRUE);
  g_array_free (self->start_by_ms, TRUE);
  g_array_free (self->stops, TRUE);
  g_array_free (self->throttles, TRUE);
  g_array_free (self->acks, TRUE);
  g_free (self);
}

FbSyncReply *
fb_sync_reply_copy (const FbSyncReply *reply)
{
  FbSyncReply *self = g_memdup2 (reply, sizeof *reply);
  FbSyncRun *runs = g_memdup2 (reply->runs, reply->run_n * sizeof *reply->runs);
  for (guint i = 0; i < reply->run_n; i++)
    runs[i].answer = g_memdup2 (reply->runs[i].answer, reply->runs[i].answer_len);
  self->runs = runs;
  return self;
}

void
fb_sync_reply_free (FbSyncReply *self)
{
  for (guint i = 0; i < self->run_n; i++)
    g_free ((char *) self->runs[i].answer);
  g_free ((FbSyncRun *) self->runs);
  g_free (self);
}

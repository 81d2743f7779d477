#include "loop.h"

struct _FbLoop
{
  GMainContext *context;
  GMainLoop *loop;
  GThread *thread;
};

typedef struct
{
  FbLoopFunc func;
  gpointer data;
  GDestroyNotify free;
} Message;

static FbLoop *
loop_new (GMainContext *context)
{
  FbLoop *self = g_new0 (FbLoop, 1);
  self->context = context;
  self->loop = g_main_loop_new (context, FALSE);
  return self;
}

void
fb_loop_run (FbLoop *self)
{
  g_main_context_push_thread_default (self->context);
  g_main_loop_run (self->loop);
  g_main_context_pop_thread_default (self->context);
}

static gpointer
thread_main (gpointer data)
{
  fb_loop_run (data);
  return NULL;
}

FbLoop *
fb_loop_new (const char *name)
{
  FbLoop *self = loop_new (g_main_context_new ());
  self->thread = g_thread_new (name, thread_main, self);
  return self;
}

FbLoop *
fb_loop_new_for_current_thread (void)
{
  return loop_new (g_main_context_ref (g_main_context_default ()));
}

uint64_t
fb_loop_now_ms (void)
{
  return (uint64_t) g_get_monotonic_time () / 1000;
}

static gboolean
run_message (gpointer data)
{
  Message *message = data;
  message->func (message->data);
  return G_SOURCE_REMOVE;
}

static void
message_free (gpointer data)
{
  Message *message = data;
  if (message->free != NULL)
    message->free (message->data);
  g_free (message);
}

void
fb_loop_post (FbLoop *self, FbLoopFunc func, gpointer data, GDestroyNotify free)
{
  Message *message = g_new (Message, 1);
  *message = (Message){ func, data, free };
  GSource *source = g_idle_source_new ();
  g_source_set_priority (source, G_PRIORITY_DEFAULT);
  g_source_set_callback (source, run_message, message, message_free);
  g_source_attach (source, self->context);
  g_source_unref (source);
}

static gboolean
run_periodic (gpointer data)
{
  Message *message = data;
  message->func (message->data);
  return G_SOURCE_CONTINUE;
}

void
fb_loop_add_periodic (FbLoop *self, guint period_ms, FbLoopFunc func, gpointer data)
{
  Message *message = g_new (Message, 1);
  *message = (Message){ func, data, NULL };
  GSource *source = g_timeout_source_new (period_ms);
  g_source_set_callback (source, run_periodic, message, message_free);
  g_source_attach (source, self->context);
  g_source_unref (source);
}

GMainContext *
fb_loop_context (FbLoop *self)
{
  return self->context;
}

static void
quit (gpointer data)
{
  FbLoop *self = data;
  g_main_loop_quit (self->loop);
}

void
fb_loop_join (FbLoop *self)
{
  if (self->thread == NULL)
    return;
  fb_loop_post (self, quit, self, NULL);
  g_thread_join (self->thread);
  self->thread = NULL;
}

void
fb_loop_free (FbLoop *self)
{
  fb_loop_join (self);
  g_main_loop_unref (self->loop);
  g_main_context_unref (self->context);
  g_free (self);
}

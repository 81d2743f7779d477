/* A task: a thread with its own main context that others send messages to.
 *
 * A task owns its sockets and its state; no other thread touches them.  A
 * message is a function with its data, run on the task's thread in order. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbLoop FbLoop;
typedef void (*FbLoopFunc) (gpointer data);

/* Starts a thread called NAME.  (transfer full) */
FbLoop *fb_loop_new (const char *name);
/* A task that runs on the calling thread, in fb_loop_run(). */
FbLoop *fb_loop_new_here (void);
void fb_loop_run (FbLoop *self);

/* Returns: the monotonic clock that all tasks of the process share. */
uint64_t fb_loop_now_ms (void);

/* Sends a message.  DATA is freed with FREE after FUNC, or unrun at the end. */
void fb_loop_post (FbLoop *self, FbLoopFunc func, gpointer data, GDestroyNotify free);

/* Calls FUNC on the task every PERIOD_MS; from the task's own thread, or before
 * others send to it. */
void fb_loop_every (FbLoop *self, guint period_ms, FbLoopFunc func, gpointer data);

/* Returns: the context, borrowed, for sockets of the task. */
GMainContext *fb_loop_context (FbLoop *self);

/* Ends the task after the messages already sent, and joins its thread.  What is
 * sent later is kept and never run, so others may still hold the task. */
void fb_loop_join (FbLoop *self);
/* Joins and frees the task. */
void fb_loop_free (FbLoop *self);

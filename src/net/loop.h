/* Event loop: a thread with its own GMainContext, to which other threads post messages.
 *
 * Sockets and state belong to one loop and are accessed on its thread only. A message is a function
 * with its data; messages run on the loop's thread in the order in which they were posted. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbLoop FbLoop;
typedef void (*FbLoopFunc) (gpointer data);

/* Returns: (transfer full): a loop that runs in a new thread with the name NAME. */
FbLoop *fb_loop_new (const char *name);
/* Returns: (transfer full): a loop that runs on the calling thread, in fb_loop_run(). */
FbLoop *fb_loop_new_for_current_thread (void);
void fb_loop_run (FbLoop *self);

/* Returns: the time in ms of the monotonic clock, which all threads share. */
uint64_t fb_loop_now_ms (void);

/* Posts a message. DATA is freed with FREE (may be NULL) after FUNC has run, or when the loop is
 * freed without running it. */
void fb_loop_post (FbLoop *self, FbLoopFunc func, gpointer data, GDestroyNotify free);

/* Calls FUNC on the loop's thread every PERIOD_MS. Must be called from that thread, or before other
 * threads post to the loop. */
void fb_loop_add_periodic (FbLoop *self, guint period_ms, FbLoopFunc func, gpointer data);

/* Returns: the context, borrowed, to attach the loop's sockets to. */
GMainContext *fb_loop_context (FbLoop *self);

/* Ends the loop after the messages already posted, and joins its thread. Messages that are posted
 * later are queued but never run, so other threads may still use the loop. */
void fb_loop_join (FbLoop *self);
/* Joins the thread and frees the loop. */
void fb_loop_free (FbLoop *self);

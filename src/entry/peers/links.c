/* Connections between daemons.
 *
 * A daemon on a quarter of a core answers some hundreds of calls from its peers per second.  Over
 * HTTP each call took 0.3 ms of processor time, and each connection added a source that the main
 * loop checks in every iteration.  Here one epoll descriptor covers all connections, and the frames
 * for a peer from one iteration are written in one system call.
 *
 * A connection may stop delivering data permanently while new connections work.  Therefore each
 * call has a timeout; when it expires and nothing was received on the connection since the call was
 * sent, the connection is closed, and the next call opens a new one. */
#define _GNU_SOURCE /* accept4() */
#include "links-private.h"
#include "src/entry/clock.h"

#include "fb-event.h"
#include "fb-status.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_PER_ITERATION 64
#define BACKLOG 128
/* Time for which received data is read before calls are checked for timeouts.  If more is left, the
 * check waits, up to the given number of times in a row. */
#define READ_AHEAD_MS 20
#define DEFERRED_CHECKS_MAX 8

typedef struct
{
  GSource base;
  FbLinks *links;
} LinksSource;

/* ---- events --------------------------------------------------------------------------- */

static void
write_dirty (FbLinks *self)
{
  if (self->dirty->len > 0)
    self->now_ms = fb_clock_ms ();
  while (self->dirty->len > 0)
    {
      FbLinkConnection *connection
          = g_ptr_array_remove_index_fast (self->dirty, self->dirty->len - 1);
      connection->dirty = FALSE;
      if (!fb_link_connection_write (connection))
        fb_link_connection_close (connection);
    }
}

/* Returns: the number of accepted connections, from which nothing has been read. */
static guint
accept_all (FbLinks *self)
{
  for (guint n = 0;; n++)
    {
      int fd = accept4 (self->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return n; /* no connection is pending, or the peer has closed it */
      fb_link_connection_watch (fb_link_connection_new (self, fd, NULL), EPOLL_CTL_ADD, FALSE);
    }
}

static gboolean
prepare (GSource *source, gint *timeout_ms)
{
  *timeout_ms = -1;
  write_dirty (((LinksSource *) source)->links);
  return FALSE;
}

/* EVENTS_N events of the poll at POLLED_MS have been handled.  Connections with data are returned
 * in turn, so as many events as there are connections have emptied each. */
static void
advance_sweep (FbLinks *self, uint64_t polled_ms, guint events_n, guint accepted_n)
{
  if (self->sweep_events_n == 0)
    self->sweep_began_ms = polled_ms;
  self->sweep_events_n += events_n;
  if (accepted_n > 0
      || (events_n == EVENTS_PER_ITERATION && self->sweep_events_n <= self->all->len))
    return;
  self->drained_ms = self->sweep_began_ms;
  self->sweep_events_n = 0;
}

/* Handles one batch of events.  An event may close the connections of later ones.
 * Returns: FALSE when no more are pending. */
static gboolean
handle_events (FbLinks *self)
{
  struct epoll_event events[EVENTS_PER_ITERATION];
  guint accepted_n = 0;
  uint64_t polled_ms = fb_clock_ms ();
  self->now_ms = polled_ms;
  int n = epoll_wait (self->epoll, events, EVENTS_PER_ITERATION, 0);
  for (int i = 0; i < n; i++)
    {
      if (events[i].data.ptr != NULL)
        fb_link_connection_ref (events[i].data.ptr);
    }
  for (int i = 0; i < n; i++)
    {
      FbLinkConnection *connection = events[i].data.ptr;
      if (connection == NULL)
        accepted_n += accept_all (self);
      else if (!connection->closed)
        fb_link_connection_handle (connection, events[i].events);
      if (connection != NULL)
        fb_link_connection_unref (connection);
    }
  advance_sweep (self, polled_ms, (guint) MAX (n, 0), accepted_n);
  return n == EVENTS_PER_ITERATION;
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user)
{
  (void) callback;
  (void) user;
  (void) handle_events (((LinksSource *) source)->links);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { .prepare = prepare, .dispatch = dispatch };

/* ---- calls ------------------------------------------------------------------------------ */

static gboolean
parse_address (const char *address, struct sockaddr_in *parsed)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *ip = colon != NULL ? g_strndup (address, (gsize) (colon - address)) : NULL;
  *parsed = (struct sockaddr_in){ .sin_family = AF_INET };
  if (ip == NULL || inet_pton (AF_INET, ip, &parsed->sin_addr) != 1)
    return FALSE;
  unsigned long port = strtoul (colon + 1, NULL, 10);
  parsed->sin_port = htons ((uint16_t) port);
  return port > 0 && port <= G_MAXUINT16;
}

/* Returns: (nullable): a connection to ADDRESS, established or being established. */
static FbLinkConnection *
connection_to (FbLinks *self, const char *address)
{
  FbLinkConnection *connection = g_hash_table_lookup (self->by_address, address);
  struct sockaddr_in parsed;
  if (connection != NULL || !parse_address (address, &parsed))
    return connection;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (struct sockaddr *) &parsed, sizeof parsed) < 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  connection = fb_link_connection_new (self, fd, address);
  connection->connecting = TRUE;
  g_hash_table_insert (self->by_address, connection->address, connection);
  fb_link_connection_watch (connection, EPOLL_CTL_ADD, TRUE);
  return connection;
}

typedef struct
{
  FbLinkDone done;
  gpointer user;
} Unsent;

static gboolean
on_unsent (gpointer data)
{
  Unsent *unsent = data;
  unsent->done (unsent->user, FB_LINK_NOT_SENT, NULL, 0);
  g_free (unsent);
  return G_SOURCE_REMOVE;
}

void
fb_links_call (FbLinks *self, const char *address, GBytes *body, uint32_t timeout_ms,
               FbLinkDone done, gpointer user)
{
  self->now_ms = fb_clock_ms ();
  FbLinkConnection *connection = connection_to (self, address);
  if (connection != NULL && fb_link_connection_call (connection, body, timeout_ms, done, user))
    return;
  Unsent *unsent = g_new0 (Unsent, 1);
  unsent->done = done;
  unsent->user = user;
  g_idle_add (on_unsent, unsent);
}

/* Returns: FALSE when more data was received than is read in READ_AHEAD_MS. */
static gboolean
read_ahead (FbLinks *self)
{
  uint64_t until_ms = fb_clock_ms () + READ_AHEAD_MS;
  while (handle_events (self))
    {
      if (fb_clock_ms () >= until_ms)
        return FALSE;
    }
  return TRUE;
}

/* Reads what was received before any call times out.  After an iteration of 380 ms, the calls to
 * all relays of an owner had timed out although their answers waited in its sockets. */
void
fb_links_check_timeouts (FbLinks *self, uint64_t now_ms)
{
  if (!read_ahead (self) && self->deferred_checks_n < DEFERRED_CHECKS_MAX)
    {
      self->deferred_checks_n++;
      return;
    }
  self->deferred_checks_n = 0;
  self->now_ms = now_ms;
  for (guint i = self->all->len; i > 0; i--)
    {
      if (i > self->all->len)
        continue; /* callbacks have closed some connections */
      FbLinkConnection *connection = self->all->pdata[i - 1];
      fb_link_connection_ref (connection);
      if (!fb_link_connection_check_timeouts (connection, now_ms) && !connection->closed)
        {
          fb_event_log (FB_EVENT_PEER_UNREACHABLE, "address=%s silent_ms=%u",
                        connection->address != NULL ? connection->address : "",
                        (guint) (now_ms - connection->received_ms));
          fb_link_connection_close (connection);
        }
      fb_link_connection_unref (connection);
    }
}

/* ---- construction -------------------------------------------------------------------------- */

static int
listen_on (const char *address)
{
  struct sockaddr_in parsed;
  if (!parse_address (address, &parsed))
    {
      fb_status_set_message ("cannot listen on %s: expected IP:PORT", address);
      return -1;
    }
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int yes = 1;
  if (fd >= 0)
    (void) setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (fd >= 0 && bind (fd, (struct sockaddr *) &parsed, sizeof parsed) == 0
      && listen (fd, BACKLOG) == 0)
    return fd;
  fb_status_set_message ("cannot listen on %s: %s", address, g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

FbLinks *
fb_links_new (const char *address, FbLinkServe serve, gpointer user)
{
  int listener = listen_on (address);
  if (listener < 0)
    return NULL;
  FbLinks *self = g_new0 (FbLinks, 1);
  self->listener = listener;
  self->epoll = epoll_create1 (EPOLL_CLOEXEC);
  g_assert (self->epoll >= 0);
  self->serve = serve;
  self->user = user;
  self->now_ms = fb_clock_ms ();
  self->drained_ms = self->now_ms;
  self->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  self->all = g_ptr_array_new ();
  self->dirty = g_ptr_array_new ();
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = NULL };
  (void) epoll_ctl (self->epoll, EPOLL_CTL_ADD, listener, &event);
  self->source = g_source_new (&source_funcs, sizeof (LinksSource));
  ((LinksSource *) self->source)->links = self;
  g_source_add_unix_fd (self->source, self->epoll, G_IO_IN);
  g_source_attach (self->source, g_main_context_get_thread_default ());
  return self;
}

void
fb_links_free (FbLinks *self)
{
  while (self->all->len > 0)
    {
      FbLinkConnection *connection = self->all->pdata[0];
      Pending *pending = NULL;
      while ((pending = g_queue_pop_head (&connection->pending)) != NULL)
        g_free (pending);
      fb_link_connection_close (connection);
    }
  g_source_destroy (self->source);
  g_source_unref (self->source);
  close (self->listener);
  close (self->epoll);
  g_hash_table_unref (self->by_address);
  g_ptr_array_unref (self->all);
  g_ptr_array_unref (self->dirty);
  g_free (self);
}

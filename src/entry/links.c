/* A daemon on a quarter of a core answers some hundred calls of its peers a second.  Over
 * HTTP each cost it 0.3 ms, and each connection was one more source of the main loop, which
 * looks at all of them in every turn.  Here one epoll descriptor stands for all connections,
 * and what is written to a peer in one turn of the loop leaves in one system call.
 *
 * A frame is a header of three 32-bit words in network order (length of what follows the
 * first word, number of the call, kind) and a body.  Numbers are the caller's, unique on
 * its connection.
 *
 * Failure: a connection goes silent for good while new ones work; it shows as calls that get
 * no answer.  Guard: each call has a time limit, and a connection on which nothing was heard
 * since a call that has passed its limit was sent is closed; the next call opens another. */
#define _GNU_SOURCE /* accept4() */
#include "links.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-status.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_BYTES 12
#define KIND_CALL 1
#define KIND_ANSWER 2
/* Largest body: a batch of records that a peer appends, and room for its encoding. */
#define BODY_MAX_BYTES (2 * 1024 * 1024)
/* A peer that reads nothing gets no more than this. */
#define OUT_MAX_BYTES (8 * 1024 * 1024)
#define READ_BYTES (64 * 1024)
#define EVENTS_PER_TURN 64
#define BACKLOG 128
/* Between failure domains a connection is made in some 5 ms. */
#define CONNECT_MS 400
/* A connection from a peer that lost its power is closed after these. */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_EVERY_S 2
#define KEEPALIVE_N 3

typedef struct
{
  uint32_t number;
  uint64_t frame_from; /* bytes written to the connection before its frame */
  uint64_t sent_ms;
  uint64_t until_ms;
  FbLinkDone done;
  gpointer user;
} Pending;

typedef struct
{
  FbLinks *links;
  int fd;
  char *address; /* of the peer that was called; NULL: it is the caller */
  gboolean connecting;
  gboolean dirty; /* it has bytes to write and is listed for that */
  gboolean closed;
  guint refs; /* one of the links, one of each call that is being served */
  uint64_t began_ms;
  uint64_t heard_ms;
  uint32_t last_number;
  uint64_t written;
  GByteArray *out;
  gsize out_from;
  GByteArray *in;
  GQueue pending; /* of Pending, in the order of their numbers */
} Connection;

struct _FbLinkCall
{
  Connection *connection;
  uint32_t number;
};

typedef struct
{
  GSource base;
  FbLinks *links;
} LinksSource;

struct _FbLinks
{
  int epoll;
  int listener;
  GSource *source;
  FbLinkServe serve;
  gpointer user;
  uint64_t now_ms;
  GHashTable *by_address; /* address -> Connection: where calls go out */
  GPtrArray *all;         /* of Connection */
  GPtrArray *dirty;       /* of Connection */
};

/* ---- connections --------------------------------------------------------------- */

static void
connection_unref (Connection *self)
{
  if (--self->refs > 0)
    return;
  g_byte_array_unref (self->out);
  g_byte_array_unref (self->in);
  g_free (self->address);
  g_free (self);
}

static Connection *
connection_new (FbLinks *links, int fd, const char *address)
{
  Connection *self = g_new0 (Connection, 1);
  self->links = links;
  self->fd = fd;
  self->address = g_strdup (address);
  self->refs = 1;
  self->began_ms = links->now_ms;
  self->heard_ms = links->now_ms;
  self->out = g_byte_array_new ();
  self->in = g_byte_array_new ();
  g_ptr_array_add (links->all, self);
  return self;
}

static void
watch (const Connection *self, int operation, gboolean for_room)
{
  struct epoll_event event
      = { .events = EPOLLIN | (for_room ? EPOLLOUT : 0), .data.ptr = (gpointer) self };
  (void) epoll_ctl (self->links->epoll, operation, self->fd, &event);
}

static void
set_up_socket (int fd)
{
  static const struct
  {
    int level;
    int name;
    int value;
  } options[] = { { IPPROTO_TCP, TCP_NODELAY, 1 },
                  { SOL_SOCKET, SO_KEEPALIVE, 1 },
                  { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
                  { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_EVERY_S },
                  { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_N } };
  for (gsize i = 0; i < G_N_ELEMENTS (options); i++)
    (void) setsockopt (fd, options[i].level, options[i].name, &options[i].value, sizeof (int));
}

/* Ends SELF: calls that were not written at all were not sent, the others are lost. */
static void
close_connection (Connection *self)
{
  if (self->closed)
    return;
  FbLinks *links = self->links;
  self->closed = TRUE;
  close (self->fd);
  g_ptr_array_remove_fast (links->all, self);
  if (self->dirty)
    g_ptr_array_remove_fast (links->dirty, self);
  if (self->address != NULL && g_hash_table_lookup (links->by_address, self->address) == self)
    g_hash_table_remove (links->by_address, self->address);
  Pending *pending = NULL;
  while ((pending = g_queue_pop_head (&self->pending)) != NULL)
    {
      FbLinkResult result = self->written <= pending->frame_from ? FB_LINK_NOT_SENT : FB_LINK_LOST;
      pending->done (pending->user, result, NULL, 0);
      g_free (pending);
    }
  connection_unref (self);
}

/* ---- writing --------------------------------------------------------------------- */

static gsize
unwritten (const Connection *self)
{
  return self->out->len - self->out_from;
}

static void
put_frame (Connection *self, uint32_t number, uint32_t kind, GBytes *body)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (body, &len);
  uint32_t header[3] = { htonl ((uint32_t) (len + HEADER_BYTES - sizeof (uint32_t))),
                         htonl (number), htonl (kind) };
  g_byte_array_append (self->out, (const guint8 *) header, HEADER_BYTES);
  if (len > 0)
    g_byte_array_append (self->out, data, (guint) len);
  if (self->dirty)
    return;
  self->dirty = TRUE;
  g_ptr_array_add (self->links->dirty, self);
}

/* Returns: FALSE when the connection is of no more use. */
static gboolean
write_out (Connection *self)
{
  if (self->connecting)
    return TRUE;
  while (unwritten (self) > 0)
    {
      ssize_t n = send (self->fd, self->out->data + self->out_from, unwritten (self), MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          watch (self, EPOLL_CTL_MOD, TRUE);
          return TRUE;
        }
      if (n <= 0)
        return FALSE;
      self->out_from += (gsize) n;
      self->written += (gsize) n;
      fb_counter_add (FB_COUNTER_PEER_BYTES_SENT, (uint64_t) n);
    }
  g_byte_array_set_size (self->out, 0);
  self->out_from = 0;
  return TRUE;
}

static void
write_dirty (FbLinks *self)
{
  while (self->dirty->len > 0)
    {
      Connection *connection = g_ptr_array_remove_index_fast (self->dirty, self->dirty->len - 1);
      connection->dirty = FALSE;
      if (!write_out (connection))
        close_connection (connection);
    }
}

/* ---- reading ----------------------------------------------------------------------- */

static void
take_call (Connection *self, uint32_t number, const guint8 *body, gsize len)
{
  FbLinkCall *call = g_new0 (FbLinkCall, 1);
  call->connection = self;
  call->number = number;
  self->refs++;
  self->links->serve (self->links->user, call, body, len);
}

static void
take_answer (Connection *self, uint32_t number, const guint8 *body, gsize len)
{
  for (GList *l = self->pending.head; l != NULL; l = l->next)
    {
      Pending *pending = l->data;
      if (pending->number != number)
        continue;
      g_queue_delete_link (&self->pending, l);
      pending->done (pending->user, FB_LINK_ANSWERED, body, len);
      g_free (pending);
      return;
    }
  /* Its caller has given it up. */
}

static uint32_t
word_at (const GByteArray *bytes, gsize at)
{
  uint32_t word = 0;
  memcpy (&word, bytes->data + at, sizeof word);
  return ntohl (word);
}

/* Returns: FALSE when the peer does not speak this protocol. */
static gboolean
take_frames (Connection *self)
{
  gsize at = 0;
  while (!self->closed && self->in->len - at >= HEADER_BYTES)
    {
      uint32_t len = word_at (self->in, at);
      if (len < HEADER_BYTES - sizeof (uint32_t) || len > BODY_MAX_BYTES)
        return FALSE;
      gsize frame = len + sizeof (uint32_t);
      if (self->in->len - at < frame)
        break;
      uint32_t number = word_at (self->in, at + sizeof (uint32_t));
      uint32_t kind = word_at (self->in, at + 2 * sizeof (uint32_t));
      const guint8 *body = self->in->data + at + HEADER_BYTES;
      at += frame;
      if (kind == KIND_CALL)
        take_call (self, number, body, frame - HEADER_BYTES);
      else if (kind == KIND_ANSWER)
        take_answer (self, number, body, frame - HEADER_BYTES);
      else
        return FALSE;
    }
  if (at > 0 && !self->closed)
    g_byte_array_remove_range (self->in, 0, (guint) at);
  return TRUE;
}

/* Returns: FALSE when the connection has ended. */
static gboolean
read_in (Connection *self)
{
  static guint8 buffer[READ_BYTES];
  for (;;)
    {
      ssize_t n = recv (self->fd, buffer, sizeof buffer, 0);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
      if (n == 0)
        return FALSE;
      self->heard_ms = self->links->now_ms;
      g_byte_array_append (self->in, buffer, (guint) n);
      if ((gsize) n < sizeof buffer)
        return take_frames (self);
      if (!take_frames (self) || self->closed)
        return FALSE;
    }
}

/* ---- events --------------------------------------------------------------------------- */

static uint64_t
clock_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t) now.tv_sec * 1000 + (uint64_t) now.tv_nsec / 1000000;
}

static void
accept_all (FbLinks *self)
{
  for (;;)
    {
      int fd = accept4 (self->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return; /* none is left, or it has gone again */
      set_up_socket (fd);
      watch (connection_new (self, fd, NULL), EPOLL_CTL_ADD, FALSE);
    }
}

/* Returns: FALSE when the peer cannot be reached. */
static gboolean
finish_connecting (Connection *self)
{
  int error = 0;
  socklen_t len = sizeof error;
  if (getsockopt (self->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error != 0)
    return FALSE;
  self->connecting = FALSE;
  watch (self, EPOLL_CTL_MOD, FALSE);
  return TRUE;
}

static void
handle_connection (Connection *self, uint32_t events)
{
  gboolean fine = TRUE;
  self->refs++; /* what it calls may close it */
  if (self->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
    fine = finish_connecting (self) && write_out (self);
  else if (events & EPOLLOUT)
    {
      watch (self, EPOLL_CTL_MOD, FALSE);
      fine = write_out (self);
    }
  if (fine && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) && !self->connecting)
    fine = read_in (self);
  if (!fine)
    close_connection (self);
  connection_unref (self);
}

/* A connection that an earlier event of the same turn has closed is skipped. */
static gboolean
is_open (const FbLinks *self, gconstpointer connection)
{
  return g_ptr_array_find (self->all, connection, NULL);
}

static gboolean
prepare (GSource *source, gint *timeout_ms)
{
  *timeout_ms = -1;
  write_dirty (((LinksSource *) source)->links);
  return FALSE;
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user)
{
  (void) callback;
  (void) user;
  FbLinks *self = ((LinksSource *) source)->links;
  struct epoll_event events[EVENTS_PER_TURN];
  self->now_ms = clock_ms ();
  int n = epoll_wait (self->epoll, events, EVENTS_PER_TURN, 0);
  for (int i = 0; i < n; i++)
    {
      if (events[i].data.ptr == NULL)
        accept_all (self);
      else if (is_open (self, events[i].data.ptr))
        handle_connection (events[i].data.ptr, events[i].events);
    }
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

/* Returns: (nullable): a connection to ADDRESS, made or being made. */
static Connection *
connection_to (FbLinks *self, const char *address)
{
  Connection *connection = g_hash_table_lookup (self->by_address, address);
  struct sockaddr_in parsed;
  if (connection != NULL || !parse_address (address, &parsed))
    return connection;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  set_up_socket (fd);
  if (connect (fd, (struct sockaddr *) &parsed, sizeof parsed) < 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  connection = connection_new (self, fd, address);
  connection->connecting = TRUE;
  g_hash_table_insert (self->by_address, connection->address, connection);
  watch (connection, EPOLL_CTL_ADD, TRUE);
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
  self->now_ms = clock_ms ();
  Connection *connection = connection_to (self, address);
  if (connection == NULL || unwritten (connection) > OUT_MAX_BYTES
      || g_bytes_get_size (body) > BODY_MAX_BYTES - HEADER_BYTES)
    {
      Unsent *unsent = g_new0 (Unsent, 1);
      unsent->done = done;
      unsent->user = user;
      g_idle_add (on_unsent, unsent);
      return;
    }
  Pending *pending = g_new0 (Pending, 1);
  pending->number = ++connection->last_number;
  pending->frame_from = connection->written + unwritten (connection);
  pending->sent_ms = self->now_ms;
  pending->until_ms = self->now_ms + timeout_ms;
  pending->done = done;
  pending->user = user;
  g_queue_push_tail (&connection->pending, pending);
  put_frame (connection, pending->number, KIND_CALL, body);
}

void
fb_link_call_answer (FbLinkCall *call, GBytes *body)
{
  Connection *connection = call->connection;
  if (!connection->closed && unwritten (connection) <= OUT_MAX_BYTES)
    put_frame (connection, call->number, KIND_ANSWER, body);
  connection_unref (connection);
  g_free (call);
}

/* Gives up calls of SELF whose time has passed.  Returns: FALSE when the connection is silent. */
static gboolean
give_up_calls (Connection *self, uint64_t now_ms)
{
  gboolean silent = self->connecting && now_ms > self->began_ms + CONNECT_MS;
  GList *l = self->pending.head;
  while (l != NULL && !silent)
    {
      Pending *pending = l->data;
      GList *next = l->next;
      if (now_ms >= pending->until_ms)
        {
          silent = self->heard_ms <= pending->sent_ms;
          g_queue_delete_link (&self->pending, l);
          pending->done (pending->user,
                         self->written <= pending->frame_from ? FB_LINK_NOT_SENT : FB_LINK_LOST,
                         NULL, 0);
          g_free (pending);
          /* What it called may have changed the queue. */
          next = self->closed ? NULL : self->pending.head;
        }
      l = next;
    }
  return !silent;
}

void
fb_links_tend (FbLinks *self, uint64_t now_ms)
{
  self->now_ms = now_ms;
  for (guint i = self->all->len; i > 0; i--)
    {
      if (i > self->all->len)
        continue; /* some were closed meanwhile */
      Connection *connection = self->all->pdata[i - 1];
      connection->refs++;
      if (!give_up_calls (connection, now_ms) && !connection->closed)
        {
          fb_event_log (FB_EVENT_PEER_UNREACHABLE, "address=%s silent_ms=%u",
                        connection->address != NULL ? connection->address : "",
                        (guint) (now_ms - connection->heard_ms));
          close_connection (connection);
        }
      connection_unref (connection);
    }
}

/* ---- life ---------------------------------------------------------------------------------- */

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
  self->now_ms = clock_ms ();
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
      Connection *connection = self->all->pdata[0];
      Pending *pending = NULL;
      while ((pending = g_queue_pop_head (&connection->pending)) != NULL)
        g_free (pending);
      close_connection (connection);
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

/* One connection between two daemons: sends and receives frames, and keeps the calls that wait for
 * an answer.
 *
 * A frame consists of a header of three 32-bit words in network byte order (length of the data
 * after the first word, number of the call, kind) and a body.  Call numbers are chosen by the
 * calling side and are unique on its connection. */
#include "links-private.h"
#include "src/entry/clock.h"

#include "fb-counter.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_BYTES 12
#define KIND_CALL 1
#define KIND_ANSWER 2
/* Maximum number of unwritten bytes; beyond it, new frames for a peer that does not read are
 * refused. */
#define OUT_MAX_BYTES (8 * 1024 * 1024)
#define READ_BYTES (64 * 1024)
/* Timeout of connecting, which takes some 5 ms between failure domains. */
#define CONNECT_MS 400
/* TCP keepalive, which closes connections from peers that lost power. */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_N 3

struct _FbLinkCall
{
  FbLinkConnection *connection;
  uint32_t number;
  uint64_t waited_max_ms; /* see fb_link_call_waited_max_ms() */
};

/* ---- life cycle --------------------------------------------------------- */

void
fb_link_connection_ref (FbLinkConnection *self)
{
  self->refs++;
}

void
fb_link_connection_unref (FbLinkConnection *self)
{
  if (--self->refs > 0)
    return;
  g_byte_array_unref (self->out);
  g_byte_array_unref (self->in);
  g_free (self->address);
  g_free (self);
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
                  { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
                  { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_N } };
  for (gsize i = 0; i < G_N_ELEMENTS (options); i++)
    (void) setsockopt (fd, options[i].level, options[i].name, &options[i].value, sizeof (int));
}

FbLinkConnection *
fb_link_connection_new (FbLinks *links, int fd, const char *address)
{
  FbLinkConnection *self = g_new0 (FbLinkConnection, 1);
  self->links = links;
  self->fd = fd;
  self->address = g_strdup (address);
  self->refs = 1;
  self->created_ms = links->now_ms;
  self->received_ms = links->now_ms;
  self->out = g_byte_array_new ();
  self->in = g_byte_array_new ();
  set_up_socket (fd);
  g_ptr_array_add (links->all, self);
  return self;
}

void
fb_link_connection_watch (const FbLinkConnection *self, int operation, gboolean for_output)
{
  struct epoll_event event
      = { .events = EPOLLIN | (for_output ? EPOLLOUT : 0), .data.ptr = (gpointer) self };
  (void) epoll_ctl (self->links->epoll, operation, self->fd, &event);
}

void
fb_link_connection_close (FbLinkConnection *self)
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
      FbLinkResult result
          = self->written_bytes <= pending->frame_offset ? FB_LINK_NOT_SENT : FB_LINK_LOST;
      pending->done (pending->user, result, NULL, 0);
      g_free (pending);
    }
  fb_link_connection_unref (self);
}

/* ---- writing --------------------------------------------------------------------- */

static gsize
unwritten_bytes (const FbLinkConnection *self)
{
  return self->out->len - self->out_offset;
}

static void
queue_frame (FbLinkConnection *self, uint32_t number, uint32_t kind, GBytes *body)
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

/* Returns: TRUE when a call has timed out before any of it was written.  The connection is then
 * closed, because a daemon that was suspended would otherwise write the call after it resumes,
 * although its caller no longer waits for the answer, and a task could run twice. */
static gboolean
has_expired_unwritten_call (const FbLinkConnection *self)
{
  for (const GList *l = self->pending.tail; l != NULL; l = l->prev)
    {
      const Pending *pending = l->data;
      if (pending->frame_offset < self->written_bytes)
        return FALSE;
      if (self->links->now_ms >= pending->timeout_at_ms)
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_link_connection_write (FbLinkConnection *self)
{
  if (self->connecting)
    return TRUE;
  if (has_expired_unwritten_call (self))
    return FALSE;
  while (unwritten_bytes (self) > 0)
    {
      ssize_t n = send (self->fd, self->out->data + self->out_offset, unwritten_bytes (self),
                        MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          fb_link_connection_watch (self, EPOLL_CTL_MOD, TRUE);
          return TRUE;
        }
      if (n <= 0)
        return FALSE;
      self->out_offset += (gsize) n;
      self->written_bytes += (gsize) n;
      fb_counter_add (FB_COUNTER_PEER_BYTES_SENT, (uint64_t) n);
    }
  g_byte_array_set_size (self->out, 0);
  self->out_offset = 0;
  return TRUE;
}

/* ---- reading ----------------------------------------------------------------------- */

static void
handle_call (FbLinkConnection *self, uint32_t number, const guint8 *body, gsize len)
{
  FbLinkCall *call = g_new0 (FbLinkCall, 1);
  call->connection = self;
  call->number = number;
  call->waited_max_ms = fb_clock_ms () - self->links->drained_ms;
  self->refs++;
  self->links->serve (self->links->user, call, body, len);
}

static void
handle_answer (FbLinkConnection *self, uint32_t number, const guint8 *body, gsize len)
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
  /* The call has already timed out. */
}

static uint32_t
read_word (const GByteArray *bytes, gsize at)
{
  uint32_t word = 0;
  memcpy (&word, bytes->data + at, sizeof word);
  return ntohl (word);
}

/* Handles all complete frames in the input buffer.
 * Returns: FALSE when the peer violates the protocol. */
static gboolean
handle_frames (FbLinkConnection *self)
{
  gsize at = 0;
  while (!self->closed && self->in->len - at >= HEADER_BYTES)
    {
      uint32_t len = read_word (self->in, at);
      if (len < HEADER_BYTES - sizeof (uint32_t) || len > FB_LINK_BODY_MAX_BYTES)
        return FALSE;
      gsize frame = len + sizeof (uint32_t);
      if (self->in->len - at < frame)
        break;
      uint32_t number = read_word (self->in, at + sizeof (uint32_t));
      uint32_t kind = read_word (self->in, at + 2 * sizeof (uint32_t));
      const guint8 *body = self->in->data + at + HEADER_BYTES;
      at += frame;
      if (kind == KIND_CALL)
        handle_call (self, number, body, frame - HEADER_BYTES);
      else if (kind == KIND_ANSWER)
        handle_answer (self, number, body, frame - HEADER_BYTES);
      else
        return FALSE;
    }
  if (at > 0 && !self->closed)
    g_byte_array_remove_range (self->in, 0, (guint) at);
  return TRUE;
}

/* Reads and handles all available input.
 * Returns: FALSE when the connection is to be closed. */
static gboolean
read_input (FbLinkConnection *self)
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
      self->received_ms = self->links->now_ms;
      g_byte_array_append (self->in, buffer, (guint) n);
      if ((gsize) n < sizeof buffer)
        return handle_frames (self);
      if (!handle_frames (self) || self->closed)
        return FALSE;
    }
}

/* ---- events ------------------------------------------------------------------- */

/* Returns: FALSE when the peer cannot be reached. */
static gboolean
finish_connecting (FbLinkConnection *self)
{
  int error = 0;
  socklen_t len = sizeof error;
  if (getsockopt (self->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error != 0)
    return FALSE;
  self->connecting = FALSE;
  fb_link_connection_watch (self, EPOLL_CTL_MOD, FALSE);
  return TRUE;
}

void
fb_link_connection_handle (FbLinkConnection *self, uint32_t events)
{
  gboolean ok = TRUE;
  self->refs++; /* callbacks may close the connection */
  if (self->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
    ok = finish_connecting (self) && fb_link_connection_write (self);
  else if (events & EPOLLOUT)
    {
      fb_link_connection_watch (self, EPOLL_CTL_MOD, FALSE);
      ok = fb_link_connection_write (self);
    }
  if (ok && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) && !self->connecting)
    ok = read_input (self);
  if (!ok)
    fb_link_connection_close (self);
  fb_link_connection_unref (self);
}

/* ---- calls --------------------------------------------------------------------- */

gboolean
fb_link_connection_check_timeouts (FbLinkConnection *self, uint64_t now_ms)
{
  gboolean silent = self->connecting && now_ms > self->created_ms + CONNECT_MS;
  GList *l = self->pending.head;
  while (l != NULL && !silent)
    {
      Pending *pending = l->data;
      GList *next = l->next;
      if (now_ms >= pending->timeout_at_ms)
        {
          silent = self->received_ms <= pending->sent_ms;
          /* If the connection is silent, it is closed and the frame is never written; otherwise the
           * frame may still be written. */
          FbLinkResult result = silent && self->written_bytes <= pending->frame_offset
                                    ? FB_LINK_NOT_SENT
                                    : FB_LINK_LOST;
          g_queue_delete_link (&self->pending, l);
          pending->done (pending->user, result, NULL, 0);
          g_free (pending);
          /* The callback may have changed the queue. */
          next = self->closed ? NULL : self->pending.head;
        }
      l = next;
    }
  return !silent;
}

gboolean
fb_link_connection_call (FbLinkConnection *self, GBytes *body, uint32_t timeout_ms, FbLinkDone done,
                         gpointer user)
{
  if (body == NULL || unwritten_bytes (self) > OUT_MAX_BYTES
      || g_bytes_get_size (body) > FB_LINK_BODY_MAX_BYTES - HEADER_BYTES)
    return FALSE;
  Pending *pending = g_new0 (Pending, 1);
  pending->number = ++self->last_number;
  pending->frame_offset = self->written_bytes + unwritten_bytes (self);
  pending->sent_ms = self->links->now_ms;
  pending->timeout_at_ms = self->links->now_ms + timeout_ms;
  pending->done = done;
  pending->user = user;
  g_queue_push_tail (&self->pending, pending);
  queue_frame (self, pending->number, KIND_CALL, body);
  return TRUE;
}

uint64_t
fb_link_call_waited_max_ms (const FbLinkCall *call)
{
  return call->waited_max_ms;
}

void
fb_link_call_answer (FbLinkCall *call, GBytes *body)
{
  FbLinkConnection *connection = call->connection;
  if (!connection->closed && unwritten_bytes (connection) <= OUT_MAX_BYTES)
    queue_frame (connection, call->number, KIND_ANSWER, body);
  fb_link_connection_unref (connection);
  g_free (call);
}

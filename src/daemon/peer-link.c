/* Link to one peer: a queue, a thread and one connection.
 *
 * A connection can stop passing data while new ones would work, for example because a firewall
 * between the hosts has lost its state; calls then get no replies. Each call therefore has a
 * timeout, after which the connection is closed, and the next batch opens another one. Heartbeats
 * ensure that there is a batch every second. */
#include "peers-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#define QUEUE_MAX 4096
#define BATCH_BYTES (256 * 1024)
#define CONNECT_TIMEOUT_MS 1000
#define CALL_TIMEOUT_S 2
#define RETRY_WAIT_MS 200

struct _FbPeerLink
{
  const FbCellMember *member;
  const uint8_t *key;
  GAsyncQueue *queue; /* of GBytes; STOP_MARKER ends the thread */
  GThread *thread;
  CLIENT *client;
};

static const char stop_marker[1];
#define STOP_MARKER ((gpointer) stop_marker)

static gboolean
wait_until_connected (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t len = sizeof error;
  return poll (&poll_fd, 1, CONNECT_TIMEOUT_MS) == 1
         && getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 && error == 0;
}

static gboolean
connect_with_timeout (int fd, const struct sockaddr_in *address)
{
  int flags = fcntl (fd, F_GETFL, 0);
  fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  gboolean ok = connect (fd, (const struct sockaddr *) address, sizeof *address) == 0
                || (errno == EINPROGRESS && wait_until_connected (fd));
  fcntl (fd, F_SETFL, flags);
  return ok;
}

static gboolean
open_client (FbPeerLink *self)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (self->member->rpc_port) };
  if (inet_pton (AF_INET, self->member->host, &address.sin_addr) != 1)
    return FALSE;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return FALSE;
  int on = 1;
  struct timeval limit = { .tv_sec = CALL_TIMEOUT_S };
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect_with_timeout (fd, &address))
    {
      struct netbuf peer = { .maxlen = sizeof address, .len = sizeof address, .buf = &address };
      self->client = clnt_vc_create (fd, &peer, FB_PEER_PROGRAM, FB_PEER_VERSION, 0, 0);
    }
  if (self->client == NULL)
    {
      close (fd);
      return FALSE;
    }
  clnt_control (self->client, CLSET_FD_CLOSE, NULL);
  return TRUE;
}

static void
close_client (FbPeerLink *self)
{
  if (self->client != NULL)
    clnt_destroy (self->client);
  self->client = NULL;
}

static void
send_batch (FbPeerLink *self, GByteArray *messages)
{
  if (self->client == NULL && !open_client (self))
    {
      fb_event_log (FB_EVENT_PEER_UNREACHABLE, "peer=%s reason=connect", self->member->name);
      g_usleep (RETRY_WAIT_MS * 1000);
      return;
    }
  fb_batch batch = { .messages = { messages->len, (char *) messages->data } };
  crypto_auth ((uint8_t *) batch.mac, messages->data, messages->len, self->key);
  fb_receipt receipt = FB_RECEIPT_OK;
  struct timeval limit = { .tv_sec = CALL_TIMEOUT_S };
  enum clnt_stat status
      = clnt_call (self->client, FB_PEER_DELIVER, (xdrproc_t) xdr_fb_batch, (caddr_t) &batch,
                   (xdrproc_t) xdr_fb_receipt, (caddr_t) &receipt, limit);
  if (status != RPC_SUCCESS)
    {
      fb_event_log (FB_EVENT_PEER_UNREACHABLE, "peer=%s reason=%s", self->member->name,
                    status == RPC_TIMEDOUT ? "silent" : "broken");
      close_client (self);
    }
  else if (receipt != FB_RECEIPT_OK)
    fb_event_log (FB_EVENT_PEER_REFUSED, "peer=%s rejected a batch: receipt=%d", self->member->name,
                  (int) receipt);
}

/* Appends queued messages to MESSAGES, blocking until there is one. Returns: FALSE when the thread
 * must end. */
static gboolean
collect_batch (FbPeerLink *self, GByteArray *messages)
{
  gpointer item = g_async_queue_pop (self->queue);
  while (item != NULL && item != STOP_MARKER)
    {
      GBytes *bytes = item;
      gsize len = 0;
      const guint8 *data = g_bytes_get_data (bytes, &len);
      g_byte_array_append (messages, data, (guint) len);
      g_bytes_unref (bytes);
      if (messages->len >= BATCH_BYTES)
        return TRUE;
      item = g_async_queue_try_pop (self->queue);
    }
  return item != STOP_MARKER;
}

static gpointer
link_main (gpointer data)
{
  FbPeerLink *self = data;
  gboolean running = TRUE;
  while (running)
    {
      g_autoptr (GByteArray) messages = g_byte_array_new ();
      running = collect_batch (self, messages);
      if (messages->len > 0)
        send_batch (self, messages);
    }
  close_client (self);
  return NULL;
}

FbPeerLink *
fb_peer_link_new (const FbCellMember *member, const uint8_t *key)
{
  FbPeerLink *self = g_new0 (FbPeerLink, 1);
  self->member = member;
  self->key = key;
  self->queue = g_async_queue_new ();
  self->thread = g_thread_new ("peer-link", link_main, self);
  return self;
}

void
fb_peer_link_free (FbPeerLink *self)
{
  g_async_queue_push (self->queue, STOP_MARKER);
  g_thread_join (self->thread);
  gpointer item;
  while ((item = g_async_queue_try_pop (self->queue)) != NULL)
    {
      if (item != STOP_MARKER)
        g_bytes_unref (item);
    }
  g_async_queue_unref (self->queue);
  g_free (self);
}

void
fb_peer_link_send (FbPeerLink *self, GBytes *message)
{
  if (g_async_queue_length (self->queue) >= QUEUE_MAX)
    {
      fb_counter_add (FB_COUNTER_PEER_MESSAGES_DROPPED, 1);
      g_bytes_unref (message);
      return;
    }
  g_async_queue_push (self->queue, message);
}

/* Serving batches of peers.
 *
 * The RPC library keeps its server in global state, so there is one server in a
 * process and one thread that touches it.  Connections are read without
 * blocking and with a limit on the record size, so a slow or hostile sender
 * cannot hold the thread. */
#include "peers-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/codec.h"

#include <arpa/inet.h>
#include <poll.h>
#include <rpc/rpc_com.h>
#include <sodium.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Generated; not declared in the generated header. */
void fb_peer_program_1 (struct svc_req *request, SVCXPRT *transport);

struct _FbPeerServer
{
  const uint8_t *key;
  FbPeersReceive receive;
  gpointer user;
  SVCXPRT *transport;
  int wake_fd;
  GThread *thread;
};

static FbPeerServer *the_server;

static fb_receipt
take_messages (FbPeerServer *self, const char *data, gsize len)
{
  gsize offset = 0;
  while (offset < len)
    {
      fb_msg *msg = g_new0 (fb_msg, 1);
      if (!fb_codec_decode_msg (data, len, &offset, msg))
        {
          g_free (msg);
          return FB_RECEIPT_MALFORMED;
        }
      if (!self->receive (self->user, msg))
        return FB_RECEIPT_BUSY;
    }
  return FB_RECEIPT_OK;
}

bool_t
fb_peer_deliver_1_svc (fb_batch *batch, fb_receipt *receipt, struct svc_req *request)
{
  (void) request;
  const uint8_t *data = (const uint8_t *) batch->messages.messages_val;
  gsize len = batch->messages.messages_len;
  if (crypto_auth_verify ((const uint8_t *) batch->mac, data, len, the_server->key) != 0)
    *receipt = FB_RECEIPT_BAD_KEY;
  else
    *receipt = take_messages (the_server, (const char *) data, len);
  if (*receipt == FB_RECEIPT_BAD_KEY || *receipt == FB_RECEIPT_MALFORMED)
    {
      fb_counter_add (FB_COUNTER_PEER_REJECTED, 1);
      fb_event_log (FB_EVENT_PEER_REFUSED, "reason=%s",
                    *receipt == FB_RECEIPT_BAD_KEY ? "wrong-key" : "malformed");
    }
  return TRUE;
}

int
fb_peer_program_1_freeresult (SVCXPRT *transport, xdrproc_t proc, caddr_t result)
{
  (void) transport;
  xdr_free (proc, result);
  return TRUE;
}

static gpointer
server_main (gpointer data)
{
  FbPeerServer *self = data;
  for (;;)
    {
      guint n = (guint) svc_max_pollfd;
      g_autofree struct pollfd *fds = g_new0 (struct pollfd, n + 1);
      memcpy (fds, svc_pollfd, n * sizeof *fds);
      fds[n] = (struct pollfd){ .fd = self->wake_fd, .events = POLLIN };
      int ready = poll (fds, n + 1, -1);
      if (ready <= 0)
        continue;
      if (fds[n].revents != 0)
        break;
      svc_getreq_poll (fds, ready);
    }
  svc_destroy (self->transport);
  return NULL;
}

static int
listen_on (const FbCellMember *member)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (member->rpc_port) };
  inet_pton (AF_INET, member->host, &address.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0 && listen (fd, 64) == 0)
    return fd;
  close (fd);
  return -1;
}

FbPeersStatus
fb_peer_server_new (const FbCellMember *member, const uint8_t *key, FbPeersReceive receive,
                    gpointer user, FbPeerServer **server)
{
  int fd = listen_on (member);
  if (fd < 0)
    return FB_PEERS_ADDRESS_IN_USE;
  int record_max = FB_PEERS_RECORD_MAX;
  rpc_control (RPC_SVC_CONNMAXREC_SET, &record_max);
  SVCXPRT *transport = svc_vc_create (fd, 0, 0);
  if (transport == NULL
      || !svc_reg (transport, FB_PEER_PROGRAM, FB_PEER_VERSION, fb_peer_program_1, NULL))
    return FB_PEERS_RPC_FAILED;
  FbPeerServer *self = g_new0 (FbPeerServer, 1);
  self->key = key;
  self->receive = receive;
  self->user = user;
  self->transport = transport;
  self->wake_fd = eventfd (0, EFD_CLOEXEC);
  the_server = self;
  self->thread = g_thread_new ("peer-server", server_main, self);
  *server = self;
  return FB_PEERS_OK;
}

void
fb_peer_server_free (FbPeerServer *self)
{
  const uint64_t one = 1;
  if (write (self->wake_fd, &one, sizeof one) == sizeof one)
    g_thread_join (self->thread);
  close (self->wake_fd);
  the_server = NULL;
  g_free (self);
}

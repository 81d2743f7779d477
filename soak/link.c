#include "link.h"

#include <sys/socket.h>

#define PIECE_BYTES 16384
/* A link that is cut looks again after this. */
#define CUT_MS 20
#define BACKLOG 256

typedef struct _Pair Pair;

/* One direction of a connection. */
typedef struct
{
  Pair *pair;
  GSocketConnection *from;
  GSocketConnection *to;
  gboolean answers; /* it leads back to who connected */
  char piece[PIECE_BYTES];
  gsize len;
} Flow;

struct _Pair
{
  SoakLink *link;
  GSocketConnection *near;
  GSocketConnection *far;
  GCancellable *cancel;
  Flow flows[2];
  guint pending; /* calls that hold it */
  gboolean silent;
  gboolean over;
};

struct _SoakLink
{
  GSocketService *service;
  guint16 port;
  guint16 to_port;
  SoakLinkMode mode;
  guint slow_ms;
  GPtrArray *pairs; /* of Pair; borrowed: each frees itself */
};

static void read_piece (Flow *flow);

static void
pair_unref (Pair *pair)
{
  if (--pair->pending > 0)
    return;
  if (pair->link != NULL)
    g_ptr_array_remove_fast (pair->link->pairs, pair);
  g_clear_object (&pair->near);
  g_clear_object (&pair->far);
  g_object_unref (pair->cancel);
  g_free (pair);
}

static void
pair_end (Pair *pair)
{
  if (pair->over)
    return;
  pair->over = TRUE;
  g_cancellable_cancel (pair->cancel);
  g_io_stream_close (G_IO_STREAM (pair->near), NULL, NULL);
  if (pair->far != NULL)
    g_io_stream_close (G_IO_STREAM (pair->far), NULL, NULL);
}

static void
on_written (GObject *stream, GAsyncResult *result, gpointer user)
{
  Flow *flow = user;
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (stream), result, NULL, NULL))
    pair_end (flow->pair);
  else
    read_piece (flow);
  pair_unref (flow->pair);
}

static gboolean
pass_piece (gpointer user)
{
  Flow *flow = user;
  Pair *pair = flow->pair;
  if (pair->link == NULL || pair->over)
    pair_unref (pair);
  else if (pair->silent || pair->link->mode == SOAK_LINK_CUT)
    return G_SOURCE_CONTINUE;
  else if (pair->link->mode == SOAK_LINK_ONE_WAY && flow->answers)
    {
      read_piece (flow);
      pair_unref (pair);
    }
  else
    g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (flow->to)),
                                     flow->piece, flow->len, G_PRIORITY_DEFAULT, pair->cancel,
                                     on_written, flow);
  return G_SOURCE_REMOVE;
}

static void
on_read (GObject *stream, GAsyncResult *result, gpointer user)
{
  Flow *flow = user;
  Pair *pair = flow->pair;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (stream), result, NULL);
  if (n <= 0 || pair->link == NULL)
    {
      /* What is silent shows no end either. */
      if (pair->link == NULL || !pair->silent)
        pair_end (pair);
      pair_unref (pair);
      return;
    }
  flow->len = (gsize) n;
  const SoakLink *link = pair->link;
  if (link->mode == SOAK_LINK_PASS && !pair->silent)
    (void) pass_piece (flow);
  else
    g_timeout_add (link->mode == SOAK_LINK_SLOW ? link->slow_ms : CUT_MS, pass_piece, flow);
}

static void
read_piece (Flow *flow)
{
  flow->pair->pending++;
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (flow->from)), flow->piece,
                             PIECE_BYTES, G_PRIORITY_DEFAULT, flow->pair->cancel, on_read, flow);
}

static void
on_connected (GObject *client, GAsyncResult *result, gpointer user)
{
  Pair *pair = user;
  pair->far = g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (client), result, NULL);
  if (pair->far == NULL || pair->over)
    pair_end (pair);
  else
    {
      pair->flows[0] = (Flow){ .pair = pair, .from = pair->near, .to = pair->far };
      pair->flows[1] = (Flow){ .pair = pair, .from = pair->far, .to = pair->near, .answers = TRUE };
      read_piece (&pair->flows[0]);
      read_piece (&pair->flows[1]);
    }
  pair_unref (pair);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer user)
{
  (void) service;
  (void) source;
  SoakLink *self = user;
  Pair *pair = g_new0 (Pair, 1);
  pair->link = self;
  pair->near = g_object_ref (connection);
  pair->cancel = g_cancellable_new ();
  pair->pending = 1;
  g_ptr_array_add (self->pairs, pair);
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_connect_to_host_async (client, "127.0.0.1", self->to_port, pair->cancel,
                                         on_connected, pair);
  return TRUE;
}

SoakLink *
soak_link_new (guint16 to_port)
{
  SoakLink *self = g_new0 (SoakLink, 1);
  self->to_port = to_port;
  self->pairs = g_ptr_array_new ();
  self->service = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (self->service), BACKLOG);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_autoptr (GSocketAddress) bound = NULL;
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (self->service), any, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &bound, NULL))
    {
      soak_link_free (self);
      return NULL;
    }
  self->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  g_signal_connect (self->service, "incoming", G_CALLBACK (on_incoming), self);
  return self;
}

void
soak_link_free (SoakLink *self)
{
  g_socket_service_stop (self->service);
  g_socket_listener_close (G_SOCKET_LISTENER (self->service));
  g_object_unref (self->service);
  for (guint i = 0; i < self->pairs->len; i++)
    {
      Pair *pair = self->pairs->pdata[i];
      pair->link = NULL;
      pair_end (pair);
    }
  g_ptr_array_unref (self->pairs);
  g_free (self);
}

guint16
soak_link_port (const SoakLink *self)
{
  return self->port;
}

void
soak_link_set_mode (SoakLink *self, SoakLinkMode mode, guint slow_ms)
{
  self->mode = mode;
  self->slow_ms = slow_ms;
}

void
soak_link_reset (SoakLink *self)
{
  static const struct linger at_once = { 1, 0 };
  for (guint i = 0; i < self->pairs->len; i++)
    {
      Pair *pair = self->pairs->pdata[i];
      GSocketConnection *ends[] = { pair->near, pair->far };
      for (guint j = 0; j < G_N_ELEMENTS (ends); j++)
        {
          if (ends[j] != NULL && !pair->over)
            setsockopt (g_socket_get_fd (g_socket_connection_get_socket (ends[j])), SOL_SOCKET,
                        SO_LINGER, &at_once, sizeof at_once);
        }
      pair_end (pair);
    }
}

void
soak_link_silence (SoakLink *self)
{
  for (guint i = 0; i < self->pairs->len; i++)
    ((Pair *) self->pairs->pdata[i])->silent = TRUE;
}

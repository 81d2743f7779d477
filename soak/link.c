#include "link.h"

#include <sys/socket.h>

#define BUFFER_BYTES 16384
/* Interval at which a blocked direction checks whether it may forward its data. */
#define BLOCKED_RECHECK_MS 20
#define BACKLOG 256

typedef struct _Connection Connection;

/* One direction of a connection. */
typedef struct
{
  Connection *conn;
  GSocketConnection *from;
  GSocketConnection *to;
  gboolean is_reply; /* from the server to the client */
  char buffer[BUFFER_BYTES];
  gsize len;
} Direction;

struct _Connection
{
  SoakLink *link;
  GSocketConnection *client_side;
  GSocketConnection *server_side; /* NULL until it is connected */
  GCancellable *cancel;
  Direction directions[2];
  guint refs;          /* one per pending asynchronous call */
  gboolean blackholed; /* forwards nothing any more */
  gboolean closed;
};

struct _SoakLink
{
  GSocketService *service;
  GSocket *bound; /* holds the port while connections are refused; else NULL */
  guint16 port;
  guint16 to_port;
  SoakLinkMode mode;
  guint slow_ms;
  GPtrArray *conns; /* of Connection; not owned: a connection is freed with its last reference */
};

static void read_more (Direction *direction);

static void
conn_unref (Connection *conn)
{
  if (--conn->refs > 0)
    return;
  if (conn->link != NULL)
    g_ptr_array_remove_fast (conn->link->conns, conn);
  g_clear_object (&conn->client_side);
  g_clear_object (&conn->server_side);
  g_object_unref (conn->cancel);
  g_free (conn);
}

static void
conn_close (Connection *conn)
{
  if (conn->closed)
    return;
  conn->closed = TRUE;
  g_cancellable_cancel (conn->cancel);
  g_io_stream_close (G_IO_STREAM (conn->client_side), NULL, NULL);
  if (conn->server_side != NULL)
    g_io_stream_close (G_IO_STREAM (conn->server_side), NULL, NULL);
}

static void
on_written (GObject *stream, GAsyncResult *result, gpointer user)
{
  Direction *direction = user;
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (stream), result, NULL, NULL))
    conn_close (direction->conn);
  else
    read_more (direction);
  conn_unref (direction->conn);
}

static gboolean
forward_buffer (gpointer user)
{
  Direction *direction = user;
  Connection *conn = direction->conn;
  if (conn->link == NULL || conn->closed)
    conn_unref (conn);
  else if (conn->blackholed || conn->link->mode == SOAK_LINK_PARTITION)
    return G_SOURCE_CONTINUE;
  else if (conn->link->mode == SOAK_LINK_ONE_WAY && direction->is_reply)
    {
      read_more (direction);
      conn_unref (conn);
    }
  else
    g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (direction->to)),
                                     direction->buffer, direction->len, G_PRIORITY_DEFAULT,
                                     conn->cancel, on_written, direction);
  return G_SOURCE_REMOVE;
}

static void
on_read (GObject *stream, GAsyncResult *result, gpointer user)
{
  Direction *direction = user;
  Connection *conn = direction->conn;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (stream), result, NULL);
  if (n <= 0 || conn->link == NULL)
    {
      /* A blackholed connection does not forward the end of the stream either. */
      if (conn->link == NULL || !conn->blackholed)
        conn_close (conn);
      conn_unref (conn);
      return;
    }
  direction->len = (gsize) n;
  const SoakLink *link = conn->link;
  if (link->mode == SOAK_LINK_PASS && !conn->blackholed)
    (void) forward_buffer (direction);
  else
    g_timeout_add (link->mode == SOAK_LINK_SLOW ? link->slow_ms : BLOCKED_RECHECK_MS,
                   forward_buffer, direction);
}

static void
read_more (Direction *direction)
{
  direction->conn->refs++;
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (direction->from)),
                             direction->buffer, BUFFER_BYTES, G_PRIORITY_DEFAULT,
                             direction->conn->cancel, on_read, direction);
}

static void
on_connected (GObject *client, GAsyncResult *result, gpointer user)
{
  Connection *conn = user;
  conn->server_side
      = g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (client), result, NULL);
  if (conn->server_side == NULL || conn->closed)
    conn_close (conn);
  else
    {
      conn->directions[0]
          = (Direction){ .conn = conn, .from = conn->client_side, .to = conn->server_side };
      conn->directions[1] = (Direction){
        .conn = conn, .from = conn->server_side, .to = conn->client_side, .is_reply = TRUE
      };
      read_more (&conn->directions[0]);
      read_more (&conn->directions[1]);
    }
  conn_unref (conn);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer user)
{
  (void) service;
  (void) source;
  SoakLink *self = user;
  Connection *conn = g_new0 (Connection, 1);
  conn->link = self;
  conn->client_side = g_object_ref (connection);
  conn->cancel = g_cancellable_new ();
  conn->refs = 1;
  g_ptr_array_add (self->conns, conn);
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_connect_to_host_async (client, "127.0.0.1", self->to_port, conn->cancel,
                                         on_connected, conn);
  return TRUE;
}

static void
create_service (SoakLink *self)
{
  self->service = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (self->service), BACKLOG);
  g_signal_connect (self->service, "incoming", G_CALLBACK (on_incoming), self);
}

static void
close_service (SoakLink *self)
{
  g_socket_service_stop (self->service);
  g_socket_listener_close (G_SOCKET_LISTENER (self->service));
  g_object_unref (self->service);
}

SoakLink *
soak_link_new (guint16 to_port)
{
  SoakLink *self = g_new0 (SoakLink, 1);
  self->to_port = to_port;
  self->conns = g_ptr_array_new ();
  create_service (self);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_autoptr (GSocketAddress) bound = NULL;
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (self->service), any, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &bound, NULL))
    {
      soak_link_free (self);
      return NULL;
    }
  self->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  return self;
}

void
soak_link_free (SoakLink *self)
{
  close_service (self);
  g_clear_object (&self->bound);
  for (guint i = 0; i < self->conns->len; i++)
    {
      Connection *conn = self->conns->pdata[i];
      conn->link = NULL;
      conn_close (conn);
    }
  g_ptr_array_unref (self->conns);
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

/* Returns: (transfer full): a socket that is bound to the port of SELF. */
static GSocket *
bind_port (const SoakLink *self)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string ("127.0.0.1", self->port);
  GSocket *bound
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  if (bound == NULL || !g_socket_bind (bound, address, TRUE, &error))
    g_error ("cannot bind port %u: %s", self->port, error->message);
  return bound;
}

void
soak_link_set_refusing (SoakLink *self, gboolean refusing)
{
  if (refusing == (self->bound != NULL))
    return;
  if (refusing)
    {
      close_service (self);
      create_service (self);
      self->bound = bind_port (self);
      return;
    }
  g_autoptr (GError) error = NULL;
  g_socket_set_listen_backlog (self->bound, BACKLOG);
  if (!g_socket_listen (self->bound, &error)
      || !g_socket_listener_add_socket (G_SOCKET_LISTENER (self->service), self->bound, NULL,
                                        &error))
    g_error ("cannot listen on port %u: %s", self->port, error->message);
  g_clear_object (&self->bound);
}

void
soak_link_reset (SoakLink *self)
{
  static const struct linger reset_on_close = { 1, 0 };
  for (guint i = 0; i < self->conns->len; i++)
    {
      Connection *conn = self->conns->pdata[i];
      GSocketConnection *ends[] = { conn->client_side, conn->server_side };
      for (guint j = 0; j < G_N_ELEMENTS (ends); j++)
        {
          if (ends[j] != NULL && !conn->closed)
            setsockopt (g_socket_get_fd (g_socket_connection_get_socket (ends[j])), SOL_SOCKET,
                        SO_LINGER, &reset_on_close, sizeof reset_on_close);
        }
      conn_close (conn);
    }
}

void
soak_link_blackhole (SoakLink *self)
{
  for (guint i = 0; i < self->conns->len; i++)
    ((Connection *) self->conns->pdata[i])->blackholed = TRUE;
}

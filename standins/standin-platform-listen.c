/* Listening sockets of the store and the workers.  The server gets accepted connections, so that a
 * port can stop listening while the others go on. */
#include "standin-platform.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

typedef struct
{
  GSocketService *service; /* NULL while the port does not listen */
  GPtrArray *connections;  /* of GSocket, oldest first; borrowed, the server closes them */
  guint max_connections;   /* further connections are reset; 0: no limit */
} Port;

static SoupServer *server;
static GHashTable *ports; /* number -> Port */

static void
port_free (gpointer data)
{
  Port *port = data;
  g_clear_object (&port->service);
  g_ptr_array_unref (port->connections);
  g_free (port);
}

void
sp_listen_init (SoupServer *value)
{
  g_autoptr (GError) error = NULL;
  server = g_object_ref (value);
  /* Without a listener of its own, the server closes each connection after one request. */
  if (!soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    g_error ("cannot listen: %s", error->message);
  ports = g_hash_table_new_full (NULL, NULL, NULL, port_free);
}

static void
on_finalized (gpointer data, GObject *socket)
{
  Port *port = data;
  (void) g_ptr_array_remove (port->connections, socket);
}

static void
add_connection (Port *port, GSocket *socket)
{
  g_object_weak_ref (G_OBJECT (socket), on_finalized, port);
  g_ptr_array_add (port->connections, socket);
}

/* Resets a connection, but leaves the descriptor to the server. */
static void
reset_connection (GSocket *socket)
{
  const struct sockaddr unspecified = { .sa_family = AF_UNSPEC };
  if (!g_socket_is_closed (socket))
    (void) connect (g_socket_get_fd (socket), &unspecified, sizeof unspecified);
}

/* The server does not close a connection that its peer closes between two requests. */
static gboolean
is_closed_by_peer (GSocket *socket)
{
  char byte;
  return recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
remove_at (Port *port, guint i)
{
  GSocket *socket = port->connections->pdata[i];
  reset_connection (socket);
  g_object_weak_unref (G_OBJECT (socket), on_finalized, port);
  g_ptr_array_remove_index (port->connections, i);
}

static void
remove_closed (Port *port)
{
  for (guint i = port->connections->len; i > 0; i--)
    {
      GSocket *socket = port->connections->pdata[i - 1];
      if (g_socket_is_closed (socket) || is_closed_by_peer (socket))
        remove_at (port, i - 1);
    }
}

/* Resets the N oldest connections of PORT. */
static void
reset_connections (Port *port, guint n)
{
  for (guint i = 0; i < n; i++)
    remove_at (port, 0);
}

static gboolean
is_full (const Port *port)
{
  return port->max_connections > 0 && port->connections->len >= port->max_connections;
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *connection, GObject *source,
               gpointer user)
{
  (void) service;
  (void) source;
  Port *port = user;
  g_autoptr (GSocketAddress) local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_connection_get_remote_address (connection, NULL);
  GSocket *socket = g_socket_connection_get_socket (connection);
  if (local == NULL || remote == NULL)
    return TRUE; /* reset by the peer */
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  remove_closed (port);
  if (is_full (port))
    {
      reset_connection (socket);
      return TRUE;
    }
  add_connection (port, socket);
  soup_server_accept_iostream (server, G_IO_STREAM (connection), local, remote, NULL);
  return TRUE;
}

static Port *
port_for (guint number)
{
  Port *port = g_hash_table_lookup (ports, GUINT_TO_POINTER (number));
  if (port != NULL)
    return port;
  port = g_new0 (Port, 1);
  port->connections = g_ptr_array_new ();
  g_hash_table_insert (ports, GUINT_TO_POINTER (number), port);
  return port;
}

void
sp_listen_set_max_connections (guint number, guint max_connections)
{
  Port *port = port_for (number);
  port->max_connections = max_connections;
  remove_closed (port);
  if (max_connections > 0 && port->connections->len > max_connections)
    reset_connections (port, port->connections->len - max_connections);
}

guint
sp_listen_connections_n (guint number)
{
  Port *port = port_for (number);
  remove_closed (port);
  return port->connections->len;
}

gboolean
sp_listen (guint number, GError **error)
{
  Port *port = port_for (number);
  if (port->service != NULL)
    return TRUE;
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new (loopback, (guint16) number);
  g_autoptr (GSocketService) service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (service), address, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, NULL, error))
    return FALSE;
  g_signal_connect (service, "incoming", G_CALLBACK (on_connection), port);
  port->service = g_steal_pointer (&service);
  return TRUE;
}

void
sp_listen_stop (guint number)
{
  Port *port = g_hash_table_lookup (ports, GUINT_TO_POINTER (number));
  if (port == NULL || port->service == NULL)
    return;
  g_socket_service_stop (port->service);
  g_socket_listener_close (G_SOCKET_LISTENER (port->service));
  g_clear_object (&port->service);
  reset_connections (port, port->connections->len);
}

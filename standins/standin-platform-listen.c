/* Listening sockets of the store and the workers.  The server gets accepted connections, so that a
 * port can stop listening while the others go on. */
#include "standin-platform.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

typedef struct
{
  GSocketService *service; /* NULL while the port does not listen */
  GPtrArray *connections;  /* of GSocket, oldest first */
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
  server = g_object_ref (value);
  ports = g_hash_table_new_full (NULL, NULL, NULL, port_free);
}

static void
remove_closed (Port *port)
{
  for (guint i = port->connections->len; i > 0; i--)
    {
      if (g_socket_is_closed (port->connections->pdata[i - 1]))
        g_ptr_array_remove_index (port->connections, i - 1);
    }
}

/* Resets a connection, but leaves the descriptor to the server. */
static void
reset_connection (GSocket *socket)
{
  const struct sockaddr unspecified = { .sa_family = AF_UNSPEC };
  if (!g_socket_is_closed (socket))
    (void) connect (g_socket_get_fd (socket), &unspecified, sizeof unspecified);
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
  g_ptr_array_add (port->connections, g_object_ref (socket));
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
  port->connections = g_ptr_array_new_with_free_func (g_object_unref);
  g_hash_table_insert (ports, GUINT_TO_POINTER (number), port);
  return port;
}

void
sp_listen_set_max_connections (guint number, guint max_connections)
{
  Port *port = port_for (number);
  port->max_connections = max_connections;
  remove_closed (port);
  while (max_connections > 0 && port->connections->len > max_connections)
    {
      reset_connection (port->connections->pdata[0]);
      g_ptr_array_remove_index (port->connections, 0);
    }
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
  for (guint i = 0; i < port->connections->len; i++)
    reset_connection (port->connections->pdata[i]);
  g_ptr_array_set_size (port->connections, 0);
}

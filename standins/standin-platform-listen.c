/* Listening sockets of the store and the workers.  The server gets accepted connections, so that a
 * port can stop listening while the others go on. */
#include "standin-platform.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

typedef struct
{
  GSocketService *service; /* NULL while the port does not listen */
  GHashTable *connections; /* set of GSocket */
} Port;

static SoupServer *server;
static GHashTable *ports; /* number -> Port */

static void
port_free (gpointer data)
{
  Port *port = data;
  g_clear_object (&port->service);
  g_hash_table_unref (port->connections);
  g_free (port);
}

void
sp_listen_init (SoupServer *value)
{
  server = g_object_ref (value);
  ports = g_hash_table_new_full (NULL, NULL, NULL, port_free);
}

static gboolean
is_closed (gpointer socket, gpointer value, gpointer user)
{
  (void) value;
  (void) user;
  return g_socket_is_closed (socket);
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
  g_hash_table_foreach_remove (port->connections, is_closed, NULL);
  g_hash_table_add (port->connections, g_object_ref (socket));
  soup_server_accept_iostream (server, G_IO_STREAM (connection), local, remote, NULL);
  return TRUE;
}

gboolean
sp_listen (guint number, GError **error)
{
  Port *port = g_hash_table_lookup (ports, GUINT_TO_POINTER (number));
  if (port == NULL)
    {
      port = g_new0 (Port, 1);
      port->connections = g_hash_table_new_full (NULL, NULL, g_object_unref, NULL);
      g_hash_table_insert (ports, GUINT_TO_POINTER (number), port);
    }
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
  GHashTableIter iter;
  gpointer socket;
  g_hash_table_iter_init (&iter, port->connections);
  while (g_hash_table_iter_next (&iter, &socket, NULL))
    {
      /* Resets the connection, but leaves the descriptor to the server. */
      const struct sockaddr unspecified = { .sa_family = AF_UNSPEC };
      if (!g_socket_is_closed (socket))
        (void) connect (g_socket_get_fd (socket), &unspecified, sizeof unspecified);
    }
  g_hash_table_remove_all (port->connections);
}

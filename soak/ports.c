#include "ports.h"

static gboolean
is_free (guint port)
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  return socket != NULL && g_socket_bind (socket, address, TRUE, NULL)
         && g_socket_listen (socket, NULL);
}

gboolean
soak_ports_are_free (guint first, guint n)
{
  if (n > G_MAXUINT16 || first > G_MAXUINT16 - n)
    return FALSE;
  for (guint i = 0; i < n; i++)
    {
      if (!is_free (first + i))
        return FALSE;
    }
  return TRUE;
}

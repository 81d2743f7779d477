#include "test-ports.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

int
test_socket_at (uint16_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *) &address, sizeof address) < 0
      || getsockname (fd, (struct sockaddr *) &address, &len) < 0)
    return -1;
  *port = ntohs (address.sin_port);
  return fd;
}

char *
test_unused_address (void)
{
  uint16_t port = 0;
  int fd = test_socket_at (&port);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  close (fd);
  return g_strdup_printf ("127.0.0.1:%u", port);
}

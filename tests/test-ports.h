/* Loopback ports for tests that listen. */
#pragma once

#include <stdint.h>

/* Returns: a bound TCP socket that does not listen, -1 on failure; PORT is its port. */
int test_socket_at (uint16_t *port);
/* Returns: (transfer full): an address at which nothing listens just now. */
char *test_unused_address (void);

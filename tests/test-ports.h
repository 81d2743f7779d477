/* TCP ports on loopback for tests. */
#pragma once

#include <stdint.h>

/* Returns: a TCP socket that is bound but does not listen, or -1; *PORT is set to its port. */
int test_socket_at (uint16_t *port);
/* Returns: (transfer full): an address at which no process currently listens. */
char *test_unused_address (void);

#pragma once

#include <glib.h>
#include <stdint.h>

/* Runs one input.  Returns: the number of steps; *VIOLATION (transfer full) describes the
 * first violated invariant, or is NULL. */
guint64 fuzz_node_run (const uint8_t *data, size_t size, char **violation);

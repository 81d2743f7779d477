#pragma once

#include <stddef.h>
#include <stdint.h>

/* Passes one input to the parsers of untrusted bytes: INI policies, messages, records,
 * revisions and streams.  Aborts when one violates its contract. */
void fuzz_readers_run (const uint8_t *data, size_t size);

/* Entry point for libFuzzer. */
#include "fuzz-readers.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fuzz_readers_run (data, size);
  return 0;
}

/* Entry point for libFuzzer. */
#include "fb-event.h"
#include "fuzz-node.h"

#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static gboolean ready;
  if (!ready)
    fb_event_init ("fuzz", TRUE);
  ready = TRUE;
  char *violation = NULL;
  (void) fuzz_node_run (data, size, &violation);
  if (violation != NULL)
    {
      fprintf (stderr, "violated invariant: %s\n", violation);
      abort ();
    }
  return 0;
}

#include "src/cli/cli.h"

int
main (int argc, char **argv)
{
  return fb_cli_main (argc, argv);
}

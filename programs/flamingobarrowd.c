#include "src/daemon/daemon.h"

int
main (int argc, char **argv)
{
  return fb_daemon_main (argc, argv);
}

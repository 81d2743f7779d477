/* The daemon: starts its parts and runs until it is told to stop. */
#pragma once

/* Returns: the exit code of the process. */
int fb_daemon_main (int argc, char **argv);

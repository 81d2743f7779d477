/* The daemon: starts its components and runs until SIGTERM or SIGINT, then shuts down gracefully.
 */
#pragma once

/* Returns: the exit code of the process. */
int fb_daemon_main (int argc, char **argv);

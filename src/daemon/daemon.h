/* The daemon: starts its components and runs until it receives SIGTERM or SIGINT. */
#pragma once

/* Returns: the exit code of the process. */
int fb_daemon_main (int argc, char **argv);

/* The daemon that is deployed on the platform. */
#pragma once

/* Runs the daemon until it receives a stop signal.
 * Returns: the exit code of the process. */
int fb_entry_main (const char *settings_path, int check_only);

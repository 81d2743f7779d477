/* The command-line tool for operators. */
#pragma once

/* Returns: the exit code of the process, see flamingobarrow(1). */
int fb_cli_main (int argc, char **argv);

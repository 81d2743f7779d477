/* Identifies the running program: which sources and which build. */
#pragma once

/* Returns: release and source revision, such as "0.1.0+1a2b3c4d"; static. */
const char *fb_build_version (void);
/* Returns: the linker's identifier of this program, in hexadecimal, which differs for each program
 * of different content; "none" when the program was linked without one.  Static. */
const char *fb_build_id (void);

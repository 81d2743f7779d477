/* Versions of the libraries that the daemon uses. */
#pragma once

/* Returns: (transfer full): "name=version" of each, separated by spaces. */
char *fb_libraries_describe (void);
/* Returns: (transfer full): a metric whose labels identify program and libraries. */
char *fb_libraries_render (void);

/* SIGHUP, which asks a process to load its settings again. */
#pragma once

/* From here on the signal stays pending instead of ending the process.  Called before threads are
 * started: they inherit it. */
void fb_reload_signal_block (void);

/* Called once a handler is installed; a pending signal reaches it. */
void fb_reload_signal_unblock (void);

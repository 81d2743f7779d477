/* SIGHUP, which makes a process reload its settings. */
#pragma once

/* Blocks the signal, so that it stays pending instead of ending the process. To be called before
 * threads are started, which inherit the mask. */
void fb_reload_signal_block (void);

/* Unblocks the signal, once a handler is installed; the handler then receives a pending signal. */
void fb_reload_signal_unblock (void);

/* Reports the end of the process by a signal of a fault. */
#pragma once

/* From now on a signal that a fault raises (SIGSEGV, SIGABRT, ...) writes one line with the signal
 * and a backtrace to FD before it ends the process.  The line is also written when the stack of the
 * calling thread has overflowed, not for other threads.  FD has to stay open. */
void fb_crash_report_install (int fd, const char *process_name);

#include "fb-reload-signal.h"

#include <pthread.h>
#include <signal.h>

static void
change_mask (int how)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGHUP);
  (void) pthread_sigmask (how, &signals, NULL);
}

void
fb_reload_signal_block (void)
{
  change_mask (SIG_BLOCK);
}

void
fb_reload_signal_unblock (void)
{
  change_mask (SIG_UNBLOCK);
}

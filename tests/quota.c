/* Lends processes of a test little processor, as a scheduler's quota does: each has SHARE
 * percent of one core in each tenth of a second, at full speed until that is used up, and then
 * none for the rest of it.  What a process takes too much is kept back from the next. */
#define _GNU_SOURCE
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define PERIOD_US 100000
#define LOOK_US 500
#define PROCESS_MAX 16

typedef struct
{
  pid_t pid;
  clockid_t clock;
  int64_t used_us; /* at the beginning of the period, without what is owed */
  int stopped;
  int gone;
} Process;

static volatile sig_atomic_t ending;

static void
on_end (int signal)
{
  (void) signal;
  ending = 1;
}

static int64_t
read_us (clockid_t clock)
{
  struct timespec now;
  if (clock_gettime (clock, &now) != 0)
    return -1;
  return (int64_t) now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
tell (Process *process, int stop)
{
  if (process->stopped == stop)
    return;
  process->stopped = stop;
  (void) kill (process->pid, stop ? SIGSTOP : SIGCONT);
}

static void
enforce_quota (Process *process, int64_t budget_us, int new_period)
{
  int64_t now_us = process->gone ? -1 : read_us (process->clock);
  process->gone = now_us < 0;
  if (process->gone)
    return;
  if (new_period)
    {
      int64_t owed_us = now_us - process->used_us - budget_us;
      process->used_us = now_us - (owed_us > 0 ? owed_us : 0);
    }
  tell (process, now_us - process->used_us >= budget_us);
}

int
main (int argc, char **argv)
{
  Process processes[PROCESS_MAX] = { 0 };
  int n = argc - 2;
  if (n < 1 || n > PROCESS_MAX || atoi (argv[1]) < 1 || atoi (argv[1]) > 100)
    {
      fprintf (stderr, "usage: quota SHARE PID...\n");
      return 2;
    }
  int64_t budget_us = (int64_t) atoi (argv[1]) * PERIOD_US / 100;
  for (int i = 0; i < n; i++)
    {
      processes[i].pid = atoi (argv[i + 2]);
      processes[i].gone = clock_getcpuclockid (processes[i].pid, &processes[i].clock) != 0;
      processes[i].used_us = processes[i].gone ? 0 : read_us (processes[i].clock);
    }
  signal (SIGTERM, on_end);
  int64_t period_us = read_us (CLOCK_MONOTONIC);
  while (!ending)
    {
      int64_t now_us = read_us (CLOCK_MONOTONIC);
      int new_period = now_us >= period_us + PERIOD_US;
      if (new_period)
        period_us = now_us;
      for (int i = 0; i < n; i++)
        enforce_quota (&processes[i], budget_us, new_period);
      struct timespec pause = { 0, LOOK_US * 1000 };
      nanosleep (&pause, NULL);
    }
  for (int i = 0; i < n; i++)
    {
      if (!processes[i].gone)
        tell (&processes[i], 0);
    }
  return 0;
}

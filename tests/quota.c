/* Limits the CPU time of processes as a CPU quota of the kernel's scheduler does: in each period of
 * 100 ms a process may use PERCENT of one core, at full speed, and is then stopped until the period
 * ends. CPU time used beyond the quota is deducted from the next period. */
#define _GNU_SOURCE
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define PERIOD_US 100000
#define SAMPLE_INTERVAL_US 500
#define PROCESS_MAX 16

typedef struct
{
  pid_t pid;
  clockid_t clock;
  int64_t base_us; /* CPU time at the start of the period, less the overuse in the previous one */
  int stopped;
  int exited;
} Process;

static volatile sig_atomic_t terminating;

static void
on_sigterm (int signal)
{
  (void) signal;
  terminating = 1;
}

static int64_t
read_clock_us (clockid_t clock)
{
  struct timespec now;
  if (clock_gettime (clock, &now) != 0)
    return -1;
  return (int64_t) now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
set_stopped (Process *process, int stop)
{
  if (process->stopped == stop)
    return;
  process->stopped = stop;
  (void) kill (process->pid, stop ? SIGSTOP : SIGCONT);
}

static void
enforce_quota (Process *process, int64_t quota_us, int new_period)
{
  int64_t now_us = process->exited ? -1 : read_clock_us (process->clock);
  process->exited = now_us < 0;
  if (process->exited)
    return;
  if (new_period)
    {
      int64_t overuse_us = now_us - process->base_us - quota_us;
      process->base_us = now_us - (overuse_us > 0 ? overuse_us : 0);
    }
  set_stopped (process, now_us - process->base_us >= quota_us);
}

int
main (int argc, char **argv)
{
  Process processes[PROCESS_MAX] = { 0 };
  int n = argc - 2;
  if (n < 1 || n > PROCESS_MAX || atoi (argv[1]) < 1 || atoi (argv[1]) > 100)
    {
      fprintf (stderr, "usage: quota PERCENT PID...\n");
      return 2;
    }
  int64_t quota_us = (int64_t) atoi (argv[1]) * PERIOD_US / 100;
  for (int i = 0; i < n; i++)
    {
      processes[i].pid = atoi (argv[i + 2]);
      processes[i].exited = clock_getcpuclockid (processes[i].pid, &processes[i].clock) != 0;
      processes[i].base_us = processes[i].exited ? 0 : read_clock_us (processes[i].clock);
    }
  signal (SIGTERM, on_sigterm);
  int64_t period_start_us = read_clock_us (CLOCK_MONOTONIC);
  while (!terminating)
    {
      int64_t now_us = read_clock_us (CLOCK_MONOTONIC);
      int new_period = now_us >= period_start_us + PERIOD_US;
      if (new_period)
        period_start_us = now_us;
      for (int i = 0; i < n; i++)
        enforce_quota (&processes[i], quota_us, new_period);
      struct timespec pause = { 0, SAMPLE_INTERVAL_US * 1000 };
      nanosleep (&pause, NULL);
    }
  for (int i = 0; i < n; i++)
    {
      if (!processes[i].exited)
        set_stopped (&processes[i], 0);
    }
  return 0;
}

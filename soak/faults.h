/* Faults of one run: each begins when soak_faults_begin() is called and ends after its duration. */
#pragma once

#include "plan.h"
#include "platform.h"
#include "processes.h"

typedef struct _SoakFaults SoakFaults;

/* PROCESSES, PLATFORM and PLAN are borrowed. */
SoakFaults *soak_faults_new (SoakProcesses *processes, SoakPlatform *platform,
                             const SoakPlanSetup *plan);
/* Does not end faults that are still active. */
void soak_faults_free (SoakFaults *self);
void soak_faults_begin (SoakFaults *self, const SoakFault *fault);
/* Ends all faults and starts the daemons that are down. */
void soak_faults_clear (SoakFaults *self);
/* Returns: TRUE when, after soak_faults_clear(), all daemons run and none is about to be stopped.
 */
gboolean soak_faults_are_over (const SoakFaults *self);

/* Faults of one run: each begins when soak_faults_begin() is called and ends by itself. */
#pragma once

#include "plan.h"
#include "platform.h"
#include "processes.h"

typedef struct _SoakFaults SoakFaults;

/* PROCESSES, PLATFORM and PLAN are borrowed. */
SoakFaults *soak_faults_new (SoakProcesses *processes, SoakPlatform *platform,
                             const SoakPlanSetup *plan);
/* Faults that are still in force are not ended. */
void soak_faults_free (SoakFaults *self);
void soak_faults_begin (SoakFaults *self, const SoakFault *fault);
/* Ends all faults and starts daemons that are down. */
void soak_faults_clear (SoakFaults *self);

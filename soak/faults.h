/* Faults of one play: they begin as its plan says, and end by themselves. */
#pragma once

#include "plan.h"
#include "platform.h"
#include "processes.h"

typedef struct _SoakFaults SoakFaults;

/* PROCESSES, PLATFORM and PLAN are borrowed. */
SoakFaults *soak_faults_new (SoakProcesses *processes, SoakPlatform *platform,
                             const SoakPlanSetup *plan);
/* Faults that last are not ended. */
void soak_faults_free (SoakFaults *self);
void soak_faults_begin (SoakFaults *self, const SoakFault *fault);
/* Ends what lasts, and starts daemons that are down. */
void soak_faults_heal (SoakFaults *self);

/* Checks of a job's specification that the types of its fields cannot express. */
#pragma once

#include "internal/account.h"
#include "rpc/work.h"

#include <glib.h>

/* Maximum number of tasks of one occurrence, in all its steps together. */
#define FB_SPEC_MAX_TASKS 10000
#define FB_SPEC_MAX_OCCURRENCES 100000

/* Returns: FALSE and sets a status message that names the step and the fault. */
gboolean fb_spec_check (const fb_work_spec *spec);
/* Returns: FALSE when a task of SPEC alone, or a gang, needs more than CAP, so that the job could
 * never run; a status message names the step. */
gboolean fb_spec_fits_cap (const fb_work_spec *spec, const FbAmounts *cap);

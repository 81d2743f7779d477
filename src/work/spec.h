/* Checks of a job's specification that its types cannot express. */
#pragma once

#include "rpc/work.h"

#include <glib.h>

/* All tasks of all steps of one occurrence. */
#define FB_SPEC_MAX_TASKS 10000
#define FB_SPEC_MAX_OCCURRENCES 100000

/* Returns: FALSE with a last message that names the step and what is wrong. */
gboolean fb_spec_check (const fb_work_spec *spec);

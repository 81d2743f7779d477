/* Records that another program stores among those of the system. */
#pragma once

#include "platform.h"

/* Stores a malformed record.  VARIANT, 0 to 99, selects topic, key and value; WORKER: index of the
 * worker whose entry some variants replace until its next heartbeat. */
void soak_other_writer_store (SoakPlatform *platform, guint variant, guint worker);

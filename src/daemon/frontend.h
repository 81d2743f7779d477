/* HTTP front end for callers and operators of this daemon's partner.
 *
 * The interface is described in docs/HTTP.md. Commands (frontend-commands.c) change state, queries
 * (frontend-queries.c) read it. */
#pragma once

#include "core.h"

typedef struct _FbFrontend FbFrontend;

typedef enum
{
  FB_FRONTEND_OK,
  FB_FRONTEND_ADDRESS_IN_USE
} FbFrontendStatus;

/* Listens on the HTTP address of member SELF_INDEX of CELL and serves on the thread of LOOP. All
 * arguments are borrowed. */
FbFrontendStatus fb_frontend_new (const FbCell *cell, guint self_index, FbCore *core, FbLoop *loop,
                                  FbFrontend **frontend);
void fb_frontend_free (FbFrontend *self);

/* Rejects new jobs from now on; queries and open calls are still answered. */
void fb_frontend_close (FbFrontend *self);

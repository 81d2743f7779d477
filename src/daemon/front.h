/* HTTP front end for callers and operators of this daemon's partner.
 *
 * The interface is described in docs/HTTP.md. Commands (front-commands.c) change state, queries
 * (front-queries.c) read it. */
#pragma once

#include "core.h"

typedef struct _FbFront FbFront;

typedef enum
{
  FB_FRONT_OK,
  FB_FRONT_ADDRESS_IN_USE
} FbFrontStatus;

/* Listens on the HTTP address of member SELF_INDEX of CELL and serves on the thread of LOOP. All
 * arguments are borrowed. */
FbFrontStatus fb_front_new (const FbCell *cell, guint self_index, FbCore *core, FbLoop *loop,
                            FbFront **front);
void fb_front_free (FbFront *self);

/* Rejects new requests from now on; open ones are still answered. */
void fb_front_close (FbFront *self);

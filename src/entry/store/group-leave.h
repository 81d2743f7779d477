/* Takes processes of this daemon out of a group of the store: this one when it leaves, and those
 * before it, which the store would deal to until their time to live is over.  This process listens
 * at the same address, so those are dead. */
#pragma once

#include "src/net/http-client.h"

typedef struct _FbEntry FbEntry;
typedef struct _FbDismissal FbDismissal;

/* GROUP: a static text.  NAME: of this process as a member, borrowed while SELF lives. */
FbDismissal *fb_dismissal_new (FbEntry *entry, const char *group, const char *name);
/* Takes this process out.  DONE is called when the store has it, or gave no answer; may be NULL. */
void fb_dismissal_leave (FbDismissal *self, FbHttpReplyDone done, gpointer user);
/* Takes MEMBER out if it is an earlier process of this daemon.
 * Returns: FALSE when it is none, or was taken out before. */
gboolean fb_dismissal_of (FbDismissal *self, const char *member);

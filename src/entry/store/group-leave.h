/* Removes processes of this daemon from a group of the store: this process when it leaves, and
 * previous processes, to which the store would assign partitions until their time to live expires.
 * This process listens at the same address, so the previous ones no longer run. */
#pragma once

#include "src/net/http-client.h"

typedef struct _FbEntryDaemon FbEntryDaemon;
typedef struct _FbGroupLeave FbGroupLeave;

/* GROUP: a static string.  NAME: this process's member name, borrowed while SELF exists. */
FbGroupLeave *fb_group_leave_new (FbEntryDaemon *entry, const char *group, const char *name);
/* Removes this process.  DONE, which may be NULL, is called with the store's answer, or when the
 * call has failed. */
void fb_group_leave_self (FbGroupLeave *self, FbHttpReplyDone done, gpointer user);
/* Removes MEMBER if it is a previous process of this daemon.
 * Returns: FALSE when it is not one, or was already removed. */
gboolean fb_group_leave_remove_predecessor (FbGroupLeave *self, const char *member);

/* Chooses the daemons through which orders are relayed.
 *
 * A choice compares all daemons, so an owner that polls each of its workers twice a second keeps
 * the choices until the list of daemons changes.  No I/O, clock or thread. */
#pragma once

#include "src/entry/store/daemons.h"

typedef struct _FbRelayChoices FbRelayChoices;

/* KEY: that of the relayed order.  EXCEPT: address of a daemon that is not chosen.
 * Returns: (nullable): one of MEMBERS, of FbDaemon, in DOMAIN if possible; borrowed. */
const FbDaemon *fb_relay_choose (const GPtrArray *members, const char *domain, const char *key,
                                 const char *except, uint64_t now_ms);

FbRelayChoices *fb_relay_choices_new (void);
void fb_relay_choices_free (FbRelayChoices *self);
/* As fb_relay_choose(), for orders to WORKER.  A list that has changed has to be another array. */
const FbDaemon *fb_relay_choices_get (FbRelayChoices *self, const GPtrArray *members,
                                      const char *domain, const char *worker, const char *except,
                                      uint64_t now_ms);

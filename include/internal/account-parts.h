/* Divides the caps of client accounts among the pools of all services.  No I/O, clock or thread.
 *
 * An account's cap holds over all pools, and each pool has an owner of its own.  For each account
 * one of the services is the coordinator, the same one for all daemons.  The owner of the
 * coordinator's pool grants parts of the cap to the other pools on request and keeps the rest for
 * its own pool.  A part does not expire: it is what a pool may use until its owner reports that it
 * holds less.  So the sum of all parts never exceeds the cap, whichever owners are frozen, cut off
 * or replaced:
 *
 * - A new owner of another pool holds what it finds running, and asks for more.
 * - A new owner of the coordinator's pool starts nothing for capped accounts, and grants nothing,
 *   until all other pools have reported what they hold.
 *
 * What no pool asks for is divided evenly, so that most tasks start without a message. */
#pragma once

#include "internal/pool.h"

typedef struct _FbAccountParts FbAccountParts;

/* What a pool claims of an account's cap. */
typedef struct
{
  FbAmounts taken;  /* in use */
  FbAmounts needed; /* to start the first waiting step as well */
  FbAmounts wanted; /* to start the other waiting steps as well */
} FbAccountClaim;

/* The parts of the pool of SERVICE, whose owner has EPOCH. */
FbAccountParts *fb_account_parts_new (const char *service, uint64_t epoch);
void fb_account_parts_free (FbAccountParts *self);
/* SERVICES: of char *, all that are configured. */
void fb_account_parts_set_services (FbAccountParts *self, const GPtrArray *services);

/* Logs whether all other pools have reported what they hold, when that changes.  To be called first
 * when the pool has been loaded, and then before each fb_account_parts_apply().
 * Returns: TRUE when the last missing report of another pool has arrived since the previous call,
 * TOOK_MS after the first call or after reports became missing again. */
gboolean fb_account_parts_update_ready (FbAccountParts *self, uint64_t now_ms, uint32_t *took_ms);
/* Sets the part of each account in POOL, the pool of this service. */
void fb_account_parts_apply (FbAccountParts *self, FbPool *pool);

/* Measures for how long pools wait for parts of the accounts that this service coordinates although
 * their caps have room.  Called each time that the parts are applied. */
void fb_account_parts_measure_waits (FbAccountParts *self, const FbPool *pool, uint64_t now_ms);

/* Fills in REQUEST to the owner of COORDINATOR's pool; cleared with
 * fb_account_parts_request_clear().  Returns: FALSE when there is nothing to ask for now. */
gboolean fb_account_parts_build_request (FbAccountParts *self, const FbPool *pool,
                                         const char *coordinator, uint64_t now_ms,
                                         fb_account_parts_request *request);
void fb_account_parts_request_clear (fb_account_parts_request *request);
/* The last request to COORDINATOR was answered.  REPLY: NULL when it got no answer. */
void fb_account_parts_answered (FbAccountParts *self, const char *coordinator,
                                const fb_account_grants_reply *reply);
/* Answers REQUEST, which another pool's owner has sent to this pool as coordinator.  REPLY is
 * released with xdr_free().  Returns: FALSE when REQUEST is outdated or from an unknown service. */
gboolean fb_account_parts_serve (FbAccountParts *self, FbPool *pool,
                                 const fb_account_parts_request *request,
                                 fb_account_grants_reply *reply);

/* Divides CAP among the N pools that have CLAIMS: each gets what it uses, then the pools that use
 * least get what their first waiting step needs, then all get the same up to what they want and can
 * use: a pool that gets little of one resource gets as little of the others.  The rest is divided
 * evenly.  The sum of PARTS exceeds the cap only if more is used already. */
void fb_account_parts_divide (const FbAmounts *cap, const FbAccountClaim *claims, guint n,
                              FbAmounts *parts);

/* Parts of the caps of client accounts: state shared by the sides of the coordinator
 * (account-coordinator.c) and of the other pools (account-parts.c). */
#pragma once

#include "internal/account-parts.h"

/* What this pool holds of an account that another service coordinates. */
typedef struct
{
  FbAmounts held;            /* what the pool may use */
  FbAmounts cap;             /* the cap of which HELD is a part */
  FbAmounts sent_held;       /* as the coordinator has recorded it */
  FbAccountClaim sent_claim; /* as last reported */
  gboolean give_back;        /* the coordinator needs what the pool does not use or want */
  uint64_t waiting_since_ms; /* as FbAccountGrant.waiting_since_ms, for the coordinator's pool */
} FbAccountHolding;

/* What another pool holds of an account that this service coordinates. */
typedef struct
{
  FbAmounts granted;
  FbAccountClaim claim; /* as last reported */
  /* Since when the pool waits for a part although the cap has room; 0: it does not. */
  uint64_t waiting_since_ms;
} FbAccountGrant;

/* The pool of another service. */
typedef struct
{
  char *service;
  /* As a member, to which this service grants parts. */
  gboolean has_reported;   /* an owner of it has sent a complete request */
  uint64_t reported_epoch; /* epoch of that owner */
  uint64_t epoch;          /* highest epoch of its owners that sent a request */
  uint64_t sequence;       /* number of its last request */
  GHashTable *grants;      /* account -> FbAccountGrant */
  /* As a coordinator, which grants parts to this service. */
  uint64_t coordinator_epoch; /* highest epoch of its owners that replied */
  gboolean is_informed;       /* its present owner has answered a complete request */
  gboolean request_open;
  gboolean report_due; /* less is held than last reported */
  uint64_t sent_ms;    /* when the last request was sent; 0: never */
} FbAccountPeer;

struct _FbAccountParts
{
  char *service;
  uint64_t epoch;
  uint64_t last_sequence;
  GPtrArray *services;  /* of char *, sorted */
  GPtrArray *peers;     /* of FbAccountPeer, in the order of SERVICES */
  GHashTable *holdings; /* account -> FbAccountHolding */
  gboolean was_ready;   /* last logged state, see fb_account_parts_all_reported() */
  uint64_t unready_ms;  /* time since which reports were missing; 0: not checked yet */
};

/* account-parts.c */

/* Returns: (nullable): the pool of the other SERVICE. */
FbAccountPeer *fb_account_parts_find_peer (const FbAccountParts *self, const char *service);
gboolean fb_account_parts_is_coordinated_by (const FbAccountParts *self, const char *account,
                                             const char *service);
FbAccountHolding *fb_account_parts_holding (FbAccountParts *self, const char *account);
FbAccountClaim fb_account_claim_of (const FbPoolAccountUsage *usage);
FbAccountClaim fb_account_claim_decode (const fb_account_part *row);

/* account-coordinator.c */

/* Returns: (nullable): what MEMBER holds of ACCOUNT; NULL when nothing is known. */
FbAccountGrant *fb_account_parts_grant (const FbAccountPeer *member, const char *account);
/* TRUE when steps wait for a part of the account in USAGE, which this service coordinates, in any
 * pool but MEMBER's, and MEMBER holds some of what they need. */
gboolean fb_account_parts_needs_back (const FbAccountParts *self, const FbAccountPeer *member,
                                      const FbPoolAccountUsage *usage);

/* TRUE when all other pools have reported what they hold to this owner. */
gboolean fb_account_parts_all_reported (const FbAccountParts *self);
/* Returns: what this pool may use of the account in USAGE, which it coordinates. */
FbAmounts fb_account_parts_own (const FbAccountParts *self, const FbPoolAccountUsage *usage);

/* amounts.c */

void fb_amounts_encode (const FbAmounts *amounts, fb_work_amounts *wire);
FbAmounts fb_amounts_decode (const fb_work_amounts *wire);

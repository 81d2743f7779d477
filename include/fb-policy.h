/* A partner's policy: what its operators declare, parsed and checked.
 *
 * Read from INI files that are applied together as one revision.  The format
 * is in flamingobarrow(5). */
#pragma once

#include "fb-types.h"
#include "rpc/record.h"

typedef enum
{
  FB_POLICY_OK,
  FB_POLICY_SYNTAX,   /* not an INI file */
  FB_POLICY_UNKNOWN,  /* a group or key that does not exist */
  FB_POLICY_VALUE,    /* a value out of its range or set */
  FB_POLICY_MISSING,  /* a key that must be there, or a name not declared */
  FB_POLICY_DUPLICATE /* declared twice */
} FbPolicyStatus;

typedef struct
{
  char *name;
  uint32_t weight;
  fb_res quota; /* zero: no limit */
} FbPolicyTeam;

/* How callers' work of one class is treated. */
typedef struct
{
  char *name;
  FbKind kind;
  uint32_t flags;
  char *team;
  fb_res demand;
  uint64_t deadline_ms; /* default time to start; FB_NO_DEADLINE_MS for none */
  uint64_t run_ms;      /* expected run time */
} FbPolicyClass;

typedef struct
{
  char *name;
  char *team;
  fb_res demand;
  uint32_t count;
} FbPolicyService;

typedef struct
{
  uint32_t partner;
  uint32_t lend_milli;
  char *placement;
  GPtrArray *teams;    /* FbPolicyTeam */
  GPtrArray *classes;  /* FbPolicyClass */
  GPtrArray *services; /* FbPolicyService */
  GPtrArray *drains;   /* char *: own hosts that get nothing new */
} FbPolicy;

/* Parses FILES as one revision of PARTNER.  Returns: FB_POLICY_OK and sets
 * *POLICY (transfer full); else the last message names file, group, key and
 * what was expected. */
FbPolicyStatus fb_policy_parse (uint32_t partner, const fb_rec_file *files, guint file_n,
                                FbPolicy **policy);
/* Returns: (transfer full): the policy in force before the first revision. */
FbPolicy *fb_policy_new_default (uint32_t partner);
void fb_policy_free (FbPolicy *self);

gboolean fb_policy_drains (const FbPolicy *self, const char *host);
const FbPolicyClass *fb_policy_class (const FbPolicy *self, const char *name);

#define FB_SIGN_PUBLIC_BYTES 32
#define FB_SIGN_SECRET_BYTES 64

/* Ed25519 over the bytes of a revision.  A partner's key vouches for its own
 * revisions and for nothing else. */
gboolean fb_policy_verify (const uint8_t *public_key, const void *data, gsize len,
                           const void *signature);
void fb_policy_sign (const uint8_t *secret_key, const void *data, gsize len, void *signature);
void fb_policy_make_keys (uint8_t *public_key, uint8_t *secret_key);

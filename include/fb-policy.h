/* A partner's policy as declared by its operators, parsed and validated.
 *
 * It is read from INI files that are applied together as one revision. The format is
 * described in flamingobarrow(5). */
#pragma once

#include "fb-types.h"
#include "rpc/record.h"

typedef enum
{
  FB_POLICY_OK,
  FB_POLICY_SYNTAX,   /* not an INI file */
  FB_POLICY_UNKNOWN,  /* an unknown group or key */
  FB_POLICY_VALUE,    /* a value that is out of range or not one of those allowed */
  FB_POLICY_MISSING,  /* a required key is missing, or a name is not declared */
  FB_POLICY_DUPLICATE /* declared twice */
} FbPolicyStatus;

typedef struct
{
  char *name;
  uint32_t weight;
  fb_res quota; /* 0: no limit */
} FbPolicyTeam;

/* Settings for callers' work of one class. */
typedef struct
{
  char *name;
  FbKind kind;
  uint32_t flags;
  char *team;
  fb_res demand;
  uint64_t deadline_ms; /* default time until the latest start; FB_NO_DEADLINE_MS for none */
  uint64_t run_ms;      /* expected run time */
} FbPolicyClass;

typedef struct
{
  char *name;
  char *team;
  fb_res demand;
  uint32_t count; /* number of tasks */
} FbPolicyService;

typedef struct
{
  uint32_t partner;
  uint32_t lend_milli;      /* share of its racks that the other partner may use, in thousandths */
  char *placement;          /* name of a placement policy */
  GPtrArray *teams;         /* FbPolicyTeam owned */
  GPtrArray *classes;       /* FbPolicyClass owned */
  GPtrArray *services;      /* FbPolicyService owned */
  GPtrArray *drained_hosts; /* char * owned: the partner's hosts that get no new work */
} FbPolicy;

/* Parses FILES as one revision of PARTNER. Returns: FB_POLICY_OK and sets *POLICY
 * (transfer full); otherwise the last message names the file, the group, the key and the
 * expected value. */
FbPolicyStatus fb_policy_parse (uint32_t partner, const fb_rec_file *files, guint file_n,
                                FbPolicy **policy);
/* Returns: (transfer full): the policy that is in force before the first revision. */
FbPolicy *fb_policy_new_default (uint32_t partner);
void fb_policy_free (FbPolicy *self);

/* Returns: TRUE if the policy declares HOST as drained. */
gboolean fb_policy_is_drained (const FbPolicy *self, const char *host);
/* Returns: the class NAME, borrowed, or NULL. */
const FbPolicyClass *fb_policy_class (const FbPolicy *self, const char *name);

#define FB_SIGN_PUBLIC_BYTES 32
#define FB_SIGN_SECRET_BYTES 64

/* Ed25519 signatures of the encoded revision. A partner's key is valid only for its own
 * revisions. */
gboolean fb_policy_verify (const uint8_t *public_key, const void *data, gsize len,
                           const void *signature);
void fb_policy_sign (const uint8_t *secret_key, const void *data, gsize len, void *signature);
void fb_policy_make_keys (uint8_t *public_key, uint8_t *secret_key);

/* The cell: its members, racks and partners, the same on every daemon.
 *
 * Shards are numbered, racks first, then ranges. Range i belongs to partner i mod
 * FB_PARTNER_N. Every rack and every range has one owner at a time. */
#pragma once

#include "fb-policy.h"
#include "fb-types.h"

/* A daemon. */
typedef struct
{
  char *name;
  uint32_t partner;
  uint32_t domain; /* failure domain */
  char *host;      /* IP address */
  uint16_t rpc_port;
  uint16_t http_port; /* for callers and operators */
} FbCellMember;

/* A host, with one worker. */
typedef struct
{
  char *name;
  char *address; /* IP:port of the worker's HTTP interface */
} FbCellHost;

typedef struct
{
  char *name;
  uint32_t partner;
  uint32_t domain;      /* failure domain */
  fb_res host_capacity; /* of each host */
  GPtrArray *hosts;     /* FbCellHost owned */
} FbCellRack;

typedef struct
{
  char *name;
  uint8_t public_key[FB_SIGN_PUBLIC_BYTES];
} FbCellPartner;

typedef struct
{
  FbCellPartner partners[FB_PARTNER_N];
  GPtrArray *members;    /* FbCellMember owned */
  GPtrArray *racks;      /* FbCellRack owned */
  uint32_t range_n;      /* number of ranges */
  uint64_t retention_ms; /* how long the log keeps records; 0 if forever */
  char *log_url;
  char *host_list_url;
  char *peer_key; /* shared by all daemons */
} FbCell;

FbCell *fb_cell_new (void);
void fb_cell_free (FbCell *self);
FbCellMember *fb_cell_add_member (FbCell *self, const char *name, uint32_t partner,
                                  uint32_t domain);
FbCellRack *fb_cell_add_rack (FbCell *self, const char *name, uint32_t partner, uint32_t domain,
                              const fb_res *host_capacity);
void fb_cell_add_host (FbCellRack *rack, const char *name, const char *address);

/* Returns: TRUE if both have the same members, racks, hosts, keys and settings. */
gboolean fb_cell_equal (const FbCell *a, const FbCell *b);

guint fb_cell_shard_count (const FbCell *self);
gboolean fb_cell_is_rack (const FbCell *self, uint32_t shard);
uint32_t fb_cell_shard_partner (const FbCell *self, uint32_t shard);
/* Returns: the shard number of the range that JOB of PARTNER belongs to. */
uint32_t fb_cell_range_of_job (const FbCell *self, uint32_t partner, uint64_t job);
/* Returns: the part of a team's QUOTA that may be used on RACK: in proportion to the rack's share
 * of its partner's capacity, so that all racks together do not exceed the quota; but at least 1,
 * because 0 means no limit. */
fb_res fb_cell_quota_slice (const FbCell *self, const FbCellRack *rack, const fb_res *quota);
/* Returns: the index of the partner, or -1 if there is none of that NAME. */
int fb_cell_partner_by_name (const FbCell *self, const char *name);
FbCellMember *fb_cell_member (const FbCell *self, guint index);
FbCellRack *fb_cell_rack (const FbCell *self, guint index);
/* Returns: the index of the member, or -1 if there is none of that NAME. */
int fb_cell_member_by_name (const FbCell *self, const char *name);

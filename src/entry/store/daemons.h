/* The daemons that live, as the store's group has them: where they are and what they can do.
 *
 * Every daemon is a member.  Ownership of pools is dealt among the stronger ones only
 * (group.c), work that can be done anywhere is spread over all. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntry FbEntry;
typedef struct _FbDaemons FbDaemons;

typedef struct
{
  char *address; /* for its peers */
  char *domain;  /* failure domain */
  uint32_t cpu_milli;
  uint64_t started_us; /* of its process, on its own clock */
  uint64_t rests_ms;   /* it gets nothing to carry until then: it did not answer */
  uint64_t refuses_ms; /* it gets no records to store until then: it could not */
} FbDaemon;

FbDaemons *fb_daemons_new (FbEntry *entry);
/* Returns: of FbDaemon, borrowed; empty while nothing is known. */
const GPtrArray *fb_daemons_all (const FbDaemons *self);
/* TRUE when this daemon is one of the stronger: it has half or more of what the strongest has. */
gboolean fb_daemons_is_strong (const FbDaemons *self);
/* FALSE until a list of the members was read that names this daemon's address. */
gboolean fb_daemons_known (const FbDaemons *self);
/* The member at ADDRESS did not answer. */
void fb_daemons_rest (FbDaemons *self, const char *address, uint64_t until_ms);
/* The member at ADDRESS could not store a record. */
void fb_daemons_refuses (FbDaemons *self, const char *address, uint64_t until_ms);
/* Leaves at a planned stop: nothing is given to it any more. */
void fb_daemons_leave (FbDaemons *self);

/* Reads the members that ROWS name, of FbPartitionOwner, into MEMBERS, of FbDaemon: one for each
 * address, the process that started last.  What is no name of a member is left out. */
void fb_daemons_read (GPtrArray *members, const GArray *rows);
void fb_daemon_free (gpointer member);
/* TRUE when MEMBERS hold a process at ADDRESS. */
gboolean fb_daemons_hold (const GPtrArray *members, const char *address);
/* TRUE when NAME is of another process at the address of OWN_NAME; both are names of members. */
gboolean fb_daemons_is_predecessor (const char *name, const char *own_name);
/* Returns: how many topics a group is to deal out that deals TOPICS_N with PARTITIONS_N partitions
 * in all, and names MEMBERS_N daemons. */
guint fb_daemons_topics (guint topics_n, guint partitions_n, guint members_n);

/* The live daemons according to the store's group: their addresses and capacities.
 *
 * Every daemon is a member.  Ownership of pools is assigned among the stronger ones only (group.c);
 * work that any daemon can do is spread over all. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntry FbEntry;
typedef struct _FbDaemons FbDaemons;

typedef struct
{
  char *address; /* IP:PORT where its peers reach it */
  char *domain;  /* failure domain */
  uint32_t cpu_milli;
  uint64_t started_us;              /* start of its process, us since 1970 on its own clock */
  uint64_t relay_backoff_until_ms;  /* gets no orders to relay until then: it did not answer */
  uint64_t append_backoff_until_ms; /* gets no records to append until then: it failed */
} FbDaemon;

FbDaemons *fb_daemons_new (FbEntry *entry);
/* Returns: the members, of FbDaemon, borrowed; empty until a list was read. */
const GPtrArray *fb_daemons_all (const FbDaemons *self);
/* TRUE when this daemon may own partitions: it has half or more of the strongest member's
 * processor. */
gboolean fb_daemons_may_own (const FbDaemons *self);
/* FALSE until a list of the members was read that names this daemon's address or, after
 * FIRST_LIST_MS, any list. */
gboolean fb_daemons_is_list_complete (const FbDaemons *self);
/* Records that the member at ADDRESS did not answer: it gets no orders to relay until UNTIL_MS. */
void fb_daemons_back_off_relay (FbDaemons *self, const char *address, uint64_t until_ms);
/* Records that the member at ADDRESS could not store a record: it gets none until UNTIL_MS. */
void fb_daemons_back_off_append (FbDaemons *self, const char *address, uint64_t until_ms);
/* Leaves the group at a planned stop, so that peers send nothing more to this daemon. */
void fb_daemons_leave (FbDaemons *self);

/* Adds the members named by ROWS, of FbPartitionOwner, to MEMBERS, of FbDaemon: one for each
 * address, the process that started last.  Malformed names are skipped. */
void fb_daemons_parse (GPtrArray *members, const GArray *rows);
void fb_daemon_free (gpointer member);
/* TRUE when MEMBERS contain a process at ADDRESS. */
gboolean fb_daemons_contain (const GPtrArray *members, const char *address);
/* TRUE when NAME, a member's name, denotes another process at the address of OWN_NAME. */
gboolean fb_daemons_is_predecessor (const char *name, const char *own_name);
/* Returns: the number of topics for the group's next join, given that it has TOPICS_N topics with
 * PARTITIONS_N partitions in all and names MEMBERS_N daemons. */
guint fb_daemons_needed_topics (guint topics_n, guint partitions_n, guint members_n);

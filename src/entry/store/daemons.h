/* The running daemons according to a group in the store: their addresses and capacities.
 *
 * Every daemon is a member.  Ownership of pools is assigned only to daemons with enough processor
 * time (group.c); work that any daemon can do is distributed over all. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntryDaemon FbEntryDaemon;
typedef struct _FbDaemons FbDaemons;

typedef struct
{
  char *address; /* IP:PORT where its peers reach it */
  char *domain;  /* failure domain */
  uint32_t cpu_milli;
  uint64_t started_us;              /* start time of its process in us since 1970, by its own
                                     * clock */
  uint64_t relay_backoff_until_ms;  /* no orders are relayed through it until then, because it did
                                     * not answer */
  uint64_t append_backoff_until_ms; /* no records are appended through it until then, because it
                                     * failed */
} FbDaemon;

/* The topic with which a daemon joins the group. */
typedef struct
{
  guint topic;
  guint topics_n; /* it is one of so many */
  uint64_t seed;  /* of the choices of this daemon */
  uint64_t choices_n;
  gboolean is_listed; /* it holds a partition, so the store lists it */
  uint64_t
      without_since_ms; /* time since which it has held none; 0: it holds one, or has not joined */
} FbDaemonTopic;

FbDaemons *fb_daemons_new (FbEntryDaemon *entry);
/* Returns: the members, of FbDaemon, borrowed; empty until a list has been read. */
const GPtrArray *fb_daemons_all (const FbDaemons *self);
/* Returns: TRUE when the list certainly contains every member, so that a daemon that it lacks is
 * not running.  In a large fleet a member may not be listed for a moment while partitions are
 * reassigned. */
gboolean fb_daemons_is_whole (const FbDaemons *self);
/* Returns: TRUE when there are so many members that lists are kept current only where they are
 * needed. */
gboolean fb_daemons_is_large_fleet (const FbDaemons *self);
/* Reads the members at once. */
void fb_daemons_refresh (FbDaemons *self);
/* Returns: TRUE when this daemon may own partitions: its processor share is at least half of the
 * largest one among the members. */
gboolean fb_daemons_may_own (const FbDaemons *self);
/* Returns: FALSE until a list of the members was read that contains this daemon's address or, after
 * ANY_LIST_AFTER_MS, any list. */
gboolean fb_daemons_is_list_complete (const FbDaemons *self);
/* Records that the member at ADDRESS did not answer: no orders are relayed through it until
 * UNTIL_MS. */
void fb_daemons_back_off_relay (FbDaemons *self, const char *address, uint64_t until_ms);
/* Records that the member at ADDRESS could not store a record: none are appended through it until
 * UNTIL_MS. */
void fb_daemons_back_off_append (FbDaemons *self, const char *address, uint64_t until_ms);
/* Leaves the group at a planned stop, so that peers send no further requests to this daemon. */
void fb_daemons_leave (FbDaemons *self);

/* Adds the members listed in ROWS, of FbPartitionOwner, to MEMBERS, of FbDaemon: for each address
 * the process that started last.  Malformed names are skipped. */
void fb_daemons_parse (GPtrArray *members, const GArray *rows);
void fb_daemon_free (gpointer member);
/* Returns: TRUE when MEMBERS contain a process at ADDRESS. */
gboolean fb_daemons_contain (const GPtrArray *members, const char *address);
/* Returns: TRUE when NAME, a member's name, denotes another process at the address in OWN_NAME. */
gboolean fb_daemons_is_predecessor (const char *name, const char *own_name);
/* Returns: the smallest processor share, in thousandths of a core, with which a daemon may own
 * partitions: half of the largest one in MEMBERS, of FbDaemon. */
uint64_t fb_daemons_owner_min_milli (const GPtrArray *members);
/* Returns: TRUE when MEMBERS_N members that are listed are all of the group, whose topics have
 * PER_TOPIC partitions each: fewer members than partitions of a topic each hold one. */
gboolean fb_daemons_lists_all (guint per_topic, guint members_n);
void fb_daemon_topic_init (FbDaemonTopic *self, const char *address);
/* The group lists the partitions of TOPICS_N topics. */
void fb_daemon_topic_listed (FbDaemonTopic *self, guint topics_n);
/* The store has answered a join of this daemon, which holds HELD_N partitions. */
void fb_daemon_topic_joined (FbDaemonTopic *self, guint held_n, uint64_t now_ms);

#pragma once

#include "common/line.h"
#include "rpc/gen/gspan.h"

/*
 * The table of the fleet's other members, as this node knows them from gossip (membership/probe.h)
 * and from the platform's list of VMs. Tables of different nodes may differ for a while: what the
 * nodes must agree on takes a lease.
 */

struct GspanMember
{
  char *name;
  char *zone;
  char *udp; /* "IP:PORT" */
  char *rpc; /* "IP:PORT" */
  guint64 incarnation;
  gspan_member_state state;
  guint64 state_since_us;      /* when the state or the incarnation last changed */
  guint gossip_sends_left;     /* datagrams that still have to carry this entry */
  bool in_vm_list;             /* in the latest list of VMs from the platform */
  guint64 last_datagram_at_us; /* when its last datagram arrived; 0 if none has */
  guint64 records_revision;    /* up to which its record table was complete in that datagram */
  guint64 records_digest;      /* of its record table in that datagram */
};

enum
{
  GSPAN_MEMBERS_WATCHERS = 2 /* members of an availability zone that read the platform */
};

/* Members other than this node. */
struct GspanMembers
{
  GPtrArray *items;     /* struct GspanMember, owned */
  guint64 change_count; /* rises with each merged change and each member added or removed */
};

void gspan_members_init (struct GspanMembers *members);
void gspan_members_finish (struct GspanMembers *members);

/* The member called NAME, or NULL. */
struct GspanMember *gspan_members_find (const struct GspanMembers *members, const char *name);

/*
 * Merges an entry received by gossip. The higher incarnation wins; at the same incarnation dead
 * wins over suspect, and suspect over alive. True if the member is new or its state changed. An
 * unknown member that is dead is ignored.
 */
bool gspan_members_merge (struct GspanMembers *members, const gspan_member *claim, guint64 now);

/* Number of members that are alive or suspect. */
guint gspan_members_count_live (const struct GspanMembers *members);

/*
 * Merges a complete list of VMs from the platform: first begin, then one call for each VM. Unknown
 * members are added as alive; known ones keep their state, since the list lags behind the gossip.
 */
void gspan_members_begin_vm_list (struct GspanMembers *members);
void gspan_members_merge_listed_vm (struct GspanMembers *members, const gspan_member *claim,
                                    guint64 now);

/* Removes members that have been dead for a minute and are not in the list of VMs. */
void gspan_members_remove_dead (struct GspanMembers *members, guint64 now);

/* The nodes of an availability zone that read the platform; the others there get records from them.
 */
struct GspanWatchers
{
  guint count;
  const struct GspanMember *items[GSPAN_MEMBERS_WATCHERS]; /* NULL is this node */
  bool includes_self;                                      /* this node is among the items */
};

/*
 * Chooses the watchers of ZONE by rendezvous hash from its members that are not dead and this node.
 * SELF is the name of this node, or NULL if it is not eligible. Nodes with different tables may
 * choose differently: a zone with more watchers only reads the platform more often.
 */
struct GspanWatchers gspan_members_watchers (const struct GspanMembers *members, const char *self,
                                             const char *zone);

/*
 * True if this node, called SELF, owns KEY: it has the highest rendezvous hash of all members that
 * are not dead.
 */
bool gspan_members_owns (const struct GspanMembers *members, const char *self, const char *key);

/*
 * The member to fetch records from: of those that are not dead, have records that differ from
 * DIGEST and are complete up to REVISION at least, the one complete up to the highest revision.
 * NULL if there is none.
 */
const struct GspanMember *gspan_members_find_ahead (const struct GspanMembers *members,
                                                    guint64 complete, guint64 digest);

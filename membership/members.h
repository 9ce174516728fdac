#pragma once

#include "common/line.h"
#include "rpc/gen/gspan.h"

/* Another member as this node sees it. */
struct GspanMember
{
  char *name;
  char *zone;
  char *udp; /* "IP:PORT" */
  char *rpc; /* "IP:PORT" */
  guint64 incarnation;
  gspan_member_state state;
  guint64 state_since_us;      /* of the state, microseconds */
  guint gossip_sends_left;     /* datagrams that are still to carry this entry */
  bool in_vm_list;             /* in the platform's latest list of VMs */
  guint64 last_datagram_at_us; /* its last datagram, microseconds; 0 is never */
  guint64 records_revision;    /* of its record table, from that datagram */
  guint64 records_digest;
};

enum
{
  GSPAN_MEMBERS_WATCHERS = 2 /* members of an availability zone that read the platform */
};

/* The other members, without this node itself. A hint: what must be agreed takes a lease. */
struct GspanMembers
{
  GPtrArray *items;
  guint64 change_count; /* rises with each change of a state and each member added or dropped */
};

void gspan_members_init (struct GspanMembers *members);
void gspan_members_finish (struct GspanMembers *members);

/* The member called NAME, or NULL. */
struct GspanMember *gspan_members_find (const struct GspanMembers *members, const char *name);

/*
 * Takes in what somebody says of a member. A higher incarnation wins; at the same one dead wins
 * over suspect over alive. True where the member is new or its state changed.
 */
bool gspan_members_merge (struct GspanMembers *members, const gspan_member *claim, guint64 now);

/* Numbers of members that are not dead, and of all. */
guint gspan_members_count_live (const struct GspanMembers *members);

/*
 * Takes what the platform's list of VMs says: unknown members are added as alive. Begin stands
 * before a whole list.
 */
void gspan_members_begin_vm_list (struct GspanMembers *members);
void gspan_members_merge_listed_vm (struct GspanMembers *members, const gspan_member *claim,
                                    guint64 now);

/* Drops members that have been dead for long and are not listed. */
void gspan_members_remove_dead (struct GspanMembers *members, guint64 now);

/* Which members of a zone read the platform for the others there. */
struct GspanWatchers
{
  guint count;
  const struct GspanMember *items[GSPAN_MEMBERS_WATCHERS]; /* NULL stands for this node */
  bool includes_self;                                      /* this node is one of them */
};

/*
 * Chooses by rendezvous hash over the live members of ZONE and this node, SELF being its name or
 * NULL where it is not to be chosen. Nodes that see different members may choose differently;
 * doubles do no harm.
 */
struct GspanWatchers gspan_members_watchers (const struct GspanMembers *members, const char *self,
                                             const char *zone);

/* True where this node, called SELF, is the one of all live members that owns KEY. */
bool gspan_members_owns (const struct GspanMembers *members, const char *self, const char *key);

/*
 * A live member whose records differ from DIGEST and are not behind COMPLETE, the farthest ahead;
 * NULL where there is none.
 */
const struct GspanMember *gspan_members_find_ahead (const struct GspanMembers *members,
                                                    guint64 complete, guint64 digest);

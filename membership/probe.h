#pragma once

#include "board/message.h"
#include "membership/members.h"

struct GspanBoard;

/*
 * SWIM failure detector and gossip over UDP. In each period of a second a node pings one member,
 * first directly, then through other members. A member that answers neither way is suspected, and
 * declared dead unless it refutes the suspicion in time, by raising its incarnation. Datagrams
 * carry a bounded number of member entries and the revision and digest of the sender's record
 * table, so that the load of a node doesn't grow with the fleet.
 */
struct GspanProbe
{
  guint64 incarnation;       /* of this node; raised to refute a suspicion */
  guint32 sequence;          /* of the last ping that was sent */
  guint64 last_tick_at_us;   /* 0 before the first tick */
  guint64 next_period_at_us; /* start of the next period */
  guint next_index;          /* index of the member to be pinged next */
  guint period_count;
  char *target_name;           /* the member that this period probes; NULL once it has answered */
  guint32 target_sequence;     /* of the ping to that member */
  guint64 pinged_at_us;        /* when that ping was sent */
  bool indirect_pings_sent;    /* other members were asked to ping it */
  GHashTable *forwarded_pings; /* sequence of a ping sent for another member to its request */
};

void gspan_probe_init (struct GspanProbe *probe);
void gspan_probe_finish (struct GspanProbe *probe);

void gspan_probe_handle (struct GspanBoard *board, const struct GspanEvent *event,
                         struct GspanOutbox *outbox);

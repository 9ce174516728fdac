#pragma once

#include "board/message.h"
#include "membership/members.h"

struct GspanBoard;

/*
 * Controller that probes the other members over UDP in the manner of SWIM. Each period it pings one
 * member, through others where it doesn't answer; who answers neither way is suspected, and dead
 * when nobody hears otherwise. A member that hears itself suspected raises its incarnation. What a
 * node sends in a second doesn't depend on how many there are. Datagrams carry a bounded number of
 * member entries and the sender's record digest.
 */
struct GspanProbe
{
  guint64 incarnation; /* of this node */
  guint32 sequence;
  guint64 last_tick_at_us;   /* 0 before the first tick */
  guint64 next_period_at_us; /* start of the next period */
  guint next_index;          /* index of the member to be pinged next */
  guint period_count;
  char *target_name; /* name of the member being probed, or NULL */
  guint32 target_sequence;
  guint64 pinged_at_us;     /* when it was pinged */
  bool indirect_pings_sent; /* others were asked to ping it */
  GHashTable
      *forwarded_pings; /* own sequence to struct of the ping that another member asked for */
};

void gspan_probe_init (struct GspanProbe *probe);
void gspan_probe_finish (struct GspanProbe *probe);

void gspan_probe_handle (struct GspanBoard *board, const struct GspanEvent *event,
                         struct GspanOutbox *outbox);

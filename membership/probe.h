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
  guint64 ticked_at; /* 0 before the first tick */
  guint64 next_at;   /* start of the next period */
  guint next;        /* index of the member to be pinged next */
  guint round;
  char *target; /* name of the member being probed, or NULL */
  guint32 target_sequence;
  guint64 asked_at;   /* when it was pinged */
  bool indirect;      /* others were asked to ping it */
  GHashTable *relays; /* own sequence to struct of the ping that another member asked for */
};

void gspan_probe_init (struct GspanProbe *probe);
void gspan_probe_finish (struct GspanProbe *probe);

void gspan_probe_handle (struct GspanBoard *board, const struct GspanEvent *event,
                         struct GspanOutbox *outbox);

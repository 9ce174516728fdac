#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Controller that answers other processes' calls of GSPAN_CHANGES out of this node's own tables:
 * the records and the list of VMs. A call with nothing to tell waits until there is something.
 */
struct GspanRelay
{
  GPtrArray *waiting;
  guint64 answered_at_change; /* counters of the tables when the waiting ones were last looked at */
};

void gspan_relay_init (struct GspanRelay *relay);
void gspan_relay_finish (struct GspanRelay *relay);

void gspan_relay_handle (struct GspanBoard *board, const struct GspanEvent *event,
                         struct GspanOutbox *outbox);

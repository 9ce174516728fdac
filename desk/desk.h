#pragma once

#include "board/message.h"

struct GspanBoard;

/* Controller of desk callers' requests: finds the route, picks upstreams, says what came of it. */
struct GspanDesk
{
  GHashTable *calls;      /* number of the exchange to struct GspanDeskCall, owns them */
  GHashTable *by_request; /* caller's request to struct GspanDeskCall */
};

void
gspan_desk_init (struct GspanDesk *desk);
void
gspan_desk_finish (struct GspanDesk *desk);
void
gspan_desk_handle (struct GspanBoard *board, const struct GspanEvent *event,
                   struct GspanOutbox *outbox);
bool
gspan_desk_busy (const struct GspanDesk *desk);

#pragma once

#include "board/message.h"

struct GspanNode;
struct GspanReplica;

/*
 * Exchanges with replicas that are under way, whatever they are for: they tell which links of this
 * node stand (links/links.h).
 */

struct GspanExchanges
{
  GHashTable *items; /* id of the operation to struct GspanExchange */
};

void gspan_exchanges_init (struct GspanExchanges *exchanges);
void gspan_exchanges_finish (struct GspanExchanges *exchanges);

/* Notes that an exchange with REPLICA starts under REF. */
void gspan_exchanges_begin (struct GspanNode *node, struct GspanReplica *replica,
                            struct GspanRef ref);

/* Takes note of EVENT before the owner of its exchange gets it. */
void gspan_exchanges_note_event (struct GspanNode *node, const struct GspanEvent *event,
                                 struct GspanOutbox *outbox);

/* Takes note of the exchanges that OUTBOX cancels. */
void gspan_exchanges_note_actions (struct GspanNode *node, const struct GspanOutbox *outbox);

void gspan_exchanges_tick (struct GspanNode *node, struct GspanOutbox *outbox);

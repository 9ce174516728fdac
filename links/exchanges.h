#pragma once

#include "board/message.h"
#include "catalog/limits.h"

struct GspanNode;
struct GspanReplica;

/*
 * Exchanges with replicas that are under way, whatever they are for, and the way that each takes:
 * over this node's own link, or through another node where that link is down. Owners of exchanges
 * see the same events either way. What a replica or its link shows is told to links/links.h; what
 * fails between two nodes is marked, so that it counts neither against the replica nor against the
 * request. Orders of weights always go over the own link: they are the holder's of a lease.
 */

struct GspanExchanges
{
  GHashTable *items;           /* id of the operation to struct GspanExchange */
  struct GspanHeaders nothing; /* of an answer that never came */
};

void gspan_exchanges_init (struct GspanExchanges *exchanges);
void gspan_exchanges_finish (struct GspanExchanges *exchanges);

/* Notes that an exchange of TRAFFIC with REPLICA starts under REF, and chooses its way. */
void gspan_exchanges_begin (struct GspanNode *node, struct GspanReplica *replica,
                            enum GspanTraffic traffic, struct GspanRef ref);

/* As above, always over this node's own link. */
void gspan_exchanges_begin_own (struct GspanNode *node, struct GspanReplica *replica,
                                struct GspanRef ref);

/* Has the exchange REF, which is just being started, go through another node if one offers that. */
void gspan_exchanges_prefer_relay (struct GspanNode *node, struct GspanRef ref);

/* Name of the node that the open exchange ID goes through; NULL where it goes directly. */
const char *gspan_exchanges_relay_of (const struct GspanNode *node, guint64 id);

/* The owner of the open exchange ID gives it up since nothing comes. */
void gspan_exchanges_note_silence (struct GspanNode *node, guint64 id);

/*
 * Takes note of EVENT before the owner of its exchange gets it, and turns it into what the owner
 * would have seen without another node in between. False if the owner isn't to get it.
 */
bool gspan_exchanges_take_event (struct GspanNode *node, struct GspanEvent *event,
                                 struct GspanOutbox *outbox);

/* Sends the exchanges that OUTBOX starts on their ways, and forgets those that it cancels. */
void gspan_exchanges_route (struct GspanNode *node, struct GspanOutbox *outbox);

void gspan_exchanges_tick (struct GspanNode *node, struct GspanOutbox *outbox);

/*
 * Takes an exchange out that has been silent on a link that is surely down, and that may be
 * repeated, and cancels it. False if there is none; else its owner, named in REF, has to be told
 * that it is lost.
 */
bool gspan_exchanges_take_stalled (struct GspanNode *node, struct GspanRef *ref,
                                   struct GspanOutbox *outbox);

#pragma once

#include <jansson.h>

#include "board/message.h"

struct GspanNode;

/*
 * Passes requests of other nodes on to replicas that those nodes can't reach themselves. The node
 * that sends a request decides all about it: which replica, whether it may be repeated, what its
 * end means. This node is only the way: it sends the request once, over a link of its own and
 * never through a third node, passes the answer on as it is, and ends the request as soon as its
 * sender goes away or gives up. What it doesn't pass on it refuses at once, so that the sender
 * knows that it has not run. The number of requests is bounded, and so are their bodies.
 */

struct GspanRelayServer
{
  GHashTable *by_request; /* request of the sender to struct GspanRelayed, owns them */
  GHashTable *by_id;      /* id of the exchange with the replica to struct GspanRelayed */
  size_t body_bytes;      /* of the requests that are being passed on */
  GPtrArray *askers;      /* names of nodes that wait until this one knows its own links */
};

void gspan_relay_server_init (struct GspanRelayServer *server);
void gspan_relay_server_finish (struct GspanRelayServer *server);

/* Answers the question of another node in MESSAGE: whether it may send requests here. */
void gspan_relay_server_receive_ask (struct GspanNode *node, json_t *message,
                                     struct GspanOutbox *outbox);

/* Takes requests of nodes, their ends, answers of replicas, and ticks. */
void gspan_relay_server_handle (struct GspanNode *node, const struct GspanEvent *event,
                                struct GspanOutbox *outbox);

/* Offers to those that have asked, as soon as a replica was heard. */
void gspan_relay_server_answer_asks (struct GspanNode *node, struct GspanOutbox *outbox);

/* Requests that are being passed on. */
guint gspan_relay_server_open (const struct GspanRelayServer *server);

/* True where the request with HEADERS bears this node's key: it may come from another node. */
bool gspan_relay_server_admits (const struct GspanNode *node, const struct GspanHeaders *headers);

#pragma once

#include <jansson.h>
#include <stdbool.h>

#include "common/str.h"

struct GspanNode;
struct GspanOutbox;
struct GspanPeer;

/*
 * Other nodes that offer to pass requests on to replicas. A node whose links are down, or in doubt,
 * asks some nodes drawn by lot; those that reach replicas and have room answer at once. An offer
 * lasts for seconds and is asked for again while it is wanted. Requests are spread over the offers
 * by the load that each node has, so that no node without trouble is overrun by one that has it.
 */

struct GspanRelayOffers
{
  GHashTable *items;    /* name of the node to struct GspanRelayOffer */
  guint64 asked_at;     /* last round of questions */
  guint64 wanted_until; /* offers are asked for again until then */
};

void gspan_relay_offers_init (struct GspanRelayOffers *offers);
void gspan_relay_offers_finish (struct GspanRelayOffers *offers);

/* Asks for offers, unless it was done just now, and keeps them fresh for some seconds. */
void gspan_relay_offers_want (struct GspanNode *node, struct GspanOutbox *outbox);

/* Takes in the offer in MESSAGE of another node. */
void gspan_relay_offers_receive (struct GspanNode *node, json_t *message);

/* True if there are nodes that could pass requests on. */
bool gspan_relay_offers_possible (const struct GspanNode *node);

/* True if a request can be passed on by another node now. */
bool gspan_relay_offers_any (const struct GspanNode *node);

/* The node that the next request is to go through; NULL is none. */
const struct GspanPeer *gspan_relay_offers_pick (struct GspanNode *node);

/* Counts the requests of this node that the node NAME has: DELTA more. */
void gspan_relay_offers_count (struct GspanNode *node, const char *name, int delta);

/* The node NAME can't be reached, or refused a request: it gets none before it offers again. */
void gspan_relay_offers_withdraw (struct GspanNode *node, const char *name);

/* Nothing came of a request to the node NAME: others that offer go before it for a while. */
void gspan_relay_offers_avoid (struct GspanNode *node, const char *name);

void gspan_relay_offers_tick (struct GspanNode *node, struct GspanOutbox *outbox);

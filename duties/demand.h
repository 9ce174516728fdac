#pragma once

#include "board/message.h"

struct GspanNode;

/*
 * What the fleet has to do for each service whose replicas may be ordered: the requests and items
 * that run or wait, as a mean over the last second. Each node tells the holder of the lease of
 * orders its own by datagram, once a second; a lost one is made up for by the next.
 */

struct GspanDemand
{
  GHashTable *own;   /* service to struct Own */
  GHashTable *nodes; /* name of another node to its services, a table of struct Told */
  guint64 next_sample_at;
  guint64 next_tell_at;
};

void gspan_demand_init (struct GspanDemand *demand);
void gspan_demand_finish (struct GspanDemand *demand);

/* Counts what this node has, and tells it to the holder once a second. */
void gspan_demand_tick (struct GspanNode *node, struct GspanOutbox *outbox);

/* Takes in what another node has told, if it is a known one. */
void gspan_demand_receive (struct GspanNode *node, json_t *message);

/* Requests and items for SERVICE of all nodes that have told theirs lately. */
double gspan_demand_of (const struct GspanNode *node, const char *service);

/* True where all nodes that are present have told theirs for SERVICE lately. */
bool gspan_demand_is_whole (const struct GspanNode *node, const char *service);

/* True where this node is to take part in orders of replicas, for some service or for this one. */
bool gspan_demand_enabled (const struct GspanNode *node);
bool gspan_demand_is_scaled (const struct GspanNode *node, const char *service);

#pragma once

#include "board/message.h"
#include "catalog/replica.h"
#include "weights/order_lease.h"
#include "weights/plan.h"

struct GspanNode;

/*
 * Brings model replicas to the versions of the weights that trainers name, by fenced orders. One
 * node orders at a time, by a lease; a new holder waits until no order of the one before can be
 * under way. A part of a model's replicas loads at once, so that the others go on serving.
 */

struct GspanWeights
{
  struct GspanOrderLease lease;
  GHashTable *named; /* model to struct GspanNamedWeights */
  GHashTable *loads; /* replica id to struct GspanLoad */
  struct GspanPlanHomes homes;
};

void gspan_weights_init (struct GspanWeights *weights);
void gspan_weights_finish (struct GspanWeights *weights);

/* Notes the version that a trainer named. */
void gspan_weights_apply (struct GspanNode *node, const struct GspanStoreObject *object,
                          struct GspanOutbox *outbox);
void gspan_weights_handle (struct GspanNode *node, const struct GspanEvent *event,
                           struct GspanOutbox *outbox);

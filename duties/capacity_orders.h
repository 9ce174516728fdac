#pragma once

#include "board/message.h"
#include "duties/capacity.h"
#include "duties/demand.h"

struct GspanNode;

/*
 * The fleet's orders of replicas to the platform, sent by the holder of the lease of orders
 * (weights/order_lease.h) with its fencing token, for services whose configuration has scaling
 * (duties/capacity.h decides). Nothing is kept in the store: a new holder plans from the replicas
 * that are there and from the demand that it is told; the counts whose replicas are still starting
 * are told by datagram to the nodes that would follow the holder. An order without an answer is
 * sent again.
 */

struct GspanCapacityOrders
{
  struct GspanDemand demand;
  GHashTable *told; /* "SERVICE ZONE KIND" to struct Told: counts that the holder has ordered */
  /* of the holder */
  guint64 fence; /* that the rest belongs to; 0 is none */
  struct GspanCapacity plan;
  GHashTable *calls; /* id to struct GspanCapacityOrder, under way */
  bool due;          /* orders wait for the lease's word */
  guint64 next_plan_at;
  guint64 paused_until; /* after too many calls */
  guint64 next_tell_at;
};

void gspan_capacity_orders_init (struct GspanCapacityOrders *orders);
void gspan_capacity_orders_finish (struct GspanCapacityOrders *orders);

/* True where the holder has something to send. */
bool gspan_capacity_orders_wanted (const struct GspanNode *node);

/* Takes in the counts that the holder has ordered. */
void gspan_capacity_orders_receive (struct GspanNode *node, json_t *message);

void gspan_capacity_orders_handle (struct GspanNode *node, const struct GspanEvent *event,
                                   struct GspanOutbox *outbox);

#pragma once

#include "board/message.h"
#include "catalog/limits.h"

/*
 * The gate that every request to a replica passes, whatever it is for. Where the replica limits
 * what it takes from all nodes together, each request needs a permit of the replica's allocator
 * (catalog/limits.h), which is asked by datagram and issues permits at that rate, first come first
 * served. A permit that isn't used in time lapses. An allocator that doesn't answer is replaced.
 */

/* True if this node may send a request of TRAFFIC to REPLICA at NOW. */
bool gspan_permits_allow (const struct GspanLimits *limits, const struct GspanReplica *replica,
                          enum GspanTraffic traffic, guint64 now);

/*
 * Starts a request of TRAFFIC to REPLICA: returns the action under REF for the caller to fill in,
 * and uses a permit where the replica has a limit.
 */
struct GspanActionHttp *gspan_permits_send (struct GspanNode *node, struct GspanReplica *replica,
                                            enum GspanTraffic traffic, struct GspanRef ref,
                                            struct GspanOutbox *outbox);

/* Asks for as many permits as TOTAL needs beside those at hand, unless there are none to be had. */
void gspan_permits_want (struct GspanNode *node, const struct GspanReplica *replica,
                         enum GspanTraffic traffic, guint total, struct GspanOutbox *outbox);

/*
 * When a request may be sent to REPLICA that RANK others wait before, as far as is known; NOW where
 * it isn't known yet. Who returns gspan_permits_reach_us () earlier is in time to ask for it.
 */
guint64 gspan_permits_expected_at (const struct GspanNode *node, const struct GspanReplica *replica,
                                   enum GspanTraffic traffic, guint rank);

/* How far ahead permits for TRAFFIC are issued at most. */
guint64 gspan_permits_reach_us (enum GspanTraffic traffic);

/* Answers the question of another node in MESSAGE. */
void gspan_permits_receive_ask (struct GspanNode *node, json_t *message,
                                struct GspanOutbox *outbox);

/* Takes in the permits in MESSAGE from an allocator. */
void gspan_permits_receive_grant (struct GspanNode *node, json_t *message,
                                  struct GspanOutbox *outbox);

/* Repeats questions without an answer, and takes over from allocators that don't answer. */
void gspan_permits_tick (struct GspanNode *node, struct GspanOutbox *outbox);

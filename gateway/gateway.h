#pragma once

#include "board/message.h"
#include "gateway/hedging.h"

struct GspanNode;
struct GspanReplica;

/*
 * Requests of desk callers, passed on to replicas: one attempt after another, a second one beside
 * the first where that may be repeated and is slow, until one gives the whole answer. What ran is
 * never called "not run"; what is given up is answered at once.
 */

struct GspanGateway
{
  GHashTable *calls;      /* own id to struct GspanCall, owns them */
  GHashTable *by_request; /* request to struct GspanCall */
  GHashTable *attempts;   /* id to struct GspanAttempt */
  struct GspanHedging hedging;
};

/* HAS_SHARE: second attempts are bounded by SHARE_PERCENT of the requests of their service. */
void gspan_gateway_init (struct GspanGateway *gateway, bool has_share, guint share_percent);
void gspan_gateway_finish (struct GspanGateway *gateway);

/* Takes REQUEST, events of attempts, callers that went away, and ticks. */
void gspan_gateway_handle (struct GspanNode *node, const struct GspanEvent *event,
                           struct GspanOutbox *outbox);

/* Sends calls that wait for a permit of a replica, where that has come. */
void gspan_gateway_send_waiting (struct GspanNode *node, struct GspanOutbox *outbox);

/* REPLICA has ended unplanned: records a crash for each attempt that it hasn't answered. */
void gspan_gateway_replica_ended (struct GspanNode *node, const struct GspanReplica *replica,
                                  struct GspanOutbox *outbox);
bool gspan_gateway_has_calls (const struct GspanGateway *gateway);

/* Answers REQUEST with STATUS 503 and when to come back: nothing of it has run or will. */
void gspan_gateway_refuse (struct GspanNode *node, guint64 request, const char *why,
                           guint64 wait_us, struct GspanOutbox *outbox);

/* The same, of a node that doesn't know its configuration yet. */
void gspan_gateway_refuse_while_starting (struct GspanNode *node, guint64 request,
                                          struct GspanOutbox *outbox);

/* Answers REQUEST with STATUS and a text for people. */
void gspan_gateway_reply_error (guint64 request, int status, const char *text,
                                struct GspanOutbox *outbox);

#pragma once

#include "catalog/replica.h"

struct GspanNode;
struct GspanOutbox;
struct GspanWireResponse;

/*
 * Replicas that have announced in a response that they are about to leave. The announcement holds
 * for that incarnation of the replica, regardless of what the store says later, of outages of the
 * store, and of an entry that expires and is registered again.
 */

struct GspanLeaving
{
  GHashTable *incarnations; /* id to struct Incarnation */
};

void gspan_leaving_init (struct GspanLeaving *leaving);
void gspan_leaving_finish (struct GspanLeaving *leaving);

/* Notes whether ANSWER, complete or only its head, announces that REPLICA is about to leave. */
void gspan_leaving_note_answer (struct GspanNode *node, struct GspanReplica *replica,
                                const struct GspanWireResponse *answer, struct GspanOutbox *outbox);

/* True if this incarnation of REPLICA, or a later one with the same id, has announced it. */
bool gspan_leaving_has (const struct GspanLeaving *leaving, const struct GspanReplica *replica);

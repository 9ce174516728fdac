#pragma once

#include "catalog/replica.h"

struct GspanNode;
struct GspanOutbox;
struct GspanWireResponse;

/*
 * Replicas that have said in an answer that they leave. It holds for that incarnation of the
 * replica, whatever the store says later or can't say, and also where its entry lapses and comes
 * back.
 */

struct GspanLeaving
{
  GHashTable *incarnations; /* id to struct Incarnation */
};

void gspan_leaving_init (struct GspanLeaving *leaving);
void gspan_leaving_finish (struct GspanLeaving *leaving);

/* Takes in what REPLICA's ANSWER says of it; any answer or part of one that has headers will do. */
void gspan_leaving_note_answer (struct GspanNode *node, struct GspanReplica *replica,
                                const struct GspanWireResponse *answer, struct GspanOutbox *outbox);

/* True where this incarnation of REPLICA, or a later one under its id, has said that it leaves. */
bool gspan_leaving_has (const struct GspanLeaving *leaving, const struct GspanReplica *replica);

#pragma once

#include "catalog/replica.h"

struct GspanNode;
struct GspanOutbox;
struct GspanWireResponse;

/*
 * Replicas that have announced that they are about to leave, by a response or by their entry in the
 * store. The announcement is the last word of that incarnation of the replica: it holds whatever
 * its entry says later (a write of before may be done late), through outages of the store, and for
 * an entry that expires and is registered again.
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

/* Notes that the entry of REPLICA announces it. */
void gspan_leaving_note_entry (struct GspanNode *node, const struct GspanReplica *replica);

/* True if this incarnation of REPLICA, or a later one with the same id, has announced it. */
bool gspan_leaving_has (const struct GspanLeaving *leaving, const struct GspanReplica *replica);

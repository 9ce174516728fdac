#pragma once

#include "catalog/replica.h"

struct GspanNode;
struct GspanOutbox;
struct GspanWireResponse;

/* Replicas that limit the requests that they take from all nodes together, as their answers say. */

/* Notes the limit that ANSWER, complete or only its head, names for REPLICA, or that it has none.
 */
void gspan_limits_note_answer (struct GspanNode *node, struct GspanReplica *replica,
                               const struct GspanWireResponse *answer, struct GspanOutbox *outbox);

#pragma once

#include "gateway/calls.h"

/* Where a call is sent next, and what it waits for before that. */

/*
 * Starts another attempt, or has the call wait: for the time that a replica's limit leaves for it,
 * or, where the last attempt brought nothing, a moment to learn whether this node's own links are
 * the cause, so that the next one goes through another node. False where there is no replica for
 * it.
 */
bool gspan_attempts_try_next (struct GspanNode *node, struct GspanCall *call,
                              struct GspanOutbox *outbox);

/*
 * Has the own links checked, once for CALL, where its attempts have brought nothing and no replica
 * was heard since. For calls that get no further attempt for now, so that a link that is down is
 * found all the same.
 */
void gspan_attempts_doubt_links (struct GspanNode *node, struct GspanCall *call,
                                 struct GspanOutbox *outbox);

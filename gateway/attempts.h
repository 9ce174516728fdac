#pragma once

#include "gateway/calls.h"

/* Where a call is sent next, and what it waits for before that. */

/*
 * Starts another attempt, or has the call wait for the time that a replica's limit leaves for it;
 * if MAY_WAIT, also a moment to learn whether this node's own links brought the last attempt
 * nothing, so that the next one takes another way. False where there is no replica for it.
 */
bool gspan_attempts_try_next (struct GspanNode *node, struct GspanCall *call, bool may_wait,
                              struct GspanOutbox *outbox);

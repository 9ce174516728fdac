#pragma once

#include "gateway/calls.h"

/* What replicas answer to attempts, and what of it the caller gets. */

/* The head of a streamed answer has come. */
void gspan_answers_handle_head (struct GspanNode *node, struct GspanAttempt *attempt,
                                const struct GspanEventHttp *answer, struct GspanOutbox *outbox);

/*
 * A part of a streamed answer has come. A stream that may be resumed is passed on by whole events,
 * so that another attempt can go on.
 */
void gspan_answers_handle_data (struct GspanNode *node, struct GspanAttempt *attempt,
                                const struct GspanEventHttp *answer, struct GspanOutbox *outbox);

/* Breaks off ATTEMPT, of whose answer more is held than there is room for. */
void gspan_answers_break_off (struct GspanNode *node, struct GspanAttempt *attempt,
                              struct GspanOutbox *outbox);

/* The exchange has ended: answers the caller, starts another attempt, or gives up. */
void gspan_answers_handle_done (struct GspanNode *node, struct GspanAttempt *attempt,
                                const struct GspanEventHttp *answer, struct GspanOutbox *outbox);

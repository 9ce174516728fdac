#pragma once

#include "rollout/feed.h"
#include "rpc/codec.h"

struct GspanBoard;

/* Pulls of trainers that entries pass on to the owner of the attachment. */

/*
 * True while this process may work for the attachment: as the holder of its lease, or as the last
 * holder while the platform can't be reached. The second is harmless when two do it at once, since
 * a batch is built on the cursor that its pull brought.
 */
bool gspan_rollout_may_serve (const struct GspanBoard *board, const struct GspanFeed *feed);

void gspan_rollout_answer_pull (guint64 call, enum gspan_status status, guint64 fence,
                                guint64 record, const char *detail, GBytes *body,
                                struct GspanOutbox *outbox);

/* Answers the pulls of FEED whose batch is whole or whose time is up. */
void gspan_rollout_answer_pulls (struct GspanBoard *board, struct GspanFeed *feed,
                                 const struct GspanRecord *record, struct GspanOutbox *outbox);

void gspan_rollout_handle_pull (struct GspanBoard *board, const struct GspanEventRpc *call,
                                struct GspanOutbox *outbox);

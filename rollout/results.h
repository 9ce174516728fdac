#pragma once

#include "rollout/feed.h"

struct GspanBoard;

/* Takes in what engines and scorers answer. */

/* Asks the engines last known to run an old or an uncertain version what they run now. */
void gspan_rollout_probe_engines (struct GspanBoard *board, const struct GspanFeed *feed,
                                  const struct GspanAttachment *attachment,
                                  struct GspanOutbox *outbox);

void gspan_rollout_handle_exchange_done (struct GspanBoard *board, const struct GspanEvent *event,
                                         struct GspanOutbox *outbox);

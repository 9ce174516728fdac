#pragma once

#include "rollout/feed.h"

struct GspanBoard;

/* Places the samples of an attachment at engines and scorers. */

enum
{
  GSPAN_ROLLOUT_INFLIGHT_MAX = 16 /* samples of this process at one engine */
};

/* The pool whose engines generate for ATTACHMENT; NULL where there is none. */
const struct GspanPool *gspan_rollout_pool_of (const struct GspanBoard *board,
                                               const struct GspanAttachment *attachment);

/* Starts over where samples begun before are no longer what the record asks for. */
void gspan_rollout_follow_recipe (struct GspanBoard *board, struct GspanFeed *feed,
                                  const struct GspanAttachment *attachment,
                                  struct GspanOutbox *outbox);

/* Oldest groups first; no later group starts on an engine that an earlier one still lacks. */
void gspan_rollout_advance_feed (struct GspanBoard *board, struct GspanFeed *feed,
                                 const struct GspanAttachment *attachment,
                                 struct GspanOutbox *outbox);

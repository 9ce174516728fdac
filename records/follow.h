#pragma once

#include "board/message.h"

struct GspanBoard;

/* Controller that keeps the record table up with the platform: one list, then watches. */
struct GspanFollow
{
  bool busy;
  bool listed;
  guint64 revision;
  guint64 retry_at;
};

void
gspan_follow_handle (struct GspanBoard *board, const struct GspanEvent *event,
                     struct GspanOutbox *outbox);

#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Controller that keeps the record table up with the platform: one list, then watches that go on
 * from the revision up to which the table is complete. A gap leads to a new list. Failures are
 * retried with a jittered back-off of up to BACKOFF_MAX_US; what is in force stays so meanwhile.
 */
struct GspanFollow
{
  bool reading; /* an operation at the platform is open */
  bool listed;  /* the table holds a whole list: the process can serve */
  bool gap;     /* the watch can't go on */
  guint failures;
  guint64 retry_at;
};

void
gspan_follow_handle (struct GspanBoard *board, const struct GspanEvent *event,
                     struct GspanOutbox *outbox);

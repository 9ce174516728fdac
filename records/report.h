#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Controller that writes the object "status/record.KIND.NAME" for each record: the version that was
 * seen, the one in force, conditions with the findings, and on how many members it is in force, by
 * what they last said. One member of all writes a record's status; it is chosen by rendezvous hash.
 */
struct GspanReport
{
  guint64 next_at;
};

void gspan_report_handle (struct GspanBoard *board, const struct GspanEvent *event,
                          struct GspanOutbox *outbox);

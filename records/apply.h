#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Puts the changes or the whole list of records that the platform or a peer sent into the board's
 * table, with a log line for each record that comes into force, goes, or has findings. BODY is
 * {"objects": [{"kind", "name", "version", "value"}]}, a value of null standing for a deletion;
 * objects of other kinds are passed over.
 */

/* What BODY is, besides its objects. */
enum GspanApplyKind
{
  GSPAN_APPLY_CHANGES, /* every change after the table's own revision, up to REVISION */
  GSPAN_APPLY_LIST     /* every object that there was at REVISION */
};

/* False where BODY is malformed: then nothing was put and nothing counts as known. */
bool gspan_records_apply (struct GspanBoard *board, enum GspanApplyKind kind, guint64 revision,
                          struct GspanStr body, struct GspanOutbox *outbox);

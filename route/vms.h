#pragma once

#include "board/message.h"

struct GspanBoard;

/* Controller that follows the platform's list of VMs and keeps the upstream table up with it. */
struct GspanVms
{
  bool busy;
  bool listed;
  guint64 next_at;
};

void
gspan_vms_handle (struct GspanBoard *board, const struct GspanEvent *event,
                  struct GspanOutbox *outbox);

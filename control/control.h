#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Controller of rollout pools: the holder of a pool's lease brings the model's newest weights to
 * its replicas, a bounded number at once, by fenced orders, and writes the pool's status back.
 */
struct GspanControl
{
  GHashTable *pools;     /* name to struct Pool, owns them */
  GHashTable *exchanges; /* number to struct Exchange, owns them */
};

void
gspan_control_init (struct GspanControl *control);
void
gspan_control_finish (struct GspanControl *control);
void
gspan_control_handle (struct GspanBoard *board, const struct GspanEvent *event,
                      struct GspanOutbox *outbox);

#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Controller of rollout pools: the holder of a pool's lease brings the model's newest weights to
 * its replicas, a bounded number at once, by fenced orders, and writes the pool's status back.
 *
 * Engines that check fencing numbers refuse an older holder's order. For engines that don't, a new
 * holder that took over from one that did not release waits for the longest life of an order
 * before it gives one; an order not begun before its holder's lease runs out isn't begun at all;
 * and whatever an order did, only the replica's own report counts, and one that went back is
 * ordered again.
 */
struct GspanControl
{
  GHashTable *pools;     /* name to struct GspanPoolWork, owns them */
  GHashTable *exchanges; /* number to struct Exchange, owns them */
};

void gspan_control_init (struct GspanControl *control);
void gspan_control_finish (struct GspanControl *control);
void gspan_control_handle (struct GspanBoard *board, const struct GspanEvent *event,
                           struct GspanOutbox *outbox);

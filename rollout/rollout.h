#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Controller of trainer attachments: the holder of an attachment's lease has its groups generated
 * and scored, and answers the pulls that entries pass on.
 */
struct GspanRollout
{
  GHashTable *feeds;     /* attachment to struct GspanFeed, owns them */
  GHashTable *exchanges; /* number of an exchange to struct Exchange, owns them */
  GHashTable *probes;    /* name of an engine to the time of its next probe */
};

void gspan_rollout_init (struct GspanRollout *rollout);
void gspan_rollout_finish (struct GspanRollout *rollout);
void gspan_rollout_handle (struct GspanBoard *board, const struct GspanEvent *event,
                           struct GspanOutbox *outbox);

#pragma once

#include "board/message.h"

struct GspanBoard;

/* Controller of trainers' pulls at an entry: finds the attachment's owner and asks it by RPC. */
struct GspanBatchPulls
{
  GHashTable *pulls;  /* number to struct Pull, owns them */
  GHashTable *owners; /* attachment to struct Owner */
};

void gspan_batch_pulls_init (struct GspanBatchPulls *pulls);
void gspan_batch_pulls_finish (struct GspanBatchPulls *pulls);

/* True for the paths that this controller answers. */
bool gspan_batch_pulls_is_path (struct GspanStr path);

void gspan_batch_pulls_handle (struct GspanBoard *board, const struct GspanEvent *event,
                               struct GspanOutbox *outbox);
bool gspan_batch_pulls_is_busy (const struct GspanBatchPulls *pulls);

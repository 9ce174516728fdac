#pragma once

#include "board/message.h"

struct GspanBoard;

/* Controller of trainers' pulls at an entry: finds the attachment's owner and asks it by RPC. */
struct GspanPulls
{
  GHashTable *pulls;  /* number to struct Pull, owns them */
  GHashTable *owners; /* attachment to struct Owner */
};

void gspan_pulls_init (struct GspanPulls *pulls);
void gspan_pulls_finish (struct GspanPulls *pulls);

/* True for the paths that this controller answers. */
bool gspan_pulls_takes (struct GspanStr path);

void gspan_pulls_handle (struct GspanBoard *board, const struct GspanEvent *event,
                         struct GspanOutbox *outbox);
bool gspan_pulls_busy (const struct GspanPulls *pulls);

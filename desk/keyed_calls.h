#pragma once

#include "board/message.h"
#include "desk/desk.h"
#include "rpc/gen/gspan.h"

struct GspanBoard;

/*
 * Entry's side of keyed calls: finds the owner of the key's slot, asks it, and asks again where no
 * answer comes. Asking again is harmless, since a key runs once whoever is asked.
 */
struct GspanKeyedCalls
{
  GHashTable *calls; /* number to struct KeyedCall, owns them */
  GPtrArray *owners; /* address of each slot's owner, NULL where not known */
};

void gspan_keyed_calls_init (struct GspanKeyedCalls *keyed);
void gspan_keyed_calls_finish (struct GspanKeyedCalls *keyed);

/* Takes a caller's REQUEST under KEY; FIRM is its route's. */
void gspan_keyed_calls_start (struct GspanBoard *board, guint64 request, struct GspanStr key,
                              const char *firm, const struct GspanDeskCallSpec *work,
                              struct GspanOutbox *outbox);

/* The answer for call ID from this process's own slots. */
void gspan_keyed_calls_reply_received (struct GspanBoard *board, guint64 id,
                                       const struct gspan_keyed_res *res,
                                       struct GspanOutbox *outbox);

void gspan_keyed_calls_handle (struct GspanBoard *board, const struct GspanEvent *event,
                               struct GspanOutbox *outbox);
bool gspan_keyed_calls_is_busy (const struct GspanKeyedCalls *keyed);

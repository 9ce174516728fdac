#pragma once

#include "board/message.h"
#include "desk/desk.h"
#include "rpc/gen/gspan.h"

struct GspanBoard;

/*
 * Entry's side of keyed calls: finds the owner of the key's slot, asks it, and asks again where no
 * answer comes. Asking again is harmless, since a key runs once whoever is asked.
 */
struct GspanKeyed
{
  GHashTable *calls; /* number to struct KeyedCall, owns them */
  GPtrArray *owners; /* address of each slot's owner, NULL where not known */
};

void gspan_keyed_init (struct GspanKeyed *keyed);
void gspan_keyed_finish (struct GspanKeyed *keyed);

/* Takes a caller's REQUEST under KEY; FIRM is its route's. */
void gspan_keyed_start (struct GspanBoard *board, guint64 request, struct GspanStr key,
                        const char *firm, const struct GspanDeskWork *work,
                        struct GspanOutbox *outbox);

/* The answer for call ID from this process's own slots. */
void gspan_keyed_answered (struct GspanBoard *board, guint64 id, const struct gspan_keyed_res *res,
                           struct GspanOutbox *outbox);

void gspan_keyed_handle (struct GspanBoard *board, const struct GspanEvent *event,
                         struct GspanOutbox *outbox);
bool gspan_keyed_busy (const struct GspanKeyed *keyed);

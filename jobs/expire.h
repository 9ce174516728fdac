#pragma once

#include "board/message.h"

struct GspanNode;

/*
 * Removes ended jobs from the store, one at a time, after the time for which their results are
 * kept; the store itself expires nothing. Only the holder of the order lease does this.
 */
struct GspanExpiry
{
  char *job_id;            /* job being removed; NULL is none */
  GPtrArray *object_names; /* names of its parts, segments and checkpoint still to be removed */
  bool names_listed;       /* a list call has filled object_names at least once */
  bool has_more_names;     /* the last list call didn't return all names */
  guint64 call;            /* store call in flight; 0 is none */
  guint64 next_scan_at_us; /* no search for an expired job earlier */
};

void gspan_expiry_init (struct GspanExpiry *expiry);
void gspan_expiry_finish (struct GspanExpiry *expiry);

/* Starts the next store call of a removal, if none is in flight. */
void gspan_expiry_tick (struct GspanNode *node, struct GspanOutbox *outbox);

/* Handles the REPLY to the call in flight. */
void gspan_expiry_call_done (struct GspanNode *node, const struct GspanStoreReply *reply,
                             struct GspanOutbox *outbox);

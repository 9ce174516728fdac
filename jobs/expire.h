#pragma once

#include "board/message.h"

struct GspanNode;

/*
 * Removal of ended jobs from the store, one after the other, once nobody may ask for their results
 * any more: nothing there expires by itself. The node that holds the lease of orders does it.
 */
struct GspanExpiry
{
  char *job;        /* being removed; NULL is none */
  GPtrArray *names; /* of its parts and segments that are still there */
  bool listed;
  bool more;       /* there are more names than the last list showed */
  guint64 call;    /* under way; 0 is none */
  guint64 next_at; /* next look for an old job */
};

void gspan_expiry_init (struct GspanExpiry *expiry);
void gspan_expiry_finish (struct GspanExpiry *expiry);
void gspan_expiry_tick (struct GspanNode *node, struct GspanOutbox *outbox);
void gspan_expiry_done (struct GspanNode *node, const struct GspanStoreReply *reply,
                        struct GspanOutbox *outbox);

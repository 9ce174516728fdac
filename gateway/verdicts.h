#pragma once

#include "store/store.h"

struct GspanEvent;
struct GspanNode;
struct GspanOutbox;

/*
 * Verdicts on requests that crash replicas, in the store: nodes that start, or that were cut off
 * from the others, read there what they were not told. The node that recorded the last crash writes
 * a verdict, and if it is gone any other that knows it; the holder of the lease of orders removes
 * it once it is over or an answer has cleared it.
 */

#define GSPAN_VERDICTS_KIND "poison"

struct GspanVerdicts
{
  GHashTable *items;   /* fingerprint to struct Verdict */
  guint64 call;        /* write to the store under way; 0 is none */
  guint64 fingerprint; /* that CALL writes or removes */
  bool removes;        /* CALL does */
  guint64 next_call_at_us;
};

void gspan_verdicts_init (struct GspanVerdicts *verdicts);
void gspan_verdicts_finish (struct GspanVerdicts *verdicts);

/*
 * Has the verdict on FINGERPRINT written to the store where there is one that isn't known to be
 * there; OWN where this node recorded the last crash.
 */
void gspan_verdicts_check (struct GspanNode *node, guint64 fingerprint, bool own,
                           struct GspanOutbox *outbox);

/* Takes in a verdict as it stands in the store. */
void gspan_verdicts_apply (struct GspanNode *node, const struct GspanStoreObject *object,
                           struct GspanOutbox *outbox);

void gspan_verdicts_handle (struct GspanNode *node, const struct GspanEvent *event,
                            struct GspanOutbox *outbox);

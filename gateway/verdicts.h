#pragma once

#include "store/store.h"

struct GspanEvent;
struct GspanNode;
struct GspanOutbox;

/*
 * Verdicts on requests that crash replicas, one object in the store for each condemned request.
 * Nodes that start, or that were partitioned from the others, read there what they have missed. The
 * node that recorded the last crash writes the verdict; if it fails to, any other node that knows
 * the verdict does so later. The holder of the lease of orders removes the object when the verdict
 * has expired or an answer has cleared it.
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
 * Schedules the write of the verdict on FINGERPRINT if there is one and it isn't known to be
 * stored. OWN says that this node recorded the last crash, which makes it write first.
 */
void gspan_verdicts_check (struct GspanNode *node, guint64 fingerprint, bool own,
                           struct GspanOutbox *outbox);

/* Applies a verdict that was read from the store, or its removal. */
void gspan_verdicts_apply (struct GspanNode *node, const struct GspanStoreObject *object,
                           struct GspanOutbox *outbox);

void gspan_verdicts_handle (struct GspanNode *node, const struct GspanEvent *event,
                            struct GspanOutbox *outbox);

#pragma once

#include "catalog/catalog.h"

struct GspanOutbox;

/*
 * What proves that this node knows the replicas: a list that it has read itself, or that of the
 * node that tells it, where both know the same.
 */

/* The replicas are known as they were AGE_US ago. */
void gspan_proof_note (struct GspanNode *node, guint64 age_us);

/* All changes of the replicas up to REVISION have been taken in, as of what was received last. */
void gspan_proof_claim (struct GspanNode *node, guint64 revision);

/* True where the digest of the replicas that are known is that of the store at their revision. */
bool gspan_proof_has_digest (const struct GspanCatalog *catalog);

/* Whether another node knows the same replicas as this one. */
enum GspanComparison
{
  GSPAN_COMPARISON_SAME,
  GSPAN_COMPARISON_DIFFERENT,
  GSPAN_COMPARISON_NONE /* they don't know them at the same revision */
};

/*
 * Compares the replicas that are known with DIGEST, of what another node knew at REVISION. Where
 * they differ, this node lists the replicas, and relies on no message before.
 */
enum GspanComparison gspan_proof_compare (struct GspanNode *node, guint64 revision, guint64 digest,
                                          struct GspanOutbox *outbox);

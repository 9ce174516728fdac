#pragma once

#include "store/store.h"

struct GspanCatalog;
struct GspanNode;
struct GspanOutbox;

/*
 * Whether the platform's store is away, for this node or for others as well. After an outage of the
 * store, entries of replicas that live may be missing for a while: they have expired, and are
 * registered again. An outage that this node saw alone, cut off from a store that served the node
 * which tells the others (catalog/feed.h), is none of the store's: what is missing then is gone.
 */

/* The last outage, and what another node has told of the store. */
struct GspanOutage
{
  guint64 began_at;          /* the store's last answer before it; 0 is none */
  guint64 ended_at;          /* the first answer after it, or of all; 0 is none yet */
  bool was_own;              /* this node saw it alone: the store served another one all through */
  guint64 lapse_until;       /* until then a missing entry may be registered again */
  guint64 told_at;           /* the other node's last message; 0 is none */
  guint64 told_served_since; /* since then the store has answered that node without an outage */
};

/* While FAILS, one follower alone asks whether the store is back (catalog/catalog.h). */
void gspan_outage_set (struct GspanNode *node, bool fails, enum GspanStoreResult result,
                       struct GspanOutbox *outbox);

/*
 * Notes that CALL, of any kind, failed. A watch may be cut at any time, and a call that was sent
 * before the store's last answer failed in an earlier outage; neither says that the store is away.
 */
void gspan_outage_note_failure (struct GspanNode *node, const struct GspanStoreCall *call);

/* Notes that the store has answered a call of any kind: it is there. */
void gspan_outage_note_answer (struct GspanNode *node, struct GspanOutbox *outbox);

/* The node TELLER has told that a call of its own failed at AT. */
void gspan_outage_note_told_failure (struct GspanCatalog *catalog, const char *teller, guint64 at);

/* The node that tells the others has had the store's answers, without an outage, for SERVED_US. */
void gspan_outage_note_told_service (struct GspanNode *node, guint64 served_us);

/*
 * True where what this node learns now of the replicas happened while it alone was cut off from the
 * store: no list has proven them since.
 */
bool gspan_outage_was_own (const struct GspanNode *node);

/* For how long the store has answered this node without an outage, in microseconds. */
guint64 gspan_outage_served_us (const struct GspanCatalog *catalog, guint64 now);

/*
 * Time of the last failure of a call to the store that this node knows of, but for those that only
 * EXCEPT has told: a node that is cut off from the store is no witness of an outage. 0 is none.
 */
guint64 gspan_outage_last_failure (const struct GspanCatalog *catalog, const char *except);

#pragma once

#include "store/store.h"

struct GspanCatalog;
struct GspanNode;
struct GspanOutbox;

/* Whether the platform's store is away, for this node or for others as well. */

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

/*
 * Time of the last failure of a call to the store that this node knows of, but for those that only
 * EXCEPT has told: a node that is cut off from the store is no witness of an outage. 0 is none.
 */
guint64 gspan_outage_last_failure (const struct GspanCatalog *catalog, const char *except);

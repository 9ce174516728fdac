#pragma once

#include "store/store.h"

struct GspanNode;
struct GspanOutbox;

/* Puts configurations and replicas, as the store holds them, onto the blackboard. */

/* Puts the configuration OBJECT in force, unless it is older than the one in force. */
void gspan_apply_config (struct GspanNode *node, const struct GspanStoreObject *object,
                         struct GspanOutbox *outbox);

/*
 * Notes the entry OBJECT of a replica, or its removal. An entry that can't be read names no replica
 * to use: one that is known by its name gets nothing new until its entry can be read again. A
 * removal beside an outage of the store counts only two seconds later: lapsed entries are back by
 * then.
 */
void gspan_apply_replica (struct GspanNode *node, const struct GspanStoreObject *object,
                          struct GspanOutbox *outbox);

/*
 * True where so many replicas, REMOVED of them, vanish at once that it is their entries that
 * lapsed: a watch that only waits doesn't notice that the store was away meanwhile.
 */
bool gspan_apply_is_many (const struct GspanNode *node, guint removed);

/* As above, for what REPLY to a watch removes. */
bool gspan_apply_removes_many (const struct GspanNode *node, const struct GspanStoreReply *reply);

/* Removes the replicas whose lapsed entries did not come back. */
void gspan_apply_remove_lapsed (struct GspanNode *node, struct GspanOutbox *outbox);

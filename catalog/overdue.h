#pragma once

struct GspanNode;
struct GspanOutbox;

/*
 * Notices that this node hasn't learned what the store says for longer than it should, although the
 * store answers it: by a list that never ends, or by one that isn't begun.
 */

/*
 * Logs and counts each kind whose last proof (replicas), or whose first message that something
 * newer exists (other kinds), is older than twice the drain notice; again after as long.
 */
void gspan_overdue_tick (struct GspanNode *node, struct GspanOutbox *outbox);

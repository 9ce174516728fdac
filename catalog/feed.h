#pragma once

#include <jansson.h>

#include "store/store.h"

struct GspanNode;
struct GspanOutbox;

/*
 * What one node reads of the store, told to all others by datagram, so that the number of calls
 * doesn't grow with the nodes. The holder of the lease of orders tells: the latest changes of the
 * replicas, the revisions of the configuration and of the list of nodes, and its lease. A node that
 * hears it makes no calls for these but where something has changed or was missed; where it hears
 * nothing for a while, or nothing recent enough, it follows the store itself.
 */

struct GspanFeed
{
  GPtrArray *changes;         /* of replicas, struct GspanFeedChange, oldest first */
  size_t changes_len;         /* bytes that they take in a message */
  guint64 complete_from;      /* all changes after this revision are in CHANGES */
  bool publishing;            /* this node has told others since it took the lease */
  guint64 published_at;       /* holder: the last message to the others */
  guint64 published_revision; /* holder: of the replicas, then */
  guint64 heard_again_at;     /* listener: the first message after a silence, 0 is none */
  guint64 heard_until;        /* listener: the revisions heard are recent enough until then */
  guint64 fresh_until;        /* listener: the replicas, too; changes of them may be missing */
};

void gspan_feed_init (struct GspanFeed *feed);
void gspan_feed_finish (struct GspanFeed *feed);

/* A whole list was read at REVISION: changes before it are told no more. */
void gspan_feed_reset (struct GspanFeed *feed, guint64 revision);

/* Notes changes of replicas that this node has read. */
void gspan_feed_note (struct GspanNode *node, const struct GspanStoreReply *reply);

/*
 * Notes one of them, or a difference between a whole list and what was known. An entry that names
 * no replica to use is told as an empty one. Who isn't told of a change reads the list.
 */
void gspan_feed_note_change (struct GspanNode *node, const struct GspanStoreObject *object,
                             guint64 revision);

/* Tells the other nodes where this one holds the lease. */
void gspan_feed_tick (struct GspanNode *node, struct GspanOutbox *outbox);

/* Takes in MESSAGE, which a holder has sent. */
void gspan_feed_receive (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox);

/* True where the revisions that were heard last are recent: of configuration, nodes and verdicts.
 */
bool gspan_feed_is_heard (const struct GspanNode *node);

/* True where this node knows the replicas by what it has heard. */
bool gspan_feed_is_fresh (const struct GspanNode *node);

/* True where this node tells the others, which need it to look often. */
bool gspan_feed_publishes (const struct GspanNode *node);

/* How long a watch of the node that tells may wait, in milliseconds. */
guint gspan_feed_watch_ms (const struct GspanNode *node);

#pragma once

#include <jansson.h>

#include "catalog/replica.h"

struct GspanNode;
struct GspanOutbox;
struct GspanWireResponse;

/*
 * Replicas that have announced that they are about to leave, by a response or by their entry in the
 * store. The announcement is the last word of that incarnation of the replica: it holds whatever
 * its entry says later (a write of before may be done late), through outages of the store, and for
 * an entry that expires and is registered again.
 */

struct GspanLeaving
{
  GHashTable *incarnations; /* id to struct Incarnation */
  bool has_writes;          /* some of them have to be kept in the store */
};

void gspan_leaving_init (struct GspanLeaving *leaving);
void gspan_leaving_finish (struct GspanLeaving *leaving);

/* Notes whether ANSWER, complete or only its head, announces that REPLICA is about to leave. */
void gspan_leaving_note_answer (struct GspanNode *node, struct GspanReplica *replica,
                                const struct GspanWireResponse *answer, struct GspanOutbox *outbox);

/*
 * Notes what the entry of REPLICA says of it, with STATUS, NULL where it has none. The status of
 * the entry's object is to keep the announcement, in case the entry is written as ready again:
 * nodes that start, or that hadn't read the entry in time, know it from there.
 */
void gspan_leaving_note_entry (struct GspanNode *node, const struct GspanReplica *replica,
                               json_t *status);

/* Writes what the store is to keep. */
void gspan_leaving_tick (struct GspanNode *node, struct GspanOutbox *outbox);

/* Birth of the incarnation that STATUS keeps as leaving; 0 where it keeps none. */
guint64 gspan_leaving_kept_in (json_t *status);

/* A status that keeps the incarnation BORN as leaving. */
json_t *gspan_leaving_status (guint64 born);

/* True if this incarnation of REPLICA, or a later one with the same id, has announced it. */
bool gspan_leaving_has (const struct GspanLeaving *leaving, const struct GspanReplica *replica);

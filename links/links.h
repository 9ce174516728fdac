#pragma once

#include <stdbool.h>

#include "catalog/replica.h"

struct GspanEvent;
struct GspanNode;
struct GspanOutbox;

/*
 * What this node knows of its own links to the replicas, apart from what it believes of the
 * replicas. Answers this fault: a VM loses its links to all or some replicas, while clients, the
 * store and other nodes still reach it and other nodes still reach those replicas.
 *
 * A request that ends without an answer, or stays without one, puts the link in doubt. The node
 * then checks that link by a connection that carries no request. If that fails too, it checks the
 * links to some other replicas: where none of them stands, the node holds itself cut off. Links
 * that are down are checked again until they are back.
 */

struct GspanLinks
{
  GHashTable *down;     /* replica id to struct GspanLink: links whose last check failed */
  GHashTable *checks;   /* id to struct GspanLinkCheck: checks under way */
  guint64 heard_at;     /* a replica was last heard over a link of this node; 0 is never */
  guint64 checked_at;   /* last round of checks while some links are down */
  guint64 doubted_at;   /* the oldest check that failed without a replica heard since; 0 is none */
  guint failed_checks;  /* since then */
  guint checks_to_back; /* CUT: that have to succeed yet; one that fails adds one */
  bool cut;             /* no link to any replica stands, as far as is known */
  guint64 cut_at;
  bool reach_is_direct; /* of all replicas, as last set */
};

void gspan_links_init (struct GspanLinks *links);
void gspan_links_finish (struct GspanLinks *links);

/* Bytes of REPLICA came over a link of this node. */
void gspan_links_note_heard (struct GspanNode *node);

/* A request over the link to REPLICA has ended without a byte in answer. */
void gspan_links_note_failure (struct GspanNode *node, struct GspanReplica *replica,
                               struct GspanOutbox *outbox);

/* A request over the link to REPLICA has had no byte in answer for long, and nor has any other. */
void gspan_links_note_silence (struct GspanNode *node, struct GspanReplica *replica,
                               struct GspanOutbox *outbox);

/* Checks the link to a replica drawn by lot, to know whether this node reaches any. */
void gspan_links_check_one (struct GspanNode *node, struct GspanOutbox *outbox);

/* True if a replica was heard over a link of this node at SINCE or later. */
bool gspan_links_proven_since (const struct GspanLinks *links, guint64 since);

/* Time since a replica was last heard over a link of this node; G_MAXUINT64 is never. */
guint64 gspan_links_heard_age (const struct GspanNode *node);

/* True if the link to REPLICA is down, or all are. */
bool gspan_links_is_down (const struct GspanLinks *links, const struct GspanReplica *replica);

/* As above, and that was confirmed: by several links, or by a second check of the one. */
bool gspan_links_is_surely_down (const struct GspanNode *node, const struct GspanReplica *replica);

/* Sets the way that requests take to each replica, as far as it follows from the links. */
void gspan_links_update_reach (struct GspanNode *node);

/* Takes the results of checks, and ticks. */
void gspan_links_handle (struct GspanNode *node, const struct GspanEvent *event,
                         struct GspanOutbox *outbox);

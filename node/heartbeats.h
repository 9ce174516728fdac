#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct GspanNode;
struct GspanOutbox;
struct GspanPeer;

/*
 * Heartbeats between the nodes, by datagram: each node sends them to all others, the less often the
 * more there are, so that its load doesn't grow with the fleet. A node that nobody heard for three
 * of them isn't present, nor is one that says that it drains. Any other datagram that names its
 * sender counts too. A node that hears nobody blames its own link and takes all for present.
 *
 * In a large fleet that takes long. A node that is counted on now, such as a takeover candidate, is
 * asked for a heartbeat, and isn't present where its answer doesn't come soon.
 */

struct GspanHeartbeats
{
  guint64 ticked_at; /* 0 before the first tick */
  guint64 heard_at;  /* last datagram of any other node, or the first tick */
};

/* True where PEER may take over what others run. */
bool gspan_heartbeats_is_present (const struct GspanNode *node, const struct GspanPeer *peer);

/* True where this node has heard no other one for so long that it may be cut off itself. */
bool gspan_heartbeats_is_isolated (const struct GspanNode *node);

/* How long PEER may be silent until it isn't present, in microseconds. */
guint64 gspan_heartbeats_timeout (const struct GspanNode *node, const struct GspanPeer *peer);

/*
 * False where the silence of PEER shows nothing: of the builds before this one, only those answer
 * that pass requests on for others.
 */
bool gspan_heartbeats_may_answer (const struct GspanPeer *peer);

/* Counts on PEER: asks it for a heartbeat, unless it was heard just now. */
void gspan_heartbeats_ask (struct GspanNode *node, struct GspanPeer *peer,
                           struct GspanOutbox *outbox);

/* A datagram of the node SENDER has come. */
void gspan_heartbeats_note (struct GspanNode *node, const char *sender);

/* Takes in a heartbeat, and answers one that asks; tells a node whose entry isn't known. */
void gspan_heartbeats_receive (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox);

/* Sends what is due. */
void gspan_heartbeats_tick (struct GspanNode *node, struct GspanOutbox *outbox);

/* Tells all others that this node drains. */
void gspan_heartbeats_tell_drain (struct GspanNode *node, struct GspanOutbox *outbox);

#include "node/heartbeats.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define INTERVAL_LEAST_US (GSPAN_SECOND)
#define INTERVAL_PER_NODE_US (30 * GSPAN_MS) /* a node sends and receives some 33 a second */
#define JUST_HEARD_US (500 * GSPAN_MS)
#define ANSWER_US (1200 * GSPAN_MS) /* some asks; datagrams get lost */
#define PAUSE_US (GSPAN_SECOND)     /* between two ticks: this node stood still and heard nobody */

enum
{
  TIMEOUT_INTERVALS = 3,
  OLD_BUILD_INTERVALS = 5, /* what a build before this one is asked makes it check a link */
  SPREAD_DIVISOR = 4
};

static guint64
interval_of (const struct GspanNode *node)
{
  return MAX (INTERVAL_LEAST_US, g_hash_table_size (node->peers.items) * INTERVAL_PER_NODE_US);
}

static guint64
interval_to (const struct GspanNode *node, const struct GspanPeer *peer)
{
  return interval_of (node) * (peer->sends_heartbeats ? 1 : OLD_BUILD_INTERVALS);
}

guint64
gspan_heartbeats_timeout (const struct GspanNode *node, const struct GspanPeer *peer)
{
  return TIMEOUT_INTERVALS * interval_to (node, peer);
}

bool
gspan_heartbeats_is_isolated (const struct GspanNode *node)
{
  guint64 heard_at = node->peers.heartbeats.heard_at;

  return node->now >= heard_at + TIMEOUT_INTERVALS * interval_of (node);
}

bool
gspan_heartbeats_may_answer (const struct GspanPeer *peer)
{
  return peer->sends_heartbeats || peer->relay_address != NULL;
}

static bool
is_silent (const struct GspanNode *node, const struct GspanPeer *peer)
{
  if (peer->asked_at != 0 && node->now >= peer->asked_at + ANSWER_US)
    return true;
  return gspan_heartbeats_may_answer (peer)
         && node->now >= peer->heard_at + gspan_heartbeats_timeout (node, peer);
}

bool
gspan_heartbeats_is_present (const struct GspanNode *node, const struct GspanPeer *peer)
{
  if (strcmp (peer->name, node->self.name) == 0)
    return true;
  return !peer->draining && (!is_silent (node, peer) || gspan_heartbeats_is_isolated (node));
}

void
gspan_heartbeats_note (struct GspanNode *node, const char *sender)
{
  struct GspanPeer *peer = g_hash_table_lookup (node->peers.items, sender);

  if (strcmp (sender, node->self.name) == 0)
    return;
  node->peers.heartbeats.heard_at = node->now;
  if (peer == NULL)
    return;
  peer->heard_at = node->now;
  peer->asked_at = 0;
}

/* ASKS has the receiver answer with one of its own. */
static json_t *
heartbeat (const struct GspanNode *node, bool asks)
{
  return json_pack ("{s:s, s:s, s:s, s:b, s:b}", "kind", "alive", "from", node->self.name, "udp",
                    node->self.udp_address, "draining", (int)node->draining, "asks", (int)asks);
}

static void
send_heartbeat (const struct GspanNode *node, const char *udp_address, bool asks,
                struct GspanOutbox *outbox)
{
  json_t *message = heartbeat (node, asks);

  gspan_peers_send_to (udp_address, message, outbox);
  json_decref (message);
}

void
gspan_heartbeats_ask (struct GspanNode *node, struct GspanPeer *peer, struct GspanOutbox *outbox)
{
  if (!peer->sends_heartbeats || strcmp (peer->name, node->self.name) == 0
      || node->now < peer->heard_at + JUST_HEARD_US)
    return;
  if (peer->asked_at == 0)
    peer->asked_at = node->now;
  send_heartbeat (node, peer->udp_address, true, outbox);
}

void
gspan_heartbeats_receive (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  const char *from = json_string_value (json_object_get (message, "from"));
  const char *udp = json_string_value (json_object_get (message, "udp"));
  struct GspanPeer *peer;
  json_t *answer;

  if (from == NULL || udp == NULL || strcmp (from, node->self.name) == 0)
    return;
  if (json_is_true (json_object_get (message, "asks")))
    send_heartbeat (node, udp, false, outbox);
  peer = g_hash_table_lookup (node->peers.items, from);
  if (peer != NULL)
    {
      peer->draining = json_is_true (json_object_get (message, "draining"));
      return;
    }
  answer = json_pack ("{s:s, s:s}", "kind", "unregistered", "from", node->self.name);
  gspan_peers_send_to (udp, answer, outbox);
  json_decref (answer);
}

/* A build before this one answers where it could pass requests on for this node. */
static void
ask_old_build (struct GspanNode *node, const struct GspanPeer *peer, struct GspanOutbox *outbox)
{
  json_t *message = json_pack ("{s:s, s:s}", "kind", "relay-ask", "from", node->self.name);

  if (peer->relay_address != NULL)
    gspan_peers_send_to (peer->udp_address, message, outbox);
  json_decref (message);
}

/*
 * Peers differ in their intervals by their names, so that what is sent together at first is spread
 * out soon.
 */
static guint64
next_heartbeat (const struct GspanNode *node, const struct GspanPeer *peer)
{
  guint64 interval = interval_to (node, peer);

  return node->now + interval - interval / SPREAD_DIVISOR * (g_str_hash (peer->name) % 256) / 256;
}

static void
send_due (struct GspanNode *node, struct GspanOutbox *outbox)
{
  json_t *message = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanPeer *peer = value;

      if (node->now < peer->next_heartbeat_at || strcmp (peer->name, node->self.name) == 0)
        continue;
      peer->next_heartbeat_at = next_heartbeat (node, peer);
      if (message == NULL)
        message = heartbeat (node, false);
      if (peer->sends_heartbeats)
        gspan_peers_send_to (peer->udp_address, message, outbox);
      else
        ask_old_build (node, peer, outbox);
    }
  json_decref (message);
}

/* While this node stood still it could hear nobody: PASSED isn't held against the others. */
static void
excuse_pause (struct GspanNode *node, guint64 passed)
{
  GHashTableIter iter;
  gpointer value;

  node->peers.heartbeats.heard_at += passed;
  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanPeer *peer = value;

      peer->heard_at = MIN (node->now, peer->heard_at + passed);
      peer->asked_at = 0;
    }
}

void
gspan_heartbeats_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanHeartbeats *heartbeats = &node->peers.heartbeats;

  if (heartbeats->ticked_at == 0)
    heartbeats->heard_at = node->now;
  else if (node->now >= heartbeats->ticked_at + PAUSE_US)
    excuse_pause (node, node->now - heartbeats->ticked_at);
  heartbeats->ticked_at = node->now;
  send_due (node, outbox);
}

void
gspan_heartbeats_tell_drain (struct GspanNode *node, struct GspanOutbox *outbox)
{
  json_t *message = heartbeat (node, false);

  gspan_peers_send_all (node, message, outbox);
  json_decref (message);
}

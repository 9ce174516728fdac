#include "links/relay_offers.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define OFFER_LASTS_US (2 * GSPAN_SECOND)
#define ASK_INTERVAL_US (400 * GSPAN_MS)      /* while there are offers */
#define ASK_AGAIN_INTERVAL_US (60 * GSPAN_MS) /* while there is none */
#define AVOIDED_US (GSPAN_SECOND)             /* after a request of which nothing came */
#define WANTED_US (3 * GSPAN_SECOND)          /* after the last need */

enum
{
  ASKED = 5, /* nodes by lot in a round: of a fleet that is cut for the most part, one is whole */
  OFFERS_KEPT = 8 /* that are asked again; more would only be idle */
};

struct GspanRelayOffer
{
  char *name;
  guint64 offered_at;
  guint64 avoid_until;
  bool draining;
  guint load; /* requests that it passed on for all nodes at OFFERED_AT */
  guint open; /* requests of this node that it has */
};

static void
offer_free (gpointer data)
{
  struct GspanRelayOffer *offer = data;

  g_free (offer->name);
  g_free (offer);
}

void
gspan_relay_offers_init (struct GspanRelayOffers *offers)
{
  *offers = (struct GspanRelayOffers){ 0 };
  offers->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, offer_free);
}

void
gspan_relay_offers_finish (struct GspanRelayOffers *offers)
{
  g_hash_table_unref (offers->items);
}

static const struct GspanPeer *
peer_of (const struct GspanNode *node, const char *name)
{
  const struct GspanPeer *peer = g_hash_table_lookup (node->peers.items, name);

  return peer != NULL && peer->relay_address != NULL ? peer : NULL;
}

static bool
is_valid (const struct GspanNode *node, const struct GspanRelayOffer *offer)
{
  return offer->offered_at != 0 && node->now < offer->offered_at + OFFER_LASTS_US
         && peer_of (node, offer->name) != NULL;
}

static void
ask (struct GspanNode *node, const char *name, struct GspanOutbox *outbox)
{
  json_t *message = json_pack ("{s:s, s:s}", "kind", "relay-ask", "from", node->self.name);

  gspan_peers_send (node, name, message, outbox);
  json_decref (message);
}

/* Names of the other nodes that could pass requests on; the caller releases the array only. */
static GPtrArray *
candidates (const struct GspanNode *node)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct GspanPeer *peer = peer_of (node, key);

      if (strcmp (key, node->self.name) != 0 && peer != NULL
          && gspan_heartbeats_is_present (node, peer))
        g_ptr_array_add (names, key);
    }
  return names;
}

static void
ask_by_lot (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GPtrArray *names = candidates (node);

  for (guint i = 0; i < ASKED && names->len > 0; i++)
    ask (node, g_ptr_array_steal_index_fast (names, g_rand_int (node->random) % names->len),
         outbox);
  g_ptr_array_unref (names);
}

static void
ask_round (struct GspanNode *node, struct GspanOutbox *outbox)
{
  guint left = OFFERS_KEPT;
  GHashTableIter iter;
  gpointer value;

  node->relay_offers.asked_at = node->now;
  g_hash_table_iter_init (&iter, node->relay_offers.items);
  while (left > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanRelayOffer *offer = value;

      if (!is_valid (node, offer))
        continue;
      ask (node, offer->name, outbox);
      left--;
    }
  if (left > OFFERS_KEPT / 2)
    ask_by_lot (node, outbox);
}

void
gspan_relay_offers_want (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanRelayOffers *offers = &node->relay_offers;
  guint64 interval = gspan_relay_offers_any (node) ? ASK_INTERVAL_US : ASK_AGAIN_INTERVAL_US;

  offers->wanted_until = node->now + WANTED_US;
  if (offers->asked_at == 0 || node->now >= offers->asked_at + interval)
    ask_round (node, outbox);
}

static struct GspanRelayOffer *
offer_of (struct GspanNode *node, const char *name)
{
  struct GspanRelayOffer *offer = g_hash_table_lookup (node->relay_offers.items, name);

  if (offer == NULL)
    {
      offer = g_new0 (struct GspanRelayOffer, 1);
      offer->name = g_strdup (name);
      g_hash_table_insert (node->relay_offers.items, offer->name, offer);
    }
  return offer;
}

void
gspan_relay_offers_receive (struct GspanNode *node, json_t *message)
{
  const char *from = json_string_value (json_object_get (message, "from"));
  struct GspanRelayOffer *offer;

  if (from == NULL || peer_of (node, from) == NULL)
    return;
  offer = offer_of (node, from);
  offer->offered_at = node->now;
  offer->draining = json_is_true (json_object_get (message, "draining"));
  offer->load = (guint)json_integer_value (json_object_get (message, "load"));
}

bool
gspan_relay_offers_possible (const struct GspanNode *node)
{
  GPtrArray *names = candidates (node);
  bool possible = names->len > 0;

  g_ptr_array_unref (names);
  return possible;
}

bool
gspan_relay_offers_any (const struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->relay_offers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (is_valid (node, value))
        return true;
    }
  return false;
}

/* Lower is better: those that stay, then those that answer, then requests that the node has, its
 * zone, the lot. */
static guint64
cost_of (const struct GspanNode *node, const struct GspanRelayOffer *offer, guint32 draw)
{
  guint64 load = MAX (offer->load, offer->open);
  guint64 far = g_strcmp0 (peer_of (node, offer->name)->zone, node->self.zone) != 0;
  guint64 avoided = node->now < offer->avoid_until;
  guint64 draining = offer->draining;

  return draining << 57 | avoided << 56 | load << 20 | far << 19
         | ((g_str_hash (offer->name) ^ draw) * 2654435761U & 0xffff);
}

const struct GspanPeer *
gspan_relay_offers_pick (struct GspanNode *node)
{
  const struct GspanRelayOffer *best = NULL;
  guint32 draw = g_rand_int (node->random);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->relay_offers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanRelayOffer *offer = value;

      if (!is_valid (node, offer))
        continue;
      if (best == NULL || cost_of (node, offer, draw) < cost_of (node, best, draw))
        best = offer;
    }
  return best != NULL ? peer_of (node, best->name) : NULL;
}

void
gspan_relay_offers_count (struct GspanNode *node, const char *name, int delta)
{
  struct GspanRelayOffer *offer = offer_of (node, name);

  offer->open = (guint)((int)offer->open + delta);
}

void
gspan_relay_offers_withdraw (struct GspanNode *node, const char *name)
{
  offer_of (node, name)->offered_at = 0;
}

void
gspan_relay_offers_avoid (struct GspanNode *node, const char *name)
{
  offer_of (node, name)->avoid_until = node->now + AVOIDED_US;
}

/* Drops offers of nodes that are gone, once none of their requests is open. */
static void
drop_outdated (struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->relay_offers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanRelayOffer *offer = value;

      if (offer->open == 0 && node->now > offer->offered_at + WANTED_US
          && node->now > offer->avoid_until)
        g_hash_table_iter_remove (&iter);
    }
}

void
gspan_relay_offers_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  const struct GspanRelayOffers *offers = &node->relay_offers;
  guint64 interval = gspan_relay_offers_any (node) ? ASK_INTERVAL_US : ASK_AGAIN_INTERVAL_US;

  drop_outdated (node);
  if (node->now < offers->wanted_until && node->now >= offers->asked_at + interval)
    ask_round (node, outbox);
}

#include "node/peers.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

#define RETRY_US (500 * GSPAN_MS)

static void
peer_free (gpointer data)
{
  struct GspanPeer *peer = data;

  g_free (peer->name);
  g_free (peer->zone);
  g_free (peer->udp_address);
  g_free (peer->relay_address);
  g_free (peer->relay_key);
  g_free (peer);
}

void
gspan_peers_init (struct GspanPeers *peers)
{
  *peers = (struct GspanPeers){ 0 };
  gspan_registration_init (&peers->registration);
  peers->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
}

void
gspan_peers_finish (struct GspanPeers *peers)
{
  gspan_registration_finish (&peers->registration);
  g_hash_table_unref (peers->items);
  g_free (peers->retirement_vm);
}

static void
log_peer (const struct GspanNode *node, const char *event, const char *name, const char *udp,
          struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "vm", name);
  gspan_line_cstr (&line, "udp", udp);
  gspan_line_u64 (&line, "known", g_hash_table_size (node->peers.items));
  gspan_outbox_log (outbox, "peers", GSPAN_PRIORITY_INFO, &line);
}

static struct GspanPeer *
peer_new (const struct GspanNode *node, const struct GspanStoreObject *object)
{
  const char *relay = json_string_value (json_object_get (object->spec, "relay"));
  const char *relay_key = json_string_value (json_object_get (object->spec, "relay_key"));
  struct GspanPeer *peer = g_new0 (struct GspanPeer, 1);

  peer->name = g_strdup (object->name);
  peer->zone = g_strdup (json_string_value (json_object_get (object->spec, "zone")));
  peer->udp_address = g_strdup (json_string_value (json_object_get (object->spec, "udp")));
  peer->relay_address = relay_key != NULL ? g_strdup (relay) : NULL;
  peer->relay_key = g_strdup (relay_key);
  peer->revision = object->revision;
  peer->sends_heartbeats = json_is_true (json_object_get (object->spec, "heartbeats"));
  peer->cpu_milli = (guint)json_integer_value (json_object_get (object->spec, "cpu_milli"));
  peer->counts_usage = json_is_true (json_object_get (object->spec, "counts_usage"));
  peer->records_origins = json_is_true (json_object_get (object->spec, "records_origins"));
  peer->heard_at = node->now;
  return peer;
}

void
gspan_peers_apply (struct GspanNode *node, const struct GspanStoreObject *object,
                   struct GspanOutbox *outbox)
{
  const char *udp = json_string_value (json_object_get (object->spec, "udp"));
  const struct GspanPeer *known = g_hash_table_lookup (node->peers.items, object->name);
  struct GspanPeer *peer;

  if (strcmp (object->name, node->self.name) == 0)
    gspan_registration_apply_own (node, object);
  if (object->removed || udp == NULL)
    {
      if (g_hash_table_remove (node->peers.items, object->name))
        log_peer (node, "peer-gone", object->name, "", outbox);
      return;
    }
  if (known != NULL && known->revision == object->revision)
    return;
  if (known == NULL || strcmp (known->udp_address, udp) != 0)
    log_peer (node, "peer-known", object->name, udp, outbox);
  peer = peer_new (node, object);
  g_hash_table_replace (node->peers.items, peer->name, peer);
}

void
gspan_peers_apply_retirement (struct GspanNode *node, const struct GspanStoreObject *object,
                              struct GspanOutbox *outbox)
{
  const char *state = json_string_value (json_object_get (object->status, "state"));
  struct GspanLine line;

  if (object->removed || object->problem != NULL || strcmp (object->name, node->self.name) != 0
      || g_strcmp0 (state, "completed") == 0)
    return;
  gspan_line_init (&line, "vm-emptied");
  gspan_line_cstr (&line, "vm", object->name);
  gspan_line_u64 (&line, "revision", object->revision);
  gspan_outbox_log (outbox, "peers", GSPAN_PRIORITY_NOTICE, &line);
  g_free (node->peers.retirement_vm);
  node->peers.retirement_vm = g_strdup (object->name);
}

static void
report_retirement (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_CATALOG, gspan_node_next_id (node) };
  struct GspanStoreCall *call = gspan_outbox_store (
      outbox, ref, GSPAN_STORE_SET_STATUS, gspan_wire_kind_retirements, node->peers.retirement_vm);

  call->value = gspan_wire_retirement_status (true);
  node->peers.retirement_call_id = ref.id;
}

static void
on_retirement_reported (struct GspanNode *node, enum GspanStoreResult result)
{
  node->peers.retirement_call_id = 0;
  if (result == GSPAN_STORE_OK || result == GSPAN_STORE_MISSING)
    g_clear_pointer (&node->peers.retirement_vm, g_free);
  else
    node->peers.retry_at_us = node->now + RETRY_US;
}

void
gspan_peers_handle (struct GspanNode *node, const struct GspanEvent *event,
                    struct GspanOutbox *outbox)
{
  struct GspanPeers *peers = &node->peers;

  gspan_registration_handle (node, event, outbox);
  if (event->kind == GSPAN_EVENT_STORE_DONE && event->ref.id == peers->retirement_call_id)
    on_retirement_reported (node, event->u.store.reply->result);
  if (node->now < peers->retry_at_us || node->catalog.store_fails)
    return;
  if (peers->retirement_vm != NULL && peers->retirement_call_id == 0)
    report_retirement (node, outbox);
}

static guint64
weight_of (const char *job, const char *name)
{
  return XXH64 (name, strlen (name), XXH64 (job, strlen (job), 0));
}

guint
gspan_peers_takeover_rank (const struct GspanNode *node, const char *job, const char *owner)
{
  guint64 own = weight_of (job, node->self.name);
  guint rank = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer peer;

  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, &key, &peer))
    {
      if (strcmp (key, owner) != 0 && strcmp (key, node->self.name) != 0
          && gspan_heartbeats_is_present (node, peer) && weight_of (job, key) > own)
        rank++;
    }
  return rank;
}

guint
gspan_peers_draw (const struct GspanNode *node, const char *key, const char *excluded,
                  guint least_cpu_milli, const char **names, guint count)
{
  guint found = 0;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct GspanPeer *peer = value;
      guint at = found;

      if (strcmp (name, excluded) == 0 || peer->cpu_milli < least_cpu_milli
          || !gspan_heartbeats_is_present (node, peer))
        continue;
      while (at > 0 && weight_of (key, names[at - 1]) < weight_of (key, name))
        {
          if (at < count)
            names[at] = names[at - 1];
          at--;
        }
      if (at < count)
        names[at] = name;
      found = MIN (found + 1, count);
    }
  return found;
}

guint
gspan_peers_takeover_candidates (const struct GspanNode *node, const char *job, const char *owner,
                                 const char **names, guint count)
{
  return gspan_peers_draw (node, job, owner, 0, names, count);
}

bool
gspan_peers_has_build_without_records (const struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (!((const struct GspanPeer *)value)->records_origins)
        return true;
    }
  return false;
}

bool
gspan_peers_all_record_origins (const struct GspanNode *node)
{
  return node->catalog.followers[GSPAN_FOLLOW_NODES].synced
         && !gspan_peers_has_build_without_records (node);
}

static void
send_datagram (const char *address, GBytes *payload, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_DATAGRAM, (struct GspanRef){ 0 });

  action->u.datagram.address = g_strdup (address);
  action->u.datagram.payload = g_bytes_ref (payload);
}

/* NULL where MESSAGE couldn't be built: what a caller sent, such as an id, may be no UTF-8. */
static GBytes *
encode (json_t *message)
{
  char *text = json_dumps (message, JSON_COMPACT);

  return text != NULL ? g_bytes_new_with_free_func (text, strlen (text), free, text) : NULL;
}

void
gspan_peers_send_all (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  GBytes *payload = encode (message);
  GHashTableIter iter;
  gpointer value;

  if (payload == NULL)
    return;
  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanPeer *peer = value;

      if (strcmp (peer->name, node->self.name) != 0)
        send_datagram (peer->udp_address, payload, outbox);
    }
  g_bytes_unref (payload);
}

void
gspan_peers_send_to (const char *udp_address, json_t *message, struct GspanOutbox *outbox)
{
  GBytes *payload = encode (message);

  if (payload == NULL)
    return;
  send_datagram (udp_address, payload, outbox);
  g_bytes_unref (payload);
}

bool
gspan_peers_send (struct GspanNode *node, const char *name, json_t *message,
                  struct GspanOutbox *outbox)
{
  const struct GspanPeer *peer = g_hash_table_lookup (node->peers.items, name);

  if (peer != NULL)
    gspan_peers_send_to (peer->udp_address, message, outbox);
  return peer != NULL;
}

void
gspan_peers_ask (struct GspanNode *node, const char *name, struct GspanOutbox *outbox)
{
  struct GspanPeer *peer = g_hash_table_lookup (node->peers.items, name);

  if (peer != NULL)
    gspan_heartbeats_ask (node, peer, outbox);
}

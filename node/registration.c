#include "node/registration.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define RETRY_US (500 * GSPAN_MS)
/* From the entry's last write or read on, until another node's doubt about it is heeded. */
#define DOUBT_AFTER_US (10 * GSPAN_SECOND)

/* Builds before this one answer less surely, so they are silent for longer before they are gone. */
#define SILENT_US (30 * GSPAN_SECOND)
#define OLD_BUILD_SILENT_US (600 * GSPAN_SECOND)

enum
{
  SILENT_TIMEOUTS = 2 /* as above, at least so many timeouts of heartbeats */
};

void
gspan_registration_init (struct GspanRegistration *registration)
{
  *registration = (struct GspanRegistration){ 0 };
}

void
gspan_registration_finish (struct GspanRegistration *registration)
{
  g_free (registration->removed_node);
}

static struct GspanStoreCall *
start_call (struct GspanNode *node, enum GspanStoreOp op, struct GspanOutbox *outbox)
{
  struct GspanRegistration *registration = &node->peers.registration;
  struct GspanRef ref = { GSPAN_OWNER_CATALOG, gspan_node_next_id (node) };

  registration->call = ref.id;
  registration->op = op;
  return gspan_outbox_store (outbox, ref, op, GSPAN_PEERS_KIND, node->self.name);
}

/* REVISION is that of the entry that is replaced: what has replaced it meanwhile stays. */
static void
write_own (struct GspanNode *node, enum GspanStoreOp op, guint64 revision,
           struct GspanOutbox *outbox)
{
  struct GspanStoreCall *call = start_call (node, op, outbox);

  call->revision = revision;
  call->value = json_pack ("{s:s, s:s, s:b, s:b}", "udp", node->self.udp_address, "zone",
                           node->self.zone, "heartbeats", 1, "records_origins", 1);
  if (node->self.cpu_milli > 0)
    json_object_set_new (call->value, "cpu_milli", json_integer (node->self.cpu_milli));
  if (node->self.takes_requests && gspan_usage_reports_enabled (node))
    json_object_set_new (call->value, "counts_usage", json_true ());
  if (node->self.relay_address == NULL)
    return;
  json_object_set_new (call->value, "relay", json_string (node->self.relay_address));
  json_object_set_new (call->value, "relay_key", json_string (node->self.relay_key));
}

void
gspan_registration_apply_own (struct GspanNode *node, const struct GspanStoreObject *object)
{
  struct GspanRegistration *registration = &node->peers.registration;

  if (!object->removed)
    registration->revision = object->revision;
  else if (registration->was_written && registration->call == 0)
    registration->registered = false;
}

void
gspan_registration_doubt (struct GspanNode *node)
{
  struct GspanRegistration *registration = &node->peers.registration;

  if (registration->was_written && !node->draining
      && node->now >= registration->known_at + DOUBT_AFTER_US)
    registration->in_doubt = true;
}

bool
gspan_registration_is_leaving (const struct GspanNode *node)
{
  const struct GspanRegistration *registration = &node->peers.registration;

  return node->draining && registration->was_written && !registration->left
         && !node->catalog.store_fails;
}

static void
on_written (struct GspanNode *node, const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanRegistration *registration = &node->peers.registration;
  const struct GspanStoreObject *entry = gspan_store_reply_first (reply);
  guint64 revision = entry != NULL ? entry->revision : 0;

  if (reply->result == GSPAN_STORE_OK)
    {
      registration->registered = true;
      registration->was_written = true;
      registration->known_at = node->now;
      registration->revision = revision;
    }
  else if (reply->result == GSPAN_STORE_CONFLICT)
    write_own (node, GSPAN_STORE_REPLACE, revision, outbox);
  else
    registration->retry_at = node->now + RETRY_US;
}

static void
on_done (struct GspanNode *node, const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanRegistration *registration = &node->peers.registration;

  registration->call = 0;
  switch (registration->op)
    {
    case GSPAN_STORE_CREATE:
    case GSPAN_STORE_REPLACE:
      on_written (node, reply, outbox);
      break;
    case GSPAN_STORE_GET:
      registration->known_at = node->now;
      registration->in_doubt = false;
      if (reply->result == GSPAN_STORE_MISSING)
        registration->registered = false;
      break;
    case GSPAN_STORE_REMOVE: /* another start of this name may have replaced it */
      registration->left = true;
      break;
    case GSPAN_STORE_LIST:
    case GSPAN_STORE_WATCH:
    case GSPAN_STORE_SET_STATUS:
      break;
    }
}

/* True where nothing but this node's entry is left for it to do. */
static bool
has_ended_its_work (const struct GspanNode *node)
{
  return node->draining && !gspan_node_has_open_tasks (node);
}

/*
 * Another node has removed the entry of one that it didn't hear. While this node hears nobody the
 * entry would only be removed again.
 */
static bool
may_register (const struct GspanNode *node)
{
  const struct GspanRegistration *registration = &node->peers.registration;

  return !node->draining && !registration->registered
         && (!registration->was_written || !gspan_heartbeats_is_isolated (node));
}

static void
call_if_due (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanRegistration *registration = &node->peers.registration;

  if (gspan_registration_is_leaving (node) && has_ended_its_work (node))
    start_call (node, GSPAN_STORE_REMOVE, outbox)->revision = registration->revision;
  else if (may_register (node))
    write_own (node, GSPAN_STORE_CREATE, 0, outbox);
  else if (registration->in_doubt && !node->draining)
    start_call (node, GSPAN_STORE_GET, outbox);
}

static bool
is_gone (const struct GspanNode *node, const struct GspanPeer *peer)
{
  guint64 least_us = peer->sends_heartbeats ? SILENT_US : OLD_BUILD_SILENT_US;
  guint64 silent_us = MAX (least_us, SILENT_TIMEOUTS * gspan_heartbeats_timeout (node, peer));

  return strcmp (peer->name, node->self.name) != 0 && gspan_heartbeats_may_answer (peer)
         && node->now >= peer->heard_at + silent_us;
}

static void
remove_entry (struct GspanNode *node, const struct GspanPeer *peer, struct GspanOutbox *outbox)
{
  struct GspanRegistration *registration = &node->peers.registration;
  struct GspanRef ref = { GSPAN_OWNER_CATALOG, gspan_node_next_id (node) };
  struct GspanStoreCall *call
      = gspan_outbox_store (outbox, ref, GSPAN_STORE_REMOVE, GSPAN_PEERS_KIND, peer->name);
  struct GspanLine line;

  call->revision = peer->revision;
  registration->removal_call = ref.id;
  registration->removed_node = g_strdup (peer->name);
  gspan_line_init (&line, "peer-silent");
  gspan_line_cstr (&line, "vm", peer->name);
  gspan_line_u64 (&line, "silent_us", node->now - peer->heard_at);
  gspan_outbox_log (outbox, "peers", GSPAN_PRIORITY_NOTICE, &line);
}

/* Removes one entry at a time, those for which this node is the first in rank. */
static void
remove_gone (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  if (node->draining || gspan_heartbeats_is_isolated (node))
    return;
  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanPeer *peer = value;

      if (!is_gone (node, peer) || gspan_peers_takeover_rank (node, peer->name, peer->name) > 0)
        continue;
      remove_entry (node, peer, outbox);
      return;
    }
}

static void
on_removed (struct GspanNode *node, enum GspanStoreResult result)
{
  struct GspanRegistration *registration = &node->peers.registration;
  char *name = g_steal_pointer (&registration->removed_node);
  struct GspanPeer *peer = g_hash_table_lookup (node->peers.items, name);

  registration->removal_call = 0;
  registration->retry_at = node->now + RETRY_US;
  if (result == GSPAN_STORE_OK || result == GSPAN_STORE_MISSING)
    g_hash_table_remove (node->peers.items, name);
  else if (result == GSPAN_STORE_CONFLICT && peer != NULL)
    peer->heard_at = node->now; /* it has registered again */
  g_free (name);
}

void
gspan_registration_handle (struct GspanNode *node, const struct GspanEvent *event,
                           struct GspanOutbox *outbox)
{
  struct GspanRegistration *registration = &node->peers.registration;

  if (event->kind == GSPAN_EVENT_STORE_DONE && event->ref.id == registration->call)
    on_done (node, event->u.store.reply, outbox);
  else if (event->kind == GSPAN_EVENT_STORE_DONE && event->ref.id == registration->removal_call)
    on_removed (node, event->u.store.reply->result);
  if (node->now < registration->retry_at || node->catalog.store_fails)
    return;
  if (registration->call == 0)
    call_if_due (node, outbox);
  if (registration->removal_call == 0)
    remove_gone (node, outbox);
}

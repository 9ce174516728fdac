#include "gateway/origin_store.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define WRITE_EVERY_US (100 * GSPAN_MS) /* streams may last for less than half a second */
#define WRITE_EVERY_PER_NODE_US                                                                    \
  (3 * GSPAN_MS) /* all nodes together write some 300 times a second */
#define MAY_WAIT_US (GSPAN_SECOND)
#define RETRY_US (500 * GSPAN_MS)
#define READ_OWN_US (100 * GSPAN_MS)   /* after a write without an answer: streams wait for it */
#define LIST_RETRY_US (100 * GSPAN_MS) /* well within a caller's wait for the store */
#define LIST_SOON_US (300 * GSPAN_MS)
#define EMPTY_US (5 * GSPAN_SECOND)      /* with nothing to keep, until the object is removed */
#define LIST_EVERY_US (5 * GSPAN_SECOND) /* what lives knows the newer origins and says so */

enum
{
  SHARDS = 2,                /* each attempt belongs to one */
  KEEPERS = 2,               /* nodes that keep a shard */
  BYTES_MAX = 128 << 10,     /* of an object */
  OBJECT_PART = 4,           /* of the store's largest object, if that is less */
  WRITE_US_PER_BYTE = 2,     /* large objects are written less often */
  BYTES_BESIDE_STRINGS = 12, /* of an origin in JSON */
  FORMAT_VERSION = 1
};

void
gspan_origin_store_init (struct GspanOriginStore *store)
{
  *store = (struct GspanOriginStore){ 0 };
}

void
gspan_origin_store_finish (struct GspanOriginStore *store)
{
  g_free (store->after);
}

/* What the order of a shard's keepers is drawn from. */
static const char *
shard_of (const char *attempt)
{
  static const char *const shards[SHARDS] = { "origins-0", "origins-1" };

  return shards[g_str_hash (attempt) % SHARDS];
}

bool
gspan_origin_store_is_keeper (const struct GspanNode *node, const char *attempt)
{
  return gspan_peers_takeover_rank (node, shard_of (attempt), "") < KEEPERS;
}

guint
gspan_origin_store_keepers (const struct GspanNode *node, const char *attempt, const char **names)
{
  const char *shard = shard_of (attempt);
  guint rank = gspan_peers_takeover_rank (node, shard, "");
  guint others = rank < KEEPERS ? KEEPERS - 1 : KEEPERS;

  return gspan_peers_takeover_candidates (node, shard, node->self.name, names, others);
}

bool
gspan_origin_store_is_late (const struct GspanNode *node)
{
  const struct GspanOriginStore *store = &node->origin_store;

  return node->catalog.store_fails || store->write_failed
         || (store->call != 0 && node->now >= store->called_at + GSPAN_ORIGIN_STORE_LATE_US);
}

bool
gspan_origin_store_is_read (const struct GspanNode *node, guint64 since)
{
  guint64 listed_at = node->origin_store.listed_at;

  return listed_at != 0 && listed_at + LIST_EVERY_US >= since;
}

void
gspan_origin_store_note_change (struct GspanNode *node, bool may_wait)
{
  struct GspanOriginStore *store = &node->origin_store;

  if (!may_wait)
    store->changed = true;
  else if (store->may_wait_until == 0)
    store->may_wait_until = node->now + MAY_WAIT_US;
}

bool
gspan_origin_store_is_read_since (const struct GspanNode *node, guint64 since)
{
  return node->origin_store.listed_at != 0 && node->origin_store.listed_at >= since;
}

void
gspan_origin_store_want (struct GspanNode *node, bool soon)
{
  struct GspanOriginStore *store = &node->origin_store;

  store->wanted = true;
  if (soon && store->listed_at != 0)
    store->next_list_at = MIN (store->next_list_at, store->listed_at + LIST_SOON_US);
}

/* The newest origins that this node keeps, as many as fit, the newest first, for write WRITE. */
static json_t *
encode_kept (const struct GspanNode *node, guint64 write, size_t *bytes)
{
  size_t most = MIN (BYTES_MAX, node->limits.object_max_bytes / OBJECT_PART);
  json_t *list = json_array ();

  *bytes = 0;
  for (const GList *item = node->streams.order.tail; item != NULL; item = item->prev)
    {
      struct GspanOrigin *origin = item->data;

      if (!origin->kept)
        continue;
      *bytes += strlen (origin->attempt) + strlen (origin->service) + strlen (origin->software)
                + BYTES_BESIDE_STRINGS;
      if (*bytes > most)
        break;
      gspan_streams_note_sent (node, origin, write);
      json_array_append_new (
          list, json_pack ("[s, s, s]", origin->attempt, origin->service, origin->software));
    }
  return list;
}

/* Takes in what OBJECT holds. What this node kept before its restart it keeps again. */
static void
take_object (struct GspanNode *node, const struct GspanStoreObject *object)
{
  bool own = g_strcmp0 (object->name, node->self.name) == 0;
  json_t *value;
  size_t index;

  if (own)
    {
      node->origin_store.revision = object->revision;
      node->origin_store.own_read = true;
    }
  json_array_foreach (json_object_get (object->spec, "origins"), index, value)
  {
    const char *attempt = json_string_value (json_array_get (value, 0));
    const char *service = json_string_value (json_array_get (value, 1));
    const char *software = json_string_value (json_array_get (value, 2));

    if (attempt != NULL && service != NULL && software != NULL)
      gspan_streams_add_kept (node, attempt, service, software, own);
  }
}

static guint64
write_interval (const struct GspanNode *node)
{
  guint64 nodes = g_hash_table_size (node->peers.items);

  return MAX (WRITE_EVERY_US, nodes * WRITE_EVERY_PER_NODE_US);
}

static struct GspanStoreCall *
start_call (struct GspanNode *node, enum GspanStoreOp op, const char *name,
            struct GspanOutbox *outbox)
{
  struct GspanOriginStore *store = &node->origin_store;
  struct GspanRef ref = { GSPAN_OWNER_STREAMS, gspan_node_next_id (node) };

  store->call = ref.id;
  store->called_at = node->now;
  store->op = op;
  return gspan_outbox_store (outbox, ref, op, GSPAN_ORIGIN_STORE_KIND, name);
}

static void
write_own (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanOriginStore *store = &node->origin_store;
  struct GspanStoreCall *call;
  size_t bytes;
  json_t *list = encode_kept (node, ++store->write, &bytes);

  store->changed = false;
  store->may_wait_until = 0;
  store->next_call_at = node->now + write_interval (node) + bytes * WRITE_US_PER_BYTE;
  call = start_call (node, store->revision != 0 ? GSPAN_STORE_REPLACE : GSPAN_STORE_CREATE,
                     node->self.name, outbox);
  call->revision = store->revision;
  call->value = json_pack ("{s:i, s:o}", "format", FORMAT_VERSION, "origins", list);
}

static void
list_next_page (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanOriginStore *store = &node->origin_store;

  if (store->after == NULL)
    store->list_began_at = node->now;
  start_call (node, GSPAN_STORE_LIST, store->after, outbox);
}

/* True where this node has kept nothing for so long that its object may go. */
static bool
is_empty (struct GspanNode *node)
{
  struct GspanOriginStore *store = &node->origin_store;

  if (node->streams.kept_count > 0)
    store->empty_at = 0;
  else if (store->empty_at == 0)
    store->empty_at = node->now;
  return store->empty_at != 0 && node->now >= store->empty_at + EMPTY_US;
}

/* Starts the next call that is due: a list for calls that wait comes first. */
static void
start_due (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanOriginStore *store = &node->origin_store;
  bool empty = is_empty (node);

  if (store->may_wait_until != 0 && node->now >= store->may_wait_until)
    store->changed = true;
  if (store->after != NULL || (store->wanted && node->now >= store->next_list_at))
    {
      store->wanted = false;
      list_next_page (node, outbox);
    }
  else if (node->now < store->next_call_at)
    return;
  else if (store->changed && !store->own_read && store->may_exist)
    start_call (node, GSPAN_STORE_GET, node->self.name, outbox);
  else if (store->changed)
    write_own (node, outbox);
  else if (store->revision != 0 && empty)
    start_call (node, GSPAN_STORE_REMOVE, node->self.name, outbox)->revision = store->revision;
}

static void
log_listed (const struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "origins-read");
  gspan_line_u64 (&line, "known", g_hash_table_size (node->streams.origins));
  gspan_line_u64 (&line, "elapsed_us", node->now - node->origin_store.list_began_at);
  gspan_outbox_log (outbox, "streams", GSPAN_PRIORITY_INFO, &line);
}

static void
on_listed (struct GspanNode *node, const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanOriginStore *store = &node->origin_store;

  g_clear_pointer (&store->after, g_free);
  store->next_list_at = node->now + LIST_RETRY_US;
  if (reply->result != GSPAN_STORE_OK)
    return;
  for (guint i = 0; i < reply->objects->len; i++)
    {
      const struct GspanStoreObject *object = g_ptr_array_index (reply->objects, i);

      take_object (node, object);
      if (reply->has_more && i + 1 == reply->objects->len)
        store->after = g_strdup (object->name);
    }
  if (store->after != NULL)
    return;
  store->listed_at = store->list_began_at;
  store->next_list_at = store->listed_at + LIST_EVERY_US;
  log_listed (node, outbox);
}

static bool
is_own_write (enum GspanStoreOp op)
{
  return op == GSPAN_STORE_CREATE || op == GSPAN_STORE_REPLACE;
}

/*
 * A conflict, or any failure, leaves it open what the store holds of this node: it is read before
 * the next write, and soon where that write may have been done.
 */
static void
on_own_failed (struct GspanNode *node, enum GspanStoreResult result)
{
  struct GspanOriginStore *store = &node->origin_store;
  bool in_doubt = is_own_write (store->op) && result != GSPAN_STORE_UNAVAILABLE;

  if (is_own_write (store->op))
    gspan_streams_note_not_written (&node->streams, store->write, in_doubt);
  store->own_read = false;
  store->may_exist = true;
  store->changed = store->changed || store->op != GSPAN_STORE_REMOVE;
  if (result == GSPAN_STORE_CONFLICT)
    return;
  store->write_failed = store->write_failed || store->op != GSPAN_STORE_REMOVE;
  store->next_call_at = node->now + (in_doubt ? READ_OWN_US : RETRY_US);
}

static void
on_own_done (struct GspanNode *node, const struct GspanStoreReply *reply)
{
  struct GspanOriginStore *store = &node->origin_store;
  const struct GspanStoreObject *object = gspan_store_reply_first (reply);
  bool missing = reply->result == GSPAN_STORE_MISSING;

  if (store->op == GSPAN_STORE_REMOVE)
    store->revision = 0;
  if (missing)
    {
      if (is_own_write (store->op))
        gspan_streams_note_not_written (&node->streams, store->write, false);
      store->changed = store->changed || store->op == GSPAN_STORE_REPLACE;
      store->revision = 0;
      store->own_read = true;
    }
  else if (reply->result != GSPAN_STORE_OK)
    on_own_failed (node, reply->result);
  else if (store->op == GSPAN_STORE_GET && object != NULL)
    take_object (node, object);
  else if (store->op != GSPAN_STORE_REMOVE)
    {
      store->revision = object != NULL ? object->revision : 0;
      store->own_read = object != NULL;
      store->write_failed = false;
      gspan_streams_note_written (&node->streams, store->write);
    }
}

void
gspan_origin_store_write_due (struct GspanNode *node, struct GspanOutbox *outbox)
{
  if (node->origin_store.call == 0 && !node->catalog.store_fails)
    start_due (node, outbox);
}

void
gspan_origin_store_handle (struct GspanNode *node, const struct GspanEvent *event,
                           struct GspanOutbox *outbox)
{
  struct GspanOriginStore *store = &node->origin_store;

  if (event->kind == GSPAN_EVENT_STORE_DONE && store->call != 0 && event->ref.id == store->call)
    {
      store->call = 0;
      if (store->op == GSPAN_STORE_LIST)
        on_listed (node, event->u.store.reply, outbox);
      else
        on_own_done (node, event->u.store.reply);
    }
  gspan_origin_store_write_due (node, outbox);
}

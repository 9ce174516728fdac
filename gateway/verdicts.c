#include "gateway/verdicts.h"

#include "common/clock.h"
#include "node/node.h"

#define OTHERS_WAIT_US                                                                             \
  (2 * GSPAN_SECOND) /* gives the node that recorded the last crash time to write */
#define RETRY_US (500 * GSPAN_MS)

struct Verdict
{
  bool stored;
  guint64 write_at_us;     /* earliest time of the write, unless stored */
  guint64 revision;        /* of an expired verdict in the store, to be replaced; 0 is none */
  guint64 stored_revision; /* as last seen in the store; 0 is not known */
};

void
gspan_verdicts_init (struct GspanVerdicts *verdicts)
{
  *verdicts = (struct GspanVerdicts){ 0 };
  verdicts->items = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
gspan_verdicts_finish (struct GspanVerdicts *verdicts)
{
  g_hash_table_unref (verdicts->items);
}

static void
log_verdict (const struct GspanNode *node, guint64 fingerprint, const char *event, guint64 until,
             struct GspanOutbox *outbox)
{
  char *content = gspan_poison_fingerprint_format (fingerprint);
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "content", content);
  gspan_line_u64 (&line, "life_us", until > node->now ? until - node->now : 0);
  gspan_outbox_log (outbox, "crashes", GSPAN_PRIORITY_NOTICE, &line);
  g_free (content);
}

static struct Verdict *
add_verdict (struct GspanNode *node, guint64 fingerprint)
{
  struct Verdict *verdict = g_new0 (struct Verdict, 1);

  g_hash_table_replace (node->verdicts.items, g_memdup2 (&fingerprint, sizeof fingerprint),
                        verdict);
  return verdict;
}

void
gspan_verdicts_check (struct GspanNode *node, guint64 fingerprint, bool own,
                      struct GspanOutbox *outbox)
{
  guint64 until
      = gspan_poison_requests_condemned_until (&node->poison_requests, fingerprint, node->now);
  guint64 wait = OTHERS_WAIT_US;

  if (until == 0 || g_hash_table_contains (node->verdicts.items, &fingerprint))
    return;
  wait += (guint64)g_rand_int_range (node->random, 0, (gint32)OTHERS_WAIT_US);
  add_verdict (node, fingerprint)->write_at_us = own ? node->now : node->now + wait;
  log_verdict (node, fingerprint, "request-condemned", until, outbox);
}

void
gspan_verdicts_apply (struct GspanNode *node, const struct GspanStoreObject *object,
                      struct GspanOutbox *outbox)
{
  gint64 until_ms = json_integer_value (json_object_get (object->spec, "until_ms"));
  gint64 life_ms = until_ms - node->wall_ms;
  struct Verdict *verdict;
  guint64 fingerprint;

  if (!gspan_poison_fingerprint_parse (object->name, &fingerprint))
    return;
  if (object->removed)
    {
      g_hash_table_remove (node->verdicts.items, &fingerprint);
      gspan_poison_requests_clear (&node->poison_requests, fingerprint);
      return;
    }
  verdict = add_verdict (node, fingerprint);
  verdict->stored = true;
  verdict->stored_revision = object->revision;
  if (life_ms <= 0)
    return;
  gspan_poison_requests_merge (&node->poison_requests, fingerprint, (guint64)life_ms * GSPAN_MS,
                               node->now);
  log_verdict (
      node, fingerprint, "request-condemned",
      gspan_poison_requests_condemned_until (&node->poison_requests, fingerprint, node->now),
      outbox);
}

static struct GspanStoreCall *
start_call (struct GspanNode *node, enum GspanStoreOp op, guint64 fingerprint,
            struct GspanOutbox *outbox)
{
  struct GspanVerdicts *verdicts = &node->verdicts;
  struct GspanRef ref = { GSPAN_OWNER_VERDICTS, gspan_node_next_id (node) };
  char *name = gspan_poison_fingerprint_format (fingerprint);
  struct GspanStoreCall *call = gspan_outbox_store (outbox, ref, op, GSPAN_VERDICTS_KIND, name);

  verdicts->call = ref.id;
  verdicts->fingerprint = fingerprint;
  verdicts->removes = op == GSPAN_STORE_REMOVE;
  g_free (name);
  return call;
}

static void
write_verdict (struct GspanNode *node, guint64 fingerprint, const struct Verdict *verdict,
               guint64 until, struct GspanOutbox *outbox)
{
  enum GspanStoreOp op = verdict->revision != 0 ? GSPAN_STORE_REPLACE : GSPAN_STORE_CREATE;
  gint64 until_ms = node->wall_ms + (gint64)((until - node->now) / GSPAN_MS);
  struct GspanStoreCall *call = start_call (node, op, fingerprint, outbox);

  call->revision = verdict->revision;
  call->value = json_pack ("{s:I, s:s}", "until_ms", (json_int_t)until_ms, "by", node->self.name);
}

/* A verdict that has followed meanwhile stays, also where the store does this late. */
static void
remove_verdict (struct GspanNode *node, guint64 fingerprint, const struct Verdict *verdict,
                struct GspanOutbox *outbox)
{
  struct GspanStoreCall *call = start_call (node, GSPAN_STORE_REMOVE, fingerprint, outbox);

  call->revision = verdict->stored_revision;
}

/* Starts the next write: creates a verdict that isn't stored, or removes an expired one. */
static void
sync_verdicts (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanVerdicts *verdicts = &node->verdicts;
  bool cleans_up = gspan_feed_publishes (node);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, verdicts->items);
  while (verdicts->call == 0 && g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct Verdict *verdict = value;
      guint64 fingerprint = *(const guint64 *)key;
      guint64 until
          = gspan_poison_requests_condemned_until (&node->poison_requests, fingerprint, node->now);

      if (until == 0 && !verdict->stored)
        g_hash_table_iter_remove (&iter);
      else if (until == 0 && cleans_up)
        remove_verdict (node, fingerprint, verdict, outbox);
      else if (until != 0 && !verdict->stored && node->now >= verdict->write_at_us)
        write_verdict (node, fingerprint, verdict, until, outbox);
    }
}

/* The store already has a verdict on the request. An expired one has to be replaced. */
static void
on_conflict (const struct GspanNode *node, struct Verdict *verdict,
             const struct GspanStoreObject *object)
{
  json_t *until_ms = object != NULL ? json_object_get (object->spec, "until_ms") : NULL;

  verdict->stored_revision = object != NULL ? object->revision : 0;
  if (node->verdicts.removes)
    return;
  verdict->stored = object == NULL || json_integer_value (until_ms) > node->wall_ms;
  verdict->revision = verdict->stored_revision;
}

static void
on_call_done (struct GspanNode *node, const struct GspanStoreReply *reply)
{
  struct GspanVerdicts *verdicts = &node->verdicts;
  struct Verdict *verdict = g_hash_table_lookup (verdicts->items, &verdicts->fingerprint);
  const struct GspanStoreObject *object = gspan_store_reply_first (reply);

  verdicts->call = 0;
  if (verdict == NULL)
    return;
  switch (reply->result)
    {
    case GSPAN_STORE_OK:
      if (verdicts->removes)
        g_hash_table_remove (verdicts->items, &verdicts->fingerprint);
      else
        {
          verdict->stored = true;
          verdict->stored_revision = object != NULL ? object->revision : 0;
        }
      break;
    case GSPAN_STORE_CONFLICT:
      on_conflict (node, verdict, object);
      break;
    case GSPAN_STORE_MISSING: /* another node has removed it */
      g_hash_table_remove (verdicts->items, &verdicts->fingerprint);
      break;
    case GSPAN_STORE_GAP:
    case GSPAN_STORE_UNAVAILABLE:
    case GSPAN_STORE_UNKNOWN:
      verdicts->next_call_at_us = node->now + RETRY_US;
      break;
    }
}

void
gspan_verdicts_handle (struct GspanNode *node, const struct GspanEvent *event,
                       struct GspanOutbox *outbox)
{
  struct GspanVerdicts *verdicts = &node->verdicts;

  if (event->kind == GSPAN_EVENT_STORE_DONE && event->ref.id == verdicts->call)
    on_call_done (node, event->u.store.reply);
  if (verdicts->call == 0 && !node->catalog.store_fails && node->now >= verdicts->next_call_at_us)
    sync_verdicts (node, outbox);
}

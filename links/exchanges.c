#include "links/exchanges.h"

#include "common/clock.h"
#include "node/node.h"

#define SILENCE_US (300 * GSPAN_MS) /* without a byte of any replica puts links in doubt */

struct GspanExchange
{
  guint64 id;
  struct GspanReplica *replica;
  guint64 sent_at;
  guint64 heard_at; /* last byte of the answer; 0 is none */
};

static void
exchange_free (gpointer data)
{
  struct GspanExchange *exchange = data;

  gspan_replica_unref (exchange->replica);
  g_free (exchange);
}

void
gspan_exchanges_init (struct GspanExchanges *exchanges)
{
  exchanges->items = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, exchange_free);
}

void
gspan_exchanges_finish (struct GspanExchanges *exchanges)
{
  g_hash_table_unref (exchanges->items);
}

void
gspan_exchanges_begin (struct GspanNode *node, struct GspanReplica *replica, struct GspanRef ref)
{
  struct GspanExchange *exchange = g_new0 (struct GspanExchange, 1);

  exchange->id = ref.id;
  exchange->replica = gspan_replica_ref (replica);
  exchange->sent_at = node->now;
  g_hash_table_insert (node->exchanges.items, &exchange->id, exchange);
}

static void
note_done (struct GspanNode *node, struct GspanExchange *exchange,
           const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  if (answer->result == GSPAN_HTTP_COMPLETE || answer->status != 0)
    gspan_links_note_heard (node);
  else if (exchange->heard_at == 0)
    gspan_links_note_doubt (node, exchange->replica, outbox);
}

void
gspan_exchanges_note_event (struct GspanNode *node, const struct GspanEvent *event,
                            struct GspanOutbox *outbox)
{
  struct GspanExchange *exchange = g_hash_table_lookup (node->exchanges.items, &event->ref.id);

  if (exchange == NULL)
    return;
  if (event->kind == GSPAN_EVENT_HTTP_HEAD || event->kind == GSPAN_EVENT_HTTP_DATA)
    {
      exchange->heard_at = node->now;
      gspan_links_note_heard (node);
    }
  else if (event->kind == GSPAN_EVENT_HTTP_DONE)
    {
      note_done (node, exchange, &event->u.http, outbox);
      g_hash_table_remove (node->exchanges.items, &event->ref.id);
    }
}

void
gspan_exchanges_note_actions (struct GspanNode *node, const struct GspanOutbox *outbox)
{
  for (guint i = 0; i < outbox->actions->len; i++)
    {
      const struct GspanAction *action = g_ptr_array_index (outbox->actions, i);

      if (action->kind == GSPAN_ACTION_HTTP_CANCEL)
        g_hash_table_remove (node->exchanges.items, &action->ref.id);
    }
}

/* An exchange that has waited for long, while no replica was heard; NULL is none. */
static struct GspanExchange *
find_silent (const struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->exchanges.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanExchange *exchange = value;
      guint64 since = MAX (exchange->sent_at, node->links.heard_at);

      if (node->now >= since + SILENCE_US)
        return exchange;
    }
  return NULL;
}

void
gspan_exchanges_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanExchange *silent = find_silent (node);

  if (silent != NULL)
    gspan_links_note_doubt (node, silent->replica, outbox);
}

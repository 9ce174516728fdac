#include "rollout/exchanges.h"

#include <string.h>

#include "board/board.h"
#include "rollout/rollout.h"

void
gspan_rollout_exchange_free (gpointer data)
{
  struct GspanRolloutExchange *exchange = data;

  g_free (exchange->feed);
  g_free (exchange);
}

void
gspan_rollout_log_sample (const struct GspanFeed *feed, guint64 group, guint index,
                          const char *event, const char *upstream, const char *why,
                          struct GspanOutbox *outbox)
{
  struct GspanLine line;
  char *id = g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%u", feed->name, group, index);

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "sample", id);
  gspan_line_cstr (&line, "upstream", upstream);
  gspan_line_cstr (&line, "why", why);
  gspan_outbox_log (outbox, "rollout", GSPAN_PRIORITY_INFO, &line);
  g_free (id);
}

void
gspan_rollout_cancel_exchange (struct GspanBoard *board, guint64 id, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_ROLLOUT, id };
  struct GspanRolloutExchange *exchange = g_hash_table_lookup (board->rollout->exchanges, &id);

  if (exchange == NULL)
    return;
  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
  gspan_upstream_end_exchange (exchange->upstream, GSPAN_FEEDBACK_NONE, board->now);
  g_hash_table_remove (board->rollout->exchanges, &id);
}

void
gspan_rollout_cancel_sample (struct GspanBoard *board, struct GspanSample *sample,
                             struct GspanOutbox *outbox)
{
  gspan_rollout_cancel_exchange (board, sample->exchange, outbox);
  gspan_rollout_cancel_exchange (board, sample->hedge, outbox);
  gspan_sample_reset (sample);
}

void
gspan_rollout_cancel_group (struct GspanBoard *board, struct GspanGroup *group,
                            struct GspanOutbox *outbox)
{
  for (guint i = 0; i < group->count; i++)
    gspan_rollout_cancel_sample (board, &group->samples[i], outbox);
}

void
gspan_rollout_cancel_groups (struct GspanBoard *board, struct GspanFeed *feed,
                             struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gspan_rollout_cancel_group (board, value, outbox);
  g_hash_table_remove_all (feed->groups);
}

struct GspanRolloutExchange *
gspan_rollout_start_exchange (struct GspanBoard *board, struct GspanFeed *feed,
                              struct GspanGroup *group, guint index, struct GspanUpstream *upstream)
{
  struct GspanRolloutExchange *exchange = g_new0 (struct GspanRolloutExchange, 1);

  exchange->id = gspan_board_next_id (board);
  exchange->feed = g_strdup (feed->name);
  exchange->group = group->number;
  exchange->index = index;
  exchange->upstream = upstream;
  exchange->weight = upstream->weight_version;
  gspan_upstream_begin_exchange (upstream);
  g_hash_table_insert (board->rollout->exchanges, &exchange->id, exchange);
  return exchange;
}

void
gspan_rollout_send_json (struct GspanOutbox *outbox, guint64 id, const char *address,
                         const char *path, json_t *body, guint64 timeout_us)
{
  struct GspanRef ref = { GSPAN_OWNER_ROLLOUT, id };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref);
  char *text = json_dumps (body, JSON_COMPACT);

  action->u.http.method = g_strdup ("POST");
  action->u.http.url = g_strdup_printf ("http://%s%s", address, path);
  action->u.http.body = g_bytes_new_with_free_func (text, strlen (text), free, text);
  action->u.http.timeout_us = timeout_us;
  action->u.http.new_connection = true;
  gspan_headers_add (&action->u.http.headers, "Content-Type", GSPAN_STR ("application/json"));
  gspan_headers_add (&action->u.http.headers, "X-Priority", GSPAN_STR ("rollout"));
  json_decref (body);
}

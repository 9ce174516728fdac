#include "rollout/rollout.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rollout/feed.h"
#include "rpc/codec.h"

enum
{
  INFLIGHT_MAX = 16, /* samples of this process at one engine */
  SCORER_INFLIGHT_MAX = 64
};

#define PULL_HOLD_US (20 * GSPAN_SECOND)
#define GENERATION_TIMEOUT_US (120 * GSPAN_SECOND)
#define SCORING_TIMEOUT_US (10 * GSPAN_SECOND)

/* One request under way for a sample. */
struct Exchange
{
  guint64 id;
  char *feed;
  guint64 group;
  guint index;
  struct GspanUpstream *upstream;
};

static void
exchange_free (gpointer data)
{
  struct Exchange *exchange = data;

  g_free (exchange->feed);
  g_free (exchange);
}

void
gspan_rollout_init (struct GspanRollout *rollout)
{
  rollout->feeds = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gspan_feed_free);
  rollout->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, exchange_free);
}

void
gspan_rollout_finish (struct GspanRollout *rollout)
{
  g_hash_table_unref (rollout->feeds);
  g_hash_table_unref (rollout->exchanges);
}

static void
log_sample (const struct GspanFeed *feed, guint64 group, guint index, const char *event,
            const char *upstream, const char *why, struct GspanOutbox *outbox)
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

static void
answer_pull (guint64 call, enum gspan_status status, guint64 fence, const char *detail,
             GBytes *body, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_RPC_REPLY, (struct GspanRef){ 0 });
  struct GspanStr text = gspan_str_from_bytes (body);
  struct gspan_pull_res res = { 0 };

  res.status = status;
  res.fence = fence;
  res.detail = (char *)detail;
  res.body.body_val = (char *)text.data;
  res.body.body_len = (u_int)text.len;
  action->u.rpc.call = call;
  action->u.rpc.payload = gspan_xdr_encode ((xdrproc_t)xdr_gspan_pull_res, &res);
}

static void
cancel_sample (struct GspanBoard *board, struct GspanSample *sample, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_ROLLOUT, sample->exchange };
  struct Exchange *exchange = g_hash_table_lookup (board->rollout->exchanges, &sample->exchange);

  if (exchange != NULL)
    {
      gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
      gspan_upstream_end (exchange->upstream, GSPAN_FEEDBACK_NONE, board->now);
      g_hash_table_remove (board->rollout->exchanges, &sample->exchange);
    }
  gspan_sample_reset (sample);
}

static void
cancel_group (struct GspanBoard *board, struct GspanGroup *group, struct GspanOutbox *outbox)
{
  for (guint i = 0; i < group->count; i++)
    cancel_sample (board, &group->samples[i], outbox);
}

/* Gives up all work on an attachment that this process doesn't own, or no longer. */
static void
stop_feed (struct GspanBoard *board, struct GspanFeed *feed, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    cancel_group (board, value, outbox);
  g_hash_table_remove_all (feed->groups);
  feed->cursor_known = false;
  for (guint i = 0; i < feed->pulls->len; i++)
    answer_pull (g_array_index (feed->pulls, struct GspanFeedPull, i).call, GSPAN_STATUS_NOT_OWNER,
                 feed->lease->fence, "this process does not own the attachment", NULL, outbox);
  g_array_set_size (feed->pulls, 0);
  gspan_statuses_drop (&board->statuses, feed->name);
}

static struct Exchange *
start_exchange (struct GspanBoard *board, struct GspanFeed *feed, struct GspanGroup *group,
                guint index, struct GspanUpstream *upstream)
{
  struct Exchange *exchange = g_new0 (struct Exchange, 1);

  exchange->id = gspan_board_next_id (board);
  exchange->feed = g_strdup (feed->name);
  exchange->group = group->number;
  exchange->index = index;
  exchange->upstream = upstream;
  group->samples[index].exchange = exchange->id;
  group->samples[index].started = board->now;
  gspan_upstream_begin (upstream);
  g_hash_table_insert (board->rollout->exchanges, &exchange->id, exchange);
  return exchange;
}

static void
send_json (struct GspanOutbox *outbox, guint64 id, const char *address, const char *path,
           json_t *body, guint64 timeout_us)
{
  struct GspanRef ref = { GSPAN_OWNER_ROLLOUT, id };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref);
  char *text = json_dumps (body, JSON_COMPACT);

  action->u.http.method = g_strdup ("POST");
  action->u.http.url = g_strdup_printf ("http://%s%s", address, path);
  action->u.http.body = g_bytes_new_with_free_func (text, strlen (text), free, text);
  action->u.http.timeout_us = timeout_us;
  gspan_headers_add (&action->u.http.headers, "Content-Type", GSPAN_STR ("application/json"));
  gspan_headers_add (&action->u.http.headers, "X-Priority", GSPAN_STR ("rollout"));
  json_decref (body);
}

static bool
generate (struct GspanBoard *board, struct GspanFeed *feed,
          const struct GspanAttachment *attachment, struct GspanGroup *group, guint index,
          struct GspanOutbox *outbox)
{
  const struct GspanRecord *pool
      = gspan_records_find (&board->records, GSPAN_RECORD_POOL, attachment->pool);
  struct GspanRouteQuery query = { 0 };
  struct GspanRouteChoice choice;
  struct Exchange *exchange;
  char *prompt;

  if (pool == NULL)
    return false;
  prompt = gspan_feed_prompt (attachment, group->number);
  query.policy = board->policy;
  query.service = pool->u.pool.service;
  query.zone = board->self.zone;
  query.prefix_hash = gspan_route_prefix_hash (gspan_str_from (prompt));
  query.now = board->now;
  query.inflight_max = INFLIGHT_MAX;
  choice = gspan_route_choose (&board->upstreams, &query);
  if (choice.upstream == NULL)
    {
      g_free (prompt);
      return false;
    }
  exchange = start_exchange (board, feed, group, index, choice.upstream);
  group->samples[index].state = GSPAN_SAMPLE_GENERATING;
  log_sample (feed, group->number, index, "place", choice.upstream->name,
              gspan_route_reason_name (choice.reason), outbox);
  send_json (outbox, exchange->id, choice.upstream->address, "/v1/completions",
             json_pack ("{s:s, s:s, s:I}", "model", pool->u.pool.model, "prompt", prompt,
                        "max_tokens", (json_int_t)attachment->max_tokens),
             GENERATION_TIMEOUT_US);
  g_free (prompt);
  return true;
}

static bool
score (struct GspanBoard *board, struct GspanFeed *feed, const struct GspanAttachment *attachment,
       struct GspanGroup *group, guint index, struct GspanOutbox *outbox)
{
  struct GspanRouteQuery query = { 0 };
  struct GspanRouteChoice choice;
  struct Exchange *exchange;

  query.policy = GSPAN_ROUTE_LEAST_LOADED;
  query.service = attachment->scorer;
  query.zone = board->self.zone;
  query.now = board->now;
  query.inflight_max = SCORER_INFLIGHT_MAX;
  choice = gspan_route_choose (&board->upstreams, &query);
  if (choice.upstream == NULL)
    return false;
  exchange = start_exchange (board, feed, group, index, choice.upstream);
  group->samples[index].state = GSPAN_SAMPLE_SCORING;
  send_json (outbox, exchange->id, choice.upstream->address, "/score",
             json_pack ("{s:s}", "text", group->samples[index].text), SCORING_TIMEOUT_US);
  return true;
}

static bool
advance_sample (struct GspanBoard *board, struct GspanFeed *feed,
                const struct GspanAttachment *attachment, struct GspanGroup *group, guint index,
                struct GspanOutbox *outbox)
{
  switch (group->samples[index].state)
    {
    case GSPAN_SAMPLE_WAITING:
      return generate (board, feed, attachment, group, index, outbox);
    case GSPAN_SAMPLE_GENERATED:
      return score (board, feed, attachment, group, index, outbox);
    case GSPAN_SAMPLE_GENERATING:
    case GSPAN_SAMPLE_SCORING:
    case GSPAN_SAMPLE_WHOLE:
      break;
    }
  return true;
}

static void
advance_group (struct GspanBoard *board, struct GspanFeed *feed,
               const struct GspanAttachment *attachment, struct GspanGroup *group,
               struct GspanOutbox *outbox)
{
  for (guint i = 0; i < group->count; i++)
    {
      struct GspanSample *sample = &group->samples[i];

      if (sample->state >= GSPAN_SAMPLE_GENERATED
          && gspan_feed_is_stale (feed, attachment, sample, feed->weight))
        {
          gspan_metrics_add (&board->metrics, GSPAN_METRIC_SAMPLES_DISCARDED, 1);
          log_sample (feed, group->number, i, "discard", "-", "stale", outbox);
          cancel_sample (board, sample, outbox);
        }
      advance_sample (board, feed, attachment, group, i, outbox);
    }
}

static void
advance_feed (struct GspanBoard *board, struct GspanFeed *feed,
              const struct GspanAttachment *attachment, struct GspanOutbox *outbox)
{
  guint64 window = gspan_feed_window (attachment) + feed->cursor.deferred->len;

  if (!feed->cursor_known)
    return;
  for (guint64 i = 0; i < window; i++)
    {
      guint64 number = gspan_cursor_nth (&feed->cursor, i);
      struct GspanGroup *group = gspan_feed_group (feed, number, (guint)attachment->group_samples);

      if (group->count != attachment->group_samples)
        {
          cancel_group (board, group, outbox);
          g_hash_table_remove (feed->groups, &number);
          continue;
        }
      advance_group (board, feed, attachment, group, outbox);
    }
}

static void
answer_pulls (struct GspanBoard *board, struct GspanFeed *feed,
              const struct GspanAttachment *attachment, struct GspanOutbox *outbox)
{
  for (guint i = feed->pulls->len; i > 0; i--)
    {
      struct GspanFeedPull *pull = &g_array_index (feed->pulls, struct GspanFeedPull, i - 1);
      GBytes *body = gspan_feed_build_batch (feed, attachment, pull->weight);

      if (body != NULL)
        {
          answer_pull (pull->call, GSPAN_STATUS_OK, feed->lease->fence, "", body, outbox);
          feed->batches++;
          g_bytes_unref (body);
        }
      else if (board->now >= pull->give_up_at)
        answer_pull (pull->call, GSPAN_STATUS_NOT_READY, feed->lease->fence,
                     "the batch is not whole yet", NULL, outbox);
      else
        continue;
      g_array_remove_index (feed->pulls, i - 1);
    }
}

static void
report_status (struct GspanBoard *board, const struct GspanFeed *feed,
               const struct GspanRecord *record)
{
  gspan_statuses_set (&board->statuses, feed->name,
                      json_pack ("{s:s, s:s, s:I, s:I, s:I, s:I, s:b}", "kind", "attachment",
                                 "owner", board->self.name, "fence", (json_int_t)feed->lease->fence,
                                 "observed_version", (json_int_t)record->version, "batch",
                                 (json_int_t)feed->cursor.batch, "weight", (json_int_t)feed->weight,
                                 "paused", record->paused));
}

static void
work_on (struct GspanBoard *board, const struct GspanRecord *record, struct GspanOutbox *outbox)
{
  struct GspanFeed *feed = g_hash_table_lookup (board->rollout->feeds, record->name);
  char *lease_name;

  if (feed == NULL)
    {
      feed = gspan_feed_new (record->name);
      lease_name = g_strdup_printf ("attachment.%s", record->name);
      feed->lease = gspan_leases_want (&board->leases, lease_name);
      g_free (lease_name);
      g_hash_table_insert (board->rollout->feeds, feed->name, feed);
    }
  if (!gspan_lease_held (feed->lease, board->now))
    {
      stop_feed (board, feed, outbox);
      return;
    }
  report_status (board, feed, record);
  if (!record->paused)
    advance_feed (board, feed, &record->u.attachment, outbox);
  answer_pulls (board, feed, &record->u.attachment, outbox);
}

static void
on_tick (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  GPtrArray *list = gspan_records_list (&board->records, GSPAN_RECORD_ATTACHMENT);

  for (guint i = 0; i < list->len; i++)
    work_on (board, g_ptr_array_index (list, i), outbox);
  g_ptr_array_unref (list);
}

/* Drops the groups that the trainer has taken. */
static void
drop_taken (struct GspanBoard *board, struct GspanFeed *feed, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanGroup *group = value;

      if (gspan_cursor_wants (&feed->cursor, group->number))
        continue;
      cancel_group (board, group, outbox);
      g_hash_table_iter_remove (&iter);
    }
}

static void
take_pull (struct GspanBoard *board, struct GspanFeed *feed, const struct GspanEventRpc *call,
           const struct gspan_pull_args *args, struct GspanOutbox *outbox)
{
  struct GspanStr cursor = { args->cursor.cursor_val, args->cursor.cursor_len };
  struct GspanFeedPull pull = { call->call, args->weight, board->now + PULL_HOLD_US };
  struct GspanError error = { 0 };

  if (!gspan_cursor_parse (&feed->cursor, feed->name, cursor, &error))
    {
      feed->cursor_known = false;
      answer_pull (call->call, GSPAN_STATUS_REFUSED, feed->lease->fence, error.message, NULL,
                   outbox);
      return;
    }
  feed->cursor_known = true;
  feed->weight = MAX (feed->weight, args->weight);
  drop_taken (board, feed, outbox);
  g_array_append_val (feed->pulls, pull);
}

static void
on_pull (struct GspanBoard *board, const struct GspanEventRpc *call, struct GspanOutbox *outbox)
{
  struct gspan_pull_args args = { 0 };
  struct GspanFeed *feed = NULL;
  bool owner = false;

  if (!gspan_xdr_decode ((xdrproc_t)xdr_gspan_pull_args, &args, call->payload, NULL))
    answer_pull (call->call, GSPAN_STATUS_REFUSED, 0, "malformed arguments", NULL, outbox);
  else
    {
      feed = g_hash_table_lookup (board->rollout->feeds, args.attachment);
      owner = feed != NULL && gspan_lease_held (feed->lease, board->now)
              && feed->lease->fence >= args.fence;
      if (owner)
        take_pull (board, feed, call, &args, outbox);
      else
        answer_pull (call->call, GSPAN_STATUS_NOT_OWNER, feed != NULL ? feed->lease->fence : 0,
                     "this process does not own the attachment", NULL, outbox);
    }
  xdr_free ((xdrproc_t)xdr_gspan_pull_args, &args);
}

static void
on_generated (struct GspanBoard *board, struct GspanFeed *feed, const struct Exchange *exchange,
              struct GspanSample *sample, const struct GspanEventHttp *answer,
              struct GspanOutbox *outbox)
{
  struct GspanStr body = gspan_str_from_bytes (answer->body);
  struct GspanError error = { 0 };

  gspan_sample_reset (sample);
  if (answer->result != GSPAN_HTTP_WHOLE || answer->status != 200)
    gspan_error_set (&error, GSPAN_ERROR_UNAVAILABLE, "status %d result %d", answer->status,
                     (int)answer->result);
  else if (gspan_sample_take_answer (sample, body, &error))
    {
      sample->state = GSPAN_SAMPLE_GENERATED;
      gspan_metrics_add (&board->metrics, GSPAN_METRIC_SAMPLES_GENERATED, 1);
      return;
    }
  gspan_sample_reset (sample);
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_SAMPLES_DISCARDED, 1);
  log_sample (feed, exchange->group, exchange->index, "discard", exchange->upstream->name,
              error.message, outbox);
}

static void
on_scored (struct GspanSample *sample, const struct GspanEventHttp *answer)
{
  sample->exchange = 0;
  sample->state = GSPAN_SAMPLE_GENERATED;
  if (answer->result == GSPAN_HTTP_WHOLE && answer->status == 200
      && gspan_sample_take_score (sample, gspan_str_from_bytes (answer->body), NULL))
    sample->state = GSPAN_SAMPLE_WHOLE;
}

static void
on_exchange_done (struct GspanBoard *board, const struct GspanEvent *event,
                  struct GspanOutbox *outbox)
{
  struct Exchange *exchange = g_hash_table_lookup (board->rollout->exchanges, &event->ref.id);
  const struct GspanEventHttp *answer = &event->u.http;
  struct GspanFeed *feed;
  struct GspanGroup *group;
  struct GspanSample *sample;

  if (exchange == NULL)
    return;
  gspan_upstream_report (exchange->upstream, answer->headers, board->now);
  gspan_upstream_end (
      exchange->upstream,
      answer->result == GSPAN_HTTP_WHOLE ? GSPAN_FEEDBACK_GOOD : GSPAN_FEEDBACK_BROKEN, board->now);
  feed = g_hash_table_lookup (board->rollout->feeds, exchange->feed);
  group = g_hash_table_lookup (feed->groups, &exchange->group);
  sample = &group->samples[exchange->index];
  if (sample->state == GSPAN_SAMPLE_GENERATING)
    on_generated (board, feed, exchange, sample, answer, outbox);
  else
    on_scored (sample, answer);
  g_hash_table_remove (board->rollout->exchanges, &event->ref.id);
}

void
gspan_rollout_handle (struct GspanBoard *board, const struct GspanEvent *event,
                      struct GspanOutbox *outbox)
{
  switch (event->kind)
    {
    case GSPAN_EVENT_TICK:
    case GSPAN_EVENT_DRAIN:
      on_tick (board, outbox);
      break;
    case GSPAN_EVENT_RPC_CALL:
      if (event->u.rpc.proc == GSPAN_PULL)
        on_pull (board, &event->u.rpc, outbox);
      break;
    case GSPAN_EVENT_HTTP_DONE:
      on_exchange_done (board, event, outbox);
      break;
    case GSPAN_EVENT_REQUEST:
    case GSPAN_EVENT_REQUEST_GONE:
    case GSPAN_EVENT_HTTP_HEAD:
    case GSPAN_EVENT_HTTP_DATA:
    case GSPAN_EVENT_OBJECT_DONE:
    case GSPAN_EVENT_RPC_DONE:
    case GSPAN_EVENT_DATAGRAM:
      break;
    }
}

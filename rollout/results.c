#include "rollout/results.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rollout/exchanges.h"
#include "rollout/plan.h"
#include "rollout/runs.h"
#include "rollout/rollout.h"

#define PROBE_PERIOD_US (250 * GSPAN_MS)
#define PROBE_TIMEOUT_US (2 * GSPAN_SECOND)

static void
probe_engine (struct GspanBoard *board, struct GspanUpstream *upstream, struct GspanOutbox *outbox)
{
  guint64 *next_at = g_hash_table_lookup (board->rollout->probes, upstream->name);
  struct GspanRolloutExchange *exchange;
  struct GspanAction *action;

  if (next_at == NULL)
    {
      next_at = g_new0 (guint64, 1);
      g_hash_table_insert (board->rollout->probes, g_strdup (upstream->name), next_at);
    }
  if (board->now < *next_at)
    return;
  *next_at = board->now + PROBE_PERIOD_US;
  exchange = g_new0 (struct GspanRolloutExchange, 1);
  exchange->id = gspan_board_next_id (board);
  exchange->kind = GSPAN_ROLLOUT_EXCHANGE_PROBE;
  exchange->upstream = upstream;
  gspan_upstream_begin_exchange (upstream);
  g_hash_table_insert (board->rollout->exchanges, &exchange->id, exchange);
  action = gspan_outbox_add (outbox, GSPAN_ACTION_HTTP,
                             (struct GspanRef){ GSPAN_OWNER_ROLLOUT, exchange->id });
  action->u.http.method = g_strdup ("GET");
  action->u.http.url = g_strdup_printf ("http://%s/v1/state", upstream->address);
  action->u.http.timeout_us = PROBE_TIMEOUT_US;
  action->u.http.new_connection = true;
}

void
gspan_rollout_probe_engines (struct GspanBoard *board, const struct GspanFeed *feed,
                             const struct GspanAttachment *attachment, struct GspanOutbox *outbox)
{
  const struct GspanPool *pool = gspan_rollout_pool_of (board, attachment);

  if (pool == NULL || !feed->cursor_known)
    return;
  for (guint i = 0; i < board->upstreams.items->len; i++)
    {
      struct GspanUpstream *upstream = g_ptr_array_index (board->upstreams.items, i);

      if (upstream->state == GSPAN_UPSTREAM_LIVE && strcmp (upstream->service, pool->service) == 0
          && (upstream->weight_version_uncertain || upstream->weight_version < feed->weight)
          && board->now >= upstream->breaker_open_until_us)
        probe_engine (board, upstream, outbox);
    }
}

/* Detaches a run that has ended; true where another run of the same sample goes on. */
static bool
end_run (struct GspanSample *sample, guint64 exchange)
{
  if (sample->exchange == exchange)
    sample->exchange = sample->hedge;
  sample->hedge = 0;
  return sample->exchange != 0;
}

static void
on_generated (struct GspanBoard *board, struct GspanFeed *feed,
              const struct GspanRolloutExchange *exchange, struct GspanSample *sample,
              const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  bool other = end_run (sample, exchange->id);
  bool lost = answer->result == GSPAN_HTTP_LOST;
  guint64 other_weight = sample->foreseen;
  struct GspanError error = { 0 };

  sample->foreseen = exchange->weight;
  if (answer->result != GSPAN_HTTP_COMPLETE || answer->status != 200)
    gspan_error_set (&error, GSPAN_ERROR_UNAVAILABLE, "status %d result %d", answer->status,
                     (int)answer->result);
  else if (gspan_sample_take_answer (sample, gspan_str_from_bytes (answer->body), &error))
    {
      gspan_rollout_cancel_exchange (board, sample->exchange, outbox);
      sample->exchange = 0;
      sample->state = GSPAN_SAMPLE_GENERATED;
      gspan_sample_succeed (sample);
      gspan_metrics_add (&board->metrics, GSPAN_METRIC_SAMPLES_GENERATED, 1);
      return;
    }
  if (other)
    {
      guint64 running = sample->exchange;

      gspan_sample_reset (sample);
      sample->state = GSPAN_SAMPLE_GENERATING;
      sample->exchange = running;
      sample->foreseen = other_weight;
    }
  else
    {
      gspan_sample_reset (sample);
      gspan_sample_fail (sample, lost, board->now);
    }
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_SAMPLES_DISCARDED, 1);
  gspan_rollout_log_sample (feed, exchange->group, exchange->index, "discard",
                            exchange->upstream->name, error.message, outbox);
}

static void
on_scored (struct GspanBoard *board, struct GspanFeed *feed, struct GspanSample *sample,
           const struct GspanEventHttp *answer)
{
  sample->exchange = 0;
  if (answer->result == GSPAN_HTTP_COMPLETE && answer->status == 200
      && gspan_sample_take_score (sample, gspan_str_from_bytes (answer->body), NULL))
    {
      sample->state = GSPAN_SAMPLE_WHOLE;
      gspan_sample_succeed (sample);
      gspan_plan_note_sample (feed, board->now - sample->started);
      return;
    }
  sample->state = GSPAN_SAMPLE_GENERATED;
  gspan_sample_fail (sample, false, board->now);
}

static void
on_probed (struct GspanUpstream *upstream, const struct GspanEventHttp *answer)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *root = NULL;
  json_t *weight;

  if (answer->result == GSPAN_HTTP_COMPLETE && answer->status == 200)
    root = json_loadb (text.data, text.len, 0, NULL);
  weight = json_object_get (root, "weight");
  if (weight != NULL)
    upstream->weight_version_uncertain = !json_is_integer (weight);
  if (json_is_integer (weight))
    upstream->weight_version = (guint64)json_integer_value (weight);
  json_decref (root);
}

static void
on_sample_done (struct GspanBoard *board, const struct GspanRolloutExchange *exchange,
                const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanFeed *feed = g_hash_table_lookup (board->rollout->feeds, exchange->feed);
  struct GspanGroup *group = g_hash_table_lookup (feed->groups, &exchange->group);
  struct GspanSample *sample = &group->samples[exchange->index];

  if (sample->state == GSPAN_SAMPLE_GENERATING)
    on_generated (board, feed, exchange, sample, answer, outbox);
  else
    on_scored (board, feed, sample, answer);
}

void
gspan_rollout_handle_exchange_done (struct GspanBoard *board, const struct GspanEvent *event,
                                    struct GspanOutbox *outbox)
{
  struct GspanRolloutExchange *exchange
      = g_hash_table_lookup (board->rollout->exchanges, &event->ref.id);
  const struct GspanEventHttp *answer = &event->u.http;

  if (exchange == NULL)
    return;
  gspan_upstream_update_from_headers (exchange->upstream, answer->headers, board->now);
  gspan_upstream_end_exchange (exchange->upstream,
                               answer->result == GSPAN_HTTP_COMPLETE ? GSPAN_FEEDBACK_GOOD
                                                                     : GSPAN_FEEDBACK_BROKEN,
                               board->now);
  if (exchange->kind == GSPAN_ROLLOUT_EXCHANGE_PROBE)
    on_probed (exchange->upstream, answer);
  else
    on_sample_done (board, exchange, answer, outbox);
  g_hash_table_remove (board->rollout->exchanges, &event->ref.id);
}

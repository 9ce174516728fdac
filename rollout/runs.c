#include "rollout/runs.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rollout/exchanges.h"
#include "rollout/fault.h"
#include "rollout/plan.h"
#include "rollout/rollout.h"

enum
{
  SCORER_INFLIGHT_MAX = 64,
  SCORING_DOUBLINGS = 6 /* of the timeout, from failure to failure of one sample */
};

#define GENERATION_TIMEOUT_US (120 * GSPAN_SECOND)
#define SCORING_TIMEOUT_US (1 * GSPAN_SECOND)

/* Engines of SERVICE that run an older version than FLOOR. */
static GPtrArray *
older_engines (const struct GspanBoard *board, const char *service, guint64 floor)
{
  GPtrArray *older = g_ptr_array_new ();

  for (guint i = 0; i < board->upstreams.items->len; i++)
    {
      struct GspanUpstream *upstream = g_ptr_array_index (board->upstreams.items, i);

      if (upstream->weight_version != 0 && upstream->weight_version < floor
          && strcmp (upstream->service, service) == 0)
        g_ptr_array_add (older, upstream);
    }
  return older;
}

/* The same for every run of one sample, so that a second run is no shorter draw than the first. */
static guint64
sample_seed (const struct GspanFeed *feed, guint64 group, guint index)
{
  char *id = g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%u", feed->name, group, index);
  guint64 seed = gspan_route_prefix_hash (gspan_str_from (id)) & G_MAXINT32;

  g_free (id);
  return seed;
}

const struct GspanPool *
gspan_rollout_pool_of (const struct GspanBoard *board, const struct GspanAttachment *attachment)
{
  const struct GspanRecord *record
      = gspan_records_find (&board->records, GSPAN_RECORD_POOL, attachment->pool);

  return record != NULL ? &record->u.pool : NULL;
}

/* Starts one run of a sample on an engine that runs FLOOR or newer and is not NOT_ON. */
static struct GspanRolloutExchange *
start_run (struct GspanBoard *board, struct GspanFeed *feed,
           const struct GspanAttachment *attachment, struct GspanGroup *group, guint index,
           guint64 floor, struct GspanUpstream *not_on, struct GspanOutbox *outbox)
{
  const struct GspanPool *pool = gspan_rollout_pool_of (board, attachment);
  struct GspanRouteQuery query = { 0 };
  struct GspanRouteChoice choice;
  struct GspanRolloutExchange *exchange = NULL;
  char *prompt;

  if (pool == NULL)
    return NULL;
  prompt = gspan_feed_prompt (attachment, group->number);
  query.policy = board->route_policy;
  query.service = pool->service;
  query.zone = board->self.zone;
  query.prefix_hash = gspan_route_prefix_hash (gspan_str_from (prompt));
  query.now = board->now;
  query.inflight_max = GSPAN_ROLLOUT_INFLIGHT_MAX;
  query.excluded = older_engines (board, pool->service, floor);
  if (not_on != NULL)
    g_ptr_array_add (query.excluded, not_on);
  choice = gspan_route_choose (&board->upstreams, &query);
  if (choice.upstream != NULL)
    {
      exchange = gspan_rollout_start_exchange (board, feed, group, index, choice.upstream);
      gspan_rollout_log_sample (feed, group->number, index,
                                not_on != NULL ? "place-again" : "place", choice.upstream->name,
                                gspan_route_reason_name (choice.reason), outbox);
      gspan_rollout_send_json (outbox, exchange->id, choice.upstream->address, "/v1/completions",
                               json_pack ("{s:s, s:s, s:I, s:I}", "model", pool->model, "prompt",
                                          prompt, "max_tokens", (json_int_t)attachment->max_tokens,
                                          "seed",
                                          (json_int_t)sample_seed (feed, group->number, index)),
                               GENERATION_TIMEOUT_US);
    }
  g_ptr_array_unref (query.excluded);
  g_free (prompt);
  return exchange;
}

static bool
generate (struct GspanBoard *board, struct GspanFeed *feed,
          const struct GspanAttachment *attachment, struct GspanGroup *group, guint index,
          guint64 floor, struct GspanOutbox *outbox)
{
  struct GspanSample *sample = &group->samples[index];
  struct GspanRolloutExchange *exchange;

  if (board->now < sample->retry_at)
    return true;
  if (feed->in_flight >= feed->share)
    return false;
  exchange = start_run (board, feed, attachment, group, index, floor, NULL, outbox);
  if (exchange == NULL)
    return false;
  feed->in_flight++;
  sample->state = GSPAN_SAMPLE_GENERATING;
  sample->exchange = exchange->id;
  sample->started = board->now;
  sample->foreseen = exchange->weight;
  return true;
}

/* Runs a slow sample a second time elsewhere; the first whole answer wins. */
static void
hedge (struct GspanBoard *board, struct GspanFeed *feed, const struct GspanAttachment *attachment,
       struct GspanGroup *group, guint index, guint64 floor, struct GspanOutbox *outbox)
{
  struct GspanSample *sample = &group->samples[index];
  const struct GspanRolloutExchange *first
      = g_hash_table_lookup (board->rollout->exchanges, &sample->exchange);
  struct GspanRolloutExchange *second;

  if (first == NULL)
    return;
  second = start_run (board, feed, attachment, group, index, floor, first->upstream, outbox);
  if (second != NULL)
    sample->hedge = second->id;
}

static bool
score (struct GspanBoard *board, struct GspanFeed *feed, const struct GspanAttachment *attachment,
       struct GspanGroup *group, guint index, struct GspanOutbox *outbox)
{
  struct GspanSample *sample = &group->samples[index];
  struct GspanRouteQuery query = { 0 };
  struct GspanRouteChoice choice;
  struct GspanRolloutExchange *exchange;

  if (board->now < sample->retry_at)
    return true;
  query.policy = GSPAN_ROUTE_LEAST_LOADED;
  query.service = attachment->scorer;
  query.zone = board->self.zone;
  query.now = board->now;
  query.inflight_max = SCORER_INFLIGHT_MAX;
  choice = gspan_route_choose (&board->upstreams, &query);
  if (choice.upstream == NULL)
    return false;
  exchange = gspan_rollout_start_exchange (board, feed, group, index, choice.upstream);
  sample->exchange = exchange->id;
  sample->state = GSPAN_SAMPLE_SCORING;
  gspan_rollout_send_json (outbox, exchange->id, choice.upstream->address, "/score",
                           json_pack ("{s:s}", "text", sample->text),
                           SCORING_TIMEOUT_US << MIN (sample->failures, SCORING_DOUBLINGS));
  return true;
}

/* True where SAMPLE is known to be too old for every batch to come, or foreseen to be. */
static bool
is_hopeless (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
             const struct GspanSample *sample)
{
  switch (sample->state)
    {
    case GSPAN_SAMPLE_WAITING:
      return false;
    case GSPAN_SAMPLE_GENERATING:
      return sample->foreseen != 0 && !attachment->fixed_ahead
             && sample->foreseen + attachment->staleness_bound < feed->weight;
    case GSPAN_SAMPLE_GENERATED:
    case GSPAN_SAMPLE_SCORING:
    case GSPAN_SAMPLE_WHOLE:
      break;
    }
  return gspan_feed_is_stale (attachment, sample, feed->weight)
         && !GSPAN_SEEDED_FAULT (GSPAN_FAULT_SKIP_STALENESS);
}

static bool
advance_sample (struct GspanBoard *board, struct GspanFeed *feed,
                const struct GspanAttachment *attachment, const struct GspanPlan *plan,
                struct GspanGroup *group, guint index, guint64 floor, struct GspanOutbox *outbox)
{
  struct GspanSample *sample = &group->samples[index];

  if (is_hopeless (feed, attachment, sample))
    {
      gspan_metrics_add (&board->metrics, GSPAN_METRIC_SAMPLES_DISCARDED, 1);
      gspan_rollout_log_sample (feed, group->number, index, "discard", "-", "stale", outbox);
      gspan_rollout_cancel_sample (board, sample, outbox);
    }
  switch (sample->state)
    {
    case GSPAN_SAMPLE_WAITING:
      return generate (board, feed, attachment, group, index, floor, outbox);
    case GSPAN_SAMPLE_GENERATED:
      score (board, feed, attachment, group, index, outbox);
      break;
    case GSPAN_SAMPLE_GENERATING:
      if (!attachment->fixed_ahead && gspan_plan_hedges (plan, feed, sample, board->now))
        hedge (board, feed, attachment, group, index, floor, outbox);
      break;
    case GSPAN_SAMPLE_SCORING:
    case GSPAN_SAMPLE_WHOLE:
      break;
    }
  return true;
}

/* True where all samples of the group that may start have an engine. */
static bool
advance_group (struct GspanBoard *board, struct GspanFeed *feed,
               const struct GspanAttachment *attachment, const struct GspanPlan *plan,
               struct GspanGroup *group, guint64 floor, struct GspanOutbox *outbox)
{
  bool placed = true;

  for (guint i = 0; i < group->count; i++)
    placed &= advance_sample (board, feed, attachment, plan, group, i, floor, outbox);
  return placed;
}

void
gspan_rollout_follow_recipe (struct GspanBoard *board, struct GspanFeed *feed,
                             const struct GspanAttachment *attachment, struct GspanOutbox *outbox)
{
  char *recipe = gspan_feed_recipe (attachment);

  if (feed->recipe != NULL && strcmp (feed->recipe, recipe) != 0
      && !GSPAN_SEEDED_FAULT (GSPAN_FAULT_KEEP_RECIPE))
    gspan_rollout_cancel_groups (board, feed, outbox);
  g_free (feed->recipe);
  feed->recipe = recipe;
}

void
gspan_rollout_advance_feed (struct GspanBoard *board, struct GspanFeed *feed,
                            const struct GspanAttachment *attachment, struct GspanOutbox *outbox)
{
  guint64 tightest = 0;
  struct GspanPlan plan;

  if (!feed->cursor_known)
    return;
  gspan_plan_init (&plan, feed, attachment, board->now);
  for (guint64 i = 0; i < plan.window; i++)
    {
      guint64 number = gspan_cursor_nth (&feed->cursor, i);
      struct GspanGroup *group = gspan_feed_group (feed, number, (guint)attachment->group_samples);
      guint64 floor = gspan_plan_floor (&plan, feed, attachment, i);

      if (group->handed && !plan.pulled)
        continue;
      floor = MAX (floor, tightest);
      if (!advance_group (board, feed, attachment, &plan, group, floor, outbox))
        tightest = floor;
    }
}

#include "rollout/rollout.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rollout/fault.h"
#include "rollout/feed.h"
#include "rollout/plan.h"
#include "rpc/codec.h"

enum
{
  INFLIGHT_MAX = 16, /* samples of this process at one engine */
  SCORER_INFLIGHT_MAX = 64,
  SCORING_DOUBLINGS = 6 /* of the timeout, from failure to failure of one sample */
};

#define PULL_HOLD_US (2 * GSPAN_SECOND)
#define GENERATION_TIMEOUT_US (120 * GSPAN_SECOND)
#define SCORING_TIMEOUT_US (1 * GSPAN_SECOND)
#define REWIND_AFTER_US (1 * GSPAN_SECOND)
#define PROBE_PERIOD_US (250 * GSPAN_MS)
#define PROBE_TIMEOUT_US (2 * GSPAN_SECOND)

enum ExchangeKind
{
  EXCHANGE_SAMPLE,
  EXCHANGE_PROBE /* of the weight version that an engine runs */
};

/* One request under way, for a sample unless it is a probe. */
struct Exchange
{
  guint64 id;
  enum ExchangeKind kind;
  char *feed;
  guint64 group;
  guint index;
  struct GspanUpstream *upstream;
  guint64 weight; /* that the upstream was known to run at the start */
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
  rollout->probes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gspan_rollout_finish (struct GspanRollout *rollout)
{
  g_hash_table_unref (rollout->feeds);
  g_hash_table_unref (rollout->exchanges);
  g_hash_table_unref (rollout->probes);
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
answer_pull (guint64 call, enum gspan_status status, guint64 fence, guint64 record,
             const char *detail, GBytes *body, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_RPC_REPLY, (struct GspanRef){ 0 });
  struct GspanStr text = gspan_str_from_bytes (body);
  struct gspan_pull_res res = { 0 };

  res.status = status;
  res.fence = fence;
  res.record = record;
  res.detail = (char *)detail;
  res.body.body_val = (char *)text.data;
  res.body.body_len = (u_int)text.len;
  action->u.rpc.call = call;
  action->u.rpc.payload = gspan_xdr_encode ((xdrproc_t)xdr_gspan_pull_res, &res);
}

static void
cancel_exchange (struct GspanBoard *board, guint64 id, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_ROLLOUT, id };
  struct Exchange *exchange = g_hash_table_lookup (board->rollout->exchanges, &id);

  if (exchange == NULL)
    return;
  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
  gspan_upstream_end_exchange (exchange->upstream, GSPAN_FEEDBACK_NONE, board->now);
  g_hash_table_remove (board->rollout->exchanges, &id);
}

static void
cancel_sample (struct GspanBoard *board, struct GspanSample *sample, struct GspanOutbox *outbox)
{
  cancel_exchange (board, sample->exchange, outbox);
  cancel_exchange (board, sample->hedge, outbox);
  gspan_sample_reset (sample);
}

static void
cancel_group (struct GspanBoard *board, struct GspanGroup *group, struct GspanOutbox *outbox)
{
  for (guint i = 0; i < group->count; i++)
    cancel_sample (board, &group->samples[i], outbox);
}

static void
cancel_groups (struct GspanBoard *board, struct GspanFeed *feed, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    cancel_group (board, value, outbox);
  g_hash_table_remove_all (feed->groups);
}

/* Gives up all work on an attachment that this process doesn't own, or no longer. */
static void
stop_feed (struct GspanBoard *board, struct GspanFeed *feed, struct GspanOutbox *outbox)
{
  cancel_groups (board, feed, outbox);
  feed->cursor_known = false;
  feed->hint = GSPAN_FEED_HINT_NONE;
  feed->answered_at = 0;
  for (guint i = 0; i < feed->pulls->len; i++)
    answer_pull (g_array_index (feed->pulls, struct GspanFeedPull, i).call, GSPAN_STATUS_NOT_OWNER,
                 feed->lease->fencing_token, 0, "this process does not own the attachment", NULL,
                 outbox);
  g_array_set_size (feed->pulls, 0);
  gspan_statuses_drop (&board->statuses, feed->lease->name);
}

/*
 * True while this process may work for the attachment: as the holder of its lease, or as the last
 * holder while the platform can't be reached. The second is harmless when two do it at once, since
 * a batch is built on the cursor that its pull brought.
 */
static bool
may_serve (const struct GspanBoard *board, const struct GspanFeed *feed)
{
  return gspan_lease_held (feed->lease, board->now)
         || gspan_lease_expired_in_outage (&board->leases, feed->lease, board->now);
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
  exchange->weight = upstream->weight_version;
  gspan_upstream_begin_exchange (upstream);
  g_hash_table_insert (board->rollout->exchanges, &exchange->id, exchange);
  return exchange;
}

/*
 * Always on a fresh connection: a kept one may have gone silent since, and a step waits for its
 * slowest sample. Samples are few beside desk requests, so that the connections cost little.
 */
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
  action->u.http.new_connection = true;
  gspan_headers_add (&action->u.http.headers, "Content-Type", GSPAN_STR ("application/json"));
  gspan_headers_add (&action->u.http.headers, "X-Priority", GSPAN_STR ("rollout"));
  json_decref (body);
}

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

static const struct GspanPool *
pool_of (const struct GspanBoard *board, const struct GspanAttachment *attachment)
{
  const struct GspanRecord *record
      = gspan_records_find (&board->records, GSPAN_RECORD_POOL, attachment->pool);

  return record != NULL ? &record->u.pool : NULL;
}

/* Starts one run of a sample on an engine that runs FLOOR or newer and is not NOT_ON. */
static struct Exchange *
start_run (struct GspanBoard *board, struct GspanFeed *feed,
           const struct GspanAttachment *attachment, struct GspanGroup *group, guint index,
           guint64 floor, struct GspanUpstream *not_on, struct GspanOutbox *outbox)
{
  const struct GspanPool *pool = pool_of (board, attachment);
  struct GspanRouteQuery query = { 0 };
  struct GspanRouteChoice choice;
  struct Exchange *exchange = NULL;
  char *prompt;

  if (pool == NULL)
    return NULL;
  prompt = gspan_feed_prompt (attachment, group->number);
  query.policy = board->route_policy;
  query.service = pool->service;
  query.zone = board->self.zone;
  query.prefix_hash = gspan_route_prefix_hash (gspan_str_from (prompt));
  query.now = board->now;
  query.inflight_max = INFLIGHT_MAX;
  query.excluded = older_engines (board, pool->service, floor);
  if (not_on != NULL)
    g_ptr_array_add (query.excluded, not_on);
  choice = gspan_route_choose (&board->upstreams, &query);
  if (choice.upstream != NULL)
    {
      exchange = start_exchange (board, feed, group, index, choice.upstream);
      log_sample (feed, group->number, index, not_on != NULL ? "place-again" : "place",
                  choice.upstream->name, gspan_route_reason_name (choice.reason), outbox);
      send_json (outbox, exchange->id, choice.upstream->address, "/v1/completions",
                 json_pack ("{s:s, s:s, s:I, s:I}", "model", pool->model, "prompt", prompt,
                            "max_tokens", (json_int_t)attachment->max_tokens, "seed",
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
  struct Exchange *exchange;

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
  const struct Exchange *first = g_hash_table_lookup (board->rollout->exchanges, &sample->exchange);
  struct Exchange *second;

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
  struct Exchange *exchange;

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
  exchange = start_exchange (board, feed, group, index, choice.upstream);
  sample->exchange = exchange->id;
  sample->state = GSPAN_SAMPLE_SCORING;
  send_json (outbox, exchange->id, choice.upstream->address, "/score",
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
      log_sample (feed, group->number, index, "discard", "-", "stale", outbox);
      cancel_sample (board, sample, outbox);
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

/* Starts over where samples begun before are no longer what the record asks for. */
static void
follow_recipe (struct GspanBoard *board, struct GspanFeed *feed,
               const struct GspanAttachment *attachment, struct GspanOutbox *outbox)
{
  char *recipe = gspan_feed_recipe (attachment);

  if (feed->recipe != NULL && strcmp (feed->recipe, recipe) != 0
      && !GSPAN_SEEDED_FAULT (GSPAN_FAULT_KEEP_RECIPE))
    cancel_groups (board, feed, outbox);
  g_free (feed->recipe);
  feed->recipe = recipe;
}

/* Oldest groups first; no later group starts on an engine that an earlier one still lacks. */
static void
advance_feed (struct GspanBoard *board, struct GspanFeed *feed,
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

static void
probe_engine (struct GspanBoard *board, struct GspanUpstream *upstream, struct GspanOutbox *outbox)
{
  guint64 *next_at = g_hash_table_lookup (board->rollout->probes, upstream->name);
  struct Exchange *exchange;
  struct GspanAction *action;

  if (next_at == NULL)
    {
      next_at = g_new0 (guint64, 1);
      g_hash_table_insert (board->rollout->probes, g_strdup (upstream->name), next_at);
    }
  if (board->now < *next_at)
    return;
  *next_at = board->now + PROBE_PERIOD_US;
  exchange = g_new0 (struct Exchange, 1);
  exchange->id = gspan_board_next_id (board);
  exchange->kind = EXCHANGE_PROBE;
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

/* Asks the engines last known to run an old or an uncertain version what they run now. */
static void
probe_engines (struct GspanBoard *board, const struct GspanFeed *feed,
               const struct GspanAttachment *attachment, struct GspanOutbox *outbox)
{
  const struct GspanPool *pool = pool_of (board, attachment);

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

static void
answer_pulls (struct GspanBoard *board, struct GspanFeed *feed, const struct GspanRecord *record,
              struct GspanOutbox *outbox)
{
  for (guint i = feed->pulls->len; i > 0; i--)
    {
      struct GspanFeedPull *pull = &g_array_index (feed->pulls, struct GspanFeedPull, i - 1);
      GBytes *body = NULL;

      if (!record->paused)
        body = gspan_feed_build_batch (feed, &record->u.attachment, pull);
      if (body != NULL)
        {
          answer_pull (pull->call, GSPAN_STATUS_OK, feed->lease->fencing_token, record->version, "",
                       body, outbox);
          feed->answered_at = board->now;
          g_bytes_unref (body);
        }
      else if (board->now >= pull->give_up_at)
        answer_pull (pull->call, GSPAN_STATUS_NOT_READY, feed->lease->fencing_token,
                     record->version,
                     record->paused ? "the attachment is paused" : "the batch is not whole yet",
                     NULL, outbox);
      else
        continue;
      g_array_remove_index (feed->pulls, i - 1);
    }
}

struct Tally
{
  guint ready;
  guint in_flight;
};

static struct Tally
count_samples (const struct GspanFeed *feed)
{
  struct Tally tally = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanGroup *group = value;

      for (guint i = 0; i < group->count; i++)
        tally.in_flight += group->samples[i].exchange != 0;
      tally.ready += !group->handed && gspan_group_is_whole (group);
    }
  return tally;
}

/* The cursor in the status object is a hint for the next owner and proves nothing. */
static void
report_status (struct GspanBoard *board, const struct GspanFeed *feed,
               const struct GspanRecord *record)
{
  struct Tally tally = count_samples (feed);
  struct GspanCursor expected;
  char *cursor;

  gspan_cursor_init (&expected);
  gspan_feed_expect (feed, &expected);
  cursor = gspan_cursor_format (&expected, feed->name);
  gspan_statuses_set (
      &board->statuses, feed->lease->name,
      json_pack ("{s:s, s:s, s:I, s:I, s:I, s:I, s:i, s:i, s:i, s:s, s:b}", "kind", "attachment",
                 "owner", board->self.name, "fence", (json_int_t)feed->lease->fencing_token,
                 "observed_version", (json_int_t)record->version, "batch",
                 (json_int_t)feed->cursor.batch, "weight", (json_int_t)feed->weight, "ready_groups",
                 (int)tally.ready, "samples_in_flight", (int)tally.in_flight, "deferred_groups",
                 (int)feed->cursor.deferred->len, "cursor", cursor, "paused", record->paused));
  g_free (cursor);
  gspan_cursor_finish (&expected);
}

/* Reads what the owner before left in the status object; true once that is over. */
static bool
read_hint (struct GspanBoard *board, struct GspanFeed *feed, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_ROLLOUT, 0 };
  char *path;

  if (feed->cursor_known)
    return true;
  if (feed->hint != GSPAN_FEED_HINT_NONE)
    return feed->hint != GSPAN_FEED_HINT_READING;
  feed->hint = GSPAN_FEED_HINT_READING;
  feed->hint_ref = gspan_board_next_id (board);
  ref.id = feed->hint_ref;
  path = g_strdup_printf ("status/%s", feed->lease->name);
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_GET, path, 0, NULL);
  g_free (path);
  return false;
}

static void
take_hint (struct GspanFeed *feed, const struct GspanEventObject *answer)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *value = NULL;
  const char *cursor;

  feed->hint = GSPAN_FEED_HINT_OVER;
  if (feed->cursor_known)
    return;
  if (answer->result == GSPAN_OBJECT_OK)
    value = json_loadb (text.data, text.len, 0, NULL);
  cursor = json_string_value (json_object_get (value, "cursor"));
  if (cursor != NULL
      && gspan_cursor_parse (&feed->cursor, feed->name, gspan_str_from (cursor), NULL))
    {
      feed->weight = (guint64)json_integer_value (json_object_get (value, "weight"));
      feed->cursor_known = true;
      feed->hint = GSPAN_FEED_HINT_USED;
    }
  json_decref (value);
}

static void
on_object_done (struct GspanBoard *board, const struct GspanEvent *event)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, board->rollout->feeds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanFeed *feed = value;

      if (feed->hint == GSPAN_FEED_HINT_READING && feed->hint_ref == event->ref.id)
        take_hint (feed, &event->u.object);
    }
}

/* Attachments of this process that have samples generated by the engines of POOL. */
static guint
count_sharers (struct GspanBoard *board, const char *pool)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, board->rollout->feeds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanFeed *feed = value;
      const struct GspanRecord *record
          = gspan_records_find (&board->records, GSPAN_RECORD_ATTACHMENT, feed->name);

      count += feed->cursor_known && record != NULL && !record->paused
               && strcmp (record->u.attachment.pool, pool) == 0;
    }
  return count;
}

/* Equal parts of what this process may have in flight at the pool's engines. */
static void
set_share (struct GspanBoard *board, struct GspanFeed *feed,
           const struct GspanAttachment *attachment)
{
  const struct GspanPool *pool = pool_of (board, attachment);
  guint sharers = count_sharers (board, attachment->pool);
  guint engines = 0;

  for (guint i = 0; pool != NULL && i < board->upstreams.items->len; i++)
    {
      const struct GspanUpstream *upstream = g_ptr_array_index (board->upstreams.items, i);

      engines += upstream->state == GSPAN_UPSTREAM_LIVE
                 && strcmp (upstream->service, pool->service) == 0;
    }
  feed->in_flight = count_samples (feed).in_flight;
  feed->share = MAX (1, engines * INFLIGHT_MAX / MAX (1, sharers));
}

static void
work_on (struct GspanBoard *board, const struct GspanRecord *record, struct GspanOutbox *outbox)
{
  struct GspanFeed *feed = g_hash_table_lookup (board->rollout->feeds, record->name);
  char *lease_name;

  if (feed == NULL && board->draining)
    return;
  if (feed == NULL)
    {
      feed = gspan_feed_new (record->name);
      lease_name = g_strdup_printf ("attachment.%s", record->name);
      feed->lease = gspan_leases_acquire (&board->leases, lease_name);
      g_free (lease_name);
      g_hash_table_insert (board->rollout->feeds, feed->name, feed);
    }
  if (!may_serve (board, feed))
    {
      stop_feed (board, feed, outbox);
      return;
    }
  if (read_hint (board, feed, outbox))
    report_status (board, feed, record);
  follow_recipe (board, feed, &record->u.attachment, outbox);
  if (!record->paused)
    {
      set_share (board, feed, &record->u.attachment);
      probe_engines (board, feed, &record->u.attachment, outbox);
      advance_feed (board, feed, &record->u.attachment, outbox);
    }
  answer_pulls (board, feed, record, outbox);
}

/* Stops what works for attachments that are no longer in force and gives their leases up. */
static void
drop_deleted (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, board->rollout->feeds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanFeed *feed = value;

      if (gspan_records_find (&board->records, GSPAN_RECORD_ATTACHMENT, feed->name) != NULL)
        continue;
      stop_feed (board, feed, outbox);
      gspan_leases_release (board, feed->lease, outbox);
      g_hash_table_iter_remove (&iter);
    }
}

static void
on_tick (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  GPtrArray *list = gspan_records_list (&board->records, GSPAN_RECORD_ATTACHMENT);

  drop_deleted (board, outbox);
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
refuse_pull (const struct GspanFeed *feed, guint64 call, const char *why,
             struct GspanOutbox *outbox)
{
  answer_pull (call, GSPAN_STATUS_REFUSED, feed->lease->fencing_token, 0, why, NULL, outbox);
}

static void
refuse_waiting (struct GspanFeed *feed, guint64 below_batch, struct GspanOutbox *outbox)
{
  for (guint i = feed->pulls->len; i > 0; i--)
    {
      const struct GspanFeedPull *pull = &g_array_index (feed->pulls, struct GspanFeedPull, i - 1);

      if (pull->cursor.batch >= below_batch)
        continue;
      refuse_pull (feed, pull->call, "superseded by a newer pull", outbox);
      g_array_remove_index (feed->pulls, i - 1);
    }
}

/*
 * True where a pull behind the plan may move it back: a trainer restored from an older checkpoint
 * goes on asking with the same cursor and nobody asks with a newer one, while a late duplicate of
 * an older pull comes once.
 */
static bool
confirms_rewind (const struct GspanBoard *board, struct GspanFeed *feed,
                 const struct GspanCursor *cursor)
{
  char *text = gspan_cursor_format (cursor, feed->name);

  if (g_strcmp0 (text, feed->behind) == 0)
    {
      g_free (text);
      return board->now - feed->behind_at >= REWIND_AFTER_US;
    }
  g_free (feed->behind);
  feed->behind = text;
  feed->behind_at = board->now;
  return false;
}

static void
log_rewind (const struct GspanFeed *feed, guint64 batch, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "rewind");
  gspan_line_cstr (&line, "attachment", feed->name);
  gspan_line_u64 (&line, "from_batch", feed->cursor.batch);
  gspan_line_u64 (&line, "to_batch", batch);
  gspan_outbox_log (outbox, "rollout", GSPAN_PRIORITY_NOTICE, &line);
}

/* Plans for the trainer that sent PULL. */
static void
move_plan (struct GspanBoard *board, struct GspanFeed *feed, const struct GspanFeedPull *pull,
           struct GspanOutbox *outbox)
{
  bool back = feed->cursor_known && pull->cursor.batch < feed->cursor.batch;
  bool next = feed->cursor_known && pull->cursor.batch > feed->cursor.batch;

  if (back)
    log_rewind (feed, pull->cursor.batch, outbox);
  if (next && feed->answered_at != 0)
    gspan_plan_note_step (feed, board->now - feed->answered_at);
  feed->weight = back ? pull->weight : MAX (feed->weight, pull->weight);
  feed->cursor_known = true;
  feed->hint = GSPAN_FEED_HINT_OVER;
  g_clear_pointer (&feed->behind, g_free);
  gspan_cursor_copy (&pull->cursor, &feed->cursor);
  drop_taken (board, feed, outbox);
}

static void
take_pull (struct GspanBoard *board, struct GspanFeed *feed, const struct GspanEventRpc *call,
           const struct gspan_pull_args *args, struct GspanOutbox *outbox)
{
  struct GspanStr cursor = { args->cursor.cursor_val, args->cursor.cursor_len };
  struct GspanFeedPull pull = { 0 };
  struct GspanError error = { 0 };

  pull.call = call->call;
  pull.weight = args->weight;
  pull.give_up_at = board->now + PULL_HOLD_US;
  gspan_cursor_init (&pull.cursor);
  if (!gspan_cursor_parse (&pull.cursor, feed->name, cursor, &error))
    refuse_pull (feed, call->call, error.message, outbox);
  else if (feed->cursor_known && feed->hint != GSPAN_FEED_HINT_USED
           && pull.cursor.batch < feed->cursor.batch
           && !GSPAN_SEEDED_FAULT (GSPAN_FAULT_SHARED_CURSOR)
           && !confirms_rewind (board, feed, &pull.cursor))
    refuse_pull (feed, call->call, "superseded by a newer pull", outbox);
  else
    {
      move_plan (board, feed, &pull, outbox);
      if (!GSPAN_SEEDED_FAULT (GSPAN_FAULT_SHARED_CURSOR))
        refuse_waiting (feed, pull.cursor.batch, outbox);
      g_array_append_val (feed->pulls, pull);
      return;
    }
  gspan_cursor_finish (&pull.cursor);
}

static void
on_pull (struct GspanBoard *board, const struct GspanEventRpc *call, struct GspanOutbox *outbox)
{
  struct gspan_pull_args args = { 0 };
  struct GspanFeed *feed = NULL;
  bool owner = false;

  if (!gspan_xdr_decode ((xdrproc_t)xdr_gspan_pull_args, &args, call->payload, NULL))
    answer_pull (call->call, GSPAN_STATUS_REFUSED, 0, 0, "malformed arguments", NULL, outbox);
  else
    {
      feed = g_hash_table_lookup (board->rollout->feeds, args.attachment);
      owner = feed != NULL && may_serve (board, feed) && feed->lease->fencing_token >= args.fence;
      if (owner)
        take_pull (board, feed, call, &args, outbox);
      else
        answer_pull (call->call, GSPAN_STATUS_NOT_OWNER,
                     feed != NULL ? feed->lease->fencing_token : 0, 0,
                     "this process does not own the attachment", NULL, outbox);
    }
  xdr_free ((xdrproc_t)xdr_gspan_pull_args, &args);
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
on_generated (struct GspanBoard *board, struct GspanFeed *feed, const struct Exchange *exchange,
              struct GspanSample *sample, const struct GspanEventHttp *answer,
              struct GspanOutbox *outbox)
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
      cancel_exchange (board, sample->exchange, outbox);
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
  log_sample (feed, exchange->group, exchange->index, "discard", exchange->upstream->name,
              error.message, outbox);
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
on_sample_done (struct GspanBoard *board, const struct Exchange *exchange,
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

static void
on_exchange_done (struct GspanBoard *board, const struct GspanEvent *event,
                  struct GspanOutbox *outbox)
{
  struct Exchange *exchange = g_hash_table_lookup (board->rollout->exchanges, &event->ref.id);
  const struct GspanEventHttp *answer = &event->u.http;

  if (exchange == NULL)
    return;
  gspan_upstream_update_from_headers (exchange->upstream, answer->headers, board->now);
  gspan_upstream_end_exchange (exchange->upstream,
                               answer->result == GSPAN_HTTP_COMPLETE ? GSPAN_FEEDBACK_GOOD
                                                                     : GSPAN_FEEDBACK_BROKEN,
                               board->now);
  if (exchange->kind == EXCHANGE_PROBE)
    on_probed (exchange->upstream, answer);
  else
    on_sample_done (board, exchange, answer, outbox);
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
    case GSPAN_EVENT_OBJECT_DONE:
      on_object_done (board, event);
      break;
    case GSPAN_EVENT_REQUEST:
    case GSPAN_EVENT_CALLER_DISCONNECTED:
    case GSPAN_EVENT_HTTP_HEAD:
    case GSPAN_EVENT_HTTP_DATA:
    case GSPAN_EVENT_RPC_DONE:
    case GSPAN_EVENT_DATAGRAM:
    case GSPAN_EVENT_STORE_DONE:
    case GSPAN_EVENT_RELAY_REQUEST:
    case GSPAN_EVENT_RELAY_SENDER_GONE:
      break;
    }
}

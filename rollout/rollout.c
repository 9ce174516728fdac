#include "rollout/rollout.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rollout/exchanges.h"
#include "rollout/feed.h"
#include "rollout/pulls.h"
#include "rollout/results.h"
#include "rollout/runs.h"

void
gspan_rollout_init (struct GspanRollout *rollout)
{
  rollout->feeds = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gspan_feed_free);
  rollout->exchanges
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, gspan_rollout_exchange_free);
  rollout->probes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gspan_rollout_finish (struct GspanRollout *rollout)
{
  g_hash_table_unref (rollout->feeds);
  g_hash_table_unref (rollout->exchanges);
  g_hash_table_unref (rollout->probes);
}

/* Gives up all work on an attachment that this process doesn't own, or no longer. */
static void
stop_feed (struct GspanBoard *board, struct GspanFeed *feed, struct GspanOutbox *outbox)
{
  gspan_rollout_cancel_groups (board, feed, outbox);
  feed->cursor_known = false;
  feed->hint = GSPAN_FEED_HINT_NONE;
  feed->answered_at = 0;
  for (guint i = 0; i < feed->pulls->len; i++)
    gspan_rollout_answer_pull (g_array_index (feed->pulls, struct GspanFeedPull, i).call,
                               GSPAN_STATUS_NOT_OWNER, feed->lease->fencing_token, 0,
                               "this process does not own the attachment", NULL, outbox);
  g_array_set_size (feed->pulls, 0);
  gspan_statuses_drop (&board->statuses, feed->lease->name);
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
  const struct GspanPool *pool = gspan_rollout_pool_of (board, attachment);
  guint sharers = count_sharers (board, attachment->pool);
  guint engines = 0;

  for (guint i = 0; pool != NULL && i < board->upstreams.items->len; i++)
    {
      const struct GspanUpstream *upstream = g_ptr_array_index (board->upstreams.items, i);

      engines += upstream->state == GSPAN_UPSTREAM_LIVE
                 && strcmp (upstream->service, pool->service) == 0;
    }
  feed->in_flight = count_samples (feed).in_flight;
  feed->share = MAX (1, engines * GSPAN_ROLLOUT_INFLIGHT_MAX / MAX (1, sharers));
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
  if (!gspan_rollout_may_serve (board, feed))
    {
      stop_feed (board, feed, outbox);
      return;
    }
  if (read_hint (board, feed, outbox))
    report_status (board, feed, record);
  gspan_rollout_follow_recipe (board, feed, &record->u.attachment, outbox);
  if (!record->paused)
    {
      set_share (board, feed, &record->u.attachment);
      gspan_rollout_probe_engines (board, feed, &record->u.attachment, outbox);
      gspan_rollout_advance_feed (board, feed, &record->u.attachment, outbox);
    }
  gspan_rollout_answer_pulls (board, feed, record, outbox);
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
        gspan_rollout_handle_pull (board, &event->u.rpc, outbox);
      break;
    case GSPAN_EVENT_HTTP_DONE:
      gspan_rollout_handle_exchange_done (board, event, outbox);
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

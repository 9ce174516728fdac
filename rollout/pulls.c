#include "rollout/pulls.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rollout/exchanges.h"
#include "rollout/fault.h"
#include "rollout/plan.h"
#include "rollout/rollout.h"

#define PULL_HOLD_US (2 * GSPAN_SECOND)
#define REWIND_AFTER_US (1 * GSPAN_SECOND)

bool
gspan_rollout_may_serve (const struct GspanBoard *board, const struct GspanFeed *feed)
{
  return gspan_lease_held (feed->lease, board->now)
         || gspan_lease_expired_in_outage (&board->leases, feed->lease, board->now);
}

void
gspan_rollout_answer_pull (guint64 call, enum gspan_status status, guint64 fence, guint64 record,
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

void
gspan_rollout_answer_pulls (struct GspanBoard *board, struct GspanFeed *feed,
                            const struct GspanRecord *record, struct GspanOutbox *outbox)
{
  for (guint i = feed->pulls->len; i > 0; i--)
    {
      struct GspanFeedPull *pull = &g_array_index (feed->pulls, struct GspanFeedPull, i - 1);
      GBytes *body = NULL;

      if (!record->paused)
        body = gspan_feed_build_batch (feed, &record->u.attachment, pull);
      if (body != NULL)
        {
          gspan_rollout_answer_pull (pull->call, GSPAN_STATUS_OK, feed->lease->fencing_token,
                                     record->version, "", body, outbox);
          feed->answered_at = board->now;
          g_bytes_unref (body);
        }
      else if (board->now >= pull->give_up_at)
        gspan_rollout_answer_pull (
            pull->call, GSPAN_STATUS_NOT_READY, feed->lease->fencing_token, record->version,
            record->paused ? "the attachment is paused" : "the batch is not whole yet", NULL,
            outbox);
      else
        continue;
      g_array_remove_index (feed->pulls, i - 1);
    }
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
      gspan_rollout_cancel_group (board, group, outbox);
      g_hash_table_iter_remove (&iter);
    }
}

static void
refuse_pull (const struct GspanFeed *feed, guint64 call, const char *why,
             struct GspanOutbox *outbox)
{
  gspan_rollout_answer_pull (call, GSPAN_STATUS_REFUSED, feed->lease->fencing_token, 0, why, NULL,
                             outbox);
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

void
gspan_rollout_handle_pull (struct GspanBoard *board, const struct GspanEventRpc *call,
                           struct GspanOutbox *outbox)
{
  struct gspan_pull_args args = { 0 };
  struct GspanFeed *feed = NULL;
  bool owner = false;

  if (!gspan_xdr_decode ((xdrproc_t)xdr_gspan_pull_args, &args, call->payload, NULL))
    gspan_rollout_answer_pull (call->call, GSPAN_STATUS_REFUSED, 0, 0, "malformed arguments", NULL,
                               outbox);
  else
    {
      feed = g_hash_table_lookup (board->rollout->feeds, args.attachment);
      owner = feed != NULL && gspan_rollout_may_serve (board, feed)
              && feed->lease->fencing_token >= args.fence;
      if (owner)
        take_pull (board, feed, call, &args, outbox);
      else
        gspan_rollout_answer_pull (call->call, GSPAN_STATUS_NOT_OWNER,
                                   feed != NULL ? feed->lease->fencing_token : 0, 0,
                                   "this process does not own the attachment", NULL, outbox);
    }
  xdr_free ((xdrproc_t)xdr_gspan_pull_args, &args);
}

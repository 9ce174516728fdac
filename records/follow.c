#include "records/follow.h"

#include "board/board.h"
#include "common/clock.h"
#include "records/apply.h"

#define FOLLOWED_KINDS "pool,attachment,route,upstream"
#define BACKOFF_MIN_US (500 * GSPAN_MS)
#define BACKOFF_MAX_US (8 * GSPAN_SECOND)
#define RELIST_SPREAD_US (200 * GSPAN_MS)

enum
{
  BACKOFF_DOUBLINGS_MAX = 4
};

static guint64
jitter (struct GspanBoard *board, guint64 range_us)
{
  return (guint64)g_rand_int_range (board->random, 0, (gint32)range_us);
}

static void
log_outage (const struct GspanFollow *follow, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, follow->failures > 0 ? "platform-unavailable" : "platform-back");
  gspan_outbox_log (outbox, "records", GSPAN_PRIORITY_WARNING, &line);
}

static void
back_off (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;
  guint64 pause = BACKOFF_MIN_US << MIN (follow->failures, BACKOFF_DOUBLINGS_MAX);

  pause = MIN (pause, BACKOFF_MAX_US);
  follow->retry_at = board->now + pause / 2 + jitter (board, pause / 2);
  follow->failures++;
  if (follow->failures == 1)
    log_outage (follow, outbox);
}

static void
on_answer (struct GspanBoard *board, guint64 id, const struct GspanEventObject *answer,
           struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;
  enum GspanApplyKind kind = id == GSPAN_OBJECT_LIST ? GSPAN_APPLY_LIST : GSPAN_APPLY_CHANGES;
  struct GspanStr body = gspan_str_from_bytes (answer->body);

  follow->reading = false;
  if (answer->result == GSPAN_OBJECT_GAP)
    {
      follow->gap = true;
      follow->retry_at = board->now + jitter (board, RELIST_SPREAD_US);
      return;
    }
  if (answer->result != GSPAN_OBJECT_OK
      || !gspan_records_apply (board, kind, answer->revision, body, outbox))
    {
      back_off (board, outbox);
      return;
    }
  if (follow->failures > 0)
    {
      follow->failures = 0;
      log_outage (follow, outbox);
    }
  if (kind == GSPAN_APPLY_LIST && answer->revision >= board->records.complete)
    follow->gap = false;
  follow->listed = true;
}

static void
read_platform (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;
  enum GspanObjectOp op = GSPAN_OBJECT_WATCH;
  struct GspanRef ref = { GSPAN_OWNER_RECORDS, 0 };

  if (follow->reading || board->now < follow->retry_at)
    return;
  if (!follow->listed || follow->gap)
    op = GSPAN_OBJECT_LIST;
  ref.id = op;
  follow->reading = true;
  gspan_outbox_object (outbox, ref, op, FOLLOWED_KINDS, board->records.complete, NULL);
}

void
gspan_follow_handle (struct GspanBoard *board, const struct GspanEvent *event,
                     struct GspanOutbox *outbox)
{
  if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    on_answer (board, event->ref.id, &event->u.object, outbox);
  read_platform (board, outbox);
}

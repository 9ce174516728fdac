#include "records/follow.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "records/apply.h"
#include "rpc/codec.h"

#define FOLLOWED_KINDS "pool,attachment,route,upstream"
#define BACKOFF_MIN_US (500 * GSPAN_MS)
#define BACKOFF_MAX_US (8 * GSPAN_SECOND)
#define RELIST_SPREAD_US (200 * GSPAN_MS)

#define RELAY_WAIT_US (5 * GSPAN_SECOND)
#define RELAY_TIMEOUT_US (2 * GSPAN_SECOND) /* past the wait */
#define RELAY_PAUSE_US (100 * GSPAN_MS)
#define SILENCE_US (3 * GSPAN_SECOND) /* without a relay, before the platform is read directly */
#define AHEAD_US (1 * GSPAN_SECOND)   /* a peer is ahead for so long before it is asked */

/* Ids of the calls to other processes. */
enum
{
  CALL_RELAY = 1,
  CALL_PEER = 2
};

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

static bool
is_member (const struct GspanBoard *board)
{
  return board->self.udp[0] != '\0';
}

/* Pointers to members hold only until the next list of VMs is taken in. */
static void
choose_watchers (struct GspanBoard *board)
{
  struct GspanFollow *follow = &board->follow;
  const char *self = board->draining ? NULL : board->self.name;
  guint64 state = 2 * board->members.change_count + board->draining;

  if (follow->watchers_of == state)
    return;
  follow->watchers_of = state;
  follow->watchers = gspan_members_watchers (&board->members, self, board->self.zone);
}

static bool
has_relay (const struct GspanBoard *board)
{
  if (!is_member (board))
    return board->self.relay[0] != '\0';
  return !board->follow.watchers.includes_self;
}

bool
gspan_follow_reads_platform (const struct GspanBoard *board)
{
  const struct GspanFollow *follow = &board->follow;

  if (!has_relay (board))
    return true;
  return follow->silent_since != 0 && board->now >= follow->direct_at;
}

static void
read_platform (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;
  enum GspanObjectOp op = GSPAN_OBJECT_WATCH;
  struct GspanRef ref = { GSPAN_OWNER_RECORDS, 0 };

  if (follow->reading || board->now < follow->retry_at || !gspan_follow_reads_platform (board))
    return;
  if (board->records.complete == 0 || follow->gap)
    op = GSPAN_OBJECT_LIST;
  ref.id = op;
  follow->reading = true;
  gspan_outbox_object (outbox, ref, op, FOLLOWED_KINDS, board->records.complete, NULL);
}

static void
call (struct GspanBoard *board, guint64 id, const char *address, guint64 wait_us,
      struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_RECORDS, id };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_RPC, ref);
  gspan_changes_args args;

  args.since = board->records.complete;
  args.digest = board->records.digest;
  args.vms_digest = board->vms.list_digest;
  args.wait_ms = wait_us / GSPAN_MS;
  action->u.rpc.address = g_strdup (address);
  action->u.rpc.proc = GSPAN_CHANGES;
  action->u.rpc.payload = gspan_xdr_encode ((xdrproc_t)xdr_gspan_changes_args, &args);
  action->u.rpc.timeout_us = wait_us + RELAY_TIMEOUT_US;
}

static const char *
relay_address (const struct GspanBoard *board)
{
  const struct GspanWatchers *watchers = &board->follow.watchers;

  if (!is_member (board))
    return board->self.relay;
  if (watchers->count == 0)
    return NULL;
  return watchers->items[board->follow.relay % watchers->count]->rpc;
}

/* A table without a whole list yet can't wait: the relay may have to tell it of none. */
static void
ask_relay (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;
  const char *address;

  if (follow->asking || board->now < follow->ask_at || !has_relay (board))
    return;
  address = relay_address (board);
  if (address == NULL)
    return;
  follow->asking = true;
  call (board, CALL_RELAY, address, follow->listed ? RELAY_WAIT_US : 0, outbox);
}

/* The members of a zone ask different ones of its watchers first. */
static void
start_relay_choice (struct GspanBoard *board)
{
  if (board->follow.ask_at != 0)
    return;
  board->follow.relay = g_rand_int (board->random) % GSPAN_MEMBERS_WATCHERS;
  board->follow.ask_at = board->now;
}

static void
pull_from_peer (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;
  const struct GspanMember *peer
      = gspan_members_find_ahead (&board->members, board->records.complete, board->records.digest);

  if (follow->pulling)
    return;
  if (peer == NULL)
    follow->pull_at = 0;
  else if (follow->pull_at == 0)
    follow->pull_at = board->now + AHEAD_US + jitter (board, AHEAD_US);
  else if (board->now >= follow->pull_at)
    {
      follow->pull_at = 0;
      follow->pulling = true;
      call (board, CALL_PEER, peer->rpc, 0, outbox);
    }
}

static bool
apply_changes (struct GspanBoard *board, const gspan_changes_res *res, struct GspanOutbox *outbox)
{
  struct GspanStr objects = { res->objects.objects_val, res->objects.objects_len };

  switch (res->kind)
    {
    case GSPAN_CHANGES_DELTA:
      return gspan_records_apply (board, GSPAN_APPLY_CHANGES, res->revision, objects, outbox);
    case GSPAN_CHANGES_LIST:
      return gspan_records_apply (board, GSPAN_APPLY_LIST, res->revision, objects, outbox);
    case GSPAN_CHANGES_SAME:
      gspan_records_skip_to (&board->records, res->revision);
      return true;
    }
  return false;
}

static bool
apply_answer (struct GspanBoard *board, const struct GspanEventRpc *rpc, struct GspanOutbox *outbox)
{
  gspan_changes_res res;
  bool ok = false;

  if (rpc->result != GSPAN_RPC_OK)
    return false;
  memset (&res, 0, sizeof res);
  if (gspan_xdr_decode ((xdrproc_t)xdr_gspan_changes_res, &res, rpc->payload, NULL)
      && res.status == GSPAN_STATUS_OK)
    {
      ok = apply_changes (board, &res, outbox);
      if (res.vms.vms_len > 0)
        {
          GBytes *vms = g_bytes_new (res.vms.vms_val, res.vms.vms_len);

          gspan_vms_apply (board, vms);
          g_bytes_unref (vms);
        }
    }
  xdr_free ((xdrproc_t)xdr_gspan_changes_res, &res);
  return ok;
}

static void
on_relay_silent (struct GspanBoard *board)
{
  struct GspanFollow *follow = &board->follow;

  follow->relay++;
  follow->ask_at = board->now + RELAY_PAUSE_US + jitter (board, RELAY_PAUSE_US);
  if (follow->silent_since != 0)
    return;
  follow->silent_since = board->now;
  follow->direct_at = board->now + SILENCE_US + jitter (board, SILENCE_US);
}

static void
on_call_done (struct GspanBoard *board, guint64 id, const struct GspanEventRpc *rpc,
              struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;
  bool ok = apply_answer (board, rpc, outbox);

  follow->listed = follow->listed || ok;
  if (id == CALL_PEER)
    {
      follow->pulling = false;
      return;
    }
  follow->asking = false;
  if (!ok)
    {
      on_relay_silent (board);
      return;
    }
  follow->silent_since = 0;
  follow->ask_at = board->now + RELAY_PAUSE_US;
}

static void
log_duty (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  bool watches = gspan_follow_reads_platform (board);
  struct GspanLine line;

  if (watches == board->follow.watches)
    return;
  board->follow.watches = watches;
  gspan_line_init (&line, "platform-reader");
  gspan_line_cstr (&line, "reads", watches ? "yes" : "no");
  gspan_line_cstr (&line, "reason",
                   !watches                          ? "relay"
                   : board->follow.silent_since != 0 ? "no-relay-answers"
                                                     : "watcher-of-zone");
  gspan_outbox_log (outbox, "records", GSPAN_PRIORITY_NOTICE, &line);
}

void
gspan_follow_handle (struct GspanBoard *board, const struct GspanEvent *event,
                     struct GspanOutbox *outbox)
{
  if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    on_answer (board, event->ref.id, &event->u.object, outbox);
  else if (event->kind == GSPAN_EVENT_RPC_DONE)
    on_call_done (board, event->ref.id, &event->u.rpc, outbox);
  choose_watchers (board);
  start_relay_choice (board);
  read_platform (board, outbox);
  ask_relay (board, outbox);
  if (is_member (board))
    pull_from_peer (board, outbox);
  log_duty (board, outbox);
}

#include "board/board.h"

#include <string.h>

#include "control/control.h"
#include "desk/desk.h"
#include "desk/keyed_calls.h"
#include "desk/batch_pulls.h"
#include "desk/key_partitions.h"
#include "rollout/rollout.h"
#include "rpc/codec.h"

void
gspan_board_init (struct GspanBoard *board, const struct GspanBoardConfig *config)
{
  memset (board, 0, sizeof *board);
  board->random = g_rand_new_with_seed (config->seed);
  board->incarnation = g_rand_int (board->random);
  board->self = config->self;
  board->self.udp = config->self.udp != NULL ? config->self.udp : "";
  board->self.relay = config->self.relay != NULL ? config->self.relay : "";
  board->self.seeds = config->self.seeds != NULL ? config->self.seeds : "";
  board->route_policy = config->route_policy;
  board->access = config->access;
  board->request_timeout_us = config->request_timeout_us;
  gspan_records_init (&board->records);
  gspan_relay_init (&board->relay);
  gspan_members_init (&board->members);
  gspan_probe_init (&board->probe);
  gspan_vms_init (&board->vms);
  gspan_leases_init (&board->leases, config->lease_duration_us);
  gspan_statuses_init (&board->statuses);
  gspan_upstreams_init (&board->upstreams);
  gspan_poison_requests_init (&board->poison_requests);
}

static void
finish_controllers (struct GspanBoard *board)
{
  if (board->desk != NULL)
    gspan_desk_finish (board->desk);
  if (board->keyed_calls != NULL)
    gspan_keyed_calls_finish (board->keyed_calls);
  if (board->key_partitions != NULL)
    gspan_key_partitions_finish (board->key_partitions);
  if (board->batch_pulls != NULL)
    gspan_batch_pulls_finish (board->batch_pulls);
  if (board->rollout != NULL)
    gspan_rollout_finish (board->rollout);
  if (board->control != NULL)
    gspan_control_finish (board->control);
  g_free (board->desk);
  g_free (board->keyed_calls);
  g_free (board->key_partitions);
  g_free (board->batch_pulls);
  g_free (board->rollout);
  g_free (board->control);
}

void
gspan_board_finish (struct GspanBoard *board)
{
  finish_controllers (board);
  gspan_poison_requests_finish (&board->poison_requests);
  gspan_upstreams_finish (&board->upstreams);
  gspan_statuses_finish (&board->statuses);
  gspan_leases_finish (&board->leases);
  gspan_vms_finish (&board->vms);
  gspan_probe_finish (&board->probe);
  gspan_members_finish (&board->members);
  gspan_relay_finish (&board->relay);
  gspan_records_finish (&board->records);
  g_rand_free (board->random);
}

guint64
gspan_board_next_id (struct GspanBoard *board)
{
  return ++board->next_id;
}

char *
gspan_board_request_id (const struct GspanBoard *board, guint64 request)
{
  return g_strdup_printf ("%s-%08x-%" G_GUINT64_FORMAT, board->self.name, board->incarnation,
                          request);
}

static void
dispatch_answer (struct GspanBoard *board, const struct GspanEvent *event,
                 struct GspanOutbox *outbox)
{
  switch (event->ref.owner)
    {
    case GSPAN_OWNER_RECORDS:
      gspan_follow_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_VMS:
      gspan_vms_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_MEMBERS:
      break;
    case GSPAN_OWNER_LEASES:
      gspan_leases_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_STATUS:
      gspan_statuses_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_DESK:
      gspan_desk_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_BATCH_PULLS:
      gspan_batch_pulls_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_ROLLOUT:
      gspan_rollout_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_CONTROL:
      gspan_control_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_KEYED_CALLS:
      gspan_keyed_calls_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_KEY_PARTITIONS:
      gspan_key_partitions_handle (board, event, outbox);
      break;
    case GSPAN_OWNER_CATALOG:
    case GSPAN_OWNER_GATEWAY:
    case GSPAN_OWNER_JOBS:
    case GSPAN_OWNER_RUNS:
    case GSPAN_OWNER_REWARDS:
    case GSPAN_OWNER_WEIGHTS:
    case GSPAN_OWNER_VERDICTS:
    case GSPAN_OWNER_LINKS:
    case GSPAN_OWNER_RELAY:
    case GSPAN_OWNER_STREAMS:
    case GSPAN_OWNER_DUTIES:
      break;
    }
}

static void
refuse_request (const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  gspan_outbox_reply_error (outbox, event->u.request.request, 404, "path", "no such resource");
}

static void
dispatch_request (struct GspanBoard *board, const struct GspanEvent *event,
                  struct GspanOutbox *outbox)
{
  if (board->batch_pulls != NULL && gspan_batch_pulls_is_path (event->u.request.path))
    gspan_batch_pulls_handle (board, event, outbox);
  else if (board->desk != NULL)
    gspan_desk_handle (board, event, outbox);
  else
    refuse_request (event, outbox);
}

static void
refuse_caller (const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  struct GspanAction *action = gspan_outbox_reply_error (
      outbox, event->u.request.request, 401, "Authorization", "no token of a known caller");

  gspan_headers_add (&action->u.reply.headers, "WWW-Authenticate", GSPAN_STR ("Bearer"));
  gspan_headers_add (&action->u.reply.headers, "Gspan-Outcome", GSPAN_STR ("not-run"));
}

/* Hands a request on under the firm that its token names. */
static void
admit_request (struct GspanBoard *board, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  struct GspanEvent admitted = *event;

  if (gspan_access_admit (board->access, event->u.request.headers, &admitted.u.request.firm))
    dispatch_request (board, &admitted, outbox);
  else
    {
      gspan_metrics_add (&board->metrics, GSPAN_METRIC_CALLERS_REFUSED, 1);
      refuse_caller (event, outbox);
    }
}

/* Hands a peer's call to the controller of its procedure; a call of none is refused. */
static void
dispatch_call (struct GspanBoard *board, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  struct GspanAction *refusal;

  switch (event->u.rpc.proc)
    {
    case GSPAN_PULL:
      if (board->rollout == NULL)
        break;
      gspan_rollout_handle (board, event, outbox);
      return;
    case GSPAN_CHANGES:
      gspan_relay_handle (board, event, outbox);
      return;
    case GSPAN_KEYED:
      if (board->key_partitions == NULL)
        break;
      gspan_key_partitions_handle (board, event, outbox);
      return;
    default:
      break;
    }
  refusal = gspan_outbox_add (outbox, GSPAN_ACTION_RPC_REPLY, (struct GspanRef){ 0 });
  refusal->u.rpc.call = event->u.rpc.call;
}

static void
dispatch_to_all (struct GspanBoard *board, const struct GspanEvent *event,
                 struct GspanOutbox *outbox)
{
  gspan_probe_handle (board, event, outbox);
  gspan_follow_handle (board, event, outbox);
  gspan_vms_handle (board, event, outbox);
  gspan_relay_handle (board, event, outbox);
  gspan_report_handle (board, event, outbox);
  gspan_leases_handle (board, event, outbox);
  gspan_statuses_handle (board, event, outbox);
  if (board->desk != NULL)
    gspan_desk_handle (board, event, outbox);
  if (board->keyed_calls != NULL)
    gspan_keyed_calls_handle (board, event, outbox);
  if (board->key_partitions != NULL)
    gspan_key_partitions_handle (board, event, outbox);
  if (board->batch_pulls != NULL)
    gspan_batch_pulls_handle (board, event, outbox);
  if (board->rollout != NULL)
    gspan_rollout_handle (board, event, outbox);
  if (board->control != NULL)
    gspan_control_handle (board, event, outbox);
}

/* Names the request in the head of each answer from the action FIRST on. */
static void
add_request_ids (const struct GspanBoard *board, struct GspanOutbox *outbox, guint first)
{
  for (guint i = first; i < outbox->actions->len; i++)
    {
      struct GspanAction *action = g_ptr_array_index (outbox->actions, i);
      char *id;

      if (action->kind != GSPAN_ACTION_REPLY && action->kind != GSPAN_ACTION_REPLY_BEGIN)
        continue;
      id = gspan_board_request_id (board, action->u.reply.request);
      gspan_headers_add (&action->u.reply.headers, "Gspan-Request", gspan_str_from (id));
      g_free (id);
    }
}

void
gspan_board_handle (struct GspanBoard *board, const struct GspanEvent *event, guint64 now,
                    struct GspanOutbox *outbox)
{
  guint first = outbox->actions->len;

  board->now = MAX (board->now, now);
  switch (event->kind)
    {
    case GSPAN_EVENT_DRAIN:
      board->draining = true;
      dispatch_to_all (board, event, outbox);
      break;
    case GSPAN_EVENT_TICK:
    case GSPAN_EVENT_CALLER_DISCONNECTED:
      dispatch_to_all (board, event, outbox);
      break;
    case GSPAN_EVENT_REQUEST:
      admit_request (board, event, outbox);
      break;
    case GSPAN_EVENT_DATAGRAM:
      gspan_probe_handle (board, event, outbox);
      break;
    case GSPAN_EVENT_RPC_CALL:
      dispatch_call (board, event, outbox);
      break;
    case GSPAN_EVENT_HTTP_HEAD:
    case GSPAN_EVENT_HTTP_DATA:
    case GSPAN_EVENT_HTTP_DONE:
    case GSPAN_EVENT_OBJECT_DONE:
    case GSPAN_EVENT_RPC_DONE:
    case GSPAN_EVENT_STORE_DONE:
      dispatch_answer (board, event, outbox);
      break;
    case GSPAN_EVENT_RELAY_REQUEST: /* of gspan-node, which isn't here */
    case GSPAN_EVENT_RELAY_SENDER_GONE:
      break;
    }
  add_request_ids (board, outbox, first);
}

bool
gspan_board_is_ready (const struct GspanBoard *board)
{
  return !board->draining && board->follow.listed && board->vms.has_list;
}

bool
gspan_board_has_open_work (const struct GspanBoard *board)
{
  if (board->desk != NULL && gspan_desk_is_busy (board->desk))
    return true;
  if (board->keyed_calls != NULL && gspan_keyed_calls_is_busy (board->keyed_calls))
    return true;
  if (board->key_partitions != NULL && gspan_key_partitions_is_busy (board->key_partitions))
    return true;
  if (board->batch_pulls != NULL && gspan_batch_pulls_is_busy (board->batch_pulls))
    return true;
  for (guint i = 0; i < board->leases.items->len; i++)
    {
      const struct GspanLease *lease = g_ptr_array_index (board->leases.items, i);

      if (lease->held_until_us > board->now)
        return true;
    }
  return false;
}

static guint
count_leases (const struct GspanBoard *board)
{
  guint held = 0;

  for (guint i = 0; i < board->leases.items->len; i++)
    held += gspan_lease_held (g_ptr_array_index (board->leases.items, i), board->now);
  return held;
}

void
gspan_board_update_gauges (struct GspanBoard *board)
{
  struct GspanMetrics *metrics = &board->metrics;

  if (board->desk != NULL)
    gspan_metrics_set (metrics, GSPAN_GAUGE_DESK_CALLS, g_hash_table_size (board->desk->calls));
  if (board->batch_pulls != NULL)
    gspan_metrics_set (metrics, GSPAN_GAUGE_PULLS_WAITING,
                       g_hash_table_size (board->batch_pulls->pulls));
  gspan_metrics_set (metrics, GSPAN_GAUGE_LEASES_HELD, count_leases (board));
  gspan_metrics_set (metrics, GSPAN_GAUGE_UPSTREAMS, board->upstreams.items->len);
  gspan_metrics_set (metrics, GSPAN_GAUGE_RECORDS_REVISION, board->records.complete);
  gspan_metrics_set (metrics, GSPAN_GAUGE_DRAINING, board->draining);
}

#include "records/relay.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rpc/codec.h"

#define WAIT_MAX_US (30 * GSPAN_SECOND)

enum
{
  WAITING_MAX = 4096
};

struct Waiting
{
  guint64 call;
  gspan_changes_args args;
  guint64 until;
};

void
gspan_relay_init (struct GspanRelay *relay)
{
  relay->waiting = g_ptr_array_new_with_free_func (g_free);
  relay->answered_at_change = 0;
}

void
gspan_relay_finish (struct GspanRelay *relay)
{
  g_ptr_array_unref (relay->waiting);
}

static void
append_object (json_t *objects, const struct GspanRecordState *state, guint64 version,
               json_t *value)
{
  json_array_append_new (objects, json_pack ("{s:s, s:s, s:I, s:O}", "kind",
                                             gspan_record_kind_name (state->kind), "name",
                                             state->name, "version", (json_int_t)version, "value",
                                             value != NULL ? value : json_null ()));
}

/* The version in force goes before a newer one with findings, so that a newcomer gets both. */
static void
append_state (json_t *objects, const struct GspanRecords *records,
              const struct GspanRecordState *state, guint64 since)
{
  const struct GspanRecord *record = gspan_records_find (records, state->kind, state->name);

  if (record != NULL && record->version > since && record->version < state->version)
    append_object (objects, state, record->version, record->raw);
  if (state->version > since)
    append_object (objects, state, state->version, state->value);
}

static GBytes *
describe_objects (const struct GspanRecords *records, guint64 since, bool deleted)
{
  json_t *objects = json_array ();
  json_t *root = json_pack ("{s:o}", "objects", objects);
  GHashTableIter iter;
  gpointer value;
  char *text;

  g_hash_table_iter_init (&iter, records->states);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanRecordState *state = value;

      if (deleted || state->value != NULL)
        append_state (objects, records, state, since);
    }
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}

/*
 * What the caller lacks. A caller that is complete up to a revision from which on every change is
 * still told apart gets these; any other the whole list, unless it has the same records anyway.
 */
static gspan_changes_kind
choose_kind (const struct GspanRecords *records, const gspan_changes_args *args)
{
  bool same = args->digest == records->digest;

  if (args->since >= records->history_from && (same || args->since < records->complete))
    return GSPAN_CHANGES_DELTA;
  return same ? GSPAN_CHANGES_SAME : GSPAN_CHANGES_LIST;
}

static GBytes *
describe_changes (const struct GspanBoard *board, const gspan_changes_args *args,
                  gspan_changes_kind kind)
{
  switch (kind)
    {
    case GSPAN_CHANGES_DELTA:
      return describe_objects (&board->records, args->since, true);
    case GSPAN_CHANGES_LIST:
      return describe_objects (&board->records, 0, false);
    case GSPAN_CHANGES_SAME:
      break;
    }
  return g_bytes_new_static ("", 0);
}

static void
reply (struct GspanBoard *board, guint64 call, gspan_changes_res *res, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_RPC_REPLY, (struct GspanRef){ 0 });

  (void)board;
  action->u.rpc.call = call;
  action->u.rpc.payload = gspan_xdr_encode ((xdrproc_t)xdr_gspan_changes_res, res);
}

static void
answer (struct GspanBoard *board, guint64 call, const gspan_changes_args *args,
        struct GspanOutbox *outbox)
{
  gspan_changes_kind kind = choose_kind (&board->records, args);
  GBytes *objects = describe_changes (board, args, kind);
  struct GspanStr text = gspan_str_from_bytes (objects);
  struct GspanStr vms = { NULL, 0 };
  gspan_changes_res res;

  memset (&res, 0, sizeof res);
  if (board->vms.has_list && args->vms_digest != board->vms.list_digest)
    vms = gspan_str_from_bytes (board->vms.list_body);
  res.status = GSPAN_STATUS_OK;
  res.kind = kind;
  res.revision = board->records.complete;
  res.objects.objects_len = (u_int)text.len;
  res.objects.objects_val = (char *)text.data;
  res.vms.vms_len = (u_int)vms.len;
  res.vms.vms_val = (char *)vms.data;
  reply (board, call, &res, outbox);
  g_bytes_unref (objects);
}

static void
refuse (struct GspanBoard *board, guint64 call, gspan_status status, struct GspanOutbox *outbox)
{
  gspan_changes_res res;

  memset (&res, 0, sizeof res);
  res.status = status;
  reply (board, call, &res, outbox);
}

/* A caller that is ahead of this node has nothing to learn here. */
static bool
has_news (const struct GspanBoard *board, const gspan_changes_args *args)
{
  const struct GspanRecords *records = &board->records;

  if (board->vms.has_list && args->vms_digest != board->vms.list_digest)
    return true;
  return args->digest != records->digest && args->since <= records->complete;
}

static void
on_call (struct GspanBoard *board, const struct GspanEventRpc *rpc, struct GspanOutbox *outbox)
{
  struct Waiting *waiting;
  gspan_changes_args args;

  memset (&args, 0, sizeof args);
  if (!gspan_xdr_decode ((xdrproc_t)xdr_gspan_changes_args, &args, rpc->payload, NULL))
    refuse (board, rpc->call, GSPAN_STATUS_REFUSED, outbox);
  else if (board->records.complete == 0 || board->relay.waiting->len >= WAITING_MAX)
    refuse (board, rpc->call, GSPAN_STATUS_NOT_READY, outbox);
  else if (has_news (board, &args) || args.wait_ms == 0)
    answer (board, rpc->call, &args, outbox);
  else
    {
      waiting = g_new0 (struct Waiting, 1);
      waiting->call = rpc->call;
      waiting->args = args;
      waiting->until = board->now + MIN (args.wait_ms * GSPAN_MS, WAIT_MAX_US);
      g_ptr_array_add (board->relay.waiting, waiting);
    }
}

static void
answer_waiting (struct GspanBoard *board, bool changed, struct GspanOutbox *outbox)
{
  GPtrArray *waiting = board->relay.waiting;

  for (guint i = waiting->len; i > 0; i--)
    {
      const struct Waiting *item = g_ptr_array_index (waiting, i - 1);

      if (board->now < item->until && !board->draining
          && !(changed && has_news (board, &item->args)))
        continue;
      answer (board, item->call, &item->args, outbox);
      g_ptr_array_remove_index (waiting, i - 1);
    }
}

void
gspan_relay_handle (struct GspanBoard *board, const struct GspanEvent *event,
                    struct GspanOutbox *outbox)
{
  guint64 change = board->records.seen_changes + board->vms.list_changes;
  bool changed = change != board->relay.answered_at_change;

  if (event->kind == GSPAN_EVENT_RPC_CALL)
    on_call (board, &event->u.rpc, outbox);
  board->relay.answered_at_change = change;
  answer_waiting (board, changed, outbox);
}

#include "desk/keyed_calls.h"

#include <jansson.h>
#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "desk/journal.h"
#include "desk/key_partitions.h"
#include "rpc/codec.h"

#define RETRY_US (100 * GSPAN_MS)
#define ASK_TIMEOUT_US (2 * GSPAN_SECOND) /* then the lease is read again */

enum KeyedState
{
  KEYED_FINDING, /* the slot's lease is being read */
  KEYED_ASKING,  /* the owner, maybe this process, has been asked */
  KEYED_WAITING  /* until the next try */
};

/* One caller's request under a key. */
struct KeyedCall
{
  guint64 id;
  guint64 request;
  char *request_id;
  char *caller_id; /* as in a GspanDeskCallSpec */
  guint slot;
  enum KeyedState state;
  char *key; /* with firm and route */
  char *route;
  char *method;
  char *path;
  char *content_type;
  GBytes *body;
  guint64 deadline;
  guint64 retry_at;
  bool asked; /* an owner was asked whose answer was lost: the call may have run */
};

static void
call_free (gpointer data)
{
  struct KeyedCall *call = data;

  g_free (call->request_id);
  g_free (call->caller_id);
  g_free (call->key);
  g_free (call->route);
  g_free (call->method);
  g_free (call->path);
  g_free (call->content_type);
  g_bytes_unref (call->body);
  g_free (call);
}

void
gspan_keyed_calls_init (struct GspanKeyedCalls *keyed)
{
  keyed->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  keyed->owners = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_set_size (keyed->owners, GSPAN_KEY_PARTITION_COUNT);
}

void
gspan_keyed_calls_finish (struct GspanKeyedCalls *keyed)
{
  g_hash_table_unref (keyed->calls);
  g_ptr_array_unref (keyed->owners);
}

bool
gspan_keyed_calls_is_busy (const struct GspanKeyedCalls *keyed)
{
  return g_hash_table_size (keyed->calls) > 0;
}

static void
set_owner (struct GspanKeyedCalls *keyed, guint slot, const char *address)
{
  g_free (keyed->owners->pdata[slot]);
  keyed->owners->pdata[slot] = g_strdup (address);
}

static void
log_call (const struct KeyedCall *call, const char *event, const char *detail,
          struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "request", call->request_id);
  gspan_line_cstr (&line, "caller_request", call->caller_id);
  gspan_line_cstr (&line, "key", call->key);
  gspan_line_u64 (&line, "slot", call->slot);
  gspan_line_cstr (&line, "detail", detail);
  gspan_outbox_log (outbox, "keyed", GSPAN_PRIORITY_INFO, &line);
}

/* Ends the call without an upstream's answer: not-run only where no owner may have run it. */
static void
give_up (struct GspanBoard *board, struct KeyedCall *call, const char *why,
         struct GspanOutbox *outbox)
{
  enum GspanOutcome outcome = call->asked ? GSPAN_OUTCOME_UNKNOWN : GSPAN_OUTCOME_NOT_RUN;

  log_call (call, "keyed-outcome", gspan_outcome_name (outcome), outbox);
  gspan_desk_reply_outcome (board, call->request, outcome, why, outbox);
  g_hash_table_remove (board->keyed_calls->calls, &call->id);
}

static void
wait_for_retry (struct GspanBoard *board, struct KeyedCall *call)
{
  call->state = KEYED_WAITING;
  call->retry_at = board->now + RETRY_US;
}

static struct gspan_keyed_args
args_of (const struct GspanBoard *board, struct KeyedCall *call)
{
  struct GspanStr body = gspan_str_from_bytes (call->body);
  struct gspan_keyed_args args = { 0 };

  args.request_id = call->request_id;
  args.caller_id = call->caller_id;
  args.key = call->key;
  args.route = call->route;
  args.method = call->method;
  args.path = call->path;
  args.content_type = call->content_type;
  args.timeout_us = call->deadline - board->now;
  args.body.body_val = (char *)body.data;
  args.body.body_len = (u_int)body.len;
  return args;
}

static void
ask_peer (struct GspanBoard *board, struct KeyedCall *call, const char *address,
          struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_KEYED_CALLS, call->id };
  struct gspan_keyed_args args = args_of (board, call);
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_RPC, ref);

  log_call (call, "keyed-ask", address, outbox);
  call->state = KEYED_ASKING;
  action->u.rpc.address = g_strdup (address);
  action->u.rpc.proc = GSPAN_KEYED;
  action->u.rpc.payload = gspan_xdr_encode ((xdrproc_t)xdr_gspan_keyed_args, &args);
  action->u.rpc.timeout_us = MIN (call->deadline - board->now, ASK_TIMEOUT_US);
}

static void
ask_self (struct GspanBoard *board, struct KeyedCall *call, struct GspanOutbox *outbox)
{
  struct GspanKeyedWaiter waiter = { GSPAN_KEYED_WAITER_LOCAL, call->id };
  struct gspan_keyed_args args = args_of (board, call);

  call->state = KEYED_ASKING;
  gspan_key_partitions_submit (board, &args, waiter, outbox);
}

static void
find_owner (struct KeyedCall *call, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_KEYED_CALLS, call->id };
  char *name = gspan_key_partition_lease_name (call->slot);
  char *path = g_strconcat ("lease/", name, NULL);

  call->state = KEYED_FINDING;
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_GET, path, 0, NULL);
  g_free (path);
  g_free (name);
}

static void
advance (struct GspanBoard *board, struct KeyedCall *call, struct GspanOutbox *outbox)
{
  const char *owner = g_ptr_array_index (board->keyed_calls->owners, call->slot);

  if (gspan_key_partition_is_owned (board, call->slot))
    ask_self (board, call, outbox);
  else if (owner != NULL)
    ask_peer (board, call, owner, outbox);
  else
    find_owner (call, outbox);
}

static bool
is_key_good (struct GspanStr key)
{
  if (key.len == 0 || key.len > GSPAN_JOURNAL_KEY_MAX)
    return false;
  for (size_t i = 0; i < key.len; i++)
    {
      if (!g_ascii_isgraph (key.data[i]))
        return false;
    }
  return true;
}

static void
refuse (struct GspanBoard *board, guint64 request, const char *field, const char *why,
        struct GspanOutbox *outbox)
{
  struct GspanAction *action = gspan_outbox_reply_error (outbox, request, 400, field, why);

  gspan_headers_add (&action->u.reply.headers, "Gspan-Outcome",
                     gspan_str_from (gspan_outcome_name (GSPAN_OUTCOME_FAILED)));
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_DESK_FAILED, 1);
}

/* True where every text fits the bounds of the protocol between entries. */
static bool
fits (const struct KeyedCall *call)
{
  return strlen (call->key) <= GSPAN_MAX_NAME && strlen (call->method) <= GSPAN_MAX_NAME
         && strlen (call->path) <= GSPAN_MAX_PATH && strlen (call->content_type) <= GSPAN_MAX_NAME;
}

void
gspan_keyed_calls_start (struct GspanBoard *board, guint64 request, struct GspanStr key,
                         const char *firm, const struct GspanDeskCallSpec *work,
                         struct GspanOutbox *outbox)
{
  struct KeyedCall *call;

  if (!is_key_good (key) || work->stream)
    {
      refuse (board, request, "Idempotency-Key",
              work->stream ? "allowed without stream only" : "allowed is 1 to 128 visible bytes",
              outbox);
      return;
    }
  call = g_new0 (struct KeyedCall, 1);
  call->id = gspan_board_next_id (board);
  call->request = request;
  call->request_id = g_strdup (work->request_id);
  call->caller_id = gspan_str_dup (work->caller_id);
  call->key = g_strdup_printf ("%s/%s/%.*s", firm, work->route, (int)key.len, key.data);
  call->slot = gspan_key_partition_of (call->key);
  call->route = g_strdup (work->route);
  call->method = gspan_str_dup (work->method);
  call->path = g_strdup (work->path);
  call->content_type = gspan_str_dup (work->content_type);
  call->body = g_bytes_ref (work->body);
  call->deadline = board->now + work->timeout_us;
  g_hash_table_insert (board->keyed_calls->calls, &call->id, call);
  if (fits (call))
    advance (board, call, outbox);
  else
    {
      refuse (board, request, "path", "names are too long for a keyed call", outbox);
      g_hash_table_remove (board->keyed_calls->calls, &call->id);
    }
}

/* Learns the owner from the slot's lease; becomes a candidate where it has none. */
static void
on_lease (struct GspanBoard *board, struct KeyedCall *call, const struct GspanEventObject *answer,
          struct GspanOutbox *outbox)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *value = NULL;
  const char *holder;

  if (answer->result != GSPAN_OBJECT_OK && answer->result != GSPAN_OBJECT_MISSING)
    {
      give_up (board, call, "the platform doesn't answer, no owner is known", outbox);
      return;
    }
  if (answer->result == GSPAN_OBJECT_OK)
    value = json_loadb (text.data, text.len, 0, NULL);
  holder = json_string_value (json_object_get (value, "holder"));
  if (holder == NULL || holder[0] == '\0' || strcmp (holder, board->self.rpc) == 0)
    {
      gspan_key_partition_acquire (board, call->slot);
      wait_for_retry (board, call);
    }
  else
    {
      set_owner (board->keyed_calls, call->slot, holder);
      ask_peer (board, call, holder, outbox);
    }
  json_decref (value);
}

static void
deliver (struct GspanBoard *board, struct KeyedCall *call, const struct gspan_keyed_res *res,
         struct GspanOutbox *outbox)
{
  enum GspanOutcome outcome = res->outcome;
  GBytes *body;

  if (outcome == GSPAN_OUTCOME_NOT_RUN)
    {
      give_up (board, call, "the call was not run this time", outbox);
      return;
    }
  log_call (call, "keyed-outcome", gspan_outcome_name (outcome), outbox);
  if (res->http_status == 0)
    gspan_desk_reply_outcome (board, call->request, outcome,
                              "the first answer under this key isn't known; the call may have run",
                              outbox);
  else
    {
      body = g_bytes_new (res->body.body_val, res->body.body_len);
      gspan_desk_forward_response (board, call->request, outcome, (int)res->http_status,
                                   gspan_str_from (res->content_type), body, outbox);
      g_bytes_unref (body);
    }
  g_hash_table_remove (board->keyed_calls->calls, &call->id);
}

static void
on_result (struct GspanBoard *board, struct KeyedCall *call, const struct gspan_keyed_res *res,
           struct GspanOutbox *outbox)
{
  if (res->status == GSPAN_STATUS_OK && res->outcome <= GSPAN_OUTCOME_UNKNOWN)
    {
      deliver (board, call, res, outbox);
      return;
    }
  if (res->status != GSPAN_STATUS_NOT_READY)
    set_owner (board->keyed_calls, call->slot, NULL);
  wait_for_retry (board, call);
}

void
gspan_keyed_calls_reply_received (struct GspanBoard *board, guint64 id,
                                  const struct gspan_keyed_res *res, struct GspanOutbox *outbox)
{
  struct KeyedCall *call = g_hash_table_lookup (board->keyed_calls->calls, &id);

  if (call != NULL)
    on_result (board, call, res, outbox);
}

static void
on_rpc_done (struct GspanBoard *board, struct KeyedCall *call, const struct GspanEventRpc *answer,
             struct GspanOutbox *outbox)
{
  struct gspan_keyed_res res = { 0 };
  struct GspanError error = { 0 };

  if (answer->result == GSPAN_RPC_OK
      && gspan_xdr_decode ((xdrproc_t)xdr_gspan_keyed_res, &res, answer->payload, &error))
    {
      if (res.status == GSPAN_STATUS_OK || res.status == GSPAN_STATUS_NOT_READY)
        gspan_key_partition_cancel_acquire (board, call->slot);
      else
        gspan_key_partition_acquire (board, call->slot);
      on_result (board, call, &res, outbox);
    }
  else
    {
      log_call (call, "keyed-retry", "the owner did not answer", outbox);
      call->asked = call->asked || answer->result != GSPAN_RPC_NOT_SENT;
      set_owner (board->keyed_calls, call->slot, NULL);
      gspan_key_partition_acquire (board, call->slot);
      wait_for_retry (board, call);
    }
  xdr_free ((xdrproc_t)xdr_gspan_keyed_res, &res);
}

static void
on_tick (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  GList *list = g_hash_table_get_values (board->keyed_calls->calls);

  for (GList *item = list; item != NULL; item = item->next)
    {
      struct KeyedCall *call = item->data;

      if (board->now >= call->deadline)
        {
          call->asked = call->asked || call->state == KEYED_ASKING;
          give_up (board, call, "the deadline is over", outbox);
        }
      else if (call->state == KEYED_WAITING && board->now >= call->retry_at)
        advance (board, call, outbox);
    }
  g_list_free (list);
}

/* The caller went away. Its run, if there is one, goes on: the key may be asked for again. */
static void
on_gone (struct GspanBoard *board, guint64 request)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, board->keyed_calls->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((struct KeyedCall *)value)->request == request)
        g_hash_table_iter_remove (&iter);
    }
}

void
gspan_keyed_calls_handle (struct GspanBoard *board, const struct GspanEvent *event,
                          struct GspanOutbox *outbox)
{
  struct KeyedCall *call;

  if (event->kind == GSPAN_EVENT_TICK)
    on_tick (board, outbox);
  else if (event->kind == GSPAN_EVENT_CALLER_DISCONNECTED)
    on_gone (board, event->u.disconnected_request);
  else if (event->kind == GSPAN_EVENT_OBJECT_DONE || event->kind == GSPAN_EVENT_RPC_DONE)
    {
      call = g_hash_table_lookup (board->keyed_calls->calls, &event->ref.id);
      if (call == NULL)
        return;
      if (event->kind == GSPAN_EVENT_OBJECT_DONE)
        on_lease (board, call, &event->u.object, outbox);
      else
        on_rpc_done (board, call, &event->u.rpc, outbox);
    }
}

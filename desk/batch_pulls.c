#include "desk/batch_pulls.h"

#include <jansson.h>
#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rollout/fault.h"
#include "rpc/codec.h"

enum
{
  RETRY_AFTER_S = 1
};

#define PULL_TIMEOUT_US (25 * GSPAN_SECOND)
#define RPC_TIMEOUT_US (3500 * GSPAN_MS)
#define RETRY_US (200 * GSPAN_MS)

enum PullState
{
  PULL_FINDING, /* the lease is being read */
  PULL_ASKING,  /* the owner has been asked */
  PULL_WAITING  /* until the next try */
};

struct Pull
{
  guint64 id;
  guint64 request;
  char *attachment;
  char *cursor;
  guint64 weight;
  guint64 deadline;
  guint64 retry_at;
  enum PullState state;
};

/*
 * What this entry knows of an attachment's owner. FENCE never goes back. The address outlives a
 * doubt, since the platform may be down when another one is wanted.
 */
struct Owner
{
  char *address; /* NULL is not known */
  bool doubted;  /* the lease is to be read before ADDRESS is asked again */
  guint64 fence;
};

static void
pull_free (gpointer data)
{
  struct Pull *pull = data;

  g_free (pull->attachment);
  g_free (pull->cursor);
  g_free (pull);
}

static void
owner_free (gpointer data)
{
  struct Owner *owner = data;

  g_free (owner->address);
  g_free (owner);
}

void
gspan_batch_pulls_init (struct GspanBatchPulls *pulls)
{
  pulls->pulls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, pull_free);
  pulls->owners = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, owner_free);
}

void
gspan_batch_pulls_finish (struct GspanBatchPulls *pulls)
{
  g_hash_table_unref (pulls->pulls);
  g_hash_table_unref (pulls->owners);
}

bool
gspan_batch_pulls_is_path (struct GspanStr path)
{
  return gspan_str_equal (path, GSPAN_STR ("/v1/pull"));
}

bool
gspan_batch_pulls_is_busy (const struct GspanBatchPulls *pulls)
{
  return g_hash_table_size (pulls->pulls) > 0;
}

static struct Owner *
owner_of (struct GspanBatchPulls *pulls, const char *attachment)
{
  struct Owner *owner = g_hash_table_lookup (pulls->owners, attachment);

  if (owner != NULL)
    return owner;
  owner = g_new0 (struct Owner, 1);
  g_hash_table_insert (pulls->owners, g_strdup (attachment), owner);
  return owner;
}

static void
log_pull (const struct GspanBoard *board, const struct Pull *pull, const char *event,
          const char *detail, struct GspanOutbox *outbox)
{
  char *id = gspan_board_request_id (board, pull->request);
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "request", id);
  g_free (id);
  gspan_line_cstr (&line, "attachment", pull->attachment);
  gspan_line_u64 (&line, "weight", pull->weight);
  gspan_line_cstr (&line, "detail", detail);
  gspan_outbox_log (outbox, "pulls", GSPAN_PRIORITY_INFO, &line);
}

static void
refuse (struct GspanBoard *board, struct Pull *pull, int status, const char *field, const char *why,
        struct GspanOutbox *outbox)
{
  struct GspanAction *action = gspan_outbox_reply_error (outbox, pull->request, status, field, why);

  if (status == 503)
    gspan_headers_add_u64 (&action->u.reply.headers, "Retry-After", RETRY_AFTER_S);
  log_pull (board, pull, "pull-refused", why, outbox);
  g_hash_table_remove (board->batch_pulls->pulls, &pull->id);
}

static void
wait_for_retry (struct GspanBoard *board, struct Pull *pull)
{
  pull->state = PULL_WAITING;
  pull->retry_at = board->now + RETRY_US;
}

static void
ask_owner (struct Pull *pull, const struct Owner *owner, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_BATCH_PULLS, pull->id };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_RPC, ref);
  struct gspan_pull_args args = { 0 };

  args.attachment = pull->attachment;
  args.weight = pull->weight;
  args.fence = owner->fence;
  args.cursor.cursor_val = pull->cursor;
  args.cursor.cursor_len = (u_int)strlen (pull->cursor);
  pull->state = PULL_ASKING;
  action->u.rpc.address = g_strdup (owner->address);
  action->u.rpc.proc = GSPAN_PULL;
  action->u.rpc.payload = gspan_xdr_encode ((xdrproc_t)xdr_gspan_pull_args, &args);
  action->u.rpc.timeout_us = RPC_TIMEOUT_US;
}

static void
advance (struct GspanBoard *board, struct Pull *pull, struct GspanOutbox *outbox)
{
  struct Owner *owner = owner_of (board->batch_pulls, pull->attachment);
  struct GspanRef ref = { GSPAN_OWNER_BATCH_PULLS, pull->id };
  char *path;

  if (owner->address != NULL && !owner->doubted)
    {
      ask_owner (pull, owner, outbox);
      return;
    }
  pull->state = PULL_FINDING;
  path = g_strdup_printf ("lease/attachment.%s", pull->attachment);
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_GET, path, 0, NULL);
  g_free (path);
}

/* Takes in a lease object. One under an older fence than seen names nobody. */
static void
learn_owner (struct Owner *owner, json_t *value)
{
  const char *holder = json_string_value (json_object_get (value, "holder"));
  guint64 fence = (guint64)json_integer_value (json_object_get (value, "fence"));

  if (holder == NULL || holder[0] == '\0' || fence < owner->fence)
    return;
  g_free (owner->address);
  owner->address = g_strdup (holder);
  owner->fence = fence;
  owner->doubted = false;
}

static void
on_lease (struct GspanBoard *board, struct Pull *pull, const struct GspanEventObject *answer,
          struct GspanOutbox *outbox)
{
  struct Owner *owner = owner_of (board->batch_pulls, pull->attachment);
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *value = NULL;
  bool unread
      = answer->result == GSPAN_OBJECT_UNAVAILABLE || answer->result == GSPAN_OBJECT_UNKNOWN;

  if (answer->result == GSPAN_OBJECT_OK)
    value = json_loadb (text.data, text.len, 0, NULL);
  learn_owner (owner, value);
  json_decref (value);
  if (owner->address != NULL && (unread || !owner->doubted))
    ask_owner (pull, owner, outbox);
  else
    wait_for_retry (board, pull);
}

static void
deliver (struct GspanBoard *board, struct Pull *pull, const struct gspan_pull_res *res,
         struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY, (struct GspanRef){ 0 });

  action->u.reply.request = pull->request;
  action->u.reply.status = 200;
  action->u.reply.body = g_bytes_new (res->body.body_val, res->body.body_len);
  gspan_headers_add (&action->u.reply.headers, "Content-Type", GSPAN_STR ("application/json"));
  gspan_headers_add_u64 (&action->u.reply.headers, "Gspan-Fence", res->fence);
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_BATCHES, 1);
  gspan_metrics_observe (&board->metrics, GSPAN_HISTOGRAM_PULL,
                         board->now + PULL_TIMEOUT_US - pull->deadline);
  log_pull (board, pull, "pull-answered", "", outbox);
  g_hash_table_remove (board->batch_pulls->pulls, &pull->id);
}

/* Why the answer may not be handed on although the owner gave a batch; NULL where it may. */
static const char *
outdated_by (const struct GspanBoard *board, const struct Pull *pull, const struct Owner *owner,
             const struct gspan_pull_res *res)
{
  const struct GspanRecord *record
      = gspan_records_find (&board->records, GSPAN_RECORD_ATTACHMENT, pull->attachment);

  if (res->fence < owner->fence && !GSPAN_SEEDED_FAULT (GSPAN_FAULT_FORGET_FENCE))
    return "answer under an old fence";
  if (res->status != GSPAN_STATUS_OK || GSPAN_SEEDED_FAULT (GSPAN_FAULT_OLD_RECORD))
    return NULL;
  if (record == NULL || record->paused)
    return "the attachment is paused or deleted";
  return res->record < record->version ? "answer under an old record" : NULL;
}

static void
on_result (struct GspanBoard *board, struct Pull *pull, struct gspan_pull_res *res,
           struct GspanOutbox *outbox)
{
  struct Owner *owner = owner_of (board->batch_pulls, pull->attachment);
  const char *outdated = outdated_by (board, pull, owner, res);
  bool old_owner = res->fence < owner->fence;

  owner->fence = MAX (owner->fence, res->fence);
  if (outdated == NULL && res->status == GSPAN_STATUS_OK)
    deliver (board, pull, res, outbox);
  else if (outdated == NULL && res->status == GSPAN_STATUS_REFUSED)
    refuse (board, pull, 409, "cursor", res->detail, outbox);
  else if (outdated == NULL && res->status == GSPAN_STATUS_NOT_READY)
    ask_owner (pull, owner, outbox);
  else
    {
      owner->doubted |= old_owner || res->status == GSPAN_STATUS_NOT_OWNER;
      log_pull (board, pull, "pull-retry", outdated != NULL ? outdated : res->detail, outbox);
      wait_for_retry (board, pull);
    }
}

static void
on_rpc_done (struct GspanBoard *board, struct Pull *pull, const struct GspanEventRpc *answer,
             struct GspanOutbox *outbox)
{
  struct Owner *owner = owner_of (board->batch_pulls, pull->attachment);
  struct gspan_pull_res res = { 0 };
  struct GspanError error = { 0 };

  if (answer->result == GSPAN_RPC_OK
      && gspan_xdr_decode ((xdrproc_t)xdr_gspan_pull_res, &res, answer->payload, &error))
    on_result (board, pull, &res, outbox);
  else
    {
      owner->doubted = true;
      log_pull (board, pull, "pull-retry", "the owner did not answer", outbox);
      wait_for_retry (board, pull);
    }
  xdr_free ((xdrproc_t)xdr_gspan_pull_res, &res);
}

static const char *
read_pull (struct Pull *pull, json_t *root)
{
  json_t *attachment = json_object_get (root, "attachment");
  json_t *weight = json_object_get (root, "weight");
  json_t *cursor = json_object_get (root, "cursor");

  pull->attachment = g_strdup (json_string_value (attachment));
  pull->cursor = g_strdup (json_is_string (cursor) ? json_string_value (cursor) : "");
  pull->weight = (guint64)json_integer_value (weight);
  if (!json_is_object (root))
    return "body";
  if (!json_is_string (attachment) || json_string_length (attachment) > GSPAN_MAX_NAME)
    return "attachment";
  if (!json_is_integer (weight) || json_integer_value (weight) < 0)
    return "weight";
  if (cursor != NULL
      && (!json_is_string (cursor) || json_string_length (cursor) > GSPAN_MAX_CURSOR))
    return "cursor";
  return NULL;
}

static void
on_request (struct GspanBoard *board, const struct GspanEventRequest *request,
            struct GspanOutbox *outbox)
{
  struct GspanStr body = gspan_str_from_bytes (request->body);
  json_t *root = json_loadb (body.data != NULL ? body.data : "", body.len, 0, NULL);
  struct Pull *pull = g_new0 (struct Pull, 1);
  const char *wrong = read_pull (pull, root);

  json_decref (root);
  pull->id = gspan_board_next_id (board);
  pull->request = request->request;
  pull->deadline = board->now + PULL_TIMEOUT_US;
  g_hash_table_insert (board->batch_pulls->pulls, &pull->id, pull);
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_PULLS, 1);
  if (wrong != NULL)
    refuse (board, pull, 400, wrong, "missing or of a wrong type", outbox);
  else if (!gspan_board_is_ready (board))
    refuse (board, pull, 503, "entry", "this entry is starting or shutting down", outbox);
  else if (!gspan_record_serves (
               gspan_records_find (&board->records, GSPAN_RECORD_ATTACHMENT, pull->attachment),
               request->firm))
    refuse (board, pull, 404, "attachment", "no such attachment", outbox);
  else
    advance (board, pull, outbox);
}

static void
on_tick (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  GList *list = g_hash_table_get_values (board->batch_pulls->pulls);

  for (GList *item = list; item != NULL; item = item->next)
    {
      struct Pull *pull = item->data;

      if (board->now >= pull->deadline)
        refuse (board, pull, 503, "batch", "not ready yet", outbox);
      else if (pull->state == PULL_WAITING && board->now >= pull->retry_at)
        advance (board, pull, outbox);
    }
  g_list_free (list);
}

static void
on_gone (struct GspanBoard *board, guint64 request)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, board->batch_pulls->pulls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((struct Pull *)value)->request == request)
        g_hash_table_iter_remove (&iter);
    }
}

void
gspan_batch_pulls_handle (struct GspanBoard *board, const struct GspanEvent *event,
                          struct GspanOutbox *outbox)
{
  struct Pull *pull;

  if (event->kind == GSPAN_EVENT_REQUEST)
    on_request (board, &event->u.request, outbox);
  else if (event->kind == GSPAN_EVENT_TICK)
    on_tick (board, outbox);
  else if (event->kind == GSPAN_EVENT_CALLER_DISCONNECTED)
    on_gone (board, event->u.disconnected_request);
  else if (event->kind == GSPAN_EVENT_OBJECT_DONE || event->kind == GSPAN_EVENT_RPC_DONE)
    {
      pull = g_hash_table_lookup (board->batch_pulls->pulls, &event->ref.id);
      if (pull == NULL)
        return;
      if (event->kind == GSPAN_EVENT_OBJECT_DONE)
        on_lease (board, pull, &event->u.object, outbox);
      else
        on_rpc_done (board, pull, &event->u.rpc, outbox);
    }
}

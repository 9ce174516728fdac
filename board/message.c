#include "board/message.h"

#include <jansson.h>

static void
action_free (gpointer data)
{
  struct GspanAction *action = data;

  switch (action->kind)
    {
    case GSPAN_ACTION_REPLY:
    case GSPAN_ACTION_REPLY_BEGIN:
    case GSPAN_ACTION_REPLY_DATA:
    case GSPAN_ACTION_REPLY_END:
    case GSPAN_ACTION_REPLY_ABORT:
      gspan_headers_finish (&action->u.reply.headers);
      g_clear_pointer (&action->u.reply.body, g_bytes_unref);
      break;
    case GSPAN_ACTION_HTTP:
    case GSPAN_ACTION_HTTP_CANCEL:
      gspan_headers_finish (&action->u.http.headers);
      g_clear_pointer (&action->u.http.body, g_bytes_unref);
      g_free (action->u.http.method);
      g_free (action->u.http.url);
      g_free (action->u.http.required_header);
      g_free (action->u.http.echo_exempt_header);
      break;
    case GSPAN_ACTION_OBJECT:
      g_free (action->u.object.path);
      g_clear_pointer (&action->u.object.body, g_bytes_unref);
      break;
    case GSPAN_ACTION_RPC:
    case GSPAN_ACTION_RPC_REPLY:
      g_free (action->u.rpc.address);
      g_clear_pointer (&action->u.rpc.payload, g_bytes_unref);
      break;
    case GSPAN_ACTION_DATAGRAM:
      g_free (action->u.datagram.address);
      g_clear_pointer (&action->u.datagram.payload, g_bytes_unref);
      break;
    case GSPAN_ACTION_STORE:
      gspan_store_call_finish (&action->u.store);
      break;
    case GSPAN_ACTION_LOG:
      g_free (action->u.log.text);
      break;
    }
  g_free (action);
}

void
gspan_outbox_init (struct GspanOutbox *outbox)
{
  outbox->actions = g_ptr_array_new_with_free_func (action_free);
}

void
gspan_outbox_finish (struct GspanOutbox *outbox)
{
  g_ptr_array_unref (outbox->actions);
}

void
gspan_outbox_clear (struct GspanOutbox *outbox)
{
  g_ptr_array_set_size (outbox->actions, 0);
}

struct GspanAction *
gspan_outbox_add (struct GspanOutbox *outbox, enum GspanActionKind kind, struct GspanRef ref)
{
  struct GspanAction *action = g_new0 (struct GspanAction, 1);

  action->kind = kind;
  action->ref = ref;
  if (kind <= GSPAN_ACTION_REPLY_ABORT)
    gspan_headers_init (&action->u.reply.headers);
  else if (kind == GSPAN_ACTION_HTTP || kind == GSPAN_ACTION_HTTP_CANCEL)
    gspan_headers_init (&action->u.http.headers);
  g_ptr_array_add (outbox->actions, action);
  return action;
}

struct GspanAction *
gspan_outbox_reply_json (struct GspanOutbox *outbox, guint64 request, int status, const char *json)
{
  struct GspanRef none = { 0 };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY, none);

  action->u.reply.request = request;
  action->u.reply.status = status;
  action->u.reply.body = g_bytes_new (json, strlen (json));
  gspan_headers_add (&action->u.reply.headers, "Content-Type", GSPAN_STR ("application/json"));
  return action;
}

struct GspanAction *
gspan_outbox_reply_error (struct GspanOutbox *outbox, guint64 request, int status,
                          const char *field, const char *message)
{
  char *valid = g_utf8_make_valid (message, -1); /* callers' bytes are quoted in messages */
  json_t *error = json_pack ("{s:{s:s, s:s}}", "error", "field", field, "message", valid);
  char *text = json_dumps (error, JSON_COMPACT);
  struct GspanAction *action = gspan_outbox_reply_json (outbox, request, status, text);

  free (text);
  json_decref (error);
  g_free (valid);
  return action;
}

void
gspan_outbox_object (struct GspanOutbox *outbox, struct GspanRef ref, enum GspanObjectOp op,
                     const char *path, guint64 revision, GBytes *body)
{
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_OBJECT, ref);

  action->u.object.op = op;
  action->u.object.path = g_strdup (path);
  action->u.object.revision = revision;
  action->u.object.body = body;
}

struct GspanStoreCall *
gspan_outbox_store (struct GspanOutbox *outbox, struct GspanRef ref, enum GspanStoreOp op,
                    const char *kind, const char *name)
{
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_STORE, ref);

  action->u.store.op = op;
  action->u.store.kind = g_strdup (kind);
  action->u.store.name = g_strdup (name);
  return &action->u.store;
}

void
gspan_outbox_log (struct GspanOutbox *outbox, const char *module, enum GspanPriority priority,
                  struct GspanLine *line)
{
  struct GspanRef none = { 0 };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_LOG, none);

  action->u.log.module = module;
  action->u.log.priority = priority;
  action->u.log.text = gspan_line_steal (line);
}

void
gspan_answer_log (const struct GspanEventHttp *answer, struct GspanLine *line)
{
  static const char *const framings[] = { "none", "length", "chunked", "close" };
  static const char *const echoes[] = { "not-asked", "same", "missing", "other" };
  const struct GspanAnswerTrace *trace = &answer->trace;

  gspan_line_u64 (line, "sends", answer->send_count);
  gspan_line_u64 (line, "used_connection", trace->used_connection);
  gspan_line_u64 (line, "head_ended", trace->head_ended);
  gspan_line_cstr (line, "framing", framings[trace->framing]);
  gspan_line_u64 (line, "declared_bytes", trace->declared_bytes);
  gspan_line_u64 (line, "body_bytes", trace->body_bytes);
  gspan_line_cstr (line, "echo", echoes[trace->echo]);
  gspan_line_u64 (line, "foreign", trace->foreign);
}

#include "shell/actions.h"

#include <string.h>

#include "common/clock.h"

void
gspan_actions_reply (struct GspanHttpServer *server, const struct GspanAction *action)
{
  const struct GspanActionReply *reply = &action->u.reply;

  if (reply->until_close)
    gspan_http_server_end_by_close (server, reply->request);
  switch (action->kind)
    {
    case GSPAN_ACTION_REPLY:
      gspan_http_server_reply (server, reply->request, reply->status, &reply->headers, reply->body);
      break;
    case GSPAN_ACTION_REPLY_BEGIN:
      gspan_http_server_begin (server, reply->request, reply->status, &reply->headers);
      break;
    case GSPAN_ACTION_REPLY_DATA:
      gspan_http_server_data (server, reply->request, reply->body);
      break;
    case GSPAN_ACTION_REPLY_END:
      gspan_http_server_end (server, reply->request);
      break;
    case GSPAN_ACTION_REPLY_ABORT:
      gspan_http_server_cut (server, reply->request);
      break;
    case GSPAN_ACTION_HTTP:
    case GSPAN_ACTION_HTTP_CANCEL:
    case GSPAN_ACTION_OBJECT:
    case GSPAN_ACTION_RPC:
    case GSPAN_ACTION_RPC_REPLY:
    case GSPAN_ACTION_DATAGRAM:
    case GSPAN_ACTION_STORE:
    case GSPAN_ACTION_LOG:
      break; /* not on a response */
    }
}

static bool
is_overdue (const struct GspanActionHttp *http)
{
  return http->start_deadline_us != 0 && gspan_clock_now () >= http->start_deadline_us;
}

void
gspan_actions_start_http (struct GspanHttpClient *client, struct GspanRef ref,
                          const struct GspanActionHttp *http, GspanHttpClientCallback callback,
                          void *user)
{
  struct GspanEvent event = { 0 };
  struct GspanHeaders headers;

  if (!is_overdue (http))
    {
      gspan_http_client_start (client, ref, http);
      return;
    }
  gspan_headers_init (&headers);
  event.kind = GSPAN_EVENT_HTTP_DONE;
  event.ref = ref;
  event.u.http.result = GSPAN_HTTP_NOT_SENT;
  event.u.http.headers = &headers;
  callback (user, &event);
  gspan_headers_finish (&headers);
}

void
gspan_actions_reply_text (struct GspanHttpServer *server, guint64 id, int status, const char *text)
{
  struct GspanHeaders headers;
  GBytes *body = g_bytes_new (text, strlen (text));

  gspan_headers_init (&headers);
  gspan_headers_add (&headers, "Content-Type", GSPAN_STR ("text/plain; version=0.0.4"));
  gspan_http_server_reply (server, id, status, &headers, body);
  gspan_headers_finish (&headers);
  g_bytes_unref (body);
}

struct GspanEvent
gspan_actions_request_event (enum GspanEventKind kind, const struct GspanHttpIncoming *incoming)
{
  struct GspanEvent event = { 0 };

  event.kind = kind;
  event.u.request.request = incoming->id;
  event.u.request.method = incoming->method;
  event.u.request.path = incoming->path;
  event.u.request.headers = incoming->headers;
  event.u.request.body = incoming->body;
  event.u.request.body_dropped = incoming->body_dropped;
  return event;
}

struct GspanEvent
gspan_actions_gone_event (enum GspanEventKind kind, guint64 id)
{
  struct GspanEvent event = { 0 };

  event.kind = kind;
  event.u.disconnected_request = id;
  return event;
}

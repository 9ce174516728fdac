#include "shell/shell.h"

#include <string.h>

#include "common/address.h"
#include "common/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "rpc/transport.h"
#include "shell/actions.h"
#include "shell/platform.h"
#include "shell/udp.h"

enum
{
  CALLER_IDLE_TIMEOUT_S = 120,
  CALLER_READ_TIMEOUT_MS = 60000,
  CALLER_STREAM_MAX = 1 << 20,
  CALLER_OUTPUTS_MAX = 32 << 20
};

#define TICK_S 0.02

struct GspanShell
{
  const struct GspanNodeSettings *settings;
  struct GspanBoard *board;
  struct GspanLog log;
  struct ev_loop *loop;
  struct GspanHttpServer *server;
  struct GspanHttpClient *client;
  struct GspanRpcTransport *rpc;
  struct GspanUdp *udp; /* NULL where the process is no member */
  GArray *peers;        /* struct GspanNetwork; NULL takes RPC from everywhere */
  ev_timer tick;
  ev_signal sigterm;
  ev_signal sigint;
  guint64 drain_until; /* 0 while serving */
  GHashTable *objects; /* struct GspanRef to struct ObjectCall, owns them */
};

/* An operation on a platform object whose HTTP exchange is under way. */
struct ObjectCall
{
  struct GspanRef ref;
  enum GspanObjectOp op;
};

static void do_action (struct GspanShell *shell, const struct GspanAction *action);

static void
run_event (struct GspanShell *shell, const struct GspanEvent *event)
{
  struct GspanOutbox outbox;

  gspan_outbox_init (&outbox);
  gspan_board_handle (shell->board, event, gspan_clock_now (), &outbox);
  for (guint i = 0; i < outbox.actions->len; i++)
    do_action (shell, g_ptr_array_index (outbox.actions, i));
  gspan_outbox_finish (&outbox);
}

static void
on_event (void *user, const struct GspanEvent *event)
{
  run_event (user, event);
}

static void
do_object (struct GspanShell *shell, const struct GspanAction *action)
{
  const struct GspanActionObject *object = &action->u.object;
  struct GspanActionHttp http = { 0 };
  struct ObjectCall *call = g_new0 (struct ObjectCall, 1);

  gspan_metrics_add (&shell->board->metrics,
                     gspan_platform_writes (object->op) ? GSPAN_METRIC_PLATFORM_WRITES
                                                        : GSPAN_METRIC_PLATFORM_READS,
                     1);
  call->ref = action->ref;
  call->op = object->op;
  g_hash_table_replace (shell->objects, &call->ref, call);
  gspan_headers_init (&http.headers);
  gspan_platform_request (object, shell->settings->platform, &http);
  gspan_http_client_start (shell->client, action->ref, &http);
  gspan_headers_finish (&http.headers);
  g_clear_pointer (&http.body, g_bytes_unref);
  g_free (http.method);
  g_free (http.url);
}

static void
do_log (struct GspanShell *shell, const struct GspanActionLog *text)
{
  struct GspanLog log = shell->log;

  log.module = text->module;
  gspan_log_text (&log, text->priority, text->text);
}

static void
do_action (struct GspanShell *shell, const struct GspanAction *action)
{
  switch (action->kind)
    {
    case GSPAN_ACTION_REPLY:
    case GSPAN_ACTION_REPLY_BEGIN:
    case GSPAN_ACTION_REPLY_DATA:
    case GSPAN_ACTION_REPLY_END:
    case GSPAN_ACTION_REPLY_ABORT:
      gspan_actions_reply (shell->server, action);
      break;
    case GSPAN_ACTION_HTTP:
      gspan_actions_start_http (shell->client, action->ref, &action->u.http, on_event, shell);
      break;
    case GSPAN_ACTION_HTTP_CANCEL:
      gspan_http_client_cancel (shell->client, action->ref);
      break;
    case GSPAN_ACTION_OBJECT:
      do_object (shell, action);
      break;
    case GSPAN_ACTION_RPC:
      gspan_rpc_transport_call (shell->rpc, action->ref, &action->u.rpc);
      break;
    case GSPAN_ACTION_RPC_REPLY:
      gspan_rpc_transport_reply (shell->rpc, action->u.rpc.call, action->u.rpc.payload);
      break;
    case GSPAN_ACTION_DATAGRAM:
      if (shell->udp == NULL)
        break;
      gspan_metrics_add (&shell->board->metrics, GSPAN_METRIC_GOSSIP_SENT, 1);
      gspan_metrics_add (&shell->board->metrics, GSPAN_METRIC_GOSSIP_SENT_BYTES,
                         g_bytes_get_size (action->u.datagram.payload));
      gspan_udp_send (shell->udp, &action->u.datagram);
      break;
    case GSPAN_ACTION_STORE: /* only gspan-node's controllers call the store this way */
      break;
    case GSPAN_ACTION_LOG:
      do_log (shell, &action->u.log);
      break;
    }
}

static bool
finish_object (struct GspanShell *shell, const struct GspanEvent *event)
{
  struct ObjectCall *call = g_hash_table_lookup (shell->objects, &event->ref);
  const struct GspanEventHttp *answer = &event->u.http;
  struct GspanEvent done = { 0 };

  if (call == NULL || event->kind != GSPAN_EVENT_HTTP_DONE)
    return false;
  done.kind = GSPAN_EVENT_OBJECT_DONE;
  done.ref = event->ref;
  done.u.object.result = gspan_platform_result (call->op, answer);
  if (done.u.object.result == GSPAN_OBJECT_UNAVAILABLE
      || done.u.object.result == GSPAN_OBJECT_UNKNOWN)
    gspan_metrics_add (&shell->board->metrics, GSPAN_METRIC_PLATFORM_FAILURES, 1);
  done.u.object.body = answer->body;
  gspan_headers_get_u64 (answer->headers, "X-Revision", &done.u.object.revision);
  g_hash_table_remove (shell->objects, &event->ref);
  run_event (shell, &done);
  return true;
}

static void
on_exchange (void *user, const struct GspanEvent *event)
{
  struct GspanShell *shell = user;

  if (!finish_object (shell, event))
    run_event (shell, event);
}

static void start_drain (struct GspanShell *shell);

/* Answers the operators' paths. False where the path is none of them. */
static bool
serve_operator (struct GspanShell *shell, const struct GspanHttpIncoming *incoming)
{
  char *text;

  if (gspan_str_equal (incoming->path, GSPAN_STR ("/-/healthz")))
    gspan_actions_reply_text (shell->server, incoming->id, 200, "alive\n");
  else if (gspan_str_equal (incoming->path, GSPAN_STR ("/-/readyz")))
    gspan_actions_reply_text (shell->server, incoming->id,
                              gspan_board_is_ready (shell->board) ? 200 : 503,
                              gspan_board_is_ready (shell->board) ? "ready\n" : "not ready\n");
  else if (gspan_str_equal (incoming->path, GSPAN_STR ("/-/metrics")))
    {
      gspan_board_update_gauges (shell->board);
      gspan_metrics_set (&shell->board->metrics, GSPAN_GAUGE_OPEN_REQUESTS,
                         gspan_http_server_open_requests (shell->server));
      text = gspan_metrics_format (&shell->board->metrics);
      gspan_actions_reply_text (shell->server, incoming->id, 200, text);
      g_free (text);
    }
  else if (gspan_str_equal (incoming->path, GSPAN_STR ("/-/drain"))
           && gspan_str_equal (incoming->method, GSPAN_STR ("POST"))
           && !gspan_access_admit_operator (shell->board->access, incoming->headers))
    {
      gspan_metrics_add (&shell->board->metrics, GSPAN_METRIC_CALLERS_REFUSED, 1);
      gspan_actions_reply_text (shell->server, incoming->id, 401, "no token of an operator\n");
    }
  else if (gspan_str_equal (incoming->path, GSPAN_STR ("/-/drain"))
           && gspan_str_equal (incoming->method, GSPAN_STR ("POST")))
    {
      gspan_actions_reply_text (shell->server, incoming->id, 200, "draining\n");
      start_drain (shell);
    }
  else
    return false;
  return true;
}

static void
on_request (void *user, const struct GspanHttpIncoming *incoming)
{
  struct GspanShell *shell = user;
  struct GspanEvent event;

  if (serve_operator (shell, incoming))
    return;
  event = gspan_actions_request_event (GSPAN_EVENT_REQUEST, incoming);
  run_event (shell, &event);
}

static void
on_gone (void *user, guint64 id)
{
  struct GspanEvent event = gspan_actions_gone_event (GSPAN_EVENT_CALLER_DISCONNECTED, id);

  run_event (user, &event);
}

static bool
is_idle (const struct GspanShell *shell)
{
  return gspan_http_server_open_requests (shell->server) == 0
         && !gspan_board_has_open_work (shell->board);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct GspanShell *shell = watcher->data;
  struct GspanEvent event = { 0 };

  (void)events;
  event.kind = GSPAN_EVENT_TICK;
  run_event (shell, &event);
  if (shell->drain_until == 0)
    return;
  if (is_idle (shell) || gspan_clock_now () >= shell->drain_until)
    ev_break (loop, EVBREAK_ALL);
}

static void
start_drain (struct GspanShell *shell)
{
  struct GspanEvent event = { 0 };
  struct GspanLine line;

  if (shell->drain_until != 0)
    return;
  gspan_line_init (&line, "drain");
  gspan_line_u64 (&line, "open_requests", gspan_http_server_open_requests (shell->server));
  gspan_log_line (&shell->log, GSPAN_PRIORITY_NOTICE, &line);
  shell->drain_until = gspan_clock_now () + (guint64)shell->settings->drain_ms * GSPAN_MS;
  event.kind = GSPAN_EVENT_DRAIN;
  run_event (shell, &event);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  start_drain (watcher->data);
}

static guint
ref_hash (gconstpointer key)
{
  const struct GspanRef *ref = key;

  return (guint)ref->id * 31 + (guint)ref->owner;
}

static gboolean
ref_equal (gconstpointer a, gconstpointer b)
{
  const struct GspanRef *x = a;
  const struct GspanRef *y = b;

  return x->owner == y->owner && x->id == y->id;
}

static void
start_watchers (struct GspanShell *shell)
{
  ev_timer_init (&shell->tick, on_tick, TICK_S, TICK_S);
  shell->tick.data = shell;
  ev_timer_start (shell->loop, &shell->tick);
  ev_signal_init (&shell->sigterm, on_signal, SIGTERM);
  shell->sigterm.data = shell;
  ev_signal_start (shell->loop, &shell->sigterm);
  ev_signal_init (&shell->sigint, on_signal, SIGINT);
  shell->sigint.data = shell;
  ev_signal_start (shell->loop, &shell->sigint);
}

static void
on_peer_refused (void *user, const char *peer)
{
  struct GspanShell *shell = user;
  struct GspanLine line;

  gspan_metrics_add (&shell->board->metrics, GSPAN_METRIC_PEERS_REFUSED, 1);
  gspan_line_init (&line, "peer-refused");
  gspan_line_cstr (&line, "peer", peer);
  gspan_log_line (&shell->log, GSPAN_PRIORITY_WARNING, &line);
}

static bool
open_listeners (struct GspanShell *shell, struct GspanError *error)
{
  struct GspanHttpHandler handler = { on_request, on_gone, shell, NULL };
  struct GspanHttpLimits limits = { (size_t)shell->settings->body_max,
                                    (guint)shell->settings->connections,
                                    CALLER_IDLE_TIMEOUT_S,
                                    CALLER_READ_TIMEOUT_MS,
                                    CALLER_STREAM_MAX,
                                    CALLER_OUTPUTS_MAX,
                                    NULL };

  shell->server
      = gspan_http_server_new (shell->loop, shell->settings->http, &limits, &handler, error);
  if (shell->server == NULL)
    return false;
  shell->rpc = gspan_rpc_transport_new (shell->loop, shell->settings->rpc, on_event, shell, error);
  if (shell->rpc == NULL)
    return false;
  if (shell->settings->peers[0] != '\0')
    {
      shell->peers = g_array_new (FALSE, FALSE, sizeof (struct GspanNetwork));
      gspan_networks_parse (shell->settings->peers, shell->peers);
    }
  gspan_rpc_transport_allow (shell->rpc, shell->peers, on_peer_refused);
  if (shell->settings->udp[0] == '\0')
    return true;
  shell->udp = gspan_udp_new (shell->loop, shell->settings->udp, on_event, shell, error);
  return shell->udp != NULL;
}

struct GspanShell *
gspan_shell_new (const struct GspanNodeSettings *settings, const char *program,
                 struct GspanBoard *board, struct GspanError *error)
{
  struct GspanShell *shell = g_new0 (struct GspanShell, 1);

  shell->settings = settings;
  shell->board = board;
  shell->log.program = program;
  shell->log.module = "shell";
  shell->log.level = gspan_node_log_level (settings);
  shell->loop = ev_default_loop (0);
  shell->objects = g_hash_table_new_full (ref_hash, ref_equal, NULL, g_free);
  shell->client = gspan_http_client_new (shell->loop, on_exchange, shell);
  if (!open_listeners (shell, error))
    {
      gspan_shell_free (shell);
      return NULL;
    }
  start_watchers (shell);
  return shell;
}

void
gspan_shell_free (struct GspanShell *shell)
{
  if (shell->udp != NULL)
    gspan_udp_free (shell->udp);
  if (shell->rpc != NULL)
    gspan_rpc_transport_free (shell->rpc);
  if (shell->server != NULL)
    gspan_http_server_free (shell->server);
  gspan_http_client_free (shell->client);
  if (shell->peers != NULL)
    g_array_unref (shell->peers);
  g_hash_table_unref (shell->objects);
  g_free (shell);
}

void
gspan_shell_run (struct GspanShell *shell)
{
  struct GspanLine line;

  gspan_line_init (&line, "serving");
  gspan_line_cstr (&line, "http", shell->settings->http);
  gspan_line_cstr (&line, "rpc", shell->settings->rpc);
  gspan_log_line (&shell->log, GSPAN_PRIORITY_NOTICE, &line);
  ev_run (shell->loop, 0);
  gspan_line_init (&line, "exit");
  gspan_log_line (&shell->log, GSPAN_PRIORITY_NOTICE, &line);
}

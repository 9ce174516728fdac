#include "node/shell.h"

#include <ev.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/log_ring.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/objects.h"
#include "platform/wire.h"
#include "shell/actions.h"
#include "shell/udp.h"

enum
{
  CALLER_IDLE_TIMEOUT_S = 120, /* above the idle time that the configuration allows callers */
  CALLER_READ_TIMEOUT_MS = 60000,
  CALLER_STREAM_MAX = 1 << 20,
  SERVICE_BODY_MAX = 1024, /* of the balancer and of readers of metrics */
  SERVICE_READ_TIMEOUT_MS = 2000,
  RELAY_IDLE_TIMEOUT_S = 20 /* above the age at which the client takes a kept connection no more */
};

#define TICK_BUSY_S 0.02
#define TICK_IDLE_S 0.1
#define DRAIN_LEAST_US (2500 * GSPAN_MS)  /* the balancer takes two questions to notice */
#define ANSWERS_LEAVE_US (200 * GSPAN_MS) /* what was answered last has gone out by then */

struct GspanNodeShell
{
  const struct GspanFleetSettings *settings;
  const char *settings_file;
  const struct GspanMachine *machine;
  struct GspanNode *node;
  struct GspanBudget budget; /* for what callers and other nodes send */
  guint64 refusals_noted;    /* clients that were turned away, as logged last */
  guint64 refusals_noted_at;
  struct GspanLogRing log;
  struct ev_loop *loop;
  struct GspanHttpServer *callers; /* NULL where the node takes no requests */
  struct GspanHttpServer *relay;   /* requests of other nodes; NULL where none are passed on */
  struct GspanHttpServer *ready;   /* NULL as above */
  struct GspanHttpServer *metrics; /* may be NULL */
  struct GspanHttpClient *client;
  struct GspanUdp *udp;
  GHashTable *store_calls; /* operation id to struct GspanStoreCall */
  ev_timer tick;
  ev_signal signals[3];
  guint64 drain_started; /* 0 while serving */
};

static void on_event (void *user, const struct GspanEvent *event);

static gint64
wall_ms (void)
{
  return g_get_real_time () / 1000;
}

static void
log_line (struct GspanNodeShell *shell, enum GspanPriority priority, struct GspanLine *line)
{
  char *text = gspan_line_steal (line);

  gspan_log_ring_add (&shell->log, gspan_clock_now (), "shell", priority, text);
  g_free (text);
}

static void
store_call_free (gpointer data)
{
  gspan_store_call_finish (data);
  g_free (data);
}

static void
do_store (struct GspanNodeShell *shell, struct GspanAction *action)
{
  struct GspanStoreCall *call = g_new0 (struct GspanStoreCall, 1);
  struct GspanActionHttp http = { 0 };
  guint64 *id = g_new (guint64, 1);

  *id = action->ref.id;
  *call = action->u.store;
  action->u.store = (struct GspanStoreCall){ 0 };
  g_hash_table_replace (shell->store_calls, id, call);
  gspan_metrics_add (&shell->node->metrics,
                     gspan_store_op_is_write (call->op) ? GSPAN_METRIC_PLATFORM_WRITES
                                                        : GSPAN_METRIC_PLATFORM_READS,
                     1);
  gspan_headers_init (&http.headers);
  gspan_objects_encode (call, shell->settings->platform, &http);
  http.from_platform = true;
  gspan_http_client_start (shell->client, action->ref, &http);
  gspan_headers_finish (&http.headers);
  g_clear_pointer (&http.body, g_bytes_unref);
  g_free (http.method);
  g_free (http.url);
}

static void
do_action (struct GspanNodeShell *shell, struct GspanAction *action)
{
  switch (action->kind)
    {
    case GSPAN_ACTION_REPLY:
    case GSPAN_ACTION_REPLY_BEGIN:
    case GSPAN_ACTION_REPLY_DATA:
    case GSPAN_ACTION_REPLY_END:
    case GSPAN_ACTION_REPLY_ABORT:
      gspan_actions_reply (action->u.reply.to_node ? shell->relay : shell->callers, action);
      break;
    case GSPAN_ACTION_HTTP:
      gspan_actions_start_http (shell->client, action->ref, &action->u.http, on_event, shell);
      break;
    case GSPAN_ACTION_HTTP_CANCEL:
      gspan_http_client_cancel (shell->client, action->ref);
      break;
    case GSPAN_ACTION_DATAGRAM:
      gspan_udp_send (shell->udp, &action->u.datagram);
      break;
    case GSPAN_ACTION_STORE:
      do_store (shell, action);
      break;
    case GSPAN_ACTION_LOG:
      gspan_log_ring_add (&shell->log, shell->node->now, action->u.log.module,
                          action->u.log.priority, action->u.log.text);
      break;
    case GSPAN_ACTION_OBJECT:
    case GSPAN_ACTION_RPC:
    case GSPAN_ACTION_RPC_REPLY:
      break; /* of the other daemons' controllers, which aren't here */
    }
}

static void
run_event (struct GspanNodeShell *shell, const struct GspanEvent *event)
{
  struct GspanOutbox outbox;

  gspan_outbox_init (&outbox);
  gspan_node_handle (shell->node, event, gspan_clock_now (), wall_ms (), &outbox);
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
log_unreadable (struct GspanNodeShell *shell, const struct GspanStoreCall *call,
                const struct GspanError *error)
{
  struct GspanLine line;

  gspan_line_init (&line, "store-answer-unreadable");
  gspan_line_cstr (&line, "kind", call->kind);
  gspan_line_cstr (&line, "name", call->name != NULL ? call->name : "");
  gspan_line_cstr (&line, "error", error->message);
  log_line (shell, GSPAN_PRIORITY_WARNING, &line);
}

static void
log_store_call (struct GspanNodeShell *shell, const struct GspanStoreCall *call,
                const struct GspanStoreReply *reply, const struct GspanEventHttp *answer)
{
  static const char *const ops[]
      = { "get", "list", "watch", "create", "replace", "set-status", "remove" };
  struct GspanLine line;

  if (shell->log.level < GSPAN_PRIORITY_DEBUG)
    return;
  gspan_line_init (&line, "store-call");
  gspan_line_cstr (&line, "op", ops[call->op]);
  gspan_line_cstr (&line, "kind", call->kind);
  gspan_line_cstr (&line, "name", call->name != NULL ? call->name : "");
  gspan_line_u64 (&line, "from", call->revision);
  gspan_line_cstr (&line, "result", gspan_store_result_name (reply->result));
  gspan_line_int (&line, "status", answer->status);
  gspan_line_u64 (&line, "objects", reply->objects->len);
  gspan_line_u64 (&line, "revision", reply->revision);
  gspan_line_u64 (&line, "sends", reply->send_count);
  gspan_line_u64 (&line, "elapsed_us", answer->elapsed_us);
  log_line (shell, GSPAN_PRIORITY_DEBUG, &line);
}

static void
finish_store (struct GspanNodeShell *shell, struct GspanStoreCall *call,
              const struct GspanEvent *answer)
{
  struct GspanEvent event = { 0 };
  struct GspanError error = { 0 };
  struct GspanStoreReply reply;

  gspan_store_reply_init (&reply);
  gspan_objects_decode (call, &answer->u.http, &reply, &error);
  if (error.code != GSPAN_ERROR_NONE)
    log_unreadable (shell, call, &error);
  log_store_call (shell, call, &reply, &answer->u.http);
  if (gspan_store_op_is_write (call->op) && reply.send_count > 1)
    gspan_metrics_add (&shell->node->metrics, GSPAN_METRIC_PLATFORM_WRITES_REPEATED, 1);
  if (reply.result == GSPAN_STORE_UNAVAILABLE || reply.result == GSPAN_STORE_UNKNOWN)
    gspan_metrics_add (&shell->node->metrics, GSPAN_METRIC_PLATFORM_FAILURES, 1);
  event.kind = GSPAN_EVENT_STORE_DONE;
  event.ref = answer->ref;
  event.u.store.call = call;
  event.u.store.reply = &reply;
  run_event (shell, &event);
  gspan_store_reply_finish (&reply);
}

/* Counts what is wrong with the answer of an upstream. */
static void
count_answer (struct GspanNodeShell *shell, const struct GspanEvent *event)
{
  const struct GspanAnswerTrace *trace = &event->u.http.trace;
  struct GspanMetrics *metrics = &shell->node->metrics;

  if (event->kind != GSPAN_EVENT_HTTP_DONE || event->u.http.status == 0)
    return;
  if (!trace->head_ended || trace->body_bytes < trace->declared_bytes)
    gspan_metrics_add (metrics, GSPAN_METRIC_ANSWERS_CUT, 1);
  if (trace->echo == GSPAN_ECHO_MISSING || trace->echo == GSPAN_ECHO_OTHER)
    gspan_metrics_add (metrics, GSPAN_METRIC_ANSWERS_FOREIGN, 1);
}

static void
on_exchange (void *user, const struct GspanEvent *event)
{
  struct GspanNodeShell *shell = user;
  struct GspanStoreCall *call = g_hash_table_lookup (shell->store_calls, &event->ref.id);
  gpointer key = NULL;

  if (call == NULL)
    {
      count_answer (shell, event);
      run_event (shell, event);
      return;
    }
  if (event->kind != GSPAN_EVENT_HTTP_DONE)
    return;
  g_hash_table_steal_extended (shell->store_calls, &event->ref.id, &key, NULL);
  finish_store (shell, call, event);
  store_call_free (call);
  g_free (key);
}

static void
take_request (struct GspanNodeShell *shell, enum GspanEventKind kind,
              const struct GspanHttpIncoming *incoming)
{
  struct GspanEvent event = gspan_actions_request_event (kind, incoming);

  run_event (shell, &event);
}

static void
take_gone (struct GspanNodeShell *shell, enum GspanEventKind kind, guint64 id)
{
  struct GspanEvent event = gspan_actions_gone_event (kind, id);

  run_event (shell, &event);
}

static void
on_request (void *user, const struct GspanHttpIncoming *incoming)
{
  take_request (user, GSPAN_EVENT_REQUEST, incoming);
}

static void
on_gone (void *user, guint64 id)
{
  take_gone (user, GSPAN_EVENT_CALLER_DISCONNECTED, id);
}

static bool
keeps_body (void *user, const struct GspanHttpIncoming *head)
{
  const struct GspanNodeShell *shell = user;

  return gspan_node_wants_body (shell->node, head->method, head->path, head->headers);
}

static bool
keeps_relay_body (void *user, const struct GspanHttpIncoming *head)
{
  const struct GspanNodeShell *shell = user;

  return gspan_relay_server_admits (shell->node, head->headers);
}

static void
on_relay_request (void *user, const struct GspanHttpIncoming *incoming)
{
  take_request (user, GSPAN_EVENT_RELAY_REQUEST, incoming);
}

static void
on_relay_gone (void *user, guint64 id)
{
  take_gone (user, GSPAN_EVENT_RELAY_SENDER_GONE, id);
}

static void
on_ready_request (void *user, const struct GspanHttpIncoming *incoming)
{
  struct GspanNodeShell *shell = user;
  struct GspanWireTarget target;
  bool ready = gspan_node_ready (shell->node);

  gspan_wire_read_path (incoming->method, incoming->path, incoming->headers, &target);
  if (target.kind == GSPAN_WIRE_PATH_READY)
    gspan_actions_reply_text (shell->ready, incoming->id, ready ? 200 : 503,
                              ready ? "ready\n" : "not ready\n");
  else
    gspan_actions_reply_text (shell->ready, incoming->id, 404, "no such page\n");
  gspan_wire_path_finish (&target);
}

static void
add_refusals (const struct GspanHttpServer *server, struct GspanHttpRefusals *sum)
{
  struct GspanHttpRefusals refusals;

  if (server == NULL)
    return;
  refusals = gspan_http_server_refusals (server);
  sum->too_large += refusals.too_large;
  sum->no_room += refusals.no_room;
  sum->stalled += refusals.stalled;
  sum->surplus += refusals.surplus;
}

/* Clients that were turned away by all servers so far. */
static struct GspanHttpRefusals
refusals_of (const struct GspanNodeShell *shell)
{
  struct GspanHttpRefusals sum = { 0 };

  add_refusals (shell->callers, &sum);
  add_refusals (shell->relay, &sum);
  add_refusals (shell->ready, &sum);
  add_refusals (shell->metrics, &sum);
  return sum;
}

static void
update_refusals (struct GspanNodeShell *shell)
{
  struct GspanHttpRefusals sum = refusals_of (shell);
  struct GspanMetrics *metrics = &shell->node->metrics;

  metrics->values[GSPAN_METRIC_CLIENTS_TOO_LARGE] = sum.too_large;
  metrics->values[GSPAN_METRIC_CLIENTS_NO_ROOM] = sum.no_room;
  metrics->values[GSPAN_METRIC_CLIENTS_STALLED] = sum.stalled;
  metrics->values[GSPAN_METRIC_CLIENTS_SURPLUS] = sum.surplus;
}

static void
on_metrics_request (void *user, const struct GspanHttpIncoming *incoming)
{
  struct GspanNodeShell *shell = user;
  struct GspanMetrics *metrics = &shell->node->metrics;
  char *text;

  if (!gspan_str_equal (incoming->path, GSPAN_STR ("/metrics")))
    {
      gspan_actions_reply_text (shell->metrics, incoming->id, 404, "no such page\n");
      return;
    }
  gspan_node_update_gauges (shell->node);
  metrics->values[GSPAN_METRIC_LOG_LINES_DROPPED] = shell->log.dropped_total;
  update_refusals (shell);
  if (shell->callers != NULL)
    gspan_metrics_set (metrics, GSPAN_GAUGE_OPEN_REQUESTS,
                       gspan_http_server_open_requests (shell->callers));
  text = gspan_metrics_format (metrics);
  gspan_actions_reply_text (shell->metrics, incoming->id, 200, text);
  g_free (text);
}

static void
ignore_gone (void *user, guint64 id)
{
  (void)user;
  (void)id;
}

static bool
is_idle (const struct GspanNodeShell *shell)
{
  if (shell->callers != NULL && gspan_http_server_open_requests (shell->callers) > 0)
    return false;
  if (shell->relay != NULL && gspan_http_server_open_requests (shell->relay) > 0)
    return false;
  return !gspan_node_has_open_work (shell->node) && !shell->node->weights.lease.held;
}

/* One line a second at most tells how many clients were turned away, and why. */
static void
log_refusals (struct GspanNodeShell *shell)
{
  struct GspanHttpRefusals sum = refusals_of (shell);
  guint64 total = sum.too_large + sum.no_room + sum.stalled + sum.surplus;
  guint64 now = gspan_clock_now ();
  struct GspanLine line;

  if (total == shell->refusals_noted || now < shell->refusals_noted_at + GSPAN_SECOND)
    return;
  shell->refusals_noted = total;
  shell->refusals_noted_at = now;
  gspan_line_init (&line, "client-refused");
  gspan_line_u64 (&line, "too_large", sum.too_large);
  gspan_line_u64 (&line, "no_room", sum.no_room);
  gspan_line_u64 (&line, "stalled", sum.stalled);
  gspan_line_u64 (&line, "surplus", sum.surplus);
  gspan_line_u64 (&line, "held_bytes", shell->budget.held);
  log_line (shell, GSPAN_PRIORITY_WARNING, &line);
}

static void
check_drain (struct GspanNodeShell *shell)
{
  guint64 now = gspan_clock_now ();
  guint64 passed = now - shell->drain_started;
  guint64 least = shell->callers != NULL ? DRAIN_LEAST_US : 0;

  if (shell->drain_started == 0)
    return;
  if ((passed >= least && is_idle (shell))
      || now >= gspan_node_answers_until (shell->node) + ANSWERS_LEAVE_US)
    ev_break (shell->loop, EVBREAK_ALL);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct GspanNodeShell *shell = watcher->data;
  struct GspanEvent event = { 0 };

  (void)events;
  event.kind = GSPAN_EVENT_TICK;
  run_event (shell, &event);
  log_refusals (shell);
  gspan_log_ring_flush (&shell->log);
  check_drain (shell);
  watcher->repeat = gspan_node_has_open_work (shell->node) ? TICK_BUSY_S : TICK_IDLE_S;
  ev_timer_again (loop, watcher);
}

static void
start_drain (struct GspanNodeShell *shell)
{
  struct GspanEvent event = { 0 };
  struct GspanLine line;

  if (shell->drain_started != 0)
    return;
  gspan_line_init (&line, "drain");
  gspan_line_u64 (&line, "open_requests",
                  shell->callers != NULL ? gspan_http_server_open_requests (shell->callers) : 0);
  gspan_line_u64 (&line, "runs", g_hash_table_size (shell->node->runner.runs));
  log_line (shell, GSPAN_PRIORITY_NOTICE, &line);
  shell->drain_started = gspan_clock_now ();
  if (shell->callers != NULL)
    gspan_http_server_close_after_answers (shell->callers);
  if (shell->relay != NULL)
    gspan_http_server_close_after_answers (shell->relay);
  event.kind = GSPAN_EVENT_DRAIN;
  run_event (shell, &event);
}

/* Checks the settings file anew; what it holds takes effect with the next start. */
static void
check_settings (struct GspanNodeShell *shell)
{
  struct GspanFleetSettings settings = { 0 };
  struct GspanFindings findings;
  struct GspanLine line;
  char *text;

  gspan_findings_init (&findings);
  gspan_options_load (gspan_fleet_options, gspan_fleet_option_count, shell->settings_file,
                      &settings, &findings);
  text = gspan_findings_format (&findings);
  gspan_line_init (&line, "reload");
  gspan_line_cstr (&line, "file", shell->settings_file);
  gspan_line_u64 (&line, "findings", gspan_findings_count (&findings));
  gspan_line_cstr (&line, "text", text);
  log_line (shell, GSPAN_PRIORITY_NOTICE, &line);
  g_free (text);
  gspan_findings_finish (&findings);
  gspan_options_finish (gspan_fleet_options, gspan_fleet_option_count, &settings);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  if (watcher->signum == SIGHUP)
    check_settings (watcher->data);
  else
    start_drain (watcher->data);
}

static void
start_watchers (struct GspanNodeShell *shell)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

  ev_timer_init (&shell->tick, on_tick, TICK_BUSY_S, TICK_BUSY_S);
  shell->tick.data = shell;
  ev_timer_start (shell->loop, &shell->tick);
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      ev_signal_init (&shell->signals[i], on_signal, numbers[i]);
      shell->signals[i].data = shell;
      ev_signal_start (shell->loop, &shell->signals[i]);
    }
}

/* True where ADDRESS is unset or is listened on now. */
static bool
open_service (struct GspanNodeShell *shell, const char *address,
              void (*request) (void *, const struct GspanHttpIncoming *),
              struct GspanHttpServer **server, struct GspanError *error)
{
  struct GspanHttpHandler handler = { request, ignore_gone, shell, NULL };
  struct GspanHttpLimits limits = {
    .body_max = SERVICE_BODY_MAX,
    .connections = shell->machine->service,
    .idle_timeout_s = CALLER_IDLE_TIMEOUT_S,
    .read_timeout_ms = SERVICE_READ_TIMEOUT_MS,
    .stream_max = CALLER_STREAM_MAX,
    .outputs_max = shell->machine->output_bytes,
  };

  if (address[0] == '\0')
    return true;
  *server = gspan_http_server_new (shell->loop, address, &limits, &handler, error);
  return *server != NULL;
}

static bool
open_listeners (struct GspanNodeShell *shell, struct GspanError *error)
{
  const struct GspanFleetSettings *settings = shell->settings;
  struct GspanHttpHandler handler = { on_request, on_gone, shell, keeps_body };
  struct GspanHttpHandler relay_handler
      = { on_relay_request, on_relay_gone, shell, keeps_relay_body };
  struct GspanHttpLimits limits = {
    .body_max = (size_t)settings->body_max,
    .connections = shell->machine->callers,
    .idle_timeout_s = CALLER_IDLE_TIMEOUT_S,
    .read_timeout_ms = CALLER_READ_TIMEOUT_MS,
    .stream_max = CALLER_STREAM_MAX,
    .outputs_max = shell->machine->output_bytes,
    .budget = &shell->budget,
  };

  if (settings->callers[0] != '\0')
    {
      shell->callers
          = gspan_http_server_new (shell->loop, settings->callers, &limits, &handler, error);
      if (shell->callers == NULL)
        return false;
    }
  if (settings->relay[0] != '\0')
    {
      limits.connections = shell->machine->relay;
      limits.idle_timeout_s = RELAY_IDLE_TIMEOUT_S;
      shell->relay
          = gspan_http_server_new (shell->loop, settings->relay, &limits, &relay_handler, error);
      if (shell->relay == NULL)
        return false;
    }
  if (!open_service (shell, settings->ready, on_ready_request, &shell->ready, error)
      || !open_service (shell, settings->metrics, on_metrics_request, &shell->metrics, error))
    return false;
  shell->udp = gspan_udp_new (shell->loop, settings->peers, on_event, shell, error);
  return shell->udp != NULL;
}

struct GspanNodeShell *
gspan_node_shell_new (const struct GspanFleetSettings *settings, const char *settings_file,
                      const struct GspanMachine *machine, struct GspanNode *node,
                      struct GspanError *error)
{
  struct GspanNodeShell *shell = g_new0 (struct GspanNodeShell, 1);

  shell->settings = settings;
  shell->settings_file = settings_file;
  shell->machine = machine;
  shell->node = node;
  gspan_budget_init (&shell->budget, machine->request_bytes);
  gspan_log_ring_init (&shell->log, STDOUT_FILENO, gspan_fleet_log_level (settings),
                       (guint)settings->log_lines);
  shell->loop = ev_default_loop (0);
  shell->store_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, store_call_free);
  shell->client = gspan_http_client_new (shell->loop, on_exchange, shell);
  gspan_http_client_set_source (shell->client, settings->outgoing);
  gspan_http_client_set_bounds (shell->client, machine->collected_bytes, machine->platform_bytes,
                                machine->kept);
  if (!open_listeners (shell, error))
    {
      gspan_node_shell_free (shell);
      return NULL;
    }
  start_watchers (shell);
  return shell;
}

static void
server_free (struct GspanHttpServer *server)
{
  if (server != NULL)
    gspan_http_server_free (server);
}

void
gspan_node_shell_free (struct GspanNodeShell *shell)
{
  server_free (shell->callers);
  server_free (shell->relay);
  server_free (shell->ready);
  server_free (shell->metrics);
  gspan_http_client_free (shell->client);
  if (shell->udp != NULL) /* what the servers end may tell other nodes */
    gspan_udp_free (shell->udp);
  g_hash_table_unref (shell->store_calls);
  gspan_log_ring_finish (&shell->log);
  g_free (shell);
}

void
gspan_node_shell_run (struct GspanNodeShell *shell)
{
  struct GspanLine line;

  gspan_line_init (&line, "start");
  gspan_line_cstr (&line, "vm", shell->settings->name);
  gspan_line_cstr (&line, "zone", shell->settings->zone);
  gspan_line_cstr (&line, "callers", shell->settings->callers);
  gspan_line_u64 (&line, "incarnation", shell->node->incarnation);
  log_line (shell, GSPAN_PRIORITY_NOTICE, &line);
  ev_run (shell->loop, 0);
  gspan_line_init (&line, "stop");
  gspan_line_u64 (&line, "drained_us", gspan_clock_now () - shell->drain_started);
  log_line (shell, GSPAN_PRIORITY_NOTICE, &line);
}

#include "gateway/gateway.h"

#include <string.h>

#include "catalog/pick.h"
#include "common/clock.h"
#include "gateway/answers.h"
#include "gateway/attempts.h"
#include "gateway/authorize.h"
#include "gateway/resume.h"
#include "node/node.h"
#include "platform/wire.h"

#define DEADLINE_DEFAULT_US (60 * GSPAN_SECOND) /* of a call whose caller and route name none */
#define STARTING_WAIT_US (500 * GSPAN_MS)       /* until a starting node knows its configuration */

static const char stopping[] = "this node is shutting down";

void
gspan_gateway_init (struct GspanGateway *gateway, bool has_share, guint share_percent)
{
  gspan_hedging_init (&gateway->hedging, has_share, share_percent);
  gateway->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, gspan_call_free);
  gateway->by_request = g_hash_table_new (g_int64_hash, g_int64_equal);
  gateway->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, gspan_attempt_free);
}

void
gspan_gateway_finish (struct GspanGateway *gateway)
{
  gspan_hedging_finish (&gateway->hedging);
  g_hash_table_unref (gateway->attempts);
  g_hash_table_unref (gateway->by_request);
  g_hash_table_unref (gateway->calls);
}

bool
gspan_gateway_has_calls (const struct GspanGateway *gateway)
{
  return g_hash_table_size (gateway->calls) > 0;
}

void
gspan_gateway_reply_error (guint64 request, int status, const char *text,
                           struct GspanOutbox *outbox)
{
  gspan_outbox_reply_error (outbox, request, status, "request", text);
}

void
gspan_gateway_refuse (struct GspanNode *node, guint64 request, const char *why, guint64 wait_us,
                      struct GspanOutbox *outbox)
{
  struct GspanAction *action = gspan_outbox_reply_error (outbox, request, 503, "request", why);

  gspan_metrics_add (&node->metrics, GSPAN_METRIC_DESK_NOT_RUN, 1);
  gspan_wire_add_retry_after (&action->u.reply.headers, wait_us);
}

void
gspan_gateway_refuse_while_starting (struct GspanNode *node, guint64 request,
                                     struct GspanOutbox *outbox)
{
  gspan_gateway_refuse (node, request, "this node is starting", STARTING_WAIT_US, outbox);
}

/* Answers at once that the call has not run, and when it may come back. */
static void
refuse_poison (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  static const char why[] = "its content crashes replicas";
  guint64 wait_us = gspan_call_refused_until (node, call) - node->now;

  gspan_call_log (node, call, "call-not-run", why, 503, outbox);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_DESK_POISON, 1);
  gspan_gateway_refuse (node, call->request, why, wait_us, outbox);
  gspan_call_forget (node, call, outbox);
}

/* Another node takes the caller's next try at once. */
static void
refuse_while_stopping (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  gspan_call_log (node, call, "call-not-run", stopping, 503, outbox);
  gspan_gateway_refuse (node, call->request, stopping, 0, outbox);
  gspan_call_forget (node, call, outbox);
}

/* Why CALL, which no replica takes now, is refused. */
static const char *
why_refused (const struct GspanNode *node, struct GspanCall *call)
{
  if (!gspan_authorize_call_again (node, call))
    return "its API key has been taken away";
  if (call->refusal != NULL)
    return call->refusal;
  if (call->retry_at != 0)
    return "no replica has room within its limit";
  return node->links.cut ? "this node reaches no replica" : "no replica is up";
}

static void
start_first (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  if (!gspan_attempts_try_next (node, call, outbox))
    gspan_call_give_up (node, call, why_refused (node, call), 502, outbox);
}

static void
resume_stream (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  if (gspan_resume_prepare (node, call, outbox))
    start_first (node, call, outbox);
}

static guint64
deadline_of (const struct GspanNode *node, const struct GspanWireRequest *wire,
             const struct GspanConfigRoute *route)
{
  guint64 limit = wire->timeout_us > 0 ? wire->timeout_us : DEADLINE_DEFAULT_US;

  if (route->timeout_us > 0)
    limit = MIN (limit, route->timeout_us);
  return node->now + limit;
}

static void
set_account (struct GspanNode *node, struct GspanCall *call, struct GspanAccountCheck *check,
             const struct GspanConfigRoute *route)
{
  call->is_anonymous = route->allow_anonymous;
  call->key_digest = g_steal_pointer (&check->digest);
  call->account = check->account != NULL ? g_strdup (check->account->name) : NULL;
  if (node->catalog.config.accounts.enabled)
    gspan_wire_set_account (&call->headers, NULL); /* the key is kept nowhere */
}

static void
start_call (struct GspanNode *node, const struct GspanEventRequest *request,
            const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
            struct GspanAccountCheck *check, struct GspanOutbox *outbox)
{
  const char *service = gspan_config_pick_service (route, g_rand_int (node->random));
  struct GspanCall *call = g_new0 (struct GspanCall, 1);

  call->id = gspan_node_next_id (node);
  call->request = request->request;
  call->caller_id = gspan_str_dup (wire->attempt_id);
  call->route = g_strdup (route->name);
  call->service = g_strdup (service != NULL ? service : "");
  call->method = gspan_str_dup (request->method);
  call->path = gspan_str_dup (request->path);
  gspan_headers_init (&call->headers);
  for (guint i = 0; i < request->headers->items->len; i++)
    g_ptr_array_add (call->headers.items,
                     g_strdup (g_ptr_array_index (request->headers->items, i)));
  set_account (node, call, check, route);
  call->body = g_bytes_ref (request->body);
  call->fingerprint = gspan_poison_requests_fingerprint (call->service, call->path,
                                                         gspan_str_from_bytes (request->body));
  call->started = node->now;
  call->state.repeat = route->repeat;
  call->state.target_latency_us = route->target_us;
  call->state.deadline_us = deadline_of (node, wire, route);
  call->state.attempts_max = route->attempts_max;
  call->stream = route->stream;
  call->last_event = wire->last_event_id;
  call->tried = g_ptr_array_new_with_free_func (g_free);
  call->open = g_ptr_array_new ();
  gspan_events_init (&call->events, NULL);
  g_hash_table_insert (node->gateway.calls, &call->id, call);
  g_hash_table_insert (node->gateway.by_request, &call->request, call);
  if (wire->last_event_id > 0 && route->repeat == GSPAN_REPEAT_RESUMED)
    call->resumes = gspan_str_dup (wire->resumes);
  if (call->state.deadline_us > gspan_node_answers_until (node))
    refuse_while_stopping (node, call, outbox);
  else if (gspan_call_refused_until (node, call) != 0)
    refuse_poison (node, call, outbox);
  else if (call->resumes != NULL)
    resume_stream (node, call, outbox);
  else
    start_first (node, call, outbox);
}

/* Takes a request whose caller may use ROUTE. */
static void
take_allowed (struct GspanNode *node, const struct GspanEventRequest *request,
              const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
              struct GspanAccountCheck *check, struct GspanOutbox *outbox)
{
  const char *account = check->account != NULL ? check->account->name : NULL;

  if (request->body_dropped) /* it had no route, or its key no account, as its head came */
    gspan_gateway_refuse (node, request->request, "its body wasn't kept", 0, outbox);
  else if (route->repeat == GSPAN_REPEAT_BATCH)
    gspan_jobs_submit (node, request, wire, route, account, outbox);
  else
    start_call (node, request, wire, route, check, outbox);
}

static void
on_request (struct GspanNode *node, const struct GspanEventRequest *request,
            struct GspanOutbox *outbox)
{
  const struct GspanConfigRoute *route;
  struct GspanAccountCheck check = { 0 };
  struct GspanWireRequest wire;

  gspan_metrics_add (&node->metrics, GSPAN_METRIC_DESK_REQUESTS, 1);
  if (!gspan_catalog_known (&node->catalog))
    {
      gspan_gateway_refuse_while_starting (node, request->request, outbox);
      return;
    }
  gspan_wire_read_request (request->headers, &wire);
  route = gspan_config_match (&node->catalog.config, wire.host, request->path);
  if (route == NULL)
    gspan_gateway_reply_error (request->request, 404, "no route has this host and path", outbox);
  else if (gspan_authorize_request (node, request, route, &check, outbox))
    take_allowed (node, request, &wire, route, &check, outbox);
  gspan_account_check_finish (&check);
}

/* True if the call may crash replicas. It is then sent to one at a time. */
static bool
may_crash (const struct GspanNode *node, const struct GspanCall *call)
{
  return gspan_poison_requests_crash_count (&node->poison_requests, call->fingerprint, node->now)
         >= GSPAN_POISON_CRASH_THRESHOLD;
}

static void
note_timeouts (struct GspanNode *node, const struct GspanCall *call)
{
  for (guint i = 0; i < call->open->len; i++)
    gspan_hedging_note_timeout (node, g_ptr_array_index (call->open, i));
}

static void
check_call (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  call->state.now = node->now;
  call->state.open_attempts = call->open->len;
  if (node->now >= call->state.deadline_us)
    {
      note_timeouts (node, call);
      gspan_call_note_silence (node, call, outbox);
      /* an attempt that is still open when time is up may have run */
      call->may_have_run = call->may_have_run || call->open->len > 0;
      gspan_call_give_up (node, call, "time is up", 504, outbox);
    }
  else if (node->now >= gspan_node_answers_until (node))
    {
      gspan_call_note_silence (node, call, outbox);
      gspan_call_give_up (node, call, stopping, 502, outbox);
    }
  else if (call->resumes != NULL)
    resume_stream (node, call, outbox);
  else if (call->open->len == 0)
    {
      if (!gspan_attempts_try_next (node, call, outbox))
        gspan_call_give_up (node, call, why_refused (node, call), 502, outbox);
    }
  else
    {
      gspan_call_note_long_silence (node, call, outbox);
      if (!may_crash (node, call))
        gspan_hedging_check (node, call, outbox);
    }
}

static gint
compare_calls (gconstpointer a, gconstpointer b)
{
  const struct GspanCall *x = a;
  const struct GspanCall *y = b;

  return x->id < y->id ? -1 : x->id > y->id;
}

static void
on_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *calls = g_list_sort (g_hash_table_get_values (node->gateway.calls), compare_calls);

  for (GList *item = calls; item != NULL; item = item->next)
    check_call (node, item->data, outbox);
  g_list_free (calls);
}

void
gspan_gateway_send_waiting (struct GspanNode *node, struct GspanOutbox *outbox)
{
  on_tick (node, outbox);
}

void
gspan_gateway_replica_ended (struct GspanNode *node, const struct GspanReplica *replica,
                             struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->gateway.attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanAttempt *attempt = value;

      if (attempt->replica == replica && !gspan_attempt_has_answer (attempt))
        gspan_crash_reports_note (node, attempt->call->fingerprint, attempt->replica,
                                  GSPAN_POISON_CRASHED, outbox);
    }
}

void
gspan_gateway_handle (struct GspanNode *node, const struct GspanEvent *event,
                      struct GspanOutbox *outbox)
{
  struct GspanAttempt *attempt = g_hash_table_lookup (node->gateway.attempts, &event->ref.id);
  struct GspanCall *call;

  if (event->kind == GSPAN_EVENT_REQUEST)
    on_request (node, &event->u.request, outbox);
  else if (event->kind == GSPAN_EVENT_TICK)
    on_tick (node, outbox);
  else if (event->kind == GSPAN_EVENT_CALLER_DISCONNECTED)
    {
      call = g_hash_table_lookup (node->gateway.by_request, &event->u.disconnected_request);
      if (call == NULL)
        return;
      gspan_call_log (node, call, "call-gone", "caller left", 0, outbox);
      gspan_call_note_silence (node, call, outbox);
      gspan_call_forget (node, call, outbox);
    }
  else if (attempt == NULL)
    return;
  else if (event->kind == GSPAN_EVENT_HTTP_HEAD)
    gspan_answers_handle_head (node, attempt, &event->u.http, outbox);
  else if (event->kind == GSPAN_EVENT_HTTP_DATA)
    gspan_answers_handle_data (node, attempt, &event->u.http, outbox);
  else if (event->kind == GSPAN_EVENT_HTTP_DONE)
    gspan_answers_handle_done (node, attempt, &event->u.http, outbox);
}

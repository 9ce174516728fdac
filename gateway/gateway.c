#include "gateway/gateway.h"

#include <string.h>

#include "catalog/pick.h"
#include "common/clock.h"
#include "common/events.h"
#include "gateway/hedge.h"
#include "node/node.h"
#include "platform/wire.h"

#define DEADLINE_DEFAULT_US (60 * GSPAN_SECOND) /* of a call whose caller and route name none */
#define BUSY_WAIT_US (100 * GSPAN_MS)           /* until a busy replica has a place, with a lot */
#define LONG_SILENCE_US (GSPAN_SECOND)          /* of an attempt, at least */
#define ORIGIN_WAIT_US (60 * GSPAN_MS)          /* for other nodes' answers about a stream */
#define VERSION_GONE_WAIT_US (GSPAN_SECOND)     /* until a stream's version may be back */
#define STARTING_WAIT_US (500 * GSPAN_MS)       /* until a starting node knows its configuration */

enum
{
  KEPT_BODY_MAX = 1 << 20, /* bytes of a stream's answer that isn't passed on as it comes */
  LONG_SILENCE_TARGETS = 4 /* of the route's target latency; callers of streams leave then */
};

struct GspanCall
{
  guint64 id;
  guint64 request;
  char *caller_id;
  char *route;
  char *service;
  char *method;
  char *path;
  struct GspanHeaders headers;
  GBytes *body;
  guint64 fingerprint;
  guint64 started;
  struct GspanHedgeState state;
  GPtrArray *tried; /* ids of replicas */
  GPtrArray *open;  /* struct GspanAttempt */
  char *waits_at;   /* id of the replica that it waits for a permit of; NULL is none */
  guint64 retry_at; /* none is to be had in time before then; 0 is not known */
  bool may_have_run;
  bool stream;
  bool answered;
  bool has_events;    /* of a stream: some have been passed on */
  guint64 last_event; /* passed on to the caller, of a stream */
  struct GspanEvents events;
  char *software; /* version that the stream goes on at; NULL is any */
  char *resumes;  /* attempt that brought the first event of a stream taken up; NULL is none */
  guint64 origin_until; /* RESUMES is asked for until then; 0 is not asked */
};

struct GspanAttempt
{
  guint64 id;
  struct GspanCall *call;
  struct GspanReplica *replica;
  guint64 sent;
  bool is_suspect; /* the request may crash the replica */
  GString *body;   /* of a stream's answer that isn't passed on as it comes */
  guint pieces;    /* of a stream's answer, received so far */
  bool has_head;   /* the answer's head has come */
  bool is_silent;  /* reported as silent (gateway/crash_reports.h) */
};

static void
attempt_free (gpointer data)
{
  struct GspanAttempt *attempt = data;

  attempt->replica->open--;
  attempt->replica->suspects -= attempt->is_suspect;
  gspan_replica_unref (attempt->replica);
  g_string_free (attempt->body, TRUE);
  g_free (attempt);
}

static void
call_free (gpointer data)
{
  struct GspanCall *call = data;

  g_free (call->caller_id);
  g_free (call->route);
  g_free (call->service);
  g_free (call->method);
  g_free (call->path);
  gspan_headers_finish (&call->headers);
  g_bytes_unref (call->body);
  g_ptr_array_unref (call->tried);
  g_ptr_array_unref (call->open);
  g_free (call->waits_at);
  g_free (call->software);
  g_free (call->resumes);
  gspan_events_finish (&call->events);
  g_free (call);
}

void
gspan_gateway_init (struct GspanGateway *gateway)
{
  gateway->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  gateway->by_request = g_hash_table_new (g_int64_hash, g_int64_equal);
  gateway->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, attempt_free);
}

void
gspan_gateway_finish (struct GspanGateway *gateway)
{
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

/* "content" is the same for all tries of a request at any node; "crashes" counts against it. */
static void
log_content (const struct GspanNode *node, const struct GspanCall *call, struct GspanLine *line)
{
  char *content = gspan_poison_fingerprint_format (call->fingerprint);

  gspan_line_cstr (line, "content", content);
  gspan_line_u64 (
      line, "crashes",
      gspan_poison_requests_crash_count (&node->poison_requests, call->fingerprint, node->now));
  g_free (content);
}

static void
log_call (const struct GspanNode *node, const struct GspanCall *call, const char *event,
          const char *outcome, int status, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "route", call->route);
  gspan_line_cstr (&line, "service", call->service);
  gspan_line_cstr (&line, "outcome", outcome);
  gspan_line_int (&line, "status", status);
  gspan_line_u64 (&line, "attempts", call->state.attempts);
  gspan_line_u64 (&line, "open", call->open->len);
  log_content (node, call, &line);
  gspan_line_u64 (&line, "elapsed_us", node->now - call->started);
  gspan_line_u64 (&line, "config", node->catalog.config.number);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

static void
forget_attempt (struct GspanNode *node, struct GspanAttempt *attempt)
{
  g_ptr_array_remove_fast (attempt->call->open, attempt);
  g_hash_table_remove (node->gateway.attempts, &attempt->id);
}

/* True if so much of the answer has come that the request can't have crashed the replica. */
static bool
has_answer (const struct GspanAttempt *attempt)
{
  return attempt->pieces > 1;
}

/* Reports the open attempts, which are about to be cancelled without an answer. */
static void
note_silence (struct GspanNode *node, const struct GspanCall *call, struct GspanOutbox *outbox)
{
  for (guint i = 0; i < call->open->len; i++)
    {
      const struct GspanAttempt *attempt = g_ptr_array_index (call->open, i);

      if (!has_answer (attempt))
        gspan_crash_reports_note_silence (node, call->fingerprint, attempt->replica,
                                          node->now - attempt->sent, outbox);
    }
}

/* Reports open attempts that have been silent for far longer than usual. They stay open. */
static void
note_long_silence (struct GspanNode *node, const struct GspanCall *call, struct GspanOutbox *outbox)
{
  guint64 limit = MAX (LONG_SILENCE_US, call->state.target_latency_us * LONG_SILENCE_TARGETS);

  for (guint i = 0; i < call->open->len; i++)
    {
      struct GspanAttempt *attempt = g_ptr_array_index (call->open, i);

      if (attempt->is_silent || has_answer (attempt) || node->now < attempt->sent + limit)
        continue;
      attempt->is_silent = true;
      gspan_crash_reports_note (node, call->fingerprint, attempt->replica, GSPAN_POISON_SUSPECTED,
                                outbox);
    }
}

static void
cancel_attempts (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  while (call->open->len > 0)
    {
      struct GspanAttempt *attempt = g_ptr_array_index (call->open, 0);
      struct GspanRef ref = { GSPAN_OWNER_GATEWAY, attempt->id };

      gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
      forget_attempt (node, attempt);
    }
}

static void
forget_call (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  cancel_attempts (node, call, outbox);
  g_hash_table_remove (node->gateway.by_request, &call->request);
  g_hash_table_remove (node->gateway.calls, &call->id);
}

static void
observe (struct GspanNode *node, const struct GspanCall *call, enum GspanMetric metric)
{
  gspan_metrics_add (&node->metrics, metric, 1);
  gspan_metrics_observe (&node->metrics, GSPAN_HISTOGRAM_DESK, node->now - call->started);
}

/* Final answer to a call that no replica answered. */
static void
give_up (struct GspanNode *node, struct GspanCall *call, const char *why, int status_if_run,
         struct GspanOutbox *outbox)
{
  guint64 soonest = gspan_pick_retry_at (node->catalog.replicas, call->service, node->now);
  guint64 wait;
  struct GspanAction *action;

  soonest = MAX (soonest, call->retry_at);
  wait = soonest > node->now ? soonest - node->now : 0;
  wait += BUSY_WAIT_US + g_rand_int_range (node->random, 0, (gint32)BUSY_WAIT_US);
  if (call->state.response_started)
    {
      log_call (node, call, "call-cut", why, 0, outbox);
      observe (node, call, GSPAN_METRIC_DESK_UNKNOWN);
      action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_ABORT, (struct GspanRef){ 0 });
      action->u.reply.request = call->request;
    }
  else if (call->may_have_run || call->open->len > 0)
    {
      log_call (node, call, "call-unknown", why, status_if_run, outbox);
      observe (node, call, GSPAN_METRIC_DESK_UNKNOWN);
      gspan_gateway_reply_error (call->request, status_if_run, why, outbox);
    }
  else
    {
      log_call (node, call, "call-not-run", why, 503, outbox);
      gspan_gateway_refuse (node, call->request, why, wait, outbox);
    }
  forget_call (node, call, outbox);
}

/* True if something counts against the call's content. */
static bool
is_suspect (const struct GspanNode *node, const struct GspanCall *call)
{
  return gspan_poison_requests_crash_count (&node->poison_requests, call->fingerprint, node->now)
         > 0;
}

/* Replicas that lack only a permit are added to WITHOUT_PERMIT, unless it is NULL. */
static struct GspanReplica *
pick (struct GspanNode *node, const struct GspanCall *call, bool last_resort,
      GPtrArray *without_permit)
{
  struct GspanPickQuery query = { 0 };
  struct GspanReplica *replica;

  query.service = call->service;
  query.now = node->now;
  query.zone = node->self.zone;
  query.tried = call->tried;
  query.draw = g_rand_int (node->random);
  query.is_suspect = is_suspect (node, call);
  query.last_resort = last_resort;
  query.software = call->software;
  query.limits = &node->rate_limits;
  query.traffic = GSPAN_TRAFFIC_CALLS;
  replica = query.is_suspect ? gspan_pick_replica (node->catalog.replicas, &query) : NULL;
  if (replica != NULL)
    return replica;
  query.is_suspect = false;
  query.without_permit = without_permit;
  return gspan_pick_replica (node->catalog.replicas, &query);
}

static void
send_attempt (struct GspanNode *node, struct GspanCall *call, struct GspanReplica *replica,
              struct GspanOutbox *outbox)
{
  struct GspanAttempt *attempt = g_new0 (struct GspanAttempt, 1);
  struct GspanRef ref = { GSPAN_OWNER_GATEWAY, gspan_node_next_id (node) };
  struct GspanActionHttp *http
      = gspan_permits_send (node, replica, GSPAN_TRAFFIC_CALLS, ref, outbox);
  struct GspanLine line;

  g_clear_pointer (&call->waits_at, g_free);
  attempt->id = ref.id;
  attempt->call = call;
  attempt->replica = gspan_replica_ref (replica);
  attempt->sent = node->now;
  attempt->body = g_string_new (NULL);
  gspan_events_reset (&call->events);
  attempt->is_suspect = is_suspect (node, call);
  replica->open++;
  replica->suspects += attempt->is_suspect;
  g_hash_table_insert (node->gateway.attempts, &attempt->id, attempt);
  g_ptr_array_add (call->open, attempt);
  g_ptr_array_add (call->tried, g_strdup (replica->id));
  call->state.attempts++;
  call->state.last_sent_at_us = node->now;
  if (call->state.attempts > 1)
    gspan_metrics_add (&node->metrics, GSPAN_METRIC_DESK_RETRIES, 1);
  http->method = g_strdup (call->method);
  http->url = g_strdup_printf ("http://%s%s", replica->address, call->path);
  http->body = g_bytes_ref (call->body);
  http->timeout_us = call->state.deadline_us - node->now;
  http->new_connection = call->state.repeat == GSPAN_REPEAT_FORBIDDEN;
  http->stream = call->stream;
  http->http_framing_only = true;
  http->tcp_keepalive = true;
  http->required_header = call->caller_id[0] != '\0'
                              ? gspan_wire_attempt_id_line (gspan_str_from (call->caller_id))
                              : NULL;
  gspan_wire_write_attempt_headers (&call->headers, replica->id, http->timeout_us,
                                    call->state.response_started ? call->last_event : 0,
                                    &http->headers);
  gspan_line_init (&line, "call-attempt");
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "upstream", replica->id);
  gspan_line_cstr (&line, "software", replica->software);
  gspan_line_u64 (&line, "attempt", call->state.attempts);
  gspan_line_u64 (&line, "last_event", call->last_event);
  gspan_line_u64 (&line, "open_there", replica->open);
  gspan_line_u64 (&line, "list_age_us", gspan_catalog_replicas_age (&node->catalog, node->now));
  gspan_line_u64 (&line, "left_us", http->timeout_us);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

/* Time until which the call is refused because its content crashes replicas; 0 if it isn't. */
static guint64
refused_until (const struct GspanNode *node, const struct GspanCall *call)
{
  return gspan_poison_requests_refused_until (&node->poison_requests, call->fingerprint, node->now);
}

/* Number of calls before CALL that wait for a permit of REPLICA. */
static guint
count_waiting_before (const struct GspanNode *node, const struct GspanCall *call,
                      const struct GspanReplica *replica)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->gateway.calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanCall *other = value;

      count += other->id < call->id && g_strcmp0 (other->waits_at, replica->id) == 0;
    }
  return count;
}

/* When CALL may be sent to REPLICA, as far as is known after asking for a permit. */
static guint64
ask_for_permit (struct GspanNode *node, const struct GspanCall *call,
                const struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  guint rank = count_waiting_before (node, call, replica);

  gspan_permits_want (node, replica, GSPAN_TRAFFIC_CALLS, rank + 1, outbox);
  return gspan_permits_expected_at (node, replica, GSPAN_TRAFFIC_CALLS, rank);
}

static void
log_wait (const struct GspanNode *node, const struct GspanCall *call, guint64 until,
          struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "call-waits");
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "upstream", call->waits_at);
  gspan_line_u64 (&line, "expected_us", until - node->now);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

static void
set_waits_at (const struct GspanNode *node, struct GspanCall *call,
              const struct GspanReplica *replica, guint64 expected_at, struct GspanOutbox *outbox)
{
  if (g_strcmp0 (call->waits_at, replica->id) == 0)
    return;
  g_free (call->waits_at);
  call->waits_at = g_strdup (replica->id);
  log_wait (node, call, expected_at, outbox);
}

/* Index of the replica that CALL asks first: the one it waits for, else one by lot. */
static guint
first_candidate (const struct GspanCall *call, const GPtrArray *candidates)
{
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct GspanReplica *replica = g_ptr_array_index (candidates, i);

      if (g_strcmp0 (call->waits_at, replica->id) == 0)
        return i;
    }
  return (guint)(call->id % MAX (1, candidates->len));
}

/*
 * Has CALL wait for a permit of one of CANDIDATES, which lack only that. False if none is to be had
 * soon enough: RETRY_AT then says when that changes.
 */
static bool
wait_for_permit (struct GspanNode *node, struct GspanCall *call, const GPtrArray *candidates,
                 struct GspanOutbox *outbox)
{
  guint64 reach_us = gspan_permits_reach_us (GSPAN_TRAFFIC_CALLS);
  guint64 latest = MIN (node->now + reach_us, call->state.deadline_us);
  guint first = first_candidate (call, candidates);
  guint64 soonest = G_MAXUINT64;

  for (guint i = 0; i < candidates->len; i++)
    {
      const struct GspanReplica *replica
          = g_ptr_array_index (candidates, (first + i) % candidates->len);
      guint64 expected_at = ask_for_permit (node, call, replica, outbox);

      soonest = MIN (soonest, expected_at);
      if (expected_at > latest)
        continue;
      set_waits_at (node, call, replica, expected_at, outbox);
      return true;
    }
  g_clear_pointer (&call->waits_at, g_free);
  if (candidates->len > 0)
    call->retry_at = soonest - MIN (soonest, reach_us);
  return false;
}

/*
 * Starts another attempt, or has the call wait for the time that a replica's limit leaves for it.
 * False where there is no replica for it.
 */
static bool
try_next (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  GPtrArray *without_permit;
  struct GspanReplica *replica;
  bool waits = false;

  call->retry_at = 0;
  if (refused_until (node, call) != 0)
    return false;
  without_permit = g_ptr_array_new ();
  replica = pick (node, call, false, without_permit);
  if (replica == NULL)
    waits = wait_for_permit (node, call, without_permit, outbox);
  g_ptr_array_unref (without_permit);
  if (replica == NULL)
    replica = pick (node, call, !waits, NULL);
  if (replica != NULL)
    send_attempt (node, call, replica, outbox);
  return replica != NULL || waits;
}

/* Answers at once that the call has not run, and when it may come back. */
static void
refuse_poison (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  static const char why[] = "its content crashes replicas";
  guint64 wait_us = refused_until (node, call) - node->now;

  log_call (node, call, "call-not-run", why, 503, outbox);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_DESK_POISON, 1);
  gspan_gateway_refuse (node, call->request, why, wait_us, outbox);
  forget_call (node, call, outbox);
}

static void
start_first (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  if (!try_next (node, call, outbox))
    give_up (node, call, "no replica is up", 502, outbox);
}

static void
refuse_resumption (struct GspanNode *node, struct GspanCall *call, const char *why,
                   struct GspanOutbox *outbox)
{
  log_call (node, call, "call-not-run", why, 503, outbox);
  gspan_gateway_refuse (node, call->request, why, VERSION_GONE_WAIT_US, outbox);
  forget_call (node, call, outbox);
}

/*
 * Goes on with a stream that the caller takes up again, at the software version that began it. If
 * that isn't known here, the other nodes are asked first.
 */
static void
resume_stream (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  const char *software = gspan_streams_find (&node->streams, call->resumes);

  if (software == NULL && gspan_streams_is_mixed (node, call->service))
    {
      if (call->origin_until == 0)
        {
          call->origin_until = MIN (node->now + ORIGIN_WAIT_US, call->state.deadline_us);
          gspan_streams_ask (node, call->resumes, outbox);
        }
      else if (node->now >= call->origin_until)
        refuse_resumption (node, call, "the version that began the stream isn't known", outbox);
      return;
    }
  g_clear_pointer (&call->resumes, g_free);
  call->software = g_strdup (software);
  if (software != NULL
      && !gspan_pick_has_software (node->catalog.replicas, call->service, software))
    refuse_resumption (node, call, "no replica of the version that began the stream", outbox);
  else
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
start_call (struct GspanNode *node, const struct GspanEventRequest *request,
            const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
            struct GspanOutbox *outbox)
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
  if (refused_until (node, call) != 0)
    refuse_poison (node, call, outbox);
  else if (call->resumes != NULL)
    resume_stream (node, call, outbox);
  else
    start_first (node, call, outbox);
}

static void
on_request (struct GspanNode *node, const struct GspanEventRequest *request,
            struct GspanOutbox *outbox)
{
  const struct GspanConfigRoute *route;
  struct GspanWireRequest wire;

  gspan_metrics_add (&node->metrics, GSPAN_METRIC_DESK_REQUESTS, 1);
  if (!gspan_catalog_known (&node->catalog))
    {
      gspan_gateway_refuse (node, request->request, "this node is starting", STARTING_WAIT_US,
                            outbox);
      return;
    }
  gspan_wire_read_request (request->headers, &wire);
  route = gspan_config_match (&node->catalog.config, wire.host, request->path);
  if (route == NULL)
    gspan_gateway_reply_error (request->request, 404, "no route has this host and path", outbox);
  else if (route->repeat == GSPAN_REPEAT_BATCH)
    gspan_jobs_submit (node, request, &wire, route, outbox);
  else
    start_call (node, request, &wire, route, outbox);
}

static void
copy_answer_headers (const struct GspanHeaders *from, struct GspanHeaders *to)
{
  for (guint i = 0; i < from->items->len; i++)
    {
      const char *line = g_ptr_array_index (from->items, i);

      if (!gspan_wire_is_hop_by_hop_header (line))
        g_ptr_array_add (to->items, g_strdup (line));
    }
}

/* Passes a replica's whole answer on and ends the call. */
static void
pass_answer (struct GspanNode *node, struct GspanCall *call, const struct GspanEventHttp *answer,
             GBytes *body, struct GspanOutbox *outbox)
{
  bool good = answer->status >= 200 && answer->status < 300;
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY, (struct GspanRef){ 0 });

  action->u.reply.request = call->request;
  action->u.reply.status = answer->status;
  action->u.reply.body = g_bytes_ref (body);
  copy_answer_headers (answer->headers, &action->u.reply.headers);
  log_call (node, call, "call-answered", good ? "complete" : "failed", answer->status, outbox);
  observe (node, call, good ? GSPAN_METRIC_DESK_COMPLETE : GSPAN_METRIC_DESK_FAILED);
  forget_call (node, call, outbox);
}

static void
end_stream (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_END, (struct GspanRef){ 0 });

  action->u.reply.request = call->request;
  log_call (node, call, "call-answered", "complete", 200, outbox);
  observe (node, call, GSPAN_METRIC_DESK_COMPLETE);
  forget_call (node, call, outbox);
}

static void
log_failure (const struct GspanNode *node, const struct GspanAttempt *attempt,
             const struct GspanEventHttp *answer, bool not_run, struct GspanOutbox *outbox)
{
  static const char *const results[] = { "whole", "not-sent", "lost", "timeout", "too-long" };
  struct GspanLine line;

  gspan_line_init (&line, "call-attempt-failed");
  gspan_line_cstr (&line, "id", attempt->call->caller_id);
  gspan_line_cstr (&line, "upstream", attempt->replica->id);
  log_content (node, attempt->call, &line);
  gspan_line_cstr (&line, "result", results[answer->result]);
  gspan_line_int (&line, "status", answer->status);
  gspan_line_cstr (&line, "ran", not_run ? "no" : "maybe");
  gspan_line_u64 (&line, "elapsed_us", answer->elapsed_us);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

/* Records what the failed attempt shows of its replica and of its request. */
static void
blame (struct GspanNode *node, const struct GspanAttempt *attempt,
       const struct GspanEventHttp *answer, const struct GspanWireResponse *wire,
       struct GspanOutbox *outbox)
{
  struct GspanReplica *replica = attempt->replica;
  guint64 content = attempt->call->fingerprint;

  replica->misdirected = replica->misdirected || wire->misdirected;
  if (answer->result != GSPAN_HTTP_COMPLETE)
    gspan_replica_failed (replica, node->now);
  if (has_answer (attempt))
    return;
  if (answer->result == GSPAN_HTTP_LOST)
    gspan_crash_reports_note (node, content, replica, GSPAN_POISON_SUSPECTED, outbox);
  else if (answer->result == GSPAN_HTTP_TIMEOUT)
    gspan_crash_reports_note_silence (node, content, replica, node->now - attempt->sent, outbox);
}

static const char *
why_failed (const struct GspanEventHttp *answer, bool not_run)
{
  if (not_run)
    return "every replica is busy";
  return answer->result == GSPAN_HTTP_TOO_LONG ? "the answer was too long" : "the answer was lost";
}

static void
on_done (struct GspanNode *node, struct GspanAttempt *attempt, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanCall *call = attempt->call;
  bool whole = answer->result == GSPAN_HTTP_COMPLETE;
  bool good = whole && answer->status >= 200 && answer->status < 300;
  struct GspanWireResponse wire;
  bool not_run;
  GBytes *body;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  gspan_leaving_note_answer (node, attempt->replica, &wire, outbox);
  if (!attempt->has_head)
    gspan_limits_note_answer (node, attempt->replica, &wire, attempt->sent, outbox);
  not_run = answer->result == GSPAN_HTTP_NOT_SENT || (whole && wire.not_run && !good);
  call->state.now = node->now;
  if (whole && wire.signed_by_replica && !not_run)
    gspan_crash_reports_note_answer (node, call->fingerprint, attempt->replica, outbox);
  if (good && call->state.response_started)
    {
      end_stream (node, call, outbox);
      return;
    }
  body = call->stream ? g_bytes_new (attempt->body->str, attempt->body->len)
                      : g_bytes_ref (answer->body);
  if (good && wire.signed_by_replica)
    {
      gspan_replica_worked (attempt->replica);
      pass_answer (node, call, answer, body, outbox);
      g_bytes_unref (body);
      return;
    }
  blame (node, attempt, answer, &wire, outbox);
  log_failure (node, attempt, answer, not_run, outbox);
  call->may_have_run = call->may_have_run || !not_run;
  forget_attempt (node, attempt);
  if ((!gspan_hedge_may_retry (&call->state, not_run) || !try_next (node, call, outbox))
      && call->open->len == 0)
    {
      if (whole && !good && !not_run && wire.signed_by_replica && !call->state.response_started)
        pass_answer (node, call, answer, body, outbox);
      else
        give_up (node, call, why_failed (answer, not_run), 502, outbox);
    }
  g_bytes_unref (body);
}

static void
on_head (struct GspanNode *node, struct GspanAttempt *attempt, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanCall *call = attempt->call;
  struct GspanWireResponse wire;
  struct GspanAction *action;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  gspan_leaving_note_answer (node, attempt->replica, &wire, outbox);
  gspan_limits_note_answer (node, attempt->replica, &wire, attempt->sent, outbox);
  attempt->has_head = true;
  if (call->state.response_started || answer->status < 200 || answer->status >= 300
      || !wire.signed_by_replica)
    return;
  call->state.response_started = true;
  action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_BEGIN, (struct GspanRef){ 0 });
  action->u.reply.request = call->request;
  action->u.reply.status = answer->status;
  copy_answer_headers (answer->headers, &action->u.reply.headers);
}

struct PassOn
{
  struct GspanNode *node;
  struct GspanAttempt *attempt;
  struct GspanOutbox *outbox;
};

/* From its first event on, the stream goes on at replicas of this version only. */
static void
note_software (const struct PassOn *to)
{
  struct GspanCall *call = to->attempt->call;
  const struct GspanReplica *replica = to->attempt->replica;

  if (call->software == NULL)
    call->software = g_strdup (replica->software);
  gspan_streams_note_begin (to->node, call->caller_id, call->service, call->software, to->outbox);
  call->has_events = true;
}

static void
pass_bytes (const struct GspanCall *call, struct GspanStr bytes, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_DATA, (struct GspanRef){ 0 });

  action->u.reply.request = call->request;
  action->u.reply.body = g_bytes_new (bytes.data, bytes.len);
}

static void
pass_event (void *user, const struct GspanStreamEvent *event)
{
  struct PassOn *to = user;
  struct GspanCall *call = to->attempt->call;

  if (event->has_id && event->id <= call->last_event)
    return;
  if (event->has_id)
    call->last_event = event->id;
  if (!call->has_events)
    note_software (to);
  pass_bytes (call, event->raw, to->outbox);
}

/* Ends an attempt whose answer goes on without end. */
static void
break_off (struct GspanNode *node, struct GspanAttempt *attempt,
           const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_GATEWAY, attempt->id };
  struct GspanEventHttp ended = *answer;

  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
  ended.result = GSPAN_HTTP_TOO_LONG;
  ended.elapsed_us = node->now - attempt->sent;
  on_done (node, attempt, &ended, outbox);
}

/* A stream that may be resumed is passed on by whole events, so that another run can go on. */
static void
on_data (struct GspanNode *node, struct GspanAttempt *attempt, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanCall *call = attempt->call;
  struct GspanStr bytes = gspan_str_from_bytes (answer->body);
  struct PassOn to = { node, attempt, outbox };

  attempt->pieces++;
  if (!call->state.response_started || answer->status < 200 || answer->status >= 300)
    g_string_append_len (attempt->body, bytes.data, (gssize)bytes.len);
  else if (call->state.repeat == GSPAN_REPEAT_RESUMED)
    gspan_events_feed (&call->events, bytes, pass_event, &to);
  else
    pass_bytes (call, bytes, outbox);
  if (call->events.is_too_long || attempt->body->len > KEPT_BODY_MAX)
    break_off (node, attempt, answer, outbox);
}

/* True if the call may crash replicas. It is then sent to one at a time. */
static bool
may_crash (const struct GspanNode *node, const struct GspanCall *call)
{
  return gspan_poison_requests_crash_count (&node->poison_requests, call->fingerprint, node->now)
         >= GSPAN_POISON_CRASH_THRESHOLD;
}

static void
check_call (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  call->state.now = node->now;
  call->state.open_attempts = call->open->len;
  if (node->now >= call->state.deadline_us)
    {
      note_silence (node, call, outbox);
      /* an attempt that is still open when time is up may have run */
      call->may_have_run = call->may_have_run || call->open->len > 0;
      give_up (node, call, "time is up", 504, outbox);
    }
  else if (call->resumes != NULL)
    resume_stream (node, call, outbox);
  else if (call->open->len == 0)
    {
      if (!try_next (node, call, outbox))
        give_up (node, call, "no replica has room within its limit", 502, outbox);
    }
  else
    {
      note_long_silence (node, call, outbox);
      if (gspan_hedge_due (&call->state) && !may_crash (node, call))
        try_next (node, call, outbox);
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

      if (attempt->replica == replica && !has_answer (attempt))
        gspan_crash_reports_note (node, attempt->call->fingerprint, replica, GSPAN_POISON_CRASHED,
                                  outbox);
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
      log_call (node, call, "call-gone", "caller left", 0, outbox);
      note_silence (node, call, outbox);
      forget_call (node, call, outbox);
    }
  else if (attempt == NULL)
    return;
  else if (event->kind == GSPAN_EVENT_HTTP_HEAD)
    on_head (node, attempt, &event->u.http, outbox);
  else if (event->kind == GSPAN_EVENT_HTTP_DATA)
    on_data (node, attempt, &event->u.http, outbox);
  else if (event->kind == GSPAN_EVENT_HTTP_DONE)
    on_done (node, attempt, &event->u.http, outbox);
}

#include "desk/desk.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "desk/keyed_calls.h"
#include "desk/outcome.h"
#include "desk/parse.h"
#include "desk/key_partitions.h"

enum
{
  ATTEMPTS_MAX = 4,
  RETRY_AFTER_S = 1,
  RETRY_SHARE = 10,           /* hundredths of a retry that each fresh call adds to the budget */
  RETRY_COST = 100,           /* hundredths */
  RETRY_BUDGET_MAX = 1000,    /* hundredths; the budget at start, and at most */
  STATUS_UNPROCESSABLE = 422, /* to a caller whose request crashes upstreams */
  CALLER_ID_MAX = 128,        /* bytes; the rest is cut off */
  ATTEMPT_DIVISOR = 2 /* an attempt that may be followed by another gets this part of the time */
};

#define STREAM_SILENCE_US (10 * GSPAN_SECOND)

/* One caller's request or one keyed run under way. It has one exchange at a time. */
struct GspanDeskCall
{
  guint64 id;      /* of the exchange under way */
  guint64 request; /* 0 for a keyed run */
  guint64 run;     /* 0 for a caller's request */
  char *request_id;
  char *caller_id; /* X-Request-Id of the caller, for the log only; NULL where it sent none */
  char *route;
  char *service;
  char *method;
  char *path;
  char *content_type;
  GBytes *body;
  bool idempotent;
  bool stream;
  bool begun; /* the head of a streamed answer is out */
  guint64 prefix_hash;
  guint64 fingerprint;
  bool suspect; /* this exchange counts among the upstream's suspects */
  bool sent;    /* bytes of an attempt left, or may have */
  guint64 started;
  guint64 deadline;
  guint attempts;
  GPtrArray *failed; /* names of upstreams */
  struct GspanUpstream *upstream;
};

static void
call_free (gpointer data)
{
  struct GspanDeskCall *call = data;

  g_free (call->request_id);
  g_free (call->caller_id);
  g_free (call->route);
  g_free (call->service);
  g_free (call->method);
  g_free (call->path);
  g_free (call->content_type);
  g_bytes_unref (call->body);
  g_ptr_array_unref (call->failed);
  g_free (call);
}

void
gspan_desk_init (struct GspanDesk *desk)
{
  desk->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  desk->by_request = g_hash_table_new (g_int64_hash, g_int64_equal);
  desk->retry_budget_hundredths = RETRY_BUDGET_MAX;
}

void
gspan_desk_finish (struct GspanDesk *desk)
{
  g_hash_table_unref (desk->by_request);
  g_hash_table_unref (desk->calls);
}

bool
gspan_desk_is_busy (const struct GspanDesk *desk)
{
  return g_hash_table_size (desk->calls) > 0;
}

static struct GspanUpstreamTraits
traits_of (const struct GspanBoard *board, const char *service)
{
  const struct GspanRecord *record
      = gspan_records_find (&board->records, GSPAN_RECORD_UPSTREAM, service);
  struct GspanUpstreamTraits traits = { 0 };

  return record != NULL ? record->u.upstream : traits;
}

static void
forget (struct GspanDesk *desk, struct GspanDeskCall *call)
{
  if (call->run == 0)
    g_hash_table_remove (desk->by_request, &call->request);
  g_hash_table_remove (desk->calls, &call->id);
}

static void
log_request (struct GspanLine *line, const struct GspanDeskCall *call)
{
  gspan_line_cstr (line, "request", call->request_id);
  if (call->caller_id != NULL)
    gspan_line_cstr (line, "caller_request", call->caller_id);
}

static void
log_choice (const struct GspanDeskCall *call, const struct GspanRouteChoice *choice,
            struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "route");
  log_request (&line, call);
  gspan_line_cstr (&line, "route", call->route);
  gspan_line_u64 (&line, "attempt", call->attempts);
  gspan_line_u64 (&line, "candidates", choice->candidates);
  gspan_line_cstr (&line, "upstream", choice->upstream != NULL ? choice->upstream->name : "-");
  gspan_line_cstr (&line, "why", gspan_route_reason_name (choice->reason));
  gspan_outbox_log (outbox, "desk", GSPAN_PRIORITY_INFO, &line);
}

static void
log_outcome (struct GspanBoard *board, const struct GspanDeskCall *call, enum GspanOutcome outcome,
             struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_metrics_observe (&board->metrics, GSPAN_HISTOGRAM_DESK, board->now - call->started);
  gspan_line_init (&line, "outcome");
  log_request (&line, call);
  gspan_line_cstr (&line, "route", call->route);
  gspan_line_cstr (&line, "outcome", gspan_outcome_name (outcome));
  gspan_line_u64 (&line, "attempts", call->attempts);
  gspan_line_u64 (&line, "elapsed_us", board->now - call->started);
  gspan_outbox_log (outbox, "desk", GSPAN_PRIORITY_INFO, &line);
}

static void
count_outcome (struct GspanBoard *board, enum GspanOutcome outcome)
{
  static const enum GspanMetric metrics[]
      = { GSPAN_METRIC_DESK_COMPLETE, GSPAN_METRIC_DESK_FAILED, GSPAN_METRIC_DESK_NOT_RUN,
          GSPAN_METRIC_DESK_UNKNOWN };

  gspan_metrics_add (&board->metrics, metrics[outcome], 1);
}

static void
add_outcome_header (struct GspanAction *action, enum GspanOutcome outcome)
{
  gspan_headers_add (&action->u.reply.headers, "Gspan-Outcome",
                     gspan_str_from (gspan_outcome_name (outcome)));
  if (outcome == GSPAN_OUTCOME_NOT_RUN)
    gspan_headers_add_u64 (&action->u.reply.headers, "Retry-After", RETRY_AFTER_S);
}

void
gspan_desk_reply_outcome (struct GspanBoard *board, guint64 request, enum GspanOutcome outcome,
                          const char *why, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_reply_error (outbox, request, gspan_outcome_status (outcome), "upstream", why);

  add_outcome_header (action, outcome);
  count_outcome (board, outcome);
}

void
gspan_desk_forward_response (struct GspanBoard *board, guint64 request, enum GspanOutcome outcome,
                             int status, struct GspanStr content_type, GBytes *body,
                             struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY, (struct GspanRef){ 0 });

  action->u.reply.request = request;
  action->u.reply.status = status;
  action->u.reply.body = g_bytes_ref (body);
  gspan_headers_add (&action->u.reply.headers, "Content-Type", content_type);
  add_outcome_header (action, outcome);
  count_outcome (board, outcome);
}

static bool
is_poison (const struct GspanBoard *board, const struct GspanDeskCall *call)
{
  return gspan_poison_requests_crash_count (&board->poison_requests, call->fingerprint, board->now)
         >= GSPAN_POISON_CRASH_THRESHOLD;
}

/* Final answer to a call whose content crashes upstreams; a retry would do it again. */
static void
conclude_poison (struct GspanBoard *board, struct GspanDeskCall *call, struct GspanOutbox *outbox)
{
  enum GspanOutcome outcome = call->sent ? GSPAN_OUTCOME_UNKNOWN : GSPAN_OUTCOME_FAILED;
  struct GspanAction *action;

  log_outcome (board, call, outcome, outbox);
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_DESK_POISON, 1);
  action = gspan_outbox_reply_error (outbox, call->request, STATUS_UNPROCESSABLE, "body",
                                     "upstreams crash under this request; it is given up");
  add_outcome_header (action, outcome);
  count_outcome (board, outcome);
  forget (board->desk, call);
}

/* Answers the caller with what the last attempt came to, and ends the call. */
static void
conclude (struct GspanBoard *board, struct GspanDeskCall *call, enum GspanOutcome outcome,
          const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  bool passes = outcome == GSPAN_OUTCOME_COMPLETE || outcome == GSPAN_OUTCOME_FAILED;
  guint64 run = call->run;

  if (run == 0 && !passes && is_poison (board, call))
    {
      conclude_poison (board, call, outbox);
      return;
    }
  log_outcome (board, call, outcome, outbox);
  if (run != 0)
    {
      forget (board->desk, call);
      gspan_key_partitions_execution_done (board, run, outcome, passes ? answer : NULL, outbox);
      return;
    }
  if (passes)
    gspan_desk_forward_response (board, call->request, outcome, answer->status,
                                 gspan_headers_get (answer->headers, "Content-Type"), answer->body,
                                 outbox);
  else
    gspan_desk_reply_outcome (board, call->request, outcome,
                              outcome == GSPAN_OUTCOME_NOT_RUN
                                  ? "no upstream took the call; it did not run"
                                  : "the answer was lost; the call may have run",
                              outbox);
  forget (board->desk, call);
}

/* Ends a streamed answer whose head is out already. */
static void
conclude_stream (struct GspanBoard *board, struct GspanDeskCall *call, enum GspanOutcome outcome,
                 struct GspanOutbox *outbox)
{
  static const char mark[] = ": Gspan-Outcome: complete\n\n";
  struct GspanAction *action;

  log_outcome (board, call, outcome, outbox);
  count_outcome (board, outcome);
  if (outcome == GSPAN_OUTCOME_COMPLETE)
    {
      action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_DATA, (struct GspanRef){ 0 });
      action->u.reply.request = call->request;
      action->u.reply.body = g_bytes_new_static (mark, sizeof mark - 1);
    }
  action = gspan_outbox_add (
      outbox, outcome == GSPAN_OUTCOME_COMPLETE ? GSPAN_ACTION_REPLY_END : GSPAN_ACTION_REPLY_ABORT,
      (struct GspanRef){ 0 });
  action->u.reply.request = call->request;
  forget (board->desk, call);
}

/* Time of this attempt: where another may follow, part of what is left, so that it can. */
static guint64
attempt_timeout (const struct GspanBoard *board, const struct GspanDeskCall *call)
{
  guint64 left = call->deadline - board->now;

  bool more = call->attempts < ATTEMPTS_MAX && board->desk->retry_budget_hundredths >= RETRY_COST;

  return call->idempotent && more ? left / ATTEMPT_DIVISOR : left;
}

static void
send_exchange (struct GspanBoard *board, struct GspanDeskCall *call, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_DESK, call->id };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref);
  struct GspanActionHttp *http = &action->u.http;

  http->method = g_strdup (call->method);
  http->url = g_strdup_printf ("http://%s%s", call->upstream->address, call->path);
  http->body = g_bytes_ref (call->body);
  http->timeout_us = call->stream ? call->deadline - board->now : attempt_timeout (board, call);
  http->idle_timeout_us = call->stream ? STREAM_SILENCE_US : 0;
  http->new_connection = !call->idempotent || call->attempts > 1
                         || board->now < call->upstream->fresh_connections_until_us;
  http->stream = call->stream;
  gspan_headers_add (&http->headers, "Content-Type", gspan_str_from (call->content_type));
  gspan_headers_add (&http->headers, "X-Request-Id", gspan_str_from (call->request_id));
  gspan_headers_add_u64 (&http->headers, "X-Deadline-Ms", (call->deadline - board->now) / GSPAN_MS);
  gspan_headers_add (&http->headers, "X-Priority", GSPAN_STR ("desk"));
}

/* Starts the next attempt, or says that there is none. */
static bool
attempt (struct GspanBoard *board, struct GspanDeskCall *call, struct GspanOutbox *outbox)
{
  struct GspanRouteQuery query = { 0 };
  struct GspanRouteChoice choice;

  if (call->attempts >= ATTEMPTS_MAX || board->now >= call->deadline || is_poison (board, call))
    return false;
  query.policy = board->route_policy;
  query.service = call->service;
  query.zone = board->self.zone;
  query.prefix_hash = call->prefix_hash;
  query.now = board->now;
  query.failed_names = call->failed;
  query.is_suspect
      = gspan_poison_requests_crash_count (&board->poison_requests, call->fingerprint, board->now)
        > 0;
  choice = gspan_route_choose (&board->upstreams, &query);
  if (choice.upstream == NULL && query.is_suspect)
    {
      query.is_suspect = false;
      choice = gspan_route_choose (&board->upstreams, &query);
      query.is_suspect = true;
    }
  call->attempts++;
  log_choice (call, &choice, outbox);
  if (choice.upstream == NULL)
    return false;
  if (call->attempts > 1)
    gspan_metrics_add (&board->metrics, GSPAN_METRIC_DESK_RETRIES, 1);
  call->upstream = choice.upstream;
  gspan_upstream_begin_exchange (call->upstream);
  call->suspect = query.is_suspect;
  call->upstream->suspect_inflight += call->suspect;
  g_hash_table_steal (board->desk->calls, &call->id);
  call->id = gspan_board_next_id (board);
  g_hash_table_insert (board->desk->calls, &call->id, call);
  send_exchange (board, call, outbox);
  return true;
}

static struct GspanDeskCall *
call_new (struct GspanBoard *board, const struct GspanDeskCallSpec *work)
{
  struct GspanDeskCall *call = g_new0 (struct GspanDeskCall, 1);

  call->id = gspan_board_next_id (board);
  call->request_id = g_strdup (work->request_id);
  call->caller_id = work->caller_id.len > 0 ? gspan_str_dup (work->caller_id) : NULL;
  call->route = g_strdup (work->route);
  call->service = g_strdup (work->service);
  call->method = gspan_str_dup (work->method);
  call->path = g_strdup (work->path);
  call->content_type = gspan_str_dup (work->content_type);
  call->body = g_bytes_ref (work->body);
  call->idempotent = work->idempotent;
  call->stream = work->stream;
  call->prefix_hash = work->prefix_hash;
  call->started = board->now;
  call->deadline = board->now + work->timeout_us;
  call->fingerprint = gspan_poison_requests_fingerprint (work->service, work->path,
                                                         gspan_str_from_bytes (work->body));
  call->failed = g_ptr_array_new_with_free_func (g_free);
  board->desk->retry_budget_hundredths
      = MIN (board->desk->retry_budget_hundredths + RETRY_SHARE, RETRY_BUDGET_MAX);
  g_hash_table_insert (board->desk->calls, &call->id, call);
  return call;
}

void
gspan_desk_execute (struct GspanBoard *board, guint64 run, const struct GspanDeskCallSpec *work,
                    struct GspanOutbox *outbox)
{
  struct GspanDeskCall *call = call_new (board, work);

  call->run = run;
  if (!attempt (board, call, outbox))
    conclude (board, call, GSPAN_OUTCOME_NOT_RUN, NULL, outbox);
}

static void
start_call (struct GspanBoard *board, guint64 request, const struct GspanDeskCallSpec *work,
            struct GspanOutbox *outbox)
{
  struct GspanDeskCall *call = call_new (board, work);

  call->request = request;
  g_hash_table_insert (board->desk->by_request, &call->request, call);
  if (!attempt (board, call, outbox))
    conclude (board, call, GSPAN_OUTCOME_NOT_RUN, NULL, outbox);
}

static struct GspanDeskCallSpec
work_of (const struct GspanEventRequest *request, const struct GspanDeskTarget *target)
{
  const struct GspanRoute *route = &target->route->u.route;
  struct GspanStr type = gspan_headers_get (request->headers, "Content-Type");
  struct GspanDeskCallSpec work = { 0 };

  work.caller_id = gspan_headers_get (request->headers, "X-Request-Id");
  work.caller_id.len = MIN (work.caller_id.len, CALLER_ID_MAX);
  work.route = target->route->name;
  work.service = route->service;
  work.method = request->method;
  work.path = target->path;
  work.content_type = type.len > 0 ? type : GSPAN_STR ("application/json");
  work.body = request->body;
  work.idempotent = route->idempotent;
  work.stream = target->stream;
  work.prefix_hash = target->prefix_hash;
  work.timeout_us = route->timeout_us;
  return work;
}

static void
take_request (struct GspanBoard *board, const struct GspanEventRequest *request,
              const struct GspanDeskTarget *target, struct GspanOutbox *outbox)
{
  struct GspanStr key = gspan_headers_get (request->headers, "Idempotency-Key");
  struct GspanDeskCallSpec work = work_of (request, target);
  char *id = gspan_board_request_id (board, request->request);

  work.request_id = id;
  if (board->keyed_calls != NULL && key.data != NULL && !work.idempotent)
    gspan_keyed_calls_start (board, request->request, key, target->route->firm, &work, outbox);
  else
    start_call (board, request->request, &work, outbox);
  g_free (id);
}

static void
on_request (struct GspanBoard *board, const struct GspanEventRequest *request,
            struct GspanOutbox *outbox)
{
  struct GspanDeskTarget target;
  struct GspanError error = { 0 };
  const char *field = "";
  int status = 400;

  gspan_metrics_add (&board->metrics, GSPAN_METRIC_DESK_REQUESTS, 1);
  if (!gspan_board_is_ready (board))
    {
      gspan_desk_reply_outcome (board, request->request, GSPAN_OUTCOME_NOT_RUN,
                                "this entry is starting or shutting down", outbox);
      return;
    }
  if (!gspan_desk_target_init (&target, request, &board->records, &status, &field, &error))
    add_outcome_header (
        gspan_outbox_reply_error (outbox, request->request, status, field, error.message),
        GSPAN_OUTCOME_FAILED);
  else
    take_request (board, request, &target, outbox);
  gspan_desk_target_finish (&target);
}

static enum GspanUpstreamFeedback
feedback_of (const struct GspanEventHttp *answer)
{
  if (answer->result != GSPAN_HTTP_COMPLETE)
    return GSPAN_FEEDBACK_BROKEN;
  if (answer->status == 429 || answer->status == 503)
    return GSPAN_FEEDBACK_REFUSED;
  return GSPAN_FEEDBACK_GOOD;
}

/* The exchange at the call's upstream is over. */
static void
release_upstream (struct GspanDeskCall *call)
{
  call->upstream->suspect_inflight -= call->suspect;
  call->suspect = false;
  call->upstream = NULL;
}

/* Pays for another attempt. One whose predecessor never left this process is free. */
static bool
take_retry (struct GspanDesk *desk, enum GspanHttpResult last)
{
  if (last == GSPAN_HTTP_NOT_SENT)
    return true;
  if (desk->retry_budget_hundredths < RETRY_COST)
    return false;
  desk->retry_budget_hundredths -= RETRY_COST;
  return true;
}

static void
on_done (struct GspanBoard *board, struct GspanDeskCall *call, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanUpstreamTraits traits = traits_of (board, call->service);
  enum GspanOutcome outcome = gspan_outcome_decide (answer->result, answer->status, &traits);
  struct GspanUpstream *upstream = call->upstream;
  char *name = g_strdup (upstream->name);

  release_upstream (call);
  call->sent = call->sent || answer->result != GSPAN_HTTP_NOT_SENT;
  if (answer->result == GSPAN_HTTP_LOST)
    gspan_poison_requests_record_crash (&board->poison_requests, call->fingerprint, upstream->name,
                                        board->now);
  gspan_upstream_update_from_headers (upstream, answer->headers, board->now);
  gspan_upstream_end_exchange (upstream, feedback_of (answer), board->now);
  if (call->begun)
    {
      g_free (name);
      conclude_stream (board, call, outcome, outbox);
      return;
    }
  g_ptr_array_add (call->failed, name);
  if (gspan_outcome_may_retry (outcome, call->idempotent)
      && take_retry (board->desk, answer->result) && attempt (board, call, outbox))
    return;
  conclude (board, call, outcome, answer, outbox);
}

static void
on_head (struct GspanDeskCall *call, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanAction *action;

  if (answer->status < 200 || answer->status >= 300)
    return;
  call->begun = true;
  action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_BEGIN, (struct GspanRef){ 0 });
  action->u.reply.request = call->request;
  action->u.reply.status = answer->status;
  gspan_headers_add (&action->u.reply.headers, "Content-Type",
                     gspan_headers_get (answer->headers, "Content-Type"));
}

static void
on_data (struct GspanDeskCall *call, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanAction *action;

  if (!call->begun)
    return;
  action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_DATA, (struct GspanRef){ 0 });
  action->u.reply.request = call->request;
  action->u.reply.body = g_bytes_ref (answer->body);
}

static void
on_gone (struct GspanBoard *board, guint64 request, struct GspanOutbox *outbox)
{
  struct GspanDeskCall *call = g_hash_table_lookup (board->desk->by_request, &request);
  struct GspanRef ref = { GSPAN_OWNER_DESK, 0 };

  if (call == NULL)
    return;
  ref.id = call->id;
  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
  gspan_upstream_end_exchange (call->upstream, GSPAN_FEEDBACK_NONE, board->now);
  release_upstream (call);
  forget (board->desk, call);
}

void
gspan_desk_handle (struct GspanBoard *board, const struct GspanEvent *event,
                   struct GspanOutbox *outbox)
{
  struct GspanDeskCall *call;

  if (event->kind == GSPAN_EVENT_REQUEST)
    {
      on_request (board, &event->u.request, outbox);
      return;
    }
  if (event->kind == GSPAN_EVENT_CALLER_DISCONNECTED)
    {
      on_gone (board, event->u.disconnected_request, outbox);
      return;
    }
  if (event->kind < GSPAN_EVENT_HTTP_HEAD || event->kind > GSPAN_EVENT_HTTP_DONE)
    return;
  call = g_hash_table_lookup (board->desk->calls, &event->ref.id);
  if (call == NULL)
    return;
  if (event->kind == GSPAN_EVENT_HTTP_HEAD)
    on_head (call, &event->u.http, outbox);
  else if (event->kind == GSPAN_EVENT_HTTP_DATA)
    on_data (call, &event->u.http, outbox);
  else
    on_done (board, call, &event->u.http, outbox);
}

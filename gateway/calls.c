#include "gateway/calls.h"

#include "catalog/pick.h"
#include "common/clock.h"
#include "node/node.h"

#define BUSY_WAIT_US (100 * GSPAN_MS)  /* until a busy replica has a place, with a lot */
#define LONG_SILENCE_US (GSPAN_SECOND) /* of an attempt, at least */

enum
{
  LONG_SILENCE_TARGETS = 4 /* of the route's target latency; callers of streams leave then */
};

void
gspan_attempt_free (gpointer data)
{
  struct GspanAttempt *attempt = data;

  attempt->replica->open--;
  attempt->replica->suspects -= attempt->is_suspect;
  gspan_replica_unref (attempt->replica);
  g_string_free (attempt->body, TRUE);
  g_free (attempt);
}

void
gspan_call_free (gpointer data)
{
  struct GspanCall *call = data;

  g_free (call->caller_id);
  g_free (call->account);
  g_free (call->key_digest);
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
  g_free (call->recorded);
  g_free (call->resumes);
  gspan_events_finish (&call->events);
  g_free (call);
}

void
gspan_call_log_content (const struct GspanNode *node, const struct GspanCall *call,
                        struct GspanLine *line)
{
  char *content = gspan_poison_fingerprint_format (call->fingerprint);

  gspan_line_cstr (line, "content", content);
  gspan_line_u64 (
      line, "crashes",
      gspan_poison_requests_crash_count (&node->poison_requests, call->fingerprint, node->now));
  g_free (content);
}

static void
begin_line (const struct GspanNode *node, const struct GspanCall *call, const char *event,
            const char *outcome, int status, struct GspanLine *line)
{
  gspan_line_init (line, event);
  gspan_line_cstr (line, "id", call->caller_id);
  if (call->account != NULL)
    gspan_line_cstr (line, "account", call->account);
  gspan_line_cstr (line, "route", call->route);
  gspan_line_cstr (line, "service", call->service);
  gspan_line_cstr (line, "outcome", outcome);
  gspan_line_int (line, "status", status);
  gspan_line_u64 (line, "attempts", call->state.attempts);
  gspan_line_u64 (line, "open", call->open->len);
  gspan_call_log_content (node, call, line);
  gspan_line_u64 (line, "elapsed_us", node->now - call->started);
  gspan_line_u64 (line, "config", node->catalog.config.number);
}

void
gspan_call_log (const struct GspanNode *node, const struct GspanCall *call, const char *event,
                const char *outcome, int status, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  begin_line (node, call, event, outcome, status, &line);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

void
gspan_call_log_answer (const struct GspanNode *node, const struct GspanCall *call,
                       const char *outcome, const struct GspanEventHttp *answer,
                       struct GspanOutbox *outbox)
{
  struct GspanLine line;

  begin_line (node, call, "call-answered", outcome, answer->status, &line);
  gspan_line_u64 (&line, "last_event", call->last_event);
  gspan_answer_log (answer, &line);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

void
gspan_call_forget_attempt (struct GspanNode *node, struct GspanAttempt *attempt)
{
  g_ptr_array_remove_fast (attempt->call->open, attempt);
  g_hash_table_remove (node->gateway.attempts, &attempt->id);
}

bool
gspan_attempt_has_answer (const struct GspanAttempt *attempt)
{
  return attempt->pieces > 1;
}

void
gspan_call_note_silence (struct GspanNode *node, const struct GspanCall *call,
                         struct GspanOutbox *outbox)
{
  for (guint i = 0; i < call->open->len; i++)
    {
      const struct GspanAttempt *attempt = g_ptr_array_index (call->open, i);

      if (!gspan_attempt_has_answer (attempt)
          && gspan_exchanges_relay_of (node, attempt->id) == NULL)
        gspan_crash_reports_note_silence (node, call->fingerprint, attempt->replica,
                                          node->now - attempt->sent, outbox);
    }
}

void
gspan_call_note_long_silence (struct GspanNode *node, const struct GspanCall *call,
                              struct GspanOutbox *outbox)
{
  guint64 limit = MAX (LONG_SILENCE_US, call->state.target_latency_us * LONG_SILENCE_TARGETS);

  for (guint i = 0; i < call->open->len; i++)
    {
      struct GspanAttempt *attempt = g_ptr_array_index (call->open, i);

      if (attempt->is_silent || gspan_attempt_has_answer (attempt)
          || gspan_exchanges_relay_of (node, attempt->id) != NULL
          || node->now < attempt->sent + limit)
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
      gspan_call_forget_attempt (node, attempt);
    }
}

void
gspan_call_forget (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  cancel_attempts (node, call, outbox);
  g_hash_table_remove (node->gateway.by_request, &call->request);
  g_hash_table_remove (node->gateway.calls, &call->id);
}

void
gspan_call_observe (struct GspanNode *node, const struct GspanCall *call, enum GspanMetric metric)
{
  gspan_metrics_add (&node->metrics, metric, 1);
  gspan_metrics_observe (&node->metrics, GSPAN_HISTOGRAM_DESK, node->now - call->started);
}

bool
gspan_call_has_ended (const struct GspanCall *call)
{
  return call->is_closed && call->closed_after == call->last_event;
}

void
gspan_call_give_up (struct GspanNode *node, struct GspanCall *call, const char *why,
                    int status_if_run, struct GspanOutbox *outbox)
{
  guint64 soonest = gspan_pick_retry_at (node->catalog.replicas, call->service, node->now);
  guint64 wait;
  struct GspanAction *action;

  soonest = MAX (soonest, call->retry_at);
  wait = soonest > node->now ? soonest - node->now : 0;
  wait += BUSY_WAIT_US + g_rand_int_range (node->random, 0, (gint32)BUSY_WAIT_US);
  if (call->state.response_started)
    {
      gspan_call_log (node, call, "call-cut", why, 0, outbox);
      gspan_call_observe (node, call, GSPAN_METRIC_DESK_UNKNOWN);
      action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_ABORT, (struct GspanRef){ 0 });
      action->u.reply.request = call->request;
    }
  else if (call->may_have_run || call->open->len > 0)
    {
      gspan_call_log (node, call, "call-unknown", why, status_if_run, outbox);
      gspan_call_observe (node, call, GSPAN_METRIC_DESK_UNKNOWN);
      gspan_gateway_reply_error (call->request, status_if_run, why, outbox);
    }
  else
    {
      gspan_call_log (node, call, "call-not-run", why, 503, outbox);
      gspan_gateway_refuse (node, call->request, why, wait, outbox);
    }
  gspan_call_forget (node, call, outbox);
}

bool
gspan_call_is_suspect (const struct GspanNode *node, const struct GspanCall *call)
{
  return gspan_poison_requests_crash_count (&node->poison_requests, call->fingerprint, node->now)
         > 0;
}

guint64
gspan_call_refused_until (const struct GspanNode *node, const struct GspanCall *call)
{
  return gspan_poison_requests_refused_until (&node->poison_requests, call->fingerprint, node->now);
}

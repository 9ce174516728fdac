#include "gateway/answers.h"

#include "common/clock.h"
#include "gateway/attempts.h"
#include "links/relay_headers.h"
#include "node/node.h"
#include "platform/wire.h"

enum
{
  STATUS_OK = 200,
  NOT_SENT_MAX = 4,       /* attempts of a call that may fail before they leave */
  KEPT_BODY_MAX = 1 << 20 /* bytes of a stream's answer that isn't passed on as it comes */
};

static void
copy_answer_headers (const struct GspanHeaders *from, struct GspanHeaders *to)
{
  for (guint i = 0; i < from->items->len; i++)
    {
      const char *line = g_ptr_array_index (from->items, i);

      if (!gspan_wire_is_hop_by_hop_header (line) && !gspan_relay_is_header (line))
        g_ptr_array_add (to->items, g_strdup (line));
    }
}

/* True where only the end of the connection says that ANSWER is whole. */
static bool
ends_with_connection (const struct GspanEventHttp *answer)
{
  return answer->trace.framing == GSPAN_BODY_FRAMING_CLOSE;
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
  action->u.reply.until_close = ends_with_connection (answer);
  copy_answer_headers (answer->headers, &action->u.reply.headers);
  gspan_call_log_answer (node, call, good ? "complete" : "failed", answer, outbox);
  gspan_call_observe (node, call, good ? GSPAN_METRIC_DESK_COMPLETE : GSPAN_METRIC_DESK_FAILED);
  gspan_call_forget (node, call, outbox);
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
end_stream (struct GspanNode *node, struct GspanCall *call, const struct GspanEventHttp *answer,
            struct GspanOutbox *outbox)
{
  const GString *rest = call->events.pending;
  struct GspanAction *action;

  if (rest->len > 0) /* empty lines and comments */
    pass_bytes (call, (struct GspanStr){ rest->str, rest->len }, outbox);
  action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_END, (struct GspanRef){ 0 });
  action->u.reply.request = call->request;
  gspan_call_log_answer (node, call, "complete", answer, outbox);
  gspan_call_observe (node, call, GSPAN_METRIC_DESK_COMPLETE);
  gspan_streams_note_end (node, call->caller_id);
  gspan_call_forget (node, call, outbox);
}

static void
log_failure (const struct GspanNode *node, const struct GspanAttempt *attempt,
             const struct GspanEventHttp *answer, bool not_run, bool signed_by_replica,
             struct GspanOutbox *outbox)
{
  static const char *const results[] = { "whole", "not-sent", "lost", "timeout", "too-long" };
  struct GspanLine line;

  gspan_line_init (&line, "call-attempt-failed");
  gspan_line_cstr (&line, "id", attempt->call->caller_id);
  gspan_line_cstr (&line, "upstream", attempt->replica->id);
  gspan_call_log_content (node, attempt->call, &line);
  gspan_line_cstr (&line, "result", results[answer->result]);
  gspan_line_int (&line, "status", answer->status);
  gspan_line_cstr (&line, "ran", not_run ? "no" : "maybe");
  gspan_line_u64 (&line, "elapsed_us", answer->elapsed_us);
  gspan_line_u64 (&line, "heard_us", gspan_links_heard_age (node));
  gspan_line_u64 (&line, "relayed", answer->relayed);
  gspan_line_u64 (&line, "failed_at_relay", answer->failed_at_relay);
  gspan_line_u64 (&line, "signed", signed_by_replica);
  gspan_line_cstr (&line, "fault", attempt->fault != NULL ? attempt->fault : "");
  gspan_answer_log (answer, &line);
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
  if (answer->failed_at_relay)
    return;
  if (answer->result != GSPAN_HTTP_COMPLETE || attempt->fault != NULL)
    gspan_replica_failed (replica, node->now);
  if (gspan_attempt_has_answer (attempt) || answer->relayed)
    return; /* the node that it went through knows whether its own links stand */
  if (answer->result == GSPAN_HTTP_LOST)
    gspan_crash_reports_note_lost (node, content, replica, answer, outbox);
  else if (answer->result == GSPAN_HTTP_TIMEOUT)
    gspan_crash_reports_note_silence (node, content, replica, node->now - attempt->sent, outbox);
}

/* REPLICA may be asked again. */
static void
forget_try (struct GspanCall *call, const struct GspanReplica *replica)
{
  guint at;

  if (g_ptr_array_find_with_equal_func (call->tried, replica->id, g_str_equal, &at))
    g_ptr_array_remove_index (call->tried, at);
}

/*
 * The attempt at REPLICA never left this node: the replica may be tried again, another way, and the
 * attempt isn't one of those that the route allows.
 */
static void
take_back (struct GspanCall *call, const struct GspanReplica *replica)
{
  if (call->not_sent++ >= NOT_SENT_MAX)
    return;
  call->state.attempts--;
  forget_try (call, replica);
}

/* The replica says so; it speaks of the last sending only. */
static bool
is_rejected (const struct GspanEventHttp *answer, const struct GspanWireResponse *wire, bool good)
{
  return answer->result == GSPAN_HTTP_COMPLETE && wire->not_run && !good;
}

/*
 * Whether ANSWER, a replica's failure, may be the caller's. One whose status promises that nothing
 * ran, without the replica's word for that, may not.
 */
static bool
may_pass_failure (const struct GspanCall *call, const struct GspanEventHttp *answer)
{
  return answer->result == GSPAN_HTTP_COMPLETE && !call->state.response_started
         && !gspan_wire_promises_not_run (answer->status);
}

static const char *
why_failed (const struct GspanAttempt *attempt, const struct GspanEventHttp *answer, bool not_run)
{
  if (attempt->fault != NULL)
    return attempt->fault;
  if (answer->result == GSPAN_HTTP_NOT_SENT)
    return "no replica could be reached";
  if (not_run)
    return "every replica is busy";
  return answer->result == GSPAN_HTTP_TOO_LONG ? "the answer was too long" : "the answer was lost";
}

/* True where another attempt may go on with what the caller has got so far. */
static bool
may_go_on (const struct GspanCall *call)
{
  return !call->state.response_started || (call->is_events && !call->is_unnumbered);
}

/*
 * True where ANSWER, which its connection has ended, leaves it open whether the stream is whole:
 * the caller was promised an end, and no answer ended after the same event before.
 */
static bool
may_lack_rest (const struct GspanCall *call, const struct GspanEventHttp *answer)
{
  return ends_with_connection (answer) && call->is_events && !call->is_unnumbered
         && !call->until_close && !gspan_call_has_ended (call);
}

/*
 * Asks for what may follow the last event, or breaks the stream off where that can't be asked for.
 * False where the stream is to end.
 */
static bool
ask_for_rest (struct GspanNode *node, struct GspanAttempt *attempt,
              const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanCall *call = attempt->call;

  if (!may_lack_rest (call, answer))
    return false;
  call->is_closed = true;
  call->closed_after = call->last_event;
  gspan_call_log (node, call, "call-end-unknown", "only its connection ended it", answer->status,
                  outbox);
  gspan_replica_worked (attempt->replica);
  forget_try (call, attempt->replica); /* it may be the only one */
  gspan_call_forget_attempt (node, attempt);
  if ((!gspan_hedge_may_retry (&call->state, false)
       || !gspan_attempts_try_next (node, call, outbox))
      && call->open->len == 0)
    gspan_call_give_up (node, call, "the rest can't be asked for", 0, outbox);
  return true;
}

/* Ends the answer that has begun where ATTEMPT has brought its end. False if it hasn't. */
static bool
end_if_whole (struct GspanNode *node, struct GspanAttempt *attempt,
              const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanCall *call = attempt->call;

  if (!attempt->passes_on || attempt->fault != NULL || answer->result != GSPAN_HTTP_COMPLETE)
    return false;
  if (call->is_events && !gspan_events_is_between (&call->events))
    {
      attempt->fault = "the stream ended within an event";
      return false;
    }
  if (attempt->needs_events && !attempt->has_ids)
    {
      attempt->fault = "an answer without events or the type of a stream";
      return false;
    }
  if (!ask_for_rest (node, attempt, answer, outbox))
    end_stream (node, call, answer, outbox);
  return true;
}

void
gspan_answers_handle_done (struct GspanNode *node, struct GspanAttempt *attempt,
                           const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanCall *call = attempt->call;
  bool whole = answer->result == GSPAN_HTTP_COMPLETE;
  bool good = whole && answer->status >= 200 && answer->status < 300;
  struct GspanWireResponse wire;
  const char *why;
  bool rejected;
  bool not_run;
  GBytes *body;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  gspan_leaving_note_answer (node, attempt->replica, &wire, outbox);
  if (!attempt->has_head)
    gspan_limits_note_answer (node, attempt->replica, &wire, attempt->sent, outbox);
  rejected = is_rejected (answer, &wire, good);
  not_run = answer->result == GSPAN_HTTP_NOT_SENT || (rejected && answer->send_count <= 1);
  call->state.now = node->now;
  if (!rejected && (wire.signed_by_replica || answer->result == GSPAN_HTTP_LOST))
    gspan_usage_reports_note_run (node, call);
  if (whole && wire.signed_by_replica && !rejected)
    gspan_crash_reports_note_answer (node, call->fingerprint, attempt->replica, outbox);
  if (end_if_whole (node, attempt, answer, outbox))
    return;
  body = call->stream ? g_bytes_new (attempt->body->str, attempt->body->len)
                      : g_bytes_ref (answer->body);
  if (good && wire.signed_by_replica && !call->state.response_started)
    {
      gspan_replica_worked (attempt->replica);
      gspan_hedging_note_answer (node, attempt);
      pass_answer (node, call, answer, body, outbox);
      g_bytes_unref (body);
      return;
    }
  blame (node, attempt, answer, &wire, outbox);
  log_failure (node, attempt, answer, not_run, wire.signed_by_replica, outbox);
  call->may_have_run = call->may_have_run || !not_run;
  if (answer->result == GSPAN_HTTP_TIMEOUT)
    gspan_hedging_note_timeout (node, attempt);
  if (answer->result == GSPAN_HTTP_NOT_SENT)
    take_back (call, attempt->replica);
  why = why_failed (attempt, answer, not_run);
  gspan_call_forget_attempt (node, attempt);
  if ((!may_go_on (call) || !gspan_hedge_may_retry (&call->state, not_run)
       || !gspan_hedging_replaces (node, call, not_run)
       || !gspan_attempts_try_next (node, call, outbox))
      && call->open->len == 0)
    {
      if (!good && !rejected && wire.signed_by_replica && may_pass_failure (call, answer))
        pass_answer (node, call, answer, body, outbox);
      else
        gspan_call_give_up (node, call, why, 502, outbox);
    }
  g_bytes_unref (body);
}

void
gspan_answers_handle_head (struct GspanNode *node, struct GspanAttempt *attempt,
                           const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanCall *call = attempt->call;
  struct GspanWireResponse wire;
  struct GspanAction *action;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  gspan_leaving_note_answer (node, attempt->replica, &wire, outbox);
  gspan_limits_note_answer (node, attempt->replica, &wire, attempt->sent, outbox);
  attempt->has_head = true;
  if (answer->status < 200 || answer->status >= 300 || !wire.signed_by_replica)
    return;
  if (call->state.response_started)
    {
      attempt->passes_on = answer->status == STATUS_OK && call->is_events
                           && gspan_events_is_stream (answer->headers);
      attempt->needs_events = !gspan_events_says_stream (answer->headers);
      return;
    }
  attempt->passes_on = true;
  call->is_events
      = call->state.repeat == GSPAN_REPEAT_RESUMED && gspan_events_is_stream (answer->headers);
  call->state.response_started = true;
  action = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY_BEGIN, (struct GspanRef){ 0 });
  action->u.reply.request = call->request;
  action->u.reply.status = answer->status;
  /* the end of a stream that may be asked for its rest is known better than that */
  call->until_close = ends_with_connection (answer)
                      && !(call->is_events && call->state.attempts < call->state.attempts_max);
  action->u.reply.until_close = call->until_close;
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

/*
 * Why EVENT can't follow what the caller has got; NULL where it can. An answer that goes on after
 * an event has to do so without a gap; what another one holds besides is its replica's own.
 */
static const char *
why_foreign (const struct GspanAttempt *attempt, const struct GspanStreamEvent *event)
{
  guint64 last = attempt->call->last_event;

  if (!event->has_id)
    return attempt->after > 0 && !gspan_events_is_comment (event) ? "an event without an id" : NULL;
  if (attempt->after > 0 ? event->id != last + 1 : attempt->has_ids && event->id <= last)
    return "an event out of order";
  return NULL;
}

static void
pass_event (void *user, const struct GspanStreamEvent *event)
{
  struct PassOn *to = user;
  struct GspanAttempt *attempt = to->attempt;
  struct GspanCall *call = attempt->call;

  if (attempt->fault == NULL)
    attempt->fault = why_foreign (attempt, event);
  if (attempt->fault != NULL)
    return;
  if (event->has_id)
    {
      attempt->has_ids = true;
      call->last_event = event->id;
    }
  if (event->has_id ? event->id == 0 : event->data.len > 0)
    call->is_unnumbered = true;
  if (!call->has_events)
    note_software (to);
  pass_bytes (call, event->raw, to->outbox);
}

/* Ends an attempt whose answer goes on without end, or with what can't be passed on. */
static void
break_off (struct GspanNode *node, struct GspanAttempt *attempt,
           const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_GATEWAY, attempt->id };
  struct GspanEventHttp ended = *answer;

  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
  ended.result = attempt->fault != NULL ? GSPAN_HTTP_COMPLETE : GSPAN_HTTP_TOO_LONG;
  ended.elapsed_us = node->now - attempt->sent;
  gspan_answers_handle_done (node, attempt, &ended, outbox);
}

void
gspan_answers_handle_data (struct GspanNode *node, struct GspanAttempt *attempt,
                           const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanCall *call = attempt->call;
  struct GspanStr bytes = gspan_str_from_bytes (answer->body);
  struct PassOn to = { node, attempt, outbox };

  attempt->pieces++;
  if (call->stream && attempt->passes_on)
    gspan_usage_reports_note_run (node, call);
  if (!attempt->has_head)
    gspan_answers_handle_head (node, attempt, answer, outbox);
  if (!attempt->passes_on)
    g_string_append_len (attempt->body, bytes.data, (gssize)bytes.len);
  else if (call->is_events)
    gspan_events_feed (&call->events, bytes, pass_event, &to);
  else
    pass_bytes (call, bytes, outbox);
  if (attempt->fault != NULL || call->events.is_too_long || attempt->body->len > KEPT_BODY_MAX)
    break_off (node, attempt, answer, outbox);
}

void
gspan_answers_break_off (struct GspanNode *node, struct GspanAttempt *attempt,
                         struct GspanOutbox *outbox)
{
  struct GspanEventHttp answer = { 0 };

  attempt->fault = NULL;
  answer.headers = &node->exchanges.nothing;
  answer.send_count = 1;
  answer.body = g_bytes_new (NULL, 0);
  break_off (node, attempt, &answer, outbox);
  g_bytes_unref (answer.body);
}

#include "jobs/runner.h"

#include "catalog/pace.h"
#include "common/clock.h"
#include "jobs/placement.h"
#include "node/node.h"
#include "platform/wire.h"

#define FIRST_EVENT_TIMEOUT_US (3 * GSPAN_SECOND) /* covers a full queue or a load of weights */
#define EVENT_TIMEOUT_US (GSPAN_SECOND)           /* several event intervals of a slow replica */
#define BUSY_BACKOFF_US (100 * GSPAN_MS)          /* of a replica that refused a run */

enum
{
  STATUS_UNPROCESSABLE = 422,
  STATUS_INTERNAL_ERROR = 500
};

void
gspan_runner_init (struct GspanRunner *runner)
{
  *runner = (struct GspanRunner){ 0 };
  runner->runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, gspan_run_free);
}

void
gspan_runner_finish (struct GspanRunner *runner)
{
  g_hash_table_unref (runner->runs);
}

/* True if the item's result may contain events of the run's present weight version. */
static bool
weight_version_allowed (const struct GspanRun *run)
{
  const struct GspanItem *item = run->item;
  const GArray *versions = item->result->weight_versions;

  if (run->weight_version < run->job->document.weight_version_min)
    return false;
  if (versions->len == 0 || !gspan_run_requires_single_version (run->node, run->job))
    return true;
  return versions->len == 1 && g_array_index (versions, guint64, 0) == run->weight_version;
}

static void
append_event (void *user, const struct GspanStreamEvent *event)
{
  struct GspanRun *run = user;
  struct GspanItem *item = run->item;

  if (run->has_invalid_event || run->is_too_long)
    return;
  if (event->has_mark)
    {
      run->weight_version = event->mark;
      gspan_replica_set_weights (run->replica, run->job->document.model, event->mark);
    }
  if (item->result == NULL)
    item->result = gspan_job_result_new (item->submitted->id);
  if (item->last_event_id == 0) /* an earlier run may have brought nothing that counts */
    {
      g_free (item->result->software);
      item->result->software = g_strdup (run->replica->software);
    }
  if (!event->has_id || event->id != item->last_event_id + 1 || !weight_version_allowed (run)
      || !g_utf8_validate (event->data.data, (gssize)event->data.len, NULL))
    {
      run->has_invalid_event = true;
      return;
    }
  /* a result has to fit into an object of the store */
  if (item->result->text->len + event->data.len > run->node->limits.object_max_bytes)
    {
      run->is_too_long = true;
      return;
    }
  if (item->last_event_id > 0)
    g_string_append_c (item->result->text, '\n');
  g_string_append_len (item->result->text, event->data.data, (gssize)event->data.len);
  if (run->weight_version > 0)
    gspan_job_result_add_version (item->result, run->weight_version);
  item->last_event_id = event->id;
  run->last_active_us = run->node->now;
  run->event_count++;
}

static void
on_head (struct GspanNode *node, struct GspanRun *run, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanWireResponse wire;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  gspan_leaving_note_answer (node, run->replica, &wire, outbox);
  gspan_limits_note_answer (node, run->replica, &wire, run->started_at_us, outbox);
  run->has_head = true;
  run->is_streaming
      = answer->status == 200 && wire.signed_by_replica && gspan_events_is_stream (answer->headers);
  run->says_stream = gspan_events_says_stream (answer->headers);
  run->weight_version = wire.weight_version;
  run->last_active_us = run->node->now;
  if (run->is_streaming && wire.weight_version > 0)
    gspan_replica_set_weights (run->replica, run->job->document.model, wire.weight_version);
}

/*
 * Cancels RUN and queues its item again. If the weight version wasn't allowed, the item starts over
 * without the result generated so far.
 */
static void
abort_run (struct GspanNode *node, struct GspanRun *run, const char *reason,
           struct GspanOutbox *outbox)
{
  gspan_run_log (run, "run-broken-off", reason, 0, outbox);
  gspan_replica_failed (run->replica, node->now);
  if (run->is_too_long || (run->has_invalid_event && !weight_version_allowed (run)))
    gspan_run_discard_progress (run->item);
  gspan_run_cancel (run, outbox);
  gspan_run_requeue (node, run);
}

void
gspan_runner_break_off (struct GspanNode *node, struct GspanRun *run, struct GspanOutbox *outbox)
{
  abort_run (node, run, "no room for the event that it began", outbox);
}

static void
on_data (struct GspanNode *node, struct GspanRun *run, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  guint64 previous_active_us = run->last_active_us;
  guint previous_count = run->event_count;

  if (!run->is_streaming)
    return;
  gspan_events_feed (&run->events, gspan_str_from_bytes (answer->body), append_event, run);
  /* The interval before the first event includes queueing and reading the prompt. */
  if (previous_count > 0 && run->event_count > previous_count)
    gspan_pace_note (run->replica, node->now, node->now - previous_active_us,
                     run->event_count - previous_count);
  if (run->has_invalid_event)
    abort_run (node, run, "event out of order, not UTF-8 or of a disallowed weight version",
               outbox);
  else if (run->is_too_long || run->events.is_too_long)
    abort_run (node, run, "bytes without end", outbox);
}

static guint
attempts_max (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_jobs_route_of (node, job);

  return route != NULL ? route->attempts_max : 1;
}

static void
on_server_error (struct GspanNode *node, struct GspanRun *run, struct GspanOutbox *outbox)
{
  struct GspanItem *item = run->item;
  struct GspanJob *job = run->job;

  item->server_errors++;
  if (item->server_errors < attempts_max (node, job))
    {
      gspan_run_requeue (node, run);
      return;
    }
  g_hash_table_remove (node->runner.runs, &run->id);
  gspan_run_finish_item (node, job, item, false, outbox);
}

static void
on_run_lost (struct GspanNode *node, struct GspanRun *run, const struct GspanEventHttp *answer)
{
  if (!answer->failed_at_relay)
    gspan_replica_failed (run->replica, node->now);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RUNS_RESUMED, 1);
  gspan_run_requeue (node, run);
}

/*
 * Whether it is known that the text of RUN's item ends where ANSWER did. One that only the end of
 * its connection ended may have been cut there: then a second one has to end after the same event.
 */
static bool
is_end_known (struct GspanItem *item, const struct GspanEventHttp *answer)
{
  bool has_ended_here = item->closed_after == item->last_event_id;

  if (answer->trace.framing != GSPAN_BODY_FRAMING_CLOSE)
    return true;
  item->closed_after = item->last_event_id;
  return has_ended_here;
}

static void
on_text_ended (struct GspanNode *node, struct GspanRun *run, const struct GspanEventHttp *answer,
               struct GspanOutbox *outbox)
{
  struct GspanJob *job = run->job;
  struct GspanItem *item = run->item;

  gspan_replica_worked (run->replica);
  if (!is_end_known (item, answer))
    {
      gspan_run_log (run, "run-end-unknown", "only its connection ended it", answer->status,
                     outbox);
      gspan_run_ask_for_rest (node, run);
      return;
    }
  gspan_metrics_observe (&node->metrics, GSPAN_HISTOGRAM_RUN, node->now - run->started_at_us);
  g_hash_table_remove (node->runner.runs, &run->id);
  gspan_run_finish_text (node, job, item, outbox);
}

static void
on_done (struct GspanNode *node, struct GspanRun *run, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  static const char *const outcomes[] = { "whole", "not-sent", "lost", "timeout", "too-long" };
  bool whole = answer->result == GSPAN_HTTP_COMPLETE;
  struct GspanJob *job = run->job;
  struct GspanItem *item = run->item;
  struct GspanWireResponse wire;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  gspan_leaving_note_answer (node, run->replica, &wire, outbox);
  if (!run->has_head)
    gspan_limits_note_answer (node, run->replica, &wire, run->started_at_us, outbox);
  gspan_run_log_end (run, outcomes[answer->result], answer, wire.signed_by_replica, outbox);
  if (whole && run->is_streaming && (run->says_stream || run->event_count > 0)
      && gspan_events_is_between (&run->events) && item->last_event_id > 0)
    on_text_ended (node, run, answer, outbox);
  else if (whole && answer->status == STATUS_UNPROCESSABLE && wire.signed_by_replica)
    {
      g_hash_table_remove (node->runner.runs, &run->id);
      gspan_run_finish_item (node, job, item, false, outbox);
    }
  else if (whole && answer->status == STATUS_INTERNAL_ERROR && wire.signed_by_replica)
    on_server_error (node, run, outbox);
  else if (whole && wire.not_run)
    {
      run->was_rejected = true;
      run->replica->misdirected = run->replica->misdirected || wire.misdirected;
      run->replica->avoid_until = MAX (run->replica->avoid_until, node->now + BUSY_BACKOFF_US);
      gspan_run_requeue (node, run);
    }
  else
    on_run_lost (node, run, answer);
}

static void
abort_silent_runs (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *runs = g_hash_table_get_values (node->runner.runs);

  for (GList *entry = runs; entry != NULL; entry = entry->next)
    {
      struct GspanRun *run = entry->data;
      guint64 limit_us = run->event_count > 0 ? EVENT_TIMEOUT_US : FIRST_EVENT_TIMEOUT_US;

      if (node->now - run->last_active_us <= limit_us)
        continue;
      gspan_exchanges_note_silence (node, run->id);
      abort_run (node, run, "silent", outbox);
    }
  g_list_free (runs);
}

void
gspan_runner_stop (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  GList *runs = g_hash_table_get_values (node->runner.runs);

  for (GList *entry = runs; entry != NULL; entry = entry->next)
    {
      struct GspanRun *run = entry->data;

      if (run->job != job)
        continue;
      gspan_run_cancel (run, outbox);
      gspan_run_requeue (node, run);
    }
  g_list_free (runs);
}

void
gspan_runner_handle (struct GspanNode *node, const struct GspanEvent *event,
                     struct GspanOutbox *outbox)
{
  struct GspanRun *run = g_hash_table_lookup (node->runner.runs, &event->ref.id);

  if (event->kind == GSPAN_EVENT_TICK)
    {
      abort_silent_runs (node, outbox);
      if (node->now >= node->runner.next_move_check_at_us)
        gspan_placement_move_slow_runs (node, outbox);
      if (node->now >= node->runner.next_schedule_at_us)
        gspan_placement_schedule (node, outbox);
      return;
    }
  if (run == NULL)
    return;
  if (event->kind == GSPAN_EVENT_HTTP_HEAD)
    on_head (node, run, &event->u.http, outbox);
  else if (event->kind == GSPAN_EVENT_HTTP_DATA)
    on_data (node, run, &event->u.http, outbox);
  else if (event->kind == GSPAN_EVENT_HTTP_DONE)
    {
      on_done (node, run, &event->u.http, outbox);
      gspan_placement_schedule (node, outbox);
    }
}

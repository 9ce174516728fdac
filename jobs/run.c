#include "jobs/run.h"

#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

#define RUN_TIMEOUT_US (60 * GSPAN_SECOND) /* timeouts of silence usually end a run earlier */

void
gspan_run_free (gpointer data)
{
  struct GspanRun *run = data;

  run->replica->open--;
  gspan_replica_unref (run->replica);
  gspan_events_finish (&run->events);
  g_free (run);
}

static void
log_start (const struct GspanRun *run, const char *relay, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "run-started");
  gspan_line_cstr (&line, "job", run->job->id);
  gspan_line_cstr (&line, "item", run->item->submitted->id);
  gspan_line_cstr (&line, "upstream", run->replica->id);
  gspan_line_cstr (&line, "software", run->replica->software);
  gspan_line_u64 (&line, "events", run->item->last_event_id);
  gspan_line_u64 (&line, "open_there", run->replica->open);
  gspan_line_cstr (&line, "relay", relay != NULL ? relay : "");
  gspan_outbox_log (outbox, "runner", GSPAN_PRIORITY_INFO, &line);
}

static void
begin_line (const struct GspanRun *run, const char *event, const char *outcome, int status,
            struct GspanLine *line)
{
  gspan_line_init (line, event);
  gspan_line_cstr (line, "job", run->job->id);
  gspan_line_cstr (line, "item", run->item->submitted->id);
  gspan_line_cstr (line, "upstream", run->replica->id);
  gspan_line_cstr (line, "outcome", outcome);
  gspan_line_int (line, "status", status);
  gspan_line_u64 (line, "events", run->item->last_event_id);
  gspan_line_u64 (line, "events_here", run->event_count);
  gspan_line_u64 (line, "weights", run->weight_version);
  gspan_line_u64 (line, "elapsed_us", run->node->now - run->started_at_us);
  gspan_line_u64 (line, "heard_us", gspan_links_heard_age (run->node));
}

void
gspan_run_log (const struct GspanRun *run, const char *event, const char *outcome, int status,
               struct GspanOutbox *outbox)
{
  struct GspanLine line;

  begin_line (run, event, outcome, status, &line);
  gspan_outbox_log (outbox, "runner", GSPAN_PRIORITY_INFO, &line);
}

void
gspan_run_log_end (const struct GspanRun *run, const char *outcome,
                   const struct GspanEventHttp *answer, bool signed_by_replica,
                   struct GspanOutbox *outbox)
{
  struct GspanLine line;

  begin_line (run, "run-ended", outcome, answer->status, &line);
  gspan_line_u64 (&line, "signed", signed_by_replica);
  gspan_answer_log (answer, &line);
  gspan_outbox_log (outbox, "runner", GSPAN_PRIORITY_INFO, &line);
}

void
gspan_run_finish_item (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                       bool completed, struct GspanOutbox *outbox)
{
  if (item->state == GSPAN_ITEM_COMMITTED)
    return;
  if (item->result == NULL || !completed)
    {
      if (item->result != NULL)
        gspan_job_result_free (item->result);
      item->result = gspan_job_result_new (item->submitted->id);
    }
  item->result->completed = completed;
  gspan_job_set_state (job, item, GSPAN_ITEM_FINISHED);
  g_ptr_array_add (job->ready_results, item->result);
  item->result = NULL;
  gspan_metrics_add (&node->metrics,
                     completed ? GSPAN_METRIC_ITEMS_COMPLETED : GSPAN_METRIC_ITEMS_ABANDONED, 1);
  gspan_segments_advance (node, job, outbox);
}

void
gspan_run_finish_text (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                       struct GspanOutbox *outbox)
{
  if (item->submitted->reward != NULL)
    gspan_rewards_add (node, job, item, outbox);
  else
    gspan_run_finish_item (node, job, item, true, outbox);
}

/* Not by the time of day, which may jump; a later owner abandons later, which harms nobody. */
static bool
is_late (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_jobs_route_of (node, job);

  return route != NULL && route->give_up_after_us > 0
         && node->now >= job->known_since_us + route->give_up_after_us;
}

bool
gspan_run_abandon_if_due (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                          struct GspanOutbox *outbox)
{
  if (!item->submitted->unsendable && !is_late (node, job))
    return false;
  gspan_run_finish_item (node, job, item, false, outbox);
  return true;
}

void
gspan_run_discard_progress (struct GspanItem *item)
{
  if (item->result != NULL)
    gspan_job_result_free (item->result);
  item->result = NULL;
  item->last_event_id = 0;
  item->closed_after = 0;
  item->checkpointed_event_id = 0;
}

const char *
gspan_run_software_of (const struct GspanItem *item)
{
  if (item->last_event_id == 0 || item->result == NULL)
    return NULL;
  return item->result->software != NULL ? item->result->software : "";
}

bool
gspan_run_requires_single_version (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_jobs_route_of (node, job);

  return route != NULL && route->single_version;
}

void
gspan_run_ask_for_rest (struct GspanNode *node, struct GspanRun *run)
{
  struct GspanItem *item = run->item;

  if (!run->was_rejected)
    item->resumable_since_us = 0;
  if (item->state == GSPAN_ITEM_RUNNING)
    {
      gspan_job_set_state (run->job, item, GSPAN_ITEM_WAITING);
      g_queue_push_head (&run->job->waiting_items, item);
    }
  g_hash_table_remove (node->runner.runs, &run->id);
}

void
gspan_run_requeue (struct GspanNode *node, struct GspanRun *run)
{
  /* the next replica may have another weight version, which could not continue the result */
  if (run->item->state == GSPAN_ITEM_RUNNING && gspan_run_requires_single_version (node, run->job))
    gspan_run_discard_progress (run->item);
  gspan_run_ask_for_rest (node, run);
}

void
gspan_run_cancel (struct GspanRun *run, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_RUNS, run->id };

  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
}

void
gspan_run_start (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                 struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  struct GspanRun *run = g_new0 (struct GspanRun, 1);
  struct GspanRef ref = { GSPAN_OWNER_RUNS, gspan_node_next_id (node) };
  struct GspanActionHttp *http
      = gspan_permits_send (node, replica, GSPAN_TRAFFIC_RUNS, ref, outbox);

  run->id = ref.id;
  run->node = node;
  run->job = job;
  run->item = item;
  run->replica = gspan_replica_ref (replica);
  run->started_at_us = node->now;
  run->last_active_us = node->now;
  gspan_events_init (&run->events, gspan_wire_event_weight_version);
  replica->open++;
  gspan_job_set_state (job, item, GSPAN_ITEM_RUNNING);
  g_hash_table_insert (node->runner.runs, &run->id, run);
  if (item->submitted->group[0] != '\0')
    g_hash_table_replace (job->prompt_replicas, g_strdup (item->submitted->group),
                          g_strdup (replica->id));
  http->method = g_strdup ("POST");
  http->url = g_strdup_printf ("http://%s%s", replica->address, item->submitted->path);
  http->body = g_bytes_ref (item->submitted->body);
  http->timeout_us = RUN_TIMEOUT_US;
  http->stream = true;
  http->http_framing_only = true;
  http->tcp_keepalive = true;
  http->required_header = gspan_wire_attempt_id_line (gspan_str_from (item->submitted->id));
  gspan_wire_write_run_headers (item->submitted, job->host, replica->id, item->last_event_id,
                                &http->headers);
  if (node->catalog.config.accounts.enabled)
    gspan_wire_set_account (&http->headers, job->account);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RUNS, 1);
  log_start (run, gspan_exchanges_relay_of (node, ref.id), outbox);
}

#include "jobs/runner.h"

#include <string.h>

#include "catalog/pace.h"
#include "catalog/pick.h"
#include "common/clock.h"
#include "common/events.h"
#include "node/node.h"
#include "platform/wire.h"

#define RUN_TIMEOUT_US (60 * GSPAN_SECOND)        /* the timeouts below usually end a run earlier */
#define FIRST_EVENT_TIMEOUT_US (3 * GSPAN_SECOND) /* covers a full queue or a load of weights */
#define EVENT_TIMEOUT_US (GSPAN_SECOND)           /* several event intervals of a slow replica */
#define BUSY_BACKOFF_US (100 * GSPAN_MS)          /* of a replica that refused a run */
#define RESUME_WAIT_US (2 * GSPAN_SECOND)         /* for replicas of the text's software version */
#define SCHEDULE_INTERVAL_US (50 * GSPAN_MS)
#define SLOW_CHECK_INTERVAL_US (100 * GSPAN_MS)

enum
{
  PERMITS_AHEAD = 2, /* asked for at a replica with a limit; more would lapse if others have room */
  CONCURRENCY_DEFAULT = 8, /* limit of a replica whose service sets none */
  STATUS_UNPROCESSABLE = 422,
  STATUS_INTERNAL_ERROR = 500
};

/* A run in flight: the request that generates one item at one replica. */
struct GspanRun
{
  guint64 id;
  struct GspanNode *node;
  struct GspanJob *job;
  struct GspanItem *item;
  struct GspanReplica *replica;
  struct GspanEvents events;
  guint64 started_at_us;
  guint64 last_active_us; /* last event; before the first one, the response's head or the start */
  guint64 weight_version; /* that generates now; 0 is unknown */
  guint event_count;      /* valid events of this run */
  bool was_rejected;      /* the replica said that it doesn't run it */
  bool has_head;          /* the response's head has come */
  bool is_streaming;      /* a response of 200 with the replica's stamp has begun */
  bool is_too_long;       /* the text is longer than a result may be */
  bool has_invalid_event; /* an event out of order, not UTF-8 or of a weight version not allowed */
};

static void
run_free (gpointer data)
{
  struct GspanRun *run = data;

  run->replica->open--;
  gspan_replica_unref (run->replica);
  gspan_events_finish (&run->events);
  g_free (run);
}

void
gspan_runner_init (struct GspanRunner *runner)
{
  *runner = (struct GspanRunner){ 0 };
  runner->runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, run_free);
}

void
gspan_runner_finish (struct GspanRunner *runner)
{
  g_hash_table_unref (runner->runs);
}

static void
log_start (const struct GspanRun *run, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "run-started");
  gspan_line_cstr (&line, "job", run->job->id);
  gspan_line_cstr (&line, "item", run->item->submitted->id);
  gspan_line_cstr (&line, "upstream", run->replica->id);
  gspan_line_cstr (&line, "software", run->replica->software);
  gspan_line_u64 (&line, "events", run->item->last_event_id);
  gspan_line_u64 (&line, "open_there", run->replica->open);
  gspan_outbox_log (outbox, "runner", GSPAN_PRIORITY_INFO, &line);
}

static void
log_run (const struct GspanRun *run, const char *event, const char *outcome, int status,
         struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "job", run->job->id);
  gspan_line_cstr (&line, "item", run->item->submitted->id);
  gspan_line_cstr (&line, "upstream", run->replica->id);
  gspan_line_cstr (&line, "outcome", outcome);
  gspan_line_int (&line, "status", status);
  gspan_line_u64 (&line, "events", run->item->last_event_id);
  gspan_line_u64 (&line, "weights", run->weight_version);
  gspan_line_u64 (&line, "elapsed_us", run->node->now - run->started_at_us);
  gspan_outbox_log (outbox, "runner", GSPAN_PRIORITY_INFO, &line);
}

static void
finish_item (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item, bool completed,
             struct GspanOutbox *outbox)
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

static void
discard_progress (struct GspanItem *item)
{
  if (item->result != NULL)
    gspan_job_result_free (item->result);
  item->result = NULL;
  item->last_event_id = 0;
  item->checkpointed_event_id = 0;
}

/* Software version that the text of ITEM has to go on at; NULL where it is to begin. */
static const char *
software_of (const struct GspanItem *item)
{
  if (item->last_event_id == 0 || item->result == NULL)
    return NULL;
  return item->result->software != NULL ? item->result->software : "";
}

static bool
requires_single_version (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_config_match (
      &node->catalog.config, gspan_str_from (job->host), gspan_str_from (job->path));

  return route != NULL && route->single_version;
}

/*
 * Frees RUN. Its item goes to the front of the queue, unless another node has committed a result of
 * it.
 */
static void
requeue (struct GspanNode *node, struct GspanRun *run)
{
  struct GspanItem *item = run->item;

  if (!run->was_rejected)
    item->resumable_since_us = 0;

  if (item->state == GSPAN_ITEM_RUNNING)
    {
      /* the next replica may have another weight version, which could not continue the result */
      if (requires_single_version (node, run->job))
        discard_progress (item);
      gspan_job_set_state (run->job, item, GSPAN_ITEM_WAITING);
      g_queue_push_head (&run->job->waiting_items, item);
    }
  g_hash_table_remove (node->runner.runs, &run->id);
}

/* True if the item's result may contain events of the run's present weight version. */
static bool
weight_version_allowed (const struct GspanRun *run)
{
  const struct GspanItem *item = run->item;
  const GArray *versions = item->result->weight_versions;

  if (run->weight_version < run->job->document.weight_version_min)
    return false;
  if (versions->len == 0 || !requires_single_version (run->node, run->job))
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
    {
      item->result = gspan_job_result_new (item->submitted->id);
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
  run->is_streaming = answer->status == 200 && wire.signed_by_replica;
  run->weight_version = wire.weight_version;
  run->last_active_us = run->node->now;
  if (run->is_streaming && wire.weight_version > 0)
    gspan_replica_set_weights (run->replica, run->job->document.model, wire.weight_version);
}

static void
cancel_request (struct GspanRun *run, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_RUNS, run->id };

  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
}

/*
 * Cancels RUN and queues its item again. If the weight version wasn't allowed, the item starts over
 * without the result generated so far.
 */
static void
abort_run (struct GspanNode *node, struct GspanRun *run, const char *reason,
           struct GspanOutbox *outbox)
{
  log_run (run, "run-broken-off", reason, 0, outbox);
  gspan_replica_failed (run->replica, node->now);
  if (run->is_too_long || (run->has_invalid_event && !weight_version_allowed (run)))
    discard_progress (run->item);
  cancel_request (run, outbox);
  requeue (node, run);
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
  const struct GspanConfigRoute *route = gspan_config_match (
      &node->catalog.config, gspan_str_from (job->host), gspan_str_from (job->path));

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
      requeue (node, run);
      return;
    }
  g_hash_table_remove (node->runner.runs, &run->id);
  finish_item (node, job, item, false, outbox);
}

static void
on_run_lost (struct GspanNode *node, struct GspanRun *run)
{
  gspan_replica_failed (run->replica, node->now);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RUNS_RESUMED, 1);
  requeue (node, run);
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
  log_run (run, "run-ended", outcomes[answer->result], answer->status, outbox);
  if (whole && run->is_streaming && run->events.pending->len == 0 && item->last_event_id > 0)
    {
      gspan_replica_worked (run->replica);
      gspan_metrics_observe (&node->metrics, GSPAN_HISTOGRAM_RUN, node->now - run->started_at_us);
      g_hash_table_remove (node->runner.runs, &run->id);
      finish_item (node, job, item, true, outbox);
    }
  else if (whole && answer->status == STATUS_UNPROCESSABLE && wire.signed_by_replica)
    {
      g_hash_table_remove (node->runner.runs, &run->id);
      finish_item (node, job, item, false, outbox);
    }
  else if (whole && answer->status == STATUS_INTERNAL_ERROR && wire.signed_by_replica)
    on_server_error (node, run, outbox);
  else if (whole && wire.not_run)
    {
      run->was_rejected = true;
      run->replica->misdirected = run->replica->misdirected || wire.misdirected;
      run->replica->avoid_until = MAX (run->replica->avoid_until, node->now + BUSY_BACKOFF_US);
      requeue (node, run);
    }
  else
    on_run_lost (node, run);
}

static guint
concurrency_limit (const struct GspanNode *node, const char *service)
{
  const struct GspanConfigService *found = gspan_config_service (&node->catalog.config, service);

  return found != NULL && found->slots > 0 ? found->slots : CONCURRENCY_DEFAULT;
}

/*
 * Returns the replica for the next run of ITEM, or NULL if none has room. TYPICAL_US, unless 0, is
 * the service's typical event interval; far slower replicas are avoided. Replicas that lack only a
 * permit are added to WITHOUT_PERMIT, unless it is NULL.
 */
static struct GspanReplica *
pick_replica (struct GspanNode *node, const struct GspanJob *job, const struct GspanItem *item,
              const char *service, guint64 typical_us, GPtrArray *without_permit)
{
  struct GspanPickQuery query = { 0 };

  query.service = service;
  query.now = node->now;
  query.zone = node->self.zone;
  query.model = job->document.model[0] != '\0' ? job->document.model : NULL;
  query.weights_min = job->document.weight_version_min;
  query.software = software_of (item);
  query.preferred = g_hash_table_lookup (job->prompt_replicas, item->submitted->group);
  query.open_max = concurrency_limit (node, service);
  query.draw = g_rand_int (node->random);
  query.typical_us = typical_us;
  query.limits = &node->rate_limits;
  query.traffic = GSPAN_TRAFFIC_RUNS;
  query.without_permit = without_permit;
  return gspan_pick_replica (node->catalog.replicas, &query);
}

static void
start_run (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
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
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RUNS, 1);
  log_start (run, outbox);
}

/* Abandons ITEM if no replica has finished it in the time that ROUTE allows. */
static bool
abandon_if_late (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                 const struct GspanConfigRoute *route, struct GspanOutbox *outbox)
{
  gint64 age_ms = node->wall_ms - job->received_ms;

  if (route->give_up_after_us == 0 || age_ms < (gint64)(route->give_up_after_us / GSPAN_MS))
    return false;
  finish_item (node, job, item, false, outbox);
  return true;
}

/*
 * Has ITEM begin anew where its text can't go on: the software version that began it is gone, or
 * none of its replicas has taken the item for a while.
 */
static void
begin_anew_if_due (struct GspanNode *node, const struct GspanJob *job, struct GspanItem *item,
                   const char *service, struct GspanOutbox *outbox)
{
  const char *software = software_of (item);
  struct GspanLine line;
  bool is_there;

  if (software == NULL)
    return;
  if (item->resumable_since_us == 0)
    item->resumable_since_us = node->now;
  is_there = gspan_pick_has_software (node->catalog.replicas, service, software);
  if (is_there && node->now < item->resumable_since_us + RESUME_WAIT_US)
    return;
  gspan_line_init (&line, "item-begins-anew");
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_cstr (&line, "item", item->submitted->id);
  gspan_line_cstr (&line, "software", software);
  gspan_line_u64 (&line, "is_there", is_there);
  gspan_line_u64 (&line, "events", item->last_event_id);
  gspan_outbox_log (outbox, "runner", GSPAN_PRIORITY_INFO, &line);
  discard_progress (item);
}

/*
 * Returns a replica of any pace for the next run of ITEM. If there is none, asks for permits for
 * the next runs at those that have room.
 */
static struct GspanReplica *
pick_or_want (struct GspanNode *node, const struct GspanJob *job, const struct GspanItem *item,
              const char *service, struct GspanOutbox *outbox)
{
  GPtrArray *without_permit = g_ptr_array_new ();
  guint total = MIN (job->waiting_items.length + 1, PERMITS_AHEAD);
  struct GspanReplica *replica = pick_replica (node, job, item, service, 0, without_permit);

  for (guint i = 0; replica == NULL && i < without_permit->len; i++)
    gspan_permits_want (node, g_ptr_array_index (without_permit, i), GSPAN_TRAFFIC_RUNS, total,
                        outbox);
  g_ptr_array_unref (without_permit);
  return replica;
}

/* Puts the items of HELD back in front of those that wait. */
static void
put_back (struct GspanJob *job, GQueue *held)
{
  while (held->length > 0)
    g_queue_push_head (&job->waiting_items, g_queue_pop_tail (held));
}

/*
 * Starts waiting items of JOB while replicas have room. Returns false if there is no room left.
 * Items that only some replicas may run don't keep the others waiting.
 */
static bool
schedule_job (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  const struct GspanConfigRoute *route = gspan_config_match (
      &node->catalog.config, gspan_str_from (job->host), gspan_str_from (job->path));
  GQueue held = G_QUEUE_INIT;
  bool has_room = true;
  const char *service;
  guint64 typical_us;
  guint count = job->waiting_items.length;

  if (route == NULL)
    return true;
  service = gspan_config_pick_service (route, g_rand_int (node->random));
  if (service == NULL)
    return true;
  typical_us = gspan_pace_typical (node->catalog.replicas, service, node->now);
  for (guint i = 0; i < count && has_room; i++)
    {
      struct GspanItem *item = g_queue_pop_head (&job->waiting_items);
      struct GspanReplica *replica;

      if (abandon_if_late (node, job, item, route, outbox))
        continue;
      begin_anew_if_due (node, job, item, service, outbox);
      replica = pick_replica (node, job, item, service, typical_us, NULL);
      if (replica == NULL)
        replica = pick_or_want (node, job, item, service, outbox);
      if (replica != NULL)
        start_run (node, job, item, replica, outbox);
      else
        {
          has_room = software_of (item) != NULL;
          g_queue_push_tail (&held, item);
        }
    }
  put_back (job, &held);
  return has_room;
}

static gint
compare_age (gconstpointer a, gconstpointer b)
{
  const struct GspanJob *x = a;
  const struct GspanJob *y = b;

  if (x->received_ms != y->received_ms)
    return x->received_ms < y->received_ms ? -1 : 1;
  return strcmp (x->id, y->id);
}

void
gspan_runner_schedule (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *jobs = g_hash_table_get_values (node->jobs.by_id);

  node->runner.next_schedule_at_us = node->now + SCHEDULE_INTERVAL_US;
  jobs = g_list_sort (jobs, compare_age);
  for (GList *entry = jobs; entry != NULL; entry = entry->next)
    {
      struct GspanJob *job = entry->data;

      if (!job->is_owner || job->ended || !job->content_loaded || !job->segments_up_to_date
          || job->handing_over || job->waiting_items.length == 0)
        continue;
      /* A job that names a model may lack only replicas of that model: try younger jobs too. */
      if (!schedule_job (node, job, outbox) && job->document.model[0] == '\0')
        break;
    }
  g_list_free (jobs);
}

static void
abort_silent_runs (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *runs = g_hash_table_get_values (node->runner.runs);

  for (GList *entry = runs; entry != NULL; entry = entry->next)
    {
      struct GspanRun *run = entry->data;
      guint64 limit_us = run->event_count > 0 ? EVENT_TIMEOUT_US : FIRST_EVENT_TIMEOUT_US;

      if (node->now - run->last_active_us > limit_us)
        abort_run (node, run, "silent", outbox);
    }
  g_list_free (runs);
}

/* Returns a faster replica for RUN, or NULL if its replica isn't slow or no other is faster. */
static struct GspanReplica *
faster_replica (struct GspanNode *node, const struct GspanRun *run, guint64 typical_us)
{
  struct GspanReplica *replica;

  if (run->event_count == 0 || !gspan_pace_is_slow (run->replica, typical_us, node->now)
      || requires_single_version (node, run->job))
    return NULL;
  replica = pick_replica (node, run->job, run->item, run->replica->service, typical_us, NULL);
  return replica != run->replica ? replica : NULL;
}

/* Moves runs away from replicas that have become slow. */
static void
move_slow_runs (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *runs = g_hash_table_get_values (node->runner.runs);
  const char *service = "";
  guint64 typical_us = 0;

  node->runner.next_move_check_at_us = node->now + SLOW_CHECK_INTERVAL_US;
  for (GList *entry = runs; entry != NULL; entry = entry->next)
    {
      struct GspanRun *run = entry->data;
      struct GspanJob *job = run->job;
      struct GspanItem *moved = run->item;
      struct GspanReplica *replica;

      if (strcmp (service, run->replica->service) != 0)
        {
          service = run->replica->service;
          typical_us = gspan_pace_typical (node->catalog.replicas, service, node->now);
        }
      replica = faster_replica (node, run, typical_us);
      if (replica == NULL || moved->state != GSPAN_ITEM_RUNNING)
        continue;
      log_run (run, "run-moved", "the replica is slow", 0, outbox);
      cancel_request (run, outbox);
      requeue (node, run);
      g_queue_remove (&job->waiting_items, moved);
      start_run (node, job, moved, replica, outbox);
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
      cancel_request (run, outbox);
      requeue (node, run);
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
        move_slow_runs (node, outbox);
      if (node->now >= node->runner.next_schedule_at_us)
        gspan_runner_schedule (node, outbox);
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
      gspan_runner_schedule (node, outbox);
    }
}

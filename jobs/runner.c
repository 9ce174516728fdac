#include "jobs/runner.h"

#include <string.h>

#include "catalog/pace.h"
#include "catalog/pick.h"
#include "common/clock.h"
#include "common/events.h"
#include "node/node.h"
#include "platform/wire.h"

#define RUN_MAX_US (60 * GSPAN_SECOND)        /* of one run; its silence ends it far sooner */
#define FIRST_EVENT_MAX_US (3 * GSPAN_SECOND) /* a full queue or a load of weights takes less */
#define SILENCE_MAX_US (GSPAN_SECOND)  /* several times what a slow replica takes for an event */
#define BUSY_PAUSE_US (100 * GSPAN_MS) /* a replica that refused is left alone for so long */
#define CRASH_PAUSE_US (GSPAN_SECOND)  /* an item whose runs break without an event waits */
#define RESCHEDULE_US (50 * GSPAN_MS)
#define MOVE_CHECK_US (100 * GSPAN_MS) /* between two looks for runs at slow replicas */

enum
{
  LOSSES_BEFORE_PAUSE = 3,
  LOSS_PAUSES_MAX = 8,
  SLOTS_DEFAULT = 8, /* of a replica that doesn't say how many it has */
  STATUS_UNPROCESSABLE = 422,
  STATUS_FAILED = 500
};

struct GspanRun
{
  guint64 id;
  struct GspanNode *node;
  struct GspanJob *job;
  struct GspanItem *item;
  struct GspanReplica *replica;
  struct GspanEvents events;
  guint64 started;
  guint64 heard;   /* last event, or the start */
  guint64 weights; /* that generate now; 0 is not known */
  guint got;       /* events of this run */
  bool streams;    /* its answer is one of success */
  bool broken;     /* an event was out of order, or of weights that are too old */
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
log_run (const struct GspanRun *run, const char *event, const char *outcome, int status,
         struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "job", run->job->id);
  gspan_line_cstr (&line, "item", run->item->source->id);
  gspan_line_cstr (&line, "upstream", run->replica->id);
  gspan_line_cstr (&line, "outcome", outcome);
  gspan_line_int (&line, "status", status);
  gspan_line_u64 (&line, "events", run->item->last_event);
  gspan_line_u64 (&line, "weights", run->weights);
  gspan_line_u64 (&line, "elapsed_us", run->node->now - run->started);
  gspan_outbox_log (outbox, "runner", GSPAN_PRIORITY_INFO, &line);
}

static void
finish_item (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item, bool completed,
             struct GspanOutbox *outbox)
{
  if (item->state == GSPAN_ITEM_LISTED)
    return;
  if (item->result == NULL || !completed)
    {
      if (item->result != NULL)
        gspan_job_result_free (item->result);
      item->result = gspan_job_result_new (item->source->id);
    }
  item->result->completed = completed;
  gspan_job_set_state (job, item, GSPAN_ITEM_FINISHED);
  g_ptr_array_add (job->ready, item->result);
  item->result = NULL;
  gspan_metrics_add (&node->metrics,
                     completed ? GSPAN_METRIC_ITEMS_COMPLETED : GSPAN_METRIC_ITEMS_ABANDONED, 1);
  gspan_segments_advance (node, job, outbox);
}

static void
drop_progress (struct GspanItem *item)
{
  if (item->result != NULL)
    gspan_job_result_free (item->result);
  item->result = NULL;
  item->last_event = 0;
  item->kept_event = 0;
}

static bool
keeps_single_version (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_config_match (
      &node->catalog.config, gspan_str_from (job->host), gspan_str_from (job->path));

  return route != NULL && route->single_version;
}

/* Ends the run and puts its item, unless another node has listed it, to the front of the queue. */
static void
requeue (struct GspanNode *node, struct GspanRun *run)
{
  struct GspanItem *item = run->item;

  if (item->state == GSPAN_ITEM_RUNNING)
    {
      /* another replica may have other weights, under which the result couldn't go on */
      if (keeps_single_version (node, run->job))
        drop_progress (item);
      gspan_job_set_state (run->job, item, GSPAN_ITEM_WAITING);
      g_queue_push_head (&run->job->waiting, item);
    }
  g_hash_table_remove (node->runner.runs, &run->id);
}

/* Whether the weights of the next event may stand in the item's result. */
static bool
weights_fit (const struct GspanRun *run)
{
  const struct GspanItem *item = run->item;
  const GArray *versions = item->result->weight_versions;

  if (run->weights < run->job->document.weight_version_min)
    return false;
  if (versions->len == 0 || !keeps_single_version (run->node, run->job))
    return true;
  return versions->len == 1 && g_array_index (versions, guint64, 0) == run->weights;
}

static void
take_event (void *user, const struct GspanStreamEvent *event)
{
  struct GspanRun *run = user;
  struct GspanItem *item = run->item;

  if (run->broken)
    return;
  if (event->has_mark)
    {
      run->weights = event->mark;
      gspan_replica_set_weights (run->replica, run->job->document.model, event->mark);
    }
  if (item->result == NULL)
    item->result = gspan_job_result_new (item->source->id);
  if (!event->has_id || event->id != item->last_event + 1 || !weights_fit (run)
      || !g_utf8_validate (event->data.data, (gssize)event->data.len, NULL))
    {
      run->broken = true;
      return;
    }
  if (item->last_event > 0)
    g_string_append_c (item->result->text, '\n');
  g_string_append_len (item->result->text, event->data.data, (gssize)event->data.len);
  if (run->weights > 0)
    gspan_job_result_add_version (item->result, run->weights);
  item->last_event = event->id;
  item->losses = 0;
  run->heard = run->node->now;
  run->got++;
}

static void
on_head (struct GspanRun *run, const struct GspanEventHttp *answer)
{
  struct GspanWireResponse wire;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  run->streams = answer->status == 200 && wire.signed_by_replica;
  run->weights = wire.weight_version;
  run->heard = run->node->now;
  if (run->streams && wire.weight_version > 0)
    gspan_replica_set_weights (run->replica, run->job->document.model, wire.weight_version);
}

static void
cancel (struct GspanRun *run, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_RUNS, run->id };

  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
}

/* Breaks the run off; a result that can't be gone on with is begun anew. */
static void
break_off (struct GspanNode *node, struct GspanRun *run, const char *why,
           struct GspanOutbox *outbox)
{
  log_run (run, "run-broken-off", why, 0, outbox);
  gspan_replica_failed (run->replica, node->now);
  if (run->broken && !weights_fit (run))
    drop_progress (run->item);
  cancel (run, outbox);
  requeue (node, run);
}

static void
on_data (struct GspanNode *node, struct GspanRun *run, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  guint64 heard = run->heard;
  guint got = run->got;

  if (!run->streams)
    return;
  gspan_events_feed (&run->events, gspan_str_from_bytes (answer->body), take_event, run);
  /* The first event also waits for a slot and for the prompt to be read. */
  if (got > 0 && run->got > got)
    gspan_pace_note (run->replica, node->now, node->now - heard, run->got - got);
  if (run->broken)
    break_off (node, run, "event out of order, unreadable or of other weights", outbox);
}

static guint
attempts_max (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_config_match (
      &node->catalog.config, gspan_str_from (job->host), gspan_str_from (job->path));

  return route != NULL ? route->attempts_max : 1;
}

static void
fail_item (struct GspanNode *node, struct GspanRun *run, struct GspanOutbox *outbox)
{
  struct GspanItem *item = run->item;
  struct GspanJob *job = run->job;

  item->failures++;
  if (item->failures < attempts_max (node, job))
    {
      requeue (node, run);
      return;
    }
  g_hash_table_remove (node->runner.runs, &run->id);
  finish_item (node, job, item, false, outbox);
}

/* A run that broke: goes on elsewhere, after a pause where the item seems to break replicas. */
static void
lose_run (struct GspanNode *node, struct GspanRun *run)
{
  struct GspanItem *item = run->item;

  gspan_replica_failed (run->replica, node->now);
  if (run->got == 0 && ++item->losses >= LOSSES_BEFORE_PAUSE)
    item->not_before = node->now + CRASH_PAUSE_US * MIN (item->losses, LOSS_PAUSES_MAX);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RUNS_RESUMED, 1);
  requeue (node, run);
}

static void
on_done (struct GspanNode *node, struct GspanRun *run, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  static const char *const results[] = { "whole", "not-sent", "lost", "timeout" };
  bool whole = answer->result == GSPAN_HTTP_COMPLETE;
  struct GspanJob *job = run->job;
  struct GspanItem *item = run->item;
  struct GspanWireResponse wire;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  log_run (run, "run-ended", results[answer->result], answer->status, outbox);
  if (whole && run->streams && run->events.pending->len == 0 && item->last_event > 0)
    {
      gspan_replica_worked (run->replica);
      gspan_metrics_observe (&node->metrics, GSPAN_HISTOGRAM_RUN, node->now - run->started);
      g_hash_table_remove (node->runner.runs, &run->id);
      finish_item (node, job, item, true, outbox);
    }
  else if (whole && answer->status == STATUS_UNPROCESSABLE && wire.signed_by_replica)
    {
      g_hash_table_remove (node->runner.runs, &run->id);
      finish_item (node, job, item, false, outbox);
    }
  else if (whole && answer->status == STATUS_FAILED && wire.signed_by_replica)
    fail_item (node, run, outbox);
  else if (whole && wire.not_run)
    {
      run->replica->misdirected = run->replica->misdirected || wire.misdirected;
      run->replica->avoid_until = MAX (run->replica->avoid_until, node->now + BUSY_PAUSE_US);
      requeue (node, run);
    }
  else
    lose_run (node, run);
}

static guint
slots_of (const struct GspanNode *node, const char *service)
{
  const struct GspanConfigService *found = gspan_config_service (&node->catalog.config, service);

  return found != NULL && found->slots > 0 ? found->slots : SLOTS_DEFAULT;
}

/* Where ITEM goes next. TYPICAL_US, unless 0, keeps it from replicas that are far slower. */
static struct GspanReplica *
place (struct GspanNode *node, const struct GspanJob *job, const struct GspanItem *item,
       const char *service, guint64 typical_us)
{
  struct GspanPickQuery query = { 0 };

  query.service = service;
  query.now = node->now;
  query.zone = node->self.zone;
  query.model = job->document.model[0] != '\0' ? job->document.model : NULL;
  query.weights_min = job->document.weight_version_min;
  query.preferred = g_hash_table_lookup (job->prompts, item->source->group);
  query.open_max = slots_of (node, service);
  query.draw = g_rand_int (node->random);
  query.typical_us = typical_us;
  return gspan_pick_replica (node->catalog.replicas, &query);
}

static void
start_run (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
           struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  struct GspanRun *run = g_new0 (struct GspanRun, 1);
  struct GspanRef ref = { GSPAN_OWNER_RUNS, gspan_node_next_id (node) };
  struct GspanActionHttp *http = &gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref)->u.http;

  run->id = ref.id;
  run->node = node;
  run->job = job;
  run->item = item;
  run->replica = gspan_replica_ref (replica);
  run->started = node->now;
  run->heard = node->now;
  gspan_events_init (&run->events, gspan_wire_event_weight_version);
  replica->open++;
  gspan_job_set_state (job, item, GSPAN_ITEM_RUNNING);
  g_hash_table_insert (node->runner.runs, &run->id, run);
  if (item->source->group[0] != '\0')
    g_hash_table_replace (job->prompts, g_strdup (item->source->group), g_strdup (replica->id));
  http->method = g_strdup ("POST");
  http->url = g_strdup_printf ("http://%s%s", replica->address, item->source->path);
  http->body = g_bytes_ref (item->source->body);
  http->timeout_us = RUN_MAX_US;
  http->stream = true;
  http->http_framing_only = true;
  http->tcp_keepalive = true;
  http->required_header = gspan_wire_attempt_id_line (gspan_str_from (item->source->id));
  gspan_wire_write_run_headers (item->source, job->host, replica->id, item->last_event,
                                &http->headers);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RUNS, 1);
}

/* Gives up an item that no replica finished in the time that its route allows. */
static bool
give_up_if_late (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                 const struct GspanConfigRoute *route, struct GspanOutbox *outbox)
{
  gint64 age_ms = node->wall_ms - job->received_ms;

  if (route->give_up_after_us == 0 || age_ms < (gint64)(route->give_up_after_us / GSPAN_MS))
    return false;
  finish_item (node, job, item, false, outbox);
  return true;
}

/* Starts items of JOB while replicas have room. False where they have none. */
static bool
schedule_job (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  const struct GspanConfigRoute *route = gspan_config_match (
      &node->catalog.config, gspan_str_from (job->host), gspan_str_from (job->path));
  const char *service;
  guint64 typical_us;
  guint count = job->waiting.length;

  if (route == NULL)
    return true;
  service = gspan_config_pick_service (route, g_rand_int (node->random));
  if (service == NULL)
    return true;
  typical_us = gspan_pace_typical (node->catalog.replicas, service, node->now);
  for (guint i = 0; i < count; i++)
    {
      struct GspanItem *item = g_queue_pop_head (&job->waiting);
      struct GspanReplica *replica;

      if (give_up_if_late (node, job, item, route, outbox))
        continue;
      if (item->not_before > node->now)
        {
          g_queue_push_tail (&job->waiting, item);
          continue;
        }
      replica = place (node, job, item, service, typical_us);
      if (replica == NULL)
        replica = place (node, job, item, service, 0);
      if (replica == NULL)
        {
          g_queue_push_head (&job->waiting, item);
          return false;
        }
      start_run (node, job, item, replica, outbox);
    }
  return true;
}

static gint
by_age (gconstpointer a, gconstpointer b)
{
  const struct GspanJob *x = a;
  const struct GspanJob *y = b;

  if (x->received_ms != y->received_ms)
    return x->received_ms < y->received_ms ? -1 : 1;
  return strcmp (x->id, y->id);
}

static void
schedule (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *jobs = g_hash_table_get_values (node->jobs.by_id);

  node->runner.next_schedule_at_us = node->now + RESCHEDULE_US;
  jobs = g_list_sort (jobs, by_age);
  for (GList *item = jobs; item != NULL; item = item->next)
    {
      struct GspanJob *job = item->data;

      if (!job->mine || job->ended || !job->loaded || !job->read_all || job->handing_over
          || job->waiting.length == 0)
        continue;
      if (!schedule_job (node, job, outbox) && job->document.model[0] == '\0')
        break;
    }
  g_list_free (jobs);
}

static void
check_silence (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *runs = g_hash_table_get_values (node->runner.runs);

  for (GList *item = runs; item != NULL; item = item->next)
    {
      struct GspanRun *run = item->data;
      guint64 limit = run->got > 0 ? SILENCE_MAX_US : FIRST_EVENT_MAX_US;

      if (node->now - run->heard > limit)
        break_off (node, run, "silent", outbox);
    }
  g_list_free (runs);
}

/* Where RUN would go on faster; NULL where it is well where it is. */
static struct GspanReplica *
faster_replica (struct GspanNode *node, const struct GspanRun *run, guint64 typical_us)
{
  struct GspanReplica *replica;

  if (run->got == 0 || !gspan_pace_is_slow (run->replica, typical_us, node->now)
      || keeps_single_version (node, run->job))
    return NULL;
  replica = place (node, run->job, run->item, run->replica->service, typical_us);
  return replica != run->replica ? replica : NULL;
}

/* Moves runs from replicas that have turned slow. */
static void
move_slow_runs (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *runs = g_hash_table_get_values (node->runner.runs);
  const char *service = "";
  guint64 typical_us = 0;

  node->runner.next_move_check_at_us = node->now + MOVE_CHECK_US;
  for (GList *item = runs; item != NULL; item = item->next)
    {
      struct GspanRun *run = item->data;
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
      cancel (run, outbox);
      requeue (node, run);
      g_queue_remove (&job->waiting, moved);
      start_run (node, job, moved, replica, outbox);
    }
  g_list_free (runs);
}

void
gspan_runner_stop (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  GList *runs = g_hash_table_get_values (node->runner.runs);

  for (GList *item = runs; item != NULL; item = item->next)
    {
      struct GspanRun *run = item->data;

      if (run->job != job)
        continue;
      cancel (run, outbox);
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
      check_silence (node, outbox);
      if (node->now >= node->runner.next_move_check_at_us)
        move_slow_runs (node, outbox);
      if (node->now >= node->runner.next_schedule_at_us)
        schedule (node, outbox);
      return;
    }
  if (run == NULL)
    return;
  if (event->kind == GSPAN_EVENT_HTTP_HEAD)
    on_head (run, &event->u.http);
  else if (event->kind == GSPAN_EVENT_HTTP_DATA)
    on_data (node, run, &event->u.http, outbox);
  else if (event->kind == GSPAN_EVENT_HTTP_DONE)
    {
      on_done (node, run, &event->u.http, outbox);
      schedule (node, outbox);
    }
}

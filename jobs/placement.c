#include "jobs/placement.h"

#include <string.h>

#include "catalog/pace.h"
#include "catalog/pick.h"
#include "common/clock.h"
#include "node/node.h"

/* For replicas of the text's software version: longer than one that has failed is avoided. */
#define RESUME_WAIT_US (3 * GSPAN_SECOND)
#define SCHEDULE_INTERVAL_US (50 * GSPAN_MS)
#define SLOW_CHECK_INTERVAL_US (100 * GSPAN_MS)

enum
{
  PERMITS_AHEAD = 2, /* asked for at a replica with a limit; more would lapse if others have room */
  CONCURRENCY_DEFAULT = 8 /* limit of a replica whose service sets none */
};

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
  query.software = gspan_run_software_of (item);
  query.preferred = g_hash_table_lookup (job->prompt_replicas, item->submitted->group);
  query.open_max = concurrency_limit (node, service);
  query.draw = g_rand_int (node->random);
  query.typical_us = typical_us;
  query.limits = &node->rate_limits;
  query.traffic = GSPAN_TRAFFIC_RUNS;
  query.without_permit = without_permit;
  return gspan_pick_replica (node->catalog.replicas, &query);
}

/*
 * Has ITEM begin anew where its text can't go on: the software version that began it is gone, or
 * none of its replicas has taken the item for a while.
 */
static void
begin_anew_if_due (struct GspanNode *node, const struct GspanJob *job, struct GspanItem *item,
                   const char *service, struct GspanOutbox *outbox)
{
  const char *software = gspan_run_software_of (item);
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
  gspan_run_discard_progress (item);
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
  const struct GspanConfigRoute *route = gspan_jobs_route_of (node, job);
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

      if (gspan_run_abandon_if_due (node, job, item, outbox))
        continue;
      begin_anew_if_due (node, job, item, service, outbox);
      replica = pick_replica (node, job, item, service, typical_us, NULL);
      if (replica == NULL)
        replica = pick_or_want (node, job, item, service, outbox);
      if (replica != NULL)
        gspan_run_start (node, job, item, replica, outbox);
      else
        {
          has_room = gspan_run_software_of (item) != NULL;
          g_queue_push_tail (&held, item);
        }
    }
  put_back (job, &held);
  return has_room;
}

void
gspan_placement_schedule (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *jobs = gspan_jobs_by_age (&node->jobs);

  node->runner.next_schedule_at_us = node->now + SCHEDULE_INTERVAL_US;
  for (GList *entry = jobs; entry != NULL; entry = entry->next)
    {
      struct GspanJob *job = entry->data;

      if (!gspan_job_is_run_here (job) || job->waiting_items.length == 0)
        continue;
      /* A job that names a model may lack only replicas of that model: try younger jobs too. */
      if (!schedule_job (node, job, outbox) && job->document.model[0] == '\0')
        break;
    }
  g_list_free (jobs);
}

/* Returns a faster replica for RUN, or NULL if its replica isn't slow or no other is faster. */
static struct GspanReplica *
faster_replica (struct GspanNode *node, const struct GspanRun *run, guint64 typical_us)
{
  struct GspanReplica *replica;

  if (run->event_count == 0 || !gspan_pace_is_slow (run->replica, typical_us, node->now)
      || gspan_run_requires_single_version (node, run->job))
    return NULL;
  replica = pick_replica (node, run->job, run->item, run->replica->service, typical_us, NULL);
  return replica != run->replica ? replica : NULL;
}

void
gspan_placement_move_slow_runs (struct GspanNode *node, struct GspanOutbox *outbox)
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
      gspan_run_log (run, "run-moved", "the replica is slow", 0, outbox);
      gspan_run_cancel (run, outbox);
      gspan_run_requeue (node, run);
      g_queue_remove (&job->waiting_items, moved);
      gspan_run_start (node, job, moved, replica, outbox);
    }
  g_list_free (runs);
}

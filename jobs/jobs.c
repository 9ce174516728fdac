#include "jobs/jobs.h"

#include <string.h>

#include "common/clock.h"
#include "jobs/checkpoint.h"
#include "jobs/progress.h"
#include "node/node.h"

/* The cache of a job that another node owns is dropped after so long without a caller. */
#define CACHE_IDLE_MAX_US (5 * GSPAN_SECOND)

static void
call_free (gpointer data)
{
  struct GspanJobCall *call = data;

  g_free (call->job_id);
  g_free (call->account);
  gspan_wire_path_finish (&call->target);
  g_free (call);
}

void
gspan_jobs_init (struct GspanJobs *jobs)
{
  *jobs = (struct GspanJobs){ 0 };
  jobs->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gspan_job_free);
  jobs->submissions = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gspan_submission_free);
  jobs->unsettled_heads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gspan_expiry_init (&jobs->expiry);
  jobs->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
}

void
gspan_jobs_finish (struct GspanJobs *jobs)
{
  gspan_expiry_finish (&jobs->expiry);
  g_hash_table_unref (jobs->calls);
  g_hash_table_unref (jobs->submissions);
  g_hash_table_unref (jobs->unsettled_heads);
  g_hash_table_unref (jobs->by_id);
}

struct GspanJob *
gspan_jobs_find (const struct GspanJobs *jobs, const char *id)
{
  return g_hash_table_lookup (jobs->by_id, id);
}

const struct GspanConfigRoute *
gspan_jobs_route_of (const struct GspanNode *node, const struct GspanJob *job)
{
  return gspan_config_match (&node->catalog.config, gspan_str_from (job->host),
                             gspan_str_from (job->path));
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

GList *
gspan_jobs_by_age (const struct GspanJobs *jobs)
{
  return g_list_sort (g_hash_table_get_values (jobs->by_id), compare_age);
}

struct GspanStoreCall *
gspan_jobs_start_call (struct GspanNode *node, enum GspanJobOp job_op, const char *id,
                       enum GspanStoreOp op, const char *kind, const char *name,
                       struct GspanOutbox *outbox, struct GspanJobCall **call)
{
  struct GspanRef ref = { GSPAN_OWNER_JOBS, gspan_node_next_id (node) };
  struct GspanJobCall *job_call = g_new0 (struct GspanJobCall, 1);

  job_call->id = ref.id;
  job_call->op = job_op;
  job_call->job_id = g_strdup (id);
  g_hash_table_insert (node->jobs.calls, &job_call->id, job_call);
  if (call != NULL)
    *call = job_call;
  return gspan_outbox_store (outbox, ref, op, kind, name);
}

static void
remove_job (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  gspan_runner_stop (node, job, outbox);
  gspan_rewards_stop (node, job, outbox);
  g_hash_table_remove (node->jobs.by_id, job->id);
}

void
gspan_jobs_apply_head (struct GspanNode *node, const struct GspanStoreObject *object,
                       struct GspanOutbox *outbox)
{
  struct GspanJob *job = gspan_jobs_find (&node->jobs, object->name);
  struct GspanError error = { 0 };

  if (object->removed)
    {
      if (job != NULL)
        remove_job (node, job, outbox);
      return;
    }
  if (job != NULL && object->revision < job->head_revision)
    return;
  if (job == NULL)
    {
      job = gspan_job_new (object->name);
      job->known_since_us = node->now;
      job->owner_heartbeat_at_us = node->now;
      job->last_active_us = node->now;
      g_hash_table_insert (node->jobs.by_id, job->id, job);
    }
  if (!gspan_job_decode_head (job, object->spec, object->status, &error))
    {
      gspan_odd_objects_log (node, GSPAN_JOBS_KIND, object, error.message, outbox);
      if (job->head_known) /* what was read before holds; the next write goes over this one */
        job->head_revision = object->revision;
      else
        remove_job (node, job, outbox);
      return;
    }
  job->head_revision = object->revision;
  job->head_known = true;
  gspan_owner_update (node, job, outbox);
}

static void
on_store_done (struct GspanNode *node, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  const struct GspanStoreReply *reply = event->u.store.reply;
  struct GspanJobCall *call = g_hash_table_lookup (node->jobs.calls, &event->ref.id);
  struct GspanJob *job;

  if (call == NULL)
    return;
  g_hash_table_steal (node->jobs.calls, &call->id);
  job = gspan_jobs_find (&node->jobs, call->job_id);
  switch (call->op)
    {
    case GSPAN_JOB_PUT_PART:
    case GSPAN_JOB_PUT_HEAD:
      gspan_accept_call_done (node, call, reply, outbox);
      break;
    case GSPAN_JOB_READ_HEAD:
    case GSPAN_JOB_END:
      gspan_serve_call_done (node, call, reply, outbox);
      break;
    case GSPAN_JOB_LIST_CONTENT:
      if (job != NULL && job->list_call == call->id)
        gspan_segments_list_done (node, job, reply, outbox);
      break;
    case GSPAN_JOB_APPEND_SEGMENT:
      if (job != NULL && job->append_call == call->id)
        gspan_segments_append_done (node, job, event->u.store.call, reply, outbox);
      break;
    case GSPAN_JOB_WRITE_CHECKPOINT:
      if (job != NULL && job->checkpoint_call == call->id)
        gspan_checkpoint_write_done (node, job, reply, outbox);
      gspan_rewards_schedule (node, outbox);
      break;
    case GSPAN_JOB_SET_OWNER:
      if (job != NULL && job->head_write_call == call->id)
        gspan_owner_write_done (node, job, reply, outbox);
      break;
    case GSPAN_JOB_CHECK_HEAD:
      gspan_owner_read_done (node, call->job_id, reply, outbox);
      break;
    case GSPAN_JOB_REMOVE:
      if (node->jobs.expiry.call == call->id)
        gspan_expiry_call_done (node, reply, outbox);
      break;
    }
  call_free (call);
}

static void
on_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *jobs = g_hash_table_get_values (node->jobs.by_id);

  for (GList *entry = jobs; entry != NULL; entry = entry->next)
    {
      struct GspanJob *job = entry->data;

      gspan_owner_tick (node, job, outbox);
      gspan_serve_readers (node, job, outbox);
      gspan_progress_request (node, job, outbox);
      gspan_segments_advance (node, job, outbox);
      if (!job->is_owner && job->readers->len == 0 && job->item_readers->len == 0
          && (job->content_loaded || job->committed_results->len > 0)
          && node->now - job->last_active_us > CACHE_IDLE_MAX_US)
        gspan_job_unload (job);
    }
  g_list_free (jobs);
  gspan_accept_tick (node, outbox);
  gspan_expiry_tick (node, outbox);
}

void
gspan_jobs_handle (struct GspanNode *node, const struct GspanEvent *event,
                   struct GspanOutbox *outbox)
{
  if (event->kind == GSPAN_EVENT_STORE_DONE)
    on_store_done (node, event, outbox);
  else if (event->kind == GSPAN_EVENT_TICK)
    on_tick (node, outbox);
  else if (event->kind == GSPAN_EVENT_CALLER_DISCONNECTED)
    {
      gspan_accept_caller_disconnected (node, event->u.disconnected_request);
      gspan_serve_caller_disconnected (node, event->u.disconnected_request);
    }
}

bool
gspan_jobs_is_busy (const struct GspanJobs *jobs)
{
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size (jobs->submissions) > 0)
    return true;
  g_hash_table_iter_init (&iter, jobs->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanJob *job = value;

      if (job->readers->len > 0 || job->item_readers->len > 0)
        return true;
      if (job->is_owner && !job->ended
          && (!job->content_loaded || gspan_job_committed_count (job) < job->item_count))
        return true;
    }
  return false;
}

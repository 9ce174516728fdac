#include "jobs/expire.h"

#include "common/clock.h"
#include "node/node.h"

#define SCAN_INTERVAL_US (10 * GSPAN_SECOND) /* also the delay after a failed store call */
#define CLOCK_SKEW_MAX_MS 60000              /* between the wall clocks of two VMs */

void
gspan_expiry_init (struct GspanExpiry *expiry)
{
  *expiry = (struct GspanExpiry){ 0 };
  expiry->object_names = g_ptr_array_new_with_free_func (g_free);
}

void
gspan_expiry_finish (struct GspanExpiry *expiry)
{
  g_free (expiry->job_id);
  g_ptr_array_unref (expiry->object_names);
}

static bool
is_expired (const struct GspanNode *node, const struct GspanJob *job)
{
  gint64 retention_ms = (gint64)(node->limits.job_retention_us / GSPAN_MS) + CLOCK_SKEW_MAX_MS;

  return job->head_known && job->ended && node->wall_ms - job->received_ms > retention_ms;
}

static void
find_expired_job (struct GspanNode *node)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  GHashTableIter iter;
  gpointer value;

  expiry->next_scan_at_us = node->now + SCAN_INTERVAL_US;
  g_hash_table_iter_init (&iter, node->jobs.by_id);
  while (expiry->job_id == NULL && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanJob *job = value;

      if (is_expired (node, job))
        expiry->job_id = g_strdup (job->id);
    }
  expiry->names_listed = false;
  expiry->has_more_names = false;
  g_ptr_array_set_size (expiry->object_names, 0);
}

static void
start_call (struct GspanNode *node, enum GspanStoreOp op, const char *kind, const char *name,
            struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  struct GspanJobCall *call;

  gspan_jobs_start_call (node, GSPAN_JOB_REMOVE, expiry->job_id, op, kind, name, outbox, &call);
  expiry->call = call->id;
}

/*
 * Removes the job's other objects before its head, so that an interrupted removal is found again by
 * the next search.
 */
static void
start_next_call (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  char *kind = g_strdup_printf ("job-%s", expiry->job_id);

  if (expiry->object_names->len > 0)
    start_call (node, GSPAN_STORE_REMOVE, kind,
                g_ptr_array_index (expiry->object_names, expiry->object_names->len - 1), outbox);
  else if (!expiry->names_listed || expiry->has_more_names)
    start_call (node, GSPAN_STORE_LIST, kind, NULL, outbox);
  else
    start_call (node, GSPAN_STORE_REMOVE, GSPAN_JOBS_KIND, expiry->job_id, outbox);
  g_free (kind);
}

static void
add_object_names (struct GspanExpiry *expiry, const struct GspanStoreReply *reply)
{
  expiry->names_listed = true;
  expiry->has_more_names = reply->has_more;
  for (guint i = 0; i < reply->objects->len; i++)
    {
      const struct GspanStoreObject *object = g_ptr_array_index (reply->objects, i);

      g_ptr_array_add (expiry->object_names, g_strdup (object->name));
    }
}

static void
finish_removal (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  struct GspanStoreObject removed_head = { 0 };
  struct GspanLine line;

  gspan_line_init (&line, "job-removed");
  gspan_line_cstr (&line, "job", expiry->job_id);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_INFO, &line);
  removed_head.name = expiry->job_id;
  removed_head.removed = true;
  gspan_jobs_apply_head (node, &removed_head, outbox);
  g_clear_pointer (&expiry->job_id, g_free);
  expiry->next_scan_at_us = node->now;
}

void
gspan_expiry_call_done (struct GspanNode *node, const struct GspanStoreReply *reply,
                        struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  bool done = reply->result == GSPAN_STORE_OK || reply->result == GSPAN_STORE_MISSING;

  expiry->call = 0;
  if (expiry->job_id == NULL)
    return;
  if (!done)
    {
      g_clear_pointer (&expiry->job_id, g_free);
      expiry->next_scan_at_us = node->now + SCAN_INTERVAL_US;
    }
  else if (expiry->object_names->len > 0)
    g_ptr_array_set_size (expiry->object_names, (gint)expiry->object_names->len - 1);
  else if (!expiry->names_listed || expiry->has_more_names)
    add_object_names (expiry, reply);
  else
    finish_removal (node, outbox);
}

void
gspan_expiry_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;

  if (expiry->call != 0 || node->catalog.store_fails || node->draining)
    return;
  if (!node->weights.lease.held)
    {
      g_clear_pointer (&expiry->job_id, g_free);
      return;
    }
  if (expiry->job_id == NULL && node->now >= expiry->next_scan_at_us)
    find_expired_job (node);
  if (expiry->job_id != NULL)
    start_next_call (node, outbox);
}

#include "jobs/expire.h"

#include "common/clock.h"
#include "node/node.h"

#define LOOK_US (10 * GSPAN_SECOND) /* between two looks for old jobs; also after a failed call */
#define MARGIN_MS 60000             /* beyond the time for which results are kept; clocks differ */

void
gspan_expiry_init (struct GspanExpiry *expiry)
{
  *expiry = (struct GspanExpiry){ 0 };
  expiry->names = g_ptr_array_new_with_free_func (g_free);
}

void
gspan_expiry_finish (struct GspanExpiry *expiry)
{
  g_free (expiry->job);
  g_ptr_array_unref (expiry->names);
}

static bool
is_old (const struct GspanNode *node, const struct GspanJob *job)
{
  gint64 kept_ms = (gint64)(node->limits.job_retention_us / GSPAN_MS) + MARGIN_MS;

  return job->known && job->ended && node->wall_ms - job->received_ms > kept_ms;
}

static void
choose_job (struct GspanNode *node)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  GHashTableIter iter;
  gpointer value;

  expiry->next_at = node->now + LOOK_US;
  g_hash_table_iter_init (&iter, node->jobs.by_id);
  while (expiry->job == NULL && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanJob *job = value;

      if (is_old (node, job))
        expiry->job = g_strdup (job->id);
    }
  expiry->listed = false;
  expiry->more = false;
  g_ptr_array_set_size (expiry->names, 0);
}

static void
start_call (struct GspanNode *node, enum GspanStoreOp op, const char *kind, const char *name,
            struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  struct GspanJobCall *call;

  gspan_jobs_call (node, GSPAN_JOB_FORGET, expiry->job, op, kind, name, outbox, &call);
  expiry->call = call->id;
}

/* The head goes last, so that a removal that is broken off is found again. */
static void
call_next (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  char *kind = g_strdup_printf ("job-%s", expiry->job);

  if (expiry->names->len > 0)
    start_call (node, GSPAN_STORE_REMOVE, kind,
                g_ptr_array_index (expiry->names, expiry->names->len - 1), outbox);
  else if (!expiry->listed || expiry->more)
    start_call (node, GSPAN_STORE_LIST, kind, NULL, outbox);
  else
    start_call (node, GSPAN_STORE_REMOVE, GSPAN_JOBS_KIND, expiry->job, outbox);
  g_free (kind);
}

static void
take_names (struct GspanExpiry *expiry, const struct GspanStoreReply *reply)
{
  expiry->listed = true;
  expiry->more = reply->has_more;
  for (guint i = 0; i < reply->objects->len; i++)
    {
      const struct GspanStoreObject *object = g_ptr_array_index (reply->objects, i);

      g_ptr_array_add (expiry->names, g_strdup (object->name));
    }
}

static void
forget (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  struct GspanStoreObject gone = { 0 };
  struct GspanLine line;

  gspan_line_init (&line, "job-removed");
  gspan_line_cstr (&line, "job", expiry->job);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_INFO, &line);
  gone.name = expiry->job;
  gone.removed = true;
  gspan_jobs_apply_head (node, &gone, outbox);
  g_clear_pointer (&expiry->job, g_free);
  expiry->next_at = node->now;
}

void
gspan_expiry_done (struct GspanNode *node, const struct GspanStoreReply *reply,
                   struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;
  bool done = reply->result == GSPAN_STORE_OK || reply->result == GSPAN_STORE_MISSING;

  expiry->call = 0;
  if (expiry->job == NULL)
    return;
  if (!done)
    {
      g_clear_pointer (&expiry->job, g_free);
      expiry->next_at = node->now + LOOK_US;
    }
  else if (expiry->names->len > 0)
    g_ptr_array_set_size (expiry->names, (gint)expiry->names->len - 1);
  else if (!expiry->listed || expiry->more)
    take_names (expiry, reply);
  else
    forget (node, outbox);
}

void
gspan_expiry_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanExpiry *expiry = &node->jobs.expiry;

  if (expiry->call != 0 || node->catalog.store_fails || node->draining)
    return;
  if (!node->weights.lease.held)
    {
      g_clear_pointer (&expiry->job, g_free);
      return;
    }
  if (expiry->job == NULL && node->now >= expiry->next_at)
    choose_job (node);
  if (expiry->job != NULL)
    call_next (node, outbox);
}

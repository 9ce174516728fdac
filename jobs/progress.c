#include "jobs/progress.h"

#include <string.h>

#include "common/clock.h"
#include "jobs/jobs.h"
#include "node/node.h"

#define REQUEST_INTERVAL_US (300 * GSPAN_MS)
#define FIRST_REPLY_MAX_US (150 * GSPAN_MS)      /* for the owner's reply after a reader arrived */
#define NOTIFICATION_TIMEOUT_US (700 * GSPAN_MS) /* two missed replies */
#define SUBSCRIPTION_US                                                                            \
  (1500 * GSPAN_MS) /* a caller's long poll lasts a second; the next one renews it */

/* Adds or renews the subscription of the node FROM. */
static void
add_subscriber (struct GspanJob *job, const char *from, guint64 now)
{
  guint64 *until_us = g_new (guint64, 1);

  *until_us = now + SUBSCRIPTION_US;
  g_hash_table_replace (job->subscribers, g_strdup (from), until_us);
}

/*
 * Cache staleness: time since the state of the store that the cache of JOB reflects. The wall clock
 * is used too, since the steady clock stops while a VM is suspended.
 */
static guint64
sync_age_us (const struct GspanNode *node, const struct GspanJob *job)
{
  guint64 age_us = node->now - MIN (node->now, job->synced_at_us);
  gint64 wall_ms = node->wall_ms - job->synced_wall_ms;

  return MAX (age_us, (guint64)MAX (0, wall_ms) * GSPAN_MS);
}

static json_t *
progress_message (const struct GspanNode *node, const struct GspanJob *job)
{
  return json_pack ("{s:s, s:s, s:s, s:I, s:I}", "kind", "listed", "job", job->id, "from",
                    node->self.name, "segments", (json_int_t)job->segment_count, "age_us",
                    (json_int_t)sync_age_us (node, job));
}

/* Replies to a subscription of the node TO, whose callers want results from position AFTER on. */
static void
send_first_progress (struct GspanNode *node, const struct GspanJob *job, const char *to,
                     guint64 after, struct GspanOutbox *outbox)
{
  json_t *message = progress_message (node, job);

  json_object_set_new (message, "read_from",
                       json_integer ((json_int_t)gspan_job_segment_of (job, after)));
  gspan_peers_send (node, to, message, outbox);
  json_decref (message);
}

void
gspan_progress_publish (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  json_t *message = progress_message (node, job);
  GHashTableIter iter;
  gpointer name;
  gpointer until_us;

  g_hash_table_iter_init (&iter, job->subscribers);
  while (g_hash_table_iter_next (&iter, &name, &until_us))
    {
      if (*(const guint64 *)until_us < node->now)
        g_hash_table_iter_remove (&iter);
      else
        gspan_peers_send (node, name, message, outbox);
    }
  json_decref (message);
}

/* Position of the first result that callers here wait for. */
static guint64
first_wanted (const struct GspanJob *job)
{
  guint64 first = G_MAXUINT32;

  for (guint i = 0; i < job->readers->len; i++)
    first
        = MIN (first, ((const struct GspanJobReader *)g_ptr_array_index (job->readers, i))->after);
  return first;
}

/* True where nothing of JOB has been read here yet. */
static bool
is_cache_empty (const struct GspanJob *job)
{
  return !job->segments_up_to_date && job->segment_count == 0 && job->list_call == 0;
}

void
gspan_progress_request (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  json_t *message;

  if (job->is_owner || job->readers->len == 0 || job->owner[0] == '\0'
      || node->now < job->progress_requested_at_us + REQUEST_INTERVAL_US)
    return;
  job->progress_requested_at_us = node->now;
  message = json_pack ("{s:s, s:s, s:s, s:I}", "kind", "reads", "job", job->id, "from",
                       node->self.name, "after", (json_int_t)first_wanted (job));
  gspan_peers_send (node, job->owner, message, outbox);
  json_decref (message);
}

bool
gspan_progress_awaits_position (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanJobReader *first = g_ptr_array_index (job->readers, 0);

  return is_cache_empty (job) && first_wanted (job) > 0 && job->owner[0] != '\0'
         && node->now < first->arrived_at_us + FIRST_REPLY_MAX_US;
}

bool
gspan_progress_needs_list (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanJobReader *first = g_ptr_array_index (job->readers, 0);

  if (!job->segments_up_to_date || job->owner[0] == '\0'
      || job->owner_segment_count > job->segment_count)
    return true;
  return node->now >= job->progress_received_at_us + NOTIFICATION_TIMEOUT_US
         && node->now >= first->arrived_at_us + FIRST_REPLY_MAX_US;
}

bool
gspan_progress_defers_reply (const struct GspanNode *node, const struct GspanJob *job,
                             const struct GspanJobReader *reader)
{
  return !job->is_owner && job->owner_segment_count > job->segment_count
         && !node->catalog.store_fails && node->now < reader->arrived_at_us + FIRST_REPLY_MAX_US;
}

static void
apply_progress (struct GspanNode *node, struct GspanJob *job, json_t *message,
                struct GspanOutbox *outbox)
{
  guint segment_count = (guint)json_integer_value (json_object_get (message, "segments"));
  guint64 age_us = (guint64)json_integer_value (json_object_get (message, "age_us"));

  json_t *read_from = json_object_get (message, "read_from");

  if (json_integer_value (read_from) > 0 && is_cache_empty (job) && job->readers->len > 0)
    gspan_job_restart_cache (job, (guint)json_integer_value (read_from));
  job->progress_received_at_us = node->now;
  job->owner_segment_count = MAX (job->owner_segment_count, segment_count);
  if (job->segments_up_to_date && segment_count <= job->segment_count)
    job->synced_at_us = MAX (job->synced_at_us, node->now - MIN (node->now, age_us));
  else
    job->next_list_at_us = 0;
  gspan_serve_readers (node, job, outbox);
  gspan_segments_advance (node, job, outbox);
}

void
gspan_progress_receive (struct GspanNode *node, struct GspanJob *job, const char *kind,
                        const char *from, json_t *message, struct GspanOutbox *outbox)
{
  if (strcmp (kind, "listed") == 0 && !job->is_owner)
    apply_progress (node, job, message, outbox);
  else if (strcmp (kind, "reads") == 0 && job->is_owner && job->segments_up_to_date)
    {
      add_subscriber (job, from, node->now);
      send_first_progress (node, job, from,
                           (guint64)json_integer_value (json_object_get (message, "after")),
                           outbox);
    }
}

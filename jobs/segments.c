/*
 * Reads a job's parts, segments and checkpoint from the store by list calls, and appends segments
 * with the results that are ready.
 */

#include <string.h>

#include "common/clock.h"
#include "jobs/checkpoint.h"
#include "jobs/commit.h"
#include "jobs/jobs.h"
#include "jobs/progress.h"
#include "node/node.h"

/*
 * Interval between complete lists of one job; a progress notification starts one earlier. Segments
 * aren't watched: a watch from a revision whose history the store has dropped may block without an
 * error.
 */
#define LIST_INTERVAL_US (400 * GSPAN_MS)
#define RETRY_DELAY_US (200 * GSPAN_MS) /* after a failed store call */

enum
{
  SEGMENT_TEXT_MAX_PERCENT = 50 /* of the store's largest value; JSON escapes some bytes */
};

static void
add_part (struct GspanJob *job, const struct GspanStoreObject *object, guint number)
{
  const char *content = json_string_value (json_object_get (object->spec, "content"));
  gsize len = 0;
  guchar *bytes;

  if (job->content_loaded || number != job->part_texts->len || content == NULL)
    return;
  bytes = g_base64_decode (content, &len);
  g_ptr_array_add (job->part_texts, g_bytes_new_take (bytes, len));
}

static void
log_content (const struct GspanJob *job, const char *event, guint items, const char *error,
             struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_u64 (&line, "items", items);
  gspan_line_cstr (&line, "error", error);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_ERROR, &line);
}

/* Loads the content and restores the checkpoint once all parts have been read. */
static void
load_if_complete (struct GspanJob *job, struct GspanOutbox *outbox)
{
  struct GspanError error = { 0 };
  GString *body;

  if (job->content_loaded || job->part_count == 0 || job->part_texts->len < job->part_count)
    return;
  body = g_string_new (NULL);
  for (guint i = 0; i < job->part_texts->len; i++)
    {
      struct GspanStr part = gspan_str_from_bytes (g_ptr_array_index (job->part_texts, i));

      g_string_append_len (body, part.data, (gssize)part.len);
    }
  if (!gspan_job_load (job, (struct GspanStr){ body->str, body->len }, &error))
    log_content (job, "job-unreadable", job->item_count, error.message, outbox);
  else
    {
      if (job->document.unsendable_count > 0)
        log_content (job, "job-items-unsendable", job->document.unsendable_count,
                     job->document.unsendable.message, outbox);
      gspan_checkpoint_restore (job);
    }
  g_ptr_array_set_size (job->part_texts, 0);
  g_string_free (body, TRUE);
}

/*
 * Takes the position of the first result in SEGMENT, the first one that is read, as that from which
 * results are cached. False where the segment doesn't say.
 */
static bool
begin_cache (struct GspanJob *job, json_t *segment)
{
  json_t *first = json_object_get (segment, "first");

  if (!json_is_integer (first) || json_integer_value (first) < 0)
    return false;
  job->first_cached = (guint)json_integer_value (first);
  return true;
}

/* Commits the results of segment NUMBER, if it is the next one; earlier ones are known already. */
static void
add_segment (struct GspanJob *job, json_t *segment, guint number)
{
  guint first = gspan_job_committed_count (job);
  json_t *value;
  size_t index;

  if (number < job->segment_count)
    return;
  if (number > job->segment_count)
    {
      job->segments_up_to_date = false;
      return;
    }
  if (number > 0 && job->segment_starts->len == 0 && job->committed_results->len == 0
      && !begin_cache (job, segment))
    {
      gspan_job_restart_cache (job, 0);
      return;
    }
  if (number == job->segment_starts->len)
    g_array_append_val (job->segment_starts, first);
  json_array_foreach (json_object_get (segment, "results"), index, value)
  {
    struct GspanJobResult *result = gspan_job_result_decode (value);

    if (result != NULL)
      gspan_job_commit_result (job, result);
  }
  job->segment_count++;
}

static void
add_object (struct GspanJob *job, const struct GspanStoreObject *object)
{
  guint number;

  if (object->removed)
    return;
  if (strcmp (object->name, gspan_checkpoint_name) == 0)
    gspan_checkpoint_set (job, object);
  else if (gspan_job_parse_part (object->name, &number))
    add_part (job, object, number);
  else if (gspan_job_parse_segment (object->name, &number))
    add_segment (job, object->spec, number);
}

static bool
needs_content (const struct GspanJob *job)
{
  return !job->content_loaded && (job->is_owner || job->item_readers->len > 0);
}

static void
start_list (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  char *after = NULL;
  struct GspanJobCall *job_call;

  if (job->next_page_after != NULL)
    after = g_strdup (job->next_page_after);
  else if (!needs_content (job)) /* "part-z" sorts after the parts and before the segments */
    after = job->segment_count > 0 ? gspan_job_segment_name (job->segment_count - 1)
                                   : g_strdup ("part-z");
  else if (job->part_texts->len > 0)
    after = gspan_job_part_name (job->part_texts->len - 1);
  gspan_jobs_start_call (node, GSPAN_JOB_LIST_CONTENT, job->id, GSPAN_STORE_LIST, job->content_kind,
                         after, outbox, &job_call);
  job->list_call = job_call->id;
  g_free (after);
}

/* Returns a segment with as many ready results as fit. append_result_count is their number. */
static json_t *
encode_segment (const struct GspanNode *node, struct GspanJob *job)
{
  size_t text_max = (size_t)(node->limits.object_max_bytes * SEGMENT_TEXT_MAX_PERCENT / 100);
  json_t *results = json_array ();
  size_t size = 0;

  for (job->append_result_count = 0; job->append_result_count < job->ready_results->len;
       job->append_result_count++)
    {
      const struct GspanJobResult *result
          = g_ptr_array_index (job->ready_results, job->append_result_count);

      size += result->text->len;
      if (job->append_result_count > 0 && size > text_max)
        break;
      json_array_append_new (results, gspan_job_result_encode (result));
    }
  return json_pack ("{s:I, s:o}", "first", (json_int_t)gspan_job_committed_count (job), "results",
                    results);
}

/* Time at which results of JOB are due; 0 if its route sets none. */
static guint64
results_due_at_us (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_jobs_route_of (node, job);
  gint64 age_ms = node->wall_ms - job->received_ms;

  if (route == NULL || route->results_due_us == 0 || age_ms < 0)
    return 0;
  return node->now + route->results_due_us
         - MIN (route->results_due_us, (guint64)age_ms * GSPAN_MS);
}

static bool
is_append_due (const struct GspanNode *node, const struct GspanJob *job)
{
  struct GspanCommitState state = { 0 };
  guint finished_count = gspan_job_committed_count (job) + job->ready_results->len;

  if (!job->is_owner || job->ended || !job->segments_up_to_date || job->append_call != 0
      || job->ready_results->len == 0 || node->catalog.store_fails
      || node->now < job->next_write_at_us)
    return false;
  state.now = node->now;
  state.last_append_at_us = job->last_append_at_us;
  state.results_due_at_us = results_due_at_us (node, job);
  state.ready_count = job->ready_results->len;
  state.remaining_count = job->item_count - MIN (job->item_count, finished_count);
  state.groups_wanted = (guint)job->document.groups_wanted;
  state.groups_complete = job->groups.complete_count;
  state.groups_committed = job->groups_committed;
  state.handing_over = job->handing_over;
  return gspan_commit_due (&state);
}

static void
append_segment (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  char *name = gspan_job_segment_name (job->segment_count);
  struct GspanJobCall *job_call;
  struct GspanStoreCall *call
      = gspan_jobs_start_call (node, GSPAN_JOB_APPEND_SEGMENT, job->id, GSPAN_STORE_CREATE,
                               job->content_kind, name, outbox, &job_call);

  call->value = encode_segment (node, job);
  job->append_call = job_call->id;
  job->append_sent_at_us = node->now;
  job->append_was_full = job->append_result_count < job->ready_results->len;
  job->groups_committed = job->groups.complete_count;
  g_free (name);
}

/*
 * Another node, or this one's own create, may have made the segment: all are read before the next
 * append, unless the store did nothing. The first time that this isn't known is settled at once.
 */
static void
on_append_failed (const struct GspanNode *node, struct GspanJob *job, enum GspanStoreResult result)
{
  bool settle = result == GSPAN_STORE_UNKNOWN && job->append_failing_since_us == 0;

  job->segments_up_to_date = result == GSPAN_STORE_UNAVAILABLE && job->segments_up_to_date;
  job->next_write_at_us = node->now + (settle ? 0 : RETRY_DELAY_US);
  if (settle)
    job->next_list_at_us = node->now;
  if (job->append_failing_since_us == 0)
    job->append_failing_since_us = node->now;
}

void
gspan_segments_append_done (struct GspanNode *node, struct GspanJob *job,
                            const struct GspanStoreCall *sent, const struct GspanStoreReply *reply,
                            struct GspanOutbox *outbox)
{
  struct GspanLine line;
  guint number = 0;

  job->append_call = 0;
  /* 0 makes the results that didn't fit due at once. */
  job->last_append_at_us = job->append_was_full ? 0 : node->now;
  gspan_line_init (&line, "results-listed");
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_u64 (&line, "segment", job->segment_count);
  gspan_line_u64 (&line, "first", gspan_job_committed_count (job));
  gspan_line_u64 (&line, "count", job->append_result_count);
  gspan_line_cstr (&line, "store", gspan_store_result_name (reply->result));
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_INFO, &line);
  if (reply->result == GSPAN_STORE_OK)
    {
      /* A list call may have brought this segment already, so its number comes from the call. */
      gspan_job_parse_segment (sent->name, &number);
      add_segment (job, sent->value, number);
      job->append_failing_since_us = 0;
      gspan_job_set_synced (job, node->now, node->wall_ms);
      gspan_progress_publish (node, job, outbox);
      gspan_serve_readers (node, job, outbox);
    }
  else
    on_append_failed (node, job, reply->result);
  gspan_segments_advance (node, job, outbox);
}

void
gspan_segments_list_done (struct GspanNode *node, struct GspanJob *job,
                          const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *last = NULL;
  guint restarts = job->cache_restarts;

  job->list_call = 0;
  if (reply->result != GSPAN_STORE_OK)
    {
      g_clear_pointer (&job->next_page_after, g_free);
      job->next_list_at_us = node->now + RETRY_DELAY_US;
      return;
    }
  for (guint i = 0; i < reply->objects->len; i++)
    {
      last = g_ptr_array_index (reply->objects, i);
      add_object (job, last);
    }
  load_if_complete (job, outbox);
  if (job->cache_restarts != restarts)
    {
      gspan_segments_advance (node, job, outbox);
      return;
    }
  g_clear_pointer (&job->next_page_after, g_free);
  if (reply->has_more && last != NULL)
    job->next_page_after = g_strdup (last->name);
  else
    {
      job->segments_up_to_date = true;
      if (job->ready_results->len == 0)
        job->append_failing_since_us = 0; /* the append had been done */
      gspan_job_set_synced (job, node->now, node->wall_ms);
      job->next_list_at_us = node->now + LIST_INTERVAL_US;
    }
  gspan_serve_readers (node, job, outbox);
  gspan_segments_advance (node, job, outbox);
}

static bool
needs_results (const struct GspanNode *node, const struct GspanJob *job)
{
  if (job->is_owner)
    return !job->segments_up_to_date || gspan_serve_needs_list (node, job);
  if (job->readers->len == 0 || gspan_progress_awaits_position (node, job))
    return false;
  return gspan_progress_needs_list (node, job) || gspan_serve_needs_list (node, job);
}

void
gspan_segments_advance (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (is_append_due (node, job))
    append_segment (node, job, outbox);
  if (job->list_call != 0 || node->catalog.store_fails)
    return;
  if (!needs_content (job) && !needs_results (node, job))
    return;
  if (node->now >= job->next_list_at_us || job->next_page_after != NULL)
    start_list (node, job, outbox);
}

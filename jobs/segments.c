#include <string.h>

#include "common/clock.h"
#include "jobs/checkpoint.h"
#include "jobs/commit.h"
#include "jobs/jobs.h"
#include "jobs/progress.h"
#include "node/node.h"

/*
 * Readers of a job that another node runs look at the store so often while they wait. Lists only: a
 * watch from a revision whose history is gone may wait in silence.
 */
#define LOOK_AGAIN_US (400 * GSPAN_MS)
#define RETRY_US (200 * GSPAN_MS) /* after a failed call */

enum
{
  SEGMENT_SHARE_PERCENT = 50 /* of an object's largest size; JSON escapes some bytes */
};

static void
add_part (struct GspanJob *job, const struct GspanStoreObject *object, guint number)
{
  const char *content = json_string_value (json_object_get (object->spec, "content"));
  gsize len = 0;
  guchar *bytes;

  if (job->loaded || number != job->part_texts->len || content == NULL)
    return;
  bytes = g_base64_decode (content, &len);
  g_ptr_array_add (job->part_texts, g_bytes_new_take (bytes, len));
}

/* Reads the content once all of its parts are here. */
static void
load_if_whole (struct GspanJob *job, struct GspanOutbox *outbox)
{
  struct GspanError error = { 0 };
  GString *body;

  if (job->loaded || job->parts == 0 || job->part_texts->len < job->parts)
    return;
  body = g_string_new (NULL);
  for (guint i = 0; i < job->part_texts->len; i++)
    {
      struct GspanStr part = gspan_str_from_bytes (g_ptr_array_index (job->part_texts, i));

      g_string_append_len (body, part.data, (gssize)part.len);
    }
  if (!gspan_job_load (job, (struct GspanStr){ body->str, body->len }, &error))
    {
      struct GspanLine line;

      gspan_line_init (&line, "job-unreadable");
      gspan_line_cstr (&line, "job", job->id);
      gspan_line_cstr (&line, "error", error.message);
      gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_ERROR, &line);
    }
  else
    gspan_checkpoint_restore (job);
  g_ptr_array_set_size (job->part_texts, 0);
  g_string_free (body, TRUE);
}

/* Takes the results of segment NUMBER, unless they are known already. */
static void
add_segment (struct GspanJob *job, json_t *segment, guint number)
{
  json_t *value;
  size_t index;

  if (number < job->segments)
    return;
  if (number > job->segments)
    {
      job->read_all = false;
      return;
    }
  json_array_foreach (json_object_get (segment, "results"), index, value)
  {
    struct GspanJobResult *result = gspan_job_result_decode (value);

    if (result != NULL)
      gspan_job_list (job, result);
  }
  job->segments++;
}

static void
add_object (struct GspanJob *job, const struct GspanStoreObject *object)
{
  guint number;

  if (object->removed)
    return;
  if (strcmp (object->name, gspan_checkpoint_name) == 0)
    gspan_checkpoint_read (job, object->spec);
  else if (gspan_job_parse_part (object->name, &number))
    add_part (job, object, number);
  else if (gspan_job_parse_segment (object->name, &number))
    add_segment (job, object->spec, number);
}

static bool
wants_content (const struct GspanJob *job)
{
  return !job->loaded && (job->mine || job->item_readers->len > 0);
}

static void
start_list (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  char *after = NULL;
  struct GspanJobCall *item;

  if (job->page_after != NULL)
    after = g_strdup (job->page_after);
  else if (!wants_content (job))
    after = job->segments > 0 ? gspan_job_segment_name (job->segments - 1) : g_strdup ("part-z");
  else if (job->part_texts->len > 0)
    after = gspan_job_part_name (job->part_texts->len - 1);
  gspan_jobs_call (node, GSPAN_JOB_FETCH, job->id, GSPAN_STORE_LIST, job->kind, after, outbox,
                   &item);
  job->fetch_call = item->id;
  g_free (after);
}

/* Text of a segment with results that are ready, as many as fit; their number is kept in JOB. */
static json_t *
segment_of (const struct GspanNode *node, struct GspanJob *job)
{
  size_t room = (size_t)(node->limits.object_max_bytes * SEGMENT_SHARE_PERCENT / 100);
  json_t *results = json_array ();
  size_t size = 0;

  for (job->append_count = 0; job->append_count < job->ready->len; job->append_count++)
    {
      const struct GspanJobResult *result = g_ptr_array_index (job->ready, job->append_count);

      size += result->text->len;
      if (job->append_count > 0 && size > room)
        break;
      json_array_append_new (results, gspan_job_result_encode (result));
    }
  return json_pack ("{s:o}", "results", results);
}

/* When results of JOB are due; 0 where its route doesn't say. */
static guint64
due_at (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_config_match (
      &node->catalog.config, gspan_str_from (job->host), gspan_str_from (job->path));
  gint64 age_ms = node->wall_ms - job->received_ms;

  if (route == NULL || route->results_due_us == 0 || age_ms < 0)
    return 0;
  return node->now + route->results_due_us
         - MIN (route->results_due_us, (guint64)age_ms * GSPAN_MS);
}

static bool
may_append (const struct GspanNode *node, const struct GspanJob *job)
{
  struct GspanCommitState state = { 0 };
  guint done = job->listed->len + job->ready->len;

  if (!job->mine || job->ended || !job->read_all || job->append_call != 0 || job->ready->len == 0
      || node->catalog.store_fails || node->now < job->append_after)
    return false;
  state.now = node->now;
  state.last_at = job->appended_at;
  state.due_at = due_at (node, job);
  state.ready = job->ready->len;
  state.left = job->total - MIN (job->total, done);
  state.groups_wanted = (guint)job->document.groups_wanted;
  state.groups_complete = job->groups.complete;
  state.groups_listed = job->groups_listed;
  state.handing_over = job->handing_over;
  return gspan_commit_due (&state);
}

static void
append (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  char *name = gspan_job_segment_name (job->segments);
  struct GspanJobCall *item;
  struct GspanStoreCall *call = gspan_jobs_call (
      node, GSPAN_JOB_APPEND, job->id, GSPAN_STORE_CREATE, job->kind, name, outbox, &item);

  call->value = segment_of (node, job);
  job->append_call = item->id;
  job->append_sent = node->now;
  job->append_left = job->append_count < job->ready->len;
  job->groups_listed = job->groups.complete;
  g_free (name);
}

void
gspan_segments_append_done (struct GspanNode *node, struct GspanJob *job,
                            const struct GspanStoreCall *sent, const struct GspanStoreReply *reply,
                            struct GspanOutbox *outbox)
{
  struct GspanLine line;
  guint number = 0;

  job->append_call = 0;
  job->appended_at = job->append_left ? 0 : node->now;
  gspan_line_init (&line, "results-listed");
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_u64 (&line, "segment", job->segments);
  gspan_line_u64 (&line, "first", job->listed->len);
  gspan_line_u64 (&line, "count", job->append_count);
  gspan_line_cstr (&line, "store", gspan_store_result_name (reply->result));
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_INFO, &line);
  if (reply->result == GSPAN_STORE_OK)
    {
      /* By what was sent: a look at the store may have brought the segment in meanwhile. */
      gspan_job_parse_segment (sent->name, &number);
      add_segment (job, sent->value, number);
      job->append_failing_since = 0;
      gspan_job_looked (job, node->now, node->wall_ms);
      gspan_progress_publish (node, job, outbox);
      gspan_serve_readers (node, job, outbox);
    }
  else
    {
      /* Somebody may have listed results there; they are read before the next try. */
      job->read_all = reply->result == GSPAN_STORE_UNAVAILABLE && job->read_all;
      job->append_after = node->now + RETRY_US;
      if (job->append_failing_since == 0)
        job->append_failing_since = node->now;
    }
  gspan_segments_advance (node, job, outbox);
}

void
gspan_segments_list_done (struct GspanNode *node, struct GspanJob *job,
                          const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *last = NULL;

  job->fetch_call = 0;
  if (reply->result != GSPAN_STORE_OK)
    {
      g_clear_pointer (&job->page_after, g_free);
      job->fetch_after = node->now + RETRY_US;
      return;
    }
  for (guint i = 0; i < reply->objects->len; i++)
    {
      last = g_ptr_array_index (reply->objects, i);
      add_object (job, last);
    }
  load_if_whole (job, outbox);
  g_clear_pointer (&job->page_after, g_free);
  if (reply->has_more && last != NULL)
    job->page_after = g_strdup (last->name);
  else
    {
      job->read_all = true;
      gspan_job_looked (job, node->now, node->wall_ms);
      job->fetch_after = node->now + LOOK_AGAIN_US;
    }
  gspan_serve_readers (node, job, outbox);
  gspan_segments_advance (node, job, outbox);
}

static bool
wants_results (const struct GspanNode *node, const struct GspanJob *job)
{
  if (job->mine)
    return !job->read_all || gspan_serve_wants_look (node, job);
  if (job->readers->len == 0)
    return false;
  return gspan_progress_needs_list (node, job) || gspan_serve_wants_look (node, job);
}

void
gspan_segments_advance (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (may_append (node, job))
    append (node, job, outbox);
  if (job->fetch_call != 0 || node->catalog.store_fails)
    return;
  if (!wants_content (job) && !wants_results (node, job))
    return;
  if (node->now >= job->fetch_after || job->page_after != NULL)
    start_list (node, job, outbox);
}

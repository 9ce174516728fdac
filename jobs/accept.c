#include <string.h>

#include "common/clock.h"
#include "gateway/gateway.h"
#include "jobs/jobs.h"
#include "node/node.h"

/*
 * Accepts submitted jobs. The parts of the content are created first; creating the head, only if
 * absent, accepts the job. If it stays unknown whether the head was created, the response is 502,
 * which says neither that the job runs nor that it doesn't.
 */

#define RETRY_AFTER_US (500 * GSPAN_MS) /* Retry-After while the store is unavailable */

enum
{
  PART_MAX_PERCENT = 60, /* of the store's largest value; base64 adds a third to the content */
  STATUS_ACCEPTED = 202
};

struct GspanSubmission
{
  struct GspanJob *job;
  GBytes *body;
  GArray *requests;  /* guint64: requests that wait for the response */
  guint part_number; /* part being created */
  guint64 started_at_us;
  bool part_retried; /* the create call of this part was repeated after an unknown outcome */
};

void
gspan_submission_free (gpointer data)
{
  struct GspanSubmission *submission = data;

  if (submission->job != NULL)
    gspan_job_free (submission->job);
  g_bytes_unref (submission->body);
  g_array_unref (submission->requests);
  g_free (submission);
}

static void
reply_all (const struct GspanSubmission *submission, int status, const char *text,
           struct GspanOutbox *outbox)
{
  for (guint i = 0; i < submission->requests->len; i++)
    gspan_gateway_reply_error (g_array_index (submission->requests, guint64, i), status, text,
                               outbox);
}

static void
refuse_all (struct GspanNode *node, const struct GspanSubmission *submission, const char *reason,
            struct GspanOutbox *outbox)
{
  for (guint i = 0; i < submission->requests->len; i++)
    gspan_gateway_refuse (node, g_array_index (submission->requests, guint64, i), reason,
                          RETRY_AFTER_US, outbox);
}

static void
log_submission (const struct GspanNode *node, const struct GspanSubmission *submission,
                const char *outcome, const struct GspanStoreReply *reply,
                struct GspanOutbox *outbox)
{
  const struct GspanJob *job = submission->job;
  struct GspanLine line;

  gspan_line_init (&line, "job-submitted");
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_cstr (&line, "outcome", outcome);
  gspan_line_cstr (&line, "store", gspan_store_result_name (reply->result));
  gspan_line_u64 (&line, "sends", reply->send_count);
  gspan_line_u64 (&line, "parts", submission->part_number);
  gspan_line_u64 (&line, "of_parts", job->part_count);
  gspan_line_u64 (&line, "requests", submission->requests->len);
  gspan_line_u64 (&line, "items", job->item_count);
  gspan_line_u64 (&line, "elapsed_us", node->now - submission->started_at_us);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_NOTICE, &line);
}

static size_t
part_size (const struct GspanNode *node)
{
  return (size_t)(node->limits.object_max_bytes * PART_MAX_PERCENT / 100);
}

static void
put_part (struct GspanNode *node, const struct GspanSubmission *submission,
          struct GspanOutbox *outbox)
{
  struct GspanStr body = gspan_str_from_bytes (submission->body);
  size_t start = part_size (node) * submission->part_number;
  size_t len = MIN (part_size (node), body.len - start);
  char *name = gspan_job_part_name (submission->part_number);
  char *text = g_base64_encode ((const guchar *)body.data + start, len);
  struct GspanStoreCall *call
      = gspan_jobs_start_call (node, GSPAN_JOB_PUT_PART, submission->job->id, GSPAN_STORE_CREATE,
                               submission->job->content_kind, name, outbox, NULL);

  call->value = json_pack ("{s:s}", "content", text);
  g_free (text);
  g_free (name);
}

static void
put_head (struct GspanNode *node, const struct GspanSubmission *submission,
          struct GspanOutbox *outbox)
{
  struct GspanStoreCall *call
      = gspan_jobs_start_call (node, GSPAN_JOB_PUT_HEAD, submission->job->id, GSPAN_STORE_CREATE,
                               GSPAN_JOBS_KIND, submission->job->id, outbox, NULL);

  call->value = gspan_job_encode_head (submission->job, node->self.name);
}

static void
confirm_head (struct GspanNode *node, const struct GspanSubmission *submission,
              struct GspanOutbox *outbox)
{
  gspan_jobs_start_call (node, GSPAN_JOB_CONFIRM_HEAD, submission->job->id, GSPAN_STORE_GET,
                         GSPAN_JOBS_KIND, submission->job->id, outbox, NULL);
}

/* Returns the job that REQUEST submits, or NULL after a response of 400 if it isn't valid. */
static struct GspanJob *
parse_submission (struct GspanNode *node, const struct GspanEventRequest *request, const char *id,
                  const struct GspanWireRequest *wire, struct GspanOutbox *outbox)
{
  struct GspanStr body = gspan_str_from_bytes (request->body);
  struct GspanJob *job = gspan_job_new (id);
  struct GspanError error = { 0 };

  if (!gspan_job_load (job, body, &error))
    {
      gspan_gateway_reply_error (request->request, 400, error.message, outbox);
      gspan_job_free (job);
      return NULL;
    }
  job->host = gspan_str_dup (wire->host);
  job->path = gspan_str_dup (request->path);
  job->item_count = job->document.items->len;
  job->part_count = (guint)MAX (1, (body.len + part_size (node) - 1) / part_size (node));
  job->received_ms = node->wall_ms;
  job->known_since_us = node->now;
  job->owner_heartbeat_at_us = node->now;
  job->last_active_us = node->now;
  return job;
}

static void
start_submission (struct GspanNode *node, const struct GspanEventRequest *request, const char *id,
                  const struct GspanWireRequest *wire, struct GspanOutbox *outbox)
{
  struct GspanJob *job = parse_submission (node, request, id, wire, outbox);
  struct GspanSubmission *submission;

  if (job == NULL)
    return;
  submission = g_new0 (struct GspanSubmission, 1);
  submission->job = job;
  submission->body = g_bytes_ref (request->body);
  submission->requests = g_array_new (FALSE, FALSE, sizeof (guint64));
  submission->started_at_us = node->now;
  g_array_append_val (submission->requests, request->request);
  g_hash_table_insert (node->jobs.submissions, job->id, submission);
  put_part (node, submission, outbox);
}

void
gspan_jobs_submit (struct GspanNode *node, const struct GspanEventRequest *request,
                   const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
                   struct GspanOutbox *outbox)
{
  char *id = gspan_str_dup (wire->attempt_id);
  struct GspanSubmission *submission = g_hash_table_lookup (node->jobs.submissions, id);

  (void)route;
  if (!gspan_str_equal (request->method, GSPAN_STR ("POST")))
    gspan_gateway_reply_error (request->request, 405, "a batch job is submitted by POST", outbox);
  else if (!gspan_job_id_is_valid (id))
    gspan_gateway_reply_error (request->request, 400, "the job's id is missing or not a name",
                               outbox);
  else if (gspan_jobs_find (&node->jobs, id) != NULL)
    gspan_gateway_reply_error (request->request, STATUS_ACCEPTED, "accepted before", outbox);
  else if (submission != NULL)
    g_array_append_val (submission->requests, request->request);
  else if (node->draining)
    gspan_gateway_refuse (node, request->request, "this node is shutting down", 0, outbox);
  else if (node->catalog.store_fails)
    gspan_gateway_refuse (node, request->request, "the platform's store is away", RETRY_AFTER_US,
                          outbox);
  else
    start_submission (node, request, id, wire, outbox);
  g_free (id);
}

/* Sends 202 once the head is in the store, and runs the job here if this node created the head. */
static void
finish_accepted (struct GspanNode *node, struct GspanSubmission *submission,
                 const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  struct GspanJob *job = submission->job;
  struct GspanJob *known = gspan_jobs_find (&node->jobs, job->id);

  log_submission (node, submission, "accepted", reply, outbox);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_JOBS_ACCEPTED, 1);
  reply_all (submission, STATUS_ACCEPTED, "accepted", outbox);
  /* A head that the watch has brought already, or that another node created, is only applied. */
  if (known == NULL && reply->result == GSPAN_STORE_OK && head != NULL)
    {
      submission->job = NULL;
      g_hash_table_insert (node->jobs.by_id, job->id, job);
      job->segments_up_to_date = true;
    }
  if (head != NULL)
    gspan_jobs_apply_head (node, head, outbox);
}

void
gspan_accept_call_done (struct GspanNode *node, const struct GspanJobCall *call,
                        const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanSubmission *submission = g_hash_table_lookup (node->jobs.submissions, call->job_id);
  bool exists = reply->result == GSPAN_STORE_OK || reply->result == GSPAN_STORE_CONFLICT;

  if (submission == NULL)
    return;
  if (call->op == GSPAN_JOB_PUT_PART && exists)
    {
      submission->part_number++;
      submission->part_retried = false;
      if (submission->part_number < submission->job->part_count)
        put_part (node, submission, outbox);
      else
        put_head (node, submission, outbox);
      return;
    }
  if (call->op == GSPAN_JOB_PUT_PART && !submission->part_retried
      && reply->result == GSPAN_STORE_UNKNOWN)
    {
      submission->part_retried = true;
      put_part (node, submission, outbox);
      return;
    }
  if (call->op == GSPAN_JOB_PUT_HEAD && reply->result == GSPAN_STORE_UNKNOWN)
    {
      confirm_head (node, submission, outbox);
      return;
    }
  if (call->op != GSPAN_JOB_PUT_PART && exists)
    finish_accepted (node, submission, reply, outbox);
  else if (call->op == GSPAN_JOB_CONFIRM_HEAD)
    {
      log_submission (node, submission, "unknown", reply, outbox);
      reply_all (submission, 502, "it isn't known whether the store took the job", outbox);
    }
  else
    {
      log_submission (node, submission, "refused", reply, outbox);
      refuse_all (node, submission, "the platform's store did not take the job", outbox);
    }
  g_hash_table_remove (node->jobs.submissions, call->job_id);
}

void
gspan_accept_caller_disconnected (struct GspanNode *node, guint64 request)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->jobs.submissions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanSubmission *submission = value;

      for (guint i = 0; i < submission->requests->len; i++)
        {
          if (g_array_index (submission->requests, guint64, i) == request)
            g_array_remove_index_fast (submission->requests, i--);
        }
    }
}

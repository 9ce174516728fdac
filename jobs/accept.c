#include <string.h>

#include "common/clock.h"
#include "gateway/gateway.h"
#include "jobs/jobs.h"
#include "node/node.h"

/*
 * A job is accepted by its head alone, created if absent once all parts of its content are in the
 * store. Where it isn't known whether the head was created, the answer promises nothing.
 */

#define RETRY_WAIT_US (500 * GSPAN_MS) /* until the store may be back */

enum
{
  PART_SHARE_PERCENT = 60, /* of an object's largest size; base64 adds a third */
  STATUS_ACCEPTED = 202
};

struct GspanSubmission
{
  struct GspanJob *job;
  GBytes *body;
  GArray *requests; /* guint64: callers that wait for the answer */
  guint part;       /* being written */
  guint64 started;
  bool repeated; /* a part without an answer was sent once more */
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
answer_all (const struct GspanSubmission *submission, int status, const char *text,
            struct GspanOutbox *outbox)
{
  for (guint i = 0; i < submission->requests->len; i++)
    gspan_gateway_reply_error (g_array_index (submission->requests, guint64, i), status, text,
                               outbox);
}

static void
refuse_all (struct GspanNode *node, const struct GspanSubmission *submission, const char *why,
            struct GspanOutbox *outbox)
{
  for (guint i = 0; i < submission->requests->len; i++)
    gspan_gateway_refuse (node, g_array_index (submission->requests, guint64, i), why,
                          RETRY_WAIT_US, outbox);
}

static void
log_submission (const struct GspanNode *node, const struct GspanJob *job, const char *outcome,
                enum GspanStoreResult result, guint64 started, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "job-submitted");
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_cstr (&line, "outcome", outcome);
  gspan_line_cstr (&line, "store", gspan_store_result_name (result));
  gspan_line_u64 (&line, "items", job->total);
  gspan_line_u64 (&line, "elapsed_us", node->now - started);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_NOTICE, &line);
}

static size_t
part_size (const struct GspanNode *node)
{
  return (size_t)(node->limits.object_max_bytes * PART_SHARE_PERCENT / 100);
}

static void
put_part (struct GspanNode *node, const struct GspanSubmission *submission,
          struct GspanOutbox *outbox)
{
  struct GspanStr body = gspan_str_from_bytes (submission->body);
  size_t start = part_size (node) * submission->part;
  size_t len = MIN (part_size (node), body.len - start);
  char *name = gspan_job_part_name (submission->part);
  char *text = g_base64_encode ((const guchar *)body.data + start, len);
  struct GspanStoreCall *call
      = gspan_jobs_call (node, GSPAN_JOB_PUT_PART, submission->job->id, GSPAN_STORE_CREATE,
                         submission->job->kind, name, outbox, NULL);

  call->value = json_pack ("{s:s}", "content", text);
  g_free (text);
  g_free (name);
}

static void
put_head (struct GspanNode *node, const struct GspanSubmission *submission,
          struct GspanOutbox *outbox)
{
  struct GspanStoreCall *call
      = gspan_jobs_call (node, GSPAN_JOB_PUT_HEAD, submission->job->id, GSPAN_STORE_CREATE,
                         GSPAN_JOBS_KIND, submission->job->id, outbox, NULL);

  call->value = gspan_job_write_head (submission->job, node->self.name);
}

static void
find_head (struct GspanNode *node, const struct GspanSubmission *submission,
           struct GspanOutbox *outbox)
{
  gspan_jobs_call (node, GSPAN_JOB_FIND_HEAD, submission->job->id, GSPAN_STORE_GET, GSPAN_JOBS_KIND,
                   submission->job->id, outbox, NULL);
}

/* The job that BODY describes; NULL with the caller answered where it can't be taken. */
static struct GspanJob *
job_of (struct GspanNode *node, const struct GspanEventRequest *request, const char *id,
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
  job->total = job->document.items->len;
  job->parts = (guint)MAX (1, (body.len + part_size (node) - 1) / part_size (node));
  job->received_ms = node->wall_ms;
  job->heard_at = node->now;
  job->used_at = node->now;
  return job;
}

static void
begin (struct GspanNode *node, const struct GspanEventRequest *request, const char *id,
       const struct GspanWireRequest *wire, struct GspanOutbox *outbox)
{
  struct GspanJob *job = job_of (node, request, id, wire, outbox);
  struct GspanSubmission *submission;

  if (job == NULL)
    return;
  submission = g_new0 (struct GspanSubmission, 1);
  submission->job = job;
  submission->body = g_bytes_ref (request->body);
  submission->requests = g_array_new (FALSE, FALSE, sizeof (guint64));
  submission->started = node->now;
  g_array_append_val (submission->requests, request->request);
  g_hash_table_insert (node->jobs.accepting, job->id, submission);
  put_part (node, submission, outbox);
}

void
gspan_jobs_submit (struct GspanNode *node, const struct GspanEventRequest *request,
                   const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
                   struct GspanOutbox *outbox)
{
  char *id = gspan_str_dup (wire->attempt_id);
  struct GspanSubmission *submission = g_hash_table_lookup (node->jobs.accepting, id);

  (void)route;
  if (!gspan_str_equal (request->method, GSPAN_STR ("POST")))
    gspan_gateway_reply_error (request->request, 405, "a batch job is submitted by POST", outbox);
  else if (!gspan_job_id_ok (id))
    gspan_gateway_reply_error (request->request, 400, "the job's id is missing or not a name",
                               outbox);
  else if (gspan_jobs_find (&node->jobs, id) != NULL)
    gspan_gateway_reply_error (request->request, STATUS_ACCEPTED, "accepted before", outbox);
  else if (submission != NULL)
    g_array_append_val (submission->requests, request->request);
  else if (node->draining)
    gspan_gateway_refuse (node, request->request, "this node is shutting down", 0, outbox);
  else if (node->catalog.store_fails)
    gspan_gateway_refuse (node, request->request, "the platform's store is away", RETRY_WAIT_US,
                          outbox);
  else
    begin (node, request, id, wire, outbox);
  g_free (id);
}

/* The head is in the store: the job goes on here where this node created it. */
static void
accepted (struct GspanNode *node, struct GspanSubmission *submission,
          const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  struct GspanJob *job = submission->job;
  struct GspanJob *known = gspan_jobs_find (&node->jobs, job->id);

  log_submission (node, job, "accepted", reply->result, submission->started, outbox);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_JOBS_ACCEPTED, 1);
  answer_all (submission, STATUS_ACCEPTED, "accepted", outbox);
  /* Known already by its watch, or created by another node: then the head is to be read first. */
  if (known == NULL && reply->result == GSPAN_STORE_OK && head != NULL)
    {
      submission->job = NULL;
      g_hash_table_insert (node->jobs.by_id, job->id, job);
      job->read_all = true;
    }
  if (head != NULL)
    gspan_jobs_apply_head (node, head, outbox);
}

void
gspan_accept_done (struct GspanNode *node, const struct GspanJobCall *call,
                   const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanSubmission *submission = g_hash_table_lookup (node->jobs.accepting, call->job);
  bool there = reply->result == GSPAN_STORE_OK || reply->result == GSPAN_STORE_CONFLICT;

  if (submission == NULL)
    return;
  if (call->op == GSPAN_JOB_PUT_PART && there)
    {
      submission->part++;
      submission->repeated = false;
      if (submission->part < submission->job->parts)
        put_part (node, submission, outbox);
      else
        put_head (node, submission, outbox);
      return;
    }
  if (call->op == GSPAN_JOB_PUT_PART && !submission->repeated
      && reply->result == GSPAN_STORE_UNKNOWN)
    {
      submission->repeated = true;
      put_part (node, submission, outbox);
      return;
    }
  if (call->op == GSPAN_JOB_PUT_HEAD && reply->result == GSPAN_STORE_UNKNOWN)
    {
      find_head (node, submission, outbox);
      return;
    }
  if (call->op != GSPAN_JOB_PUT_PART && there)
    accepted (node, submission, reply, outbox);
  else if (call->op == GSPAN_JOB_FIND_HEAD)
    {
      log_submission (node, submission->job, "unknown", reply->result, submission->started, outbox);
      answer_all (submission, 502, "it isn't known whether the store took the job", outbox);
    }
  else
    {
      log_submission (node, submission->job, "refused", reply->result, submission->started, outbox);
      refuse_all (node, submission, "the platform's store did not take the job", outbox);
    }
  g_hash_table_remove (node->jobs.accepting, call->job);
}

void
gspan_accept_gone (struct GspanNode *node, guint64 request)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->jobs.accepting);
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

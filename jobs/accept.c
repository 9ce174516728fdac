#include <string.h>

#include "common/clock.h"
#include "gateway/gateway.h"
#include "jobs/dispatcher.h"
#include "jobs/jobs.h"
#include "node/node.h"
#include "platform/json.h"

/*
 * Accepts submitted jobs. The parts of the content are created first; creating the head, only if
 * absent, accepts the job.
 *
 * A refusal (503) promises that the job doesn't run and never will. A create of the head without an
 * answer may have been done, or may be seconds later, also where another call's answer says that
 * the head is absent, or that the store is busy. So each such create is remembered, for all
 * submissions of the job at this node: the head is then created again, which says that it stands
 * where that succeeds or conflicts, and the response is 502 where nothing settles it.
 */

#define RETRY_AFTER_US (500 * GSPAN_MS)   /* Retry-After while the store is unavailable */
#define UNSETTLED_US (30 * GSPAN_SECOND)  /* a create isn't done that long after it was sent */
#define ANSWER_MARGIN_US (100 * GSPAN_MS) /* before the caller's time is up */
#define SETTLE_PAUSE_US (30 * GSPAN_MS)   /* before the head is created once more; then doubled */

enum
{
  PART_MAX_PERCENT = 60, /* of the store's largest value; base64 adds a third to the content */
  SETTLE_TRIES_MAX = 3,  /* creates of a head after one of unknown outcome */
  STATUS_ACCEPTED = 202
};

static const char no_job_text[] = "no such job";
static const char unsettled_text[] = "it isn't known whether the store took the job";

struct GspanSubmission
{
  struct GspanJob *job;
  GBytes *body;
  char *dispatcher;  /* node that is to run the job; NULL until the head is created */
  GArray *requests;  /* guint64: requests that wait for the response */
  guint part_number; /* part being created */
  guint64 started_at_us;
  guint64 answer_by_us;   /* the caller's time is nearly up then */
  guint64 call;           /* id of the store call in flight; 0 is none */
  guint64 next_put_at_us; /* without a call in flight: when the head is created once more */
  guint settle_tries;
  bool part_retried; /* the create call of this part was repeated after an unknown outcome */
  bool reads_part;   /* CALL reads the part that stands in place of this one */
};

void
gspan_submission_free (gpointer data)
{
  struct GspanSubmission *submission = data;

  if (submission->job != NULL)
    gspan_job_free (submission->job);
  g_bytes_unref (submission->body);
  g_array_unref (submission->requests);
  g_free (submission->dispatcher);
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
  gspan_line_cstr (&line, "store", reply != NULL ? gspan_store_result_name (reply->result) : "");
  gspan_line_u64 (&line, "sends", reply != NULL ? reply->send_count : 0);
  gspan_line_u64 (&line, "settle_tries", submission->settle_tries);
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
put_part (struct GspanNode *node, struct GspanSubmission *submission, struct GspanOutbox *outbox)
{
  struct GspanStr body = gspan_str_from_bytes (submission->body);
  size_t start = part_size (node) * submission->part_number;
  size_t len = MIN (part_size (node), body.len - start);
  char *name = gspan_job_part_name (submission->part_number);
  char *text = g_base64_encode ((const guchar *)body.data + start, len);
  struct GspanJobCall *job_call;
  struct GspanStoreCall *call
      = gspan_jobs_start_call (node, GSPAN_JOB_PUT_PART, submission->job->id, GSPAN_STORE_CREATE,
                               submission->job->content_kind, name, outbox, &job_call);

  call->value = json_pack ("{s:s}", "content", text);
  if (submission->job->account != NULL)
    json_object_set_new (call->value, "account", json_string (submission->job->account));
  submission->call = job_call->id;
  g_free (text);
  g_free (name);
}

/* Reads the part that stands where this submission's was to be created. */
static void
read_part (struct GspanNode *node, struct GspanSubmission *submission, struct GspanOutbox *outbox)
{
  char *name = gspan_job_part_name (submission->part_number);
  struct GspanJobCall *job_call;

  gspan_jobs_start_call (node, GSPAN_JOB_PUT_PART, submission->job->id, GSPAN_STORE_GET,
                         submission->job->content_kind, name, outbox, &job_call);
  submission->call = job_call->id;
  submission->reads_part = true;
  g_free (name);
}

static void
put_head (struct GspanNode *node, struct GspanSubmission *submission, struct GspanOutbox *outbox)
{
  struct GspanJobCall *job_call;
  struct GspanStoreCall *call
      = gspan_jobs_start_call (node, GSPAN_JOB_PUT_HEAD, submission->job->id, GSPAN_STORE_CREATE,
                               GSPAN_JOBS_KIND, submission->job->id, outbox, &job_call);

  if (submission->dispatcher == NULL) /* a head that is created again names the same owner */
    submission->dispatcher = g_strdup (gspan_dispatcher_of (node, submission->job));
  call->value = gspan_job_encode_head (submission->job, submission->dispatcher);
  submission->call = job_call->id;
  submission->next_put_at_us = 0;
}

static void
note_unsettled (struct GspanNode *node, const char *id)
{
  guint64 until = node->now + UNSETTLED_US;

  g_hash_table_replace (node->jobs.unsettled_heads, g_strdup (id),
                        g_memdup2 (&until, sizeof until));
}

/* True where the head of the job ID may stand, or may yet, by a create that this node has sent. */
static bool
is_unsettled (const struct GspanNode *node, const char *id)
{
  const guint64 *until = g_hash_table_lookup (node->jobs.unsettled_heads, id);

  return until != NULL && node->now < *until;
}

static gboolean
is_settled (gpointer id, gpointer until, gpointer node)
{
  (void)until;
  return !is_unsettled (node, id);
}

/* Returns the job that REQUEST submits, or NULL after a response of 400 if it isn't valid.
 */
static struct GspanJob *
parse_submission (struct GspanNode *node, const struct GspanEventRequest *request, const char *id,
                  const struct GspanWireRequest *wire, struct GspanOutbox *outbox)
{
  struct GspanStr body = gspan_str_from_bytes (request->body);
  struct GspanError error = { 0 };
  struct GspanJob *job;

  /* Many short values take far more memory once they are decoded than their text. */
  if (gspan_json_count_values (body) > node->limits.job_values_max)
    {
      gspan_gateway_reply_error (request->request, 400, "too many JSON values", outbox);
      return NULL;
    }
  job = gspan_job_new (id);
  if (!gspan_job_load_submission (job, wire->host, request->path, body, &error))
    {
      gspan_gateway_reply_error (request->request, 400, error.message, outbox);
      gspan_job_free (job);
      return NULL;
    }
  job->part_count = (guint)MAX (1, (body.len + part_size (node) - 1) / part_size (node));
  job->received_ms = node->wall_ms;
  job->known_since_us = node->now;
  job->owner_heartbeat_at_us = node->now;
  job->last_active_us = node->now;
  return job;
}

static guint64
answer_by (const struct GspanNode *node, const struct GspanWireRequest *wire,
           const struct GspanConfigRoute *route)
{
  guint64 wait_us = G_MAXUINT32 * GSPAN_MS;

  if (wire->timeout_us > 0)
    wait_us = MIN (wait_us, wire->timeout_us);
  if (route->timeout_us > 0)
    wait_us = MIN (wait_us, route->timeout_us);
  return node->now + wait_us - MIN (wait_us / 2, ANSWER_MARGIN_US);
}

static void
start_submission (struct GspanNode *node, const struct GspanEventRequest *request, const char *id,
                  const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
                  const char *account, struct GspanOutbox *outbox)
{
  struct GspanJob *job = parse_submission (node, request, id, wire, outbox);
  struct GspanSubmission *submission;

  if (job == NULL)
    return;
  job->account = g_strdup (account);
  submission = g_new0 (struct GspanSubmission, 1);
  submission->job = job;
  submission->body = g_bytes_ref (request->body);
  submission->requests = g_array_new (FALSE, FALSE, sizeof (guint64));
  submission->started_at_us = node->now;
  submission->answer_by_us = answer_by (node, wire, route);
  g_array_append_val (submission->requests, request->request);
  g_hash_table_insert (node->jobs.submissions, job->id, submission);
  /* the parts may be another account's */
  if (!is_unsettled (node, job->id) || node->catalog.config.accounts.enabled)
    {
      put_part (node, submission, outbox);
      return;
    }
  /* all parts were stored before the create of the head */
  submission->part_number = job->part_count;
  put_head (node, submission, outbox);
}

/* Answers a submission that isn't begun here. */
static void
decline (struct GspanNode *node, guint64 request, const char *id, const char *why,
         guint64 retry_after_us, struct GspanOutbox *outbox)
{
  if (is_unsettled (node, id))
    gspan_gateway_reply_error (request, 502, unsettled_text, outbox);
  else
    gspan_gateway_refuse (node, request, why, retry_after_us, outbox);
}

void
gspan_jobs_submit (struct GspanNode *node, const struct GspanEventRequest *request,
                   const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
                   const char *account, struct GspanOutbox *outbox)
{
  char *id = gspan_str_dup (wire->attempt_id);
  struct GspanSubmission *submission = g_hash_table_lookup (node->jobs.submissions, id);
  const struct GspanJob *known = gspan_jobs_find (&node->jobs, id);

  if (!gspan_str_equal (request->method, GSPAN_STR ("POST")))
    gspan_gateway_reply_error (request->request, 405, "a batch job is submitted by POST", outbox);
  else if (!gspan_job_id_is_valid (id))
    gspan_gateway_reply_error (request->request, 400, "the job's id is missing or not a name",
                               outbox);
  else if ((known != NULL && !gspan_job_is_open_to (node, known, account))
           || (submission != NULL && !gspan_job_is_open_to (node, submission->job, account)))
    gspan_gateway_reply_error (request->request, 404, no_job_text, outbox);
  else if (known != NULL)
    gspan_gateway_reply_error (request->request, STATUS_ACCEPTED, "accepted before", outbox);
  else if (submission != NULL)
    g_array_append_val (submission->requests, request->request);
  else if (node->draining)
    decline (node, request->request, id, "this node is shutting down", 0, outbox);
  else if (node->catalog.store_fails)
    decline (node, request->request, id, "the platform's store is away", RETRY_AFTER_US, outbox);
  else
    start_submission (node, request, id, wire, route, account, outbox);
  g_free (id);
}

/* True where another account has a job of the same id, which HEAD or this node tells. */
static bool
is_of_another_account (struct GspanNode *node, const struct GspanSubmission *submission,
                       const struct GspanStoreObject *head)
{
  const struct GspanJob *known = gspan_jobs_find (&node->jobs, submission->job->id);
  const char *account = known != NULL ? known->account : NULL;

  if (head != NULL)
    account = json_string_value (json_object_get (head->spec, "account"));
  return account != NULL && g_strcmp0 (account, submission->job->account) != 0;
}

/*
 * Sends 202 and ends SUBMISSION. REPLY is that of the create, which makes this node run the job;
 * NULL where the head became known here otherwise.
 */
static void
finish_accepted (struct GspanNode *node, struct GspanSubmission *submission,
                 const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = reply != NULL ? gspan_store_reply_first (reply) : NULL;
  struct GspanJob *job = submission->job;
  struct GspanJob *known = gspan_jobs_find (&node->jobs, job->id);
  bool foreign = is_of_another_account (node, submission, head);
  char *job_id = g_strdup (job->id);

  log_submission (node, submission, foreign ? "another account's" : "accepted", reply, outbox);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_JOBS_ACCEPTED, !foreign);
  if (foreign)
    reply_all (submission, 404, no_job_text, outbox);
  else
    reply_all (submission, STATUS_ACCEPTED, "accepted", outbox);
  g_hash_table_remove (node->jobs.unsettled_heads, job->id);
  g_hash_table_steal (node->jobs.submissions, job->id);
  /* A head that the watch has brought already, or that another node created, is only applied. */
  if (known == NULL && head != NULL && reply->result == GSPAN_STORE_OK)
    {
      submission->job = NULL;
      g_hash_table_insert (node->jobs.by_id, job->id, job);
      job->segments_up_to_date = true;
    }
  if (head != NULL)
    gspan_jobs_apply_head (node, head, outbox);
  if (head != NULL && !foreign) /* a conflict may be with this node's own create */
    gspan_owner_begin_handover (node, job_id, outbox);
  g_free (job_id);
  gspan_submission_free (submission);
}

/* Ends SUBMISSION without the job in the store, as far as this node knows. */
static void
give_up (struct GspanNode *node, struct GspanSubmission *submission,
         const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  if (gspan_jobs_find (&node->jobs, submission->job->id) != NULL)
    {
      finish_accepted (node, submission, NULL, outbox);
      return;
    }
  if (is_unsettled (node, submission->job->id))
    {
      log_submission (node, submission, "unknown", reply, outbox);
      reply_all (submission, 502, unsettled_text, outbox);
    }
  else
    {
      log_submission (node, submission, "refused", reply, outbox);
      refuse_all (node, submission, "the platform's store did not take the job", outbox);
    }
  g_hash_table_remove (node->jobs.submissions, submission->job->id);
}

/* True where PART, which stands, holds what SUBMISSION was to create there. */
static bool
has_same_content (const struct GspanNode *node, const struct GspanSubmission *submission,
                  const struct GspanStoreObject *part)
{
  const char *text = json_string_value (json_object_get (part->spec, "content"));
  struct GspanStr body = gspan_str_from_bytes (submission->body);
  size_t start = part_size (node) * submission->part_number;
  gsize len = 0;
  guchar *bytes = text != NULL ? g_base64_decode (text, &len) : NULL;
  bool same = bytes != NULL && len == MIN (part_size (node), body.len - start)
              && memcmp (bytes, body.data + start, len) == 0;

  g_free (bytes);
  return same;
}

/*
 * True where PART, which stands, is of the account that submits now. A build before this one names
 * no account in it.
 */
static bool
is_own_part (const struct GspanNode *node, const struct GspanSubmission *submission,
             const struct GspanStoreObject *part)
{
  const char *account = json_string_value (json_object_get (part->spec, "account"));

  return g_strcmp0 (account, submission->job->account) == 0
         || (account == NULL && has_same_content (node, submission, part));
}

static void
go_on_after_part (struct GspanNode *node, struct GspanSubmission *submission,
                  struct GspanOutbox *outbox)
{
  submission->part_number++;
  submission->part_retried = false;
  if (submission->part_number < submission->job->part_count)
    put_part (node, submission, outbox);
  else
    put_head (node, submission, outbox);
}

/* PART stands in place of the one that was to be created; NULL where the store didn't tell it. */
static void
on_part_stands (struct GspanNode *node, struct GspanSubmission *submission,
                const struct GspanStoreObject *part, struct GspanOutbox *outbox)
{
  bool needs_check = node->catalog.config.accounts.enabled;

  if (needs_check && part == NULL)
    read_part (node, submission, outbox);
  else if (!needs_check || is_own_part (node, submission, part))
    go_on_after_part (node, submission, outbox);
  else
    {
      log_submission (node, submission, "another account's", NULL, outbox);
      reply_all (submission, 404, no_job_text, outbox);
      g_hash_table_remove (node->jobs.submissions, submission->job->id);
    }
}

/* The part that stands was read. */
static void
on_part_read (struct GspanNode *node, struct GspanSubmission *submission,
              const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *part = gspan_store_reply_first (reply);

  if (reply->result == GSPAN_STORE_OK && part != NULL)
    on_part_stands (node, submission, part, outbox);
  else if (reply->result == GSPAN_STORE_MISSING)
    put_part (node, submission, outbox);
  else
    give_up (node, submission, reply, outbox);
}

static void
on_part_done (struct GspanNode *node, struct GspanSubmission *submission,
              const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  if (submission->reads_part)
    {
      submission->reads_part = false;
      on_part_read (node, submission, reply, outbox);
    }
  else if (reply->result == GSPAN_STORE_OK)
    go_on_after_part (node, submission, outbox);
  else if (reply->result == GSPAN_STORE_CONFLICT)
    on_part_stands (node, submission, gspan_store_reply_first (reply), outbox);
  else if (reply->result == GSPAN_STORE_UNKNOWN && !submission->part_retried)
    {
      submission->part_retried = true;
      put_part (node, submission, outbox);
    }
  else
    give_up (node, submission, reply, outbox);
}

/* The first create of a head after one of unknown outcome follows at once. */
static void
on_head_failed (struct GspanNode *node, struct GspanSubmission *submission,
                const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  guint tries = submission->settle_tries;

  if (!is_unsettled (node, submission->job->id) || tries == SETTLE_TRIES_MAX)
    {
      give_up (node, submission, reply, outbox);
      return;
    }
  submission->settle_tries++;
  if (tries == 0)
    put_head (node, submission, outbox);
  else
    submission->next_put_at_us = node->now + (SETTLE_PAUSE_US << (tries - 1));
}

/* The caller's time was up before this REPLY. */
static void
apply_late_head (struct GspanNode *node, const struct GspanJobCall *call,
                 const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);

  if (call->op != GSPAN_JOB_PUT_HEAD || head == NULL)
    return;
  g_hash_table_remove (node->jobs.unsettled_heads, call->job_id);
  gspan_jobs_apply_head (node, head, outbox);
}

void
gspan_accept_call_done (struct GspanNode *node, const struct GspanJobCall *call,
                        const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanSubmission *submission = g_hash_table_lookup (node->jobs.submissions, call->job_id);

  if (call->op == GSPAN_JOB_PUT_HEAD && reply->result == GSPAN_STORE_UNKNOWN)
    note_unsettled (node, call->job_id);
  if (submission == NULL || submission->call != call->id)
    {
      apply_late_head (node, call, reply, outbox);
      return;
    }
  submission->call = 0;
  if (call->op == GSPAN_JOB_PUT_PART)
    on_part_done (node, submission, reply, outbox);
  else if (reply->result == GSPAN_STORE_OK || reply->result == GSPAN_STORE_CONFLICT)
    finish_accepted (node, submission, reply, outbox);
  else
    on_head_failed (node, submission, reply, outbox);
}

static void
check_submission (struct GspanNode *node, struct GspanSubmission *submission,
                  struct GspanOutbox *outbox)
{
  if (node->now >= submission->answer_by_us)
    {
      /* the create of the head that is under way may be done */
      if (submission->call != 0 && submission->part_number == submission->job->part_count)
        note_unsettled (node, submission->job->id);
      give_up (node, submission, NULL, outbox);
    }
  else if (submission->call == 0 && node->now >= submission->next_put_at_us)
    put_head (node, submission, outbox);
}

void
gspan_accept_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *submissions = g_hash_table_get_values (node->jobs.submissions);

  for (GList *entry = submissions; entry != NULL; entry = entry->next)
    check_submission (node, entry->data, outbox);
  g_list_free (submissions);
  g_hash_table_foreach_remove (node->jobs.unsettled_heads, is_settled, node);
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

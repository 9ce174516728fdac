#include <string.h>

#include "common/clock.h"
#include "gateway/gateway.h"
#include "jobs/jobs.h"
#include "jobs/progress.h"
#include "node/node.h"

#define STORE_WAIT_MAX_US (GSPAN_SECOND) /* for a read of the store before the response is 503 */
#define RETRY_AFTER_US (300 * GSPAN_MS)

static const char no_job_text[] = "no such job";
static const char store_away_text[] = "the platform's store is away";

enum
{
  RESPONSE_TEXT_MAX = 700000 /* bytes of result texts; keeps the JSON of a response below 1 MB */
};

/* Number of cached results from FIRST on that fit into one response, at least 1 if any. */
static guint
page_result_count (const struct GspanJob *job, guint first)
{
  guint count = 0;
  size_t size = 0;

  while (first + count < job->committed_results->len)
    {
      const struct GspanJobResult *result
          = g_ptr_array_index (job->committed_results, first + count);

      size += result->text->len;
      if (count > 0 && size > RESPONSE_TEXT_MAX)
        break;
      count++;
    }
  return count;
}

static void
send_results (struct GspanJob *job, guint64 request, guint64 after, struct GspanOutbox *outbox)
{
  guint position = (guint)MIN (after, gspan_job_committed_count (job));
  guint first = position - job->first_cached; /* among those that are cached */
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY, (struct GspanRef){ 0 });

  action->u.reply.request = request;
  action->u.reply.status = 200;
  action->u.reply.body = gspan_wire_write_results (
      job->item_count, position, job->committed_results, first, page_result_count (job, first));
  gspan_headers_add (&action->u.reply.headers, "Content-Type", GSPAN_STR ("application/json"));
}

static bool
has_new_results (const struct GspanJob *job, const struct GspanJobReader *reader)
{
  return gspan_job_committed_count (job) > reader->after
         || gspan_job_committed_count (job) >= job->item_count;
}

/*
 * True if READER may get a page without results. Another node may have become the owner and have
 * committed results, so the cache must have been synced with the store after the reader arrived.
 */
static bool
may_send_empty_page (const struct GspanNode *node, const struct GspanJob *job,
                     const struct GspanJobReader *reader)
{
  return node->now >= reader->wait_until_us && job->segments_up_to_date
         && job->synced_at_us > reader->arrived_at_us;
}

/* Sends the response to READER if that can be done now. */
static bool
try_send_results (struct GspanNode *node, struct GspanJob *job, const struct GspanJobReader *reader,
                  struct GspanOutbox *outbox)
{
  if (gspan_progress_defers_reply (node, job, reader))
    return false;
  if (has_new_results (job, reader) || may_send_empty_page (node, job, reader))
    send_results (job, reader->request, reader->after, outbox);
  else if (node->now >= reader->wait_until_us + STORE_WAIT_MAX_US || node->catalog.store_fails)
    gspan_gateway_refuse (node, reader->request, store_away_text, RETRY_AFTER_US, outbox);
  else
    return false;
  return true;
}

bool
gspan_serve_needs_list (const struct GspanNode *node, const struct GspanJob *job)
{
  for (guint i = 0; i < job->readers->len; i++)
    {
      const struct GspanJobReader *reader = g_ptr_array_index (job->readers, i);

      if (node->now >= reader->wait_until_us && job->synced_at_us <= reader->arrived_at_us)
        return true;
    }
  return false;
}

static void
send_body (const struct GspanItem *item, guint64 request, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY, (struct GspanRef){ 0 });

  action->u.reply.request = request;
  action->u.reply.status = 200;
  action->u.reply.body = g_bytes_ref (item->submitted->body);
  gspan_headers_add (&action->u.reply.headers, "Content-Type",
                     GSPAN_STR ("application/octet-stream"));
}

static bool
try_send_item (struct GspanNode *node, struct GspanJob *job, const struct GspanItemReader *reader,
               struct GspanOutbox *outbox)
{
  const struct GspanItem *item;

  if (job->content_loaded)
    {
      item = g_hash_table_lookup (job->items_by_id, reader->item_id);
      if (item != NULL)
        send_body (item, reader->request, outbox);
      else
        gspan_gateway_reply_error (reader->request, 404, "the job has no such item", outbox);
      return true;
    }
  if (node->now < reader->deadline_us && !node->catalog.store_fails)
    return false;
  gspan_gateway_refuse (node, reader->request, store_away_text, RETRY_AFTER_US, outbox);
  return true;
}

/* True if a caller wants results before those that are cached here. */
static bool
wants_earlier_results (const struct GspanJob *job)
{
  for (guint i = 0; i < job->readers->len; i++)
    {
      const struct GspanJobReader *reader = g_ptr_array_index (job->readers, i);

      if (reader->after < job->first_cached)
        return true;
    }
  return false;
}

void
gspan_serve_readers (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (wants_earlier_results (job))
    gspan_job_restart_cache (job, 0);
  for (guint i = 0; i < job->readers->len; i++)
    {
      if (try_send_results (node, job, g_ptr_array_index (job->readers, i), outbox))
        g_ptr_array_remove_index (job->readers, i--);
    }
  for (guint i = 0; i < job->item_readers->len; i++)
    {
      if (try_send_item (node, job, g_ptr_array_index (job->item_readers, i), outbox))
        g_ptr_array_remove_index (job->item_readers, i--);
    }
}

static void
add_reader (struct GspanNode *node, struct GspanJob *job, guint64 request,
            const struct GspanWireTarget *target, struct GspanOutbox *outbox)
{
  struct GspanJobReader *reader = g_new0 (struct GspanJobReader, 1);

  reader->request = request;
  reader->after = target->first_result;
  reader->arrived_at_us = node->now;
  reader->wait_until_us = node->now + target->wait_max_us;
  g_ptr_array_add (job->readers, reader);
  gspan_serve_readers (node, job, outbox);
  gspan_progress_request (node, job, outbox);
  gspan_segments_advance (node, job, outbox);
}

static void
add_item_reader (struct GspanNode *node, struct GspanJob *job, guint64 request,
                 const struct GspanWireTarget *target, struct GspanOutbox *outbox)
{
  struct GspanItemReader *reader = g_new0 (struct GspanItemReader, 1);

  reader->request = request;
  reader->item_id = g_strdup (target->item);
  reader->deadline_us = node->now + STORE_WAIT_MAX_US;
  g_ptr_array_add (job->item_readers, reader);
  gspan_serve_readers (node, job, outbox);
  gspan_segments_advance (node, job, outbox);
}

static void
end_job (struct GspanNode *node, const char *id, guint64 request, struct GspanOutbox *outbox)
{
  struct GspanJobCall *job_call;
  struct GspanStoreCall *call = gspan_jobs_start_call (
      node, GSPAN_JOB_END, id, GSPAN_STORE_SET_STATUS, GSPAN_JOBS_KIND, id, outbox, &job_call);

  call->value = json_pack ("{s:b}", "ended", 1);
  job_call->request = request;
}

/*
 * Reads the head of a job that isn't known here from the store, to serve REQUEST of ACCOUNT after
 * that. Unless IS_FRESH_READ, the store may reply with stale data.
 */
static void
read_head_for_caller (struct GspanNode *node, guint64 request, const char *account,
                      const struct GspanWireTarget *target, bool is_fresh_read,
                      struct GspanOutbox *outbox)
{
  struct GspanJobCall *job_call;
  struct GspanStoreCall *call
      = gspan_jobs_start_call (node, GSPAN_JOB_READ_HEAD, target->job, GSPAN_STORE_GET,
                               GSPAN_JOBS_KIND, target->job, outbox, &job_call);

  call->allow_stale = !is_fresh_read;
  job_call->is_fresh_read = is_fresh_read;
  job_call->request = request;
  job_call->account = g_strdup (account);
  job_call->target.kind = target->kind;
  job_call->target.job = g_strdup (target->job);
  job_call->target.item = g_strdup (target->item);
  job_call->target.first_result = target->first_result;
  job_call->target.wait_max_us = target->wait_max_us;
}

bool
gspan_job_is_open_to (const struct GspanNode *node, const struct GspanJob *job, const char *account)
{
  return !node->catalog.config.accounts.enabled || job->account == NULL
         || g_strcmp0 (job->account, account) == 0;
}

static void
serve_known_job (struct GspanNode *node, struct GspanJob *job, guint64 request, const char *account,
                 const struct GspanWireTarget *target, struct GspanOutbox *outbox)
{
  if (!gspan_job_is_open_to (node, job, account))
    {
      gspan_gateway_reply_error (request, 404, no_job_text, outbox);
      return;
    }
  job->last_active_us = node->now;
  if (target->kind == GSPAN_WIRE_PATH_RESULTS)
    add_reader (node, job, request, target, outbox);
  else if (target->kind == GSPAN_WIRE_PATH_ITEM)
    add_item_reader (node, job, request, target, outbox);
  else if (job->ended)
    gspan_gateway_reply_error (request, 200, "ended before", outbox);
  else if (!node->catalog.store_fails)
    end_job (node, job->id, request, outbox);
  else
    gspan_gateway_refuse (node, request, store_away_text, RETRY_AFTER_US, outbox);
}

/* A job that isn't known here may be another account's: its head is read before it is ended. */
void
gspan_serve_request (struct GspanNode *node, guint64 request, const char *account,
                     const struct GspanWireTarget *target, struct GspanOutbox *outbox)
{
  struct GspanJob *job = gspan_jobs_find (&node->jobs, target->job);
  bool ends_any_job
      = target->kind == GSPAN_WIRE_PATH_END_JOB && !node->catalog.config.accounts.enabled;

  if (!gspan_job_id_is_valid (target->job))
    gspan_gateway_reply_error (request, 404, no_job_text, outbox);
  else if (job != NULL)
    serve_known_job (node, job, request, account, target, outbox);
  else if (node->catalog.store_fails)
    gspan_gateway_refuse (node, request, store_away_text, RETRY_AFTER_US, outbox);
  else if (ends_any_job)
    end_job (node, target->job, request, outbox);
  else
    read_head_for_caller (node, request, account, target, false, outbox);
}

static void
end_call_done (struct GspanNode *node, const struct GspanJobCall *call,
               const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  const struct GspanJob *job;
  struct GspanLine line;

  gspan_line_init (&line, "job-end-asked");
  gspan_line_cstr (&line, "job", call->job_id);
  gspan_line_cstr (&line, "store", gspan_store_result_name (reply->result));
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_NOTICE, &line);
  if (reply->result == GSPAN_STORE_OK)
    {
      gspan_gateway_reply_error (call->request, 200, "ended", outbox);
      if (head != NULL)
        gspan_jobs_apply_head (node, head, outbox);
      job = gspan_jobs_find (&node->jobs, call->job_id);
      if (job != NULL)
        gspan_owner_notify_end (node, job, outbox);
    }
  else if (reply->result == GSPAN_STORE_MISSING)
    gspan_gateway_reply_error (call->request, 404, no_job_text, outbox);
  else
    gspan_gateway_reply_error (call->request, 502, "the store did not say whether the job is ended",
                               outbox);
}

void
gspan_serve_call_done (struct GspanNode *node, const struct GspanJobCall *call,
                       const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  struct GspanJob *job;

  if (call->op == GSPAN_JOB_END)
    {
      end_call_done (node, call, reply, outbox);
      return;
    }
  if (reply->result == GSPAN_STORE_OK && head != NULL)
    gspan_jobs_apply_head (node, head, outbox);
  job = gspan_jobs_find (&node->jobs, call->job_id);
  if (job != NULL)
    serve_known_job (node, job, call->request, call->account, &call->target, outbox);
  else if (!call->is_fresh_read && reply->result == GSPAN_STORE_MISSING)
    read_head_for_caller (node, call->request, call->account, &call->target, true, outbox);
  else if (reply->result == GSPAN_STORE_MISSING)
    gspan_gateway_reply_error (call->request, 404, no_job_text, outbox);
  else
    gspan_gateway_refuse (node, call->request, store_away_text, RETRY_AFTER_US, outbox);
}

void
gspan_serve_caller_disconnected (struct GspanNode *node, guint64 request)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->jobs.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanJob *job = value;

      for (guint i = 0; i < job->readers->len; i++)
        {
          if (((struct GspanJobReader *)g_ptr_array_index (job->readers, i))->request == request)
            g_ptr_array_remove_index (job->readers, i--);
        }
      for (guint i = 0; i < job->item_readers->len; i++)
        {
          if (((struct GspanItemReader *)g_ptr_array_index (job->item_readers, i))->request
              == request)
            g_ptr_array_remove_index (job->item_readers, i--);
        }
    }
}

#include <string.h>

#include "common/clock.h"
#include "gateway/gateway.h"
#include "jobs/jobs.h"
#include "jobs/progress.h"
#include "node/node.h"

#define LOOK_MAX_US (GSPAN_SECOND) /* a look at the store that takes longer is given up */
#define RETRY_WAIT_US (300 * GSPAN_MS)

enum
{
  ANSWER_TEXT_MAX = 700000 /* bytes of texts in one answer, which is to stay under 1 MB as JSON */
};

static guint
count_that_fit (const struct GspanJob *job, guint first)
{
  guint count = 0;
  size_t size = 0;

  while (first + count < job->listed->len)
    {
      const struct GspanJobResult *result = g_ptr_array_index (job->listed, first + count);

      size += result->text->len;
      if (count > 0 && size > ANSWER_TEXT_MAX)
        break;
      count++;
    }
  return count;
}

static void
answer_results (struct GspanJob *job, guint64 request, guint64 after, struct GspanOutbox *outbox)
{
  guint first = (guint)MIN (after, job->listed->len);
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY, (struct GspanRef){ 0 });

  action->u.reply.request = request;
  action->u.reply.status = 200;
  action->u.reply.body
      = gspan_wire_write_results (job->total, job->listed, first, count_that_fit (job, first));
  gspan_headers_add (&action->u.reply.headers, "Content-Type", GSPAN_STR ("application/json"));
}

static bool
has_news (const struct GspanJob *job, const struct GspanJobReader *reader)
{
  return job->listed->len > reader->after || job->listed->len >= job->total;
}

/* "Nothing yet" is true only by the store's word: another node may run the job by now. */
static bool
may_say_nothing (const struct GspanNode *node, const struct GspanJob *job,
                 const struct GspanJobReader *reader)
{
  return node->now >= reader->until && job->read_all && job->looked_at > reader->arrived;
}

/* Answers READER where that can be done now. */
static bool
try_reader (struct GspanNode *node, struct GspanJob *job, const struct GspanJobReader *reader,
            struct GspanOutbox *outbox)
{
  if (gspan_progress_defers_reply (node, job, reader))
    return false;
  if (has_news (job, reader) || may_say_nothing (node, job, reader))
    answer_results (job, reader->request, reader->after, outbox);
  else if (node->now >= reader->until + LOOK_MAX_US || node->catalog.store_fails)
    gspan_gateway_refuse (node, reader->request, "the platform's store is away", RETRY_WAIT_US,
                          outbox);
  else
    return false;
  return true;
}

bool
gspan_serve_wants_look (const struct GspanNode *node, const struct GspanJob *job)
{
  for (guint i = 0; i < job->readers->len; i++)
    {
      const struct GspanJobReader *reader = g_ptr_array_index (job->readers, i);

      if (node->now >= reader->until && job->looked_at <= reader->arrived)
        return true;
    }
  return false;
}

static void
answer_body (const struct GspanItem *item, guint64 request, struct GspanOutbox *outbox)
{
  struct GspanAction *action
      = gspan_outbox_add (outbox, GSPAN_ACTION_REPLY, (struct GspanRef){ 0 });

  action->u.reply.request = request;
  action->u.reply.status = 200;
  action->u.reply.body = g_bytes_ref (item->source->body);
  gspan_headers_add (&action->u.reply.headers, "Content-Type",
                     GSPAN_STR ("application/octet-stream"));
}

static bool
try_item_reader (struct GspanNode *node, struct GspanJob *job, const struct GspanItemReader *reader,
                 struct GspanOutbox *outbox)
{
  const struct GspanItem *item;

  if (job->loaded)
    {
      item = g_hash_table_lookup (job->index, reader->item);
      if (item != NULL)
        answer_body (item, reader->request, outbox);
      else
        gspan_gateway_reply_error (reader->request, 404, "the job has no such item", outbox);
      return true;
    }
  if (node->now < reader->until && !node->catalog.store_fails)
    return false;
  gspan_gateway_refuse (node, reader->request, "the platform's store is away", RETRY_WAIT_US,
                        outbox);
  return true;
}

void
gspan_serve_readers (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  for (guint i = 0; i < job->readers->len; i++)
    {
      if (try_reader (node, job, g_ptr_array_index (job->readers, i), outbox))
        g_ptr_array_remove_index (job->readers, i--);
    }
  for (guint i = 0; i < job->item_readers->len; i++)
    {
      if (try_item_reader (node, job, g_ptr_array_index (job->item_readers, i), outbox))
        g_ptr_array_remove_index (job->item_readers, i--);
    }
}

static void
read_results (struct GspanNode *node, struct GspanJob *job, guint64 request,
              const struct GspanWireTarget *target, struct GspanOutbox *outbox)
{
  struct GspanJobReader *reader = g_new0 (struct GspanJobReader, 1);

  reader->request = request;
  reader->after = target->first_result;
  reader->arrived = node->now;
  reader->until = node->now + target->wait_max_us;
  g_ptr_array_add (job->readers, reader);
  gspan_serve_readers (node, job, outbox);
  gspan_progress_request (node, job, outbox);
  gspan_segments_advance (node, job, outbox);
}

static void
read_item (struct GspanNode *node, struct GspanJob *job, guint64 request,
           const struct GspanWireTarget *target, struct GspanOutbox *outbox)
{
  struct GspanItemReader *reader = g_new0 (struct GspanItemReader, 1);

  reader->request = request;
  reader->item = g_strdup (target->item);
  reader->until = node->now + LOOK_MAX_US;
  g_ptr_array_add (job->item_readers, reader);
  gspan_serve_readers (node, job, outbox);
  gspan_segments_advance (node, job, outbox);
}

static void
end_job (struct GspanNode *node, const char *id, guint64 request, struct GspanOutbox *outbox)
{
  struct GspanJobCall *item;
  struct GspanStoreCall *call = gspan_jobs_call (node, GSPAN_JOB_END, id, GSPAN_STORE_SET_STATUS,
                                                 GSPAN_JOBS_KIND, id, outbox, &item);

  call->value = json_pack ("{s:b}", "ended", 1);
  item->request = request;
}

/* Who runs the job is asked for where it isn't known here; old data will do unless FRESH. */
static void
look_up (struct GspanNode *node, guint64 request, const struct GspanWireTarget *target, bool fresh,
         struct GspanOutbox *outbox)
{
  struct GspanJobCall *item;
  struct GspanStoreCall *call
      = gspan_jobs_call (node, GSPAN_JOB_LOOK_UP, target->job, GSPAN_STORE_GET, GSPAN_JOBS_KIND,
                         target->job, outbox, &item);

  call->allow_stale = !fresh;
  item->fresh = fresh;
  item->request = request;
  item->target.kind = target->kind;
  item->target.job = g_strdup (target->job);
  item->target.item = g_strdup (target->item);
  item->target.first_result = target->first_result;
  item->target.wait_max_us = target->wait_max_us;
}

static void
serve_known (struct GspanNode *node, struct GspanJob *job, guint64 request,
             const struct GspanWireTarget *target, struct GspanOutbox *outbox)
{
  job->used_at = node->now;
  if (target->kind == GSPAN_WIRE_PATH_RESULTS)
    read_results (node, job, request, target, outbox);
  else
    read_item (node, job, request, target, outbox);
}

void
gspan_serve_request (struct GspanNode *node, guint64 request, const struct GspanWireTarget *target,
                     struct GspanOutbox *outbox)
{
  struct GspanJob *job = gspan_jobs_find (&node->jobs, target->job);

  if (!gspan_job_id_ok (target->job))
    gspan_gateway_reply_error (request, 404, "no such job", outbox);
  else if (target->kind == GSPAN_WIRE_PATH_END_JOB && job != NULL && job->ended)
    gspan_gateway_reply_error (request, 200, "ended before", outbox);
  else if (target->kind == GSPAN_WIRE_PATH_END_JOB && !node->catalog.store_fails)
    end_job (node, target->job, request, outbox);
  else if (target->kind != GSPAN_WIRE_PATH_END_JOB && job != NULL)
    serve_known (node, job, request, target, outbox);
  else if (!node->catalog.store_fails)
    look_up (node, request, target, false, outbox);
  else
    gspan_gateway_refuse (node, request, "the platform's store is away", RETRY_WAIT_US, outbox);
}

static void
ended (struct GspanNode *node, const struct GspanJobCall *call, const struct GspanStoreReply *reply,
       struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  const struct GspanJob *job;
  struct GspanLine line;

  gspan_line_init (&line, "job-end-asked");
  gspan_line_cstr (&line, "job", call->job);
  gspan_line_cstr (&line, "store", gspan_store_result_name (reply->result));
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_NOTICE, &line);
  if (reply->result == GSPAN_STORE_OK)
    {
      gspan_gateway_reply_error (call->request, 200, "ended", outbox);
      if (head != NULL)
        gspan_jobs_apply_head (node, head, outbox);
      job = gspan_jobs_find (&node->jobs, call->job);
      if (job != NULL)
        gspan_owner_tell_end (node, job, outbox);
    }
  else if (reply->result == GSPAN_STORE_MISSING)
    gspan_gateway_reply_error (call->request, 404, "no such job", outbox);
  else
    gspan_gateway_reply_error (call->request, 502, "the store did not say whether the job is ended",
                               outbox);
}

void
gspan_serve_done (struct GspanNode *node, const struct GspanJobCall *call,
                  const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  struct GspanJob *job;

  if (call->op == GSPAN_JOB_END)
    {
      ended (node, call, reply, outbox);
      return;
    }
  if (reply->result == GSPAN_STORE_OK && head != NULL)
    gspan_jobs_apply_head (node, head, outbox);
  job = gspan_jobs_find (&node->jobs, call->job);
  if (job != NULL)
    serve_known (node, job, call->request, &call->target, outbox);
  else if (!call->fresh && reply->result == GSPAN_STORE_MISSING)
    look_up (node, call->request, &call->target, true, outbox);
  else if (reply->result == GSPAN_STORE_MISSING)
    gspan_gateway_reply_error (call->request, 404, "no such job", outbox);
  else
    gspan_gateway_refuse (node, call->request, "the platform's store is away", RETRY_WAIT_US,
                          outbox);
}

void
gspan_serve_gone (struct GspanNode *node, guint64 request)
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

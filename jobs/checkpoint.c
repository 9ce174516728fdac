#include "jobs/checkpoint.h"

#include <string.h>

#include "common/clock.h"
#include "jobs/jobs.h"
#include "node/node.h"

const char gspan_checkpoint_name[] = "checkpoint";

#define PAUSE_US (2 * GSPAN_SECOND) /* between two checkpoints; what a lost owner costs at most */

enum
{
  EVENTS_LEAST = 45,      /* of a run, beyond what is kept of it; fewer are soon made again */
  EVENTS_LEAST_LAST = 5,  /* as above, where the job is handed over */
  SIZE_SHARE_PERCENT = 40 /* of an object's largest size; JSON escapes some bytes */
};

static bool
is_open (const struct GspanItem *item)
{
  return item->result != NULL
         && (item->state == GSPAN_ITEM_RUNNING || item->state == GSPAN_ITEM_WAITING);
}

static bool
has_news (const struct GspanJob *job, guint64 events_least)
{
  for (guint i = 0; i < job->document.items->len; i++)
    {
      const struct GspanItem *item = &job->items[i];

      if (is_open (item) && item->last_event >= item->kept_event + events_least)
        return true;
    }
  return false;
}

static bool
keeps_runs (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_config_match (
      &node->catalog.config, gspan_str_from (job->host), gspan_str_from (job->path));

  /* Where a result has to be of one version, another replica rarely can go on with it. */
  return route != NULL && !route->single_version;
}

static bool
is_due (const struct GspanNode *node, const struct GspanJob *job, bool last)
{
  if (!job->mine || job->ended || !job->loaded || job->keep_call != 0 || node->catalog.store_fails
      || !keeps_runs (node, job))
    return false;
  if (last)
    return has_news (job, EVENTS_LEAST_LAST);
  return node->now >= job->keep_after && has_news (job, EVENTS_LEAST);
}

static gint
by_progress (gconstpointer a, gconstpointer b)
{
  const struct GspanItem *x = *(const struct GspanItem *const *)a;
  const struct GspanItem *y = *(const struct GspanItem *const *)b;

  if (x->last_event != y->last_event)
    return x->last_event > y->last_event ? -1 : 1;
  return x < y ? -1 : x > y;
}

/* Items of JOB with EVENTS_LEAST events or more, the longest first. */
static GPtrArray *
open_items (struct GspanJob *job, guint64 events_least)
{
  GPtrArray *items = g_ptr_array_new ();

  for (guint i = 0; i < job->document.items->len; i++)
    {
      if (is_open (&job->items[i]) && job->items[i].last_event >= events_least)
        g_ptr_array_add (items, &job->items[i]);
    }
  g_ptr_array_sort (items, by_progress);
  return items;
}

/* The open runs as JSON. What doesn't fit is left out: the shortest, which cost least. */
static json_t *
spec_of (const struct GspanNode *node, struct GspanJob *job, guint64 events_least)
{
  size_t room = (size_t)(node->limits.object_max_bytes * SIZE_SHARE_PERCENT / 100);
  GPtrArray *items = open_items (job, events_least);
  json_t *values = json_array ();

  for (guint i = 0; i < items->len; i++)
    {
      struct GspanItem *item = g_ptr_array_index (items, i);
      json_t *value;

      item->kept_event = item->last_event;
      if (item->result->text->len > room)
        continue;
      room -= item->result->text->len;
      value = gspan_job_result_encode (item->result);
      json_object_set_new (value, "events", json_integer ((json_int_t)item->last_event));
      json_array_append_new (values, value);
    }
  g_ptr_array_unref (items);
  return json_pack ("{s:o}", "items", values);
}

void
gspan_checkpoint_advance (struct GspanNode *node, struct GspanJob *job, bool last,
                          struct GspanOutbox *outbox)
{
  struct GspanJobCall *item;
  struct GspanStoreCall *call;

  if (!is_due (node, job, last))
    return;
  call = gspan_jobs_call (node, GSPAN_JOB_KEEP, job->id,
                          job->kept ? GSPAN_STORE_REPLACE : GSPAN_STORE_CREATE, job->kind,
                          gspan_checkpoint_name, outbox, &item);
  call->value = spec_of (node, job, last ? EVENTS_LEAST_LAST : EVENTS_LEAST);
  job->keep_call = item->id;
  job->keep_after = node->now + PAUSE_US;
}

bool
gspan_checkpoint_pending (const struct GspanNode *node, const struct GspanJob *job)
{
  return job->keep_call != 0 || is_due (node, job, true);
}

void
gspan_checkpoint_written (struct GspanNode *node, struct GspanJob *job,
                          const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  job->keep_call = 0;
  gspan_line_init (&line, "runs-kept");
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_cstr (&line, "store", gspan_store_result_name (reply->result));
  gspan_line_u64 (&line, "elapsed_us", node->now + PAUSE_US - job->keep_after);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_INFO, &line);
  /* A lost answer may hide a creation; whoever finds the object there replaces it next time. */
  job->kept = reply->result == GSPAN_STORE_OK || reply->result == GSPAN_STORE_CONFLICT;
}

void
gspan_checkpoint_read (struct GspanJob *job, json_t *spec)
{
  job->kept = true;
  json_decref (job->checkpoint);
  job->checkpoint = json_incref (spec);
}

static void
restore_item (struct GspanJob *job, json_t *value)
{
  struct GspanJobResult *result = gspan_job_result_decode (value);
  json_int_t events = json_integer_value (json_object_get (value, "events"));
  struct GspanItem *item
      = result != NULL ? g_hash_table_lookup (job->index, result->item_id) : NULL;

  if (item == NULL || events <= 0 || item->state != GSPAN_ITEM_WAITING || item->result != NULL)
    {
      if (result != NULL)
        gspan_job_result_free (result);
      return;
    }
  item->result = result;
  item->last_event = (guint64)events;
  item->kept_event = item->last_event;
}

void
gspan_checkpoint_restore (struct GspanJob *job)
{
  json_t *value;
  size_t index;

  json_array_foreach (json_object_get (job->checkpoint, "items"), index, value)
  {
    restore_item (job, value);
  }
  json_decref (job->checkpoint);
  job->checkpoint = NULL;
}

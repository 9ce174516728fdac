#include "jobs/checkpoint.h"

#include <string.h>

#include "common/clock.h"
#include "jobs/jobs.h"
#include "node/node.h"

const char gspan_checkpoint_name[] = "checkpoint";

/* Bounds the generation time that is lost with an owner. */
#define CHECKPOINT_INTERVAL_US (2 * GSPAN_SECOND)
#define WRITE_WAIT_MAX_US (300 * GSPAN_MS) /* of a whole text's reward call for the write of it */

enum
{
  NEW_EVENTS_MIN = 45,     /* of one item since its last checkpoint; fewer are soon regenerated */
  HANDOVER_EVENTS_MIN = 5, /* the same during a handover */
  CHECKPOINT_MAX_PERCENT = 40 /* of the store's largest value; JSON escapes some bytes */
};

static bool
is_unfinished (const struct GspanItem *item)
{
  return item->state == GSPAN_ITEM_RUNNING || item->state == GSPAN_ITEM_WAITING
         || item->state == GSPAN_ITEM_UNSCORED;
}

static bool
has_enough_progress (const struct GspanJob *job, guint64 events_min)
{
  for (guint i = 0; i < job->document.items->len; i++)
    {
      const struct GspanItem *item = &job->items[i];

      if (!is_unfinished (item))
        continue;
      if (gspan_item_error_count (item) > item->checkpointed_errors)
        return true;
      if (item->result != NULL && item->last_event_id >= item->checkpointed_event_id + events_min)
        return true;
    }
  return false;
}

static bool
allows_checkpoint (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_jobs_route_of (node, job);

  /* Few other replicas could resume a result that has to be of a single weight version. */
  return route != NULL && !route->single_version;
}

/* True if much would be lost of the whole text of ITEM, which hasn't been written yet. */
static bool
is_worth_a_write (const struct GspanItem *item)
{
  return item->last_event_id >= item->checkpointed_event_id + NEW_EVENTS_MIN;
}

/* True if a reward call waits for a write. */
static bool
has_reward_call_waiting (const struct GspanJob *job)
{
  for (const GList *entry = job->unscored_items.head; entry != NULL; entry = entry->next)
    {
      if (is_worth_a_write (entry->data))
        return true;
    }
  return false;
}

bool
gspan_checkpoint_covers (const struct GspanNode *node, const struct GspanJob *job,
                         const struct GspanItem *item)
{
  if (item->last_event_id < NEW_EVENTS_MIN || node->catalog.store_fails
      || !allows_checkpoint (node, job)
      || node->now >= item->reward.owed_since_us + WRITE_WAIT_MAX_US)
    return true;
  return !is_worth_a_write (item) && job->checkpoint_call == 0;
}

static bool
is_due (const struct GspanNode *node, const struct GspanJob *job, bool last)
{
  if (!job->is_owner || job->ended || !job->content_loaded || job->checkpoint_call != 0
      || node->catalog.store_fails || !allows_checkpoint (node, job))
    return false;
  if (last)
    return has_enough_progress (job, HANDOVER_EVENTS_MIN);
  return has_reward_call_waiting (job)
         || (node->now >= job->next_checkpoint_at_us && has_enough_progress (job, NEW_EVENTS_MIN));
}

static gint
compare_progress (gconstpointer a, gconstpointer b)
{
  const struct GspanItem *x = *(const struct GspanItem *const *)a;
  const struct GspanItem *y = *(const struct GspanItem *const *)b;

  if (x->last_event_id != y->last_event_id)
    return x->last_event_id > y->last_event_id ? -1 : 1;
  return x < y ? -1 : x > y;
}

/*
 * Unfinished items of JOB with at least EVENTS_MIN events, or with failed runs, those with the most
 * events first.
 */
static GPtrArray *
unfinished_items (struct GspanJob *job, guint64 events_min)
{
  GPtrArray *items = g_ptr_array_new ();

  for (guint i = 0; i < job->document.items->len; i++)
    {
      struct GspanItem *item = &job->items[i];
      bool has_events = item->result != NULL && item->last_event_id >= events_min;

      if (is_unfinished (item) && (has_events || gspan_item_error_count (item) > 0))
        g_ptr_array_add (items, item);
    }
  g_ptr_array_sort (items, compare_progress);
  return items;
}

static json_t *
encode_item (const struct GspanItem *item)
{
  json_t *value = item->result != NULL
                      ? gspan_job_result_encode (item->result)
                      : json_pack ("{s:s, s:s}", "item", item->submitted->id, "text", "");

  if (item->result != NULL && item->result->software != NULL)
    json_object_set_new (value, "software", json_string (item->result->software));
  json_object_set_new (value, "events", json_integer ((json_int_t)item->last_event_id));
  if (item->server_errors > 0)
    json_object_set_new (value, "errors", json_integer ((json_int_t)item->server_errors));
  if (item->reward.server_errors > 0)
    json_object_set_new (value, "reward_errors",
                         json_integer ((json_int_t)item->reward.server_errors));
  if (item->state == GSPAN_ITEM_UNSCORED)
    json_object_set_new (value, "whole", json_true ());
  return value;
}

/*
 * Returns the checkpoint as JSON. If it would be too large, the items with the fewest events are
 * left out, since they are the cheapest to regenerate.
 */
static json_t *
encode_checkpoint (const struct GspanNode *node, struct GspanJob *job, guint64 events_min)
{
  size_t text_left = (size_t)(node->limits.object_max_bytes * CHECKPOINT_MAX_PERCENT / 100);
  GPtrArray *items = unfinished_items (job, events_min);
  json_t *values = json_array ();

  for (guint i = 0; i < items->len; i++)
    {
      struct GspanItem *item = g_ptr_array_index (items, i);
      size_t text = item->result != NULL ? item->result->text->len : 0;

      item->checkpointed_event_id = item->last_event_id;
      item->checkpointed_errors = gspan_item_error_count (item);
      if (text > text_left)
        continue;
      text_left -= text;
      json_array_append_new (values, encode_item (item));
    }
  g_ptr_array_unref (items);
  return json_pack ("{s:o}", "items", values);
}

void
gspan_checkpoint_write_if_due (struct GspanNode *node, struct GspanJob *job, bool last,
                               struct GspanOutbox *outbox)
{
  struct GspanJobCall *job_call;
  struct GspanStoreCall *call;

  if (!is_due (node, job, last))
    return;
  call = gspan_jobs_start_call (node, GSPAN_JOB_WRITE_CHECKPOINT, job->id,
                                job->has_checkpoint ? GSPAN_STORE_REPLACE : GSPAN_STORE_CREATE,
                                job->content_kind, gspan_checkpoint_name, outbox, &job_call);
  /* else one that is done late would replace a later one */
  call->revision = job->has_checkpoint ? job->checkpoint_revision : 0;
  call->value = encode_checkpoint (node, job, last ? HANDOVER_EVENTS_MIN : NEW_EVENTS_MIN);
  job->checkpoint_call = job_call->id;
  job->next_checkpoint_at_us = node->now + CHECKPOINT_INTERVAL_US;
}

bool
gspan_checkpoint_pending (const struct GspanNode *node, const struct GspanJob *job)
{
  return job->checkpoint_call != 0 || is_due (node, job, true);
}

/* What the last write should have kept counts as not written. */
static void
mark_unwritten (struct GspanJob *job)
{
  for (guint i = 0; i < job->document.items->len; i++)
    {
      job->items[i].checkpointed_event_id = 0;
      job->items[i].checkpointed_errors = 0;
    }
}

void
gspan_checkpoint_write_done (struct GspanNode *node, struct GspanJob *job,
                             const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *object = gspan_store_reply_first (reply);
  struct GspanLine line;

  job->checkpoint_call = 0;
  gspan_line_init (&line, "runs-kept");
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_cstr (&line, "store", gspan_store_result_name (reply->result));
  gspan_line_u64 (&line, "elapsed_us",
                  node->now + CHECKPOINT_INTERVAL_US - job->next_checkpoint_at_us);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_INFO, &line);
  /*
   * A write with a lost reply may have succeeded. The next create conflicts then, and the write
   * after that replaces the object, whose revision the conflict tells.
   */
  job->has_checkpoint = reply->result == GSPAN_STORE_OK || reply->result == GSPAN_STORE_CONFLICT;
  job->checkpoint_revision = object != NULL ? object->revision : 0;
  if (reply->result != GSPAN_STORE_OK && job->content_loaded)
    mark_unwritten (job);
}

void
gspan_checkpoint_set (struct GspanJob *job, const struct GspanStoreObject *object)
{
  job->has_checkpoint = true;
  job->checkpoint_revision = object->revision;
  json_decref (job->checkpoint);
  job->checkpoint = json_incref (object->spec);
}

static void
restore_count (guint *count, json_t *value, const char *key)
{
  json_int_t kept = json_integer_value (json_object_get (value, key));

  *count = MAX (*count, (guint)CLAMP (kept, 0, G_MAXUINT16));
}

static void
restore_errors (struct GspanItem *item, json_t *value)
{
  restore_count (&item->server_errors, value, "errors");
  restore_count (&item->reward.server_errors, value, "reward_errors");
  item->checkpointed_errors = gspan_item_error_count (item);
}

static void
restore_item (struct GspanJob *job, json_t *value)
{
  struct GspanJobResult *result = gspan_job_result_decode (value);
  json_int_t events = json_integer_value (json_object_get (value, "events"));
  struct GspanItem *item
      = result != NULL ? g_hash_table_lookup (job->items_by_id, result->item_id) : NULL;

  if (item != NULL)
    restore_errors (item, value);
  if (item == NULL || events <= 0 || item->state != GSPAN_ITEM_WAITING || item->result != NULL
      || item->submitted->unsendable)
    {
      if (result != NULL)
        gspan_job_result_free (result);
      return;
    }
  result->software = g_strdup (json_string_value (json_object_get (value, "software")));
  item->result = result;
  item->last_event_id = (guint64)events;
  item->checkpointed_event_id = item->last_event_id;
  if (item->submitted->reward != NULL && json_is_true (json_object_get (value, "whole")))
    {
      g_queue_remove (&job->waiting_items, item);
      gspan_job_set_state (job, item, GSPAN_ITEM_UNSCORED);
    }
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

#include "jobs/job.h"

#include <string.h>

#include "platform/wire.h"

#define PART_PREFIX "part-"
#define SEGMENT_PREFIX "result-" /* sorts after PART_PREFIX */

enum
{
  ID_LEN_MAX = 64
};

static void
item_reader_free (gpointer data)
{
  struct GspanItemReader *reader = data;

  g_free (reader->item_id);
  g_free (reader);
}

struct GspanJob *
gspan_job_new (const char *id)
{
  struct GspanJob *job = g_new0 (struct GspanJob, 1);

  job->id = g_strdup (id);
  job->content_kind = g_strdup_printf ("job-%s", id);
  job->owner = g_strdup ("");
  job->part_texts = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  gspan_job_document_init (&job->document);
  gspan_groups_init (&job->groups);
  job->items_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  job->committed_results = g_ptr_array_new_with_free_func (gspan_job_result_free);
  job->segment_starts = g_array_new (FALSE, FALSE, sizeof (guint));
  job->ready_results = g_ptr_array_new_with_free_func (gspan_job_result_free);
  job->prompt_replicas = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->subscribers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->readers = g_ptr_array_new_with_free_func (g_free);
  job->item_readers = g_ptr_array_new_with_free_func (item_reader_free);
  g_queue_init (&job->waiting_items);
  g_queue_init (&job->unscored_items);
  return job;
}

static void
items_free (struct GspanJob *job)
{
  for (guint i = 0; job->items != NULL && i < job->document.items->len; i++)
    {
      if (job->items[i].result != NULL)
        gspan_job_result_free (job->items[i].result);
    }
  g_clear_pointer (&job->items, g_free);
  g_hash_table_remove_all (job->items_by_id);
  g_queue_clear (&job->waiting_items);
  g_queue_clear (&job->unscored_items);
}

void
gspan_job_unload (struct GspanJob *job)
{
  items_free (job);
  gspan_job_document_finish (&job->document);
  gspan_job_document_init (&job->document);
  g_ptr_array_set_size (job->part_texts, 0);
  g_ptr_array_set_size (job->ready_results, 0);
  g_hash_table_remove_all (job->prompt_replicas);
  gspan_job_restart_cache (job, 0);
  job->content_loaded = false;
  job->append_call = 0;
  job->checkpoint_call = 0;
}

void
gspan_job_restart_cache (struct GspanJob *job, guint segment)
{
  g_ptr_array_set_size (job->committed_results, 0);
  g_array_set_size (job->segment_starts, 0);
  g_clear_pointer (&job->next_page_after, g_free);
  job->first_cached = 0;
  job->cache_restarts++;
  job->segment_count = segment;
  job->segments_up_to_date = false;
  job->list_call = 0;
  job->next_list_at_us = 0;
}

guint
gspan_job_committed_count (const struct GspanJob *job)
{
  return job->first_cached + job->committed_results->len;
}

guint
gspan_job_segment_of (const struct GspanJob *job, guint64 position)
{
  guint number = 0;

  while (number + 1 < job->segment_starts->len
         && g_array_index (job->segment_starts, guint, number + 1) <= position)
    number++;
  return number;
}

void
gspan_job_free (gpointer data)
{
  struct GspanJob *job = data;

  items_free (job);
  gspan_groups_finish (&job->groups);
  gspan_job_document_finish (&job->document);
  g_free (job->id);
  g_free (job->content_kind);
  g_free (job->host);
  g_free (job->path);
  g_free (job->account);
  g_free (job->owner);
  g_free (job->next_page_after);
  json_decref (job->checkpoint);
  g_ptr_array_unref (job->part_texts);
  g_hash_table_unref (job->items_by_id);
  g_hash_table_unref (job->prompt_replicas);
  g_ptr_array_unref (job->committed_results);
  g_array_unref (job->segment_starts);
  g_ptr_array_unref (job->ready_results);
  g_hash_table_unref (job->subscribers);
  g_ptr_array_unref (job->readers);
  g_ptr_array_unref (job->item_readers);
  g_free (job);
}

bool
gspan_job_decode_head (struct GspanJob *job, json_t *spec, json_t *status, struct GspanError *error)
{
  const char *host = NULL;
  const char *path = NULL;
  const char *owner = NULL;
  const char *account = json_string_value (json_object_get (spec, "account"));
  json_int_t parts;
  json_int_t total;
  json_int_t received;

  if (json_unpack (spec, "{s:s, s:s, s:s, s:I, s:I, s:I}", "host", &host, "path", &path, "owner",
                   &owner, "parts", &parts, "total", &total, "received_ms", &received)
      != 0)
    return gspan_error_set (error, GSPAN_ERROR_INPUT,
                            "job head: a field is missing or has the wrong type");
  g_free (job->host);
  g_free (job->path);
  g_free (job->owner);
  if (account != NULL) /* a build before this one leaves it out as it writes */
    {
      g_free (job->account);
      job->account = g_strdup (account);
    }
  job->host = g_strdup (host);
  job->path = g_strdup (path);
  job->owner = g_strdup (owner);
  job->part_count = (guint)parts;
  job->item_count = (guint)total;
  job->received_ms = received;
  job->ended = job->ended || json_is_true (json_object_get (status, "ended"));
  return true;
}

json_t *
gspan_job_encode_head (const struct GspanJob *job, const char *owner)
{
  json_t *head
      = json_pack ("{s:s, s:s, s:s, s:I, s:I, s:I}", "host", job->host, "path", job->path, "owner",
                   owner, "parts", (json_int_t)job->part_count, "total",
                   (json_int_t)job->item_count, "received_ms", (json_int_t)job->received_ms);

  if (job->account != NULL)
    json_object_set_new (head, "account", json_string (job->account));
  return head;
}

bool
gspan_job_is_run_here (const struct GspanJob *job)
{
  return job->is_owner && !job->ended && job->content_loaded && job->segments_up_to_date
         && !job->handing_over;
}

guint
gspan_item_error_count (const struct GspanItem *item)
{
  return item->server_errors + item->reward.server_errors;
}

static bool
is_done (enum GspanItemState state)
{
  return state == GSPAN_ITEM_FINISHED || state == GSPAN_ITEM_COMMITTED;
}

void
gspan_job_set_state (struct GspanJob *job, struct GspanItem *item, enum GspanItemState state)
{
  guint index = (guint)(item - job->items);

  if (is_done (state) && !is_done (item->state))
    gspan_groups_mark_done (&job->groups, index);
  else if (!is_done (state) && is_done (item->state))
    gspan_groups_unmark_done (&job->groups, index);
  if (item->state == GSPAN_ITEM_UNSCORED)
    g_queue_remove (&job->unscored_items, item);
  if (state == GSPAN_ITEM_UNSCORED)
    g_queue_push_tail (&job->unscored_items, item);
  item->state = state;
}

/* Sorts by expected length, longest first: a long item that starts late delays the whole step. */
static gint
compare_length_hint (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct GspanItem *x = a;
  const struct GspanItem *y = b;

  (void)user;
  if (x->submitted->length_hint != y->submitted->length_hint)
    return x->submitted->length_hint > y->submitted->length_hint ? -1 : 1;
  return x < y ? -1 : x > y;
}

bool
gspan_job_load (struct GspanJob *job, struct GspanStr body, struct GspanError *error)
{
  if (!gspan_wire_read_job (body, &job->document, error))
    return false;
  job->items = g_new0 (struct GspanItem, MAX (1, job->document.items->len));
  gspan_groups_load (&job->groups, &job->document);
  for (guint i = 0; i < job->document.items->len; i++)
    {
      struct GspanItem *item = &job->items[i];

      item->submitted = g_ptr_array_index (job->document.items, i);
      g_hash_table_insert (job->items_by_id, item->submitted->id, item);
      g_queue_push_tail (&job->waiting_items, item);
    }
  for (guint i = 0; i < job->committed_results->len; i++)
    {
      const struct GspanJobResult *result = g_ptr_array_index (job->committed_results, i);
      struct GspanItem *item = g_hash_table_lookup (job->items_by_id, result->item_id);

      if (item == NULL)
        continue;
      gspan_job_set_state (job, item, GSPAN_ITEM_COMMITTED);
      g_queue_remove (&job->waiting_items, item);
    }
  g_queue_sort (&job->waiting_items, compare_length_hint, NULL);
  job->content_loaded = true;
  return true;
}

static bool
is_utf8 (struct GspanStr text)
{
  return g_utf8_validate (text.data, (gssize)text.len, NULL);
}

bool
gspan_job_load_submission (struct GspanJob *job, struct GspanStr host, struct GspanStr path,
                           struct GspanStr body, struct GspanError *error)
{
  if (!is_utf8 (host) || !is_utf8 (path))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "the host or path is no UTF-8");
  if (!gspan_job_load (job, body, error))
    return false;
  if (job->document.unsendable_count > 0)
    {
      *error = job->document.unsendable;
      return false;
    }
  job->host = gspan_str_dup (host);
  job->path = gspan_str_dup (path);
  job->item_count = job->document.items->len;
  return true;
}

/* Drops the ready result of the item ITEM_ID. */
static void
discard_ready_result (struct GspanJob *job, const char *item_id)
{
  for (guint i = 0; i < job->ready_results->len; i++)
    {
      const struct GspanJobResult *result = g_ptr_array_index (job->ready_results, i);

      if (strcmp (result->item_id, item_id) != 0)
        continue;
      g_ptr_array_remove_index (job->ready_results, i);
      return;
    }
}

void
gspan_job_commit_result (struct GspanJob *job, struct GspanJobResult *result)
{
  struct GspanItem *item = g_hash_table_lookup (job->items_by_id, result->item_id);

  g_ptr_array_add (job->committed_results, result);
  if (item == NULL)
    return;
  if (item->state == GSPAN_ITEM_WAITING)
    g_queue_remove (&job->waiting_items, item);
  if (item->state == GSPAN_ITEM_FINISHED)
    discard_ready_result (job, result->item_id);
  gspan_job_set_state (job, item, GSPAN_ITEM_COMMITTED);
}

void
gspan_job_set_synced (struct GspanJob *job, guint64 now, gint64 wall_ms)
{
  job->synced_at_us = now;
  job->synced_wall_ms = wall_ms;
}

void
gspan_job_discard_ready (struct GspanJob *job)
{
  for (guint i = 0; i < job->ready_results->len; i++)
    {
      const struct GspanJobResult *result = g_ptr_array_index (job->ready_results, i);
      struct GspanItem *item = g_hash_table_lookup (job->items_by_id, result->item_id);

      if (item == NULL || item->state != GSPAN_ITEM_FINISHED)
        continue;
      gspan_job_set_state (job, item, GSPAN_ITEM_WAITING);
      item->last_event_id = 0;
      item->checkpointed_event_id = 0;
      g_queue_push_head (&job->waiting_items, item);
    }
  g_ptr_array_set_size (job->ready_results, 0);
}

char *
gspan_job_part_name (guint number)
{
  return g_strdup_printf (PART_PREFIX "%06u", number);
}

char *
gspan_job_segment_name (guint number)
{
  return g_strdup_printf (SEGMENT_PREFIX "%06u", number);
}

static bool
parse_name (const char *name, const char *prefix, guint *number)
{
  guint64 value;

  if (!g_str_has_prefix (name, prefix)
      || !gspan_str_to_u64 (gspan_str_from (name + strlen (prefix)), &value))
    return false;
  *number = (guint)value;
  return true;
}

bool
gspan_job_parse_part (const char *name, guint *number)
{
  return parse_name (name, PART_PREFIX, number);
}

bool
gspan_job_parse_segment (const char *name, guint *number)
{
  return parse_name (name, SEGMENT_PREFIX, number);
}

bool
gspan_job_id_is_valid (const char *id)
{
  size_t len = strlen (id);

  for (size_t i = 0; i < len; i++)
    {
      if (!g_ascii_isalnum (id[i]) && id[i] != '-' && id[i] != '_')
        return false;
    }
  return len > 0 && len <= ID_LEN_MAX;
}

#include "jobs/job.h"

#include <string.h>

#include "platform/wire.h"

#define PART_PREFIX "part-"
#define SEGMENT_PREFIX "result-" /* sorts after the parts */

enum
{
  ID_LEN_MAX = 64
};

static void
item_reader_free (gpointer data)
{
  struct GspanItemReader *reader = data;

  g_free (reader->item);
  g_free (reader);
}

struct GspanJob *
gspan_job_new (const char *id)
{
  struct GspanJob *job = g_new0 (struct GspanJob, 1);

  job->id = g_strdup (id);
  job->kind = g_strdup_printf ("job-%s", id);
  job->owner = g_strdup ("");
  job->part_texts = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  gspan_job_document_init (&job->document);
  gspan_groups_init (&job->groups);
  job->index = g_hash_table_new (g_str_hash, g_str_equal);
  job->listed = g_ptr_array_new_with_free_func (gspan_job_result_free);
  job->ready = g_ptr_array_new_with_free_func (gspan_job_result_free);
  job->prompts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->askers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->readers = g_ptr_array_new_with_free_func (g_free);
  job->item_readers = g_ptr_array_new_with_free_func (item_reader_free);
  g_queue_init (&job->waiting);
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
  g_hash_table_remove_all (job->index);
  g_queue_clear (&job->waiting);
}

void
gspan_job_unload (struct GspanJob *job)
{
  items_free (job);
  gspan_job_document_finish (&job->document);
  gspan_job_document_init (&job->document);
  g_ptr_array_set_size (job->part_texts, 0);
  g_ptr_array_set_size (job->listed, 0);
  g_ptr_array_set_size (job->ready, 0);
  g_hash_table_remove_all (job->prompts);
  g_clear_pointer (&job->page_after, g_free);
  job->segments = 0;
  job->read_all = false;
  job->loaded = false;
  job->append_call = 0;
  job->fetch_call = 0;
  job->keep_call = 0;
}

void
gspan_job_free (gpointer data)
{
  struct GspanJob *job = data;

  items_free (job);
  gspan_groups_finish (&job->groups);
  gspan_job_document_finish (&job->document);
  g_free (job->id);
  g_free (job->kind);
  g_free (job->host);
  g_free (job->path);
  g_free (job->owner);
  g_free (job->page_after);
  json_decref (job->checkpoint);
  g_ptr_array_unref (job->part_texts);
  g_hash_table_unref (job->index);
  g_hash_table_unref (job->prompts);
  g_ptr_array_unref (job->listed);
  g_ptr_array_unref (job->ready);
  g_hash_table_unref (job->askers);
  g_ptr_array_unref (job->readers);
  g_ptr_array_unref (job->item_readers);
  g_free (job);
}

bool
gspan_job_read_head (struct GspanJob *job, json_t *spec, json_t *status, struct GspanError *error)
{
  const char *host = NULL;
  const char *path = NULL;
  const char *owner = NULL;
  json_int_t parts;
  json_int_t total;
  json_int_t received;

  if (json_unpack (spec, "{s:s, s:s, s:s, s:I, s:I, s:I}", "host", &host, "path", &path, "owner",
                   &owner, "parts", &parts, "total", &total, "received_ms", &received)
      != 0)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "a job's head lacks a field");
  g_free (job->host);
  g_free (job->path);
  g_free (job->owner);
  job->host = g_strdup (host);
  job->path = g_strdup (path);
  job->owner = g_strdup (owner);
  job->parts = (guint)parts;
  job->total = (guint)total;
  job->received_ms = received;
  job->ended = job->ended || json_is_true (json_object_get (status, "ended"));
  return true;
}

json_t *
gspan_job_write_head (const struct GspanJob *job, const char *owner)
{
  return json_pack ("{s:s, s:s, s:s, s:I, s:I, s:I}", "host", job->host, "path", job->path, "owner",
                    owner, "parts", (json_int_t)job->parts, "total", (json_int_t)job->total,
                    "received_ms", (json_int_t)job->received_ms);
}

static bool
is_done (enum GspanItemState state)
{
  return state == GSPAN_ITEM_FINISHED || state == GSPAN_ITEM_LISTED;
}

void
gspan_job_set_state (struct GspanJob *job, struct GspanItem *item, enum GspanItemState state)
{
  guint index = (guint)(item - job->items);

  if (is_done (state) && !is_done (item->state))
    gspan_groups_done (&job->groups, index);
  else if (!is_done (state) && is_done (item->state))
    gspan_groups_undone (&job->groups, index);
  item->state = state;
}

/* Longest first: a long item that starts late makes the whole step late. */
static gint
by_length (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct GspanItem *x = a;
  const struct GspanItem *y = b;

  (void)user;
  if (x->source->length_hint != y->source->length_hint)
    return x->source->length_hint > y->source->length_hint ? -1 : 1;
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

      item->source = g_ptr_array_index (job->document.items, i);
      g_hash_table_insert (job->index, item->source->id, item);
      g_queue_push_tail (&job->waiting, item);
    }
  for (guint i = 0; i < job->listed->len; i++)
    {
      const struct GspanJobResult *result = g_ptr_array_index (job->listed, i);
      struct GspanItem *item = g_hash_table_lookup (job->index, result->item_id);

      if (item == NULL)
        continue;
      gspan_job_set_state (job, item, GSPAN_ITEM_LISTED);
      g_queue_remove (&job->waiting, item);
    }
  g_queue_sort (&job->waiting, by_length, NULL);
  job->loaded = true;
  return true;
}

/* Drops a result of ITEM that waits to be listed. */
static void
drop_ready (struct GspanJob *job, const char *item)
{
  for (guint i = 0; i < job->ready->len; i++)
    {
      const struct GspanJobResult *result = g_ptr_array_index (job->ready, i);

      if (strcmp (result->item_id, item) != 0)
        continue;
      g_ptr_array_remove_index (job->ready, i);
      return;
    }
}

void
gspan_job_list (struct GspanJob *job, struct GspanJobResult *result)
{
  struct GspanItem *item = g_hash_table_lookup (job->index, result->item_id);

  g_ptr_array_add (job->listed, result);
  if (item == NULL)
    return;
  if (item->state == GSPAN_ITEM_WAITING)
    g_queue_remove (&job->waiting, item);
  if (item->state == GSPAN_ITEM_FINISHED)
    drop_ready (job, result->item_id);
  gspan_job_set_state (job, item, GSPAN_ITEM_LISTED);
}

void
gspan_job_looked (struct GspanJob *job, guint64 now, gint64 wall_ms)
{
  job->looked_at = now;
  job->looked_wall_ms = wall_ms;
}

void
gspan_job_drop_ready (struct GspanJob *job)
{
  for (guint i = 0; i < job->ready->len; i++)
    {
      const struct GspanJobResult *result = g_ptr_array_index (job->ready, i);
      struct GspanItem *item = g_hash_table_lookup (job->index, result->item_id);

      if (item == NULL || item->state != GSPAN_ITEM_FINISHED)
        continue;
      gspan_job_set_state (job, item, GSPAN_ITEM_WAITING);
      item->last_event = 0;
      item->kept_event = 0;
      g_queue_push_head (&job->waiting, item);
    }
  g_ptr_array_set_size (job->ready, 0);
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
gspan_job_id_ok (const char *id)
{
  size_t len = strlen (id);

  for (size_t i = 0; i < len; i++)
    {
      if (!g_ascii_isalnum (id[i]) && id[i] != '-' && id[i] != '_')
        return false;
    }
  return len > 0 && len <= ID_LEN_MAX;
}

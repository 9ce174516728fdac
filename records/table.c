#include "records/table.h"

#include <string.h>
#include <xxhash.h>

static void
record_free (gpointer data)
{
  gspan_record_finish (data);
  g_free (data);
}

static void
state_free (gpointer data)
{
  struct GspanRecordState *state = data;

  g_free (state->name);
  g_free (state->findings);
  json_decref (state->value);
  g_free (state);
}

void
gspan_records_init (struct GspanRecords *records)
{
  memset (records, 0, sizeof *records);
  records->by_path = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, record_free);
  records->states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, state_free);
}

void
gspan_records_finish (struct GspanRecords *records)
{
  g_hash_table_unref (records->by_path);
  g_hash_table_unref (records->states);
}

static char *
make_path (enum GspanRecordKind kind, const char *name)
{
  return g_strdup_printf ("%s/%s", gspan_record_kind_name (kind), name);
}

static struct GspanRecordState *
state_at (struct GspanRecords *records, const char *path, enum GspanRecordKind kind,
          const char *name)
{
  struct GspanRecordState *state = g_hash_table_lookup (records->states, path);

  if (state != NULL)
    return state;
  state = g_new0 (struct GspanRecordState, 1);
  state->kind = kind;
  state->name = g_strdup (name);
  g_hash_table_insert (records->states, g_strdup (path), state);
  return state;
}

/* Notes a version above the highest seen so far. */
static void
note_seen (struct GspanRecords *records, struct GspanRecordState *state, const char *path,
           guint64 version, json_t *value)
{
  state->version = version;
  json_decref (state->value);
  state->value = json_incref (value);
  g_clear_pointer (&state->findings, g_free);
  records->digest ^= state->digest;
  state->digest = value != NULL ? XXH64 (path, strlen (path), version) : 0;
  records->digest ^= state->digest;
  records->seen_changes++;
}

static void
put_in_force (struct GspanRecords *records, struct GspanRecordState *state, const char *path,
              guint64 version, struct GspanRecord *record)
{
  state->in_force = version;
  records->changes++;
  if (record != NULL)
    g_hash_table_replace (records->by_path, g_strdup (path), record);
  else
    g_hash_table_remove (records->by_path, path);
}

static bool
put_at (struct GspanRecords *records, const char *path, enum GspanRecordKind kind, const char *name,
        guint64 version, json_t *value, struct GspanFindings *findings)
{
  const struct GspanRecordState *known = g_hash_table_lookup (records->states, path);
  guint64 floor = known != NULL ? known->in_force : records->complete;
  struct GspanRecord *record = NULL;
  struct GspanRecordState *state;
  guint before = gspan_findings_count (findings);

  if (version <= floor || (known != NULL && version == known->version))
    return false;
  state = state_at (records, path, kind, name);
  if (version > state->version)
    note_seen (records, state, path, version, value);
  if (value != NULL)
    {
      record = g_new0 (struct GspanRecord, 1);
      if (!gspan_record_init (record, kind, name, version, value, path, findings))
        g_clear_pointer (&record, g_free);
    }
  if (gspan_findings_count (findings) > before)
    {
      if (version == state->version)
        state->findings = gspan_findings_format (findings);
      return false;
    }
  put_in_force (records, state, path, version, record);
  return true;
}

bool
gspan_records_put (struct GspanRecords *records, enum GspanRecordKind kind, const char *name,
                   guint64 version, json_t *value, struct GspanFindings *findings)
{
  char *path = make_path (kind, name);
  bool changed = put_at (records, path, kind, name, version, value, findings);

  g_free (path);
  return changed;
}

void
gspan_records_set_complete (struct GspanRecords *records, guint64 revision)
{
  records->complete = MAX (records->complete, revision);
}

void
gspan_records_skip_to (struct GspanRecords *records, guint64 revision)
{
  if (revision <= records->complete)
    return;
  records->complete = revision;
  records->history_from = revision;
}

void
gspan_records_begin_list (struct GspanRecords *records, guint64 revision)
{
  if (revision >= records->complete)
    records->complete = 0;
}

static gint
compare_paths (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
gspan_records_finish_list (struct GspanRecords *records, guint64 revision, GHashTable *listed)
{
  GPtrArray *absent = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer path;
  gpointer value;

  g_hash_table_iter_init (&iter, records->states);
  while (g_hash_table_iter_next (&iter, &path, &value))
    {
      struct GspanRecordState *state = value;

      if (state->value == NULL || state->version >= revision
          || g_hash_table_contains (listed, path))
        continue;
      note_seen (records, state, path, revision, NULL);
      put_in_force (records, state, path, state->version, NULL);
      g_ptr_array_add (absent, g_strdup (path));
    }
  g_ptr_array_sort (absent, compare_paths);
  if (revision > records->complete)
    records->history_from = revision;
  gspan_records_set_complete (records, revision);
  return absent;
}

const struct GspanRecordState *
gspan_records_state (const struct GspanRecords *records, const char *path)
{
  return g_hash_table_lookup (records->states, path);
}

const struct GspanRecord *
gspan_records_find (const struct GspanRecords *records, enum GspanRecordKind kind, const char *name)
{
  char *path = make_path (kind, name);
  const struct GspanRecord *record = g_hash_table_lookup (records->by_path, path);

  g_free (path);
  return record;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  const struct GspanRecord *const *x = a;
  const struct GspanRecord *const *y = b;

  return strcmp ((*x)->name, (*y)->name);
}

GPtrArray *
gspan_records_list (const struct GspanRecords *records, enum GspanRecordKind kind)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, records->by_path);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((struct GspanRecord *)value)->kind == kind)
        g_ptr_array_add (list, value);
    }
  g_ptr_array_sort (list, compare_names);
  return list;
}

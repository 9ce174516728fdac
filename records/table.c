#include "records/table.h"

#include <string.h>

static void
record_free (gpointer data)
{
  gspan_record_finish (data);
  g_free (data);
}

void
gspan_records_init (struct GspanRecords *records)
{
  records->by_path = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, record_free);
  records->versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  records->changes = 0;
}

void
gspan_records_finish (struct GspanRecords *records)
{
  g_hash_table_unref (records->by_path);
  g_hash_table_unref (records->versions);
}

static char *
make_path (enum GspanRecordKind kind, const char *name)
{
  return g_strdup_printf ("%s/%s", gspan_record_kind_name (kind), name);
}

static bool
raise_version (struct GspanRecords *records, const char *path, guint64 version)
{
  guint64 *seen = g_hash_table_lookup (records->versions, path);

  if (seen != NULL && *seen >= version)
    return false;
  seen = g_new (guint64, 1);
  *seen = version;
  g_hash_table_replace (records->versions, g_strdup (path), seen);
  return true;
}

bool
gspan_records_put (struct GspanRecords *records, enum GspanRecordKind kind, const char *name,
                   guint64 version, json_t *value, struct GspanFindings *findings)
{
  char *path = make_path (kind, name);
  struct GspanRecord *record;

  if (!raise_version (records, path, version))
    {
      g_free (path);
      return false;
    }
  if (value == NULL)
    {
      g_hash_table_remove (records->by_path, path);
      g_free (path);
      records->changes++;
      return true;
    }
  record = g_new0 (struct GspanRecord, 1);
  if (!gspan_record_init (record, kind, name, version, value, path, findings))
    {
      g_free (record);
      g_free (path);
      return false;
    }
  g_hash_table_replace (records->by_path, path, record);
  records->changes++;
  return true;
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

#include "records/file.h"

#include <string.h>

#include "settings/toml.h"

static void
file_record_free (gpointer data)
{
  struct GspanFileRecord *record = data;

  g_free (record->name);
  json_decref (record->value);
  g_free (record);
}

static json_t *
to_json (const struct GspanTomlValue *value)
{
  switch (value->type)
    {
    case GSPAN_TOML_STRING:
      return json_string (value->text);
    case GSPAN_TOML_INTEGER:
      return json_integer (value->number);
    case GSPAN_TOML_BOOLEAN:
      return json_boolean (value->number != 0);
    case GSPAN_TOML_FLOAT:
    case GSPAN_TOML_OTHER:
    case GSPAN_TOML_EMPTY:
      return NULL;
    }
  return NULL;
}

static struct GspanFileRecord *
find_or_add (GPtrArray *list, enum GspanRecordKind kind, const char *name)
{
  struct GspanFileRecord *record;

  for (guint i = 0; i < list->len; i++)
    {
      record = g_ptr_array_index (list, i);
      if (record->kind == kind && strcmp (record->name, name) == 0)
        return record;
    }
  record = g_new0 (struct GspanFileRecord, 1);
  record->kind = kind;
  record->name = g_strdup (name);
  record->value = json_object ();
  g_ptr_array_add (list, record);
  return record;
}

static void
add_value (GPtrArray *list, const struct GspanTomlValue *value, const char *file,
           struct GspanFindings *findings)
{
  char **parts = g_strsplit (value->key, ".", 3);
  enum GspanRecordKind kind;
  json_t *json = to_json (value);

  if (g_strv_length (parts) != 3 || !gspan_record_kind_parse (gspan_str_from (parts[0]), &kind))
    gspan_findings_add (findings, file, value->line, value->column, value->key,
                        "outside of a table called [pool.NAME], [attachment.NAME], [route.NAME] or "
                        "[upstream.NAME]");
  else if (json == NULL)
    gspan_findings_add (findings, file, value->line, value->column, value->key,
                        "wrong type, is %s, allowed is a string, an integer, true or false",
                        value->type_name);
  else
    json_object_set (find_or_add (list, kind, parts[1])->value, parts[2], json);
  json_decref (json);
  g_strfreev (parts);
}

/* Gives the findings of one record the places of their fields in the file. */
static void
place_findings (const struct GspanFindings *found, const struct GspanFileRecord *record,
                const GPtrArray *values, const char *file, struct GspanFindings *findings)
{
  char *prefix = g_strdup_printf ("%s.%s.", gspan_record_kind_name (record->kind), record->name);

  for (guint i = 0; i < gspan_findings_count (found); i++)
    {
      const struct GspanFinding *finding = gspan_findings_get (found, i);
      char *key = g_strconcat (prefix, finding->key, NULL);
      guint line = 0;
      guint column = 0;

      for (guint k = 0; k < values->len; k++)
        {
          const struct GspanTomlValue *value = g_ptr_array_index (values, k);
          bool exact = strcmp (value->key, key) == 0;

          if (!exact && (line != 0 || !g_str_has_prefix (value->key, prefix)))
            continue;
          line = value->line;
          column = value->column;
          if (exact)
            break;
        }
      gspan_findings_add (findings, file, line, column, key, "%s", finding->text);
      g_free (key);
    }
  g_free (prefix);
}

static bool
check_record (const struct GspanFileRecord *item, const GPtrArray *values, const char *file,
              struct GspanFindings *findings)
{
  struct GspanFindings found;
  struct GspanRecord record;
  bool ok;

  gspan_findings_init (&found);
  ok = gspan_record_init (&record, item->kind, item->name, 0, item->value, file, &found);
  if (ok)
    gspan_record_finish (&record);
  else
    place_findings (&found, item, values, file, findings);
  gspan_findings_finish (&found);
  return ok;
}

GPtrArray *
gspan_records_read_file (const char *file, struct GspanFindings *findings)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (file_record_free);
  GPtrArray *values = gspan_toml_read (file, findings);

  for (guint i = 0; i < values->len; i++)
    add_value (list, g_ptr_array_index (values, i), file, findings);
  for (guint i = list->len; i > 0; i--)
    {
      if (!check_record (g_ptr_array_index (list, i - 1), values, file, findings))
        g_ptr_array_remove_index (list, i - 1);
    }
  gspan_findings_sort (findings);
  g_ptr_array_unref (values);
  return list;
}

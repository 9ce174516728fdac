#include "records/merge.h"

#include <string.h>

#include "records/convert.h"

/* The three values in the newest schema version. */
struct Merge
{
  enum GspanRecordKind kind;
  const char *file;
  struct GspanFindings *findings;
  json_t *base;
  json_t *stored;
  json_t *edit;
  const char *editor;
  int schema; /* of the edit, in which findings name their fields */
};

static bool
is_bookkeeping (const char *key)
{
  return strcmp (key, "schema") == 0 || strcmp (key, GSPAN_RECORD_WRITER) == 0
         || strcmp (key, GSPAN_RECORD_EDITED_BY) == 0;
}

/*
 * VALUE as a writer of SCHEMA sees it, in the newest version. A writer of an older version may have
 * dropped what it doesn't know, so exact values that travelled along are left out on both sides.
 */
static json_t *
view (const struct Merge *merge, json_t *value, int schema)
{
  json_t *seen;
  json_t *plain;
  json_t *raised;

  if (value == NULL)
    return json_object ();
  seen = gspan_record_convert (merge->kind, value, schema, merge->file, merge->findings);
  if (seen == NULL)
    return NULL;
  plain = json_copy (seen);
  json_object_del (plain, GSPAN_RECORD_NEWER);
  raised
      = gspan_record_convert (merge->kind, plain, GSPAN_SCHEMA_MAX, merge->file, merge->findings);
  json_decref (plain);
  json_decref (seen);
  return raised;
}

static bool
same (const json_t *a, const json_t *b)
{
  if (a == NULL || b == NULL)
    return a == b;
  return json_equal (a, b) != 0;
}

static char *
show (const json_t *value)
{
  char *dumped = value != NULL ? json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  char *text = g_strdup (dumped != NULL ? dumped : "nothing");

  free (dumped);
  return text;
}

static void
tell_conflict (const struct Merge *merge, const char *key, const json_t *wanted)
{
  const json_t *editors = json_object_get (merge->stored, GSPAN_RECORD_EDITED_BY);
  const char *who = json_string_value (json_object_get (editors, key));
  char *before = show (json_object_get (merge->base, key));
  char *now = show (json_object_get (merge->stored, key));
  char *ours = show (wanted);

  gspan_findings_add (merge->findings, merge->file, 0, 0,
                      gspan_record_field_name (merge->kind, key, merge->schema),
                      "%s changed %s from %s to %s meanwhile; this edit wants %s",
                      who != NULL ? who : "another writer", key, before, now, ours);
  g_free (ours);
  g_free (now);
  g_free (before);
}

/* Sets KEY of OUT to WANTED, NULL removing it, and notes who did. */
static void
change (const struct Merge *merge, json_t *out, const char *key, json_t *wanted)
{
  json_t *editors = json_object_get (out, GSPAN_RECORD_EDITED_BY);

  if (wanted != NULL)
    json_object_set (out, key, wanted);
  else
    json_object_del (out, key);
  json_object_set_new (editors, key, json_string (merge->editor));
}

static void
merge_field (const struct Merge *merge, json_t *out, const char *key, json_t *wanted)
{
  json_t *seen = json_object_get (merge->base, key);
  json_t *stored = json_object_get (merge->stored, key);

  if (json_is_null (wanted))
    wanted = NULL;
  if (same (seen, wanted) || same (stored, wanted))
    return;
  if (!same (seen, stored))
    tell_conflict (merge, key, wanted);
  else
    change (merge, out, key, wanted);
}

/* OUT starts as the exact stored record; MERGE compares what the edit's writer could see of it. */
static void
merge_fields (const struct Merge *merge, json_t *out)
{
  const char *key;
  json_t *value;

  json_object_foreach (merge->edit, key, value)
  {
    if (!is_bookkeeping (key))
      merge_field (merge, out, key, value);
  }
  json_object_foreach (merge->base, key, value)
  {
    if (json_object_get (merge->edit, key) == NULL && gspan_record_has_field (merge->kind, key))
      merge_field (merge, out, key, NULL);
  }
}

static json_t *
start_from (const struct Merge *merge, json_t *stored)
{
  json_t *exact = NULL;
  json_t *out;
  json_t *editors;

  if (stored != NULL)
    exact = gspan_record_convert (merge->kind, stored, GSPAN_SCHEMA_MAX, merge->file,
                                  merge->findings);
  out = exact != NULL ? json_copy (exact) : json_object ();
  editors = json_copy (json_object_get (out, GSPAN_RECORD_EDITED_BY));
  if (!json_is_object (editors))
    {
      json_decref (editors);
      editors = json_object ();
    }
  json_object_set_new (out, GSPAN_RECORD_EDITED_BY, editors);
  json_object_set_new (out, "schema", json_integer (GSPAN_SCHEMA_MAX));
  json_decref (exact);
  return out;
}

static bool
check_presence (const struct GspanRecordEdit *edit, const char *file,
                struct GspanFindings *findings)
{
  if (edit->base == NULL || edit->stored != NULL)
    return true;
  gspan_findings_add (findings, file, 0, 0, "record", "somebody else deleted it meanwhile");
  return false;
}

static json_t *
finish (const struct Merge *merge, const struct GspanRecordEdit *edit, json_t *out)
{
  int schema = MAX (gspan_record_schema (edit->stored), gspan_record_schema (edit->edit));
  json_t *merged;

  json_object_set_new (out, GSPAN_RECORD_WRITER, json_string (edit->writer));
  merged = gspan_record_convert (merge->kind, out, schema, merge->file, merge->findings);
  json_decref (out);
  return merged;
}

json_t *
gspan_record_merge (enum GspanRecordKind kind, const struct GspanRecordEdit *edit, const char *file,
                    struct GspanFindings *findings)
{
  struct Merge merge = { .kind = kind, .file = file, .findings = findings };
  guint before = gspan_findings_count (findings);
  json_t *merged = NULL;
  json_t *out;

  if (!check_presence (edit, file, findings))
    return NULL;
  merge.editor = edit->editor;
  merge.schema = gspan_record_schema (edit->edit);
  merge.edit = view (&merge, edit->edit, merge.schema);
  merge.base = view (&merge, edit->base, merge.schema);
  merge.stored = view (&merge, edit->stored, merge.schema);
  if (gspan_findings_count (findings) == before)
    {
      out = start_from (&merge, edit->stored);
      merge_fields (&merge, out);
      if (gspan_findings_count (findings) == before)
        merged = finish (&merge, edit, out);
      else
        json_decref (out);
    }
  json_decref (merge.stored);
  json_decref (merge.base);
  json_decref (merge.edit);
  return merged;
}

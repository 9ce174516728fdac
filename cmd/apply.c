#include <stdio.h>
#include <string.h>

#include "cmd/ctl.h"
#include "cmd/objects.h"
#include "records/convert.h"
#include "records/file.h"
#include "records/merge.h"

enum
{
  MERGES_MAX = 5
};

static void
print_findings (const struct GspanFindings *findings)
{
  char *text = gspan_findings_format (findings);

  fputs (text, stderr);
  g_free (text);
}

static GPtrArray *
read_file (const char *file, bool *ok)
{
  struct GspanFindings findings;
  GPtrArray *list;

  gspan_findings_init (&findings);
  list = gspan_records_read_file (file, &findings);
  print_findings (&findings);
  *ok = gspan_findings_count (&findings) == 0;
  gspan_findings_finish (&findings);
  return list;
}

int
gspan_ctl_check (const struct GspanCtl *ctl)
{
  bool ok;
  GPtrArray *list = read_file (ctl->words[0], &ok);

  if (ok)
    printf ("%u records are good\n", list->len);
  g_ptr_array_unref (list);
  return ok ? GSPAN_EXIT_OK : GSPAN_EXIT_USAGE;
}

/* STORED in the schema version of WANTED with WANTED's fields over it; the other fields stay. */
static json_t *
overlay (enum GspanRecordKind kind, json_t *stored, json_t *wanted, const char *path,
         struct GspanFindings *findings)
{
  json_t *seen;
  json_t *out;

  if (stored == NULL)
    return json_incref (wanted);
  seen = gspan_record_convert (kind, stored, gspan_record_schema (wanted), path, findings);
  if (seen == NULL)
    return NULL;
  out = json_copy (seen);
  json_object_update (out, wanted);
  json_decref (seen);
  return out;
}

/* Both without what every write changes. */
static bool
same_record (const json_t *a, const json_t *b)
{
  json_t *x = json_copy ((json_t *)a);
  json_t *y = json_copy ((json_t *)b);
  bool same;

  json_object_del (x, GSPAN_RECORD_WRITER);
  json_object_del (x, GSPAN_RECORD_EDITED_BY);
  json_object_del (y, GSPAN_RECORD_WRITER);
  json_object_del (y, GSPAN_RECORD_EDITED_BY);
  same = json_equal (x, y) == 1;
  json_decref (x);
  json_decref (y);
  return same;
}

/*
 * What to write over STORED so that WANTED, made over BASE, is in force. NULL with ERROR INPUT
 * where the values are malformed, and CONFLICT where somebody changed one of the fields since BASE.
 */
static json_t *
merge (const struct GspanCtl *ctl, const char *path, enum GspanRecordKind kind,
       const struct GspanObject *base, const struct GspanObject *stored, json_t *wanted,
       struct GspanError *error)
{
  char *writer = g_strdup_printf ("gspanctl-%08x%08x", g_random_int (), g_random_int ());
  struct GspanRecordEdit edit = { .base = base->value,
                                  .stored = stored->value,
                                  .edit = wanted,
                                  .editor = ctl->editor,
                                  .writer = writer };
  struct GspanFindings findings;
  json_t *merged;

  gspan_findings_init (&findings);
  merged = gspan_record_merge (kind, &edit, path, &findings);
  print_findings (&findings);
  if (merged == NULL && stored->version != base->version)
    gspan_error_set (error, GSPAN_ERROR_CONFLICT,
                     "not written: changed by somebody else meanwhile");
  else if (merged == NULL)
    gspan_error_set (error, GSPAN_ERROR_INPUT, "not written: it would be no good record");
  gspan_findings_finish (&findings);
  g_free (writer);
  return merged;
}

static bool
check_value (const char *path, enum GspanRecordKind kind, const char *name, json_t *value)
{
  struct GspanFindings findings;
  struct GspanRecord record;
  bool ok;

  gspan_findings_init (&findings);
  ok = gspan_record_init (&record, kind, name, 0, value, path, &findings);
  if (ok)
    gspan_record_finish (&record);
  print_findings (&findings);
  gspan_findings_finish (&findings);
  return ok;
}

static bool
is_bookkeeping (const char *key)
{
  return strcmp (key, GSPAN_RECORD_WRITER) == 0 || strcmp (key, GSPAN_RECORD_EDITED_BY) == 0;
}

static void
print_change (const char *key, const json_t *before, const json_t *after)
{
  char *from = before != NULL ? json_dumps (before, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  char *to = after != NULL ? json_dumps (after, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;

  printf ("  %s: %s -> %s\n", key, from != NULL ? from : "unset", to != NULL ? to : "unset");
  free (from);
  free (to);
}

static void
print_changes (json_t *before, json_t *after)
{
  const char *key;
  json_t *value;

  if (before == NULL || after == NULL)
    return;
  json_object_foreach (after, key, value)
  {
    json_t *old = json_object_get (before, key);

    if (!is_bookkeeping (key) && (old == NULL || !json_equal (old, value)))
      print_change (key, old, value);
  }
  json_object_foreach (before, key, value)
  {
    if (!is_bookkeeping (key) && json_object_get (after, key) == NULL)
      print_change (key, value, NULL);
  }
}

static void
print_conflict (const struct GspanObject *base, const struct GspanObject *now, const json_t *wanted)
{
  char *read = g_strdup_printf ("  read:   version %" G_GUINT64_FORMAT, base->version);
  char *stored = g_strdup_printf ("  stored: version %" G_GUINT64_FORMAT, now->version);

  gspan_ctl_print_value (read, base->value);
  if (now->known)
    gspan_ctl_print_value (stored, now->value);
  else
    fprintf (stderr, "  stored: can't be read\n");
  gspan_ctl_print_value ("  wanted:", wanted);
  g_free (read);
  g_free (stored);
}

static void
print_written (const char *path, const struct GspanObject *before, const struct GspanObject *after,
               json_t *value)
{
  const char *note = after->read_back ? " (the answer was lost; read back and in force)" : "";

  if (value == NULL)
    printf ("%s deleted, was version %" G_GUINT64_FORMAT "%s\n", path, before->version, note);
  else
    printf ("%s version %" G_GUINT64_FORMAT "%s\n", path, after->version, note);
  print_changes (before->value, value);
}

/* One conditional write of WANTED over CURRENT. CONFLICT leaves what is there in STORED. */
static bool
write_merged (const struct GspanCtl *ctl, const char *path, enum GspanRecordKind kind,
              const struct GspanObject *base, const struct GspanObject *current, json_t *wanted,
              struct GspanObject *stored, struct GspanError *error)
{
  json_t *merged = merge (ctl, path, kind, base, current, wanted, error);
  bool same = current->value != NULL && merged != NULL && same_record (current->value, merged);
  bool ok = merged != NULL;

  if (ok && !check_value (path, kind, strchr (path, '/') + 1, merged))
    ok = gspan_error_set (error, GSPAN_ERROR_INPUT, "not written: it would be no good record");
  else if (ok && same)
    printf ("%s version %" G_GUINT64_FORMAT " unchanged\n", path, current->version);
  else if (ok)
    ok = gspan_object_write (ctl->platform, path, current->version, merged, stored, error);
  if (ok && !same)
    print_written (path, current, stored, merged);
  json_decref (merged);
  return ok;
}

/*
 * Writes WANTED, made over BASE. An edit that somebody makes meanwhile is merged in; one of a field
 * that WANTED changes too, and to another value, is a conflict and is shown.
 */
static bool
write_over (const struct GspanCtl *ctl, const char *path, enum GspanRecordKind kind,
            const struct GspanObject *base, json_t *wanted, struct GspanError *error)
{
  struct GspanObject current = { .version = base->version, .value = json_incref (base->value) };
  struct GspanObject stored = { 0 };
  bool ok = false;

  for (guint i = 0; i < MERGES_MAX; i++)
    {
      *error = (struct GspanError){ 0 };
      ok = write_merged (ctl, path, kind, base, &current, wanted, &stored, error);
      if (ok || error->code != GSPAN_ERROR_CONFLICT || !stored.known)
        break;
      gspan_object_finish (&current);
      current = stored;
      stored = (struct GspanObject){ 0 };
    }
  if (!ok && (error->code == GSPAN_ERROR_CONFLICT || error->code == GSPAN_ERROR_UNKNOWN))
    print_conflict (base, error->code == GSPAN_ERROR_CONFLICT ? &current : &stored, wanted);
  gspan_object_finish (&current);
  gspan_object_finish (&stored);
  return ok;
}

static bool
apply_record (const struct GspanCtl *ctl, const char *path, const struct GspanFileRecord *record,
              struct GspanError *error)
{
  struct GspanObject base = { 0 };
  struct GspanFindings findings;
  json_t *wanted = NULL;
  bool ok = gspan_object_read (ctl->platform, path, &base, error);

  gspan_findings_init (&findings);
  if (ok)
    wanted = overlay (record->kind, base.value, record->value, path, &findings);
  print_findings (&findings);
  if (ok && wanted == NULL)
    ok = gspan_error_set (error, GSPAN_ERROR_INPUT,
                          "not written: what is stored is no good record");
  else if (ok)
    ok = write_over (ctl, path, record->kind, &base, wanted, error);
  json_decref (wanted);
  gspan_findings_finish (&findings);
  gspan_object_finish (&base);
  return ok;
}

int
gspan_ctl_apply (const struct GspanCtl *ctl)
{
  bool ok;
  GPtrArray *list = read_file (ctl->words[0], &ok);
  int code = ok ? GSPAN_EXIT_OK : GSPAN_EXIT_USAGE;
  guint written = 0;

  for (guint i = 0; ok && i < list->len; i++)
    {
      const struct GspanFileRecord *record = g_ptr_array_index (list, i);
      char *path = g_strdup_printf ("%s/%s", gspan_record_kind_name (record->kind), record->name);
      struct GspanError error = { 0 };

      if (apply_record (ctl, path, record, &error))
        written++;
      else
        {
          int failure = gspan_ctl_fail (path, &error);

          code = MAX (code, failure);
        }
      g_free (path);
    }
  if (ok && written < list->len)
    fprintf (stderr, "gspanctl: %u of %u records are in force as in the file\n", written,
             list->len);
  g_ptr_array_unref (list);
  return code;
}

/* VALUE as JSON where it is a number, a string in quotes, true or false; else as a string. */
static json_t *
parse_value (const char *text)
{
  json_t *value = json_loads (text, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);

  if (json_is_string (value) || json_is_integer (value) || json_is_boolean (value))
    return value;
  json_decref (value);
  return json_string (text);
}

/* Puts one FIELD=VALUE word into RECORD; an empty value takes the field out. */
static bool
set_field (json_t *record, enum GspanRecordKind kind, const char *word)
{
  char **parts = g_strsplit (word, "=", 2);
  bool ok = false;

  if (g_strv_length (parts) != 2)
    gspan_ctl_usage ("\"%s\" is no FIELD=VALUE", word);
  else if (!gspan_record_has_field (kind, parts[0]))
    gspan_ctl_usage ("%s records have no field \"%s\"", gspan_record_kind_name (kind), parts[0]);
  else
    {
      ok = true;
      if (parts[1][0] == '\0')
        json_object_del (record, parts[0]);
      else
        ok = json_object_set_new (record, parts[0], parse_value (parts[1])) == 0;
    }
  if (!ok && g_strv_length (parts) == 2 && gspan_record_has_field (kind, parts[0]))
    gspan_ctl_usage ("\"%s\" is no UTF-8 text", word);
  g_strfreev (parts);
  return ok;
}

static bool
kind_of_words (const struct GspanCtl *ctl, enum GspanRecordKind *kind)
{
  if (gspan_record_kind_parse (gspan_str_from (ctl->words[0]), kind))
    return true;
  gspan_ctl_usage ("\"%s\" is no kind of record; there are pool, attachment, route and upstream",
                   ctl->words[0]);
  return false;
}

/* Reads the object for a conditional change; it has to exist at the version that is wanted. */
static int
read_for_change (const struct GspanCtl *ctl, const char *path, struct GspanObject *base)
{
  struct GspanError error = { 0 };

  if (!gspan_object_read (ctl->platform, path, base, &error))
    return gspan_ctl_fail (path, &error);
  if (base->value == NULL)
    gspan_error_set (&error, GSPAN_ERROR_SYSTEM, "there is no such object");
  else if (ctl->expect != GSPAN_ANY_VERSION && (guint64)ctl->expect != base->version)
    {
      gspan_error_set (&error, GSPAN_ERROR_CONFLICT,
                       "not written: version %" G_GINT64_FORMAT
                       " was expected, version %" G_GUINT64_FORMAT " is stored",
                       ctl->expect, base->version);
      gspan_ctl_print_value ("  stored:", base->value);
    }
  else
    return GSPAN_EXIT_OK;
  return gspan_ctl_fail (path, &error);
}

static int
delete_object (const struct GspanCtl *ctl, const char *path, const struct GspanObject *base)
{
  struct GspanObject stored = { 0 };
  struct GspanError error = { 0 };
  int code = GSPAN_EXIT_OK;

  if (gspan_object_write (ctl->platform, path, base->version, NULL, &stored, &error))
    print_written (path, base, &stored, NULL);
  else
    {
      code = gspan_ctl_fail (path, &error);
      if (code == GSPAN_EXIT_CONFLICT || code == GSPAN_EXIT_UNKNOWN)
        print_conflict (base, &stored, NULL);
    }
  gspan_object_finish (&stored);
  return code;
}

/* BASE with the fields of the words set, in BASE's schema version; NULL where a word is wrong. */
static json_t *
set_fields (const struct GspanCtl *ctl, enum GspanRecordKind kind, const char *path,
            const struct GspanObject *base)
{
  struct GspanFindings findings;
  json_t *newest;
  json_t *edited;
  json_t *out = NULL;
  bool ok = true;

  gspan_findings_init (&findings);
  newest = gspan_record_convert (kind, base->value, GSPAN_SCHEMA_MAX, path, &findings);
  edited = newest != NULL ? json_copy (newest) : NULL;
  for (guint i = 2; edited != NULL && ok && i < ctl->word_count; i++)
    ok = set_field (edited, kind, ctl->words[i]);
  if (edited != NULL && ok && check_value (path, kind, ctl->words[1], edited))
    out = gspan_record_convert (kind, edited, gspan_record_schema (base->value), path, &findings);
  print_findings (&findings);
  gspan_findings_finish (&findings);
  json_decref (newest);
  json_decref (edited);
  return out;
}

/* One conditional write, no second merge: the operator saw the version that is changed. */
static int
edit_object (const struct GspanCtl *ctl, enum GspanRecordKind kind, const char *path)
{
  struct GspanObject base = { 0 };
  struct GspanObject stored = { 0 };
  struct GspanError error = { 0 };
  json_t *wanted = NULL;
  int code = read_for_change (ctl, path, &base);

  if (code == GSPAN_EXIT_OK)
    {
      wanted = set_fields (ctl, kind, path, &base);
      if (wanted == NULL)
        code = GSPAN_EXIT_USAGE;
      else if (!write_merged (ctl, path, kind, &base, &base, wanted, &stored, &error))
        code = gspan_ctl_fail (path, &error);
      if (code == GSPAN_EXIT_CONFLICT || code == GSPAN_EXIT_UNKNOWN)
        print_conflict (&base, &stored, wanted);
    }
  json_decref (wanted);
  gspan_object_finish (&stored);
  gspan_object_finish (&base);
  return code;
}

int
gspan_ctl_edit (const struct GspanCtl *ctl)
{
  enum GspanRecordKind kind;
  char *path;
  int code;

  if (!kind_of_words (ctl, &kind))
    return GSPAN_EXIT_USAGE;
  path = gspan_ctl_path (ctl);
  if (path == NULL)
    return GSPAN_EXIT_USAGE;
  code = edit_object (ctl, kind, path);
  g_free (path);
  return code;
}

int
gspan_ctl_delete (const struct GspanCtl *ctl)
{
  struct GspanObject base = { 0 };
  enum GspanRecordKind kind;
  char *path;
  int code;

  if (!kind_of_words (ctl, &kind))
    return GSPAN_EXIT_USAGE;
  path = gspan_ctl_path (ctl);
  if (path == NULL)
    return GSPAN_EXIT_USAGE;
  code = read_for_change (ctl, path, &base);
  if (code == GSPAN_EXIT_OK)
    code = delete_object (ctl, path, &base);
  gspan_object_finish (&base);
  g_free (path);
  return code;
}

int
gspan_ctl_get (const struct GspanCtl *ctl)
{
  char *path = gspan_ctl_path (ctl);
  struct GspanObject object = { 0 };
  struct GspanError error = { 0 };
  int code = GSPAN_EXIT_OK;
  char *text;

  if (path == NULL)
    return GSPAN_EXIT_USAGE;
  if (!gspan_object_read (ctl->platform, path, &object, &error))
    code = gspan_ctl_fail (path, &error);
  else if (object.value == NULL)
    {
      gspan_error_set (&error, GSPAN_ERROR_SYSTEM, "there is no such object");
      code = gspan_ctl_fail (path, &error);
    }
  else
    {
      text = json_dumps (object.value, JSON_SORT_KEYS | JSON_INDENT (2) | JSON_ENCODE_ANY);
      printf ("%s version %" G_GUINT64_FORMAT "\n%s\n", path, object.version, text);
      free (text);
    }
  gspan_object_finish (&object);
  g_free (path);
  return code;
}

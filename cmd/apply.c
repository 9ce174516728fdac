#include <stdio.h>
#include <string.h>

#include "cmd/ctl.h"
#include "cmd/objects.h"
#include "records/file.h"

enum
{
  MERGES_MAX = 5
};

static GPtrArray *
read_file (const char *file, bool *ok)
{
  struct GspanFindings findings;
  GPtrArray *list;
  char *text;

  gspan_findings_init (&findings);
  list = gspan_records_read_file (file, &findings);
  text = gspan_findings_format (&findings);
  fputs (text, stderr);
  g_free (text);
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

/* STORED with the fields of WANTED put over it; fields that WANTED does not name stay. */
static json_t *
merge (const json_t *stored, json_t *wanted)
{
  json_t *merged = stored != NULL ? json_deep_copy (stored) : json_object ();

  json_object_update (merged, wanted);
  return merged;
}

/* True where a field of WANTED was changed since BASE to something else than WANTED has. */
static bool
is_raced (const json_t *base, const json_t *now, json_t *wanted)
{
  const char *key;
  json_t *value;

  if (base != NULL && now == NULL)
    return true;
  json_object_foreach (wanted, key, value)
  {
    json_t *before = json_object_get (base, key);
    json_t *after = json_object_get (now, key);
    bool changed
        = before != after && (before == NULL || after == NULL || !json_equal (before, after));

    if (changed && (after == NULL || !json_equal (after, value)))
      return true;
  }
  return false;
}

static bool
check_value (const char *path, enum GspanRecordKind kind, const char *name, json_t *value)
{
  struct GspanFindings findings;
  struct GspanRecord record;
  char *text;
  bool ok;

  gspan_findings_init (&findings);
  ok = gspan_record_init (&record, kind, name, 0, value, path, &findings);
  if (ok)
    gspan_record_finish (&record);
  text = gspan_findings_format (&findings);
  fputs (text, stderr);
  g_free (text);
  gspan_findings_finish (&findings);
  return ok;
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

    if (old == NULL || !json_equal (old, value))
      print_change (key, old, value);
  }
  json_object_foreach (before, key, value)
  {
    if (json_object_get (after, key) == NULL)
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
write_merged (const struct GspanCtl *ctl, const char *path, const struct GspanFileRecord *record,
              const struct GspanObject *current, struct GspanObject *stored,
              struct GspanError *error)
{
  json_t *merged = merge (current->value, record->value);
  bool same = current->value != NULL && json_equal (current->value, merged);
  bool ok = true;

  if (!check_value (path, record->kind, record->name, merged))
    ok = gspan_error_set (error, GSPAN_ERROR_INPUT,
                          "not written: what is stored and the file "
                          "together make no good record");
  else if (same)
    printf ("%s version %" G_GUINT64_FORMAT " unchanged\n", path, current->version);
  else
    ok = gspan_object_write (ctl->platform, path, current->version, merged, stored, error);
  if (ok && !same)
    print_written (path, current, stored, merged);
  json_decref (merged);
  return ok;
}

/*
 * Puts RECORD in force over what is stored. An edit that somebody makes meanwhile is merged in; one
 * of a field that the file has too, and to another value, is a conflict.
 */
static bool
apply_record (const struct GspanCtl *ctl, const char *path, const struct GspanFileRecord *record,
              struct GspanError *error)
{
  struct GspanObject base = { 0 };
  struct GspanObject current = { 0 };
  struct GspanObject stored = { 0 };
  bool ok = gspan_object_read (ctl->platform, path, &base, error);
  bool again = ok;

  if (ok)
    current = (struct GspanObject){ .version = base.version, .value = json_incref (base.value) };
  for (guint i = 0; again; i++)
    {
      *error = (struct GspanError){ 0 };
      ok = write_merged (ctl, path, record, &current, &stored, error);
      again = !ok && error->code == GSPAN_ERROR_CONFLICT && stored.version != 0 && i < MERGES_MAX
              && !is_raced (base.value, stored.value, record->value);
      if (!ok && !again && error->code != GSPAN_ERROR_INPUT)
        print_conflict (&base, &stored, record->value);
      gspan_object_finish (&current);
      current
          = (struct GspanObject){ .version = stored.version, .value = json_incref (stored.value) };
    }
  gspan_object_finish (&base);
  gspan_object_finish (&current);
  gspan_object_finish (&stored);
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
write_change (const struct GspanCtl *ctl, const char *path, const struct GspanObject *base,
              json_t *value)
{
  struct GspanObject stored = { 0 };
  struct GspanError error = { 0 };
  int code = GSPAN_EXIT_OK;

  if (gspan_object_write (ctl->platform, path, base->version, value, &stored, &error))
    print_written (path, base, &stored, value);
  else
    {
      code = gspan_ctl_fail (path, &error);
      if (code == GSPAN_EXIT_CONFLICT || code == GSPAN_EXIT_UNKNOWN)
        print_conflict (base, &stored, value);
    }
  gspan_object_finish (&stored);
  return code;
}

static int
edit_object (const struct GspanCtl *ctl, enum GspanRecordKind kind, const char *path)
{
  struct GspanObject base = { 0 };
  json_t *value = NULL;
  int code = read_for_change (ctl, path, &base);

  if (code == GSPAN_EXIT_OK)
    {
      value = json_deep_copy (base.value);
      for (guint i = 2; code == GSPAN_EXIT_OK && i < ctl->word_count; i++)
        code = set_field (value, kind, ctl->words[i]) ? GSPAN_EXIT_OK : GSPAN_EXIT_USAGE;
      if (code == GSPAN_EXIT_OK && !check_value (path, kind, ctl->words[1], value))
        code = GSPAN_EXIT_USAGE;
    }
  if (code == GSPAN_EXIT_OK && json_equal (base.value, value))
    printf ("%s version %" G_GUINT64_FORMAT " unchanged\n", path, base.version);
  else if (code == GSPAN_EXIT_OK)
    code = write_change (ctl, path, &base, value);
  json_decref (value);
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
    code = write_change (ctl, path, &base, NULL);
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

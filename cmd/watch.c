#include <stdio.h>
#include <string.h>

#include "cmd/ctl.h"
#include "cmd/objects.h"

enum
{
  WAIT_MS = 20000,
  RETRY_PAUSE_MS = 500
};

/* What a watch has shown so far. */
struct Watch
{
  const struct GspanCtl *ctl;
  const char *kinds;
  GHashTable *versions; /* path to the version shown, for the objects that are there */
  guint64 revision;
  gint64 shown;
  bool listed;
};

static bool
is_over (const struct Watch *watch)
{
  return watch->ctl->count > 0 && watch->shown >= watch->ctl->count;
}

static void
show (struct Watch *watch, const char *path, guint64 version, const json_t *value)
{
  char *text
      = value != NULL ? json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY) : NULL;

  printf ("%" G_GUINT64_FORMAT " %s %s\n", version, path, text != NULL ? text : "deleted");
  fflush (stdout);
  watch->shown++;
  free (text);
}

/* Shows one object where it is newer than what was shown. */
static void
take_object (struct Watch *watch, json_t *object)
{
  const char *kind = json_string_value (json_object_get (object, "kind"));
  const char *name = json_string_value (json_object_get (object, "name"));
  guint64 version = (guint64)json_integer_value (json_object_get (object, "version"));
  json_t *value = json_object_get (object, "value");
  char *path;
  guint64 *seen;

  if (kind == NULL || name == NULL)
    return;
  path = g_strdup_printf ("%s/%s", kind, name);
  seen = g_hash_table_lookup (watch->versions, path);
  if (seen != NULL && *seen >= version)
    {
      g_free (path);
      return;
    }
  show (watch, path, version, json_is_null (value) ? NULL : value);
  seen = g_new (guint64, 1);
  *seen = version;
  g_hash_table_replace (watch->versions, path, seen);
}

static bool
is_listed (json_t *objects, const char *path)
{
  json_t *object;
  size_t index;

  json_array_foreach (objects, index, object)
  {
    const char *kind = json_string_value (json_object_get (object, "kind"));
    const char *name = json_string_value (json_object_get (object, "name"));
    size_t len = kind != NULL ? strlen (kind) : 0;

    if (kind != NULL && name != NULL && g_str_has_prefix (path, kind) && path[len] == '/'
        && strcmp (path + len + 1, name) == 0)
      return true;
  }
  return false;
}

/* A list after a gap leaves out what was deleted meanwhile. */
static void
show_missing (struct Watch *watch, json_t *objects)
{
  GHashTableIter iter;
  gpointer path;

  g_hash_table_iter_init (&iter, watch->versions);
  while (g_hash_table_iter_next (&iter, &path, NULL))
    {
      if (is_listed (objects, path))
        continue;
      show (watch, path, watch->revision, NULL);
      g_hash_table_iter_remove (&iter);
    }
}

static void
take_objects (struct Watch *watch, json_t *objects)
{
  json_t *object;
  size_t index;

  if (!watch->listed)
    show_missing (watch, objects);
  json_array_foreach (objects, index, object)
  {
    if (!is_over (watch))
      take_object (watch, object);
  }
  watch->listed = true;
}

static void
step (struct Watch *watch)
{
  const char *platform = watch->ctl->platform;
  struct GspanError error = { 0 };
  json_t *objects
      = watch->listed
            ? gspan_object_watch (platform, watch->kinds, &watch->revision, WAIT_MS, &error)
            : gspan_object_list (platform, watch->kinds, &watch->revision, &error);

  if (objects != NULL)
    take_objects (watch, objects);
  else if (error.code == GSPAN_ERROR_CONFLICT)
    watch->listed = false;
  else
    {
      fprintf (stderr, "gspanctl: watch goes on after: %s\n", error.message);
      g_usleep ((gulong)RETRY_PAUSE_MS * 1000);
    }
  json_decref (objects);
}

static bool
kinds_ok (const char *kinds)
{
  for (const char *c = kinds; *c != '\0'; c++)
    {
      if (!g_ascii_isalnum (*c) && *c != ',' && *c != '-')
        return false;
    }
  return kinds[0] != '\0';
}

int
gspan_ctl_watch (const struct GspanCtl *ctl)
{
  struct Watch watch = { 0 };

  watch.ctl = ctl;
  watch.kinds = ctl->word_count > 0 ? ctl->words[0] : "pool,attachment,route,upstream";
  if (!kinds_ok (watch.kinds))
    return gspan_ctl_usage ("\"%s\" is no list of kinds, such as pool,route", watch.kinds);
  watch.versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  while (!is_over (&watch))
    step (&watch);
  g_hash_table_unref (watch.versions);
  return GSPAN_EXIT_OK;
}

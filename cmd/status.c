#include <stdio.h>
#include <string.h>

#include "cmd/ctl.h"
#include "cmd/objects.h"

enum
{
  LINE_MAX_COLUMNS = 80,
  KIND_COLUMNS = 10,
  NAME_COLUMNS = 20,
  OWNER_COLUMNS = 16,
  DETAIL_COLUMN = KIND_COLUMNS + NAME_COLUMNS + OWNER_COLUMNS + 3
};

/* TEXT cut or filled to COLUMNS characters; what was cut off shows as "~". */
static void
append_cell (GString *line, const char *text, glong columns)
{
  glong len = g_utf8_strlen (text, -1);
  char *cut = len > columns ? g_utf8_substring (text, 0, columns - 1) : g_strdup (text);

  g_string_append (line, cut);
  if (len > columns)
    g_string_append_c (line, '~');
  for (; len < columns; len++)
    g_string_append_c (line, ' ');
  g_free (cut);
}

static void
print_line (GString *line)
{
  while (line->len > 0 && line->str[line->len - 1] == ' ')
    g_string_truncate (line, line->len - 1);
  printf ("%s\n", line->str);
  g_string_truncate (line, 0);
}

/* Appends one "KEY=VALUE", on a new line where this one has no room left. */
static void
append_detail (GString *line, const char *detail)
{
  glong room = LINE_MAX_COLUMNS - g_utf8_strlen (line->str, -1);
  glong len = g_utf8_strlen (detail, -1);

  if (len > room && g_utf8_strlen (line->str, -1) > DETAIL_COLUMN)
    {
      print_line (line);
      append_cell (line, "", DETAIL_COLUMN);
      room = LINE_MAX_COLUMNS - DETAIL_COLUMN;
    }
  if (len > room)
    append_cell (line, detail, room);
  else
    g_string_append (line, detail);
  if (len < room)
    g_string_append_c (line, ' ');
}

static char *
describe_value (const char *key, json_t *value)
{
  char *text;
  char *detail;

  if (json_is_array (value))
    return g_strdup_printf ("%s=%zu", key, json_array_size (value));
  if (json_is_string (value))
    return g_strdup_printf ("%s=%s", key, json_string_value (value));
  text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  detail = g_strdup_printf ("%s=%s", key, text);
  free (text);
  return detail;
}

static const char *
text_of (json_t *value, const char *key)
{
  const char *text = json_string_value (json_object_get (value, key));

  return text != NULL ? text : "-";
}

static void
print_status (json_t *object)
{
  json_t *value = json_object_get (object, "value");
  GString *line = g_string_new (NULL);
  const char *key;
  json_t *item;

  append_cell (line, text_of (value, "kind"), KIND_COLUMNS);
  g_string_append_c (line, ' ');
  append_cell (line, text_of (object, "name"), NAME_COLUMNS);
  g_string_append_c (line, ' ');
  append_cell (line, text_of (value, "owner"), OWNER_COLUMNS);
  g_string_append_c (line, ' ');
  json_object_foreach (value, key, item)
  {
    char *detail;

    if (strcmp (key, "kind") == 0 || strcmp (key, "owner") == 0)
      continue;
    detail = describe_value (key, item);
    append_detail (line, detail);
    g_free (detail);
  }
  print_line (line);
  g_string_free (line, TRUE);
}

static int
compare_objects (const void *a, const void *b)
{
  json_t *const *x = a;
  json_t *const *y = b;
  int order = strcmp (text_of (json_object_get (*x, "value"), "kind"),
                      text_of (json_object_get (*y, "value"), "kind"));

  return order != 0 ? order : strcmp (text_of (*x, "name"), text_of (*y, "name"));
}

static void
print_table (json_t *objects)
{
  GPtrArray *list = g_ptr_array_new ();
  GString *head = g_string_new (NULL);
  json_t *object;
  size_t index;

  json_array_foreach (objects, index, object)
  {
    g_ptr_array_add (list, object);
  }
  g_ptr_array_sort (list, compare_objects);
  append_cell (head, "KIND", KIND_COLUMNS + 1);
  append_cell (head, "NAME", NAME_COLUMNS + 1);
  append_cell (head, "OWNER", OWNER_COLUMNS + 1);
  g_string_append (head, "STATE");
  print_line (head);
  for (guint i = 0; i < list->len; i++)
    print_status (g_ptr_array_index (list, i));
  g_string_free (head, TRUE);
  g_ptr_array_unref (list);
}

int
gspan_ctl_status (const struct GspanCtl *ctl)
{
  struct GspanError error = { 0 };
  guint64 revision = 0;
  json_t *objects = gspan_object_list (ctl->platform, "status", &revision, &error);
  char *text;

  if (objects == NULL)
    return gspan_ctl_fail ("status", &error);
  if (ctl->json)
    {
      text = json_dumps (objects, JSON_SORT_KEYS | JSON_INDENT (2));
      printf ("%s\n", text);
      free (text);
    }
  else
    print_table (objects);
  json_decref (objects);
  return GSPAN_EXIT_OK;
}

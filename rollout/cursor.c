#include "rollout/cursor.h"

#include <string.h>

enum
{
  FIELDS = 4
};

void
gspan_cursor_init (struct GspanCursor *cursor)
{
  cursor->batch = 0;
  cursor->next_group = 0;
  cursor->deferred = g_array_new (FALSE, FALSE, sizeof (guint64));
}

void
gspan_cursor_finish (struct GspanCursor *cursor)
{
  g_array_unref (cursor->deferred);
}

void
gspan_cursor_copy (const struct GspanCursor *from, struct GspanCursor *to)
{
  to->batch = from->batch;
  to->next_group = from->next_group;
  g_array_set_size (to->deferred, 0);
  g_array_append_vals (to->deferred, from->deferred->data, from->deferred->len);
}

static bool
parse_deferred (struct GspanCursor *cursor, const char *text, struct GspanError *error)
{
  char **parts = g_strsplit (text, ",", -1);
  bool ok = true;

  for (guint i = 0; ok && parts[i] != NULL; i++)
    {
      guint64 group = 0;
      guint len = cursor->deferred->len;

      ok = gspan_str_to_u64 (gspan_str_from (parts[i]), &group) && group < cursor->next_group
           && len < GSPAN_CURSOR_DEFERRED_MAX
           && (len == 0 || g_array_index (cursor->deferred, guint64, len - 1) < group);
      g_array_append_val (cursor->deferred, group);
    }
  g_strfreev (parts);
  return ok || gspan_error_set (error, GSPAN_ERROR_INPUT, "malformed list of deferred groups");
}

static bool
parse_fields (struct GspanCursor *cursor, const char *attachment, char **fields,
              struct GspanError *error)
{
  if (g_strv_length (fields) != FIELDS)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "not four fields");
  if (strcmp (fields[0], attachment) != 0)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "of another attachment");
  if (!gspan_str_to_u64 (gspan_str_from (fields[1]), &cursor->batch)
      || !gspan_str_to_u64 (gspan_str_from (fields[2]), &cursor->next_group))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "malformed number");
  return parse_deferred (cursor, fields[3], error);
}

bool
gspan_cursor_parse (struct GspanCursor *cursor, const char *attachment, struct GspanStr text,
                    struct GspanError *error)
{
  char *copy;
  char **fields;
  bool ok;

  cursor->batch = 0;
  cursor->next_group = 0;
  g_array_set_size (cursor->deferred, 0);
  if (text.len == 0)
    return true;
  if (memchr (text.data, '\0', text.len) != NULL)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "holds a NUL byte");
  copy = gspan_str_dup (text);
  fields = g_strsplit (copy, ":", -1);
  ok = parse_fields (cursor, attachment, fields, error);
  g_strfreev (fields);
  g_free (copy);
  return ok;
}

char *
gspan_cursor_format (const struct GspanCursor *cursor, const char *attachment)
{
  GString *text = g_string_new (attachment);

  g_string_append_printf (text, ":%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT ":", cursor->batch,
                          cursor->next_group);
  for (guint i = 0; i < cursor->deferred->len; i++)
    g_string_append_printf (text, "%s%" G_GUINT64_FORMAT, i > 0 ? "," : "",
                            g_array_index (cursor->deferred, guint64, i));
  return g_string_free (text, FALSE);
}

static bool
contains (const GArray *groups, guint64 group)
{
  for (guint i = 0; i < groups->len; i++)
    {
      if (g_array_index (groups, guint64, i) == group)
        return true;
    }
  return false;
}

bool
gspan_cursor_wants (const struct GspanCursor *cursor, guint64 group)
{
  return group >= cursor->next_group || contains (cursor->deferred, group);
}

guint64
gspan_cursor_nth (const struct GspanCursor *cursor, guint64 index)
{
  if (index < cursor->deferred->len)
    return g_array_index (cursor->deferred, guint64, index);
  return cursor->next_group + index - cursor->deferred->len;
}

void
gspan_cursor_advance (const struct GspanCursor *cursor, const GArray *chosen,
                      struct GspanCursor *next)
{
  guint64 last = g_array_index (chosen, guint64, chosen->len - 1);

  next->batch = cursor->batch + 1;
  next->next_group = MAX (cursor->next_group, last + 1);
  g_array_set_size (next->deferred, 0);
  for (guint i = 0; i < cursor->deferred->len; i++)
    {
      guint64 group = g_array_index (cursor->deferred, guint64, i);

      if (!contains (chosen, group))
        g_array_append_val (next->deferred, group);
    }
  for (guint64 group = cursor->next_group; group < next->next_group; group++)
    {
      if (!contains (chosen, group))
        g_array_append_val (next->deferred, group);
    }
}

#include "common/line.h"

static bool
needs_quotes (struct GspanStr value)
{
  if (value.len == 0)
    return true;
  for (size_t i = 0; i < value.len; i++)
    {
      unsigned char c = (unsigned char)value.data[i];

      if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 127)
        return true;
    }
  return false;
}

static void
append_escaped (GString *text, struct GspanStr value)
{
  for (size_t i = 0; i < value.len; i++)
    {
      unsigned char c = (unsigned char)value.data[i];

      if (c == '"' || c == '\\')
        g_string_append_printf (text, "\\%c", c);
      else if (c < ' ' || c == 127)
        g_string_append_printf (text, "\\x%02x", c);
      else
        g_string_append_c (text, (char)c);
    }
}

void
gspan_line_init (struct GspanLine *line, const char *event)
{
  line->text = g_string_new ("event=");
  g_string_append (line->text, event);
}

void
gspan_line_finish (struct GspanLine *line)
{
  if (line->text != NULL)
    g_string_free (line->text, TRUE);
  line->text = NULL;
}

void
gspan_line_str (struct GspanLine *line, const char *key, struct GspanStr value)
{
  g_string_append_printf (line->text, " %s=", key);
  if (!needs_quotes (value))
    {
      g_string_append_len (line->text, value.data, (gssize)value.len);
      return;
    }
  g_string_append_c (line->text, '"');
  append_escaped (line->text, value);
  g_string_append_c (line->text, '"');
}

void
gspan_line_cstr (struct GspanLine *line, const char *key, const char *value)
{
  gspan_line_str (line, key, gspan_str_from (value));
}

void
gspan_line_int (struct GspanLine *line, const char *key, gint64 value)
{
  g_string_append_printf (line->text, " %s=%" G_GINT64_FORMAT, key, value);
}

void
gspan_line_u64 (struct GspanLine *line, const char *key, guint64 value)
{
  g_string_append_printf (line->text, " %s=%" G_GUINT64_FORMAT, key, value);
}

char *
gspan_line_steal (struct GspanLine *line)
{
  char *text = g_string_free (line->text, FALSE);

  line->text = NULL;
  return text;
}

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

static void
pair_free (gpointer data)
{
  struct GspanPair *pair = data;

  g_free (pair->key);
  g_string_free (pair->value, TRUE);
  g_free (pair);
}

/* Reads one escape after its backslash. Returns the bytes used, 0 where it is none. */
static size_t
take_escape (struct GspanStr text, GString *value)
{
  int high;
  int low;

  if (text.len >= 1 && (text.data[0] == '"' || text.data[0] == '\\'))
    {
      g_string_append_c (value, text.data[0]);
      return 1;
    }
  if (text.len < 3 || text.data[0] != 'x')
    return 0;
  high = g_ascii_xdigit_value (text.data[1]);
  low = g_ascii_xdigit_value (text.data[2]);
  if (high < 0 || low < 0)
    return 0;
  g_string_append_c (value, (char)(high * 16 + low));
  return 3;
}

/* Reads a value in quotes, the first one taken already. Returns the bytes used, 0 on a fault. */
static size_t
take_quoted (struct GspanStr text, GString *value)
{
  size_t at = 0;

  while (at < text.len && text.data[at] != '"')
    {
      size_t used;

      if (text.data[at] != '\\')
        {
          g_string_append_c (value, text.data[at++]);
          continue;
        }
      used = take_escape ((struct GspanStr){ text.data + at + 1, text.len - at - 1 }, value);
      if (used == 0)
        return 0;
      at += used + 1;
    }
  return at < text.len ? at + 1 : 0;
}

/* Reads "KEY=VALUE" off the start of TEXT. Returns the bytes used, 0 on a fault. */
static size_t
take_pair (struct GspanStr text, struct GspanPair *pair)
{
  size_t key_len = 0;
  size_t at;
  size_t used;

  while (key_len < text.len && text.data[key_len] != '=' && text.data[key_len] != ' ')
    key_len++;
  if (key_len == 0 || key_len == text.len || text.data[key_len] != '=')
    return 0;
  pair->key = g_strndup (text.data, key_len);
  at = key_len + 1;
  if (at < text.len && text.data[at] == '"')
    {
      used = take_quoted ((struct GspanStr){ text.data + at + 1, text.len - at - 1 }, pair->value);
      return used > 0 ? at + 1 + used : 0;
    }
  for (; at < text.len && text.data[at] != ' '; at++)
    g_string_append_c (pair->value, text.data[at]);
  return at;
}

GPtrArray *
gspan_line_parse (struct GspanStr text)
{
  GPtrArray *pairs = g_ptr_array_new_with_free_func (pair_free);
  size_t at = 0;

  while (at < text.len)
    {
      struct GspanPair *pair = g_new0 (struct GspanPair, 1);
      size_t used;

      pair->value = g_string_new (NULL);
      g_ptr_array_add (pairs, pair);
      used = take_pair ((struct GspanStr){ text.data + at, text.len - at }, pair);
      at += used;
      if (used == 0 || (at < text.len && text.data[at] != ' '))
        {
          g_ptr_array_unref (pairs);
          return NULL;
        }
      at += at < text.len;
    }
  return pairs;
}

const char *
gspan_line_find (const GPtrArray *pairs, const char *key)
{
  for (guint i = 0; i < pairs->len; i++)
    {
      const struct GspanPair *pair = g_ptr_array_index (pairs, i);

      if (g_str_equal (pair->key, key))
        return pair->value->str;
    }
  return NULL;
}

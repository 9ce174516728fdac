#include "common/headers.h"

#include <string.h>

void
gspan_headers_init (struct GspanHeaders *headers)
{
  headers->items = g_ptr_array_new_with_free_func (g_free);
}

void
gspan_headers_finish (struct GspanHeaders *headers)
{
  g_ptr_array_unref (headers->items);
  headers->items = NULL;
}

void
gspan_headers_clear (struct GspanHeaders *headers)
{
  g_ptr_array_set_size (headers->items, 0);
}

void
gspan_headers_add (struct GspanHeaders *headers, const char *name, struct GspanStr value)
{
  g_ptr_array_add (headers->items, g_strdup_printf ("%s: %.*s", name, (int)value.len,
                                                    value.data != NULL ? value.data : ""));
}

void
gspan_headers_add_u64 (struct GspanHeaders *headers, const char *name, guint64 value)
{
  g_ptr_array_add (headers->items, g_strdup_printf ("%s: %" G_GUINT64_FORMAT, name, value));
}

void
gspan_headers_add_line (struct GspanHeaders *headers, struct GspanStr line)
{
  while (line.len > 0 && g_ascii_isspace (line.data[line.len - 1]))
    line.len--;
  if (memchr (line.data, ':', line.len) == NULL)
    return;
  g_ptr_array_add (headers->items, gspan_str_dup (line));
}

struct GspanStr
gspan_headers_get (const struct GspanHeaders *headers, const char *name)
{
  size_t len = strlen (name);

  for (guint i = 0; i < headers->items->len; i++)
    {
      const char *line = g_ptr_array_index (headers->items, i);

      if (g_ascii_strncasecmp (line, name, len) != 0 || line[len] != ':')
        continue;
      line += len + 1;
      while (*line == ' ' || *line == '\t')
        line++;
      return gspan_str_from (line);
    }
  return (struct GspanStr){ NULL, 0 };
}

bool
gspan_headers_get_u64 (const struct GspanHeaders *headers, const char *name, guint64 *value)
{
  return gspan_str_to_u64 (gspan_headers_get (headers, name), value);
}

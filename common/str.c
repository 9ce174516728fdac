#include "common/str.h"

#include <string.h>

struct GspanStr
gspan_str_from (const char *text)
{
  return (struct GspanStr){ text, text != NULL ? strlen (text) : 0 };
}

struct GspanStr
gspan_str_from_bytes (GBytes *bytes)
{
  gsize len = 0;
  const char *data;

  if (bytes == NULL)
    return (struct GspanStr){ NULL, 0 };
  data = g_bytes_get_data (bytes, &len);
  return (struct GspanStr){ data, len };
}

bool
gspan_str_equal (struct GspanStr a, struct GspanStr b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
gspan_str_has_prefix (struct GspanStr text, struct GspanStr prefix)
{
  return text.len >= prefix.len
         && gspan_str_equal ((struct GspanStr){ text.data, prefix.len }, prefix);
}

char *
gspan_str_dup (struct GspanStr text)
{
  return g_strndup (text.data != NULL ? text.data : "", text.len);
}

bool
gspan_str_to_u64 (struct GspanStr text, guint64 *value)
{
  guint64 sum = 0;

  if (text.len == 0)
    return false;
  for (size_t i = 0; i < text.len; i++)
    {
      guint64 digit = (guint64)(text.data[i] - '0');

      if (text.data[i] < '0' || text.data[i] > '9')
        return false;
      if (sum > (G_MAXUINT64 - digit) / 10)
        return false;
      sum = sum * 10 + digit;
    }
  *value = sum;
  return true;
}

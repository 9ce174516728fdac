#include "http/framing.h"

#include <string.h>

enum
{
  LINE_KEPT = 32, /* bytes; longer lines are no end mark */
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304
};

void
gspan_framing_init (struct GspanFraming *framing, const char *method)
{
  memset (framing, 0, sizeof *framing);
  framing->no_body = strcmp (method, "HEAD") == 0;
  framing->line = g_string_new (NULL);
}

void
gspan_framing_finish (struct GspanFraming *framing)
{
  g_string_free (framing->line, TRUE);
}

static void
end_line (struct GspanFraming *framing)
{
  const char *line = framing->line->str;
  size_t len = framing->line->len;

  if (len > 0 && line[len - 1] == '\r')
    len--;
  if (len > 0 && line[0] != ':')
    framing->marked
        = !framing->long_line
          && (gspan_str_equal ((struct GspanStr){ line, len }, GSPAN_STR ("data: [DONE]"))
              || gspan_str_equal ((struct GspanStr){ line, len }, GSPAN_STR ("data:[DONE]")));
  g_string_truncate (framing->line, 0);
  framing->long_line = false;
}

void
gspan_framing_data (struct GspanFraming *framing, struct GspanStr data)
{
  const char *at = data.data;
  const char *end = data.data + data.len;

  while (at < end)
    {
      const char *newline = memchr (at, '\n', (size_t)(end - at));
      size_t len = (size_t)((newline != NULL ? newline : end) - at);
      size_t kept = MIN (len, LINE_KEPT - framing->line->len);

      g_string_append_len (framing->line, at, (gssize)kept);
      framing->long_line = framing->long_line || kept < len;
      at += len;
      if (newline == NULL)
        continue;
      end_line (framing);
      at++;
    }
}

bool
gspan_framing_whole (const struct GspanFraming *framing, int status,
                     const struct GspanHeaders *headers)
{
  struct GspanStr type = gspan_headers_get (headers, "Content-Type");
  bool framed = gspan_headers_get (headers, "Content-Length").data != NULL
                || gspan_headers_get (headers, "Transfer-Encoding").data != NULL;

  if (framing->no_body || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED)
    return true;
  if (!framed)
    return false;
  return framing->marked || !gspan_str_has_prefix (type, GSPAN_STR ("text/event-stream"));
}

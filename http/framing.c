#include "http/framing.h"

#include <string.h>

enum
{
  LINE_KEPT = 32, /* bytes; longer lines are no end mark */
  LENGTH_DIGITS_MAX = 18,
  STATUS_FINAL_LEAST = 200, /* lower ones are provisional */
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304
};

static const char chunked[] = "chunked";

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

void
gspan_framing_begin_head (struct GspanFraming *framing)
{
  framing->head_ended = false;
}

static void
note_length (struct GspanFraming *framing, struct GspanStr value)
{
  guint64 bytes;

  if (value.len > LENGTH_DIGITS_MAX || !gspan_str_to_u64 (value, &bytes)
      || (framing->body == GSPAN_BODY_FRAMING_LENGTH && bytes != framing->declared_bytes))
    framing->ambiguous = true;
  else
    framing->declared_bytes = bytes;
  framing->body = GSPAN_BODY_FRAMING_LENGTH;
}

static void
note_lengths (struct GspanFraming *framing, const struct GspanHeaders *headers)
{
  static const char name[] = "Content-Length:";

  for (guint i = 0; i < headers->items->len; i++)
    {
      const char *line = g_ptr_array_index (headers->items, i);

      if (g_ascii_strncasecmp (line, name, sizeof name - 1) != 0)
        continue;
      line += sizeof name - 1;
      note_length (framing, gspan_str_from (line + strspn (line, " \t")));
    }
}

void
gspan_framing_end_head (struct GspanFraming *framing, int status,
                        const struct GspanHeaders *headers)
{
  struct GspanStr coding = gspan_headers_get (headers, "Transfer-Encoding");

  if (status < STATUS_FINAL_LEAST)
    return;
  framing->head_ended = true;
  framing->body = GSPAN_BODY_FRAMING_NONE;
  framing->ambiguous = false;
  framing->declared_bytes = 0;
  framing->no_body
      = framing->no_body || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
  if (framing->no_body)
    return;
  if (coding.data != NULL)
    {
      framing->body = GSPAN_BODY_FRAMING_CHUNKED;
      framing->ambiguous = coding.len != strlen (chunked)
                           || g_ascii_strncasecmp (coding.data, chunked, coding.len) != 0;
      return;
    }
  note_lengths (framing, headers);
  if (framing->body == GSPAN_BODY_FRAMING_NONE)
    framing->body = GSPAN_BODY_FRAMING_CLOSE;
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

  framing->body_bytes += data.len;
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
gspan_framing_whole_by_http (const struct GspanFraming *framing)
{
  if (!framing->head_ended || framing->ambiguous)
    return false;
  switch (framing->body)
    {
    case GSPAN_BODY_FRAMING_LENGTH:
      return framing->body_bytes == framing->declared_bytes;
    case GSPAN_BODY_FRAMING_NONE:
    case GSPAN_BODY_FRAMING_CHUNKED:
    case GSPAN_BODY_FRAMING_CLOSE:
      break;
    }
  return true;
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

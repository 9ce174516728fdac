#include "http/answer_head.h"

#include <string.h>

enum
{
  BYTES_MAX = 64 << 10,
  EMPTY_LINE_MAX = 2, /* bytes of an empty line with its end */
  STATUS_DIGITS = 3
};

void
gspan_answer_head_init (struct GspanAnswerHead *head, const char *required, const char *exempt)
{
  *head = (struct GspanAnswerHead){ 0 };
  gspan_headers_init (&head->headers);
  head->required = g_strdup (required);
  head->exempt = g_strdup (exempt);
}

void
gspan_answer_head_finish (struct GspanAnswerHead *head)
{
  gspan_headers_finish (&head->headers);
  g_free (head->required);
  g_free (head->exempt);
}

static enum GspanEcho
echo_of (const struct GspanAnswerHead *head)
{
  const char *colon;
  struct GspanStr got;
  char *name;

  if (head->required == NULL)
    return GSPAN_ECHO_NOT_ASKED;
  colon = strchr (head->required, ':');
  name = g_strndup (head->required, (gsize)(colon - head->required));
  got = gspan_headers_get (&head->headers, name);
  g_free (name);
  if (got.data == NULL)
    return GSPAN_ECHO_MISSING;
  return gspan_str_equal (got, gspan_str_from (colon + 2)) ? GSPAN_ECHO_SAME : GSPAN_ECHO_OTHER;
}

/* Whether the answer may be taken for that to the request. Provisional ones need not say. */
static bool
is_own (const struct GspanAnswerHead *head, bool final)
{
  switch (head->echo)
    {
    case GSPAN_ECHO_NOT_ASKED:
    case GSPAN_ECHO_SAME:
      return true;
    case GSPAN_ECHO_OTHER:
      return false;
    case GSPAN_ECHO_MISSING:
      break;
    }
  return !final
         || (head->exempt != NULL && gspan_headers_get (&head->headers, head->exempt).data != NULL);
}

static enum GspanHeadResult
end_head (struct GspanAnswerHead *head, struct GspanFraming *framing, int status)
{
  head->has_status = false;
  gspan_framing_end_head (framing, status, &head->headers);
  head->echo = echo_of (head);
  return is_own (head, framing->head_ended) ? GSPAN_HEAD_OK : GSPAN_HEAD_FOREIGN;
}

/* True where a status line begins in LINE at FROM or later, as in "HTTP/1.1 200 OK". */
static bool
holds_status_line (struct GspanStr line, size_t from)
{
  static const char form[] = "HTTP/0.0 000"; /* 0 is any digit */
  const size_t len = sizeof form - 1;

  for (size_t at = from; at + len <= line.len; at++)
    {
      size_t i = 0;

      while (
          i < len
          && (form[i] == '0' ? g_ascii_isdigit (line.data[at + i]) : line.data[at + i] == form[i]))
        i++;
      if (i == len)
        return true;
    }
  return false;
}

/*
 * True where the status line LINE has a status from 100 to 599, as in "HTTP/1.1 200 OK"; RFC 9110,
 * section 15, calls others invalid.
 */
static bool
has_valid_status (struct GspanStr line)
{
  size_t at = 0;
  size_t digits = 0;

  while (at < line.len && line.data[at] != ' ')
    at++;
  while (at < line.len && line.data[at] == ' ')
    at++;
  while (at + digits < line.len && g_ascii_isdigit (line.data[at + digits]))
    digits++;
  if (digits != STATUS_DIGITS || line.data[at] < '1' || line.data[at] > '5')
    return false;
  at += digits;
  return at == line.len || g_ascii_isspace (line.data[at]);
}

enum GspanHeadResult
gspan_answer_head_take (struct GspanAnswerHead *head, struct GspanFraming *framing,
                        struct GspanStr line, int status)
{
  head->bytes += line.len;
  if (head->bytes > BYTES_MAX)
    return GSPAN_HEAD_TOO_LONG;
  if (framing->head_ended)
    return GSPAN_HEAD_OK; /* a trailer */
  /* the next answer on the connection would end the head of one that was cut off in this line */
  if (holds_status_line (line, head->has_status ? 0 : 1))
    return GSPAN_HEAD_FOREIGN;
  if (!head->has_status)
    {
      if (!has_valid_status (line))
        return GSPAN_HEAD_FOREIGN;
      head->has_status = true;
      gspan_headers_clear (&head->headers);
      gspan_framing_begin_head (framing);
      return GSPAN_HEAD_OK;
    }
  if (line.len <= EMPTY_LINE_MAX)
    return end_head (head, framing, status);
  gspan_headers_add_line (&head->headers, line);
  return GSPAN_HEAD_OK;
}

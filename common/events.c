#include "common/events.h"

#include <string.h>

enum
{
  KEPT_MEMORY_MAX = 64 << 10, /* bytes that an event without an end leaves allocated */
  BLANK_LINE_MAX = 2          /* bytes of a blank line */
};

/* A long event's memory isn't kept for the next, shorter ones. */
static void
release_memory (GString **text)
{
  GString *copy;

  if ((*text)->allocated_len <= KEPT_MEMORY_MAX || (*text)->len > KEPT_MEMORY_MAX / 2)
    return;
  copy = g_string_new_len ((*text)->str, (gssize)(*text)->len);
  g_string_free (*text, TRUE);
  *text = copy;
}

void
gspan_events_init (struct GspanEvents *events, const char *mark)
{
  events->pending = g_string_new (NULL);
  events->data = g_string_new (NULL);
  events->mark = mark;
  events->is_too_long = false;
}

void
gspan_events_finish (struct GspanEvents *events)
{
  g_string_free (events->pending, TRUE);
  g_string_free (events->data, TRUE);
}

void
gspan_events_reset (struct GspanEvents *events)
{
  g_string_truncate (events->pending, 0);
  release_memory (&events->pending);
  events->is_too_long = false;
}

bool
gspan_events_says_stream (const struct GspanHeaders *headers)
{
  static const char name[] = "text/event-stream";
  struct GspanStr type = gspan_headers_get (headers, "Content-Type");
  size_t len = strlen (name);

  return type.len >= len && g_ascii_strncasecmp (type.data, name, len) == 0
         && (type.len == len || strchr ("; \t", type.data[len]) != NULL);
}

bool
gspan_events_is_stream (const struct GspanHeaders *headers)
{
  return gspan_headers_get (headers, "Content-Type").len == 0 || gspan_events_says_stream (headers);
}

/* True where TEXT has only empty lines and comments. */
static bool
has_no_field (const char *text, size_t len)
{
  bool at_start = true;

  for (size_t i = 0; i < len; i++)
    {
      bool line_end = text[i] == '\n' || text[i] == '\r';

      if (at_start && text[i] == ':')
        at_start = false;
      else if (line_end)
        at_start = true;
      else if (at_start)
        return false;
    }
  return true;
}

bool
gspan_events_is_between (const struct GspanEvents *events)
{
  return has_no_field (events->pending->str, events->pending->len);
}

bool
gspan_events_is_comment (const struct GspanStreamEvent *event)
{
  return has_no_field (event->raw.data, event->raw.len);
}

/* Value of LINE where it is called NAME; the empty view with no data elsewhere. */
static struct GspanStr
value_of (struct GspanStr line, const char *name)
{
  size_t len = strlen (name);

  if (line.len < len + 1 || g_ascii_strncasecmp (line.data, name, len) != 0
      || line.data[len] != ':')
    return (struct GspanStr){ NULL, 0 };
  line.data += len + 1;
  line.len -= len + 1;
  if (line.len > 0 && line.data[0] == ' ')
    {
      line.data++;
      line.len--;
    }
  return line;
}

static void
take_line (struct GspanEvents *events, struct GspanStr line, struct GspanStreamEvent *event,
           guint *data_lines)
{
  struct GspanStr value = value_of (line, "data");

  if (value.data != NULL)
    {
      if ((*data_lines)++ > 0)
        g_string_append_c (events->data, '\n');
      g_string_append_len (events->data, value.data, (gssize)value.len);
      return;
    }
  value = value_of (line, "id");
  if (value.data != NULL)
    event->has_id = gspan_str_to_u64 (value, &event->id);
  if (events->mark == NULL)
    return;
  value = value_of (line, events->mark);
  if (value.data != NULL)
    event->has_mark = gspan_str_to_u64 (value, &event->mark);
}

static void
tell (struct GspanEvents *events, struct GspanStr raw, GspanEventsCallback callback, void *user)
{
  struct GspanStreamEvent event = { 0 };
  const char *at = raw.data;
  const char *end = raw.data + raw.len;
  guint data_lines = 0;

  g_string_truncate (events->data, 0);
  while (at < end)
    {
      const char *newline = memchr (at, '\n', (size_t)(end - at));
      struct GspanStr line = { at, (size_t)((newline != NULL ? newline : end) - at) };

      if (line.len > 0 && line.data[line.len - 1] == '\r')
        line.len--;
      take_line (events, line, &event, &data_lines);
      at = newline != NULL ? newline + 1 : end;
    }
  event.raw = raw;
  event.data = (struct GspanStr){ events->data->str, events->data->len };
  callback (user, &event);
}

/*
 * Offset in TEXT behind the blank line that ends an event; 0 where none does. The line before the
 * blank one ends at FROM or later.
 */
static size_t
find_event_end (const GString *text, size_t from)
{
  const char *end = text->str + text->len;
  const char *at = text->str + from;

  while ((at = memchr (at, '\n', (size_t)(end - at))) != NULL)
    {
      at++;
      if (at < end && at[0] == '\n')
        return (size_t)(at + 1 - text->str);
      if (end - at >= BLANK_LINE_MAX && at[0] == '\r' && at[1] == '\n')
        return (size_t)(at + BLANK_LINE_MAX - text->str);
    }
  return 0;
}

void
gspan_events_feed (struct GspanEvents *events, struct GspanStr data, GspanEventsCallback callback,
                   void *user)
{
  /* what has come before holds no whole event, and at most the begin of the line that ends one */
  size_t search_from = events->pending->len - MIN (events->pending->len, BLANK_LINE_MAX);
  size_t start = 0;
  size_t end;

  if (events->is_too_long)
    return;
  g_string_append_len (events->pending, data.data, (gssize)data.len);
  while ((end = find_event_end (events->pending, search_from)) > 0)
    {
      tell (events, (struct GspanStr){ events->pending->str + start, end - start }, callback, user);
      start = end;
      search_from = end;
    }
  if (start > 0) /* erasing nothing moves all of it, too */
    g_string_erase (events->pending, 0, (gssize)start);
  events->is_too_long = events->pending->len > GSPAN_EVENT_MAX;
  if (events->is_too_long)
    g_string_truncate (events->pending, 0);
  release_memory (&events->pending);
  release_memory (&events->data);
}

#pragma once

#include "common/headers.h"
#include "common/str.h"

/* Splits a body of server-sent events (text/event-stream) into its events, in any pieces. */

struct GspanStreamEvent
{
  struct GspanStr raw; /* the event as it came, with the blank line that ends it */
  bool has_id;
  guint64 id;
  struct GspanStr data; /* of all its data lines, separated by line feeds */
  bool has_mark;        /* it holds the numbered line that was asked for */
  guint64 mark;
};

enum
{
  GSPAN_EVENT_MAX = 1 << 20 /* bytes of an event */
};

struct GspanEvents
{
  GString *pending; /* bytes of the event under way */
  bool is_too_long; /* an event went beyond the bound; what follows is dropped */
  GString *data;
  const char *mark; /* name of a line with a number that is to be found; static, may be NULL */
};

typedef void (*GspanEventsCallback) (void *user, const struct GspanStreamEvent *event);

void gspan_events_init (struct GspanEvents *events, const char *mark);
void gspan_events_finish (struct GspanEvents *events);

/* True where an answer with HEADERS may be a stream of events: its type is that, or isn't said. */
bool gspan_events_is_stream (const struct GspanHeaders *headers);

/* True where an answer with HEADERS says that it is a stream of events. */
bool gspan_events_says_stream (const struct GspanHeaders *headers);

/* True where no event is under way: a stream that ends here ends with its last event. */
bool gspan_events_is_between (const struct GspanEvents *events);

/* True for an event that holds nothing but comments. */
bool gspan_events_is_comment (const struct GspanStreamEvent *event);

/* Drops what has come of an event that isn't whole. */
void gspan_events_reset (struct GspanEvents *events);

/*
 * Calls CALLBACK for each event that DATA completes. What it gets is borrowed. An event of more
 * than GSPAN_EVENT_MAX bytes sets IS_TOO_LONG.
 */
void gspan_events_feed (struct GspanEvents *events, struct GspanStr data,
                        GspanEventsCallback callback, void *user);

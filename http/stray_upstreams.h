#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Upstreams that lately sent bytes which belong to no request: they may send more at any time,
 * which costs the next request on the connection its answer. Requests to them share no connection
 * for a while after the last time. Bounded: above 256 upstreams further ones are not noted.
 */
struct GspanStrayUpstreams
{
  GHashTable *until; /* authority to the time at which it is forgotten, as guint64 */
};

void gspan_stray_upstreams_init (struct GspanStrayUpstreams *upstreams);
void gspan_stray_upstreams_finish (struct GspanStrayUpstreams *upstreams);

/* The upstream at URL did it at NOW. */
void gspan_stray_upstreams_note (struct GspanStrayUpstreams *upstreams, const char *url,
                                 guint64 now);

bool gspan_stray_upstreams_has (const struct GspanStrayUpstreams *upstreams, const char *url,
                                guint64 now);

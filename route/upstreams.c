#include "route/upstreams.h"

#include <string.h>

#include "common/clock.h"

enum
{
  FAILURES_TO_OPEN = 3
};

#define BREAKER_PAUSE_MIN (1 * GSPAN_SECOND)
#define BREAKER_PAUSE_MAX (30 * GSPAN_SECOND)
#define DISTRUST_US (10 * GSPAN_SECOND) /* above the idle age at which connections are closed */

static void
upstream_free (gpointer data)
{
  struct GspanUpstream *upstream = data;

  g_free (upstream->name);
  g_free (upstream->service);
  g_free (upstream->zone);
  g_free (upstream->address);
  g_free (upstream);
}

void
gspan_upstreams_init (struct GspanUpstreams *upstreams)
{
  upstreams->items = g_ptr_array_new_with_free_func (upstream_free);
}

void
gspan_upstreams_finish (struct GspanUpstreams *upstreams)
{
  g_ptr_array_unref (upstreams->items);
}

struct GspanUpstream *
gspan_upstreams_add (struct GspanUpstreams *upstreams, const char *name, const char *service,
                     const char *zone, const char *address)
{
  struct GspanUpstream *upstream;

  for (guint i = 0; i < upstreams->items->len; i++)
    {
      upstream = g_ptr_array_index (upstreams->items, i);
      if (strcmp (upstream->name, name) == 0 && strcmp (upstream->address, address) == 0)
        return upstream;
    }
  upstream = g_new0 (struct GspanUpstream, 1);
  upstream->name = g_strdup (name);
  upstream->service = g_strdup (service);
  upstream->zone = g_strdup (zone);
  upstream->address = g_strdup (address);
  upstream->breaker_backoff_us = BREAKER_PAUSE_MIN;
  g_ptr_array_add (upstreams->items, upstream);
  return upstream;
}

void
gspan_upstreams_mark_gone (struct GspanUpstreams *upstreams)
{
  for (guint i = 0; i < upstreams->items->len; i++)
    {
      struct GspanUpstream *upstream = g_ptr_array_index (upstreams->items, i);

      upstream->state = GSPAN_UPSTREAM_GONE;
    }
}

void
gspan_upstreams_remove_gone (struct GspanUpstreams *upstreams)
{
  for (guint i = upstreams->items->len; i > 0; i--)
    {
      struct GspanUpstream *upstream = g_ptr_array_index (upstreams->items, i - 1);

      if (upstream->state == GSPAN_UPSTREAM_GONE && upstream->inflight == 0)
        g_ptr_array_remove_index (upstreams->items, i - 1);
    }
}

void
gspan_upstream_begin_exchange (struct GspanUpstream *upstream)
{
  upstream->inflight++;
  upstream->exchanges_begun++;
}

static void
note_failure (struct GspanUpstream *upstream, guint64 now)
{
  upstream->consecutive_failures++;
  upstream->fresh_connections_until_us = now + DISTRUST_US;
  if (upstream->consecutive_failures < FAILURES_TO_OPEN)
    return;
  upstream->breaker_open_until_us = now + upstream->breaker_backoff_us;
  upstream->breaker_backoff_us = MIN (upstream->breaker_backoff_us * 2, BREAKER_PAUSE_MAX);
}

void
gspan_upstream_end_exchange (struct GspanUpstream *upstream, enum GspanUpstreamFeedback feedback,
                             guint64 now)
{
  upstream->inflight--;
  switch (feedback)
    {
    case GSPAN_FEEDBACK_GOOD:
      upstream->consecutive_failures = 0;
      upstream->breaker_open_until_us = 0;
      upstream->breaker_backoff_us = BREAKER_PAUSE_MIN;
      break;
    case GSPAN_FEEDBACK_BROKEN:
      note_failure (upstream, now);
      break;
    case GSPAN_FEEDBACK_REFUSED:
    case GSPAN_FEEDBACK_NONE:
      break;
    }
}

void
gspan_upstream_update_from_headers (struct GspanUpstream *upstream,
                                    const struct GspanHeaders *headers, guint64 now)
{
  struct GspanStr weight;

  if (headers == NULL)
    return;
  if (gspan_headers_get_u64 (headers, "X-Load", &upstream->reported_load))
    upstream->load_reported_at_us = now;
  weight = gspan_headers_get (headers, "X-Weight-Version");
  if (gspan_str_equal (weight, GSPAN_STR ("uncertain")))
    upstream->weight_version_uncertain = true;
  else if (gspan_str_to_u64 (weight, &upstream->weight_version))
    upstream->weight_version_uncertain = false;
}

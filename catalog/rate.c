#include "catalog/rate.h"

#include "common/clock.h"

/* A replica that takes hardly anything is asked so often whether that has changed. */
#define LOWEST_PER_S 0.25
#define BURST_US GSPAN_SECOND

enum
{
  BURST_LEAST = 2 /* requests */
};

static guint64
interval_of (const struct GspanRate *rate)
{
  return (guint64)((double)GSPAN_SECOND / MAX (LOWEST_PER_S, rate->per_s));
}

/* By how much a request may go before its time. */
static guint64
burst_of (const struct GspanRate *rate)
{
  return MAX (BURST_US, interval_of (rate) * BURST_LEAST);
}

void
gspan_rate_init_used (struct GspanRate *rate, double per_s, guint64 now)
{
  rate->per_s = per_s;
  rate->next_at = now + burst_of (rate) + interval_of (rate);
}

guint64
gspan_rate_soonest (const struct GspanRate *rate, guint64 now)
{
  return MAX (now, rate->next_at - MIN (rate->next_at, burst_of (rate)));
}

bool
gspan_rate_reserve (struct GspanRate *rate, guint64 now, guint64 reach_us, guint64 *at)
{
  guint64 soonest = gspan_rate_soonest (rate, now);

  if (soonest > now + reach_us)
    return false;
  *at = soonest;
  rate->next_at = MAX (rate->next_at, now) + interval_of (rate);
  return true;
}

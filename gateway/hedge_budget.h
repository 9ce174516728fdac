#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * How many second attempts a service may get, apart from any I/O. Answers the load in which all
 * replicas turn slow at once: without a bound each request would be sent twice just when there is
 * no room for it. Each request earns a share of an attempt. What is earned is kept up to a burst,
 * so that in any period no more are sent than the share of its requests and the burst.
 */

enum
{
  GSPAN_HEDGE_SHARE_MAX = 50, /* of 100 requests */
  GSPAN_HEDGE_BURST = 3       /* attempts */
};

struct GspanHedgeBudget
{
  guint credit; /* hundredths of an attempt */
};

/* A request of the service was sent; SHARE_PERCENT is what the operator allows. */
void gspan_hedge_budget_earn (struct GspanHedgeBudget *budget, guint share_percent);

/* True where a second attempt may be sent. */
bool gspan_hedge_budget_has_room (const struct GspanHedgeBudget *budget);

/* A second attempt was sent. */
void gspan_hedge_budget_spend (struct GspanHedgeBudget *budget);

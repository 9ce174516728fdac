#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Times at which requests may be sent at a bounded rate, reserved one after another (the generic
 * cell rate algorithm), apart from any I/O. After a pause a few may go at once.
 */

struct GspanRate
{
  double per_s;
  guint64 next_at; /* when the next request would be due if all were spaced evenly */
};

enum
{
  GSPAN_RATE_BURST = 2 /* beside the one that is due, after a pause */
};

/* RATE as it is right after a burst: what another has reserved meanwhile isn't known. */
void gspan_rate_init_used (struct GspanRate *rate, double per_s, guint64 now);

/* The soonest time that can be reserved. */
guint64 gspan_rate_soonest (const struct GspanRate *rate, guint64 now);

/* Reserves the soonest time, which goes to AT, unless that is later than NOW + REACH_US. */
bool gspan_rate_reserve (struct GspanRate *rate, guint64 now, guint64 reach_us, guint64 *at);

#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Times at which requests may be sent at a bounded rate, reserved one after another (the generic
 * cell rate algorithm), apart from any I/O. After a pause those of a second may go at once, two at
 * least: answers the load of a step of a trainer, whose items come together after a pause.
 */

struct GspanRate
{
  double per_s;
  guint64 next_at; /* when the next request would be due if all were spaced evenly */
};

/* RATE as it is right after a burst: what another has reserved meanwhile isn't known. */
void gspan_rate_init_used (struct GspanRate *rate, double per_s, guint64 now);

/* The soonest time that can be reserved. */
guint64 gspan_rate_soonest (const struct GspanRate *rate, guint64 now);

/* Reserves the soonest time, which goes to AT, unless that is later than NOW + REACH_US. */
bool gspan_rate_reserve (struct GspanRate *rate, guint64 now, guint64 reach_us, guint64 *at);

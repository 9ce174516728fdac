#pragma once

#include <glib.h>
#include <stdbool.h>

#include "catalog/config.h"

/*
 * When an attempt that has no answer yet gets another one beside it, and when a call may be tried
 * again, apart from any I/O. Answers replicas that are slow, hang or lose an answer while others of
 * the service are quick: a request that may be repeated is sent to a second replica once the first
 * has had half of the latency that the operator aims at.
 */

struct GspanHedgeState
{
  enum GspanRepeat repeat;
  guint64 now;
  guint64 last_sent_at_us;   /* the newest attempt's time */
  guint64 target_latency_us; /* the route's; 0 is none */
  guint64 deadline_us;
  guint attempts; /* so far */
  guint attempts_max;
  guint open_attempts;      /* attempts without an answer */
  bool response_started;    /* of a stream */
  guint64 usual_latency_us; /* what most attempts at the service take; 0 is not known */
};

/*
 * True where a second attempt should start beside the open one: where that has taken longer than
 * most do or, as long as this isn't known, half of the target.
 */
bool gspan_hedge_due (const struct GspanHedgeState *state);

/* True where replicas with SLOTS in all, OPEN of them taken, have no room for second attempts. */
bool gspan_hedge_is_overload (guint64 open, guint64 slots);

/*
 * True where an attempt may follow one that failed; NOT_RUN says that it surely didn't run. Where
 * it did, only what may be repeated goes out again.
 */
bool gspan_hedge_may_retry (const struct GspanHedgeState *state, bool not_run);

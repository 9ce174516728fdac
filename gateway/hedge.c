#include "gateway/hedge.h"

#include "common/clock.h"

#define WAIT_DIVISOR 2 /* of the target: both attempts then have a chance to be in time */
#define WAIT_WITHOUT_TARGET_US (500 * GSPAN_MS)
#define WAIT_MIN_US (20 * GSPAN_MS) /* open calls are looked at once in this time */
#define OPEN_MAX 2

enum
{
  TAKEN_MAX_PERCENT = 80, /* of the slots; beyond this requests wait for each other */
  PERCENT = 100
};

static guint64
wait_of (const struct GspanHedgeState *state)
{
  if (state->usual_latency_us > 0)
    return MAX (state->usual_latency_us, WAIT_MIN_US);
  return state->target_latency_us > 0 ? state->target_latency_us / WAIT_DIVISOR
                                      : WAIT_WITHOUT_TARGET_US;
}

bool
gspan_hedge_due (const struct GspanHedgeState *state)
{
  return state->repeat == GSPAN_REPEAT_ALLOWED && state->open_attempts > 0
         && state->open_attempts < OPEN_MAX && state->attempts < state->attempts_max
         && state->now < state->deadline_us
         && state->now >= state->last_sent_at_us + wait_of (state);
}

bool
gspan_hedge_is_overload (guint64 open, guint64 slots)
{
  return slots == 0 || open * PERCENT > slots * TAKEN_MAX_PERCENT;
}

bool
gspan_hedge_may_retry (const struct GspanHedgeState *state, bool not_run)
{
  if (state->attempts >= state->attempts_max || state->now >= state->deadline_us)
    return false;
  switch (state->repeat)
    {
    case GSPAN_REPEAT_ALLOWED:
    case GSPAN_REPEAT_BATCH:
    case GSPAN_REPEAT_RESUMED:
      return true;
    case GSPAN_REPEAT_FORBIDDEN:
      return not_run && !state->response_started;
    }
  return false;
}

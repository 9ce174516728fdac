#include "gateway/hedge.h"

#include "common/clock.h"

#define WAIT_DIVISOR 2 /* of the target: both attempts then have a chance to be in time */
#define WAIT_WITHOUT_TARGET_US (500 * GSPAN_MS)
#define OPEN_MAX 2

bool
gspan_hedge_due (const struct GspanHedgeState *state)
{
  guint64 wait = state->target_latency_us > 0 ? state->target_latency_us / WAIT_DIVISOR
                                              : WAIT_WITHOUT_TARGET_US;

  return state->repeat == GSPAN_REPEAT_ALLOWED && state->open_attempts > 0
         && state->open_attempts < OPEN_MAX && state->attempts < state->attempts_max
         && state->now < state->deadline_us && state->now >= state->last_sent_at_us + wait;
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

#include "jobs/reward_plan.h"

#include "common/clock.h"
#include "gateway/hedge.h"

#define TIMEOUT_US (2 * GSPAN_SECOND)
#define BACKOFF_FIRST_US (50 * GSPAN_MS)
#define BACKOFF_MAX_US (800 * GSPAN_MS)

enum
{
  BACKOFF_DOUBLINGS = 4 /* from the first to the longest */
};

bool
gspan_reward_call_due (const struct GspanRewardState *state, guint64 now, guint64 target_us)
{
  struct GspanHedgeState hedge = { 0 };

  if (state->open_calls == 0)
    return now >= state->next_at_us;
  hedge.repeat = GSPAN_REPEAT_ALLOWED;
  hedge.now = now;
  hedge.last_sent_at_us = state->last_sent_at_us;
  hedge.target_latency_us = target_us;
  hedge.deadline_us = G_MAXUINT64;
  hedge.attempts_max = G_MAXUINT;
  hedge.open_attempts = state->open_calls;
  return gspan_hedge_due (&hedge);
}

guint64
gspan_reward_timeout_us (guint64 route_timeout_us)
{
  return route_timeout_us > 0 ? MIN (route_timeout_us, TIMEOUT_US) : TIMEOUT_US;
}

void
gspan_reward_note_failure (struct GspanRewardState *state, guint64 now, guint32 draw)
{
  guint64 pause_us
      = MIN (BACKOFF_FIRST_US << MIN (state->failures, BACKOFF_DOUBLINGS), BACKOFF_MAX_US);

  state->failures++;
  state->next_at_us = now + pause_us / 2 + draw % (pause_us / 2);
}

static gint
compare_counts (guint x, guint y)
{
  return x < y ? -1 : x > y;
}

gint
gspan_reward_rank_compare (gconstpointer a, gconstpointer b)
{
  const struct GspanRewardRank *x = a;
  const struct GspanRewardRank *y = b;

  if (x->server_errors != y->server_errors)
    return compare_counts (x->server_errors, y->server_errors);
  if (x->missing_count != y->missing_count)
    return compare_counts (x->missing_count, y->missing_count);
  return compare_counts (x->index, y->index);
}

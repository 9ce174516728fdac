#include "jobs/commit.h"

#include "common/clock.h"

/* Batching windows: results younger than these are lost if the owner fails. */
#define COMPLETE_GROUP_WINDOW_US (GSPAN_SECOND)
#define PARTIAL_GROUP_WINDOW_US (2500 * GSPAN_MS) /* if the results complete no group */
#define NEAR_DUE_WINDOW_US (400 * GSPAN_MS)       /* close to the time when results are due */

#define NEAR_DUE_US (1500 * GSPAN_MS) /* before the due time; callers poll twice a second */

bool
gspan_commit_due (const struct GspanCommitState *state)
{
  bool near_due
      = state->results_due_at_us > 0 && state->now + NEAR_DUE_US >= state->results_due_at_us;
  bool completes_group = state->groups_complete > state->groups_committed;
  bool enough_groups = state->groups_wanted > 0 && state->groups_complete >= state->groups_wanted;

  if (state->ready_count == 0)
    return false;
  if (state->remaining_count == 0 || state->handing_over || (enough_groups && completes_group))
    return true;
  return state->now >= state->last_append_at_us
                           + (near_due          ? NEAR_DUE_WINDOW_US
                              : completes_group ? COMPLETE_GROUP_WINDOW_US
                                                : PARTIAL_GROUP_WINDOW_US);
}

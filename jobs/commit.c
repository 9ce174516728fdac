#include "jobs/commit.h"

#include "common/clock.h"

#define GATHER_US (GSPAN_SECOND)          /* an owner that dies loses the results of so long */
#define GATHER_PARTS_US (2500 * GSPAN_MS) /* as above, where they complete no group */
#define GATHER_LATE_US (400 * GSPAN_MS)   /* as above, close to the time at which they are due */
#define CLOSE_US (1500 * GSPAN_MS)        /* what counts as close; readers come twice a second */

bool
gspan_commit_due (const struct GspanCommitState *state)
{
  bool close = state->due_at > 0 && state->now + CLOSE_US >= state->due_at;
  bool whole = state->groups_complete > state->groups_listed;
  bool enough = state->groups_wanted > 0 && state->groups_complete >= state->groups_wanted;

  if (state->ready == 0)
    return false;
  if (state->left == 0 || state->handing_over || (enough && whole))
    return true;
  return state->now >= state->last_at
                           + (close   ? GATHER_LATE_US
                              : whole ? GATHER_US
                                      : GATHER_PARTS_US);
}

#include <gtest/gtest.h>

extern "C"
{
#include "common/clock.h"
#include "jobs/commit.h"
#include "jobs/groups.h"
}

/* When results are written, replayed against the steps that the decision answers. */

class Commit : public testing::Test
{
protected:
  GspanCommitState state{};

  Commit ()
  {
    state.now = 100 * GSPAN_SECOND;
    state.last_at = state.now - 100 * GSPAN_MS;
    state.due_at = state.now + 5 * GSPAN_SECOND;
    state.ready = 1;
    state.left = 20;
    state.groups_wanted = 16;
    state.groups_complete = 15;
    state.groups_listed = 15;
  }
};

TEST_F (Commit, NothingReadyIsNeverWritten)
{
  state.ready = 0;
  state.left = 0;
  EXPECT_FALSE (gspan_commit_due (&state));
}

TEST_F (Commit, ResultsThatDoNotLetTheTrainerGoOnAreGatheredForASecond)
{
  state.groups_listed = 12;
  EXPECT_FALSE (gspan_commit_due (&state));
  state.now = state.last_at + GSPAN_SECOND;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST_F (Commit, ResultsThatCompleteNoGroupAreGatheredForLonger)
{
  state.now = state.last_at + GSPAN_SECOND;
  state.due_at = state.now + 5 * GSPAN_SECOND;
  EXPECT_FALSE (gspan_commit_due (&state));
  state.now = state.last_at + 2500 * GSPAN_MS;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST_F (Commit, TheGroupThatTheTrainerWaitsForIsWrittenAtOnce)
{
  state.groups_complete = 16;
  EXPECT_TRUE (gspan_commit_due (&state));
  state.groups_listed = 16; /* a result of a group that isn't complete follows */
  EXPECT_FALSE (gspan_commit_due (&state));
}

TEST_F (Commit, TheLastResultIsWrittenAtOnce)
{
  state.left = 0;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST_F (Commit, AJobThatIsHandedOverIsNotHeldUpByGathering)
{
  state.handing_over = true;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST_F (Commit, CloseToTheDueTimeResultsAreGatheredForLess)
{
  state.due_at = state.now + GSPAN_SECOND;
  state.now = state.last_at + 400 * GSPAN_MS;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST (Groups, AreCompleteOnceAllTheirItemsAreDone)
{
  GspanJobDocument document;
  GspanGroups groups;

  gspan_job_document_init (&document);
  for (const char *name : { "a", "b", "a", "" })
    {
      GspanJobItem *item = gspan_job_document_add (&document);
      g_free (item->group);
      item->group = g_strdup (name);
    }
  gspan_groups_init (&groups);
  gspan_groups_load (&groups, &document);
  gspan_groups_done (&groups, 0);
  EXPECT_EQ (groups.complete, 0U);
  gspan_groups_done (&groups, 2);
  EXPECT_EQ (groups.complete, 1U);
  gspan_groups_done (&groups, 3);
  EXPECT_EQ (groups.complete, 2U);
  gspan_groups_undone (&groups, 0);
  EXPECT_EQ (groups.complete, 1U);
  gspan_groups_finish (&groups);
  gspan_job_document_finish (&document);
}

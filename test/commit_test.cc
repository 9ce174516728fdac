#include <gtest/gtest.h>

extern "C"
{
#include "common/clock.h"
#include "jobs/commit.h"
#include "jobs/groups.h"
}

/* When ready results are due to be written as a segment, and the counts of complete groups. */

class Commit : public testing::Test
{
protected:
  GspanCommitState state{};

  Commit ()
  {
    state.now = 100 * GSPAN_SECOND;
    state.last_append_at_us = state.now - 100 * GSPAN_MS;
    state.results_due_at_us = state.now + 5 * GSPAN_SECOND;
    state.ready_count = 1;
    state.remaining_count = 20;
    state.groups_wanted = 16;
    state.groups_complete = 15;
    state.groups_committed = 15;
  }
};

TEST_F (Commit, NothingIsWrittenWithoutReadyResults)
{
  state.ready_count = 0;
  state.remaining_count = 0;
  EXPECT_FALSE (gspan_commit_due (&state));
}

TEST_F (Commit, TooFewCompleteGroupsAreBatchedForASecond)
{
  state.groups_committed = 12;
  EXPECT_FALSE (gspan_commit_due (&state));
  state.now = state.last_append_at_us + GSPAN_SECOND;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST_F (Commit, ResultsThatCompleteNoGroupAreBatchedForLonger)
{
  state.now = state.last_append_at_us + GSPAN_SECOND;
  state.results_due_at_us = state.now + 5 * GSPAN_SECOND;
  EXPECT_FALSE (gspan_commit_due (&state));
  state.now = state.last_append_at_us + 2500 * GSPAN_MS;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST_F (Commit, LastWantedGroupIsWrittenAtOnce)
{
  state.groups_complete = 16;
  EXPECT_TRUE (gspan_commit_due (&state));
  state.groups_committed = 16; /* a result of a group that isn't complete follows */
  EXPECT_FALSE (gspan_commit_due (&state));
}

TEST_F (Commit, LastResultIsWrittenAtOnce)
{
  state.remaining_count = 0;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST_F (Commit, HandoverDoesNotWaitForTheBatchingWindow)
{
  state.handing_over = true;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST_F (Commit, BatchingWindowIsShorterNearTheDueTime)
{
  state.results_due_at_us = state.now + GSPAN_SECOND;
  state.now = state.last_append_at_us + 400 * GSPAN_MS;
  EXPECT_TRUE (gspan_commit_due (&state));
}

TEST (Groups, CompleteOnceAllItemsAreDone)
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
  gspan_groups_mark_done (&groups, 0);
  EXPECT_EQ (groups.complete_count, 0U);
  gspan_groups_mark_done (&groups, 2);
  EXPECT_EQ (groups.complete_count, 1U);
  gspan_groups_mark_done (&groups, 3);
  EXPECT_EQ (groups.complete_count, 2U);
  gspan_groups_unmark_done (&groups, 0);
  EXPECT_EQ (groups.complete_count, 1U);
  gspan_groups_finish (&groups);
  gspan_job_document_finish (&document);
}

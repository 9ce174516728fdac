#include "test/bench.h"

extern "C"
{
#include "rollout/plan.h"
}

class Plan : public testing::Test
{
protected:
  GspanFeed *feed = gspan_feed_new ("a");
  GspanAttachment attachment{};
  GspanPlan plan{};

  void
  SetUp () override
  {
    attachment.batch_groups = 4;
    attachment.group_samples = 1;
    attachment.staleness_bound = 2;
    attachment.ahead_batches = 2;
    attachment.idle_weight = 50;
    attachment.staleness_weight = 50;
    feed->weight = 10;
    feed->answered_at = 100 * GSPAN_SECOND;
    feed->step_us = 10 * GSPAN_SECOND;
    feed->mean_us = 1 * GSPAN_SECOND;
    feed->sample_us = 3 * GSPAN_SECOND;
  }

  void
  TearDown () override
  {
    gspan_feed_free (feed);
  }

  void
  add_pull ()
  {
    GspanFeedPull pull{};

    pull.weight = feed->weight;
    gspan_cursor_init (&pull.cursor);
    g_array_append_val (feed->pulls, pull);
  }

  guint64
  floor_at (guint64 now, guint64 index)
  {
    gspan_plan_init (&plan, feed, &attachment, now);
    return gspan_plan_floor (&plan, feed, &attachment, index);
  }

  /* The group NUMBER with its only sample whole (or still generated) at WEIGHT. */
  void
  add_group (guint64 number, guint64 weight, bool whole)
  {
    GspanSample *sample = &gspan_feed_group (feed, number, 1)->samples[0];

    sample->state = whole ? GSPAN_SAMPLE_WHOLE : GSPAN_SAMPLE_GENERATING;
    sample->text = whole ? g_strdup ("t") : nullptr;
    sample->oldest = whole ? weight : 0;
    sample->foreseen = weight;
  }

  std::string
  cursor_of_batch ()
  {
    GBytes *body = gspan_feed_build_batch (feed, &attachment,
                                           &g_array_index (feed->pulls, GspanFeedPull, 0));
    std::string cursor;

    if (body == nullptr)
      return "none";
    GspanStr text = gspan_str_from_bytes (body);
    json_t *root = json_loadb (text.data, text.len, 0, nullptr);

    cursor = json_string_value (json_object_get (root, "cursor"));
    json_decref (root);
    g_bytes_unref (body);
    return cursor;
  }
};

TEST_F (Plan, WorkAheadWaitsForTheNewestVersionUntilItWouldBeLate)
{
  EXPECT_EQ (floor_at (101 * GSPAN_SECOND, 4), 10U);
  EXPECT_EQ (floor_at (109500 * GSPAN_MS, 4), 9U);
}

TEST_F (Plan, IdleMindedTrainersTakeOlderEnginesEarlier)
{
  guint64 moment = 108800 * GSPAN_MS;

  attachment.idle_weight = 90;
  EXPECT_EQ (floor_at (moment, 4), 9U);
  attachment.idle_weight = 10;
  EXPECT_EQ (floor_at (moment, 4), 10U);
}

TEST_F (Plan, WhatIsAskedForTakesAnyEngineWithinTheBound)
{
  add_pull ();
  EXPECT_EQ (floor_at (101 * GSPAN_SECOND, 3), 8U);
  EXPECT_EQ (floor_at (101 * GSPAN_SECOND, 4), 10U);
}

TEST_F (Plan, WindowFollowsBoundAndBaseline)
{
  gspan_plan_init (&plan, feed, &attachment, 101 * GSPAN_SECOND);
  EXPECT_EQ (plan.window, 8U);
  attachment.staleness_bound = 0;
  EXPECT_EQ (gspan_plan_window (feed, &attachment), 4U);
  attachment.fixed_ahead = true;
  EXPECT_EQ (gspan_plan_window (feed, &attachment), 12U);
  attachment.fixed_ahead = false;
  attachment.ahead_batches = 0;
  gspan_plan_init (&plan, feed, &attachment, 101 * GSPAN_SECOND);
  EXPECT_EQ (plan.window, 0U);
}

TEST_F (Plan, StragglersWithTimeLeftAreDeferred)
{
  add_pull ();
  for (guint64 number = 0; number < 5; number++)
    add_group (number, 9, number != 1);
  EXPECT_EQ (cursor_of_batch (), "a:1:5:1");
}

/* A slow group at its last chance is waited for, and others at theirs go before fresher ones. */
TEST_F (Plan, StragglersAtTheirLastChanceAreWaitedFor)
{
  add_pull ();
  for (guint64 number = 0; number < 5; number++)
    add_group (number, number == 1 ? 8 : 9, number != 1);
  EXPECT_EQ (cursor_of_batch (), "none");
  add_group (1, 8, true);
  EXPECT_EQ (cursor_of_batch (), "a:1:4:");
}

TEST_F (Plan, GroupThatKeepsFailingIsNotWaitedFor)
{
  add_pull ();
  for (guint64 number = 0; number < 5; number++)
    add_group (number, number == 1 ? 8 : 9, number != 1);
  for (int i = 0; i < 4; i++)
    gspan_sample_fail (&gspan_feed_group (feed, 1, 1)->samples[0], true, 0);
  EXPECT_EQ (cursor_of_batch (), "a:1:5:1");
}

TEST_F (Plan, SecondRunOnlyFarBeyondSlowSamples)
{
  GspanSample sample{};

  sample.state = GSPAN_SAMPLE_GENERATING;
  sample.started = 100 * GSPAN_SECOND;
  add_pull ();
  gspan_plan_init (&plan, feed, &attachment, 105 * GSPAN_SECOND);
  EXPECT_FALSE (gspan_plan_hedges (&plan, feed, &sample, 105 * GSPAN_SECOND));
  EXPECT_TRUE (gspan_plan_hedges (&plan, feed, &sample, 107 * GSPAN_SECOND));
  sample.hedge = 5;
  EXPECT_FALSE (gspan_plan_hedges (&plan, feed, &sample, 107 * GSPAN_SECOND));
}

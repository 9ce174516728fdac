#include "test/node_world.h"

#include <cmath>
#include <set>

extern "C"
{
#include "duties/capacity.h"
#include "platform/wire.h"
}

/*
 * Orders of replicas: the planner against a platform in virtual time, then nodes that send its
 * orders.
 */

/* A service in two zones, of which the first is dearer, and a platform that starts its replicas. */
class CapacityPlan : public testing::Test
{
protected:
  struct Replica
  {
    std::string zone;
    bool spot;
    guint64 ready_at;
    guint64 drains_at;
    guint64 gone_at;
  };

  struct Sent
  {
    guint64 at;
    std::string zone;
    bool spot;
    guint before;
    guint count;
    std::string reason;
  };

  GspanConfig config{};
  GspanConfigService *service = nullptr;
  GspanCapacity capacity{};
  guint64 now = 1000 * GSPAN_SECOND;
  std::map<std::string, Replica> replicas; /* by id */
  std::vector<Sent> sent;
  std::map<std::string, guint64> raised_at; /* by zone */
  std::function<GspanCapacityResult (const GspanCapacityOrder &)> answer;
  std::function<bool (const GspanCapacityOrder &)> is_done; /* instead, though the answer is lost */
  bool demand_is_whole = true;
  double demand = 0;
  unsigned next_id = 1;

  CapacityPlan ()
  {
    gspan_config_init (&config);
    service = gspan_config_add_service (&config, "s");
    service->scaling.enabled = true;
    service->scaling.replicas_min = 1;
    service->scaling.replicas_max = 8;
    service->scaling.boot_us = 4 * GSPAN_SECOND;
    gspan_config_add_zone (service, "a", 1.0);
    gspan_config_add_zone (service, "b", 0.8);
    gspan_capacity_init (&capacity);
  }

  ~CapacityPlan () override
  {
    gspan_capacity_finish (&capacity);
    gspan_config_finish (&config);
  }

  void
  add (const std::string &zone, unsigned count, bool spot = false)
  {
    for (unsigned i = 0; i < count; i++)
      replicas["i-" + std::to_string (next_id++)] = { zone, spot, now, G_MAXUINT64, G_MAXUINT64 };
  }

  /* Replicas in ZONE that serve; booting ones too where ALL. */
  unsigned
  count (const std::string &zone, bool spot, bool all = false) const
  {
    unsigned found = 0;

    for (const auto &item : replicas)
      found += item.second.zone == zone && item.second.spot == spot
               && (all || item.second.ready_at <= now) && now < item.second.drains_at;
    return found;
  }

  unsigned
  serving () const
  {
    return count ("a", false) + count ("a", true) + count ("b", false) + count ("b", true);
  }

  void
  platform_set (const GspanCapacityOrder &order)
  {
    unsigned there = count (order.zone, order.spot, true);

    for (; there < order.count; there++)
      replicas["i-" + std::to_string (next_id++)]
          = { order.zone, order.spot, now + service->scaling.boot_us, G_MAXUINT64, G_MAXUINT64 };
    for (auto item = replicas.begin (); item != replicas.end () && there > order.count; ++item)
      if (item->second.zone == order.zone && item->second.spot == order.spot
          && now < item->second.drains_at)
        {
          item->second.drains_at = now;
          item->second.gone_at = now + GSPAN_SECOND;
          there--;
        }
  }

  void
  lose (const std::string &zone)
  {
    for (auto item = replicas.begin (); item != replicas.end (); ++item)
      if (item->second.zone == zone && item->second.ready_at <= now)
        {
          replicas.erase (item);
          return;
        }
  }

  /* All spot replicas of ZONE leave after NOTICE_US. */
  void
  reclaim (const std::string &zone, guint64 notice_us)
  {
    for (auto &item : replicas)
      if (item.second.zone == zone && item.second.spot)
        {
          item.second.drains_at = now;
          item.second.gone_at = now + notice_us;
        }
  }

  /* No order goes to and fro: a zone that was raised isn't lowered for 30 s. */
  void
  expect_no_raise_before (const GspanCapacityOrder &order)
  {
    auto raised = raised_at.find (order.zone);

    if (raised != raised_at.end ())
      {
        EXPECT_GE (now, raised->second + 30 * GSPAN_SECOND) << order.zone;
      }
    if (!answer)
      {
        EXPECT_GE (count (order.zone, !order.spot, true) + order.count,
                   service->scaling.replicas_min);
      }
  }

  void
  take (GspanCapacityOrder &order)
  {
    GspanCapacityResult result = answer ? answer (order) : GSPAN_CAPACITY_ACCEPTED;

    if (order.count < order.before)
      expect_no_raise_before (order);
    if (order.count > order.before
        && (result == GSPAN_CAPACITY_ACCEPTED || result == GSPAN_CAPACITY_UNKNOWN))
      raised_at[order.zone] = now;
    EXPECT_LE (order.count, service->scaling.replicas_max);
    sent.push_back ({ now, order.zone, order.spot, order.before, order.count, order.reason });
    gspan_capacity_note_sent (&capacity, &order, now);
    if (result == GSPAN_CAPACITY_ACCEPTED || (is_done && is_done (order)))
      platform_set (order);
    gspan_capacity_note_result (&capacity, &order, result, now);
  }

  void
  plan ()
  {
    GPtrArray *orders = g_ptr_array_new_with_free_func (gspan_capacity_order_free);
    std::vector<GspanCapacityReplica> seen;
    std::set<std::string> zones;
    GspanCapacityInput input{};

    for (const auto &item : replicas)
      if (item.second.ready_at <= now)
        seen.push_back ({ item.first.c_str (), item.second.zone.c_str (), 5, item.second.spot,
                          item.second.drains_at <= now });
    input.now = now;
    input.service = service;
    input.replicas = seen.data ();
    input.replica_count = (guint)seen.size ();
    input.demand = demand;
    input.demand_is_whole = demand_is_whole;
    gspan_capacity_plan (&capacity, &input, orders);
    for (guint i = 0; i < orders->len; i++)
      {
        auto *order = static_cast<GspanCapacityOrder *> (g_ptr_array_index (orders, i));

        EXPECT_TRUE (zones.insert (order->zone).second) << "two orders for a zone at once";
        take (*order);
      }
    g_ptr_array_unref (orders);
  }

  /* Each order keeps the bounds of its zone, together with what is there of the other kind. */
  void
  expect_bounds () const
  {
    for (const auto &zone : { "a", "b" })
      {
        unsigned all = count (zone, false, true) + count (zone, true, true);

        EXPECT_LE (all, service->scaling.replicas_max);
        EXPECT_LE (count (zone, true, true) * 2, all + 1);
      }
  }

  void
  run (guint64 us)
  {
    for (guint64 end = now + us; now < end; now += 250 * GSPAN_MS)
      {
        for (auto item = replicas.begin (); item != replicas.end ();)
          item = item->second.gone_at <= now ? replicas.erase (item) : std::next (item);
        plan ();
      }
  }

  size_t
  count_raises (guint64 since = 0) const
  {
    return (size_t)std::count_if (sent.begin (), sent.end (), [&] (const Sent &order) {
      return order.at >= since && order.count > order.before;
    });
  }

  /* Times of the orders that lower the count of ZONE. */
  std::vector<guint64>
  reductions (const std::string &zone) const
  {
    std::vector<guint64> times;

    for (const auto &order : sent)
      if (order.zone == zone && order.count < order.before)
        times.push_back (order.at);
    return times;
  }
};

TEST_F (CapacityPlan, NothingIsOrderedWhileWhatIsThereIsNeeded)
{
  add ("a", 3);
  add ("b", 3);
  demand = 22; /* 5.5 replicas at 0.8 of 5 slots */
  run (120 * GSPAN_SECOND);
  EXPECT_TRUE (sent.empty ());
}

/* The count is ordered at once and only once, though the replicas take seconds to come. */
TEST_F (CapacityPlan, PeakIsServedByOneOrderWhereItIsCheapest)
{
  add ("a", 1);
  add ("b", 1);
  demand = 4;
  run (5 * GSPAN_SECOND);
  demand = 20;
  run (5 * GSPAN_SECOND);
  ASSERT_EQ (sent.size (), 1U);
  EXPECT_EQ (sent[0].zone, "b");
  EXPECT_EQ (sent[0].count, 4U);
  EXPECT_EQ (sent[0].reason, "demand");
  EXPECT_EQ (serving (), 5U);
  run (20 * GSPAN_SECOND);
  EXPECT_EQ (sent.size (), 1U);
}

TEST_F (CapacityPlan, FullZoneIsFollowedByTheDearerOne)
{
  add ("a", 1);
  add ("b", 1);
  demand = 40; /* ten replicas */
  run (6 * GSPAN_SECOND);
  EXPECT_EQ (count ("b", false), 8U);
  EXPECT_EQ (count ("a", false), 2U);
  demand = 1000;
  run (10 * GSPAN_SECOND);
  EXPECT_EQ (serving (), 16U);
  expect_bounds ();
}

TEST_F (CapacityPlan, ZoneWithoutReplicasGetsTheLeast)
{
  service->scaling.replicas_min = 2;
  add ("b", 2);
  run (6 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false), 2U);
  ASSERT_EQ (sent.size (), 1U);
  EXPECT_EQ (sent[0].reason, "minimum");
  EXPECT_EQ (sent[0].count, 2U);
}

/* A loss is made up for at once by the count that was there, and not again while that boots. */
TEST_F (CapacityPlan, LostReplicaIsReplacedOnce)
{
  add ("a", 2);
  add ("b", 3);
  demand = 19;
  run (10 * GSPAN_SECOND);
  EXPECT_TRUE (sent.empty ());
  lose ("b");
  guint64 lost_at = now;
  run (5 * GSPAN_SECOND);
  ASSERT_EQ (sent.size (), 1U);
  EXPECT_EQ (sent[0].at, lost_at);
  EXPECT_EQ (sent[0].zone, "b");
  EXPECT_EQ (sent[0].count, 3U);
  EXPECT_EQ (sent[0].reason, "loss");
  EXPECT_EQ (serving (), 5U);
}

/* A loss beside replicas that boot isn't hidden by them. */
TEST_F (CapacityPlan, ReplicaThatIsLostWhileOthersStartIsReplacedToo)
{
  add ("a", 2);
  add ("b", 2);
  demand = 20;
  run (2 * GSPAN_SECOND);
  lose ("a");
  run (5 * GSPAN_SECOND);
  EXPECT_EQ (serving (), 5U);
}

/* A replica that comes as another one is lost doesn't stand for it. */
TEST_F (CapacityPlan, LossBesideAnArrivalIsSeen)
{
  add ("a", 2);
  add ("b", 2);
  demand = 24; /* six */
  run (4 * GSPAN_SECOND);
  ASSERT_EQ (sent.size (), 1U);
  replicas["i-6"].ready_at += 3 * GSPAN_SECOND; /* "i-5" comes now */
  lose ("b");
  run (250 * GSPAN_MS);
  ASSERT_EQ (sent.size (), 2U);
  run (6 * GSPAN_SECOND);
  EXPECT_EQ (serving (), 6U);
}

/* What was ordered and never came is ordered again by the same count. */
TEST_F (CapacityPlan, ReplicaThatNeverStartsIsOrderedAgain)
{
  add ("a", 1);
  add ("b", 1);
  demand = 12;
  plan ();
  for (auto item = replicas.begin (); item != replicas.end ();)
    item = item->second.ready_at > now ? replicas.erase (item) : std::next (item);
  run (6 * GSPAN_SECOND);
  EXPECT_EQ (sent.size (), 1U);
  run (5 * GSPAN_SECOND);
  ASSERT_EQ (sent.size (), 2U);
  EXPECT_EQ (sent[1].count, sent[0].count);
  EXPECT_EQ (serving (), 3U);
}

TEST_F (CapacityPlan, SpotReplicasAreHalfOfAZoneAtMost)
{
  service->scaling.spot_price = 0.2;
  add ("a", 1);
  add ("b", 1);
  demand = 30; /* eight replicas */
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (serving (), 8U);
  EXPECT_GE (count ("a", true) + count ("b", true), 3U);
  expect_bounds ();
}

/*
 * All spot replicas of a zone drain at once: others are there before they are gone, and none of
 * them is asked for at the same place, where they would be reclaimed again.
 */
TEST_F (CapacityPlan, ReclaimedReplicasAreReplacedBeforeTheyAreGone)
{
  service->scaling.spot_price = 0.2;
  add ("a", 2);
  add ("b", 3);
  add ("b", 3, true);
  demand = 31;
  run (10 * GSPAN_SECOND);
  EXPECT_TRUE (sent.empty ());
  reclaim ("b", 6 * GSPAN_SECOND);
  guint64 since = now;
  run (5 * GSPAN_SECOND);
  EXPECT_GE (serving (), 8U);
  for (const auto &order : sent)
    {
      EXPECT_FALSE (order.zone == "b" && order.spot && order.count > order.before);
      EXPECT_LE (order.at, since + 500 * GSPAN_MS);
      EXPECT_EQ (order.reason, "reclaim");
    }
  expect_bounds ();
}

/* The platform counts reclaimed replicas towards the most that a zone may have. */
TEST_F (CapacityPlan, ReclaimedReplicasOfAFullZoneAreReplacedThere)
{
  service->scaling.spot_price = 0.2;
  service->scaling.replicas_max = 4;
  add ("a", 4);
  add ("b", 2);
  add ("b", 2, true);
  demand = 32;
  run (5 * GSPAN_SECOND);
  reclaim ("b", 8 * GSPAN_SECOND);
  run (7 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false) + count ("b", false), 8U);
  ASSERT_GE (sent.size (), 2U);
  EXPECT_TRUE (sent[0].spot);
  EXPECT_EQ (sent[0].count, 0U);
}

/* A refusal that stays is answered by another zone, and asked again after 5, 10, 20, 40 s. */
TEST_F (CapacityPlan, RefusedZoneIsLeftForAnotherAndAskedRarely)
{
  add ("a", 1);
  add ("b", 1);
  answer = [] (const GspanCapacityOrder &order) {
    return strcmp (order.zone, "b") == 0 ? GSPAN_CAPACITY_NONE_THERE : GSPAN_CAPACITY_ACCEPTED;
  };
  demand = 20;
  run (6 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false), 4U);
  EXPECT_EQ (serving (), 5U);
  demand = 1000; /* more than the other zone may have */
  run (120 * GSPAN_SECOND);
  std::vector<guint64> asked;
  for (const auto &order : sent)
    if (order.zone == "b")
      asked.push_back (order.at);
  ASSERT_GE (asked.size (), 5U);
  EXPECT_LE (asked.size (), 6U);
  for (size_t i = 1; i < asked.size (); i++)
    EXPECT_GE (asked[i] - asked[i - 1], std::min<guint64> (5U << (i - 1), 40) * GSPAN_SECOND);
  EXPECT_EQ (serving (), 9U);
}

/* The same order goes out until it is answered, whether or not it was done. */
TEST_F (CapacityPlan, OrderWithoutAnswerIsSentAgain)
{
  for (bool done : { false, true })
    {
      gspan_capacity_finish (&capacity);
      gspan_capacity_init (&capacity);
      replicas.clear ();
      sent.clear ();
      add ("a", 1);
      add ("b", 1);
      demand = 20;
      answer = [] (const GspanCapacityOrder &) { return GSPAN_CAPACITY_UNKNOWN; };
      is_done = [done] (const GspanCapacityOrder &) { return done; };
      run (3 * GSPAN_SECOND);
      answer = nullptr;
      run (3 * GSPAN_SECOND);
      ASSERT_GE (sent.size (), 3U);
      EXPECT_LE (sent.size (), 5U);
      for (const auto &order : sent)
        {
          EXPECT_EQ (order.zone, "b");
          EXPECT_EQ (order.count, 4U);
        }
      run (4 * GSPAN_SECOND);
      EXPECT_EQ (serving (), 5U);
    }
}

/* A reduction whose answer is lost is taken back by the count before, where demand rises. */
TEST_F (CapacityPlan, ReductionWithoutAnswerGivesWayToARaise)
{
  add ("a", 1);
  add ("b", 4);
  demand = 4;
  answer = [] (const GspanCapacityOrder &) { return GSPAN_CAPACITY_UNKNOWN; };
  run (60 * GSPAN_SECOND);
  ASSERT_FALSE (sent.empty ());
  EXPECT_LT (sent.back ().count, 4U);
  answer = nullptr;
  demand = 20;
  plan ();
  EXPECT_EQ (sent.back ().zone, "b");
  EXPECT_EQ (sent.back ().count, 4U);
  demand = 0;
  run (25 * GSPAN_SECOND); /* it is a raise: nothing is given back in the zone after it */
  EXPECT_EQ (sent.back ().zone == "b" ? sent.back ().count : 4U, 4U);
}

TEST_F (CapacityPlan, TooManyCallsChangeNothing)
{
  add ("a", 1);
  add ("b", 1);
  demand = 20;
  answer = [] (const GspanCapacityOrder &) { return GSPAN_CAPACITY_NOT_TAKEN; };
  plan ();
  answer = nullptr;
  plan ();
  ASSERT_EQ (sent.size (), 2U);
  EXPECT_EQ (sent[1].before, 1U);
  EXPECT_EQ (sent[1].count, 4U);
}

/* One replica of a zone in 10 s, the dearer zone first, and none below the least. */
TEST_F (CapacityPlan, UnneededReplicasAreGivenBackSlowly)
{
  add ("a", 4);
  add ("b", 4);
  run (29 * GSPAN_SECOND);
  EXPECT_TRUE (sent.empty ()) << "the peak isn't known yet";
  run (90 * GSPAN_SECOND);
  for (const auto &zone : { "a", "b" })
    {
      std::vector<guint64> times = reductions (zone);

      EXPECT_EQ (times.size (), 3U);
      for (size_t i = 1; i < times.size (); i++)
        EXPECT_GE (times[i] - times[i - 1], 10 * GSPAN_SECOND);
    }
  for (const auto &order : sent)
    EXPECT_EQ (order.before, order.count + 1);
  EXPECT_EQ (serving (), 2U);
  EXPECT_EQ (count_raises (), 0U);
}

/* What was there at first stays while the last 60 s needed it; what was added, for 30 s. */
TEST_F (CapacityPlan, FirstReplicasStayForAMinuteAfterTheyWereNeeded)
{
  add ("a", 2);
  add ("b", 2);
  demand = 24; /* six */
  run (40 * GSPAN_SECOND);
  EXPECT_EQ (serving (), 6U);
  demand = 0;
  run (35 * GSPAN_SECOND);
  EXPECT_LT (serving (), 6U);
  run (20 * GSPAN_SECOND);
  EXPECT_EQ (serving (), 4U);
  run (60 * GSPAN_SECOND);
  EXPECT_EQ (serving (), 2U);
}

/* Demand that comes and goes every few seconds raises once, and lowers nothing in between. */
TEST_F (CapacityPlan, DemandThatComesAndGoesDoesntMoveOrdersToAndFro)
{
  add ("a", 1);
  add ("b", 1);
  for (unsigned i = 0; i < 12; i++)
    {
      demand = i % 2 == 0 ? 20 : 2;
      run (10 * GSPAN_SECOND);
    }
  EXPECT_EQ (sent.size (), 1U);
}

/* In a zone that was just raised nothing is given back for 30 s. */
TEST_F (CapacityPlan, RaiseBlocksReductionsThere)
{
  add ("a", 1);
  add ("b", 1);
  run (40 * GSPAN_SECOND);
  demand = 20;
  run (500 * GSPAN_MS);
  demand = 0;
  ASSERT_EQ (sent.size (), 1U);
  run (20 * GSPAN_SECOND);
  lose ("b"); /* the peak needs it still; the raise outlasts the peak */
  run (29 * GSPAN_SECOND);
  ASSERT_EQ (sent.size (), 2U);
  EXPECT_EQ (sent[1].reason, "loss");
  run (5 * GSPAN_SECOND);
  EXPECT_EQ (reductions ("b").size (), 1U);
}

TEST_F (CapacityPlan, NothingIsGivenBackWhileSomeNodeHasntToldItsDemand)
{
  add ("a", 4);
  add ("b", 4);
  demand_is_whole = false;
  run (120 * GSPAN_SECOND);
  EXPECT_TRUE (sent.empty ());
  demand_is_whole = true;
  run (20 * GSPAN_SECOND);
  EXPECT_FALSE (sent.empty ());
}

/* A holder that knows what starts doesn't order below it, and gives nothing back at first. */
TEST_F (CapacityPlan, NextHolderCountsWhatTheOneBeforeHasOrdered)
{
  add ("a", 1);
  add ("b", 1);
  demand = 20;
  run (GSPAN_SECOND);
  ASSERT_EQ (sent.size (), 1U);
  GspanCapacity next{};
  gspan_capacity_init (&next);
  gspan_capacity_foreach_starting (
      &capacity, now,
      [] (const char *of, const char *zone, bool spot, guint wanted, guint64 until, void *user) {
        gspan_capacity_note_told (static_cast<GspanCapacity *> (user), of, zone, spot, wanted,
                                  until);
      },
      &next);
  gspan_capacity_finish (&capacity);
  capacity = next;
  demand = 16;
  run (28 * GSPAN_SECOND);
  EXPECT_EQ (sent.size (), 1U);
  EXPECT_EQ (serving (), 5U);
}

/* Whatever happens, counts keep their bounds and what is needed comes once there is calm. */
RC_GTEST_FIXTURE_PROP (CapacityPlan, BoundsHoldUnderAnyFaults, ())
{
  gspan_capacity_finish (&capacity);
  gspan_capacity_init (&capacity);
  replicas.clear ();
  sent.clear ();
  raised_at.clear ();
  service->scaling.spot_price = 0.2;
  add ("a", 2);
  add ("b", 2);
  for (unsigned step = 0; step < 40; step++)
    {
      unsigned what = *rc::gen::inRange (0U, 8U);
      unsigned fate = *rc::gen::inRange (0U, 8U);

      demand = what == 0 ? *rc::gen::inRange (0, 50) : demand;
      if (what == 1)
        lose (fate % 2 == 0 ? "a" : "b");
      if (what == 2)
        reclaim (fate % 2 == 0 ? "a" : "b", 5 * GSPAN_SECOND);
      answer = [fate] (const GspanCapacityOrder &) {
        return fate < 4 ? (GspanCapacityResult)fate : GSPAN_CAPACITY_ACCEPTED;
      };
      is_done = [fate] (const GspanCapacityOrder &order) {
        return fate == GSPAN_CAPACITY_UNKNOWN && order.count % 2 == 0;
      };
      run (2 * GSPAN_SECOND);
      for (const auto &zone : { "a", "b" })
        RC_ASSERT (count (zone, false, true) + count (zone, true, true)
                   <= service->scaling.replicas_max);
      RC_ASSERT (!HasFailure ()); /* of what each order is checked for */
    }
  answer = nullptr;
  is_done = nullptr;
  run (90 * GSPAN_SECOND);
  RC_ASSERT (serving () >= std::min<double> (ceil (demand / 4), 16));
  for (const auto &order : sent)
    RC_ASSERT (order.count <= service->scaling.replicas_max);
}

TEST (CapacityWire, ScalingIsReadWithItsZones)
{
  json_t *spec = json_loads (
      "{\"version\":1,\"services\":[{\"name\":\"huvo11a\",\"scaling\":{\"min\":1,\"max\":24,"
      "\"bootTimeS\":4.5,\"spotPrice\":0.18,\"zonePrices\":{\"sfax-medina\":1.0,"
      "\"sfax-sakiet\":0.8}}},{\"name\":\"plain\"},{\"name\":\"odd\",\"scaling\":{\"min\":5,"
      "\"max\":2,\"zonePrices\":{\"a\":1}}},{\"name\":\"none\",\"scaling\":7}]}",
      0, nullptr);
  GspanConfig config{};
  GspanError error{};

  gspan_config_init (&config);
  ASSERT_TRUE (gspan_wire_read_config (spec, &config, &error));
  const GspanConfigScaling &scaling = gspan_config_service (&config, "huvo11a")->scaling;
  EXPECT_TRUE (scaling.enabled);
  EXPECT_EQ (scaling.replicas_min, 1U);
  EXPECT_EQ (scaling.replicas_max, 24U);
  EXPECT_EQ (scaling.boot_us, 4500 * GSPAN_MS);
  EXPECT_DOUBLE_EQ (scaling.spot_price, 0.18);
  ASSERT_EQ (scaling.zones->len, 2U);
  auto *zone = static_cast<GspanConfigZone *> (g_ptr_array_index (scaling.zones, 1));
  EXPECT_STREQ (zone->name, "sfax-sakiet");
  EXPECT_DOUBLE_EQ (zone->price, 0.8);
  for (const char *name : { "plain", "odd", "none" })
    EXPECT_FALSE (gspan_config_service (&config, name)->scaling.enabled) << name;
  gspan_config_finish (&config);
  json_decref (spec);
}

/* A copy goes to other nodes (catalog/feed.h): they have to know what is reclaimed, too. */
TEST (CapacityWire, SpotEntriesKeepTheirWordsWhenTheyAreCopied)
{
  std::string text = replica_spec ("desk", 1, 0, "draining");
  text.insert (text.size () - 1, ",\"spot\":true,\"leaves_ms\":1700000005000");
  json_t *spec = json_loads (text.c_str (), 0, nullptr);
  json_t *copy = gspan_wire_copy_replica (spec);
  GspanReplica *replica = gspan_replica_new ("d1");
  GspanError error{};

  ASSERT_TRUE (gspan_wire_read_replica (copy, replica, &error)) << error.message;
  EXPECT_TRUE (replica->spot);
  EXPECT_TRUE (replica->draining);
  EXPECT_EQ (replica->leaves_ms, 1700000005000U);
  gspan_replica_unref (replica);
  json_decref (copy);
  json_decref (spec);
}

TEST (CapacityWire, OrderNamesSpotOnlyWhereItIsMeant)
{
  GBytes *plain = gspan_wire_write_capacity ("huvo11a", "sfax-medina", 6, false);
  GBytes *spot = gspan_wire_write_capacity ("huvo11a", "sfax-medina", 0, true);
  auto text = [] (GBytes *bytes) {
    GspanStr str = gspan_str_from_bytes (bytes);
    return std::string (str.data, str.len);
  };

  EXPECT_EQ (text (plain), "{\"service\":\"huvo11a\",\"zone\":\"sfax-medina\",\"desiredCount\":6}");
  EXPECT_EQ (text (spot),
             "{\"service\":\"huvo11a\",\"zone\":\"sfax-medina\",\"desiredCount\":0,\"spot\":true}");
  g_bytes_unref (plain);
  g_bytes_unref (spot);
}

/* Nodes, of which one holds the lease, and a platform that starts and ends replicas. */
class Capacity : public NodeTest
{
protected:
  struct Order
  {
    guint64 at;
    std::string holder;
    guint64 fence;
    std::string zone;
    bool spot;
    unsigned count;
    int status;
  };

  guint64 boot_us = 4 * GSPAN_SECOND;
  std::vector<Order> orders;
  std::function<int (const Order &)> status_of; /* 0 is no answer */
  bool done_without_answer = false;
  std::map<std::string, std::pair<std::string, bool>> replicas; /* id to zone and kind */
  std::set<std::string> booting;
  unsigned next_replica = 100;
  guint64 next_request = 1;
  unsigned open_target = 0; /* desk requests that callers keep open */

  static std::string
  entry (unsigned number, const std::string &zone, bool spot, const char *state = "ready")
  {
    std::string text = replica_spec ("desk", number, 0, state);

    text.replace (text.find ("bratislava"), strlen ("bratislava"), zone);
    text.insert (text.size () - 1, spot ? ",\"spot\":true" : ",\"spot\":false");
    return text;
  }

  void
  put_replica (const std::string &zone, bool spot)
  {
    unsigned number = next_replica++;
    std::string id = "r" + std::to_string (number);

    replicas[id] = { zone, spot };
    world.put ("servers", id, entry (number, zone, spot).c_str ());
  }

  void
  configure (const std::string &scaling)
  {
    std::string spec = config_spec (4);

    if (!scaling.empty ())
      spec.replace (spec.find ("{\"name\":\"desk\"}"), strlen ("{\"name\":\"desk\"}"),
                    "{\"name\":\"desk\",\"scaling\":" + scaling + "}");
    world.put ("config", "main", spec.c_str ());
  }

  /* Two replicas a zone. */
  void
  start (unsigned nodes = 3, const std::string &scaling = two_zones)
  {
    world.duties_address = "10.200.0.6:80";
    configure (scaling);
    for (const char *zone : { "a", "b" })
      for (unsigned i = 0; i < 2; i++)
        put_replica (zone, false);
    for (unsigned i = 0; i < nodes; i++)
      world.add ("vm-" + std::to_string (i + 1));
    run (8 * GSPAN_SECOND);
  }

  static const std::string two_zones;

  unsigned
  count (const std::string &zone, bool spot) const
  {
    unsigned found = 0;

    for (const auto &item : replicas)
      found += item.second == std::pair<std::string, bool> (zone, spot);
    return found;
  }

  void
  platform_set (const Order &order)
  {
    unsigned there = count (order.zone, order.spot);

    for (; there < order.count; there++)
      {
        unsigned number = next_replica++;
        std::string id = "r" + std::to_string (number);
        std::string spec = entry (number, order.zone, order.spot);

        replicas[id] = { order.zone, order.spot };
        world.scheduled.push_back ({ world.now + boot_us, [this, id, spec] {
                                      if (replicas.count (id) != 0)
                                        world.put ("servers", id, spec.c_str ());
                                    } });
      }
    for (auto item = replicas.begin (); item != replicas.end () && there > order.count;)
      if (item->second == std::pair<std::string, bool> (order.zone, order.spot))
        {
          std::string id = item->first;
          item = replicas.erase (item);
          world.remove ("servers", id);
          there--;
        }
      else
        ++item;
  }

  void
  take_order (Rig &rig, const Exchange &exchange)
  {
    json_t *body = json_loads (exchange.body.c_str (), 0, nullptr);
    Order order{};

    EXPECT_STREQ (json_string_value (json_object_get (body, "service")), "desk");
    order.at = world.now;
    order.holder = exchange.header ("X-Duty-Holder");
    order.fence = std::stoull (exchange.header ("X-Fence-Token"));
    order.zone = json_string_value (json_object_get (body, "zone"));
    order.spot = json_is_true (json_object_get (body, "spot"));
    order.count = (unsigned)json_integer_value (json_object_get (body, "desiredCount"));
    order.status = status_of ? status_of (order) : 200;
    json_decref (body);
    orders.push_back (order);
    if (order.status == 200 || (order.status == 0 && done_without_answer))
      platform_set (order);
    rig.http_done (exchange, order.status != 0 ? GSPAN_HTTP_COMPLETE : GSPAN_HTTP_LOST,
                   order.status, {}, "");
  }

  /* The platform answers at once, replicas after 300 ms. */
  void
  answer_all ()
  {
    for (auto &rig : world.rigs)
      {
        auto exchanges = rig->exchanges;

        for (const auto &exchange : exchanges)
          if (rig->paused)
            continue;
          else if (exchange.url.find ("/scale") != std::string::npos)
            take_order (*rig, exchange);
          else if (exchange.url.find ("/desk/") != std::string::npos
                   && world.now >= exchange.sent_at_us + 300 * GSPAN_MS)
            rig->http_done (exchange, GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
      }
  }

  /* Callers keep OPEN_TARGET requests open, at all nodes that don't stand still. */
  void
  request_more ()
  {
    std::vector<Rig *> used;
    size_t open = 0;

    for (auto &rig : world.rigs)
      if (!rig->paused)
        {
          used.push_back (rig.get ());
          open += g_hash_table_size (rig->node.gateway.calls);
        }
    for (; open < open_target; open++)
      {
        std::string id = std::to_string (next_request);

        used[next_request % used.size ()]->request (
            next_request, "POST", "/desk/x",
            { "Host: a.example", "X-Attempt-Id: q" + id, "X-Deadline-Ms: 800" }, "hello " + id);
        next_request++;
      }
  }

  void
  run (guint64 us)
  {
    for (guint64 end = world.now + us; world.now < end;)
      {
        answer_all ();
        request_more ();
        world.run (10 * GSPAN_MS);
      }
  }

  /* Fences rise with each holder, and none goes on after the next has begun. */
  void
  expect_one_holder () const
  {
    std::map<guint64, std::string> holders;
    guint64 fence = 0;

    for (const auto &order : orders)
      {
        EXPECT_GE (order.fence, fence);
        fence = order.fence;
        EXPECT_EQ (holders.emplace (order.fence, order.holder).first->second, order.holder);
      }
  }

  Rig &
  holder ()
  {
    for (auto &rig : world.rigs)
      if (!rig->paused && rig->node.weights.lease.held)
        return *rig;
    ADD_FAILURE () << "nobody holds the lease";
    return *world.rigs[0];
  }
};

const std::string Capacity::two_zones
    = "{\"min\":1,\"max\":6,\"bootTimeS\":4.0,\"zonePrices\":{\"a\":1.0,\"b\":0.8}}";

/* Demand at all nodes together is what counts: no one of them needs more than is there. */
TEST_F (Capacity, DemandOfAllNodesIsServed)
{
  world.orders_capacity = true;
  start ();
  EXPECT_TRUE (orders.empty ());
  open_target = 18; /* six replicas at 0.8 of 4 slots */
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false) + count ("b", false), 6U);
  ASSERT_FALSE (orders.empty ());
  for (const auto &order : orders)
    EXPECT_EQ (order.zone, "b");
  EXPECT_TRUE (holder ().logged ("event=capacity-order service=desk zone=b spot=0 before=2"));
  EXPECT_TRUE (holder ().logged ("reason=demand"));
  expect_one_holder ();
}

TEST_F (Capacity, NothingIsSentWithoutTheSetting)
{
  start ();
  open_target = 30;
  run (20 * GSPAN_SECOND);
  EXPECT_TRUE (orders.empty ());
  EXPECT_EQ (world.last_datagram.count ("demand"), 0U);
  EXPECT_EQ (world.last_datagram.count ("capacity"), 0U);
}

TEST_F (Capacity, NothingIsSentForServicesWithoutScaling)
{
  world.orders_capacity = true;
  start (3, "");
  open_target = 30;
  run (20 * GSPAN_SECOND);
  EXPECT_TRUE (orders.empty ());
  EXPECT_EQ (world.last_datagram.count ("demand"), 0U);
}

TEST_F (Capacity, LostReplicaIsReplacedByTheSameCount)
{
  world.orders_capacity = true;
  start ();
  open_target = 12; /* all four */
  run (5 * GSPAN_SECOND);
  EXPECT_TRUE (orders.empty ());
  std::string lost = "r100";
  ASSERT_EQ (replicas[lost].first, "a");
  replicas.erase (lost);
  world.remove ("servers", lost);
  guint64 since = world.now;
  run (8 * GSPAN_SECOND);
  ASSERT_EQ (orders.size (), 1U);
  EXPECT_LE (orders[0].at, since + GSPAN_SECOND);
  EXPECT_EQ (count ("a", false) + count ("b", false), 4U);
}

/* What is said to be reclaimed is replaced while it still serves. */
TEST_F (Capacity, ReclaimOfAZoneIsAnsweredWithinItsNotice)
{
  world.orders_capacity = true;
  start (3, "{\"min\":1,\"max\":6,\"bootTimeS\":4.0,\"spotPrice\":0.2,\"zonePrices\":{\"a\":1.0,"
            "\"b\":0.8}}");
  open_target = 18;
  run (10 * GSPAN_SECOND);
  unsigned spots = count ("b", true);
  ASSERT_GE (spots, 2U);
  size_t before = orders.size ();
  for (auto item = replicas.begin (); item != replicas.end ();)
    if (item->second == std::pair<std::string, bool> ("b", true))
      {
        unsigned number = (unsigned)std::stoul (item->first.substr (1));
        std::string spec = entry (number, "b", true, "draining");
        spec.insert (spec.size () - 1, ",\"leaves_ms\":6000");
        world.put ("servers", item->first, spec.c_str ());
        item = replicas.erase (item);
      }
    else
      ++item;
  guint64 since = world.now;
  run (6 * GSPAN_SECOND);
  ASSERT_GT (orders.size (), before);
  for (size_t i = before; i < orders.size (); i++)
    {
      EXPECT_FALSE (orders[i].zone == "b" && orders[i].spot);
      EXPECT_LE (orders[i].at, since + 2 * GSPAN_SECOND);
    }
  EXPECT_GE (count ("a", false) + count ("a", true) + count ("b", false), 6U);
}

TEST_F (Capacity, RefusalThatStaysIsAnsweredByAnotherZone)
{
  world.orders_capacity = true;
  status_of = [] (const Order &order) { return order.zone == "b" ? 409 : 200; };
  start ();
  open_target = 18;
  run (14 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false), 4U);
  EXPECT_EQ (count ("b", false), 2U);
  size_t refused = (size_t)std::count_if (orders.begin (), orders.end (),
                                          [] (const Order &order) { return order.status == 409; });
  EXPECT_LE (refused, 2U);
  EXPECT_GE (refused, 1U);
}

/* Calls wait after 429, and the order isn't lost by it. */
TEST_F (Capacity, TooManyCallsAreFollowedByAPause)
{
  world.orders_capacity = true;
  guint64 until = 0;
  status_of = [&] (const Order &) {
    until = until == 0 ? world.now + 3 * GSPAN_SECOND : until;
    return world.now < until ? 429 : 200;
  };
  start ();
  open_target = 18;
  run (12 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false) + count ("b", false), 6U);
  for (size_t i = 1; i < orders.size () && orders[i - 1].status == 429; i++)
    EXPECT_GE (orders[i].at - orders[i - 1].at, GSPAN_SECOND);
}

TEST_F (Capacity, LostAnswerBringsTheSameOrderAgain)
{
  for (bool done : { false, true })
    {
      world.clear ();
      orders.clear ();
      replicas.clear ();
      open_target = 0;
      status_of = nullptr;
      done_without_answer = done;
      world.orders_capacity = true;
      start ();
      status_of = [this] (const Order &) { return orders.size () < 3 ? 0 : 200; };
      open_target = 18;
      run (12 * GSPAN_SECOND);
      ASSERT_GE (orders.size (), 4U);
      for (size_t i = 1; i < orders.size (); i++)
        {
          EXPECT_GE (orders[i].count, orders[i - 1].count);
          EXPECT_EQ (orders[i].zone, orders[0].zone);
        }
      EXPECT_EQ (count ("a", false) + count ("b", false), 6U);
    }
}

/*
 * The holder stands still while what it has ordered starts: the next one neither orders it twice
 * nor lowers it, and the first one sends nothing once it is back.
 */
TEST_F (Capacity, NextHolderGoesOnWithWhatStarts)
{
  world.orders_capacity = true;
  boot_us = 15 * GSPAN_SECOND; /* longer than it takes to be followed by another */
  start (4, "{\"min\":1,\"max\":6,\"bootTimeS\":15.0,\"zonePrices\":{\"a\":1.0,\"b\":0.8}}");
  open_target = 18;
  run (2500 * GSPAN_MS);
  ASSERT_FALSE (orders.empty ());
  unsigned ordered = count ("a", false) + count ("b", false);
  Rig &first = holder ();
  std::string name = first.name;
  size_t before = orders.size ();
  first.paused = true;
  open_target = 15; /* one less than what was ordered */
  run (12 * GSPAN_SECOND);
  EXPECT_NE (&holder (), &first);
  first.paused = false;
  run (10 * GSPAN_SECOND);
  for (size_t i = before; i < orders.size (); i++)
    {
      EXPECT_NE (orders[i].holder, name);
      EXPECT_GE (orders[i].count, orders[before - 1].count) << i;
    }
  EXPECT_GE (count ("a", false) + count ("b", false), ordered);
  expect_one_holder ();
}

TEST_F (Capacity, NextHolderServesDemand)
{
  world.orders_capacity = true;
  start (4);
  holder ().paused = true;
  run (3 * GSPAN_SECOND);
  open_target = 18;
  run (12 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false) + count ("b", false), 6U);
  expect_one_holder ();
}

TEST_F (Capacity, UnneededReplicasAreGivenBackSlowly)
{
  world.orders_capacity = true;
  start ();
  EXPECT_EQ (count ("a", false) + count ("b", false), 4U);
  run (80 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false), 1U);
  EXPECT_EQ (count ("b", false), 1U);
  EXPECT_EQ (orders.size (), 2U);
}

/* Of an unheard node's callers nothing is known: what they use may not be given back. */
TEST_F (Capacity, NothingIsGivenBackWhileANodeCannotTell)
{
  world.orders_capacity = true;
  start ();
  const Rig *mute = nullptr;
  for (auto &rig : world.rigs)
    if (!rig->node.weights.lease.held)
      mute = rig.get ();
  world.loses_kind = [mute] (const Rig &from, const std::string &kind) {
    return &from == mute && kind == "demand";
  };
  run (60 * GSPAN_SECOND);
  EXPECT_TRUE (orders.empty ());
}

/* A message that the network cuts into pieces is lost more often. */
TEST_F (Capacity, DemandOfManyServicesGoesInSmallDatagrams)
{
  std::string spec = config_spec (4);
  std::string more;
  size_t longest = 0;
  std::set<std::string> told;

  world.orders_capacity = true;
  for (int i = 0; i < 60; i++)
    more += ",{\"name\":\"service-with-a-long-name-" + std::to_string (i)
            + "\",\"scaling\":{\"min\":0,\"max\":2,\"zonePrices\":{\"a\":1}}}";
  spec.insert (spec.find ("{\"name\":\"desk\"}") + strlen ("{\"name\":\"desk\"}"), more);
  start (2);
  spec.replace (spec.find ("\"version\":4"), 11, "\"version\":5");
  world.put ("config", "main", spec.c_str ());
  world.loses_kind = [&] (const Rig &, const std::string &kind) {
    json_t *message = json_loads (world.last_datagram[kind].c_str (), 0, nullptr);
    const char *name;
    json_t *value;

    if (kind == "demand")
      longest = std::max (longest, world.last_datagram[kind].size ());
    json_object_foreach (json_object_get (message, "services"), name, value) told.insert (name);
    json_decref (message);
    return false;
  };
  run (4 * GSPAN_SECOND);
  EXPECT_EQ (told.size (), 61U); /* desk has been told before the configuration changed */
  EXPECT_LE (longest, 1200U);
}

/* Nobody but a node that is known, at its own address, can tell of demand. */
TEST_F (Capacity, DemandOfStrangersIsIgnored)
{
  world.orders_capacity = true;
  start ();
  Rig &rig = holder ();
  std::string other = rig.name == "vm-1" ? "vm-2" : "vm-1";
  for (int i = 0; i < 20; i++)
    {
      rig.datagram ("{\"kind\":\"demand\",\"format\":1,\"from\":\"vm-9\",\"udp\":\"127.0.0.1:9\","
                    "\"services\":{\"desk\":500}}");
      rig.datagram ("{\"kind\":\"demand\",\"format\":1,\"from\":\"" + other
                    + "\",\"udp\":\"127.0.0.1:99\",\"services\":{\"desk\":500}}");
      rig.datagram ("{\"kind\":\"demand\",\"format\":1,\"services\":[1,{}]}");
      rig.datagram ("{\"kind\":\"capacity\",\"format\":1,\"from\":7,\"counts\":{\"a\":[]}}");
      run (100 * GSPAN_MS);
    }
  EXPECT_TRUE (orders.empty ());
}

/* Without the store the lease ends, and with it the orders. */
TEST_F (Capacity, StoreAwayHoldsOrdersBack)
{
  world.orders_capacity = true;
  start ();
  world.fault = StoreFault::Unreachable;
  run (4 * GSPAN_SECOND);
  size_t before = orders.size ();
  open_target = 18;
  run (10 * GSPAN_SECOND);
  EXPECT_EQ (orders.size (), before);
  world.fault = StoreFault::None;
  run (14 * GSPAN_SECOND);
  EXPECT_EQ (count ("a", false) + count ("b", false), 6U);
  expect_one_holder ();
}

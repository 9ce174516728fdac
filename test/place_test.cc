#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "catalog/pace.h"
#include "catalog/pick.h"
#include "common/clock.h"
#include "gateway/hedge.h"
}

/* Decisions on placing, repeating and giving up, replayed against the loads that they answer. */

class Place : public testing::Test
{
protected:
  GHashTable *replicas
      = g_hash_table_new_full (g_str_hash, g_str_equal, nullptr, [] (gpointer item) {
          gspan_replica_unref (static_cast<GspanReplica *> (item));
        });
  guint64 now = 1000 * GSPAN_SECOND;
  GspanPickQuery query{};

  Place ()
  {
    query.service = "llm";
    query.now = now;
    query.zone = "z1";
  }

  ~Place () override
  {
    g_hash_table_unref (replicas);
  }

  GspanReplica *
  add (const char *id, guint open, const char *zone = "z1")
  {
    GspanReplica *replica = gspan_replica_new (id);

    replica->service = g_strdup ("llm");
    replica->zone = g_strdup (zone);
    replica->slots = 4;
    replica->open = open;
    g_hash_table_insert (replicas, replica->id, replica);
    return replica;
  }

  std::string
  pick ()
  {
    GspanReplica *replica = gspan_pick_replica (replicas, &query);

    return replica != nullptr ? replica->id : "";
  }
};

TEST_F (Place, LeastLoadedFirstThenTheNearerOne)
{
  add ("a", 2);
  add ("b", 1, "z2");
  EXPECT_EQ (pick (), "b");
  add ("c", 1);
  EXPECT_EQ (pick (), "c");
}

/* Load: one replica works four times slower than the others, requests come one after the other. */
TEST_F (Place, SlowReplicaGetsItsShareOnly)
{
  std::map<std::string, unsigned> got;
  std::vector<std::pair<guint64, GspanReplica *>> ends;

  add ("slow", 0);
  add ("quick1", 0);
  add ("quick2", 0);
  for (guint64 t = 0; t < 4000; t += 4)
    {
      for (size_t i = 0; i < ends.size (); i++)
        if (ends[i].first <= t)
          {
            ends[i].second->open--;
            ends.erase (ends.begin () + (long)i--);
          }
      query.draw = (guint32)t * 7919;
      GspanReplica *replica = gspan_pick_replica (replicas, &query);
      got[replica->id]++;
      replica->open++;
      ends.push_back ({ t + (std::string (replica->id) == "slow" ? 100 : 25), replica });
    }
  EXPECT_LT (got["slow"] * 2, got["quick1"]);
  EXPECT_LT (got["slow"] * 2, got["quick2"]);
}

/* Load: many nodes, each without requests of its own yet; they must not all take the same. */
TEST_F (Place, EqualsAreDrawnByLot)
{
  std::map<std::string, unsigned> got;

  add ("a", 0);
  add ("b", 0);
  add ("c", 0);
  for (guint32 i = 0; i < 3000; i++)
    {
      query.draw = i * 2654435761U;
      got[pick ()]++;
    }
  for (auto &item : got)
    EXPECT_GT (item.second, 500U) << item.first;
}

TEST_F (Place, ReplicaThatHasThePromptGoesFirstWhileItHasRoom)
{
  add ("a", 3);
  add ("b", 0);
  query.preferred = "a";
  query.open_max = 4;
  EXPECT_EQ (pick (), "a");
  query.open_max = 3;
  EXPECT_EQ (pick (), "b");
}

TEST_F (Place, LeavingAvoidedTriedFullAndOutdatedOnesArePassedOver)
{
  add ("draining", 0)->draining = true;
  add ("other", 0)->misdirected = true;
  GspanReplica *failed = add ("failed", 0);
  gspan_replica_failed (failed, now);
  EXPECT_EQ (pick (), "");
  EXPECT_GT (gspan_pick_retry_at (replicas, "llm", now), now);
  query.last_resort = true;
  EXPECT_EQ (pick (), "failed");
  query.last_resort = false;
  GspanReplica *good = add ("good", 4);
  gspan_replica_set_weights (good, "m0", 3);
  query.open_max = 4;
  EXPECT_EQ (pick (), "");
  query.open_max = 5;
  query.model = "m0";
  query.weights_min = 4;
  EXPECT_EQ (pick (), "");
  query.weights_min = 3;
  EXPECT_EQ (pick (), "good");
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  g_ptr_array_add (tried, const_cast<char *> ("good"));
  query.tried = tried;
  EXPECT_EQ (pick (), "");
}

/* Streams of 40 ms an event, but for one replica that takes 140 ms. */
static void
pace_all (const std::vector<GspanReplica *> &replicas, guint64 now)
{
  for (size_t i = 0; i < replicas.size (); i++)
    for (int event = 0; event < 20; event++)
      gspan_pace_note (replicas[i], now, i == 0 ? 140 * GSPAN_MS : 40 * GSPAN_MS, 1);
}

TEST_F (Place, ReplicaThatTurnedSlowIsPassedOverUntilItIsTriedAgain)
{
  GspanReplica *slow = add ("a", 0);

  pace_all ({ slow, add ("b", 2), add ("c", 1), add ("d", 2) }, now);
  query.typical_us = gspan_pace_typical (replicas, "llm", now);
  EXPECT_EQ (query.typical_us, 40 * GSPAN_MS);
  EXPECT_TRUE (gspan_pace_is_slow (slow, query.typical_us, now));
  EXPECT_EQ (pick (), "c");
  query.now = now + 4 * GSPAN_SECOND;
  EXPECT_EQ (pick (), "a");
}

TEST_F (Place, PaceOfAFullBatchOrOfFewReplicasIsNotSlow)
{
  GspanReplica *full = add ("a", 0);
  GspanReplica *other = add ("b", 0);

  pace_all ({ full, other }, now);
  EXPECT_EQ (gspan_pace_typical (replicas, "llm", now), 0U);
  EXPECT_FALSE (gspan_pace_is_slow (full, 0, now));
  for (int event = 0; event < 40; event++)
    gspan_pace_note (full, now, 100 * GSPAN_MS, 2);
  EXPECT_FALSE (gspan_pace_is_slow (full, 40 * GSPAN_MS, now));
}

TEST_F (Place, FailuresInARowAreAvoidedForLongerUpToABound)
{
  GspanReplica *replica = add ("a", 0);
  guint64 before = 0;

  for (int i = 0; i < 10; i++)
    {
      gspan_replica_failed (replica, now);
      EXPECT_GE (replica->avoid_until, before);
      EXPECT_LE (replica->avoid_until, now + 2 * GSPAN_SECOND);
      before = replica->avoid_until;
    }
  gspan_replica_worked (replica);
  EXPECT_EQ (pick (), "a");
}

static GspanHedgeState
hedge (GspanRepeat repeat)
{
  GspanHedgeState state{};

  state.repeat = repeat;
  state.now = 1000 * GSPAN_SECOND;
  state.last_sent_at_us = state.now - 80 * GSPAN_MS;
  state.target_latency_us = 150 * GSPAN_MS;
  state.deadline_us = state.now + 500 * GSPAN_MS;
  state.attempts = 1;
  state.attempts_max = 3;
  state.open_attempts = 1;
  return state;
}

TEST (Hedge, SecondAttemptAfterHalfOfTheTargetAndOnlyWhereARepeatIsAllowed)
{
  GspanHedgeState state = hedge (GSPAN_REPEAT_ALLOWED);

  EXPECT_TRUE (gspan_hedge_due (&state));
  state.last_sent_at_us = state.now - 70 * GSPAN_MS;
  EXPECT_FALSE (gspan_hedge_due (&state));
  state = hedge (GSPAN_REPEAT_FORBIDDEN);
  EXPECT_FALSE (gspan_hedge_due (&state));
  state = hedge (GSPAN_REPEAT_ALLOWED);
  state.open_attempts = 2;
  EXPECT_FALSE (gspan_hedge_due (&state));
}

RC_GTEST_PROP (Hedge, NeverMoreAttemptsThanAllowedNorAfterTheDeadline,
               (uint8_t repeat, uint8_t attempts, uint8_t attempts_max, uint16_t left_ms,
                bool not_run, bool begun))
{
  GspanHedgeState state = hedge ((GspanRepeat)(repeat % 4));

  state.attempts = attempts;
  state.attempts_max = attempts_max;
  state.deadline_us = state.now + left_ms * GSPAN_MS;
  state.response_started = begun;
  if (attempts >= attempts_max || left_ms == 0)
    {
      RC_ASSERT (!gspan_hedge_due (&state));
      RC_ASSERT (!gspan_hedge_may_retry (&state, not_run));
    }
  if (state.repeat == GSPAN_REPEAT_FORBIDDEN && !not_run)
    RC_ASSERT (!gspan_hedge_may_retry (&state, not_run));
}

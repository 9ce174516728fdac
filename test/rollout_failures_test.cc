#include "test/rollout_world.h"

extern "C"
{
#include "rollout/feed.h"
}

/* Single failures, each at a chosen moment. */

class RolloutFailure : public testing::Test
{
protected:
  World world{ 7, 2, 2, 4 };

  void
  SetUp () override
  {
    ASSERT_TRUE (world.run_batches (5));
    ASSERT_LT (world.owner (), world.nodes.size ());
  }

  void
  TearDown () override
  {
    EXPECT_EQ (world.report (), "");
  }

  GspanFeed *
  feed ()
  {
    GHashTable *feeds = world.nodes[world.owner ()].bench->board.rollout->feeds;

    return static_cast<GspanFeed *> (g_hash_table_lookup (feeds, "a"));
  }

  /* Sends a pull to the owner; its status, or -1 where it is kept waiting. */
  int
  pull (const std::string &cursor, guint64 weight)
  {
    Bench &bench = *world.nodes[world.owner ()].bench;
    gspan_pull_args args{};
    GspanEvent event{};
    GBytes *payload;
    int status = -1;

    args.attachment = const_cast<char *> ("a");
    args.weight = weight;
    args.cursor.cursor_val = const_cast<char *> (cursor.data ());
    args.cursor.cursor_len = static_cast<u_int> (cursor.size ());
    payload = gspan_xdr_encode (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_args), &args);
    event.kind = GSPAN_EVENT_RPC_CALL;
    event.u.rpc.call = 1000000;
    event.u.rpc.proc = GSPAN_PULL;
    event.u.rpc.payload = gspan_str_from_bytes (payload);
    bench.now = world.now;
    bench.handle (event);
    for (GspanAction *action : bench.actions (GSPAN_ACTION_RPC_REPLY))
      {
        gspan_pull_res res{};

        EXPECT_TRUE (gspan_xdr_decode (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_res), &res,
                                       gspan_str_from_bytes (action->u.rpc.payload), nullptr));
        status = res.status;
        xdr_free (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_res), &res);
      }
    g_bytes_unref (payload);
    return status;
  }

  size_t
  running () const
  {
    size_t count = 0;

    for (const World::Engine &engine : world.engines)
      count += engine.running.size ();
    return count;
  }

  std::string
  lease () const
  {
    return world.objects.at ("lease/attachment.a").second;
  }
};

TEST_F (RolloutFailure, LatePullNeitherMovesThePlanNorGetsABatch)
{
  guint64 planned = feed ()->cursor.batch;

  EXPECT_EQ (pull (world.checkpoints[1].cursor, 2), GSPAN_STATUS_REFUSED);
  EXPECT_EQ (feed ()->cursor.batch, planned);
  EXPECT_EQ (feed ()->pulls->len, 0U);
  EXPECT_TRUE (world.run_batches (3));
}

TEST_F (RolloutFailure, MalformedPullLeavesThePlanAlone)
{
  guint64 planned = feed ()->cursor.batch;

  EXPECT_EQ (pull ("b:1:2:", 2), GSPAN_STATUS_REFUSED);
  EXPECT_EQ (feed ()->cursor.batch, planned);
  EXPECT_TRUE (feed ()->cursor_known);
}

TEST_F (RolloutFailure, NewerPullSupersedesAWaitingOne)
{
  World::Checkpoint last = world.checkpoints.back ();
  size_t before = world.checkpoints.size () - 2;

  world.edit ([] (World::Edit &edit) { edit.paused = true; });
  world.run (2 * GSPAN_SECOND);
  feed ()->cursor_known = false;
  EXPECT_EQ (pull (world.checkpoints[before].cursor, last.weight), -1);
  EXPECT_EQ (pull (last.cursor, last.weight), GSPAN_STATUS_REFUSED);
  for (guint i = 0; i < feed ()->pulls->len; i++)
    {
      const auto *waiting = &g_array_index (feed ()->pulls, GspanFeedPull, i);

      EXPECT_EQ (waiting->cursor.batch, feed ()->cursor.batch);
    }
}

TEST_F (RolloutFailure, TrainerRestoredFromAnOlderCheckpointIsServed)
{
  world.restore (3);
  EXPECT_TRUE (world.run_batches (3, 10 * GSPAN_SECOND));
}

TEST_F (RolloutFailure, TrainerKilledAfterTakingABatch)
{
  world.restore (0);
  EXPECT_TRUE (world.run_batches (3, 10 * GSPAN_SECOND));
}

TEST_F (RolloutFailure, PullAnsweredTwice)
{
  for (int i = 0; i < 10; i++)
    {
      world.doubled_calls = 1;
      EXPECT_TRUE (world.run_batches (1, 10 * GSPAN_SECOND));
    }
  world.run (10 * GSPAN_SECOND);
}

/* Killed at every tenth of a second over a step: at generation, scoring, hand-over and after it. */
TEST_F (RolloutFailure, OwnerKilledAtAnyMomentCostsAtMostTenSeconds)
{
  for (int moment = 0; moment < 15; moment++)
    {
      world.run (moment * 100 * GSPAN_MS);
      size_t owner = world.owner ();
      if (owner == world.nodes.size ())
        continue;
      world.kill (owner);
      EXPECT_TRUE (world.run_batches (2, 10 * GSPAN_SECOND + 2 * World::TRAIN)) << moment;
      world.start (owner);
      EXPECT_TRUE (world.run_batches (2));
    }
}

/* The next owner starts from its predecessor's status object, before the trainer asks. */
TEST_F (RolloutFailure, OwnerKilledWhileTheTrainerLearnsIsNotNoticed)
{
  world.train = 12 * GSPAN_SECOND;
  ASSERT_TRUE (world.run_batches (2, 40 * GSPAN_SECOND));
  world.run (3 * GSPAN_SECOND);
  world.kill (world.owner ());
  ASSERT_TRUE (world.run_batches (1, 30 * GSPAN_SECOND));
  EXPECT_LE (world.last_idle, GSPAN_SECOND / 2);
}

/* Two trainers on one engine: neither takes all of it while the other has work. */
TEST (RolloutShare, TwoTrainersShareAnEngine)
{
  Bench bench;
  std::map<char, int> placed;

  bench.board.rollout = g_new0 (GspanRollout, 1);
  gspan_rollout_init (bench.board.rollout);
  bench.put (GSPAN_RECORD_POOL, "m", 1, R"({"schema":2,"firm":"f","service":"e","model":"m"})");
  bench.add_upstream ("e1", "e")->weight_version = 1;
  for (const char *name : { "a", "b" })
    {
      std::string lease = std::string ("attachment.") + name;
      std::string record = std::string (R"({"schema":2,"firm":"f","pool":"m","scorer":"s",)")
                           + R"("batch_groups":16,"group_samples":4,"staleness_bound":1,"prompt":")"
                           + name + "\"}";

      bench.put (GSPAN_RECORD_ATTACHMENT, name, 2, record.c_str ());
      gspan_leases_acquire (&bench.board.leases, lease.c_str ())->held_until_us
          = bench.now + 1000 * GSPAN_SECOND;
    }
  bench.tick ();
  auto reads = bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_ROLLOUT);
  std::vector<GspanRef> refs;
  for (const GspanAction *read : reads)
    refs.push_back (read->ref);
  ASSERT_EQ (refs.size (), 2U);
  bench.object_done (refs[0], GSPAN_OBJECT_OK, 1, R"({"cursor":"a:0:0:","weight":1})");
  bench.object_done (refs[1], GSPAN_OBJECT_OK, 1, R"({"cursor":"b:0:0:","weight":1})");
  bench.tick ();
  for (const GspanAction *action : bench.actions (GSPAN_ACTION_HTTP, GSPAN_OWNER_ROLLOUT))
    {
      GspanStr body = gspan_str_from_bytes (action->u.http.body);
      std::string text (body.data != nullptr ? body.data : "", body.len);
      size_t at = text.find (R"("prompt":")");

      if (at != std::string::npos)
        placed[text[at + 10]]++;
    }
  EXPECT_EQ (placed['a'], 8);
  EXPECT_EQ (placed['b'], 8);
}

TEST_F (RolloutFailure, OwnerPausedPastItsLeaseAndWokenWhileTheNewOneDelivers)
{
  size_t old = world.owner ();

  world.nodes[old].paused_until = world.now + 9 * GSPAN_SECOND;
  EXPECT_TRUE (world.run_batches (3, 15 * GSPAN_SECOND));
  EXPECT_NE (world.owner (), old);
  world.run (10 * GSPAN_SECOND);
  EXPECT_NE (world.owner (), old);
  EXPECT_EQ (g_hash_table_size (world.nodes[old].bench->board.rollout->exchanges), 0U);
  EXPECT_TRUE (world.run_batches (3));
}

/* Woken with an old record in force, while the bound has been lowered in between. */
TEST_F (RolloutFailure, WokenOwnerDoesNotDeliverUnderAnOldBound)
{
  for (int i = 0; i < 5; i++)
    {
      size_t old = world.owner ();

      if (old == world.nodes.size ())
        break;
      world.outage_until = world.now + 2 * GSPAN_SECOND;
      world.run (GSPAN_SECOND);
      world.nodes[old].paused_until = world.now + 4 * GSPAN_SECOND;
      world.edit ([i] (World::Edit &edit) { edit.bound = i % 2 == 0 ? 0 : 2; });
      EXPECT_TRUE (world.run_batches (3)) << i;
    }
}

TEST_F (RolloutFailure, EditsInTheMidstOfAStep)
{
  const std::vector<std::function<void (World::Edit &)>> edits{
    [] (World::Edit &edit) { edit.prompt = "q"; }, [] (World::Edit &edit) { edit.groups = 2; },
    [] (World::Edit &edit) { edit.samples = 3; },  [] (World::Edit &edit) { edit.bound = 0; },
    [] (World::Edit &edit) { edit.groups = 6; },   [] (World::Edit &edit) { edit.bound = 1; },
  };

  for (size_t i = 0; i < edits.size (); i++)
    {
      world.run (250 * GSPAN_MS);
      world.edit (edits[i]);
      EXPECT_TRUE (world.run_batches (4, 20 * GSPAN_SECOND)) << i;
    }
}

TEST_F (RolloutFailure, PausedAttachmentGetsNothingAndGoesOnLater)
{
  world.edit ([] (World::Edit &edit) { edit.paused = true; });
  world.run (3 * GSPAN_SECOND);
  guint64 batches = world.batches;
  world.run (40 * GSPAN_SECOND);
  EXPECT_EQ (world.batches, batches);
  EXPECT_EQ (running (), 0U);
  world.edit ([] (World::Edit &edit) { edit.paused = false; });
  EXPECT_TRUE (world.run_batches (3, 30 * GSPAN_SECOND));
}

TEST_F (RolloutFailure, DeletedAttachmentIsLetGoAndCanComeBack)
{
  size_t owner = world.owner ();

  world.edit ([] (World::Edit &edit) { edit.deleted = true; });
  world.run (2 * GSPAN_SECOND);
  EXPECT_EQ (running (), 0U);
  EXPECT_EQ (g_hash_table_size (world.nodes[owner].bench->board.rollout->feeds), 0U);
  EXPECT_NE (lease ().find (R"("holder":"")"), std::string::npos) << lease ();
  world.edit ([] (World::Edit &edit) { edit.deleted = false; });
  EXPECT_TRUE (world.run_batches (3, 30 * GSPAN_SECOND));
}

/* One owner, since nobody can take over anyway. */
TEST (RolloutOutage, HourWithoutThePlatformIdlesNobody)
{
  World world (3, 1, 1, 4);

  ASSERT_TRUE (world.run_batches (5));
  guint64 before = world.batches;
  guint64 idle = world.idle;
  world.outage_until = world.now + 3600 * GSPAN_SECOND;
  world.run (3600 * GSPAN_SECOND);
  EXPECT_GE (world.batches - before, 3600 * GSPAN_SECOND / (3 * World::TRAIN));
  EXPECT_LE (world.idle - idle, 3600 * GSPAN_SECOND / 2);
  EXPECT_EQ (world.owner (), 1U + 1U) << "held all through an outage";
  EXPECT_TRUE (world.run_batches (10, 20 * GSPAN_SECOND));
  EXPECT_EQ (world.owner (), 0U);
  EXPECT_EQ (world.report (), "");
}

TEST_F (RolloutFailure, OutageWithTwoOwnersAndAPausedOne)
{
  world.nodes[world.owner ()].paused_until = world.now + 6 * GSPAN_SECOND;
  world.run (5 * GSPAN_SECOND);
  world.outage_until = world.now + 60 * GSPAN_SECOND;
  EXPECT_TRUE (world.run_batches (20, 60 * GSPAN_SECOND));
  world.run (60 * GSPAN_SECOND);
  EXPECT_TRUE (world.run_batches (3));
}

TEST_F (RolloutFailure, LostLeaseAnswersOfBothTruths)
{
  for (int i = 0; i < 10; i++)
    {
      world.lost_answers = 3;
      EXPECT_TRUE (world.run_batches (3, 20 * GSPAN_SECOND));
    }
}

TEST_F (RolloutFailure, ScorerLateDoubledOrDead)
{
  world.scorer_doubles = true;
  EXPECT_TRUE (world.run_batches (3));
  world.scorer_failures = 40;
  EXPECT_TRUE (world.run_batches (3));
  world.scorer_delay = 11 * GSPAN_SECOND;
  world.run (15 * GSPAN_SECOND);
  world.scorer_delay = 20 * GSPAN_MS;
  EXPECT_TRUE (world.run_batches (3));
}

/* Scores under way on connections that go silent are asked for again long before a step is due. */
TEST_F (RolloutFailure, ScoresThatGoSilentCostSecondsOnly)
{
  guint64 most = 0;

  world.scorer_delay = 3600 * GSPAN_SECOND;
  world.run (400 * GSPAN_MS);
  world.scorer_delay = 20 * GSPAN_MS;
  for (size_t i = 0; i < 3; i++)
    {
      EXPECT_TRUE (world.run_batches (1, 20 * GSPAN_SECOND));
      most = std::max (most, world.last_idle);
    }
  EXPECT_LE (most, 4 * GSPAN_SECOND);
}

TEST_F (RolloutFailure, EngineCrashesInMidSampleAndFailedSwaps)
{
  for (size_t i = 0; i < 12; i++)
    {
      world.run (300 * GSPAN_MS);
      world.crash (i % 4);
      world.failing_swaps = static_cast<int> (i % 3);
      EXPECT_TRUE (world.run_batches (1, 20 * GSPAN_SECOND)) << i;
    }
}

/* A sample that crashes each engine that runs it neither stalls its trainer nor downs them all. */
TEST_F (RolloutFailure, SampleThatCrashesEnginesIsPutOff)
{
  world.poison = "p " + std::to_string (feed ()->cursor.next_group + 20);
  EXPECT_TRUE (world.run_batches (15, 60 * GSPAN_SECOND));
  guint64 crashes = world.crashes;
  world.run (60 * GSPAN_SECOND);
  EXPECT_GE (crashes, 2U);
  EXPECT_LE (world.crashes - crashes, 6U);
  world.poison.clear ();
}

/* What is delivered has the lengths of what was asked for, stragglers and redone samples included.
 */
TEST_F (RolloutFailure, LengthsDeliveredAreThoseGenerated)
{
  double all = 0;
  double delivered = 0;

  world.engines[1].tokens_per_step = 0.4;
  for (int i = 0; i < 40; i++)
    {
      world.crash (2 + i % 2);
      ASSERT_TRUE (world.run_batches (5));
    }
  for (guint64 group = 0; group < feed ()->cursor.next_group; group++)
    for (guint k = 0; k < 2; k++)
      all += static_cast<double> (World::length_of (world.seeds["p " + std::to_string (group)][k]));
  for (guint64 length : world.lengths)
    delivered += static_cast<double> (length);
  all /= static_cast<double> (2 * feed ()->cursor.next_group);
  delivered /= static_cast<double> (world.lengths.size ());
  EXPECT_NEAR (delivered, all, all * 0.03);
}

/* One board with an entry's controller only. */
class EntryPull : public testing::Test
{
protected:
  Bench bench;

  void
  SetUp () override
  {
    bench.board.batch_pulls = g_new0 (GspanBatchPulls, 1);
    gspan_batch_pulls_init (bench.board.batch_pulls);
    put (7);
    bench.request (1, "/v1/pull", R"({"attachment":"a","weight":3,"cursor":""})");
    bench.object_done (bench.actions (GSPAN_ACTION_OBJECT)[0]->ref, GSPAN_OBJECT_OK, 1,
                       R"({"holder":"127.0.0.1:9","fence":4})");
  }

  void
  put (guint64 version)
  {
    bench.put (GSPAN_RECORD_ATTACHMENT, "a", version,
               R"({"schema":2,"firm":"f","pool":"m","scorer":"s","prompt":"p","batch_groups":1,
                   "group_samples":1,"staleness_bound":1})");
  }

  void
  answer (gspan_status status, guint64 fence, guint64 record)
  {
    gspan_pull_res res{};
    GspanEvent event{};
    GBytes *payload;

    res.status = status;
    res.fence = fence;
    res.record = record;
    res.detail = const_cast<char *> ("");
    payload = gspan_xdr_encode (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_res), &res);
    event.kind = GSPAN_EVENT_RPC_DONE;
    event.ref = bench.actions (GSPAN_ACTION_RPC)[0]->ref;
    event.u.rpc.result = GSPAN_RPC_OK;
    event.u.rpc.payload = gspan_str_from_bytes (payload);
    bench.handle (event);
    g_bytes_unref (payload);
  }
};

TEST_F (EntryPull, AnswerUnderAnOlderFenceIsRefused)
{
  answer (GSPAN_STATUS_OK, 3, 7);
  EXPECT_TRUE (bench.actions (GSPAN_ACTION_REPLY).empty ());
}

TEST_F (EntryPull, AnswerUnderAnOlderRecordIsRefused)
{
  answer (GSPAN_STATUS_OK, 4, 6);
  EXPECT_TRUE (bench.actions (GSPAN_ACTION_REPLY).empty ());
}

TEST_F (EntryPull, OwnerIsAskedAgainWhileThePlatformIsDown)
{
  answer (GSPAN_STATUS_NOT_OWNER, 4, 7);
  for (int i = 0; i < 20 && bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_BATCH_PULLS).empty ();
       i++)
    bench.tick ();
  ASSERT_FALSE (bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_BATCH_PULLS).empty ());
  bench.object_done (bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_BATCH_PULLS)[0]->ref,
                     GSPAN_OBJECT_UNAVAILABLE);
  ASSERT_EQ (bench.actions (GSPAN_ACTION_RPC).size (), 1U);
  answer (GSPAN_STATUS_OK, 5, 7);
  EXPECT_EQ (bench.actions (GSPAN_ACTION_REPLY).size (), 1U);
}

/* Answers that must not become samples, and one that lived through a swap. */
TEST (Sample, OnlyCertainLabelsPass)
{
  struct Row
  {
    const char *segments;
    bool passes;
    guint64 oldest;
  };
  const Row rows[] = {
    { R"([{"version":3,"tokens":4},{"version":5,"tokens":6}])", true, 3 },
    { R"([{"version":5,"tokens":4},{"version":3,"tokens":6}])", true, 3 },
    { R"([{"version":3,"tokens":4},{"version":null,"tokens":6}])", false, 0 },
    { R"([{"version":0,"tokens":10}])", false, 0 },
    { R"([{"version":3,"tokens":4}])", false, 0 },
    { R"([{"version":3,"tokens":10},{"version":4}])", false, 0 },
    { R"([])", false, 0 },
    { R"(null)", false, 0 },
  };

  for (const Row &row : rows)
    {
      GspanGroup *group = gspan_group_new (0, 1);
      std::string body = std::string (R"({"choices":[{"text":"t","finish_reason":"stop"}],)")
                         + R"("weight_segments":)" + row.segments
                         + R"(,"usage":{"completion_tokens":10}})";

      EXPECT_EQ (
          gspan_sample_take_answer (&group->samples[0], gspan_str_from (body.c_str ()), nullptr),
          row.passes)
          << row.segments;
      if (row.passes)
        {
          EXPECT_EQ (group->samples[0].oldest, row.oldest);
          EXPECT_EQ (group->samples[0].segments->len, 2U);
        }
      gspan_group_free (group);
    }
}

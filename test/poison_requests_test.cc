#include <set>

#include "test/node_world.h"

/*
 * A request that ends the replicas that run it comes again, with the same path and body, at any
 * node. Once it has ended three, hardly any more replicas may get it; all others are served.
 */

class PoisonRequests : public NodeTest
{
protected:
  unsigned started = 0; /* replicas of the desk's service, d1, d2, ... */

  /* Nodes and SIZE replicas of the desk's service. */
  void
  start (unsigned nodes, unsigned size)
  {
    start_nodes (nodes);
    for (started = 2; started < size;)
      add_replica ();
    world.run (2 * GSPAN_SECOND);
  }

  void
  add_replica ()
  {
    started++;
    world.put ("servers", "d" + std::to_string (started),
               replica_spec ("desk", started + 20 * (started > 2), 0).c_str ());
  }

  static std::string
  replica_of (const Exchange &exchange)
  {
    return exchange.header ("X-Expect-Instance");
  }

  void
  send (Rig &rig, guint64 id, const std::string &path)
  {
    rig.request (
        id, "POST", "/desk/" + path,
        { "Host: a.example", "X-Attempt-Id: a" + std::to_string (id), "X-Deadline-Ms: 800" },
        "hello");
  }

  /* The entry of a replica that has ended lapses, and another one comes. */
  void
  end_replica (const std::string &name)
  {
    if (ended.insert (name).second)
      world.scheduled.push_back ({ world.now + 3600 * GSPAN_MS, [this, name] {
                                    world.remove ("servers", name);
                                    add_replica ();
                                  } });
  }

  std::set<std::string> ended;
  unsigned sends_after_third = 0; /* later than three seconds after the third end */
  guint64 third_ended_at = 0;

  /* One try of the request that ends what runs it; SILENT: connections stay open. */
  void
  try_poison (Rig &rig, guint64 id, bool silent)
  {
    std::set<guint64> seen;

    send (rig, id, "poison");
    for (int i = 0; i < 85; i++)
      {
        for (const Exchange &exchange : std::vector<Exchange> (rig.exchanges))
          {
            if (exchange.url.find ("poison") == std::string::npos
                || !seen.insert (exchange.ref.id).second)
              continue;
            if (third_ended_at != 0 && world.now > third_ended_at + 3 * GSPAN_SECOND)
              sends_after_third++;
            end_replica (replica_of (exchange));
            if (ended.size () == 3 && third_ended_at == 0)
              third_ended_at = world.now;
            if (!silent)
              rig.http_done (exchange, GSPAN_HTTP_LOST, 0, {}, "");
          }
        world.run (10 * GSPAN_MS);
      }
  }

  /* Tries at the first COUNT nodes in turn over some 25 seconds. */
  void
  try_poison_at (size_t count, bool silent)
  {
    for (guint64 i = 0; i < 20; i++)
      {
        try_poison (*world.rigs[i % count], 100 + i, silent);
        world.run (400 * GSPAN_MS);
      }
  }
};

TEST_F (PoisonRequests, RequestThatEndsReplicasSilentlyReachesFewAtAnyNode)
{
  start (4, 9);
  try_poison_at (world.rigs.size (), true);
  EXPECT_GE (ended.size (), 2U);
  EXPECT_LE (sends_after_third, 3U);
  EXPECT_LE (ended.size (), 6U);
}

TEST_F (PoisonRequests, RequestThatBreaksConnectionsReachesFewAtAnyNode)
{
  start (8, 9);
  try_poison_at (world.rigs.size (), false);
  EXPECT_GE (ended.size (), 2U);
  EXPECT_LE (sends_after_third, 3U);
  EXPECT_LE (ended.size (), 6U);
}

TEST_F (PoisonRequests, OtherNodesKnowAtOnce)
{
  start (3, 6);
  try_poison (*world.rigs[0], 1, false);
  send (*world.rigs[1], 2, "poison");
  ASSERT_NE (response_to (*world.rigs[1], 2), nullptr) << "refused at once, not at its deadline";
  EXPECT_EQ (response_to (*world.rigs[1], 2)->status, 503);
  EXPECT_TRUE (response_to (*world.rigs[1], 2)->has ("Retry-After"));
  EXPECT_TRUE (world.rigs[1]->exchanges.empty ());
}

TEST_F (PoisonRequests, LostDatagramsOnlyDelayWhatOtherNodesKnow)
{
  start (4, 9);
  world.lose_datagrams = true;
  try_poison_at (world.rigs.size (), true);
  world.run (5 * GSPAN_SECOND);
  size_t before = ended.size ();
  for (size_t i = 0; i < world.rigs.size (); i++)
    try_poison (*world.rigs[i], 200 + i, true);
  EXPECT_EQ (ended.size (), before);
}

TEST_F (PoisonRequests, RestartOfAllNodesForgetsNoVerdict)
{
  start (3, 9);
  try_poison_at (world.rigs.size (), false);
  world.run (10 * GSPAN_SECOND);
  for (size_t i = 0; i < world.rigs.size (); i++)
    world.restart (i);
  world.run (4 * GSPAN_SECOND);
  size_t before = ended.size ();
  for (size_t i = 0; i < world.rigs.size (); i++)
    try_poison (*world.rigs[i], 200 + i, false);
  EXPECT_EQ (ended.size (), before);
}

TEST_F (PoisonRequests, NodeWhoseStoreWasAwayLearnsTheVerdictFromIt)
{
  start (3, 9);
  world.rigs[2]->cut_from_store = true;
  world.rigs[2]->paused = true;
  try_poison_at (2, false);
  world.rigs[2]->paused = false;
  world.rigs[2]->cut_from_store = false;
  world.run (3 * GSPAN_SECOND);
  size_t before = ended.size ();
  try_poison (*world.rigs[2], 300, false);
  EXPECT_EQ (ended.size (), before);
}

/* A service with a single replica, which comes back under the id that it had. */
TEST_F (PoisonRequests, ReplicaThatComesBackUnderItsOldIdCountsAgain)
{
  unsigned sends = 0;
  Rig &rig = start_nodes ();

  world.remove ("servers", "d2");
  world.run (3 * GSPAN_SECOND);
  for (unsigned born = 2; born < 14; born++)
    {
      std::string spec = replica_spec ("desk", 1, 0);

      send (rig, born, "poison");
      for (const Exchange &exchange : std::vector<Exchange> (rig.exchanges))
        {
          sends++;
          rig.http_done (exchange, GSPAN_HTTP_LOST, 0, {}, "");
        }
      spec.replace (spec.find ("\"born\":1"), 8, "\"born\":" + std::to_string (born));
      world.put ("servers", "d1", spec.c_str ());
      world.run (3 * GSPAN_SECOND);
    }
  EXPECT_LE (sends, 4U);
}

TEST_F (PoisonRequests, RequestThatStoodBesideTwoCrashesIsServedAfterAShortWait)
{
  Rig &rig = start_nodes ();

  send (rig, 1, "beside");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
  world.remove ("servers", "d1");
  world.remove ("servers", "d2");
  add_replica ();
  started = 7;
  add_replica ();
  world.run (20 * GSPAN_SECOND);
  send (rig, 2, "beside");
  ASSERT_EQ (rig.exchanges.size (), 1U);
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
  EXPECT_EQ (response_to (rig, 2)->status, 200);
}

TEST_F (PoisonRequests, ContentThatIsAnsweredIsHeldAgainstNobody)
{
  start (2, 8);
  for (guint64 i = 0; i < 12; i++)
    {
      Rig &rig = *world.rigs[i % 2];

      send (rig, 2 * i, "popular");
      rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
      ASSERT_EQ (rig.exchanges.size (), 1U) << i;
      rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
      EXPECT_EQ (response_to (rig, 2 * i)->status, 200);
      world.run (300 * GSPAN_MS);
    }
}

/* A replica that answers twice lives. */
TEST_F (PoisonRequests, AnswersToOtherRequestsCondemnNoContent)
{
  start (2, 8);
  world.rigs[0]->foreign = true;
  send (*world.rigs[0], 1, "popular");
  for (int attempt = 0; attempt < 2; attempt++)
    {
      ASSERT_EQ (world.rigs[0]->exchanges.size (), 1U) << attempt;
      world.rigs[0]->http_done (world.rigs[0]->exchanges[0], GSPAN_HTTP_LOST, 200, {}, "");
      world.run (300 * GSPAN_MS);
    }
  world.rigs[0]->foreign = false;
  for (guint64 i = 0; i < 2; i++)
    {
      Rig &rig = *world.rigs[i];

      send (rig, 10 + i, "popular");
      ASSERT_EQ (rig.exchanges.size (), 1U) << i;
      rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
      EXPECT_EQ (response_to (rig, 10 + i)->status, 200);
    }
}

TEST_F (PoisonRequests, ReplicasThatLiveOnAcquitARequestThatTheyDidNotAnswer)
{
  Rig &rig = start_nodes ();

  send (rig, 1, "slow");
  world.run (900 * GSPAN_MS);
  EXPECT_EQ (response_to (rig, 1)->status, 504);
  world.run (8 * GSPAN_SECOND);
  send (rig, 2, "slow");
  EXPECT_EQ (rig.exchanges.size (), 1U);
}

/* The replicas end silently, and the route would wait for ten seconds. */
TEST_F (PoisonRequests, LongSilenceIsToldBeforeTheDeadline)
{
  start (3, 6);
  std::string spec = config_spec (5, "non_idempotent");
  spec.replace (spec.find ("\"timeoutMs\":800"), 15, "\"timeoutMs\":10000");
  world.put ("config", "main", spec.c_str ());
  world.run (GSPAN_SECOND);
  for (guint64 i = 0; i < 3; i++)
    {
      world.rigs[i]->request (
          i, "POST", "/desk/poison",
          { "Host: a.example", "X-Attempt-Id: a" + std::to_string (i), "X-Deadline-Ms: 10000" },
          "hello");
      world.run (1500 * GSPAN_MS);
    }
  EXPECT_EQ (world.rigs[1]->exchanges.size (), 1U);
  EXPECT_TRUE (world.rigs[2]->exchanges.empty ());
  ASSERT_NE (response_to (*world.rigs[2], 2), nullptr);
  EXPECT_EQ (response_to (*world.rigs[2], 2)->status, 503);
}

/* All runs at a replica break together when one item ends it; the others must not be condemned. */
TEST_F (PoisonRequests, ItemsThatWereThereAtManyCrashesAreAllCompleted)
{
  Rig &rig = start_nodes ();
  unsigned models = 2;
  guint64 calm_at = world.now + 6 * GSPAN_SECOND;

  submit_job (rig, 1, "j1", 8);
  for (int i = 0; i < 1000; i++)
    {
      world.run (10 * GSPAN_MS);
      std::set<std::string> broken;
      for (const Exchange &run : open_runs (rig))
        if (run.header ("X-Attempt-Id") == "i0" && world.now < calm_at)
          broken.insert (replica_of (run));
      for (const Exchange &run : open_runs (rig))
        {
          if (broken.count (replica_of (run)) > 0)
            rig.http_done (run, GSPAN_HTTP_LOST, 0, {}, "");
          else if (world.now >= run.sent_at_us + 100 * GSPAN_MS)
            finish_run (rig, run, 3);
        }
      for (const std::string &name : broken)
        {
          models++;
          world.put ("servers", "m" + std::to_string (models),
                     replica_spec ("llm", 30 + models, 1).c_str ());
          world.scheduled.push_back (
              { world.now + 3600 * GSPAN_MS, [this, name] { world.remove ("servers", name); } });
        }
    }
  EXPECT_GE (models, 8U) << "many replicas have ended under i0";
  read_results (rig, 9, "j1", 0);
  world.run (100 * GSPAN_MS);
  EXPECT_EQ (result_ids (*response_to (rig, 9)).size (), 8U);
}

/*
 * Items are never requests that end replicas by themselves: one that was there when several ended
 * is owed as before, and placed again as soon as a replica has room.
 */
TEST_F (PoisonRequests, ItemUnderWhichReplicasCrashedIsPlacedAgainAtOnce)
{
  Rig &rig = start_nodes ();
  unsigned models = 2;
  unsigned crashes = 0;

  submit_job (rig, 1, "j1", 2);
  for (int i = 0; i < 3000 && crashes < 6; i++)
    {
      world.run (10 * GSPAN_MS);
      for (const Exchange &run : open_runs (rig))
        {
          if (run.header ("X-Attempt-Id") != "i0" || crashes >= 6)
            continue;
          std::string name = replica_of (run);
          crashes++;
          rig.http_done (run, GSPAN_HTTP_LOST, 0, {}, "");
          models++;
          world.put ("servers", "m" + std::to_string (models),
                     replica_spec ("llm", 30 + models, 1).c_str ());
          world.scheduled.push_back (
              { world.now + 3600 * GSPAN_MS, [this, name] { world.remove ("servers", name); } });
        }
    }
  ASSERT_EQ (crashes, 6U);
  guint64 calm_at = world.now;
  while (world.now < calm_at + 10 * GSPAN_SECOND && open_runs (rig).size () < 2)
    world.run (10 * GSPAN_MS);
  EXPECT_LE (world.now, calm_at + GSPAN_SECOND) << "there was room all the while";
  for (const Exchange &run : open_runs (rig))
    finish_run (rig, run, 3);
  world.run (GSPAN_SECOND);
  read_results (rig, 9, "j1", 0);
  world.run (100 * GSPAN_MS);
  EXPECT_EQ (result_ids (*response_to (rig, 9)).size (), 2U);
}

/* Known from the store, where a version before wrote it, or another node. */
TEST_F (PoisonRequests, VerdictOnTheContentOfAnItemDoesNotHoldItBack)
{
  Rig &rig = start_nodes ();
  guint64 fingerprint
      = gspan_poison_requests_fingerprint ("llm", "/batch/x", gspan_str_from ("hi"));
  char *name = gspan_poison_fingerprint_format (fingerprint);

  world.put (
      "poison", name,
      ("{\"until_ms\":" + std::to_string (world.wall_ms + 600000) + ",\"by\":\"vm-9\"}").c_str ());
  g_free (name);
  world.run (GSPAN_SECOND);
  submit_job (rig, 1, "j1", 2);
  world.run (500 * GSPAN_MS);
  EXPECT_EQ (open_runs (rig).size (), 2U);
}

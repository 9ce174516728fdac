#include "test/node_world.h"

extern "C"
{
#include "weights/plan.h"
}

class Weights : public NodeTest
{
protected:
  struct Engine
  {
    unsigned weights = 1;
    unsigned accepted = 0;
    guint64 busy_until = 0;
  };

  std::map<std::string, Engine> engines; /* by "10.0.0.N:80" */
  struct Sent
  {
    guint64 at;
    std::string by;
    std::string to;
    unsigned fence;
    unsigned weights;
  };
  std::vector<Sent> sent;
  unsigned reports = 0;
  unsigned shared_reports = 0; /* of them, asked for on connections of other requests */
  bool silent = false;         /* orders are carried out, but not answered */
  std::string dark;            /* address of a replica that answers nothing */
  guint64 entry_lag = 0;       /* of an engine's entry behind its engine */

  static unsigned
  number (const std::string &body, const char *key)
  {
    json_t *root = json_loads (body.c_str (), 0, nullptr);
    unsigned value = (unsigned)json_integer_value (json_object_get (root, key));

    json_decref (root);
    return value;
  }

  void
  answer (Rig &rig, const Exchange &exchange)
  {
    std::string address = exchange.url.substr (7, exchange.url.find ('/', 7) - 7);
    Engine &engine = engines[address];

    if (rig.cut_from_replicas)
      {
        if (world.now >= exchange.sent_at_us + 250 * GSPAN_MS)
          rig.http_done (exchange, GSPAN_HTTP_NOT_SENT, 0, {}, "");
        return;
      }
    if (address == dark)
      {
        if (world.now >= exchange.sent_at_us + 500 * GSPAN_MS)
          rig.http_done (exchange, GSPAN_HTTP_TIMEOUT, 0, {}, "");
        return;
      }
    if (exchange.url.find ("/api/report") != std::string::npos)
      {
        shared_reports += !exchange.new_connection;
        reports++;
        rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, {},
                       "{\"models\":[{\"name\":\"m0\",\"version\":"
                           + std::to_string (engine.weights)
                           + "}],\"busy\":" + (engine.busy_until > world.now ? "true" : "false")
                           + ",\"seqNo\":" + std::to_string (engine.accepted) + "}");
        return;
      }
    /* when it left the node: one that froze right after may bring it in as it thaws */
    sent.push_back ({ exchange.sent_at_us, rig.name, address, number (exchange.body, "fenceToken"),
                      number (exchange.body, "version") });
    if (number (exchange.body, "expect") != engine.accepted || engine.busy_until > world.now)
      {
        rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 409, {}, "");
        return;
      }
    engine.accepted++;
    engine.busy_until = world.now + 900 * GSPAN_MS;
    unsigned weights = number (exchange.body, "version");
    world.scheduled.push_back (
        { engine.busy_until, [this, address, weights] { engines[address].weights = weights; } });
    world.scheduled.push_back ({ engine.busy_until + entry_lag, [this, address, weights] {
                                  unsigned host = (unsigned)std::stoul (address.substr (7));
                                  world.put ("servers", "m" + std::to_string (host - 2),
                                             replica_spec ("llm", host, weights).c_str ());
                                } });
    if (silent)
      rig.http_done (exchange, GSPAN_HTTP_TIMEOUT, 0, {}, "");
    else
      rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 202, {}, "");
  }

  void
  run (guint64 us)
  {
    for (guint64 end = world.now + us; world.now < end;)
      {
        world.run (20 * GSPAN_MS);
        for (auto &rig : world.rigs)
          {
            if (rig->paused)
              continue;
            std::vector<Exchange> copy = rig->exchanges;
            for (auto &exchange : copy)
              if (exchange.url.find ("/api/") != std::string::npos)
                answer (*rig, exchange);
          }
      }
  }

  Rig *
  holder ()
  {
    for (auto &rig : world.rigs)
      if (rig->node.weights.lease.held)
        return rig.get ();
    return nullptr;
  }

  /* Orders of two nodes are at least the lease apart, and fences never fall. */
  void
  check_orders ()
  {
    std::map<std::string, Sent> last;

    for (const auto &order : sent)
      {
        auto before = last.find (order.to);
        if (before != last.end () && before->second.by != order.by)
          {
            EXPECT_GE (order.at, before->second.at + 3 * GSPAN_SECOND);
            EXPECT_GT (order.fence, before->second.fence);
          }
        if (before != last.end ())
          {
            EXPECT_GE (order.fence, before->second.fence);
          }
        last[order.to] = order;
      }
  }

  void
  name_weights (unsigned weights)
  {
    world.put ("versions", "m0",
               ("{\"model\":\"m0\",\"version\":" + std::to_string (weights) + "}").c_str ());
  }
};

TEST_F (Weights, NamedVersionReachesAllReplicasByOneNode)
{
  start_nodes (3);
  run (3 * GSPAN_SECOND);
  name_weights (2);
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (engines["10.0.0.3:80"].weights, 2U);
  EXPECT_EQ (engines["10.0.0.4:80"].weights, 2U);
  EXPECT_EQ (sent.size (), 2U);
  check_orders ();
}

/* A step may wait for the last replica, so a dark one holds nobody up. */
TEST_F (Weights, ReplicaThatGivesNoAnswerDoesNotKeepOthersFromLoading)
{
  start_nodes (1);
  run (8 * GSPAN_SECOND);
  for (unsigned weights = 2; weights <= 5; weights++)
    {
      dark = weights % 2 == 0 ? "10.0.0.3:80" : "10.0.0.4:80";
      std::string lit = weights % 2 == 0 ? "10.0.0.4:80" : "10.0.0.3:80";
      name_weights (weights);
      run (3 * GSPAN_SECOND);
      EXPECT_EQ (engines[lit].weights, weights);
    }
}

TEST_F (Weights, EndOfALoadIsLearnedFromTheReplicaBeforeItsEntrySaysSo)
{
  entry_lag = 5 * GSPAN_SECOND;
  start_nodes (1);
  run (8 * GSPAN_SECOND);
  name_weights (2);
  run (2600 * GSPAN_MS); /* two loads of 0.9 s, one after the other */
  EXPECT_EQ (engines["10.0.0.3:80"].weights, 2U);
  EXPECT_EQ (engines["10.0.0.4:80"].weights, 2U);
}

/* A report names no request: a replica's late answer to another one would pass for it. */
TEST_F (Weights, ReportsShareNoConnection)
{
  start_nodes (1);
  run (3 * GSPAN_SECOND);
  name_weights (2);
  run (8 * GSPAN_SECOND);
  EXPECT_GT (reports, 0U);
  EXPECT_EQ (shared_reports, 0U);
}

TEST_F (Weights, OrderWithoutAnAnswerIsNotCarriedOutTwice)
{
  start_nodes (1);
  run (3 * GSPAN_SECOND);
  silent = true;
  name_weights (2);
  run (10 * GSPAN_SECOND);
  EXPECT_EQ (engines["10.0.0.3:80"].accepted, 1U);
  EXPECT_EQ (engines["10.0.0.4:80"].accepted, 1U);
}

TEST_F (Weights, HolderThatFreezesIsReplacedAndItsOrdersStayApart)
{
  start_nodes (3);
  run (4 * GSPAN_SECOND);
  Rig *first = holder ();
  ASSERT_NE (first, nullptr);
  name_weights (2);
  run (1500 * GSPAN_MS);
  first->paused = true;
  name_weights (3);
  run (8 * GSPAN_SECOND);
  first->paused = false;
  name_weights (4);
  run (12 * GSPAN_SECOND);
  EXPECT_EQ (engines["10.0.0.3:80"].weights, 4U);
  EXPECT_EQ (engines["10.0.0.4:80"].weights, 4U);
  check_orders ();
}

/* Its lease is kept by the store, which it reaches; orders take the links that it has lost. */
TEST_F (Weights, HolderThatReachesNoReplicaLeavesTheOrdersToANodeThatDoes)
{
  start_nodes (3);
  run (4 * GSPAN_SECOND);
  Rig *first = holder ();
  ASSERT_NE (first, nullptr);
  name_weights (2);
  run (5 * GSPAN_SECOND);
  first->cut_from_replicas = true;
  name_weights (3);
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (engines["10.0.0.3:80"].weights, 3U);
  EXPECT_EQ (engines["10.0.0.4:80"].weights, 3U);
  Rig *second = holder ();
  ASSERT_NE (second, nullptr);
  EXPECT_NE (second, first);
  first->cut_from_replicas = false;
  name_weights (4);
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (engines["10.0.0.3:80"].weights, 4U);
  EXPECT_EQ (holder (), second);
  check_orders ();
}

/* With nobody to leave it to, it keeps the lease and what goes with it. */
TEST_F (Weights, HolderKeepsTheOrdersWhereNoNodeReachesReplicas)
{
  start_nodes (3);
  run (4 * GSPAN_SECOND);
  Rig *first = holder ();
  ASSERT_NE (first, nullptr);
  for (auto &rig : world.rigs)
    rig->cut_from_replicas = true;
  name_weights (2);
  run (6 * GSPAN_SECOND);
  EXPECT_EQ (holder (), first);
  for (auto &rig : world.rigs)
    rig->cut_from_replicas = false;
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (engines["10.0.0.3:80"].weights, 2U);
  check_orders ();
}

TEST_F (Weights, NewHolderWaitsUntilTheLastOrderOfTheOneBeforeIsFarEnough)
{
  start_nodes (3);
  world.remove ("servers", "m2");
  run (4 * GSPAN_SECOND);
  Rig *first = holder ();
  ASSERT_NE (first, nullptr);
  name_weights (3);
  for (int i = 0; i < 100 && sent.empty (); i++)
    run (20 * GSPAN_MS);
  ASSERT_EQ (sent.size (), 1U);
  first->paused = true;
  name_weights (6);
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (engines["10.0.0.3:80"].weights, 6U);
  EXPECT_LE (sent.back ().at, sent.front ().at + 5 * GSPAN_SECOND);
  check_orders ();
}

TEST_F (Weights, HolderWithoutOrdersIsFollowedWithoutAWait)
{
  start_nodes (3);
  run (12 * GSPAN_SECOND);
  Rig *first = holder ();
  ASSERT_NE (first, nullptr);
  first->paused = true;
  guint64 since = world.now;
  name_weights (2);
  run (8 * GSPAN_SECOND);
  ASSERT_FALSE (sent.empty ());
  /* a lease's half, the ranks' waits and the hold-off: well under what late orders would need */
  EXPECT_LE (sent.front ().at, since + 4 * GSPAN_SECOND);
  check_orders ();
}

TEST_F (Weights, HolderCutFromTheStoreStopsOrdering)
{
  start_nodes (3);
  run (4 * GSPAN_SECOND);
  Rig *first = holder ();
  ASSERT_NE (first, nullptr);
  first->cut_from_store = true;
  run (2 * GSPAN_SECOND);
  EXPECT_FALSE (gspan_order_lease_allows (&first->node.weights.lease, world.now));
  name_weights (2);
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (engines["10.0.0.3:80"].weights, 2U);
  check_orders ();
}

TEST_F (Weights, HolderThatStopsGivesTheLeaseBack)
{
  start_nodes (2);
  run (4 * GSPAN_SECOND);
  Rig *first = holder ();
  ASSERT_NE (first, nullptr);
  first->drain ();
  run (GSPAN_SECOND);
  EXPECT_FALSE (first->node.weights.lease.held);
  run (3 * GSPAN_SECOND);
  ASSERT_NE (holder (), nullptr);
  EXPECT_NE (holder (), first);
}

RC_GTEST_FIXTURE_PROP (Weights, OrdersOfTwoNodesStayApartUnderFaults,
                       (const std::vector<std::pair<uint8_t, uint8_t>> &steps))
{
  unsigned weights = 1;
  size_t done = 0;

  start_nodes (3);
  run (2 * GSPAN_SECOND);
  for (const auto &step : steps)
    {
      if (done++ > 10)
        break;
      size_t which = step.second % 3;
      switch (step.first % 6)
        {
        case 0:
          world.fault = (StoreFault)(step.second % 6);
          break;
        case 1:
          world.rigs[which]->paused = !world.rigs[which]->paused;
          break;
        case 2:
          world.rigs[which]->cut_from_store = !world.rigs[which]->cut_from_store;
          break;
        case 3:
          world.restart (which);
          break;
        case 4:
          silent = !silent;
          break;
        default:
          name_weights (++weights);
          break;
        }
      run ((1 + step.second % 5) * 400 * GSPAN_MS);
    }
  std::map<std::string, Sent> last;
  std::stable_sort (sent.begin (), sent.end (),
                    [] (const Sent &a, const Sent &b) { return a.at < b.at; });
  for (const auto &order : sent)
    {
      auto before = last.find (order.to);
      if (before != last.end () && before->second.by != order.by)
        {
          RC_ASSERT (order.at >= before->second.at + 3 * GSPAN_SECOND);
          RC_ASSERT (order.fence > before->second.fence);
        }
      last[order.to] = order;
    }
}

/* The plan of loads, apart from I/O. */

class Plan : public testing::Test
{
protected:
  GHashTable *replicas
      = g_hash_table_new_full (g_str_hash, g_str_equal, nullptr, [] (gpointer item) {
          gspan_replica_unref (static_cast<GspanReplica *> (item));
        });
  GHashTable *loads = g_hash_table_new (g_str_hash, g_str_equal);
  GspanPlanHomes homes{};

  Plan ()
  {
    gspan_plan_homes_init (&homes);
  }

  ~Plan () override
  {
    gspan_plan_homes_finish (&homes);
    g_hash_table_unref (loads);
    g_hash_table_unref (replicas);
  }

  GspanReplica *
  add (const char *id, guint64 weights)
  {
    GspanReplica *replica = gspan_replica_new (id);

    gspan_replica_set_weights (replica, "m0", weights);
    g_hash_table_insert (replicas, replica->id, replica);
    return replica;
  }

  std::string
  next (guint64 weights, guint64 since_ms)
  {
    g_autoptr (GPtrArray) models = g_ptr_array_new ();
    GspanPlanQuery query
        = { "m0",  weights, 1000 * GSPAN_SECOND, 1000 * GSPAN_SECOND + since_ms * GSPAN_MS,
            loads, &homes };

    g_ptr_array_add (models, const_cast<char *> ("m0"));
    gspan_plan_homes_update (&homes, replicas, models);
    GspanReplica *replica = gspan_plan_next (replicas, &query);

    return replica != nullptr ? replica->id : "";
  }
};

/* Load: a step's items arrive right after its version is named. */
TEST_F (Plan, ReplicasThatMayServeTheStepLoadOnceItsItemsHaveStarted)
{
  add ("a", 4);
  add ("b", 4);
  EXPECT_EQ (next (5, 100), "");
  EXPECT_NE (next (5, 1500), "");
}

TEST_F (Plan, ThoseThatCanNotServeTheStepLoadAtOnceAndFirst)
{
  add ("a", 4);
  add ("b", 3);
  EXPECT_EQ (next (5, 0), "b");
  EXPECT_EQ (next (5, 1500), "b");
  g_hash_table_add (loads, const_cast<char *> ("b"));
  EXPECT_EQ (next (5, 0), "");
  EXPECT_EQ (next (5, 1500), "a");
}

TEST_F (Plan, LeavingReplicasAndThoseUpToDateArePassedOver)
{
  add ("a", 5);
  add ("b", 3)->draining = true;
  add ("c", 3)->misdirected = true;
  EXPECT_EQ (next (5, 5000), "");
}

TEST_F (Plan, APartOfTheReplicasLoadsAtOnce)
{
  EXPECT_EQ (gspan_plan_loads_at_once (1), 1U);
  EXPECT_EQ (gspan_plan_loads_at_once (9), 2U);
  EXPECT_EQ (gspan_plan_loads_at_once (44), 9U);
}

/* Load: four trainers, each naming a version of its own model every few seconds. */
TEST_F (Plan, ModelsShareTheReplicasAlike)
{
  g_autoptr (GPtrArray) models = g_ptr_array_new ();
  std::map<std::string, unsigned> parts;

  for (const char *model : { "m0", "m1", "m2", "m3" })
    g_ptr_array_add (models, const_cast<char *> (model));
  for (int i = 0; i < 44; i++)
    {
      GspanReplica *replica = add (("r" + std::to_string (i)).c_str (), 1);
      for (const char *model : { "m1", "m2", "m3" })
        gspan_replica_set_weights (replica, model, 1);
    }
  gspan_plan_homes_update (&homes, replicas, models);
  for (int i = 0; i < 44; i++)
    parts[static_cast<const char *> (
        g_hash_table_lookup (homes.model_of, ("r" + std::to_string (i)).c_str ()))]++;
  for (auto &part : parts)
    EXPECT_EQ (part.second, 11U) << part.first;
}

TEST_F (Plan, ReplicaOfAnotherModelsPartIsNotLoaded)
{
  g_autoptr (GPtrArray) models = g_ptr_array_new ();
  GspanPlanQuery query = { "m0", 9, 0, 1000 * GSPAN_SECOND, loads, &homes };

  for (const char *model : { "m0", "m1" })
    g_ptr_array_add (models, const_cast<char *> (model));
  gspan_replica_set_weights (add ("a", 1), "m1", 1);
  gspan_replica_set_weights (add ("b", 1), "m1", 1);
  gspan_plan_homes_update (&homes, replicas, models);
  GspanReplica *first = gspan_plan_next (replicas, &query);
  ASSERT_NE (first, nullptr);
  g_hash_table_add (loads, first->id);
  EXPECT_EQ (gspan_plan_next (replicas, &query), nullptr);
}

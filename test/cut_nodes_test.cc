#include "test/node_world.h"

/*
 * A node that was cut off from the store and from the other nodes, while the store served all
 * others. From three seconds after the cut it has to act on what the store says.
 */

class CutNodes : public NodeTest
{
protected:
  static constexpr guint64 stable_us = 3 * GSPAN_SECOND;
  const std::string first_desk = "http://10.0.0.1:80";

  Rig &
  find_holder ()
  {
    for (auto &rig : world.rigs)
      if (rig->node.weights.lease.held)
        return *rig;
    return *world.rigs[0];
  }

  Rig &
  find_listener ()
  {
    return world.rigs[0]->node.weights.lease.held ? *world.rigs[1] : *world.rigs[0];
  }

  /* Cuts RIG off from the store and from all nodes, or ends that. */
  void
  set_cut (Rig &rig, bool is_cut)
  {
    rig.cut_from_store = is_cut;
    world.loses_datagram = nullptr;
    if (!is_cut)
      return;
    world.loses_datagram = [&rig] (const Rig &from, const std::string &to) {
      return &from == &rig || to == rig.node.self.udp_address;
    };
  }

  /*
   * Removes the replicas NAMES while FIND_RIG's node is cut off, at twelve moments of its calls,
   * and counts requests that reach d1 from it once it is back.
   */
  void
  expect_removed_replicas_unused (const std::vector<std::string> &names,
                                  const std::function<Rig &()> &find_rig)
  {
    start_nodes (4);
    world.run (5 * GSPAN_SECOND);
    for (unsigned i = 0; i < 12; i++)
      {
        Rig &rig = find_rig ();

        set_cut (rig, true);
        world.run (4 * GSPAN_SECOND);
        for (const auto &name : names)
          world.remove ("servers", name);
        world.run (8 * GSPAN_SECOND + i * 230 * GSPAN_MS);
        set_cut (rig, false);
        world.run (stable_us);
        EXPECT_EQ (count_requests_to (rig, first_desk, 100 + i * 100), 0U) << i;
        world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
        world.put ("servers", "m1", replica_spec ("llm", 3, 1).c_str ());
        world.put ("servers", "m2", replica_spec ("llm", 4, 1).c_str ());
        world.run (2 * GSPAN_SECOND);
      }
  }
};

TEST_F (CutNodes, ReplicaThatWasRemovedMeanwhileGetsNothingOnceTheNodeIsBack)
{
  expect_removed_replicas_unused ({ "d1" }, [this] () -> Rig & { return find_listener (); });
}

TEST_F (CutNodes, ReplicaThatWasRemovedMeanwhileGetsNothingFromTheHolderOfTheLeaseThatWasCut)
{
  expect_removed_replicas_unused ({ "d1" }, [this] () -> Rig & { return find_holder (); });
}

/* So many at once would be a lapse, if the store had been away. */
TEST_F (CutNodes, HalfOfTheReplicasThatWereRemovedMeanwhileGetNothingOnceTheNodeIsBack)
{
  expect_removed_replicas_unused ({ "d1", "m1", "m2" },
                                  [this] () -> Rig & { return find_listener (); });
}

TEST_F (CutNodes, ConfigurationOfMeanwhileIsInForceOnceTheNodeIsBack)
{
  start_nodes (4);
  world.latency_of = [] (const Rig &, const GspanStoreCall &call) {
    return (call.op == GSPAN_STORE_LIST ? 600 : 4) * GSPAN_MS;
  };
  world.run (5 * GSPAN_SECOND);
  for (unsigned i = 0; i < 12; i++)
    {
      Rig &rig = find_listener ();

      set_cut (rig, true);
      world.run (4 * GSPAN_SECOND);
      world.put ("config", "main", config_spec (10 + i).c_str ());
      world.run (8 * GSPAN_SECOND + i * 230 * GSPAN_MS);
      set_cut (rig, false);
      world.run (stable_us);
      EXPECT_EQ (rig.node.catalog.config.number, 10 + i);
    }
}

/* The first message of another node tells that the cut is over; a call under way may still hang. */
TEST_F (CutNodes, NodeThatHearsTheOthersAgainAsksTheStoreAtOnce)
{
  static constexpr guint64 call_timeout_us = 1500 * GSPAN_MS;
  static constexpr guint64 message_us = 400 * GSPAN_MS;

  start_nodes (4);
  world.run (5 * GSPAN_SECOND);
  for (unsigned i = 0; i < 24; i++)
    {
      Rig &rig = find_listener ();

      set_cut (rig, true);
      world.run (8 * GSPAN_SECOND + i * 130 * GSPAN_MS);
      ASSERT_TRUE (rig.node.catalog.store_fails);
      set_cut (rig, false);
      world.run (call_timeout_us + message_us);
      EXPECT_FALSE (rig.node.catalog.store_fails) << i;
    }
}

/* It hears the others all the time: what they tell is no news of the store. */
TEST_F (CutNodes, NodeThatTheStoreAloneTurnsAwayAsksAsSeldomAsBefore)
{
  start_nodes (4);
  world.run (5 * GSPAN_SECOND);
  Rig &rig = find_listener ();
  world.fault_of = [&rig] (const Rig &caller, const GspanStoreCall &) {
    return &caller == &rig ? StoreFault::Busy : StoreFault::None;
  };
  world.put ("config", "main", config_spec (4).c_str ());
  world.run (5 * GSPAN_SECOND);
  ASSERT_TRUE (rig.node.catalog.store_fails);
  unsigned before = rig.call_counts["list config"];
  world.run (10 * GSPAN_SECOND);
  EXPECT_LT (rig.call_counts["list config"] - before, 16U);
}

/* The store was away for all: what it doesn't hold may be registered again. */
TEST_F (CutNodes, EntriesThatLapsedInAnOutageOfTheStoreAreUsedUntilTheyAreBack)
{
  start_nodes (4);
  world.run (5 * GSPAN_SECOND);
  for (unsigned i = 0; i < 12; i++)
    {
      world.fault = StoreFault::Unreachable;
      world.run (8 * GSPAN_SECOND + i * 230 * GSPAN_MS);
      world.remove_without_event ("servers", "d1");
      world.fault = StoreFault::None;
      for (unsigned step = 0; step < 18; step++)
        {
          world.run (100 * GSPAN_MS);
          for (auto &rig : world.rigs)
            EXPECT_TRUE (g_hash_table_contains (rig->node.catalog.replicas, "d1"))
                << rig->name << " " << i << " " << step;
        }
      world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
      world.run (3 * GSPAN_SECOND);
    }
}

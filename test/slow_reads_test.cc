#include "test/node_world.h"

/*
 * Reads that take longer than the time between the events that call for another one. Each has to
 * end, and what it shows has to be used.
 */

class SlowReads : public NodeTest
{
protected:
  static constexpr guint64 notice_us = 2 * GSPAN_SECOND;

  Rig &
  find_rig (bool holds_lease)
  {
    for (auto &rig : world.rigs)
      if (rig->node.weights.lease.held == holds_lease)
        return *rig;
    return *world.rigs[0];
  }

  /* Calls of RIG take US each. */
  void
  slow_down (const Rig &rig, guint64 us)
  {
    world.latency_of = [&rig, us, this] (const Rig &caller, const GspanStoreCall &) {
      return &caller == &rig ? us : world.latency_us;
    };
  }

  /* A new world, in which the calls of the node that holds the lease, or of another, take MS. */
  Rig &
  start_slow (bool holder, unsigned ms)
  {
    world.clear ();
    world.latency_of = nullptr;
    start_nodes (4);
    world.run (5 * GSPAN_SECOND);
    Rig &rig = find_rig (holder);
    slow_down (rig, ms * GSPAN_MS);
    world.run (5 * GSPAN_SECOND);
    return rig;
  }

  static bool
  uses (const Rig &rig, const std::string &id)
  {
    const auto *replica = static_cast<const GspanReplica *> (
        g_hash_table_lookup (rig.node.catalog.replicas, id.c_str ()));

    return replica != nullptr && !gspan_replica_is_leaving (replica);
  }

  /* Steps of 10 ms until CONDITION holds, at most US. */
  guint64
  run_until (guint64 us, const std::function<bool ()> &condition)
  {
    guint64 start = world.now;

    while (world.now < start + us && !condition ())
      world.run (10 * GSPAN_MS);
    return world.now - start;
  }
};

TEST_F (SlowReads, HolderWhoseRenewalsAreSlowLearnsThatAReplicaDrains)
{
  for (unsigned ms = 300; ms <= 900; ms += 100)
    {
      Rig &holder = start_slow (true, ms);

      world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
      EXPECT_LT (run_until (20 * GSPAN_SECOND, [&] { return !uses (holder, "d1"); }), notice_us)
          << ms;
    }
}

TEST_F (SlowReads, NodeThatIsToldOfANewConfigurationReadsIt)
{
  for (unsigned ms = 300; ms <= 900; ms += 100)
    {
      Rig &rig = start_slow (false, ms);

      world.put ("config", "main", config_spec (9).c_str ());
      EXPECT_LT (run_until (20 * GSPAN_SECOND, [&] { return rig.node.catalog.config.number == 9; }),
                 notice_us)
          << ms;
    }
}

TEST_F (SlowReads, ConfigurationsThatComeFasterThanTheyAreReadAreInForceInTime)
{
  start_nodes (4);
  world.run (5 * GSPAN_SECOND);
  Rig &rig = find_rig (false);
  slow_down (rig, 900 * GSPAN_MS);
  for (unsigned i = 0; i < 50; i++)
    {
      world.put ("config", "main", config_spec (10 + i).c_str ());
      world.run (400 * GSPAN_MS);
      /* the version that was written 2.4 seconds ago */
      EXPECT_GE (rig.node.catalog.config.number, i < 8 ? 3 : 10 + i - 5) << i;
    }
}

/* Each of them wants a list that was asked for after it came. */
TEST_F (SlowReads, CallersThatComeFasterThanListsAreReadDoNotKeepThemFromEnding)
{
  Rig &rig = start_nodes ();

  world.run (5 * GSPAN_SECOND);
  slow_down (rig, 500 * GSPAN_MS);
  for (unsigned i = 0; i < 100; i++)
    {
      gspan_catalog_want_replicas (&rig.node, world.now);
      world.run (100 * GSPAN_MS);
      EXPECT_LT (world.now - rig.node.catalog.replicas_proven_at, notice_us) << i;
    }
}

/*
 * The holder tells of lists that are too old for them, and more often than their own take: one that
 * is under way already, and the one that they want.
 */
TEST_F (SlowReads, NodesThatAreToldOfOldListsReadOnesOfTheirOwn)
{
  static constexpr guint64 list_us = 450 * GSPAN_MS;

  start_nodes (4);
  world.run (5 * GSPAN_SECOND);
  const Rig &holder = find_rig (true);
  Rig &rig = find_rig (false);
  world.latency_of = [&holder] (const Rig &caller, const GspanStoreCall &) {
    return &caller == &holder ? 700 * GSPAN_MS : list_us;
  };
  world.run (5 * GSPAN_SECOND);
  for (unsigned i = 0; i < 20; i++)
    {
      guint64 since = world.now;
      GspanNode &node = rig.node;

      gspan_catalog_want_replicas (&node, since);
      EXPECT_LT (
          run_until (5 * GSPAN_SECOND, [&] { return node.catalog.replicas_proven_at >= since; }),
          2 * list_us + 10 * GSPAN_MS)
          << i;
      world.run (330 * GSPAN_MS);
    }
}

/* What another node tells while the list is under way is newer than the list, and stays. */
TEST_F (SlowReads, ListBesideWhatAnotherNodeTells)
{
  start_nodes (3);
  world.run (5 * GSPAN_SECOND);
  world.answers_lists_early = true;
  for (unsigned i = 0; i < 40; i++)
    {
      Rig &rig = find_rig (false);
      std::string name = "x" + std::to_string (i);

      slow_down (rig, 600 * GSPAN_MS);
      gspan_catalog_want_replicas (&rig.node, world.now);
      world.put ("servers", name, replica_spec ("desk", 20 + i, 0).c_str ());
      world.run (i * 20 * GSPAN_MS);
      world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
      world.remove ("servers", name);
      run_until (notice_us, [&] { return !uses (rig, name) && !uses (rig, "d1"); });
      for (unsigned step = 0; step < 200; step++)
        {
          EXPECT_FALSE (uses (rig, name)) << i << " " << step;
          EXPECT_FALSE (uses (rig, "d1")) << i << " " << step;
          world.run (10 * GSPAN_MS);
        }
      std::string spec = replica_spec ("desk", 1, 0);
      spec.replace (spec.find ("\"born\":1"), 8, "\"born\":" + std::to_string (2 + i));
      world.put ("servers", "d1", spec.c_str ());
      world.run (notice_us);
      EXPECT_TRUE (uses (rig, "d1")) << i;
    }
}

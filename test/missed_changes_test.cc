#include "test/node_world.h"

#include <set>

/*
 * Changes of the store that its watches don't tell: their history is dropped between two of them,
 * or the list that would have shown them is given up half read. A node learns of each within the
 * drain notice all the same, and what it has learned is not undone by something older.
 */

class MissedChanges : public NodeTest
{
protected:
  static constexpr guint64 notice_us = 2 * GSPAN_SECOND;
  const std::string first_desk = "http://10.0.0.1:80";

  static const GspanReplica *
  find (const Rig &rig, const std::string &id)
  {
    return static_cast<const GspanReplica *> (
        g_hash_table_lookup (rig.node.catalog.replicas, id.c_str ()));
  }

  static bool
  uses (const Rig &rig, const std::string &id)
  {
    const GspanReplica *replica = find (rig, id);

    return replica != nullptr && !gspan_replica_is_leaving (replica);
  }

  bool
  is_watched (const Rig &rig, const std::string &kind) const
  {
    return std::any_of (world.pending.begin (), world.pending.end (), [&] (const auto &call) {
      return call.rig == &rig && kind == call.call.kind;
    });
  }

  /* Runs until RIG, after a change, has no call for KIND under way. False if there always is one.
   */
  bool
  run_until_unwatched (const Rig &rig, const std::string &kind)
  {
    world.put ("servers", "m1", replica_spec ("llm", 3, 9).c_str ());
    for (int i = 0; i < 500 && is_watched (rig, kind); i++)
      world.run (10 * GSPAN_MS);
    return !is_watched (rig, kind);
  }

  /* Writes the replica's entry so that no watch tells: its history is gone at once. */
  void
  put_unseen (const std::string &name, const std::string &spec)
  {
    world.put ("servers", name, spec.c_str ());
    world.history.pop_back ();
  }

  Rig &
  start_without_feed ()
  {
    start_nodes (2);
    world.lose_datagrams = true;
    world.run (4 * GSPAN_SECOND);
    return *world.rigs[world.rigs[0]->node.weights.lease.held ? 1 : 0];
  }

  std::string
  spec_of (unsigned number, const char *state, unsigned born) const
  {
    std::string spec = replica_spec ("desk", number, 0, state);

    return spec.replace (spec.find ("\"born\":1"), 8, "\"born\":" + std::to_string (born));
  }
};

TEST_F (MissedChanges, HistoryDroppedBetweenWatchesOfTheNodeThatTellsTheOthers)
{
  Rig &rig = start_nodes ();

  world.run (5 * GSPAN_SECOND);
  ASSERT_TRUE (run_until_unwatched (rig, "servers"));
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.compact ("servers");
  world.run (notice_us);
  EXPECT_EQ (count_requests_to (rig, first_desk, 100), 0U);
}

TEST_F (MissedChanges, HistoryDroppedBetweenWatchesOfANodeThatIsToldNothing)
{
  Rig &rig = start_without_feed ();

  ASSERT_TRUE (run_until_unwatched (rig, "servers"));
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.compact ("servers");
  world.run (notice_us);
  EXPECT_EQ (count_requests_to (rig, first_desk, 100), 0U);
}

TEST_F (MissedChanges, HistoryDroppedBetweenTheHoldersLastMessageAndTheFirstWatch)
{
  start_nodes (3);
  world.run (10 * GSPAN_SECOND);
  for (auto &rig : world.rigs)
    rig->paused = rig->node.weights.lease.held;
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.compact ("servers");
  world.run (notice_us);
  for (auto &rig : world.rigs)
    {
      if (rig->paused)
        continue;
      EXPECT_EQ (count_requests_to (*rig, first_desk, 100), 0U) << rig->name;
    }
}

TEST_F (MissedChanges, ChangeOfAReplicaThatNoWatchTells)
{
  start_nodes (4);
  world.run (5 * GSPAN_SECOND);
  for (unsigned i = 0; i < 10; i++)
    {
      put_unseen ("d1", spec_of (1, "draining", i + 1));
      world.run (notice_us + i * 70 * GSPAN_MS);
      for (auto &rig : world.rigs)
        EXPECT_FALSE (uses (*rig, "d1")) << rig->name << " " << i;
      put_unseen ("d1", spec_of (1, "ready", i + 2));
      world.run (notice_us);
      for (auto &rig : world.rigs)
        EXPECT_TRUE (uses (*rig, "d1")) << rig->name << " " << i;
    }
}

TEST_F (MissedChanges, RemovalOfAReplicaThatNoWatchTells)
{
  start_nodes (4);
  world.run (5 * GSPAN_SECOND);
  world.remove ("servers", "d1");
  world.history.pop_back ();
  world.run (notice_us);
  for (auto &rig : world.rigs)
    EXPECT_FALSE (uses (*rig, "d1")) << rig->name;
}

TEST_F (MissedChanges, ChangeOfTheConfigurationThatNoWatchTells)
{
  start_nodes (4);
  world.run (5 * GSPAN_SECOND);
  for (unsigned i = 0; i < 5; i++)
    {
      world.put ("config", "main", config_spec (4 + i).c_str ());
      world.history.pop_back ();
      world.run (notice_us + i * 130 * GSPAN_MS);
      for (auto &rig : world.rigs)
        EXPECT_EQ (rig->node.catalog.config.number, 4 + i) << rig->name;
    }
}

/* What a node was told it had taken in, and hasn't, is found by what the others know. */
TEST_F (MissedChanges, NodeThatKnowsOtherReplicasThanTheNodeThatTellsIt)
{
  start_nodes (3);
  world.run (10 * GSPAN_SECOND);
  unsigned holder = world.rigs[0]->node.weights.lease.held ? 0 : 1;
  Rig &rig = *world.rigs[1 - holder];
  for (int i = 0; i < 500 && !is_watched (*world.rigs[holder], "servers"); i++)
    world.run (10 * GSPAN_MS);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  /* as if it had read all up to now */
  rig.node.catalog.followers[GSPAN_FOLLOW_REPLICAS].revision = world.revision;
  world.run (notice_us);
  EXPECT_FALSE (uses (rig, "d1"));
}

/* An entry of before that the store writes late, or a report that overtook another. */
TEST_F (MissedChanges, EntryWrittenAsReadyAgainDoesNotUndoThatItDrains)
{
  Rig &rig = start_nodes ();

  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.run (2100 * GSPAN_MS);
  EXPECT_EQ (count_requests_to (rig, first_desk, 100), 0U);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  world.run (GSPAN_SECOND);
  EXPECT_EQ (count_requests_to (rig, first_desk, 200), 0U);
  world.put ("servers", "d1", spec_of (1, "ready", 2).c_str ());
  world.run (2 * GSPAN_SECOND);
  EXPECT_GT (count_requests_to (rig, first_desk, 300), 0U) << "a later start";
}

TEST_F (MissedChanges, EntryThatIsBackAsReadyDoesNotUndoThatItDrained)
{
  Rig &rig = start_nodes ();

  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.run (GSPAN_SECOND);
  world.remove ("servers", "d1");
  world.run (GSPAN_SECOND);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  world.run (GSPAN_SECOND);
  EXPECT_EQ (count_requests_to (rig, first_desk, 200), 0U);
}

/* Who read that it drains keeps it in the store for those that didn't, or have started anew. */
TEST_F (MissedChanges, EntryThatWasReadyAgainBeforeANodeReadThatItDrained)
{
  start_nodes (3);
  world.run (10 * GSPAN_SECOND);
  Rig &late = *world.rigs[world.rigs[0]->node.weights.lease.held ? 1 : 0];
  late.paused = true;
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.run (GSPAN_SECOND);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  world.run (GSPAN_SECOND);
  late.paused = false;
  world.run (notice_us);
  EXPECT_EQ (count_requests_to (late, first_desk, 100), 0U);
  world.restart (2);
  world.run (notice_us);
  EXPECT_EQ (count_requests_to (*world.rigs[2], first_desk, 200), 0U);
  world.put ("servers", "d1", spec_of (1, "ready", 2).c_str ());
  world.run (notice_us);
  EXPECT_TRUE (uses (*world.rigs[1], "d1")) << "a later start";
}

/* Its empty answer names a revision that the node has seen no proof of. */
TEST_F (MissedChanges, EmptyAnswerOfAWatchIsNoProofOfTheRevisionThatItNames)
{
  Rig &rig = start_nodes ();
  const GspanFollower &follower = rig.node.catalog.followers[GSPAN_FOLLOW_REPLICAS];

  world.run (5 * GSPAN_SECOND);
  for (unsigned i = 0; i < 20; i++)
    {
      put_unseen ("d2", spec_of (2, "ready", 2 + i));
      guint64 changed = world.objects["servers"]["d2"].revision;
      for (unsigned step = 0; step < 200; step++)
        {
          world.run (10 * GSPAN_MS);
          if (follower.revision < changed)
            continue;
          EXPECT_EQ (gspan_known_objects_revision (&follower.known, "d2"), changed);
        }
    }
}

/* All nodes read that it drains, and die; a write of before is done while they are down. */
TEST_F (MissedChanges, EntryThatWasReadyAgainWhileAllNodesWereDead)
{
  start_nodes (3);
  world.run (10 * GSPAN_SECOND);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.run (GSPAN_SECOND);
  world.restart_all ();
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  world.run (notice_us);
  for (auto &rig : world.rigs)
    EXPECT_EQ (count_requests_to (*rig, first_desk, 100), 0U) << rig->name;
}

/* What changed on its last pages is older than the list, and told no more. */
TEST_F (MissedChanges, ListInPagesBesideWhatAnotherNodeTells)
{
  world.page_size = 1;
  start_nodes (3);
  world.put ("servers", "x9", replica_spec ("desk", 9, 0).c_str ());
  world.run (10 * GSPAN_SECOND);
  for (unsigned i = 0; i < 30; i++)
    {
      Rig &rig = *world.rigs[world.rigs[0]->node.weights.lease.held ? 1 : 0];

      rig.cut_from_store = true;
      world.lose_datagrams = true;
      world.run (3 * GSPAN_SECOND);
      world.put ("servers", "x9", spec_of (9, "draining", 10 + i).c_str ());
      world.run (3 * GSPAN_SECOND);
      rig.cut_from_store = false;
      for (int step = 0; step < 200 && !is_watched (rig, "servers"); step++)
        world.run (10 * GSPAN_MS);
      world.run (i * 10 * GSPAN_MS);
      world.lose_datagrams = false;
      world.run (notice_us);
      EXPECT_FALSE (uses (rig, "x9")) << i;
      world.put ("servers", "x9", spec_of (9, "ready", 11 + i).c_str ());
      world.run (notice_us);
    }
}

/* Its first pages are older than the outage. */
TEST_F (MissedChanges, ListInPagesThatGoesOnAfterAnOutage)
{
  Rig &rig = start_nodes ();

  world.page_size = 1;
  for (unsigned i = 0; i < 10; i++)
    {
      world.put ("servers", "d1", spec_of (1, "ready", i + 2).c_str ());
      world.run (3 * GSPAN_SECOND);
      world.compact ("servers");
      for (int step = 0; step < 200 && is_watched (rig, "servers"); step++)
        world.run (10 * GSPAN_MS);
      world.run (i * 10 * GSPAN_MS);
      world.fault = StoreFault::Busy;
      put_unseen ("d1", spec_of (1, "draining", i + 2));
      world.run (3 * GSPAN_SECOND);
      world.fault = StoreFault::None;
      world.run (notice_us);
      EXPECT_FALSE (uses (rig, "d1")) << i;
    }
}

/*
 * Random trouble: after it, and in calm, each node uses exactly what the store holds. Where the
 * store lost the word that an incarnation drains, nodes differ by whether they had read it.
 */
class RandomTrouble : public MissedChanges
{
protected:
  std::map<unsigned, unsigned> births;  /* of a desk replica's number */
  std::map<unsigned, bool> has_drained; /* that incarnation */
  std::map<unsigned, bool> is_undone;   /* and its entry was written as ready after that */
  GRand *random = nullptr;
  unsigned config_version = 3;
  bool watches_tell = true; /* of each change, unless its history is dropped */
  bool slow_lists = false;  /* what lists show is up to a second old as it comes */

  unsigned
  draw (unsigned below)
  {
    return (unsigned)g_rand_int_range (random, 0, (gint32)below);
  }

  std::string
  name_of (unsigned number) const
  {
    return "d" + std::to_string (number);
  }

  void
  write (unsigned number, const char *state)
  {
    bool untold = draw (4) == 0 && !watches_tell;
    bool drains = strcmp (state, "draining") == 0;

    is_undone[number] = is_undone[number] || (has_drained[number] && !drains);
    has_drained[number] = has_drained[number] || drains;
    world.put ("servers", name_of (number), spec_of (number, state, births[number]).c_str ());
    if (untold)
      world.history.pop_back ();
  }

  void
  change_one (unsigned number)
  {
    if (draw (8) == 0)
      world.put ("config", "main", config_spec (++config_version).c_str ());
    switch (draw (5))
      {
      case 0:
        write (number, "draining");
        break;
      case 1:
        world.remove ("servers", name_of (number));
        break;
      case 2: /* starts anew */
        births[number]++;
        has_drained[number] = is_undone[number] = false;
        write (number, "ready");
        break;
      default: /* an entry of before */
        write (number, "ready");
        break;
      }
  }

  void
  disturb ()
  {
    Rig &rig = *world.rigs[draw ((unsigned)world.rigs.size ())];

    switch (draw (8))
      {
      case 0:
        for (const char *kind : { "servers", "config", "nodes", "poison" })
          world.compact (kind);
        break;
      case 1:
        world.lose_datagrams = !world.lose_datagrams;
        break;
      case 2:
        rig.paused = !rig.paused;
        break;
      case 3:
        rig.cut_from_store = !rig.cut_from_store;
        break;
      case 4:
        world.fault = draw (2) == 0 ? StoreFault::Busy : StoreFault::Unreachable;
        break;
      case 5:
        world.fault = StoreFault::None;
        break;
      default:
        break;
      }
  }

  /* Revision of the last change of the object NAME, which may be gone. */
  guint64
  last_change_of (const std::string &kind, const std::string &name) const
  {
    guint64 last = 0;

    for (const auto &change : world.history)
      if (change.second.first == kind && change.second.second == name)
        last = change.first;
    return last;
  }

  /* All changes up to the revision that RIG holds for known have been read. */
  void
  check_revision (const Rig &rig, const GspanFollower &follower, guint32 seed)
  {
    std::set<std::string> names;

    for (const auto &change : world.history)
      if (change.second.first == follower.kind)
        names.insert (change.second.second);
    for (const auto &name : names)
      {
        guint64 changed = last_change_of (follower.kind, name);
        bool exists = world.objects[follower.kind].count (name) > 0;

        if (changed > follower.revision)
          continue;
        EXPECT_EQ (gspan_known_objects_revision (&follower.known, name.c_str ()),
                   exists ? changed : 0)
            << "seed " << seed << ", " << rig.name << ", " << follower.kind << " " << name;
      }
  }

  /* Runs the world; what each node holds for known is so at each moment, whatever is followed. */
  void
  run (guint64 us, guint32 seed)
  {
    for (guint64 end = world.now + us; world.now < end;)
      {
        world.run (MIN (end - world.now, 50 * GSPAN_MS));
        if (!watches_tell || HasFailure ())
          continue;
        for (auto &rig : world.rigs)
          for (const auto &follower : rig->node.catalog.followers)
            if (follower.synced && g_strcmp0 (follower.kind, GSPAN_JOBS_KIND) != 0)
              check_revision (*rig, follower, seed);
      }
  }

  void
  set_slow_lists (bool slow)
  {
    world.answers_lists_early = slow;
    world.latency_of = nullptr;
    if (!slow)
      return;
    world.latency_of = [this] (const Rig &, const GspanStoreCall &call) {
      return call.op == GSPAN_STORE_LIST ? draw (100) * 10 * GSPAN_MS : world.latency_us;
    };
  }

  void
  calm_down (guint32 seed)
  {
    set_slow_lists (false);
    world.fault = StoreFault::None;
    world.lose_datagrams = false;
    for (auto &rig : world.rigs)
      rig->paused = rig->cut_from_store = false;
    run (8 * GSPAN_SECOND, seed);
  }

  void
  check (guint32 seed)
  {
    for (auto &rig : world.rigs)
      for (unsigned number = 1; number <= 6; number++)
        {
          bool listed = world.objects["servers"].count (name_of (number)) > 0;

          if (is_undone[number])
            continue;
          EXPECT_EQ (uses (*rig, name_of (number)), listed && !has_drained[number])
              << "seed " << seed << ", " << rig->name << ", " << name_of (number);
        }
  }

  void
  play (guint32 seed)
  {
    random = g_rand_new_with_seed (seed);
    watches_tell = draw (2) == 0;
    world.page_size = draw (2) == 0 ? 500 : 1 + draw (4);
    for (unsigned number = 1; number <= 6; number++)
      {
        births[number] = 1;
        has_drained[number] = is_undone[number] = false;
      }
    start_nodes (3);
    config_version = 3;
    set_slow_lists (slow_lists);
    for (unsigned step = 0; step < 40; step++)
      {
        change_one (1 + draw (6));
        disturb ();
        run (draw (40) * 10 * GSPAN_MS, seed);
      }
    calm_down (seed);
    for (unsigned step = 0; step < 6; step++)
      {
        change_one (1 + draw (6));
        if (draw (2) == 0)
          world.compact ("servers");
        run (draw (30) * 10 * GSPAN_MS, seed);
      }
    run (notice_us, seed);
    check (seed);
    g_rand_free (random);
  }

  void
  play_all ()
  {
    const char *text = g_getenv ("GSPAN_SCHEDULES");
    guint32 schedules = text != nullptr ? (guint32)g_ascii_strtoull (text, nullptr, 10) : 200;

    for (guint32 seed = 1; seed <= schedules && !HasFailure (); seed++)
      {
        play (seed);
        world.clear ();
      }
  }
};

TEST_F (RandomTrouble, LeavesNoNodeWithOtherReplicasThanTheStoreHolds)
{
  play_all ();
}

TEST_F (RandomTrouble, BesideListsThatAreOldAsTheyComeLeavesNoNodeWithOtherReplicas)
{
  slow_lists = true;
  play_all ();
}

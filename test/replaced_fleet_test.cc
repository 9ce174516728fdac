#include "node_world.h"

#include <xxhash.h>

extern "C"
{
#include "gateway/origin_store.h"
}

/* Fleets whose machines are replaced many times: who left is no longer counted on for anything. */

class ReplacedFleet : public NodeTest
{
protected:
  unsigned next_name = 1;
  std::vector<std::string> gone;

  void
  start_fleet (unsigned nodes)
  {
    start_nodes (nodes);
    next_name = nodes + 1;
  }

  Rig &
  rig_at (size_t index)
  {
    return *world.rigs[index];
  }

  void
  take_away (size_t index)
  {
    gone.push_back (rig_at (index).name);
    world.drop_pending_calls (&rig_at (index));
    world.rigs.erase (world.rigs.begin () + (long)index);
  }

  /* With a number, and so addresses, that no machine has had. */
  void
  add_machine ()
  {
    world.rigs.push_back (
        std::make_unique<Rig> (world, "vm-" + std::to_string (next_name), next_name));
    next_name++;
  }

  /* The new machine comes first, then the oldest one drains and ends. */
  void
  replace_planned ()
  {
    add_machine ();
    world.run (500 * GSPAN_MS);
    rig_at (0).drain ();
    world.run (2500 * GSPAN_MS);
    EXPECT_FALSE (gspan_node_has_open_work (&rig_at (0).node));
    take_away (0);
  }

  /* The oldest one is gone at once; the new one comes a second later. */
  void
  replace_unplanned ()
  {
    take_away (0);
    world.run (GSPAN_SECOND);
    add_machine ();
    world.run (4 * GSPAN_SECOND);
  }

  bool
  is_gone (const std::string &name) const
  {
    return std::find (gone.begin (), gone.end (), name) != gone.end ();
  }

  std::vector<std::string>
  candidates_of (Rig &rig, const std::string &key, guint count)
  {
    std::vector<const char *> names (count);
    guint found = gspan_peers_takeover_candidates (&rig.node, key.c_str (), rig.name.c_str (),
                                                   names.data (), count);

    return { names.begin (), names.begin () + found };
  }

  size_t
  index_of (const std::string &name) const
  {
    size_t index = 0;

    while (world.rigs[index]->name != name)
      index++;
    return index;
  }

  Rig &
  rig_called (const std::string &name)
  {
    return rig_at (index_of (name));
  }

  /* Name of the node that runs JOB; empty where none does. */
  std::string
  owner_of (const std::string &job) const
  {
    for (const auto &rig : world.rigs)
      {
        const GspanJob *known = gspan_jobs_find (&rig->node.jobs, job.c_str ());

        if (known != nullptr && known->is_owner)
          return rig->name;
      }
    return "";
  }

  unsigned
  owners_of (const std::string &job) const
  {
    unsigned owners = 0;

    for (const auto &rig : world.rigs)
      {
        const GspanJob *known = gspan_jobs_find (&rig->node.jobs, job.c_str ());

        owners += known != nullptr && known->is_owner;
      }
    return owners;
  }

  /* All nodes draw the same order for KEY, and only from those that live. */
  void
  expect_ranks_of_the_living (const std::string &key)
  {
    std::vector<bool> ranks (world.rigs.size (), false);

    for (auto &rig : world.rigs)
      {
        guint rank = gspan_peers_takeover_rank (&rig->node, key.c_str (), "");

        ASSERT_LT (rank, world.rigs.size ()) << key << " at " << rig->name;
        EXPECT_FALSE (ranks[rank]) << key << " at " << rig->name;
        ranks[rank] = true;
        for (const auto &name : candidates_of (*rig, key, 6))
          EXPECT_FALSE (is_gone (name)) << key << ": " << name << " at " << rig->name;
      }
  }

  void
  expect_first_day ()
  {
    for (const char *key : { "j1", "j2", "j3", "origins-0", "origins-1", "orders", "desk" })
      expect_ranks_of_the_living (key);
  }

  /* A job's id both of whose first candidates, among all names ever, are machines that left. */
  std::string
  job_of_the_gone (const std::string &owner)
  {
    std::vector<std::string> names = gone;

    for (auto &rig : world.rigs)
      names.push_back (rig->name);
    for (unsigned number = 0;; number++)
      {
        std::string job = "j" + std::to_string (number);
        guint64 seed = XXH64 (job.data (), job.size (), 0);
        auto weight
            = [&] (const std::string &name) { return XXH64 (name.data (), name.size (), seed); };

        std::sort (names.begin (), names.end (),
                   [&] (const auto &a, const auto &b) { return weight (a) > weight (b); });
        size_t first = names[0] == owner ? 1 : 0;
        size_t second = names[first + 1] == owner ? first + 2 : first + 1;
        if (is_gone (names[first]) && is_gone (names[second]))
          return job;
      }
  }
};

/* review/1: a step of a removed machine stayed with nobody, its candidates had left before. */
TEST_F (ReplacedFleet, JobOfARemovedOwnerIsTakenOverThoughEarlierMachinesLeft)
{
  start_fleet (4);
  for (unsigned i = 0; i < 4; i++)
    replace_planned ();
  std::string job = job_of_the_gone (rig_at (0).name);

  submit_job (rig_at (0), 1, job, 4);
  world.run (GSPAN_SECOND);
  ASSERT_TRUE (gspan_jobs_find (&rig_at (0).node.jobs, job.c_str ())->is_owner);
  take_away (0);
  world.run (5 * GSPAN_SECOND); /* LOST allows items to lie for so long */
  EXPECT_EQ (owners_of (job), 1U);
}

/* Entries of machines that left stayed in the store for ever, and in every rank. */
TEST_F (ReplacedFleet, PlannedReplacementsLeaveNoEntryBehind)
{
  start_fleet (9);
  for (unsigned i = 0; i < 45; i++)
    replace_planned ();
  EXPECT_EQ (world.objects["nodes"].size (), 9U);
  expect_first_day ();
}

TEST_F (ReplacedFleet, UnplannedReplacementsAreForgottenToo)
{
  start_fleet (9);
  for (unsigned i = 0; i < 45; i++)
    {
      replace_unplanned ();
      expect_first_day ();
    }
  world.run (60 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["nodes"].size (), 9U);
}

/* Both keepers of a stream's origin had left: nobody wrote it to the store. */
TEST_F (ReplacedFleet, OriginsHaveKeepersThatLive)
{
  start_fleet (4);
  for (unsigned i = 0; i < 8; i++)
    replace_planned ();
  for (unsigned number = 0; number < 16; number++)
    {
      std::string attempt = "a" + std::to_string (number);
      unsigned keepers = 0;

      for (auto &rig : world.rigs)
        keepers += gspan_origin_store_is_keeper (&rig->node, attempt.c_str ());
      EXPECT_EQ (keepers, 2U) << attempt;
    }
}

/* A node that stood still or was cut off was taken for gone: it counts again when it is back. */
TEST_F (ReplacedFleet, NodeThatComesBackIsRegisteredAgain)
{
  start_fleet (4);
  rig_at (2).paused = true;
  world.run (10 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["nodes"].size (), 4U);
  gone = { rig_at (2).name };
  for (const auto &name : candidates_of (rig_at (0), "j1", 3))
    EXPECT_FALSE (is_gone (name));
  rig_at (2).paused = false;
  gone.clear ();
  world.run (3 * GSPAN_SECOND);
  expect_first_day ();

  rig_at (2).paused = true;
  world.run (60 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["nodes"].size (), 3U);
  rig_at (2).paused = false;
  world.run (10 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["nodes"].size (), 4U);
  expect_first_day ();
}

/* A node that hears nobody may be cut off itself: it takes no entry away. */
TEST_F (ReplacedFleet, NodesThatHearNobodyRemoveNoEntry)
{
  start_fleet (4);
  world.lose_datagrams = true;
  world.run (120 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["nodes"].size (), 4U);
  world.lose_datagrams = false;
  world.run (5 * GSPAN_SECOND);
  expect_first_day ();
}

/* Nodes that differ in who is present must not take jobs from an owner that lives. */
TEST_F (ReplacedFleet, JobStaysWithItsOwnerWhileItsCandidatesAreReplaced)
{
  start_fleet (6);
  submit_job (rig_at (5), 1, "j1", 4);
  world.run (GSPAN_SECOND);
  Rig &owner = rig_at (5);
  guint64 revision = gspan_jobs_find (&owner.node.jobs, "j1")->head_revision;

  for (unsigned i = 0; i < 5; i++)
    {
      for (size_t r = 0; r + 1 < world.rigs.size (); r++)
        read_results (rig_at (r), 100 + i * 10 + r, "j1", 0, 100);
      replace_unplanned ();
    }
  ASSERT_TRUE (gspan_jobs_find (&owner.node.jobs, "j1")->is_owner);
  EXPECT_EQ (gspan_jobs_find (&owner.node.jobs, "j1")->head_revision, revision);
}

/*
 * A node that alone doesn't hear the two candidates takes itself for one; the owner, which hears
 * them, sends it no heartbeats.
 */
TEST_F (ReplacedFleet, JobStaysWithItsOwnerWhereNodesDifferInWhoIsPresent)
{
  start_fleet (6);
  submit_job (rig_at (5), 1, "j1", 4);
  world.run (GSPAN_SECOND);
  guint64 revision = gspan_jobs_find (&rig_at (5).node.jobs, "j1")->head_revision;
  Rig *third = nullptr;

  for (size_t i = 0; i < 5; i++)
    if (gspan_peers_takeover_rank (&rig_at (i).node, "j1", rig_at (5).name.c_str ()) == 2)
      third = &rig_at (i);
  ASSERT_NE (third, nullptr);
  read_results (*third, 100, "j1", 0, 100);
  std::vector<std::string> unheard = candidates_of (rig_at (5), "j1", 2);
  std::string address = third->node.self.udp_address;
  world.loses_datagram = [=] (const Rig &from, const std::string &to) {
    return to == address
           && std::find (unheard.begin (), unheard.end (), from.name) != unheard.end ();
  };
  world.run (15 * GSPAN_SECOND);
  ASSERT_EQ (gspan_peers_takeover_rank (&third->node, "j1", rig_at (5).name.c_str ()), 0U);
  EXPECT_EQ (gspan_jobs_find (&rig_at (5).node.jobs, "j1")->head_revision, revision);
  EXPECT_TRUE (gspan_jobs_find (&rig_at (5).node.jobs, "j1")->is_owner);
}

/*
 * In a large fleet heartbeats are seconds apart. Candidates that have just died must be known
 * sooner, since the owner may die next.
 */
TEST_F (ReplacedFleet, CandidatesThatDiedAreReplacedInALargeFleetToo)
{
  start_fleet (80);
  submit_job (rig_at (0), 1, "j1", 4);
  world.run (3 * GSPAN_SECOND);
  std::string owner = owner_of ("j1");
  std::vector<std::string> dying = candidates_of (rig_called (owner), "j1", 2);
  for (const auto &name : dying)
    take_away (index_of (name));
  world.run (2500 * GSPAN_MS);
  for (const auto &name : candidates_of (rig_called (owner), "j1", 2))
    EXPECT_FALSE (is_gone (name));
  ASSERT_EQ (owner_of ("j1"), owner);
  take_away (index_of (owner));
  world.run (5 * GSPAN_SECOND); /* LOST allows items to lie for so long */
  EXPECT_EQ (owners_of ("j1"), 1U);
}

/* Entries of builds before this one say nothing of heartbeats: these are asked in another way. */
TEST_F (ReplacedFleet, EntriesThatABuildBeforeLeftAreNotCountedOn)
{
  for (unsigned i = 20; i < 26; i++)
    {
      std::string name = "vm-" + std::to_string (i);

      world.put ("nodes", name,
                 ("{\"udp\":\"127.0.0.1:" + std::to_string (i)
                  + "\",\"zone\":\"bratislava\",\"relay\":\"127.0.1.1:" + std::to_string (i)
                  + "\",\"relay_key\":\"k\"}")
                     .c_str ());
      gone.push_back (name);
    }
  start_fleet (4);
  world.run (20 * GSPAN_SECOND);
  expect_first_day ();
  world.run (700 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["nodes"].size (), 4U);
}

/* One that can't be asked may live: its entry stays. */
TEST_F (ReplacedFleet, EntryOfABuildThatAnswersNothingStays)
{
  world.put ("nodes", "vm-20", R"({"udp":"127.0.0.1:20","zone":"bratislava"})");
  start_fleet (3);
  world.run (700 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["nodes"].size (), 4U);
}

/*
 * In calm, membership costs the store nothing, however many nodes there are. A machine that is
 * replaced costs two writes, and a list at each node, for the new entry. CI plays a smaller fleet;
 * by hand: GSPAN_FLEET_SIZE=300.
 */
TEST_F (ReplacedFleet, MembershipOfALargeFleetCostsNoCallsInCalm)
{
  const char *size = g_getenv ("GSPAN_FLEET_SIZE");
  unsigned nodes = size != nullptr ? (unsigned)std::stoul (size) : 80;
  auto count = [&] (const char *op) {
    return world.call_counts[std::string (op) + " " + GSPAN_PEERS_KIND];
  };
  auto writes = [&] { return count ("create") + count ("replace") + count ("remove"); };

  start_fleet (nodes);
  world.run (12 * GSPAN_SECOND);
  unsigned writes_before = writes ();
  unsigned lists_before = count ("list");
  world.run (20 * GSPAN_SECOND);
  EXPECT_EQ (writes (), writes_before);
  EXPECT_EQ (count ("get"), 0U);
  EXPECT_LE (count ("list"), lists_before + 4); /* the node that tells proves what it knows */
  lists_before = count ("list");
  for (unsigned i = 0; i < 3; i++)
    replace_planned ();
  EXPECT_EQ (writes (), writes_before + 6);
  EXPECT_LE (count ("list"), lists_before + 3 * (nodes + 4));
  EXPECT_EQ (world.objects[GSPAN_PEERS_KIND].size (), nodes);
  expect_ranks_of_the_living ("origins-0");
}

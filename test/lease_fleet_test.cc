#include "test/fake_platform.h"

#include <algorithm>

/* Some boards that all want the same leases, and what has to hold of their beliefs. */
class Holders
{
public:
  Boards boards;
  std::vector<std::string> names;
  std::map<std::string, std::map<guint64, guint32>> holders; /* lease, fence, incarnation */
  std::string broken;

  Holders (guint32 seed, size_t nodes, size_t leases, guint64 start_gap = 0) : boards (seed)
  {
    for (size_t i = 0; i < leases; i++)
      names.push_back ("pool.p" + std::to_string (i));
    boards.on_start = [this] (Boards::Node &node) {
      for (const std::string &name : names)
        gspan_leases_acquire (&node.bench->board.leases, name.c_str ());
    };
    for (size_t i = 0; i < nodes; i++)
      {
        boards.add ("vm-" + std::to_string (i + 1));
        boards.run (start_gap, [this] { check (); });
      }
  }

  GspanLease *
  lease (const Boards::Node &node, const std::string &name)
  {
    size_t index = (size_t)(std::find (names.begin (), names.end (), name) - names.begin ());

    return static_cast<GspanLease *> (g_ptr_array_index (node.bench->board.leases.items, index));
  }

  bool
  believes (const Boards::Node &node, const std::string &name)
  {
    return gspan_lease_held (lease (node, name), boards.clock_of (node));
  }

  size_t
  believers (const std::string &name)
  {
    size_t count = 0;

    for (const auto &node : boards.nodes)
      count += believes (*node, name);
    return count;
  }

  void
  check ()
  {
    for (const std::string &name : names)
      {
        if (believers (name) > 1)
          broken = "two holders of " + name;
        for (const auto &node : boards.nodes)
          note_fence (*node, name);
      }
  }

  void
  note_fence (const Boards::Node &node, const std::string &name)
  {
    guint64 fence = lease (node, name)->fencing_token;
    guint32 incarnation = node.bench->board.incarnation;

    if (!believes (node, name))
      return;
    auto [at, fresh] = holders[name].emplace (fence, incarnation);
    if (!fresh && at->second != incarnation)
      broken = "fence " + std::to_string (fence) + " of " + name + " held by two processes";
  }

  /* Pauses, crashes, outages, lost answers and deletions by an operator, for a while. */
  void
  trouble (bool crashes, bool deletions)
  {
    Boards::Node &node = *boards.nodes[boards.draw (boards.nodes.size ())];

    switch (boards.draw (5))
      {
      case 0:
        node.paused_until = boards.now + boards.draw (8 * GSPAN_SECOND);
        break;
      case 1:
        if (crashes)
          boards.start (node);
        break;
      case 2:
        boards.outage_until = boards.now + boards.draw (10 * GSPAN_SECOND);
        break;
      case 3:
        boards.fault_percent = (unsigned)boards.draw (60);
        break;
      default:
        if (deletions)
          boards.platform.remove ("lease/" + names[boards.draw (names.size ())]);
      }
    boards.run (boards.draw (6 * GSPAN_SECOND), [this] { check (); });
  }

  void
  calm ()
  {
    boards.fault_percent = 0;
    boards.outage_until = 0;
    boards.run (25 * GSPAN_SECOND, [this] { check (); });
  }
};

RC_GTEST_PROP (LeaseFleet, OneHolderPerFenceAndProgressOnceFaultsEnd, (bool deletions))
{
  guint32 seed = *rc::gen::inRange<guint32> (0, 1 << 30);
  Holders holders (seed, 3, 2);

  holders.boards.run (6 * GSPAN_SECOND, [&] { holders.check (); });
  for (int i = 0; i < 12; i++)
    holders.trouble (!deletions, deletions);
  holders.calm ();
  RC_LOG () << holders.broken;
  RC_ASSERT (holders.broken.empty ());
  for (const std::string &name : holders.names)
    RC_ASSERT (holders.believers (name) == 1);
}

/* The property above can fail: a clock at a third of its speed makes a holder overstay. */
TEST (LeaseFleet, SlowClockIsCaughtByTheProperty)
{
  Holders holders (3, 3, 2);

  holders.boards.run (6 * GSPAN_SECOND, [&] { holders.check (); });
  for (auto &node : holders.boards.nodes)
    {
      if (holders.believes (*node, holders.names[0]))
        node->clock_percent = 33;
    }
  holders.boards.outage_until = holders.boards.now + 2 * GSPAN_SECOND;
  for (int i = 0; i < 12; i++)
    holders.trouble (false, false);
  EXPECT_FALSE (holders.broken.empty ());
}

TEST (LeaseFleet, LeasesSpreadOverNodesThatStartOneAfterTheOther)
{
  Holders holders (5, 6, 6, 100 * GSPAN_MS);

  holders.boards.run (10 * GSPAN_SECOND, [&] { holders.check (); });
  EXPECT_EQ (holders.broken, "");
  for (const auto &node : holders.boards.nodes)
    {
      size_t held = 0;

      for (const std::string &name : holders.names)
        held += holders.believes (*node, name);
      EXPECT_LE (held, 3U) << node->name;
    }
}

static void
drain_holder (Holders &holders, const std::string &name)
{
  for (auto &node : holders.boards.nodes)
    {
      if (!holders.believes (*node, name))
        continue;
      holders.boards.handle (*node, [] (Bench &bench) {
        GspanEvent event{};

        event.kind = GSPAN_EVENT_DRAIN;
        bench.handle (event);
      });
      return;
    }
}

TEST (LeaseFleet, DrainHandsOverWithinASecond)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      Holders holders (seed, 3, 1);
      const std::string &name = holders.names[0];

      holders.boards.run (6 * GSPAN_SECOND);
      ASSERT_EQ (holders.believers (name), 1U);
      drain_holder (holders, name);
      EXPECT_EQ (holders.believers (name), 0U);
      holders.boards.run (GSPAN_SECOND, [&] { holders.check (); });
      EXPECT_EQ (holders.believers (name), 1U) << seed;
    }
}

TEST (LeaseFleet, OutageOfAnHourIsNotMetByAStampede)
{
  Holders holders (11, 6, 1);
  size_t calls = 0;

  holders.boards.run (6 * GSPAN_SECOND);
  holders.boards.outage_until = holders.boards.now + 3600 * GSPAN_SECOND;
  holders.boards.run (60 * GSPAN_SECOND);
  EXPECT_EQ (holders.believers (holders.names[0]), 0U);
  holders.boards.on_action = [&] (Boards::Node &, const GspanAction &action) {
    calls += action.kind == GSPAN_ACTION_OBJECT && action.ref.owner == GSPAN_OWNER_LEASES;
  };
  holders.boards.run (60 * GSPAN_SECOND);
  EXPECT_LE (calls, 6U * 60U / 3U);
  holders.boards.outage_until = 0;
  holders.boards.run (12 * GSPAN_SECOND, [&] { holders.check (); });
  EXPECT_EQ (holders.believers (holders.names[0]), 1U);
  EXPECT_EQ (holders.broken, "");
}

/*
 * The list of VMs lags: the three first in line for a lease may all be gone with their availability
 * zone while they are still listed. The others ask seldom, but they do take the lease.
 */
TEST (LeaseFleet, LeaseWhoseCandidatesAreAllGoneIsTakenByAnother)
{
  const char *gone[]
      = { "gone-1", "gone-2",  "gone-3",  "gone-4",  "gone-5",  "gone-6",  "gone-7", "gone-8",
          "gone-9", "gone-10", "gone-11", "gone-12", "gone-13", "gone-14", "gone-15" };
  GPtrArray *peers = g_ptr_array_new ();
  Holders holders (3, 2, 1);
  bool candidate = false;

  for (const char *name : gone)
    g_ptr_array_add (peers, const_cast<char *> (name));
  for (const auto &node : holders.boards.nodes)
    {
      node->bench->board.peers = peers;
      candidate |= gspan_lease_is_candidate (&node->bench->board, "pool.p0");
    }
  EXPECT_FALSE (candidate);
  holders.boards.run (10 * GSPAN_SECOND, [&] { holders.check (); });
  EXPECT_EQ (holders.believers ("pool.p0"), 0U);
  holders.boards.run (60 * GSPAN_SECOND, [&] { holders.check (); });
  EXPECT_EQ (holders.believers ("pool.p0"), 1U);
  EXPECT_EQ (holders.broken, "");
  g_ptr_array_unref (peers);
}

#include "test/mesh.h"

TEST (Membership, CrashIsSuspectedThenDeadEverywhere)
{
  Mesh mesh (8);

  mesh.run (10);
  EXPECT_EQ (mesh.count_state ("vm-3", GSPAN_MEMBER_ALIVE), 7);
  mesh.stop (*mesh.nodes[3]);
  mesh.run (4);
  EXPECT_EQ (mesh.count_state ("vm-3", GSPAN_MEMBER_DEAD), 0);
  mesh.run (26);
  EXPECT_EQ (mesh.count_state ("vm-3", GSPAN_MEMBER_DEAD), 7);
}

TEST (Membership, PausedNodeReturnsAndBlamesNobody)
{
  Mesh mesh (6);

  mesh.run (10);
  mesh.nodes[2]->paused = true;
  mesh.run (40);
  EXPECT_EQ (mesh.count_state ("vm-2", GSPAN_MEMBER_DEAD), 5);
  mesh.nodes[2]->paused = false;
  mesh.run (0.1);
  for (int i = 0; i < 6; i++)
    EXPECT_EQ (mesh.count_state (mesh.nodes[i]->name, GSPAN_MEMBER_SUSPECT), 0);
  mesh.run (30);
  for (int i = 0; i < 6; i++)
    EXPECT_EQ (mesh.count_state (mesh.nodes[i]->name, GSPAN_MEMBER_ALIVE), 5) << i;
  EXPECT_GT (mesh.nodes[2]->bench->board.probe.incarnation, 0U);
}

/* A suspicion that was young before the pause is not held for old after it. */
TEST (Membership, PauseCountsForNoSuspicion)
{
  Mesh mesh (4);
  GspanMembers &members = mesh.nodes[0]->bench->board.members;

  mesh.run (10);
  const GspanMember *member = gspan_members_find (&members, "vm-1");
  gspan_member claim = { member->name, member->zone,        member->udp,
                         member->rpc,  member->incarnation, GSPAN_MEMBER_SUSPECT };
  gspan_members_merge (&members, &claim, mesh.now);
  mesh.nodes[0]->paused = true;
  mesh.run (60);
  mesh.nodes[0]->paused = false;
  for (int i = 0; i < 10; i++)
    {
      mesh.run (0.5);
      EXPECT_NE (member->state, GSPAN_MEMBER_DEAD);
    }
  EXPECT_EQ (member->state, GSPAN_MEMBER_ALIVE);
}

/* Only the one way between two nodes is cut: the others vouch for them. */
TEST (Membership, OthersProbeForANodeThatIsOutOfReach)
{
  Mesh mesh (6);

  mesh.run (10);
  mesh.cut_links = { { 1, 4 } };
  for (int i = 0; i < 60; i++)
    {
      mesh.run (1);
      EXPECT_EQ (mesh.count_state ("vm-4", GSPAN_MEMBER_SUSPECT), 0);
      EXPECT_EQ (mesh.count_state ("vm-4", GSPAN_MEMBER_DEAD), 0);
    }
}

TEST (Membership, RestartedProcessTakesItsPlaceAgain)
{
  Mesh mesh (5);

  mesh.run (10);
  mesh.nodes[1]->paused = true;
  mesh.run (30);
  mesh.stop (*mesh.nodes[1]);
  mesh.nodes[1]->paused = false;
  mesh.start (*mesh.nodes[1]);
  mesh.run (30);
  EXPECT_EQ (mesh.count_state ("vm-1", GSPAN_MEMBER_ALIVE), 4);
}

TEST (Membership, MessagesDoNotGrowWithTheFleet)
{
  for (int size : { 6, 48 })
    {
      Mesh mesh (size, 3);

      mesh.run (30);
      for (auto &node : mesh.nodes)
        node->sent = node->sent_bytes = 0;
      mesh.run (60);
      guint64 sent = 0;
      guint64 bytes = 0;
      for (auto &node : mesh.nodes)
        {
          sent += node->sent;
          bytes += node->sent_bytes;
        }
      /* One ping and one acknowledgement a second, every eighth second one ping more. */
      EXPECT_LE (sent, static_cast<guint64> (size) * 60 * 5 / 2) << size;
      EXPECT_LE (bytes, static_cast<guint64> (size) * 60 * 1200) << size;
    }
}

/* The platform's list still names a dead node a minute later, and lacks a new one. */
TEST (Membership, LaggingListRevivesNobodyAndKeepsNobodyOut)
{
  Mesh mesh (6);

  mesh.run (10);
  mesh.stop (*mesh.nodes[4]);
  mesh.unlisted.insert ("vm-6");
  mesh.add ();
  mesh.run (30);
  EXPECT_EQ (mesh.count_state ("vm-4", GSPAN_MEMBER_DEAD), 6);
  EXPECT_EQ (mesh.count_state ("vm-6", GSPAN_MEMBER_ALIVE), 5);
  for (int i = 0; i < 30; i++)
    {
      mesh.unlisted = { i % 2 == 0 ? "vm-5" : "vm-6" }; /* the list changes, so it is read anew */
      mesh.run (1);
      EXPECT_EQ (mesh.count_state ("vm-4", GSPAN_MEMBER_DEAD), 6);
    }
  mesh.unlisted = { "vm-4" };
  mesh.run (120);
  EXPECT_EQ (mesh.count_state ("vm-4", GSPAN_MEMBER_DEAD), 0);
  EXPECT_EQ (mesh.count_state ("vm-6", GSPAN_MEMBER_ALIVE), 5);
}

TEST (Membership, DrainingNodeLeavesAtOnce)
{
  Mesh mesh (6);
  GspanEvent event{};

  mesh.run (10);
  event.kind = GSPAN_EVENT_DRAIN;
  mesh.nodes[5]->bench->handle (event);
  mesh.run (8);
  EXPECT_EQ (mesh.count_state ("vm-5", GSPAN_MEMBER_DEAD), 5);
}

TEST (Membership, MalformedDatagramsChangeNothing)
{
  Mesh mesh (2);

  mesh.run (5);
  for (const std::string &text : { std::string (), std::string ("\0\0\0\1", 4),
                                   std::string (900, '\xff'), std::string (64, '\0') })
    {
      GspanEvent event{};

      event.kind = GSPAN_EVENT_DATAGRAM;
      event.u.datagram.payload = { text.data (), text.size () };
      mesh.nodes[0]->bench->handle (event);
    }
  EXPECT_EQ (mesh.nodes[0]->bench->board.members.items->len, 1U);
}

TEST (Membership, ClaimsAreOrderedByIncarnationThenState)
{
  struct Case
  {
    guint64 incarnation;
    gspan_member_state state;
    bool changes;
  };
  static const Case cases[]
      = { { 0, GSPAN_MEMBER_DEAD, false }, /* unknown and dead */
          { 1, GSPAN_MEMBER_ALIVE, true },    { 0, GSPAN_MEMBER_DEAD, false },
          { 1, GSPAN_MEMBER_SUSPECT, true },  { 1, GSPAN_MEMBER_ALIVE, false },
          { 2, GSPAN_MEMBER_ALIVE, true },    { 2, GSPAN_MEMBER_DEAD, true },
          { 2, GSPAN_MEMBER_SUSPECT, false }, { 3, GSPAN_MEMBER_ALIVE, true } };
  GspanMembers members{};
  char name[] = "vm-9";

  gspan_members_init (&members);
  for (const Case &c : cases)
    {
      gspan_member claim = { name, name, name, name, c.incarnation, c.state };

      EXPECT_EQ (gspan_members_merge (&members, &claim, 1), c.changes) << c.incarnation << c.state;
    }
  gspan_members_finish (&members);
}

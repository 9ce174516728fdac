#include "test/mesh.h"

extern "C"
{
#include "rpc/codec.h"
}

/* A mesh in which all nodes have the same record in force. */
static std::unique_ptr<Mesh>
converged_mesh (int count, int zones = 2, unsigned seed = 1)
{
  auto mesh = std::make_unique<Mesh> (count, zones, seed);

  mesh->write ("r", "s1");
  mesh->run (30);
  EXPECT_EQ (mesh->lacking ("r", "s1"), "");
  return mesh;
}

static std::vector<Mesh::Node *>
platform_readers (Mesh &mesh)
{
  std::vector<Mesh::Node *> found;

  for (auto &node : mesh.nodes)
    if (node->up && gspan_follow_reads_platform (&node->bench->board))
      found.push_back (node.get ());
  return found;
}

TEST (Spread, OnlyWatchersOfEachZoneReadThePlatform)
{
  guint64 calls[2];

  for (int i = 0; i < 2; i++)
    {
      auto mesh = converged_mesh (i == 0 ? 8 : 32);

      EXPECT_EQ (platform_readers (*mesh).size (), 4U);
      mesh->calls = 0;
      mesh->run (60);
      calls[i] = mesh->calls;
    }
  EXPECT_LE (calls[1], calls[0] + calls[0] / 10);
}

TEST (Spread, RecordIsInForceEverywhereWithinTwoSeconds)
{
  auto mesh = converged_mesh (16, 3);

  for (int i = 2; i < 6; i++)
    {
      mesh->write ("r", "s" + std::to_string (i));
      mesh->run (2);
      EXPECT_EQ (mesh->lacking ("r", "s" + std::to_string (i)), "");
    }
  mesh->write ("r", "");
  mesh->run (2);
  EXPECT_EQ (mesh->lacking ("r", ""), "");
}

/* Only one watcher reads the change before the platform fails; the others get it from peers. */
TEST (Spread, RecordReadByOneWatcherBeforeAnOutageReachesAll)
{
  auto mesh = converged_mesh (9, 3);
  auto watchers = platform_readers (*mesh);

  for (size_t i = 1; i < watchers.size (); i++)
    watchers[i]->platform_cut = true;
  mesh->run (1);
  mesh->write ("r", "s2");
  mesh->run (0.2);
  mesh->outage = true;
  mesh->run (20);
  EXPECT_EQ (mesh->lacking ("r", "s2"), "");
  mesh->calls = 0;
  mesh->run (3600);
  EXPECT_EQ (mesh->lacking ("r", "s2"), "");
  EXPECT_LE (mesh->calls, 6 * (3600 + 3600 / 4 + 20U));
  mesh->outage = false;
  for (auto &node : mesh->nodes)
    node->platform_cut = false;
  mesh->write ("r", "s3");
  mesh->run (20);
  EXPECT_EQ (mesh->lacking ("r", "s3"), "");
  EXPECT_FALSE (mesh->went_back);
}

TEST (Spread, NodeStartedDuringAnOutageGetsRecordsFromPeers)
{
  auto mesh = converged_mesh (6, 3);

  mesh->outage = true;
  mesh->run (60);
  Mesh::Node &new_node = mesh->add (3);
  Mesh::Node &restarted = *mesh->nodes[2];
  mesh->stop (restarted);
  mesh->run (1);
  mesh->start (restarted);
  mesh->run (15);
  EXPECT_EQ (mesh->service (new_node, "r"), "s1");
  EXPECT_EQ (mesh->service (restarted, "r"), "s1");
  EXPECT_TRUE (new_node.bench->board.vms.has_list);
}

TEST (Spread, RecordReachesAllAfterTheWatchersCrash)
{
  auto mesh = converged_mesh (10);

  for (Mesh::Node *node : platform_readers (*mesh))
    mesh->stop (*node);
  mesh->write ("r", "s2");
  mesh->run (16);
  EXPECT_EQ (mesh->lacking ("r", "s2"), "");
  mesh->run (30);
  EXPECT_EQ (platform_readers (*mesh).size (), 4U);
}

/* The watchers, relays of the other nodes, are paused: calls to them time out. */
TEST (Spread, RecordReachesAllWhileTheWatchersArePaused)
{
  auto mesh = converged_mesh (10, 1);
  auto watchers = platform_readers (*mesh);

  for (Mesh::Node *node : watchers)
    node->paused = true;
  mesh->write ("r", "s2");
  mesh->run (16);
  for (auto &node : mesh->nodes)
    EXPECT_TRUE (node->paused || mesh->service (*node, "r") == "s2") << node->name;
  for (Mesh::Node *node : watchers)
    node->paused = false;
  mesh->run (10);
  EXPECT_EQ (mesh->lacking ("r", "s2"), "");
  EXPECT_FALSE (mesh->went_back);
}

/* One of two relays replies to pings but not to RPC calls: nodes switch to the other one. */
TEST (Spread, UnresponsiveRelayIsReplaced)
{
  auto mesh = converged_mesh (10, 1);

  platform_readers (*mesh)[0]->rpc_cut = true;
  mesh->run (20);
  EXPECT_EQ (platform_readers (*mesh).size (), 2U);
  mesh->write ("r", "s2");
  mesh->run (2);
  EXPECT_EQ (mesh->lacking ("r", "s2"), "");
}

/*
 * No RPC call between nodes succeeds: each node reads the platform itself after a while, and only
 * the watchers do once calls succeed again.
 */
TEST (Spread, NodesReadThePlatformIfNoRelayReplies)
{
  auto mesh = converged_mesh (6, 1);

  for (auto &node : mesh->nodes)
    node->rpc_cut = true;
  mesh->run (8); /* until the calls in flight have timed out */
  mesh->write ("r", "s2");
  mesh->run (16);
  EXPECT_EQ (mesh->lacking ("r", "s2"), "");
  for (auto &node : mesh->nodes)
    node->rpc_cut = false;
  mesh->run (20);
  EXPECT_EQ (platform_readers (*mesh).size (), 2U);
}

TEST (Spread, NetworkPartitionBetweenZonesThatReachThePlatform)
{
  auto mesh = converged_mesh (12, 2);

  for (int i = 0; i < 12; i++)
    mesh->nodes[i]->side = i / 6;
  mesh->run (20);
  mesh->write ("r", "s2");
  mesh->run (16);
  EXPECT_EQ (mesh->lacking ("r", "s2"), "");
  for (auto &node : mesh->nodes)
    node->side = 0;
  mesh->run (60);
  EXPECT_EQ (mesh->count_state ("vm-0", GSPAN_MEMBER_ALIVE), 11);
  EXPECT_EQ (platform_readers (*mesh).size (), 4U);
}

TEST (Spread, ZoneThatDoesNotReachThePlatform)
{
  auto mesh = converged_mesh (12, 2);

  /* The whole zone, with its watchers. */
  for (auto &node : mesh->nodes)
    node->platform_cut = node->zone == "zone-0";
  mesh->run (5);
  mesh->write ("r", "s2");
  mesh->run (16);
  EXPECT_EQ (mesh->lacking ("r", "s2"), "");
}

/* A delayed reply of a peer must not replace newer versions or undo a deletion. */
TEST (Spread, DelayedPeerReplyDoesNotRevertRecords)
{
  auto mesh = converged_mesh (4, 1);
  Bench &bench = *mesh->nodes[0]->bench;
  std::string objects = R"({"objects":[{"kind":"route","name":"r","version":2,)"
                        R"("value":{"schema":2,"firm":"p","service":"old"}},)"
                        R"({"kind":"route","name":"gone","version":3,)"
                        R"("value":{"schema":2,"firm":"p","service":"old"}}]})";

  mesh->write ("gone", "x");
  mesh->write ("r", "s2");
  mesh->run (2);
  mesh->write ("gone", "");
  mesh->run (2);
  for (gspan_changes_kind kind : { GSPAN_CHANGES_DELTA, GSPAN_CHANGES_LIST, GSPAN_CHANGES_SAME })
    {
      gspan_changes_res res{};
      GspanEvent event{};

      res.kind = kind;
      res.revision = 3;
      res.objects.objects_len = objects.size ();
      res.objects.objects_val = objects.data ();
      GBytes *payload
          = gspan_xdr_encode (reinterpret_cast<xdrproc_t> (xdr_gspan_changes_res), &res);
      event.kind = GSPAN_EVENT_RPC_DONE;
      event.ref = { GSPAN_OWNER_RECORDS, 2 };
      event.u.rpc.result = GSPAN_RPC_OK;
      event.u.rpc.payload = gspan_str_from_bytes (payload);
      bench.handle (event);
      g_bytes_unref (payload);
      EXPECT_EQ (mesh->service (*mesh->nodes[0], "r"), "s2");
      EXPECT_EQ (mesh->service (*mesh->nodes[0], "gone"), "");
    }
}

/* During an outage a new node gets from its peers the version in force and a newer, invalid one. */
TEST (Spread, NewNodeGetsTheLastValidVersion)
{
  auto mesh = converged_mesh (4, 1);

  mesh->write ("r", "\",\"idempotent\":\"no");
  mesh->run (3);
  EXPECT_EQ (mesh->lacking ("r", "s1"), "");
  mesh->outage = true;
  Mesh::Node &new_node = mesh->add ();
  mesh->run (10);
  EXPECT_EQ (mesh->service (new_node, "r"), "s1");
}

TEST (Spread, OneNodeWritesTheStatusOfEachRecord)
{
  auto mesh = converged_mesh (6);
  guint64 version = mesh->write ("r", "\",\"idempotent\":\"no");

  mesh->run (10);
  json_t *status = json_loads (mesh->written["status/record.route.r"].c_str (), 0, nullptr);
  EXPECT_EQ (json_integer_value (json_object_get (status, "observed_version")),
             static_cast<json_int_t> (version));
  EXPECT_LT (json_integer_value (json_object_get (status, "in_force_version")),
             static_cast<json_int_t> (version));
  json_t *accepted = json_array_get (json_object_get (status, "conditions"), 0);
  EXPECT_TRUE (json_is_false (json_object_get (accepted, "status")));
  EXPECT_NE (strstr (json_string_value (json_object_get (accepted, "message")), "idempotent"),
             nullptr);
  json_decref (status);
  int reporters = 0;
  for (auto &node : mesh->nodes)
    reporters += node->bench->board.statuses.items->len;
  EXPECT_EQ (reporters, 1);
}

/* Under faults no node reverts to an older version; after them all nodes converge. */
RC_GTEST_PROP (Spread, VersionsNeverRevertAndConverge, ())
{
  Mesh mesh (6, 2, *rc::gen::arbitrary<unsigned> ());
  int number = 0;

  mesh.loss = 0.1;
  mesh.doubles = 0.1;
  for (int step = 0; step < 12; step++)
    {
      Mesh::Node &node = *mesh.nodes[*rc::gen::inRange (0, 6)];

      switch (*rc::gen::inRange (0, 8))
        {
        case 0:
          mesh.outage = !mesh.outage;
          break;
        case 1:
          node.platform_cut = !node.platform_cut;
          break;
        case 2:
          node.side = !node.side;
          break;
        case 3:
          node.paused = !node.paused && node.up;
          break;
        case 4:
          node.paused = false;
          node.up ? mesh.stop (node) : mesh.start (node);
          break;
        default:
          mesh.write (*rc::gen::arbitrary<bool> () ? "a" : "b",
                      *rc::gen::inRange (0, 4) == 0 ? "" : "s" + std::to_string (++number));
        }
      mesh.run (*rc::gen::inRange (0, 15));
    }
  mesh.outage = false;
  for (auto &node : mesh.nodes)
    {
      node->platform_cut = node->paused = false;
      node->side = 0;
      if (!node->up)
        mesh.start (*node);
    }
  mesh.run (60);
  RC_ASSERT_FALSE (mesh.went_back);
  for (const char *name : { "a", "b" })
    RC_ASSERT (mesh.lacking (name, mesh.service (*mesh.nodes[0], name)) == "");
  mesh.write ("a", "last");
  mesh.run (5);
  RC_ASSERT (mesh.lacking ("a", "last") == "");
}

/* The live VMs of the platform's list are the peers that compete for leases. */
TEST (Vms, LiveVmsOfTheListAreTheLeasePeers)
{
  const std::string list
      = R"({"vms":[)"
        R"({"name":"vm-1","service":"gspan","zone":"z","address":"127.0.0.1:5","rpc":"127.0.0.1:6","state":"live"},)"
        R"({"name":"vm-2","service":"gspan","zone":"z","address":"127.0.0.2:5","rpc":"127.0.0.2:6","state":"live"},)"
        R"({"name":"vm-3","service":"gspan","zone":"z","address":"127.0.0.3:5","rpc":"127.0.0.3:6","state":"leaving"},)"
        R"({"name":"e","service":"model","zone":"z","address":"127.0.0.4:5","state":"live"}]})";
  GBytes *body = g_bytes_new (list.data (), list.size ());
  Bench bench;

  bench.board.peers = bench.board.vms.live_nodes;
  gspan_vms_apply (&bench.board, body);
  ASSERT_EQ (bench.board.vms.live_nodes->len, 2U);
  EXPECT_STREQ (static_cast<char *> (g_ptr_array_index (bench.board.vms.live_nodes, 0)), "vm-1");
  EXPECT_STREQ (static_cast<char *> (g_ptr_array_index (bench.board.vms.live_nodes, 1)), "vm-2");
  g_bytes_unref (body);
}

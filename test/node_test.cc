#include "test/node_world.h"

/* Discovery and configuration. */

TEST_F (NodeTest, KnowsNothingAnswers503AndIsNotReady)
{
  world.fault = StoreFault::Unreachable;
  Rig &rig = world.add ("vm-1");

  world.run (GSPAN_SECOND);
  send_desk_request (rig, 1, "a1");
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 503);
  EXPECT_TRUE (response_to (rig, 1)->has ("Retry-After"));
  EXPECT_FALSE (gspan_node_ready (&rig.node));
}

TEST_F (NodeTest, ConfigurationMissedByACutWatchIsInForceWithinTwoSeconds)
{
  Rig &rig = start_nodes ();

  /* the change comes in the gap that the watch never hears of */
  world.revision++;
  json_decref (world.objects["config"]["main"].spec);
  world.objects["config"]["main"].spec = json_loads (config_spec (7).c_str (), 0, nullptr);
  world.objects["config"]["main"].revision = ++world.revision;
  world.compact ("config");
  world.run (GSPAN_SECOND);
  EXPECT_EQ (rig.node.catalog.config.number, 7U);
}

TEST_F (NodeTest, OlderConfigurationNeverComesBack)
{
  Rig &rig = start_nodes ();

  world.put ("config", "main", config_spec (9).c_str ());
  world.run (GSPAN_SECOND);
  world.put ("config", "main", config_spec (5).c_str ());
  world.run (GSPAN_SECOND);
  EXPECT_EQ (rig.node.catalog.config.number, 9U);
}

TEST_F (NodeTest, UnreadableEntryHarmsNobodyAndIsLogged)
{
  Rig &rig = start_nodes ();

  world.put ("servers", "odd", "{\"service\":7,\"address\":null,\"slots\":\"x\"}");
  world.put ("servers", "odd2",
             "{\"service\":\"desk\",\"address\":\"10.0.0.9:80\",\"slots\":4,\"state\":\"asleep\"}");
  world.run (3 * GSPAN_SECOND);
  EXPECT_EQ (g_hash_table_size (rig.node.catalog.replicas), 4U);
  EXPECT_TRUE (rig.logged ("event=object-unreadable kind=servers name=odd"));
  EXPECT_TRUE (rig.logged ("name=odd2"));
}

TEST_F (NodeTest, DrainingReplicaGetsNothingNewWithinTwoSeconds)
{
  Rig &rig = start_nodes ();

  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.run (2 * GSPAN_SECOND);
  for (guint64 i = 1; i <= 10; i++)
    send_desk_request (rig, i, "a" + std::to_string (i));
  for (const auto &exchange : rig.exchanges)
    EXPECT_EQ (exchange.url.find ("10.0.0.1:"), std::string::npos);
}

TEST_F (NodeTest, EntryThatLapsedInAnOutageIsUsedForTwoSecondsMore)
{
  Rig &rig = start_nodes ();

  world.fault = StoreFault::Unreachable;
  world.run (14 * GSPAN_SECOND);
  world.remove_without_event ("servers", "d1");
  world.fault = StoreFault::None;
  world.run (1500 * GSPAN_MS);
  EXPECT_TRUE (g_hash_table_contains (rig.node.catalog.replicas, "d1"));
  world.run (3 * GSPAN_SECOND);
  EXPECT_FALSE (g_hash_table_contains (rig.node.catalog.replicas, "d1"));
}

TEST_F (NodeTest, EntriesThatLapseTogetherAreKeptEvenWhereNoCallFailed)
{
  Rig &rig = start_nodes ();

  /* the watch only waits and hears of all removals at once */
  for (const char *name : { "d1", "d2", "m1", "m2" })
    {
      world.remove_without_event ("servers", name);
      world.history.push_back ({ world.revision, { "servers", name } });
    }
  world.wake ("servers");
  world.run (1500 * GSPAN_MS);
  EXPECT_EQ (g_hash_table_size (rig.node.catalog.replicas), 4U);
  send_desk_request (rig, 1, "a1");
  EXPECT_EQ (rig.exchanges.size (), 1U);
  world.run (4 * GSPAN_SECOND);
  EXPECT_EQ (g_hash_table_size (rig.node.catalog.replicas), 0U);
}

TEST_F (NodeTest, EntryThatComesBackAfterAnOutageIsNeverDropped)
{
  Rig &rig = start_nodes ();

  world.fault = StoreFault::Unreachable;
  world.run (14 * GSPAN_SECOND);
  world.remove ("servers", "d1");
  world.fault = StoreFault::None;
  world.run (1500 * GSPAN_MS);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  for (int i = 0; i < 50; i++)
    {
      world.run (100 * GSPAN_MS);
      ASSERT_TRUE (g_hash_table_contains (rig.node.catalog.replicas, "d1"));
    }
}

TEST_F (NodeTest, OnlyOneFollowerAsksWhileTheStoreIsAway)
{
  start_nodes ();
  world.fault = StoreFault::Busy;
  world.run (12 * GSPAN_SECOND);
  unsigned before = world.call_counts["list servers"] + world.call_counts["list jobs"];
  world.run (10 * GSPAN_SECOND);
  EXPECT_EQ (world.call_counts["list servers"] + world.call_counts["list jobs"], before);
}

/* Desk requests. */

/* A call that was lost in the outage times out after the store has come back. */
TEST_F (NodeTest, LateFailureOfACallOfAnOutageIsNoNewOutage)
{
  Rig &rig = start_nodes ();

  world.fault = StoreFault::Unreachable;
  world.compact ("servers"); /* the watch ends, its list is lost */
  world.run (800 * GSPAN_MS);
  world.fault = StoreFault::None;
  world.put ("config", "main", config_spec (4).c_str ());
  world.run (2 * GSPAN_SECOND);
  EXPECT_FALSE (rig.node.catalog.store_fails);
  submit_job (rig, 1, "j1", 2);
  world.run (200 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 202);
}

TEST_F (NodeTest, RequestGoesOnUnchangedAndItsAnswerComesBackWhole)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  ASSERT_EQ (rig.exchanges.size (), 1U);
  EXPECT_NE (rig.exchanges[0].url.find ("/desk/x%2Fy?q=1"), std::string::npos);
  EXPECT_EQ (rig.exchanges[0].body, "hello");
  EXPECT_EQ (rig.exchanges[0].header ("X-Attempt-Id"), "a1");
  EXPECT_EQ (rig.exchanges[0].header ("X-Deadline-Ms"), "800");
  EXPECT_FALSE (rig.exchanges[0].header ("X-Expect-Instance").empty ());
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200,
                 { "X-Server-Stamp: s", "Connection: close", "X-Other: 1" }, "good");
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 200);
  EXPECT_EQ (response_to (rig, 1)->body, "good");
  EXPECT_TRUE (response_to (rig, 1)->has ("X-Server-Stamp"));
  EXPECT_FALSE (response_to (rig, 1)->has ("Connection"));
}

/* Nothing tells its answer from a late one to another request of the same connection. */
TEST_F (NodeTest, RequestWithoutAnIdSharesNoConnection)
{
  Rig &rig = start_nodes ();

  rig.request (1, "POST", "/desk/x", { "Host: a.example", "X-Deadline-Ms: 800" }, "hello");
  ASSERT_EQ (rig.exchanges.size (), 1U);
  EXPECT_TRUE (rig.exchanges[0].new_connection);
  send_desk_request (rig, 2, "a2");
  ASSERT_EQ (rig.exchanges.size (), 2U);
  EXPECT_FALSE (rig.exchanges[1].new_connection);
}

TEST_F (NodeTest, UnsignedSuccessIsNoAnswer)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, {}, "spoiled");
  EXPECT_EQ (response_to (rig, 1), nullptr);
  ASSERT_EQ (rig.exchanges.size (), 1U);
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
  EXPECT_EQ (response_to (rig, 1)->body, "good");
}

TEST_F (NodeTest, BusyReplicasAreCalledNotRunWithATimeToComeBack)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 503, { "X-Not-Executed: 1" }, "");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 503, { "X-Not-Executed: 1" }, "");
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 503);
  EXPECT_TRUE (response_to (rig, 1)->has ("Retry-After"));
}

TEST_F (NodeTest, LostAnswerIsNeverCalledNotRun)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 503, { "X-Not-Executed: 1" }, "");
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 502);
}

TEST_F (NodeTest, RequestThatMayNotRunTwiceIsSentOnceUnlessItSurelyDidNotRun)
{
  Rig &rig = start_nodes ();

  world.put ("config", "main", config_spec (4, "non_idempotent").c_str ());
  world.run (GSPAN_SECOND);
  send_desk_request (rig, 1, "a1");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
  EXPECT_TRUE (rig.exchanges.empty ());
  EXPECT_EQ (response_to (rig, 1)->status, 502);
  send_desk_request (rig, 2, "a2");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_NOT_SENT, 0, {}, "");
  ASSERT_EQ (rig.exchanges.size (), 1U);
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
  EXPECT_EQ (response_to (rig, 2)->status, 200);
}

TEST_F (NodeTest, SlowReplicaGetsAnotherBesideItAndTheFirstAnswerCounts)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  world.run (70 * GSPAN_MS);
  EXPECT_EQ (rig.exchanges.size (), 1U);
  world.run (20 * GSPAN_MS);
  ASSERT_EQ (rig.exchanges.size (), 2U);
  EXPECT_NE (rig.exchanges[0].url, rig.exchanges[1].url);
  rig.http_done (rig.exchanges[1], GSPAN_HTTP_COMPLETE, 200, signed_head, "second");
  EXPECT_EQ (response_to (rig, 1)->body, "second");
  EXPECT_TRUE (rig.exchanges.empty ());
}

TEST_F (NodeTest, TimeThatIsUpIsAnsweredAtOnceAndReplicasStop)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  world.run (820 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 504);
  EXPECT_TRUE (rig.exchanges.empty ());
}

TEST_F (NodeTest, CallerThatLeavesEndsTheWorkAtTheReplica)
{
  Rig &rig = start_nodes ();
  GspanEvent event{};

  send_desk_request (rig, 1, "a1");
  event.kind = GSPAN_EVENT_CALLER_DISCONNECTED;
  event.u.disconnected_request = 1;
  rig.handle (event);
  EXPECT_TRUE (rig.exchanges.empty ());
  EXPECT_EQ (rig.cancelled.size (), 1U);
}

TEST_F (NodeTest, ReplicaWhoseAddressServesAnotherIsAskedNoMore)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  std::string first = rig.exchanges[0].url;
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 421, { "X-Instance-Id: other" }, "");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
  for (guint64 i = 2; i <= 6; i++)
    {
      send_desk_request (rig, i, "a" + std::to_string (i));
      EXPECT_NE (rig.exchanges.back ().url, first);
    }
}

TEST_F (NodeTest, RequestThatCrashesReplicasReachesTwoOfThemAtMost)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
  world.run (5 * GSPAN_SECOND);
  send_desk_request (rig, 2, "a2");
  EXPECT_TRUE (rig.exchanges.empty ());
  EXPECT_EQ (response_to (rig, 2)->status, 503);
  EXPECT_TRUE (response_to (rig, 2)->has ("Retry-After"));
}

TEST_F (NodeTest, UnknownRouteIs404)
{
  Rig &rig = start_nodes ();

  rig.request (1, "GET", "/other/", { "Host: a.example" }, "");
  EXPECT_EQ (response_to (rig, 1)->status, 404);
}

TEST_F (NodeTest, StreamIsResumedElsewhereAfterItsLastWholeEvent)
{
  Rig &rig = start_nodes ();

  world.put ("config", "main", config_spec (4, "streaming").c_str ());
  world.run (GSPAN_SECOND);
  send_desk_request (rig, 1, "a1");
  Exchange first = rig.exchanges[0];
  rig.http_head (first, 200, stream_head (1));
  rig.http_data (first, 200, stream_head (1), sse (1) + sse (2) + "id: 3\nda");
  rig.http_done (first, GSPAN_HTTP_LOST, 200, stream_head (1), "");
  ASSERT_EQ (rig.exchanges.size (), 1U);
  Exchange second = rig.exchanges[0];
  EXPECT_EQ (second.header ("Last-Event-Id"), "2");
  rig.http_head (second, 200, stream_head (1));
  rig.http_data (second, 200, stream_head (1), sse (3));
  rig.http_done (second, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2) + sse (3));
  EXPECT_EQ (rig.responses.back ().status, 0);
}

/* Emptying a VM. */

TEST_F (NodeTest, RequestToEmptyTheVmIsAnsweredOnceItCanBe)
{
  Rig &rig = start_nodes ();
  GspanNodeConfig config{};

  config.self = { "vm-9", "bratislava", "127.0.0.1:9", false, true };
  config.limits
      = { 3 * GSPAN_SECOND, 120 * GSPAN_SECOND, 2 * GSPAN_SECOND, 1 << 20, 1200 * GSPAN_MS };
  gspan_node_finish (&rig.node);
  world.drop_pending_calls (&rig);
  gspan_node_init (&rig.node, &config);
  world.run (GSPAN_SECOND);
  world.put ("retirements", "vm-9", "{\"durationS\":10}");
  world.put ("retirements", "vm-8", "{\"durationS\":10}");
  world.run (GSPAN_SECOND);
  json_t *status = world.objects["retirements"]["vm-9"].status;
  EXPECT_STREQ (json_string_value (json_object_get (status, "state")), "completed");
  EXPECT_EQ (world.objects["retirements"]["vm-8"].status, nullptr);
}

/* Events without an end may not fill the memory; callers get an error, items go on elsewhere. */
TEST_F (NodeTest, EventWithoutEndIsBrokenOffAtABound)
{
  Rig &rig = start_nodes ();
  std::string piece (64 << 10, 'x');
  size_t bytes = 0;

  world.put ("config", "main", config_spec (4, "streaming").c_str ());
  world.run (GSPAN_SECOND);
  send_desk_request (rig, 1, "a1");
  while (response_to (rig, 1) == nullptr || rig.responses.back ().status != -1)
    {
      ASSERT_FALSE (rig.exchanges.empty ());
      ASSERT_LE (bytes, (size_t)4 << 20) << "both attempts together";
      Exchange exchange = rig.exchanges.back ();
      if (response_to (rig, 1) == nullptr)
        rig.http_head (exchange, 200, stream_head (1));
      rig.http_data (exchange, 200, stream_head (1), (bytes == 0 ? "data: " : "") + piece);
      bytes += piece.size ();
    }
  EXPECT_TRUE (rig.exchanges.empty ());
  EXPECT_TRUE (rig.logged ("result=too-long"));
  EXPECT_TRUE (rig.logged ("the answer was too long"));
}

TEST_F (NodeTest, FailureWithoutEndOfAStreamIsBrokenOffAtABound)
{
  Rig &rig = start_nodes ();
  std::string piece (64 << 10, 'x');
  size_t bytes = 0;

  world.put ("config", "main", config_spec (4, "streaming").c_str ());
  world.run (GSPAN_SECOND);
  send_desk_request (rig, 1, "a1");
  while (response_to (rig, 1) == nullptr)
    {
      ASSERT_FALSE (rig.exchanges.empty ());
      ASSERT_LE (bytes, (size_t)4 << 20) << "both attempts together";
      rig.http_data (rig.exchanges.back (), 500, signed_head, piece);
      bytes += piece.size ();
    }
  EXPECT_EQ (response_to (rig, 1)->status, 502);
}

TEST_F (NodeTest, ItemWhoseEventOrTextHasNoEndGoesOnElsewhere)
{
  Rig &rig = start_nodes ();
  std::string piece (64 << 10, 'x');

  submit_job (rig, 1, "j1", 2);
  world.run (200 * GSPAN_MS);
  ASSERT_EQ (open_runs (rig).size (), 2U);
  Exchange event = open_runs (rig)[0];
  Exchange text = open_runs (rig)[1];
  rig.http_head (event, 200, stream_head (1));
  rig.http_head (text, 200, stream_head (1));
  for (unsigned i = 1; i <= 40; i++)
    {
      rig.http_data (event, 200, stream_head (1), piece);
      rig.http_data (text, 200, stream_head (1),
                     "id: " + std::to_string (i) + "\ndata: " + piece + "\n\n");
    }
  EXPECT_EQ (rig.cancelled.size (), 2U);
  world.run (500 * GSPAN_MS);
  ASSERT_EQ (open_runs (rig).size (), 2U);
  for (const auto &run : open_runs (rig))
    {
      EXPECT_EQ (run.header ("Last-Event-Id"), "");
      finish_run (rig, run, 3);
    }
  world.run (GSPAN_SECOND);
  read_results (rig, 9, "j1", 0);
  world.run (100 * GSPAN_MS);
  EXPECT_EQ (result_ids (*response_to (rig, 9)).size (), 2U);
}

#include "test/rejoined_streams.h"

/* Streams that are taken up after their origins were written, told or lost. */

TEST_F (RejoinedStreams, StreamsOfTwoVersionsStayApart)
{
  start (6);
  begin_streams (40);
  world.run (GSPAN_SECOND);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 20U);
}

/* They are told, and kept, as soon as the second version comes. */
TEST_F (RejoinedStreams, StreamsBegunBeforeTheSecondVersionCame)
{
  start (6, "v1");
  begin_streams (40);
  put_second ("v2");
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 20U);
}

/* review/4: all died before a slow store had the origins of streams of the version of before. */
TEST_F (RejoinedStreams, AllNodesDieBeforeASlowStoreIsTold)
{
  for (unsigned ms : { 0, 10, 20, 50, 100, 200, 400 })
    {
      world.clear ();
      began.clear ();
      gone_on = joined = 0;
      start (3, "v1");
      begin_streams (16);
      world.latency_us = 370 * GSPAN_MS;
      world.run (GSPAN_SECOND);
      put_second ("v2", ms * GSPAN_MS);
      world.latency_us = 4 * GSPAN_MS;
      world.restart_all ();
      world.run (3 * GSPAN_SECOND);
      take_up ();
      EXPECT_EQ (joined, 0U) << ms;
      EXPECT_EQ (gone_on, 16U) << ms;
    }
}

/* Streams begin as soon as the nodes are ready, and all die once a second version is registered. */
TEST_F (RejoinedStreams, AllNodesDieInTheFirstSecondsOfTheFleet)
{
  for (unsigned ms : { 0, 100, 300, 600, 900 })
    {
      world.clear ();
      began.clear ();
      gone_on = joined = 0;
      start_fleet (3);
      begin_streams (16, 0);
      world.latency_us = 370 * GSPAN_MS;
      put_second ("v2", ms * GSPAN_MS);
      world.latency_us = 4 * GSPAN_MS;
      world.restart_all ();
      world.run (3 * GSPAN_SECOND);
      take_up ();
      EXPECT_EQ (joined, 0U) << ms;
      EXPECT_EQ (gone_on, 16U) << ms;
    }
}

/* No version was ever alone, so there is no base; each stream has to be recorded. */
TEST_F (RejoinedStreams, AllNodesDieWhereTwoVersionsServedFromTheStart)
{
  put_second ("v2", 0);
  start_fleet (3);
  world.run (3 * GSPAN_SECOND);
  begin_streams (40, 0);
  world.lose_datagrams = true;
  world.restart_all ();
  world.lose_datagrams = false;
  world.run (3 * GSPAN_SECOND);
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 40U);
}

/* One call that fails must not refuse streams whose callers can wait for the next one. */
TEST_F (RejoinedStreams, StoreFailsOneCallAtTheQuestion)
{
  std::set<const Rig *> failed;

  start (3);
  begin_streams (16, 0);
  world.lose_datagrams = true;
  world.restart_all ();
  world.lose_datagrams = false;
  world.run (3 * GSPAN_SECOND);
  world.fault_of = [&failed] (const Rig &rig, const GspanStoreCall &call) {
    bool first = strcmp (call.kind, "streams") == 0 && failed.insert (&rig).second;
    return first ? StoreFault::Busy : StoreFault::None;
  };
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 16U);
}

/* The entries 3006 and 3430: no node reached the store as the second version came and all died. */
TEST_F (RejoinedStreams, AllNodesDieWhileTheStoreIsAwayAndASecondVersionComes)
{
  start (3, "v1");
  begin_streams (16);
  world.fault = StoreFault::Unreachable;
  world.run (GSPAN_SECOND);
  put_second ("v2", 500 * GSPAN_MS);
  world.restart_all ();
  world.fault = StoreFault::None;
  world.run (3 * GSPAN_SECOND);
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 16U);
}

/* Streams of the new version are in the store before they begin, however soon all die. */
TEST_F (RejoinedStreams, AllNodesDieRightAfterStreamsBeganAtBothVersions)
{
  start (6);
  begin_streams (40, 0);
  world.lose_datagrams = true;
  world.restart_all ();
  world.lose_datagrams = false;
  world.run (2 * GSPAN_SECOND);
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 40U);
}

/*
 * The base has moved while a node that had just started was told nothing; the former base comes
 * back, and that node takes a stream of the new one up.
 */
TEST_F (RejoinedStreams, BaseIsReadAgainBeforeItIsReliedOn)
{
  start (3, "v2");
  world.remove ("servers", "d1");
  world.run (100 * GSPAN_SECOND);
  world.restart (2);
  world.run (10 * GSPAN_SECOND);
  Rig &late = *world.rigs[2];
  std::string address = late.node.self.udp_address;
  world.loses_datagram = [=] (const Rig &, const std::string &to) { return to == address; };
  world.run (25 * GSPAN_SECOND);
  ASSERT_STREQ (
      json_string_value (json_object_get (world.objects["software"]["desk"].spec, "base")), "v2");
  std::string attempt = "a" + std::to_string (next_request);
  Rig &other = *world.rigs[0];
  send_stream (other, attempt);
  ASSERT_TRUE (is_sent (other, attempt));
  Exchange exchange = other.exchanges.back ();
  began[attempt] = version_at (exchange);
  other.http_head (exchange, 200, stream_head (1));
  other.http_data (exchange, 200, stream_head (1), sse (1));
  other.http_data (exchange, 200, stream_head (1), sse (2));
  world.drop_pending_calls (world.rigs[0].get ());
  world.drop_pending_calls (world.rigs[1].get ());
  world.rigs.erase (world.rigs.begin (), world.rigs.begin () + 2);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  world.run (3 * GSPAN_SECOND);
  take_up ();
  EXPECT_EQ (joined, 0U);
}

/* The version that was recorded failed before its first event: the record has to follow the stream.
 */
TEST_F (RejoinedStreams, StreamThatBeginsElsewhereThanRecordedIsRecordedAnew)
{
  unsigned moved = 0;

  start (3);
  world.latency_us = 300 * GSPAN_MS;
  world.run (GSPAN_SECOND);
  for (unsigned i = 0; i < 12; i++)
    {
      Rig &rig = *world.rigs[0];
      std::string attempt = "a" + std::to_string (next_request);

      send_stream (rig, attempt);
      for (unsigned ms = 0; ms < RECORD_WAIT_MS && !is_sent (rig, attempt); ms += 10)
        world.run (10 * GSPAN_MS);
      ASSERT_TRUE (is_sent (rig, attempt));
      Exchange first = rig.exchanges.back ();
      if (version_at (first) != "v2")
        continue;
      rig.http_done (first, GSPAN_HTTP_LOST, 0, {}, "");
      for (unsigned ms = 0; ms < RECORD_WAIT_MS && !is_sent (rig, attempt); ms += 10)
        world.run (10 * GSPAN_MS);
      if (!is_sent (rig, attempt)) /* its time is up */
        continue;
      Exchange second = rig.exchanges.back ();
      began[attempt] = version_at (second);
      moved += version_at (second) == "v1";
      rig.http_head (second, 200, stream_head (1));
      rig.http_data (second, 200, stream_head (1), sse (1));
      rig.http_data (second, 200, stream_head (1), sse (2));
      break;
    }
  ASSERT_EQ (moved, 1U);
  world.lose_datagrams = true;
  world.restart_all ();
  world.lose_datagrams = false;
  world.latency_us = 4 * GSPAN_MS;
  world.run (2 * GSPAN_SECOND);
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 1U);
}

/* As above, and the store goes away before the second record: better late than wrong. */
TEST_F (RejoinedStreams, StreamDoesNotBeginElsewhereThanTheStoreSays)
{
  unsigned tried = 0;

  start (3);
  for (unsigned i = 0; i < 12 && tried == 0; i++)
    {
      Rig &rig = *world.rigs[0];
      std::string attempt = "a" + std::to_string (next_request);

      send_stream (rig, attempt);
      for (unsigned ms = 0; ms < RECORD_WAIT_MS && !is_sent (rig, attempt); ms += 10)
        world.run (10 * GSPAN_MS);
      ASSERT_TRUE (is_sent (rig, attempt));
      Exchange first = rig.exchanges.back ();
      if (version_at (first) != "v2")
        continue;
      tried++;
      world.fault = StoreFault::Unreachable;
      rig.http_done (first, GSPAN_HTTP_LOST, 0, {}, "");
      world.run (700 * GSPAN_MS);
      for (const Exchange &exchange : rig.exchanges)
        EXPECT_FALSE (exchange.body == "hello " + attempt && version_at (exchange) == "v1");
    }
  EXPECT_EQ (tried, 1U);
}

/* The base has left long ago, and all streams are of the version that followed it. */
TEST_F (RejoinedStreams, BaseThatLeftIsFollowedByTheVersionThatServesAlone)
{
  start (3, "v2");
  world.remove ("servers", "d1");
  world.run (130 * GSPAN_SECOND);
  EXPECT_STREQ (
      json_string_value (json_object_get (world.objects["software"]["desk"].spec, "base")), "v2");
  begin_streams (16, 0);
  world.restart_all ();
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  world.run (2 * GSPAN_SECOND);
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 16U);
}

/* A node of a build before this one records nothing: what nobody knows is refused as before. */
TEST_F (RejoinedStreams, BaseIsNotReliedOnBesideABuildBefore)
{
  start (3, "v1");
  world.put ("nodes", "vm-old", R"({"udp":"127.0.0.1:99","zone":"bratislava"})");
  world.run (GSPAN_SECOND);
  begin_streams (16, 0);
  world.drop_pending_calls (world.rigs[0].get ());
  world.rigs.erase (world.rigs.begin ()); /* nothing that it knows is left */
  world.fault = StoreFault::Unreachable;
  put_second ("v2", 100 * GSPAN_MS);
  world.restart_all ();
  world.fault = StoreFault::None;
  world.run (2 * GSPAN_SECOND);
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 0U);
}

TEST_F (RejoinedStreams, SecondVersionComesAQuarterOfASecondBefore)
{
  start (6, "v1");
  begin_streams (60);
  put_second ("v2", 250 * GSPAN_MS);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 45U);
}

/* The callers name the attempt that brought the first event, which a node of before served. */
TEST_F (RejoinedStreams, AllNodesDieAgainAfterStreamsWereTakenUp)
{
  start (6, "v1");
  begin_streams (40);
  die_and_take_up ();
  ASSERT_EQ (gone_on, 40U);
  put_second ("v2", GSPAN_SECOND);
  world.restart_all ();
  world.run (2 * GSPAN_SECOND);
  gone_on = 0;
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 30U);
}

/* Each stream was taken up at another node than it had begun at. */
TEST_F (RejoinedStreams, HalfOfTheNodesAreDeadBeforeTheSecondVersionComes)
{
  start (6, "v1");
  begin_streams (40);
  world.run (GSPAN_SECOND);
  take_up ();
  ASSERT_EQ (gone_on, 40U);
  for (unsigned i = 0; i < 3; i++)
    world.restart (i);
  world.run (2 * GSPAN_SECOND);
  put_second ("v2", GSPAN_SECOND);
  world.restart_all ();
  world.run (2 * GSPAN_SECOND);
  gone_on = 0;
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 30U) << "all but those taken up at a dead node";
}

TEST_F (RejoinedStreams, VersionThatLeftJustBefore)
{
  start (6);
  begin_streams (40);
  world.remove ("servers", "d1");
  world.run (GSPAN_SECOND);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 10U) << "those of the version that stays";
}

/* It came with the streams, and leaves while all nodes are dead. */
TEST_F (RejoinedStreams, VersionThatServedForATenthOfASecond)
{
  start (6, "");
  for (unsigned round = 0; round < 10; round++)
    {
      world.run (130 * GSPAN_SECOND + round * 30 * GSPAN_MS);
      began.clear ();
      begin_streams (10);
      put_second ("v2", 0);
      for (unsigned i = 0; i < 100 && !all_know ("d2"); i++)
        world.run (10 * GSPAN_MS);
      begin_streams (10, 10 * GSPAN_MS);
      world.restart_all ();
      for (auto &rig : world.rigs)
        rig->paused = true;
      put_second ("");
      for (auto &rig : world.rigs)
        rig->paused = false;
      world.run (2 * GSPAN_SECOND);
      take_up ();
    }
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 50U) << "half of those that began before it came";
}

/* Nobody has ever seen the two side by side. */
TEST_F (RejoinedStreams, VersionReplacedWhileAllNodesWereDead)
{
  start (6, "");
  begin_streams (20);
  world.run (GSPAN_SECOND);
  world.restart_all ();
  for (auto &rig : world.rigs)
    rig->paused = true;
  put_second ("v2");
  world.remove ("servers", "d1");
  world.run (GSPAN_SECOND);
  for (auto &rig : world.rigs)
    rig->paused = false;
  world.run (2 * GSPAN_SECOND);
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (refused, 20U);
}

TEST_F (RejoinedStreams, StreamsOfOneVersionGoOn)
{
  start (6, "v1");
  begin_streams (20);
  world.run (GSPAN_SECOND);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 20U);
}

/* The entries of the version before last changed long ago; no two versions were ever side by side.
 */
TEST_F (RejoinedStreams, ReplicasThatStartAnewUnderTheirIdsAsAnotherVersion)
{
  std::string spec = replica_spec ("desk", 1, 0);

  start (6, "v1");
  world.run (130 * GSPAN_SECOND);
  begin_streams (20);
  spec.replace (spec.find ("\"v1\""), 4, "\"v2\"");
  spec.replace (spec.find ("\"born\":1"), 8, "\"born\":" + std::to_string (world.now));
  world.put ("servers", "d1", spec.c_str ());
  put_second ("v2");
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (refused, 20U);
}

/* What was kept outlasts a second death soon after the first. */
TEST_F (RejoinedStreams, AllNodesDieTwice)
{
  start (6);
  begin_streams (40);
  world.run (GSPAN_SECOND);
  for (unsigned i = 0; i < 2; i++)
    {
      world.restart_all ();
      world.run (2 * GSPAN_SECOND);
      begin_streams (2);
    }
  world.run (GSPAN_SECOND);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 22U);
}

TEST_F (RejoinedStreams, StoreAwayAtTheQuestionIsNoReasonToGuess)
{
  start (6, "");
  begin_streams (20);
  world.run (GSPAN_SECOND);
  world.restart_all ();
  for (auto &rig : world.rigs)
    rig->paused = true;
  put_second ("v2");
  world.remove ("servers", "d1");
  for (auto &rig : world.rigs)
    rig->paused = false;
  for (unsigned i = 0; i < 300 && !gspan_node_ready (&world.rigs.back ()->node); i++)
    world.run (10 * GSPAN_MS);
  world.fault = StoreFault::Unreachable;
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (refused, 20U);
}

TEST_F (RejoinedStreams, StoreAwayForAMomentLetsStreamsGoOnLater)
{
  start (6);
  begin_streams (20);
  world.run (GSPAN_SECOND);
  world.restart_all ();
  world.run (500 * GSPAN_MS);
  world.fault = StoreFault::Unreachable;
  take_up ();
  EXPECT_EQ (joined, 0U);
  world.fault = StoreFault::None;
  world.run (4 * GSPAN_SECOND);
  gone_on = 0;
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 10U);
}

/* They are written once it takes them again. */
TEST_F (RejoinedStreams, StoreTurnsWritesOfOriginsAwayForAWhile)
{
  bool busy = true;

  start (6);
  world.fault_of = [&busy] (const Rig &, const GspanStoreCall &call) {
    bool origins = strcmp (call.kind, "streams") == 0 && gspan_store_op_is_write (call.op);
    return busy && origins ? StoreFault::Busy : StoreFault::None;
  };
  begin_streams (40);
  world.run (2 * GSPAN_SECOND);
  busy = false;
  world.run (700 * GSPAN_MS);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 30U);
}

TEST_F (RejoinedStreams, AnswersToWritesOfOriginsAreLost)
{
  start (6);
  world.fault_of = [] (const Rig &, const GspanStoreCall &call) {
    bool origins = strcmp (call.kind, "streams") == 0 && gspan_store_op_is_write (call.op);
    return origins ? StoreFault::LostAfter : StoreFault::None;
  };
  begin_streams (40);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 20U);
}

/* They last for 400 ms, all of them together. */
TEST_F (RejoinedStreams, StreamsThatHaveJustBegunGoOn)
{
  start (6);
  begin_streams (40, 10 * GSPAN_MS);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 20U);
}

/* Of the nodes that keep origins, too. */
TEST_F (RejoinedStreams, SomeNodesAreDeadBeforeTheOthers)
{
  start (12);
  for (unsigned i = 0; i < 4; i++)
    {
      begin_streams (10);
      world.restart (i * 3);
      world.run (GSPAN_SECOND);
    }
  world.run (GSPAN_SECOND);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_GE (gone_on, 20U);
}

TEST_F (RejoinedStreams, LostDatagramsAreNoReasonToGuess)
{
  start (6);
  world.lose_datagrams = true;
  begin_streams (20);
  world.run (GSPAN_SECOND);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
}

/* As builds before this one write it. */
TEST_F (RejoinedStreams, MessagesOfOldBuildsAreRead)
{
  start (2);
  for (unsigned i = 0; i < 6; i++)
    {
      std::string attempt = "old" + std::to_string (i);
      began[attempt] = i % 2 == 0 ? "v1" : "v2";
      world.rigs[0]->datagram ("{\"kind\":\"streams\",\"format\":1,\"streams\":[{\"attempt\":\""
                               + attempt + "\",\"service\":\"desk\",\"software\":\""
                               + began[attempt] + "\"}]}");
    }
  take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 6U);
}

TEST_F (RejoinedStreams, StreamsThatOldBuildsTellOfAreKept)
{
  start (4);
  for (unsigned i = 0; i < 20; i++)
    {
      std::string attempt = "old" + std::to_string (i);
      began[attempt] = i % 2 == 0 ? "v1" : "v2";
      for (auto &rig : world.rigs)
        rig->datagram ("{\"kind\":\"streams\",\"format\":1,\"streams\":[{\"attempt\":\"" + attempt
                       + "\",\"service\":\"desk\",\"software\":\"" + began[attempt] + "\"}]}");
    }
  world.run (GSPAN_SECOND);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 20U);
}

/* They are read as if they weren't there, and what is written next stands. */
TEST_F (RejoinedStreams, OddObjectsOfTheseKinds)
{
  const char *const odd[]
      = { "[]", "7", "null", "{\"versions\":7,\"origins\":{}}",
          "{\"versions\":[7,null,[],\"v1\"],\"origins\":[7,[],[1,2,3],[\"x\"]]}" };

  for (const char *spec : odd)
    {
      json_t *value = json_loads (spec, JSON_DECODE_ANY, nullptr);
      for (const char *name : { "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "other" })
        {
          json_decref (world.objects["streams"][name].spec);
          world.objects["streams"][name].spec = json_incref (value);
          world.objects["streams"][name].revision = ++world.revision;
        }
      json_decref (world.objects["software"]["desk"].spec);
      world.objects["software"]["desk"].spec = value;
      world.objects["software"]["desk"].revision = ++world.revision;
      if (world.rigs.empty ())
        start (6);
      began.clear ();
      gone_on = 0;
      begin_streams (20);
      world.run (GSPAN_SECOND);
      die_and_take_up ();
      EXPECT_EQ (joined, 0U) << spec;
      EXPECT_GE (gone_on, 10U) << spec;
    }
}

/* Nothing stays in the store once no stream can need it. */
TEST_F (RejoinedStreams, WhatIsKeptGoesAgain)
{
  start (6);
  begin_streams (40);
  world.run (GSPAN_SECOND);
  EXPECT_FALSE (world.objects["streams"].empty ());
  world.remove ("servers", "d1");
  world.run (250 * GSPAN_SECOND);
  EXPECT_TRUE (world.objects["streams"].empty ());
  json_t *versions = json_object_get (world.objects["software"]["desk"].spec, "versions");
  EXPECT_EQ (json_array_size (versions), 1U);
}

/* Of two minutes of streams, those that may still be taken up come first. */
TEST_F (RejoinedStreams, StreamsThatHaveEndedAreNotTold)
{
  start (6, "v1");
  begin_streams (20);
  for (auto &rig : world.rigs)
    for (const Exchange &exchange : std::vector<Exchange> (rig->exchanges))
      {
        rig->http_data (exchange, 200, stream_head (1), sse (3));
        rig->http_done (exchange, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
      }
  put_second ("v2");
  EXPECT_EQ (world.last_datagram.count ("streams"), 0U) << world.last_datagram["streams"];
}

/* One version is left, and those before it are long gone. */
TEST_F (RejoinedStreams, VersionThatLeftLongAgoRefusesNothing)
{
  start (4);
  world.remove ("servers", "d1");
  world.run (130 * GSPAN_SECOND);
  begin_streams (10);
  world.run (GSPAN_SECOND);
  die_and_take_up ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 10U);
}

/* Each call to the store costs. */
TEST_F (RejoinedStreams, NothingIsKeptWhereNoStreamMayBeResumed)
{
  start (4, "v2", "idempotent");
  for (guint64 id = 1; id < 10; id++)
    {
      send_desk_request (*world.rigs[id % 4], id, "a" + std::to_string (id));
      world.run (100 * GSPAN_MS);
    }
  world.run (10 * GSPAN_SECOND);
  world.restart_all ();
  world.run (10 * GSPAN_SECOND);
  EXPECT_EQ (count_calls ("streams"), 0U);
  EXPECT_EQ (count_calls ("software"), 0U);
}

TEST_F (RejoinedStreams, FewCallsToTheStore)
{
  start (40, "v1");
  begin_streams (80, 10 * GSPAN_MS);
  world.run (20 * GSPAN_SECOND);
  EXPECT_EQ (count_calls ("streams"), 0U) << "one version";
  EXPECT_LE (count_calls ("software"), 12U);
  put_second ("v2");
  begin_streams (400, 10 * GSPAN_MS);
  world.run (2 * GSPAN_SECOND);
  EXPECT_LE (count_calls ("streams"), 4U * 10 * 6 + 4) << "four nodes, ten times a second";
  EXPECT_LE (count_calls ("software"), 24U);
}

/* Entries may be another writer's; a service has a few versions. */
TEST_F (RejoinedStreams, ManyVersionsAreNotWrittenAgainAndAgain)
{
  start (4, "v1");
  for (unsigned i = 0; i < 40; i++)
    {
      std::string spec = replica_spec ("desk", 100 + i, 0);

      spec.replace (spec.find ("\"v1\""), 4, "\"odd-" + std::to_string (i) + "\"");
      world.put ("servers", ("x" + std::to_string (i)).c_str (), spec.c_str ());
    }
  world.run (5 * GSPAN_SECOND);
  unsigned before = count_calls ("software");
  world.run (20 * GSPAN_SECOND);
  EXPECT_LE (count_calls ("software") - before, 20U) << "nothing changes";
}

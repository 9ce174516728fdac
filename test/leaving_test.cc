#include "test/node_world.h"

/*
 * A replica that leaves gets no request that a caller sent later than the drain notice after the
 * node heard of it: from the store, or from the replica itself in an answer.
 */

class Leaving : public NodeTest
{
protected:
  static std::vector<std::string>
  leaving_head ()
  {
    return { "X-Server-Stamp: s", "Server-Leaving: 1", "Connection: close" };
  }

  /* Lets the replica that got the request answer it with the header, and returns its address. */
  std::string
  answer_as_leaving (Rig &rig, guint64 id)
  {
    send_desk_request (rig, id, "a" + std::to_string (id));
    Exchange exchange = rig.exchanges.back ();
    rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, leaving_head (), "good");
    EXPECT_EQ (response_to (rig, id)->status, 200);
    return host_of (exchange);
  }

  static std::string
  host_of (const Exchange &exchange)
  {
    return exchange.url.substr (0, exchange.url.find ('/', 7));
  }
};

TEST_F (Leaving, ReplicaThatSaysSoInAnAnswerGetsNoLaterRequest)
{
  Rig &rig = start_nodes ();
  std::string host = answer_as_leaving (rig, 1);

  world.run (2100 * GSPAN_MS);
  EXPECT_EQ (count_requests_to (rig, host, 100), 0U);
}

TEST_F (Leaving, StoreThatIsAwayDoesNotUndoWhatTheReplicaSaid)
{
  Rig &rig = start_nodes ();
  std::string host = answer_as_leaving (rig, 1);

  world.fault = StoreFault::Unreachable;
  world.run (6 * GSPAN_SECOND);
  EXPECT_EQ (count_requests_to (rig, host, 100), 0U);
}

TEST_F (Leaving, EntryThatStillSaysReadyDoesNotUndoWhatTheReplicaSaid)
{
  Rig &rig = start_nodes ();
  std::string host = answer_as_leaving (rig, 1);
  unsigned number = host == "http://10.0.0.1:80" ? 1 : 2;
  std::string name = "d" + std::to_string (number);

  /* written again, then lapsed and back, always as ready */
  world.put ("servers", name, replica_spec ("desk", number, 7).c_str ());
  world.run (2100 * GSPAN_MS);
  EXPECT_EQ (count_requests_to (rig, host, 100), 0U);
  world.remove ("servers", name);
  world.run (3 * GSPAN_SECOND);
  world.put ("servers", name, replica_spec ("desk", number, 0).c_str ());
  world.run (GSPAN_SECOND);
  EXPECT_EQ (count_requests_to (rig, host, 200), 0U);
}

TEST_F (Leaving, NewStartUnderTheOldIdIsUsed)
{
  Rig &rig = start_nodes ();
  std::string host = answer_as_leaving (rig, 1);
  unsigned number = host == "http://10.0.0.1:80" ? 1 : 2;
  std::string spec = replica_spec ("desk", number, 0);

  spec.replace (spec.find ("\"born\":1"), 8, "\"born\":2");
  world.put ("servers", "d" + std::to_string (number), spec.c_str ());
  world.run (2 * GSPAN_SECOND);
  EXPECT_GT (count_requests_to (rig, host, 100), 0U);
}

TEST_F (Leaving, HedgeAndRetryPassOverAReplicaThatSaidSo)
{
  Rig &rig = start_nodes ();
  std::string host = answer_as_leaving (rig, 1);

  world.run (2100 * GSPAN_MS);
  send_desk_request (rig, 2, "a2");
  ASSERT_EQ (rig.exchanges.size (), 1U);
  world.run (200 * GSPAN_MS);
  EXPECT_EQ (rig.exchanges.size (), 1U) << "the only other replica leaves";
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
  EXPECT_TRUE (rig.exchanges.empty ());
}

TEST_F (Leaving, HeadOfAStreamIsEnough)
{
  Rig &rig = start_nodes ();

  world.put ("config", "main", config_spec (4, "streaming").c_str ());
  world.run (GSPAN_SECOND);
  send_desk_request (rig, 1, "a1");
  Exchange first = rig.exchanges[0];
  rig.http_head (first, 200, leaving_head ());
  rig.http_data (first, 200, leaving_head (), sse (1));
  for (guint64 id = 10; id < 20; id++)
    {
      send_desk_request (rig, id, "b" + std::to_string (id));
      EXPECT_NE (host_of (rig.exchanges.back ()), host_of (first));
    }
}

TEST_F (Leaving, BatchItemsPassOverAReplicaThatSaidSo)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 4);
  world.run (200 * GSPAN_MS);
  ASSERT_FALSE (open_runs (rig).empty ());
  Exchange first = open_runs (rig)[0];
  rig.http_head (first, 200, { "X-Server-Stamp: s", "Server-Leaving: 1", "X-Weight-Versions: 1" });
  rig.http_done (first, GSPAN_HTTP_LOST, 200, {}, "");
  world.run (2100 * GSPAN_MS);
  submit_job (rig, 2, "j2", 8);
  world.run (300 * GSPAN_MS);
  for (const auto &run : open_runs (rig))
    {
      if (run.sent_at_us <= first.sent_at_us + 2 * GSPAN_SECOND)
        continue;
      EXPECT_NE (host_of (run), host_of (first));
    }
}

TEST_F (Leaving, RefusalWithTheHeaderIsEnough)
{
  Rig &rig = start_nodes ();

  send_desk_request (rig, 1, "a1");
  Exchange first = rig.exchanges[0];
  rig.http_done (first, GSPAN_HTTP_COMPLETE, 503, { "X-Not-Executed: 1", "Server-Leaving: 1" }, "");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
  world.run (2100 * GSPAN_MS);
  EXPECT_EQ (count_requests_to (rig, host_of (first), 100), 0U);
}

/* A watch may be cut at any time; the removal that follows is no lapse beside an outage. */
TEST_F (Leaving, RemovedReplicaIsLeftAloneInTimeAlthoughWatchesAreCut)
{
  Rig &rig = start_nodes ();

  world.compact ("servers");
  world.run (100 * GSPAN_MS);
  world.remove ("servers", "d1");
  world.run (2000 * GSPAN_MS);
  EXPECT_EQ (count_requests_to (rig, "http://10.0.0.1:80", 100), 0U);
}

/* Sent while the store was away, failed long after its return. */
TEST_F (Leaving, RemovedReplicaIsLeftAloneInTimeBesideALateFailure)
{
  Rig &rig = start_nodes ();

  world.fault = StoreFault::Unreachable;
  submit_job (rig, 1, "j1", 2);
  world.run (200 * GSPAN_MS);
  world.fault = StoreFault::None;
  world.put ("config", "main", config_spec (4).c_str ());
  world.run (1400 * GSPAN_MS);
  world.remove ("servers", "d1");
  world.run (2000 * GSPAN_MS);
  EXPECT_EQ (count_requests_to (rig, "http://10.0.0.1:80", 100), 0U);
}

/* No other node tells anything, and the connection of the node's own watch goes silent. */
TEST_F (Leaving, SilentWatchDoesNotHideADrainingReplica)
{
  start_nodes (2);
  world.lose_datagrams = true;
  world.run (4 * GSPAN_SECOND);
  Rig &rig = *world.rigs[world.rigs[0]->node.weights.lease.held ? 1 : 0];
  for (auto &call : world.pending)
    if (call.watch && call.rig == &rig)
      {
        call.silent = true;
        call.done_at += 1500 * GSPAN_MS;
      }
  world.run (3 * GSPAN_SECOND);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.run (2 * GSPAN_SECOND);
  EXPECT_EQ (count_requests_to (rig, "http://10.0.0.1:80", 100), 0U);
}

/* Requests that wait for room within a limit were given that replica before it drained. */
TEST_F (Leaving, CallThatWaitsForAPermitIsNotSentToAReplicaThatDrainsMeanwhile)
{
  Rig &rig = start_nodes ();
  const std::string first = "http://10.0.0.1:80";
  std::vector<std::string> limited = { "X-Server-Stamp: s", "Server-Limit: 2" };
  guint64 read_at = 0;

  for (guint64 id = 1; id <= 8; id++)
    {
      send_desk_request (rig, id, "a" + std::to_string (id));
      if (!rig.exchanges.empty ())
        rig.http_done (rig.exchanges.back (), GSPAN_HTTP_COMPLETE, 200, limited, "good");
      world.run (20 * GSPAN_MS);
    }
  world.run (2 * GSPAN_SECOND);
  for (guint64 id = 10; id <= 30; id++)
    send_desk_request (rig, id, "b" + std::to_string (id));
  ASSERT_TRUE (rig.logged ("event=call-waits"));
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  for (int i = 0; i < 50 && read_at == 0; i++)
    {
      auto *replica
          = static_cast<GspanReplica *> (g_hash_table_lookup (rig.node.catalog.replicas, "d1"));

      world.run (10 * GSPAN_MS);
      read_at = gspan_replica_is_leaving (replica) ? world.now : 0;
    }
  ASSERT_GT (read_at, 0U) << "the node has read it";
  world.run (2 * GSPAN_SECOND);
  for (const auto &exchange : rig.exchanges)
    if (host_of (exchange) == first)
      {
        EXPECT_LE (exchange.sent_at_us, read_at);
      }
}

TEST_F (Leaving, ItemsThatWaitAreNotSentToAReplicaThatDrainsMeanwhile)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 60);
  world.run (300 * GSPAN_MS);
  size_t running = open_runs (rig).size ();
  ASSERT_GT (running, 0U);
  ASSERT_LT (running, 60U) << "some wait";
  world.put ("servers", "m1", replica_spec ("llm", 3, 1, "draining").c_str ());
  world.run (500 * GSPAN_MS);
  guint64 read_at = world.now;
  for (int round = 0; round < 8; round++)
    {
      for (const auto &run : open_runs (rig))
        if (run.sent_at_us < world.now)
          finish_run (rig, run, 2);
      world.run (200 * GSPAN_MS);
      for (const auto &run : open_runs (rig))
        if (run.sent_at_us > read_at)
          {
            EXPECT_NE (host_of (run), "http://10.0.0.3:80");
          }
    }
}

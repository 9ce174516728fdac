#include "node_world.h"

/* Nodes that lose their links to the replicas, while callers, the store and other nodes reach them.
 */

class Links : public NodeTest
{
protected:
  guint64 next_request = 1000;

  /* Starts NODES nodes before three replicas of the desk's service and two of the model's. */
  void
  start (unsigned nodes, const char *desk_type = "idempotent")
  {
    start_nodes (nodes);
    world.put ("servers", "d3", replica_spec ("desk", 5, 0).c_str ());
    world.put ("config", "main", config_spec (4, desk_type).c_str ());
    play (GSPAN_SECOND);
  }

  /* Runs the world while replicas answer what reaches them. */
  void
  play (guint64 us)
  {
    for (guint64 end = world.now + us; world.now < end;)
      {
        world.run (10 * GSPAN_MS);
        for (auto &rig : world.rigs)
          answer_replicas (*rig);
      }
  }

  /* Answers after 20 ms. New connections over links that are cut end by their timeout, kept ones
   * hang. */
  void
  answer_replicas (Rig &rig)
  {
    std::vector<Exchange> open = rig.exchanges;

    for (const auto &exchange : open)
      {
        guint64 age_us = world.now - exchange.sent_at_us;

        if (exchange.url.find ("http://10.0.0.") != 0)
          continue;
        if (rig.reaches (exchange.url) && age_us >= 20 * GSPAN_MS)
          answer (rig, exchange);
        else if (!rig.reaches (exchange.url) && exchange.new_connection
                 && age_us >= exchange.connect_timeout_us)
          rig.http_done (exchange, GSPAN_HTTP_NOT_SENT, 0, {}, "");
      }
  }

  static void
  answer (Rig &rig, const Exchange &exchange)
  {
    if (exchange.url.find ("/batch/") != std::string::npos)
      finish_run (rig, exchange, 3);
    else
      rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, signed_head, "answer");
  }

  /* Sends COUNT requests to each of RIGS, one after the other; how many are served in time. */
  unsigned
  served (const std::vector<Rig *> &rigs, unsigned count)
  {
    std::vector<std::pair<Rig *, guint64>> sent;
    unsigned good = 0;

    for (unsigned i = 0; i < count; i++)
      {
        for (Rig *rig : rigs)
          {
            sent.emplace_back (rig, ++next_request);
            send_desk_request (*rig, next_request, "a" + std::to_string (next_request));
          }
        play (900 * GSPAN_MS); /* beyond their deadline */
      }
    for (const auto &request : sent)
      {
        const CallerResponse *response = response_to (*request.first, request.second);

        good += response != nullptr && response->status == 200;
      }
    return good;
  }
};

TEST_F (Links, CallersOfNodesWithoutLinksAreServedAsThoseOfOthers)
{
  start (4);
  world.rigs[0]->cut_from_replicas = true;
  world.rigs[1]->cut_from_replicas = true;
  EXPECT_EQ (served ({ world.rigs[2].get (), world.rigs[3].get () }, 10), 20U);
  EXPECT_GE (served ({ world.rigs[0].get (), world.rigs[1].get () }, 10), 19U);
}

/* Such an answer may have been cut: a length or a last chunk would promise that it is whole. */
TEST_F (Links, AnswerThatItsConnectionEndedIsGivenNoEndOfItsOwn)
{
  start (2);
  Rig &cut = *world.rigs[0];
  Rig &other = *world.rigs[1];

  for (auto framing :
       { GSPAN_BODY_FRAMING_LENGTH, GSPAN_BODY_FRAMING_CHUNKED, GSPAN_BODY_FRAMING_CLOSE })
    for (bool through_another : { false, true })
      {
        cut.cut_from_replicas = through_another;
        served ({ &cut }, 3);
        cut.framing = through_another ? GSPAN_BODY_FRAMING_LENGTH : framing;
        other.framing = framing;
        EXPECT_EQ (served ({ &cut }, 1), 1U);
        EXPECT_EQ (response_to (cut, next_request)->until_close,
                   framing == GSPAN_BODY_FRAMING_CLOSE)
            << framing << through_another;
      }
}

TEST_F (Links, RequestsThatMayRunOnceAreServedAtNodesWithoutLinks)
{
  start (4, "non_idempotent");
  world.rigs[0]->cut_from_replicas = true;
  EXPECT_GE (served ({ world.rigs[0].get () }, 10), 9U);
}

TEST_F (Links, RewardCallsGoThroughOtherNodes)
{
  start (3);
  Rig &rig = *world.rigs[0];
  std::string body = "{\"step\":1,\"model\":\"m0\",\"minVersion\":0,\"desiredCount\":1,\"items\":[{"
                     "\"id\":\"i0\","
                     "\"path\":\"/batch/"
                     "x\",\"headers\":{\"X-Model\":\"m0\"},\"body\":\"aGk=\",\"tokenCount\":10,"
                     "\"group\":\"g0\",\"scorer\":{\"id\":\"i0-score\",\"host\":\"a.example\","
                     "\"path\":\"/desk/score/i0\",\"body\":\"aGk=\"}}]}";

  rig.cut_from_replicas = true;
  rig.request (1, "POST", "/batch/job-1", { "Host: a.example", "X-Attempt-Id: job-1" }, body);
  play (6 * GSPAN_SECOND);
  read_results (*world.rigs[2], 2, "job-1", 0);
  play (GSPAN_SECOND);
  ASSERT_NE (response_to (*world.rigs[2], 2), nullptr);
  EXPECT_EQ (result_ids (*response_to (*world.rigs[2], 2)).size (), 1U);
  EXPECT_TRUE (std::any_of (world.hop_log.begin (), world.hop_log.end (), [] (const auto &hop) {
    return hop.find ("/desk/score/i0") != std::string::npos;
  }));
  EXPECT_TRUE (std::any_of (rig.log.begin (), rig.log.end (), [] (const auto &line) {
    return line.find ("event=reward-call-started") != std::string::npos
           && line.find ("relay=vm-") != std::string::npos;
  })) << "its line says through whom it went";
}

/* Connections that are reset as the links go say nothing against what they carried. */
TEST_F (Links, RequestsThatFailedAtACutNodeAreServedElsewhere)
{
  start (4);
  for (guint64 id = 1; id <= 3; id++)
    {
      world.rigs[0]->cut_from_replicas = true;
      send_desk_request (*world.rigs[0], id, "a" + std::to_string (id));
      for (int i = 0; i < 2 && !world.rigs[0]->exchanges.empty (); i++)
        world.rigs[0]->http_done (Exchange (world.rigs[0]->exchanges[0]), GSPAN_HTTP_LOST, 0, {},
                                  "");
      send_desk_request (*world.rigs[2], 10 + id, "b" + std::to_string (id));
      play (200 * GSPAN_MS);
      ASSERT_NE (response_to (*world.rigs[2], 10 + id), nullptr);
      EXPECT_EQ (response_to (*world.rigs[2], 10 + id)->status, 200);
      world.rigs[0]->cut_from_replicas = false;
      play (3 * GSPAN_SECOND);
    }
  EXPECT_FALSE (world.rigs[2]->logged ("request-evidence"));
}

TEST_F (Links, ItemsAreCompletedWhoseOwnerHasNoLinks)
{
  start (3);
  world.rigs[0]->cut_from_replicas = true;
  submit_job (*world.rigs[0], 1, "job-1", 8);
  play (6 * GSPAN_SECOND);
  read_results (*world.rigs[2], 2, "job-1", 0);
  play (GSPAN_SECOND);
  ASSERT_NE (response_to (*world.rigs[2], 2), nullptr);
  EXPECT_EQ (result_ids (*response_to (*world.rigs[2], 2)).size (), 8U);
}

/* Between two nodes. */

/* Only nodes know the key, and each start has its own. */
TEST_F (Links, RequestsWithoutTheKeyOfTheNodeAreNotPassedOn)
{
  start (2);
  Rig &rig = *world.rigs[0];

  for (const char *key : { "", "key of vm-2", "key of vm-11" })
    {
      Exchange exchange{};
      exchange.ref = { GSPAN_OWNER_GATEWAY, 1 << 20 };
      exchange.method = "POST";
      exchange.url = std::string ("http://") + rig.node.self.relay_address + "/desk/x";
      exchange.timeout_us = GSPAN_SECOND;
      exchange.headers = { std::string ("Gspan-Relay-Key: ") + key, "Gspan-Relay-Upstream: d1" };
      start_hop (world, *world.rigs[1], exchange);
    }
  play (100 * GSPAN_MS);
  EXPECT_TRUE (rig.exchanges.empty ());
  EXPECT_TRUE (rig.logged ("relay-refused"));
  EXPECT_EQ (rig.node.metrics.values[GSPAN_METRIC_RELAY_REFUSED], 3U);
}

/* A node that is cut off itself refuses what it is sent, and sends nothing on to a third. */
TEST_F (Links, RequestsGoThroughOneNodeAtMost)
{
  start (4);
  for (int i = 0; i < 3; i++)
    world.rigs[(size_t)i]->cut_from_replicas = true;
  std::vector<Rig *> cut = { world.rigs[0].get (), world.rigs[1].get (), world.rigs[2].get () };
  EXPECT_GE (served (cut, 10), 28U);
  for (const auto &hop : world.hop_log)
    EXPECT_NE (hop.find (world.rigs[3]->node.self.relay_address), std::string::npos)
        << "through a node that reaches no replica: " << hop;
  EXPECT_LE (world.hop_log.size (), 36U);
}

/* It gets a request although it is cut off itself, and a third node offers to pass requests on. */
TEST_F (Links, NodeThatIsCutOffPassesNothingOnToAThird)
{
  start (3);
  Rig &sender = *world.rigs[0];
  Rig &between = *world.rigs[1];
  Exchange exchange{};

  between.cut_from_replicas = true;
  served ({ &between }, 2);
  ASSERT_TRUE (between.node.links.cut);
  ASSERT_TRUE (gspan_relay_offers_any (&between.node));
  size_t hops = world.hop_log.size ();
  exchange.ref = { GSPAN_OWNER_GATEWAY, 1 << 20 };
  exchange.method = "POST";
  exchange.url = std::string ("http://") + between.node.self.relay_address + "/desk/x";
  exchange.timeout_us = GSPAN_SECOND;
  exchange.headers = { std::string ("Gspan-Relay-Key: ") + between.node.self.relay_key,
                       "Gspan-Relay-Upstream: d1" };
  start_hop (world, sender, exchange);
  world.run (50 * GSPAN_MS);
  EXPECT_EQ (world.hop_log.size (), hops + 1) << "the one that was sent here";
  EXPECT_TRUE (between.exchanges.empty ());
  EXPECT_TRUE (between.logged ("event=relay-refused"));
}

/* Its link to the replica is down, those to others stand, and a third node offers. */
TEST_F (Links, NodeThatMissesTheReplicaPassesNothingOnToAThird)
{
  start (3);
  Rig &sender = *world.rigs[0];
  Rig &between = *world.rigs[1];
  Exchange exchange{};

  between.unreachable = { "http://10.0.0.1:80", "http://10.0.0.2:80", "http://10.0.0.5:80" };
  served ({ &between }, 6);
  ASSERT_FALSE (between.node.links.cut);
  ASSERT_TRUE (between.logged ("event=link-down upstream=d1"));
  ASSERT_TRUE (gspan_relay_offers_any (&between.node));
  size_t hops = world.hop_log.size ();
  exchange.ref = { GSPAN_OWNER_GATEWAY, 1 << 20 };
  exchange.method = "POST";
  exchange.url = std::string ("http://") + between.node.self.relay_address + "/desk/x";
  exchange.timeout_us = GSPAN_SECOND;
  exchange.headers = { std::string ("Gspan-Relay-Key: ") + between.node.self.relay_key,
                       "Gspan-Relay-Upstream: d1" };
  start_hop (world, sender, exchange);
  play (600 * GSPAN_MS);
  EXPECT_EQ (world.hop_log.size (), hops + 1) << "the one that was sent here";
  EXPECT_TRUE (between.logged ("event=relay-ended"));
}

/* Where all are cut off, calls are refused soon with a time to come back, and nothing circles. */
TEST_F (Links, CallsAreRefusedSoonWhereNoNodeReachesAReplica)
{
  start (3);
  for (auto &rig : world.rigs)
    rig->cut_from_replicas = true;
  served ({ world.rigs[0].get () }, 2);
  send_desk_request (*world.rigs[0], 1, "a1");
  play (400 * GSPAN_MS);
  ASSERT_NE (response_to (*world.rigs[0], 1), nullptr);
  EXPECT_EQ (response_to (*world.rigs[0], 1)->status, 503);
  EXPECT_TRUE (response_to (*world.rigs[0], 1)->has ("Retry-After"));
  EXPECT_LE (world.hop_log.size (), 6U);
}

/* The answer of the node between is lost after the request has gone on: it may have run. */
TEST_F (Links, RequestThatMayRunOnceIsNotRepeatedAfterAnAnswerLostBetweenNodes)
{
  start (2, "non_idempotent");
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  world.rigs[1]->exchanges.clear ();
  send_desk_request (rig, 1, "once");
  world.run (10 * GSPAN_MS);
  ASSERT_EQ (world.hops.size (), 1U);
  Hop hop = world.hops[0];
  end_hop (world, hop.request);
  rig.http_done (hop.exchange, GSPAN_HTTP_LOST, 0, {}, "");
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 502);
  play (GSPAN_SECOND);
  EXPECT_TRUE (world.hops.empty ());
}

TEST_F (Links, RequestEndsAtTheReplicaWhenItsCallerLeaves)
{
  start (2);
  Rig &rig = *world.rigs[0];
  GspanEvent gone{};

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  send_desk_request (rig, 1, "leaves");
  world.run (10 * GSPAN_MS);
  ASSERT_EQ (world.rigs[1]->exchanges.size (), 1U);
  gone.kind = GSPAN_EVENT_CALLER_DISCONNECTED;
  gone.u.disconnected_request = 1;
  rig.handle (gone);
  world.run (10 * GSPAN_MS);
  EXPECT_TRUE (world.rigs[1]->exchanges.empty ());
  EXPECT_EQ (gspan_relay_server_open (&world.rigs[1]->node.relay_server), 0U);
}

TEST_F (Links, RequestsPassedOnForOthersAreBounded)
{
  start (2);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  for (guint64 id = 1; id <= 150; id++)
    send_desk_request (rig, id, "a" + std::to_string (id));
  world.run (10 * GSPAN_MS);
  EXPECT_LE (world.rigs[1]->exchanges.size (), 96U);
  EXPECT_GE (world.rigs[1]->exchanges.size (), 90U);
  play (900 * GSPAN_MS);
  for (guint64 id = 1; id <= 150; id++)
    {
      ASSERT_NE (response_to (rig, id), nullptr) << id;
      EXPECT_TRUE (response_to (rig, id)->status == 200 || response_to (rig, id)->status == 503);
    }
}

TEST_F (Links, BodiesPassedOnForOthersAreBounded)
{
  start (2);
  Rig &rig = *world.rigs[0];
  std::string body (9 << 20, 'x');

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  for (guint64 id = 1; id <= 4; id++)
    rig.request (id, "POST", "/desk/large",
                 { "Host: a.example", "X-Attempt-Id: l" + std::to_string (id) }, body);
  world.run (10 * GSPAN_MS);
  EXPECT_EQ (world.rigs[1]->exchanges.size (), 2U);
}

/* The replica is silent, not the node between: that one goes on getting requests. */
TEST_F (Links, NodeThatPassesOnToASilentReplicaIsNotBlamed)
{
  start (2);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  rig.request (1, "POST", "/desk/silent",
               { "Host: a.example", "X-Attempt-Id: silent", "X-Deadline-Ms: 800" }, "");
  for (int i = 0; i < 90; i++)
    {
      world.run (10 * GSPAN_MS);
      for (const Exchange &exchange : std::vector<Exchange> (world.rigs[1]->exchanges))
        if (world.now >= exchange.sent_at_us + exchange.timeout_us)
          world.rigs[1]->http_done (exchange, GSPAN_HTTP_TIMEOUT, 0, {}, "");
    }
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_NE (response_to (rig, 1)->status, 200);
  EXPECT_FALSE (rig.logged ("relay-failed"));
  EXPECT_EQ (served ({ &rig }, 1), 1U);
}

/* The only node that is whole is stopped: it can still pass on for a while, and no other does. */
TEST_F (Links, NodeThatDrainsPassesCallersRequestsOnWhereNoOtherOffers)
{
  start (2);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  world.rigs[1]->drain ();
  EXPECT_EQ (served ({ &rig }, 1), 1U);
  play (GSPAN_SECOND);
  send_desk_request (rig, 1, "late");
  play (400 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 503) << "it has to come to its end";
}

/* Only the sender would learn, and too late, that its request was cut with the other's process. */
TEST_F (Links, NodeThatDrainsPassesNothingOnThatMayNotRunTwiceAndMayOutlastIt)
{
  std::string spec = config_spec (5, "non_idempotent");
  const std::string timeout = "\"timeoutMs\":800";

  start (2, "non_idempotent");
  spec.replace (spec.find (timeout), timeout.size (), "\"timeoutMs\":20000");
  world.put ("config", "main", spec.c_str ());
  play (2 * GSPAN_SECOND);
  Rig &rig = *world.rigs[0];
  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  world.rigs[1]->drain ();
  rig.request (1, "POST", "/desk/x",
               { "Host: a.example", "X-Attempt-Id: long", "X-Deadline-Ms: 20000" }, "hello");
  play (400 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 503);
}

/* The node that passes requests on has read that the replicas drain, the sender hasn't yet. */
TEST_F (Links, RequestIsNotPassedOnToAReplicaThatTheOtherNodeKnowsToDrain)
{
  start (2);
  Rig &rig = *world.rigs[0];
  Rig &relay = *world.rigs[1];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  for (const char *id : { "d1", "d2", "d3" })
    static_cast<GspanReplica *> (g_hash_table_lookup (relay.node.catalog.replicas, id))->draining
        = true;
  send_desk_request (rig, 1, "late");
  world.run (50 * GSPAN_MS);
  EXPECT_TRUE (relay.exchanges.empty ());
  EXPECT_TRUE (relay.logged ("the replica is leaving"));
}

/* Where another node offers too, a node that drains gets none. */
TEST_F (Links, NodeThatDrainsIsTheLastToBeChosen)
{
  start (3);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  world.rigs[1]->drain ();
  play (500 * GSPAN_MS);
  size_t before = world.hop_log.size ();
  for (guint64 id = 1; id <= 8; id++)
    {
      rig.request (id, "POST", "/desk/" + std::to_string (id),
                   { "Host: a.example", "X-Attempt-Id: d" + std::to_string (id) }, "");
      play (50 * GSPAN_MS);
      ASSERT_NE (response_to (rig, id), nullptr);
      EXPECT_EQ (response_to (rig, id)->status, 200);
    }
  for (size_t i = before; i < world.hop_log.size (); i++)
    EXPECT_EQ (world.hop_log[i].find ("vm-1 vm-2"), std::string::npos) << world.hop_log[i];
}

TEST_F (Links, ReplicaThatLeavesIsKnownToTheNodeThatPassedItsAnswerOn)
{
  start (2);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  send_desk_request (rig, 1, "leaving");
  world.run (10 * GSPAN_MS);
  ASSERT_EQ (world.rigs[1]->exchanges.size (), 1U);
  Exchange exchange = world.rigs[1]->exchanges[0];
  world.rigs[1]->http_done (exchange, GSPAN_HTTP_COMPLETE, 200,
                            { "X-Server-Stamp: s", "Server-Leaving: 1" }, "good");
  world.run (10 * GSPAN_MS);
  EXPECT_EQ (response_to (rig, 1)->status, 200);
  for (auto &node : world.rigs)
    EXPECT_TRUE (
        node->logged ("event=upstream-leaving upstream=" + exchange.header ("X-Expect-Instance")));
}

/* It is the only one that offers, and may well answer the next. */
TEST_F (Links, NodeThatLostARequestIsStillUsedWhereNoOtherOffers)
{
  start (2);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  rig.request (1, "POST", "/desk/lost",
               { "Host: a.example", "X-Attempt-Id: lost", "X-Deadline-Ms: 800" }, "");
  ASSERT_EQ (world.hops.size (), 1U);
  Hop hop = world.hops[0];
  end_hop (world, hop.request);
  rig.http_done (hop.exchange, GSPAN_HTTP_LOST, 0, {}, "");
  EXPECT_TRUE (rig.logged ("relay-failed"));
  EXPECT_EQ (served ({ &rig }, 1), 1U);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 200);
}

/* It neither answers nor refuses; its offer stands for a while. */
TEST_F (Links, FrozenNodeInBetweenCostsOneRequestAtMost)
{
  start (4);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  world.rigs[1]->paused = true;
  EXPECT_GE (served ({ &rig }, 6), 5U);
}

TEST_F (Links, StopOfANodeThatPassesRequestsOnIsNotSeenByCallers)
{
  start (4);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  world.rigs[1]->drain ();
  world.rigs[2]->drain ();
  EXPECT_EQ (served ({ &rig }, 6), 6U);
}

/* What is known of links. */

TEST_F (Links, ReplicasThatEndPutNoRequestOnTheWayThroughOthers)
{
  start (4);
  world.rigs[0]->http_done (Exchange{}, GSPAN_HTTP_LOST, 0, {}, "");
  for (guint64 id = 1; id <= 6; id++)
    {
      send_desk_request (*world.rigs[0], id, "a" + std::to_string (id));
      world.rigs[0]->http_done (Exchange (world.rigs[0]->exchanges[0]),
                                id % 2 == 0 ? GSPAN_HTTP_LOST : GSPAN_HTTP_NOT_SENT, 0, {}, "");
      play (500 * GSPAN_MS);
      EXPECT_EQ (response_to (*world.rigs[0], id)->status, 200);
    }
  EXPECT_TRUE (world.hop_log.empty ());
  EXPECT_FALSE (world.rigs[0]->node.links.cut);
}

TEST_F (Links, NodesWithoutRequestsCheckNoLinks)
{
  start (3);
  unsigned checks = 0;
  for (auto &rig : world.rigs)
    checks += rig->link_checks;
  play (20 * GSPAN_SECOND);
  unsigned later = 0;
  for (auto &rig : world.rigs)
    later += rig->link_checks;
  EXPECT_EQ (later, checks);
}

/* Its checks end by their timeout as it wakes, whatever its links were. */
TEST_F (Links, NodeThatWasFrozenDoesNotHoldItselfCutOff)
{
  start (3);
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  send_desk_request (rig, 1, "a1");
  for (int i = 0; i < 100 && rig.link_checks < 5; i++)
    world.run (10 * GSPAN_MS);
  ASSERT_GE (rig.link_checks, 5U);
  rig.paused = true;
  world.run (2 * GSPAN_SECOND);
  rig.cut_from_replicas = false;
  rig.paused = false;
  play (GSPAN_SECOND);
  EXPECT_EQ (rig.node.metrics.values[GSPAN_METRIC_LINK_CUTS], 0U);
  EXPECT_EQ (served ({ &rig }, 2), 2U);
}

TEST_F (Links, LinksThatComeAndGoLeaveTheNodeInOneState)
{
  start (3);
  Rig &rig = *world.rigs[0];

  for (int i = 0; i < 10; i++)
    {
      rig.cut_from_replicas = true;
      served ({ &rig }, 1);
      rig.cut_from_replicas = false;
      play (300 * GSPAN_MS);
    }
  EXPECT_LE (rig.node.metrics.values[GSPAN_METRIC_LINK_CUTS], 2U);
  play (3 * GSPAN_SECOND);
  EXPECT_FALSE (rig.node.links.cut);
  size_t hops = world.hop_log.size ();
  EXPECT_EQ (served ({ &rig }, 3), 3U);
  EXPECT_EQ (world.hop_log.size (), hops);
}

/* All replicas of one service are out of its reach, those of others aren't. */
TEST_F (Links, ServiceWhoseReplicasANodeDoesNotReachIsServedThroughOthers)
{
  start (3);
  Rig &rig = *world.rigs[0];

  rig.unreachable = { "http://10.0.0.1:80", "http://10.0.0.2:80", "http://10.0.0.5:80" };
  EXPECT_GE (served ({ &rig }, 10), 9U);
  EXPECT_FALSE (rig.node.links.cut);
  submit_job (rig, 1, "job-1", 4);
  play (3 * GSPAN_SECOND);
  read_results (rig, 2, "job-1", 0);
  play (500 * GSPAN_MS);
  EXPECT_EQ (result_ids (*response_to (rig, 2)).size (), 4U);
  for (const auto &hop : world.hop_log)
    EXPECT_EQ (hop.find ("/batch/"), std::string::npos) << "has a link of its own: " << hop;
}

/* One of three replicas is out of reach: the others serve without anybody's help. */
TEST_F (Links, ReplicaThatANodeDoesNotReachIsPassedOver)
{
  start (3);
  Rig &rig = *world.rigs[0];

  rig.unreachable = { "http://10.0.0.1:80" };
  EXPECT_GE (served ({ &rig }, 10), 9U);
  ASSERT_TRUE (rig.logged ("event=link-down upstream=d1"));
  size_t hops = world.hop_log.size ();
  EXPECT_EQ (served ({ &rig }, 10), 10U);
  EXPECT_EQ (world.hop_log.size (), hops);
}

/* A stream goes on through another node as it would directly, and in order. */
TEST_F (Links, StreamsGoThroughOtherNodes)
{
  start (2, "streaming");
  Rig &rig = *world.rigs[0];

  rig.cut_from_replicas = true;
  submit_job (rig, 900, "job-warm", 2);
  play (3 * GSPAN_SECOND);
  ASSERT_TRUE (rig.node.links.cut);
  send_desk_request (rig, 1, "stream");
  world.run (10 * GSPAN_MS);
  ASSERT_EQ (world.rigs[1]->exchanges.size (), 1U);
  Exchange exchange = world.rigs[1]->exchanges[0];
  EXPECT_EQ (exchange.header ("X-Attempt-Id"), "stream");
  world.rigs[1]->http_head (exchange, 200, stream_head (1));
  for (unsigned id = 1; id <= 3; id++)
    world.rigs[1]->http_data (exchange, 200, stream_head (1), sse (id));
  world.run (20 * GSPAN_MS);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2) + sse (3));
  world.rigs[1]->http_done (exchange, GSPAN_HTTP_LOST, 200, stream_head (1), "");
  world.run (20 * GSPAN_MS);
  ASSERT_EQ (world.rigs[1]->exchanges.size (), 1U) << "goes on at another replica";
  exchange = world.rigs[1]->exchanges[0];
  EXPECT_EQ (exchange.header ("Last-Event-Id"), "3");
  world.rigs[1]->http_head (exchange, 200, stream_head (1));
  world.rigs[1]->http_data (exchange, 200, stream_head (1), sse (4));
  world.rigs[1]->http_done (exchange, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
  world.run (20 * GSPAN_MS);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2) + sse (3) + sse (4));
  EXPECT_EQ (rig.responses.back ().status, 0) << "ended as whole";
}

/* Content that ends replicas reaches few of them, whichever way its tries take. */
TEST_F (Links, RequestThatEndsReplicasIsKnownAlsoWhereItWentThroughOthers)
{
  start (3);
  Rig &rig = *world.rigs[0];
  unsigned reached = 0;

  rig.cut_from_replicas = true;
  served ({ &rig }, 2);
  for (guint64 id = 1; id <= 8; id++)
    {
      send_desk_request (rig, id, "k" + std::to_string (id));
      for (int i = 0; i < 30; i++)
        {
          world.run (10 * GSPAN_MS);
          for (size_t n = 1; n < 3; n++)
            for (const Exchange &exchange : std::vector<Exchange> (world.rigs[n]->exchanges))
              {
                reached++;
                world.rigs[n]->http_done (exchange, GSPAN_HTTP_LOST, 0, {}, "");
              }
        }
    }
  EXPECT_GE (reached, 2U);
  EXPECT_LE (reached, 4U);
}

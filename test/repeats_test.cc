#include "test/node_world.h"

/*
 * Requests that went out twice: by the HTTP client itself, on either leg of the way to a replica,
 * or as two attempts. A caller is told that its request was not run (503, 421, 429, 408) only where
 * no sending may have run.
 */

static const std::vector<std::string> rejected = { "X-Server-Stamp: s", "X-Not-Executed: 1" };

class Repeats : public NodeTest
{
protected:
  int replica_status = 503;
  std::vector<std::string> replica_head = rejected;

  guint64 last_id = 0;
  unsigned config = 3;

  /* Has the desk's route be of TYPE. Replicas that were put off are used again after this. */
  void
  set_type (const char *type)
  {
    world.put ("config", "main", config_spec (++config, type).c_str ());
    play (5 * GSPAN_SECOND);
  }

  void
  send (Rig &rig)
  {
    last_id++;
    send_desk_request (rig, last_id, "a" + std::to_string (last_id));
  }

  /* What a request is answered, 0 where nothing. */
  int
  ask (Rig &rig)
  {
    send (rig);
    play (GSPAN_SECOND);
    return status_of (rig, last_id);
  }

  /* Runs the world while all replicas answer the same. Links that are cut end no connection. */
  void
  play (guint64 us)
  {
    for (guint64 end = world.now + us; world.now < end;)
      {
        world.run (10 * GSPAN_MS);
        for (auto &rig : world.rigs)
          for (const auto &exchange : std::vector<Exchange> (rig->exchanges))
            answer (*rig, exchange);
      }
  }

  void
  answer (Rig &rig, const Exchange &exchange) const
  {
    if (exchange.url.find ("http://10.0.0.") != 0)
      return;
    if (!rig.reaches (exchange.url))
      {
        if (exchange.new_connection && world.now >= exchange.sent_at_us + 250 * GSPAN_MS)
          rig.http_done (exchange, GSPAN_HTTP_NOT_SENT, 0, {}, "");
        return;
      }
    if (exchange.stream)
      rig.http_head (exchange, replica_status, replica_head);
    rig.http_done (exchange, GSPAN_HTTP_COMPLETE, replica_status, replica_head, "");
  }

  int
  status_of (const Rig &rig, guint64 id)
  {
    const CallerResponse *response = response_to (rig, id);

    return response != nullptr ? response->status : 0;
  }
};

TEST_F (Repeats, RejectionOfASecondSendingSaysNothingOfTheFirst)
{
  Rig &rig = start_nodes ();

  for (const char *type : { "idempotent", "streaming" })
    for (int status : { 503, 429 })
      {
        set_type (type);
        replica_status = status;
        rig.sends = 1;
        EXPECT_EQ (ask (rig), 503) << type << status;
        play (5 * GSPAN_SECOND);
        rig.sends = 2;
        EXPECT_EQ (ask (rig), 502) << type << status;
      }
  play (5 * GSPAN_SECOND);
  replica_status = 421; /* another replica has this address */
  EXPECT_EQ (ask (rig), 502);
}

TEST_F (Repeats, RejectionOfALaterAttemptSaysNothingOfAnEarlierOneThatWasLost)
{
  Rig &rig = start_nodes ();

  set_type ("streaming");
  for (const auto &head : { signed_head, rejected })
    for (int status : { 503, 429, 408 })
      {
        replica_head = head;
        replica_status = status;
        send (rig);
        ASSERT_EQ (rig.exchanges.size (), 1U);
        rig.http_done (rig.exchanges[0], GSPAN_HTTP_LOST, 0, {}, "");
        EXPECT_EQ (rig.exchanges.size (), 1U) << "the second attempt";
        play (GSPAN_SECOND);
        EXPECT_EQ (status_of (rig, last_id), 502) << status;
        play (20 * GSPAN_SECOND);
      }
}

TEST_F (Repeats, StatusOfAReplicaThatDoesNotSayThatNothingRanIsNoRefusal)
{
  Rig &rig = start_nodes ();

  replica_head = signed_head;
  for (const char *type : { "idempotent", "non_idempotent", "streaming" })
    for (int status : { 503, 429, 408 })
      {
        set_type (type);
        replica_status = status;
        EXPECT_EQ (ask (rig), 502) << type << status;
      }
}

TEST_F (Repeats, RefusalByANodeInBetweenSaysNothingOfASendingBefore)
{
  Rig &rig = start_nodes (2);
  bool may_refuse = false;

  for (const char *type : { "idempotent", "streaming" })
    {
      set_type (type);
      rig.cut_from_replicas = true;
      rig.sends = 2;
      send (rig);
      for (int i = 0; i < 100 && world.hops.empty (); i++)
        play (10 * GSPAN_MS);
      ASSERT_FALSE (world.hops.empty ()) << type;
      world.rigs[1]->node.links.cut = true; /* it offered, and refuses now */
      play (GSPAN_SECOND);
      may_refuse = may_refuse || world.rigs[1]->logged ("event=relay-refused");
      EXPECT_NE (status_of (rig, last_id), 503) << type;
      world.rigs[1]->node.links.cut = false;
    }
  EXPECT_TRUE (may_refuse);
}

TEST_F (Repeats, RejectionOfASecondSendingByANodeInBetweenSaysNothingOfTheFirst)
{
  Rig &rig = start_nodes (2);

  for (const char *type : { "idempotent", "streaming" })
    {
      set_type (type);
      rig.cut_from_replicas = true;
      world.rigs[1]->sends = 2;
      EXPECT_EQ (ask (rig), 502) << type;
      EXPECT_FALSE (world.hop_log.empty ()) << type;
      world.hop_log.clear ();
    }
}

/* Neither node's HTTP client repeats it, nor does one of them try another replica. */
TEST_F (Repeats, RequestThatMayRunOnceGoesOutOnceOnBothLegs)
{
  Rig &rig = start_nodes (2);
  unsigned reached = 0;

  set_type ("non_idempotent");
  rig.cut_from_replicas = true;
  for (int i = 0; i < 8; i++)
    {
      send (rig);
      for (int step = 0; step < 100; step++)
        {
          world.run (10 * GSPAN_MS);
          for (const auto &hop : world.hops)
            EXPECT_TRUE (hop.exchange.new_connection);
          for (const auto &exchange : std::vector<Exchange> (rig.exchanges))
            answer (rig, exchange);
          for (const auto &exchange : std::vector<Exchange> (world.rigs[1]->exchanges))
            {
              EXPECT_TRUE (exchange.new_connection);
              reached++;
              world.rigs[1]->http_done (exchange, GSPAN_HTTP_LOST, 0, {}, "");
            }
        }
      EXPECT_EQ (status_of (rig, last_id), 502);
      EXPECT_EQ (reached, (unsigned)i + 1);
      world.run (20 * GSPAN_SECOND);
    }
}

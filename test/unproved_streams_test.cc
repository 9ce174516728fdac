#include "test/rejoined_streams.h"

/*
 * Streams that begin while the store doesn't say whether their origins are in it. One that can't be
 * proved to be of its version after the death of all nodes is refused as not run, and begins at the
 * base with its caller's next try.
 */
class UnprovedStreams : public RejoinedStreams
{
protected:
  unsigned refusals = 0;

  struct Offer
  {
    Rig *rig;
    std::string attempt;
    guint64 request;
    bool begun;
  };

  Offer
  offer_at (size_t index)
  {
    std::string attempt = "a" + std::to_string (next_request);
    Rig *rig = world.rigs[index % world.rigs.size ()].get ();

    return { rig, attempt, send_stream (*rig, attempt), false };
  }

  /* Brings the first events of a stream whose request has left, or sends a refused one anew. */
  void
  go_on (Offer &offer, size_t index)
  {
    auto sent = std::find_if (
        offer.rig->exchanges.begin (), offer.rig->exchanges.end (),
        [&] (const Exchange &exchange) { return exchange.body == "hello " + offer.attempt; });

    if (sent != offer.rig->exchanges.end ())
      {
        Exchange exchange = *sent;
        began[offer.attempt] = version_at (exchange);
        offer.rig->http_head (exchange, 200, stream_head (1));
        offer.rig->http_data (exchange, 200, stream_head (1), sse (1));
        offer.rig->http_data (exchange, 200, stream_head (1), sse (2));
        offer.begun = true;
        return;
      }
    const CallerResponse *response = response_to (*offer.rig, offer.request);
    if (response == nullptr)
      return;
    EXPECT_EQ (response->status, 503) << "not run";
    EXPECT_TRUE (response->has ("Retry-After"));
    refusals++;
    offer = offer_at (index);
  }

  /* Callers begin COUNT streams, one each 20 ms, and try anew for US in all. */
  void
  offer_streams (size_t count, guint64 us)
  {
    std::vector<Offer> offers;

    for (guint64 end = world.now + us; world.now < end; world.run (20 * GSPAN_MS))
      {
        if (offers.size () < count)
          offers.push_back (offer_at (offers.size ()));
        for (size_t i = 0; i < offers.size (); i++)
          if (!offers[i].begun)
            go_on (offers[i], i);
      }
  }

  void
  fail_calls_for_streams ()
  {
    world.fault_of = [] (const Rig &, const GspanStoreCall &call) {
      bool is_of_streams
          = strcmp (call.kind, "software") == 0 || strcmp (call.kind, "streams") == 0;
      return is_of_streams ? StoreFault::Busy : StoreFault::None;
    };
  }

  void
  die_and_go_on ()
  {
    world.lose_datagrams = true;
    world.restart_all ();
    world.lose_datagrams = false;
    world.fault = StoreFault::None;
    world.fault_of = nullptr;
    world.run (3 * GSPAN_SECOND);
    take_up ();
  }
};

/* review/7: streams began at the second version without a record and went on at the base. */
TEST_F (UnprovedStreams, AllNodesDieBeforeTheStoreIsKnownToBeSilent)
{
  for (unsigned silent_ms : { 400, 700, 1000, 1400, 2000, 4500 })
    {
      world.clear ();
      began.clear ();
      joined = gone_on = refused = 0;
      start (3);
      world.run (2 * GSPAN_SECOND);
      world.fault = StoreFault::Unreachable;
      offer_streams (16, silent_ms * GSPAN_MS);
      size_t count = began.size ();
      die_and_go_on ();
      EXPECT_EQ (joined, 0U) << silent_ms;
      EXPECT_EQ (gone_on, count) << silent_ms;
      if (silent_ms < 1000) /* the wait for the store, and the caller's next try */
        continue;
      EXPECT_EQ (count, 16U) << "streams begin at the base; " << silent_ms;
    }
}

/* A record whose write had no answer may be in the store seconds later: it has to be right. */
TEST_F (UnprovedStreams, RecordsAreWrittenAfterAllNodesDied)
{
  start (3);
  world.run (2 * GSPAN_SECOND);
  world.fault_of = [] (const Rig &, const GspanStoreCall &call) {
    bool origins = strcmp (call.kind, "streams") == 0 && gspan_store_op_is_write (call.op);
    return origins ? StoreFault::AppliedLate : StoreFault::None;
  };
  offer_streams (16, 900 * GSPAN_MS);
  EXPECT_EQ (began.size (), 16U);
  die_and_go_on ();
  EXPECT_EQ (joined, 0U);
}

/* A store that refuses writes has done nothing: what it refused needs no record at the base. */
TEST_F (UnprovedStreams, RefusedWritesHoldNoStreamBack)
{
  start (3);
  world.fault_of = [] (const Rig &, const GspanStoreCall &call) {
    bool origins = strcmp (call.kind, "streams") == 0 && gspan_store_op_is_write (call.op);
    return origins ? StoreFault::Busy : StoreFault::None;
  };
  offer_streams (16, 500 * GSPAN_MS);
  EXPECT_EQ (began.size (), 16U);
  EXPECT_EQ (refusals, 0U);
  die_and_go_on ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 16U);
}

/* Nodes that had just restarted didn't know the base, and streams began at any version. */
TEST_F (UnprovedStreams, BaseOfTwoVersionsIsNotRead)
{
  start (3);
  world.restart_all ();
  fail_calls_for_streams ();
  world.run (2 * GSPAN_SECOND);
  offer_streams (16, 2 * GSPAN_SECOND);
  die_and_go_on ();
  EXPECT_EQ (joined, 0U);
}

/* As above, where the replicas of the base are away for a moment: one version is to be seen. */
TEST_F (UnprovedStreams, BaseThatIsAwayIsNotRead)
{
  start (3);
  world.remove ("servers", "d1");
  world.restart_all ();
  fail_calls_for_streams ();
  world.run (2 * GSPAN_SECOND);
  offer_streams (16, 2 * GSPAN_SECOND);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  die_and_go_on ();
  EXPECT_EQ (joined, 0U);
}

/* The base has no replica while streams of the second version begin, and has one afterwards. */
TEST_F (UnprovedStreams, BaseComesBackAfterAllNodesDied)
{
  start (3);
  world.remove ("servers", "d1");
  world.run (2 * GSPAN_SECOND);
  world.fault = StoreFault::Unreachable;
  offer_streams (16, 1400 * GSPAN_MS);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
  die_and_go_on ();
  EXPECT_EQ (joined, 0U);
}

/* Without replicas of the base, a stream waits for the store rather than be refused at once. */
TEST_F (UnprovedStreams, StreamWaitsForAStoreThatIsAwayForAMoment)
{
  start (3);
  world.remove ("servers", "d1");
  world.run (2 * GSPAN_SECOND);
  world.fault_of
      = [this, until = world.now + 300 * GSPAN_MS] (const Rig &, const GspanStoreCall &) {
          return world.now < until ? StoreFault::Busy : StoreFault::None;
        };
  offer_streams (12, 1500 * GSPAN_MS);
  EXPECT_EQ (began.size (), 12U);
  die_and_go_on ();
  EXPECT_EQ (joined, 0U);
  EXPECT_EQ (gone_on, 12U);
}

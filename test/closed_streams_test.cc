#include "test/node_world.h"

/*
 * Streams whose answer has neither length nor chunks: the end of the connection ends them, also
 * where the replica has cut them. What follows the last event is asked for.
 */
class ClosedStreams : public NodeTest
{
protected:
  Rig &
  start (unsigned nodes = 1, unsigned attempts_max = 3)
  {
    Rig &rig = start_nodes (nodes);
    std::string config = config_spec (4, "streaming");
    const std::string limit = "\"maxAttempts\":2";

    config.replace (config.find (limit) + limit.size () - 1, 1, std::to_string (attempts_max));
    world.put ("servers", "d3", replica_spec ("desk", 5, 0).c_str ());
    world.put ("config", "main", config.c_str ());
    world.run (GSPAN_SECOND);
    for (auto &each : world.rigs)
      each->framing = GSPAN_BODY_FRAMING_CLOSE;
    return rig;
  }

  static void
  send_stream (Rig &rig, guint64 id)
  {
    const std::string attempt = "a" + std::to_string (id);

    rig.streamed_bytes.clear ();
    rig.request (id, "POST", "/desk/s",
                 { "Host: a.example", "X-Attempt-Id: " + attempt, "X-Deadline-Ms: 800" },
                 "hello " + attempt);
  }

  /* Plays an answer of the events FROM to LAST at the only open exchange of RIG. */
  void
  answer (Rig &rig, unsigned from, unsigned last, GspanHttpResult result = GSPAN_HTTP_COMPLETE)
  {
    ASSERT_EQ (rig.exchanges.size (), 1U);
    const Exchange exchange = rig.exchanges[0];

    EXPECT_EQ (exchange.header ("Last-Event-Id"), from > 1 ? std::to_string (from - 1) : "");
    rig.http_head (exchange, 200, stream_head (1));
    for (unsigned id = from; id <= last; id++)
      rig.http_data (exchange, 200, stream_head (1), sse (id));
    rig.http_done (exchange, result, 200, stream_head (1), "");
    world.run (20 * GSPAN_MS);
  }

  /* Of the last part of the answer to the request ID: 0 is its whole end, -1 a break. */
  static int
  last_status (const Rig &rig, guint64 id)
  {
    int status = -2;

    for (const auto &part : rig.responses)
      if (part.request == id)
        status = part.status;
    return status;
  }
};

TEST_F (ClosedStreams, CallersGetWhatACutStreamLacks)
{
  Rig &rig = start ();

  send_stream (rig, 1);
  answer (rig, 1, 2);
  EXPECT_EQ (last_status (rig, 1), 200) << "not ended";
  EXPECT_FALSE (response_to (rig, 1)->until_close);
  answer (rig, 3, 4);
  EXPECT_EQ (last_status (rig, 1), 200) << "not ended";
  answer (rig, 5, 4);
  EXPECT_EQ (last_status (rig, 1), 0);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2) + sse (3) + sse (4));
  EXPECT_TRUE (rig.exchanges.empty ());
}

TEST_F (ClosedStreams, AnAnswerWithAnEndOfItsOwnEndsTheStream)
{
  Rig &rig = start ();

  send_stream (rig, 1);
  answer (rig, 1, 2);
  rig.framing = GSPAN_BODY_FRAMING_CHUNKED;
  answer (rig, 3, 4);
  EXPECT_EQ (last_status (rig, 1), 0);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2) + sse (3) + sse (4));
  EXPECT_TRUE (rig.exchanges.empty ());
}

/* review/8: all replicas had crashed, and the stream was ended as whole without its rest. */
TEST_F (ClosedStreams, StreamIsBrokenOffWhereItsRestIsAskedForInVain)
{
  Rig &rig = start ();

  send_stream (rig, 1);
  answer (rig, 1, 2);
  answer (rig, 3, 2, GSPAN_HTTP_LOST);
  answer (rig, 3, 2, GSPAN_HTTP_LOST);
  world.run (GSPAN_SECOND);
  EXPECT_EQ (last_status (rig, 1), -1);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2));
}

/* As above, where nobody is left to ask. */
TEST_F (ClosedStreams, StreamIsBrokenOffWhereNoReplicaIsLeft)
{
  Rig &rig = start ();

  send_stream (rig, 1);
  for (const char *replica : { "d1", "d2", "d3" })
    world.remove ("servers", replica);
  world.run (3 * GSPAN_SECOND / 10);
  answer (rig, 1, 2);
  world.run (GSPAN_SECOND);
  EXPECT_EQ (last_status (rig, 1), -1);
}

/* As above, where the route allows no further attempt. */
TEST_F (ClosedStreams, StreamIsBrokenOffWhereItsAttemptsAreUsedUp)
{
  Rig &rig = start (1, 2);

  send_stream (rig, 1);
  answer (rig, 1, 2, GSPAN_HTTP_LOST);
  answer (rig, 3, 4);
  EXPECT_EQ (last_status (rig, 1), -1);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2) + sse (3) + sse (4));
}

TEST_F (ClosedStreams, StreamIsBrokenOffAtItsDeadlineWhileItsRestIsAskedFor)
{
  Rig &rig = start ();

  send_stream (rig, 1);
  answer (rig, 1, 2);
  world.run (GSPAN_SECOND);
  EXPECT_EQ (last_status (rig, 1), -1);
}

/* The replica was cut before its first event; one that has none ends so twice. */
TEST_F (ClosedStreams, StreamThatEndsBeforeItsFirstEventIsAskedForAgain)
{
  Rig &rig = start ();

  send_stream (rig, 1);
  answer (rig, 1, 0);
  EXPECT_EQ (last_status (rig, 1), 200) << "not ended";
  answer (rig, 1, 2);
  answer (rig, 3, 2);
  EXPECT_EQ (last_status (rig, 1), 0);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2));
  send_stream (rig, 2);
  answer (rig, 1, 0);
  answer (rig, 1, 0);
  EXPECT_EQ (last_status (rig, 2), 0);
}

/* It is asked itself: a service of one replica has whole streams, too. */
TEST_F (ClosedStreams, TheOnlyReplicaIsAskedForTheRest)
{
  Rig &rig = start ();

  world.remove ("servers", "d2");
  world.remove ("servers", "d3");
  world.run (GSPAN_SECOND);
  send_stream (rig, 1);
  answer (rig, 1, 2);
  answer (rig, 3, 2);
  EXPECT_EQ (last_status (rig, 1), 0);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2));
}

/* More events came, and then a break. */
TEST_F (ClosedStreams, StreamThatIsCutLaterIsBrokenOff)
{
  Rig &rig = start ();

  send_stream (rig, 1);
  answer (rig, 1, 2);
  answer (rig, 3, 3, GSPAN_HTTP_LOST);
  answer (rig, 4, 3, GSPAN_HTTP_LOST);
  world.run (GSPAN_SECOND);
  EXPECT_EQ (last_status (rig, 1), -1);
}

/* Its end is the connection's for the caller, too. */
TEST_F (ClosedStreams, StreamThatMayBeTriedOnceEndsWithItsConnection)
{
  Rig &rig = start (1, 1);

  send_stream (rig, 1);
  answer (rig, 1, 2);
  EXPECT_EQ (last_status (rig, 1), 0);
  EXPECT_TRUE (response_to (rig, 1)->until_close);
  EXPECT_TRUE (rig.exchanges.empty ());
}

/* An item's text, cut after its second event. */
TEST_F (ClosedStreams, ItemsAreListedWithTheirWholeText)
{
  Rig &rig = start ();
  unsigned runs = 0;

  submit_job (rig, 900, "job-closed", 3);
  for (unsigned i = 0; i < 400; i++)
    {
      world.run (10 * GSPAN_MS);
      for (const Exchange &run : open_runs (rig))
        {
          const std::string after = run.header ("Last-Event-Id");

          finish_run (rig, run, after.empty () ? 2 : 4);
          runs++;
        }
    }
  rig.request (901, "GET", "/api/lots/job-closed?after=0", { "Host: a.example" }, "");
  world.run (GSPAN_SECOND);
  ASSERT_NE (response_to (rig, 901), nullptr);
  const std::string &body = response_to (rig, 901)->body;
  EXPECT_EQ (result_ids (*response_to (rig, 901)).size (), 3U) << body;
  size_t whole = 0;
  for (size_t at = body.find ("d4"); at != std::string::npos; at = body.find ("d4", at + 1))
    whole++;
  EXPECT_EQ (whole, 3U) << body;
  EXPECT_EQ (runs, 9U) << "two that bring events and one that brings none, for each";
}

#include "test/node_world.h"

/*
 * A stream or a text has begun, its replica breaks off, and what answers next is no continuation
 * of it. Nothing of that may reach the caller, nor may the stream end as if it were whole.
 */

struct Continuation
{
  const char *name;
  int status;
  std::vector<std::string> headers;
  std::string body;
  GspanHttpResult result;
  unsigned events; /* that may follow the first two */
  bool whole;      /* the stream may end as whole */
};

static std::vector<Continuation>
continuations ()
{
  const std::vector<std::string> good = stream_head (1);
  const std::vector<std::string> nothing = {};
  const std::vector<std::string> unsigned_stream = { "Content-Type: text/event-stream" };
  const std::vector<std::string> json = { "X-Server-Stamp: s", "Content-Type: application/json" };
  const std::vector<std::string> refused = { "X-Server-Stamp: s", "X-Not-Executed: 1" };
  const std::string head = "HTTP/1.1 500 Internal Server Error\r\nServer: x\r\n\r\n";
  const GspanHttpResult done = GSPAN_HTTP_COMPLETE;

  return {
    { "goes on", 200, good, sse (3) + sse (4), done, 2, true },
    { "goes on, type with a parameter",
      200,
      { "X-Server-Stamp: s", "content-type: Text/Event-Stream; charset=utf-8" },
      sse (3),
      done,
      1,
      true },
    { "had all its events", 200, good, "", done, 0, true },
    { "500", 500, signed_head, "error: out of memory\n\n", done, 0, false },
    { "500 like a stream", 500, good, sse (3), done, 0, false },
    { "500 without a stamp", 500, nothing, "error\n\n", done, 0, false },
    { "503 not executed", 503, refused, "busy\n\n", done, 0, false },
    { "404", 404, signed_head, "nothing here\n\n", done, 0, false },
    { "204", 204, signed_head, "", done, 0, false },
    { "206", 206, good, sse (3), done, 0, false },
    { "200 without a stamp", 200, unsigned_stream, sse (3), done, 0, false },
    { "200 empty, without a stamp", 200, nothing, "", done, 0, false },
    { "200 empty, of no type", 200, signed_head, "", done, 0, false },
    { "200 of another type", 200, json, "{\"error\": \"busy\"}", done, 0, false },
    { "200 of another type, like a stream", 200, json, sse (3), done, 0, false },
    { "200 of another type, empty", 200, json, "", done, 0, false },
    { "events without ids", 200, good, "data: oops\n\ndata: again\n\n", done, 0, false },
    { "an error's text", 200, good, "internal error\n\n", done, 0, false },
    { "an error's head", 200, good, head, done, 0, false },
    { "an error's head later", 200, good, sse (3) + head, done, 1, false },
    { "an error event later", 200, good, sse (3) + "event: error\ndata: no\n\n", done, 1, false },
    { "begins anew", 200, good, sse (1) + sse (2) + sse (3), done, 0, false },
    { "an event again", 200, good, sse (3) + sse (3), done, 1, false },
    { "begins too late", 200, good, sse (4), done, 0, false },
    { "an event left out", 200, good, sse (3) + sse (5), done, 1, false },
    { "ends within an event", 200, good, sse (3) + "id: 4\ndata: d", done, 1, false },
    { "ends after an id", 200, good, sse (3) + "id: 4\n", done, 1, false },
    { "head alone, lost", 200, good, "", GSPAN_HTTP_LOST, 0, false },
    { "head alone, timeout", 200, good, "", GSPAN_HTTP_TIMEOUT, 0, false },
    { "lost", 200, good, sse (3) + "id: 4\n", GSPAN_HTTP_LOST, 1, false },
    { "not sent", 0, nothing, "", GSPAN_HTTP_NOT_SENT, 0, false },
  };
}

class BrokenStreams : public NodeTest
{
protected:
  guint64 next_request = 100;

  Rig &
  start (unsigned nodes = 1, bool resumable = true)
  {
    Rig &rig = start_nodes (nodes);
    std::string config = config_spec (4, "streaming");

    if (!resumable)
      config.replace (config.find ("\"resumable\":true"), 16, "\"resumable\":false");
    world.put ("servers", "d3", replica_spec ("desk", 5, 0).c_str ());
    world.put ("config", "main", config.c_str ());
    world.run (GSPAN_SECOND);
    return rig;
  }

  /* A stream of its own content, so that no evidence of crashes adds up. */
  guint64
  send_stream (Rig &rig, unsigned last_event = 0)
  {
    guint64 id = next_request++;
    std::string attempt = "a" + std::to_string (id);
    std::vector<std::string> headers
        = { "Host: a.example", "X-Attempt-Id: " + attempt, "X-Deadline-Ms: 800" };

    if (last_event > 0)
      headers.push_back ("Last-Event-Id: " + std::to_string (last_event));
    rig.streamed_bytes.clear ();
    rig.request (id, "POST", "/desk/s", headers, "hello " + attempt);
    world.run (100 * GSPAN_MS);
    return id;
  }

  /* The open exchange at the node SERVER. */
  static bool
  take_exchange (const Rig &server, Exchange *exchange)
  {
    for (const auto &open : server.exchanges)
      if (open.url.find ("/desk/s") != std::string::npos)
        {
          *exchange = open;
          return true;
        }
    return false;
  }

  static bool
  is_open (const Rig &server, const Exchange &exchange)
  {
    return std::any_of (server.exchanges.begin (), server.exchanges.end (),
                        [&] (const Exchange &open) { return open.ref.id == exchange.ref.id; });
  }

  /* Answers as ANSWER says, the body in pieces of STEP bytes; 0 is at once. */
  void
  play (Rig &server, const Exchange &exchange, const Continuation &answer, size_t step)
  {
    size_t len = answer.body.size ();

    if (answer.status != 0)
      server.http_head (exchange, answer.status, answer.headers);
    for (size_t at = 0; at < len && is_open (server, exchange); at += step > 0 ? step : len)
      server.http_data (exchange, answer.status, answer.headers,
                        answer.body.substr (at, step > 0 ? step : len));
    if (is_open (server, exchange))
      server.http_done (exchange, answer.result, answer.status, answer.headers, "");
    world.run (20 * GSPAN_MS);
  }

  void
  break_off (Rig &server, const Exchange &exchange)
  {
    server.http_head (exchange, 200, stream_head (1));
    server.http_data (exchange, 200, stream_head (1), sse (1));
    server.http_data (exchange, 200, stream_head (1), sse (2) + "id: 3\nda");
    world.run (20 * GSPAN_MS);
    server.http_done (exchange, GSPAN_HTTP_LOST, 200, stream_head (1), "");
    world.run (20 * GSPAN_MS);
  }

  /* Of the last part of the answer to the request ID: 0 is its whole end, -1 a break. */
  static int
  last_status (const Rig &rig, guint64 id)
  {
    int status = -2;

    for (const auto &answer : rig.responses)
      if (answer.request == id)
        status = answer.status;
    return status;
  }

  static std::string
  events (unsigned first, unsigned last)
  {
    std::string text;

    for (unsigned id = first; id <= last; id++)
      text += sse (id);
    return text;
  }

  /* The exchanges of RIG's requests are at SERVER. */
  void
  check_all (Rig &rig, Rig &server, size_t step)
  {
    for (const auto &row : continuations ())
      {
        SCOPED_TRACE (row.name);
        guint64 id = send_stream (rig);
        Exchange exchange;
        ASSERT_TRUE (take_exchange (server, &exchange));
        break_off (server, exchange);
        ASSERT_TRUE (take_exchange (server, &exchange));
        EXPECT_EQ (exchange.header ("Last-Event-Id"), "2");
        play (server, exchange, row, step);
        /* what never left may be tried again some times */
        for (unsigned i = 0; i < 20 && row.status == 0; i++)
          if (take_exchange (server, &exchange))
            play (server, exchange, row, step);
        world.run (1500 * GSPAN_MS);
        EXPECT_EQ (rig.streamed_bytes, events (1, 2 + row.events));
        EXPECT_EQ (last_status (rig, id), row.whole ? 0 : -1);
        EXPECT_FALSE (take_exchange (server, &exchange));
        world.run (4 * GSPAN_SECOND);
      }
  }
};

TEST_F (BrokenStreams, NothingForeignFollowsAndNoFalseEnd)
{
  Rig &rig = start ();

  check_all (rig, rig, 0);
}

TEST_F (BrokenStreams, NothingForeignFollowsByteByByte)
{
  Rig &rig = start ();

  check_all (rig, rig, 1);
}

TEST_F (BrokenStreams, NothingForeignFollowsThroughAnotherNode)
{
  Rig &rig = start (2);

  rig.cut_from_replicas = true;
  submit_job (rig, 900, "job-warm", 2);
  for (unsigned i = 0; i < 300 && !rig.node.links.cut; i++)
    world.run (10 * GSPAN_MS);
  ASSERT_TRUE (rig.node.links.cut);
  check_all (rig, *world.rigs[1], 0);
}

/* The caller takes up, and each replica answers the same. */
TEST_F (BrokenStreams, StreamTakenUpGetsNothingForeign)
{
  Rig &rig = start ();

  for (const auto &row : continuations ())
    {
      SCOPED_TRACE (row.name);
      bool begins = row.status / 100 == 2 && !row.headers.empty ()
                    && g_str_has_prefix (row.headers[0].c_str (), "X-Server-Stamp");
      bool is_stream
          = begins && row.headers.size () > 1 && row.headers[1].find ("json") == std::string::npos;
      guint64 id = send_stream (rig, 2);
      Exchange exchange;
      for (unsigned i = 0; i < 3 && take_exchange (rig, &exchange); i++)
        {
          if (i > 0 && begins)
            {
              EXPECT_EQ (exchange.header ("Last-Event-Id"), std::to_string (2 + row.events));
            }
          play (rig, exchange, row, 0);
        }
      world.run (1500 * GSPAN_MS);
      int status = last_status (rig, id);
      if (is_stream && row.status == 200)
        {
          EXPECT_EQ (rig.streamed_bytes, events (3, 2 + row.events));
          EXPECT_EQ (status, row.whole ? 0 : -1);
        }
      else if (begins) /* a success that is no stream: it is the replica's own */
        {
          EXPECT_EQ (rig.streamed_bytes, row.body);
          EXPECT_EQ (status, 0);
        }
      else
        {
          EXPECT_EQ (rig.streamed_bytes, "");
          EXPECT_GE (status, 400);
        }
      world.run (4 * GSPAN_SECOND);
    }
}

/* It ends as the replica ended it, or is broken off; nothing is put together. */
TEST_F (BrokenStreams, StreamThatMayNotBeResumedGetsNothingAfterABreak)
{
  Rig &rig = start (1, false);

  guint64 id = send_stream (rig);
  Exchange exchange;
  ASSERT_TRUE (take_exchange (rig, &exchange));
  break_off (rig, exchange);
  EXPECT_FALSE (take_exchange (rig, &exchange));
  EXPECT_EQ (last_status (rig, id), -1);
  EXPECT_EQ (rig.streamed_bytes, sse (1) + sse (2) + "id: 3\nda");

  id = send_stream (rig);
  ASSERT_TRUE (take_exchange (rig, &exchange));
  rig.http_head (exchange, 200, { "Content-Type: text/event-stream" });
  rig.http_data (exchange, 200, { "Content-Type: text/event-stream" }, sse (1));
  rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, { "Content-Type: text/event-stream" }, "");
  EXPECT_EQ (last_status (rig, id), 502);
  EXPECT_EQ (rig.streamed_bytes, "");
}

/* What a replica ends as whole in the middle of an event goes on elsewhere. */
TEST_F (BrokenStreams, FirstAnswerThatEndsWithinAnEventIsNotWhole)
{
  Rig &rig = start ();
  guint64 id = send_stream (rig);
  Exchange exchange;

  ASSERT_TRUE (take_exchange (rig, &exchange));
  rig.http_head (exchange, 200, stream_head (1));
  rig.http_data (exchange, 200, stream_head (1), sse (1));
  rig.http_data (exchange, 200, stream_head (1), sse (2) + "id: 3\nda");
  rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
  ASSERT_TRUE (take_exchange (rig, &exchange));
  EXPECT_EQ (exchange.header ("Last-Event-Id"), "2");
  rig.http_head (exchange, 200, stream_head (1));
  rig.http_data (exchange, 200, stream_head (1), sse (3));
  rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
  EXPECT_EQ (last_status (rig, id), 0);
  EXPECT_EQ (rig.streamed_bytes, events (1, 3));
}

/* Ids rise, at times by more than one; comments keep the connection alive. */
TEST_F (BrokenStreams, FirstAnswerIsPassedOnAsTheReplicaWroteIt)
{
  Rig &rig = start ();
  std::string text = ": ping\n\nid: 10\ndata: a\n\nid: 20\ndata: b\n\ndata: no id\n\nid: 30\n"
                     "data: c\n\n\n: end";
  guint64 id = send_stream (rig);
  Exchange exchange;

  ASSERT_TRUE (take_exchange (rig, &exchange));
  rig.http_head (exchange, 200, stream_head (1));
  rig.http_data (exchange, 200, stream_head (1), text);
  rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
  EXPECT_EQ (last_status (rig, id), 0);
  EXPECT_EQ (rig.streamed_bytes, text);
}

/* A route of streams whose replica answers with something else. */
TEST_F (BrokenStreams, AnswerThatIsNoStreamIsPassedOnWholeOrBrokenOff)
{
  const std::vector<std::string> json = { "X-Server-Stamp: s", "Content-Type: application/json" };
  Rig &rig = start ();

  for (bool whole : { true, false })
    {
      guint64 id = send_stream (rig);
      Exchange exchange;

      ASSERT_TRUE (take_exchange (rig, &exchange));
      rig.http_head (exchange, 200, json);
      rig.http_data (exchange, 200, json, "{\"a\":");
      rig.http_data (exchange, 200, json, whole ? "1}" : "");
      rig.http_done (exchange, whole ? GSPAN_HTTP_COMPLETE : GSPAN_HTTP_LOST, 200, json, "");
      EXPECT_FALSE (take_exchange (rig, &exchange));
      EXPECT_EQ (last_status (rig, id), whole ? 0 : -1);
      EXPECT_EQ (rig.streamed_bytes, whole ? "{\"a\":1}" : "{\"a\":");
    }
}

/* Replicas' streams name their type, and without it no end mark is asked for. */
TEST_F (BrokenStreams, EmptySuccessWithoutATypeIsNoEndOfAStream)
{
  Rig &rig = start ();
  guint64 id = send_stream (rig);
  Exchange exchange;

  ASSERT_TRUE (take_exchange (rig, &exchange));
  break_off (rig, exchange);
  ASSERT_TRUE (take_exchange (rig, &exchange));
  rig.http_head (exchange, 200, signed_head);
  rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, signed_head, "");
  world.run (1500 * GSPAN_MS);
  EXPECT_EQ (last_status (rig, id), -1);
}

/* An item's text takes nothing foreign in, and isn't completed by it. */
TEST_F (BrokenStreams, TextsTakeNothingForeignIn)
{
  Rig &rig = start ();

  for (const auto &row : continuations ())
    {
      SCOPED_TRACE (row.name);
      guint64 id = next_request++;
      std::string job = "job-" + std::to_string (id);
      submit_job (rig, id, job, 1);
      world.run (300 * GSPAN_MS);
      ASSERT_EQ (open_runs (rig).size (), 1U);
      Exchange run = open_runs (rig)[0];
      rig.http_head (run, 200, stream_head (1));
      rig.http_data (run, 200, stream_head (1), sse (1) + sse (2) + "id: 3\nda");
      rig.http_done (run, GSPAN_HTTP_LOST, 200, stream_head (1), "");
      for (unsigned i = 0; i < 300 && open_runs (rig).empty (); i++)
        world.run (10 * GSPAN_MS);
      ASSERT_EQ (open_runs (rig).size (), 1U);
      run = open_runs (rig)[0];
      EXPECT_EQ (run.header ("Last-Event-Id"), "2");
      play (rig, run, row, 0);
      unsigned last = 2 + row.events;
      for (unsigned i = 0; i < 300 && !row.whole && open_runs (rig).empty (); i++)
        world.run (10 * GSPAN_MS);
      if (!row.whole)
        {
          ASSERT_EQ (open_runs (rig).size (), 1U) << "it goes on";
          EXPECT_EQ (open_runs (rig)[0].header ("Last-Event-Id"), std::to_string (last));
          finish_run (rig, open_runs (rig)[0], ++last);
        }
      world.run (GSPAN_SECOND);
      read_results (rig, next_request, job, 0);
      world.run (100 * GSPAN_MS);
      const CallerResponse *results = response_to (rig, next_request++);
      ASSERT_NE (results, nullptr);
      std::string text = "\"d1\\nd2";
      for (unsigned event = 3; event <= last; event++)
        text += "\\nd" + std::to_string (event);
      EXPECT_NE (results->body.find (text + "\""), std::string::npos) << results->body;
      world.run (4 * GSPAN_SECOND);
    }
}

#include "test/node_world.h"

#include "test/wire.h"

extern "C"
{
#include "http/client.h"
#include "http/server.h"
#include "links/relay_headers.h"
}

/* Answers that come through another node: whole, their own, and never that node's word. */
class RelayAnswers : public NodeTest
{
protected:
  /* Starts two nodes, the first without links; its request "a1" lies at the second. */
  Exchange
  start_relayed (const char *desk_type)
  {
    start_nodes (2);
    world.put ("config", "main", config_spec (4, desk_type).c_str ());
    world.run (GSPAN_SECOND);
    caller ().cut_from_replicas = true;
    submit_job (caller (), 900, "job-warm", 1);
    for (int i = 0; i < 300; i++)
      {
        world.run (10 * GSPAN_MS);
        for (const Exchange &exchange : std::vector<Exchange> (relay ().exchanges))
          finish_run (relay (), exchange, 3);
      }
    EXPECT_TRUE (caller ().node.links.cut);
    send_desk_request (caller (), 1, "a1");
    world.run (10 * GSPAN_MS);
    EXPECT_EQ (relay ().exchanges.size (), 1U);
    return relay ().exchanges.empty () ? Exchange{} : relay ().exchanges[0];
  }

  Rig &
  caller ()
  {
    return *world.rigs[0];
  }

  Rig &
  relay ()
  {
    return *world.rigs[1];
  }
};

/* Else a replica could have a request that ran taken for one that was not sent. */
TEST_F (RelayAnswers, ReplicaCanNotSpeakAsTheNodeInBetween)
{
  const Exchange exchange = start_relayed ("non_idempotent");

  relay ().http_done (exchange, GSPAN_HTTP_COMPLETE, 200,
                      { "X-Server-Stamp: s", "Gspan-Relay-Outcome: refused",
                        "gspan-relay-outcome: not-sent", "Gspan-Relay-Why: none" },
                      "answer");
  world.run (20 * GSPAN_MS);
  ASSERT_NE (response_to (caller (), 1), nullptr);
  EXPECT_EQ (response_to (caller (), 1)->status, 200);
  EXPECT_EQ (response_to (caller (), 1)->body, "answer");
  EXPECT_TRUE (relay ().exchanges.empty ()) << "sent once";
}

/* What the other node lost may have run. */
TEST_F (RelayAnswers, AnswerThatIsLostBehindTheNodeInBetweenMayHaveRun)
{
  const Exchange exchange = start_relayed ("non_idempotent");

  relay ().http_done (exchange, GSPAN_HTTP_LOST, 200, { "X-Server-Stamp: s" }, "ans");
  world.run (20 * GSPAN_MS);
  ASSERT_NE (response_to (caller (), 1), nullptr);
  EXPECT_EQ (response_to (caller (), 1)->status, 502);
  EXPECT_TRUE (relay ().exchanges.empty ()) << "sent once";
}

/* Two nodes' sockets: the client of one at the server of the other. */
class RelaySockets : public testing::Test
{
protected:
  Wire wire;
  GspanHttpServer *server = nullptr;
  GspanHttpClient *client = nullptr;
  guint64 taken = 0;
  unsigned done = 0;
  GspanHttpResult result{};
  std::string body;
  std::vector<std::string> lines; /* of the answers' heads */

  void
  SetUp () override
  {
    GspanHttpLimits limits = { 1000, 50, 0, 2000, 100000 };
    GspanHttpHandler handler = { on_request, on_gone, this, nullptr };

    server = gspan_http_server_new (wire.loop, "127.0.0.1:0", &limits, &handler, nullptr);
    client = gspan_http_client_new (wire.loop, on_event, this);
  }

  void
  TearDown () override
  {
    gspan_http_client_free (client);
    if (server != nullptr)
      gspan_http_server_free (server);
  }

  static void
  on_request (void *user, const GspanHttpIncoming *incoming)
  {
    static_cast<RelaySockets *> (user)->taken = incoming->id;
  }

  static void
  on_gone (void *, guint64)
  {
  }

  static void
  on_event (void *user, const GspanEvent *event)
  {
    auto *self = static_cast<RelaySockets *> (user);
    GspanStr text = gspan_str_from_bytes (event->u.http.body);

    if (text.len > 0)
      self->body.append (text.data, text.len);
    self->done += event->kind == GSPAN_EVENT_HTTP_DONE;
    self->result = event->u.http.result;
  }

  /* Sends a request as one node does to another, and waits until it is there. */
  void
  ask (bool stream)
  {
    const std::string url
        = "http://127.0.0.1:" + std::to_string (gspan_http_server_port (server)) + "/x";
    static unsigned count = 0;
    const std::string line = "X-Attempt-Id: r" + std::to_string (++count);
    GspanActionHttp http{};

    lines = { line };
    taken = 0;
    done = 0;
    body.clear ();
    gspan_headers_init (&http.headers);
    http.method = const_cast<char *> ("POST");
    http.url = const_cast<char *> (url.c_str ());
    http.timeout_us = 10 * GSPAN_SECOND;
    http.stream = stream;
    http.http_framing_only = true;
    http.required_header = const_cast<char *> (line.c_str ());
    http.echo_exempt_header = const_cast<char *> (gspan_relay_outcome_header);
    gspan_http_client_start (client, { GSPAN_OWNER_DESK, count }, &http);
    gspan_headers_finish (&http.headers);
    EXPECT_TRUE (wire.run_until ([&] { return taken != 0; }));
  }

  void
  answer (bool begin, int status, const char *text)
  {
    GspanHeaders list{};
    GBytes *bytes = g_bytes_new (text, strlen (text));

    gspan_headers_init (&list);
    for (const std::string &line : lines)
      gspan_headers_add_line (&list, { line.data (), line.size () });
    if (begin)
      gspan_http_server_begin (server, taken, status, &list);
    else
      gspan_http_server_reply (server, taken, status, &list, bytes);
    gspan_headers_finish (&list);
    g_bytes_unref (bytes);
  }

  void
  expect_result (GspanHttpResult expected, const std::string &where)
  {
    EXPECT_TRUE (wire.run_until ([&] { return done == 1; })) << where;
    EXPECT_EQ (result, expected) << where;
  }
};

TEST_F (RelaySockets, StreamThatTheNodeInBetweenCutsIsLost)
{
  for (const char *end : { "end", "cut", "stop" })
    for (bool stream : { false, true })
      for (int pieces = 0; pieces < 4; pieces++)
        {
          const std::string where = std::string (end) + " after " + std::to_string (pieces)
                                    + " pieces" + (stream ? ", streamed" : "");
          std::string said;

          if (server == nullptr)
            SetUp ();
          ask (stream);
          answer (true, 200, "");
          for (int i = 0; i < pieces; i++)
            {
              GBytes *bytes = g_bytes_new_static ("piece;", 6);

              gspan_http_server_data (server, taken, bytes);
              g_bytes_unref (bytes);
              said += "piece;";
            }
          EXPECT_TRUE (!stream || wire.run_until ([&] { return body == said; })) << where;
          if (strcmp (end, "end") == 0)
            gspan_http_server_end (server, taken);
          else if (strcmp (end, "cut") == 0)
            gspan_http_server_cut (server, taken);
          else
            {
              gspan_http_server_free (server);
              server = nullptr;
            }
          expect_result (strcmp (end, "end") == 0 ? GSPAN_HTTP_COMPLETE : GSPAN_HTTP_LOST, where);
          EXPECT_TRUE (result != GSPAN_HTTP_COMPLETE || body == said) << where;
          if (server == nullptr)
            {
              gspan_http_client_free (client);
              client = nullptr;
            }
        }
  if (client == nullptr)
    SetUp ();
}

/* The node's own answer, or that of its HTTP library, is told from a replica's. */
TEST_F (RelaySockets, OnlyTheNodesOwnAnswerNeedsNoId)
{
  ask (false);
  lines = { "Gspan-Relay-Outcome: refused" };
  answer (false, 503, "");
  expect_result (GSPAN_HTTP_COMPLETE, "refused");
  ask (false);
  lines = {};
  answer (false, 413, "too large");
  expect_result (GSPAN_HTTP_LOST, "without a word on whose it is");
}

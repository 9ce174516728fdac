#include "test/bench.h"
#include "test/wire.h"

#include <csignal>
#include <sys/wait.h>

extern "C"
{
#include "http/server.h"
}

/* What callers see of answers, on sockets: each its own, and none cut that looks whole. */
class CallerAnswers : public testing::Test
{
protected:
  Wire wire;
  GspanHttpServer *server = nullptr;
  std::vector<guint64> taken;
  std::vector<std::string> headers; /* of the next answer */

  void
  SetUp () override
  {
    GspanHttpLimits limits = { 1000, 50, 0, 2000, 100000, 0 };
    GspanHttpHandler handler = { on_request, on_gone, this, nullptr };

    server = gspan_http_server_new (wire.loop, "127.0.0.1:0", &limits, &handler, nullptr);
  }

  void
  TearDown () override
  {
    gspan_http_server_free (server);
  }

  static void
  on_request (void *user, const GspanHttpIncoming *incoming)
  {
    static_cast<CallerAnswers *> (user)->taken.push_back (incoming->id);
  }

  static void
  on_gone (void *, guint64)
  {
  }

  /* Waits for the next request and returns its number. */
  guint64
  next_request (size_t before)
  {
    EXPECT_TRUE (wire.run_until ([&] { return taken.size () > before; }));
    return taken.size () > before ? taken.back () : 0;
  }

  void
  begin (guint64 id, int status = 200)
  {
    GspanHeaders list{};

    gspan_headers_init (&list);
    for (const std::string &line : headers)
      gspan_headers_add_line (&list, { line.data (), line.size () });
    gspan_http_server_begin (server, id, status, &list);
    gspan_headers_finish (&list);
  }

  void
  data (guint64 id, const std::string &text) const
  {
    GBytes *bytes = g_bytes_new (text.data (), text.size ());

    gspan_http_server_data (server, id, bytes);
    g_bytes_unref (bytes);
  }

  void
  reply (guint64 id, const std::string &text, int status = 200)
  {
    GspanHeaders list{};
    GBytes *bytes = g_bytes_new (text.data (), text.size ());

    gspan_headers_init (&list);
    for (const std::string &line : headers)
      gspan_headers_add_line (&list, { line.data (), line.size () });
    gspan_http_server_reply (server, id, status, &list, bytes);
    gspan_headers_finish (&list);
    g_bytes_unref (bytes);
  }

  /* True where a caller may take GOT, that ended so, for a whole answer to a request but HEAD. */
  static bool
  looks_whole (const std::string &got, bool reset)
  {
    const size_t end = got.find ("\r\n\r\n");
    const std::string head = got.substr (0, end == std::string::npos ? 0 : end + 2);
    const size_t length = head.find ("Content-Length: ");

    if (head.empty ())
      return false;
    if (head.find ("Transfer-Encoding: chunked\r\n") != std::string::npos)
      return got.find ("\r\n0\r\n", end) != std::string::npos;
    if (length != std::string::npos)
      return got.size () >= end + 4 + std::stoul (head.substr (length + 16));
    return !reset;
  }
};

struct CallerRow
{
  const char *name;
  std::string request;
};

static const std::vector<CallerRow> caller_rows = {
  { "HTTP/1.1", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n" },
  { "HTTP/1.1 that closes", "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" },
  { "HTTP/1.0", "GET /x HTTP/1.0\r\n\r\n" },
  { "HTTP/1.0 that keeps", "GET /x HTTP/1.0\r\nHost: h\r\nConnection: Keep-Alive\r\n\r\n" },
  { "HTTP/1.1 with a body", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}" },
};

TEST_F (CallerAnswers, StreamThatIsCutNeverLooksWhole)
{
  for (const CallerRow &row : caller_rows)
    for (int pieces = 0; pieces < 4; pieces++)
      for (bool at_once : { false, true })
        {
          WireCaller caller (gspan_http_server_port (server));
          const std::string where
              = std::string (row.name) + " after " + std::to_string (pieces) + " pieces";
          const size_t before = taken.size ();

          caller.say (row.request);
          const guint64 id = next_request (before);
          begin (id);
          for (int i = 0; i < pieces; i++)
            {
              const std::string text = "piece " + std::to_string (i) + ";";

              data (id, text);
              EXPECT_TRUE (at_once || wire.run_until ([&] { return caller.hears (text); }))
                  << where;
            }
          gspan_http_server_cut (server, id);
          EXPECT_TRUE (wire.run_until ([&] { return caller.hears (""); })) << where;
          EXPECT_FALSE (looks_whole (caller.got, caller.reset)) << where << "\n" << caller.got;
        }
}

/* An upstream's answer that its connection ended may have been cut: no length is made up for it. */
TEST_F (CallerAnswers, AnswerThatItsConnectionEndedIsGivenNoLength)
{
  for (const CallerRow &row : caller_rows)
    for (bool stream : { false, true })
      for (bool cut : { false, true })
        {
          WireCaller caller (gspan_http_server_port (server));
          const std::string where = std::string (row.name) + (stream ? ", stream" : "");
          const size_t before = taken.size ();

          if (cut && !stream)
            continue;
          caller.say (row.request);
          const guint64 id = next_request (before);
          gspan_http_server_end_by_close (server, id);
          if (stream)
            {
              begin (id);
              data (id, "some text");
              EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("some text"); })) << where;
              if (cut)
                gspan_http_server_cut (server, id);
              else
                gspan_http_server_end (server, id);
            }
          else
            reply (id, "some text");
          EXPECT_TRUE (wire.run_until ([&] { return caller.hears (""); })) << where;
          EXPECT_EQ (caller.got.find ("Content-Length"), std::string::npos) << caller.got;
          EXPECT_EQ (caller.got.find ("Transfer-Encoding"), std::string::npos) << caller.got;
          EXPECT_EQ (caller.got.substr (caller.got.find ("\r\n\r\n") + 4), "some text") << where;
          EXPECT_EQ (looks_whole (caller.got, caller.reset), !cut) << where << "\n" << caller.got;
        }
}

/* The server ends while such an answer is under way. */
TEST_F (CallerAnswers, AnswerThatItsConnectionIsToEndIsResetWhereTheServerEnds)
{
  WireCaller caller (gspan_http_server_port (server));
  const std::string text (32 << 20, 'x');

  caller.say (caller_rows[0].request);
  const guint64 id = next_request (0);
  gspan_http_server_end_by_close (server, id);
  reply (id, text);
  EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("xxx"); }));
  gspan_http_server_free (server);
  EXPECT_TRUE (wire.run_until ([&] { return caller.hears (""); }));
  EXPECT_LT (caller.got.size (), text.size ());
  EXPECT_TRUE (caller.reset);
  SetUp ();
}

/*
 * A process that serves one answer which ends with its connection: a part of it, and no more. Gives
 * its port to the pipe PORT.
 */
[[noreturn]] static void
serve_a_part (int port)
{
  static GspanHttpServer *server;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  GspanHttpLimits limits = { 1000, 50, 0, 2000, 100000, 0 };
  GspanHttpHandler handler{};

  handler.request = [] (void *, const GspanHttpIncoming *incoming) {
    GspanHeaders none{};
    GBytes *bytes = g_bytes_new_static ("a part", 6);

    gspan_headers_init (&none);
    gspan_http_server_end_by_close (server, incoming->id);
    gspan_http_server_begin (server, incoming->id, 200, &none);
    gspan_http_server_data (server, incoming->id, bytes);
    g_bytes_unref (bytes);
    gspan_headers_finish (&none);
  };
  handler.gone = [] (void *, guint64) {};
  server = gspan_http_server_new (loop, "127.0.0.1:0", &limits, &handler, nullptr);
  uint16_t number = gspan_http_server_port (server);
  (void)!write (port, &number, sizeof number);
  ev_run (loop, 0);
  _exit (0);
}

/* review/2: the kernel ended the connections of a killed process by FIN, as if they were whole. */
TEST_F (CallerAnswers, AnswerThatItsConnectionIsToEndIsResetWhereTheProcessIsKilled)
{
  for (const CallerRow &row : caller_rows)
    {
      int ends[2];
      uint16_t port = 0;

      ASSERT_EQ (pipe (ends), 0);
      const pid_t child = fork ();
      if (child == 0)
        serve_a_part (ends[1]);
      ASSERT_EQ (read (ends[0], &port, sizeof port), (ssize_t)sizeof port);
      {
        WireCaller caller (port);

        caller.say (row.request);
        EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("a part"); })) << row.name;
        kill (child, SIGKILL);
        waitpid (child, nullptr, 0);
        EXPECT_TRUE (wire.run_until ([&] { return caller.hears (""); })) << row.name;
        EXPECT_FALSE (looks_whole (caller.got, caller.reset)) << row.name << "\n" << caller.got;
      }
      close (ends[0]);
      close (ends[1]);
    }
}

TEST_F (CallerAnswers, StreamThatEndsIsWhole)
{
  for (const CallerRow &row : caller_rows)
    {
      WireCaller caller (gspan_http_server_port (server));
      const size_t before = taken.size ();

      caller.say (row.request);
      const guint64 id = next_request (before);
      begin (id);
      data (id, "piece");
      EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("piece"); })) << row.name;
      gspan_http_server_end (server, id);
      EXPECT_TRUE (wire.run_until ([&] {
        return caller.hears ("\r\n0\r\n\r\n") || caller.hears ("");
      })) << row.name;
      EXPECT_TRUE (looks_whole (caller.got, caller.reset)) << row.name << "\n" << caller.got;
    }
}

static unsigned
count_of (const std::string &text, const std::string &part)
{
  unsigned count = 0;

  for (size_t at = text.find (part); at != std::string::npos; at = text.find (part, at + 1))
    count++;
  return count;
}

/* The framing holds for itself, whatever the headers say that the server is given. */
TEST_F (CallerAnswers, HeadersThatAreGivenDoNotContradictTheFraming)
{
  const std::vector<std::string> lines = { "Content-Length: 3",
                                           "content-length: 99",
                                           "Transfer-Encoding: chunked",
                                           "Transfer-Encoding: gzip",
                                           "Content-Length : 99",
                                           " Content-Length: 99",
                                           "Trailer: X-A",
                                           "Connection: X-A, upgrade" };

  for (const std::string &line : lines)
    for (bool stream : { false, true })
      {
        WireCaller caller (gspan_http_server_port (server));
        const size_t before = taken.size ();

        caller.say (caller_rows[0].request);
        const guint64 id = next_request (before);
        headers = { "X-Server-Stamp: s", line };
        if (stream)
          {
            begin (id);
            data (id, "some text");
            gspan_http_server_end (server, id);
          }
        else
          reply (id, "some text");
        EXPECT_TRUE (wire.run_until ([&] {
          return caller.hears ("") || looks_whole (caller.got, false);
        })) << line;
        EXPECT_NE (caller.got.find ("X-Server-Stamp: s\r\n"), std::string::npos) << line;
        EXPECT_EQ (count_of (caller.got, "ontent-") + count_of (caller.got, "Transfer-Encoding"),
                   1U)
            << caller.got;
        headers.clear ();
        caller.say (caller_rows[0].request);
        reply (next_request (before + 1), "the next one");
        EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("the next one"); })) << line;
        const size_t end = caller.got.find ("HTTP/1.1 200", 1);
        EXPECT_EQ (caller.got.substr (end - 9, 9),
                   line.find ("chunked") != std::string::npos || stream ? "xt\r\n0\r\n\r\n"
                                                                        : "some text")
            << caller.got;
      }
}

TEST_F (CallerAnswers, PipelinedRequestsGetTheirOwnAnswersInOrder)
{
  WireCaller caller (gspan_http_server_port (server));

  caller.say (caller_rows[0].request + caller_rows[4].request + caller_rows[0].request);
  for (int i = 0; i < 3; i++)
    {
      const std::string text = "answer " + std::to_string (i);
      const guint64 id = next_request ((size_t)i);

      EXPECT_EQ (taken.size (), (size_t)i + 1);
      EXPECT_EQ (count_of (caller.got, "HTTP/1.1"), (unsigned)i);
      reply (id, text);
      EXPECT_TRUE (wire.run_until ([&] { return caller.hears (text); }));
    }
}

/* An answer to a request whose caller has gone reaches nobody, nor does a second one. */
TEST_F (CallerAnswers, AnswerIsGivenOnceAndOnlyToItsRequest)
{
  WireCaller first (gspan_http_server_port (server));
  WireCaller caller (gspan_http_server_port (server));

  first.say (caller_rows[0].request);
  const guint64 gone = next_request (0);
  first.hang_up ();
  caller.say (caller_rows[0].request);
  const guint64 id = next_request (1);
  reply (gone, "of the one that left");
  reply (id, "own");
  EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("own"); }));
  reply (id, "again");
  begin (id);
  data (id, "again");
  reply (gone, "again");
  caller.say (caller_rows[0].request);
  reply (next_request (2), "next");
  EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("next"); }));
  EXPECT_EQ (caller.got.find ("again"), std::string::npos);
  EXPECT_EQ (caller.got.find ("left"), std::string::npos);
  EXPECT_EQ (count_of (caller.got, "HTTP/1.1"), 2U);
}

TEST_F (CallerAnswers, AnswersWithoutABodyHaveNone)
{
  for (const auto &[request, status] :
       std::vector<std::pair<std::string, int>>{ { "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", 200 },
                                                 { caller_rows[0].request, 204 },
                                                 { caller_rows[0].request, 304 } })
    for (bool stream : { false, true })
      {
        WireCaller caller (gspan_http_server_port (server));
        const std::string where = request + std::to_string (status) + (stream ? " streamed" : "");
        const size_t before = taken.size ();

        caller.say (request);
        const guint64 id = next_request (before);
        if (stream)
          {
            begin (id, status);
            data (id, "body");
            gspan_http_server_end (server, id);
          }
        else
          reply (id, status == 200 ? "body" : "", status);
        EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("\r\n\r\n"); })) << where;
        caller.say (caller_rows[0].request);
        reply (next_request (before + 1), "next");
        EXPECT_TRUE (wire.run_until ([&] { return caller.hears ("next"); })) << where;
        EXPECT_EQ (caller.got.find ("body"), std::string::npos) << where << caller.got;
        EXPECT_EQ (count_of (caller.got, "HTTP/1.1"), 2U) << where << caller.got;
      }
}

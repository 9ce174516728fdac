#include "test/bench.h"
#include "test/wire.h"

#include <rapidcheck/gtest.h>

#include <sstream>

extern "C"
{
#include "http/client.h"
#include "http/sent_ids.h"
#include "http/stray_upstreams.h"
}

/* Whole answers on sockets, cut anywhere, and answers beyond the one that was asked for. */

static const std::string id_name = "X-Attempt-Id: ";

static std::string
chunk (const std::string &text)
{
  char size[16];

  g_snprintf (size, sizeof size, "%zx\r\n", text.size ());
  return size + text + "\r\n";
}

struct Ended
{
  bool done;
  GspanHttpResult result;
  int status;
  std::string body; /* streamed or collected */
  std::string headers;
  unsigned sends;
  bool foreign;
};

class Answers : public testing::Test
{
protected:
  Wire wire;
  GspanHttpClient *client = nullptr;
  std::map<guint64, Ended> ended; /* by number of the exchange */
  guint64 last = 0;
  unsigned open = 0;
  guint64 timeout_us = 20 * GSPAN_SECOND; /* of the next exchanges */
  const char *exempt = nullptr;           /* as the field of the action */

  void
  SetUp () override
  {
    client = gspan_http_client_new (wire.loop, on_event, this);
  }

  void
  TearDown () override
  {
    gspan_http_client_free (client);
  }

  static void
  on_event (void *user, const GspanEvent *event)
  {
    auto *self = static_cast<Answers *> (user);
    const GspanEventHttp &http = event->u.http;
    GspanStr text = gspan_str_from_bytes (http.body);
    Ended &item = self->ended[event->ref.id];

    if (text.len > 0)
      item.body.append (text.data, text.len);
    if (event->kind != GSPAN_EVENT_HTTP_DONE)
      return;
    item.done = true;
    item.result = http.result;
    item.status = http.status;
    item.sends = http.send_count;
    item.foreign = http.trace.foreign;
    for (guint i = 0; i < http.headers->items->len; i++)
      item.headers += std::string (static_cast<char *> (http.headers->items->pdata[i])) + "\n";
    self->open--;
  }

  /* Starts an exchange; ID "" sends none and asks for none. Returns its number. */
  guint64
  start (const WireServer &server, const std::string &path, const std::string &id, bool stream,
         bool fresh = false, const std::string &method = "GET")
  {
    std::string url = "http://" + server.address + path;
    std::string line = id_name + id;
    GspanActionHttp http{};

    gspan_headers_init (&http.headers);
    http.method = const_cast<char *> (method.c_str ());
    http.url = const_cast<char *> (url.c_str ());
    http.timeout_us = timeout_us;
    http.new_connection = fresh;
    http.stream = stream;
    http.http_framing_only = true;
    http.echo_exempt_header = const_cast<char *> (exempt);
    if (!id.empty ())
      {
        gspan_headers_add (&http.headers, "X-Attempt-Id", gspan_str_from (id.c_str ()));
        http.required_header = const_cast<char *> (line.c_str ());
      }
    open++;
    gspan_http_client_start (client, { GSPAN_OWNER_DESK, ++last }, &http);
    gspan_headers_finish (&http.headers);
    return last;
  }

  const Ended &
  call (const WireServer &server, const std::string &path, const std::string &id,
        bool stream = false)
  {
    guint64 number = start (server, path, id, stream);

    EXPECT_TRUE (wire.run_until ([&] { return ended[number].done; })) << path;
    return ended[number];
  }
};

/* An answer as a server may frame it. */
struct FramingRow
{
  const char *name;
  const char *method;
  std::string head; /* of all answers, up to the last empty line */
  std::string rest; /* as it goes over the wire */
  std::string body; /* what it says */
  enum
  {
    BY_ITSELF,
    BY_CLOSE, /* its end is that of the connection */
    NEVER     /* can't be told to be whole */
  } whole;
};

static std::vector<FramingRow>
framing_rows ()
{
  const std::string ok = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n" + id_name + "a\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = chunk ("first") + chunk ("second, of more than 16 bytes");
  const std::string said = "firstsecond, of more than 16 bytes";

  return {
    { "length", "GET", ok + "Content-Length: 9\r\n\r\n", "some text", "some text",
      FramingRow::BY_ITSELF },
    { "length 0", "GET", ok + "Content-Length: 0\r\n\r\n", "", "", FramingRow::BY_ITSELF },
    { "length twice", "GET", ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n", "text", "text",
      FramingRow::BY_ITSELF },
    { "chunks", "GET", ok + chunked + "\r\n", chunks + "0\r\n\r\n", said, FramingRow::BY_ITSELF },
    { "chunks with trailers", "GET", ok + chunked + "Trailer: X-A\r\n\r\n",
      chunks + "0\r\nX-A: 1\r\nX-B: 2\r\n\r\n", said, FramingRow::BY_ITSELF },
    { "chunks and a length", "GET", ok + chunked + "Content-Length: 3\r\n\r\n",
      chunks + "0\r\n\r\n", said, FramingRow::BY_ITSELF },
    { "until the close", "GET", ok + "\r\n", "some text", "some text", FramingRow::BY_CLOSE },
    { "HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n" + id_name + "a\r\n\r\n", "some text", "some text",
      FramingRow::BY_CLOSE },
    { "HTTP/1.0 with a length", "GET",
      "HTTP/1.0 200 OK\r\n" + id_name + "a\r\nContent-Length: 4\r\n\r\n", "text", "text",
      FramingRow::BY_ITSELF },
    { "HEAD", "HEAD", ok + "Content-Length: 9\r\n\r\n", "", "", FramingRow::BY_ITSELF },
    { "HEAD with chunks", "HEAD", ok + chunked + "\r\n", "", "", FramingRow::BY_ITSELF },
    { "204", "GET", "HTTP/1.1 204 No Content\r\n" + id_name + "a\r\n\r\n", "", "",
      FramingRow::BY_ITSELF },
    { "304", "GET", "HTTP/1.1 304 Not Modified\r\n" + id_name + "a\r\nContent-Length: 9\r\n\r\n",
      "", "", FramingRow::BY_ITSELF },
    { "103 first", "GET",
      "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n",
      "text", "text", FramingRow::BY_ITSELF },
    { "header that looks like a status line", "GET",
      ok + "Content-Length: 4\r\nHTTP/1.1 is: a name\r\n\r\n", "text", "text",
      FramingRow::BY_ITSELF },
    { "space before a colon", "GET", ok + "Content-Length : 2\r\nContent-Length: 4\r\n\r\n", "text",
      "text", FramingRow::BY_ITSELF },
    { "folded line", "GET", ok + "X-A: b\r\n Content-Length: 2\r\nContent-Length: 4\r\n\r\n",
      "text", "text", FramingRow::BY_ITSELF },
    { "chunks with extensions", "GET", ok + "transfer-encoding: Chunked\r\n\r\n",
      "4;a=b\r\ntext\r\n0;c\r\n\r\n", "text", FramingRow::BY_ITSELF },
    { "chunks twice", "GET", ok + "Transfer-Encoding: chunked, chunked\r\n\r\n",
      chunks + "0\r\n\r\n", said, FramingRow::NEVER },
    { "101", "GET", "HTTP/1.1 101 Switching Protocols\r\n" + id_name + "a\r\n\r\n", "text", "",
      FramingRow::NEVER },
    { "negative length", "GET", ok + "Content-Length: -4\r\n\r\n", "text", "text",
      FramingRow::NEVER },
    { "length with a sign", "GET", ok + "Content-Length: +4\r\n\r\n", "text", "text",
      FramingRow::NEVER },
    { "lengths in a list", "GET", ok + "Content-Length: 4, 4\r\n\r\n", "text", "text",
      FramingRow::NEVER },
    { "lines of LF only", "GET", "HTTP/1.1 200 OK\n" + id_name + "a\nContent-Length: 4\n\n", "text",
      "text", FramingRow::BY_ITSELF },
    { "two lengths", "GET", ok + "Content-Length: 9\r\nContent-Length: 4\r\n\r\n", "some text",
      "some text", FramingRow::NEVER },
    { "length beyond 64 bits", "GET", ok + "Content-Length: 99999999999999999999\r\n\r\n",
      "some text", "some text", FramingRow::NEVER },
    { "length that is none", "GET", ok + "Content-Length: nine\r\n\r\n", "some text", "some text",
      FramingRow::NEVER },
    { "identity", "GET", ok + "Transfer-Encoding: identity\r\nContent-Length: 9\r\n\r\n",
      "some text", "some text", FramingRow::NEVER },
    { "gzip in chunks", "GET", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
      chunks + "0\r\n\r\n", said, FramingRow::NEVER },
    { "chunks in two lines", "GET", ok + chunked + "Transfer-Encoding: gzip\r\n\r\n",
      chunks + "0\r\n\r\n", said, FramingRow::NEVER },
    { "bad chunk size", "GET", ok + chunked + "\r\n", "5\r\nfirst\r\nzz\r\n", "first",
      FramingRow::NEVER },
    { "without an id", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "text", "text",
      FramingRow::NEVER },
    { "of another id", "GET", "HTTP/1.1 200 OK\r\n" + id_name + "b\r\nContent-Length: 4\r\n\r\n",
      "text", "text", FramingRow::NEVER },
  };
}

struct Cut
{
  size_t at;
  bool reset;
  bool stream;
  guint64 number;
};

/* All of a body in chunks has come where only the very last newline is missing: either is right. */
static void
expect_no_cut_answer_is_whole (const FramingRow &row, const Cut &cut, const Ended &got)
{
  const size_t size = row.head.size () + row.rest.size ();
  const bool by_close = row.whole == FramingRow::BY_CLOSE;
  const std::string where = std::string (row.name) + " cut at " + std::to_string (cut.at) + " of "
                            + std::to_string (size) + (cut.reset ? " by RST" : " by FIN")
                            + (cut.stream ? " streamed" : "");

  if (row.whole == FramingRow::NEVER)
    EXPECT_NE (got.result, GSPAN_HTTP_COMPLETE) << where;
  else if (by_close && cut.at >= row.head.size () && !cut.reset)
    {
      EXPECT_EQ (got.result, GSPAN_HTTP_COMPLETE) << where;
      EXPECT_EQ (got.body, row.body.substr (0, cut.at - row.head.size ())) << where;
    }
  else if (cut.at + 1 == size && row.rest.size () > row.body.size ())
    EXPECT_TRUE (got.result != GSPAN_HTTP_COMPLETE || got.body == row.body) << where;
  else if (cut.at < size || (by_close && cut.reset))
    EXPECT_NE (got.result, GSPAN_HTTP_COMPLETE) << where;
  else if (!cut.reset || got.result == GSPAN_HTTP_COMPLETE)
    {
      EXPECT_EQ (got.result, GSPAN_HTTP_COMPLETE) << where;
      EXPECT_EQ (got.body, row.body) << where;
    }
}

/* Each framing, cut after each byte. */
TEST_F (Answers, AnswerCutAnywhereIsNeverWhole)
{
  enum
  {
    RESET_EACH = 4 /* bytes between the places of a body that are tried with a reset too */
  };

  for (const FramingRow &row : framing_rows ())
    {
      const std::string bytes = row.head + row.rest;
      WireServer server (wire);
      std::vector<Cut> cuts;

      for (size_t at = 0; at <= bytes.size (); at++)
        for (bool reset : { false, true })
          for (bool stream : { false, true })
            {
              const std::string path = "/" + std::to_string (cuts.size ());

              if (reset && at > row.head.size () && at % RESET_EACH != 0 && at != bytes.size ())
                continue;
              server.by_path[path] = { bytes.substr (0, at), true, reset };
              cuts.push_back (
                  { at, reset, stream, start (server, path, "a", stream, true, row.method) });
              EXPECT_TRUE (wire.run_until ([&] { return open < 100; })) << row.name;
            }
      EXPECT_TRUE (wire.run_until ([&] { return open == 0; })) << row.name;
      for (const Cut &cut : cuts)
        expect_no_cut_answer_is_whole (row, cut, ended[cut.number]);
      ended.clear ();
    }
}

/* Issue 55: a replica in trouble sent the status 000, and it reached a client as an answer. */
TEST_F (Answers, HeadWithoutAValidStatusIsNoAnswer)
{
  const std::string fields = id_name + "a\r\nX-Server-Stamp: s\r\nContent-Length: 4\r\n\r\ntext";
  const std::vector<std::string> invalid
      = { "000", "0", "099", "20", "-1", "600", "999", "2000", "abc", "2 0", "+20", "" };
  WireServer server (wire);

  for (const std::string &status : invalid)
    for (const char *reason : { " X", "" })
      for (bool stream : { false, true })
        {
          const std::string where
              = "status '" + status + "'" + reason + (stream ? ", streamed" : "");

          server.by_path["/"] = { "HTTP/1.1 " + status + reason + "\r\n" + fields, true, false };
          const Ended &got = call (server, "/", "a", stream);
          EXPECT_EQ (got.result, GSPAN_HTTP_LOST) << where;
          EXPECT_TRUE (got.status < 100 || got.status > 599) << where;
          EXPECT_EQ (got.body, "") << where;
          EXPECT_EQ (got.headers, "") << where;
        }
  for (const char *status : { "200", "299", "404", "599" })
    {
      server.by_path["/"] = { std::string ("HTTP/1.1 ") + status + "\r\n" + fields, true, false };
      const Ended &got = call (server, "/", "a");
      EXPECT_EQ (got.result, GSPAN_HTTP_COMPLETE) << status;
      EXPECT_EQ (got.status, std::stoi (status));
    }
}

/* What comes after an answer to "one" that is whole. */
struct Extra
{
  std::string name;
  std::string bytes;
  bool closes;
};

static std::string
answer (const std::string &framing, const std::string &id, const std::string &body)
{
  const std::string head
      = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n" + (id.empty () ? "" : id_name + id + "\r\n");

  if (framing == "chunks")
    return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk (body) + chunk ("");
  if (framing == "close")
    return head + "\r\n" + body;
  return head + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

static std::vector<Extra>
extras ()
{
  std::vector<Extra> all;

  for (const char *framing : { "length", "chunks", "close" })
    {
      const std::string name = framing;
      const std::string second = answer (framing, "one", "second answer to one");

      for (const char *id : { "one", "other", "" })
        all.push_back ({ name + " id '" + id + "'", answer (framing, id, "second answer to one"),
                         name == "close" });
      all.push_back ({ name + " twice", second + second, name == "close" });
      all.push_back ({ name + " cut in the head", second.substr (0, 30), false });
      all.push_back ({ name + " cut in the body", second.substr (0, second.size () - 9), false });
      all.push_back ({ name + " without its begin", second.substr (30), name == "close" });
    }
  all.push_back ({ "100", "HTTP/1.1 100 Continue\r\n\r\n", false });
  all.push_back ({ "garbage", "\x16\x03\x01 nonsense\r\n\r\n", false });
  all.push_back ({ "newlines", "\r\n\r\n", false });
  return all;
}

enum Moment
{
  SAME_SEGMENT,
  RIGHT_AFTER,
  WHILE_IDLE,
  NEXT_REQUEST_WRITTEN,
  MOMENTS
};

static const char *const moments[]
    = { "in the same segment", "right after", "while idle", "after the next request" };

class SecondAnswers : public Answers
{
protected:
  unsigned cases = 0;
  unsigned first_whole = 0;
  unsigned next_whole = 0;

  void
  run (const std::string &framing, const Extra &extra, Moment moment, const std::string &next_id)
  {
    const std::string where = framing + ", then " + extra.name + " " + moments[moment]
                              + ", next request '" + next_id + "'";
    const std::string own = answer ("length", next_id, "answer to the next one");
    WireServer server (wire);
    WireStep first = { answer (framing, "one", "answer to one"), false };
    WireStep next = { "", false, false, { { 0.002, own } } };

    if (moment == SAME_SEGMENT)
      first.bytes += extra.bytes;
    else if (moment == NEXT_REQUEST_WRITTEN)
      next.stray = extra.bytes;
    else
      first.parts = { { moment == WHILE_IDLE ? 0.004 : 0, extra.bytes } };
    if (moment != NEXT_REQUEST_WRITTEN)
      first.close = extra.closes;
    server.by_path = { { "/one", first }, { "/next", next } };
    server.script = { { answer ("length", "last", "answer to the last one"), false } };
    timeout_us = 20 * GSPAN_SECOND;
    const Ended one = call (server, "/one", "one");
    EXPECT_EQ (one.result, GSPAN_HTTP_COMPLETE) << where;
    EXPECT_EQ (one.body, "answer to one") << where;
    if (moment == WHILE_IDLE)
      {
        EXPECT_TRUE (wire.run_until ([&] { return server.parts_sent > 0; })) << where;
      }
    timeout_us = 100 * GSPAN_MS; /* what is no answer may be waited for in vain */
    const Ended two = call (server, "/next", next_id);
    EXPECT_TRUE (two.result != GSPAN_HTTP_COMPLETE || two.body == "answer to the next one")
        << where << ": " << two.body;
    const Ended three = call (server, "/last", "last");
    EXPECT_TRUE (three.result != GSPAN_HTTP_COMPLETE || three.body == "answer to the last one")
        << where << ": " << three.body;
    cases++;
    next_whole += two.result == GSPAN_HTTP_COMPLETE;
  }
};

/* Also one that bears the right id, since that was sent on the same connection before. */
TEST_F (SecondAnswers, SecondAnswerIsNeverTakenForTheNextOne)
{
  for (const char *framing : { "length", "chunks" })
    for (const Extra &extra : extras ())
      for (int moment = 0; moment < MOMENTS; moment++)
        for (const char *next_id : { "one", "two" })
          run (framing, extra, static_cast<Moment> (moment), next_id);
  RecordProperty ("cases", static_cast<int> (cases));
  RecordProperty ("next_whole", static_cast<int> (next_whole));
}

/* The head of another answer, cut anywhere, goes before the own one on the same connection. */
TEST_F (SecondAnswers, HeadThatIsCutOffIsNotEndedByTheNextAnswer)
{
  const std::string failure = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                              "X-Server-Stamp: other\r\n"
                              + id_name + "one\r\nContent-Length: 0\r\n\r\n";
  const std::string success = "HTTP/1.1 200 OK\r\nX-Server-Stamp: other\r\nX-A: b\r\n" + id_name
                              + "one\r\nContent-Length: 4\r\n\r\n";
  const std::string rest
      = " Of Its Own\r\nX-Server-Stamp: own\r\n" + id_name + "two\r\nContent-Length: 4\r\n\r\ntext";
  unsigned wrong = 0;

  for (const auto &[cut, status] :
       { std::pair{ failure, 200 }, { failure, 500 }, { success, 503 } })
    for (size_t at = 1; at < cut.size (); at++)
      {
        WireServer server (wire);
        WireStep next = { "HTTP/1.1 " + std::to_string (status) + rest, false };

        next.stray = cut.substr (0, at);
        server.by_path = { { "/one", { answer ("length", "one", "answer to one"), false } },
                           { "/two", next } };
        call (server, "/one", "one");
        timeout_us = 100 * GSPAN_MS;
        const Ended two = call (server, "/two", "two");
        timeout_us = 20 * GSPAN_SECOND;
        wrong += two.result == GSPAN_HTTP_COMPLETE;
        EXPECT_NE (two.result, GSPAN_HTTP_COMPLETE)
            << "status " << status << " became " << two.status << " after \"" << next.stray
            << "\": " << two.headers;
      }
  EXPECT_EQ (wrong, 0U);
}

/* Bytes that came while no request was open cost no request its answer. */
TEST_F (Answers, BytesOnAnIdleConnectionAreNoAnswerToTheNextRequest)
{
  for (const Extra &extra : extras ())
    for (bool stream : { false, true })
      {
        WireServer server (wire);

        server.by_path["/one"]
            = { answer ("length", "one", "text"), false, false, { { 0.002, extra.bytes } } };
        server.script = { { answer ("length", "two", "text of two"), false } };
        EXPECT_EQ (call (server, "/one", "one", stream).result, GSPAN_HTTP_COMPLETE);
        EXPECT_TRUE (wire.run_until ([&] { return server.parts_sent > 0; })) << extra.name;
        const Ended two = call (server, "/two", "two", stream);
        EXPECT_EQ (two.result, GSPAN_HTTP_COMPLETE) << extra.name;
        EXPECT_EQ (two.body, "text of two") << extra.name;
        EXPECT_EQ (two.sends, 1U) << extra.name;
        EXPECT_EQ (server.requests, 2U) << extra.name;
        EXPECT_EQ (call (server, "/two", "two", stream).result, GSPAN_HTTP_COMPLETE) << extra.name;
      }
}

/* Each kept connection of theirs may cost a request its answer. */
TEST_F (Answers, UpstreamThatSendsSecondAnswersCostsFewRequestsTheirs)
{
  WireServer server (wire);
  unsigned lost = 0;

  for (int i = 0; i < 20; i++)
    {
      const std::string id = "id-" + std::to_string (i);

      server.script = { { answer ("length", id, "text"), false } };
      server.script[0].stray = answer ("length", "id-" + std::to_string (i - 1), "text");
      lost += call (server, "/x", id).result != GSPAN_HTTP_COMPLETE;
    }
  EXPECT_EQ (lost, 1U);
}

/* They count towards what the upstream takes from all callers. */
TEST_F (Answers, UpstreamThatSendsSecondAnswersKeepsFewConnections)
{
  WireServer server (wire);

  for (int i = 0; i < 40; i++)
    {
      const std::string id = "id-" + std::to_string (i);

      server.script = { { answer ("length", id, "text"), false } };
      server.script[0].stray = answer ("length", "id-" + std::to_string (i - 1), "text");
      call (server, "/x", id);
    }
  EXPECT_TRUE (wire.run_until ([&] { return server.open_connections () <= 2; }))
      << server.open_connections () << " of " << server.connections;
}

/* Ordinary first sendings go on sharing a connection. */
TEST_F (Answers, RequestsWithIdsOfTheirOwnShareAConnection)
{
  WireServer server (wire);

  for (int i = 0; i < 20; i++)
    {
      const std::string id = "id-" + std::to_string (i);

      server.script = { { answer ("length", id, "text"), false } };
      EXPECT_EQ (call (server, "/x", id).result, GSPAN_HTTP_COMPLETE);
    }
  EXPECT_EQ (server.connections, 1U);
}

TEST_F (Answers, IdThatIsSentAgainGoesOutOnANewConnection)
{
  WireServer server (wire);

  server.script = { { answer ("length", "one", "text"), false } };
  for (unsigned i = 1; i <= 5; i++)
    {
      EXPECT_EQ (call (server, "/x", "one").result, GSPAN_HTTP_COMPLETE);
      EXPECT_EQ (server.connections, i);
    }
}

/* Its headers say how long the caller waits from its first sending on. */
TEST_F (Answers, RequestIsNotSentAgainLongAfterItsFirstSending)
{
  WireServer server (wire);

  server.script = { { answer ("length", "one", "text"), false } };
  for (const auto &[after_s, sends] : { std::pair{ 0.0, 2U }, { 0.6, 1U } })
    {
      const std::string id = "id-" + std::to_string (sends);

      server.by_path["/ends"] = { "", true, false, { { after_s, "" } } };
      call (server, "/one", "one");
      const Ended got = call (server, "/ends", id);
      EXPECT_EQ (got.result, GSPAN_HTTP_LOST) << after_s;
      EXPECT_EQ (got.sends, sends) << after_s;
    }
}

/* A trailer may not pose as a replica's signature. */
TEST_F (Answers, TrailersAreNoHeaders)
{
  const std::string head = "HTTP/1.1 200 OK\r\n" + id_name + "a\r\n";
  WireServer server (wire);

  server.script = { { head + "Transfer-Encoding: chunked\r\n\r\n" + chunk ("text")
                          + "0\r\nX-Server-Stamp: s\r\nContent-Length: 1\r\n\r\n",
                      false } };
  for (bool stream : { false, true })
    {
      const Ended got = call (server, "/x", "a", stream);

      EXPECT_EQ (got.result, GSPAN_HTTP_COMPLETE);
      EXPECT_EQ (got.body, "text");
      EXPECT_EQ (got.headers.find ("X-Server-Stamp"), std::string::npos);
      EXPECT_NE (got.headers.find (id_name), std::string::npos);
    }
}

/* A node that passes a request on gives no id in answers of its own, and another's never. */
TEST_F (Answers, OnlyAnAnswerOfANodeInBetweenNeedsNoId)
{
  const std::string rest = "Content-Length: 0\r\n\r\n";
  const std::vector<std::tuple<std::string, const char *, GspanHttpResult>> cases = {
    { "Between: refused\r\n" + rest, "Between", GSPAN_HTTP_COMPLETE },
    { "Between: refused\r\n" + rest, nullptr, GSPAN_HTTP_LOST },
    { rest, "Between", GSPAN_HTTP_LOST },
    { "Between: refused\r\n" + id_name + "other\r\n" + rest, "Between", GSPAN_HTTP_LOST },
  };
  WireServer server (wire);

  for (const auto &[headers, name, expected] : cases)
    {
      server.script = { { "HTTP/1.1 503 No\r\n" + headers, false } };
      exempt = name;
      const Ended got = call (server, "/x", "one");
      EXPECT_EQ (got.result, expected) << headers;
      EXPECT_EQ (got.foreign, expected == GSPAN_HTTP_LOST) << headers;
    }
}

TEST (SentIds, AreRememberedAsLongAsAConnectionMayBeUsed)
{
  const guint64 start = 1000 * GSPAN_SECOND;
  GspanSentIds ids{};

  gspan_sent_ids_init (&ids);
  EXPECT_FALSE (gspan_sent_ids_note (&ids, "http://10.0.0.1:80/a", "Id: 1", start));
  EXPECT_TRUE (gspan_sent_ids_note (&ids, "http://10.0.0.1:80/b?c", "Id: 1", start));
  EXPECT_FALSE (gspan_sent_ids_note (&ids, "http://10.0.0.1:80/a", "Id: 2", start));
  EXPECT_FALSE (gspan_sent_ids_note (&ids, "http://10.0.0.2:80/a", "Id: 1", start));
  for (guint64 i = 0; i < 20; i++)
    {
      std::string id = "Id: x" + std::to_string (i);
      guint64 sent = start + (i + 1) * 7 * GSPAN_SECOND;

      EXPECT_FALSE (gspan_sent_ids_note (&ids, "http://h/", id.c_str (), sent));
      EXPECT_TRUE (gspan_sent_ids_note (&ids, "http://h/", id.c_str (),
                                        sent + GSPAN_SENT_ID_KEPT_US + GSPAN_SECOND));
    }
  gspan_sent_ids_finish (&ids);
}

/* Beyond the bound ids are forgotten while connections that carried them could still be used. */
TEST (SentIds, ConnectionThatMayHaveCarriedAForgottenIdIsTooOld)
{
  unsigned forgotten = 0;

  for (guint64 per_s : { 500, 2000, 8000, 30000, 100000 })
    {
      const guint64 start = 1000 * GSPAN_SECOND;
      const guint64 count = std::min<guint64> (90 * per_s, 400000);
      const auto sent_at = [&] (guint64 i) { return start + i * GSPAN_SECOND / per_s; };
      const auto id_of = [] (guint64 i) { return "Id: " + std::to_string (i); };
      GspanSentIds ids{};

      gspan_sent_ids_init (&ids);
      for (guint64 i = 0; i < count; i++)
        {
          gspan_sent_ids_note (&ids, "http://h/", id_of (i).c_str (), sent_at (i));
          if (i % 997 != 0)
            continue;
          const guint64 earlier = i - i * (i % 10) / 10;
          const guint64 age_s = (sent_at (i) - sent_at (earlier)) / GSPAN_SECOND;
          const bool known
              = gspan_sent_ids_note (&ids, "http://h/", id_of (earlier).c_str (), sent_at (i));
          const guint age_max_s = gspan_sent_ids_connection_age_max_s (&ids, sent_at (i));
          forgotten += !known;
          EXPECT_LE (age_max_s, GSPAN_SENT_ID_KEPT_US / GSPAN_SECOND);
          EXPECT_TRUE (known || age_max_s == 0 || age_s > age_max_s)
              << per_s << " a second, sent " << age_s << " s ago, of at most " << age_max_s;
        }
      gspan_sent_ids_finish (&ids);
    }
  EXPECT_GT (forgotten, 0U);
}

/* The bound is reached at 1,000 requests a second. */
TEST (SentIds, ConnectionsAreUsedForAMinuteAtAnOrdinaryRate)
{
  GspanSentIds ids{};

  gspan_sent_ids_init (&ids);
  for (guint64 i = 0; i < 300000; i++)
    {
      const guint64 now = 1000 * GSPAN_SECOND + i * GSPAN_MS;

      gspan_sent_ids_note (&ids, "http://h/", ("Id: " + std::to_string (i)).c_str (), now);
      ASSERT_EQ (gspan_sent_ids_connection_age_max_s (&ids, now), 60U) << i;
    }
  gspan_sent_ids_finish (&ids);
}

TEST (SentIds, AreBounded)
{
  GspanSentIds ids{};

  gspan_sent_ids_init (&ids);
  for (int i = 0; i < 300000; i++)
    {
      std::string id = "Id: " + std::to_string (i);

      EXPECT_FALSE (gspan_sent_ids_note (&ids, "http://h/", id.c_str (), GSPAN_SECOND)) << i;
      EXPECT_LE (g_hash_table_size (ids.current) + g_hash_table_size (ids.previous), 131072U);
    }
  gspan_sent_ids_finish (&ids);
}

/* The same bytes give the same result wherever they are cut into pieces. */
RC_GTEST_FIXTURE_PROP (Answers, ResultDoesNotDependOnThePieces, (std::vector<uint8_t> sizes))
{
  const std::vector<FramingRow> rows = framing_rows ();
  const FramingRow &row = rows[*rc::gen::inRange<size_t> (0, rows.size ())];
  const std::string bytes = row.head + row.rest;
  const bool stream = *rc::gen::arbitrary<bool> ();
  WireServer server (wire);
  size_t at = 0;

  server.by_path["/whole"] = { bytes, true };
  server.by_path["/pieces"] = { "", true };
  for (uint8_t size : sizes)
    {
      const size_t len = std::min<size_t> (size % 40, bytes.size () - at);

      server.by_path["/pieces"].parts.push_back ({ 0, bytes.substr (at, len) });
      at += len;
    }
  server.by_path["/pieces"].parts.push_back ({ 0, bytes.substr (at) });
  const guint64 first = start (server, "/whole", "a", stream, true, row.method);
  const guint64 second = start (server, "/pieces", "a", stream, true, row.method);
  RC_ASSERT (wire.run_until ([&] { return open == 0; }));
  RC_ASSERT (ended[first].result == ended[second].result);
  RC_ASSERT (ended[first].status == ended[second].status);
  if (ended[first].result == GSPAN_HTTP_COMPLETE)
    {
      RC_ASSERT (ended[first].body == ended[second].body);
      RC_ASSERT (ended[first].headers == ended[second].headers);
    }
}

/* True where one of the lines HEADERS is the request's ID, with any blanks before it. */
static bool
names_request (const std::string &headers, const std::string &id)
{
  static const std::string name = "X-Attempt-Id:";
  std::istringstream lines (headers);

  for (std::string line; std::getline (lines, line) && !lines.eof ();)
    {
      if (g_ascii_strncasecmp (line.c_str (), name.c_str (), name.size ()) != 0)
        continue;
      const size_t start = line.find_first_not_of (" \t", name.size ());
      if (start != std::string::npos && line.substr (start) == id)
        return true;
    }
  return false;
}

/*
 * Answers with bytes changed, taken out, doubled or put in, on one upstream and its kept
 * connections. GSPAN_FUZZ_ROUNDS in the environment asks for more of them, by hand.
 */
RC_GTEST_FIXTURE_PROP (Answers, SpoiledBytesEndEachExchangeAndAnswerNoOther, ())
{
  const char *asked = g_getenv ("GSPAN_FUZZ_ROUNDS");
  const int rounds = asked != nullptr ? atoi (asked) : 3;
  const std::vector<FramingRow> rows = framing_rows ();
  WireServer server (wire);
  std::vector<std::pair<guint64, std::string>> calls;

  timeout_us = 100 * GSPAN_MS;
  for (int i = 0; i < rounds; i++)
    {
      const FramingRow &row = rows[*rc::gen::inRange<size_t> (0, rows.size ())];
      const std::string id = "fuzz-" + std::to_string (last + 1);
      std::string bytes = row.head + row.rest;
      const size_t own = bytes.find (id_name + "a\r\n");

      if (own != std::string::npos)
        bytes.replace (own, id_name.size () + 1, id_name + id);
      for (int change = *rc::gen::inRange (0, 4); change > 0; change--)
        {
          const size_t at = *rc::gen::inRange<size_t> (0, bytes.size ());
          const size_t len = *rc::gen::inRange<size_t> (0, 20);

          switch (*rc::gen::inRange (0, 4))
            {
            case 0:
              bytes[at] = *rc::gen::arbitrary<char> ();
              break;
            case 1:
              bytes.erase (at, len);
              break;
            case 2:
              bytes.insert (at, bytes.substr (at, len));
              break;
            default:
              bytes.insert (at, *rc::gen::arbitrary<std::string> ());
              break;
            }
          if (bytes.empty ())
            break;
        }
      const std::string path = "/" + id;
      server.by_path[path] = { bytes, *rc::gen::arbitrary<bool> (), *rc::gen::arbitrary<bool> () };
      calls.emplace_back (start (server, path, id, i % 2 == 0, false, row.method), id);
      RC_ASSERT (wire.run_until ([&] { return open < 20; }));
    }
  RC_ASSERT (wire.run_until ([&] { return open == 0; }));
  for (const auto &[number, id] : calls)
    {
      const Ended &got = ended[number];
      const bool own = names_request (got.headers, id);
      gchar *sent = g_strescape (server.by_path["/" + id].bytes.c_str (), nullptr);

      if (!got.done || (got.result == GSPAN_HTTP_COMPLETE && !own))
        ADD_FAILURE () << id << " done " << got.done << " after \"" << sent << "\" got "
                       << got.headers;
      g_free (sent);
      RC_ASSERT (got.done && (got.result != GSPAN_HTTP_COMPLETE || own));
    }
}

TEST (StrayUpstreams, AreForgottenAndBounded)
{
  GspanStrayUpstreams strays{};

  gspan_stray_upstreams_init (&strays);
  gspan_stray_upstreams_note (&strays, "http://10.0.0.1:80/a", GSPAN_SECOND);
  EXPECT_TRUE (gspan_stray_upstreams_has (&strays, "http://10.0.0.1:80/b", 2 * GSPAN_SECOND));
  EXPECT_FALSE (gspan_stray_upstreams_has (&strays, "http://10.0.0.1:81/b", 2 * GSPAN_SECOND));
  EXPECT_FALSE (gspan_stray_upstreams_has (&strays, "http://10.0.0.1:80/b", 12 * GSPAN_SECOND));
  for (int i = 0; i < 1000; i++)
    gspan_stray_upstreams_note (&strays, ("http://h" + std::to_string (i)).c_str (), GSPAN_SECOND);
  EXPECT_LE (g_hash_table_size (strays.until), 256U);
  gspan_stray_upstreams_note (&strays, "http://10.0.0.1:80/a", 60 * GSPAN_SECOND);
  EXPECT_EQ (g_hash_table_size (strays.until), 1U);
  gspan_stray_upstreams_finish (&strays);
}

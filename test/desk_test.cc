#include "test/bench.h"

#include <set>

static const char order_route[]
    = R"({"schema":2,"firm":"prepis","service":"orders","idempotent":false})";
static const char model_route[]
    = R"({"schema":2,"firm":"prepis","service":"model","idempotent":true,"completions":true})";

class Desk : public testing::Test
{
protected:
  Bench bench;

  void
  SetUp () override
  {
    bench.with_desk ();
    bench.put (GSPAN_RECORD_ROUTE, "orders", 1, order_route);
    bench.put (GSPAN_RECORD_ROUTE, "m", 2, model_route);
    for (const char *name : { "o1", "o2" })
      bench.add_upstream (name, "orders");
    for (const char *name : { "m1", "m2", "m3" })
      bench.add_upstream (name, "model");
  }

  std::string
  outcome () const
  {
    auto replies = bench.actions (GSPAN_ACTION_REPLY);

    return replies.size () == 1 ? Bench::header (replies[0], "Gspan-Outcome") : "";
  }

  GspanAction *
  exchange () const
  {
    auto sent = bench.actions (GSPAN_ACTION_HTTP);

    return sent.size () == 1 ? sent[0] : nullptr;
  }
};

TEST_F (Desk, WholeAnswerIsComplete)
{
  bench.request (1, "/call/orders/x", "{}");
  ASSERT_NE (exchange (), nullptr);
  EXPECT_TRUE (exchange ()->u.http.fresh);
  bench.answer (exchange ()->ref, GSPAN_HTTP_WHOLE);
  EXPECT_EQ (outcome (), "complete");
}

TEST_F (Desk, LostAnswerOfANonIdempotentCallIsUnknownAndNotSentAgain)
{
  bench.request (1, "/call/orders/x", "{}");
  bench.answer (exchange ()->ref, GSPAN_HTTP_LOST, 0, "");
  EXPECT_EQ (exchange (), nullptr);
  EXPECT_EQ (outcome (), "unknown");
}

TEST_F (Desk, UnsentCallGoesToAnotherUpstream)
{
  bench.request (1, "/call/orders/x", "{}");
  std::string first = exchange ()->u.http.url;
  bench.answer (exchange ()->ref, GSPAN_HTTP_NOT_SENT, 0, "");
  ASSERT_NE (exchange (), nullptr);
  EXPECT_NE (first, exchange ()->u.http.url);
  bench.answer (exchange ()->ref, GSPAN_HTTP_NOT_SENT, 0, "");
  EXPECT_EQ (outcome (), "not-run");
}

TEST_F (Desk, NotRunSaysWhenToComeBack)
{
  bench.board.draining = true;
  bench.request (1, "/call/orders/x", "{}");
  EXPECT_EQ (outcome (), "not-run");
  EXPECT_EQ (Bench::header (bench.actions (GSPAN_ACTION_REPLY)[0], "Retry-After"), "1");
}

/* An entry that starts knows no record yet: a route that it doesn't find may well exist. */
TEST_F (Desk, StartingEntrySaysNotRunInsteadOfUnknownRoute)
{
  bench.board.follow.listed = false;
  bench.request (1, "/call/later/x", "{}");
  EXPECT_EQ (outcome (), "not-run");
  EXPECT_EQ (Bench::header (bench.actions (GSPAN_ACTION_REPLY)[0], "Retry-After"), "1");
}

TEST_F (Desk, BrokenRequestsNameTheField)
{
  const std::vector<std::tuple<const char *, const char *, int, const char *>> cases
      = { { "/v1/completions", "{", 400, "\"body\"" },
          { "/v1/completions", "{\"prompt\":\"p\"}", 400, "\"model\"" },
          { "/v1/completions", "{\"model\":\"m\",\"prompt\":3}", 400, "\"prompt\"" },
          { "/v1/completions", "{\"model\":\"m\",\"prompt\":\"\",\"stream\":3}", 400,
            "\"stream\"" },
          { "/v1/completions", "{\"model\":\"zz\",\"prompt\":\"p\"}", 404, "\"model\"" },
          { "/call/zz/x", "{}", 404, "\"path\"" },
          { "/nowhere", "{}", 404, "\"path\"" } };

  for (const auto &[path, body, status, field] : cases)
    {
      bench.request (1, path, body);
      auto replies = bench.actions (GSPAN_ACTION_REPLY);
      ASSERT_EQ (replies.size (), 1U) << path << body;
      GspanStr text = gspan_str_from_bytes (replies[0]->u.reply.body);
      EXPECT_EQ (replies[0]->u.reply.status, status) << path << body;
      EXPECT_NE (std::string (text.data, text.len).find (field), std::string::npos) << path << body;
    }
}

TEST_F (Desk, CutStreamIsNeverEnded)
{
  bench.request (1, "/v1/completions", R"({"model":"m","prompt":"p","stream":true})");
  GspanRef ref = exchange ()->ref;
  bench.answer (ref, GSPAN_HTTP_WHOLE, 200, "", GSPAN_EVENT_HTTP_HEAD);
  EXPECT_EQ (bench.actions (GSPAN_ACTION_REPLY_BEGIN).size (), 1U);
  bench.answer (ref, GSPAN_HTTP_WHOLE, 200, "data: x", GSPAN_EVENT_HTTP_DATA);
  bench.answer (ref, GSPAN_HTTP_LOST, 200, "");
  EXPECT_EQ (bench.actions (GSPAN_ACTION_REPLY_CUT).size (), 1U);
  EXPECT_EQ (bench.actions (GSPAN_ACTION_REPLY_END).size (), 0U);
}

/* Whatever comes back, each call gets one answer, and a call with bytes out is never sent again. */
RC_GTEST_FIXTURE_PROP (Desk, OrdersRunAtMostOnce, (const std::vector<uint8_t> &script))
{
  GspanRef ref{};
  unsigned sent_with_bytes = 0;
  unsigned replies = 0;

  bench.request (7, "/call/orders/x", "{}");
  for (uint8_t step : script)
    {
      auto sent = bench.actions (GSPAN_ACTION_HTTP);

      replies += bench.actions (GSPAN_ACTION_REPLY).size ();
      if (sent.empty ())
        break;
      ref = sent[0]->ref;
      auto result = static_cast<GspanHttpResult> (step % 4);
      sent_with_bytes += result != GSPAN_HTTP_NOT_SENT;
      bench.answer (ref, result, step % 8 < 4 ? 200 : 500);
      if (result != GSPAN_HTTP_NOT_SENT)
        RC_ASSERT (bench.actions (GSPAN_ACTION_HTTP).empty ());
      bench.now += 10 * GSPAN_MS;
    }
  RC_ASSERT (sent_with_bytes <= 1U);
  RC_ASSERT (replies <= 1U);
}

static std::string
log_text (const Bench &bench)
{
  std::string text;

  for (const auto *action : bench.actions (GSPAN_ACTION_LOG))
    text += std::string (action->u.log.text) + "\n";
  return text;
}

TEST_F (Desk, RequestIdIsTheSameInLogUpstreamAndAnswerAndNeverTheCallers)
{
  bench.request (1, "/call/orders/x", "{}", { { "X-Request-Id", "a b\"c" } });
  GspanStr sent = gspan_headers_get (&exchange ()->u.http.headers, "X-Request-Id");
  std::string id (sent.data, sent.len);
  EXPECT_NE (id.find ("vm-1-"), std::string::npos);
  EXPECT_NE (log_text (bench).find (" request=" + id + " caller_request=\"a b\\\"c\" "),
             std::string::npos);
  bench.answer (exchange ()->ref, GSPAN_HTTP_WHOLE);
  EXPECT_EQ (Bench::header (bench.actions (GSPAN_ACTION_REPLY)[0], "Gspan-Request"), id);
}

TEST_F (Desk, RefusedRequestsHaveAnIdToo)
{
  bench.request (7, "/call/nowhere", "{}");
  EXPECT_NE (Bench::header (bench.actions (GSPAN_ACTION_REPLY)[0], "Gspan-Request").find ("-7"),
             std::string::npos);
}

TEST (RequestId, DiffersOverVmsAndRestarts)
{
  std::set<std::string> seen;

  for (const char *name : { "vm-1", "vm-2" })
    for (guint32 seed = 1; seed <= 50; seed++)
      {
        Bench bench (name, seed);
        char *id = gspan_board_request_id (&bench.board, 1);

        EXPECT_TRUE (seen.insert (id).second) << id;
        g_free (id);
      }
}

TEST_F (Desk, GaugesAndLatencyFollowACall)
{
  GspanMetrics &metrics = bench.board.metrics;

  bench.request (1, "/call/orders/x", "{}");
  gspan_board_measure (&bench.board);
  EXPECT_EQ (metrics.gauges[GSPAN_GAUGE_DESK_CALLS], 1U);
  EXPECT_EQ (metrics.gauges[GSPAN_GAUGE_UPSTREAMS], 5U);
  GspanRef ref = exchange ()->ref;
  bench.now += 2 * GSPAN_SECOND;
  bench.answer (ref, GSPAN_HTTP_WHOLE);
  gspan_board_measure (&bench.board);
  EXPECT_EQ (metrics.gauges[GSPAN_GAUGE_DESK_CALLS], 0U);
  EXPECT_EQ (metrics.histograms[GSPAN_HISTOGRAM_DESK].sum_us, 2 * GSPAN_SECOND);
}

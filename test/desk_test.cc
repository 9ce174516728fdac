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
  EXPECT_TRUE (exchange ()->u.http.new_connection);
  bench.answer (exchange ()->ref, GSPAN_HTTP_COMPLETE);
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
  bench.answer (ref, GSPAN_HTTP_COMPLETE, 200, "", GSPAN_EVENT_HTTP_HEAD);
  EXPECT_EQ (bench.actions (GSPAN_ACTION_REPLY_BEGIN).size (), 1U);
  bench.answer (ref, GSPAN_HTTP_COMPLETE, 200, "data: x", GSPAN_EVENT_HTTP_DATA);
  bench.answer (ref, GSPAN_HTTP_LOST, 200, "");
  EXPECT_EQ (bench.actions (GSPAN_ACTION_REPLY_ABORT).size (), 1U);
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
  bench.answer (exchange ()->ref, GSPAN_HTTP_COMPLETE);
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
  gspan_board_update_gauges (&bench.board);
  EXPECT_EQ (metrics.gauges[GSPAN_GAUGE_DESK_CALLS], 1U);
  EXPECT_EQ (metrics.gauges[GSPAN_GAUGE_UPSTREAMS], 5U);
  GspanRef ref = exchange ()->ref;
  bench.now += 2 * GSPAN_SECOND;
  bench.answer (ref, GSPAN_HTTP_COMPLETE);
  gspan_board_update_gauges (&bench.board);
  EXPECT_EQ (metrics.gauges[GSPAN_GAUGE_DESK_CALLS], 0U);
  EXPECT_EQ (metrics.histograms[GSPAN_HISTOGRAM_DESK].sum_us, 2 * GSPAN_SECOND);
}

/* A request under which two upstreams crash gets its final answer, here and on later sendings. */
TEST_F (Desk, RequestThatCrashesUpstreamsIsGivenUp)
{
  const char *body = R"({"model":"m","prompt":"poison"})";

  bench.request (1, "/v1/completions", body);
  bench.answer (exchange ()->ref, GSPAN_HTTP_LOST, 0, "");
  bench.answer (exchange ()->ref, GSPAN_HTTP_LOST, 0, "");
  ASSERT_EQ (exchange (), nullptr);
  ASSERT_EQ (outcome (), "unknown");
  EXPECT_EQ (bench.actions (GSPAN_ACTION_REPLY)[0]->u.reply.status, 422);
  bench.request (2, "/v1/completions", body);
  ASSERT_EQ (exchange (), nullptr);
  ASSERT_EQ (outcome (), "failed");
  EXPECT_EQ (Bench::header (bench.actions (GSPAN_ACTION_REPLY)[0], "Retry-After"), "");
  bench.request (3, "/v1/completions", R"({"model":"m","prompt":"innocent"})");
  EXPECT_NE (exchange (), nullptr);
  bench.now += GSPAN_POISON_TTL_US;
  bench.request (4, "/v1/completions", body);
  EXPECT_NE (exchange (), nullptr);
}

TEST_F (Desk, PoisonIsHeardOfFromPeers)
{
  const char *body = R"({"model":"m","prompt":"poison"})";
  GspanPoisonReport facts[4];
  guint64 fingerprint
      = gspan_poison_requests_fingerprint ("model", "/v1/completions", gspan_str_from (body));
  Bench other ("vm-2");

  for (const char *name : { "m1", "m1", "m2" })
    gspan_poison_requests_record_crash (&other.board.poison_requests, fingerprint, name, other.now);
  ASSERT_EQ (gspan_poison_requests_list (&other.board.poison_requests, facts, 4, other.now), 1U);
  gspan_poison_requests_merge (&bench.board.poison_requests, facts[0].fingerprint, facts[0].life_us,
                               bench.now);
  bench.request (1, "/v1/completions", body);
  EXPECT_EQ (outcome (), "failed");
}

TEST_F (Desk, OneCrashTwiceAtTheSameUpstreamIsNoPoison)
{
  GspanPoisonRequests &poison = bench.board.poison_requests;

  for (int i = 0; i < 5; i++)
    gspan_poison_requests_record_crash (&poison, 7, "m1", bench.now);
  EXPECT_EQ (gspan_poison_requests_crash_count (&poison, 7, bench.now), 1U);
  for (guint64 i = 100; i < 100 + GSPAN_POISON_ENTRIES_MAX; i++)
    gspan_poison_requests_record_crash (&poison, i, "m1", bench.now);
  EXPECT_EQ (gspan_poison_requests_crash_count (&poison, 7, bench.now), 0U);
}

/* Requests that shared a crashed upstream are kept apart, so that the next crash tells them apart.
 */
TEST_F (Desk, SuspectsGoToDifferentUpstreams)
{
  std::vector<GspanRef> refs;
  std::vector<GspanRef> again;
  std::vector<std::string> urls;

  for (guint64 id : { 1, 2 })
    {
      bench.request (id, "/v1/completions",
                     R"({"model":"m","prompt":"same","id":)" + std::to_string (id) + "}");
      refs.push_back (exchange ()->ref);
    }
  for (GspanRef ref : refs)
    {
      bench.answer (ref, GSPAN_HTTP_LOST, 0, "");
      ASSERT_NE (exchange (), nullptr);
      urls.push_back (exchange ()->u.http.url);
      again.push_back (exchange ()->ref);
    }
  EXPECT_NE (urls[0], urls[1]);
  for (guint i = 0; i < refs.size (); i++)
    bench.answer (again[i], GSPAN_HTTP_COMPLETE);
  for (guint i = 0; i < bench.board.upstreams.items->len; i++)
    EXPECT_EQ (static_cast<GspanUpstream *> (g_ptr_array_index (bench.board.upstreams.items, i))
                   ->suspect_inflight,
               0U);
}

/* All upstreams fail: retries stay a share of fresh traffic, whatever comes. */
RC_GTEST_FIXTURE_PROP (Desk, RetriesStayWithinTheBudget, (const std::vector<uint8_t> &script))
{
  unsigned sent = 0;
  unsigned id = 0;

  for (uint8_t step : script)
    for (int i = 0; i < 20; i++)
      {
        id++;
        bench.request (id, "/v1/completions",
                       R"({"model":"m","prompt":")" + std::to_string (id) + "\"}");
        for (GspanAction *action = exchange (); action != nullptr; action = exchange ())
          {
            auto result = static_cast<GspanHttpResult> (2 + step % 2);

            sent++;
            bench.answer (action->ref, result, 0, "");
            bench.now += 40 * GSPAN_SECOND;
          }
      }
  RC_ASSERT (sent <= id + id / 10 + 10);
}

/* An attempt leaves time for another only where the budget can pay for that one. */
TEST_F (Desk, AttemptWithoutASuccessorGetsAllTheTime)
{
  const char *body = R"({"model":"m","prompt":"p"})";

  bench.request (1, "/v1/completions", body);
  EXPECT_EQ (exchange ()->u.http.timeout_us, 15 * GSPAN_SECOND);
  bench.now += 15 * GSPAN_SECOND;
  bench.answer (exchange ()->ref, GSPAN_HTTP_TIMEOUT, 0, "");
  EXPECT_EQ (exchange ()->u.http.timeout_us, 7500 * GSPAN_MS);
  bench.board.desk->retry_budget_hundredths = 0;
  bench.request (2, "/v1/completions", R"({"model":"m","prompt":"q"})");
  EXPECT_EQ (exchange ()->u.http.timeout_us, 30 * GSPAN_SECOND);
}

/* An upstream that breaks gets nothing for a while, then one probe at a time. */
TEST_F (Desk, BreakerLetsOneProbeThrough)
{
  GspanUpstream *upstream = bench.add_upstream ("only", "single");
  GspanRouteQuery query{};

  query.service = "single";
  query.zone = "bratislava";
  for (int i = 0; i < 3; i++)
    {
      gspan_upstream_begin_exchange (upstream);
      gspan_upstream_end_exchange (upstream, GSPAN_FEEDBACK_BROKEN, bench.now);
    }
  query.now = bench.now;
  EXPECT_EQ (gspan_route_choose (&bench.board.upstreams, &query).upstream, nullptr);
  query.now = upstream->breaker_open_until_us;
  EXPECT_EQ (gspan_route_choose (&bench.board.upstreams, &query).upstream, upstream);
  gspan_upstream_begin_exchange (upstream);
  EXPECT_EQ (gspan_route_choose (&bench.board.upstreams, &query).upstream, nullptr);
  gspan_upstream_end_exchange (upstream, GSPAN_FEEDBACK_GOOD, query.now);
  EXPECT_EQ (gspan_route_choose (&bench.board.upstreams, &query).upstream, upstream);
}

/* The upstreams that failed a call are known by name: they may be swept and others allocated. */
TEST_F (Desk, FailedUpstreamMayBeSweptWhileTheCallGoesOn)
{
  bench.request (1, "/v1/completions", R"({"model":"m","prompt":"p"})");
  GspanRef ref = exchange ()->ref;
  gspan_upstreams_mark_gone (&bench.board.upstreams);
  GspanUpstream *fresh = bench.add_upstream ("m9", "model");
  bench.answer (ref, GSPAN_HTTP_NOT_SENT, 0, "");
  ASSERT_NE (exchange (), nullptr);
  EXPECT_EQ (exchange ()->u.http.url, "http://" + std::string (fresh->address) + "/v1/completions");
  gspan_upstreams_remove_gone (&bench.board.upstreams);
  bench.add_upstream ("m10", "model");
  bench.answer (exchange ()->ref, GSPAN_HTTP_NOT_SENT, 0, "");
  ASSERT_NE (exchange (), nullptr);
  EXPECT_TRUE (exchange ()->u.http.new_connection);
}

/* However hot one prefix is, affinity takes no upstream above the bound over the mean load. */
RC_GTEST_FIXTURE_PROP (Desk, AffinityKeepsItsBound, (const std::vector<uint8_t> &script))
{
  std::vector<GspanUpstream *> upstreams;
  std::vector<GspanUpstream *> open;
  GspanRouteQuery query{};

  for (int i = 0; i < 8; i++)
    upstreams.push_back (bench.add_upstream (("e" + std::to_string (i)).c_str (), "engines"));
  query.service = "engines";
  query.zone = "bratislava";
  query.now = bench.now;
  for (uint8_t step : script)
    for (int i = 0; i < 10; i++)
      {
        size_t before = open.size ();

        if (step % 4 == 0 && !open.empty ())
          {
            gspan_upstream_end_exchange (open.back (), GSPAN_FEEDBACK_GOOD, bench.now);
            open.pop_back ();
            continue;
          }
        query.prefix_hash = step % 16 == 1 ? step : 7;
        GspanRouteChoice choice = gspan_route_choose (&bench.board.upstreams, &query);
        RC_ASSERT (choice.upstream != nullptr);
        RC_ASSERT (choice.upstream->inflight <= before / upstreams.size () * 5 / 4 + 2);
        gspan_upstream_begin_exchange (choice.upstream);
        open.push_back (choice.upstream);
      }
}

/* What the list of VMs calls leaving gets nothing new, be it a first attempt or a retry. */
TEST_F (Desk, LeavingUpstreamGetsNothingNew)
{
  auto list = [] (const char *first, const char *second) {
    return std::string (
               R"({"vms":[{"name":"o1","service":"orders","zone":"z","address":"127.0.0.2:100","state":")")
           + first
           + R"("},{"name":"o2","service":"orders","zone":"z","address":"127.0.0.2:101","state":")"
           + second + R"("}]})";
  };
  auto apply = [this] (const std::string &text) {
    GBytes *body = g_bytes_new (text.data (), text.size ());

    gspan_vms_apply (&bench.board, body);
    g_bytes_unref (body);
  };

  apply (list ("leaving", "live"));
  for (guint64 id = 1; id <= 20; id++)
    {
      bench.request (id, "/call/orders/x", "{}");
      ASSERT_NE (exchange (), nullptr);
      EXPECT_NE (std::string (exchange ()->u.http.url).find (":101/"), std::string::npos);
      bench.answer (exchange ()->ref, GSPAN_HTTP_NOT_SENT, 0, "");
      EXPECT_EQ (outcome (), "not-run") << "the retry too has nowhere else to go";
      bench.tick (60 * GSPAN_SECOND);
    }
  apply (list ("leaving", "leaving"));
  bench.request (30, "/call/orders/x", "{}");
  EXPECT_EQ (outcome (), "not-run");
}

#include "test/node_world.h"

/*
 * Usage reports: each window of the time of day is reported once, with what replicas ran in it for
 * each account, whatever dies or is away meanwhile.
 */
class Usage : public NodeTest
{
protected:
  struct Report
  {
    std::string holder;
    guint64 fence;
    std::map<std::string, guint64> counts;
  };

  static constexpr guint64 WINDOW_MS = 5000;
  std::map<guint64, std::vector<Report>> reports; /* by window */
  std::map<guint64, std::map<std::string, guint64>> truth;
  int platform_status = 200;  /* 0 is no answer */
  bool loses_answers = false; /* the platform takes reports, and doesn't say so */
  guint64 next_request = 1;

  void
  start (unsigned nodes = 3)
  {
    std::string spec = config_spec (3);

    world.duties_address = "10.200.0.6:80";
    world.usage_window_ms = WINDOW_MS;
    start_nodes (nodes);
    spec.insert (spec.size () - 1, ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"key-a\"]},"
                                   "{\"name\":\"b\",\"apiKeys\":[\"key-b\"]}]");
    spec.replace (spec.find ("\"version\":3"), 11, "\"version\":4");
    world.put ("config", "main", spec.c_str ());
    run (GSPAN_SECOND);
  }

  void
  take_report (Rig &rig, const Exchange &exchange)
  {
    json_t *body = json_loads (exchange.body.c_str (), 0, nullptr);
    Report report{ exchange.header ("X-Duty-Holder"),
                   std::stoull (exchange.header ("X-Fence-Token")),
                   {} };
    const char *account;
    json_t *count;

    json_object_foreach (json_object_get (body, "counts"), account, count) report.counts[account]
        = (guint64)json_integer_value (count);
    if (platform_status == 200 || loses_answers)
      reports[(guint64)json_integer_value (json_object_get (body, "windowNo"))].push_back (report);
    json_decref (body);
    rig.http_done (exchange, platform_status != 0 ? GSPAN_HTTP_COMPLETE : GSPAN_HTTP_LOST,
                   platform_status, {}, "");
  }

  /* The platform and the replicas answer what is sent. */
  void
  answer_all ()
  {
    for (auto &rig : world.rigs)
      {
        auto exchanges = rig->exchanges;

        for (const auto &exchange : exchanges)
          {
            if (exchange.url.find ("/usage") != std::string::npos)
              take_report (*rig, exchange);
            else if (exchange.url.find ("/desk/") != std::string::npos)
              rig->http_done (exchange, GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
          }
      }
  }

  void
  run (guint64 us)
  {
    for (guint64 end = world.now + us; world.now < end;)
      {
        answer_all ();
        world.run (10 * GSPAN_MS);
      }
  }

  void
  request (Rig &rig, const std::string &account)
  {
    truth[(guint64)world.wall_ms / WINDOW_MS][account]++;
    rig.request (next_request, "POST", "/desk/x",
                 { "Host: a.example", "X-Attempt-Id: r" + std::to_string (next_request),
                   "X-Deadline-Ms: 800", "Authorization: Bearer key-" + account },
                 "hello " + std::to_string (next_request));
    next_request++;
    answer_all ();
  }

  /* Requests of both accounts at the nodes from FIRST on, ten a second. */
  void
  load (guint64 us, size_t first = 0)
  {
    for (guint64 end = world.now + us; world.now < end; run (100 * GSPAN_MS))
      {
        size_t node = first + next_request % (world.rigs.size () - first);
        request (*world.rigs[node], next_request % 3 == 0 ? "b" : "a");
      }
  }

  /* Each window has one count, however often it was sent, and fences rise with each holder. */
  void
  expect_consistent () const
  {
    std::map<guint64, std::string> holders;

    for (const auto &window : reports)
      for (const auto &report : window.second)
        {
          EXPECT_EQ (report.counts, window.second.front ().counts) << window.first;
          EXPECT_TRUE (holders.emplace (report.fence, report.holder).first->second
                       == report.holder);
        }
  }

  /* Windows with requests that were reported as they were. */
  unsigned
  count_true () const
  {
    unsigned count = 0;

    for (const auto &window : truth)
      {
        auto found = reports.find (window.first);

        count += found != reports.end () && found->second.front ().counts == window.second;
      }
    return count;
  }

  Rig &
  holder ()
  {
    for (auto &rig : world.rigs)
      if (!rig->paused && rig->node.weights.lease.held)
        return *rig;
    ADD_FAILURE () << "nobody holds the lease";
    return *world.rigs[0];
  }
};

TEST_F (Usage, EachWindowIsReportedOnceAndInFull)
{
  start ();
  load (23 * GSPAN_SECOND);
  run (12 * GSPAN_SECOND);
  EXPECT_EQ (count_true (), truth.size ());
  for (const auto &window : reports)
    EXPECT_EQ (window.second.size (), 1U) << window.first;
}

/* Nobody reports where the settings name no address, or callers have no accounts. */
TEST_F (Usage, NothingIsReportedUnlessItIsAskedFor)
{
  start_nodes (2);
  run (20 * GSPAN_SECOND);
  EXPECT_TRUE (reports.empty ());
  EXPECT_TRUE (world.objects["usage"].empty ());
}

TEST_F (Usage, HolderDiesBeforeItsReportIsAnswered)
{
  start (4);
  load (6 * GSPAN_SECOND);
  platform_status = 0;
  load (6 * GSPAN_SECOND);
  holder ().paused = true;
  platform_status = 200;
  std::vector<guint64> before;
  run (20 * GSPAN_SECOND);
  expect_consistent ();
  EXPECT_GE (count_true () + 1, truth.size ()); /* what the dead node counted last is lost */
}

/* The platform has a report whose answer nobody got: the next holder sends the same counts again.
 */
TEST_F (Usage, HolderDiesBetweenAReportThatWasTakenAndItsAnswer)
{
  start (4);
  load (6 * GSPAN_SECOND);
  platform_status = 0;
  loses_answers = true;
  load (6 * GSPAN_SECOND);
  ASSERT_FALSE (reports.empty ());
  guint64 window = reports.rbegin ()->first;
  std::string first = reports[window].back ().holder;
  holder ().paused = true;
  load (2 * GSPAN_SECOND, 1); /* counts go on changing */
  platform_status = 200;
  loses_answers = false;
  run (20 * GSPAN_SECOND);
  expect_consistent ();
  EXPECT_NE (reports[window].back ().holder, first);
}

/* A datagram that is lost is told again, also to the next holder. */
TEST_F (Usage, HolderThatStandsStillIsFollowedByOneThatIsToldAll)
{
  start (4);
  world.loses_datagram
      = [this] (const Rig &, const std::string &) { return world.now / (10 * GSPAN_MS) % 3 == 0; };
  load (12 * GSPAN_SECOND, 1);
  Rig &first = holder ();
  first.paused = true;
  run (8 * GSPAN_SECOND);
  first.paused = false;
  load (6 * GSPAN_SECOND, 1);
  run (14 * GSPAN_SECOND);
  expect_consistent ();
  EXPECT_GE (count_true () + 1, truth.size ());
}

/*
 * Windows that are long over, as the platform was away, are closed by a new holder only once the
 * others have told it what they counted.
 */
TEST_F (Usage, NewHolderWaitsForTheSharesOfWindowsThatAreLongOver)
{
  start (4);
  load (6 * GSPAN_SECOND, 1);
  platform_status = 0;
  load (16 * GSPAN_SECOND, 1);
  holder ().paused = true;
  platform_status = 200;
  run (24 * GSPAN_SECOND);
  expect_consistent ();
  EXPECT_GE (count_true () + 1, truth.size ());
}

TEST_F (Usage, PlatformThatIsAwayGetsTheReportsLater)
{
  start ();
  load (6 * GSPAN_SECOND);
  for (int status : { 0, 429, 503, 500 })
    {
      platform_status = status;
      load (2500 * GSPAN_MS);
    }
  platform_status = 200;
  run (16 * GSPAN_SECOND);
  expect_consistent ();
  EXPECT_EQ (count_true (), truth.size ());
}

/* Without the store nothing new is sent, since the next holder couldn't know it. */
TEST_F (Usage, StoreAwayHoldsReportsBack)
{
  start ();
  load (6 * GSPAN_SECOND);
  size_t sent = reports.size ();
  world.fault = StoreFault::Unreachable;
  load (9 * GSPAN_SECOND);
  EXPECT_LE (reports.size (), sent + 1);
  world.fault = StoreFault::None;
  run (20 * GSPAN_SECOND);
  expect_consistent ();
  EXPECT_EQ (count_true (), truth.size ());
}

TEST_F (Usage, LostAnswersOfTheStoreChangeNoCount)
{
  start ();
  world.fault_of = [this] (const Rig &, const GspanStoreCall &call) {
    bool usage = strcmp (call.kind, "usage") == 0 && gspan_store_op_is_write (call.op);
    return usage && world.now / GSPAN_SECOND % 2 == 0 ? StoreFault::LostAfter : StoreFault::None;
  };
  load (16 * GSPAN_SECOND);
  run (16 * GSPAN_SECOND);
  expect_consistent ();
  EXPECT_EQ (count_true (), truth.size ());
}

/* A node that is told of by nobody is waited for until a report would be late. */
TEST_F (Usage, NodeThatCannotTellHoldsNoReportBackForLong)
{
  start (4);
  world.loses_datagram
      = [this] (const Rig &from, const std::string &) { return &from == world.rigs[3].get (); };
  load (8 * GSPAN_SECOND, 1);
  guint64 window = (guint64)world.wall_ms / WINDOW_MS - 1;
  run (8 * GSPAN_SECOND);
  EXPECT_EQ (reports.count (window), 1U);
}

/* Anybody may send to the port of the peers: no stranger's word may count, or be kept. */
TEST_F (Usage, WordOfAStrangerIsNotTaken)
{
  start ();
  load (6 * GSPAN_SECOND);
  for (auto &rig : world.rigs)
    for (guint64 window = (guint64)world.wall_ms / WINDOW_MS - 1; window < 2000000000; window *= 2)
      rig->datagram ("{\"kind\":\"usage\",\"format\":1,\"from\":\"ghost\",\"udp\":\"10.9.9.9:1\","
                     "\"start\":1,\"window\":"
                     + std::to_string (window)
                     + ",\"ended\":true,\"accounts\":1,\"counts\":{\"a\":1000000}}");
  EXPECT_EQ (world.last_datagram["usage-ack"].find ("ghost"), std::string::npos);
  load (6 * GSPAN_SECOND);
  run (12 * GSPAN_SECOND);
  EXPECT_EQ (count_true (), truth.size ());
}

/* The windows of a node whose clock is far off must not keep out those that are to be reported. */
TEST_F (Usage, WindowsFarFromNowAreNotKept)
{
  start ();
  for (auto &rig : world.rigs)
    {
      const char *from = world.rigs[rig == world.rigs[0] ? 1 : 0]->node.self.name;

      for (guint64 ahead = 100; ahead < 200; ahead++)
        rig->datagram ("{\"kind\":\"usage\",\"format\":1,\"from\":\"" + std::string (from)
                       + "\",\"udp\":\"10.9.9.9:1\",\"start\":1,\"window\":"
                       + std::to_string ((guint64)world.wall_ms / WINDOW_MS + ahead)
                       + ",\"ended\":true,\"accounts\":1,\"counts\":{\"a\":5}}");
      EXPECT_LE (g_hash_table_size (rig->node.usage_reports.usage.windows), 12U);
    }
  load (8 * GSPAN_SECOND);
  run (12 * GSPAN_SECOND);
  EXPECT_EQ (count_true (), truth.size ());
}

TEST_F (Usage, WhatOneNodeTellsOfAWindowIsBounded)
{
  struct GspanUsage usage;
  const struct GspanUsageWindow *window;
  guint64 number = 7;
  json_t *counts = json_object ();

  for (int i = 0; i < 5000; i++)
    json_object_set_new (counts, ("a" + std::to_string (i)).c_str (), json_integer (1));
  gspan_usage_init (&usage, WINDOW_MS);
  for (guint64 start = 1; start < 100; start++)
    gspan_usage_merge (&usage, number, "n", start, counts, false, 0);
  window = (const struct GspanUsageWindow *)g_hash_table_lookup (usage.windows, &number);
  ASSERT_NE (window, nullptr);
  EXPECT_LE (window->shares->len, 8U);
  for (guint i = 0; i < window->shares->len; i++)
    {
      auto *share = (const struct GspanUsageShare *)g_ptr_array_index (window->shares, i);

      EXPECT_LE (g_hash_table_size (share->counts), 1024U);
    }
  json_decref (counts);
  gspan_usage_finish (&usage);
}

TEST_F (Usage, SharesOnlyGrowAndAreWholeOnceAllAccountsAreKnown)
{
  struct GspanUsage usage;
  json_t *part = json_pack ("{s:i}", "a", 2);
  json_t *old = json_pack ("{s:i, s:i}", "a", 1, "b", 3);
  json_t *total;

  gspan_usage_init (&usage, WINDOW_MS);
  EXPECT_FALSE (gspan_usage_merge (&usage, 7, "n", 1, part, true, 2));
  EXPECT_FALSE (gspan_usage_has_ended (&usage, 7, "n"));
  EXPECT_TRUE (gspan_usage_merge (&usage, 7, "n", 1, old, true, 2));
  EXPECT_TRUE (gspan_usage_merge (&usage, 7, "n", 2, part, true, 1)); /* the node's next start */
  total = gspan_usage_total (&usage, 7);
  EXPECT_EQ (json_integer_value (json_object_get (total, "a")), 4);
  EXPECT_EQ (json_integer_value (json_object_get (total, "b")), 3);
  gspan_usage_forget_before (&usage, 8);
  EXPECT_EQ (gspan_usage_first (&usage), 0U);
  json_decref (total);
  json_decref (part);
  json_decref (old);
  gspan_usage_finish (&usage);
}

#include "test/node_world.h"

#include <cmath>
#include <deque>
#include <random>

extern "C"
{
#include "gateway/hedge_budget.h"
#include "gateway/latency.h"
}

/*
 * Second attempts beside slow first ones: that they stay within the operator's share, are left out
 * where they would add load to full replicas or run twice what may not, and shorten the tail.
 */

#define WINDOW_US (10 * GSPAN_SECOND)

/* Requests and second attempts by their times. */
struct Sent
{
  std::vector<guint64> requests;
  std::vector<guint64> hedges;
};

static size_t
count_within (const std::vector<guint64> &times, guint64 from, guint64 to)
{
  return (size_t)(std::upper_bound (times.begin (), times.end (), to)
                  - std::lower_bound (times.begin (), times.end (), from));
}

/* The largest excess, in hundredths of an attempt, over share and burst in any 10 s. */
static gint64
worst_excess (const Sent &sent, unsigned share)
{
  gint64 worst = G_MININT64;

  for (guint64 last : sent.hedges)
    {
      guint64 from = last - std::min (last, WINDOW_US);
      /* a window that begins with a second attempt has the fewest requests beside it */
      auto begin = std::lower_bound (sent.hedges.begin (), sent.hedges.end (), from);

      for (auto first = begin; first != sent.hedges.end () && *first <= last; ++first)
        worst = std::max (worst, (gint64)count_within (sent.hedges, *first, last) * 100
                                     - (gint64)count_within (sent.requests, *first, last) * share
                                     - GSPAN_HEDGE_BURST * 100);
    }
  return worst;
}

/* Guards against more second attempts than the share, however requests and slow ones come. */
RC_GTEST_PROP (HedgeBudget, ShareAndBurstAreNeverExceededInAnyTenSeconds, ())
{
  auto share = *rc::gen::inRange (0U, (unsigned)GSPAN_HEDGE_SHARE_MAX + 1);
  auto steps = *rc::gen::container<std::vector<std::pair<unsigned, bool>>> (
      rc::gen::pair (rc::gen::inRange (0U, 400U), rc::gen::arbitrary<bool> ()));
  GspanHedgeBudget budget{};
  Sent sent;
  guint64 now = 0;

  for (const auto &step : steps)
    {
      now += step.first * GSPAN_MS;
      if (step.second)
        {
          gspan_hedge_budget_earn (&budget, share);
          sent.requests.push_back (now);
        }
      else if (gspan_hedge_budget_has_room (&budget))
        {
          gspan_hedge_budget_spend (&budget);
          sent.hedges.push_back (now);
        }
    }
  RC_ASSERT (sent.hedges.empty () || worst_excess (sent, share) <= 0);
  RC_ASSERT (sent.hedges.size () * 100 <= sent.requests.size () * share);
}

/* Guards against a saved-up budget that is spent at once when all replicas turn slow. */
TEST (HedgeBudget, QuietHoursSaveUpNoMoreThanTheBurst)
{
  GspanHedgeBudget budget{};
  unsigned sent = 0;

  EXPECT_FALSE (gspan_hedge_budget_has_room (&budget));
  for (int i = 0; i < 100000; i++)
    gspan_hedge_budget_earn (&budget, 5);
  for (; gspan_hedge_budget_has_room (&budget); sent++)
    gspan_hedge_budget_spend (&budget);
  EXPECT_EQ (sent, (unsigned)GSPAN_HEDGE_BURST);
}

/* Guards against a delay below the true quantile, which would hedge what is as slow as usual. */
RC_GTEST_PROP (Latency, QuantileIsAtMostAnEighthAboveTheTrueOne, ())
{
  auto count = *rc::gen::inRange<size_t> (GSPAN_LATENCY_SAMPLES_MIN, 300);
  auto times = *rc::gen::container<std::vector<guint64>> (
      count, rc::gen::inRange<guint64> (100, 100 * GSPAN_SECOND));
  auto latency = std::make_unique<GspanLatency> ();
  guint64 now = 1000 * GSPAN_SECOND;

  for (guint64 time : times)
    gspan_latency_note (latency.get (), now, time);
  std::sort (times.begin (), times.end ());
  guint64 exact = times[(times.size () * 95 + 99) / 100 - 1];
  guint64 found = gspan_latency_quantile (latency.get (), now, 95);

  RC_ASSERT (found >= exact);
  RC_ASSERT (found <= exact + exact / 8 + 1);
}

/* Guards against a delay from a handful of samples, or from a load that is long over. */
TEST (Latency, FewSamplesOrOldOnesGiveNoQuantile)
{
  auto latency = std::make_unique<GspanLatency> ();
  guint64 now = 1000 * GSPAN_SECOND;

  for (int i = 0; i < GSPAN_LATENCY_SAMPLES_MIN - 1; i++)
    gspan_latency_note (latency.get (), now, 10 * GSPAN_MS);
  EXPECT_EQ (gspan_latency_quantile (latency.get (), now, 95), 0U);
  gspan_latency_note (latency.get (), now, 10 * GSPAN_MS);
  EXPECT_GT (gspan_latency_quantile (latency.get (), now + 45 * GSPAN_SECOND, 95), 0U);
  EXPECT_EQ (gspan_latency_quantile (latency.get (), now + 60 * GSPAN_SECOND, 95), 0U);
  for (int i = 0; i < 100; i++)
    gspan_latency_note (latency.get (), now + 60 * GSPAN_SECOND, GSPAN_SECOND);
  EXPECT_GE (gspan_latency_quantile (latency.get (), now + 60 * GSPAN_SECOND, 50), GSPAN_SECOND);
}

/* Guards against delays that ticks can't keep, and against a wait other than half of the target
 * while nothing is known. */
TEST (HedgeDue, UsualLatencyReplacesHalfOfTheTarget)
{
  GspanHedgeState state{};

  state.repeat = GSPAN_REPEAT_ALLOWED;
  state.target_latency_us = 200 * GSPAN_MS;
  state.deadline_us = GSPAN_SECOND;
  state.attempts = state.open_attempts = 1;
  state.attempts_max = 2;
  for (auto [usual, wait] : { std::pair<guint64, guint64>{ 0, 100 * GSPAN_MS },
                              { 40 * GSPAN_MS, 40 * GSPAN_MS },
                              { GSPAN_MS, 20 * GSPAN_MS },
                              { 300 * GSPAN_MS, 300 * GSPAN_MS } })
    {
      state.usual_latency_us = usual;
      state.now = wait - 1;
      EXPECT_FALSE (gspan_hedge_due (&state)) << usual;
      state.now = wait;
      EXPECT_TRUE (gspan_hedge_due (&state)) << usual;
    }
}

TEST (HedgeDue, ReplicasOverFourFifthsOfTheirSlotsAreOverloaded)
{
  EXPECT_FALSE (gspan_hedge_is_overload (8, 10));
  EXPECT_TRUE (gspan_hedge_is_overload (9, 10));
  EXPECT_TRUE (gspan_hedge_is_overload (0, 0)) << "no replica is known";
}

class Hedge : public NodeTest
{
protected:
  guint64 last_id = 0;

  Rig &
  start (int share, unsigned nodes = 1)
  {
    world.hedge_share_percent = share;
    return start_nodes (nodes);
  }

  void
  send (Rig &rig)
  {
    std::string name = std::to_string (++last_id);

    rig.request (last_id, "POST", "/desk/x",
                 { "Host: a.example", "X-Attempt-Id: a" + name, "X-Deadline-Ms: 800" }, name);
  }

  /* EXCHANGE is a copy: http_done () removes it from the rig's. */
  static void
  answer (Rig &rig, Exchange exchange)
  {
    rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
  }

  static void
  answer_all (Rig &rig)
  {
    for (const auto &exchange : std::vector<Exchange> (rig.exchanges))
      answer (rig, exchange);
  }

  /* COUNT requests that are answered after 10 ms. */
  void
  serve (Rig &rig, unsigned count)
  {
    for (unsigned i = 0; i < count; i++)
      {
        send (rig);
        world.run (10 * GSPAN_MS);
        answer_all (rig);
      }
  }

  static unsigned
  count_lines (const Rig &rig, const std::string &text)
  {
    return (unsigned)std::count_if (rig.log.begin (), rig.log.end (), [&] (const auto &line) {
      return line.find (text) != std::string::npos;
    });
  }

  static bool
  was_cancelled (const Rig &rig, const Exchange &exchange)
  {
    return std::any_of (rig.cancelled.begin (), rig.cancelled.end (),
                        [&] (const GspanRef &ref) { return ref.id == exchange.ref.id; });
  }

  static guint64
  metric (const Rig &rig, GspanMetric which)
  {
    return rig.node.metrics.values[which];
  }

  void
  configure (const std::string &from, const std::string &to)
  {
    std::string spec = config_spec (4);

    ASSERT_NE (spec.find (from), std::string::npos);
    spec.replace (spec.find (from), from.size (), to);
    world.put ("config", "main", spec.c_str ());
    world.run (GSPAN_SECOND);
  }
};

/* Guards deployments that set no share: each slow call gets a second attempt after 75 ms. */
TEST_F (Hedge, WithoutAShareEachCallIsSentAgainAfterHalfOfTheTarget)
{
  Rig &rig = start (-1);

  serve (rig, 40);
  for (int i = 0; i < 20; i++)
    {
      send (rig);
      world.run (70 * GSPAN_MS);
      ASSERT_EQ (rig.exchanges.size (), 1U);
      world.run (10 * GSPAN_MS);
      ASSERT_EQ (rig.exchanges.size (), 2U);
      EXPECT_NE (rig.exchanges[0].url, rig.exchanges[1].url);
      answer (rig, rig.exchanges[1]);
    }
  EXPECT_EQ (count_lines (rig, "event=hedge "), 0U);
  EXPECT_EQ (metric (rig, GSPAN_METRIC_HEDGES), 20U);
}

TEST_F (Hedge, ShareOfZeroSendsNone)
{
  Rig &rig = start (0);

  serve (rig, 100);
  send (rig);
  world.run (700 * GSPAN_MS);
  EXPECT_EQ (rig.exchanges.size (), 1U);
  EXPECT_EQ (count_lines (rig, "event=hedge "), 0U);
}

/* Guards against a loser that goes on: it would hold a slot for an answer that nobody gets. */
TEST_F (Hedge, LoserIsCancelledInTheTurnOfTheAnswer)
{
  Rig &rig = start (10);

  serve (rig, 100);
  for (size_t winner : { 0U, 1U })
    {
      send (rig);
      world.run (40 * GSPAN_MS);
      ASSERT_EQ (rig.exchanges.size (), 2U);
      Exchange first = rig.exchanges[0];
      Exchange second = rig.exchanges[1];

      EXPECT_NE (first.url, second.url);
      EXPECT_EQ (second.timeout_us, 800 * GSPAN_MS - (second.sent_at_us - first.sent_at_us));
      EXPECT_EQ (second.header ("X-Deadline-Ms"), std::to_string (second.timeout_us / GSPAN_MS));
      rig.cancelled.clear ();
      answer (rig, rig.exchanges[winner]);
      EXPECT_TRUE (was_cancelled (rig, winner == 0 ? second : first));
      EXPECT_TRUE (rig.exchanges.empty ());
      ASSERT_NE (response_to (rig, last_id), nullptr);
      EXPECT_EQ (response_to (rig, last_id)->status, 200);
    }
  EXPECT_EQ (count_lines (rig, "event=hedge "), 2U);
  EXPECT_EQ (count_lines (rig, "reason=sent"), 2U);
  EXPECT_EQ (metric (rig, GSPAN_METRIC_HEDGES_WON), 1U);
}

/*
 * Guards against a delay that sinks by its own effect: second attempts take slow samples away, so
 * the first ones that lost have to count.
 */
TEST_F (Hedge, DelayGrowsWhereManyFirstAttemptsLose)
{
  Rig &rig = start (50);

  serve (rig, 40);
  for (int round = 0; round < 20; round++)
    {
      serve (rig, 4);
      send (rig);
      for (int step = 0; step < 50 && rig.exchanges.size () < 2; step++)
        world.run (10 * GSPAN_MS);
      ASSERT_EQ (rig.exchanges.size (), 2U);
      world.run (10 * GSPAN_MS);
      answer (rig, rig.exchanges[1]);
    }
  send (rig);
  world.run (30 * GSPAN_MS);
  EXPECT_EQ (rig.exchanges.size (), 1U) << "one in seven takes longer than that";
}

/* Guards against second attempts at replicas that are full, where they make all wait longer. */
TEST_F (Hedge, NoneUnderOverload)
{
  Rig &rig = start (50);

  serve (rig, 100);
  for (int i = 0; i < 7; i++) /* of 8 slots */
    send (rig);
  world.run (500 * GSPAN_MS);
  EXPECT_EQ (rig.exchanges.size (), 7U);
  EXPECT_EQ (metric (rig, GSPAN_METRIC_HEDGES), 0U);
  EXPECT_EQ (metric (rig, GSPAN_METRIC_HEDGES_BUSY), 7U);
  EXPECT_EQ (count_lines (rig, "reason=busy"), 7U) << "once a call";
  answer (rig, rig.exchanges[0]);
  world.run (50 * GSPAN_MS);
  EXPECT_EQ (metric (rig, GSPAN_METRIC_HEDGES), 1U) << "then 7 of 8 are taken again";
}

TEST_F (Hedge, NoneForWhatMayNotRunTwice)
{
  Rig &rig = start (50);

  for (const char *type : { "non_idempotent", "streaming" })
    {
      configure ("\"type\":\"idempotent\"", std::string ("\"type\":\"") + type + "\"");
      serve (rig, 50);
      send (rig);
      world.run (700 * GSPAN_MS);
      EXPECT_EQ (rig.exchanges.size (), 1U) << type;
      answer_all (rig);
      world.run (5 * GSPAN_SECOND);
    }
  EXPECT_EQ (metric (rig, GSPAN_METRIC_HEDGES), 0U);
}

TEST_F (Hedge, NoneBeyondTheAttemptsOfTheRoute)
{
  Rig &rig = start (50);

  configure ("\"maxAttempts\":2", "\"maxAttempts\":1");
  serve (rig, 50);
  send (rig);
  world.run (700 * GSPAN_MS);
  EXPECT_EQ (rig.exchanges.size (), 1U);
  EXPECT_EQ (metric (rig, GSPAN_METRIC_HEDGES), 0U);
}

/* Guards against a third attempt beside the first, outside of the share, when the second is lost.
 */
TEST_F (Hedge, SecondAttemptThatIsLostIsNotReplacedOutsideOfTheShare)
{
  Rig &rig = start (1);

  world.put ("servers", "d3", replica_spec ("desk", 5, 0).c_str ());
  configure ("\"maxAttempts\":2", "\"maxAttempts\":3");
  serve (rig, 100);
  send (rig);
  world.run (50 * GSPAN_MS);
  ASSERT_EQ (rig.exchanges.size (), 2U);
  Exchange first = rig.exchanges[0];
  Exchange second = rig.exchanges[1];

  rig.http_done (second, GSPAN_HTTP_LOST, 0, {}, "");
  world.run (200 * GSPAN_MS);
  EXPECT_EQ (rig.exchanges.size (), 1U);
  rig.http_done (first, GSPAN_HTTP_COMPLETE, 503, { "X-Server-Stamp: s", "X-Not-Executed: 1" }, "");
  world.run (50 * GSPAN_MS);
  ASSERT_EQ (rig.exchanges.size (), 1U) << "a retry: no other attempt is open";
  answer (rig, rig.exchanges[0]);
  EXPECT_EQ (response_to (rig, last_id)->status, 200);
}

/* Guards the share where all replicas turn slow, for the node as a whole. */
TEST_F (Hedge, ShareHoldsInAnyTenSecondsThoughAllReplicasAreSlow)
{
  for (int share : { 2, 5, 20 })
    {
      std::mt19937 random (1);
      Sent sent;

      world.clear ();
      for (int i = 10; i < 40; i++)
        world.put ("servers", ("d" + std::to_string (i)).c_str (),
                   replica_spec ("desk", (unsigned)i, 0).c_str ());
      Rig &rig = start (share);

      for (int step = 0; step < 3000; step++)
        {
          guint64 before = metric (rig, GSPAN_METRIC_HEDGES);
          bool slow = step % 1000 > 500;

          if (random () % 3 == 0)
            {
              sent.requests.push_back (world.now);
              send (rig);
            }
          world.run (10 * GSPAN_MS);
          for (guint64 i = before; i < metric (rig, GSPAN_METRIC_HEDGES); i++)
            sent.hedges.push_back (world.now);
          for (const auto &exchange : std::vector<Exchange> (rig.exchanges))
            if (world.now >= exchange.sent_at_us + (slow ? 400 : 20) * GSPAN_MS)
              answer (rig, exchange);
        }
      EXPECT_GT (sent.hedges.size (), 0U) << share;
      EXPECT_LE (worst_excess (sent, (unsigned)share), 0) << share;
      EXPECT_LE (sent.hedges.size () * 100, sent.requests.size () * (size_t)share);
      EXPECT_GT (count_lines (rig, "reason=budget"), 0U);
    }
}

/*
 * Guards callers of a node that loses its links: what it has sent over them goes through another
 * node, share or not, since the first attempts can't bring an answer any more.
 */
TEST_F (Hedge, CallsOpenWhenTheLinksAreCutGoThroughAnotherNode)
{
  for (int share : { -1, 0, 5 })
    {
      unsigned good = 0;

      world.clear ();
      Rig &rig = start (share, 2);
      serve (rig, 5);
      world.run (GSPAN_SECOND);
      rig.cut_from_replicas = true;
      guint64 first = last_id + 1;
      for (int i = 0; i < 4; i++)
        send (rig);
      for (int step = 0; step < 90; step++)
        {
          world.run (10 * GSPAN_MS);
          answer_all (*world.rigs[1]);
        }
      for (guint64 id = first; id <= last_id; id++)
        good += response_to (rig, id) != nullptr && response_to (rig, id)->status == 200;
      EXPECT_EQ (good, 4U) << share;
    }
}

/*
 * A service under virtual time: requests come at random, service times are lognormal, and two of
 * its replicas at a time are ten times slower. A cancelled request leaves its slot at once. Each
 * attempt's service time follows from its request, so that runs differ only by what is hedged.
 */
class HedgeReplay : public Hedge
{
protected:
  static constexpr unsigned REPLICAS = 20;
  static constexpr unsigned SLOTS = 4;
  static constexpr guint64 LENGTH_US = 60 * GSPAN_SECOND;
  static constexpr double REQUESTS_PER_S = 200.0;
  static constexpr double MEDIAN_US = 20000.0;
  static constexpr double SIGMA = 0.6;
  static constexpr double SLOW_FACTOR = 10.0;
  static constexpr guint64 SLOW_SPELL_US = 4 * GSPAN_SECOND;

  struct Work
  {
    Exchange exchange;
    unsigned replica;
    guint64 started;
    guint64 ends;
  };

  struct Outcome
  {
    std::vector<guint64> latencies;
    guint64 hedges = 0;
    guint64 work_us = 0;

    double
    quantile_ms (double share) const
    {
      return (double)latencies[(size_t)(share * (double)(latencies.size () - 1))] / 1000.0;
    }
  };

  std::vector<Work> running;
  std::map<unsigned, std::deque<Exchange>> queues;
  std::map<guint64, guint64> sent_at;
  guint64 begin = 0;
  Outcome outcome;

  bool
  is_slow (unsigned replica, guint64 at) const
  {
    guint64 spell = (at - begin) / SLOW_SPELL_US;

    return replica == spell * 7 % REPLICAS || replica == (spell * 11 + 3) % REPLICAS;
  }

  guint64
  service_time (const Exchange &exchange, unsigned replica) const
  {
    std::mt19937 random (g_str_hash (
        (exchange.body
         + (exchange.sent_at_us > sent_at.at (std::stoull (exchange.body)) ? "-2" : "-1"))
            .c_str ()));
    std::lognormal_distribution<double> draw (std::log (MEDIAN_US), SIGMA);

    return (guint64)(draw (random) * (is_slow (replica, world.now) ? SLOW_FACTOR : 1.0));
  }

  unsigned
  running_at (unsigned replica) const
  {
    return (unsigned)std::count_if (running.begin (), running.end (),
                                    [=] (const Work &work) { return work.replica == replica; });
  }

  void
  start_queued ()
  {
    for (auto &queue : queues)
      while (!queue.second.empty () && running_at (queue.first) < SLOTS)
        {
          Exchange exchange = queue.second.front ();

          queue.second.pop_front ();
          running.push_back ({ exchange, queue.first, world.now,
                               world.now + service_time (exchange, queue.first) });
        }
  }

  /* Takes what RIG has sent and cancelled since. */
  void
  sync (Rig &rig, guint64 *newest)
  {
    for (const auto &ref : rig.cancelled)
      {
        for (size_t i = 0; i < running.size (); i++)
          if (running[i].exchange.ref.id == ref.id)
            {
              outcome.work_us += world.now - running[i].started;
              running.erase (running.begin () + (long)i--);
            }
        for (auto &queue : queues)
          for (size_t i = 0; i < queue.second.size (); i++)
            if (queue.second[i].ref.id == ref.id)
              queue.second.erase (queue.second.begin () + (long)i--);
      }
    rig.cancelled.clear ();
    for (const auto &exchange : rig.exchanges)
      if (exchange.ref.id > *newest && exchange.url.find ("/desk/") != std::string::npos)
        {
          unsigned number = (unsigned)std::stoul (exchange.url.substr (strlen ("http://10.0.0.")));

          *newest = exchange.ref.id;
          queues[number - 100].push_back (exchange);
        }
    start_queued ();
  }

  void
  finish (Rig &rig, Work work)
  {
    guint64 request = std::stoull (work.exchange.body);

    outcome.work_us += world.now - work.started;
    outcome.latencies.push_back (world.now - sent_at[request]);
    answer (rig, work.exchange);
  }

  /* Ends all work that ends by UNTIL, and sends the requests that come by then, in order. */
  void
  play (Rig &rig, guint64 until, guint64 *next_request_at, std::mt19937 *random, guint64 *newest)
  {
    std::exponential_distribution<double> gap (REQUESTS_PER_S / 1e6);

    for (;;)
      {
        auto work
            = std::min_element (running.begin (), running.end (),
                                [] (const Work &a, const Work &b) { return a.ends < b.ends; });
        guint64 work_ends = work != running.end () ? work->ends : G_MAXUINT64;

        if (std::min (work_ends, *next_request_at) > until)
          return;
        world.now = std::min (work_ends, *next_request_at);
        if (work_ends <= *next_request_at)
          {
            Work ended = *work;

            running.erase (work);
            finish (rig, ended);
          }
        else
          {
            sent_at[++last_id] = world.now;
            rig.request (last_id, "POST", "/desk/x",
                         { "Host: a.example", "X-Attempt-Id: a" + std::to_string (last_id),
                           "X-Deadline-Ms: 10000" },
                         std::to_string (last_id));
            *next_request_at += 1 + (guint64)gap (*random);
          }
        sync (rig, newest);
      }
  }

  Outcome
  replay (int share)
  {
    std::mt19937 random (7);
    guint64 newest = 0;

    world.clear ();
    running.clear ();
    queues.clear ();
    sent_at.clear ();
    last_id = 0;
    outcome = {};
    Rig &rig = start (share);
    world.remove ("servers", "d1");
    world.remove ("servers", "d2");
    for (unsigned i = 0; i < REPLICAS; i++)
      world.put ("servers", "s" + std::to_string (i), replica_spec ("desk", 100 + i, 0).c_str ());
    configure ("\"timeoutMs\":800", "\"timeoutMs\":10000");
    world.run (5 * GSPAN_SECOND);
    begin = world.now;
    guint64 next_request_at = begin;

    while (world.now < begin + LENGTH_US)
      {
        guint64 step = world.now;

        play (rig, step + 10 * GSPAN_MS - 1, &next_request_at, &random, &newest);
        world.now = step;
        world.run (10 * GSPAN_MS);
        sync (rig, &newest);
        rig.log.clear ();
        rig.responses.clear ();
      }
    outcome.hedges = metric (rig, GSPAN_METRIC_HEDGES);
    std::sort (outcome.latencies.begin (), outcome.latencies.end ());
    return outcome;
  }
};

/* Guards the purpose: a lower 99th percentile, for no more extra attempts than allowed. */
TEST_F (HedgeReplay, TailGetsShorterWithinTheShare)
{
  std::map<int, Outcome> outcomes;

  printf ("%8s %9s %9s %9s %9s %16s %13s\n", "share", "requests", "p50 ms", "p99 ms", "p99.9 ms",
          "extra attempts %", "extra work %");
  for (int share : { 0, 2, 5, 10, -1 })
    {
      Outcome &now = outcomes[share] = replay (share);
      double requests = (double)now.latencies.size ();

      printf ("%8s %9zu %9.1f %9.1f %9.1f %16.2f %13.2f\n",
              share < 0 ? "unset" : std::to_string (share).c_str (), now.latencies.size (),
              now.quantile_ms (0.5), now.quantile_ms (0.99), now.quantile_ms (0.999),
              (double)now.hedges * 100.0 / requests,
              ((double)now.work_us / (double)outcomes[0].work_us - 1.0) * 100.0);
      ASSERT_GT (now.latencies.size (), 10000U);
    }
  EXPECT_EQ (outcomes[0].hedges, 0U);
  for (int share : { 2, 5, 10 })
    {
      EXPECT_LE (outcomes[share].hedges * 100, outcomes[share].latencies.size () * (size_t)share);
      EXPECT_LE ((double)outcomes[share].work_us,
                 (double)outcomes[0].work_us * (1.0 + share / 100.0));
    }
  EXPECT_LT (outcomes[5].quantile_ms (0.99), outcomes[0].quantile_ms (0.99));
}

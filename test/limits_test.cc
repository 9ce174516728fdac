#include "test/node_world.h"

extern "C"
{
#include "catalog/rate.h"
}

/*
 * Replicas that name a limit in their answers get no more than it allows from all nodes together,
 * counted at the replicas: one and a half times the limit, and five more, in any four seconds.
 */

static const guint64 window_us = 4 * GSPAN_SECOND;
static const guint64 stable_us = 3 * GSPAN_SECOND;

/* What one replica does and has seen. */
struct LimitedReplica
{
  double limit = 0; /* requests a second; 0 is none */
  guint64 first_named_us = 0;
  std::vector<guint64> arrivals;
  std::vector<guint64> served;
};

class Limits : public NodeTest
{
protected:
  std::map<std::string, LimitedReplica> replicas;    /* by address */
  std::map<std::pair<Rig *, guint64>, guint64> seen; /* exchanges, to when they arrived */
  guint64 next_request = 1000;
  std::map<int, unsigned> statuses;
  guint64 service_time_us = 30 * GSPAN_MS;

  static std::string
  address_of (const Exchange &exchange)
  {
    return exchange.url.substr (7, exchange.url.find ('/', 7) - 7);
  }

  std::vector<std::string>
  head_of (const LimitedReplica &replica, bool stream) const
  {
    auto head = stream ? stream_head (1) : signed_head;

    if (replica.limit > 0)
      head.push_back ("Server-Limit: " + std::to_string (replica.limit));
    return head;
  }

  void
  answer (Rig &rig, const Exchange &exchange, LimitedReplica &replica)
  {
    if (replica.limit > 0 && replica.first_named_us == 0)
      replica.first_named_us = world.now;
    replica.served.push_back (world.now);
    if (exchange.url.find ("/api/report") != std::string::npos)
      rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, head_of (replica, false),
                     "{\"models\":[{\"name\":\"m0\",\"version\":1}],\"busy\":false,\"seqNo\":0}");
    else if (exchange.url.find ("/api/order") != std::string::npos)
      rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, head_of (replica, false), "");
    else if (exchange.url.find ("/batch/") != std::string::npos)
      {
        auto head = head_of (replica, true);
        rig.http_head (exchange, 200, head);
        rig.http_data (exchange, 200, head, sse (1) + sse (2));
        rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, head, "");
      }
    else
      rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, head_of (replica, false), "good");
  }

  /* Replicas take in what has come and answer what they have had for their service time. */
  void
  play_replicas ()
  {
    for (auto &rig : world.rigs)
      for (const Exchange &exchange : std::vector<Exchange> (rig->exchanges))
        {
          auto &replica = replicas[address_of (exchange)];
          auto key
              = std::make_pair (rig.get (), exchange.ref.id ^ (guint64)exchange.ref.owner << 48);

          if (seen.emplace (key, world.now).second)
            replica.arrivals.push_back (world.now);
          if (!rig->paused && world.now >= seen[key] + service_time_us)
            answer (*rig, exchange, replica);
        }
  }

  /* Runs for US; DESK_EVERY_US apart a caller asks one of the nodes; 0 asks nothing. */
  void
  play (guint64 us, guint64 desk_every_us = 0)
  {
    guint64 end = world.now + us;
    guint64 next = world.now;

    while (world.now < end)
      {
        while (desk_every_us > 0 && next <= world.now)
          {
            Rig &rig = *world.rigs[next_request % world.rigs.size ()];
            if (!rig.paused)
              send_desk_request (rig, next_request, "a" + std::to_string (next_request));
            next_request++;
            next += desk_every_us;
          }
        world.run (10 * GSPAN_MS);
        play_replicas ();
      }
  }

  void
  limit_all (double limit)
  {
    for (unsigned number = 1; number <= 4; number++)
      replicas["10.0.0." + std::to_string (number) + ":80"].limit = limit;
  }

  /* Most requests in any window from the time on from which the limit counts. */
  static unsigned
  worst_window (const LimitedReplica &replica)
  {
    unsigned worst = 0;

    for (size_t first = 0; first < replica.arrivals.size (); first++)
      {
        unsigned count = 0;
        if (replica.arrivals[first] < replica.first_named_us + stable_us)
          continue;
        for (size_t i = first; i < replica.arrivals.size ()
                               && replica.arrivals[i] < replica.arrivals[first] + window_us;
             i++)
          count++;
        worst = std::max (worst, count);
      }
    return worst;
  }

  void
  expect_within (double limit)
  {
    for (const auto &replica : replicas)
      {
        if (replica.second.first_named_us == 0)
          continue;
        EXPECT_LE (worst_window (replica.second), (unsigned)(1.5 * 4 * limit + 5)) << replica.first;
      }
  }

  /* Requests that the replicas of a service served since FROM. */
  unsigned
  served_since (guint64 from, unsigned first_number) const
  {
    unsigned count = 0;

    for (unsigned number = first_number; number < first_number + 2; number++)
      for (guint64 at : replicas.at ("10.0.0." + std::to_string (number) + ":80").served)
        count += at >= from;
    return count;
  }

  void
  count_answers ()
  {
    statuses.clear ();
    for (auto &rig : world.rigs)
      for (const auto &response : rig->responses)
        statuses[response.status]++;
  }

  Rig *
  allocator_of (const std::string &replica)
  {
    auto *limit = static_cast<GspanLimit *> (
        g_hash_table_lookup (world.rigs[0]->node.rate_limits.items, replica.c_str ()));

    for (auto &rig : world.rigs)
      if (limit != nullptr && rig->name == limit->allocator)
        return rig.get ();
    return nullptr;
  }

  size_t
  index_of (const Rig *rig) const
  {
    for (size_t i = 0; i < world.rigs.size (); i++)
      if (world.rigs[i].get () == rig)
        return i;
    return 0;
  }

  bool
  any_logged (const std::string &text) const
  {
    return std::any_of (world.rigs.begin (), world.rigs.end (),
                        [&] (const std::unique_ptr<Rig> &rig) { return rig->logged (text); });
  }
};

TEST_F (Limits, CallsOfManyNodesStayWithinTheSum)
{
  start_nodes (6);
  limit_all (4);
  play (GSPAN_SECOND, 20 * GSPAN_MS);
  guint64 from = world.now;
  play (12 * GSPAN_SECOND, 20 * GSPAN_MS);
  expect_within (4);
  EXPECT_GE (served_since (from, 1), 80U) << "of 96 that the two limits allow";
  EXPECT_FALSE (any_logged ("request-beyond-limit"));
}

TEST_F (Limits, CallsBeyondTheSumAreRefusedAtOnceWithAUsefulTime)
{
  Rig &rig = start_nodes (3);
  limit_all (2);
  play (4 * GSPAN_SECOND, 20 * GSPAN_MS);
  for (unsigned i = 0; i < 8; i++)
    send_desk_request (rig, 10 + i, "b" + std::to_string (i));
  play (60 * GSPAN_MS);
  unsigned refused = 0;
  for (unsigned i = 0; i < 8; i++)
    {
      const CallerResponse *response = response_to (rig, 10 + i);
      if (response == nullptr || response->status != 503)
        continue;
      refused++;
      double retry = 0;
      for (const auto &line : response->headers)
        if (g_str_has_prefix (line.c_str (), "Retry-After: "))
          retry = std::stod (line.substr (13));
      EXPECT_GT (retry, 0.0);
      EXPECT_LT (retry, 1.5);
    }
  EXPECT_GE (refused, 5U) << "two replicas with two a second take no more in the time that is left";
}

TEST_F (Limits, ItemsOfManyOwnersStayWithinTheSumAndAllAreCompleted)
{
  start_nodes (4);
  limit_all (4);
  for (unsigned i = 0; i < 4; i++)
    submit_job (*world.rigs[i], 10 + i, "j" + std::to_string (i), 20);
  play (14 * GSPAN_SECOND);
  expect_within (4);
  EXPECT_FALSE (any_logged ("request-beyond-limit"));
  unsigned completed = 0;
  for (auto &rig : world.rigs)
    completed += (unsigned)rig->node.metrics.values[GSPAN_METRIC_ITEMS_COMPLETED];
  EXPECT_EQ (completed, 80U) << "two replicas take eight a second";
}

TEST_F (Limits, ItemsAreNotStarvedByCallsToTheSameReplicas)
{
  start_nodes (4);
  std::string config = config_spec (4);
  size_t at = config.find ("\"service\":\"desk\"");
  world.put ("config", "main", config.replace (at, 16, "\"service\":\"llm\"").c_str ());
  world.run (GSPAN_SECOND);
  limit_all (4);
  play (4 * GSPAN_SECOND, 10 * GSPAN_MS);
  submit_job (*world.rigs[0], 10, "j1", 10);
  play (12 * GSPAN_SECOND, 10 * GSPAN_MS);
  expect_within (4);
  EXPECT_EQ (world.rigs[0]->node.metrics.values[GSPAN_METRIC_ITEMS_COMPLETED], 10U)
      << "of some 90 that the limits allow meanwhile";
}

TEST_F (Limits, RefusedRunsAndRetriesCountToo)
{
  start_nodes (4);
  limit_all (4);
  for (unsigned i = 0; i < 4; i++)
    submit_job (*world.rigs[i], 10 + i, "j" + std::to_string (i), 20);
  guint64 end = world.now + 10 * GSPAN_SECOND;
  while (world.now < end)
    {
      world.run (10 * GSPAN_MS);
      for (auto &rig : world.rigs)
        for (const Exchange &exchange : std::vector<Exchange> (rig->exchanges))
          {
            auto &replica = replicas[address_of (exchange)];
            replica.arrivals.push_back (world.now);
            if (replica.first_named_us == 0)
              replica.first_named_us = world.now;
            rig->http_done (exchange, GSPAN_HTTP_COMPLETE, 503,
                            { "X-Not-Executed: 1", "Server-Limit: 4" }, "");
          }
    }
  expect_within (4);
}

TEST_F (Limits, KilledAllocatorIsReplacedWithinTheSum)
{
  start_nodes (5);
  limit_all (4);
  play (5 * GSPAN_SECOND, 20 * GSPAN_MS);
  Rig *allocator = allocator_of ("d1");
  ASSERT_NE (allocator, nullptr);
  size_t index = index_of (allocator);
  world.rigs[index]->paused = true;
  guint64 from = world.now + 300 * GSPAN_MS;
  play (2 * GSPAN_SECOND, 20 * GSPAN_MS);
  EXPECT_GE (served_since (from, 1), 10U) << "of 13 that the limits allow";
  for (auto item = seen.begin (); item != seen.end ();)
    item = item->first.first == allocator ? seen.erase (item) : std::next (item);
  world.restart (index);
  play (6 * GSPAN_SECOND, 20 * GSPAN_MS);
  expect_within (4);
}

TEST_F (Limits, FrozenAllocatorThatWakesDoesNotDoubleTheSum)
{
  start_nodes (5);
  limit_all (4);
  play (5 * GSPAN_SECOND, 20 * GSPAN_MS);
  Rig *allocator = allocator_of ("d1");
  ASSERT_NE (allocator, nullptr);
  allocator->paused = true;
  play (3 * GSPAN_SECOND, 20 * GSPAN_MS);
  allocator->paused = false;
  play (6 * GSPAN_SECOND, 20 * GSPAN_MS);
  expect_within (4);
  for (auto &rig : world.rigs)
    {
      auto *limit
          = static_cast<GspanLimit *> (g_hash_table_lookup (rig->node.rate_limits.items, "d1"));
      ASSERT_NE (limit, nullptr);
      EXPECT_EQ (allocator_of ("d1")->name, limit->allocator) << "all nodes ask the same one";
    }
}

/*
 * Items that have waited reserve permits two seconds ahead. A node that takes an allocator's place
 * doesn't know these, so they must not be used beside its own.
 */
TEST_F (Limits, AllocatorsThatAreReplacedOftenDoNotAddTheirPermits)
{
  start_nodes (4);
  limit_all (2.5);
  for (unsigned i = 0; i < 4; i++)
    submit_job (*world.rigs[i], 10 + i, "j" + std::to_string (i), 60);
  play (5 * GSPAN_SECOND);
  for (unsigned i = 0; i < 12; i++)
    {
      Rig *allocator = allocator_of ("m1");
      ASSERT_NE (allocator, nullptr);
      allocator->paused = true;
      play (300 * GSPAN_MS);
      allocator->paused = false;
      play (400 * GSPAN_MS);
    }
  expect_within (2.5);
  EXPECT_FALSE (any_logged ("request-beyond-limit"));
}

TEST_F (Limits, NodeThatStartsLaterKeepsTheSum)
{
  start_nodes (2);
  limit_all (4);
  play (4 * GSPAN_SECOND, 20 * GSPAN_MS);
  for (unsigned i = 0; i < 4; i++)
    world.add ("vm-late-" + std::to_string (i));
  play (10 * GSPAN_SECOND, 20 * GSPAN_MS);
  expect_within (4);
}

TEST_F (Limits, LostDatagramsDoNotBreakTheSum)
{
  start_nodes (2);
  limit_all (4);
  play (4 * GSPAN_SECOND, 20 * GSPAN_MS);
  /* cut off from one another: the pages excuse such machines, but each alone keeps the limit */
  world.lose_datagrams = true;
  play (5 * GSPAN_SECOND, 20 * GSPAN_MS);
  for (const auto &replica : replicas)
    EXPECT_LE (worst_window (replica.second), 2 * (1.5 * 4 * 4 + 5)) << replica.first;
  world.lose_datagrams = false;
  play (2 * GSPAN_SECOND, 20 * GSPAN_MS);
  for (auto &replica : replicas)
    replica.second.arrivals.clear ();
  play (8 * GSPAN_SECOND, 20 * GSPAN_MS);
  expect_within (4);
}

TEST_F (Limits, LimitThatFallsIsKeptAndOneThatEndsIsForgotten)
{
  start_nodes (4);
  limit_all (10);
  play (6 * GSPAN_SECOND, 20 * GSPAN_MS);
  limit_all (3);
  play (GSPAN_SECOND, 20 * GSPAN_MS);
  for (auto &replica : replicas)
    replica.second.arrivals.clear ();
  play (8 * GSPAN_SECOND, 20 * GSPAN_MS);
  expect_within (3);
  limit_all (0);
  play (GSPAN_SECOND, 20 * GSPAN_MS);
  guint64 from = world.now;
  play (2 * GSPAN_SECOND, 20 * GSPAN_MS);
  EXPECT_GE (served_since (from, 1), 95U) << "all of 100 calls";
}

TEST_F (Limits, OldAnswerWithoutTheHeaderDoesNotEndALimit)
{
  Rig &rig = start_nodes (1);

  send_desk_request (rig, 1, "a1");
  send_desk_request (rig, 2, "a2");
  world.run (20 * GSPAN_MS);
  ASSERT_EQ (rig.exchanges.size (), 2U);
  Exchange first = rig.exchanges[0];
  Exchange second = rig.exchanges[1];
  if (address_of (first) != address_of (second))
    {
      send_desk_request (rig, 3, "a3");
      second = rig.exchanges.back ();
      if (address_of (first) != address_of (second))
        first = rig.exchanges[1];
    }
  rig.http_done (first, GSPAN_HTTP_COMPLETE, 200, { "X-Server-Stamp: s", "Server-Limit: 4.5" },
                 "good");
  EXPECT_EQ (gspan_limits_count (&rig.node.rate_limits), 1U);
  rig.http_done (second, GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
  EXPECT_EQ (gspan_limits_count (&rig.node.rate_limits), 1U);
}

/* Else a limit could not end where answers take longer than the time between two reminders. */
TEST_F (Limits, ReminderOfAnotherNodeIsNoNewEvidence)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  send_desk_request (rig, 1, "a1");
  std::string name = rig.exchanges[0].header ("X-Expect-Instance");
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200,
                 { "X-Server-Stamp: s", "Server-Limit: 4" }, "good");
  world.run (100 * GSPAN_MS);
  auto *limit = static_cast<GspanLimit *> (
      g_hash_table_lookup (other.node.rate_limits.items, name.c_str ()));
  ASSERT_NE (limit, nullptr);
  guint64 learned_at = limit->learned_at;
  world.run (5 * GSPAN_SECOND);
  EXPECT_EQ (limit->learned_at, learned_at);
}

TEST_F (Limits, NewStartOfAReplicaHasNoLimit)
{
  Rig &rig = start_nodes (1);

  limit_all (1);
  play (2 * GSPAN_SECOND, 20 * GSPAN_MS);
  limit_all (0);
  for (unsigned number = 1; number <= 2; number++)
    {
      std::string spec = replica_spec ("desk", number, 0);
      spec.replace (spec.find ("\"born\":1"), 8, "\"born\":2");
      world.put ("servers", "d" + std::to_string (number), spec.c_str ());
    }
  play (2 * GSPAN_SECOND);
  guint64 from = world.now;
  play (GSPAN_SECOND, 20 * GSPAN_MS);
  EXPECT_GE (served_since (from, 1), 45U);
  EXPECT_FALSE (rig.logged ("request-beyond-limit"));
}

TEST_F (Limits, UnreadableLimitsAreNone)
{
  Rig &rig = start_nodes (1);

  for (const char *text : { "", "x", "-1", "nan", "inf", "1e999", "4 5", "0x4" })
    {
      send_desk_request (rig, 1, "a1");
      rig.http_done (rig.exchanges.back (), GSPAN_HTTP_COMPLETE, 200,
                     { "X-Server-Stamp: s", std::string ("Server-Limit: ") + text }, "good");
      EXPECT_EQ (gspan_limits_count (&rig.node.rate_limits), 0U) << text;
    }
}

TEST_F (Limits, OrdersAndReportsPassTheSameGate)
{
  start_nodes (3);
  limit_all (2);
  for (unsigned i = 0; i < 3; i++)
    submit_job (*world.rigs[i], 10 + i, "j" + std::to_string (i), 20);
  play (4 * GSPAN_SECOND);
  for (unsigned version = 2; version < 8; version++)
    {
      world.put ("versions", "m0",
                 ("{\"model\":\"m0\",\"version\":" + std::to_string (version) + "}").c_str ());
      play (GSPAN_SECOND);
    }
  play (4 * GSPAN_SECOND);
  expect_within (2);
  EXPECT_FALSE (any_logged ("request-beyond-limit"));
  EXPECT_TRUE (any_logged ("event=order-sent"));
}

RC_GTEST_PROP (Rate, GivesNoWindowMoreThanItsRateAndABurst, ())
{
  double per_s = *rc::gen::inRange (1, 200) / 10.0;
  GspanRate rate;
  std::vector<guint64> sent;
  guint64 now = 100 * GSPAN_SECOND;

  gspan_rate_init_used (&rate, per_s, now);
  for (int i = 0; i < 300; i++)
    {
      guint64 at;
      now += (guint64)*rc::gen::inRange (0, 200) * GSPAN_MS;
      if (gspan_rate_reserve (&rate, now, 250 * GSPAN_MS, &at))
        {
          RC_ASSERT (at >= now && at <= now + 250 * GSPAN_MS);
          sent.push_back (at);
        }
    }
  for (size_t i = 0; i < sent.size (); i++)
    {
      size_t count = 0;
      for (guint64 at : sent)
        count += at >= sent[i] && at < sent[i] + window_us;
      RC_ASSERT ((double)count <= per_s * 4 + std::max (per_s, 2.0) + 1);
    }
}

/* A node may hear of a replica's new start from the others before it reads the entry. */
TEST_F (Limits, StatementAboutALaterStartDoesNotUndoTheLimit)
{
  Rig &rig = start_nodes (1);

  limit_all (4);
  play (2 * GSPAN_SECOND, 20 * GSPAN_MS);
  for (const char *name : { "d1", "d2" })
    rig.datagram (std::string ("{\"kind\":\"limits\",\"format\":1,\"limits\":[{\"upstream\":\"")
                  + name
                  + "\",\"born\":5,\"holds\":true,\"mrps\":4000,\"version\":1,"
                    "\"allocator\":\"vm-9\",\"udp\":\"127.0.0.1:9\"}]}");
  play (10 * GSPAN_SECOND, 20 * GSPAN_MS);
  EXPECT_EQ (gspan_limits_count (&rig.node.rate_limits), 2U);
  expect_within (4);
}

TEST_F (Limits, ManyLimitsAreToldInSeveralDatagrams)
{
  Rig &rig = start_nodes (2);
  const unsigned count = 300;

  for (unsigned number = 0; number < count; number++)
    world.put ("servers", "x" + std::to_string (number),
               replica_spec ("desk", 10 + number, 0).c_str ());
  world.run (2 * GSPAN_SECOND);
  world.lose_datagrams = true;
  for (guint64 id = 1; id <= 4000; id++)
    {
      send_desk_request (rig, id, "a" + std::to_string (id));
      if (!rig.exchanges.empty ())
        rig.http_done (rig.exchanges.back (), GSPAN_HTTP_COMPLETE, 200,
                       { "X-Server-Stamp: s", "Server-Limit: 4" }, "good");
    }
  world.lose_datagrams = false;
  world.run (3 * GSPAN_SECOND);
  EXPECT_GE (gspan_limits_count (&rig.node.rate_limits), count);
  EXPECT_EQ (gspan_limits_count (&world.rigs[1]->node.rate_limits),
             gspan_limits_count (&rig.node.rate_limits));
}

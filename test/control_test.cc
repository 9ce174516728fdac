#include "test/fake_platform.h"

#include <algorithm>
#include <cstring>

/* An engine by its own book. A swap takes SWAP long and fails now and then. */
struct FakeEngine
{
  static constexpr guint64 SWAP = 300 * GSPAN_MS;

  bool checks = true;
  guint64 weight = 1; /* 0 is uncertain */
  guint64 fence = 0;
  guint64 swap_until = 0;
  guint64 swap_weight = 0;
  guint64 down_until = 0;
  unsigned fail_percent = 0;
  std::vector<std::pair<guint64, guint64>> book; /* fence and version of each order taken */
};

/* Control boards, a fake platform and fake engines; orders can reach an engine late. */
class Rollout
{
public:
  struct Exchange
  {
    Boards::Node *node;
    guint32 incarnation;
    GspanRef ref;
    size_t engine;
    std::string body; /* empty is a read of the state */
    guint64 arrive_at;
    guint64 answer_at;
    guint64 give_up_at;
    bool arrived;
    bool answered;
    int status;
    std::string answer;
  };

  Boards boards;
  std::vector<FakeEngine> engines;
  std::vector<Exchange> exchanges;
  unsigned late_percent = 0; /* orders that reach their engine up to 15 s late */
  guint max_out;
  bool checks;
  size_t most_out = 0;

  Rollout (guint32 seed, size_t nodes, size_t count, bool checks_fence, guint out)
      : boards (seed), engines (count), max_out (out), checks (checks_fence)
  {
    for (FakeEngine &engine : engines)
      engine.checks = checks_fence;
    publish (2);
    boards.on_start = [this] (Boards::Node &node) { start (*node.bench); };
    boards.on_action
        = [this] (Boards::Node &node, const GspanAction &action) { take (node, action); };
    for (size_t i = 0; i < nodes; i++)
      boards.add ("vm-" + std::to_string (i + 1));
  }

  void
  publish (guint64 version)
  {
    boards.platform.documents["v1/weights/m"] = "{\"version\":" + std::to_string (version) + "}";
  }

  void
  run (guint64 length)
  {
    boards.run (length, [this] { advance (); });
  }

  bool
  all_at (guint64 version) const
  {
    for (const FakeEngine &engine : engines)
      {
        if (engine.weight != version || engine.swap_until != 0)
          return false;
      }
    return true;
  }

  Boards::Node *
  holder ()
  {
    for (auto &node : boards.nodes)
      {
        auto *leases = node->bench->board.leases.items;

        if (leases->len > 0
            && gspan_lease_held (static_cast<GspanLease *> (g_ptr_array_index (leases, 0)),
                                 boards.now))
          return node.get ();
      }
    return nullptr;
  }

  size_t
  orders () const
  {
    size_t count = 0;

    for (const FakeEngine &engine : engines)
      count += engine.book.size ();
    return count;
  }

private:
  void
  start (Bench &bench)
  {
    std::string pool = R"({"schema":2,"firm":"prepis","service":"s","model":"m","max_out":)"
                       + std::to_string (max_out) + "}";

    bench.board.control = g_new0 (GspanControl, 1);
    gspan_control_init (bench.board.control);
    bench.put (GSPAN_RECORD_POOL, "p", 1, pool.c_str ());
    bench.put (GSPAN_RECORD_UPSTREAM, "s", 1,
               checks ? R"({"schema":2,"firm":"prepis","checks_fence":true})"
                      : R"({"schema":2,"firm":"prepis","checks_fence":false})");
    for (size_t i = 0; i < engines.size (); i++)
      bench.add_upstream (("e" + std::to_string (i)).c_str (), "s");
  }

  void
  take (Boards::Node &node, const GspanAction &action)
  {
    if (action.kind != GSPAN_ACTION_HTTP)
      return;
    const char *port = strrchr (action.u.http.url + strlen ("http://"), ':');
    GspanStr text = gspan_str_from_bytes (action.u.http.body);
    bool late = text.len > 0 && boards.draw (100) < late_percent;
    guint64 delay = late ? boards.draw (15 * GSPAN_SECOND) : boards.draw (10 * GSPAN_MS);

    exchanges.push_back ({ &node,
                           node.bench->board.incarnation,
                           action.ref,
                           (size_t)strtoul (port + 1, nullptr, 10) - 100,
                           { text.data != nullptr ? text.data : "", text.len },
                           boards.now + delay,
                           0,
                           boards.now + action.u.http.timeout_us,
                           false,
                           false,
                           0,
                           "{}" });
  }

  void
  arrive (Exchange &exchange)
  {
    FakeEngine &engine = engines[exchange.engine];

    exchange.arrived = true;
    exchange.answer_at = boards.now;
    exchange.status = 200;
    if (boards.now < engine.down_until)
      exchange.status = 0;
    else if (exchange.body.empty ())
      exchange.answer = engine.weight != 0 ? "{\"weight\":" + std::to_string (engine.weight) + "}"
                                           : "{\"weight\":null}";
    else
      order (engine, exchange);
  }

  void
  order (FakeEngine &engine, Exchange &exchange)
  {
    json_t *body = json_loads (exchange.body.c_str (), 0, nullptr);
    auto fence = (guint64)json_integer_value (json_object_get (body, "fence"));
    auto version = (guint64)json_integer_value (json_object_get (body, "version"));

    json_decref (body);
    if (engine.checks && fence < engine.fence)
      {
        exchange.status = 409;
        exchange.answer = "{\"fence\":" + std::to_string (engine.fence) + "}";
        return;
      }
    engine.fence = MAX (engine.fence, fence);
    exchange.status = engine.swap_until != 0 ? 503 : 200;
    if (engine.swap_until != 0)
      return;
    engine.book.emplace_back (fence, version);
    engine.swap_weight = version;
    engine.swap_until = boards.now + FakeEngine::SWAP;
    exchange.answer_at = engine.swap_until;
  }

  void
  advance ()
  {
    size_t out = 0;

    for (FakeEngine &engine : engines)
      {
        if (engine.swap_until != 0 && boards.now >= engine.swap_until)
          {
            engine.swap_until = 0;
            engine.weight = boards.draw (100) < engine.fail_percent ? 0 : engine.swap_weight;
          }
        out += engine.swap_until != 0 || engine.weight == 0;
      }
    most_out = MAX (most_out, out);
    for (size_t i = 0; i < exchanges.size (); i++)
      progress (i);
    while (!exchanges.empty () && exchanges.front ().arrived && exchanges.front ().answered)
      exchanges.erase (exchanges.begin ());
  }

  void
  progress (size_t index)
  {
    if (!exchanges[index].arrived && boards.now >= exchanges[index].arrive_at)
      arrive (exchanges[index]);
    Exchange exchange = exchanges[index];
    bool due = exchange.arrived && boards.now >= exchange.answer_at;
    bool given_up = boards.now >= exchange.give_up_at;

    if (exchange.answered || (!due && !given_up) || boards.now < exchange.node->paused_until)
      return;
    exchanges[index].answered = true;
    if (exchange.incarnation != exchange.node->bench->board.incarnation)
      return;
    bool whole = due && exchange.status != 0;
    bool failed = whole && !exchange.body.empty () && engines[exchange.engine].weight == 0;
    boards.handle (*exchange.node, [&] (Bench &bench) {
      bench.answer (exchange.ref, whole ? GSPAN_HTTP_COMPLETE : GSPAN_HTTP_LOST,
                    failed ? 500 : exchange.status, exchange.answer);
    });
  }
};

static void
disturb (Rollout &rollout, guint64 *version)
{
  Boards &boards = rollout.boards;
  Boards::Node &node = *boards.nodes[boards.draw (boards.nodes.size ())];
  FakeEngine &engine = rollout.engines[boards.draw (rollout.engines.size ())];

  switch (boards.draw (6))
    {
    case 0:
      node.paused_until = boards.now + boards.draw (8 * GSPAN_SECOND);
      break;
    case 1:
      boards.start (node);
      break;
    case 2:
      boards.outage_until = boards.now + boards.draw (6 * GSPAN_SECOND);
      break;
    case 3:
      rollout.publish (++*version);
      break;
    case 4: /* restarts with the weights that it first had */
      engine.down_until = boards.now + boards.draw (3 * GSPAN_SECOND);
      engine.swap_until = 0;
      engine.weight = 1;
      break;
    default:
      engine.fail_percent = (unsigned)boards.draw (60);
    }
  rollout.run (boards.draw (5 * GSPAN_SECOND));
}

static void
disturb_and_calm (Rollout &rollout, guint64 *version)
{
  rollout.late_percent = 20;
  rollout.boards.fault_percent = 20;
  for (int i = 0; i < 12; i++)
    disturb (rollout, version);
  rollout.late_percent = 0;
  rollout.boards.fault_percent = 0;
  for (FakeEngine &engine : rollout.engines)
    engine.fail_percent = 0;
  rollout.run (60 * GSPAN_SECOND);
}

RC_GTEST_PROP (Control, CheckingEnginesTakeNoOldFenceAndAllGetTheNewestVersion, ())
{
  Rollout rollout (*rc::gen::inRange<guint32> (0, 1 << 30), 3, 5, true, 2);
  guint64 version = 2;

  disturb_and_calm (rollout, &version);
  RC_ASSERT (rollout.all_at (version));
  for (const FakeEngine &engine : rollout.engines)
    RC_ASSERT (std::is_sorted (engine.book.begin (), engine.book.end (),
                               [] (auto a, auto b) { return a.first < b.first; }));
}

RC_GTEST_PROP (Control, IgnoringEnginesEndAtTheNewestVersion, ())
{
  Rollout rollout (*rc::gen::inRange<guint32> (0, 1 << 30), 3, 5, false, 2);
  guint64 version = 2;

  disturb_and_calm (rollout, &version);
  RC_ASSERT (rollout.all_at (version));
}

TEST (Control, SwapsThatFailOnAThirdOfEnginesEndWellAndNeverTakeAllOut)
{
  for (guint32 seed = 1; seed <= 10; seed++)
    {
      Rollout rollout (seed, 1, 9, true, 9);

      for (FakeEngine &engine : rollout.engines)
        engine.fail_percent = 33;
      rollout.run (60 * GSPAN_SECOND);
      EXPECT_TRUE (rollout.all_at (2)) << seed;
      EXPECT_LT (rollout.most_out, rollout.engines.size ()) << seed;
    }
}

/* Two engines that never load it must not keep the new version from the others. */
TEST (Control, EnginesThatKeepFailingAreSetAside)
{
  Rollout rollout (1, 1, 9, true, 2);
  size_t good = 0;

  rollout.run (10 * GSPAN_SECOND);
  for (size_t i : { 3, 4 })
    {
      rollout.engines[i].fail_percent = 100;
      rollout.engines[i].weight = 1; /* restarted */
    }
  rollout.run (3 * GSPAN_SECOND);
  rollout.publish (3);
  rollout.run (5 * GSPAN_SECOND);
  for (const FakeEngine &engine : rollout.engines)
    good += engine.weight == 3;
  EXPECT_EQ (good, 7U);
}

/* A pool and an attachment of one name report in objects of their own. */
TEST (Control, StatusIsNamedByKindAndName)
{
  Rollout rollout (1, 1, 3, true, 2);

  rollout.run (10 * GSPAN_SECOND);
  EXPECT_EQ (rollout.boards.platform.objects.count ("status/pool.p"), 1U);
  EXPECT_EQ (rollout.boards.platform.objects.count ("status/p"), 0U);
}

/* Engines that remember a higher fence than the lease's, made anew by hand, make it rise above. */
TEST (Control, HolderRisesAboveAFenceThatEnginesRemember)
{
  Rollout rollout (1, 1, 3, true, 2);

  for (FakeEngine &engine : rollout.engines)
    engine.fence = 1000;
  rollout.run (20 * GSPAN_SECOND);
  EXPECT_TRUE (rollout.all_at (2));
}

/* A version that no engine can load takes only the first tries out of service. */
TEST (Control, VersionThatLoadsNowhereStopsAtTheFirstTries)
{
  Rollout rollout (1, 1, 9, true, 6);

  for (FakeEngine &engine : rollout.engines)
    engine.fail_percent = 100;
  rollout.run (30 * GSPAN_SECOND);
  EXPECT_LE (rollout.most_out, 4U);
}

TEST (Control, NewerVersionInMidRolloutStarvesNoReplica)
{
  Rollout rollout (1, 1, 8, true, 2);
  guint64 version = 2;

  for (int i = 0; i < 40; i++)
    {
      rollout.publish (++version);
      rollout.run (500 * GSPAN_MS);
    }
  for (const FakeEngine &engine : rollout.engines)
    EXPECT_GE (engine.weight + 12, version);
}

TEST (Control, VersionsNeverGoBackWhateverTheStoreSays)
{
  Rollout rollout (1, 2, 4, true, 2);

  rollout.publish (7);
  rollout.run (10 * GSPAN_SECOND);
  ASSERT_TRUE (rollout.all_at (7));
  rollout.publish (5);
  rollout.boards.start (*rollout.holder ());
  rollout.run (20 * GSPAN_SECOND);
  EXPECT_TRUE (rollout.all_at (7));
}

/* How long until the second node's first order after the first one stopped, by kind of engine. */
static guint64
takeover_gap (bool checks, bool graceful)
{
  Rollout rollout (3, 2, 4, checks, 1);
  GspanEvent drain{};

  rollout.run (12 * GSPAN_SECOND);
  EXPECT_TRUE (rollout.all_at (2));
  drain.kind = GSPAN_EVENT_DRAIN;
  if (graceful)
    rollout.boards.handle (*rollout.holder (), [&] (Bench &bench) { bench.handle (drain); });
  else
    rollout.holder ()->paused_until = G_MAXUINT64;
  rollout.publish (3);
  size_t before = rollout.orders ();
  guint64 start = rollout.boards.now;
  while (rollout.orders () == before && rollout.boards.now < start + 60 * GSPAN_SECOND)
    rollout.run (20 * GSPAN_MS);
  return rollout.boards.now - start;
}

TEST (Control, NewHolderWaitsOutOrdersOnlyWhereTheyCouldStillLand)
{
  EXPECT_LT (takeover_gap (true, false), 6 * GSPAN_SECOND);
  EXPECT_GE (takeover_gap (false, false), 13 * GSPAN_SECOND);
  EXPECT_LT (takeover_gap (false, true), 3 * GSPAN_SECOND);
  EXPECT_LT (takeover_gap (true, true), 3 * GSPAN_SECOND);
}

/* The order of a holder that was paused between check and send lands seconds after a newer one. */
TEST (Control, LateOrderOfAWokenHolderIsRefusedOrCorrected)
{
  for (bool checks : { true, false })
    {
      Rollout rollout (5, 2, 3, checks, 2);
      FakeEngine &engine = rollout.engines[0];

      rollout.run (12 * GSPAN_SECOND);
      ASSERT_TRUE (rollout.all_at (2));
      rollout.holder ()->paused_until = G_MAXUINT64;
      guint64 old_fence = engine.fence;
      rollout.publish (3);
      rollout.run (25 * GSPAN_SECOND);
      ASSERT_TRUE (rollout.all_at (3));
      rollout.exchanges.push_back ({ rollout.boards.nodes[0].get (),
                                     0,
                                     {},
                                     0,
                                     R"({"version":2,"fence":)" + std::to_string (old_fence) + "}",
                                     rollout.boards.now,
                                     0,
                                     G_MAXUINT64,
                                     false,
                                     false,
                                     0,
                                     "{}" });
      rollout.run (FakeEngine::SWAP + 60 * GSPAN_MS);
      EXPECT_EQ (engine.weight, checks ? 3U : 2U);
      rollout.run (3 * GSPAN_SECOND);
      EXPECT_TRUE (rollout.all_at (3));
    }
}

/* Orders are bound to the lease: nothing is begun after it, and a release waits for their end. */
TEST (Control, OrdersCarryTheEndOfTheLeaseAndHoldUpItsRelease)
{
  Rollout rollout (1, 1, 3, true, 1);
  GspanEvent drain{};
  guint64 not_after = 0;
  auto take = rollout.boards.on_action;
  bool released = false;

  rollout.boards.on_action = [&] (Boards::Node &node, const GspanAction &action) {
    if (action.kind == GSPAN_ACTION_HTTP && action.u.http.body != nullptr)
      not_after = action.u.http.start_deadline_us;
    if (action.kind == GSPAN_ACTION_OBJECT && action.u.object.op == GSPAN_OBJECT_PUT)
      {
        GspanStr text = gspan_str_from_bytes (action.u.object.body);

        released |= std::string (text.data, text.len).find (R"("holder":"")") != std::string::npos;
      }
    take (node, action);
  };
  while (not_after == 0)
    rollout.run (20 * GSPAN_MS);
  EXPECT_LE (not_after, rollout.boards.now + 3 * GSPAN_SECOND);
  drain.kind = GSPAN_EVENT_DRAIN;
  rollout.boards.handle (*rollout.boards.nodes[0], [&] (Bench &bench) { bench.handle (drain); });
  rollout.run (100 * GSPAN_MS);
  EXPECT_FALSE (released);
  rollout.run (GSPAN_SECOND);
  EXPECT_TRUE (released);
}

/* A status under a higher fence is somebody else's, and newer. */
TEST (Status, NeverAnOldHoldersOverANewOnes)
{
  Bench bench;
  auto next = [&] {
    while (bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_STATUS).empty ())
      {
        bench.tick ();
        if (bench.now > 1100 * GSPAN_SECOND)
          return static_cast<GspanAction *> (nullptr);
      }
    return bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_STATUS)[0];
  };
  auto set = [&] (int fence) {
    gspan_statuses_set (&bench.board.statuses, "p", json_pack ("{s:i}", "fence", fence));
  };

  set (3);
  bench.object_done (next ()->ref, GSPAN_OBJECT_CONFLICT);
  ASSERT_EQ (next ()->u.object.op, GSPAN_OBJECT_GET);
  bench.object_done (next ()->ref, GSPAN_OBJECT_OK, 20, R"({"fence":4})");
  EXPECT_EQ (next (), nullptr);
  set (5);
  bench.now = 1000 * GSPAN_SECOND;
  ASSERT_NE (next (), nullptr);
  EXPECT_EQ (next ()->u.object.op, GSPAN_OBJECT_PUT);
}

TEST (Status, LostAnswerIsSettledByReadingBack)
{
  for (bool landed : { true, false })
    {
      Bench bench;
      int writes = 0;

      gspan_statuses_set (&bench.board.statuses, "p", json_pack ("{s:i}", "fence", 3));
      for (int i = 0; i < 500; i++)
        {
          bench.tick ();
          auto found = bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_STATUS);

          if (found.empty ())
            continue;
          bool put = found[0]->u.object.op == GSPAN_OBJECT_PUT;
          GspanRef ref = found[0]->ref;

          writes += put;
          if (put && writes == 1)
            bench.object_done (ref, GSPAN_OBJECT_UNKNOWN);
          else if (put)
            bench.object_done (ref, GSPAN_OBJECT_OK, 30);
          else if (landed)
            bench.object_done (ref, GSPAN_OBJECT_OK, 20, "{\"fence\":3}");
          else
            bench.object_done (ref, GSPAN_OBJECT_MISSING);
        }
      EXPECT_EQ (writes, landed ? 1 : 2);
    }
}

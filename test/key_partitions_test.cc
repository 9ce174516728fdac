#include "test/bench.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

static const char route[] = R"({"schema":2,"firm":"prepis","service":"orders","idempotent":false})";

/* How the next exchange with the outside ends. */
enum Fate
{
  FATE_GOOD,
  FATE_ANSWER_LOST, /* done, but nobody hears of it */
  FATE_LOST,        /* not done, and nobody knows */
  FATE_REFUSED      /* surely not done */
};

/* Several entries around one platform and one upstream, all fakes, under virtual time. */
class Entries
{
public:
  struct Object
  {
    guint64 version;
    std::string body;
  };

  struct Sending
  {
    std::string key;
    bool killed; /* its entry died before it answered */
    std::vector<std::string> outcomes;
    std::string body;
  };

  struct Node
  {
    std::string name;
    std::string address;
    std::unique_ptr<Bench> bench;
    unsigned life = 0;
    bool paused = false;
  };

  std::vector<Node> nodes;
  std::map<std::string, Object> objects;
  std::map<std::string, unsigned> runs; /* the upstream's own book */
  std::map<guint64, Sending> sendings;
  guint64 now = 1000 * GSPAN_SECOND;
  guint64 writes = 0;

  explicit Entries (unsigned count) : nodes (count)
  {
    for (unsigned i = 0; i < count; i++)
      {
        nodes[i].name = "vm-" + std::to_string (i);
        nodes[i].address = "127.0.0." + std::to_string (i + 1) + ":1";
        start (i);
      }
  }

  void
  start (unsigned i)
  {
    Node &node = nodes[i];

    node.life++;
    node.paused = false;
    node.bench = std::make_unique<Bench> (node.name.c_str (), ++seed_);
    node.bench->with_slots (node.address.c_str ());
    node.bench->put (GSPAN_RECORD_ROUTE, "orders", 1, route);
    node.bench->add_upstream ("o1", "orders");
    node.bench->add_upstream ("o2", "orders");
  }

  /* Kills entry I with all that it holds in memory, and starts it anew. */
  void
  kill (unsigned i)
  {
    for (auto &[id, sending] : sendings)
      if (id % nodes.size () == i && sending.outcomes.empty ())
        sending.killed = true;
    start (i);
  }

  void
  send (unsigned i, const std::string &key)
  {
    guint64 id = ++sent_ * nodes.size () + i;

    sendings[id] = { key, false, {}, "" };
    nodes[i].bench->now = now;
    nodes[i].bench->request (id, "/call/orders/x", "{\"order\":\"" + key + "\"}",
                             { { "Idempotency-Key", key } });
    collect (i);
  }

  void
  tick (guint64 step = 20 * GSPAN_MS)
  {
    now += step;
    for (unsigned i = 0; i < nodes.size (); i++)
      {
        if (nodes[i].paused)
          continue;
        nodes[i].bench->now = now - step;
        nodes[i].bench->tick (step);
        collect (i);
      }
  }

  /* Lets the INDEX-th exchange under way take place, in whatever order. */
  void
  deliver (size_t index, Fate fate)
  {
    if (pending_.empty ())
      return;
    auto it = pending_.begin () + static_cast<long> (index % pending_.size ());
    Pending item = *it;

    if (item.life == nodes[item.node].life && nodes[item.node].paused)
      return;
    pending_.erase (it);
    if (item.life == nodes[item.node].life || item.outside)
      item.run (fate);
  }

  /* As deliver () for the oldest exchange of a kind, and for the answers that wait before it. */
  bool
  deliver_first (const std::string &what, Fate fate)
  {
    for (size_t i = 0; i < pending_.size (); i++)
      {
        const Pending &item = pending_[i];

        if (item.what != what || (item.life == nodes[item.node].life && nodes[item.node].paused))
          continue;
        deliver (i, fate);
        return true;
      }
    return false;
  }

  /* Delivers with all well until an exchange of the kind WHAT waits. */
  void
  pump_until (const std::string &what)
  {
    for (int i = 0; i < 1000; i++)
      {
        for (const Pending &item : pending_)
          if (item.what == what && !nodes[item.node].paused)
            return;
        if (!deliver_first ("answer", FATE_GOOD) && !deliver_first ("object", FATE_GOOD))
          tick ();
      }
  }

  /* A key of the same slot as KEY. */
  static std::string
  neighbour (const std::string &key)
  {
    const std::string scope = "prepis/orders/";

    for (int i = 0;; i++)
      {
        std::string other = key + std::to_string (i);

        if (gspan_key_partition_of ((scope + other).c_str ())
            == gspan_key_partition_of ((scope + key).c_str ()))
          return other;
      }
  }

  /* Lets exchanges take place with time between them, but none of a paused entry's. */
  void
  pump (size_t steps)
  {
    for (size_t i = 0; i < steps; i++)
      {
        deliver (i, FATE_GOOD);
        tick ();
      }
  }

  /* Runs with all well until nothing is open, or for SECONDS. */
  void
  settle (unsigned seconds = 40)
  {
    for (Node &node : nodes)
      node.paused = false;
    for (guint64 end = now + seconds * GSPAN_SECOND; now < end;)
      {
        for (int i = 0; i < 1000 && !pending_.empty (); i++)
          deliver (0, FATE_GOOD);
        tick ();
      }
  }

  std::string
  outcome (guint64 index) const
  {
    auto it = std::next (sendings.begin (), static_cast<long> (index));

    return it->second.outcomes.size () == 1 ? it->second.outcomes[0] : "";
  }

  /* What must hold of every history. Empty, or what doesn't. */
  std::string
  violation () const
  {
    std::map<std::string, bool> all_not_run;
    std::map<std::string, std::string> bodies;

    for (const auto &[key, count] : runs)
      if (count > 1)
        return key + " ran " + std::to_string (count) + " times";
    for (const auto &[id, sending] : sendings)
      {
        bool not_run = sending.outcomes == std::vector<std::string>{ "not-run" };

        if (!sending.killed && sending.outcomes.size () != 1)
          return sending.key + " got " + std::to_string (sending.outcomes.size ()) + " answers";
        all_not_run.emplace (sending.key, true);
        all_not_run[sending.key] = all_not_run[sending.key] && not_run;
        if (sending.outcomes != std::vector<std::string>{ "complete" })
          continue;
        if (runs.count (sending.key) == 0)
          return sending.key + " is complete and never ran";
        if (!bodies.emplace (sending.key, sending.body).second
            && bodies[sending.key] != sending.body)
          return sending.key + " has two answers";
      }
    for (const auto &[key, not_run] : all_not_run)
      if (not_run && runs.count (key) != 0)
        return key + " ran, and all who asked were told not-run";
    return "";
  }

private:
  struct Pending
  {
    unsigned node;
    unsigned life;
    bool outside; /* takes place though its sender is gone */
    std::string what;
    std::function<void (Fate)> run;
  };

  struct Waiting
  {
    unsigned node;
    unsigned life;
    GspanRef ref;
  };

  std::deque<Pending> pending_;
  std::map<guint64, Waiting> calls_; /* RPCs that a node works on */
  guint64 revision_ = 0;
  guint64 sent_ = 0;
  guint64 call_ = 0;
  guint32 seed_ = 0;

  void
  push (unsigned i, const char *what, std::function<void (Fate)> run)
  {
    pending_.push_back ({ i, nodes[i].life, true, what, std::move (run) });
  }

  /* Queues the answer to node I: it comes at any later moment, to this life of the node only. */
  void
  answer (unsigned i, unsigned life, std::function<void (Bench &)> give)
  {
    pending_.push_back ({ i, life, false, "answer", [this, i, give] (Fate) {
                           nodes[i].bench->now = now;
                           give (*nodes[i].bench);
                           collect (i);
                         } });
  }

  void
  object (unsigned i, unsigned life, GspanRef ref, GspanObjectOp op, const std::string &path,
          guint64 expect, const std::string &body, Fate fate)
  {
    bool put = op == GSPAN_OBJECT_PUT;
    GspanObjectResult result = GSPAN_OBJECT_OK;
    std::string text = "{}";
    guint64 current = objects.count (path) != 0 ? objects[path].version : 0;
    guint64 version = current;

    if (fate == FATE_REFUSED || (fate != FATE_GOOD && !put))
      result = GSPAN_OBJECT_UNAVAILABLE;
    else if (fate == FATE_LOST)
      result = GSPAN_OBJECT_UNKNOWN;
    else if (put && current != expect)
      result = GSPAN_OBJECT_CONFLICT;
    else if (put)
      {
        version = ++revision_;
        objects[path] = { version, body };
        writes++;
      }
    else if (current == 0)
      result = GSPAN_OBJECT_MISSING;
    else
      text = objects[path].body;
    if (fate == FATE_ANSWER_LOST && put)
      result = GSPAN_OBJECT_UNKNOWN;
    answer (i, life, [=] (Bench &bench) { bench.object_done (ref, result, version, text); });
  }

  void
  exchange (unsigned i, unsigned life, GspanRef ref, const std::string &body, Fate fate)
  {
    size_t at = body.find (":\"") + 2;
    std::string key = body.substr (at, body.find ('"', at) - at);
    GspanHttpResult result = GSPAN_HTTP_COMPLETE;
    std::string text;

    if (fate == FATE_REFUSED)
      result = GSPAN_HTTP_NOT_SENT;
    else if (fate != FATE_GOOD)
      result = GSPAN_HTTP_LOST;
    if (fate == FATE_GOOD || fate == FATE_ANSWER_LOST)
      text = key + " run " + std::to_string (++runs[key]);
    answer (i, life, [=] (Bench &bench) { bench.answer (ref, result, 200, text); });
  }

  void
  rpc_done (unsigned i, unsigned life, GspanRef ref, GspanRpcResult result,
            const std::string &payload)
  {
    answer (i, life, [=] (Bench &bench) {
      GspanEvent event{};

      event.kind = GSPAN_EVENT_RPC_DONE;
      event.ref = ref;
      event.u.rpc.result = result;
      event.u.rpc.payload = { payload.data (), payload.size () };
      bench.handle (event);
    });
  }

  void
  rpc (unsigned i, unsigned life, GspanRef ref, const std::string &address, guint32 proc,
       const std::string &payload, Fate fate)
  {
    for (unsigned to = 0; to < nodes.size (); to++)
      {
        if (nodes[to].address != address || fate == FATE_REFUSED)
          continue;
        guint64 call = ++call_;

        calls_[call] = { i, life, ref };
        if (fate != FATE_GOOD || nodes[to].paused)
          {
            calls_.erase (call);
            rpc_done (i, life, ref, GSPAN_RPC_LOST, "");
          }
        if (fate == FATE_LOST)
          return;
        answer (to, nodes[to].life, [=] (Bench &bench) {
          GspanEvent event{};

          event.kind = GSPAN_EVENT_RPC_CALL;
          event.u.rpc.call = call;
          event.u.rpc.proc = proc;
          event.u.rpc.payload = { payload.data (), payload.size () };
          bench.handle (event);
        });
        return;
      }
    rpc_done (i, life, ref, GSPAN_RPC_NOT_SENT, "");
  }

  static std::string
  text_of (GBytes *bytes)
  {
    GspanStr text = gspan_str_from_bytes (bytes);

    return { text.data != nullptr ? text.data : "", text.len };
  }

  void
  reply (const GspanAction *action)
  {
    Sending &sending = sendings.at (action->u.reply.request);

    sending.outcomes.push_back (Bench::header (action, "Gspan-Outcome"));
    sending.body = text_of (action->u.reply.body);
  }

  void
  collect (unsigned i)
  {
    Bench &bench = *nodes[i].bench;
    unsigned life = nodes[i].life;

    for (GspanAction *action : bench.actions (GSPAN_ACTION_REPLY))
      reply (action);
    for (GspanAction *action : bench.actions (GSPAN_ACTION_OBJECT))
      {
        GspanRef ref = action->ref;
        auto &o = action->u.object;
        std::string path = o.path;
        std::string body = text_of (o.body);

        if (ref.owner == GSPAN_OWNER_LEASES || ref.owner == GSPAN_OWNER_KEYED_CALLS
            || ref.owner == GSPAN_OWNER_KEY_PARTITIONS)
          push (i, "object", [=, op = o.op, expect = o.revision] (Fate fate) {
            object (i, life, ref, op, path, expect, body, fate);
          });
      }
    for (GspanAction *action : bench.actions (GSPAN_ACTION_HTTP))
      push (i, "http", [=, ref = action->ref, body = text_of (action->u.http.body)] (Fate fate) {
        exchange (i, life, ref, body, fate);
      });
    for (GspanAction *action : bench.actions (GSPAN_ACTION_RPC))
      push (i, "rpc",
            [=, ref = action->ref, address = std::string (action->u.rpc.address),
             proc = action->u.rpc.proc, payload = text_of (action->u.rpc.payload)] (Fate fate) {
              rpc (i, life, ref, address, proc, payload, fate);
            });
    for (GspanAction *action : bench.actions (GSPAN_ACTION_RPC_REPLY))
      {
        auto it = calls_.find (action->u.rpc.call);

        if (it == calls_.end ())
          continue;
        rpc_done (it->second.node, it->second.life, it->second.ref, GSPAN_RPC_OK,
                  text_of (action->u.rpc.payload));
        calls_.erase (it);
      }
  }
};

TEST (Slots, SameKeyAtThreeEntriesRunsOnce)
{
  Entries entries (3);

  for (unsigned i = 0; i < 3; i++)
    entries.send (i, "k");
  entries.settle ();
  for (unsigned i = 0; i < 3; i++)
    EXPECT_EQ (entries.outcome (i), "complete");
  EXPECT_EQ (entries.runs["k"], 1U);
  EXPECT_EQ (entries.violation (), "");
}

TEST (Slots, RepeatedKeyGetsTheFirstAnswerFromTheNextOwnerToo)
{
  Entries entries (2);

  entries.send (0, "k");
  entries.settle ();
  entries.kill (0);
  entries.send (1, "k");
  entries.settle ();
  EXPECT_EQ (entries.outcome (1), "complete");
  EXPECT_EQ (entries.violation (), "");
}

TEST (Slots, IntentOfALostOwnerIsUnknownAndNotRunAgain)
{
  Entries entries (2);

  entries.send (0, "k");
  for (int i = 0; i < 400 && entries.runs.empty (); i++)
    {
      entries.deliver (0, FATE_GOOD);
      entries.tick ();
    }
  ASSERT_EQ (entries.runs["k"], 1U);
  entries.kill (0);
  entries.send (1, "k");
  entries.settle ();
  EXPECT_EQ (entries.outcome (1), "unknown");
  EXPECT_EQ (entries.violation (), "");
}

/* The owner's intent is on its way when it is paused; another takes over and runs the key. */
TEST (Slots, OwnerWokenAfterItsLeaseRunsNothing)
{
  Entries entries (2);

  entries.send (0, Entries::neighbour ("k"));
  entries.settle (10);
  entries.send (0, "k");
  entries.nodes[0].paused = true;
  entries.send (1, "k");
  entries.pump_until ("rpc");
  ASSERT_TRUE (entries.deliver_first ("rpc", FATE_LOST));
  entries.pump (600);
  EXPECT_EQ (entries.runs["k"], 1U);
  entries.settle ();
  EXPECT_EQ (entries.runs["k"], 1U);
  EXPECT_EQ (entries.violation (), "");
}

TEST (Slots, LostAnswerOfAnOwnerIsNeverToldAsNotRun)
{
  Entries entries (2);

  entries.send (0, Entries::neighbour ("k"));
  entries.settle (10);
  entries.send (1, "k");
  entries.pump_until ("rpc");
  ASSERT_TRUE (entries.deliver_first ("rpc", FATE_ANSWER_LOST));
  entries.pump_until ("http");
  ASSERT_TRUE (entries.deliver_first ("http", FATE_GOOD));
  ASSERT_EQ (entries.runs["k"], 1U);
  for (int i = 0; i < 200; i++)
    {
      entries.deliver (0, FATE_REFUSED);
      entries.tick ();
    }
  EXPECT_EQ (entries.outcome (1), "unknown");
}

TEST (Slots, LostAnswerOfAnUpstreamIsUnknownForRepeatsToo)
{
  for (Fate fate : { FATE_ANSWER_LOST, FATE_LOST })
    {
      Entries entries (2);

      entries.send (0, "k");
      entries.pump_until ("http");
      ASSERT_TRUE (entries.deliver_first ("http", fate));
      entries.settle ();
      entries.send (1, "k");
      entries.settle ();
      EXPECT_EQ (entries.outcome (0), "unknown");
      EXPECT_EQ (entries.outcome (1), "unknown");
      EXPECT_EQ (entries.violation (), "");
    }
}

TEST (Slots, DeadPlatformIsToldAtOnce)
{
  Entries entries (1);

  entries.send (0, "k");
  for (int i = 0; i < 4; i++)
    entries.deliver (0, FATE_REFUSED);
  EXPECT_EQ (entries.outcome (0), "not-run");
  EXPECT_EQ (entries.violation (), "");
}

TEST (Slots, WritesStayWithinTheBudget)
{
  Entries entries (1);

  entries.send (0, "k");
  entries.settle (10);
  entries.writes = 0;
  for (int i = 0; i < 500; i++)
    {
      entries.send (0, "k" + std::to_string (i));
      for (int j = 0; j < 40; j++)
        entries.deliver (0, FATE_GOOD);
      entries.tick ();
    }
  /* 10 s: 5 writes a second of each of 16 slots, and the renewals of 16 leases. */
  EXPECT_LE (entries.writes, 10U * (5 * GSPAN_KEY_PARTITION_COUNT + 2 * GSPAN_KEY_PARTITION_COUNT));
  entries.settle ();
  EXPECT_EQ (entries.violation (), "");
}

TEST (Slots, KeyUsedForAnotherRequestIsRefused)
{
  Entries entries (1);

  entries.send (0, "k");
  entries.settle (10);
  Bench &bench = *entries.nodes[0].bench;
  bench.request (99, "/call/orders/x", "{\"order\":\"other\"}", { { "Idempotency-Key", "k" } });
  auto replies = bench.actions (GSPAN_ACTION_REPLY);
  ASSERT_EQ (replies.size (), 1U);
  EXPECT_EQ (replies[0]->u.reply.status, 422);
  bench.request (100, "/call/orders/x", "{}", { { "Idempotency-Key", "a b" } });
  EXPECT_EQ (bench.actions (GSPAN_ACTION_REPLY).at (0)->u.reply.status, 400);
}

/* Any order of deliveries, lost answers of both truths, kills, pauses past the lease, repeats. */
RC_GTEST_PROP (Slots, KeyRunsAtMostOnceAndNobodyIsToldWrong, (std::vector<uint16_t> script))
{
  Entries entries (3);

  for (uint16_t step : script)
    {
      unsigned node = (step >> 4) % 3;
      std::string key = "k" + std::to_string ((step >> 6) % 3);

      switch (step % 16)
        {
        case 0:
        case 1:
        case 2:
          entries.send (node, key);
          break;
        case 3:
          entries.kill (node);
          break;
        case 4:
          entries.nodes[node].paused = !entries.nodes[node].paused;
          break;
        case 5:
          entries.tick (2 * GSPAN_SECOND);
          break;
        case 6:
        case 7:
          entries.pump (60);
          break;
        case 8:
          entries.deliver (step >> 4, FATE_ANSWER_LOST);
          break;
        case 9:
          entries.deliver (step >> 4, FATE_LOST);
          break;
        case 10:
          entries.deliver (step >> 4, FATE_REFUSED);
          break;
        default:
          entries.deliver (step >> 4, FATE_GOOD);
          entries.tick ();
          break;
        }
    }
  entries.settle ();
  RC_ASSERT (entries.violation () == "");
}

/* The object stays under its bound, young keys stay, and the next owner reads what was written. */
RC_GTEST_PROP (Journal, KeepsYoungKeysUnderTheBound, (std::vector<uint16_t> sizes))
{
  GspanJournal journal{};
  GspanJournal copy{};
  std::vector<std::string> kept;

  gspan_journal_init (&journal);
  gspan_journal_init (&copy);
  for (size_t i = 0; i < sizes.size () * 40; i++)
    {
      std::string key = "k\"" + std::to_string (i) + std::string (100, 'x');
      std::string answer (sizes[i / 40] % 3000, '\\');
      GBytes *body = g_bytes_new (answer.data (), answer.size ());

      if (gspan_journal_intend (&journal, key.c_str (), i, i))
        kept.push_back (key);
      if (i % 3 != 0)
        gspan_journal_conclude (&journal, key.c_str (), GSPAN_OUTCOME_COMPLETE, 200,
                                gspan_str_from ("a/b"), body, i);
      g_bytes_unref (body);
    }
  GBytes *object = gspan_journal_encode (&journal, "w", 20 * 60 * GSPAN_SECOND);
  RC_ASSERT (g_bytes_get_size (object) <= GSPAN_JOURNAL_MAX);
  RC_ASSERT (gspan_journal_decode (&copy, gspan_str_from_bytes (object), 5 * GSPAN_SECOND));
  for (const std::string &key : kept)
    RC_ASSERT (gspan_journal_find (&copy, key.c_str ()) != nullptr);
  g_bytes_unref (object);
  gspan_journal_finish (&journal);
  gspan_journal_finish (&copy);
}

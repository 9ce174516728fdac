#pragma once

#include "test/bench.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

extern "C"
{
#include "rollout/cursor.h"
#include "rpc/codec.h"
}

/*
 * Owners and entries as boards under virtual time, with fakes at their interfaces: lease objects,
 * engines, scorers and one trainer. The fakes keep books; check () compares them.
 */
class World
{
public:
  static constexpr guint64 STEP = 20 * GSPAN_MS;
  static constexpr guint64 TRAIN = 600 * GSPAN_MS;
  static constexpr guint64 CHECKED_BATCHES = 200; /* all up to it, then every one of so many */

  struct Node
  {
    std::string address;
    bool entry = false;
    bool alive = false;
    guint life = 0;
    guint64 paused_until = 0;
    guint64 records = 0; /* edits applied */
    std::unique_ptr<Bench> bench;
    std::deque<std::function<void ()>> held;
  };

  struct Run
  {
    std::string id;
    std::string prompt;
    size_t node;
    guint life;
    GspanRef ref;
    guint64 tokens;
    double done = 0;
    std::vector<std::pair<guint64, guint64>> segments; /* version (0 uncertain), tokens */
  };

  struct Engine
  {
    guint64 weight = 1;
    guint64 swap_at = 0;
    guint64 down_until = 0;
    double tokens_per_step = 2;
    std::vector<Run> running;
  };

  struct Edit
  {
    guint64 at;
    std::string prompt;
    guint64 bound;
    guint64 groups;
    guint64 samples;
    bool paused;
    bool deleted;
  };

  struct Checkpoint
  {
    std::string cursor;
    guint64 weight;
    size_t samples; /* taken so far */
  };

  guint64 now = 1000 * GSPAN_SECOND;
  std::mt19937 random;
  std::vector<Node> nodes;
  std::vector<Engine> engines;
  std::vector<Edit> edits;
  std::map<std::string, std::pair<guint64, std::string>> objects;
  std::map<std::string, Run> book; /* the engines' */
  std::multimap<guint64, std::function<void ()>> agenda;
  std::set<std::string> violations;
  guint64 outage_until = 0;
  int lost_answers = 0;
  int failing_swaps = 0;
  int doubled_calls = 0;
  guint64 train = TRAIN;
  guint64 scorer_delay = 20 * GSPAN_MS;
  int scorer_failures = 0;
  bool scorer_doubles = false;
  guint64 generated = 0; /* tokens */

  std::string poison; /* prompt that crashes what runs it */
  guint64 crashes = 0;
  std::map<std::string, std::vector<guint64>> seeds; /* of each prompt's samples */

  /* the trainer */
  guint64 weight = 1;
  std::string cursor;
  std::vector<Checkpoint> checkpoints;
  std::vector<std::string> taken; /* by the trainer as it is now, restored or not */
  std::set<std::string> seen;     /* the same, to look up */
  std::vector<guint64> lengths;
  guint64 batches = 0;
  guint64 request = 0; /* pull under way; 0 is none */
  guint64 next_request = 0;
  guint64 pull_at;
  guint64 asked_at = 0;
  guint64 idle = 0;
  guint64 last_idle = 0;

  World (guint32 seed, size_t owners, size_t entries, size_t count) : random (seed)
  {
    edits.push_back ({ now, "p", 2, 4, 2, false, false });
    engines.resize (count);
    nodes.reserve (owners + entries);
    for (size_t i = 0; i < owners + entries; i++)
      {
        nodes.emplace_back ();
        nodes[i].entry = i >= owners;
        nodes[i].address = "127.0.0.1:" + std::to_string (i + 1);
        start (i);
      }
    pull_at = now;
  }

  guint64
  draw (guint64 bound)
  {
    return random () % bound;
  }

  void
  at (guint64 delay, std::function<void ()> what)
  {
    agenda.emplace (now + delay, std::move (what));
  }

  void
  start (size_t i)
  {
    Node &node = nodes[i];
    std::string name = "vm-" + std::to_string (i);

    node.bench = std::make_unique<Bench> ("vm", static_cast<guint32> (random ()));
    node.life++;
    node.alive = true;
    node.records = 0;
    node.held.clear ();
    GspanBoard &board = node.bench->board;
    board.self.rpc = node.address.c_str ();
    node.bench->now = now;
    node.bench->put (GSPAN_RECORD_POOL, "m", 1,
                     R"({"schema":2,"firm":"f","service":"e","model":"m"})");
    for (size_t k = 0; k < engines.size (); k++)
      gspan_upstreams_add (&board.upstreams, ("e" + std::to_string (k)).c_str (), "e", "z",
                           ("127.0.1.1:" + std::to_string (k)).c_str ());
    for (const char *scorer : { "127.0.1.2:0", "127.0.1.2:1" })
      gspan_upstreams_add (&board.upstreams, scorer, "s", "z", scorer);
    if (node.entry)
      {
        board.batch_pulls = g_new0 (GspanBatchPulls, 1);
        gspan_batch_pulls_init (board.batch_pulls);
      }
    else
      {
        board.rollout = g_new0 (GspanRollout, 1);
        gspan_rollout_init (board.rollout);
      }
    apply_edits (i, true);
  }

  void
  kill (size_t i)
  {
    nodes[i].alive = false;
    nodes[i].bench.reset ();
  }

  /* Runs WHAT in the node's life LIFE, after its pause where it is in one. */
  void
  deliver (size_t i, guint life, std::function<void ()> what)
  {
    Node &node = nodes[i];

    if (!node.alive || node.life != life)
      return;
    if (now < node.paused_until)
      {
        node.held.push_back (std::move (what));
        return;
      }
    node.bench->now = now;
    what ();
    perform (i);
  }

  void
  apply_edits (size_t i, bool all)
  {
    Node &node = nodes[i];

    while (node.records < edits.size ()
           && (all || now >= edits[node.records].at + (i % 3) * 400 * GSPAN_MS))
      {
        const Edit &edit = edits[node.records++];
        std::string text = R"({"schema":2,"firm":"f","pool":"m","scorer":"s","prompt":")"
                           + edit.prompt + R"(","batch_groups":)" + std::to_string (edit.groups)
                           + R"(,"group_samples":)" + std::to_string (edit.samples)
                           + R"(,"staleness_bound":)" + std::to_string (edit.bound)
                           + R"(,"paused":)" + (edit.paused ? "true" : "false") + "}";

        if (edit.deleted)
          {
            GspanFindings findings{};

            gspan_findings_init (&findings);
            gspan_records_put (&node.bench->board.records, GSPAN_RECORD_ATTACHMENT, "a",
                               node.records, nullptr, &findings);
            gspan_findings_finish (&findings);
          }
        else
          node.bench->put (GSPAN_RECORD_ATTACHMENT, "a", node.records, text.c_str ());
      }
  }

  void
  edit (const std::function<void (Edit &)> &change)
  {
    Edit next = edits.back ();

    next.at = now;
    change (next);
    edits.push_back (next);
  }

  /* Takes the node's actions over to the fakes; nothing comes back before the next moment. */
  void
  perform (size_t i)
  {
    Node &node = nodes[i];

    for (guint k = 0; k < node.bench->out.actions->len; k++)
      {
        auto *action = static_cast<GspanAction *> (g_ptr_array_index (node.bench->out.actions, k));

        switch (action->kind)
          {
          case GSPAN_ACTION_HTTP:
            take_http (i, action);
            break;
          case GSPAN_ACTION_HTTP_CANCEL:
            cancel (i, action->ref);
            break;
          case GSPAN_ACTION_OBJECT:
            take_object (i, action);
            break;
          case GSPAN_ACTION_RPC:
            take_rpc (i, action);
            break;
          case GSPAN_ACTION_RPC_REPLY:
            take_rpc_reply (action);
            break;
          case GSPAN_ACTION_REPLY:
            take_reply (i, action);
            break;
          default:
            break;
          }
      }
  }

  /* Heavy-tailed length that one seed gives on every engine. */
  static guint64
  length_of (guint64 seed)
  {
    std::minstd_rand seeded (static_cast<guint32> (seed + 1));

    seeded.discard (3);
    return seeded () % 8 == 0 ? 150 : 10 + seeded () % 30;
  }

  static std::string
  text_of (GBytes *bytes)
  {
    GspanStr text = gspan_str_from_bytes (bytes);

    return { text.data != nullptr ? text.data : "", text.len };
  }

  void
  http_done (size_t i, guint life, GspanRef ref, GspanHttpResult result, int status,
             const std::string &body, const std::string &version)
  {
    deliver (i, life, [=] {
      GspanEvent event{};
      GspanHeaders headers{};
      GBytes *bytes = g_bytes_new (body.data (), body.size ());

      gspan_headers_init (&headers);
      if (!version.empty ())
        gspan_headers_add (&headers, "X-Weight-Version", gspan_str_from (version.c_str ()));
      event.kind = GSPAN_EVENT_HTTP_DONE;
      event.ref = ref;
      event.u.http = { result, status, &headers, bytes, 1000 };
      nodes[i].bench->handle (event);
      gspan_headers_finish (&headers);
      g_bytes_unref (bytes);
    });
  }

  void
  take_http (size_t i, const GspanAction *action)
  {
    std::string url = action->u.http.url;
    std::string body = text_of (action->u.http.body);
    guint life = nodes[i].life;
    GspanRef ref = action->ref;

    broken (!action->u.http.new_connection, "reused");
    if (url.find ("/score") != std::string::npos)
      {
        bool fails = scorer_failures > 0 && scorer_failures-- > 0;
        guint64 timeout = action->u.http.timeout_us;
        bool late = scorer_delay > timeout;
        auto answer = [=] {
          if (late)
            http_done (i, life, ref, GSPAN_HTTP_TIMEOUT, 0, "", "");
          else
            http_done (i, life, ref, GSPAN_HTTP_COMPLETE, fails ? 500 : 200, R"({"reward":0.5})",
                       "");
        };
        at (late ? timeout : scorer_delay, answer);
        if (scorer_doubles)
          at (scorer_delay + 30 * GSPAN_MS, answer);
        return;
      }
    size_t number = std::stoul (url.substr (url.find (':', 8) + 1));
    Engine &engine = engines[number];

    if (now < engine.down_until)
      at (1000, [=] { http_done (i, life, ref, GSPAN_HTTP_NOT_SENT, 0, "", ""); });
    else if (url.find ("/v1/state") != std::string::npos)
      {
        std::string state = "{\"weight\":" + version_text (engine.weight, "null") + "}";
        at (1000, [=] { http_done (i, life, ref, GSPAN_HTTP_COMPLETE, 200, state, ""); });
      }
    else
      {
        json_t *root = json_loads (body.c_str (), 0, nullptr);
        guint64 seed = static_cast<guint64> (json_integer_value (json_object_get (root, "seed")));
        Run run{};

        run.id = "r" + std::to_string (book.size () + runs++);
        run.prompt = json_string_value (json_object_get (root, "prompt"));
        run.node = i;
        run.life = life;
        run.ref = ref;
        run.tokens = run.prompt == poison ? 100000 : length_of (seed);
        if (run.prompt == poison)
          at (200 * GSPAN_MS, [=] { crash (number); });
        auto &known = seeds[run.prompt];
        if (std::find (known.begin (), known.end (), seed) == known.end ())
          known.push_back (seed);
        engine.running.push_back (run);
        json_decref (root);
      }
  }

  void
  cancel (size_t i, GspanRef ref)
  {
    for (Engine &engine : engines)
      {
        auto &list = engine.running;

        list.erase (std::remove_if (list.begin (), list.end (),
                                    [&] (const Run &run) {
                                      return run.node == i && run.life == nodes[i].life
                                             && run.ref.id == ref.id;
                                    }),
                    list.end ());
      }
  }

  static std::string
  version_text (guint64 version, const char *uncertain)
  {
    return version != 0 ? std::to_string (version) : uncertain;
  }

  void
  finish_run (const Engine &engine, const Run &run)
  {
    std::string segments;

    for (const auto &[version, tokens] : run.segments)
      segments += (segments.empty () ? "" : ",") + std::string ("{\"version\":")
                  + version_text (version, "null") + ",\"tokens\":" + std::to_string (tokens) + "}";
    book[run.id] = run;
    http_done (run.node, run.life, run.ref, GSPAN_HTTP_COMPLETE, 200,
               R"({"choices":[{"text":")" + run.id
                   + R"(","finish_reason":"stop"}],"weight_segments":[)" + segments
                   + R"(],"usage":{"completion_tokens":)" + std::to_string (run.tokens) + "}}",
               version_text (engine.weight, "uncertain"));
  }

  void
  step_engine (Engine &engine)
  {
    std::vector<Run> ended;

    if (engine.swap_at != 0 && now >= engine.swap_at)
      {
        bool fails = failing_swaps > 0 && failing_swaps-- > 0;

        engine.weight = fails ? 0 : weight;
        engine.swap_at = fails ? now + 700 * GSPAN_MS : 0;
      }
    for (Run &run : engine.running)
      {
        double before = run.done;
        guint64 fresh;

        run.done = std::min (run.done + engine.tokens_per_step, static_cast<double> (run.tokens));
        fresh = static_cast<guint64> (run.done) - static_cast<guint64> (before);
        generated += fresh;
        if (run.segments.empty () || run.segments.back ().first != engine.weight)
          run.segments.emplace_back (engine.weight, 0);
        run.segments.back ().second += fresh;
        if (run.segments.back ().second == 0)
          run.segments.pop_back ();
        if (run.done >= static_cast<double> (run.tokens))
          ended.push_back (run);
      }
    engine.running.erase (std::remove_if (engine.running.begin (), engine.running.end (),
                                          [] (const Run &run) {
                                            return run.done >= static_cast<double> (run.tokens);
                                          }),
                          engine.running.end ());
    for (const Run &run : ended)
      finish_run (engine, run);
  }

  void
  crash (size_t number)
  {
    Engine &engine = engines[number];

    crashes++;
    for (const Run &run : engine.running)
      http_done (run.node, run.life, run.ref, GSPAN_HTTP_LOST, 0, "", "");
    engine.running.clear ();
    engine.down_until = now + GSPAN_SECOND;
  }

  void
  take_object (size_t i, const GspanAction *action)
  {
    std::string path = action->u.object.path;
    guint life = nodes[i].life;
    GspanRef ref = action->ref;
    GspanObjectResult result = GSPAN_OBJECT_OK;

    if (path.rfind ("lease/", 0) != 0 && path.rfind ("status/", 0) != 0)
      return;
    auto &object = objects[path];
    bool lost = lost_answers > 0 && lost_answers-- > 0;
    bool done = !lost || draw (2) == 0;

    if (now < outage_until)
      result = GSPAN_OBJECT_UNAVAILABLE;
    else if (action->u.object.op == GSPAN_OBJECT_GET)
      result = object.first == 0 ? GSPAN_OBJECT_MISSING : GSPAN_OBJECT_OK;
    else if (action->u.object.revision != object.first)
      result = GSPAN_OBJECT_CONFLICT;
    else if (done)
      object = { object.first + 1, text_of (action->u.object.body) };
    if (lost && now >= outage_until)
      result = GSPAN_OBJECT_UNKNOWN;
    guint64 version = object.first;
    std::string body = object.second;
    at (2 * GSPAN_MS, [=] {
      deliver (i, life, [=] { nodes[i].bench->object_done (ref, result, version, body); });
    });
  }

  struct Call
  {
    size_t node;
    guint life;
    GspanRef ref;
  };
  std::map<guint64, Call> calls;
  guint64 next_call = 0;
  guint64 runs = 0;

  void
  rpc_done (guint64 number, GspanRpcResult result, const std::string &payload)
  {
    auto found = calls.find (number);

    if (found == calls.end ())
      return;
    Call call = found->second;
    calls.erase (found);
    deliver (call.node, call.life, [=] {
      GspanEvent event{};

      event.kind = GSPAN_EVENT_RPC_DONE;
      event.ref = call.ref;
      event.u.rpc.result = result;
      event.u.rpc.payload = { payload.data (), payload.size () };
      nodes[call.node].bench->handle (event);
    });
  }

  void
  rpc_call (size_t to, guint64 number, guint32 proc, const std::string &payload)
  {
    if (!nodes[to].alive)
      {
        rpc_done (number, GSPAN_RPC_NOT_SENT, "");
        return;
      }
    deliver (to, nodes[to].life, [=] {
      GspanEvent event{};

      event.kind = GSPAN_EVENT_RPC_CALL;
      event.u.rpc.call = number;
      event.u.rpc.proc = proc;
      event.u.rpc.payload = { payload.data (), payload.size () };
      nodes[to].bench->handle (event);
    });
  }

  void
  take_rpc (size_t i, const GspanAction *action)
  {
    guint64 number = ++next_call;
    guint32 proc = action->u.rpc.proc;
    std::string payload = text_of (action->u.rpc.payload);
    size_t to = std::stoul (std::string (action->u.rpc.address).substr (10)) - 1;

    calls[number] = { i, nodes[i].life, action->ref };
    at (1000, [=] { rpc_call (to, number, proc, payload); });
    at (action->u.rpc.timeout_us, [=] { rpc_done (number, GSPAN_RPC_LOST, ""); });
    if (doubled_calls > 0 && doubled_calls-- > 0)
      {
        guint64 second = ++next_call;
        at (GSPAN_SECOND + draw (8) * GSPAN_SECOND, [=] { rpc_call (to, second, proc, payload); });
      }
  }

  void
  take_rpc_reply (const GspanAction *action)
  {
    guint64 number = action->u.rpc.call;
    std::string payload = text_of (action->u.rpc.payload);

    at (1000, [=] { rpc_done (number, GSPAN_RPC_OK, payload); });
  }

  void
  pull ()
  {
    std::vector<size_t> entries;
    std::string body = R"({"attachment":"a","weight":)" + std::to_string (weight) + R"(,"cursor":")"
                       + cursor + "\"}";

    for (size_t i = 0; i < nodes.size (); i++)
      if (nodes[i].entry && nodes[i].alive)
        entries.push_back (i);
    pull_at = now + 30 * GSPAN_SECOND;
    if (entries.empty ())
      return;
    size_t entry = entries[draw (entries.size ())];
    guint64 id = ++next_request;
    guint life = nodes[entry].life;

    request = id;
    at (1000, [=] {
      deliver (entry, life, [=] { nodes[entry].bench->request (id, "/v1/pull", body); });
    });
  }

  void
  take_reply (size_t i, const GspanAction *action)
  {
    std::string body = text_of (action->u.reply.body);
    guint64 id = action->u.reply.request;
    int status = action->u.reply.status;
    guint64 records = nodes[i].records;

    at (1000, [=] {
      if (id != request)
        return;
      request = 0;
      pull_at = now + 200 * GSPAN_MS;
      if (status == 200)
        take_batch (body, records);
    });
  }

  void
  broken (bool condition, const char *what)
  {
    if (condition)
      violations.insert (what);
  }

  /* Staleness bound and prompts that an answer may follow: the entry's record or a newer one. */
  void
  check_sample (json_t *sample, guint64 records)
  {
    std::string text = json_string_value (json_object_get (sample, "text"));
    std::string prompt = json_string_value (json_object_get (sample, "prompt"));
    json_t *segments = json_object_get (sample, "segments");
    const Run &run = book[text];
    guint64 bound = 0;
    guint64 oldest = G_MAXUINT64;
    bool known = false;
    bool equal = json_array_size (segments) == run.segments.size ();

    for (size_t k = records - 1; k < edits.size (); k++)
      {
        bound = std::max (bound, edits[k].bound);
        known |= prompt.rfind (edits[k].prompt + " ", 0) == 0;
      }
    for (size_t k = 0; k < run.segments.size (); k++)
      {
        json_t *segment = json_array_get (segments, k);

        equal = equal
                && static_cast<guint64> (json_integer_value (json_object_get (segment, "version")))
                       == run.segments[k].first
                && static_cast<guint64> (json_integer_value (json_object_get (segment, "tokens")))
                       == run.segments[k].second;
        oldest = std::min (oldest, run.segments[k].first);
      }
    broken (!equal, "label");
    broken (oldest == 0, "uncertain");
    broken (oldest + bound < weight, "stale");
    broken (run.prompt != prompt || !known, "prompt");
    lengths.push_back (run.tokens);
  }

  void
  check_cursor ()
  {
    GspanCursor parsed{};
    std::set<std::string> groups;

    gspan_cursor_init (&parsed);
    broken (!gspan_cursor_parse (&parsed, "a", gspan_str_from (cursor.c_str ()), nullptr),
            "cursor");
    for (const std::string &id : taken)
      groups.insert (id.substr (0, id.rfind ('/')));
    for (guint64 group = 0; group < parsed.next_group; group++)
      broken (gspan_cursor_wants (&parsed, group)
                  == (groups.count ("a/" + std::to_string (group)) > 0),
              "missing");
    gspan_cursor_finish (&parsed);
  }

  void
  take_batch (const std::string &body, guint64 records)
  {
    json_t *batch = json_loads (body.c_str (), 0, nullptr);
    json_t *samples = json_object_get (batch, "samples");
    std::map<json_int_t, std::set<json_int_t>> groups;
    json_t *sample;
    size_t index;

    if ((cursor.empty () ? "a:0:0:" : cursor)
        != json_string_value (json_object_get (batch, "after")))
      {
        violations.insert ("crossed");
        json_decref (batch);
        return;
      }
    json_array_foreach (samples, index, sample)
    {
      std::string id = json_string_value (json_object_get (sample, "id"));

      broken (!seen.insert (id).second, "twice");
      taken.push_back (id);
      groups[json_integer_value (json_object_get (sample, "group"))].insert (
          json_integer_value (json_object_get (sample, "index")));
      check_sample (sample, records);
    }
    for (const auto &[group, members] : groups)
      {
        bool whole = false;

        for (size_t k = records - 1; k < edits.size (); k++)
          whole |= members.size () == edits[k].samples;
        broken (!whole, "partial");
      }
    cursor = json_string_value (json_object_get (batch, "cursor"));
    checkpoints.push_back ({ cursor, weight, taken.size () });
    json_decref (batch);
    batches++;
    if (batches < CHECKED_BATCHES || batches % CHECKED_BATCHES == 0)
      check_cursor ();
    last_idle = now - asked_at;
    idle += last_idle;
    pull_at = 0;
    guint64 life = trainer_life;
    at (train, [=] {
      if (life == trainer_life)
        publish ();
    });
  }

  guint64 trainer_life = 0;

  void
  publish ()
  {
    weight++;
    for (Engine &engine : engines)
      engine.swap_at = now + 50 * GSPAN_MS + draw (400) * GSPAN_MS;
    asked_at = now;
    pull_at = now;
  }

  /* Kills the trainer and restores it from its last checkpoint but BACK. */
  void
  restore (size_t back)
  {
    trainer_life++;
    request = 0;
    while (back-- > 0 && checkpoints.size () > 1)
      checkpoints.pop_back ();
    if (!checkpoints.empty ())
      {
        cursor = checkpoints.back ().cursor;
        weight = std::max (weight, checkpoints.back ().weight);
        taken.resize (checkpoints.back ().samples);
        seen = { taken.begin (), taken.end () };
      }
    publish ();
  }

  void
  step ()
  {
    now += STEP;
    while (!agenda.empty () && agenda.begin ()->first <= now)
      {
        auto what = std::move (agenda.begin ()->second);
        agenda.erase (agenda.begin ());
        what ();
      }
    if (pull_at != 0 && now >= pull_at)
      pull ();
    for (Engine &engine : engines)
      step_engine (engine);
    for (size_t i = 0; i < nodes.size (); i++)
      {
        Node &node = nodes[i];

        if (!node.alive || now < node.paused_until)
          continue;
        while (!node.held.empty () && node.alive)
          {
            auto what = std::move (node.held.front ());
            node.held.pop_front ();
            deliver (i, node.life, what);
          }
        apply_edits (i, false);
        node.bench->now = now;
        node.bench->tick (0);
        perform (i);
      }
  }

  void
  run (guint64 duration)
  {
    for (guint64 end = now + duration; now < end;)
      step ();
  }

  /* Runs until COUNT more batches are taken; false where that takes longer than LIMIT. */
  bool
  run_batches (guint64 count, guint64 limit = 60 * GSPAN_SECOND)
  {
    guint64 goal = batches + count;

    for (guint64 end = now + limit; now < end && batches < goal;)
      step ();
    return batches >= goal;
  }

  std::string
  report () const
  {
    std::string text;

    for (const std::string &what : violations)
      text += (text.empty () ? "" : " ") + what;
    return text;
  }

  /* The owner in charge: whose lease is held; the count of nodes where there is none. */
  size_t
  owner () const
  {
    for (size_t i = 0; i < nodes.size (); i++)
      {
        if (!nodes[i].alive || nodes[i].entry)
          continue;
        const GspanLeases &leases = nodes[i].bench->board.leases;
        for (guint k = 0; k < leases.items->len; k++)
          if (gspan_lease_held (static_cast<GspanLease *> (g_ptr_array_index (leases.items, k)),
                                now))
            return i;
      }
    return nodes.size ();
  }
};

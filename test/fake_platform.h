#pragma once

#include "test/bench.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

/* Object API in memory: versions of one rising revision, conditional writes, deletion. */
class FakePlatform
{
public:
  struct Object
  {
    guint64 version;
    std::string body;
  };

  std::map<std::string, Object> objects;
  std::map<std::string, std::string> documents; /* answers of FETCH by path */
  guint64 revision = 0;

  struct Answer
  {
    GspanObjectResult result = GSPAN_OBJECT_UNAVAILABLE;
    guint64 revision = 0;
    std::string body = "{}";
  };

  Answer
  apply (GspanObjectOp op, const std::string &path, guint64 expect, const std::string &body)
  {
    auto found = objects.find (path);

    if (op == GSPAN_OBJECT_FETCH)
      {
        auto document = documents.find (path);

        if (document == documents.end ())
          return { GSPAN_OBJECT_MISSING, 0, "{}" };
        return { GSPAN_OBJECT_OK, 0, document->second };
      }
    if (op == GSPAN_OBJECT_GET && found == objects.end ())
      return { GSPAN_OBJECT_MISSING, revision, "{}" };
    if (op == GSPAN_OBJECT_GET)
      return { GSPAN_OBJECT_OK, found->second.version, found->second.body };
    if (op != GSPAN_OBJECT_PUT)
      return {};
    if (expect != (found != objects.end () ? found->second.version : 0))
      return { GSPAN_OBJECT_CONFLICT, 0, "{}" };
    objects[path] = { ++revision, body };
    return { GSPAN_OBJECT_OK, revision, "{}" };
  }

  void
  remove (const std::string &path)
  {
    if (objects.erase (path) > 0)
      revision++;
  }
};

/* What becomes of one call to the platform. */
enum class Fate
{
  WHOLE,
  REFUSED,     /* surely not done */
  NOT_LANDED,  /* answer lost, not done */
  LANDED,      /* answer lost, done */
  LANDED_LATE, /* answer lost, done seconds later */
};

/* Boards around one fake platform under one virtual clock; each call meets a fate drawn by SEED. */
class Boards
{
public:
  struct Call
  {
    guint64 land_at; /* 0 is never */
    guint64 answer_at;
    GspanRef ref;
    GspanObjectOp op;
    std::string path;
    guint64 expect;
    std::string body;
    Fate fate;
    FakePlatform::Answer answer;
    bool landed;
  };

  struct Node
  {
    std::string name;
    std::unique_ptr<Bench> bench;
    std::vector<Call> calls;
    guint64 paused_until = 0;
    guint64 clock_percent = 100; /* speed of its clock */
  };

  FakePlatform platform;
  std::vector<std::unique_ptr<Node>> nodes;
  std::mt19937 random;
  guint64 now = 1000 * GSPAN_SECOND;
  guint64 outage_until = 0;
  unsigned fault_percent = 0;
  std::function<void (Node &)> on_start = [] (Node &) {};
  std::function<void (Node &, const GspanAction &)> on_action = [] (Node &, const GspanAction &) {};

  explicit Boards (guint32 seed) : random (seed)
  {
  }

  guint64
  draw (guint64 limit)
  {
    return limit > 0 ? random () % limit : 0;
  }

  void
  add (const std::string &name)
  {
    nodes.push_back (std::make_unique<Node> ());
    nodes.back ()->name = name;
    start (*nodes.back ());
  }

  /* A new process of that name: nothing of the old one's memory or open calls is left. */
  void
  start (Node &node)
  {
    node.bench = std::make_unique<Bench> (node.name.c_str (), (guint32)random ());
    for (Call &call : node.calls)
      call.answer_at = G_MAXUINT64;
    on_start (node);
  }

  void
  handle (Node &node, const std::function<void (Bench &)> &what)
  {
    node.bench->now = clock_of (node);
    what (*node.bench);
    for (guint i = 0; i < node.bench->out.actions->len; i++)
      {
        auto *action = static_cast<GspanAction *> (g_ptr_array_index (node.bench->out.actions, i));

        if (action->kind == GSPAN_ACTION_OBJECT)
          send (node, *action);
        on_action (node, *action);
      }
  }

  guint64
  clock_of (const Node &node) const
  {
    return 1000 * GSPAN_SECOND + (now - 1000 * GSPAN_SECOND) * node.clock_percent / 100;
  }

  void
  step ()
  {
    now += 20 * GSPAN_MS;
    for (auto &node : nodes)
      land (*node);
    for (auto &node : nodes)
      {
        bool tick_first = draw (2) == 0;

        if (now < node->paused_until)
          continue;
        if (tick_first)
          handle (*node, [] (Bench &bench) { bench.tick (0); });
        answer (*node);
        if (!tick_first)
          handle (*node, [] (Bench &bench) { bench.tick (0); });
      }
  }

  void
  run (
      guint64 length, const std::function<void ()> &check = [] () {})
  {
    for (guint64 end = now + length; now < end;)
      {
        step ();
        check ();
      }
  }

private:
  void
  send (Node &node, const GspanAction &action)
  {
    GspanStr text = gspan_str_from_bytes (action.u.object.body);
    bool writes = action.u.object.op == GSPAN_OBJECT_PUT;
    bool faulty = now < outage_until || draw (100) < fault_percent;
    Fate fate = Fate::WHOLE;
    guint64 land_at = now + draw (20 * GSPAN_MS);

    if (faulty)
      fate = static_cast<Fate> (1 + draw (writes ? 4 : 1));
    if (now < outage_until && fate == Fate::LANDED)
      fate = Fate::NOT_LANDED;
    if (fate == Fate::REFUSED || fate == Fate::NOT_LANDED)
      land_at = 0;
    if (fate == Fate::LANDED_LATE)
      land_at = now + draw (8 * GSPAN_SECOND);
    node.calls.push_back ({ land_at,
                            now + 20 * GSPAN_MS + draw (faulty ? GSPAN_SECOND : 20 * GSPAN_MS),
                            action.ref,
                            action.u.object.op,
                            action.u.object.path,
                            action.u.object.revision,
                            { text.data != nullptr ? text.data : "", text.len },
                            fate,
                            {},
                            false });
  }

  void
  land (Node &node)
  {
    for (Call &call : node.calls)
      {
        if (call.landed || call.land_at == 0 || now < call.land_at)
          continue;
        call.landed = true;
        call.answer = platform.apply (call.op, call.path, call.expect, call.body);
      }
  }

  void
  answer (Node &node)
  {
    std::vector<Call> due;
    std::vector<Call> open;

    for (Call &call : node.calls)
      {
        if (call.answer_at <= now)
          due.push_back (call);
        if (call.answer_at <= now && call.land_at != 0 && !call.landed)
          call.answer_at = G_MAXUINT64;
        if (call.answer_at > now && (call.answer_at != G_MAXUINT64 || !call.landed))
          open.push_back (call);
      }
    node.calls = open;
    for (const Call &call : due)
      {
        FakePlatform::Answer got = call.answer;

        if (call.fate == Fate::REFUSED)
          got = { GSPAN_OBJECT_UNAVAILABLE, 0, "{}" };
        else if (call.fate != Fate::WHOLE)
          got = { GSPAN_OBJECT_UNKNOWN, 0, "{}" };
        handle (node, [&] (Bench &bench) {
          bench.object_done (call.ref, got.result, got.revision, got.body);
        });
      }
  }
};

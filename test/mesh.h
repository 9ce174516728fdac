#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "test/bench.h"

/*
 * Several boards under one virtual clock, with a fake platform and a fake network between them that
 * can lose, double and delay datagrams, be cut, and have its processes killed and paused.
 */
class Mesh
{
public:
  struct Node
  {
    std::string name, zone, udp, rpc, seeds;
    std::unique_ptr<Bench> bench;
    bool up = false;
    bool paused = false;
    bool platform_cut = false;
    bool rpc_cut = false; /* calls to it get no answer, datagrams do */
    int side = 0;         /* nodes of different sides don't reach each other */
    int life = 0;         /* number of the process's start */
    guint64 sent = 0, sent_bytes = 0;
    std::map<std::string, guint64> in_force; /* highest seen, to find what went back */
  };

  guint64 now = 1000 * GSPAN_SECOND;
  std::vector<std::unique_ptr<Node>> nodes;
  bool outage = false;
  double loss = 0, doubles = 0;
  guint64 calls = 0;              /* of the platform */
  std::set<std::string> unlisted; /* names that the list of VMs lacks */
  std::set<std::pair<int, int>> cut_links;
  bool went_back = false;
  std::map<std::string, std::string> written; /* status objects */

  explicit Mesh (int count, int zones = 1, unsigned seed = 1) : random (seed)
  {
    for (int i = 0; i < count; i++)
      add (zones);
  }

  ~Mesh ()
  {
    for (auto &node : nodes)
      stop (*node);
  }

  Node &
  add (int zones = 1)
  {
    auto node = std::make_unique<Node> ();
    std::string number = std::to_string (nodes.size ());

    node->name = "vm-" + number;
    node->zone = "zone-" + std::to_string (static_cast<int> (nodes.size ()) % zones);
    node->udp = "udp:" + number;
    node->rpc = "rpc:" + number;
    node->seeds = "udp:0,udp:1";
    nodes.push_back (std::move (node));
    start (*nodes.back ());
    return *nodes.back ();
  }

  void
  start (Node &node)
  {
    node.bench = std::make_unique<Bench> (node.name.c_str (), random ());
    node.bench->board.self.zone = node.zone.c_str ();
    node.bench->board.self.udp = node.udp.c_str ();
    node.bench->board.self.rpc = node.rpc.c_str ();
    node.bench->board.self.seeds = node.seeds.c_str ();
    node.bench->board.follow.listed = false;
    node.bench->board.vms.has_list = false;
    node.up = true;
    node.life++;
    node.in_force.clear ();
  }

  void
  stop (Node &node)
  {
    node.up = false;
    node.bench.reset ();
  }

  /* Writes a route record; an empty service deletes it. */
  guint64
  write (const std::string &name, const std::string &service)
  {
    std::string value = R"({"schema":2,"firm":"p","service":")" + service + "\"}";

    objects["route/" + name] = { ++revision, service.empty () ? "null" : value };
    return revision;
  }

  void
  run (double seconds)
  {
    guint64 end = now + static_cast<guint64> (seconds * GSPAN_SECOND);

    while (now < end)
      {
        now += 50 * GSPAN_MS;
        while (!queue.empty () && queue.begin ()->first <= now)
          {
            auto task = std::move (queue.begin ()->second);

            queue.erase (queue.begin ());
            task ();
          }
        answer_watches ();
        for (auto &node : nodes)
          if (node->up && !node->paused)
            {
              node->bench->now = now;
              node->bench->tick (0);
              after (*node);
            }
      }
  }

  std::string
  service (const Node &node, const char *name) const
  {
    const GspanRecord *record
        = gspan_records_find (&node.bench->board.records, GSPAN_RECORD_ROUTE, name);

    return record != nullptr ? record->u.route.service : "";
  }

  /* Names of running nodes where NAME is not as wanted. */
  std::string
  lacking (const char *name, const std::string &wanted) const
  {
    std::string names;

    for (const auto &node : nodes)
      if (node->up && service (*node, name) != wanted)
        names += node->name + " ";
    return names;
  }

  /* Running nodes that hold the node called NAME to be in STATE. */
  int
  count_state (const std::string &name, gspan_member_state state) const
  {
    int count = 0;

    for (const auto &node : nodes)
      if (node->up)
        {
          const GspanMember *member
              = gspan_members_find (&node->bench->board.members, name.c_str ());

          count += member != nullptr && member->state == state;
        }
    return count;
  }

private:
  struct Object
  {
    guint64 version;
    std::string value;
  };
  struct Watch
  {
    Node *node;
    int life;
    GspanRef ref;
    guint64 since, until;
  };
  struct Call
  {
    Node *node, *callee;
    int life;
    GspanRef ref;
  };

  std::mt19937 random;
  std::multimap<guint64, std::function<void ()>> queue;
  std::map<std::string, Object> objects;
  std::vector<Watch> watches;
  std::map<guint64, Call> open_calls;
  guint64 revision = 1, next_call = 0;

  bool
  chance (double share)
  {
    return std::uniform_real_distribution<> (0, 1) (random) < share;
  }

  void
  later (guint64 delay, std::function<void ()> task)
  {
    queue.emplace (now + delay, std::move (task));
  }

  bool
  reaches (const Node &a, const Node &b) const
  {
    int x = index (a), y = index (b);

    return a.side == b.side && cut_links.count ({ std::min (x, y), std::max (x, y) }) == 0;
  }

  int
  index (const Node &node) const
  {
    return std::stoi (node.name.substr (3));
  }

  /* Hands EVENT to the node; one that is paused gets it when it goes on. */
  void
  deliver (Node &node, int life, GspanEvent event, const std::string &payload)
  {
    if (!node.up || node.life != life)
      return;
    if (node.paused)
      {
        later (50 * GSPAN_MS, [=, &node] { deliver (node, life, event, payload); });
        return;
      }
    if (event.kind == GSPAN_EVENT_DATAGRAM)
      event.u.datagram.payload = { payload.data (), payload.size () };
    else
      event.u.rpc.payload = { payload.data (), payload.size () };
    node.bench->now = now;
    node.bench->handle (event);
    after (node);
  }

  void
  answer_object (Node &node, int life, GspanRef ref, GspanObjectResult result, guint64 at,
                 const std::string &body)
  {
    later (2 * GSPAN_MS, [=, &node] {
      if (!node.up || node.life != life)
        return;
      node.bench->now = now;
      node.bench->object_done (ref, result, at, body);
      after (node);
    });
  }

  std::string
  describe (guint64 since, bool deleted) const
  {
    std::string text;

    for (const auto &[path, object] : objects)
      if (object.version > since && (deleted || object.value != "null"))
        text += (text.empty () ? "" : ",") + (R"({"kind":"route","name":")" + path.substr (6))
                + R"(","version":)" + std::to_string (object.version) + R"(,"value":)"
                + object.value + "}";
    return R"({"objects":[)" + text + "]}";
  }

  std::string
  list_vms () const
  {
    std::string text;

    for (const auto &node : nodes)
      if (unlisted.count (node->name) == 0)
        text += std::string (text.empty () ? "" : ",")
                + (R"({"service":"gspan","state":"live","name":")") + node->name + R"(","zone":")"
                + node->zone + R"(","address":")" + node->udp + R"(","rpc":")" + node->rpc + "\"}";
    return R"({"vms":[)" + text + "]}";
  }

  void
  answer_watches ()
  {
    std::vector<Watch> open = std::move (watches);

    watches.clear ();
    for (const Watch &watch : open)
      {
        std::string body = describe (watch.since, true);

        if (outage || watch.node->platform_cut)
          answer_object (*watch.node, watch.life, watch.ref, GSPAN_OBJECT_UNAVAILABLE, 0, "");
        else if (body != R"({"objects":[]})" || now >= watch.until)
          answer_object (*watch.node, watch.life, watch.ref, GSPAN_OBJECT_OK, revision, body);
        else
          watches.push_back (watch);
      }
  }

  void
  do_object (Node &node, const GspanAction *action)
  {
    const GspanActionObject &object = action->u.object;
    int life = node.life;

    calls++;
    if (outage || node.platform_cut)
      return answer_object (node, life, action->ref, GSPAN_OBJECT_UNAVAILABLE, 0, "");
    switch (object.op)
      {
      case GSPAN_OBJECT_LIST:
        return answer_object (node, life, action->ref, GSPAN_OBJECT_OK, revision,
                              describe (0, false));
      case GSPAN_OBJECT_WATCH:
        watches.push_back ({ &node, life, action->ref, object.revision, now + 10 * GSPAN_SECOND });
        return;
      case GSPAN_OBJECT_FETCH:
        return answer_object (node, life, action->ref, GSPAN_OBJECT_OK, 0, list_vms ());
      case GSPAN_OBJECT_PUT:
        written[object.path]
            = { static_cast<const char *> (g_bytes_get_data (object.body, nullptr)),
                g_bytes_get_size (object.body) };
        return answer_object (node, life, action->ref, GSPAN_OBJECT_OK, ++revision, "{}");
      case GSPAN_OBJECT_GET:
        return answer_object (node, life, action->ref, GSPAN_OBJECT_MISSING, 0, "");
      }
  }

  void
  finish_call (guint64 id, GspanRpcResult result, const std::string &payload)
  {
    auto found = open_calls.find (id);
    GspanEvent event{};

    if (found == open_calls.end ())
      return;
    event.kind = GSPAN_EVENT_RPC_DONE;
    event.ref = found->second.ref;
    event.u.rpc.result = result;
    Call call = found->second;
    open_calls.erase (found);
    deliver (*call.node, call.life, event, payload);
  }

  void
  do_call (Node &node, const GspanAction *action)
  {
    Node &callee = *nodes.at (std::stoul (action->u.rpc.address + 4));
    guint64 id = ++next_call;
    GspanEvent event{};

    open_calls[id] = { &node, &callee, node.life, action->ref };
    later (action->u.rpc.timeout_us, [=] { finish_call (id, GSPAN_RPC_LOST, ""); });
    if (!callee.up)
      later (2 * GSPAN_MS, [=] { finish_call (id, GSPAN_RPC_NOT_SENT, ""); });
    if (!callee.up || callee.rpc_cut || !reaches (node, callee))
      return;
    event.kind = GSPAN_EVENT_RPC_CALL;
    event.u.rpc.call = id;
    event.u.rpc.proc = action->u.rpc.proc;
    std::string payload = text_of (action->u.rpc.payload);
    later (2 * GSPAN_MS,
           [=, &callee, life = callee.life] { deliver (callee, life, event, payload); });
  }

  void
  do_reply (Node &node, const GspanAction *action)
  {
    guint64 id = action->u.rpc.call;
    std::string payload = text_of (action->u.rpc.payload);

    if (open_calls.count (id) != 0 && reaches (node, *open_calls[id].node))
      later (2 * GSPAN_MS, [=] { finish_call (id, GSPAN_RPC_OK, payload); });
  }

  void
  do_datagram (Node &node, const GspanAction *action)
  {
    Node &peer = *nodes.at (std::stoul (action->u.datagram.address + 4));
    std::string payload = text_of (action->u.datagram.payload);
    GspanEvent event{};

    node.sent++;
    node.sent_bytes += payload.size ();
    event.kind = GSPAN_EVENT_DATAGRAM;
    for (int copies = chance (doubles) ? 2 : 1; copies > 0; copies--)
      if (peer.up && reaches (node, peer) && !chance (loss))
        later (random () % (100 * GSPAN_MS),
               [=, &peer, life = peer.life] { deliver (peer, life, event, payload); });
  }

  static std::string
  text_of (GBytes *bytes)
  {
    GspanStr text = gspan_str_from_bytes (bytes);

    return text.len > 0 ? std::string (text.data, text.len) : std::string ();
  }

  /* Does what the node's last event asked for. */
  void
  after (Node &node)
  {
    for (GspanAction *action : node.bench->actions (GSPAN_ACTION_OBJECT))
      do_object (node, action);
    for (GspanAction *action : node.bench->actions (GSPAN_ACTION_RPC))
      do_call (node, action);
    for (GspanAction *action : node.bench->actions (GSPAN_ACTION_RPC_REPLY))
      do_reply (node, action);
    for (GspanAction *action : node.bench->actions (GSPAN_ACTION_DATAGRAM))
      do_datagram (node, action);
    check_in_force (node);
  }

  void
  check_in_force (Node &node)
  {
    for (const auto &[path, object] : objects)
      {
        const GspanRecordState *state
            = gspan_records_state (&node.bench->board.records, path.c_str ());
        guint64 version = state != nullptr ? state->in_force : 0;

        went_back |= version < node.in_force[path];
        node.in_force[path] = version;
      }
  }
};

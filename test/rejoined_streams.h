#pragma once

#include "test/node_world.h"

/*
 * All nodes die at once and come back; callers take their streams up. A stream goes on at the
 * software version that began it, or is refused; it is never joined from two.
 */
class RejoinedStreams : public NodeTest
{
protected:
  std::map<std::string, std::string> began; /* attempt to the version of its replica */
  guint64 next_request = 100;
  unsigned joined = 0;
  unsigned gone_on = 0;
  unsigned refused = 0;
  static constexpr unsigned RECORD_WAIT_MS = 420; /* until a stream begins, recorded or not */

  /* Replica d1 of the desk's service runs v1, replica d2 what SECOND says; nothing is no replica.
   */
  void
  start (unsigned nodes, const char *second = "v2", const char *type = "streaming")
  {
    start_nodes (nodes);
    world.put ("config", "main", config_spec (4, type).c_str ());
    world.run (2 * GSPAN_SECOND);
    put_second (second);
  }

  /* A fleet's first start, with replica d1 alone; the nodes have just become ready. */
  void
  start_fleet (unsigned nodes)
  {
    world.put ("config", "main", config_spec (4, "streaming").c_str ());
    world.put ("servers", "d1", replica_spec ("desk", 1, 0).c_str ());
    for (unsigned i = 0; i < nodes; i++)
      world.add ("vm-" + std::to_string (i + 1));
    for (unsigned i = 0; i < 300 && !all_know ("d1"); i++)
      world.run (10 * GSPAN_MS);
  }

  void
  put_second (const char *software, guint64 run_us = 2 * GSPAN_SECOND)
  {
    std::string spec = replica_spec ("desk", 2, 0);

    spec.replace (spec.find ("\"v1\""), 4, std::string ("\"") + software + "\"");
    spec.replace (spec.find ("\"born\":1"), 8, "\"born\":" + std::to_string (world.now));
    if (software[0] == '\0')
      world.remove ("servers", "d2");
    else
      world.put ("servers", "d2", spec.c_str ());
    world.run (run_us);
  }

  bool
  all_know (const char *replica) const
  {
    return std::all_of (world.rigs.begin (), world.rigs.end (), [=] (const auto &rig) {
      return g_hash_table_contains (rig->node.catalog.replicas, replica);
    });
  }

  std::string
  version_at (const Exchange &exchange) const
  {
    const char *name = exchange.url.find ("10.0.0.1:80") != std::string::npos ? "d1" : "d2";
    auto entry = world.objects.at ("servers").find (name);

    if (entry == world.objects.at ("servers").end ())
      return "gone";
    return json_string_value (json_object_get (entry->second.spec, "version"));
  }

  guint64
  send_stream (Rig &rig, const std::string &attempt, unsigned last_event = 0,
               const std::string &resumes = "")
  {
    std::vector<std::string> headers
        = { "Host: a.example", "X-Attempt-Id: " + attempt, "X-Deadline-Ms: 800" };

    if (last_event > 0)
      headers.push_back ("Last-Event-Id: " + std::to_string (last_event));
    if (!resumes.empty ())
      headers.push_back ("Resumes: " + resumes);
    rig.request (next_request, "POST", "/desk/s", headers, "hello " + attempt);
    return next_request++;
  }

  /* The request of ATTEMPT is the last that has left RIG. */
  static bool
  is_sent (const Rig &rig, const std::string &attempt)
  {
    return !rig.exchanges.empty () && rig.exchanges.back ().body == "hello " + attempt;
  }

  void
  begin_streams (unsigned count, guint64 pause_us = 30 * GSPAN_MS)
  {
    for (unsigned i = 0; i < count; i++)
      {
        Rig &rig = *world.rigs[i % world.rigs.size ()];
        std::string attempt = "a" + std::to_string (next_request);
        send_stream (rig, attempt);
        for (unsigned wait = 0; wait < RECORD_WAIT_MS / 10 && !is_sent (rig, attempt); wait++)
          world.run (10 * GSPAN_MS);
        ASSERT_TRUE (is_sent (rig, attempt));
        Exchange exchange = rig.exchanges.back ();
        began[attempt] = version_at (exchange);
        rig.http_head (exchange, 200, stream_head (1));
        rig.http_data (exchange, 200, stream_head (1), sse (1));
        rig.http_data (exchange, 200, stream_head (1), sse (2));
        world.run (pause_us);
      }
  }

  /* Takes all streams up, each at some node, and counts what becomes of them. */
  void
  take_up ()
  {
    for (const auto &stream : began)
      {
        Rig &rig = *world.rigs[next_request % world.rigs.size ()];
        size_t open = rig.exchanges.size ();
        guint64 id = send_stream (rig, "b" + std::to_string (next_request), 2, stream.first);
        for (unsigned i = 0;
             i < 70 && response_to (rig, id) == nullptr && rig.exchanges.size () == open; i++)
          world.run (10 * GSPAN_MS);
        if (response_to (rig, id) != nullptr)
          {
            EXPECT_EQ (response_to (rig, id)->status, 503) << stream.first;
            EXPECT_TRUE (response_to (rig, id)->has ("Retry-After"));
            refused++;
            continue;
          }
        ASSERT_GT (rig.exchanges.size (), open) << stream.first;
        Exchange exchange = rig.exchanges.back ();
        EXPECT_EQ (exchange.header ("Last-Event-Id"), "2");
        joined += version_at (exchange) != stream.second;
        gone_on += version_at (exchange) == stream.second;
        rig.http_head (exchange, 200, stream_head (1));
        rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
      }
  }

  /* All nodes die at once and start again, then all streams are taken up. */
  void
  die_and_take_up ()
  {
    world.restart_all ();
    world.run (2 * GSPAN_SECOND);
    take_up ();
  }

  unsigned
  count_calls (const std::string &kind) const
  {
    unsigned count = 0;

    for (const auto &calls : world.call_counts)
      if (g_str_has_suffix (calls.first.c_str (), (" " + kind).c_str ()))
        count += calls.second;
    return count;
  }
};

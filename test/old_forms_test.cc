#include "test/node_world.h"

#include <set>

/*
 * Builds run side by side while VMs are replaced, and may be rolled back. What stands here is what
 * build 53a695b writes: this one reads it, and writes nothing that lacks a part of it.
 */

static const char old_head[] = R"({"host":"a.example","path":"/batch/j1","owner":"vm-9","parts":1,)"
                               R"("total":3,"received_ms":1700000000000})";
static const char old_segment[] = R"({"first":0,"results":[{"item":"i0","completed":true,)"
                                  R"("text":"d1\nd2","versions":[1]}]})";
static const char old_checkpoint[] = R"({"items":[{"item":"i1","completed":false,"text":"d1\nd2",)"
                                     R"("versions":[1],"software":"v1","events":2}]})";
static const char old_checkpoint_of_errors[]
    = R"({"items":[{"item":"i1","text":"","events":0,"errors":2,"reward_errors":1}]})";
static const char old_peer[] = R"({"udp":"10.1.0.9:7000","zone":"bratislava",)"
                               R"("relay":"10.1.0.9:7001","relay_key":"secret"})";
static const char old_verdict[] = R"({"until_ms":1700000060000,"by":"vm-9"})";
static const char old_lease[] = R"({"holder":"vm-9","fence":7,"renewal":40,"start":123456789,)"
                                R"("orders":false,"quiet_us":9000000})";

static const char old_feed[]
    = R"({"kind":"feed","format":1,"age_us":2000,"config":9,"nodes":12,"verdicts":0,"from":10,)"
      R"("to":14,"changes":[{"name":"d1","revision":14,"spec":{"service":"desk","address":)"
      R"("10.0.0.1:80","zone":"bratislava","version":"v1","slots":4,"state":"draining",)"
      R"("coldLeftMs":0,"models":[],"seqNo":5,"born":1}},{"name":"d2","revision":14,"spec":null}],)"
      R"("lease":{"holder":"vm-9","fence":7,"renewal":40,"start":123456789,"orders":false,)"
      R"("quiet_us":9000000},"lease_revision":13})";
static const char old_limits[]
    = R"({"kind":"limits","format":1,"limits":[{"upstream":"d1","born":1,"holds":true,"mrps":4000,)"
      R"("version":1,"allocator":"vm-9","udp":"10.1.0.9:7000"}]})";
static const char old_permits_ask[]
    = R"({"kind":"permits-ask","format":1,"from":"vm-9","udp":"10.1.0.9:7000","id":5,"traffic":0,)"
      R"("count":3,"reach_us":100000,"limit":{"upstream":"d1","born":1,"holds":true,"mrps":4000,)"
      R"("version":1,"allocator":"vm-1","udp":"x"}})";
static const char old_permits[]
    = R"({"kind":"permits","format":1,"id":5,"traffic":0,"after_us":[0,250000],"full_us":0,)"
      R"("limit":{"upstream":"d1","born":1,"holds":true,"mrps":4000,"version":1,"allocator":)"
      R"("vm-9","udp":"10.1.0.9:7000"}})";
static const char old_streams[] = R"({"kind":"streams","format":1,"streams":[{"attempt":"a77",)"
                                  R"("service":"desk","software":"v1"}]})";
static const char old_stream_ask[]
    = R"({"kind":"stream-ask","format":1,"attempt":"a77","udp":"10.1.0.9:7000"})";
static const char old_taken[]
    = R"({"kind":"taken","job":"j1","from":"vm-9","head":{"host":"a.example","path":"/batch/j1",)"
      R"("owner":"vm-9","parts":1,"total":3,"received_ms":1700000000000},"revision":11})";
static const char old_listed[]
    = R"({"kind":"listed","job":"j1","from":"vm-9","segments":1,"age_us":1000})";
static const char old_reads[] = R"({"kind":"reads","job":"j1","from":"vm-9","after":0})";
static const char old_word[] = R"({"kind":"runs","job":"j1","from":"vm-9"})";

static bool
is_same_type (const json_t *one, const json_t *other)
{
  return json_typeof (one) == json_typeof (other)
         || (json_is_boolean (one) && json_is_boolean (other));
}

/* Each member of what the build before writes is in VALUE, of the same type. */
static void
expect_members (const json_t *value, const json_t *before, const std::string &where)
{
  json_t *part;
  const char *key;
  size_t index;

  ASSERT_NE (value, nullptr) << where;
  ASSERT_TRUE (is_same_type (value, before)) << where;
  if (json_is_object (before))
    json_object_foreach (const_cast<json_t *> (before), key, part)
        expect_members (json_object_get (value, key), part, where + "." + key);
  else if (json_array_size (before) > 0)
    json_array_foreach (value, index, part)
        expect_members (part, json_array_get (before, 0), where + "[]");
}

static void
expect_form (const json_t *value, const char *before, const std::string &where)
{
  json_t *form = json_loads (before, 0, nullptr);

  expect_members (value, form, where);
  json_decref (form);
}

class OldForms : public NodeTest
{
protected:
  /* A job as the build before leaves it, whose owner is gone. */
  void
  put_old_job (const char *checkpoint)
  {
    char *content
        = g_base64_encode ((const guchar *)job_body (3, 0).data (), job_body (3, 0).size ());

    world.put ("jobs", "j1", old_head);
    world.put ("job-j1", "part-000000",
               (std::string (R"({"content":")") + content + "\"}").c_str ());
    world.put ("job-j1", "result-000000", old_segment);
    world.put ("job-j1", "checkpoint", checkpoint);
    g_free (content);
  }

  void
  expect_datagram (const char *kind, const char *before)
  {
    ASSERT_TRUE (world.last_datagram.count (kind)) << kind;
    json_t *message = json_loads (world.last_datagram[kind].c_str (), 0, nullptr);
    expect_form (message, before, kind);
    json_decref (message);
  }

  static const GspanReplica *
  replica (const Rig &rig, const char *id)
  {
    return static_cast<GspanReplica *> (g_hash_table_lookup (rig.node.catalog.replicas, id));
  }
};

TEST_F (OldForms, JobOfTheBuildBeforeGoesOnFromItsCheckpoint)
{
  put_old_job (old_checkpoint);
  Rig &rig = start_nodes ();
  world.run (25 * GSPAN_SECOND);
  auto runs = open_runs (rig);
  ASSERT_EQ (runs.size (), 2U) << "one of three items is listed";
  unsigned resumed = 0;
  for (const auto &run : runs)
    {
      resumed += run.header ("Last-Event-Id") == "2";
      finish_run (rig, run, 4);
    }
  EXPECT_EQ (resumed, 1U);
  world.run (5 * GSPAN_SECOND);
  read_results (rig, 900, "j1", 0);
  world.run (3 * GSPAN_SECOND);
  ASSERT_NE (response_to (rig, 900), nullptr);
  auto ids = result_ids (*response_to (rig, 900));
  ASSERT_EQ (ids.size (), 3U);
  EXPECT_EQ (ids[0], "i0");
  EXPECT_NE (response_to (rig, 900)->body.find ("d1\\nd2\\nd3\\nd4"), std::string::npos);
}

TEST_F (OldForms, FailuresThatTheBuildBeforeCountedStillCount)
{
  put_old_job (old_checkpoint_of_errors);
  Rig &rig = start_nodes ();
  world.run (60 * GSPAN_SECOND);
  const GspanJob *job = gspan_jobs_find (&rig.node.jobs, "j1");
  ASSERT_NE (job, nullptr);
  ASSERT_TRUE (job->content_loaded);
  auto *item = static_cast<GspanItem *> (g_hash_table_lookup (job->items_by_id, "i1"));
  EXPECT_EQ (item->server_errors, 2U);
  EXPECT_EQ (item->reward.server_errors, 1U);
}

TEST_F (OldForms, ObjectsLackNothingThatTheBuildBeforeReads)
{
  start_nodes (2);
  Rig &rig = *world.rigs[0];

  submit_job (rig, 1, "j1", 8);
  world.run (GSPAN_SECOND);
  for (auto &node : world.rigs)
    {
      for (const auto &run : open_runs (*node))
        {
          node->http_head (run, 200, stream_head (1));
          for (unsigned id = 1; id <= 50; id++)
            node->http_data (run, 200, stream_head (1), sse (id));
        }
    }
  world.run (5 * GSPAN_SECOND);
  ASSERT_TRUE (world.objects["job-j1"].count ("checkpoint"));
  expect_form (world.objects["job-j1"]["checkpoint"].spec, old_checkpoint, "checkpoint");
  for (auto &node : world.rigs)
    for (const auto &run : open_runs (*node))
      finish_run (*node, run, 51);
  world.run (5 * GSPAN_SECOND);
  expect_form (world.objects["jobs"]["j1"].spec, old_head, "head");
  expect_form (world.objects["job-j1"]["part-000000"].spec, R"({"content":""})", "part");
  ASSERT_TRUE (world.objects["job-j1"].count ("result-000000"));
  expect_form (world.objects["job-j1"]["result-000000"].spec, old_segment, "segment");
  ASSERT_EQ (world.objects["leases"].size (), 1U);
  expect_form (world.objects["leases"].begin ()->second.spec, old_lease, "lease");
  for (const auto &peer : world.objects["nodes"])
    expect_form (peer.second.spec, R"({"udp":"","zone":""})", "node");
}

TEST_F (OldForms, PeersLeaseAndVerdictsOfTheBuildBeforeAreRead)
{
  world.put ("nodes", "vm-9", old_peer);
  world.put ("poison", "00000000deadbeef", old_verdict);
  world.put ("leases", "orders", old_lease);
  Rig &rig = start_nodes ();

  EXPECT_TRUE (g_hash_table_contains (rig.node.peers.items, "vm-9"));
  EXPECT_NE (
      gspan_poison_requests_condemned_until (&rig.node.poison_requests, 0xdeadbeef, rig.node.now),
      0U);
  world.run (20 * GSPAN_SECOND);
  ASSERT_TRUE (rig.node.weights.lease.held);
  EXPECT_GT (rig.node.weights.lease.fence, 7U);
}

TEST_F (OldForms, DatagramsOfTheBuildBeforeAreRead)
{
  Rig &rig = start_nodes ();

  rig.datagram (old_limits);
  EXPECT_EQ (gspan_limits_count (&rig.node.rate_limits), 1U);
  rig.datagram (old_permits_ask);
  rig.datagram (old_permits);
  rig.datagram (old_streams);
  ASSERT_NE (gspan_streams_find (&rig.node.streams, "a77"), nullptr);
  EXPECT_STREQ (gspan_streams_find (&rig.node.streams, "a77"), "v1");
  rig.datagram (old_stream_ask);
  rig.datagram (old_taken);
  EXPECT_NE (gspan_jobs_find (&rig.node.jobs, "j1"), nullptr);
  rig.datagram (old_listed);
  rig.datagram (old_reads);
  rig.datagram (old_word);
}

TEST_F (OldForms, ChangesThatTheBuildBeforeTellsAreTakenIn)
{
  start_nodes (2);
  world.run (25 * GSPAN_SECOND);
  Rig &rig = *world.rigs[world.rigs[0]->node.weights.lease.held ? 1 : 0];
  guint64 known = rig.node.catalog.followers[GSPAN_FOLLOW_REPLICAS].revision;
  std::string text = old_feed;
  auto set = [&] (const std::string &from, guint64 to) {
    for (size_t at = text.find (from); at != std::string::npos; at = text.find (from, at + 1))
      text.replace (at, from.size (), from.substr (0, from.find (':') + 1) + std::to_string (to));
  };

  set ("\"from\":10", known);
  set ("\"to\":14", known + 3);
  set ("\"revision\":14", known + 3);
  rig.datagram (text);
  ASSERT_NE (replica (rig, "d1"), nullptr);
  EXPECT_TRUE (replica (rig, "d1")->draining);
  EXPECT_EQ (replica (rig, "d2"), nullptr);
}

TEST_F (OldForms, DatagramsLackNothingThatTheBuildBeforeReads)
{
  start_nodes (3);
  Rig &rig = *world.rigs[0];

  world.put ("servers", "d2", replica_spec ("desk", 2, 0, "draining").c_str ());
  submit_job (rig, 1, "j1", 8);
  world.run (2 * GSPAN_SECOND);
  for (auto &node : world.rigs)
    read_results (*node, 2, "j1", 0, 1000);
  for (guint64 id = 10; id < 60; id++)
    {
      Rig &node = *world.rigs[id % 3];
      send_desk_request (node, id, "a" + std::to_string (id));
      for (const auto &exchange : std::vector<Exchange> (node.exchanges))
        if (exchange.url.find ("/desk/") != std::string::npos)
          node.http_done (exchange, GSPAN_HTTP_COMPLETE, 200,
                          { "X-Server-Stamp: s", "Server-Limit: 4" }, "good");
      world.run (50 * GSPAN_MS);
    }
  world.run (5 * GSPAN_SECOND);
  json_t *feed = json_loads (old_feed, 0, nullptr);
  json_object_del (feed, "changes"); /* the test after this has them */
  char *text = json_dumps (feed, JSON_COMPACT);
  expect_datagram ("feed", text);
  free (text);
  json_decref (feed);
  expect_datagram ("limits", old_limits);
  expect_datagram ("permits-ask", old_permits_ask);
  expect_datagram ("permits", old_permits);
  expect_datagram ("runs", old_word);
  expect_datagram ("listed", old_listed);
  expect_datagram ("reads", old_reads);
}

TEST_F (OldForms, ChangesAreToldAsTheBuildBeforeReadsThem)
{
  start_nodes (2);
  world.run (25 * GSPAN_SECOND);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.remove ("servers", "d2");
  world.put ("servers", "odd", "{}");
  world.run (500 * GSPAN_MS);
  ASSERT_TRUE (world.last_datagram.count ("feed"));
  json_t *feed = json_loads (world.last_datagram["feed"].c_str (), 0, nullptr);
  json_t *change;
  size_t index;
  unsigned seen = 0;
  std::set<std::string> names;
  json_array_foreach (json_object_get (feed, "changes"), index, change)
  {
    std::string name = json_string_value (json_object_get (change, "name"));
    json_t *spec = json_object_get (change, "spec");

    EXPECT_TRUE (json_is_integer (json_object_get (change, "revision")));
    seen++;
    names.insert (name);
    if (name == "d2")
      EXPECT_TRUE (json_is_null (spec)) << "removed";
    else if (name == "odd")
      EXPECT_TRUE (json_is_object (spec)) << "an entry that names no replica isn't a removal";
    else
      expect_form (spec, replica_spec ("desk", 1, 0).c_str (), name);
  }
  EXPECT_EQ (seen, 4U) << "d1 again, whose status says since that it drains";
  EXPECT_EQ (names, (std::set<std::string>{ "d1", "d2", "odd" }));
  json_decref (feed);
}

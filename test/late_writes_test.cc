#include "test/node_world.h"

/* Writes whose answers are lost, and that the store does at once, later or never. */

class LateWrites : public NodeTest
{
protected:
  GspanStoreOp faulty_op = GSPAN_STORE_REPLACE;
  std::string faulty_kind;
  StoreFault next_fault = StoreFault::None; /* of the next such call */
  unsigned faults = 0;

  void
  fail_next (GspanStoreOp op, const char *kind, StoreFault fault)
  {
    faulty_op = op;
    faulty_kind = kind;
    next_fault = fault;
    world.fault_of = [this] (const Rig &, const GspanStoreCall &call) {
      StoreFault now_at_fault = next_fault;

      if (call.op != faulty_op || faulty_kind != call.kind)
        return StoreFault::None;
      faults += next_fault != StoreFault::None;
      next_fault = StoreFault::None;
      return now_at_fault;
    };
  }
};

TEST_F (LateWrites, RenewalWithoutAnAnswerHoldsNoOrdersBack)
{
  Rig &rig = start_nodes ();

  world.run (10 * GSPAN_SECOND);
  for (auto fault : { StoreFault::LostAfter, StoreFault::LostBefore, StoreFault::AppliedLate })
    {
      guint64 fence = rig.node.weights.lease.fence;
      unsigned unsettled = 0;

      ASSERT_TRUE (gspan_order_lease_settled (&rig.node.weights.lease, world.now));
      fail_next (GSPAN_STORE_REPLACE, "leases", fault);
      for (int i = 0; i < 300; i++)
        {
          world.run (10 * GSPAN_MS);
          unsettled += !gspan_order_lease_settled (&rig.node.weights.lease, world.now);
        }
      EXPECT_EQ (unsettled, 0U) << (int)fault;
      EXPECT_EQ (rig.node.weights.lease.fence, fence);
    }
  EXPECT_EQ (faults, 3U);
}

TEST_F (LateWrites, TakeoverWithoutAnAnswerIsKnownAtOnce)
{
  start_nodes (2);
  Rig &owner = *world.rigs[0];
  Rig &other = *world.rigs[1];
  guint64 done_at = 0;

  submit_job (owner, 1, "j1", 4);
  world.run (3 * GSPAN_SECOND);
  fail_next (GSPAN_STORE_REPLACE, "jobs", StoreFault::LostAfter);
  owner.paused = true;
  for (int i = 0; i < 1000 && faults == 0; i++)
    world.run (10 * GSPAN_MS);
  ASSERT_EQ (faults, 1U);
  done_at = world.now;
  for (int i = 0; i < 1000 && open_runs (other).empty (); i++)
    world.run (10 * GSPAN_MS);
  EXPECT_LE (world.now - done_at, 100 * GSPAN_MS);
}

/* The former owner, which doesn't reach the store, hears of it by datagram. */
TEST_F (LateWrites, TakeoverWithoutAnAnswerIsToldToTheFormerOwner)
{
  start_nodes (2);
  Rig &owner = *world.rigs[0];

  submit_job (owner, 1, "j1", 4);
  world.run (500 * GSPAN_MS);
  fail_next (GSPAN_STORE_REPLACE, "jobs", StoreFault::LostAfter);
  owner.cut_from_store = true;
  finish_run (owner, open_runs (owner)[0], 2);
  world.run (2500 * GSPAN_MS);
  EXPECT_EQ (faults, 1U);
  EXPECT_FALSE (open_runs (*world.rigs[1]).empty ());
  EXPECT_TRUE (open_runs (owner).empty ());
}

/* A process that ended before its registration was done doesn't replace that of its successor. */
TEST_F (LateWrites, RegistrationOfAnEarlierProcessDoesNotReplaceThatOfTheLater)
{
  start_nodes ();
  world.restart (0);
  fail_next (GSPAN_STORE_REPLACE, "nodes", StoreFault::AppliedLate);
  for (int i = 0; i < 100 && faults == 0; i++)
    world.run (10 * GSPAN_MS);
  ASSERT_EQ (faults, 1U);
  world.restart (0);
  world.run (4 * GSPAN_SECOND);
  EXPECT_STREQ (json_string_value (json_object_get (world.objects["nodes"]["vm-1"].spec, "udp")),
                world.rigs[0]->node.self.udp_address);
}

TEST_F (LateWrites, RemovalOfAnExpiredVerdictDoesNotRemoveTheNextOne)
{
  Rig &rig = start_nodes ();
  char *name = gspan_poison_fingerprint_format (77);
  auto verdict = [&] (gint64 life_ms) {
    return "{\"until_ms\":" + std::to_string (world.wall_ms + life_ms) + ",\"by\":\"vm-1\"}";
  };

  fail_next (GSPAN_STORE_REMOVE, GSPAN_VERDICTS_KIND, StoreFault::AppliedLate);
  world.put (GSPAN_VERDICTS_KIND, name, verdict (2000).c_str ());
  for (int i = 0; i < 1000 && faults == 0; i++)
    world.run (10 * GSPAN_MS);
  EXPECT_EQ (faults, 1U);
  world.put (GSPAN_VERDICTS_KIND, name, verdict (60000).c_str ());
  world.run (5 * GSPAN_SECOND);
  EXPECT_EQ (world.objects[GSPAN_VERDICTS_KIND].count (name), 1U);
  EXPECT_TRUE (rig.logged ("event=request-condemned"));
  g_free (name);
}

TEST_F (LateWrites, ExpiredVerdictThatWasReplacedUnseenIsRemoved)
{
  start_nodes ();
  char *name = gspan_poison_fingerprint_format (77);
  std::string spec = "{\"until_ms\":" + std::to_string (world.wall_ms + 1000) + ",\"by\":\"vm-1\"}";

  world.put (GSPAN_VERDICTS_KIND, name, spec.c_str ());
  world.run (500 * GSPAN_MS);
  world.objects[GSPAN_VERDICTS_KIND][name].revision = ++world.revision;
  world.run (3 * GSPAN_SECOND);
  EXPECT_EQ (world.objects[GSPAN_VERDICTS_KIND].count (name), 0U);
  g_free (name);
}

TEST_F (LateWrites, CheckpointDoesNotReplaceALaterOne)
{
  Rig &rig = start_nodes (2);
  auto stored_events = [&] {
    json_t *items = json_object_get (world.objects["job-j1"]["checkpoint"].spec, "items");
    return json_integer_value (json_object_get (json_array_get (items, 0), "events"));
  };
  auto stream = [&] (unsigned first, unsigned last) {
    Exchange run = open_runs (rig)[0];
    rig.http_head (run, 200, stream_head (1));
    for (unsigned id = first; id <= last; id++)
      rig.http_data (run, 200, stream_head (1), sse (id));
  };

  submit_job (rig, 1, "j1", 1);
  world.run (200 * GSPAN_MS);
  stream (1, 50);
  world.run (2500 * GSPAN_MS);
  ASSERT_EQ (stored_events (), 50);
  fail_next (GSPAN_STORE_REPLACE, "job-j1", StoreFault::AppliedLate);
  stream (51, 100);
  for (int i = 0; i < 300 && faults == 0; i++)
    world.run (10 * GSPAN_MS);
  ASSERT_EQ (faults, 1U);
  stream (101, 150);
  rig.drain ();
  world.run (500 * GSPAN_MS);
  EXPECT_EQ (stored_events (), 150);
  world.run (GSPAN_SECOND);
  EXPECT_EQ (stored_events (), 150);
}

#include "test/node_world.h"

/*
 * After SIGTERM a node goes on for a part of the grace. What it may not be able to answer by then
 * it refuses at once, as not run; what it has still open by then is answered, and isn't just cut.
 */

class PlannedStop : public NodeTest
{
protected:
  Rig &
  start_with (const char *desk_type, unsigned timeout_ms = 800)
  {
    Rig &rig = start_nodes ();
    std::string spec = config_spec (4, desk_type);
    const std::string timeout = "\"timeoutMs\":800";

    spec.replace (spec.find (timeout), timeout.size (),
                  "\"timeoutMs\":" + std::to_string (timeout_ms));
    world.put ("config", "main", spec.c_str ());
    world.run (2 * GSPAN_SECOND);
    return rig;
  }

  void
  send (Rig &rig, guint64 id, unsigned deadline_ms)
  {
    rig.request (id, "POST", "/desk/x",
                 { "Host: a.example", "X-Attempt-Id: s" + std::to_string (id),
                   "X-Deadline-Ms: " + std::to_string (deadline_ms) },
                 "hello");
  }
};

TEST_F (PlannedStop, RequestThatMayOutlastTheProcessIsRefusedAtOnce)
{
  for (const char *type : { "idempotent", "non_idempotent", "streaming" })
    {
      Rig &rig = start_with (type);

      rig.drain ();
      world.run (6500 * GSPAN_MS);
      send (rig, 1, 800);
      const CallerResponse *response = response_to (rig, 1);
      ASSERT_NE (response, nullptr) << type;
      EXPECT_EQ (response->status, 503) << type;
      EXPECT_TRUE (response->has ("Retry-After")) << type;
      EXPECT_TRUE (rig.exchanges.empty ()) << type;
      world.clear ();
    }
}

TEST_F (PlannedStop, RequestThatEndsInTimeIsServed)
{
  Rig &rig = start_with ("non_idempotent");

  rig.drain ();
  world.run (5 * GSPAN_SECOND);
  send (rig, 1, 800);
  ASSERT_EQ (rig.exchanges.size (), 1U);
  world.run (700 * GSPAN_MS);
  rig.http_done (rig.exchanges[0], GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
  EXPECT_EQ (response_to (rig, 1)->status, 200);
}

TEST_F (PlannedStop, RequestThatIsStillOpenAtTheEndIsAnswered)
{
  for (const char *type : { "idempotent", "non_idempotent" })
    {
      Rig &rig = start_with (type, 20000);

      send (rig, 1, 20000);
      ASSERT_FALSE (rig.exchanges.empty ());
      rig.drain ();
      world.run (7 * GSPAN_SECOND);
      const CallerResponse *response = response_to (rig, 1);
      ASSERT_NE (response, nullptr) << type;
      EXPECT_EQ (response->status, 502) << type << ": it may have run";
      world.clear ();
    }
}

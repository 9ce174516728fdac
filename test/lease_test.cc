#include "test/bench.h"

class Lease : public testing::Test
{
protected:
  Bench bench;
  GspanLease *lease = nullptr;

  void
  SetUp () override
  {
    lease = gspan_leases_want (&bench.board.leases, "pool.p");
  }

  /* Ticks until the lease controller asks for something. */
  GspanAction *
  next_action ()
  {
    for (int i = 0; i < 1000; i++)
      {
        auto found = bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES);

        if (!found.empty ())
          return found[0];
        bench.tick ();
      }
    return nullptr;
  }

  std::string
  body_of (const GspanAction *action)
  {
    GspanStr text = gspan_str_from_bytes (action->u.object.body);

    return { text.data, text.len };
  }

  std::string
  take ()
  {
    bench.object_done (next_action ()->ref, GSPAN_OBJECT_MISSING);
    GspanAction *write = next_action ();
    std::string body = body_of (write);
    bench.object_done (write->ref, GSPAN_OBJECT_OK, 10);
    return body;
  }
};

TEST_F (Lease, FreeLeaseIsTaken)
{
  take ();
  EXPECT_TRUE (gspan_lease_held (lease, bench.now));
  EXPECT_EQ (lease->fence, 1U);
}

TEST_F (Lease, PausedHolderNoLongerBelievesIt)
{
  take ();
  bench.now += 3 * GSPAN_SECOND;
  EXPECT_FALSE (gspan_lease_held (lease, bench.now));
}

TEST_F (Lease, LostAnswerIsSettledByTheWriterToken)
{
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_MISSING);
  GspanAction *write = next_action ();
  std::string landed = body_of (write);
  bench.object_done (write->ref, GSPAN_OBJECT_UNKNOWN);
  EXPECT_FALSE (gspan_lease_held (lease, bench.now));
  GspanAction *read = next_action ();
  EXPECT_EQ (read->u.object.op, GSPAN_OBJECT_GET);
  bench.object_done (read->ref, GSPAN_OBJECT_OK, 10, landed);
  EXPECT_TRUE (gspan_lease_held (lease, bench.now));
}

TEST_F (Lease, LostAnswerOfAWriteThatDidNotLandIsSentAgain)
{
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_MISSING);
  std::string sent = body_of (next_action ());
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_UNKNOWN);
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_MISSING);
  EXPECT_EQ (body_of (next_action ()), sent);
}

TEST_F (Lease, TakeOverWaitsOutTheHolderAndRaisesTheFence)
{
  const char *other = R"({"holder":"x:1","fence":4,"duration_ms":3000,"writer":"other"})";
  guint64 start = bench.now;

  for (int i = 0; i < 100; i++)
    {
      GspanAction *action = next_action ();

      if (action->u.object.op == GSPAN_OBJECT_PUT)
        break;
      bench.object_done (action->ref, GSPAN_OBJECT_OK, 20, other);
    }
  EXPECT_GE (bench.now - start, 3 * GSPAN_SECOND);
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_OK, 21);
  EXPECT_EQ (lease->fence, 5U);
}

#include "test/bench.h"

class Lease : public testing::Test
{
protected:
  Bench bench;
  GspanLease *lease = nullptr;

  void
  SetUp () override
  {
    lease = gspan_leases_acquire (&bench.board.leases, "pool.p");
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
  EXPECT_EQ (lease->fencing_token, 1U);
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
  EXPECT_EQ (lease->fencing_token, 5U);
}

/* Every answer that a write can get, for renewal and release, with the object's state after it. */
TEST_F (Lease, LostAnswersOfRenewalAndReleaseAreSettledBothWays)
{
  struct
  {
    bool release;
    bool landed;
  } cases[] = { { false, false }, { false, true }, { true, false }, { true, true } };

  for (auto [release, landed] : cases)
    {
      Bench fresh;
      GspanLease *held = gspan_leases_acquire (&fresh.board.leases, "pool.q");
      auto object = [&] { return fresh.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES); };

      fresh.tick ();
      fresh.object_done (object ()[0]->ref, GSPAN_OBJECT_MISSING);
      std::string before = body_of (object ()[0]);
      fresh.object_done (object ()[0]->ref, GSPAN_OBJECT_OK, 10);
      if (release)
        gspan_leases_release (&fresh.board, held, &fresh.out);
      while (object ().empty ())
        fresh.tick ();
      std::string sent = body_of (object ()[0]);
      fresh.object_done (object ()[0]->ref, GSPAN_OBJECT_UNKNOWN);
      ASSERT_EQ (object ().size (), 1U);
      fresh.object_done (object ()[0]->ref, GSPAN_OBJECT_OK, landed ? 11 : 10,
                         landed ? sent : before);
      EXPECT_EQ (object ().size (), landed ? 0U : 1U);
      if (!landed)
        {
          EXPECT_EQ (body_of (object ()[0]), sent);
        }
      EXPECT_EQ (gspan_lease_held (held, fresh.now), !release);
    }
}

/* A second read under way would be taken for the answer of the next write. */
TEST_F (Lease, NeverTwoCallsAtOnce)
{
  take ();
  while (bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES).empty ())
    bench.tick ();
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_UNKNOWN);
  for (int i = 0; i < 400; i++)
    {
      bench.tick ();
      EXPECT_TRUE (bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES).empty ());
    }
}

TEST_F (Lease, GarbledObjectIsNotTakenAtOnce)
{
  guint64 start = bench.now;

  for (const char *body : { "{\"hol", "{}", "[1]", R"({"holder":"x:1","duration_ms":-5})" })
    {
      bench.object_done (next_action ()->ref, GSPAN_OBJECT_OK, 20, body);
      EXPECT_TRUE (bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES).empty ()) << body;
    }
  EXPECT_LT (bench.now, start + 3 * GSPAN_SECOND);
}

/* A process started again at the address of a dead one is another holder, which has to wait. */
TEST_F (Lease, RestartAtTheSameAddressInheritsNothing)
{
  std::string mine = take ();
  Bench again ("vm-1", 2);
  GspanLease *second = gspan_leases_acquire (&again.board.leases, "pool.p");

  again.tick ();
  again.object_done (again.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES).at (0)->ref,
                     GSPAN_OBJECT_OK, 10, mine);
  EXPECT_TRUE (again.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES).empty ());
  EXPECT_FALSE (gspan_lease_held (second, again.now));
}

TEST_F (Lease, OwnObjectIsTakenAgainAtOnceAfterAnOutageUnderAHigherFence)
{
  std::string mine = take ();

  bench.tick (2800 * GSPAN_MS);
  EXPECT_FALSE (gspan_lease_held (lease, bench.now));
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_OK, 10, mine);
  GspanAction *write = next_action ();
  ASSERT_EQ (write->u.object.op, GSPAN_OBJECT_PUT);
  bench.object_done (write->ref, GSPAN_OBJECT_OK, 11);
  EXPECT_TRUE (gspan_lease_held (lease, bench.now));
  EXPECT_EQ (lease->fencing_token, 2U);
}

/* The answer of a renewal that was sent before a suspend gives no hold after it. */
TEST_F (Lease, RenewalAnsweredAfterASuspendGivesNoHold)
{
  take ();
  while (bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES).empty ())
    bench.tick ();
  GspanRef ref = next_action ()->ref;

  bench.now += 3600 * GSPAN_SECOND;
  bench.object_done (ref, GSPAN_OBJECT_OK, 11);
  EXPECT_FALSE (gspan_lease_held (lease, bench.now));
}

TEST_F (Lease, DeletedRecordGivesTheLeaseUpAndANewOneWantsItAgain)
{
  const char *pool = R"({"schema":2,"firm":"prepis","service":"s","model":"m"})";
  GspanFindings findings{};

  bench.put (GSPAN_RECORD_POOL, "p", 5, pool);
  take ();
  bench.tick ();
  gspan_findings_init (&findings);
  gspan_records_put (&bench.board.records, GSPAN_RECORD_POOL, "p", 6, nullptr, &findings);
  gspan_findings_finish (&findings);
  bench.tick ();
  GspanAction *write = bench.actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_LEASES).at (0);
  EXPECT_NE (body_of (write).find (R"("holder":"")"), std::string::npos);
  EXPECT_FALSE (gspan_lease_held (lease, bench.now));
  bench.object_done (write->ref, GSPAN_OBJECT_OK, 12);
  bench.put (GSPAN_RECORD_POOL, "p", 7, pool);
  EXPECT_NE (next_action (), nullptr);
}

TEST_F (Lease, BusyLeaseIsRenewedAndReleasedOnlyWhenItsWorkIsOver)
{
  take ();
  lease->has_open_work = true;
  gspan_leases_release (&bench.board, lease, &bench.out);
  EXPECT_FALSE (gspan_lease_held (lease, bench.now));
  EXPECT_NE (body_of (next_action ()).find (R"("holder":"127)"), std::string::npos);
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_OK, 11);
  lease->has_open_work = false;
  bench.tick ();
  EXPECT_NE (body_of (next_action ()).find (R"("holder":"")"), std::string::npos);
}

TEST_F (Lease, FenceSeenElsewhereIsOutbid)
{
  take ();
  gspan_lease_raise_fencing_token (lease, 40);
  bench.tick ();
  bench.object_done (next_action ()->ref, GSPAN_OBJECT_OK, 11);
  EXPECT_EQ (lease->fencing_token, 41U);
  EXPECT_TRUE (gspan_lease_held (lease, bench.now));
}

/* A lease that was deleted restarts above every fence, and only after the old holder's life. */
TEST_F (Lease, DeletedObjectIsMadeAnewAboveEveryFence)
{
  const char *other = R"({"holder":"x:1","fence":4,"duration_ms":3000,"writer":"other"})";

  bench.object_done (next_action ()->ref, GSPAN_OBJECT_OK, 20, other);
  GspanEvent event{};
  GBytes *body = g_bytes_new ("{}", 2);
  event.kind = GSPAN_EVENT_OBJECT_DONE;
  event.ref = next_action ()->ref;
  event.u.object = { GSPAN_OBJECT_MISSING, 50, body };
  bench.handle (event);
  g_bytes_unref (body);
  GspanAction *write = next_action ();
  std::string anew = body_of (write);
  EXPECT_NE (anew.find (R"("holder":"")"), std::string::npos);
  bench.object_done (write->ref, GSPAN_OBJECT_OK, 51);
  guint64 start = bench.now;
  while ((write = next_action ())->u.object.op != GSPAN_OBJECT_PUT)
    bench.object_done (write->ref, GSPAN_OBJECT_OK, 51, anew);
  EXPECT_GE (bench.now - start, 3 * GSPAN_SECOND);
  bench.object_done (write->ref, GSPAN_OBJECT_OK, 52);
  EXPECT_GT (lease->fencing_token, 50U);
}

RC_GTEST_PROP (LeaseCandidates, FewPerLeaseAndSpread, (uint8_t more))
{
  std::vector<std::string> names;
  GPtrArray *peers = g_ptr_array_new ();
  size_t most = 0;

  for (int i = 0; i < 4 + more; i++)
    names.push_back ("vm-" + std::to_string (i));
  for (std::string &name : names)
    g_ptr_array_add (peers, name.data ());
  std::vector<size_t> duties (names.size ());
  for (int i = 0; i < 50; i++)
    {
      std::string lease = "pool.p" + std::to_string (i);
      size_t candidates = 0;

      for (size_t at = 0; at < names.size (); at++)
        {
          GspanBoard board{};

          board.self.name = names[at].c_str ();
          board.peers = peers;
          if (!gspan_lease_is_candidate (&board, lease.c_str ()))
            continue;
          candidates++;
          most = MAX (most, ++duties[at]);
        }
      RC_ASSERT (candidates == 3U);
    }
  g_ptr_array_unref (peers);
  RC_ASSERT (most <= 150 / names.size () * 3 + 10);
}

#include "test/bench.h"

extern "C"
{
#include "rpc/codec.h"
}

static std::string
object (const char *name, guint64 version, const char *service)
{
  std::string value = service == nullptr
                          ? "null"
                          : std::string (R"({"schema":2,"firm":"p","service":")") + service + "\"}";

  return std::string (R"({"kind":"route","name":")") + name + R"(","version":)"
         + std::to_string (version) + R"(,"value":)" + value + "}";
}

static std::string
objects (const std::vector<std::string> &items)
{
  std::string text;

  for (const std::string &item : items)
    text += (text.empty () ? "" : ",") + item;
  return R"({"objects":[)" + text + "]}";
}

/* A board that follows the platform, and the operation that it has open there. */
class Follower : public Bench
{
public:
  GspanRef ref{};
  GspanActionObject last{};

  Follower ()
  {
    tick ();
    take ();
  }

  void
  take ()
  {
    auto found = actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_RECORDS);

    if (found.empty ())
      return;
    ref = found[0]->ref;
    last.op = found[0]->u.object.op;
    last.revision = found[0]->u.object.revision;
  }

  void
  answer_platform (GspanObjectResult result, guint64 revision, const std::string &body = "{}")
  {
    object_done (ref, result, revision, body);
    take ();
  }

  /* Waits out the back-off; true where it asked again meanwhile. */
  void
  wait ()
  {
    for (int i = 0; i < 10 && actions (GSPAN_ACTION_OBJECT, GSPAN_OWNER_RECORDS).empty (); i++)
      tick (GSPAN_SECOND);
    take ();
  }

  std::string
  service (const char *name)
  {
    const GspanRecord *record = gspan_records_find (&board.records, GSPAN_RECORD_ROUTE, name);

    return record != nullptr ? record->u.route.service : "";
  }
};

TEST (RecordsFollow, RelistRemovesWhatWasDeletedMeanwhile)
{
  Follower follower;

  follower.answer_platform (GSPAN_OBJECT_OK, 9,
                            objects ({ object ("a", 5, "s"), object ("b", 6, "s") }));
  EXPECT_EQ (follower.last.op, GSPAN_OBJECT_WATCH);
  EXPECT_EQ (follower.last.revision, 9U);
  follower.answer_platform (GSPAN_OBJECT_GAP, 0);
  follower.wait ();
  EXPECT_EQ (follower.last.op, GSPAN_OBJECT_LIST);
  follower.answer_platform (GSPAN_OBJECT_OK, 20, objects ({ object ("b", 6, "s") }));
  EXPECT_EQ (follower.service ("a"), "");
  EXPECT_EQ (follower.service ("b"), "s");
  /* The deleted one doesn't come back by an old change that is late. */
  follower.answer_platform (GSPAN_OBJECT_OK, 21, objects ({ object ("a", 7, "late") }));
  EXPECT_EQ (follower.service ("a"), "");
  follower.answer_platform (GSPAN_OBJECT_OK, 22, objects ({ object ("a", 22, "new") }));
  EXPECT_EQ (follower.service ("a"), "new");
}

TEST (RecordsFollow, StaleListTakesNothingBack)
{
  Follower follower;

  follower.answer_platform (GSPAN_OBJECT_OK, 9, objects ({ object ("a", 5, "s") }));
  follower.answer_platform (GSPAN_OBJECT_OK, 12,
                            objects ({ object ("b", 11, "s"), object ("c", 12, nullptr) }));
  follower.answer_platform (GSPAN_OBJECT_GAP, 0);
  follower.wait ();
  /* A lagging read from before b was written and while c and an older a were there. */
  follower.answer_platform (
      GSPAN_OBJECT_OK, 10,
      objects ({ object ("a", 4, "old"), object ("c", 3, "s"), object ("d", 2, "s") }));
  EXPECT_EQ (follower.service ("a"), "s");
  EXPECT_EQ (follower.service ("b"), "s");
  EXPECT_EQ (follower.service ("c"), "");
  EXPECT_EQ (follower.service ("d"), "");
  /* It closes no gap: the next read is a list again. */
  follower.wait ();
  EXPECT_EQ (follower.last.op, GSPAN_OBJECT_LIST);
}

TEST (RecordsFollow, DuplicatesAndReorderingChangeNothing)
{
  Follower follower;
  std::vector<std::string> changes = { object ("a", 7, "s7"), object ("a", 5, "s5"),
                                       object ("a", 7, "s7"), object ("a", 6, "s6") };

  follower.answer_platform (GSPAN_OBJECT_OK, 4, objects ({}));
  follower.answer_platform (GSPAN_OBJECT_OK, 7, objects (changes));
  EXPECT_EQ (follower.service ("a"), "s7");
  EXPECT_EQ (follower.board.records.changes, 1U);
}

TEST (RecordsFollow, MalformedAnswerLosesNoChange)
{
  Follower follower;

  follower.answer_platform (GSPAN_OBJECT_OK, 4, objects ({}));
  follower.answer_platform (GSPAN_OBJECT_OK, 8, "{\"objects\":[{\"kind\":\"rou");
  follower.wait ();
  EXPECT_EQ (follower.last.op, GSPAN_OBJECT_WATCH);
  EXPECT_EQ (follower.last.revision, 4U);
}

TEST (RecordsFollow, OutageOfAnHourKeepsRecordsAndSparesThePlatform)
{
  Follower follower;
  int calls = 0;

  follower.answer_platform (GSPAN_OBJECT_OK, 9, objects ({ object ("a", 5, "s") }));
  for (guint64 end = follower.now + 3600 * GSPAN_SECOND; follower.now < end;)
    {
      follower.answer_platform (GSPAN_OBJECT_UNAVAILABLE, 0);
      follower.wait ();
      calls++;
    }
  EXPECT_EQ (follower.service ("a"), "s");
  EXPECT_LE (calls, 3600 / 4 + 10);
  EXPECT_EQ (follower.last.op, GSPAN_OBJECT_WATCH);
  follower.answer_platform (GSPAN_OBJECT_OK, 10, objects ({ object ("a", 10, "t") }));
  EXPECT_EQ (follower.service ("a"), "t");
}

TEST (RecordsFollow, LastGoodVersionIsFoundBehindABadOne)
{
  Follower follower;
  std::string bad = R"({"kind":"route","name":"a","version":8,"value":{"schema":2}})";

  follower.answer_platform (GSPAN_OBJECT_OK, 4, objects ({ object ("a", 3, "s3") }));
  follower.answer_platform (GSPAN_OBJECT_OK, 8,
                            objects ({ bad, object ("a", 6, "s6"), object ("a", 5, "s5") }));
  EXPECT_EQ (follower.service ("a"), "s6");
  const GspanRecordState *state = gspan_records_state (&follower.board.records, "route/a");
  EXPECT_EQ (state->version, 8U);
  EXPECT_EQ (state->in_force, 6U);
  EXPECT_NE (state->findings, nullptr);
}

/* A record was written and deleted where this node had a gap: it can't tell a caller of that. */
TEST (RecordsFollow, CallerFromBeforeARelistGetsTheWholeList)
{
  Follower follower;
  gspan_changes_args args = { 7, 99, 0, 0 };
  gspan_changes_res res{};
  GspanEvent event{};

  follower.answer_platform (GSPAN_OBJECT_OK, 3, objects ({}));
  follower.answer_platform (GSPAN_OBJECT_GAP, 0);
  follower.wait ();
  follower.answer_platform (GSPAN_OBJECT_OK, 20, objects ({ object ("b", 15, "s") }));
  GBytes *payload = gspan_xdr_encode (reinterpret_cast<xdrproc_t> (xdr_gspan_changes_args), &args);
  event.kind = GSPAN_EVENT_RPC_CALL;
  event.u.rpc.proc = GSPAN_CHANGES;
  event.u.rpc.payload = gspan_str_from_bytes (payload);
  follower.handle (event);
  g_bytes_unref (payload);
  auto replies = follower.actions (GSPAN_ACTION_RPC_REPLY);
  ASSERT_EQ (replies.size (), 1U);
  ASSERT_TRUE (gspan_xdr_decode (reinterpret_cast<xdrproc_t> (xdr_gspan_changes_res), &res,
                                 gspan_str_from_bytes (replies[0]->u.rpc.payload), nullptr));
  EXPECT_EQ (res.kind, GSPAN_CHANGES_LIST);
  EXPECT_EQ (res.revision, 20U);
  xdr_free (reinterpret_cast<xdrproc_t> (xdr_gspan_changes_res), &res);
}

/* Whatever arrives in whatever order, what is in force never goes back. */
RC_GTEST_PROP (RecordsFollow, VersionsInForceNeverGoBack, ())
{
  Follower follower;
  guint64 before[3] = { 0, 0, 0 };
  const char *const names[] = { "a", "b", "c" };

  for (int step = 0; step < 20; step++)
    {
      const auto revision = *rc::gen::inRange<guint64> (1, 40);
      std::vector<std::string> items;

      for (int i = *rc::gen::inRange (0, 4); i > 0; i--)
        {
          const auto version = *rc::gen::inRange<guint64> (1, revision + 1);
          const char *service = *rc::gen::arbitrary<bool> () ? "s" : nullptr;

          if (follower.last.op == GSPAN_OBJECT_LIST)
            service = "s";
          items.push_back (object (names[*rc::gen::inRange (0, 3)], version, service));
        }
      follower.answer_platform (
          *rc::gen::element (GSPAN_OBJECT_OK, GSPAN_OBJECT_OK, GSPAN_OBJECT_GAP), revision,
          objects (items));
      follower.wait ();
      for (int i = 0; i < 3; i++)
        {
          std::string path = std::string ("route/") + names[i];
          const GspanRecordState *state
              = gspan_records_state (&follower.board.records, path.c_str ());
          const GspanRecord *record
              = gspan_records_find (&follower.board.records, GSPAN_RECORD_ROUTE, names[i]);

          if (state == nullptr)
            continue;
          RC_ASSERT (state->in_force >= before[i]);
          RC_ASSERT ((record != nullptr ? record->version : state->in_force) == state->in_force);
          before[i] = state->in_force;
        }
    }
}

#include "test/node_world.h"

#include <set>

extern "C"
{
#include "jobs/reward_plan.h"
}

/*
 * Reward calls: a result is listed as completed only with the signature of an answer to its own
 * call, which left after the last event of its text.
 */

class Rewards : public NodeTest
{
protected:
  static std::string
  scored_job (unsigned items, unsigned wanted = 1)
  {
    std::string text = "{\"step\":1,\"model\":\"m0\",\"minVersion\":0,\"desiredCount\":"
                       + std::to_string (wanted) + ",\"items\":[";

    for (unsigned i = 0; i < items; i++)
      {
        std::string n = std::to_string (i);
        text += std::string (i > 0 ? "," : "") + "{\"id\":\"i" + n
                + "\",\"path\":\"/batch/x\",\"headers\":{},\"body\":\"aGk=\",\"tokenCount\":10,"
                  "\"group\":\"g"
                + std::to_string (i / 2) + "\",\"scorer\":{\"id\":\"s" + n
                + "\",\"host\":\"a.example\",\"path\":\"/desk/score?n=" + n
                + "\",\"body\":\"c2NvcmU=\"}}";
      }
    return text + "]}";
  }

  void
  submit_scored (Rig &rig, guint64 id, const std::string &job, unsigned items, unsigned wanted = 1)
  {
    rig.request (id, "POST", "/batch/" + job, { "Host: a.example", "X-Attempt-Id: " + job },
                 scored_job (items, wanted));
    world.run (200 * GSPAN_MS);
  }

  static std::vector<Exchange>
  open_calls (const Rig &rig)
  {
    std::vector<Exchange> found;

    for (const auto &exchange : rig.exchanges)
      if (exchange.url.find ("/desk/score") != std::string::npos)
        found.push_back (exchange);
    return found;
  }

  void
  finish_texts (Rig &rig, unsigned events = 3)
  {
    for (int step = 0; step < 20 && !open_runs (rig).empty (); step++)
      {
        for (auto &run : open_runs (rig))
          finish_run (rig, run, events);
        world.run (10 * GSPAN_MS);
      }
  }

  static void
  answer (Rig &rig, const Exchange &call, int status, const std::string &stamp = "")
  {
    std::vector<std::string> headers;

    headers.push_back ("X-Server-Stamp: "
                       + (stamp.empty () ? "of-" + call.header ("X-Attempt-Id") : stamp));
    rig.http_done (call, GSPAN_HTTP_COMPLETE, status, headers, "answer");
  }

  std::string
  results (Rig &rig, const std::string &job, guint64 id)
  {
    read_results (rig, id, job, 0);
    world.run (3 * GSPAN_SECOND);
    const CallerResponse *response = response_to (rig, id);
    return response != nullptr ? response->body : "";
  }
};

TEST_F (Rewards, ResultIsListedOnlyWithTheSignatureOfItsCall)
{
  Rig &rig = start_nodes ();

  submit_scored (rig, 1, "j1", 1);
  EXPECT_TRUE (open_calls (rig).empty ()) << "before the last event";
  finish_texts (rig);
  ASSERT_EQ (open_calls (rig).size (), 1U);
  Exchange call = open_calls (rig)[0];
  EXPECT_EQ (call.method, "POST");
  EXPECT_EQ (call.body, "score");
  EXPECT_NE (call.url.find ("/desk/score?n=0"), std::string::npos);
  EXPECT_EQ (call.header ("Host"), "a.example");
  EXPECT_EQ (call.header ("X-Attempt-Id"), "s0");
  EXPECT_NE (call.header ("X-Expect-Instance"), "");
  EXPECT_EQ (call.header ("X-Deadline-Ms"), "800") << "no longer than the route allows";
  world.run (100 * GSPAN_MS);
  EXPECT_EQ (results (rig, "j1", 2), "{\"total\":1,\"next\":0,\"results\":[]}");
  for (auto &open : open_calls (rig))
    if (open.ref.id != call.ref.id)
      rig.http_done (open, GSPAN_HTTP_LOST, 0, {}, "");
  answer (rig, call, 200, "3e1b.07");
  EXPECT_EQ (results (rig, "j1", 3),
             "{\"total\":1,\"next\":1,\"results\":[{\"id\":\"i0\",\"state\":\"completed\","
             "\"output\":\"d1\\nd2\\nd3\",\"versions\":[1],\"score\":\"3e1b.07\"}]}");
}

TEST_F (Rewards, AnswersThatAreNoScoreAreAskedForAgain)
{
  Rig &rig = start_nodes ();

  submit_scored (rig, 1, "j1", 1);
  finish_texts (rig);
  for (int kind = 0; kind < 10; kind++)
    {
      ASSERT_GE (open_calls (rig).size (), 1U) << kind;
      for (auto &call : open_calls (rig))
        switch (kind % 5)
          {
          case 0:
            rig.http_done (call, GSPAN_HTTP_COMPLETE, 200, { "X-Attempt-Id: s0" }, "unsigned");
            break;
          case 1:
            rig.http_done (call, GSPAN_HTTP_LOST, 200, signed_head, "cut");
            break;
          case 2:
            rig.http_done (call, GSPAN_HTTP_COMPLETE, 503, { "X-Not-Executed: 1" }, "");
            break;
          case 3: /* no text that a result could hold: it would be missing in what is stored */
            rig.http_done (call, GSPAN_HTTP_COMPLETE, 200, { "X-Server-Stamp: \xff\xfe" }, "odd");
            break;
          default:
            rig.http_done (call, GSPAN_HTTP_TIMEOUT, 0, {}, "");
            break;
          }
      for (int step = 0; step < 300 && open_calls (rig).empty (); step++)
        world.run (10 * GSPAN_MS);
    }
  answer (rig, open_calls (rig)[0], 200);
  EXPECT_NE (results (rig, "j1", 2).find ("\"score\":\"of-s0\""), std::string::npos);
}

TEST_F (Rewards, ItemIsAbandonedAfterAsManyErrorsAsBothRoutesAllow)
{
  Rig &rig = start_nodes ();
  unsigned errors = 0;

  submit_scored (rig, 1, "j1", 2);
  finish_texts (rig);
  for (int step = 0; step < 400; step++)
    {
      world.run (10 * GSPAN_MS);
      for (auto &call : open_calls (rig))
        {
          bool fails = call.header ("X-Attempt-Id") == "s0";
          errors += fails;
          answer (rig, call, fails ? 500 : 200);
        }
    }
  EXPECT_EQ (errors, 3U) << "the batch route allows three, the call's two";
  std::string body = results (rig, "j1", 2);
  EXPECT_NE (body.find ("{\"id\":\"i0\",\"state\":\"abandoned\",\"output\":\"\",\"versions\":[]}"),
             std::string::npos)
      << body;
  EXPECT_NE (body.find ("\"score\":\"of-s1\""), std::string::npos);
}

/* A few calls always fail. They must not keep the others from replicas. */
TEST_F (Rewards, CallsThatAlwaysFailDoNotHoldBackTheOthers)
{
  Rig &rig = start_nodes ();
  guint64 started = 0;
  std::map<std::string, guint64> scored_at;

  submit_scored (rig, 1, "j1", 8);
  finish_texts (rig);
  started = world.now;
  for (int step = 0; step < 200; step++)
    {
      world.run (10 * GSPAN_MS);
      for (auto &call : open_calls (rig))
        {
          std::string id = call.header ("X-Attempt-Id");
          if (world.now < call.sent_at_us + 50 * GSPAN_MS)
            continue;
          if (id == "s0" || id == "s1")
            {
              rig.http_done (call, GSPAN_HTTP_LOST, 0, {}, "");
              continue;
            }
          scored_at.emplace (id, world.now);
          answer (rig, call, 200);
        }
    }
  ASSERT_EQ (scored_at.size (), 6U);
  for (const auto &item : scored_at)
    EXPECT_LE (item.second, started + GSPAN_SECOND) << item.first;
  EXPECT_EQ (gspan_rewards_count_unscored (&rig.node), 2U) << "still owed";
}

TEST_F (Rewards, SecondCallBesideASlowOneAndTheFirstAnswerCounts)
{
  Rig &rig = start_nodes ();

  submit_scored (rig, 1, "j1", 1);
  finish_texts (rig, 2);
  Exchange first = open_calls (rig)[0];
  world.run (200 * GSPAN_MS);
  ASSERT_EQ (open_calls (rig).size (), 2U);
  EXPECT_NE (open_calls (rig)[0].url, open_calls (rig)[1].url);
  Exchange second = open_calls (rig)[1];
  world.run (400 * GSPAN_MS);
  EXPECT_EQ (open_calls (rig).size (), 2U) << "no third";
  answer (rig, second, 200, "second");
  EXPECT_TRUE (open_calls (rig).empty ());
  EXPECT_TRUE (std::any_of (rig.cancelled.begin (), rig.cancelled.end (),
                            [&] (const GspanRef &ref) { return ref.id == first.ref.id; }));
  EXPECT_NE (results (rig, "j1", 2).find ("\"score\":\"second\""), std::string::npos);
}

/* The death of the owner between the last event and the score costs a call, not the text. */
TEST_F (Rewards, NewOwnerScoresTheKeptTextUnderTheSameId)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_scored (rig, 1, "j1", 1);
  finish_texts (rig, 60);
  ASSERT_EQ (open_calls (rig).size (), 1U);
  EXPECT_TRUE (world.objects["job-j1"].count ("checkpoint") > 0) << "kept before the call left";
  rig.paused = true;
  world.run (6 * GSPAN_SECOND);
  EXPECT_TRUE (open_runs (other).empty ()) << "the text isn't generated again";
  ASSERT_GE (open_calls (other).size (), 1U);
  EXPECT_EQ (open_calls (other)[0].header ("X-Attempt-Id"), "s0");
  answer (other, open_calls (other)[0], 200);
  std::string body = results (other, "j1", 2);
  EXPECT_NE (body.find ("d59\\nd60\""), std::string::npos);
  EXPECT_NE (body.find ("\"score\":\"of-s0\""), std::string::npos);
}

TEST_F (Rewards, DrainingOwnerHandsWholeTextsAndErrorsOver)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_scored (rig, 1, "j1", 1);
  finish_texts (rig, 12);
  ASSERT_EQ (open_calls (rig).size (), 1U);
  for (int i = 0; i < 2; i++)
    {
      for (int step = 0; step < 100 && open_calls (rig).empty (); step++)
        world.run (10 * GSPAN_MS);
      ASSERT_EQ (open_calls (rig).size (), 1U);
      answer (rig, open_calls (rig)[0], 500);
    }
  rig.drain ();
  world.run (1500 * GSPAN_MS);
  EXPECT_TRUE (open_calls (rig).empty ());
  EXPECT_TRUE (open_runs (other).empty ());
  ASSERT_GE (open_calls (other).size (), 1U);
  answer (other, open_calls (other)[0], 500);
  EXPECT_NE (results (other, "j1", 2).find ("abandoned"), std::string::npos) << "the third error";
}

/* A write of a whole text that fails is made again, and the call doesn't wait for long. */
TEST_F (Rewards, TextIsKeptByALaterWriteIfOneFails)
{
  Rig &rig = start_nodes ();

  submit_scored (rig, 1, "j1", 1);
  world.fault = StoreFault::LostBefore;
  finish_texts (rig, 60);
  world.run (400 * GSPAN_MS);
  EXPECT_EQ (open_calls (rig).size (), 2U) << "with the second one beside it";
  world.fault = StoreFault::None;
  world.run (5 * GSPAN_SECOND);
  EXPECT_TRUE (world.objects["job-j1"].count ("checkpoint") > 0);
}

TEST_F (Rewards, EndOfTheJobEndsItsCalls)
{
  Rig &rig = start_nodes ();

  submit_scored (rig, 1, "j1", 6);
  finish_texts (rig);
  ASSERT_FALSE (open_calls (rig).empty ());
  rig.request (2, "DELETE", "/api/lots/j1", { "Host: a.example" }, "");
  world.run (100 * GSPAN_MS);
  EXPECT_TRUE (open_calls (rig).empty ());
  world.run (5 * GSPAN_SECOND);
  EXPECT_TRUE (open_calls (rig).empty ());
}

TEST_F (Rewards, ResultThatAnotherOwnerListedEndsTheCall)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_scored (rig, 1, "j1", 1);
  finish_texts (rig, 60);
  ASSERT_EQ (open_calls (rig).size (), 1U);
  rig.paused = true;
  world.run (6 * GSPAN_SECOND);
  ASSERT_GE (open_calls (other).size (), 1U);
  answer (other, open_calls (other)[0], 200, "theirs");
  world.run (500 * GSPAN_MS);
  rig.paused = false;
  answer (rig, open_calls (rig)[0], 200, "ours");
  world.run (3 * GSPAN_SECOND);
  EXPECT_NE (results (other, "j1", 2).find ("\"score\":\"theirs\""), std::string::npos);
  EXPECT_NE (results (rig, "j1", 3).find ("\"score\":\"theirs\""), std::string::npos);
}

TEST_F (Rewards, CallsGoWhereTheConfigurationInForceSays)
{
  Rig &rig = start_nodes ();
  std::string config = config_spec (4);
  std::string moved = config_spec (5);

  submit_scored (rig, 1, "j1", 1);
  config.replace (config.find ("/desk/"), 6, "/else/");
  world.put ("config", "main", config.c_str ());
  world.run (GSPAN_SECOND);
  finish_texts (rig);
  world.run (2 * GSPAN_SECOND);
  EXPECT_TRUE (open_calls (rig).empty ()) << "its route was dropped";
  EXPECT_TRUE (rig.logged ("event=reward-calls-wait"));
  EXPECT_TRUE (rig.logged ("no route"));
  moved.replace (moved.find ("\"service\":\"desk\""), 16, "\"service\":\"llm\"");
  world.put ("config", "main", moved.c_str ());
  world.run (GSPAN_SECOND);
  ASSERT_GE (open_calls (rig).size (), 1U);
  for (auto &call : open_calls (rig))
    EXPECT_TRUE (call.url.find ("10.0.0.3:") != std::string::npos
                 || call.url.find ("10.0.0.4:") != std::string::npos)
        << call.url;
}

TEST_F (Rewards, LeavingReplicasGetNoCalls)
{
  Rig &rig = start_nodes ();

  submit_scored (rig, 1, "j1", 6);
  world.put ("servers", "d1", replica_spec ("desk", 1, 0, "draining").c_str ());
  world.run (GSPAN_SECOND);
  finish_texts (rig);
  ASSERT_FALSE (open_calls (rig).empty ());
  for (auto &call : open_calls (rig))
    EXPECT_EQ (call.header ("X-Expect-Instance"), "d2");
}

TEST_F (Rewards, TextsGoOnAndScoresQueueWhileTheServiceIsGone)
{
  Rig &rig = start_nodes ();

  submit_scored (rig, 1, "j1", 20);
  world.remove ("servers", "d1");
  world.remove ("servers", "d2");
  world.run (GSPAN_SECOND);
  finish_texts (rig);
  EXPECT_EQ (gspan_rewards_count_unscored (&rig.node), 20U);
  EXPECT_TRUE (rig.logged ("no replica has room"));
  size_t lines = rig.log.size ();
  world.run (5 * GSPAN_SECOND);
  EXPECT_LE (rig.log.size (), lines + 20) << "the wait is logged once a second";
  world.put ("servers", "d3", replica_spec ("desk", 7, 0).c_str ());
  world.run (GSPAN_SECOND);
  EXPECT_FALSE (open_calls (rig).empty ());
}

TEST_F (Rewards, PeopleKeepSlotsAtTheReplicasOfTheService)
{
  Rig &rig = start_nodes ();

  submit_scored (rig, 1, "j1", 30);
  finish_texts (rig);
  std::map<std::string, unsigned> open;
  for (auto &call : open_calls (rig))
    open[call.header ("X-Expect-Instance")]++;
  ASSERT_EQ (open.size (), 2U);
  for (const auto &replica : open)
    EXPECT_EQ (replica.second, 2U) << replica.first << " has four slots";
}

TEST_F (Rewards, ScorerWithoutAPlaceToGoIsRefused)
{
  Rig &rig = start_nodes ();

  rig.request (
      1, "POST", "/batch/j1", { "Host: a.example", "X-Attempt-Id: j1" },
      "{\"items\":[{\"id\":\"a\",\"path\":\"/batch/x\"},{\"id\":\"b\",\"path\":\"/batch/x\","
      "\"scorer\":{\"id\":\"s\",\"host\":\"a.example\"}}]}");
  EXPECT_EQ (response_to (rig, 1)->status, 400);
  EXPECT_NE (response_to (rig, 1)->body.find ("items[1].scorer"), std::string::npos);
}

/* One call of a replayed step. */
struct ReplayedCall
{
  guint64 owed_at;
  GspanRewardState state{};
  bool is_scored = false;
  unsigned failed_at = 4; /* replica that brought none; it is avoided */
};

/*
 * A step whose 160 texts end within two seconds, at a service of four replicas with six slots, of
 * which one hangs; each call takes 80 ms. Returns the time from the last text to the last score.
 */
static guint64
replay_step (bool with_second_calls)
{
  const guint64 work_us = 80 * GSPAN_MS;
  const guint64 hang_us = 2 * GSPAN_SECOND;
  const unsigned places = 4;
  std::vector<ReplayedCall> calls (160);
  struct Open
  {
    size_t call;
    unsigned replica;
    guint64 ends_at;
    bool answers;
  };
  std::vector<Open> open;
  guint64 now = 1000 * GSPAN_SECOND;
  guint64 last_text = now + 2 * GSPAN_SECOND;
  size_t scored = 0;
  guint32 lot = 1;

  for (size_t i = 0; i < calls.size (); i++)
    calls[i].owed_at = now + (last_text - now) * i / calls.size ();
  for (; scored < calls.size () && now < last_text + 20 * GSPAN_SECOND; now += 10 * GSPAN_MS)
    {
      for (size_t i = 0; i < open.size ();)
        {
          if (open[i].ends_at > now)
            {
              i++;
              continue;
            }
          ReplayedCall &call = calls[open[i].call];
          call.state.open_calls--;
          if (open[i].answers && !call.is_scored)
            {
              call.is_scored = true;
              scored++;
            }
          else if (!call.is_scored)
            {
              call.failed_at = open[i].replica;
              gspan_reward_note_failure (&call.state, now, lot += 7919);
            }
          open.erase (open.begin () + (long)i);
        }
      for (size_t i = 0; i < calls.size (); i++)
        {
          ReplayedCall &call = calls[i];
          unsigned busy[4] = { 0, 0, 0, 0 };
          unsigned best = 4;

          if (call.is_scored || call.owed_at > now
              || !gspan_reward_call_due (&call.state, now, 400 * GSPAN_MS)
              || (!with_second_calls && call.state.open_calls > 0))
            continue;
          for (const auto &other : open)
            busy[other.replica] += other.call == i ? 100 : 1;
          for (unsigned replica = 0; replica < 4; replica++)
            if (replica != call.failed_at && busy[replica] < places
                && (best == 4 || busy[replica] < busy[best]))
              best = replica;
          if (best == 4)
            break;
          call.state.open_calls++;
          call.state.last_sent_at_us = now;
          open.push_back ({ i, best, now + (best == 0 ? hang_us : work_us), best != 0 });
        }
    }
  EXPECT_EQ (scored, calls.size ());
  return now - last_text;
}

TEST (RewardPlan, StepBesideAReplicaThatHangsIsScoredSoon)
{
  guint64 ours = replay_step (true);
  guint64 one_at_a_time = replay_step (false);

  EXPECT_LE (ours, 600 * GSPAN_MS);
  EXPECT_GE (one_at_a_time, 2 * ours) << "what a single call at a time takes";
}

TEST (RewardPlan, FailuresPauseLongerUpToABoundAndApart)
{
  GspanRewardState state{};
  std::set<guint64> times;
  guint64 now = 1000 * GSPAN_SECOND;
  guint64 longest = 0;

  for (guint32 i = 0; i < 20; i++)
    {
      gspan_reward_note_failure (&state, now, i * 2654435761U);
      EXPECT_GT (state.next_at_us, now);
      longest = std::max (longest, state.next_at_us - now);
      times.insert (state.next_at_us);
    }
  EXPECT_LE (longest, 800 * GSPAN_MS);
  EXPECT_GE (longest, 400 * GSPAN_MS);
  EXPECT_GE (times.size (), 15U);
}

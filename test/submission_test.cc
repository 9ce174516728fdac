#include "test/node_world.h"

#include <deque>
#include <set>

/*
 * Submissions of batch jobs whose calls to the store fail in any way: a refusal promises that no
 * part of the job runs, now or later.
 */

class Submission : public NodeTest
{
protected:
  std::deque<StoreFault> head_faults; /* of the next creates of heads; then there are none */
  StoreFault part_fault = StoreFault::None;

  Rig &
  start (unsigned nodes = 1)
  {
    Rig &rig = start_nodes (nodes);

    world.fault_of = [this] (const Rig &, const GspanStoreCall &call) {
      StoreFault fault = StoreFault::None;

      if (call.op != GSPAN_STORE_CREATE)
        return world.fault;
      if (strcmp (call.kind, "job-j1") == 0)
        return part_fault;
      if (strcmp (call.kind, "jobs") != 0 || head_faults.empty ())
        return world.fault;
      fault = head_faults.front ();
      head_faults.pop_front ();
      return fault;
    };
    return rig;
  }

  int
  status_of (const Rig &rig, guint64 id)
  {
    const CallerResponse *answer = response_to (rig, id);

    return answer != nullptr ? answer->status : 0;
  }

  /* Submits JOB as request ID and returns what it is answered. */
  int
  submit (Rig &rig, guint64 id, const std::string &job = "j1")
  {
    submit_job (rig, id, job, 4);
    for (int i = 0; i < 200 && status_of (rig, id) == 0; i++)
      world.run (10 * GSPAN_MS);
    return status_of (rig, id);
  }
};

TEST_F (Submission, HeadThatStandsIsAcceptedWhateverTheRepeatedCreatesAreAnswered)
{
  const StoreFault after = StoreFault::LostAfter;
  const StoreFault before = StoreFault::LostBefore;
  const StoreFault late = StoreFault::AppliedLate;
  const StoreFault busy = StoreFault::Busy;
  Rig &rig = start ();
  guint64 id = 0;

  for (const auto &faults : std::vector<std::deque<StoreFault>>{
           { after }, { after, busy }, { after, busy, busy }, { before, after }, { late, busy } })
    {
      head_faults = faults;
      id++;
      EXPECT_EQ (submit (rig, id, "k" + std::to_string (id)), 202) << id;
      EXPECT_EQ (world.objects["jobs"].size (), id);
    }
}

TEST_F (Submission, RefusedCreateAfterAnUnknownOneIsNoRefusalOfTheJob)
{
  Rig &rig = start ();

  head_faults.assign (20, StoreFault::Busy);
  head_faults[0] = StoreFault::LostAfter;
  EXPECT_NE (submit (rig, 1), 503);
}

/* The first create is done by the store seconds later: nothing may be promised until then. */
TEST_F (Submission, JobIsNotRefusedWhileAnEarlierCreateMayStillBeDone)
{
  Rig &rig = start ();

  head_faults.assign (20, StoreFault::LostBefore);
  head_faults[0] = StoreFault::AppliedLate;
  EXPECT_EQ (submit (rig, 1), 502);
  head_faults.assign (20, StoreFault::Busy);
  EXPECT_EQ (submit (rig, 2), 502);
  part_fault = StoreFault::Busy;
  EXPECT_EQ (submit (rig, 3), 502);
  part_fault = StoreFault::Unreachable;
  EXPECT_EQ (submit (rig, 4), 502);
  head_faults.clear ();
  world.run (2 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["jobs"].size (), 1U);
  EXPECT_EQ (submit (rig, 5), 202);
}

TEST_F (Submission, NodeThatDrainsOrLosesTheStoreDoesNotRefuseAJobThatMayStand)
{
  Rig &rig = start ();

  head_faults.assign (20, StoreFault::LostBefore);
  EXPECT_EQ (submit (rig, 1), 502);
  world.fault = StoreFault::Unreachable;
  world.run (5 * GSPAN_SECOND);
  EXPECT_EQ (submit (rig, 2), 502);
  rig.drain ();
  EXPECT_EQ (submit (rig, 3), 502);
}

/* Long after the last create nothing is under way any more, and refusals are true again. */
TEST_F (Submission, JobIsRefusedAgainLongAfterAnUnknownCreate)
{
  Rig &rig = start ();

  head_faults.assign (20, StoreFault::LostBefore);
  EXPECT_EQ (submit (rig, 1), 502);
  head_faults.clear ();
  world.run (60 * GSPAN_SECOND);
  world.fault = StoreFault::Busy;
  world.run (GSPAN_SECOND);
  EXPECT_EQ (submit (rig, 2), 503);
  EXPECT_TRUE (response_to (rig, 2)->has ("Retry-After"));
}

TEST_F (Submission, JobThatTheWatchBringsMeanwhileIsAcceptedThoughTheOwnCreateIsRefused)
{
  Rig &rig = start (2);
  unsigned parts = 0;

  world.fault_of = [&] (const Rig &at, const GspanStoreCall &call) {
    if (&at != &rig || call.op != GSPAN_STORE_CREATE)
      return StoreFault::None;
    if (strcmp (call.kind, "jobs") == 0)
      return StoreFault::Busy;
    return parts++ == 0 ? StoreFault::LostAfter : StoreFault::None;
  };
  submit_job (rig, 1, "j1", 4);
  submit_job (*world.rigs[1], 2, "j1", 4);
  world.run (100 * GSPAN_MS);
  EXPECT_EQ (parts, 2U);
  EXPECT_EQ (status_of (*world.rigs[1], 2), 202);
  EXPECT_EQ (status_of (rig, 1), 202);
}

TEST_F (Submission, RequestThatJoinsASubmissionIsToldTheSame)
{
  Rig &rig = start ();

  head_faults.assign (20, StoreFault::Busy);
  head_faults[0] = StoreFault::LostAfter;
  submit_job (rig, 1, "j1", 4);
  world.run (20 * GSPAN_MS);
  EXPECT_NE (submit (rig, 2), 503);
  EXPECT_EQ (status_of (rig, 1), status_of (rig, 2));
}

TEST_F (Submission, CallerIsAnsweredBeforeItsTimeIsUp)
{
  Rig &rig = start ();
  std::vector<std::string> headers
      = { "Host: a.example", "X-Attempt-Id: j1", "X-Deadline-Ms: 1000" };

  world.fault = StoreFault::Unreachable;
  rig.request (1, "POST", "/batch/j1", headers, job_body (4, 0));
  world.run (950 * GSPAN_MS);
  EXPECT_EQ (status_of (rig, 1), 503) << "no head was sent, and none will be";
  world.fault = StoreFault::None;
  world.run (5 * GSPAN_SECOND);
  EXPECT_TRUE (world.objects["jobs"].empty ());
  world.create_reply_delay_us = 20 * GSPAN_MS;
  rig.request (2, "POST", "/batch/j1", headers, job_body (4, 0));
  world.run (30 * GSPAN_MS);
  world.fault = StoreFault::Unreachable;
  world.run (920 * GSPAN_MS);
  EXPECT_EQ (status_of (rig, 2), 502) << "the create of the head was under way";
}

/* JSON has no way to write it, so that no head could say where the job came from. */
TEST_F (Submission, JobWhoseHostOrPathIsNoUtf8IsRejectedBeforeAnythingIsStored)
{
  const std::pair<const char *, const char *> odd[] = {
    { "a.example", "/batch/\xff" },
    { "a.example", "/batch/x?y=\xc3" },
    { "a.example", "/batch/\xed\xa0\x80" },
    { "a.example:\xff", "/batch/x" },
  };
  Rig &rig = start ();
  guint64 id = 0;

  for (const auto &[host, path] : odd)
    {
      std::string job = "u" + std::to_string (++id);

      rig.request (id, "POST", path, { std::string ("Host: ") + host, "X-Attempt-Id: " + job },
                   job_body (2, 0));
      world.run (3 * GSPAN_SECOND);
      EXPECT_EQ (status_of (rig, id), 400) << id;
      EXPECT_TRUE (world.objects["job-" + job].empty ()) << id;
      EXPECT_EQ (world.objects["jobs"].count (job), 0U) << id;
    }
  rig.request (++id, "POST", "/batch/\xc3\xa9", { "Host: a.example", "X-Attempt-Id: sound" },
               job_body (2, 0));
  world.run (GSPAN_SECOND);
  EXPECT_EQ (status_of (rig, id), 202);
}

/*
 * Tries at any nodes under any faults: a node refuses a job only where each of its own creates of
 * the head was refused; a job whose tries were all refused never stands.
 */
RC_GTEST_PROP (SubmissionProperty, RefusedJobNeverStands,
               (const std::vector<std::pair<uint8_t, uint8_t>> &tries,
                const std::vector<uint8_t> &faults))
{
  World world;
  std::set<std::string> uncertain; /* nodes with a create of the head whose fate they don't know */
  size_t at = 0;
  bool all_refused = true;
  bool calm = true;
  guint64 id = 0;

  world.put ("config", "main", config_spec (3).c_str ());
  world.put ("servers", "m1", replica_spec ("llm", 3, 1).c_str ());
  for (unsigned i = 0; i < 3; i++)
    world.add ("vm-" + std::to_string (i + 1));
  world.run (2 * GSPAN_SECOND);
  world.fault_of = [&] (const Rig &rig, const GspanStoreCall &call) {
    if (calm || faults.empty () || call.op != GSPAN_STORE_CREATE)
      return StoreFault::None;
    StoreFault fault = (StoreFault)(faults[at++ % faults.size ()] % 6);
    bool of_head = strcmp (call.kind, "jobs") == 0;
    if (of_head && fault != StoreFault::Busy && fault != StoreFault::None)
      uncertain.insert (rig.name);
    return fault;
  };
  calm = false;
  for (size_t i = 0; i < tries.size () && i < 6; i++)
    {
      Rig &rig = *world.rigs[tries[i].first % 3];
      int status = 0;

      rig.request (++id, "POST", "/batch/j1",
                   { "Host: a.example", "X-Attempt-Id: j1", "X-Deadline-Ms: 2000" },
                   job_body (3, 0));
      world.run (10 * GSPAN_MS * (tries[i].second % 220));
      for (const auto &answer : rig.responses)
        if (answer.request == id)
          status = answer.status;
      all_refused = all_refused && status == 503;
      if (status == 503)
        RC_ASSERT (uncertain.count (rig.name) == 0);
      if (status == 202)
        RC_ASSERT (world.objects["jobs"].size () == 1U);
    }
  if (tries.empty () || !all_refused)
    return;
  world.run (5 * GSPAN_SECOND);
  RC_ASSERT (world.objects["jobs"].empty ());
}

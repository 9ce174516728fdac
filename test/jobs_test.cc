#include "test/node_world.h"

#include <set>

/*
 * Batch jobs on simulated nodes: submission, runs, committing and reading results, ownership,
 * checkpoints and removal.
 */

class Jobs : public NodeTest
{
protected:
  /* Finishes all runs of all nodes until there are none for 80 steps. */
  void
  serve_all (unsigned events = 3)
  {
    for (int idle_steps = 0; idle_steps < 80; idle_steps++)
      {
        world.run (20 * GSPAN_MS);
        for (auto &rig : world.rigs)
          for (auto &run : open_runs (*rig))
            {
              finish_run (*rig, run, events);
              idle_steps = 0;
            }
      }
  }

  /* Item ids of all results of JOB, as the node RIG returns them. */
  std::vector<std::string>
  all_results (Rig &rig, const std::string &job, guint64 id = 900)
  {
    read_results (rig, id, job, 0);
    world.run (3 * GSPAN_SECOND);
    const CallerResponse *answer = response_to (rig, id);
    if (answer == nullptr || answer->status != 200)
      return {};
    return result_ids (*answer);
  }
};

TEST_F (Jobs, SubmissionIsAcceptedOnlyAfterTheHeadIsStored)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 4);
  EXPECT_EQ (response_to (rig, 1), nullptr);
  world.run (5 * GSPAN_MS);
  EXPECT_EQ (response_to (rig, 1), nullptr);
  world.run (100 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 202);
  EXPECT_EQ (world.objects["jobs"].size (), 1U);
}

TEST_F (Jobs, RefusedSubmissionNeverRuns)
{
  Rig &rig = start_nodes ();

  world.fault = StoreFault::Busy;
  submit_job (rig, 1, "j1", 4);
  world.run (200 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 503);
  EXPECT_TRUE (response_to (rig, 1)->has ("Retry-After"));
  world.fault = StoreFault::None;
  world.run (10 * GSPAN_SECOND);
  EXPECT_TRUE (open_runs (rig).empty ());
}

TEST_F (Jobs, UnknownOutcomeOfTheHeadWriteIs502)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 4);
  world.run (10 * GSPAN_MS); /* the parts are stored, the create call of the head is in flight */
  world.fault = StoreFault::AppliedLate;
  world.run (200 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 502);
}

TEST_F (Jobs, HeadWriteWithALostReplyIsConfirmedByARead)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 4);
  world.run (10 * GSPAN_MS);
  world.fault = StoreFault::LostAfter;
  world.run (20 * GSPAN_MS);
  world.fault = StoreFault::None;
  world.run (200 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 202);
}

TEST_F (Jobs, RepeatedSubmissionsCreateOneJob)
{
  Rig &rig = start_nodes (2);

  submit_job (rig, 1, "j1", 4);
  submit_job (rig, 2, "j1", 4);
  submit_job (*world.rigs[1], 3, "j1", 4);
  world.run (300 * GSPAN_MS);
  EXPECT_EQ (response_to (rig, 1)->status, 202);
  EXPECT_EQ (response_to (rig, 2)->status, 202);
  EXPECT_EQ (response_to (*world.rigs[1], 3)->status, 202);
  serve_all ();
  EXPECT_EQ (all_results (rig, "j1").size (), 4U);
}

TEST_F (Jobs, InvalidJobIsRefusedWithThePositionOfTheError)
{
  Rig &rig = start_nodes ();

  rig.request (1, "POST", "/batch/j1", { "Host: a.example", "X-Attempt-Id: j1" }, "{\"items\":[");
  EXPECT_EQ (response_to (rig, 1)->status, 400);
  EXPECT_NE (response_to (rig, 1)->body.find ("line 1"), std::string::npos);
  rig.request (2, "POST", "/batch/j1", { "Host: a.example", "X-Attempt-Id: j1" },
               "{\"items\":[{\"id\":\"a\",\"path\":\"/batch/x\"},{\"id\":3}]}");
  EXPECT_NE (response_to (rig, 2)->body.find ("items[1]"), std::string::npos);
  rig.request (3, "POST", "/batch/j1", { "Host: a.example", "X-Attempt-Id: ../x" },
               job_body (1, 0));
  EXPECT_EQ (response_to (rig, 3)->status, 400);
}

TEST_F (Jobs, ResultHasTheTextOfAllEventsAndTheirWeightVersions)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 1);
  world.run (200 * GSPAN_MS);
  ASSERT_EQ (open_runs (rig).size (), 1U);
  Exchange run = open_runs (rig)[0];
  EXPECT_EQ (run.body, "hi");
  EXPECT_EQ (run.header ("X-Attempt-Id"), "i0");
  rig.http_head (run, 200, stream_head (1));
  rig.http_data (run, 200, stream_head (1), sse (1) + "x-weight-versions: 2\nid: 2\ndata: d2\n\n");
  rig.http_done (run, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
  world.run (300 * GSPAN_MS);
  read_results (rig, 2, "j1", 0);
  world.run (100 * GSPAN_MS);
  ASSERT_NE (response_to (rig, 2), nullptr);
  EXPECT_EQ (response_to (rig, 2)->body,
             "{\"total\":1,\"next\":1,\"results\":[{\"id\":\"i0\",\"state\":\"completed\","
             "\"output\":\"d1\\nd2\",\"versions\":[1,2]}]}");
}

TEST_F (Jobs, LostRunResumesAtAnotherReplicaAfterItsLastEvent)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 1);
  world.run (200 * GSPAN_MS);
  Exchange first = open_runs (rig)[0];
  rig.http_head (first, 200, stream_head (1));
  rig.http_data (first, 200, stream_head (1), sse (1) + sse (2) + "id: 3\ndata: d");
  rig.http_done (first, GSPAN_HTTP_LOST, 200, stream_head (1), "");
  world.run (100 * GSPAN_MS);
  ASSERT_EQ (open_runs (rig).size (), 1U);
  Exchange second = open_runs (rig)[0];
  EXPECT_NE (second.url, first.url);
  EXPECT_EQ (second.header ("Last-Event-Id"), "2");
  finish_run (rig, second, 3);
  EXPECT_EQ (all_results (rig, "j1"), std::vector<std::string>{ "i0" });
  EXPECT_NE (response_to (rig, 900)->body.find ("d1\\nd2\\nd3"), std::string::npos);
}

/*
 * A trainer's step waits for its slowest group. A replica that becomes slow in the middle of its
 * runs must not delay the step, so they resume at faster replicas.
 */
TEST_F (Jobs, RunsMoveAwayFromASlowReplica)
{
  Rig &rig = start_nodes ();
  std::map<std::string, unsigned> events;

  world.put ("servers", "m3", replica_spec ("llm", 5, 1).c_str ());
  world.put ("servers", "m4", replica_spec ("llm", 6, 1).c_str ());
  world.run (GSPAN_SECOND);
  submit_job (rig, 1, "j1", 6);
  world.run (200 * GSPAN_MS);
  ASSERT_EQ (open_runs (rig).size (), 6U);
  std::string slow = open_runs (rig)[0].url;
  std::set<std::string> started_slow;
  for (auto &run : open_runs (rig))
    {
      if (run.url == slow)
        started_slow.insert (run.header ("X-Attempt-Id"));
      rig.http_head (run, 200, stream_head (1));
    }
  for (int step = 0; step < 60; step++)
    {
      world.run (40 * GSPAN_MS);
      for (auto &run : open_runs (rig))
        if (run.url != slow || step % 5 == 0)
          rig.http_data (run, 200, stream_head (1), sse (++events[run.header ("X-Attempt-Id")]));
    }
  EXPECT_TRUE (rig.logged ("event=run-moved"));
  for (auto &run : open_runs (rig))
    {
      bool moved = started_slow.count (run.header ("X-Attempt-Id")) > 0;

      EXPECT_NE (run.url, slow);
      EXPECT_EQ (run.header ("Last-Event-Id").empty (), !moved);
    }
}

/*
 * A trainer polls twice a second. Results that don't complete the groups it waits for are batched,
 * so that they cost fewer writes; those that do must not wait.
 */
TEST_F (Jobs, WantedGroupIsCommittedAtOnceAndOtherResultsAreBatched)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 6); /* groups of two, and one group is wanted */
  world.run (1200 * GSPAN_MS);
  auto started = open_runs (rig);
  ASSERT_EQ (started.size (), 6U);
  std::map<std::string, Exchange> run_of;
  for (auto &run : started)
    run_of[run.header ("X-Attempt-Id")] = run;
  unsigned segments_before = world.call_counts["create job-j1"];
  finish_run (rig, run_of["i0"], 2);
  world.run (50 * GSPAN_MS);
  /* written at once, since nothing was written for longer than a batching window */
  EXPECT_EQ (world.call_counts["create job-j1"], segments_before + 1);
  finish_run (rig, run_of["i2"], 2);
  world.run (200 * GSPAN_MS);
  EXPECT_EQ (world.call_counts["create job-j1"], segments_before + 1);
  finish_run (rig, run_of["i1"], 2);
  world.run (50 * GSPAN_MS);
  EXPECT_EQ (world.call_counts["create job-j1"], segments_before + 2);
  read_results (rig, 2, "j1", 0);
  ASSERT_NE (response_to (rig, 2), nullptr);
  EXPECT_EQ (result_ids (*response_to (rig, 2)).size (), 3U);
}

TEST_F (Jobs, EventOutOfOrderIsDroppedAndTheRunResumed)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 1);
  world.run (200 * GSPAN_MS);
  Exchange first = open_runs (rig)[0];
  rig.http_head (first, 200, stream_head (1));
  rig.http_data (first, 200, stream_head (1), sse (1) + sse (3));
  world.run (100 * GSPAN_MS);
  ASSERT_EQ (open_runs (rig).size (), 1U);
  EXPECT_EQ (open_runs (rig)[0].header ("Last-Event-Id"), "1");
}

TEST_F (Jobs, StreamThatEndsInsideAnEventIsResumed)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 1);
  world.run (200 * GSPAN_MS);
  Exchange first = open_runs (rig)[0];
  rig.http_head (first, 200, stream_head (1));
  rig.http_data (first, 200, stream_head (1), sse (1) + "id: 2\ndata:");
  rig.http_done (first, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
  world.run (100 * GSPAN_MS);
  ASSERT_EQ (open_runs (rig).size (), 1U);
  EXPECT_EQ (open_runs (rig)[0].header ("Last-Event-Id"), "1");
}

TEST_F (Jobs, ReplicasBelowTheMinimumWeightVersionAreNotUsed)
{
  Rig &rig = start_nodes (1, 1);

  submit_job (rig, 1, "j1", 2, 2);
  world.run (GSPAN_SECOND);
  EXPECT_TRUE (open_runs (rig).empty ());
  world.put ("servers", "m2", replica_spec ("llm", 4, 2).c_str ());
  world.run (2 * GSPAN_SECOND);
  ASSERT_EQ (open_runs (rig).size (), 2U);
  for (auto &run : open_runs (rig))
    EXPECT_NE (run.url.find ("10.0.0.4:"), std::string::npos);
  /* a replica may run an older weight version than it registered: its events are discarded */
  Exchange run = open_runs (rig)[0];
  rig.http_head (run, 200, stream_head (1));
  rig.http_data (run, 200, stream_head (1), sse (1));
  world.run (GSPAN_SECOND);
  for (auto &again : open_runs (rig))
    EXPECT_EQ (again.header ("Last-Event-Id"), "");
}

TEST_F (Jobs, SingleVersionRouteNeverMixesWeightVersions)
{
  Rig &rig = start_nodes ();
  std::string spec = config_spec (4);

  spec.replace (spec.find ("\"singleVersion\":false"), 21, "\"singleVersion\":true");
  world.put ("config", "main", spec.c_str ());
  world.run (GSPAN_SECOND);
  submit_job (rig, 1, "j1", 1);
  world.run (200 * GSPAN_MS);
  Exchange first = open_runs (rig)[0];
  rig.http_head (first, 200, stream_head (1));
  rig.http_data (first, 200, stream_head (1), sse (1) + "x-weight-versions: 2\n" + sse (2));
  world.run (GSPAN_SECOND);
  ASSERT_EQ (open_runs (rig).size (), 1U);
  EXPECT_EQ (open_runs (rig)[0].header ("Last-Event-Id"), "");
  finish_run (rig, open_runs (rig)[0], 2, 2);
  all_results (rig, "j1");
  EXPECT_NE (response_to (rig, 900)->body.find ("\"versions\":[2]"), std::string::npos);
}

TEST_F (Jobs, ItemIsAbandonedAfter422OrTheLastAllowed500)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 2);
  world.run (200 * GSPAN_MS);
  Exchange never = open_runs (rig)[0];
  rig.http_done (never, GSPAN_HTTP_COMPLETE, 422, signed_head, "");
  for (int i = 0; i < 3; i++)
    {
      ASSERT_EQ (open_runs (rig).size (), 1U);
      rig.http_done (open_runs (rig)[0], GSPAN_HTTP_COMPLETE, 500, signed_head, "");
      world.run (100 * GSPAN_MS);
    }
  EXPECT_TRUE (open_runs (rig).empty ());
  read_results (rig, 2, "j1", 0);
  world.run (GSPAN_SECOND);
  const std::string &body = response_to (rig, 2)->body;
  EXPECT_NE (body.find ("abandoned"), std::string::npos);
  EXPECT_EQ (body.find ("completed"), std::string::npos);
}

TEST_F (Jobs, ItemIsAbandonedAfterTheMaximumQueueTime)
{
  Rig &rig = start_nodes ();

  world.remove ("servers", "m1");
  world.remove ("servers", "m2");
  world.run (2 * GSPAN_SECOND);
  submit_job (rig, 1, "j1", 1);
  world.run (39 * GSPAN_SECOND);
  EXPECT_EQ (rig.node.metrics.values[GSPAN_METRIC_ITEMS_ABANDONED], 0U);
  world.run (3 * GSPAN_SECOND);
  EXPECT_EQ (rig.node.metrics.values[GSPAN_METRIC_ITEMS_ABANDONED], 1U);
}

TEST_F (Jobs, ResultPositionsAreTheSameAtEachNode)
{
  Rig &rig = start_nodes (3);

  submit_job (rig, 1, "j1", 12);
  serve_all ();
  auto at_owner = all_results (rig, "j1", 900);
  auto elsewhere = all_results (*world.rigs[1], "j1", 901);
  EXPECT_EQ (at_owner.size (), 12U);
  EXPECT_EQ (at_owner, elsewhere);
  EXPECT_EQ (std::set<std::string> (at_owner.begin (), at_owner.end ()).size (), 12U);
}

/* A list call that returns one page must not count as having read all segments. */
TEST_F (Jobs, ReaderGetsResultsBeyondTheFirstListPage)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (rig, 1, "j1", 8);
  world.run (200 * GSPAN_MS);
  /* the pauses put each result into a segment of its own */
  for (int i = 0; i < 3; i++)
    {
      finish_run (rig, open_runs (rig)[0], 2);
      world.run (2600 * GSPAN_MS);
    }
  EXPECT_EQ (all_results (other, "j1", 900).size (), 3U);
  for (int i = 0; i < 4; i++)
    {
      finish_run (rig, open_runs (rig)[0], 2);
      world.run (2600 * GSPAN_MS);
    }
  world.page_size = 2;
  read_results (other, 901, "j1", 6);
  world.run (2 * GSPAN_SECOND);
  ASSERT_NE (response_to (other, 901), nullptr);
  EXPECT_EQ (result_ids (*response_to (other, 901)).size (), 1U);
}

/*
 * A node that is cut off from the store can't know whether the owner has committed results, so it
 * responds 503 instead of an empty page.
 */
TEST_F (Jobs, EmptyPageRequiresAListAfterTheReaderArrived)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (rig, 1, "j1", 8);
  world.run (500 * GSPAN_MS);
  read_results (other, 900, "j1", 0);
  world.run (GSPAN_SECOND);
  EXPECT_EQ (response_to (other, 900)->status, 200);
  other.cut_from_store = true;
  world.run (10 * GSPAN_MS);
  read_results (other, 901, "j1", 0, 1000);
  world.run (2500 * GSPAN_MS);
  ASSERT_NE (response_to (other, 901), nullptr);
  EXPECT_EQ (response_to (other, 901)->status, 503);
}

/* The trainer's next step waits for this response, whichever node it polls. */
TEST_F (Jobs, ProgressNotificationServesAReaderAtAnotherNodeWithFewLists)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (rig, 1, "j1", 2);
  world.run (500 * GSPAN_MS);
  read_results (other, 900, "j1", 0, 1000);
  world.run (550 * GSPAN_MS);
  unsigned lists = world.call_counts["list job-j1"];
  for (auto &run : open_runs (rig))
    finish_run (rig, run, 2);
  world.run (60 * GSPAN_MS);
  ASSERT_NE (response_to (other, 900), nullptr);
  EXPECT_EQ (result_ids (*response_to (other, 900)).size (), 2U);
  EXPECT_LE (lists, 1U);
}

/*
 * A trainer reads each part of its results at another node. A node that had to read all segments
 * for that would transfer a whole step for its last few results.
 */
TEST_F (Jobs, ReaderAtAnotherNodeCostsOnlyTheSegmentsFromItsPositionOn)
{
  Rig &rig = start_nodes (3);
  Rig &other = *world.rigs[1];
  Rig &third = *world.rigs[2];

  submit_job (rig, 1, "j1", 8);
  for (unsigned i = 0; i < 4; i++)
    {
      world.run (3 * GSPAN_SECOND); /* the pauses put each pair into a segment of its own */
      auto runs = open_runs (rig);
      ASSERT_GE (runs.size (), 2U);
      finish_run (rig, runs[0], 2);
      finish_run (rig, runs[1], 2);
    }
  world.run (3 * GSPAN_SECOND);
  ASSERT_EQ (all_results (rig, "j1").size (), 8U);
  auto all = result_ids (*response_to (rig, 900));

  read_results (other, 901, "j1", 6);
  world.run (100 * GSPAN_MS);
  ASSERT_NE (response_to (other, 901), nullptr);
  EXPECT_EQ (result_ids (*response_to (other, 901)),
             std::vector<std::string> (all.begin () + 6, all.end ()));
  EXPECT_NE (response_to (other, 901)->body.find ("\"next\":8"), std::string::npos);
  GspanJob *job = gspan_jobs_find (&other.node.jobs, "j1");
  EXPECT_EQ (job->first_cached, 6U) << "the segments before aren't read";

  read_results (other, 902, "j1", 3);
  world.run (300 * GSPAN_MS);
  ASSERT_NE (response_to (other, 902), nullptr);
  EXPECT_EQ (result_ids (*response_to (other, 902)),
             std::vector<std::string> (all.begin () + 3, all.end ()))
      << "an earlier position has them read after all";

  read_results (third, 905, "j1", 7, 1000);
  world.run (10 * GSPAN_MS); /* the owner's reply has come, the segment hasn't */
  read_results (third, 906, "j1", 2, 1000);
  world.run (300 * GSPAN_MS);
  ASSERT_NE (response_to (third, 905), nullptr);
  ASSERT_NE (response_to (third, 906), nullptr);
  EXPECT_EQ (result_ids (*response_to (third, 905)), std::vector<std::string>{ all[7] });
  EXPECT_EQ (result_ids (*response_to (third, 906)),
             std::vector<std::string> (all.begin () + 2, all.end ()));

  gspan_job_unload (gspan_jobs_find (&third.node.jobs, "j1"));
  for (auto &object : world.objects["job-j1"])
    json_object_del (object.second.spec, "first"); /* as a node of an earlier version writes them */
  read_results (third, 907, "j1", 6, 1000);
  world.run (300 * GSPAN_MS);
  ASSERT_NE (response_to (third, 907), nullptr);
  EXPECT_EQ (result_ids (*response_to (third, 907)),
             std::vector<std::string> (all.begin () + 6, all.end ()));
  EXPECT_EQ (gspan_jobs_find (&third.node.jobs, "j1")->first_cached, 0U);

  gspan_job_unload (gspan_jobs_find (&third.node.jobs, "j1"));
  world.lose_datagrams = true;
  read_results (third, 903, "j1", 5);
  world.run (500 * GSPAN_MS);
  ASSERT_NE (response_to (third, 903), nullptr);
  EXPECT_EQ (result_ids (*response_to (third, 903)),
             std::vector<std::string> (all.begin () + 5, all.end ()))
      << "without the owner's reply all are read";
}

/* Two positions at one node, and the job's owner dies: nothing moves. */
TEST_F (Jobs, NodeThatCachesTheEndOfAJobReadsAllWhenItBecomesOwner)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (rig, 1, "j1", 6);
  for (unsigned i = 0; i < 2; i++)
    {
      world.run (3 * GSPAN_SECOND);
      auto runs = open_runs (rig);
      finish_run (rig, runs[0], 2);
      finish_run (rig, runs[1], 2);
    }
  world.run (3 * GSPAN_SECOND);
  auto before = all_results (rig, "j1");
  ASSERT_EQ (before.size (), 4U);
  read_results (other, 901, "j1", 3);
  world.run (200 * GSPAN_MS);
  ASSERT_GT (gspan_jobs_find (&other.node.jobs, "j1")->first_cached, 0U);
  rig.paused = true;
  world.run (8 * GSPAN_SECOND);
  serve_all (2);
  auto after = all_results (other, "j1", 902);
  ASSERT_EQ (after.size (), 6U);
  EXPECT_EQ (std::vector<std::string> (after.begin (), after.begin () + 4), before);
  EXPECT_EQ (std::set<std::string> (after.begin (), after.end ()).size (), 6U);
}

TEST_F (Jobs, ReaderAtAnotherNodeIsServedWithoutProgressNotifications)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  world.lose_datagrams = true;
  submit_job (rig, 1, "j1", 2);
  world.run (500 * GSPAN_MS);
  read_results (other, 900, "j1", 0, 1000);
  world.run (300 * GSPAN_MS);
  for (auto &run : open_runs (rig))
    finish_run (rig, run, 2);
  world.run (600 * GSPAN_MS);
  ASSERT_NE (response_to (other, 900), nullptr);
  EXPECT_EQ (result_ids (*response_to (other, 900)).size (), 2U);
}

/*
 * The steady clock stops while a VM is suspended, so the owner's cache is older than that clock
 * says. The age that it sends counts the wall clock too, and the reader's node lists again.
 */
TEST_F (Jobs, CacheOfASuspendedOwnerCountsAsStale)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (rig, 1, "j1", 4);
  world.run (500 * GSPAN_MS);
  read_results (other, 900, "j1", 0, 0);
  world.run (200 * GSPAN_MS);
  GspanJob *job = gspan_jobs_find (&rig.node.jobs, "j1");
  gspan_job_set_synced (job, world.now, world.wall_ms - 5000);
  read_results (other, 901, "j1", 0, 0);
  unsigned lists = world.call_counts["list job-j1"];
  world.run (600 * GSPAN_MS);
  ASSERT_NE (response_to (other, 901), nullptr);
  EXPECT_EQ (world.call_counts["list job-j1"], lists + 1);
}

TEST_F (Jobs, UnknownJobIs404OnlyAfterAReadOfTheStore)
{
  Rig &rig = start_nodes ();

  read_results (rig, 1, "nothing", 0);
  EXPECT_EQ (response_to (rig, 1), nullptr);
  world.run (100 * GSPAN_MS);
  EXPECT_EQ (response_to (rig, 1)->status, 404);
  world.fault = StoreFault::Unreachable;
  read_results (rig, 2, "nothing", 0);
  world.run (2 * GSPAN_SECOND);
  EXPECT_EQ (response_to (rig, 2)->status, 503);
}

TEST_F (Jobs, JobEndedAtAnotherNodeStopsItsRuns)
{
  Rig &rig = start_nodes (2);

  submit_job (rig, 1, "j1", 4);
  world.run (200 * GSPAN_MS);
  EXPECT_EQ (open_runs (rig).size (), 4U);
  world.rigs[1]->request (2, "DELETE", "/api/lots/j1", { "Host: a.example" }, "");
  world.run (500 * GSPAN_MS);
  EXPECT_EQ (response_to (*world.rigs[1], 2)->status, 200);
  EXPECT_TRUE (open_runs (rig).empty ());
  world.rigs[1]->request (3, "DELETE", "/api/lots/j1", { "Host: a.example" }, "");
  world.run (100 * GSPAN_MS);
  EXPECT_EQ (response_to (*world.rigs[1], 3)->status, 200);
}

TEST_F (Jobs, JobEndedAtAnotherNodeStopsInTimeWithoutDatagrams)
{
  Rig &rig = start_nodes (2);

  submit_job (rig, 1, "j1", 4);
  world.run (200 * GSPAN_MS);
  world.lose_datagrams = true;
  world.rigs[1]->request (2, "DELETE", "/api/lots/j1", { "Host: a.example" }, "");
  world.run (2500 * GSPAN_MS); /* ending a job may take up to 3 seconds */
  EXPECT_TRUE (open_runs (rig).empty ());
}

/*
 * The takeover candidates have never heard of the job, since all datagrams are lost. The holder of
 * the order lease finds it in the store.
 */
TEST_F (Jobs, JobThatOnlyItsFailedOwnerKnewIsTakenOver)
{
  start_nodes (2);
  world.lose_datagrams = true;
  submit_job (*world.rigs[0], 1, "j1", 4);
  world.run (300 * GSPAN_MS);
  world.rigs[0]->paused = true;
  world.run (60 * GSPAN_SECOND);
  EXPECT_EQ (world.rigs[1]->node.metrics.values[GSPAN_METRIC_ITEMS_ABANDONED]
                 + open_runs (*world.rigs[1]).size (),
             4U);
}

TEST_F (Jobs, EachNodeServesTheBodyOfAnItem)
{
  start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (*world.rigs[0], 1, "j1", 4);
  world.run (200 * GSPAN_MS);
  other.request (2, "GET", "/api/items/j1?id=i3", { "Host: a.example" }, "");
  world.run (200 * GSPAN_MS);
  ASSERT_NE (response_to (other, 2), nullptr);
  EXPECT_EQ (response_to (other, 2)->status, 200);
  EXPECT_EQ (response_to (other, 2)->body, "hi");
}

/* Earlier versions accepted jobs without a look at what their items put into requests. */
TEST_F (Jobs, StoredJobEndsThoughSomeOfItsItemsFitInNoRequest)
{
  const std::string odd[] = {
    R"("id":"i\r\nX-B: c","path":"/batch/x")",
    R"("id":"","path":"/batch/x")",
    R"("id":"o2","path":"/batch/x HTTP/1.1\r\nHost: b\r\n\r\n")",
    R"("id":"o3","path":"/batch/x y")",
    R"("id":"o4","path":"/batch/x","headers":{"X-A":"b\nc: d"})",
    R"("id":"o5","path":"/batch/x","headers":{"X-A: b\r\nX-B":"c"})",
    R"("id":"o6","path":"/batch/x","scorer":{"id":"s","host":"a\r\nX: y","path":"/batch/s"})",
    R"("id":"o7","path":"/batch/x","scorer":{"id":"s","host":"a.example","path":"/batch/s s"})",
  };
  const size_t odd_count = sizeof odd / sizeof odd[0];
  std::string content = R"({"model":"m0","items":[)";
  std::string checkpoint = R"({"items":[)";

  for (const auto &item : odd)
    content += "{" + item + R"(,"body":"aGk="},)";
  content += R"({"id":"sound","path":"/batch/x","headers":{"X-A":"b"},"body":"aGk="}]})";
  checkpoint += R"({"item":"o4","text":"a","versions":[1],"events":1},)"
                R"({"item":"o6","text":"a","versions":[1],"events":1,"whole":true}]})";
  g_autofree char *part = g_base64_encode ((const guchar *)content.data (), content.size ());
  world.put ("job-old", "part-000000", (R"({"content":")" + std::string (part) + "\"}").c_str ());
  world.put ("job-old", "checkpoint", checkpoint.c_str ());
  world.put ("jobs", "old",
             (R"({"host":"a.example","path":"/batch/x","owner":"","parts":1,"received_ms":0,)"
              R"("total":)"
              + std::to_string (odd_count + 1) + "}")
                 .c_str ());
  Rig &rig = start_nodes ();
  for (int i = 0; i < 1300; i++)
    {
      world.run (20 * GSPAN_MS);
      for (auto &run : open_runs (rig))
        {
          EXPECT_EQ (run.header ("X-Attempt-Id"), "sound");
          finish_run (rig, run, 3);
        }
    }
  EXPECT_EQ (all_results (rig, "old").size (), odd_count + 1);
  const std::string &body = response_to (rig, 900)->body;
  size_t abandoned = 0;
  for (size_t at = 0; (at = body.find ("abandoned", at)) != std::string::npos; at++)
    abandoned++;
  EXPECT_EQ (abandoned, odd_count);
  EXPECT_FALSE (gspan_jobs_is_busy (&rig.node.jobs));
}

TEST_F (Jobs, TakeoverKeepsResultsAndCommitsEachItemOnce)
{
  Rig &rig = start_nodes (3);

  submit_job (rig, 1, "j1", 8);
  world.run (200 * GSPAN_MS);
  auto started = open_runs (rig);
  finish_run (rig, started[0], 2);
  world.run (500 * GSPAN_MS);
  rig.paused = true;
  for (int i = 0; i < 1300; i++)
    {
      world.run (20 * GSPAN_MS);
      for (size_t r = 1; r < 3; r++)
        for (auto &run : open_runs (*world.rigs[r]))
          finish_run (*world.rigs[r], run, 2);
    }
  /* the former owner resumes, and the runs that it had started end */
  rig.paused = false;
  for (size_t i = 1; i < started.size (); i++)
    finish_run (rig, started[i], 2);
  world.run (3 * GSPAN_SECOND);
  auto ids = all_results (*world.rigs[1], "j1", 900);
  EXPECT_EQ (ids.size (), 8U);
  EXPECT_EQ (std::set<std::string> (ids.begin (), ids.end ()).size (), 8U);
  EXPECT_EQ (all_results (rig, "j1", 901), ids);
}

TEST_F (Jobs, OwnerKeepsItsJobAndResultsThroughAStoreOutage)
{
  Rig &rig = start_nodes (3);

  for (size_t i = 0; i < 3; i++)
    world.rigs[i]->node.self.udp_address = i == 0   ? "127.0.0.1:1"
                                           : i == 1 ? "127.0.0.1:2"
                                                    : "127.0.0.1:3";
  world.run (3 * GSPAN_SECOND);
  submit_job (rig, 1, "j1", 8);
  world.run (1500 * GSPAN_MS);
  world.fault = StoreFault::Busy;
  for (auto &run : open_runs (rig))
    finish_run (rig, run, 2);
  world.run (4 * GSPAN_SECOND);
  world.fault = StoreFault::None;
  world.run (6 * GSPAN_SECOND);
  EXPECT_TRUE (rig.node.jobs.by_id != nullptr && gspan_jobs_find (&rig.node.jobs, "j1")->is_owner);
  EXPECT_EQ (all_results (rig, "j1").size (), 8U);
  for (size_t i = 1; i < 3; i++)
    EXPECT_EQ (world.rigs[i]->node.metrics.values[GSPAN_METRIC_RUNS], 0U);
}

/* The owner's list call may return a segment before the reply to its own create call. */
TEST_F (Jobs, SegmentListedBeforeItsCreateReplyIsCommittedOnce)
{
  Rig &rig = start_nodes (2);

  submit_job (rig, 1, "j1", 8);
  world.run (800 * GSPAN_MS);
  auto started = open_runs (rig);
  world.create_reply_delay_us = 300 * GSPAN_MS;
  finish_run (rig, started[0], 2); /* its segment is created at once, the reply is delayed */
  world.run (30 * GSPAN_MS);
  finish_run (rig, started[1], 2);
  read_results (rig, 900, "j1", 1); /* an empty page makes the owner list, too */
  world.run (500 * GSPAN_MS);
  world.create_reply_delay_us = 0;
  for (size_t i = 2; i < started.size (); i++)
    finish_run (rig, started[i], 2);
  world.run (2 * GSPAN_SECOND);
  serve_all ();
  auto at_owner = all_results (rig, "j1", 901);
  EXPECT_EQ (at_owner.size (), 8U);
  EXPECT_EQ (all_results (*world.rigs[1], "j1", 902), at_owner);
}

TEST_F (Jobs, ItemCommittedByAnotherNodeIsNotCommittedAgain)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 2);
  world.run (200 * GSPAN_MS);
  auto started = open_runs (rig);
  ASSERT_EQ (started.size (), 2U);
  std::string other = started[0].header ("X-Attempt-Id");
  world.put ("job-j1", "result-000000",
             ("{\"results\":[{\"item\":\"" + other
              + "\",\"completed\":true,\"text\":\"t\",\"versions\":[1]}]}")
                 .c_str ());
  finish_run (rig, started[1], 2);
  world.run (500 * GSPAN_MS);
  finish_run (rig, started[0], 2);
  world.run (GSPAN_SECOND);
  EXPECT_EQ (all_results (rig, "j1").size (), 2U);
  EXPECT_EQ (world.objects["job-j1"].size (), 3U); /* one part, two segments */
}

TEST_F (Jobs, DrainingOwnerHandsItsJobOver)
{
  Rig &rig = start_nodes (2);

  submit_job (rig, 1, "j1", 4);
  world.run (200 * GSPAN_MS);
  world.run (2600 * GSPAN_MS);
  finish_run (rig, open_runs (rig)[0], 2);
  world.run (50 * GSPAN_MS);
  finish_run (rig, open_runs (rig)[0], 2); /* is batched with later results */
  rig.drain ();
  world.run (GSPAN_SECOND);
  EXPECT_TRUE (open_runs (rig).empty ());
  EXPECT_EQ (open_runs (*world.rigs[1]).size (), 2U);
  EXPECT_FALSE (gspan_jobs_is_busy (&rig.node.jobs));
}

/* Such an owner reports that it can't append segments, and its results are not waited for. */
TEST_F (Jobs, OwnerCutOffFromTheStoreIsReplacedWithinTwoSeconds)
{
  Rig &rig = start_nodes (3);

  submit_job (rig, 1, "j1", 4);
  world.run (500 * GSPAN_MS);
  rig.cut_from_store = true;
  finish_run (rig, open_runs (rig)[0], 2);
  world.run (1900 * GSPAN_MS);
  size_t elsewhere = open_runs (*world.rigs[1]).size () + open_runs (*world.rigs[2]).size ();
  EXPECT_EQ (elsewhere, 4U);
  EXPECT_TRUE (open_runs (rig).empty ());
}

/* The owner tells the others what it reads of the store; the cut comes at any point of its reads.
 */
class OwnerThatTells : public Jobs, public testing::WithParamInterface<unsigned>
{
};

TEST_P (OwnerThatTells, IsReplacedWithinTwoSecondsOfACutFromTheStore)
{
  Rig &rig = start_nodes (3);

  ASSERT_TRUE (rig.node.weights.lease.held);
  submit_job (rig, 1, "j1", 4);
  world.run (GetParam () * GSPAN_MS);
  rig.cut_from_store = true;
  finish_run (rig, open_runs (rig)[0], 2);
  world.run (1900 * GSPAN_MS);
  EXPECT_EQ (open_runs (*world.rigs[1]).size () + open_runs (*world.rigs[2]).size (), 4U);
  EXPECT_TRUE (open_runs (rig).empty ());
}

INSTANTIATE_TEST_SUITE_P (Phases, OwnerThatTells,
                          testing::Values (300, 400, 500, 600, 700, 800, 900, 1000, 1100, 1200));

/* Streams the events FIRST to LAST of RUN, without ending it. */
static void
stream_events (Rig &rig, const Exchange &run, unsigned first, unsigned last)
{
  rig.http_head (run, 200, stream_head (1));
  for (unsigned id = first; id <= last; id++)
    rig.http_data (run, 200, stream_head (1), sse (id));
}

TEST_F (Jobs, NewOwnerResumesFromTheCheckpoint)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (rig, 1, "j1", 1);
  world.run (200 * GSPAN_MS);
  stream_events (rig, open_runs (rig)[0], 1, 50);
  world.run (500 * GSPAN_MS);
  stream_events (rig, open_runs (rig)[0], 51, 60);
  rig.paused = true;
  world.run (6 * GSPAN_SECOND);
  ASSERT_EQ (open_runs (other).size (), 1U);
  Exchange run = open_runs (other)[0];
  EXPECT_EQ (run.header ("Last-Event-Id"), "50");
  finish_run (other, run, 70);
  auto ids = all_results (other, "j1", 900);
  ASSERT_EQ (ids.size (), 1U);
  std::string text = response_to (other, 900)->body;
  EXPECT_NE (text.find ("d49\\nd50\\nd51\\nd52"), std::string::npos);
  EXPECT_NE (text.find ("d69\\nd70\""), std::string::npos);
}

TEST_F (Jobs, DrainingOwnerWritesACheckpoint)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (rig, 1, "j1", 2);
  world.run (200 * GSPAN_MS);
  stream_events (rig, open_runs (rig)[0], 1, 12);
  rig.drain ();
  world.run (1500 * GSPAN_MS);
  ASSERT_EQ (open_runs (other).size (), 2U);
  std::multiset<std::string> from;
  for (auto &run : open_runs (other))
    from.insert (run.header ("Last-Event-Id"));
  EXPECT_EQ (from, (std::multiset<std::string>{ "", "12" }));
  EXPECT_FALSE (gspan_jobs_is_busy (&rig.node.jobs));
}

TEST_F (Jobs, FailedRunsOfAnItemAreCountedAcrossOwners)
{
  Rig &rig = start_nodes (2);
  Rig &other = *world.rigs[1];

  submit_job (rig, 1, "j1", 1);
  for (int i = 0; i < 2; i++)
    {
      world.run (200 * GSPAN_MS);
      ASSERT_EQ (open_runs (rig).size (), 1U);
      rig.http_done (open_runs (rig)[0], GSPAN_HTTP_COMPLETE, 500, signed_head, "");
    }
  rig.drain ();
  world.run (1500 * GSPAN_MS);
  ASSERT_EQ (open_runs (other).size (), 1U);
  other.http_done (open_runs (other)[0], GSPAN_HTTP_COMPLETE, 500, signed_head, "");
  world.run (1500 * GSPAN_MS);
  EXPECT_TRUE (open_runs (other).empty ());
  ASSERT_EQ (all_results (other, "j1", 900).size (), 1U);
  EXPECT_NE (response_to (other, 900)->body.find ("abandoned"), std::string::npos);
}

/* The handover must not fail because the texts are larger than the store's largest value. */
TEST_F (Jobs, HandoverCheckpointLeavesOutRunsThatDoNotFit)
{
  Rig &rig = start_nodes (2);
  std::string event = "id: 1\ndata: " + std::string (60000, 'x') + "\n\n";

  rig.node.limits.object_max_bytes = 500000;
  submit_job (rig, 1, "j1", 6);
  world.run (200 * GSPAN_MS);
  for (auto &run : open_runs (rig))
    {
      rig.http_head (run, 200, stream_head (1));
      rig.http_data (run, 200, stream_head (1), event);
      for (unsigned id = 2; id < 8; id++)
        rig.http_data (run, 200, stream_head (1), sse (id));
    }
  rig.drain ();
  world.run (1500 * GSPAN_MS);
  ASSERT_EQ (open_runs (*world.rigs[1]).size (), 6U);
  size_t kept = 0;
  for (auto &run : open_runs (*world.rigs[1]))
    kept += run.header ("Last-Event-Id") == "7";
  EXPECT_EQ (kept, 3U);
}

/* An item may be abandoned 40 s after its submission, whatever a machine's time of day says. */
TEST_F (Jobs, ClockThatJumpsAheadMakesNoItemTooOld)
{
  Rig &rig = start_nodes (2);

  submit_job (rig, 1, "j1", 2);
  world.run (GSPAN_SECOND);
  world.wall_ms += 60000;
  for (auto &run : open_runs (rig))
    rig.http_done (run, GSPAN_HTTP_LOST, 0, {}, "");
  world.run (GSPAN_SECOND);
  EXPECT_EQ (rig.node.metrics.values[GSPAN_METRIC_ITEMS_ABANDONED], 0U);
  rig.paused = true;
  world.run (6 * GSPAN_SECOND);
  EXPECT_EQ (world.rigs[1]->node.metrics.values[GSPAN_METRIC_ITEMS_ABANDONED], 0U)
      << "nor at the next owner";
  EXPECT_EQ (open_runs (*world.rigs[1]).size (), 2U);
}

TEST_F (Jobs, EndedJobIsRemovedFromTheStoreAfterItsRetentionTime)
{
  Rig &rig = start_nodes ();

  submit_job (rig, 1, "j1", 3);
  submit_job (rig, 2, "j2", 3);
  serve_all ();
  rig.request (3, "DELETE", "/api/lots/j1", { "Host: a.example" }, "");
  world.run (100 * GSPAN_SECOND);
  EXPECT_EQ (all_results (rig, "j1", 900).size (), 3U);
  world.page_size = 1;
  world.run (120 * GSPAN_SECOND);
  EXPECT_EQ (world.objects["jobs"].count ("j1"), 0U);
  EXPECT_TRUE (world.objects["job-j1"].empty ());
  EXPECT_EQ (world.objects["jobs"].count ("j2"), 1U);
  EXPECT_EQ (all_results (rig, "j2", 901).size (), 3U);
}

TEST_F (Jobs, RestartedOwnerResumesItsJob)
{
  start_nodes (1);
  submit_job (*world.rigs[0], 1, "j1", 4);
  world.run (200 * GSPAN_MS);
  finish_run (*world.rigs[0], open_runs (*world.rigs[0])[0], 2);
  world.run (500 * GSPAN_MS);
  world.restart (0);
  serve_all ();
  EXPECT_EQ (all_results (*world.rigs[0], "j1").size (), 4U);
}

/*
 * Under any sequence of store faults, pauses, cuts and restarts, each position keeps its item at
 * all nodes, no item is committed twice, and after the faults all items are committed.
 */
RC_GTEST_PROP (JobsProperty, CommittedResultsNeverChangeUnderStoreFaults,
               (const std::vector<std::pair<uint8_t, uint8_t>> &steps))
{
  World world;
  std::map<size_t, std::string> item_at; /* position to item id */
  std::set<std::string> seen;
  guint64 id = 100;

  world.put ("config", "main", config_spec (3).c_str ());
  world.put ("servers", "m1", replica_spec ("llm", 3, 1).c_str ());
  world.put ("servers", "m2", replica_spec ("llm", 4, 1).c_str ());
  for (unsigned i = 0; i < 3; i++)
    world.add ("vm-" + std::to_string (i + 1));
  world.run (2 * GSPAN_SECOND);
  world.rigs[0]->request (1, "POST", "/batch/j1", { "Host: a.example", "X-Attempt-Id: j1" },
                          job_body (12, 0));
  world.run (300 * GSPAN_MS);
  auto serve = [&] {
    for (auto &rig : world.rigs)
      {
        if (rig->paused)
          continue;
        std::vector<Exchange> copy = rig->exchanges;
        size_t count = 0;
        for (auto &run : copy)
          {
            if (run.url.find ("/batch/") == std::string::npos || count++ > 1)
              continue;
            std::string from = run.header ("Last-Event-Id");
            unsigned first = from.empty () ? 1 : (unsigned)std::stoul (from) + 1;
            rig->http_head (run, 200, stream_head (1));
            for (unsigned event = first; event <= 3; event++)
              rig->http_data (run, 200, stream_head (1), sse (event));
            rig->http_done (run, GSPAN_HTTP_COMPLETE, 200, stream_head (1), "");
          }
      }
  };
  auto check_results = [&] (Rig &rig) {
    guint64 request = id++;
    size_t after = item_at.size () * (request % 3) / 3;
    rig.request (request, "GET", "/api/lots/j1?after=" + std::to_string (after),
                 { "Host: a.example" }, "");
    world.run (1200 * GSPAN_MS);
    for (const auto &answer : rig.responses)
      {
        if (answer.request != request || answer.status != 200)
          continue;
        json_t *root = json_loads (answer.body.c_str (), 0, nullptr);
        json_t *item;
        size_t index;
        json_array_foreach (json_object_get (root, "results"), index, item)
        {
          std::string name = json_string_value (json_object_get (item, "id"));
          size_t position = after + index;
          if (item_at.count (position) != 0)
            RC_ASSERT (item_at[position] == name);
          else
            RC_ASSERT (seen.insert (name).second);
          item_at[position] = name;
        }
        json_decref (root);
      }
  };
  size_t done = 0;
  for (const auto &step : steps)
    {
      if (done++ > 12)
        break;
      size_t node_index = step.second % 3;
      Rig &rig = *world.rigs[node_index];
      switch (step.first % 8)
        {
        case 0:
          world.fault = (StoreFault)(step.second % 6);
          break;
        case 1:
          rig.paused = !rig.paused;
          break;
        case 2:
          rig.cut_from_store = !rig.cut_from_store;
          break;
        case 3:
          world.restart (node_index);
          break;
        case 4:
          world.compact ("jobs");
          break;
        default:
          serve ();
          break;
        }
      world.run ((1 + step.second % 4) * 300 * GSPAN_MS);
      serve ();
      if (!world.rigs[node_index]->paused)
        check_results (*world.rigs[node_index]);
    }
  world.fault = StoreFault::None;
  for (auto &rig : world.rigs)
    rig->paused = rig->cut_from_store = false;
  for (int i = 0; i < 60 && seen.size () < 12; i++)
    {
      world.run (500 * GSPAN_MS);
      serve ();
      check_results (*world.rigs[(size_t)i % 3]);
    }
  RC_ASSERT (seen.size () == 12U);
}

#include "test/node_world.h"

/* Jobs that come to any node of a large fleet are run by the same strong node. */
class Dispatcher : public NodeTest
{
protected:
  static constexpr unsigned NODES = 30;

  /* Every third node is strong. */
  void
  start (unsigned nodes = NODES, bool dispatches_jobs = true)
  {
    world.dispatches_jobs = dispatches_jobs;
    world.cpu_milli_of
        = [] (const std::string &name) { return std::stoul (name.substr (3)) % 3 == 0 ? 500 : 90; };
    start_nodes (nodes);
  }

  Rig *
  owner_of (const std::string &job)
  {
    for (auto &rig : world.rigs)
      {
        const GspanJob *known = gspan_jobs_find (&rig->node.jobs, job.c_str ());

        if (!rig->paused && known != nullptr && known->is_owner)
          return rig.get ();
      }
    return nullptr;
  }

  /* Submits a job to each node from FIRST on; the nodes that run them. */
  std::map<std::string, unsigned>
  owners_of_jobs (size_t first, const std::string &prefix)
  {
    std::map<std::string, unsigned> owners;

    for (size_t i = first; i < world.rigs.size (); i++)
      {
        std::string job = prefix + std::to_string (i);

        submit_job (*world.rigs[i], 1000 + i, job, 2);
        world.run (200 * GSPAN_MS);
        EXPECT_EQ (response_to (*world.rigs[i], 1000 + i)->status, 202);
        Rig *owner = owner_of (job);
        owners[owner != nullptr ? owner->name : ""]++;
      }
    return owners;
  }
};

TEST_F (Dispatcher, JobsOfAServiceAreRunByOneStrongNodeWhereverTheyCome)
{
  start ();
  auto owners = owners_of_jobs (0, "j");
  ASSERT_EQ (owners.size (), 1U);
  EXPECT_EQ (std::stoul (owners.begin ()->first.substr (3)) % 3, 0U);
}

/* Deployments whose settings don't ask for dispatchers are served as before, whatever their size.
 */
TEST_F (Dispatcher, NodeRunsWhatItAcceptsUnlessDispatchersAreAskedFor)
{
  start (NODES, false);
  EXPECT_EQ (owners_of_jobs (0, "j").size (), NODES);
}

/* Nobody runs the job until the dispatcher answers: it may have died just before. */
TEST_F (Dispatcher, JobOfADispatcherThatIsDeadIsRunByTheNodeThatAcceptedIt)
{
  start ();
  submit_job (*world.rigs[0], 1, "j1", 4);
  world.run (GSPAN_SECOND);
  Rig *first = owner_of ("j1");
  ASSERT_NE (first, nullptr);
  first->paused = true;
  Rig &rig = *world.rigs[first == world.rigs[0].get () ? 1 : 0];
  submit_job (rig, 2, "j2", 4);
  world.run (GSPAN_SECOND);
  EXPECT_EQ (owner_of ("j2"), &rig);
  EXPECT_FALSE (rig.exchanges.empty ());
}

/* A dispatcher that hears nothing runs nothing; lost datagrams cost some tries. */
TEST_F (Dispatcher, LostDatagramsDelayAJobAndLoseNone)
{
  unsigned count = 0;

  start ();
  world.loses_datagram = [&count] (const Rig &, const std::string &) { return count++ % 2 == 0; };
  for (unsigned i = 0; i < 10; i++)
    {
      std::string job = "k" + std::to_string (i);

      submit_job (*world.rigs[i], 100 + i, job, 2);
      world.run (1500 * GSPAN_MS);
      EXPECT_NE (owner_of (job), nullptr) << job;
    }
}

/* The head is created again after an answer that was lost, by the node that names the same owner.
 */
TEST_F (Dispatcher, LostAnswerOfTheHeadsCreationChangesNoOwner)
{
  start ();
  unsigned creates = 0;
  world.fault_of = [&creates] (const Rig &, const GspanStoreCall &call) {
    bool head = call.op == GSPAN_STORE_CREATE && strcmp (call.kind, "jobs") == 0;
    return head && creates++ == 0 ? StoreFault::LostAfter : StoreFault::None;
  };
  submit_job (*world.rigs[0], 1, "j1", 4);
  world.run (2 * GSPAN_SECOND);
  EXPECT_EQ (response_to (*world.rigs[0], 1)->status, 202);
  ASSERT_NE (owner_of ("j1"), nullptr);
  EXPECT_GT (owner_of ("j1")->node.runner.runs != nullptr
                 ? g_hash_table_size (owner_of ("j1")->node.runner.runs)
                 : 0,
             0U);
}

TEST_F (Dispatcher, JobsGoToTheNextOneOnceTheDispatcherIsGone)
{
  start ();
  submit_job (*world.rigs[0], 1, "j1", 4);
  world.run (GSPAN_SECOND);
  Rig *first = owner_of ("j1");
  ASSERT_NE (first, nullptr);
  first->paused = true;
  world.run (6 * GSPAN_SECOND);
  EXPECT_NE (owner_of ("j1"), nullptr);
  Rig &rig = *world.rigs[first == world.rigs[0].get () ? 1 : 0];
  submit_job (rig, 2, "j2", 4);
  world.run (300 * GSPAN_MS);
  ASSERT_NE (owner_of ("j2"), nullptr);
  EXPECT_NE (owner_of ("j2"), &rig);
}

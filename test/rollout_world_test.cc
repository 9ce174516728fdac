#include "test/rollout_world.h"

extern "C"
{
#include "rollout/fault.h"

  enum GspanFault gspan_seeded_fault = GSPAN_FAULT_NONE;
}

namespace
{

/* One injected failure: what, after how many tenths of a second, and to whom or how much. */
struct Failure
{
  guint kind;
  guint pause;
  guint whom;
};

using Schedule = std::vector<Failure>;

constexpr guint KINDS = 16;

void
hit_node (World &world, guint whom, bool kill)
{
  size_t i = whom % world.nodes.size ();

  if (!world.nodes[i].alive)
    return;
  if (!kill)
    {
      world.nodes[i].paused_until = world.now + 5 * GSPAN_SECOND;
      return;
    }
  world.kill (i);
  world.at (2 * GSPAN_SECOND, [&world, i] {
    if (!world.nodes[i].alive)
      world.start (i);
  });
}

void
edit_record (World &world, guint whom)
{
  world.edit ([whom] (World::Edit &edit) {
    switch (whom % 4)
      {
      case 0:
        edit.prompt += "x";
        break;
      case 1:
        edit.bound = whom / 4 % 3;
        break;
      case 2:
        edit.groups = 2 + whom / 4 % 4;
        break;
      default:
        edit.samples = 1 + whom / 4 % 3;
        break;
      }
  });
}

void
inject (World &world, const Failure &failure)
{
  guint whom = failure.whom;

  switch (failure.kind % KINDS)
    {
    case 0:
    case 1:
      hit_node (world, whom, true);
      break;
    case 2:
    case 3:
      hit_node (world, whom, false);
      break;
    case 4:
      world.outage_until = world.now + (1 + whom % 10) * GSPAN_SECOND;
      break;
    case 5:
      world.lost_answers += 1 + static_cast<int> (whom % 4);
      break;
    case 6:
    case 7:
      world.crash (whom % world.engines.size ());
      break;
    case 8:
      world.failing_swaps += 1 + static_cast<int> (whom % 4);
      break;
    case 9:
      world.doubled_calls += 1 + static_cast<int> (whom % 4);
      break;
    case 10:
    case 11:
      edit_record (world, whom);
      break;
    case 12:
      world.restore (whom % 4);
      break;
    case 13:
      world.request = 0; /* the trainer asks elsewhere, and the first pull goes on */
      world.pull_at = world.pull_at != 0 ? world.now : 0;
      break;
    case 14:
      world.scorer_failures += 3;
      world.scorer_doubles = whom % 2 == 0;
      break;
    default:
      world.engines[whom % world.engines.size ()].tokens_per_step = 0.2 + whom % 3;
      break;
    }
}

/* Runs SCHEDULE, then lets the system recover. */
std::string
run_schedule (guint32 seed, const Schedule &schedule)
{
  World world (seed, 3, 2, 4);

  world.run_batches (2);
  for (const Failure &failure : schedule)
    {
      world.run ((1 + failure.pause % 30) * 100 * GSPAN_MS);
      inject (world, failure);
    }
  for (World::Engine &engine : world.engines)
    engine.tokens_per_step = std::max (engine.tokens_per_step, 1.0);
  if (!world.run_batches (3, 120 * GSPAN_SECOND))
    world.violations.insert ("starved");
  return world.report ();
}

Schedule
draw_schedule (guint32 seed)
{
  std::mt19937 random (seed);
  Schedule schedule (25);

  for (Failure &failure : schedule)
    failure = { static_cast<guint> (random () % KINDS), static_cast<guint> (random () % 30),
                static_cast<guint> (random () % 64) };
  return schedule;
}

}

RC_GTEST_PROP (RolloutWorld, KeepsItsPromisesUnderAnySchedule,
               (guint32 seed, const std::vector<std::tuple<uint8_t, uint8_t, uint8_t>> &drawn))
{
  Schedule schedule;
  std::string report;

  gspan_seeded_fault = GSPAN_FAULT_NONE;
  for (const auto &[kind, pause, whom] : drawn)
    schedule.push_back ({ kind, pause, whom });
  report = run_schedule (seed, schedule);
  RC_LOG (report);
  RC_ASSERT (report.empty ());
}

/* The same check over longer schedules. */
TEST (RolloutWorld, KeepsItsPromisesUnderLongSchedules)
{
  gspan_seeded_fault = GSPAN_FAULT_NONE;
  for (guint32 seed = 1; seed <= 100; seed++)
    EXPECT_EQ (run_schedule (seed, draw_schedule (seed)), "") << "seed " << seed;
}

struct Seeded
{
  const char *name;
  enum GspanFault fault;
  const char *found_as; /* the promise that has to be seen broken */
};

class SeededFault : public testing::TestWithParam<Seeded>
{
};

/* The check has to find each fault within a bounded number of schedules. */
TEST_P (SeededFault, IsFound)
{
  std::set<std::string> seen;

  gspan_seeded_fault = GetParam ().fault;
  for (guint32 seed = 1; seed <= 60 && seen.empty (); seed++)
    {
      std::string report = run_schedule (seed, draw_schedule (seed));

      if (report.find (GetParam ().found_as) != std::string::npos)
        seen.insert (report);
    }
  gspan_seeded_fault = GSPAN_FAULT_NONE;
  EXPECT_FALSE (seen.empty ());
}

INSTANTIATE_TEST_SUITE_P (
    Rollout, SeededFault,
    testing::Values (Seeded{ "OldRecord", GSPAN_FAULT_OLD_RECORD, "prompt" },
                     Seeded{ "LabelByBelief", GSPAN_FAULT_LABEL_BY_BELIEF, "label" },
                     Seeded{ "TakeUncertain", GSPAN_FAULT_TAKE_UNCERTAIN, "uncertain" },
                     Seeded{ "CountFromNewest", GSPAN_FAULT_COUNT_FROM_NEWEST, "stale" },
                     Seeded{ "SkipStaleness", GSPAN_FAULT_SKIP_STALENESS, "stale" },
                     Seeded{ "SharedCursor", GSPAN_FAULT_SHARED_CURSOR, "crossed" },
                     Seeded{ "PartialGroup", GSPAN_FAULT_PARTIAL_GROUP, "partial" },
                     Seeded{ "DropDeferred", GSPAN_FAULT_DROP_DEFERRED, "missing" },
                     Seeded{ "KeepRecipe", GSPAN_FAULT_KEEP_RECIPE, "prompt" }),
    [] (const auto &info) { return std::string (info.param.name); });

#pragma once

/*
 * Faults that tests seed to see that their checks find them. They exist only in a library built
 * with GSPAN_WITH_SEEDED_FAULTS; elsewhere the conditions are constant.
 */
enum GspanFault
{
  GSPAN_FAULT_NONE,
  GSPAN_FAULT_FORGET_FENCE,      /* the entry hands on what an outdated owner answers */
  GSPAN_FAULT_OLD_RECORD,        /* the entry hands on what was built under an older record */
  GSPAN_FAULT_LABEL_BY_BELIEF,   /* label from what the engine was last known to run */
  GSPAN_FAULT_TAKE_UNCERTAIN,    /* a segment without a certain version passes as the last one */
  GSPAN_FAULT_COUNT_FROM_NEWEST, /* staleness from the newest segment */
  GSPAN_FAULT_SKIP_STALENESS,    /* no check at the hand-over */
  GSPAN_FAULT_SHARED_CURSOR,     /* batches built on the planner's cursor, not the pull's */
  GSPAN_FAULT_PARTIAL_GROUP,     /* a group is handed over before all of its samples are whole */
  GSPAN_FAULT_DROP_DEFERRED,     /* the next cursor forgets the groups that it passes over */
  GSPAN_FAULT_KEEP_RECIPE        /* samples of an old prompt are kept after an edit */
};

#ifdef GSPAN_WITH_SEEDED_FAULTS
extern enum GspanFault gspan_seeded_fault;
#define GSPAN_SEEDED_FAULT(fault) (gspan_seeded_fault == (fault))
#else
#define GSPAN_SEEDED_FAULT(fault) ((void)(fault), false)
#endif

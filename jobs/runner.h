#pragma once

#include "board/message.h"
#include "jobs/job.h"

struct GspanNode;
struct GspanRun;

/*
 * Runs the items of the jobs that this node owns. An item is placed on a replica by load and
 * resumed on another replica from its last event if a run is lost. It is abandoned only for a
 * reason that the route allows: a response of 422, too many responses of 500, or its age. An item
 * is never taken for a request that crashes replicas, whatever became of those that ran it.
 */

struct GspanRunner
{
  GHashTable *runs;              /* id to struct GspanRun */
  guint64 next_schedule_at_us;   /* no waiting item is placed earlier, unless a run ends */
  guint64 next_move_check_at_us; /* next search for runs at slow replicas */
};

void gspan_runner_init (struct GspanRunner *runner);
void gspan_runner_finish (struct GspanRunner *runner);
void gspan_runner_handle (struct GspanNode *node, const struct GspanEvent *event,
                          struct GspanOutbox *outbox);

/* Cancels all runs of JOB. What they have generated stays with their items. */
void gspan_runner_stop (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);

/* Breaks RUN off, of whose present event more has come than there is room for; its item goes on. */
void gspan_runner_break_off (struct GspanNode *node, struct GspanRun *run,
                             struct GspanOutbox *outbox);

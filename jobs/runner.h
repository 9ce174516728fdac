#pragma once

#include "board/message.h"
#include "jobs/job.h"

struct GspanNode;

/*
 * Runs the items of this node's jobs on replicas: placed by load, resumed elsewhere from the last
 * event where a run breaks, given up only for the reasons that a route allows.
 */

struct GspanRunner
{
  GHashTable *runs;              /* id to struct GspanRun */
  guint64 next_schedule_at_us;   /* no replica had room; looked again then */
  guint64 next_move_check_at_us; /* the next look for runs at slow replicas */
};

void gspan_runner_init (struct GspanRunner *runner);
void gspan_runner_finish (struct GspanRunner *runner);
void gspan_runner_handle (struct GspanNode *node, const struct GspanEvent *event,
                          struct GspanOutbox *outbox);

/* Ends all runs of JOB; what they generated so far is kept with their items. */
void gspan_runner_stop (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);

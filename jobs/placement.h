#pragma once

#include "jobs/run.h"

/* Which waiting item runs next, and at which replica. */

/* Starts waiting items where replicas have room. */
void gspan_placement_schedule (struct GspanNode *node, struct GspanOutbox *outbox);

/* Moves runs away from replicas that have become slow. */
void gspan_placement_move_slow_runs (struct GspanNode *node, struct GspanOutbox *outbox);

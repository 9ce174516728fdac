#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Decides when the finished results of a job are written to the store as its next segment. Does no
 * I/O.
 *
 * A trainer can go on only once the groups that it waits for are complete, and it polls again half
 * a second after each response. So results that don't let it go on are collected for a batching
 * window, and results that do are written at once. Times are microseconds of the steady clock.
 */

struct GspanCommitState
{
  guint64 now;
  guint64 last_append_at_us; /* 0 is never */
  guint64 results_due_at_us; /* results committed later count less; 0 is unknown */
  guint ready_count;         /* results that wait to be written */
  guint remaining_count;     /* items that have no result yet */
  guint groups_wanted;       /* complete groups that the trainer waits for; 0 is all */
  guint groups_complete;     /* complete groups, counting committed and ready results */
  guint groups_committed;    /* groups_complete when the last segment was written */
  bool handing_over;         /* the owner is giving the job back */
};

/* True if a segment with the ready results is to be written now. */
bool gspan_commit_due (const struct GspanCommitState *state);

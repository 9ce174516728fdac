#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * When finished results of a job are written to the store as its next segment, apart from any I/O.
 * Answers steps of a trainer: it can go on only once the groups that it waits for are whole, and
 * reads again half a second after each answer. So results that don't change what it can do are
 * gathered, and those that complete what it waits for are written at once, while it waits.
 */

struct GspanCommitState
{
  guint64 now;
  guint64 last_at;       /* the last segment was written; 0 is never */
  guint64 due_at;        /* results that are listed later count less; 0 is not known */
  guint ready;           /* results that wait to be written */
  guint left;            /* items that are neither listed nor ready */
  guint groups_wanted;   /* that the trainer waits for; 0 is all */
  guint groups_complete; /* listed and ready items together */
  guint groups_listed;   /* that were complete at the last segment */
  bool handing_over;     /* this node stops running the job */
};

bool gspan_commit_due (const struct GspanCommitState *state);

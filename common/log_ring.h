#pragma once

#include "common/log.h"

/*
 * Log lines on their way to a file descriptor, which never block the process: a reader that stalls
 * costs lines, and a line later says how many. A budget a second bounds the volume under load.
 */
struct GspanLogRing
{
  int fd;
  enum GspanPriority level;
  guint lines_per_s; /* 0 is no limit */
  GString *pending;
  guint64 second;  /* of the budget */
  guint used;      /* lines in it */
  guint64 dropped; /* since the last line that told of it */
  guint64 dropped_total;
};

void gspan_log_ring_init (struct GspanLogRing *ring, int fd, enum GspanPriority level,
                          guint lines_per_s);

/* Writes what the descriptor takes at once. */
void gspan_log_ring_finish (struct GspanLogRing *ring);

/* Adds the line "time=TIME level=LEVEL module=MODULE TEXT" where the budget of NOW_US allows. */
void gspan_log_ring_add (struct GspanLogRing *ring, guint64 now_us, const char *module,
                         enum GspanPriority priority, const char *text);

/* Writes what the descriptor takes without blocking. */
void gspan_log_ring_flush (struct GspanLogRing *ring);

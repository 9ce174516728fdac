#pragma once

#include "catalog/replica.h"

/*
 * How fast replicas generate, as this process sees it in the streams of its own runs, apart from
 * any I/O. Answers replicas that turn slow for seconds while they keep their runs: a step of a
 * trainer waits for its slowest group, so such runs go on at a replica of the usual pace, which has
 * to read only the prompt and what was generated so far.
 */

/* Notes COUNT events (one or more) of a stream of REPLICA that took INTERVAL_US together. */
void gspan_pace_note (struct GspanReplica *replica, guint64 now, guint64 interval_us, guint count);

/*
 * The usual time between two events at replicas of SERVICE: the median over those that were seen of
 * late, in microseconds. 0 where fewer than three were.
 */
guint64 gspan_pace_typical (GHashTable *replicas, const char *service, guint64 now);

/* True where REPLICA was seen of late to take far longer than TYPICAL_US for an event. */
bool gspan_pace_is_slow (const struct GspanReplica *replica, guint64 typical_us, guint64 now);

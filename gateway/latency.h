#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * How long attempts at a service usually take, over about the last minute and in fixed memory,
 * apart from any I/O. Answers services of unlike speed, and a service that gets slower or faster
 * as its load changes: a delay that is set once is too short for one and too long for another.
 *
 * A histogram whose bounds rise by an eighth of a power of two, in slices of ten seconds of which
 * the oldest is dropped. A quantile is at most an eighth above the true one, and never below it.
 */

enum
{
  GSPAN_LATENCY_SLICES = 6,
  GSPAN_LATENCY_BUCKETS = 168, /* from 64 microseconds to 134 seconds */
  GSPAN_LATENCY_SAMPLES_MIN = 20
};

struct GspanLatencySlice
{
  guint64 number; /* of the ten seconds that it counts */
  guint32 counts[GSPAN_LATENCY_BUCKETS];
};

struct GspanLatency
{
  struct GspanLatencySlice slices[GSPAN_LATENCY_SLICES];
};

/* An attempt took ELAPSED_US, or was cancelled after that. */
void gspan_latency_note (struct GspanLatency *latency, guint64 now, guint64 elapsed_us);

/*
 * Time within which PERCENT of the attempts ended; 0 where fewer than GSPAN_LATENCY_SAMPLES_MIN are
 * known.
 */
guint64 gspan_latency_quantile (const struct GspanLatency *latency, guint64 now, guint percent);

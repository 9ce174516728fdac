#include "gateway/latency.h"

#include <string.h>

#include "common/clock.h"

#define SLICE_US (10 * GSPAN_SECOND)

enum
{
  STEP_BITS = 3, /* eight buckets to a power of two */
  STEPS = 1 << STEP_BITS,
  FIRST_BITS = 6, /* all below 64 microseconds is one bucket */
  PERCENT = 100
};

/* Index of the highest bit of VALUE, which isn't 0. */
static guint
highest_bit (guint64 value)
{
  return (guint)g_bit_nth_msf ((gulong)value, -1);
}

static guint
bucket_of (guint64 elapsed_us)
{
  guint64 value = MAX (elapsed_us, (guint64)1 << FIRST_BITS);
  guint high = highest_bit (value);
  guint step = (guint)(value >> (high - STEP_BITS)) & (STEPS - 1);
  guint bucket = (high - FIRST_BITS) * STEPS + step;

  return MIN (bucket, (guint)GSPAN_LATENCY_BUCKETS - 1);
}

/* The least time that is above all of BUCKET. */
static guint64
bound_of (guint bucket)
{
  guint high = FIRST_BITS + bucket / STEPS;

  return (guint64)(STEPS + bucket % STEPS + 1) << (high - STEP_BITS);
}

void
gspan_latency_note (struct GspanLatency *latency, guint64 now, guint64 elapsed_us)
{
  guint64 number = now / SLICE_US;
  struct GspanLatencySlice *slice = &latency->slices[number % GSPAN_LATENCY_SLICES];

  if (slice->number != number)
    {
      memset (slice->counts, 0, sizeof slice->counts);
      slice->number = number;
    }
  slice->counts[bucket_of (elapsed_us)]++;
}

/* Adds up in COUNTS what is known by bucket; returns the number of all. */
static guint64
sum_up (const struct GspanLatency *latency, guint64 now, guint64 counts[GSPAN_LATENCY_BUCKETS])
{
  guint64 number = now / SLICE_US;
  guint64 total = 0;

  for (guint i = 0; i < GSPAN_LATENCY_SLICES; i++)
    {
      const struct GspanLatencySlice *slice = &latency->slices[i];

      if (slice->number + GSPAN_LATENCY_SLICES <= number)
        continue;
      for (guint bucket = 0; bucket < GSPAN_LATENCY_BUCKETS; bucket++)
        {
          counts[bucket] += slice->counts[bucket];
          total += slice->counts[bucket];
        }
    }
  return total;
}

guint64
gspan_latency_quantile (const struct GspanLatency *latency, guint64 now, guint percent)
{
  guint64 counts[GSPAN_LATENCY_BUCKETS] = { 0 };
  guint64 total = sum_up (latency, now, counts);
  guint64 wanted = (total * percent + PERCENT - 1) / PERCENT;
  guint64 seen = 0;

  if (total < GSPAN_LATENCY_SAMPLES_MIN)
    return 0;
  for (guint bucket = 0; bucket < GSPAN_LATENCY_BUCKETS; bucket++)
    {
      seen += counts[bucket];
      if (seen >= wanted)
        return bound_of (bucket);
    }
  return bound_of (GSPAN_LATENCY_BUCKETS - 1);
}

#pragma once

#include <glib.h>

/* Counters, gauges and latency histograms of one process, served in the usual exposition form. */

enum GspanMetric
{
  GSPAN_METRIC_DESK_REQUESTS,
  GSPAN_METRIC_DESK_COMPLETE,
  GSPAN_METRIC_DESK_FAILED,
  GSPAN_METRIC_DESK_NOT_RUN,
  GSPAN_METRIC_DESK_UNKNOWN,
  GSPAN_METRIC_DESK_RETRIES,
  GSPAN_METRIC_DESK_POISON,
  GSPAN_METRIC_PULLS,
  GSPAN_METRIC_BATCHES,
  GSPAN_METRIC_SAMPLES_GENERATED,
  GSPAN_METRIC_SAMPLES_DISCARDED,
  GSPAN_METRIC_ORDERS,
  GSPAN_METRIC_ORDERS_FAILED,
  GSPAN_METRIC_PLATFORM_READS,
  GSPAN_METRIC_PLATFORM_WRITES,
  GSPAN_METRIC_PLATFORM_FAILURES,
  GSPAN_METRIC_PLATFORM_WRITES_REPEATED,
  GSPAN_METRIC_LEASES_TAKEN,
  GSPAN_METRIC_LEASES_LOST,
  GSPAN_METRIC_GOSSIP_SENT,
  GSPAN_METRIC_GOSSIP_SENT_BYTES,
  GSPAN_METRIC_CALLERS_REFUSED,
  GSPAN_METRIC_PEERS_REFUSED,
  GSPAN_METRIC_JOBS_ACCEPTED,
  GSPAN_METRIC_ITEMS_COMPLETED,
  GSPAN_METRIC_ITEMS_ABANDONED,
  GSPAN_METRIC_RUNS,
  GSPAN_METRIC_RUNS_RESUMED,
  GSPAN_METRIC_REWARD_CALLS,
  GSPAN_METRIC_REWARD_CALLS_FAILED,
  GSPAN_METRIC_BEYOND_LIMIT,
  GSPAN_METRIC_LINK_CHECKS,
  GSPAN_METRIC_LINK_CHECKS_FAILED,
  GSPAN_METRIC_LINK_CUTS,
  GSPAN_METRIC_RELAYED,
  GSPAN_METRIC_RELAYED_FAILED,
  GSPAN_METRIC_RELAYED_FOR_OTHERS,
  GSPAN_METRIC_RELAY_REFUSED,
  GSPAN_METRIC_RELAY_BYTES,
  GSPAN_METRIC_ANSWERS_CUT,
  GSPAN_METRIC_ANSWERS_FOREIGN,
  GSPAN_METRIC_CHANGES_MISSED,
  GSPAN_METRIC_REPLICAS_DIFFER,
  GSPAN_METRIC_DRAINS_WITHDRAWN,
  GSPAN_METRIC_LOG_LINES_DROPPED,
  GSPAN_METRIC_COUNT
};

/* Values as they are now; set from the state just before they are served. */
enum GspanGauge
{
  GSPAN_GAUGE_DESK_CALLS,
  GSPAN_GAUGE_PULLS_WAITING,
  GSPAN_GAUGE_OPEN_REQUESTS,
  GSPAN_GAUGE_LEASES_HELD,
  GSPAN_GAUGE_UPSTREAMS,
  GSPAN_GAUGE_RECORDS_REVISION,
  GSPAN_GAUGE_DRAINING,
  GSPAN_GAUGE_CONFIG,
  GSPAN_GAUGE_JOBS,
  GSPAN_GAUGE_RUNS,
  GSPAN_GAUGE_REWARD_CALLS,
  GSPAN_GAUGE_UNSCORED_TEXTS,
  GSPAN_GAUGE_LIMITED_UPSTREAMS,
  GSPAN_GAUGE_LINKS_CUT,
  GSPAN_GAUGE_LINKS_DOWN,
  GSPAN_GAUGE_RELAYED_FOR_OTHERS,
  GSPAN_GAUGE_COUNT
};

enum GspanHistogram
{
  GSPAN_HISTOGRAM_DESK,
  GSPAN_HISTOGRAM_PULL,
  GSPAN_HISTOGRAM_RUN,
  GSPAN_HISTOGRAM_REWARD,
  GSPAN_HISTOGRAM_COUNT
};

enum
{
  GSPAN_HISTOGRAM_BUCKETS = 14 /* with the one without a bound */
};

struct GspanHistogramValues
{
  guint64 buckets[GSPAN_HISTOGRAM_BUCKETS]; /* each counts what is above the bound before it */
  guint64 sum_us;
};

struct GspanMetrics
{
  guint64 values[GSPAN_METRIC_COUNT];
  guint64 gauges[GSPAN_GAUGE_COUNT];
  struct GspanHistogramValues histograms[GSPAN_HISTOGRAM_COUNT];
};

void gspan_metrics_add (struct GspanMetrics *metrics, enum GspanMetric metric, guint64 amount);
void gspan_metrics_set (struct GspanMetrics *metrics, enum GspanGauge gauge, guint64 value);

/* Counts a duration of ELAPSED_US microseconds. */
void gspan_metrics_observe (struct GspanMetrics *metrics, enum GspanHistogram histogram,
                            guint64 elapsed_us);

/* Exposition text of all metrics; durations are in seconds there. Released with g_free (). */
char *gspan_metrics_format (const struct GspanMetrics *metrics);

/* All metrics with their meaning, as a table in Markdown. Released with g_free (). */
char *gspan_metrics_describe (void);

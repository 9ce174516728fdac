#pragma once

#include <glib.h>

/* Counters of one process, served as text in the usual exposition form. */

enum GspanMetric
{
  GSPAN_METRIC_DESK_REQUESTS,
  GSPAN_METRIC_DESK_COMPLETE,
  GSPAN_METRIC_DESK_FAILED,
  GSPAN_METRIC_DESK_NOT_RUN,
  GSPAN_METRIC_DESK_UNKNOWN,
  GSPAN_METRIC_DESK_RETRIES,
  GSPAN_METRIC_PULLS,
  GSPAN_METRIC_BATCHES,
  GSPAN_METRIC_SAMPLES_GENERATED,
  GSPAN_METRIC_SAMPLES_DISCARDED,
  GSPAN_METRIC_ORDERS,
  GSPAN_METRIC_ORDERS_FAILED,
  GSPAN_METRIC_PLATFORM_READS,
  GSPAN_METRIC_PLATFORM_WRITES,
  GSPAN_METRIC_LEASES_TAKEN,
  GSPAN_METRIC_LEASES_LOST,
  GSPAN_METRIC_GOSSIP_SENT,
  GSPAN_METRIC_GOSSIP_SENT_BYTES,
  GSPAN_METRIC_COUNT
};

struct GspanMetrics
{
  guint64 values[GSPAN_METRIC_COUNT];
};

void
gspan_metrics_add (struct GspanMetrics *metrics, enum GspanMetric metric, guint64 amount);

/* Exposition text of all counters. Released with g_free (). */
char *
gspan_metrics_format (const struct GspanMetrics *metrics);

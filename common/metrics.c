#include "common/metrics.h"

struct Description
{
  const char *name;
  const char *help;
};

static const struct Description descriptions[GSPAN_METRIC_COUNT] = {
  [GSPAN_METRIC_DESK_REQUESTS] = { "gspan_desk_requests_total", "requests of desk callers taken" },
  [GSPAN_METRIC_DESK_COMPLETE] = { "gspan_desk_complete_total", "answers given whole" },
  [GSPAN_METRIC_DESK_FAILED] = { "gspan_desk_failed_total", "calls that ran and said no" },
  [GSPAN_METRIC_DESK_NOT_RUN] = { "gspan_desk_not_run_total", "calls that surely did not run" },
  [GSPAN_METRIC_DESK_UNKNOWN] = { "gspan_desk_unknown_total", "calls that may have run" },
  [GSPAN_METRIC_DESK_RETRIES] = { "gspan_desk_retries_total", "second and later attempts" },
  [GSPAN_METRIC_PULLS] = { "gspan_pulls_total", "batches asked for by trainers" },
  [GSPAN_METRIC_BATCHES] = { "gspan_batches_total", "batches handed over" },
  [GSPAN_METRIC_SAMPLES_GENERATED] = { "gspan_samples_generated_total", "samples generated whole" },
  [GSPAN_METRIC_SAMPLES_DISCARDED]
  = { "gspan_samples_discarded_total", "samples dropped as stale or of an uncertain version" },
  [GSPAN_METRIC_ORDERS] = { "gspan_orders_total", "orders sent to engines" },
  [GSPAN_METRIC_ORDERS_FAILED] = { "gspan_orders_failed_total", "orders without a good answer" },
  [GSPAN_METRIC_PLATFORM_READS]
  = { "gspan_platform_reads_total", "reads of the platform, watches too" },
  [GSPAN_METRIC_PLATFORM_WRITES] = { "gspan_platform_writes_total", "writes to the platform" },
  [GSPAN_METRIC_LEASES_TAKEN] = { "gspan_leases_taken_total", "leases acquired" },
  [GSPAN_METRIC_LEASES_LOST]
  = { "gspan_leases_lost_total", "leases that ran out or were taken over" },
  [GSPAN_METRIC_GOSSIP_SENT] = { "gspan_gossip_sent_total", "datagrams sent to other members" },
  [GSPAN_METRIC_GOSSIP_SENT_BYTES]
  = { "gspan_gossip_sent_bytes_total", "bytes in datagrams sent to other members" }
};

void
gspan_metrics_add (struct GspanMetrics *metrics, enum GspanMetric metric, guint64 amount)
{
  metrics->values[metric] += amount;
}

char *
gspan_metrics_format (const struct GspanMetrics *metrics)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < GSPAN_METRIC_COUNT; i++)
    {
      const struct Description *d = &descriptions[i];

      g_string_append_printf (text, "# HELP %s %s\n# TYPE %s counter\n%s %" G_GUINT64_FORMAT "\n",
                              d->name, d->help, d->name, d->name, metrics->values[i]);
    }
  return g_string_free (text, FALSE);
}

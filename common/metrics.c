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
  [GSPAN_METRIC_DESK_POISON]
  = { "gspan_desk_poison_total", "calls given up since their content crashes upstreams" },
  [GSPAN_METRIC_HEDGES]
  = { "gspan_hedges_total", "second attempts sent while the first was open and slow" },
  [GSPAN_METRIC_HEDGES_WON]
  = { "gspan_hedges_won_total", "of these, those that brought the caller's answer" },
  [GSPAN_METRIC_HEDGES_NO_BUDGET]
  = { "gspan_hedges_no_budget_total", "calls whose second attempt the operator's share held back" },
  [GSPAN_METRIC_HEDGES_BUSY]
  = { "gspan_hedges_busy_total", "calls whose second attempt the load of the upstreams held back" },
  [GSPAN_METRIC_PULLS] = { "gspan_pulls_total", "batches asked for by trainers" },
  [GSPAN_METRIC_BATCHES] = { "gspan_batches_total", "batches handed over" },
  [GSPAN_METRIC_SAMPLES_GENERATED] = { "gspan_samples_generated_total", "samples generated whole" },
  [GSPAN_METRIC_SAMPLES_DISCARDED]
  = { "gspan_samples_discarded_total", "samples dropped as stale or of an uncertain version" },
  [GSPAN_METRIC_ORDERS] = { "gspan_orders_total", "orders sent to engines" },
  [GSPAN_METRIC_DUTY_CALLS]
  = { "gspan_duty_calls_total", "calls to the platform for the whole fleet" },
  [GSPAN_METRIC_DUTY_CALLS_FAILED]
  = { "gspan_duty_calls_failed_total", "of these, without an answer or with a failure" },
  [GSPAN_METRIC_ORDERS_FAILED] = { "gspan_orders_failed_total", "orders without a good answer" },
  [GSPAN_METRIC_PLATFORM_READS]
  = { "gspan_platform_reads_total", "reads of the platform, watches too" },
  [GSPAN_METRIC_PLATFORM_WRITES] = { "gspan_platform_writes_total", "writes to the platform" },
  [GSPAN_METRIC_PLATFORM_FAILURES]
  = { "gspan_platform_failures_total", "calls of the platform without a good answer" },
  [GSPAN_METRIC_PLATFORM_WRITES_REPEATED]
  = { "gspan_platform_writes_repeated_total", "writes to the platform that went out twice" },
  [GSPAN_METRIC_LEASES_TAKEN] = { "gspan_leases_taken_total", "leases acquired" },
  [GSPAN_METRIC_LEASES_LOST]
  = { "gspan_leases_lost_total", "leases that ran out or were taken over" },
  [GSPAN_METRIC_GOSSIP_SENT] = { "gspan_gossip_sent_total", "datagrams sent to other members" },
  [GSPAN_METRIC_GOSSIP_SENT_BYTES]
  = { "gspan_gossip_sent_bytes_total", "bytes in datagrams sent to other members" },
  [GSPAN_METRIC_CLIENTS_TOO_LARGE]
  = { "gspan_clients_too_large_total", "request bodies above their limit (413)" },
  [GSPAN_METRIC_CLIENTS_NO_ROOM]
  = { "gspan_clients_no_room_total", "requests refused for want of memory (503, not run)" },
  [GSPAN_METRIC_CLIENTS_STALLED]
  = { "gspan_clients_stalled_total", "connections closed whose request made no progress" },
  [GSPAN_METRIC_CLIENTS_SURPLUS]
  = { "gspan_clients_surplus_total", "idle connections closed since there were too many" },
  [GSPAN_METRIC_ACCOUNTS_REFUSED]
  = { "gspan_accounts_refused_total", "requests without the API key of a known account" },
  [GSPAN_METRIC_CALLERS_REFUSED]
  = { "gspan_callers_refused_total", "requests without a token of a known caller or operator" },
  [GSPAN_METRIC_PEERS_REFUSED]
  = { "gspan_peers_refused_total", "RPC connections from addresses that are no peer's" },
  [GSPAN_METRIC_JOBS_ACCEPTED] = { "gspan_jobs_accepted_total", "batch jobs accepted here" },
  [GSPAN_METRIC_ITEMS_COMPLETED]
  = { "gspan_items_completed_total", "items of batch jobs generated whole" },
  [GSPAN_METRIC_ITEMS_ABANDONED] = { "gspan_items_abandoned_total", "items given up" },
  [GSPAN_METRIC_RUNS] = { "gspan_runs_total", "runs of items sent to replicas" },
  [GSPAN_METRIC_RUNS_RESUMED]
  = { "gspan_runs_resumed_total", "runs that broke and go on elsewhere" },
  [GSPAN_METRIC_REWARD_CALLS] = { "gspan_reward_calls_total", "reward calls sent to replicas" },
  [GSPAN_METRIC_REWARD_CALLS_FAILED]
  = { "gspan_reward_calls_failed_total", "reward calls that brought no score" },
  [GSPAN_METRIC_BEYOND_LIMIT]
  = { "gspan_requests_beyond_limit_total", "requests sent to an upstream beyond its limit" },
  [GSPAN_METRIC_LINK_CHECKS] = { "gspan_link_checks_total", "checks of links to upstreams" },
  [GSPAN_METRIC_LINK_CHECKS_FAILED]
  = { "gspan_link_checks_failed_total", "checks of links to upstreams that didn't connect" },
  [GSPAN_METRIC_LINK_CUTS]
  = { "gspan_link_cuts_total", "times that this process held itself cut off from all upstreams" },
  [GSPAN_METRIC_RELAYED]
  = { "gspan_relayed_total", "requests sent to an upstream through another node" },
  [GSPAN_METRIC_RELAYED_FAILED]
  = { "gspan_relayed_failed_total", "of these, those that failed at that node" },
  [GSPAN_METRIC_RELAYED_FOR_OTHERS]
  = { "gspan_relayed_for_others_total", "requests of other nodes passed on to upstreams" },
  [GSPAN_METRIC_RELAY_REFUSED]
  = { "gspan_relay_refused_total", "requests of other nodes that were not passed on" },
  [GSPAN_METRIC_RELAY_BYTES]
  = { "gspan_relay_bytes_total", "bytes of bodies passed on for other nodes, both ways" },
  [GSPAN_METRIC_ANSWERS_CUT]
  = { "gspan_answers_cut_total", "answers of upstreams of which less came than was announced" },
  [GSPAN_METRIC_ANSWERS_FOREIGN]
  = { "gspan_answers_foreign_total", "answers of upstreams without the id of their request" },
  [GSPAN_METRIC_CHANGES_MISSED]
  = { "gspan_store_changes_missed_total", "changes of the store that only a later list showed" },
  [GSPAN_METRIC_REPLICAS_DIFFER]
  = { "gspan_replicas_differ_total", "messages of a node that knew other upstreams than this one" },
  [GSPAN_METRIC_READS_OVERDUE]
  = { "gspan_store_reads_overdue_total", "times that a change of the store was long overdue here" },
  [GSPAN_METRIC_DRAINS_WITHDRAWN]
  = { "gspan_drains_withdrawn_total", "entries of draining upstreams written as ready again" },
  [GSPAN_METRIC_LOG_LINES_DROPPED]
  = { "gspan_log_lines_dropped_total", "log lines left out since their reader was too slow" }
};

static const struct Description gauges[GSPAN_GAUGE_COUNT] = {
  [GSPAN_GAUGE_DESK_CALLS] = { "gspan_desk_calls", "calls of desk callers under way" },
  [GSPAN_GAUGE_PULLS_WAITING] = { "gspan_pulls_waiting", "trainers' pulls waiting for a batch" },
  [GSPAN_GAUGE_OPEN_REQUESTS] = { "gspan_open_requests", "HTTP requests without an answer yet" },
  [GSPAN_GAUGE_LEASES_HELD] = { "gspan_leases_held", "leases that this process holds" },
  [GSPAN_GAUGE_UPSTREAMS] = { "gspan_upstreams", "upstreams known from the VM list" },
  [GSPAN_GAUGE_RECORDS_REVISION]
  = { "gspan_records_revision", "store revision up to which the records are in force here" },
  [GSPAN_GAUGE_DRAINING] = { "gspan_draining", "1 during a graceful shutdown" },
  [GSPAN_GAUGE_CONFIG] = { "gspan_config_version", "configuration in force here" },
  [GSPAN_GAUGE_JOBS] = { "gspan_jobs", "batch jobs known here" },
  [GSPAN_GAUGE_RUNS] = { "gspan_runs", "runs of items under way" },
  [GSPAN_GAUGE_REWARD_CALLS] = { "gspan_reward_calls", "reward calls under way" },
  [GSPAN_GAUGE_UNSCORED_TEXTS] = { "gspan_unscored_texts", "whole texts without a score yet" },
  [GSPAN_GAUGE_LIMITED_UPSTREAMS]
  = { "gspan_limited_upstreams", "upstreams that limit the requests that they take" },
  [GSPAN_GAUGE_LINKS_CUT]
  = { "gspan_links_cut", "1 while this process holds itself cut off from all upstreams" },
  [GSPAN_GAUGE_LINKS_DOWN] = { "gspan_links_down", "upstreams that the last check didn't reach" },
  [GSPAN_GAUGE_RELAYED_FOR_OTHERS]
  = { "gspan_relaying_for_others", "requests of other nodes being passed on" },
  [GSPAN_GAUGE_UPSTREAMS_AGE]
  = { "gspan_upstreams_age_ms", "since when the upstreams are proven to be as they are known" },
};

static const struct Description histograms[GSPAN_HISTOGRAM_COUNT] = {
  [GSPAN_HISTOGRAM_DESK]
  = { "gspan_desk_seconds", "from taking a desk call to its whole answer or its outcome" },
  [GSPAN_HISTOGRAM_PULL]
  = { "gspan_pull_seconds", "from a trainer's pull to its batch; pulls without one don't count" },
  [GSPAN_HISTOGRAM_RUN] = { "gspan_run_seconds", "of a run of an item that ended whole" },
  [GSPAN_HISTOGRAM_REWARD] = { "gspan_reward_seconds", "from an item's whole text to its score" }
};

#define US_PER_S 1e6

/* Upper bounds of all buckets but the last, microseconds. */
static const guint64 bounds_us[GSPAN_HISTOGRAM_BUCKETS - 1]
    = { 5000,    10000,   25000,   50000,    100000,   250000,  500000,
        1000000, 2500000, 5000000, 10000000, 30000000, 60000000 };

void
gspan_metrics_add (struct GspanMetrics *metrics, enum GspanMetric metric, guint64 amount)
{
  metrics->values[metric] += amount;
}

void
gspan_metrics_set (struct GspanMetrics *metrics, enum GspanGauge gauge, guint64 value)
{
  metrics->gauges[gauge] = value;
}

void
gspan_metrics_observe (struct GspanMetrics *metrics, enum GspanHistogram histogram,
                       guint64 elapsed_us)
{
  struct GspanHistogramValues *values = &metrics->histograms[histogram];
  size_t i = 0;

  while (i < G_N_ELEMENTS (bounds_us) && elapsed_us > bounds_us[i])
    i++;
  values->buckets[i]++;
  values->sum_us += elapsed_us;
}

static void
format_head (GString *text, const struct Description *description, const char *type)
{
  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", description->name,
                          description->help, description->name, type);
}

static void
format_value (GString *text, const struct Description *description, const char *type, guint64 value)
{
  format_head (text, description, type);
  g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", description->name, value);
}

static void
format_histogram (GString *text, const struct Description *description,
                  const struct GspanHistogramValues *values)
{
  guint64 count = 0;

  format_head (text, description, "histogram");
  for (size_t i = 0; i < G_N_ELEMENTS (bounds_us); i++)
    {
      count += values->buckets[i];
      g_string_append_printf (text, "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
                              description->name, (double)bounds_us[i] / US_PER_S, count);
    }
  count += values->buckets[G_N_ELEMENTS (bounds_us)];
  g_string_append_printf (text, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", description->name,
                          count);
  g_string_append_printf (text, "%s_sum %.6f\n%s_count %" G_GUINT64_FORMAT "\n", description->name,
                          (double)values->sum_us / US_PER_S, description->name, count);
}

char *
gspan_metrics_format (const struct GspanMetrics *metrics)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < GSPAN_METRIC_COUNT; i++)
    format_value (text, &descriptions[i], "counter", metrics->values[i]);
  for (int i = 0; i < GSPAN_GAUGE_COUNT; i++)
    format_value (text, &gauges[i], "gauge", metrics->gauges[i]);
  for (int i = 0; i < GSPAN_HISTOGRAM_COUNT; i++)
    format_histogram (text, &histograms[i], &metrics->histograms[i]);
  return g_string_free (text, FALSE);
}

static void
describe_all (GString *text, const struct Description *items, int count, const char *type)
{
  for (int i = 0; i < count; i++)
    g_string_append_printf (text, "| `%s` | %s | %s |\n", items[i].name, type, items[i].help);
}

char *
gspan_metrics_describe (void)
{
  GString *text = g_string_new ("| metric | type | meaning |\n|---|---|---|\n");

  describe_all (text, descriptions, GSPAN_METRIC_COUNT, "counter");
  describe_all (text, gauges, GSPAN_GAUGE_COUNT, "gauge");
  describe_all (text, histograms, GSPAN_HISTOGRAM_COUNT, "histogram");
  return g_string_free (text, FALSE);
}

#pragma once

#include "common/log.h"
#include "settings/options.h"

/* Settings of one gspan-node process. */
struct GspanFleetSettings
{
  char *name;
  char *zone;
  char *callers;
  char *ready;
  char *metrics;
  char *peers;
  char *outgoing;
  char *relay;
  char *platform;
  char *duties;
  char *log_level;
  gint64 keeps_disk;
  gint64 value_max;
  double cpu_share;
  double lease_ms;
  double usage_window_s;
  gint64 scaling;
  double job_kept_s;
  gint64 dispatchers;
  gint64 body_max;
  gint64 connections;
  gint64 memory_mb;
  gint64 descriptors;
  gint64 hedge_share_percent;
  double grace_s;
  double drain_notice_ms;
  double heartbeat_ms;
  gint64 log_lines;
  gint64 seed;
};

extern const struct GspanOption gspan_fleet_options[];
extern const size_t gspan_fleet_option_count;

enum GspanPriority gspan_fleet_log_level (const struct GspanFleetSettings *settings);

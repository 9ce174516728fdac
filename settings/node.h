#pragma once

#include "common/log.h"
#include "settings/options.h"

/* Settings of one process of the system; the same table serves all daemons. */
struct GspanNodeSettings
{
  char *name;
  char *firm;
  char *zone;
  char *http;
  char *rpc;
  char *udp;
  char *relay;
  char *seeds;
  char *platform;
  char *policy;
  char *log_level;
  char *callers_file;
  char *operator_file;
  char *order_file;
  char *peers;
  gint64 lease_ms;
  gint64 body_max;
  gint64 connections;
  gint64 drain_ms;
  gint64 request_timeout_ms;
  gint64 seed;
};

extern const struct GspanOption gspan_node_options[];
extern const size_t gspan_node_option_count;

enum GspanPriority gspan_node_log_level (const struct GspanNodeSettings *settings);

/* Priority of the log level NAME, one of the choices of "log.level". */
enum GspanPriority gspan_log_level_parse (const char *name);

#include "settings/node.h"

#include <string.h>

#define FIELD(name) offsetof (struct GspanNodeSettings, name)

const struct GspanOption gspan_node_options[] = {
  { "node.name", GSPAN_OPTION_NAME, NULL, 0, 0, NULL, NULL, "name of the VM, unique in the fleet",
    FIELD (name) },
  { "node.firm", GSPAN_OPTION_NAME, NULL, 0, 0, NULL, NULL, "firm that runs the VM", FIELD (firm) },
  { "node.zone", GSPAN_OPTION_NAME, NULL, 0, 0, NULL, NULL, "availability zone of the VM",
    FIELD (zone) },
  { "listen.http", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, NULL,
    "address for callers, operators and metrics", FIELD (http) },
  { "listen.rpc", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, NULL,
    "address for the system's other processes", FIELD (rpc) },
  { "listen.udp", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, "",
    "address for probes between members; one process of each VM is a member", FIELD (udp) },
  { "member.relay", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, "",
    "listen.rpc of the VM's member, for a process that is none", FIELD (relay) },
  { "member.seeds", GSPAN_OPTION_STRING, NULL, 0, 0, NULL, "",
    "listen.udp of a few members, separated by commas, for starts without the platform",
    FIELD (seeds) },
  { "platform.address", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, NULL, "the platform's object API",
    FIELD (platform) },
  { "route.policy", GSPAN_OPTION_CHOICE, NULL, 0, 0, "affinity round-robin least-loaded",
    "affinity", "how an upstream is chosen; the last two are baselines for measurements",
    FIELD (policy) },
  { "log.level", GSPAN_OPTION_CHOICE, NULL, 0, 0, "error warning notice info debug", "info",
    "least priority that is logged", FIELD (log_level) },
  { "security.callers_file", GSPAN_OPTION_STRING, NULL, 0, 0, NULL, "",
    "file of callers' tokens, a line of \"FIRM TOKEN\" each; unset lets every caller in",
    FIELD (callers_file) },
  { "security.operator_file", GSPAN_OPTION_STRING, NULL, 0, 0, NULL, "",
    "file of the token that /-/drain asks for; unset lets everybody drain", FIELD (operator_file) },
  { "security.order_file", GSPAN_OPTION_STRING, NULL, 0, 0, NULL, "",
    "file of the token that is sent with orders to engines", FIELD (order_file) },
  { "security.peers", GSPAN_OPTION_NETWORKS, NULL, 0, 0, NULL, "",
    "networks that may call by RPC, as \"IP/BITS IP/BITS\"; unset lets every address in",
    FIELD (peers) },
  { "lease.duration_ms", GSPAN_OPTION_INTEGER, "ms", 500, 60000, NULL, "5000",
    "life of a lease without renewal", FIELD (lease_ms) },
  { "limits.body_max", GSPAN_OPTION_INTEGER, "bytes", 1024, 67108864, NULL, "4194304",
    "largest request body", FIELD (body_max) },
  { "limits.connections", GSPAN_OPTION_INTEGER, "connections", 1, 100000, NULL, "2000",
    "open connections of callers at once", FIELD (connections) },
  { "limits.drain_ms", GSPAN_OPTION_INTEGER, "ms", 0, 3600000, NULL, "120000",
    "longest wait for requests in flight at a graceful shutdown", FIELD (drain_ms) },
  { "limits.request_timeout_ms", GSPAN_OPTION_INTEGER, "ms", 10, 3600000, NULL, "60000",
    "deadline of a request whose route names none", FIELD (request_timeout_ms) },
  { "random.seed", GSPAN_OPTION_INTEGER, NULL, 0, 4294967295, NULL, "0",
    "seed of the random generator; 0 takes one from the system", FIELD (seed) }
};

const size_t gspan_node_option_count = G_N_ELEMENTS (gspan_node_options);

enum GspanPriority
gspan_log_level_parse (const char *name)
{
  static const char *const names[] = { "error", "warning", "notice", "info", "debug" };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (strcmp (name, names[i]) == 0)
        return GSPAN_PRIORITY_ERROR + i;
    }
  return GSPAN_PRIORITY_INFO;
}

enum GspanPriority
gspan_node_log_level (const struct GspanNodeSettings *settings)
{
  return gspan_log_level_parse (settings->log_level);
}

#include "settings/fleet.h"

#include "gateway/hedge_budget.h"
#include "settings/node.h"

#define FIELD(name) offsetof (struct GspanFleetSettings, name)

const struct GspanOption gspan_fleet_options[] = {
  { "node.name", GSPAN_OPTION_NAME, NULL, 0, 0, NULL, NULL, "name of the VM, unique in the fleet",
    FIELD (name) },
  { "node.zone", GSPAN_OPTION_NAME, NULL, 0, 0, NULL, NULL, "availability zone of the VM",
    FIELD (zone) },
  { "node.cpu_share", GSPAN_OPTION_FRACTION, "processors", 0, 1024, NULL, "0",
    "what the VM has of a processor; nodes with the most run batch jobs for others; 0 is not known",
    FIELD (cpu_share) },
  { "node.keeps_disk", GSPAN_OPTION_BOOLEAN, NULL, 0, 0, NULL, "false",
    "the VM has a disk and may be asked to be emptied", FIELD (keeps_disk) },
  { "listen.callers", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, "",
    "address for desk callers and trainers; unset takes no requests", FIELD (callers) },
  { "listen.ready", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, "",
    "address where the balancer asks whether the node takes requests", FIELD (ready) },
  { "listen.metrics", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, "",
    "address of /metrics; unset serves none", FIELD (metrics) },
  { "listen.peers", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, NULL, "UDP address for the other nodes",
    FIELD (peers) },
  { "listen.relay", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, "",
    "address where other nodes send requests that they can't bring to an upstream themselves; "
    "unset passes none on",
    FIELD (relay) },
  { "listen.outgoing", GSPAN_OPTION_STRING, NULL, 0, 0, NULL, "",
    "IP that connections of this process come from; unset lets the system choose",
    FIELD (outgoing) },
  { "platform.address", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, NULL,
    "the platform's metadata store", FIELD (platform) },
  { "platform.value_max", GSPAN_OPTION_INTEGER, "bytes", 65536, 1073741824, NULL, "1048576",
    "largest object that the store takes", FIELD (value_max) },
  { "duties.address", GSPAN_OPTION_ADDRESS, NULL, 0, 0, NULL, "",
    "the platform's own calls, which one node makes for the fleet; unset makes none",
    FIELD (duties) },
  { "duties.usage_window_s", GSPAN_OPTION_FRACTION, "s", 0, 86400, NULL, "0",
    "the requests of each client account are reported for each such time; 0 reports none",
    FIELD (usage_window_s) },
  { "duties.scaling", GSPAN_OPTION_BOOLEAN, NULL, 0, 0, NULL, "false",
    "replicas are ordered for the services whose configuration allows it", FIELD (scaling) },
  { "lease.duration_ms", GSPAN_OPTION_FRACTION, "ms", 500, 60000, NULL, "3000",
    "orders of two holders of the lease are at least so far apart", FIELD (lease_ms) },
  { "jobs.kept_s", GSPAN_OPTION_FRACTION, "s", 1, 86400, NULL, "120",
    "a batch job's results stay readable for so long after its submission", FIELD (job_kept_s) },
  { "jobs.dispatchers", GSPAN_OPTION_BOOLEAN, NULL, 0, 0, NULL, "false",
    "the batch jobs of a service are run by a few of the strongest nodes, not where they come; the "
    "same at all nodes",
    FIELD (dispatchers) },
  { "limits.body_max", GSPAN_OPTION_INTEGER, "bytes", 1024, 1073741824, NULL, "33554432",
    "largest request body", FIELD (body_max) },
  { "limits.connections", GSPAN_OPTION_INTEGER, "connections", 1, 100000, NULL, "2000",
    "open connections of callers at once", FIELD (connections) },
  { "limits.memory_mb", GSPAN_OPTION_INTEGER, "MB", 32, 1048576, NULL, "256",
    "memory of the machine; what clients can make the process hold is bounded by parts of it",
    FIELD (memory_mb) },
  { "limits.descriptors", GSPAN_OPTION_INTEGER, "descriptors", 0, 1048576, NULL, "0",
    "open descriptors of the process at most; connections are bounded by parts of them; 0 is no "
    "bound",
    FIELD (descriptors) },
  { "hedge.share_percent", GSPAN_OPTION_INTEGER, "percent", -1, GSPAN_HEDGE_SHARE_MAX, NULL, "-1",
    "second attempts beside slow first ones, of the requests of a service, at most; 0 sends none; "
    "-1 sends one after half of the target latency, without a bound",
    FIELD (hedge_share_percent) },
  { "limits.grace_s", GSPAN_OPTION_FRACTION, "s", 1, 3600, NULL, "8",
    "from SIGTERM to the end of the process at the latest", FIELD (grace_s) },
  { "limits.drain_notice_ms", GSPAN_OPTION_FRACTION, "ms", 100, 60000, NULL, "2000",
    "an upstream that says that it leaves gets nothing new after so long",
    FIELD (drain_notice_ms) },
  { "limits.heartbeat_ms", GSPAN_OPTION_FRACTION, "ms", 10, 600000, NULL, "1200",
    "an upstream renews its entry so often; it lapses after three", FIELD (heartbeat_ms) },
  { "log.level", GSPAN_OPTION_CHOICE, NULL, 0, 0, "error warning notice info debug", "info",
    "least priority that is logged", FIELD (log_level) },
  { "log.lines_per_s", GSPAN_OPTION_INTEGER, "lines", 0, 1000000, NULL, "400",
    "info and debug lines beyond this in a second are left out and counted; 0 is no limit",
    FIELD (log_lines) },
  { "random.seed", GSPAN_OPTION_INTEGER, NULL, 0, 4294967295, NULL, "0",
    "seed of the random generator; 0 takes one from the system", FIELD (seed) }
};

const size_t gspan_fleet_option_count = G_N_ELEMENTS (gspan_fleet_options);

enum GspanPriority
gspan_fleet_log_level (const struct GspanFleetSettings *settings)
{
  return gspan_log_level_parse (settings->log_level);
}

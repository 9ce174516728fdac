#pragma once

#include "board/message.h"
#include "catalog/catalog.h"
#include "catalog/limits.h"
#include "catalog/permits.h"
#include "common/metrics.h"
#include "desk/poison_requests.h"
#include "duties/capacity_orders.h"
#include "duties/usage_reports.h"
#include "gateway/crash_reports.h"
#include "gateway/gateway.h"
#include "gateway/origin_store.h"
#include "gateway/streams.h"
#include "gateway/verdicts.h"
#include "gateway/version_history.h"
#include "gateway/versions.h"
#include "jobs/jobs.h"
#include "jobs/rewards.h"
#include "jobs/runner.h"
#include "links/exchanges.h"
#include "links/links.h"
#include "links/relay_offers.h"
#include "links/relay_server.h"
#include "node/held_answers.h"
#include "node/peers.h"
#include "weights/weights.h"

/* Who this process is. Strings are borrowed from the settings. */
struct GspanNodeSelf
{
  const char *name;
  const char *zone;
  const char *udp_address; /* "IP:PORT" where other nodes reach it */
  bool takes_requests;     /* callers reach it; else it only helps the others */
  bool keeps_disk;         /* its VM may be asked to be emptied */
  const char
      *relay_address;    /* "IP:PORT" where other nodes send requests to pass on; NULL is none */
  const char *relay_key; /* secret of this start that such requests have to bear */
  const char *duties_address; /* "IP:PORT" of the platform's own calls; NULL is none */
  bool dispatches_jobs;       /* jobs are run by dispatchers (jobs/dispatcher.h) */
  guint cpu_milli;            /* its VM's share of a processor, in thousandths; 0 is not known */
  bool orders_capacity;       /* takes part in orders of replicas (duties/capacity_orders.h) */
};

/* Bounds from the settings, in microseconds where no unit is named. */
struct GspanNodeLimits
{
  guint64 lease_us;         /* orders of two holders are at least so far apart */
  guint64 job_retention_us; /* a job's results stay readable for so long after its submission */
  guint64 drain_notice_us;  /* a leaving upstream gets nothing new after so long */
  guint64 object_max_bytes; /* bytes of an object in the store */
  guint64 heartbeat_us;     /* an upstream renews its entry so often; it lapses after three */
  guint64 grace_us;         /* after SIGTERM the process is killed so long later */
  guint64 held_answers_max; /* bytes of memory (node/held_answers.h) */
  guint64 job_values_max;   /* JSON values in a submitted job */
  guint64 usage_window_ms;  /* usage of accounts is reported for each such time; 0 is not */
  bool has_hedge_share;     /* second attempts are bounded by a share of the requests: */
  guint hedge_share_percent;
};

/*
 * The blackboard of gspan-node, which the controllers of requests, batch jobs and weights read and
 * write. It has no clock, no sockets and no static state; NOW and WALL_MS are set from each event.
 */
struct GspanNode
{
  guint64 now;    /* microseconds of the steady clock */
  gint64 wall_ms; /* Unix milliseconds; may step */
  GRand *random;
  guint32 incarnation; /* drawn at start, tells restarts of one name apart */
  struct GspanNodeSelf self;
  struct GspanNodeLimits limits;
  bool draining;
  guint64 draining_since;
  guint64 next_id;
  struct GspanMetrics metrics;
  struct GspanPoisonRequests poison_requests;
  struct GspanCrashReports crash_reports;
  struct GspanVerdicts verdicts;
  struct GspanCatalog catalog;
  struct GspanLimits rate_limits; /* of replicas */
  struct GspanPeers peers;
  struct GspanLinks links;
  struct GspanExchanges exchanges;
  struct GspanRelayOffers relay_offers;
  struct GspanRelayServer relay_server;
  struct GspanGateway gateway;
  struct GspanHeldAnswers held_answers;
  struct GspanStreams streams;
  struct GspanOriginStore origin_store;
  struct GspanVersions versions; /* of replicas' software */
  struct GspanVersionHistory version_history;
  struct GspanJobs jobs;
  struct GspanRunner runner;
  struct GspanRewards rewards;
  struct GspanWeights weights;
  struct GspanUsageReports usage_reports;
  struct GspanCapacityOrders capacity_orders;
};

struct GspanNodeConfig
{
  struct GspanNodeSelf self;
  struct GspanNodeLimits limits;
  guint32 seed;
};

void gspan_node_init (struct GspanNode *node, const struct GspanNodeConfig *config);
void gspan_node_finish (struct GspanNode *node);

/* Number of an operation, unique on this node. */
guint64 gspan_node_next_id (struct GspanNode *node);

/* Runs the controllers that EVENT concerns; their actions go to OUTBOX. */
void gspan_node_handle (struct GspanNode *node, const struct GspanEvent *event, guint64 now,
                        gint64 wall_ms, struct GspanOutbox *outbox);

/*
 * Time by which this node has to have answered what it takes on: before its process ends, where it
 * drains. A request that may take longer is refused at once, so that it is tried at another node.
 */
guint64 gspan_node_answers_until (const struct GspanNode *node);

/*
 * True where the body of a request with this head is of use: its path has a route, and its caller
 * may use it. Else it is answered without.
 */
bool gspan_node_wants_body (const struct GspanNode *node, struct GspanStr method,
                            struct GspanStr path, const struct GspanHeaders *headers);

/* True where it knows the configuration and the replicas, and takes new requests. */
bool gspan_node_ready (const struct GspanNode *node);

/* True while requests, jobs or requests of other nodes are open here. */
bool gspan_node_has_open_tasks (const struct GspanNode *node);

/* True while work keeps a draining process from its exit, or while it wants short ticks. */
bool gspan_node_has_open_work (const struct GspanNode *node);

/* Sets the gauges that follow from the state. */
void gspan_node_update_gauges (struct GspanNode *node);

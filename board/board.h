#pragma once

#include "board/message.h"
#include "common/access.h"
#include "common/metrics.h"
#include "desk/poison_requests.h"
#include "membership/members.h"
#include "membership/probe.h"
#include "lease/lease.h"
#include "lease/status.h"
#include "records/follow.h"
#include "records/relay.h"
#include "records/report.h"
#include "records/table.h"
#include "route/choose.h"
#include "route/upstreams.h"
#include "route/vms.h"

struct GspanControl;
struct GspanDesk;
struct GspanKeyedCalls;
struct GspanBatchPulls;
struct GspanRollout;
struct GspanKeyPartitions;

/* Who this process is. All strings are borrowed from the settings. */
struct GspanSelf
{
  const char *name;
  const char *firm;
  const char *zone;
  const char *rpc;
  const char *udp;   /* of the member; empty where the process is none */
  const char *relay; /* RPC address of the VM's member, for a process that is none; or empty */
  const char *seeds; /* UDP addresses of members, separated by commas; or empty */
};

/*
 * The blackboard that the controllers of one process read and write. It has no clock, no sockets
 * and no static state; NOW is set from each event. A controller that is not composed is NULL.
 */
struct GspanBoard
{
  guint64 now; /* microseconds */
  GRand *random;
  guint32 incarnation; /* drawn at start, tells restarts of one name apart */
  struct GspanSelf self;
  bool draining;
  guint64 next_id;
  struct GspanMetrics metrics;
  struct GspanRecords records;
  struct GspanFollow follow;
  struct GspanRelay relay;
  struct GspanReport report;
  struct GspanMembers members;
  struct GspanProbe probe;
  const GPtrArray
      *peers; /* names of the VMs that run a process of this kind; NULL or empty is not known */
  struct GspanLeases leases;
  struct GspanStatuses statuses;
  struct GspanUpstreams upstreams;
  struct GspanPoisonRequests poison_requests;
  struct GspanVms vms;
  enum GspanRoutePolicy route_policy;
  guint64 request_timeout_us;
  const struct GspanAccess *access; /* borrowed; NULL lets everybody in */
  struct GspanDesk *desk;
  struct GspanKeyedCalls *keyed_calls;
  struct GspanKeyPartitions *key_partitions;
  struct GspanBatchPulls *batch_pulls;
  struct GspanRollout *rollout;
  struct GspanControl *control;
};

struct GspanBoardConfig
{
  struct GspanSelf self;
  guint32 seed;
  guint64 lease_duration_us;
  guint64 request_timeout_us;
  enum GspanRoutePolicy route_policy;
  const struct GspanAccess *access; /* borrowed, may be NULL */
};

void gspan_board_init (struct GspanBoard *board, const struct GspanBoardConfig *config);

/* Finishes and frees the composed controllers too, which come from g_new0 (). */
void gspan_board_finish (struct GspanBoard *board);

/* Number of an operation, unique on this board. */
guint64 gspan_board_next_id (struct GspanBoard *board);

/*
 * Id of REQUEST in logs, headers and towards upstreams, "VM-INCARNATION-NUMBER": unique over the
 * fleet, also over restarts of one name. Released with g_free ().
 */
char *gspan_board_request_id (const struct GspanBoard *board, guint64 request);

/*
 * Runs the controllers that EVENT concerns at the time NOW; their actions go to OUTBOX. Each answer
 * to a caller gets its request's id in a Gspan-Request header.
 */
void gspan_board_handle (struct GspanBoard *board, const struct GspanEvent *event, guint64 now,
                         struct GspanOutbox *outbox);

/* True where this process knows records and upstreams and takes new work. */
bool gspan_board_is_ready (const struct GspanBoard *board);

/* Sets the gauges that follow from the board's state. */
void gspan_board_update_gauges (struct GspanBoard *board);

/* True while work in flight keeps a draining process from its exit. */
bool gspan_board_has_open_work (const struct GspanBoard *board);

#pragma once

#include <jansson.h>

#include "catalog/replica.h"
#include "desk/poison_requests.h"

struct GspanNode;
struct GspanOutbox;

/*
 * Requests that crash the replicas that run them, known to the whole fleet: such a request comes
 * again at any node. Each node tells the others by datagram, at once and again for a while, at
 * which replicas a request was left without an answer, and which request was answered after all;
 * each judges by itself (desk/poison_requests.h). A verdict is also written to the store, for nodes
 * that start later or were cut off; the holder of the lease of orders removes it once it is over.
 */

struct GspanCrashReports
{
  GPtrArray *recent;  /* struct Report, told to the other nodes for a while */
  bool has_new;       /* one of them hasn't been told yet */
  guint64 told_at_us; /* the last datagrams */
};

void gspan_crash_reports_init (struct GspanCrashReports *reports);
void gspan_crash_reports_finish (struct GspanCrashReports *reports);

/* Notes what this node saw of a request with the content FINGERPRINT at REPLICA. */
void gspan_crash_reports_note (struct GspanNode *node, guint64 fingerprint,
                               const struct GspanReplica *replica,
                               enum GspanPoisonEvidence evidence, struct GspanOutbox *outbox);

/*
 * As above, for a request that was at REPLICA without an answer for ELAPSED_US and was then given
 * up; not for long says little.
 */
void gspan_crash_reports_note_silence (struct GspanNode *node, guint64 fingerprint,
                                       const struct GspanReplica *replica, guint64 elapsed_us,
                                       struct GspanOutbox *outbox);

/* REPLICA has answered a request with the content FINGERPRINT, or is well on the way. */
void gspan_crash_reports_note_answer (struct GspanNode *node, guint64 fingerprint,
                                      const struct GspanReplica *replica,
                                      struct GspanOutbox *outbox);

/* REPLICA is gone from the list, or started anew under its id. */
void gspan_crash_reports_replica_ended (struct GspanNode *node, const struct GspanReplica *replica,
                                        struct GspanOutbox *outbox);

/* Takes in MESSAGE, which another node has sent. */
void gspan_crash_reports_receive (struct GspanNode *node, json_t *message,
                                  struct GspanOutbox *outbox);

void gspan_crash_reports_handle (struct GspanNode *node, struct GspanOutbox *outbox);

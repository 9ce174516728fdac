#pragma once

#include <jansson.h>

#include "catalog/replica.h"
#include "desk/poison_requests.h"

struct GspanEventHttp;
struct GspanNode;
struct GspanOutbox;

/*
 * Evidence that requests crash the replicas that run them, shared between all nodes, since clients
 * retry such a request at any node. A node reports by datagram at which replicas a request got no
 * answer, and when the same content was answered after all. Reports are sent at once and repeated
 * for a while. Each node evaluates the evidence by itself (desk/poison_requests.h); condemned
 * requests are also recorded in the store (gateway/verdicts.h).
 *
 * That a request got no answer may also be due to this node's own links (links/links.h). Such
 * evidence is held back until a replica is heard again, and dropped where none is.
 */

struct GspanCrashReports
{
  GPtrArray *recent;  /* struct Report, sent and repeated for a while */
  GPtrArray *held;    /* struct Held, until it is known whether the links stand */
  bool has_new;       /* one of them hasn't been sent yet */
  guint64 sent_at_us; /* time of the last datagrams */
};

void gspan_crash_reports_init (struct GspanCrashReports *reports);
void gspan_crash_reports_finish (struct GspanCrashReports *reports);

/*
 * Records and reports EVIDENCE that the request FINGERPRINT crashes REPLICA. Evidence short of a
 * crash waits until the links of this node are known to stand.
 */
void gspan_crash_reports_note (struct GspanNode *node, guint64 fingerprint,
                               struct GspanReplica *replica, enum GspanPoisonEvidence evidence,
                               struct GspanOutbox *outbox);

/*
 * As above, for a request whose ANSWER from REPLICA was lost. A replica that answered another
 * request in its place lives: the evidence is GSPAN_POISON_EXPOSED then.
 */
void gspan_crash_reports_note_lost (struct GspanNode *node, guint64 fingerprint,
                                    struct GspanReplica *replica,
                                    const struct GspanEventHttp *answer,
                                    struct GspanOutbox *outbox);

/*
 * As above, for a request that got no answer from REPLICA within ELAPSED_US and was then cancelled.
 * The evidence is GSPAN_POISON_SUSPECTED only if that was long enough for a healthy replica.
 */
void gspan_crash_reports_note_silence (struct GspanNode *node, guint64 fingerprint,
                                       struct GspanReplica *replica, guint64 elapsed_us,
                                       struct GspanOutbox *outbox);

/* REPLICA has answered the request FINGERPRINT, or its stream has produced several events. */
void gspan_crash_reports_note_answer (struct GspanNode *node, guint64 fingerprint,
                                      const struct GspanReplica *replica,
                                      struct GspanOutbox *outbox);

/* REPLICA was removed from the store without draining, or has restarted under its id. */
void gspan_crash_reports_replica_ended (struct GspanNode *node, const struct GspanReplica *replica,
                                        struct GspanOutbox *outbox);

/* Applies the reports in MESSAGE from another node. */
void gspan_crash_reports_receive (struct GspanNode *node, json_t *message,
                                  struct GspanOutbox *outbox);

/* The links stood at SINCE or later: evidence from before that counts. */
void gspan_crash_reports_links_stand (struct GspanNode *node, guint64 since,
                                      struct GspanOutbox *outbox);

/* Evidence against FINGERPRINT that is held back. */
guint gspan_crash_reports_held (const struct GspanNode *node, guint64 fingerprint);

void gspan_crash_reports_handle (struct GspanNode *node, struct GspanOutbox *outbox);

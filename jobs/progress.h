#pragma once

#include <jansson.h>

#include "jobs/job.h"

struct GspanNode;
struct GspanOutbox;

/*
 * Progress notifications between nodes, by datagram. A node whose callers wait for results of a job
 * subscribes at the job's owner, which replies at once and after each segment that it appends. The
 * subscriber then lists segments in the store only when there are new ones. A lost datagram costs
 * only time: without notifications the subscriber lists segments periodically.
 */

/*
 * Renews this node's subscription at the owner of JOB while callers wait for results here. The
 * first reply tells which segment holds the first result that they want, so that the segments
 * before it aren't read here: a trainer reads each part of its results at another node.
 */
void gspan_progress_request (struct GspanNode *node, struct GspanJob *job,
                             struct GspanOutbox *outbox);

/*
 * True while the owner of JOB may still reply from which segment on this node has to read. JOB must
 * have a reader.
 */
bool gspan_progress_awaits_position (const struct GspanNode *node, const struct GspanJob *job);

/*
 * True if a list call might bring new results of JOB: the owner has notified of more segments, the
 * cache isn't up to date, or no notifications arrive. JOB must have a reader.
 */
bool gspan_progress_needs_list (const struct GspanNode *node, const struct GspanJob *job);

/*
 * True while READER is to wait for segments that the owner has notified of and that this node
 * hasn't read yet, rather than get what is cached here.
 */
bool gspan_progress_defers_reply (const struct GspanNode *node, const struct GspanJob *job,
                                  const struct GspanJobReader *reader);

/* Notifies all subscribers of JOB, which this node owns, of its number of segments. */
void gspan_progress_publish (struct GspanNode *node, struct GspanJob *job,
                             struct GspanOutbox *outbox);

/*
 * Handles a MESSAGE of the node FROM: KIND "reads" is a subscription, "listed" is a notification.
 */
void gspan_progress_receive (struct GspanNode *node, struct GspanJob *job, const char *kind,
                             const char *from, json_t *message, struct GspanOutbox *outbox);

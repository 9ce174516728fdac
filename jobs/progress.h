#pragma once

#include <jansson.h>

#include "jobs/job.h"

struct GspanNode;
struct GspanOutbox;

/*
 * Word of new results between nodes, by datagram: a node whose callers read a job asks its owner,
 * which answers at once and after each segment that it lists. The reader's node then looks at the
 * store when there is something new, not on a schedule. A lost datagram costs time only: an owner
 * that isn't heard is done without.
 */

/* Asks the owner of JOB what it has listed, while callers wait for results here. */
void gspan_progress_request (struct GspanNode *node, struct GspanJob *job,
                             struct GspanOutbox *outbox);

/* True where a look at the store would show results of JOB, or its owner isn't heard. */
bool gspan_progress_needs_list (const struct GspanNode *node, const struct GspanJob *job);

/* True while READER had better wait for a look that brings more than is known of JOB here. */
bool gspan_progress_defers_reply (const struct GspanNode *node, const struct GspanJob *job,
                                  const struct GspanJobReader *reader);

/* Tells the nodes that have asked of late that JOB, which is run here, has a new segment. */
void gspan_progress_publish (struct GspanNode *node, struct GspanJob *job,
                             struct GspanOutbox *outbox);

/* Takes in MESSAGE, of kind "reads" or "listed", from the node FROM. */
void gspan_progress_receive (struct GspanNode *node, struct GspanJob *job, const char *kind,
                             const char *from, json_t *message, struct GspanOutbox *outbox);

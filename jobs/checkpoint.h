#pragma once

#include "jobs/job.h"

struct GspanNode;
struct GspanOutbox;
struct GspanStoreReply;

/*
 * What unfinished runs of a job have generated, kept in the store now and then so that another
 * owner goes on from there. It holds for whoever reads it, however old: a text up to event N, with
 * the versions that generated it, can be gone on with at N + 1 by any replica.
 */

/* Name of the object, of the job's own kind; sorts before its parts. */
extern const char gspan_checkpoint_name[];

/* Writes JOB's runs to the store where that is due; LAST says that this node is handing JOB over.
 */
void gspan_checkpoint_advance (struct GspanNode *node, struct GspanJob *job, bool last,
                               struct GspanOutbox *outbox);

/* True where a write is under way or, for a job that is handed over, still to come. */
bool gspan_checkpoint_pending (const struct GspanNode *node, const struct GspanJob *job);

void gspan_checkpoint_written (struct GspanNode *node, struct GspanJob *job,
                               const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Notes the checkpoint SPEC of JOB as it was read; used once JOB's content is loaded. */
void gspan_checkpoint_read (struct GspanJob *job, json_t *spec);

/* Lets the items of JOB, whose content has just been loaded, go on from the checkpoint read. */
void gspan_checkpoint_restore (struct GspanJob *job);

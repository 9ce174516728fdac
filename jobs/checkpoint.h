#pragma once

#include "jobs/job.h"

struct GspanNode;
struct GspanOutbox;
struct GspanStoreObject;
struct GspanStoreReply;

/*
 * Checkpoints of a job: what its unfinished runs have generated, written to the store periodically
 * so that a new owner resumes from there. A checkpoint never becomes invalid, however old it is:
 * any replica with the software version that began a text can resume it, with the weight versions
 * that generated it, after its last event.
 */

/* Name of the checkpoint among the job's objects; it sorts before the parts. */
extern const char gspan_checkpoint_name[];

/*
 * True if nothing that is worth keeping of the whole text of ITEM would be lost with this node: it
 * is in the store, short, or can't be kept now. The wait for a write is bounded.
 */
bool gspan_checkpoint_covers (const struct GspanNode *node, const struct GspanJob *job,
                              const struct GspanItem *item);

/*
 * Writes a checkpoint of JOB if one is due. LAST is true during a handover, when fewer new events
 * are enough and the interval between checkpoints doesn't count.
 */
void gspan_checkpoint_write_if_due (struct GspanNode *node, struct GspanJob *job, bool last,
                                    struct GspanOutbox *outbox);

/* True if a write is in flight or, during a handover, still due. */
bool gspan_checkpoint_pending (const struct GspanNode *node, const struct GspanJob *job);

void gspan_checkpoint_write_done (struct GspanNode *node, struct GspanJob *job,
                                  const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Keeps the checkpoint OBJECT, read from the store, until gspan_checkpoint_restore (). */
void gspan_checkpoint_set (struct GspanJob *job, const struct GspanStoreObject *object);

/* Restores the items of JOB from its checkpoint, right after the content was loaded. */
void gspan_checkpoint_restore (struct GspanJob *job);

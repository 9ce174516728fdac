#pragma once

#include "board/message.h"
#include "catalog/config.h"
#include "jobs/expire.h"
#include "jobs/job.h"
#include "platform/wire.h"

struct GspanNode;

/* All batch jobs that this node knows, and the calls to the store that concern them. */

enum GspanJobOp
{
  GSPAN_JOB_PUT_PART,  /* a submission's content */
  GSPAN_JOB_PUT_HEAD,  /* the acceptance itself */
  GSPAN_JOB_FIND_HEAD, /* after an acceptance without an answer */
  GSPAN_JOB_LOOK_UP,   /* a caller asks for a job that isn't known here */
  GSPAN_JOB_FETCH,     /* parts and segments */
  GSPAN_JOB_APPEND,    /* a new segment */
  GSPAN_JOB_KEEP,      /* a checkpoint of runs */
  GSPAN_JOB_TAKE,      /* a new owner, or none */
  GSPAN_JOB_CHECK,     /* the head, by the owner or a deputy */
  GSPAN_JOB_END,
  GSPAN_JOB_FORGET /* removal of an old job's objects */
};

/* A call to the store under way. */
struct GspanJobCall
{
  guint64 id;
  enum GspanJobOp op;
  char *job;
  guint64 request;               /* LOOK_UP and END: the caller's */
  struct GspanWireTarget target; /* LOOK_UP: what was asked */
  bool fresh;                    /* LOOK_UP: the store's newest word */
};

struct GspanJobs
{
  GHashTable *by_id;     /* id to struct GspanJob */
  GHashTable *accepting; /* id to struct GspanSubmission */
  GHashTable *calls;     /* id to struct GspanJobCall */
  struct GspanExpiry expiry;
};

void gspan_jobs_init (struct GspanJobs *jobs);
void gspan_jobs_finish (struct GspanJobs *jobs);
struct GspanJob *gspan_jobs_find (const struct GspanJobs *jobs, const char *id);

/* Notes the head OBJECT as it stands in the store. */
void gspan_jobs_apply_head (struct GspanNode *node, const struct GspanStoreObject *object,
                            struct GspanOutbox *outbox);
void gspan_jobs_handle (struct GspanNode *node, const struct GspanEvent *event,
                        struct GspanOutbox *outbox);

/* True where jobs are run here, handed over, or read. */
bool gspan_jobs_busy (const struct GspanJobs *jobs);

/* Starts a call to the store on the job ID. */
struct GspanStoreCall *gspan_jobs_call (struct GspanNode *node, enum GspanJobOp job_op,
                                        const char *id, enum GspanStoreOp op, const char *kind,
                                        const char *name, struct GspanOutbox *outbox,
                                        struct GspanJobCall **call);

/* accept.c: submissions. */

struct GspanSubmission;
void gspan_submission_free (gpointer submission);

/* Takes a submitted job: answered once the store has it, or has surely not got it. */
void gspan_jobs_submit (struct GspanNode *node, const struct GspanEventRequest *request,
                        const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
                        struct GspanOutbox *outbox);
void gspan_accept_done (struct GspanNode *node, const struct GspanJobCall *call,
                        const struct GspanStoreReply *reply, struct GspanOutbox *outbox);
void gspan_accept_gone (struct GspanNode *node, guint64 request);

/* serve.c: callers that read and end jobs. */

void gspan_serve_request (struct GspanNode *node, guint64 request,
                          const struct GspanWireTarget *target, struct GspanOutbox *outbox);
void gspan_serve_done (struct GspanNode *node, const struct GspanJobCall *call,
                       const struct GspanStoreReply *reply, struct GspanOutbox *outbox);
void gspan_serve_gone (struct GspanNode *node, guint64 request);

/* Answers the readers of JOB that can be answered. */
void gspan_serve_readers (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);

/* True where a reader of JOB can't be told "nothing yet" without another look at the store. */
bool gspan_serve_wants_look (const struct GspanNode *node, const struct GspanJob *job);

/* segments.c: parts and segments. */

/* Starts the look at the store that JOB needs now, if any, or lists what is ready. */
void gspan_segments_advance (struct GspanNode *node, struct GspanJob *job,
                             struct GspanOutbox *outbox);
void gspan_segments_list_done (struct GspanNode *node, struct GspanJob *job,
                               const struct GspanStoreReply *reply, struct GspanOutbox *outbox);
void gspan_segments_append_done (struct GspanNode *node, struct GspanJob *job,
                                 const struct GspanStoreCall *sent,
                                 const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* owner.c: who runs a job. */

/* Sets whether this node runs JOB by what its head says. */
void gspan_owner_update (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);
void gspan_owner_tick (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);
void gspan_owner_done (struct GspanNode *node, struct GspanJob *job,
                       const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Takes in a head that was read again; JOB_ID may be known here no more. */
void gspan_owner_checked (struct GspanNode *node, const char *job_id,
                          const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Tells JOB's owner to read the head: this node has just ended the job. */
void gspan_owner_tell_end (struct GspanNode *node, const struct GspanJob *job,
                           struct GspanOutbox *outbox);

/* Takes in MESSAGE, which another node has sent about a job. */
void gspan_owner_handle_datagram (struct GspanNode *node, json_t *message,
                                  struct GspanOutbox *outbox);

#pragma once

#include "board/message.h"
#include "catalog/config.h"
#include "jobs/expire.h"
#include "jobs/job.h"
#include "platform/wire.h"

struct GspanNode;

/*
 * All batch jobs known to this node and the store calls in flight for them. The functions below are
 * grouped by the file that has them: accept.c takes submissions, serve.c handles requests for
 * existing jobs, segments.c reads and appends a job's objects, owner.c decides which node runs a
 * job.
 */

enum GspanJobOp
{
  GSPAN_JOB_PUT_PART,         /* creates a part of a submitted job */
  GSPAN_JOB_PUT_HEAD,         /* creates the head, which accepts the job */
  GSPAN_JOB_READ_HEAD,        /* reads the head of a job that a caller names, unknown here */
  GSPAN_JOB_LIST_CONTENT,     /* lists the checkpoint, parts and segments */
  GSPAN_JOB_APPEND_SEGMENT,   /* creates the next segment */
  GSPAN_JOB_WRITE_CHECKPOINT, /* creates or replaces the checkpoint */
  GSPAN_JOB_SET_OWNER,        /* replaces the head to set or clear the owner */
  GSPAN_JOB_CHECK_HEAD,       /* reads the head, for the owner or a takeover candidate */
  GSPAN_JOB_END,              /* sets the head's status to ended */
  GSPAN_JOB_REMOVE            /* lists and removes the objects of an expired job */
};

/* A store call in flight. */
struct GspanJobCall
{
  guint64 id;
  enum GspanJobOp op;
  char *job_id;
  guint64 request;               /* READ_HEAD and END: the caller's request */
  struct GspanWireTarget target; /* READ_HEAD: what the caller requested */
  char *account;                 /* READ_HEAD: the caller's account; NULL is none */
  bool is_fresh_read;            /* READ_HEAD: the store may not reply with stale data */
};

struct GspanJobs
{
  GHashTable *by_id;           /* id to struct GspanJob */
  GHashTable *submissions;     /* id to struct GspanSubmission */
  GHashTable *unsettled_heads; /* id to guint64: until when a create of the head may be done */
  GHashTable *calls;           /* id to struct GspanJobCall */
  struct GspanExpiry expiry;
};

void gspan_jobs_init (struct GspanJobs *jobs);
void gspan_jobs_finish (struct GspanJobs *jobs);

/* Returns the job ID, or NULL if it isn't known here. */
struct GspanJob *gspan_jobs_find (const struct GspanJobs *jobs, const char *id);

/* The route of JOB in the configuration in force; NULL if there is none any more. */
const struct GspanConfigRoute *gspan_jobs_route_of (const struct GspanNode *node,
                                                    const struct GspanJob *job);

/* All jobs, the oldest first. Release with g_list_free (). */
GList *gspan_jobs_by_age (const struct GspanJobs *jobs);

/*
 * Applies the head OBJECT, as read from the store or sent by another node, unless a newer revision
 * is known. May free the job: if OBJECT is marked as removed, or isn't a valid head.
 */
void gspan_jobs_apply_head (struct GspanNode *node, const struct GspanStoreObject *object,
                            struct GspanOutbox *outbox);
void gspan_jobs_handle (struct GspanNode *node, const struct GspanEvent *event,
                        struct GspanOutbox *outbox);

/* True while this node accepts or owns unfinished jobs, or has callers waiting for a job. */
bool gspan_jobs_is_busy (const struct GspanJobs *jobs);

/* Starts a store call for the job ID. CALL, unless NULL, is set to its record. */
struct GspanStoreCall *gspan_jobs_start_call (struct GspanNode *node, enum GspanJobOp job_op,
                                              const char *id, enum GspanStoreOp op,
                                              const char *kind, const char *name,
                                              struct GspanOutbox *outbox,
                                              struct GspanJobCall **call);

/* accept.c: submissions. */

struct GspanSubmission;
void gspan_submission_free (gpointer submission);

/*
 * Handles the submission of a job by ACCOUNT; NULL is none. Another account's job of the same id
 * is 404 to the caller. The response is sent once the store has the job (202) or surely
 * doesn't and never will by this node (503); if neither can be told in the caller's time, it is
 * 502.
 */
void gspan_jobs_submit (struct GspanNode *node, const struct GspanEventRequest *request,
                        const struct GspanWireRequest *wire, const struct GspanConfigRoute *route,
                        const char *account, struct GspanOutbox *outbox);
void gspan_accept_call_done (struct GspanNode *node, const struct GspanJobCall *call,
                             const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Creates heads of unknown fate once more, and answers callers whose time is nearly up. */
void gspan_accept_tick (struct GspanNode *node, struct GspanOutbox *outbox);

/* Forgets REQUEST, whose caller has closed the connection. */
void gspan_accept_caller_disconnected (struct GspanNode *node, guint64 request);

/* serve.c: requests that read results and items, or end a job. */

/* True where callers of ACCOUNT, NULL is none, may use JOB; to others it doesn't exist. */
bool gspan_job_is_open_to (const struct GspanNode *node, const struct GspanJob *job,
                           const char *account);

void gspan_serve_request (struct GspanNode *node, guint64 request, const char *account,
                          const struct GspanWireTarget *target, struct GspanOutbox *outbox);
void gspan_serve_call_done (struct GspanNode *node, const struct GspanJobCall *call,
                            const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Forgets REQUEST, whose caller has closed the connection. */
void gspan_serve_caller_disconnected (struct GspanNode *node, guint64 request);

/* Sends the responses to readers of JOB that can be sent now. */
void gspan_serve_readers (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);

/* True if a reader's wait is over and the cache hasn't been synced since the reader arrived. */
bool gspan_serve_needs_list (const struct GspanNode *node, const struct GspanJob *job);

/* segments.c: parts and segments in the store. */

/* Appends the next segment of JOB if it is due, and sends a list call if one is needed. */
void gspan_segments_advance (struct GspanNode *node, struct GspanJob *job,
                             struct GspanOutbox *outbox);
void gspan_segments_list_done (struct GspanNode *node, struct GspanJob *job,
                               const struct GspanStoreReply *reply, struct GspanOutbox *outbox);
void gspan_segments_append_done (struct GspanNode *node, struct GspanJob *job,
                                 const struct GspanStoreCall *sent,
                                 const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* owner.c: ownership of jobs. */

/*
 * This node has accepted the job ID. Where another one is to run it, that is told until it answers;
 * where it doesn't, this node takes the job over.
 */
void gspan_owner_begin_handover (struct GspanNode *node, const char *id,
                                 struct GspanOutbox *outbox);

/* Starts or stops running JOB here after its head has changed. */
void gspan_owner_update (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);
void gspan_owner_tick (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);

/* Handles the REPLY to a write that sets or clears the owner. May free JOB. */
void gspan_owner_write_done (struct GspanNode *node, struct GspanJob *job,
                             const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Handles the REPLY to a read of the head. The job may have been removed here meanwhile. */
void gspan_owner_read_done (struct GspanNode *node, const char *job_id,
                            const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Notifies the owner of JOB that a caller has just ended the job at this node. */
void gspan_owner_notify_end (struct GspanNode *node, const struct GspanJob *job,
                             struct GspanOutbox *outbox);

/* Handles a MESSAGE about a job that another node has sent by datagram. */
void gspan_owner_handle_datagram (struct GspanNode *node, json_t *message,
                                  struct GspanOutbox *outbox);

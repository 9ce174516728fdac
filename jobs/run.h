#pragma once

#include "board/message.h"
#include "common/events.h"
#include "jobs/job.h"

struct GspanNode;
struct GspanReplica;

/* A run in flight: the request that generates one item at one replica. */
struct GspanRun
{
  guint64 id;
  struct GspanNode *node;
  struct GspanJob *job;
  struct GspanItem *item;
  struct GspanReplica *replica;
  struct GspanEvents events;
  guint64 started_at_us;
  guint64 last_active_us; /* last event; before the first one, the response's head or the start */
  guint64 weight_version; /* that generates now; 0 is unknown */
  guint event_count;      /* valid events of this run */
  bool was_rejected;      /* the replica said that it doesn't run it */
  bool has_head;          /* the response's head has come */
  bool is_streaming;      /* a response of 200 with the replica's stamp has begun */
  bool says_stream;       /* it says that it is a stream of events */
  bool is_too_long;       /* the text is longer than a result may be */
  bool has_invalid_event; /* an event out of order, not UTF-8 or of a weight version not allowed */
};

void gspan_run_free (gpointer run);

/* Starts a run of ITEM at REPLICA, which goes on after the item's last event. */
void gspan_run_start (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                      struct GspanReplica *replica, struct GspanOutbox *outbox);

void gspan_run_log (const struct GspanRun *run, const char *event, const char *outcome, int status,
                    struct GspanOutbox *outbox);

/* Logs the end of RUN with what ANSWER looked like on its connection. */
void gspan_run_log_end (const struct GspanRun *run, const char *outcome,
                        const struct GspanEventHttp *answer, bool signed_by_replica,
                        struct GspanOutbox *outbox);

/* Ends the exchange of RUN without waiting for an answer. */
void gspan_run_cancel (struct GspanRun *run, struct GspanOutbox *outbox);

/*
 * Frees RUN. Its item goes to the front of the queue, unless another node has committed a result of
 * it.
 */
void gspan_run_requeue (struct GspanNode *node, struct GspanRun *run);

/*
 * Frees RUN. Its item goes to the front of the queue, to be asked for what follows its last event,
 * which may be nothing; the text so far is kept in any case.
 */
void gspan_run_ask_for_rest (struct GspanNode *node, struct GspanRun *run);

/* The text of ITEM is whole: has it scored, or committed where it needs no score. */
void gspan_run_finish_text (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                            struct GspanOutbox *outbox);

/*
 * Abandons ITEM if it fits in no request, or hasn't been finished in the time that the route of JOB
 * allows.
 */
bool gspan_run_abandon_if_due (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                               struct GspanOutbox *outbox);

/* Has the result of ITEM committed, as completed or as abandoned. */
void gspan_run_finish_item (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                            bool completed, struct GspanOutbox *outbox);

/* Has ITEM begin anew. */
void gspan_run_discard_progress (struct GspanItem *item);

/* Software version that the text of ITEM has to go on at; NULL where it is to begin. */
const char *gspan_run_software_of (const struct GspanItem *item);

/* True if results of JOB have to be of one version of the weights. */
bool gspan_run_requires_single_version (const struct GspanNode *node, const struct GspanJob *job);

#pragma once

#include "board/message.h"
#include "common/events.h"
#include "common/metrics.h"
#include "gateway/hedge.h"

struct GspanNode;
struct GspanReplica;

/*
 * A desk caller's request while this node has it, and its attempts at replicas. Times are
 * microseconds of the steady clock.
 */

struct GspanCall
{
  guint64 id;
  guint64 request;
  char *caller_id;
  char *account;     /* client account that it is of; NULL is none */
  char *key_digest;  /* of the API key that it came with; NULL is none */
  bool is_anonymous; /* its route lets callers without a key in */
  bool is_counted;   /* in its account's usage */
  char *route;
  char *service;
  char *method;
  char *path;
  struct GspanHeaders headers;
  GBytes *body;
  guint64 fingerprint;
  guint64 started;
  struct GspanHedgeState state;
  GPtrArray *tried;   /* ids of replicas */
  GPtrArray *open;    /* struct GspanAttempt */
  char *waits_at;     /* id of the replica that it waits for a permit of; NULL is none */
  guint64 doubted_at; /* waits since then to know a way to a replica; 0 is not waiting */
  guint not_sent;     /* attempts of which no byte left */
  guint64 retry_at;   /* none is to be had in time before then; 0 is not known */
  bool may_have_run;
  bool is_in_share;    /* counted among the requests that second attempts are a share of */
  guint hedge_reasons; /* bits of the decisions on a second attempt that were logged */
  bool stream;
  bool is_events;       /* its answer, which has begun, is a stream of events */
  bool has_events;      /* of a stream: some have been passed on */
  bool is_unnumbered;   /* one had no id to go on after */
  guint64 last_event;   /* passed on to the caller, of a stream */
  bool until_close;     /* the caller's answer, which has begun, ends with its connection */
  bool is_closed;       /* only a connection's end has ended an answer */
  guint64 closed_after; /* the event after which it did; 0 is before the first */
  struct GspanEvents events;
  char *software;       /* version that the stream goes on at; NULL is any */
  guint claims;         /* versions that were given to be recorded as its origin, one by one */
  char *recorded;       /* the last of them, while its replicas are asked; NULL is any */
  guint64 record_since; /* it waits for that record since then; 0 is not waiting */
  const char *refusal;  /* why it may begin nowhere now; static, NULL is no such reason */
  char *resumes; /* attempt that brought the first event of a stream taken up; NULL is none */
  guint64 origin_until; /* other nodes are asked for RESUMES until then; 0 is not asked */
  guint64 store_until;  /* the store is, likewise */
};

struct GspanAttempt
{
  guint64 id;
  struct GspanCall *call;
  struct GspanReplica *replica;
  guint64 sent;
  bool is_suspect;   /* the request may crash the replica */
  bool is_hedge;     /* sent beside another that was slow */
  GString *body;     /* of a stream's answer that isn't passed on as it comes */
  guint pieces;      /* of a stream's answer, received so far */
  guint64 after;     /* event that the answer has to go on after; 0 is none */
  bool has_head;     /* the answer's head has come */
  bool passes_on;    /* the answer is the caller's, or goes on with it */
  bool has_ids;      /* some of its events had one */
  bool needs_events; /* goes on with the caller's answer, and doesn't say that it is a stream */
  const char *fault; /* why nothing more of it may be passed on; static, NULL is none */
  bool is_silent;    /* reported as silent (gateway/crash_reports.h) */
};

void gspan_call_free (gpointer call);

/* Gives the place at its replica back as well. */
void gspan_attempt_free (gpointer attempt);

/* True if so much of the answer has come that the request can't have crashed the replica. */
bool gspan_attempt_has_answer (const struct GspanAttempt *attempt);

/* Adds what identifies the call's content: "content" is the same for all its tries at any node. */
void gspan_call_log_content (const struct GspanNode *node, const struct GspanCall *call,
                             struct GspanLine *line);
void gspan_call_log (const struct GspanNode *node, const struct GspanCall *call, const char *event,
                     const char *outcome, int status, struct GspanOutbox *outbox);

/*
 * True where only its connection has ended an answer after the last event that was passed on. The
 * stream may have been cut there: another answer that ends so after the same event shows that it
 * wasn't.
 */
bool gspan_call_has_ended (const struct GspanCall *call);

/* Logs that the call was answered with ANSWER. */
void gspan_call_log_answer (const struct GspanNode *node, const struct GspanCall *call,
                            const char *outcome, const struct GspanEventHttp *answer,
                            struct GspanOutbox *outbox);

/* Counts the call as METRIC, with its duration. */
void gspan_call_observe (struct GspanNode *node, const struct GspanCall *call,
                         enum GspanMetric metric);

/*
 * Reports the open attempts, which are about to be cancelled without an answer; the node that an
 * attempt goes through reports it itself.
 */
void gspan_call_note_silence (struct GspanNode *node, const struct GspanCall *call,
                              struct GspanOutbox *outbox);

/* Reports open attempts that have been silent for far longer than usual. They stay open. */
void gspan_call_note_long_silence (struct GspanNode *node, const struct GspanCall *call,
                                   struct GspanOutbox *outbox);

/* Frees ATTEMPT, whose exchange has ended. */
void gspan_call_forget_attempt (struct GspanNode *node, struct GspanAttempt *attempt);

/* Cancels all attempts and frees CALL, which has been answered or whose caller has left. */
void gspan_call_forget (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox);

/* Gives the final answer to a call that no replica answered, and frees it. */
void gspan_call_give_up (struct GspanNode *node, struct GspanCall *call, const char *why,
                         int status_if_run, struct GspanOutbox *outbox);

/* True if something counts against the call's content. */
bool gspan_call_is_suspect (const struct GspanNode *node, const struct GspanCall *call);

/* Time until which the call is refused because its content crashes replicas; 0 if it isn't. */
guint64 gspan_call_refused_until (const struct GspanNode *node, const struct GspanCall *call);

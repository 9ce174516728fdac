#pragma once

#include "board/message.h"
#include "desk/outcome.h"

struct GspanBoard;

/* One call for an upstream. All that it points to is borrowed. */
struct GspanDeskCallSpec
{
  const char *request_id;
  struct GspanStr caller_id; /* X-Request-Id of the caller, for the log only */
  const char *route;
  const char *service;
  struct GspanStr method;
  const char *path;
  struct GspanStr content_type;
  GBytes *body;
  bool idempotent;
  bool stream;
  guint64 prefix_hash; /* 0 for a plain service */
  guint64 timeout_us;
};

/* Controller of desk callers' requests: finds the route, picks upstreams, says what came of it. */
struct GspanDesk
{
  GHashTable *calls;               /* number of the exchange to struct GspanDeskCall, owns them */
  GHashTable *by_request;          /* caller's request to struct GspanDeskCall */
  guint64 retry_budget_hundredths; /* hundredths of retries that may still be sent */
};

void gspan_desk_init (struct GspanDesk *desk);
void gspan_desk_finish (struct GspanDesk *desk);
void gspan_desk_handle (struct GspanBoard *board, const struct GspanEvent *event,
                        struct GspanOutbox *outbox);

/*
 * Runs WORK, which isn't idempotent, for the run numbered RUN of the slots; its end is told by
 * gspan_key_partitions_execution_done (), from within this call too.
 */
void gspan_desk_execute (struct GspanBoard *board, guint64 run,
                         const struct GspanDeskCallSpec *work, struct GspanOutbox *outbox);

/* Answers a caller's REQUEST with what came of it, where no upstream's answer is passed on. */
void gspan_desk_reply_outcome (struct GspanBoard *board, guint64 request, enum GspanOutcome outcome,
                               const char *why, struct GspanOutbox *outbox);

/* Passes an upstream's whole answer on to a caller. */
void gspan_desk_forward_response (struct GspanBoard *board, guint64 request,
                                  enum GspanOutcome outcome, int status,
                                  struct GspanStr content_type, GBytes *body,
                                  struct GspanOutbox *outbox);

bool gspan_desk_is_busy (const struct GspanDesk *desk);

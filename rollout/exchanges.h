#pragma once

#include "rollout/feed.h"

struct GspanBoard;

/* Requests of the rollout controller to engines and scorers. */

enum GspanRolloutExchangeKind
{
  GSPAN_ROLLOUT_EXCHANGE_SAMPLE,
  GSPAN_ROLLOUT_EXCHANGE_PROBE /* of the weight version that an engine runs */
};

/* One request under way, for a sample unless it is a probe. */
struct GspanRolloutExchange
{
  guint64 id;
  enum GspanRolloutExchangeKind kind;
  char *feed;
  guint64 group;
  guint index;
  struct GspanUpstream *upstream;
  guint64 weight; /* that the upstream was known to run at the start */
};

void gspan_rollout_exchange_free (gpointer data);

/* Begins a request for sample INDEX of GROUP at UPSTREAM; nothing is sent yet. */
struct GspanRolloutExchange *gspan_rollout_start_exchange (struct GspanBoard *board,
                                                           struct GspanFeed *feed,
                                                           struct GspanGroup *group, guint index,
                                                           struct GspanUpstream *upstream);

/*
 * Sends BODY, which is taken over, to PATH at ADDRESS for the exchange ID. Always on a fresh
 * connection: a kept one may have gone silent since, and a step waits for its slowest sample.
 * Samples are few beside desk requests, so that the connections cost little.
 */
void gspan_rollout_send_json (struct GspanOutbox *outbox, guint64 id, const char *address,
                              const char *path, json_t *body, guint64 timeout_us);

/* Ends the exchange ID, if there is one, without waiting for its answer. */
void gspan_rollout_cancel_exchange (struct GspanBoard *board, guint64 id,
                                    struct GspanOutbox *outbox);

/* Ends the work on a sample, a group or all groups; what was generated is dropped. */
void gspan_rollout_cancel_sample (struct GspanBoard *board, struct GspanSample *sample,
                                  struct GspanOutbox *outbox);
void gspan_rollout_cancel_group (struct GspanBoard *board, struct GspanGroup *group,
                                 struct GspanOutbox *outbox);
void gspan_rollout_cancel_groups (struct GspanBoard *board, struct GspanFeed *feed,
                                  struct GspanOutbox *outbox);

void gspan_rollout_log_sample (const struct GspanFeed *feed, guint64 group, guint index,
                               const char *event, const char *upstream, const char *why,
                               struct GspanOutbox *outbox);

#pragma once

#include "board/message.h"
#include "jobs/job.h"

struct GspanNode;
struct GspanReplica;

/*
 * Reward calls: requests that score the whole texts of items of the jobs that this node owns. A
 * call goes through the route of its host and path as the configuration in force has it, and may be
 * repeated. It leaves after the last event of its text, and a long text is in the store by then
 * (jobs/checkpoint.h), so that the loss of the owner costs a call and not the text. An item is
 * abandoned only after as many responses of 500 as its routes allow attempts, or for its age. As
 * its runs, the calls of an item are never taken for requests that crash replicas.
 */

/* A call in flight. */
struct GspanRewardCall
{
  guint64 id;
  struct GspanJob *job;
  struct GspanItem *item;
  struct GspanReplica *replica;
  guint64 sent_at_us;
};

struct GspanRewards
{
  GHashTable *calls;           /* id to struct GspanRewardCall */
  guint64 next_schedule_at_us; /* calls are placed no earlier, unless one ends */
  guint64 next_report_at_us;   /* texts that wait are logged no earlier */
};

void gspan_rewards_init (struct GspanRewards *rewards);
void gspan_rewards_finish (struct GspanRewards *rewards);

/* The text of ITEM is whole: its reward call is owed from now on. */
void gspan_rewards_add (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                        struct GspanOutbox *outbox);

/* Sends the calls that are due where replicas have room. */
void gspan_rewards_schedule (struct GspanNode *node, struct GspanOutbox *outbox);

/* Cancels all calls of JOB. The texts stay with their items. */
void gspan_rewards_stop (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox);

/* Whole texts without a score, of the jobs that this node owns. */
guint gspan_rewards_count_unscored (const struct GspanNode *node);

void gspan_rewards_handle (struct GspanNode *node, const struct GspanEvent *event,
                           struct GspanOutbox *outbox);

#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * When the reward call of an item is sent, and whose goes first, apart from any I/O. Answers these
 * loads: a step whose texts end together, so that hundreds of calls are owed at once to a service
 * that people use too; calls that always fail among good ones; replicas that are slow or hang, so
 * that a second call goes out beside the first; replicas that reject calls while they are full.
 * Times are microseconds of the steady clock.
 */

/* Largest share of a replica's slots that one node fills with reward calls; people use the rest. */
#define GSPAN_REWARD_SLOTS_PERCENT 67

/* The reward call of one item. */
struct GspanRewardState
{
  guint open_calls;      /* sent and not answered */
  guint server_errors;   /* responses with status 500, at all owners */
  guint failures;        /* calls that brought no score, in a row */
  guint64 owed_since_us; /* the text is whole, or was read from a checkpoint; 0 isn't yet */
  guint64 last_sent_at_us;
  guint64 next_at_us; /* if none is open, none is sent earlier */
};

/*
 * True if a call may be sent at NOW: the first one, another one after a failure, or a second one
 * beside one that is slow. TARGET_US is the latency that the route aims at; 0 is none.
 */
bool gspan_reward_call_due (const struct GspanRewardState *state, guint64 now, guint64 target_us);

/*
 * How long a replica has to answer. ROUTE_TIMEOUT_US is the route's limit; 0 is none. The time at
 * which results are due is no bound: a score that comes later still lets the trainer go on.
 */
guint64 gspan_reward_timeout_us (guint64 route_timeout_us);

/* Counts a call that ended at NOW without a score. DRAW is uniform; it spreads the next calls. */
void gspan_reward_note_failure (struct GspanRewardState *state, guint64 now, guint32 draw);

/* What decides which of a job's items is scored first. */
struct GspanRewardRank
{
  guint server_errors; /* of its reward call */
  guint missing_count; /* items that its group lacks to be complete */
  guint index;         /* of the item in the job */
};

/* Compares by order of calls, as for g_array_sort (): those that fail last, whole groups soon. */
gint gspan_reward_rank_compare (gconstpointer a, gconstpointer b);

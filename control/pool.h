#pragma once

#include "board/board.h"

/*
 * What the holder of a pool's lease knows of the pool's replicas, and the decision whom to order
 * next. Nothing here sends anything. All times are microseconds of the board's clock.
 */

/* One replica, by its own word. */
struct GspanReplica
{
  char *name;
  bool listed; /* live in the VM list */
  bool known;  /* has reported since the last order or failure */
  bool uncertain;
  guint64 weight;  /* version that it reported last */
  guint64 ordered; /* exchange of the order under way; 0 is none */
  guint64 polling; /* exchange of the report under way; 0 is none */
  guint64 poll_at;
  guint64 order_at;
  guint failures; /* orders in a row without success */
};

struct GspanPoolCounts
{
  guint live;
  guint ordered;
  guint at_target;
  guint behind;
  guint ahead; /* newer than the weight store says */
  guint uncertain;
  guint unreachable; /* live, no order under way, no report */
  guint set_aside;   /* of the uncertain ones: failed too often in a row to count as rolling */
};

struct GspanPoolWork
{
  char *name;
  struct GspanLease *lease;
  guint64 fetch_id; /* names its reads of the weight store */
  bool fetching;
  bool store_failing;
  guint64 fetch_at;
  guint64 tend_at;
  guint64 target;       /* newest version heard of from the weight store; never goes back */
  GHashTable *replicas; /* name to struct GspanReplica, owns them */
};

struct GspanPoolWork *gspan_pool_work_new (const char *name);
void gspan_pool_work_free (gpointer work);

/* Replica called NAME, created where it is new. */
struct GspanReplica *gspan_pool_work_replica (struct GspanPoolWork *work, const char *name);

struct GspanPoolCounts gspan_pool_work_count (const struct GspanPoolWork *work);

/*
 * The replica to order next, or NULL: uncertain ones first, since they serve nobody, then the
 * furthest behind. Until one replica is at a new target only a few are tried with it and half stay
 * in service; after that at most MAX_OUT are out at once, and never all, unless there is only one.
 */
struct GspanReplica *gspan_pool_work_next (const struct GspanPoolWork *work, guint64 max_out,
                                           guint64 now);

/* Takes in a report of the replica itself. An answer that is no report makes it unknown. */
void gspan_replica_take_report (struct GspanReplica *replica, const struct GspanEventHttp *answer);

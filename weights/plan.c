#include "weights/plan.h"

#include "common/clock.h"

#define HOLD_OFF_US (800 * GSPAN_MS) /* a step is submitted and its items are placed by then */

enum
{
  LOADING_SHARE = 5 /* one replica in so many; the store of weights bears no more without slowing */
};

guint
gspan_plan_loads_at_once (guint count)
{
  return (count + LOADING_SHARE - 1) / LOADING_SHARE;
}

static bool
goes_before (const struct GspanReplica *a, const struct GspanReplica *b, const char *model)
{
  guint64 x = gspan_replica_weights (a, model);
  guint64 y = gspan_replica_weights (b, model);

  if (x != y)
    return x < y;
  return a->open < b->open;
}

static bool
is_due (const struct GspanReplica *replica, const struct GspanPlanQuery *query)
{
  guint64 has = gspan_replica_weights (replica, query->model);

  if (has == 0 || has >= query->weights || replica->draining || replica->misdirected
      || g_hash_table_contains (query->loads, replica->id))
    return false;
  return has + 1 < query->weights || query->now >= query->named_at + HOLD_OFF_US;
}

struct GspanReplica *
gspan_plan_next (GHashTable *replicas, const struct GspanPlanQuery *query)
{
  struct GspanReplica *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (is_due (value, query) && (best == NULL || goes_before (value, best, query->model)))
        best = value;
    }
  return best;
}

guint
gspan_plan_count (GHashTable *replicas)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const struct GspanReplica *)value)->models->len > 0;
  return count;
}

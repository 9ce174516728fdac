#include "weights/plan.h"

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

struct GspanReplica *
gspan_plan_next (GHashTable *replicas, const char *model, guint64 weights, GHashTable *loads)
{
  struct GspanReplica *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanReplica *replica = value;
      guint64 has = gspan_replica_weights (replica, model);

      if (has == 0 || has >= weights || replica->draining || replica->misdirected
          || g_hash_table_contains (loads, replica->id))
        continue;
      if (best == NULL || goes_before (replica, best, model))
        best = replica;
    }
  return best;
}

guint
gspan_plan_count (GHashTable *replicas, const char *model)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += gspan_replica_weights (value, model) > 0;
  return count;
}

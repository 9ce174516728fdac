#include "weights/plan.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

#define HOLD_OFF_US                                                                                \
  (300 * GSPAN_MS) /* a step that waited for the version has been placed by then */

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

void
gspan_plan_homes_init (struct GspanPlanHomes *homes)
{
  homes->model_of = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  homes->signature = 0;
}

void
gspan_plan_homes_finish (struct GspanPlanHomes *homes)
{
  g_hash_table_unref (homes->model_of);
}

static guint64
hash_of (const char *text, guint64 seed)
{
  return XXH64 (text, strlen (text), seed);
}

static guint64
signature_of (GHashTable *replicas, const GPtrArray *models)
{
  guint64 signature = 1;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    signature ^= hash_of (key, 1);
  for (guint i = 0; i < models->len; i++)
    signature ^= hash_of (g_ptr_array_index (models, i), 2);
  return signature;
}

/* The replica without a home that MODEL's own order puts first; NULL where all have one. */
static const struct GspanReplica *
draw_replica (const struct GspanPlanHomes *homes, GHashTable *replicas, const char *model)
{
  const struct GspanReplica *best = NULL;
  guint64 best_weight = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;
      guint64 weight = hash_of (replica->id, hash_of (model, 0));

      if (gspan_replica_weights (replica, model) == 0
          || g_hash_table_contains (homes->model_of, replica->id)
          || (best != NULL && weight <= best_weight))
        continue;
      best = replica;
      best_weight = weight;
    }
  return best;
}

void
gspan_plan_homes_update (struct GspanPlanHomes *homes, GHashTable *replicas,
                         const GPtrArray *models)
{
  guint64 signature = signature_of (replicas, models);
  bool dealt = models->len > 0;

  if (signature == homes->signature)
    return;
  homes->signature = signature;
  g_hash_table_remove_all (homes->model_of);
  while (dealt)
    {
      dealt = false;
      for (guint i = 0; i < models->len; i++)
        {
          const char *model = g_ptr_array_index (models, i);
          const struct GspanReplica *replica = draw_replica (homes, replicas, model);

          if (replica == NULL)
            continue;
          g_hash_table_insert (homes->model_of, g_strdup (replica->id), g_strdup (model));
          dealt = true;
        }
    }
}

static bool
is_due (const struct GspanReplica *replica, const struct GspanPlanQuery *query)
{
  guint64 has = gspan_replica_weights (replica, query->model);

  if (has == 0 || has >= query->weights || !gspan_replica_usable (replica, query->now)
      || g_hash_table_contains (query->loads, replica->id)
      || g_strcmp0 (g_hash_table_lookup (query->homes->model_of, replica->id), query->model) != 0)
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

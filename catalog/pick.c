#include "catalog/pick.h"

#include <string.h>

#include "catalog/pace.h"

static bool
was_tried (const struct GspanPickQuery *query, const char *id)
{
  return query->tried != NULL
         && g_ptr_array_find_with_equal_func ((GPtrArray *)query->tried, id, g_str_equal, NULL);
}

static bool
serves (const struct GspanReplica *replica, const struct GspanPickQuery *query)
{
  guint64 weights;

  if (strcmp (replica->service, query->service) != 0
      || !gspan_replica_usable (replica, query->last_resort ? G_MAXUINT64 : query->now))
    return false;
  if (replica->reach == GSPAN_REACH_NONE && !query->last_resort)
    return false;
  if (query->software != NULL && g_strcmp0 (replica->software, query->software) != 0)
    return false;
  if (query->open_max > 0 && replica->open >= query->open_max)
    return false;
  if (query->open_percent > 0
      && replica->open >= MAX (1, replica->slots * query->open_percent / 100))
    return false;
  if (query->is_suspect && replica->suspects > 0)
    return false;
  if (gspan_pace_is_slow (replica, query->typical_us, query->now))
    return false;
  if (query->model == NULL)
    return true;
  weights = gspan_replica_weights (replica, query->model);
  return weights >= query->weights_min && replica->loading_until <= query->now
         && (query->weights_max == 0 || weights <= query->weights_max);
}

/* Lower is better: own links first, then requests per slot, then the zone, then the lot. */
static guint64
cost_of (const struct GspanReplica *replica, const struct GspanPickQuery *query)
{
  guint64 slots = MAX (1, replica->slots);
  guint64 load = (guint64)replica->open * 1000 / slots;
  guint64 far = g_strcmp0 (replica->zone, query->zone) != 0;
  guint64 indirect = replica->reach != GSPAN_REACH_DIRECT;
  guint64 lot = (g_str_hash (replica->id) ^ query->draw) * 2654435761U & 0xffff;

  return indirect << 56 | load << 20 | far << 19 | lot;
}

struct GspanReplica *
gspan_pick_replica (GHashTable *replicas, const struct GspanPickQuery *query)
{
  struct GspanReplica *best = NULL;
  guint64 best_cost = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanReplica *replica = value;
      guint64 cost;

      if (!serves (replica, query) || was_tried (query, replica->id))
        continue;
      if (query->limits != NULL
          && !gspan_permits_allow (query->limits, replica, query->traffic, query->now))
        {
          if (query->without_permit != NULL)
            g_ptr_array_add (query->without_permit, replica);
          continue;
        }
      if (query->preferred != NULL && strcmp (replica->id, query->preferred) == 0)
        return replica;
      cost = cost_of (replica, query);
      if (best != NULL && cost >= best_cost)
        continue;
      best = replica;
      best_cost = cost;
    }
  return best;
}

struct GspanPickLoad
gspan_pick_load (GHashTable *replicas, const char *service, guint64 now)
{
  struct GspanPickLoad load = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;

      if (strcmp (replica->service, service) != 0 || replica->reach == GSPAN_REACH_NONE
          || !gspan_replica_usable (replica, now))
        continue;
      load.open += replica->open;
      load.slots += MAX (1, replica->slots);
    }
  return load;
}

/* True where only a failure may keep it from getting requests now. */
static bool
stays (const struct GspanReplica *replica, const char *service)
{
  return strcmp (replica->service, service) == 0 && !gspan_replica_is_leaving (replica)
         && !replica->removed && !replica->misdirected;
}

bool
gspan_pick_has_software (GHashTable *replicas, const char *service, const char *software)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;

      if (stays (replica, service) && g_strcmp0 (replica->software, software) == 0)
        return true;
    }
  return false;
}

guint64
gspan_pick_retry_at (GHashTable *replicas, const char *service, guint64 now)
{
  guint64 soonest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;

      if (!stays (replica, service))
        continue;
      if (soonest == 0 || MAX (now, replica->avoid_until) < soonest)
        soonest = MAX (now, replica->avoid_until);
    }
  return soonest;
}

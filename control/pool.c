#include "control/pool.h"

#include <jansson.h>

enum
{
  FIRST_TRIES = 2,        /* replicas that try a new version before the others */
  FAILURES_SET_ASIDE = 3, /* from there on a replica no longer holds up the others */
  ALL_BUT = 1             /* replicas that stay in service whatever max_out says */
};

static void
replica_free (gpointer data)
{
  struct GspanReplica *replica = data;

  g_free (replica->name);
  g_free (replica);
}

struct GspanPoolWork *
gspan_pool_work_new (const char *name)
{
  struct GspanPoolWork *work = g_new0 (struct GspanPoolWork, 1);

  work->name = g_strdup (name);
  work->replicas = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, replica_free);
  return work;
}

void
gspan_pool_work_free (gpointer data)
{
  struct GspanPoolWork *work = data;

  g_free (work->name);
  g_hash_table_unref (work->replicas);
  g_free (work);
}

struct GspanReplica *
gspan_pool_work_replica (struct GspanPoolWork *work, const char *name)
{
  struct GspanReplica *replica = g_hash_table_lookup (work->replicas, name);

  if (replica != NULL)
    return replica;
  replica = g_new0 (struct GspanReplica, 1);
  replica->name = g_strdup (name);
  g_hash_table_insert (work->replicas, replica->name, replica);
  return replica;
}

static void
count_replica (const struct GspanReplica *replica, guint64 target, struct GspanPoolCounts *counts)
{
  counts->live += replica->listed;
  if (replica->ordered != 0)
    counts->ordered++;
  else if (!replica->known)
    counts->unreachable += replica->listed;
  else if (replica->uncertain)
    {
      counts->uncertain++;
      counts->set_aside += replica->failures >= FAILURES_SET_ASIDE;
    }
  else if (replica->weight == target)
    counts->at_target++;
  else if (replica->weight < target)
    counts->behind++;
  else
    counts->ahead++;
}

struct GspanPoolCounts
gspan_pool_work_count (const struct GspanPoolWork *work)
{
  struct GspanPoolCounts counts = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, work->replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count_replica (value, work->target, &counts);
  return counts;
}

/* A replica ahead of the store is left alone: weights never go back by order. */
static bool
needs_order (const struct GspanPoolWork *work, const struct GspanReplica *replica, guint64 now)
{
  if (!replica->listed || !replica->known || replica->ordered != 0 || now < replica->order_at)
    return false;
  return work->target != 0 && (replica->uncertain || replica->weight < work->target);
}

static bool
comes_before (const struct GspanReplica *a, const struct GspanReplica *b)
{
  if (a->uncertain != b->uncertain)
    return a->uncertain;
  return !a->uncertain && a->weight < b->weight;
}

/* Replicas that may be out at once: all but one, and half while no replica has the new version. */
static guint
out_limit (const struct GspanPoolCounts *counts)
{
  guint limit = counts->at_target > 0 ? counts->live - MIN (counts->live, (guint)ALL_BUT)
                                      : counts->live / 2;

  return MAX (limit, 1);
}

static bool
may_order (const struct GspanPoolCounts *counts, const struct GspanReplica *replica,
           guint64 max_out)
{
  guint64 limit = counts->at_target > 0 ? max_out : MIN (max_out, (guint64)FIRST_TRIES);
  guint rolling = counts->ordered + counts->uncertain - counts->set_aside;
  guint out = counts->ordered + counts->uncertain + counts->unreachable;

  if (counts->ordered >= limit)
    return false;
  return replica->uncertain || (rolling < limit && out < out_limit (counts));
}

struct GspanReplica *
gspan_pool_work_next (const struct GspanPoolWork *work, guint64 max_out, guint64 now)
{
  struct GspanPoolCounts counts = gspan_pool_work_count (work);
  struct GspanReplica *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, work->replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanReplica *replica = value;

      if (!needs_order (work, replica, now) || !may_order (&counts, replica, max_out))
        continue;
      if (best == NULL || comes_before (replica, best))
        best = replica;
    }
  return best;
}

void
gspan_replica_take_report (struct GspanReplica *replica, const struct GspanEventHttp *answer)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *root = NULL;
  json_t *weight;

  replica->polling = 0;
  if (answer->result == GSPAN_HTTP_COMPLETE && answer->status == 200 && text.data != NULL)
    root = json_loadb (text.data, text.len, 0, NULL);
  weight = json_object_get (root, "weight");
  replica->known = weight != NULL;
  replica->uncertain = !json_is_integer (weight) || json_integer_value (weight) <= 0;
  replica->weight = replica->uncertain ? 0 : (guint64)json_integer_value (weight);
  json_decref (root);
}

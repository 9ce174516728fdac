#include "catalog/replica.h"

#include <string.h>

#include "common/clock.h"

#define AVOID_FIRST_US (250 * GSPAN_MS) /* a restart takes seconds; most single failures don't */
#define AVOID_LONGEST_US (2 * GSPAN_SECOND)

enum
{
  FAILURES_COUNTED = 4 /* doublings up to the longest */
};

static void
model_free (gpointer data)
{
  struct GspanReplicaModel *model = data;

  g_free (model->name);
  g_free (model);
}

struct GspanReplica *
gspan_replica_new (const char *id)
{
  struct GspanReplica *replica = g_new0 (struct GspanReplica, 1);

  replica->refs = 1;
  replica->id = g_strdup (id);
  replica->models = g_ptr_array_new_with_free_func (model_free);
  return replica;
}

struct GspanReplica *
gspan_replica_ref (struct GspanReplica *replica)
{
  replica->refs++;
  return replica;
}

void
gspan_replica_unref (struct GspanReplica *replica)
{
  if (--replica->refs > 0)
    return;
  g_free (replica->id);
  g_free (replica->service);
  g_free (replica->address);
  g_free (replica->zone);
  g_free (replica->software);
  g_ptr_array_unref (replica->models);
  g_free (replica);
}

static struct GspanReplicaModel *
find_model (const struct GspanReplica *replica, const char *name)
{
  for (guint i = 0; i < replica->models->len; i++)
    {
      struct GspanReplicaModel *model = g_ptr_array_index (replica->models, i);

      if (strcmp (model->name, name) == 0)
        return model;
    }
  return NULL;
}

guint64
gspan_replica_weights (const struct GspanReplica *replica, const char *model)
{
  const struct GspanReplicaModel *found = find_model (replica, model);

  return found != NULL ? found->weights : 0;
}

void
gspan_replica_set_weights (struct GspanReplica *replica, const char *model, guint64 weights)
{
  struct GspanReplicaModel *found = find_model (replica, model);

  if (found == NULL)
    {
      found = g_new0 (struct GspanReplicaModel, 1);
      found->name = g_strdup (model);
      g_ptr_array_add (replica->models, found);
    }
  found->weights = MAX (found->weights, weights);
}

bool
gspan_replica_is_leaving (const struct GspanReplica *replica)
{
  return replica->draining || replica->leaving || replica->entry_unusable;
}

bool
gspan_replica_usable (const struct GspanReplica *replica, guint64 now)
{
  return !gspan_replica_is_leaving (replica) && !replica->removed && !replica->misdirected
         && replica->avoid_until <= now;
}

void
gspan_replica_failed (struct GspanReplica *replica, guint64 now)
{
  guint64 pause = AVOID_FIRST_US << MIN (replica->failures, FAILURES_COUNTED);

  replica->failures++;
  replica->avoid_until = now + MIN (pause, AVOID_LONGEST_US);
}

void
gspan_replica_worked (struct GspanReplica *replica)
{
  replica->failures = 0;
  replica->avoid_until = 0;
}

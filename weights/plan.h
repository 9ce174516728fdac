#pragma once

#include "catalog/replica.h"

/*
 * Which replica loads new weights next, apart from any I/O. Answers a version named every few
 * seconds, with the items of a new step sent to all replicas right after it: a replica that loads
 * starts no request, so one that may serve the step with what it has loads a little later, when the
 * step's items have started. One that is further behind can't serve it and loads at once. Those
 * furthest behind go first.
 */

struct GspanPlanQuery
{
  const char *model;
  guint64 weights;   /* named version */
  guint64 named_at;
  guint64 now;
  GHashTable *loads; /* ids of replicas that load already */
};

/* How many of COUNT replicas may load at once. */
guint gspan_plan_loads_at_once (guint count);

/* The next of REPLICAS (id to struct GspanReplica) to load; NULL where none is to load now. */
struct GspanReplica *gspan_plan_next (GHashTable *replicas, const struct GspanPlanQuery *query);

/* Number of REPLICAS that serve any model. */
guint gspan_plan_count (GHashTable *replicas);

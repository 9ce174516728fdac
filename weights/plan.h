#pragma once

#include "catalog/replica.h"

/*
 * Which replica loads new weights next, apart from any I/O. Answers a version named every few
 * seconds, with the items of a new step sent to all replicas right after it: a replica that loads
 * starts no request, so one that may serve the step with what it has loads a little later, when the
 * step's items have started. One that is further behind can't serve it and loads at once. Those
 * furthest behind go first.
 */

/*
 * Where several models share the replicas, each model's new weights go to its own part of them, as
 * large as the others': the platform's store of weights bears that many loads for each version that
 * a trainer names, and no more. Answers four trainers that each name a version every four seconds.
 */
struct GspanPlanHomes
{
  GHashTable *model_of; /* replica id to the model whose part it is in; owns both */
  guint64 signature;    /* of the replicas and models that it was made for */
};

void gspan_plan_homes_init (struct GspanPlanHomes *homes);
void gspan_plan_homes_finish (struct GspanPlanHomes *homes);

/* Deals REPLICAS out among MODELS (names) anew where either has changed. */
void gspan_plan_homes_update (struct GspanPlanHomes *homes, GHashTable *replicas,
                              const GPtrArray *models);

struct GspanPlanQuery
{
  const char *model;
  guint64 weights; /* named version */
  guint64 named_at;
  guint64 now;
  GHashTable *loads; /* ids of replicas that load already */
  const struct GspanPlanHomes *homes;
};

/* How many of COUNT replicas may load at once. */
guint gspan_plan_loads_at_once (guint count);

/* The next of REPLICAS (id to struct GspanReplica) to load; NULL where none is to load now. */
struct GspanReplica *gspan_plan_next (GHashTable *replicas, const struct GspanPlanQuery *query);

/* Number of REPLICAS that serve any model. */
guint gspan_plan_count (GHashTable *replicas);

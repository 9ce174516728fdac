#pragma once

#include "catalog/replica.h"

/*
 * Which replica loads new weights next, apart from any I/O. Answers a version named every few
 * seconds while all replicas are busy: those that are furthest behind go first, since they are the
 * first that may not generate for the next step; of equals the one with the least work.
 */

/* How many of COUNT replicas may load at once. */
guint gspan_plan_loads_at_once (guint count);

/*
 * The next of REPLICAS (id to struct GspanReplica) to load WEIGHTS of MODEL; NULL where none is
 * behind. Those in LOADS (by id) are passed over.
 */
struct GspanReplica *gspan_plan_next (GHashTable *replicas, const char *model, guint64 weights,
                                      GHashTable *loads);

/* Number of REPLICAS that serve MODEL. */
guint gspan_plan_count (GHashTable *replicas, const char *model);

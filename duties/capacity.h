#pragma once

#include <glib.h>
#include <stdbool.h>

#include "catalog/config.h"

/*
 * How many replicas of a service are ordered in which zone, apart from any I/O. It answers load
 * that rises within a replica's boot time, and zones whose spot replicas are reclaimed at once.
 *
 * What is needed: the peak of the last 30 s at 0.8 of the slots, and of the replicas that were
 * there at first sight as many as the peak of the last 60 s needed. What lacks is ordered at once
 * where it is cheapest; what is too much is given back one by one. An order names a count of one
 * kind in one zone, so that sending it again changes nothing.
 *
 *   gspan_capacity_plan (&capacity, &input, orders);
 *   for each of ORDERS that is sent:
 *     gspan_capacity_note_sent (&capacity, order, now);
 *     ...
 *     gspan_capacity_note_result (&capacity, order, result, now);
 */

/* A replica that is registered. Strings are borrowed. */
struct GspanCapacityReplica
{
  const char *id;
  const char *zone;
  guint slots;
  bool spot;
  bool draining;
};

/* A service as it is now. */
struct GspanCapacityInput
{
  guint64 now;
  const struct GspanConfigService *service;
  const struct GspanCapacityReplica *replicas;
  guint replica_count;
  double demand;        /* requests and items of the whole fleet that run or wait */
  bool demand_is_whole; /* all nodes have told theirs; else nothing is given back */
};

struct GspanCapacityOrder
{
  char *service;
  char *zone;
  bool spot;
  guint before;       /* replicas that stay or start, as known */
  guint count;        /* replicas that are to be there */
  const char *reason; /* static */

  /* Private. */
  guint started;
  guint ended;
};

enum GspanCapacityResult
{
  GSPAN_CAPACITY_ACCEPTED,
  GSPAN_CAPACITY_NONE_THERE, /* the platform has none of this kind in this zone now */
  GSPAN_CAPACITY_NOT_TAKEN,  /* too many calls: it may be sent again later */
  GSPAN_CAPACITY_UNKNOWN     /* it may have been accepted */
};

struct GspanCapacity
{
  GHashTable *services; /* name to struct Service */
};

/* Nothing is known of services and orders before. */
void gspan_capacity_init (struct GspanCapacity *capacity);
void gspan_capacity_finish (struct GspanCapacity *capacity);

/*
 * Takes in INPUT and appends to ORDERS (struct GspanCapacityOrder) those that are due: at most one
 * for each zone, and none for a zone that has one under way.
 */
void gspan_capacity_plan (struct GspanCapacity *capacity, const struct GspanCapacityInput *input,
                          GPtrArray *orders);

void gspan_capacity_note_sent (struct GspanCapacity *capacity, struct GspanCapacityOrder *order,
                               guint64 now);
void gspan_capacity_note_result (struct GspanCapacity *capacity,
                                 const struct GspanCapacityOrder *order,
                                 enum GspanCapacityResult result, guint64 now);

/*
 * Another node has ordered COUNT replicas, of which those that aren't there yet may start until
 * UNTIL. Counts only before the service's first plan.
 */
void gspan_capacity_note_told (struct GspanCapacity *capacity, const char *service,
                               const char *zone, bool spot, guint count, guint64 until);

/* Calls FUNC for each count whose replicas may still be starting. */
typedef void (*GspanCapacityFunc) (const char *service, const char *zone, bool spot, guint count,
                                   guint64 until, void *user);
void gspan_capacity_foreach_starting (const struct GspanCapacity *capacity, guint64 now,
                                      GspanCapacityFunc func, void *user);

/* Forgets the services that CONFIG has no scaling for. */
void gspan_capacity_forget_unscaled (struct GspanCapacity *capacity,
                                     const struct GspanConfig *config);

/* True where the fate of an order isn't known, so that it is to be sent again. */
bool gspan_capacity_is_unsettled (const struct GspanCapacity *capacity);

void gspan_capacity_order_free (gpointer order);

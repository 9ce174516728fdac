#include "catalog/pace.h"

#include <string.h>

#include "common/clock.h"

#define KNOWN_FOR_US (3 * GSPAN_SECOND) /* then a slow replica is tried with some runs again */

enum
{
  SMOOTHING = 8,          /* events of one replica that its pace is smoothed over */
  EVENTS_LEAST = 8,       /* before its pace counts */
  REPLICAS_LEAST = 3,     /* a median of fewer says little */
  SLOW_FROM_PERCENT = 160 /* of the usual time; a full batch alone costs a sixth more */
};

void
gspan_pace_note (struct GspanReplica *replica, guint64 now, guint64 interval_us, guint count)
{
  guint64 sample = interval_us / count;

  if (replica->paced_at + KNOWN_FOR_US < now)
    replica->paced_events = 0;
  for (guint i = 0; i < count; i++)
    {
      if (replica->paced_events == 0)
        replica->event_us = sample;
      replica->event_us = (replica->event_us * (SMOOTHING - 1) + sample) / SMOOTHING;
      replica->paced_events++;
    }
  replica->paced_at = now;
}

static bool
is_known (const struct GspanReplica *replica, guint64 now)
{
  return replica->paced_events >= EVENTS_LEAST && replica->paced_at + KNOWN_FOR_US >= now;
}

static gint
by_size (gconstpointer a, gconstpointer b)
{
  guint64 x = *(const guint64 *)a;
  guint64 y = *(const guint64 *)b;

  return x < y ? -1 : x > y;
}

guint64
gspan_pace_typical (GHashTable *replicas, const char *service, guint64 now)
{
  GArray *paces = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint64 median = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;

      if (strcmp (replica->service, service) == 0 && is_known (replica, now))
        g_array_append_val (paces, replica->event_us);
    }
  g_array_sort (paces, by_size);
  if (paces->len >= REPLICAS_LEAST)
    median = g_array_index (paces, guint64, paces->len / 2);
  g_array_unref (paces);
  return median;
}

bool
gspan_pace_is_slow (const struct GspanReplica *replica, guint64 typical_us, guint64 now)
{
  return typical_us > 0 && is_known (replica, now)
         && replica->event_us * 100 > typical_us * SLOW_FROM_PERCENT;
}

#include "duties/capacity.h"

#include <math.h>
#include <string.h>

#include "common/clock.h"

#define PEAK_US (30 * GSPAN_SECOND)
#define FIRST_KEPT_US (60 * GSPAN_SECOND)
#define BOOT_SLACK_US (2 * GSPAN_SECOND)    /* an ordered replica is given up after this */
#define END_SEEN_US (10 * GSPAN_SECOND)     /* likewise, one that is given back is still there */
#define LOWER_PAUSE_US (10 * GSPAN_SECOND)  /* between two reductions of a zone */
#define AFTER_RAISE_US (30 * GSPAN_SECOND)  /* no reduction there: orders don't go to and fro */
#define REFUSED_FIRST_US (5 * GSPAN_SECOND) /* doubles with each refusal in a row */
#define REPEAT_US (GSPAN_SECOND)            /* an order without an answer is sent again */
#define RECLAIM_PAUSE_US                                                                           \
  (30 * GSPAN_SECOND)                     /* what is reclaimed is rarely to be had right away      \
                                           */
#define CALL_AWAITED_US (500 * GSPAN_MS)  /* a cheaper zone with a call under way is waited for */
#define LOSS_KNOWN_US (10 * GSPAN_SECOND) /* a raise is called one for a loss */

#define LOAD_SHARE 0.8 /* of the slots, that the peak may fill */

enum
{
  PEAK_BUCKETS = 64,     /* of a second each */
  REFUSED_DOUBLINGS = 3, /* up to 40 s */
  SLOTS_UNKNOWN = 8,     /* of a replica, where neither entries nor configuration say */
  KINDS = 2              /* index 1 is spot */
};

/* Replicas of one kind in a zone. */
struct Group
{
  GHashTable *ready; /* ids; NULL before they are first seen */
  GArray *starts;    /* guint64, until when each ordered replica is expected */
  GArray *ends;      /* guint64, until when each replica that was given back is still expected */
  guint ordered;     /* the count named last, where HAS_ORDERED */
  bool has_ordered;
  guint before_ordered; /* likewise, before the order whose answer isn't known */
  bool had_ordered;
  guint64 open_since; /* an order is under way; 0 is none */
  bool unsettled;     /* the fate of the order for ORDERED isn't known */
  guint64 repeat_at;
  guint started; /* UNSETTLED: by that order */
  guint ended;
  guint refusals; /* in a row */
  guint64 refused_until;
  guint draining;
  guint64 reclaimed_at; /* spot replicas were last seen draining; 0 is never */
  guint told;           /* count that another node has ordered; 0 is none */
  guint64 told_until;
  guint add; /* within a plan */
};

struct Zone
{
  char *name;
  double price;
  bool listed; /* replicas may be ordered here */
  struct Group kinds[KINDS];
  guint64 raised_at; /* 0 is never */
  guint64 lowered_at;
  bool lowers; /* within a plan */
};

struct Service
{
  char *name;
  GPtrArray *zones; /* struct Zone, as the configuration lists them, then others */
  bool seen;
  guint64 seen_at;
  guint first; /* replicas at first sight */
  double slots;
  double peaks[PEAK_BUCKETS];
  guint64 peak_seconds[PEAK_BUCKETS]; /* that the bucket is of */
  guint64 lost_at;                    /* a replica vanished without being given back; 0 is never */
  guint64 boot_us;
  double spot_price;
  guint replicas_min;
  guint replicas_max;
};

static void
zone_free (gpointer data)
{
  struct Zone *zone = data;

  for (guint i = 0; i < KINDS; i++)
    {
      g_clear_pointer (&zone->kinds[i].ready, g_hash_table_unref);
      g_array_unref (zone->kinds[i].starts);
      g_array_unref (zone->kinds[i].ends);
    }
  g_free (zone->name);
  g_free (zone);
}

static void
service_free (gpointer data)
{
  struct Service *service = data;

  g_ptr_array_unref (service->zones);
  g_free (service->name);
  g_free (service);
}

void
gspan_capacity_init (struct GspanCapacity *capacity)
{
  capacity->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
}

void
gspan_capacity_finish (struct GspanCapacity *capacity)
{
  g_clear_pointer (&capacity->services, g_hash_table_unref);
}

void
gspan_capacity_order_free (gpointer data)
{
  struct GspanCapacityOrder *order = data;

  g_free (order->service);
  g_free (order->zone);
  g_free (order);
}

static struct Service *
service_of (struct GspanCapacity *capacity, const char *name)
{
  struct Service *service = g_hash_table_lookup (capacity->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (struct Service, 1);
  service->name = g_strdup (name);
  service->zones = g_ptr_array_new_with_free_func (zone_free);
  g_hash_table_replace (capacity->services, service->name, service);
  return service;
}

static struct Zone *
find_zone (const struct Service *service, const char *name)
{
  for (guint i = 0; i < service->zones->len; i++)
    {
      struct Zone *zone = g_ptr_array_index (service->zones, i);

      if (strcmp (zone->name, name) == 0)
        return zone;
    }
  return NULL;
}

static struct Zone *
zone_of (struct Service *service, const char *name)
{
  struct Zone *zone = find_zone (service, name);

  if (zone != NULL)
    return zone;
  zone = g_new0 (struct Zone, 1);
  zone->name = g_strdup (name);
  for (guint i = 0; i < KINDS; i++)
    {
      zone->kinds[i].starts = g_array_new (FALSE, FALSE, sizeof (guint64));
      zone->kinds[i].ends = g_array_new (FALSE, FALSE, sizeof (guint64));
    }
  g_ptr_array_add (service->zones, zone);
  return zone;
}

/* Counts. */

static guint
ready_in (const struct Group *group)
{
  return group->ready != NULL ? g_hash_table_size (group->ready) : 0;
}

/* Replicas that stay or start. */
static guint
effective_in (const struct Group *group)
{
  guint ready = ready_in (group);

  return ready - MIN (ready, group->ends->len) + group->starts->len;
}

static guint
effective_in_zone (const struct Zone *zone)
{
  return effective_in (&zone->kinds[0]) + effective_in (&zone->kinds[1]);
}

static guint
effective_of (const struct Service *service)
{
  guint count = 0;

  for (guint i = 0; i < service->zones->len; i++)
    count += effective_in_zone (g_ptr_array_index (service->zones, i));
  return count;
}

/* Replicas in ZONE with those that this plan adds. */
static guint
planned_in_zone (const struct Zone *zone)
{
  return effective_in_zone (zone) + zone->kinds[0].add + zone->kinds[1].add;
}

/* The count that the platform has, or is about to be given, of GROUP. */
static guint
named_in (const struct Group *group)
{
  guint planned = effective_in (group) + group->add;

  return group->has_ordered ? MAX (planned, group->ordered) : planned;
}

static bool
has_open_call (const struct Zone *zone)
{
  return zone->kinds[0].open_since != 0 || zone->kinds[1].open_since != 0;
}

/* What is there. */

static void
drop_expired (GArray *times, guint64 now)
{
  for (guint i = times->len; i > 0; i--)
    {
      if (g_array_index (times, guint64, i - 1) <= now)
        g_array_remove_index (times, i - 1);
    }
}

static void
drop_oldest (GArray *times, guint count)
{
  g_array_remove_range (times, 0, MIN (times->len, count));
}

static void
drop_newest (GArray *times, guint count)
{
  g_array_set_size (times, times->len - MIN (times->len, count));
}

static void
add_times (GArray *times, guint64 until, guint count)
{
  for (guint i = 0; i < count; i++)
    g_array_append_val (times, until);
}

/* Keys of SET that OTHER lacks. */
static guint
count_lacking (GHashTable *set, GHashTable *other)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    count += !g_hash_table_contains (other, key);
  return count;
}

/* What another node has ordered and isn't there yet may be starting. */
static void
take_told (struct Group *group, guint ready, guint64 now)
{
  bool is_told = group->told > 0 && group->told_until > now;

  group->ordered = is_told ? group->told : ready;
  group->has_ordered = true;
  if (is_told && group->told > ready)
    add_times (group->starts, group->told_until, group->told - ready);
}

/* Takes over READY, a set of ids. */
static void
see_group (struct Service *service, struct Group *group, GHashTable *ready, guint64 now)
{
  if (group->ready == NULL)
    {
      if (!service->seen)
        take_told (group, g_hash_table_size (ready), now);
      else
        drop_oldest (group->starts, g_hash_table_size (ready));
    }
  else
    {
      guint gone = count_lacking (group->ready, ready);

      drop_oldest (group->starts, count_lacking (ready, group->ready));
      if (gone > group->ends->len)
        service->lost_at = now;
      drop_oldest (group->ends, gone);
      g_hash_table_unref (group->ready);
    }
  group->ready = ready;
  drop_expired (group->starts, now);
  drop_expired (group->ends, now);
}

static void
read_config (struct Service *service, const struct GspanConfigService *config)
{
  const struct GspanConfigScaling *scaling = &config->scaling;

  service->boot_us = scaling->boot_us;
  service->spot_price = scaling->spot_price;
  service->replicas_min = scaling->replicas_min;
  service->replicas_max = scaling->replicas_max;
  for (guint i = 0; i < service->zones->len; i++)
    ((struct Zone *)g_ptr_array_index (service->zones, i))->listed = false;
  for (guint i = 0; i < scaling->zones->len; i++)
    {
      const struct GspanConfigZone *listed = g_ptr_array_index (scaling->zones, i);
      struct Zone *zone = zone_of (service, listed->name);

      zone->listed = true;
      zone->price = listed->price;
    }
}

/* Mean of those that take requests; as known before where none does. */
static void
see_slots (struct Service *service, const struct GspanCapacityInput *input)
{
  guint count = 0;
  double sum = 0;

  for (guint i = 0; i < input->replica_count; i++)
    {
      if (input->replicas[i].draining)
        continue;
      count++;
      sum += input->replicas[i].slots;
    }
  if (count > 0 && sum > 0)
    service->slots = sum / count;
  else if (service->slots <= 0)
    service->slots = input->service->slots > 0 ? input->service->slots : SLOTS_UNKNOWN;
}

static void
see_replicas (struct Service *service, const struct GspanCapacityInput *input)
{
  for (guint i = 0; i < input->replica_count; i++)
    zone_of (service, input->replicas[i].zone);
  for (guint z = 0; z < service->zones->len; z++)
    {
      struct Zone *zone = g_ptr_array_index (service->zones, z);
      GHashTable *ready[KINDS] = { NULL };

      for (guint k = 0; k < KINDS; k++)
        {
          ready[k] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
          zone->kinds[k].draining = 0;
        }
      for (guint i = 0; i < input->replica_count; i++)
        {
          const struct GspanCapacityReplica *replica = &input->replicas[i];

          if (strcmp (replica->zone, zone->name) != 0)
            continue;
          if (replica->draining)
            zone->kinds[replica->spot].draining++;
          else
            g_hash_table_add (ready[replica->spot], g_strdup (replica->id));
        }
      for (guint k = 0; k < KINDS; k++)
        see_group (service, &zone->kinds[k], ready[k], input->now);
    }
}

/* Forgets zones that others have named and that have no replicas any more. */
static void
drop_empty_zones (struct Service *service)
{
  for (guint i = service->zones->len; i > 0; i--)
    {
      const struct Zone *zone = g_ptr_array_index (service->zones, i - 1);

      if (!zone->listed && effective_in_zone (zone) == 0 && !has_open_call (zone))
        g_ptr_array_remove_index (service->zones, i - 1);
    }
}

/* Spot replicas that drain without having been given back are being reclaimed. */
static void
see_reclaims (struct Service *service, guint64 now)
{
  for (guint i = 0; i < service->zones->len; i++)
    {
      struct Zone *zone = g_ptr_array_index (service->zones, i);
      bool given_back
          = zone->lowered_at != 0 && now < zone->lowered_at + END_SEEN_US + LOWER_PAUSE_US;

      if (zone->kinds[1].draining > (given_back ? 1 : 0))
        zone->kinds[1].reclaimed_at = now;
    }
}

static void
see_demand (struct Service *service, double demand, guint64 now)
{
  guint64 second = now / GSPAN_SECOND;
  guint at = (guint)(second % PEAK_BUCKETS);

  if (service->peak_seconds[at] != second)
    service->peaks[at] = 0;
  service->peak_seconds[at] = second;
  service->peaks[at] = MAX (service->peaks[at], demand);
}

/* Replicas that the peak of the last WITHIN_US needs. */
static guint
needed (const struct Service *service, guint64 within_us, guint64 now)
{
  guint64 second = now / GSPAN_SECOND;
  double peak = 0;

  for (guint i = 0; i < PEAK_BUCKETS; i++)
    {
      if (service->peak_seconds[i] + within_us / GSPAN_SECOND > second)
        peak = MAX (peak, service->peaks[i]);
    }
  return (guint)MIN (ceil (peak / (LOAD_SHARE * service->slots)), (double)G_MAXINT);
}

static void
observe (struct Service *service, const struct GspanCapacityInput *input)
{
  read_config (service, input->service);
  see_slots (service, input);
  see_replicas (service, input);
  drop_empty_zones (service);
  see_reclaims (service, input->now);
  see_demand (service, input->demand, input->now);
  if (service->seen)
    return;
  service->first = effective_of (service);
  service->seen_at = input->now;
  service->seen = true;
}

/* Raises. */

/* A call that takes long doesn't hold up what another zone can do. */
static bool
waits_long (const struct Zone *zone, guint64 now)
{
  for (guint i = 0; i < KINDS; i++)
    {
      if (zone->kinds[i].open_since != 0 && now >= zone->kinds[i].open_since + CALL_AWAITED_US)
        return true;
    }
  return false;
}

static bool
is_reclaimed (const struct Group *group, guint64 now)
{
  return group->reclaimed_at != 0 && now < group->reclaimed_at + RECLAIM_PAUSE_US;
}

/* True where one more spot replica leaves them half of ZONE at most. */
static bool
may_add_spot (const struct Service *service, const struct Zone *zone, guint64 now)
{
  const struct Group *spot = &zone->kinds[1];

  return service->spot_price > 0 && !is_reclaimed (spot, now)
         && 2 * (effective_in (spot) + spot->add + 1) <= planned_in_zone (zone) + 1;
}

static bool
may_add (const struct Service *service, const struct Zone *zone, guint kind, guint64 now)
{
  const struct Group *group = &zone->kinds[kind];
  guint named = named_in (&zone->kinds[0]) + named_in (&zone->kinds[1]);
  bool is_named = group->has_ordered && effective_in (group) + group->add < group->ordered;

  if (!zone->listed || now < group->refused_until || waits_long (zone, now))
    return false;
  if (group->refusals > 0 && group->add > 0) /* more at once is less likely to be there */
    return false;
  if (planned_in_zone (zone) >= service->replicas_max
      || (!is_named && named >= service->replicas_max))
    return false;
  return kind == 0 || may_add_spot (service, zone, now);
}

static double
price_of (const struct Service *service, const struct Zone *zone, guint kind)
{
  return kind == 0 ? zone->price : zone->price * service->spot_price;
}

/* The cheapest group that may have one more; of equal ones, that in the zone with fewest. */
static struct Group *
cheapest (const struct Service *service, guint64 now)
{
  const struct Zone *best_zone = NULL;
  struct Group *best = NULL;
  double best_price = 0;

  for (guint i = 0; i < service->zones->len; i++)
    {
      struct Zone *zone = g_ptr_array_index (service->zones, i);

      for (guint k = 0; k < KINDS; k++)
        {
          double price = price_of (service, zone, k);

          if (!may_add (service, zone, k, now) || (best != NULL && price > best_price)
              || (best != NULL && price >= best_price
                  && planned_in_zone (zone) >= planned_in_zone (best_zone)))
            continue;
          best = &zone->kinds[k];
          best_zone = zone;
          best_price = price;
        }
    }
  return best;
}

/* Brings each zone to the least count, by one order of the kind that isn't reclaimed. */
static gint64
fill_to_min (struct Service *service, guint64 now)
{
  gint64 added = 0;

  for (guint i = 0; i < service->zones->len; i++)
    {
      struct Zone *zone = g_ptr_array_index (service->zones, i);
      guint count = effective_in_zone (zone);

      if (!zone->listed || count >= service->replicas_min || now < zone->kinds[0].refused_until)
        continue;
      zone->kinds[0].add = service->replicas_min - count;
      added += zone->kinds[0].add;
    }
  return added;
}

/* Returns how many of MISSING replicas no zone may have. */
static guint
add_missing (struct Service *service, guint missing, guint64 now)
{
  while (missing > 0)
    {
      struct Group *group = cheapest (service, now);

      if (group == NULL)
        break;
      group->add++;
      missing--;
    }
  return missing;
}

/* Orders. */

static bool
was_raised_lately (const struct Zone *zone, guint64 now)
{
  return zone->raised_at != 0 && now < zone->raised_at + AFTER_RAISE_US;
}

static void
add_order (const struct Service *service, const struct Zone *zone, guint kind, guint count,
           const char *reason, GPtrArray *orders)
{
  struct GspanCapacityOrder *order = g_new0 (struct GspanCapacityOrder, 1);

  order->service = g_strdup (service->name);
  order->zone = g_strdup (zone->name);
  order->spot = kind == 1;
  order->before = effective_in (&zone->kinds[kind]);
  order->count = count;
  order->reason = reason;
  g_ptr_array_add (orders, order);
}

static const char *
reason_of_raise (const struct Service *service, const struct Zone *zone, guint64 now)
{
  if (effective_in_zone (zone) < service->replicas_min)
    return "minimum";
  for (guint i = 0; i < service->zones->len; i++)
    {
      const struct Zone *other = g_ptr_array_index (service->zones, i);

      if (is_reclaimed (&other->kinds[1], now))
        return "reclaim";
    }
  if (service->lost_at != 0 && now < service->lost_at + LOSS_KNOWN_US)
    return "loss";
  return "demand";
}

/* Spot replicas are ordered after the others, of which they may be half. */
static bool
order_raise (const struct Service *service, const struct Zone *zone, guint64 now, GPtrArray *orders)
{
  for (guint k = 0; k < KINDS; k++)
    {
      const struct Group *group = &zone->kinds[k];

      if (group->add == 0)
        continue;
      add_order (service, zone, k, effective_in (group) + group->add,
                 reason_of_raise (service, zone, now), orders);
      return true;
    }
  return false;
}

/*
 * The count that settles GROUP: the same again, unless what was lowered is needed now, or what was
 * raised never came and isn't needed any more. There are SURPLUS replicas beyond what is needed;
 * below 0 some lack.
 */
static guint
settling_count (const struct Zone *zone, const struct Group *group, gint64 surplus, guint64 now)
{
  guint there = effective_in (group);
  bool fits = group->ordered == there || surplus < 0;

  if (group->ordered < there)
    fits = surplus >= there - group->ordered && !was_raised_lately (zone, now);
  return fits ? group->ordered : there;
}

static bool
order_repeat (const struct Service *service, const struct Zone *zone, gint64 surplus, guint64 now,
              GPtrArray *orders)
{
  for (guint k = 0; k < KINDS; k++)
    {
      const struct Group *group = &zone->kinds[k];

      if (!group->unsettled || now < group->repeat_at)
        continue;
      add_order (service, zone, k, settling_count (zone, group, surplus, now), "repeat", orders);
      return true;
    }
  return false;
}

/*
 * The platform still counts reclaimed replicas towards the most that a zone may have: names the
 * count without them, so that others can replace them there.
 */
static void
order_trim (const struct Service *service, const struct Zone *zone, guint64 now, GPtrArray *orders)
{
  const struct Group *spot = &zone->kinds[1];

  if (!zone->listed || !is_reclaimed (spot, now) || !spot->has_ordered
      || spot->ordered <= effective_in (spot))
    return;
  add_order (service, zone, 1, effective_in (spot), "reclaimed", orders);
}

/* Reductions. */

static bool
may_lower (const struct Service *service, const struct Zone *zone, guint64 now)
{
  for (guint k = 0; k < KINDS; k++)
    {
      if (zone->kinds[k].unsettled || zone->kinds[k].starts->len > 0)
        return false;
    }
  return zone->listed && !zone->lowers && !has_open_call (zone)
         && effective_in_zone (zone) > service->replicas_min && !was_raised_lately (zone, now)
         && (zone->lowered_at == 0 || now >= zone->lowered_at + LOWER_PAUSE_US);
}

/* The dearer kind, unless spot replicas were more than half of ZONE without it. */
static guint
kind_to_lower (const struct Zone *zone)
{
  guint plain = effective_in (&zone->kinds[0]);
  guint spot = effective_in (&zone->kinds[1]);

  return plain > 0 && 2 * spot <= plain + spot - 1 ? 0 : 1;
}

static struct Zone *
dearest_to_lower (const struct Service *service, guint64 now)
{
  struct Zone *best = NULL;
  double best_price = 0;

  for (guint i = 0; i < service->zones->len; i++)
    {
      struct Zone *zone = g_ptr_array_index (service->zones, i);
      double price = price_of (service, zone, kind_to_lower (zone));

      if (!may_lower (service, zone, now) || (best != NULL && price <= best_price))
        continue;
      best = zone;
      best_price = price;
    }
  return best;
}

/* One replica less, or as many as bring ZONE to the most that may be named. */
static guint
step_down (const struct Service *service, const struct Zone *zone)
{
  guint count = effective_in_zone (zone);

  return count > service->replicas_max ? count - service->replicas_max : 1;
}

static void
order_reductions (struct Service *service, guint surplus, guint64 now, GPtrArray *orders)
{
  struct Zone *zone;

  while (surplus > 0 && (zone = dearest_to_lower (service, now)) != NULL)
    {
      guint kind = kind_to_lower (zone);
      guint count = effective_in (&zone->kinds[kind]);
      guint step = MIN (step_down (service, zone), count);

      zone->lowers = true;
      if (step > surplus || effective_in_zone (zone) - step > service->replicas_max)
        continue;
      add_order (service, zone, kind, count - step, "unneeded", orders);
      surplus -= step;
    }
}

/* The plan. */

static void
begin_plan (struct Service *service)
{
  for (guint i = 0; i < service->zones->len; i++)
    {
      struct Zone *zone = g_ptr_array_index (service->zones, i);

      zone->lowers = false;
      for (guint k = 0; k < KINDS; k++)
        zone->kinds[k].add = 0;
    }
}

static void
order_raises (struct Service *service, guint lacking, gint64 surplus, guint64 now,
              GPtrArray *orders)
{
  for (guint i = 0; i < service->zones->len; i++)
    {
      struct Zone *zone = g_ptr_array_index (service->zones, i);

      if (has_open_call (zone) || order_raise (service, zone, now, orders)
          || order_repeat (service, zone, surplus, now, orders))
        continue;
      if (lacking > 0)
        order_trim (service, zone, now, orders);
    }
}

/* A holder that began lately doesn't know the peak, nor all that the one before has ordered. */
static bool
knows_the_peak (const struct Service *service, guint64 now)
{
  return now >= service->seen_at + MAX (PEAK_US, service->boot_us + BOOT_SLACK_US);
}

void
gspan_capacity_plan (struct GspanCapacity *capacity, const struct GspanCapacityInput *input,
                     GPtrArray *orders)
{
  struct Service *service = service_of (capacity, input->service->name);
  guint64 now = input->now;
  guint before = orders->len;
  guint wanted;
  guint there;
  guint lacking;
  gint64 surplus;

  observe (service, input);
  begin_plan (service);
  wanted = MAX (needed (service, PEAK_US, now),
                MIN (service->first, needed (service, FIRST_KEPT_US, now)));
  there = effective_of (service);
  surplus = (gint64)there - wanted;
  lacking = (guint)MAX (0, -surplus - fill_to_min (service, now));
  order_raises (service, add_missing (service, lacking, now), surplus, now, orders);
  if (orders->len == before && surplus > 0 && input->demand_is_whole
      && knows_the_peak (service, now))
    order_reductions (service, (guint)surplus, now, orders);
}

/* What became of orders. */

static struct Group *
group_of (struct GspanCapacity *capacity, const char *service_name, const char *zone_name,
          bool spot, struct Service **service, struct Zone **zone)
{
  *service = g_hash_table_lookup (capacity->services, service_name);
  *zone = *service != NULL ? find_zone (*service, zone_name) : NULL;
  return *zone != NULL ? &(*zone)->kinds[spot] : NULL;
}

static guint64
start_until (const struct Service *service, guint64 now)
{
  return now + service->boot_us + BOOT_SLACK_US;
}

static guint64
end_until (const struct Service *service, guint64 now)
{
  return now + MAX (END_SEEN_US, service->boot_us + BOOT_SLACK_US);
}

/* Replicas that were to end, and are ordered again, are taken for staying. */
static void
assume_started (const struct Service *service, struct Group *group,
                struct GspanCapacityOrder *order, guint count, guint64 now)
{
  guint stay = MIN (count, group->ends->len);

  drop_newest (group->ends, stay);
  order->ended -= MIN (order->ended, stay);
  add_times (group->starts, start_until (service, now), count - stay);
  order->started += count - stay;
}

/* Counts what ORDER changes as done, until it is seen or refused. */
static void
assume_done (const struct Service *service, struct Group *group, struct GspanCapacityOrder *order,
             guint64 now)
{
  guint there = effective_in (group);

  order->started = group->unsettled ? group->started : 0;
  order->ended = group->unsettled ? group->ended : 0;
  if (order->count > there)
    assume_started (service, group, order, order->count - there, now);
  else if (order->count < there)
    {
      add_times (group->ends, end_until (service, now), there - order->count);
      order->ended += there - order->count;
    }
}

void
gspan_capacity_note_sent (struct GspanCapacity *capacity, struct GspanCapacityOrder *order,
                          guint64 now)
{
  struct Service *service;
  struct Zone *zone;
  struct Group *group
      = group_of (capacity, order->service, order->zone, order->spot, &service, &zone);

  if (group == NULL)
    return;
  if (!group->unsettled)
    {
      group->before_ordered = group->ordered;
      group->had_ordered = group->has_ordered;
    }
  assume_done (service, group, order, now);
  group->open_since = now;
  group->ordered = order->count;
  group->has_ordered = true;
}

/* Times of replicas count from the answer: an order that was sent for long was done late. */
static void
renew_starts (const struct Service *service, struct Group *group, guint count, guint64 now)
{
  guint from = group->starts->len - MIN (group->starts->len, count);

  for (guint i = from; i < group->starts->len; i++)
    g_array_index (group->starts, guint64, i) = start_until (service, now);
}

static void
undo (struct Group *group, const struct GspanCapacityOrder *order)
{
  drop_newest (group->starts, order->started);
  drop_newest (group->ends, order->ended);
  group->ordered = group->before_ordered;
  group->has_ordered = group->had_ordered;
}

static void
note_refusal (struct Group *group, const struct GspanCapacityOrder *order, guint64 now)
{
  undo (group, order);
  group->unsettled = false;
  group->refused_until = now + (REFUSED_FIRST_US << MIN (group->refusals, REFUSED_DOUBLINGS));
  group->refusals++;
}

static void
note_unknown (struct Group *group, const struct GspanCapacityOrder *order, guint64 now)
{
  group->unsettled = true;
  group->repeat_at = now + REPEAT_US;
  group->started = order->started;
  group->ended = order->ended;
}

/* Later raises and reductions of ZONE count from now. */
static void
note_change (struct Zone *zone, const struct GspanCapacityOrder *order, guint64 now)
{
  if (order->count > order->before)
    zone->raised_at = now;
  if (order->count < order->before)
    zone->lowered_at = now;
}

void
gspan_capacity_note_result (struct GspanCapacity *capacity, const struct GspanCapacityOrder *order,
                            enum GspanCapacityResult result, guint64 now)
{
  struct Service *service;
  struct Zone *zone;
  struct Group *group
      = group_of (capacity, order->service, order->zone, order->spot, &service, &zone);

  if (group == NULL)
    return;
  group->open_since = 0;
  switch (result)
    {
    case GSPAN_CAPACITY_ACCEPTED:
      group->unsettled = false;
      group->refusals = 0;
      renew_starts (service, group, order->started, now);
      note_change (zone, order, now);
      break;
    case GSPAN_CAPACITY_NONE_THERE:
      note_refusal (group, order, now);
      break;
    case GSPAN_CAPACITY_NOT_TAKEN:
      if (group->unsettled)
        note_unknown (group, order, now);
      else
        undo (group, order);
      break;
    case GSPAN_CAPACITY_UNKNOWN:
      note_unknown (group, order, now);
      note_change (zone, order, now);
      break;
    }
}

void
gspan_capacity_note_told (struct GspanCapacity *capacity, const char *service_name,
                          const char *zone_name, bool spot, guint count, guint64 until)
{
  struct Service *service = service_of (capacity, service_name);
  struct Group *group = &zone_of (service, zone_name)->kinds[spot];

  if (service->seen || until <= group->told_until)
    return;
  group->told = count;
  group->told_until = until;
}

void
gspan_capacity_foreach_starting (const struct GspanCapacity *capacity, guint64 now,
                                 GspanCapacityFunc func, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, capacity->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct Service *service = value;

      for (guint i = 0; i < service->zones->len * KINDS; i++)
        {
          const struct Zone *zone = g_ptr_array_index (service->zones, i / KINDS);
          const struct Group *group = &zone->kinds[i % KINDS];
          guint64 until = group->starts->len > 0
                              ? g_array_index (group->starts, guint64, group->starts->len - 1)
                              : 0;

          if (until > now && group->has_ordered)
            func (service->name, zone->name, i % KINDS == 1, group->ordered, until, user);
        }
    }
}

static gboolean
is_unscaled (gpointer name, gpointer service, gpointer config)
{
  const struct GspanConfigService *found = gspan_config_service (config, name);

  (void)service;
  return found == NULL || !found->scaling.enabled;
}

void
gspan_capacity_forget_unscaled (struct GspanCapacity *capacity, const struct GspanConfig *config)
{
  g_hash_table_foreach_remove (capacity->services, is_unscaled, (gpointer)config);
}

bool
gspan_capacity_is_unsettled (const struct GspanCapacity *capacity)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, capacity->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct Service *service = value;

      for (guint i = 0; i < service->zones->len * KINDS; i++)
        {
          const struct Zone *zone = g_ptr_array_index (service->zones, i / KINDS);

          if (zone->kinds[i % KINDS].unsettled)
            return true;
        }
    }
  return false;
}

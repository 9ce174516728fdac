#include "desk/poison_requests.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

struct Item
{
  guint64 fingerprint;
  guint64 until;
  guint crashes;
  guint64 upstream; /* hash of the first one's name */
};

void
gspan_poison_requests_init (struct GspanPoisonRequests *poison)
{
  poison->items = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&poison->order);
}

void
gspan_poison_requests_finish (struct GspanPoisonRequests *poison)
{
  g_queue_clear (&poison->order);
  g_hash_table_unref (poison->items);
}

guint64
gspan_poison_requests_fingerprint (const char *service, const char *path, struct GspanStr body)
{
  guint64 hash = XXH3_64bits (service, strlen (service));

  hash = XXH3_64bits_withSeed (path, strlen (path), hash);
  hash = XXH3_64bits_withSeed (body.data, body.len, hash);
  return hash != 0 ? hash : 1;
}

static void
drop (struct GspanPoisonRequests *poison, struct Item *item)
{
  g_queue_remove (&poison->order, item);
  g_hash_table_remove (poison->items, &item->fingerprint);
}

static struct Item *
item_of (struct GspanPoisonRequests *poison, guint64 fingerprint, guint64 now)
{
  struct Item *item = g_hash_table_lookup (poison->items, &fingerprint);

  if (item != NULL && item->until <= now)
    {
      drop (poison, item);
      item = NULL;
    }
  if (item != NULL)
    return item;
  if (poison->order.length >= GSPAN_POISON_ENTRIES_MAX)
    drop (poison, g_queue_peek_head (&poison->order));
  item = g_new0 (struct Item, 1);
  item->fingerprint = fingerprint;
  g_hash_table_insert (poison->items, &item->fingerprint, item);
  g_queue_push_tail (&poison->order, item);
  return item;
}

void
gspan_poison_requests_record_crash (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                    const char *upstream, guint64 now)
{
  struct Item *item = item_of (poison, fingerprint, now);
  guint64 name = XXH3_64bits (upstream, strlen (upstream));

  item->until = now + GSPAN_POISON_TTL_US;
  if (item->crashes > 0 && item->upstream == name)
    return;
  item->crashes++;
  item->upstream = name;
}

guint
gspan_poison_requests_crash_count (const struct GspanPoisonRequests *poison, guint64 fingerprint,
                                   guint64 now)
{
  const struct Item *item = g_hash_table_lookup (poison->items, &fingerprint);

  return item != NULL && item->until > now ? item->crashes : 0;
}

void
gspan_poison_requests_merge (struct GspanPoisonRequests *poison, guint64 fingerprint,
                             guint64 life_us, guint64 now)
{
  struct Item *item = item_of (poison, fingerprint, now);

  item->crashes = MAX (item->crashes, (guint)GSPAN_POISON_CRASH_THRESHOLD);
  item->until = MAX (item->until, now + MIN (life_us, GSPAN_POISON_TTL_US));
}

guint
gspan_poison_requests_list (const struct GspanPoisonRequests *poison,
                            struct GspanPoisonReport *facts, guint max, guint64 now)
{
  guint count = 0;

  for (GList *link = poison->order.tail; link != NULL && count < max; link = link->prev)
    {
      const struct Item *item = link->data;

      if (item->crashes < GSPAN_POISON_CRASH_THRESHOLD || item->until <= now)
        continue;
      facts[count].fingerprint = item->fingerprint;
      facts[count].life_us = item->until - now;
      count++;
    }
  return count;
}

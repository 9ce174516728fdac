#include "desk/poison_requests.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

#define UNCONFIRMED_US (8 * GSPAN_SECOND)
#define ENDED_KEPT_US (60 * GSPAN_SECOND) /* requests have ended by then */

enum
{
  FINGERPRINT_DIGITS = 16, /* hexadecimal */
  COUNTS_MAX = 8           /* pieces of evidence kept of one request; the oldest goes first */
};

struct Count
{
  guint64 upstream; /* hash of its name */
  enum GspanPoisonEvidence evidence;
  guint64 at;
};

struct Item
{
  guint64 fingerprint;
  guint64 condemned_until;
  struct Count counts[COUNTS_MAX];
  guint n_counts;
};

void
gspan_poison_requests_init (struct GspanPoisonRequests *poison)
{
  poison->items = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  poison->ended = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  poison->unconfirmed_us = UNCONFIRMED_US;
  g_queue_init (&poison->order);
}

void
gspan_poison_requests_finish (struct GspanPoisonRequests *poison)
{
  g_queue_clear (&poison->order);
  g_hash_table_unref (poison->ended);
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

char *
gspan_poison_fingerprint_format (guint64 fingerprint)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x", fingerprint);
}

bool
gspan_poison_fingerprint_parse (const char *text, guint64 *fingerprint)
{
  char *end = NULL;

  if (text == NULL || strlen (text) != FINGERPRINT_DIGITS)
    return false;
  *fingerprint = g_ascii_strtoull (text, &end, 16);
  return *end == '\0' && *fingerprint != 0;
}

static guint64
hash_of (const char *upstream)
{
  return XXH3_64bits (upstream, strlen (upstream));
}

static guint64
lifetime_of (const struct GspanPoisonRequests *poison, const struct Count *count)
{
  return count->evidence == GSPAN_POISON_CRASHED ? GSPAN_POISON_TTL_US : poison->unconfirmed_us;
}

static bool
is_live (const struct GspanPoisonRequests *poison, const struct Count *count, guint64 now)
{
  return count->at + lifetime_of (poison, count) > now;
}

static guint
count_at_least (const struct GspanPoisonRequests *poison, const struct Item *item,
                enum GspanPoisonEvidence evidence, guint64 now)
{
  guint found = 0;

  for (guint i = 0; i < item->n_counts; i++)
    found += item->counts[i].evidence >= evidence && is_live (poison, &item->counts[i], now);
  return found;
}

static void
drop (struct GspanPoisonRequests *poison, struct Item *item)
{
  g_queue_remove (&poison->order, item);
  g_hash_table_remove (poison->items, &item->fingerprint);
}

/* The oldest one without a crash, so that a wave of timeouts drops no crash. */
static struct Item *
least_useful (struct GspanPoisonRequests *poison, guint64 now)
{
  for (GList *link = poison->order.head; link != NULL; link = link->next)
    {
      struct Item *item = link->data;

      if (item->condemned_until <= now
          && count_at_least (poison, item, GSPAN_POISON_CRASHED, now) == 0)
        return item;
    }
  return g_queue_peek_head (&poison->order);
}

static struct Item *
item_of (struct GspanPoisonRequests *poison, guint64 fingerprint, guint64 now)
{
  struct Item *item = g_hash_table_lookup (poison->items, &fingerprint);

  if (item != NULL)
    return item;
  if (poison->order.length >= GSPAN_POISON_ENTRIES_MAX)
    drop (poison, least_useful (poison, now));
  item = g_new0 (struct Item, 1);
  item->fingerprint = fingerprint;
  g_hash_table_insert (poison->items, &item->fingerprint, item);
  g_queue_push_tail (&poison->order, item);
  return item;
}

static void
remove_count (struct Item *item, guint index)
{
  item->n_counts--;
  memmove (&item->counts[index], &item->counts[index + 1],
           (item->n_counts - index) * sizeof item->counts[0]);
}

static struct Count *
count_of (struct GspanPoisonRequests *poison, struct Item *item, guint64 upstream, guint64 now)
{
  for (guint i = item->n_counts; i > 0; i--)
    {
      if (!is_live (poison, &item->counts[i - 1], now))
        remove_count (item, i - 1);
    }
  for (guint i = 0; i < item->n_counts; i++)
    {
      if (item->counts[i].upstream == upstream)
        return &item->counts[i];
    }
  if (item->n_counts == COUNTS_MAX)
    remove_count (item, 0);
  item->counts[item->n_counts] = (struct Count){ 0 };
  item->counts[item->n_counts].upstream = upstream;
  return &item->counts[item->n_counts++];
}

static void
condemn_if_due (const struct GspanPoisonRequests *poison, struct Item *item, guint64 now)
{
  if (count_at_least (poison, item, GSPAN_POISON_CRASHED, now) >= GSPAN_POISON_VERDICT_THRESHOLD)
    item->condemned_until = MAX (item->condemned_until, now + GSPAN_POISON_TTL_US);
}

int
gspan_poison_requests_record (struct GspanPoisonRequests *poison, guint64 fingerprint,
                              const char *upstream, enum GspanPoisonEvidence evidence, guint64 now)
{
  struct Item *item = item_of (poison, fingerprint, now);
  guint64 name = hash_of (upstream);
  struct Count *count = count_of (poison, item, name, now);

  if (g_hash_table_contains (poison->ended, &name))
    evidence = GSPAN_POISON_CRASHED;
  if (count->at != 0 && count->evidence >= evidence)
    return -1;
  count->evidence = evidence;
  count->at = now;
  condemn_if_due (poison, item, now);
  return (int)evidence;
}

void
gspan_poison_requests_record_crash (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                    const char *upstream, guint64 now)
{
  gspan_poison_requests_record (poison, fingerprint, upstream, GSPAN_POISON_CRASHED, now);
}

static gboolean
ended_long_ago (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return *(const guint64 *)value + ENDED_KEPT_US < *(const guint64 *)user;
}

void
gspan_poison_requests_upstream_ended (struct GspanPoisonRequests *poison, const char *upstream,
                                      guint64 now, GArray *changed)
{
  guint64 name = hash_of (upstream);

  g_hash_table_foreach_remove (poison->ended, ended_long_ago, &now);
  g_hash_table_replace (poison->ended, g_memdup2 (&name, sizeof name),
                        g_memdup2 (&now, sizeof now));
  for (GList *link = poison->order.head; link != NULL; link = link->next)
    {
      struct Item *item = link->data;

      for (guint i = 0; i < item->n_counts; i++)
        {
          struct Count *count = &item->counts[i];

          if (count->upstream != name || count->evidence == GSPAN_POISON_CRASHED
              || !is_live (poison, count, now))
            continue;
          count->evidence = GSPAN_POISON_CRASHED;
          count->at = now;
          condemn_if_due (poison, item, now);
          g_array_append_val (changed, item->fingerprint);
        }
    }
}

void
gspan_poison_requests_upstream_works (struct GspanPoisonRequests *poison, const char *upstream)
{
  guint64 name = hash_of (upstream);

  for (GList *link = poison->order.head; link != NULL; link = link->next)
    {
      struct Item *item = link->data;

      for (guint i = 0; i < item->n_counts; i++)
        {
          if (item->counts[i].upstream == name
              && item->counts[i].evidence == GSPAN_POISON_SUSPECTED)
            item->counts[i].evidence = GSPAN_POISON_EXPOSED;
        }
    }
}

bool
gspan_poison_requests_clear (struct GspanPoisonRequests *poison, guint64 fingerprint)
{
  struct Item *item = g_hash_table_lookup (poison->items, &fingerprint);

  if (item == NULL)
    return false;
  drop (poison, item);
  return true;
}

void
gspan_poison_requests_keep_unconfirmed (struct GspanPoisonRequests *poison, guint64 now)
{
  for (GList *link = poison->order.head; link != NULL; link = link->next)
    {
      struct Item *item = link->data;

      for (guint i = 0; i < item->n_counts; i++)
        {
          if (item->counts[i].evidence != GSPAN_POISON_CRASHED
              && is_live (poison, &item->counts[i], now))
            item->counts[i].at = now;
        }
    }
}

guint64
gspan_poison_requests_condemned_until (const struct GspanPoisonRequests *poison,
                                       guint64 fingerprint, guint64 now)
{
  const struct Item *item = g_hash_table_lookup (poison->items, &fingerprint);

  return item != NULL && item->condemned_until > now ? item->condemned_until : 0;
}

guint
gspan_poison_requests_crash_count (const struct GspanPoisonRequests *poison, guint64 fingerprint,
                                   guint64 now)
{
  const struct Item *item = g_hash_table_lookup (poison->items, &fingerprint);
  guint count;

  if (item == NULL)
    return 0;
  count = count_at_least (poison, item, GSPAN_POISON_SUSPECTED, now);
  return item->condemned_until > now ? MAX (count, (guint)GSPAN_POISON_VERDICT_THRESHOLD) : count;
}

/* The time at which only one upstream counts that was recorded lately. */
static guint64
quarantined_until (const struct GspanPoisonRequests *poison, const struct Item *item)
{
  guint64 last = 0;
  guint64 last_but_one = 0;

  for (guint i = 0; i < item->n_counts; i++)
    {
      const struct Count *count = &item->counts[i];
      guint64 until = count->at
                      + (count->evidence == GSPAN_POISON_CRASHED ? GSPAN_POISON_QUARANTINE_US
                                                                 : poison->unconfirmed_us);

      if (count->evidence == GSPAN_POISON_EXPOSED)
        continue;
      last_but_one = MAX (last_but_one, MIN (last, until));
      last = MAX (last, until);
    }
  return last_but_one;
}

guint64
gspan_poison_requests_refused_until (const struct GspanPoisonRequests *poison, guint64 fingerprint,
                                     guint64 now)
{
  const struct Item *item = g_hash_table_lookup (poison->items, &fingerprint);
  guint64 until;

  if (item == NULL)
    return 0;
  until = MAX (item->condemned_until, quarantined_until (poison, item));
  return until > now ? until : 0;
}

void
gspan_poison_requests_merge (struct GspanPoisonRequests *poison, guint64 fingerprint,
                             guint64 life_us, guint64 now)
{
  struct Item *item = item_of (poison, fingerprint, now);

  item->condemned_until = MAX (item->condemned_until, now + MIN (life_us, GSPAN_POISON_TTL_US));
}

/* What is left of what speaks against ITEM; 0 where that isn't enough. */
static guint64
life_of (const struct GspanPoisonRequests *poison, const struct Item *item, guint64 now)
{
  guint64 until = item->condemned_until;

  if (count_at_least (poison, item, GSPAN_POISON_CRASHED, now) >= GSPAN_POISON_CRASH_THRESHOLD)
    {
      for (guint i = 0; i < item->n_counts; i++)
        until = MAX (until, item->counts[i].at + lifetime_of (poison, &item->counts[i]));
    }
  return until > now ? until - now : 0;
}

guint
gspan_poison_requests_list (const struct GspanPoisonRequests *poison,
                            struct GspanPoisonReport *facts, guint max, guint64 now)
{
  guint count = 0;

  for (GList *link = poison->order.tail; link != NULL && count < max; link = link->prev)
    {
      const struct Item *item = link->data;
      guint64 life = life_of (poison, item, now);

      if (life == 0)
        continue;
      facts[count].fingerprint = item->fingerprint;
      facts[count].life_us = life;
      count++;
    }
  return count;
}

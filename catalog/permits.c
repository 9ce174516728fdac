#include "catalog/permits.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define ASK_TIMEOUT_US (60 * GSPAN_MS)
#define PERMIT_LIFE_US (400 * GSPAN_MS) /* from its time on */
#define FULL_SPREAD_US                                                                             \
  (40 * GSPAN_MS) /* so that those who were told the same don't return at once */

enum
{
  TRIES_MAX = 3, /* of a question, before this node takes the allocator's place */
  FORMAT_VERSION = 1
};

#define REACH_MAX_US (2 * GSPAN_SECOND)

/*
 * Desk callers and orders reach further ahead than items at first, so items can't keep them out. A
 * caller is refused what it can't reach; items and orders reach further the longer they have
 * waited, so callers can't keep them out either.
 */
static const guint64 reaches_us[GSPAN_TRAFFIC_COUNT] = {
  [GSPAN_TRAFFIC_CALLS] = 400 * GSPAN_MS,
  [GSPAN_TRAFFIC_RUNS] = 250 * GSPAN_MS,
  [GSPAN_TRAFFIC_ORDERS] = 500 * GSPAN_MS,
};

guint64
gspan_permits_reach_us (enum GspanTraffic traffic)
{
  return reaches_us[traffic];
}

static guint64
reach_of (const struct GspanPermitPool *pool, enum GspanTraffic traffic, guint64 now)
{
  guint64 waited_us = pool->empty_since != 0 ? now - pool->empty_since : 0;

  if (traffic == GSPAN_TRAFFIC_CALLS)
    return reaches_us[traffic];
  return MIN (reaches_us[traffic] + waited_us, REACH_MAX_US);
}

static void
remove_first (struct GspanPermitPool *pool)
{
  pool->count--;
  memmove (pool->due_at, pool->due_at + 1, pool->count * sizeof pool->due_at[0]);
}

static void
drop_lapsed (struct GspanPermitPool *pool, guint64 now)
{
  while (pool->count > 0 && pool->due_at[0] + PERMIT_LIFE_US < now)
    remove_first (pool);
}

static void
add_permit (struct GspanPermitPool *pool, guint64 due_at)
{
  guint at = pool->count;

  if (pool->count == GSPAN_PERMITS_MAX)
    return;
  while (at > 0 && pool->due_at[at - 1] > due_at)
    {
      pool->due_at[at] = pool->due_at[at - 1];
      at--;
    }
  pool->due_at[at] = due_at;
  pool->count++;
}

bool
gspan_permits_allow (const struct GspanLimits *limits, const struct GspanReplica *replica,
                     enum GspanTraffic traffic, guint64 now)
{
  const struct GspanLimit *limit = gspan_limits_find (limits, replica);
  const struct GspanPermitPool *pool;

  if (limit == NULL)
    return true;
  pool = &limit->pools[traffic];
  for (guint i = 0; i < pool->count; i++)
    {
      if (pool->due_at[i] <= now && pool->due_at[i] + PERMIT_LIFE_US >= now)
        return true;
    }
  return false;
}

static void
log_beyond (const struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "request-beyond-limit");
  gspan_line_cstr (&line, "upstream", replica->id);
  gspan_outbox_log (outbox, "limits", GSPAN_PRIORITY_WARNING, &line);
}

static void
use_permit (struct GspanNode *node, const struct GspanReplica *replica, struct GspanLimit *limit,
            enum GspanTraffic traffic, struct GspanOutbox *outbox)
{
  struct GspanPermitPool *pool = &limit->pools[traffic];

  drop_lapsed (pool, node->now);
  if (pool->count > 0 && pool->due_at[0] <= node->now)
    remove_first (pool);
  else
    {
      gspan_metrics_add (&node->metrics, GSPAN_METRIC_BEYOND_LIMIT, 1);
      log_beyond (replica, outbox);
    }
}

struct GspanActionHttp *
gspan_permits_send (struct GspanNode *node, struct GspanReplica *replica, enum GspanTraffic traffic,
                    struct GspanRef ref, struct GspanOutbox *outbox)
{
  struct GspanActionHttp *http = &gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref)->u.http;
  struct GspanLimit *limit = gspan_limits_find (&node->rate_limits, replica);

  gspan_exchanges_begin (node, replica, traffic, ref);
  if (limit == NULL)
    return http;
  /* a second sending by the HTTP client itself would have no permit */
  http->send_once = true;
  use_permit (node, replica, limit, traffic, outbox);
  return http;
}

static void
log_grant (const struct GspanLimit *limit, const char *to, guint asked, guint given,
           guint64 full_us, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "permits-issued");
  gspan_line_cstr (&line, "upstream", limit->upstream);
  gspan_line_cstr (&line, "to", to);
  gspan_line_u64 (&line, "asked", asked);
  gspan_line_u64 (&line, "given", given);
  gspan_line_u64 (&line, "full_us", full_us);
  gspan_outbox_log (outbox, "limits", GSPAN_PRIORITY_INFO, &line);
}

/* True with the time at which a permit may be used, if there is one to those who reach so far. */
static bool
issue (struct GspanLimit *limit, guint64 reach_us, guint64 now, guint64 *due_at)
{
  return now >= limit->issues_from && gspan_rate_reserve (&limit->rate, now, reach_us, due_at);
}

/* How long from now none is issued to those who reach so far. */
static guint64
full_for_us (const struct GspanLimit *limit, guint64 reach_us, guint64 now)
{
  guint64 from = MAX (limit->issues_from, now);
  guint64 soonest = gspan_rate_soonest (&limit->rate, now);

  return MAX (from, soonest - MIN (soonest, reach_us)) - now;
}

/* Notes that the question in POOL has been answered. */
static void
end_ask (struct GspanNode *node, struct GspanPermitPool *pool, enum GspanTraffic traffic,
         guint given, guint64 full_us)
{
  guint64 spread_us = (guint64)g_rand_int_range (node->random, 0, (gint32)FULL_SPREAD_US);

  pool->ask = 0;
  pool->full_until = 0;
  if (given > 0)
    pool->empty_since = 0;
  else if (pool->empty_since == 0)
    pool->empty_since = node->now;
  if (given >= pool->asked_count)
    return;
  /* the reach grows meanwhile, so that half of the time is enough */
  if (traffic != GSPAN_TRAFFIC_CALLS)
    full_us /= 2;
  pool->full_until = node->now + full_us + spread_us;
}

static void
issue_to_self (struct GspanNode *node, struct GspanLimit *limit, enum GspanTraffic traffic,
               struct GspanOutbox *outbox)
{
  struct GspanPermitPool *pool = &limit->pools[traffic];
  guint64 reach_us = reach_of (pool, traffic, node->now);
  guint given = 0;
  guint64 full_us;
  guint64 due_at;

  while (given < pool->asked_count && issue (limit, reach_us, node->now, &due_at))
    {
      add_permit (pool, due_at);
      given++;
    }
  full_us = full_for_us (limit, reach_us, node->now);
  log_grant (limit, node->self.name, pool->asked_count, given, full_us, outbox);
  end_ask (node, pool, traffic, given, full_us);
}

static void
send_ask (struct GspanNode *node, struct GspanLimit *limit, enum GspanTraffic traffic,
          struct GspanOutbox *outbox)
{
  struct GspanPermitPool *pool = &limit->pools[traffic];
  json_t *message;

  pool->tries++;
  pool->asked_at = node->now;
  if (gspan_limits_is_allocator (node, limit))
    {
      issue_to_self (node, limit, traffic, outbox);
      return;
    }
  message = json_pack ("{s:s, s:i, s:s, s:s, s:I, s:I, s:I, s:I, s:o}", "kind", "permits-ask",
                       "format", FORMAT_VERSION, "from", node->self.name, "udp",
                       node->self.udp_address, "id", (json_int_t)pool->ask, "traffic",
                       (json_int_t)traffic, "count", (json_int_t)pool->asked_count, "reach_us",
                       (json_int_t)reach_of (pool, traffic, node->now), "limit",
                       gspan_limits_encode (limit));
  gspan_peers_send_to (limit->allocator_udp, message, outbox);
  json_decref (message);
}

void
gspan_permits_want (struct GspanNode *node, const struct GspanReplica *replica,
                    enum GspanTraffic traffic, guint total, struct GspanOutbox *outbox)
{
  struct GspanLimit *limit = gspan_limits_find (&node->rate_limits, replica);
  struct GspanPermitPool *pool;

  if (limit == NULL)
    return;
  pool = &limit->pools[traffic];
  drop_lapsed (pool, node->now);
  total = MIN (total, (guint)GSPAN_PERMITS_MAX);
  if (pool->ask != 0 || pool->count >= total || pool->full_until > node->now)
    return;
  /* nothing has waited here for a while */
  if (pool->full_until + REACH_MAX_US < node->now)
    pool->empty_since = 0;
  pool->ask = ++node->rate_limits.last_ask;
  pool->asked_count = total - pool->count;
  pool->tries = 0;
  send_ask (node, limit, traffic, outbox);
}

guint64
gspan_permits_expected_at (const struct GspanNode *node, const struct GspanReplica *replica,
                           enum GspanTraffic traffic, guint rank)
{
  const struct GspanLimit *limit = gspan_limits_find (&node->rate_limits, replica);
  const struct GspanPermitPool *pool;

  if (limit == NULL)
    return node->now;
  pool = &limit->pools[traffic];
  if (rank < pool->count)
    return MAX (node->now, pool->due_at[rank]);
  if (pool->ask != 0 || pool->full_until <= node->now)
    return node->now;
  return pool->full_until + reaches_us[traffic];
}

/* The limit that STATEMENT is about; NULL where it isn't of the incarnation known here. */
static struct GspanLimit *
limit_asked_for (struct GspanNode *node, json_t *statement, struct GspanOutbox *outbox)
{
  const char *upstream = json_string_value (json_object_get (statement, "upstream"));
  struct GspanLimit *limit;

  /* tells a node that has restarted what it issued permits for */
  gspan_limits_merge (node, statement, outbox);
  limit = upstream != NULL ? g_hash_table_lookup (node->rate_limits.items, upstream) : NULL;
  if (limit == NULL
      || limit->born != (guint64)json_integer_value (json_object_get (statement, "born")))
    return NULL;
  return limit;
}

void
gspan_permits_receive_ask (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  const char *from = json_string_value (json_object_get (message, "from"));
  const char *udp = json_string_value (json_object_get (message, "udp"));
  json_int_t count = json_integer_value (json_object_get (message, "count"));
  json_int_t asked_reach = json_integer_value (json_object_get (message, "reach_us"));
  guint64 reach_us = (guint64)CLAMP (asked_reach, 0, (json_int_t)REACH_MAX_US);
  struct GspanLimit *limit;
  json_t *permits;
  json_t *answer;
  guint64 due_at;
  guint64 full_us;

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION || from == NULL
      || udp == NULL)
    return;
  limit = limit_asked_for (node, json_object_get (message, "limit"), outbox);
  if (limit == NULL)
    return;
  if (!limit->holds || !gspan_limits_is_allocator (node, limit))
    {
      gspan_limits_tell_one (limit, udp, outbox);
      return;
    }
  count = CLAMP (count, 0, GSPAN_PERMITS_MAX);
  permits = json_array ();
  while (json_array_size (permits) < (size_t)count && issue (limit, reach_us, node->now, &due_at))
    json_array_append_new (permits, json_integer ((json_int_t)(due_at - node->now)));
  full_us = full_for_us (limit, reach_us, node->now);
  log_grant (limit, from, (guint)count, (guint)json_array_size (permits), full_us, outbox);
  answer
      = json_pack ("{s:s, s:i, s:I, s:I, s:o, s:I, s:o}", "kind", "permits", "format",
                   FORMAT_VERSION, "id", json_integer_value (json_object_get (message, "id")),
                   "traffic", json_integer_value (json_object_get (message, "traffic")), "after_us",
                   permits, "full_us", (json_int_t)full_us, "limit", gspan_limits_encode (limit));
  gspan_peers_send_to (udp, answer, outbox);
  json_decref (answer);
}

/* The pool whose question MESSAGE answers; NULL where it has none such. */
static struct GspanPermitPool *
pool_answered (struct GspanNode *node, json_t *message, struct GspanLimit **limit)
{
  json_t *statement = json_object_get (message, "limit");
  const char *upstream = json_string_value (json_object_get (statement, "upstream"));
  json_int_t traffic = json_integer_value (json_object_get (message, "traffic"));
  json_int_t id = json_integer_value (json_object_get (message, "id"));
  struct GspanPermitPool *pool;

  *limit = upstream != NULL ? g_hash_table_lookup (node->rate_limits.items, upstream) : NULL;
  if (*limit == NULL || traffic < 0 || traffic >= GSPAN_TRAFFIC_COUNT)
    return NULL;
  pool = &(*limit)->pools[traffic];
  return pool->ask != 0 && pool->ask == (guint64)id ? pool : NULL;
}

void
gspan_permits_receive_grant (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  json_t *statement = json_object_get (message, "limit");
  json_int_t full_us = json_integer_value (json_object_get (message, "full_us"));
  const char *by = json_string_value (json_object_get (statement, "allocator"));
  struct GspanPermitPool *pool;
  struct GspanLimit *limit;
  enum GspanTraffic traffic;
  json_t *after_us;
  size_t index;

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION || by == NULL)
    return;
  gspan_limits_merge (node, statement, outbox);
  pool = pool_answered (node, message, &limit);
  /* who was asked isn't the allocator any more: the one that it names is asked at the next tick */
  if (pool == NULL || !limit->holds || strcmp (by, limit->allocator) != 0)
    return;
  json_array_foreach (json_object_get (message, "after_us"), index, after_us)
  {
    add_permit (pool,
                node->now
                    + (guint64)CLAMP (json_integer_value (after_us), 0, (json_int_t)REACH_MAX_US));
  }
  traffic = (enum GspanTraffic)json_integer_value (json_object_get (message, "traffic"));
  end_ask (node, pool, traffic, (guint)index,
           (guint64)CLAMP (full_us, 0, (json_int_t)(10 * GSPAN_SECOND)));
}

static void
check_ask (struct GspanNode *node, struct GspanLimit *limit, enum GspanTraffic traffic,
           struct GspanOutbox *outbox)
{
  struct GspanPermitPool *pool = &limit->pools[traffic];

  if (pool->ask == 0 || node->now < pool->asked_at + ASK_TIMEOUT_US)
    return;
  if (!limit->holds)
    {
      pool->ask = 0;
      return;
    }
  if (pool->tries >= TRIES_MAX && !gspan_limits_is_allocator (node, limit))
    gspan_limits_take_over (node, limit, outbox);
  send_ask (node, limit, traffic, outbox);
}

void
gspan_permits_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->rate_limits.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      for (int traffic = 0; traffic < GSPAN_TRAFFIC_COUNT; traffic++)
        check_ask (node, value, (enum GspanTraffic)traffic, outbox);
    }
}

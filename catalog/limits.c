#include "catalog/limits.h"

#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

#define TELL_AGAIN_US (100 * GSPAN_MS)
#define REMIND_US (GSPAN_SECOND)     /* of limits that hold, by their allocators */
#define KEPT_US (120 * GSPAN_SECOND) /* of limits that ended and of replicas that are gone */
#define SETTLE_US (150 * GSPAN_MS)   /* until nodes that became allocators at once agree on one */
#define SAME_LIMIT 0.001             /* requests a second */

enum
{
  TELL_TIMES = 3,
  STATEMENTS_MAX = 64, /* in a datagram, of some 12 KB */
  MILLI = 1000,        /* limits in messages and log lines are thousandths of a request a second */
  INCARNATION_SHIFT = 20, /* leaves room for that many questions, within a signed number */
  FORMAT_VERSION = 1
};

static void
limit_free (gpointer data)
{
  struct GspanLimit *limit = data;

  g_free (limit->upstream);
  g_free (limit->allocator);
  g_free (limit->allocator_udp);
  g_free (limit);
}

void
gspan_limits_init (struct GspanLimits *limits, guint32 incarnation)
{
  *limits = (struct GspanLimits){ 0 };
  limits->last_ask = (guint64)incarnation << INCARNATION_SHIFT;
  limits->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, limit_free);
}

void
gspan_limits_finish (struct GspanLimits *limits)
{
  g_hash_table_unref (limits->items);
}

struct GspanLimit *
gspan_limits_find (const struct GspanLimits *limits, const struct GspanReplica *replica)
{
  struct GspanLimit *limit;

  if (g_hash_table_size (limits->items) == 0)
    return NULL;
  limit = g_hash_table_lookup (limits->items, replica->id);
  /* a later start that the list doesn't show yet is what answers at the address by now */
  return limit != NULL && limit->born >= replica->born && limit->holds ? limit : NULL;
}

bool
gspan_limits_is_allocator (const struct GspanNode *node, const struct GspanLimit *limit)
{
  return strcmp (limit->allocator, node->self.name) == 0;
}

guint
gspan_limits_count (const struct GspanLimits *limits)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limits->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const struct GspanLimit *)value)->holds;
  return count;
}

static guint64
to_milli (double per_s)
{
  return (guint64)llround (per_s * MILLI);
}

static void
log_limit (const struct GspanLimit *limit, const char *source, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, limit->holds ? "upstream-limited" : "upstream-unlimited");
  gspan_line_cstr (&line, "upstream", limit->upstream);
  gspan_line_u64 (&line, "limit_mrps", limit->holds ? to_milli (limit->requests_per_s) : 0);
  gspan_line_cstr (&line, "source", source);
  gspan_line_u64 (&line, "version", limit->version);
  gspan_line_cstr (&line, "allocator", limit->allocator);
  gspan_outbox_log (outbox, "limits", GSPAN_PRIORITY_INFO, &line);
}

static void
set_allocator (struct GspanLimit *limit, const char *name, const char *udp)
{
  if (g_strcmp0 (limit->allocator, name) != 0)
    {
      g_free (limit->allocator);
      limit->allocator = g_strdup (name);
    }
  if (g_strcmp0 (limit->allocator_udp, udp) != 0)
    {
      g_free (limit->allocator_udp);
      limit->allocator_udp = g_strdup (udp);
    }
}

json_t *
gspan_limits_encode (const struct GspanLimit *limit)
{
  return json_pack ("{s:s, s:I, s:b, s:I, s:I, s:s, s:s}", "upstream", limit->upstream, "born",
                    (json_int_t)limit->born, "holds", limit->holds, "mrps",
                    (json_int_t)to_milli (limit->requests_per_s), "version",
                    (json_int_t)limit->version, "allocator", limit->allocator, "udp",
                    limit->allocator_udp);
}

static bool
is_due (const struct GspanNode *node, const struct GspanLimit *limit)
{
  if (limit->tell_again > 0)
    return limit->told_at == 0 || node->now >= limit->told_at + TELL_AGAIN_US;
  return limit->holds && gspan_limits_is_allocator (node, limit)
         && node->now >= limit->told_at + REMIND_US;
}

/* Takes over LIST, of statements. */
static json_t *
message_of (json_t *list)
{
  return json_pack ("{s:s, s:i, s:o}", "kind", "limits", "format", FORMAT_VERSION, "limits", list);
}

void
gspan_limits_tell_one (const struct GspanLimit *limit, const char *udp_address,
                       struct GspanOutbox *outbox)
{
  json_t *list = json_array ();
  json_t *message;

  json_array_append_new (list, gspan_limits_encode (limit));
  message = message_of (list);
  gspan_peers_send_to (udp_address, message, outbox);
  json_decref (message);
}

static void
tell_due (struct GspanNode *node, struct GspanOutbox *outbox)
{
  json_t *list = json_array ();
  json_t *message;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->rate_limits.items);
  while (json_array_size (list) < STATEMENTS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanLimit *limit = value;

      if (!is_due (node, limit))
        continue;
      limit->told_at = node->now;
      limit->tell_again -= MIN (limit->tell_again, 1U);
      json_array_append_new (list, gspan_limits_encode (limit));
    }
  message = message_of (list);
  if (json_array_size (list) > 0)
    gspan_peers_send_all (node, message, outbox);
  json_decref (message);
}

/* Writes the next version of the statement and tells the others. */
static void
publish (struct GspanNode *node, struct GspanLimit *limit, const char *source,
         struct GspanOutbox *outbox)
{
  limit->version++;
  limit->told_at = 0;
  limit->tell_again = TELL_TIMES;
  limit->rate.per_s = limit->requests_per_s;
  log_limit (limit, source, outbox);
  tell_due (node, outbox);
}

/* The record of UPSTREAM's incarnation, or of a later one that is known; it replaces older ones. */
static struct GspanLimit *
record_of (struct GspanLimits *limits, const char *upstream, guint64 born)
{
  struct GspanLimit *limit = g_hash_table_lookup (limits->items, upstream);

  if (limit != NULL && limit->born >= born)
    return limit;
  limit = g_new0 (struct GspanLimit, 1);
  limit->upstream = g_strdup (upstream);
  limit->born = born;
  set_allocator (limit, "", "");
  g_hash_table_replace (limits->items, limit->upstream, limit);
  return limit;
}

/* This node begins to issue permits for LIMIT. */
static void
start_issuing (const struct GspanNode *node, struct GspanLimit *limit)
{
  gspan_rate_init_used (&limit->rate, limit->requests_per_s, node->now);
  limit->issues_from = node->now + SETTLE_US;
}

/*
 * Drops the permits that are not used yet. They may be for times up to two seconds ahead, and the
 * next allocator doesn't know of them: it issues its own for the same time.
 */
static void
drop_permits (struct GspanLimit *limit)
{
  for (int traffic = 0; traffic < GSPAN_TRAFFIC_COUNT; traffic++)
    limit->pools[traffic].count = 0;
}

static void
become_allocator (const struct GspanNode *node, struct GspanLimit *limit)
{
  set_allocator (limit, node->self.name, node->self.udp_address);
  drop_permits (limit);
  start_issuing (node, limit);
}

/* Has questions under way asked again, at another allocator than before. */
static void
restart_asks (struct GspanLimit *limit)
{
  for (int traffic = 0; traffic < GSPAN_TRAFFIC_COUNT; traffic++)
    {
      limit->pools[traffic].asked_at = 0;
      limit->pools[traffic].tries = 0;
    }
}

static void
note_limit (struct GspanNode *node, const struct GspanReplica *replica, double requests_per_s,
            struct GspanOutbox *outbox)
{
  struct GspanLimit *limit = record_of (&node->rate_limits, replica->id, replica->born);

  limit->learned_at = node->now;
  if (limit->holds && fabs (limit->requests_per_s - requests_per_s) < SAME_LIMIT)
    return;
  limit->requests_per_s = requests_per_s;
  if (!limit->holds)
    become_allocator (node, limit);
  limit->holds = true;
  publish (node, limit, "answer", outbox);
}

void
gspan_limits_note_answer (struct GspanNode *node, const struct GspanReplica *replica,
                          const struct GspanWireResponse *answer, guint64 sent_at,
                          struct GspanOutbox *outbox)
{
  struct GspanLimit *limit;

  /* a misdirected request is answered by another replica */
  if (answer->misdirected)
    return;
  if (answer->has_limit)
    {
      note_limit (node, replica, answer->requests_per_s, outbox);
      return;
    }
  limit = gspan_limits_find (&node->rate_limits, replica);
  if (limit == NULL || !answer->signed_by_replica || sent_at <= limit->learned_at)
    return;
  limit->holds = false;
  publish (node, limit, "answer", outbox);
}

void
gspan_limits_take_over (struct GspanNode *node, struct GspanLimit *limit,
                        struct GspanOutbox *outbox)
{
  become_allocator (node, limit);
  publish (node, limit, "take-over", outbox);
}

/* A statement as decoded from a message. Strings are borrowed. */
struct Statement
{
  const char *upstream;
  const char *allocator;
  const char *allocator_udp;
  guint64 born;
  guint64 version;
  bool holds;
  double requests_per_s;
};

static bool
decode (json_t *value, struct Statement *statement)
{
  json_int_t mrps = json_integer_value (json_object_get (value, "mrps"));

  *statement = (struct Statement){ 0 };
  statement->upstream = json_string_value (json_object_get (value, "upstream"));
  statement->allocator = json_string_value (json_object_get (value, "allocator"));
  statement->allocator_udp = json_string_value (json_object_get (value, "udp"));
  statement->born = (guint64)json_integer_value (json_object_get (value, "born"));
  statement->version = (guint64)json_integer_value (json_object_get (value, "version"));
  statement->holds = json_is_true (json_object_get (value, "holds"));
  statement->requests_per_s = (double)MAX (0, mrps) / MILLI;
  return statement->upstream != NULL && statement->allocator != NULL
         && statement->allocator_udp != NULL && statement->version > 0;
}

/*
 * True if STATEMENT goes before what LIMIT says. Of equal versions the stricter one does, so that
 * all nodes keep the same one in whatever order they hear them.
 */
static bool
goes_before (const struct Statement *statement, const struct GspanLimit *limit)
{
  guint64 mrps = to_milli (statement->requests_per_s);
  guint64 known_mrps = to_milli (limit->requests_per_s);

  if (statement->version != limit->version)
    return statement->version > limit->version;
  if (statement->holds != limit->holds)
    return statement->holds;
  if (mrps != known_mrps)
    return mrps < known_mrps;
  return strcmp (statement->allocator, limit->allocator) < 0;
}

void
gspan_limits_merge (struct GspanNode *node, json_t *value, struct GspanOutbox *outbox)
{
  struct Statement statement;
  struct GspanLimit *limit;
  bool is_news;
  bool is_moved;

  if (!decode (value, &statement))
    return;
  limit = record_of (&node->rate_limits, statement.upstream, statement.born);
  if (limit->born > statement.born || !goes_before (&statement, limit))
    return;
  if (statement.holds)
    limit->learned_at = node->now;
  is_moved = strcmp (statement.allocator, limit->allocator) != 0;
  is_news = limit->holds != statement.holds;
  limit->version = statement.version;
  limit->holds = statement.holds;
  limit->requests_per_s = statement.requests_per_s;
  limit->tell_again = 0;
  set_allocator (limit, statement.allocator, statement.allocator_udp);
  if (is_moved && gspan_limits_is_allocator (node, limit))
    start_issuing (node, limit);
  if (is_moved)
    {
      drop_permits (limit);
      restart_asks (limit);
    }
  limit->rate.per_s = limit->requests_per_s;
  if (is_news)
    log_limit (limit, "peer", outbox);
}

void
gspan_limits_receive (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  json_t *value;
  size_t index;

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION)
    return;
  json_array_foreach (json_object_get (message, "limits"), index, value)
  {
    gspan_limits_merge (node, value, outbox);
  }
}

static gboolean
is_stale (gpointer key, gpointer value, gpointer user)
{
  const struct GspanLimit *limit = value;
  const struct GspanNode *node = user;
  bool is_gone = !g_hash_table_contains (node->catalog.replicas, key);

  return (!limit->holds || is_gone)
         && MAX (limit->learned_at, limit->told_at) + KEPT_US < node->now;
}

void
gspan_limits_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  if (g_hash_table_size (node->rate_limits.items) == 0)
    return;
  g_hash_table_foreach_remove (node->rate_limits.items, is_stale, node);
  tell_due (node, outbox);
}

#include "links/links.h"

#include "common/clock.h"
#include "node/node.h"

#define CHECK_TIMEOUT_US (250 * GSPAN_MS)  /* several round trips between availability zones */
#define PAUSE_LEAST_US (200 * GSPAN_MS)    /* by which an event loop that runs is never late */
#define ROUND_INTERVAL_US (400 * GSPAN_MS) /* between two rounds of checks */
#define DOUBT_INTERVAL_US (150 * GSPAN_MS) /* between two checks of one link for doubts */
#define CONFIRMED_US (600 * GSPAN_MS)      /* the next round has checked a link again by then */
#define PROOF_LASTS_US (200 * GSPAN_MS)    /* a replica heard before that says nothing of now */

enum
{
  CHECKS_MAX = 12,   /* under way */
  SAMPLE = 4,        /* links that are checked to tell whether the node is cut off */
  ROUND_CHECKS = 3,  /* links that are checked again in a round */
  CHECKS_TO_BACK = 4 /* of two rounds at least, since a cut may flap */
};

struct GspanLink
{
  struct GspanReplica *replica;
  guint64 since;
  guint64 checked_at;
};

struct GspanLinkCheck
{
  guint64 id;
  struct GspanReplica *replica;
  guint64 sent_at;
};

static void
link_free (gpointer data)
{
  struct GspanLink *link = data;

  gspan_replica_unref (link->replica);
  g_free (link);
}

static void
check_free (gpointer data)
{
  struct GspanLinkCheck *check = data;

  gspan_replica_unref (check->replica);
  g_free (check);
}

void
gspan_links_init (struct GspanLinks *links)
{
  *links = (struct GspanLinks){ 0 };
  links->down = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, link_free);
  links->checks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, check_free);
}

void
gspan_links_finish (struct GspanLinks *links)
{
  g_hash_table_unref (links->checks);
  g_hash_table_unref (links->down);
}

bool
gspan_links_proven_since (const struct GspanLinks *links, guint64 since)
{
  return links->heard_at != 0 && links->heard_at >= since;
}

guint64
gspan_links_heard_age (const struct GspanNode *node)
{
  return node->links.heard_at != 0 ? node->now - node->links.heard_at : G_MAXUINT64;
}

bool
gspan_links_is_down (const struct GspanLinks *links, const struct GspanReplica *replica)
{
  return links->cut || g_hash_table_contains (links->down, replica->id);
}

bool
gspan_links_is_surely_down (const struct GspanNode *node, const struct GspanReplica *replica)
{
  const struct GspanLink *link = g_hash_table_lookup (node->links.down, replica->id);

  return node->links.cut || (link != NULL && node->now >= link->since + CONFIRMED_US);
}

static void
log_links (const struct GspanNode *node, const char *event, const struct GspanReplica *replica,
           struct GspanOutbox *outbox)
{
  const struct GspanLinks *links = &node->links;
  struct GspanLine line;

  gspan_line_init (&line, event);
  if (replica != NULL)
    gspan_line_cstr (&line, "upstream", replica->id);
  gspan_line_u64 (&line, "down", g_hash_table_size (links->down));
  gspan_line_u64 (&line, "upstreams", g_hash_table_size (node->catalog.replicas));
  gspan_line_u64 (&line, "failed_checks", links->failed_checks);
  gspan_line_u64 (&line, "heard_us", gspan_links_heard_age (node));
  gspan_line_u64 (&line, "cut_us", links->cut_at != 0 ? node->now - links->cut_at : 0);
  gspan_outbox_log (outbox, "links", replica != NULL ? GSPAN_PRIORITY_INFO : GSPAN_PRIORITY_NOTICE,
                    &line);
}

static bool
is_under_check (const struct GspanLinks *links, const struct GspanReplica *replica)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->checks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((const struct GspanLinkCheck *)value)->replica == replica)
        return true;
    }
  return false;
}

static void
start_check (struct GspanNode *node, struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_LINKS, gspan_node_next_id (node) };
  struct GspanLinkCheck *check;
  struct GspanActionHttp *http;

  if (g_hash_table_size (node->links.checks) >= CHECKS_MAX
      || is_under_check (&node->links, replica))
    return;
  check = g_new0 (struct GspanLinkCheck, 1);
  check->id = ref.id;
  check->replica = gspan_replica_ref (replica);
  check->sent_at = node->now;
  g_hash_table_insert (node->links.checks, &check->id, check);
  http = &gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref)->u.http;
  http->method = g_strdup ("GET");
  http->url = g_strdup_printf ("http://%s/", replica->address);
  http->timeout_us = CHECK_TIMEOUT_US;
  http->connect_only = true;
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_LINK_CHECKS, 1);
}

/* Checks the links to COUNT replicas, beginning at one drawn by lot. */
static void
check_by_lot (struct GspanNode *node, guint count, struct GspanOutbox *outbox)
{
  GList *replicas = g_hash_table_get_values (node->catalog.replicas);
  guint total = g_list_length (replicas);
  guint first = total > 0 ? g_rand_int (node->random) % total : 0;

  for (guint i = 0; i < total && count > 0; i++)
    {
      struct GspanReplica *replica = g_list_nth_data (replicas, (first + i) % total);

      if (replica->removed || replica->misdirected || is_under_check (&node->links, replica))
        continue;
      start_check (node, replica, outbox);
      count--;
    }
  g_list_free (replicas);
}

void
gspan_links_check_one (struct GspanNode *node, struct GspanOutbox *outbox)
{
  if (g_hash_table_size (node->links.checks) == 0)
    check_by_lot (node, 1, outbox);
}

void
gspan_links_note_heard (struct GspanNode *node)
{
  struct GspanLinks *links = &node->links;

  links->heard_at = node->now;
  if (links->cut)
    return;
  links->doubted_at = 0;
  links->failed_checks = 0;
}

void
gspan_links_note_silence (struct GspanNode *node, struct GspanReplica *replica,
                          struct GspanOutbox *outbox)
{
  const struct GspanLink *link = g_hash_table_lookup (node->links.down, replica->id);

  if (node->links.cut || replica->removed || replica->misdirected
      || (link != NULL && node->now < link->checked_at + DOUBT_INTERVAL_US))
    return;
  start_check (node, replica, outbox);
}

void
gspan_links_note_failure (struct GspanNode *node, struct GspanReplica *replica,
                          struct GspanOutbox *outbox)
{
  gspan_links_note_silence (node, replica, outbox);
  if (!node->links.cut
      && !gspan_links_proven_since (&node->links, node->now - MIN (node->now, PROOF_LASTS_US)))
    check_by_lot (node, SAMPLE - 1, outbox);
}

/* Failures so far came of the link: they say nothing against REPLICA. */
static void
forget_failures (struct GspanReplica *replica)
{
  replica->failures = 0;
  replica->avoid_until = 0;
}

static void
set_down (struct GspanNode *node, struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  struct GspanLink *link = g_hash_table_lookup (node->links.down, replica->id);

  if (link == NULL)
    {
      link = g_new0 (struct GspanLink, 1);
      link->replica = gspan_replica_ref (replica);
      link->since = node->now;
      g_hash_table_insert (node->links.down, link->replica->id, link);
      log_links (node, "link-down", replica, outbox);
      forget_failures (replica);
    }
  link->checked_at = node->now;
}

static void
set_up (struct GspanNode *node, struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  if (!g_hash_table_remove (node->links.down, replica->id))
    return;
  log_links (node, "link-up", replica, outbox);
  forget_failures (replica);
}

static void
set_cut (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanLinks *links = &node->links;
  GHashTableIter iter;
  gpointer value;

  links->cut = true;
  links->cut_at = node->now;
  links->checks_to_back = CHECKS_TO_BACK;
  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    forget_failures (value);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_LINK_CUTS, 1);
  gspan_relay_offers_want (node, outbox);
  log_links (node, "links-cut", NULL, outbox);
}

static void
set_restored (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanLinks *links = &node->links;

  links->cut = false;
  links->doubted_at = 0;
  links->failed_checks = 0;
  log_links (node, "links-back", NULL, outbox);
  links->cut_at = 0;
  g_hash_table_remove_all (links->down);
}

/* Checks that have to fail, without a replica heard since, until the node holds itself cut off. */
static guint
checks_to_cut (const struct GspanNode *node)
{
  return MAX (1, MIN (SAMPLE, g_hash_table_size (node->catalog.replicas)));
}

static void
on_check_failed (struct GspanNode *node, const struct GspanLinkCheck *check,
                 struct GspanOutbox *outbox)
{
  struct GspanLinks *links = &node->links;

  gspan_metrics_add (&node->metrics, GSPAN_METRIC_LINK_CHECKS_FAILED, 1);
  set_down (node, check->replica, outbox);
  links->checks_to_back = MIN (links->checks_to_back + 1, CHECKS_TO_BACK);
  if (links->cut || gspan_links_proven_since (links, check->sent_at))
    return;
  if (links->doubted_at == 0)
    links->doubted_at = check->sent_at;
  links->failed_checks++;
  if (links->failed_checks >= checks_to_cut (node))
    set_cut (node, outbox);
  else if (g_hash_table_size (links->checks) == 0)
    check_by_lot (node, SAMPLE, outbox);
}

/* True if CHECK ended far later than its timeout: the process was paused, not the link down. */
static bool
is_inconclusive (const struct GspanNode *node, const struct GspanLinkCheck *check)
{
  return node->now > check->sent_at + CHECK_TIMEOUT_US + PAUSE_LEAST_US;
}

static void
on_check_passed (struct GspanNode *node, const struct GspanLinkCheck *check,
                 struct GspanOutbox *outbox)
{
  struct GspanLinks *links = &node->links;

  gspan_links_note_heard (node);
  gspan_crash_reports_links_stand (node, check->sent_at, outbox);
  set_up (node, check->replica, outbox);
  if (links->cut && --links->checks_to_back == 0)
    set_restored (node, outbox);
}

static void
on_check_done (struct GspanNode *node, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  struct GspanLinkCheck *check = g_hash_table_lookup (node->links.checks, &event->ref.id);

  if (check == NULL)
    return;
  g_hash_table_steal (node->links.checks, &event->ref.id);
  if (event->u.http.result == GSPAN_HTTP_COMPLETE)
    on_check_passed (node, check, outbox);
  else if (!is_inconclusive (node, check))
    on_check_failed (node, check, outbox);
  check_free (check);
}

/* Drops links to replicas that are gone or have started anew under their id. */
static void
drop_outdated (struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, node->links.down);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct GspanLink *link = value;

      if (link->replica->removed
          || g_hash_table_lookup (node->catalog.replicas, key) != link->replica)
        g_hash_table_iter_remove (&iter);
    }
}

/* Checks the links that are down again, those first whose last check is the oldest. */
static void
check_down (struct GspanNode *node, struct GspanOutbox *outbox)
{
  for (guint i = 0; i < ROUND_CHECKS; i++)
    {
      struct GspanLink *oldest = NULL;
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, node->links.down);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct GspanLink *link = value;

          if (link->checked_at < node->now
              && (oldest == NULL || link->checked_at < oldest->checked_at))
            oldest = link;
        }
      if (oldest == NULL)
        return;
      oldest->checked_at = node->now;
      start_check (node, oldest->replica, outbox);
    }
}

static bool
all_links_up (const struct GspanLinks *links)
{
  return !links->cut && g_hash_table_size (links->down) == 0;
}

void
gspan_links_update_reach (struct GspanNode *node)
{
  bool all_up = all_links_up (&node->links);
  enum GspanReach other = gspan_relay_offers_any (node) ? GSPAN_REACH_BY_RELAY : GSPAN_REACH_NONE;
  GHashTableIter iter;
  gpointer value;

  if (all_up && node->links.reach_is_direct)
    return;
  node->links.reach_is_direct = all_up;
  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanReplica *replica = value;

      replica->reach = gspan_links_is_down (&node->links, replica) ? other : GSPAN_REACH_DIRECT;
    }
}

/* True if no replica of some service is reached over a link of this node. */
static bool
misses_a_service (const struct GspanNode *node)
{
  GHashTable *reached = g_hash_table_new (g_str_hash, g_str_equal); /* service to whether one is */
  bool misses = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;
      bool direct = !gspan_links_is_down (&node->links, replica);

      if (direct || !g_hash_table_contains (reached, replica->service))
        g_hash_table_replace (reached, replica->service, GINT_TO_POINTER (direct));
    }
  g_hash_table_iter_init (&iter, reached);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    misses = misses || !GPOINTER_TO_INT (value);
  g_hash_table_unref (reached);
  return misses;
}

static void
check_again (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanLinks *links = &node->links;

  if (node->now < links->checked_at + ROUND_INTERVAL_US)
    return;
  links->checked_at = node->now;
  if (links->cut || misses_a_service (node))
    gspan_relay_offers_want (node, outbox);
  if (links->cut)
    check_by_lot (node, ROUND_CHECKS, outbox);
  else
    check_down (node, outbox);
}

void
gspan_links_handle (struct GspanNode *node, const struct GspanEvent *event,
                    struct GspanOutbox *outbox)
{
  struct GspanLinks *links = &node->links;

  if (event->kind == GSPAN_EVENT_HTTP_DONE)
    on_check_done (node, event, outbox);
  else if (!all_links_up (links))
    {
      drop_outdated (node);
      check_again (node, outbox);
    }
  gspan_links_update_reach (node);
}

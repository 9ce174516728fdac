#include "catalog/outage.h"

#include "common/clock.h"
#include "node/node.h"

/*
 * In an outage, entries expire after several heartbeats. Replicas that are alive register again
 * within about two seconds after its end.
 */
#define OUTAGE_LEAST_US (GSPAN_SECOND)
#define LAPSE_GRACE_US (2 * GSPAN_SECOND)

void
gspan_outage_set (struct GspanNode *node, bool fails, enum GspanStoreResult result,
                  struct GspanOutbox *outbox)
{
  struct GspanCatalog *catalog = &node->catalog;
  struct GspanLine line;

  if (fails)
    catalog->store_failed_at = node->now;
  if (fails == catalog->store_fails)
    return;
  catalog->store_fails = fails;
  gspan_line_init (&line, fails ? "store-lost" : "store-regained");
  gspan_line_cstr (&line, "result", gspan_store_result_name (result));
  gspan_line_u64 (&line, "failures", catalog->failures);
  gspan_line_u64 (&line, "silent_us", node->now - catalog->store_ok_at);
  gspan_line_u64 (&line, "lapse_us",
                  catalog->outage.lapse_until - MIN (node->now, catalog->outage.lapse_until));
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_WARNING, &line);
}

void
gspan_outage_note_failure (struct GspanNode *node, const struct GspanStoreCall *call)
{
  node->catalog.store_failed_at = node->now;
  if (call->op != GSPAN_STORE_WATCH && call->sent_at_us > node->catalog.store_ok_at)
    node->catalog.store_failed = true;
}

void
gspan_outage_note_told_failure (struct GspanCatalog *catalog, const char *teller, guint64 at)
{
  if (at <= catalog->told_failed_at)
    return;
  catalog->told_failed_at = at;
  g_free (catalog->told_failed_by);
  catalog->told_failed_by = g_strdup (teller);
}

guint64
gspan_outage_last_failure (const struct GspanCatalog *catalog, const char *except)
{
  if (g_strcmp0 (catalog->told_failed_by, except) == 0)
    return catalog->store_failed_at;
  return MAX (catalog->store_failed_at, catalog->told_failed_at);
}

/* The last time at which this node knew by any way what the store held. */
static guint64
last_heard_at (const struct GspanCatalog *catalog)
{
  return MAX (catalog->store_ok_at, catalog->replicas_as_of);
}

/* True if an outage ends now that may have been long enough for entries to expire. */
static bool
ends_outage (const struct GspanNode *node)
{
  const struct GspanCatalog *catalog = &node->catalog;

  return catalog->store_failed && node->now - last_heard_at (catalog) >= OUTAGE_LEAST_US;
}

/* True where the store served another node all through the last outage of this one. */
static bool
served_another (const struct GspanNode *node)
{
  const struct GspanOutage *outage = &node->catalog.outage;

  return outage->told_at != 0 && node->now <= outage->told_at + OUTAGE_LEAST_US
         && outage->told_served_since <= outage->began_at;
}

/* No entry that is missing has expired: those that were kept are gone. */
static void
end_lapse (struct GspanNode *node)
{
  struct GspanOutage *outage = &node->catalog.outage;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanReplica *replica = value;

      replica->remove_at = MIN (replica->remove_at, node->now);
    }
  outage->lapse_until = 0;
  outage->was_own = true;
}

void
gspan_outage_note_told_service (struct GspanNode *node, guint64 served_us)
{
  struct GspanOutage *outage = &node->catalog.outage;

  outage->told_at = node->now;
  outage->told_served_since = node->now - MIN (node->now, served_us);
  if (node->now < outage->lapse_until && served_another (node))
    end_lapse (node);
}

bool
gspan_outage_was_own (const struct GspanNode *node)
{
  const struct GspanCatalog *catalog = &node->catalog;

  return catalog->outage.was_own && catalog->replicas_proven_at < catalog->outage.ended_at;
}

guint64
gspan_outage_served_us (const struct GspanCatalog *catalog, guint64 now)
{
  return catalog->outage.ended_at != 0 ? now - catalog->outage.ended_at : 0;
}

void
gspan_outage_note_answer (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCatalog *catalog = &node->catalog;
  struct GspanOutage *outage = &catalog->outage;

  if (ends_outage (node))
    {
      outage->began_at = last_heard_at (catalog);
      outage->ended_at = node->now;
      outage->was_own = served_another (node);
      outage->lapse_until = outage->was_own ? 0 : node->now + LAPSE_GRACE_US;
    }
  if (outage->ended_at == 0)
    outage->ended_at = node->now;
  catalog->store_failed = false;
  catalog->failures = 0;
  gspan_outage_set (node, false, GSPAN_STORE_OK, outbox);
  catalog->store_ok_at = node->now;
}

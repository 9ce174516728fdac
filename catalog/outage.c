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

/* True if an outage ends now that may have been long enough for entries to expire. */
static bool
ends_outage (const struct GspanNode *node)
{
  const struct GspanCatalog *catalog = &node->catalog;

  return catalog->store_failed
         && node->now - MAX (catalog->store_ok_at, catalog->replicas_as_of) >= OUTAGE_LEAST_US;
}

void
gspan_outage_note_answer (struct GspanNode *node, struct GspanOutbox *outbox)
{
  if (ends_outage (node))
    node->catalog.lapse_until = node->now + LAPSE_GRACE_US;
  node->catalog.store_failed = false;
  node->catalog.failures = 0;
  gspan_outage_set (node, false, GSPAN_STORE_OK, outbox);
  node->catalog.store_ok_at = node->now;
}

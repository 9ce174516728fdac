#include "catalog/proof.h"

#include "common/clock.h"
#include "node/node.h"

#define COMPARE_AGAIN_US (700 * GSPAN_MS) /* after a list that left a difference */

/* A replica that serves is registered for longer than the drain notice. */
static bool
ends_gap (const struct GspanNode *node, guint64 at, gint64 wall_ms)
{
  const struct GspanCatalog *catalog = &node->catalog;
  guint64 notice_us = node->limits.drain_notice_us;

  return catalog->replicas_proven_at != 0
         && (at > catalog->replicas_proven_at + notice_us
             || wall_ms > catalog->replicas_proven_wall_ms + (gint64)(notice_us / GSPAN_MS));
}

void
gspan_proof_note (struct GspanNode *node, guint64 age_us)
{
  struct GspanCatalog *catalog = &node->catalog;
  guint64 at = node->now - MIN (node->now, age_us);
  gint64 wall_ms = node->wall_ms - (gint64)(age_us / GSPAN_MS);

  if (ends_gap (node, at, wall_ms))
    catalog->replicas_gap_at = node->now;
  catalog->replicas_proven_at = MAX (catalog->replicas_proven_at, at);
  catalog->replicas_proven_wall_ms = wall_ms;
}

void
gspan_proof_claim (struct GspanNode *node, guint64 revision)
{
  struct GspanCatalog *catalog = &node->catalog;
  struct GspanFollower *follower = &catalog->followers[GSPAN_FOLLOW_REPLICAS];

  follower->revision = MAX (follower->revision, revision);
  gspan_proof_note (node, node->now - catalog->replicas_as_of);
  gspan_feed_reset (&catalog->feed, follower->revision);
}

bool
gspan_proof_has_digest (const struct GspanCatalog *catalog)
{
  const struct GspanFollower *follower = &catalog->followers[GSPAN_FOLLOW_REPLICAS];

  return follower->synced && follower->listing.after == NULL
         && follower->newest_read <= follower->revision;
}

/* What is known here is of REVISION, whatever of it another node has told. */
static bool
is_comparable (const struct GspanFollower *follower, guint64 revision)
{
  return follower->listing.after == NULL && follower->revision <= revision
         && follower->newest_read <= revision;
}

enum GspanComparison
gspan_proof_compare (struct GspanNode *node, guint64 revision, guint64 digest,
                     struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[GSPAN_FOLLOW_REPLICAS];
  struct GspanLine line;

  if (!is_comparable (follower, revision))
    return GSPAN_COMPARISON_NONE;
  if (follower->known.digest == digest)
    return GSPAN_COMPARISON_SAME;
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_REPLICAS_DIFFER, 1);
  gspan_line_init (&line, "replicas-differ");
  gspan_line_u64 (&line, "revision", revision);
  gspan_line_u64 (&line, "known_revision", follower->revision);
  gspan_line_u64 (&line, "known", g_hash_table_size (follower->known.revisions));
  gspan_line_u64 (&line, "list_age_us", node->now - follower->listed_at);
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_WARNING, &line);
  follower->in_doubt = true;
  follower->next_at = MAX (node->now, follower->listed_at + COMPARE_AGAIN_US);
  return GSPAN_COMPARISON_DIFFERENT;
}

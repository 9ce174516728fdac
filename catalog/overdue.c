#include "catalog/overdue.h"

#include "catalog/catalog.h"
#include "node/node.h"

enum
{
  OVERDUE_NOTICES = 2 /* times the drain notice */
};

/* Time from which this node waits to learn the state of WHICH; 0 where it doesn't. */
static guint64
waits_since (const struct GspanCatalog *catalog, enum GspanFollowed which)
{
  const struct GspanFollower *follower = &catalog->followers[which];

  if (!follower->synced || catalog->store_fails)
    return 0;
  switch (which)
    {
    case GSPAN_FOLLOW_REPLICAS:
      return catalog->replicas_proven_at;
    case GSPAN_FOLLOW_CONFIG:
    case GSPAN_FOLLOW_NODES:
    case GSPAN_FOLLOW_VERDICTS:
      return follower->newest < follower->fed_newest ? follower->missing_since : 0;
    case GSPAN_FOLLOW_JOBS:
    case GSPAN_FOLLOW_RETIREMENTS:
    case GSPAN_FOLLOW_WEIGHTS:
    case GSPAN_FOLLOW_COUNT:
      break;
    }
  return 0;
}

static void
report (struct GspanNode *node, const struct GspanFollower *follower, guint64 since,
        struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_metrics_add (&node->metrics, GSPAN_METRIC_READS_OVERDUE, 1);
  gspan_line_init (&line, "read-overdue");
  gspan_line_cstr (&line, "kind", follower->kind);
  gspan_line_u64 (&line, "waits_us", node->now - since);
  gspan_line_u64 (&line, "newest", follower->newest);
  gspan_line_u64 (&line, "told_newest", follower->fed_newest);
  gspan_line_cstr (&line, "call",
                   follower->call == 0 ? "none" : (follower->watching ? "watch" : "list"));
  gspan_line_u64 (&line, "called_us", follower->call == 0 ? 0 : node->now - follower->called_at);
  gspan_line_u64 (&line, "list_age_us", node->now - follower->listed_at);
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_WARNING, &line);
}

void
gspan_overdue_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCatalog *catalog = &node->catalog;
  guint64 most = node->limits.drain_notice_us * OVERDUE_NOTICES;

  for (guint i = 0; i < GSPAN_FOLLOW_COUNT; i++)
    {
      struct GspanFollower *follower = &catalog->followers[i];
      guint64 since = waits_since (catalog, i);

      if (since == 0 || node->now < since + most || node->now < follower->overdue_log_at)
        continue;
      report (node, follower, since, outbox);
      follower->overdue_log_at = node->now + most;
    }
}

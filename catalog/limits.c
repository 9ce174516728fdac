#include "catalog/limits.h"

#include "node/node.h"
#include "platform/wire.h"

enum
{
  MILLI = 1000 /* limits in log lines are thousandths of a request a second */
};

void
gspan_limits_note_answer (struct GspanNode *node, struct GspanReplica *replica,
                          const struct GspanWireResponse *answer, struct GspanOutbox *outbox)
{
  guint64 limit = answer->has_limit ? (guint64)(answer->requests_per_s * MILLI) : G_MAXUINT64;
  struct GspanLine line;

  if (answer->misdirected || (!answer->signed_by_replica && !answer->has_limit)
      || limit == replica->named_limit)
    return;
  if (answer->has_limit || replica->named_limit != 0)
    {
      gspan_line_init (&line, answer->has_limit ? "upstream-limited" : "upstream-unlimited");
      gspan_line_cstr (&line, "upstream", replica->id);
      gspan_line_cstr (&line, "service", replica->service);
      gspan_line_u64 (&line, "limit_mrps", answer->has_limit ? limit : 0);
      gspan_line_u64 (&line, "signed", answer->signed_by_replica);
      gspan_line_u64 (&line, "not_run", answer->not_run);
      gspan_line_u64 (&line, "open_there", replica->open);
      gspan_line_u64 (&line, "list_age_us", gspan_catalog_replicas_age (&node->catalog, node->now));
      gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_INFO, &line);
    }
  replica->named_limit = limit;
}

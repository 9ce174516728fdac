#include "records/report.h"

#include "board/board.h"
#include "common/clock.h"

#define PERIOD_US (1 * GSPAN_SECOND)

static json_t *
condition (const char *type, bool holds, const char *reason, const char *message)
{
  return json_pack ("{s:s, s:b, s:s, s:s}", "type", type, "status", holds, "reason", reason,
                    "message", message);
}

static json_t *
describe_conditions (const struct GspanRecordState *state)
{
  json_t *conditions = json_array ();
  bool good = state->findings == NULL;
  bool in_force = state->in_force == state->version;

  json_array_append_new (conditions, condition ("Accepted", good, good ? "Good" : "Findings",
                                                good ? "" : state->findings));
  json_array_append_new (conditions, condition ("InForce", in_force && state->value != NULL,
                                                state->value == NULL ? "Deleted"
                                                : in_force           ? "NewestVersion"
                                                                     : "LastGoodVersion",
                                                ""));
  return conditions;
}

/* Members that have every change up to VERSION, this one among them. */
static guint
count_reached (const struct GspanBoard *board, guint64 version)
{
  guint count = board->records.complete >= version;

  for (guint i = 0; i < board->members.items->len; i++)
    {
      const struct GspanMember *member = g_ptr_array_index (board->members.items, i);

      count += member->state != GSPAN_MEMBER_DEAD && member->records_revision >= version;
    }
  return count;
}

static json_t *
describe (const struct GspanBoard *board, const struct GspanRecordState *state)
{
  return json_pack ("{s:s, s:s, s:I, s:I, s:i, s:i, s:o}", "kind", "record", "owner",
                    board->self.name, "observed_version", (json_int_t)state->version,
                    "in_force_version", (json_int_t)state->in_force, "members",
                    (int)gspan_members_count_live (&board->members) + 1, "members_reached",
                    (int)count_reached (board, state->version), "conditions",
                    describe_conditions (state));
}

static void
report (struct GspanBoard *board, const char *path, const struct GspanRecordState *state)
{
  char *name = g_strdup_printf ("record.%s.%s", gspan_record_kind_name (state->kind), state->name);

  if (!board->draining && gspan_members_owns (&board->members, board->self.name, path))
    gspan_statuses_set (&board->statuses, name, describe (board, state));
  else
    gspan_statuses_drop (&board->statuses, name);
  g_free (name);
}

void
gspan_report_handle (struct GspanBoard *board, const struct GspanEvent *event,
                     struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer path;
  gpointer state;

  (void)outbox;
  if (event->kind != GSPAN_EVENT_TICK || board->self.udp[0] == '\0'
      || board->now < board->report.next_at)
    return;
  board->report.next_at = board->now + PERIOD_US;
  g_hash_table_iter_init (&iter, board->records.states);
  while (g_hash_table_iter_next (&iter, &path, &state))
    report (board, path, state);
}

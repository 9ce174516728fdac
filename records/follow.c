#include "records/follow.h"

#include "board/board.h"
#include "common/clock.h"

#define FOLLOWED_KINDS "pool,attachment,route,upstream"
#define RETRY_US (500 * GSPAN_MS)

static void
log_findings (struct GspanOutbox *outbox, const struct GspanFindings *findings)
{
  for (guint i = 0; i < gspan_findings_count (findings); i++)
    {
      const struct GspanFinding *finding = gspan_findings_get (findings, i);
      struct GspanLine line;

      gspan_line_init (&line, "record-refused");
      gspan_line_cstr (&line, "record", finding->file);
      gspan_line_cstr (&line, "field", finding->key);
      gspan_line_cstr (&line, "finding", finding->text);
      gspan_outbox_log (outbox, "records", GSPAN_PRIORITY_WARNING, &line);
    }
}

static void
log_in_force (struct GspanOutbox *outbox, const char *kind, const char *name, guint64 version)
{
  struct GspanLine line;

  gspan_line_init (&line, "record-in-force");
  gspan_line_cstr (&line, "kind", kind);
  gspan_line_cstr (&line, "name", name);
  gspan_line_u64 (&line, "version", version);
  gspan_outbox_log (outbox, "records", GSPAN_PRIORITY_INFO, &line);
}

static void
apply_object (struct GspanBoard *board, json_t *object, struct GspanOutbox *outbox)
{
  const char *kind_name = json_string_value (json_object_get (object, "kind"));
  const char *name = json_string_value (json_object_get (object, "name"));
  json_t *value = json_object_get (object, "value");
  guint64 version = (guint64)json_integer_value (json_object_get (object, "version"));
  struct GspanFindings findings;
  enum GspanRecordKind kind;

  if (name == NULL || !gspan_record_kind_parse (gspan_str_from (kind_name), &kind))
    return;
  gspan_findings_init (&findings);
  if (json_is_null (value))
    value = NULL;
  if (gspan_records_put (&board->records, kind, name, version, value, &findings))
    log_in_force (outbox, kind_name, name, version);
  log_findings (outbox, &findings);
  gspan_findings_finish (&findings);
}

static void
apply_answer (struct GspanBoard *board, const struct GspanEventObject *answer,
              struct GspanOutbox *outbox)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  json_t *object;
  size_t index;

  json_array_foreach (json_object_get (root, "objects"), index, object)
  {
    apply_object (board, object, outbox);
  }
  json_decref (root);
}

static void
on_answer (struct GspanBoard *board, const struct GspanEventObject *answer,
           struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;

  follow->busy = false;
  if (answer->result == GSPAN_OBJECT_OK)
    {
      apply_answer (board, answer, outbox);
      follow->listed = true;
      follow->revision = MAX (follow->revision, answer->revision);
      return;
    }
  if (answer->result == GSPAN_OBJECT_GAP)
    follow->listed = false;
  else
    follow->retry_at = board->now + RETRY_US + g_rand_int_range (board->random, 0, RETRY_US);
}

static void
ask (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanFollow *follow = &board->follow;
  struct GspanRef ref = { GSPAN_OWNER_RECORDS, 0 };
  enum GspanObjectOp op = follow->listed ? GSPAN_OBJECT_WATCH : GSPAN_OBJECT_LIST;

  if (follow->busy || board->now < follow->retry_at)
    return;
  follow->busy = true;
  gspan_outbox_object (outbox, ref, op, FOLLOWED_KINDS, follow->revision, NULL);
}

void
gspan_follow_handle (struct GspanBoard *board, const struct GspanEvent *event,
                     struct GspanOutbox *outbox)
{
  if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    on_answer (board, &event->u.object, outbox);
  ask (board, outbox);
}

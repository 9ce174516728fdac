#include "records/apply.h"

#include <string.h>

#include "board/board.h"

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

/* AT_US is on the machine's monotonic clock, so that delays on one machine can be measured. */
static void
log_in_force (const struct GspanBoard *board, const char *kind, const char *name, guint64 version,
              struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "record-in-force");
  gspan_line_cstr (&line, "kind", kind);
  gspan_line_cstr (&line, "name", name);
  gspan_line_u64 (&line, "version", version);
  gspan_line_u64 (&line, "at_us", board->now);
  gspan_outbox_log (outbox, "records", GSPAN_PRIORITY_INFO, &line);
}

static void
log_absent (struct GspanOutbox *outbox, const char *path, guint64 revision)
{
  struct GspanLine line;

  gspan_line_init (&line, "record-deleted");
  gspan_line_cstr (&line, "record", path);
  gspan_line_u64 (&line, "list_revision", revision);
  gspan_outbox_log (outbox, "records", GSPAN_PRIORITY_NOTICE, &line);
}

static void
apply_object (struct GspanBoard *board, json_t *object, GHashTable *listed,
              struct GspanOutbox *outbox)
{
  const char *kind_name = json_string_value (json_object_get (object, "kind"));
  const char *name = json_string_value (json_object_get (object, "name"));
  json_t *value = json_object_get (object, "value");
  guint64 version = (guint64)json_integer_value (json_object_get (object, "version"));
  struct GspanFindings findings;
  enum GspanRecordKind kind;

  if (name == NULL || !gspan_record_kind_parse (gspan_str_from (kind_name), &kind))
    return;
  g_hash_table_add (listed, g_strdup_printf ("%s/%s", kind_name, name));
  gspan_findings_init (&findings);
  if (json_is_null (value))
    value = NULL;
  if (gspan_records_put (&board->records, kind, name, version, value, &findings))
    log_in_force (board, kind_name, name, version, outbox);
  log_findings (outbox, &findings);
  gspan_findings_finish (&findings);
}

static void
finish_list (struct GspanBoard *board, guint64 revision, GHashTable *listed,
             struct GspanOutbox *outbox)
{
  GPtrArray *absent = gspan_records_finish_list (&board->records, revision, listed);

  for (guint i = 0; i < absent->len; i++)
    log_absent (outbox, g_ptr_array_index (absent, i), revision);
  g_ptr_array_unref (absent);
}

bool
gspan_records_apply (struct GspanBoard *board, enum GspanApplyKind kind, guint64 revision,
                     struct GspanStr body, struct GspanOutbox *outbox)
{
  json_t *root = json_loadb (body.data, body.len, 0, NULL);
  json_t *objects = json_object_get (root, "objects");
  GHashTable *listed;
  json_t *object;
  size_t index;

  if (!json_is_array (objects))
    {
      json_decref (root);
      return false;
    }
  listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (kind == GSPAN_APPLY_LIST)
    gspan_records_begin_list (&board->records, revision);
  json_array_foreach (objects, index, object)
  {
    apply_object (board, object, listed, outbox);
  }
  if (kind == GSPAN_APPLY_LIST)
    finish_list (board, revision, listed, outbox);
  else
    gspan_records_set_complete (&board->records, revision);
  g_hash_table_unref (listed);
  json_decref (root);
  return true;
}

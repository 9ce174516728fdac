#include "gateway/origin_records.h"

#include <string.h>

#include "catalog/pick.h"
#include "common/clock.h"
#include "gateway/calls.h"
#include "node/node.h"

#define READ_EVERY_US (30 * GSPAN_SECOND)
#define WAIT_US (400 * GSPAN_MS) /* for the store */

/* True where CALL may begin a stream that its caller may take up again. */
static bool
may_begin_stream (const struct GspanCall *call)
{
  return call->state.repeat == GSPAN_REPEAT_RESUMED && call->software == NULL
         && call->caller_id[0] != '\0';
}

const char *
gspan_origin_records_version (const struct GspanNode *node, const struct GspanCall *call)
{
  const char *base;

  if (!may_begin_stream (call) || call->recorded != NULL)
    return call->software != NULL ? call->software : call->recorded;
  if (!node->catalog.store_fails)
    return NULL;
  base = gspan_version_history_base (node, call->service);
  return base != NULL && gspan_pick_has_software (node->catalog.replicas, call->service, base)
             ? base
             : NULL;
}

static void
log_unrecorded (const struct GspanCall *call, const char *software, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "origin-unrecorded");
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "service", call->service);
  gspan_line_cstr (&line, "software", software);
  gspan_outbox_log (outbox, "streams", GSPAN_PRIORITY_WARNING, &line);
}

/* True where the store has SOFTWARE as CALL's origin. */
static bool
is_recorded (const struct GspanNode *node, struct GspanCall *call, const char *software)
{
  bool recorded = gspan_streams_is_recorded (&node->streams, call->caller_id, software);

  call->was_recorded = call->was_recorded || recorded;
  return recorded;
}

/*
 * True where nothing has to be, or can be, recorded for CALL to begin at SOFTWARE. Without a base
 * nothing tells the version of a stream but its record; builds before this one make none.
 */
static bool
needs_no_record (const struct GspanNode *node, struct GspanCall *call, const char *software)
{
  const char *base = gspan_version_history_base (node, call->service);

  if (call->has_record) /* it has to say SOFTWARE then, even if that is the base */
    return is_recorded (node, call, software);
  if (base == NULL)
    return gspan_version_history_is_read (node, call->service)
           && !gspan_peers_all_record_origins (node);
  return strcmp (base, software) == 0;
}

/* The base may have moved, and the word of it been lost. */
static void
read_base_again (struct GspanNode *node, const char *service)
{
  if (!gspan_version_history_is_read_since (node, service, node->now - READ_EVERY_US))
    gspan_version_history_want (node, service);
}

/*
 * True where CALL may begin at SOFTWARE, the only version of its service. The store has to name it
 * as the base: if all nodes died with a second version there, the stream would be of neither.
 */
static bool
allow_only_version (struct GspanNode *node, struct GspanCall *call, const char *software,
                    struct GspanOutbox *outbox)
{
  if (gspan_version_history_names_base (node, call->service, software)
      || gspan_peers_has_build_without_records (node))
    return true;
  if (call->record_until == 0)
    call->record_until = MIN (node->now + WAIT_US, call->state.deadline_us);
  if (node->catalog.store_fails || node->now >= call->record_until)
    {
      log_unrecorded (call, software, outbox);
      return true;
    }
  gspan_version_history_need_base (node, call->service);
  return false;
}

bool
gspan_origin_records_allow (struct GspanNode *node, struct GspanCall *call, const char *software,
                            struct GspanOutbox *outbox)
{
  if (!may_begin_stream (call))
    return true;
  if (!gspan_versions_is_mixed (node, call->service))
    return allow_only_version (node, call, software, outbox);
  read_base_again (node, call->service);
  if (needs_no_record (node, call, software))
    return true;
  if (call->record_until == 0)
    call->record_until = MIN (node->now + WAIT_US, call->state.deadline_us);
  if (node->catalog.store_fails || node->now >= call->record_until)
    {
      if (call->was_recorded) /* at another version: no record is better than one that is wrong */
        return false;
      log_unrecorded (call, software, outbox);
      return true;
    }
  if (!gspan_version_history_is_read (node, call->service))
    {
      gspan_version_history_want (node, call->service);
      return false;
    }
  if (g_strcmp0 (call->recorded, software) != 0)
    {
      g_free (call->recorded);
      call->recorded = g_strdup (software);
      call->has_record = true;
      call->record_until = MIN (node->now + WAIT_US, call->state.deadline_us);
      gspan_streams_record (node, call->caller_id, call->service, software);
      gspan_origin_store_write_due (node, outbox);
    }
  return is_recorded (node, call, software);
}

#include "gateway/origin_records.h"

#include <string.h>

#include "catalog/pick.h"
#include "common/clock.h"
#include "gateway/calls.h"
#include "node/node.h"

#define READ_EVERY_US (30 * GSPAN_SECOND)
#define WAIT_US GSPAN_ORIGIN_STORE_LATE_US

enum
{
  WAIT_DIVISOR = 2 /* of the time left: another try may follow */
};

/* True where CALL may begin a stream that its caller may take up again. */
static bool
may_begin_stream (const struct GspanCall *call)
{
  return call->state.repeat == GSPAN_REPEAT_RESUMED && call->software == NULL
         && call->caller_id[0] != '\0';
}

/* Base that CALL can begin at; NULL where it isn't known or has no replica. */
static const char *
base_with_replicas (const struct GspanNode *node, const struct GspanCall *call)
{
  const char *base = gspan_version_history_base (node, call->service);

  if (base == NULL || !gspan_pick_has_software (node->catalog.replicas, call->service, base))
    return NULL;
  return base;
}

const char *
gspan_origin_records_version (const struct GspanNode *node, const struct GspanCall *call)
{
  if (!may_begin_stream (call) || call->recorded != NULL)
    return call->software != NULL ? call->software : call->recorded;
  return gspan_origin_store_is_late (node) ? base_with_replicas (node, call) : NULL;
}

/* Logs what CALL does without a record of SOFTWARE, and what decided it. */
static void
log_decision (const struct GspanNode *node, const struct GspanCall *call, const char *event,
              const char *software, struct GspanOutbox *outbox)
{
  const char *base = gspan_version_history_base (node, call->service);
  guint64 sent_at = gspan_streams_sent_at (&node->streams, call->caller_id);
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "service", call->service);
  gspan_line_cstr (&line, "software", software);
  gspan_line_cstr (&line, "base", base != NULL ? base : "");
  gspan_line_u64 (&line, "versions_read", gspan_version_history_is_read (node, call->service));
  gspan_line_u64 (&line, "claims", call->claims);
  gspan_line_u64 (&line, "waited_us", node->now - call->record_since);
  gspan_line_u64 (&line, "sent_us", sent_at != 0 ? node->now - sent_at : 0);
  gspan_line_u64 (&line, "store_late", gspan_origin_store_is_late (node));
  gspan_line_u64 (&line, "store_ok_us", node->now - node->catalog.store_ok_at);
  gspan_outbox_log (outbox, "streams", GSPAN_PRIORITY_WARNING, &line);
}

/*
 * True where nothing has to be, or can be, recorded for CALL to begin at SOFTWARE. Without a base
 * nothing tells the version of a stream but its record; builds before this one make none.
 */
static bool
needs_no_record (const struct GspanNode *node, const struct GspanCall *call, const char *software)
{
  const char *base = gspan_version_history_base (node, call->service);

  if (call->claims > 0) /* the record has to say SOFTWARE then, even if that is the base */
    return gspan_streams_is_recorded (&node->streams, call->caller_id, software);
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
 * True where CALL may begin unrecorded: the service has no base that it could be taken for, and no
 * other version may be recorded as its origin.
 */
static bool
may_begin_unrecorded (const struct GspanNode *node, const struct GspanCall *call)
{
  return call->claims <= 1 && gspan_version_history_is_read (node, call->service)
         && gspan_version_history_names_base (node, call->service, NULL);
}

/* True where CALL has waited for the store for as long as it may. */
static bool
is_overdue (const struct GspanNode *node, const struct GspanCall *call)
{
  guint64 sent_at = gspan_streams_sent_at (&node->streams, call->caller_id);
  guint64 wait_us = (call->state.deadline_us - call->record_since) / WAIT_DIVISOR;

  if (base_with_replicas (node, call) == NULL && !may_begin_unrecorded (node, call))
    return node->now >= call->record_since + wait_us;
  return node->now >= MIN (MAX (call->record_since, sent_at) + WAIT_US, call->state.deadline_us);
}

static enum GspanStreamStart
stop_waiting (struct GspanNode *node, struct GspanCall *call, const char *software,
              struct GspanOutbox *outbox)
{
  if (may_begin_unrecorded (node, call))
    {
      log_decision (node, call, "origin-unrecorded", software, outbox);
      return GSPAN_STREAM_MAY_START;
    }
  log_decision (node, call, "origin-refused", software, outbox);
  call->refusal = "the version of the stream can't be recorded";
  gspan_streams_note_end (node, call->caller_id);
  return GSPAN_STREAM_REFUSED;
}

static void
start_waiting (const struct GspanNode *node, struct GspanCall *call)
{
  if (call->record_since == 0)
    call->record_since = node->now;
}

/*
 * Whether CALL may begin at SOFTWARE, the only version of its service. The store has to name it as
 * the base: if all nodes died with a second version there, the stream would be of neither.
 */
static enum GspanStreamStart
check_only_version (struct GspanNode *node, struct GspanCall *call, const char *software,
                    struct GspanOutbox *outbox)
{
  if (gspan_version_history_names_base (node, call->service, software)
      || gspan_peers_has_build_without_records (node))
    return GSPAN_STREAM_MAY_START;
  start_waiting (node, call);
  if (is_overdue (node, call) || (node->catalog.store_fails && may_begin_unrecorded (node, call)))
    return stop_waiting (node, call, software, outbox);
  gspan_version_history_need_base (node, call->service);
  return GSPAN_STREAM_WAITS;
}

/* Has the store told that CALL is to begin at SOFTWARE, unless that is under way. */
static void
claim (struct GspanNode *node, struct GspanCall *call, const char *software,
       struct GspanOutbox *outbox)
{
  if (g_strcmp0 (call->recorded, software) == 0)
    return;
  g_free (call->recorded);
  call->recorded = g_strdup (software);
  call->claims++;
  call->record_since = node->now;
  gspan_streams_record (node, call->caller_id, call->service, software);
  gspan_origin_store_write_due (node, outbox);
}

void
gspan_origin_records_withdraw (struct GspanNode *node, struct GspanCall *call,
                               struct GspanOutbox *outbox)
{
  const char *base = base_with_replicas (node, call);

  if (!may_begin_stream (call) || call->recorded == NULL || call->claims != 1 || base == NULL
      || (!gspan_origin_store_is_late (node) && !is_overdue (node, call))
      || !gspan_streams_withdraw (node, call->caller_id))
    return;
  log_decision (node, call, "origin-withdrawn", call->recorded, outbox);
  g_free (call->recorded);
  call->recorded = g_strdup (base);
  call->claims = 0;
}

enum GspanStreamStart
gspan_origin_records_check (struct GspanNode *node, struct GspanCall *call, const char *software,
                            struct GspanOutbox *outbox)
{
  if (!may_begin_stream (call))
    return GSPAN_STREAM_MAY_START;
  if (!gspan_versions_is_mixed (node, call->service))
    return check_only_version (node, call, software, outbox);
  read_base_again (node, call->service);
  if (needs_no_record (node, call, software))
    return GSPAN_STREAM_MAY_START;
  start_waiting (node, call);
  if (is_overdue (node, call))
    return stop_waiting (node, call, software, outbox);
  if (!gspan_version_history_is_read (node, call->service))
    {
      gspan_version_history_want (node, call->service);
      return GSPAN_STREAM_WAITS;
    }
  claim (node, call, software, outbox);
  return gspan_streams_is_recorded (&node->streams, call->caller_id, software)
             ? GSPAN_STREAM_MAY_START
             : GSPAN_STREAM_WAITS;
}

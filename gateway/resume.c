#include "gateway/resume.h"

#include "catalog/pick.h"
#include "common/clock.h"
#include "gateway/gateway.h"
#include "node/node.h"

#define ORIGIN_WAIT_US (60 * GSPAN_MS)      /* for other nodes' answers about a stream */
#define STORE_WAIT_US (400 * GSPAN_MS)      /* for the store's answers about it */
#define VERSION_GONE_WAIT_US (GSPAN_SECOND) /* until a stream's version may be back */

static void
refuse_resumption (struct GspanNode *node, struct GspanCall *call, const char *why,
                   struct GspanOutbox *outbox)
{
  gspan_call_log (node, call, "call-not-run", why, 503, outbox);
  gspan_gateway_refuse (node, call->request, why, VERSION_GONE_WAIT_US, outbox);
  gspan_call_forget (node, call, outbox);
}

static void
log_resumption (const struct GspanNode *node, const struct GspanCall *call, const char *software,
                struct GspanOutbox *outbox)
{
  const char *base = gspan_version_history_base (node, call->service);
  struct GspanLine line;

  gspan_line_init (&line, "call-resumes");
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "resumes", call->resumes);
  gspan_line_cstr (&line, "service", call->service);
  gspan_line_cstr (&line, "software", software != NULL ? software : "");
  gspan_line_u64 (&line, "several_versions", gspan_versions_is_mixed (node, call->service));
  gspan_line_cstr (&line, "base", base != NULL ? base : "");
  gspan_line_u64 (&line, "versions_read",
                  gspan_version_history_is_read_since (node, call->service, call->started));
  gspan_line_u64 (&line, "origins_read", gspan_origin_store_is_read_since (node, call->started));
  gspan_line_u64 (&line, "all_record", gspan_peers_all_record_origins (node));
  gspan_line_u64 (&line, "last_event", call->last_event);
  gspan_line_u64 (&line, "asked", call->origin_until != 0);
  gspan_line_u64 (&line, "asked_store", call->store_until != 0);
  gspan_line_u64 (&line, "elapsed_us", node->now - call->started);
  gspan_line_u64 (&line, "list_age_us", gspan_catalog_replicas_age (&node->catalog, node->now));
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

/* Asks the other nodes for the origin of CALL's stream. True while their answers may come. */
static bool
wait_for_origin (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  if (call->origin_until == 0)
    {
      call->origin_until = MIN (node->now + ORIGIN_WAIT_US, call->state.deadline_us);
      gspan_streams_ask (node, call->resumes, outbox);
    }
  return node->now < call->origin_until;
}

/*
 * True where all is known that the store could tell of the stream, which no node knows: where the
 * service has several versions, its base and the origins that were kept, else whether it had others
 * lately. Where all nodes record origins, one that was recorded just before counts too. That
 * it has one alone is believed of a list that was asked for after the caller took the stream up:
 * this node may have been out of step, and the replica that began the stream be newer than its
 * list.
 */
static bool
has_asked_store (const struct GspanNode *node, const struct GspanCall *call)
{
  if (gspan_versions_is_mixed (node, call->service))
    return gspan_version_history_is_read_since (node, call->service, call->started)
           && (gspan_peers_all_record_origins (node)
                   ? gspan_origin_store_is_read_since (node, call->started)
                   : gspan_origin_store_is_read (node, call->started));
  return gspan_version_history_is_known (node, call->service)
         && node->catalog.replicas_proven_at >= call->started;
}

/* Asks the store about CALL's stream. True while its answer may come. */
static bool
wait_for_store (struct GspanNode *node, struct GspanCall *call)
{
  if (has_asked_store (node, call))
    return false;
  if (call->store_until == 0)
    call->store_until = MIN (node->now + STORE_WAIT_US, call->state.deadline_us);
  if (node->catalog.store_fails || node->now >= call->store_until)
    return false;
  if (gspan_versions_is_mixed (node, call->service))
    {
      if (!gspan_version_history_is_read_since (node, call->service, call->started))
        gspan_version_history_want (node, call->service);
      gspan_origin_store_want (node, gspan_peers_all_record_origins (node));
      return true;
    }
  if (!gspan_version_history_is_known (node, call->service))
    gspan_version_history_want (node, call->service);
  gspan_catalog_want_replicas (node, call->started);
  return true;
}

/* Why a stream that began at SOFTWARE, NULL where nobody knows, can't go on; NULL where it can. */
static const char *
why_not_resumed (const struct GspanNode *node, const struct GspanCall *call, const char *software)
{
  if (software == NULL && gspan_versions_is_mixed (node, call->service))
    return "the version that began the stream isn't known";
  if (software == NULL && !has_asked_store (node, call))
    return "the versions that served lately aren't known";
  if (software != NULL
      && !gspan_pick_has_software (node->catalog.replicas, call->service, software))
    return "no replica of the version that began the stream";
  return NULL;
}

/* The only version that CALL's service has had lately; NULL where it has had none. */
static char *
only_version (const struct GspanNode *node, const struct GspanCall *call)
{
  GHashTable *lately = gspan_versions_lately (node, call->service);
  GHashTableIter iter;
  gpointer key = NULL;

  g_hash_table_iter_init (&iter, lately);
  if (g_hash_table_iter_next (&iter, &key, NULL))
    key = g_strdup (key);
  g_hash_table_unref (lately);
  return key;
}

bool
gspan_resume_prepare (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  const char *software = gspan_streams_find (&node->streams, call->resumes);
  const char *why;

  if (software == NULL && (wait_for_origin (node, call, outbox) || wait_for_store (node, call)))
    return false;
  /* Streams of other versions than the base are recorded before they begin. */
  if (software == NULL && gspan_versions_is_mixed (node, call->service)
      && has_asked_store (node, call))
    software = gspan_version_history_base (node, call->service);
  log_resumption (node, call, software, outbox);
  why = why_not_resumed (node, call, software);
  if (why != NULL)
    {
      refuse_resumption (node, call, why, outbox);
      return false;
    }
  call->software = software != NULL ? g_strdup (software) : only_version (node, call);
  if (call->software != NULL)
    gspan_streams_note_resumed (node, call->resumes, call->service, call->software);
  g_clear_pointer (&call->resumes, g_free);
  return true;
}

#include "gateway/attempts.h"

#include "catalog/pick.h"
#include "common/clock.h"
#include "gateway/authorize.h"
#include "gateway/origin_records.h"
#include "node/node.h"
#include "platform/wire.h"

#define OWN_CHECK_US (30 * GSPAN_MS) /* a link that stands shows it by then */
#define JUST_BEFORE_US (100 * GSPAN_MS)
#define RELAY_WAIT_US (80 * GSPAN_MS) /* round trips to nodes that check their own links first */

/* Replicas that lack only a permit are added to WITHOUT_PERMIT, unless it is NULL. */
static struct GspanReplica *
pick (struct GspanNode *node, const struct GspanCall *call, bool last_resort,
      GPtrArray *without_permit)
{
  struct GspanPickQuery query = { 0 };
  struct GspanReplica *replica;

  query.service = call->service;
  query.now = node->now;
  query.zone = node->self.zone;
  query.tried = call->tried;
  query.draw = g_rand_int (node->random);
  query.is_suspect = gspan_call_is_suspect (node, call);
  query.last_resort = last_resort;
  query.software = gspan_origin_records_version (node, call);
  query.limits = &node->rate_limits;
  query.traffic = GSPAN_TRAFFIC_CALLS;
  replica = query.is_suspect ? gspan_pick_replica (node->catalog.replicas, &query) : NULL;
  if (replica != NULL)
    return replica;
  query.is_suspect = false;
  query.without_permit = without_permit;
  return gspan_pick_replica (node->catalog.replicas, &query);
}

/* For log lines. */
static const char *
relay_of (const struct GspanNode *node, struct GspanRef ref)
{
  const char *name = gspan_exchanges_relay_of (node, ref.id);

  return name != NULL ? name : "";
}

static void
send_attempt (struct GspanNode *node, struct GspanCall *call, struct GspanReplica *replica,
              bool by_relay, struct GspanOutbox *outbox)
{
  struct GspanAttempt *attempt = g_new0 (struct GspanAttempt, 1);
  struct GspanRef ref = { GSPAN_OWNER_GATEWAY, gspan_node_next_id (node) };
  struct GspanActionHttp *http
      = gspan_permits_send (node, replica, GSPAN_TRAFFIC_CALLS, ref, outbox);
  struct GspanLine line;

  g_clear_pointer (&call->waits_at, g_free);
  attempt->id = ref.id;
  attempt->call = call;
  attempt->replica = gspan_replica_ref (replica);
  attempt->sent = node->now;
  attempt->after = call->last_event;
  attempt->body = g_string_new (NULL);
  gspan_events_reset (&call->events);
  if (by_relay)
    gspan_exchanges_prefer_relay (node, ref);
  attempt->is_suspect = gspan_call_is_suspect (node, call);
  replica->open++;
  replica->suspects += attempt->is_suspect;
  g_hash_table_insert (node->gateway.attempts, &attempt->id, attempt);
  g_ptr_array_add (call->open, attempt);
  g_ptr_array_add (call->tried, g_strdup (replica->id));
  call->state.attempts++;
  call->state.last_sent_at_us = node->now;
  if (call->state.attempts > 1)
    gspan_metrics_add (&node->metrics, GSPAN_METRIC_DESK_RETRIES, 1);
  gspan_hedging_note_sent (node, call);
  http->method = g_strdup (call->method);
  http->url = g_strdup_printf ("http://%s%s", replica->address, call->path);
  http->body = g_bytes_ref (call->body);
  http->timeout_us = call->state.deadline_us - node->now;
  http->new_connection = call->state.repeat == GSPAN_REPEAT_FORBIDDEN;
  http->stream = call->stream;
  http->http_framing_only = true;
  http->tcp_keepalive = true;
  http->required_header = call->caller_id[0] != '\0'
                              ? gspan_wire_attempt_id_line (gspan_str_from (call->caller_id))
                              : NULL;
  gspan_wire_write_attempt_headers (&call->headers, replica->id, http->timeout_us,
                                    call->state.response_started ? call->last_event : 0,
                                    &http->headers);
  if (node->catalog.config.accounts.enabled)
    gspan_wire_set_account (&http->headers, call->account);
  gspan_line_init (&line, "call-attempt");
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "upstream", replica->id);
  gspan_line_cstr (&line, "software", replica->software);
  gspan_line_u64 (&line, "attempt", call->state.attempts);
  gspan_line_u64 (&line, "last_event", call->last_event);
  gspan_line_u64 (&line, "open_there", replica->open);
  gspan_line_u64 (&line, "list_age_us", gspan_catalog_replicas_age (&node->catalog, node->now));
  gspan_line_u64 (&line, "known_revision", node->catalog.followers[GSPAN_FOLLOW_REPLICAS].revision);
  gspan_line_u64 (&line, "left_us", http->timeout_us);
  gspan_line_cstr (&line, "relay", relay_of (node, ref));
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

/* Number of calls before CALL that wait for a permit of REPLICA. */
static guint
count_waiting_before (const struct GspanNode *node, const struct GspanCall *call,
                      const struct GspanReplica *replica)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->gateway.calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanCall *other = value;

      count += other->id < call->id && g_strcmp0 (other->waits_at, replica->id) == 0;
    }
  return count;
}

/* When CALL may be sent to REPLICA, as far as is known after asking for a permit. */
static guint64
ask_for_permit (struct GspanNode *node, const struct GspanCall *call,
                const struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  guint rank = count_waiting_before (node, call, replica);

  gspan_permits_want (node, replica, GSPAN_TRAFFIC_CALLS, rank + 1, outbox);
  return gspan_permits_expected_at (node, replica, GSPAN_TRAFFIC_CALLS, rank);
}

static void
log_wait (const struct GspanNode *node, const struct GspanCall *call, guint64 until,
          struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "call-waits");
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "upstream", call->waits_at);
  gspan_line_u64 (&line, "expected_us", until - node->now);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

static void
set_waits_at (const struct GspanNode *node, struct GspanCall *call,
              const struct GspanReplica *replica, guint64 expected_at, struct GspanOutbox *outbox)
{
  if (g_strcmp0 (call->waits_at, replica->id) == 0)
    return;
  g_free (call->waits_at);
  call->waits_at = g_strdup (replica->id);
  log_wait (node, call, expected_at, outbox);
}

/* Index of the replica that CALL asks first: the one it waits for, else one by lot. */
static guint
first_candidate (const struct GspanCall *call, const GPtrArray *candidates)
{
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct GspanReplica *replica = g_ptr_array_index (candidates, i);

      if (g_strcmp0 (call->waits_at, replica->id) == 0)
        return i;
    }
  return (guint)(call->id % MAX (1, candidates->len));
}

/*
 * Has CALL wait for a permit of one of CANDIDATES, which lack only that. False if none is to be had
 * soon enough: RETRY_AT then says when that changes.
 */
static bool
wait_for_permit (struct GspanNode *node, struct GspanCall *call, const GPtrArray *candidates,
                 struct GspanOutbox *outbox)
{
  guint64 reach_us = gspan_permits_reach_us (GSPAN_TRAFFIC_CALLS);
  guint64 latest = MIN (node->now + reach_us, call->state.deadline_us);
  guint first = first_candidate (call, candidates);
  guint64 soonest = G_MAXUINT64;

  for (guint i = 0; i < candidates->len; i++)
    {
      const struct GspanReplica *replica
          = g_ptr_array_index (candidates, (first + i) % candidates->len);
      guint64 expected_at = ask_for_permit (node, call, replica, outbox);

      soonest = MIN (soonest, expected_at);
      if (expected_at > latest)
        continue;
      set_waits_at (node, call, replica, expected_at, outbox);
      return true;
    }
  g_clear_pointer (&call->waits_at, g_free);
  if (candidates->len > 0)
    call->retry_at = soonest - MIN (soonest, reach_us);
  return false;
}

/*
 * True where earlier attempts of CALL have brought nothing, and no replica was heard since the last
 * of them or just before it: this node's own links may be down.
 */
static bool
is_in_doubt (const struct GspanNode *node, const struct GspanCall *call)
{
  guint64 sent_at = call->state.last_sent_at_us;

  return sent_at != 0
         && !gspan_links_proven_since (&node->links, sent_at - MIN (sent_at, JUST_BEFORE_US));
}

/* True where this node is known to reach no replica, and no other passes requests on. */
static bool
is_cut_off (const struct GspanNode *node)
{
  return node->links.cut && !gspan_relay_offers_any (node);
}

static void
begin_doubt (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  if (call->doubted_at != 0)
    return;
  call->doubted_at = node->now;
  gspan_links_check_one (node, outbox);
}

void
gspan_attempts_doubt_links (struct GspanNode *node, struct GspanCall *call,
                            struct GspanOutbox *outbox)
{
  if (gspan_relay_offers_possible (node) && is_in_doubt (node, call))
    begin_doubt (node, call, outbox);
}

/*
 * True while CALL waits to know whether the own links stand, or for a node that passes it on. It
 * does where its earlier attempts have brought nothing, and where the links are known to be down.
 */
static bool
wait_for_way (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  if (!gspan_relay_offers_possible (node) || (!is_cut_off (node) && !is_in_doubt (node, call)))
    return false;
  begin_doubt (node, call, outbox);
  if (node->links.cut && gspan_relay_offers_any (node))
    return false;
  if (!node->links.cut && node->now < call->doubted_at + OWN_CHECK_US)
    return true;
  gspan_relay_offers_want (node, outbox);
  return !gspan_relay_offers_any (node) && node->now < call->doubted_at + RELAY_WAIT_US;
}

/*
 * True while it isn't known whether CALL crashes replicas or this node's links are down, and one
 * replica more would be too many.
 */
static bool
waits_for_evidence (const struct GspanNode *node, const struct GspanCall *call)
{
  guint held = gspan_crash_reports_held (node, call->fingerprint);

  return held > 0
         && held
                    + gspan_poison_requests_crash_count (&node->poison_requests, call->fingerprint,
                                                         node->now)
                >= GSPAN_POISON_CRASH_THRESHOLD;
}

/*
 * As pick (), with the replicas of all versions if none of the version that was recorded is left.
 * WAITS says whether CALL waits for a permit.
 */
static struct GspanReplica *
pick_or_wait (struct GspanNode *node, struct GspanCall *call, bool *waits,
              struct GspanOutbox *outbox)
{
  GPtrArray *without_permit = g_ptr_array_new ();
  struct GspanReplica *replica = pick (node, call, false, without_permit);

  *waits = replica == NULL && wait_for_permit (node, call, without_permit, outbox);
  g_ptr_array_unref (without_permit);
  if (replica == NULL)
    replica = pick (node, call, !*waits, NULL);
  if (replica != NULL || *waits || call->recorded == NULL || call->software != NULL)
    return replica;
  g_clear_pointer (&call->recorded, g_free);
  return pick (node, call, true, NULL);
}

bool
gspan_attempts_try_next (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  struct GspanReplica *replica;
  bool waits;
  bool by_relay;

  call->retry_at = 0;
  if (gspan_call_refused_until (node, call) != 0 || !gspan_authorize_call_again (node, call))
    return false;
  if (waits_for_evidence (node, call))
    return true;
  if (wait_for_way (node, call, outbox))
    return true;
  by_relay = call->doubted_at != 0 && is_in_doubt (node, call);
  call->doubted_at = 0;
  if (is_cut_off (node))
    return false;
  gspan_origin_records_withdraw (node, call, outbox);
  replica = pick_or_wait (node, call, &waits, outbox);
  if (replica == NULL)
    return waits;
  switch (gspan_origin_records_check (node, call, replica->software, outbox))
    {
    case GSPAN_STREAM_REFUSED:
      return false;
    case GSPAN_STREAM_MAY_START:
      send_attempt (node, call, replica, by_relay, outbox);
      break;
    case GSPAN_STREAM_WAITS:
      break;
    }
  return true;
}

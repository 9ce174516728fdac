#include "node/node.h"

#include "catalog/outage.h"
#include "common/clock.h"
#include "gateway/authorize.h"
#include "jobs/placement.h"
#include "platform/wire.h"

#define LIST_SLACK_US (GSPAN_SECOND) /* until a lapse is known here, beside the drain notice */

#define END_RESERVE_US                                                                             \
  (1200 * GSPAN_MS) /* answers leave, and the process ends, before it is killed */

enum
{
  LAPSE_HEARTBEATS = 3 /* without one for so long, an upstream's entry lapses */
};

void
gspan_node_init (struct GspanNode *node, const struct GspanNodeConfig *config)
{
  *node = (struct GspanNode){ 0 };
  node->self = config->self;
  node->limits = config->limits;
  node->random = g_rand_new_with_seed (config->seed);
  node->incarnation = g_rand_int (node->random);
  gspan_poison_requests_init (&node->poison_requests);
  node->poison_requests.unconfirmed_us = LAPSE_HEARTBEATS * config->limits.heartbeat_us
                                         + config->limits.drain_notice_us + LIST_SLACK_US;
  gspan_crash_reports_init (&node->crash_reports);
  gspan_verdicts_init (&node->verdicts);
  gspan_catalog_init (&node->catalog, config->self.keeps_disk);
  gspan_limits_init (&node->rate_limits, node->incarnation);
  gspan_peers_init (&node->peers);
  gspan_links_init (&node->links);
  gspan_exchanges_init (&node->exchanges);
  gspan_relay_offers_init (&node->relay_offers);
  gspan_relay_server_init (&node->relay_server);
  gspan_gateway_init (&node->gateway, config->limits.has_hedge_share,
                      config->limits.hedge_share_percent);
  gspan_streams_init (&node->streams);
  gspan_origin_store_init (&node->origin_store);
  gspan_versions_init (&node->versions);
  gspan_version_history_init (&node->version_history);
  gspan_jobs_init (&node->jobs);
  gspan_runner_init (&node->runner);
  gspan_rewards_init (&node->rewards);
  gspan_weights_init (&node->weights);
  gspan_usage_reports_init (&node->usage_reports, config->limits.usage_window_ms);
  gspan_capacity_orders_init (&node->capacity_orders);
}

void
gspan_node_finish (struct GspanNode *node)
{
  gspan_capacity_orders_finish (&node->capacity_orders);
  gspan_usage_reports_finish (&node->usage_reports);
  gspan_weights_finish (&node->weights);
  gspan_rewards_finish (&node->rewards);
  gspan_runner_finish (&node->runner);
  gspan_jobs_finish (&node->jobs);
  gspan_version_history_finish (&node->version_history);
  gspan_versions_finish (&node->versions);
  gspan_origin_store_finish (&node->origin_store);
  gspan_streams_finish (&node->streams);
  gspan_gateway_finish (&node->gateway);
  gspan_relay_server_finish (&node->relay_server);
  gspan_exchanges_finish (&node->exchanges);
  gspan_relay_offers_finish (&node->relay_offers);
  gspan_links_finish (&node->links);
  gspan_peers_finish (&node->peers);
  gspan_limits_finish (&node->rate_limits);
  gspan_catalog_finish (&node->catalog);
  gspan_verdicts_finish (&node->verdicts);
  gspan_crash_reports_finish (&node->crash_reports);
  gspan_poison_requests_finish (&node->poison_requests);
  g_rand_free (node->random);
}

guint64
gspan_node_next_id (struct GspanNode *node)
{
  return ++node->next_id;
}

static void
serve_job_request (struct GspanNode *node, const struct GspanEventRequest *request,
                   const struct GspanWireTarget *target, struct GspanOutbox *outbox)
{
  struct GspanAccountCheck check = { 0 };

  if (node->catalog.config.number == 0)
    gspan_gateway_refuse_while_starting (node, request->request, outbox);
  else if (gspan_authorize_request (node, request, NULL, &check, outbox))
    gspan_serve_request (node, request->request, check.account != NULL ? check.account->name : NULL,
                         target, outbox);
  gspan_account_check_finish (&check);
}

/* Requests on jobs go by their path; all others by the configuration's routes. */
static void
take_request (struct GspanNode *node, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  const struct GspanEventRequest *request = &event->u.request;
  struct GspanWireTarget target;

  gspan_wire_read_path (request->method, request->path, request->headers, &target);
  switch (target.kind)
    {
    case GSPAN_WIRE_PATH_RESULTS:
    case GSPAN_WIRE_PATH_ITEM:
    case GSPAN_WIRE_PATH_END_JOB:
      serve_job_request (node, request, &target, outbox);
      break;
    case GSPAN_WIRE_PATH_READY:
    case GSPAN_WIRE_PATH_OTHER:
      gspan_gateway_handle (node, event, outbox);
      break;
    }
  gspan_wire_path_finish (&target);
}

static void
tell_owner (struct GspanNode *node, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  switch (event->ref.owner)
    {
    case GSPAN_OWNER_CATALOG:
      gspan_catalog_handle (node, event, outbox);
      gspan_peers_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_GATEWAY:
      gspan_gateway_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_JOBS:
      gspan_jobs_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_RUNS:
      gspan_runner_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_REWARDS:
      gspan_rewards_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_WEIGHTS:
      gspan_weights_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_DUTIES:
      gspan_usage_reports_handle (node, event, outbox);
      gspan_capacity_orders_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_VERDICTS:
      gspan_verdicts_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_LINKS:
      gspan_links_handle (node, event, outbox);
      gspan_relay_server_answer_asks (node, outbox);
      gspan_gateway_send_waiting (node, outbox);
      break;
    case GSPAN_OWNER_RELAY:
      gspan_relay_server_handle (node, event, outbox);
      break;
    case GSPAN_OWNER_STREAMS:
      gspan_version_history_handle (node, event, outbox);
      gspan_origin_store_handle (node, event, outbox);
      gspan_gateway_send_waiting (node, outbox);
      break;
    default: /* of the other daemons' controllers, which aren't here */
      break;
    }
}

/* Exchanges that wait on links that are down end, so that their owners try another way. */
static void
end_stalled (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanEvent lost = { 0 };

  lost.kind = GSPAN_EVENT_HTTP_DONE;
  lost.u.http.result = GSPAN_HTTP_LOST;
  lost.u.http.headers = &node->exchanges.nothing;
  lost.u.http.body = g_bytes_new (NULL, 0);
  while (gspan_exchanges_take_stalled (node, &lost.ref, outbox))
    tell_owner (node, &lost, outbox);
  g_bytes_unref (lost.u.http.body);
}

static void
tell_all (struct GspanNode *node, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  gspan_catalog_handle (node, event, outbox);
  gspan_peers_handle (node, event, outbox);
  gspan_heartbeats_tick (node, outbox);
  gspan_exchanges_tick (node, outbox);
  gspan_links_handle (node, event, outbox);
  gspan_relay_offers_tick (node, outbox);
  gspan_relay_server_handle (node, event, outbox);
  end_stalled (node, outbox);
  gspan_limits_tick (node, outbox);
  gspan_permits_tick (node, outbox);
  gspan_streams_tick (node, outbox);
  gspan_version_history_handle (node, event, outbox);
  gspan_origin_store_handle (node, event, outbox);
  gspan_crash_reports_handle (node, outbox);
  gspan_verdicts_handle (node, event, outbox);
  gspan_gateway_handle (node, event, outbox);
  gspan_jobs_handle (node, event, outbox);
  gspan_runner_handle (node, event, outbox);
  gspan_rewards_handle (node, event, outbox);
  gspan_weights_handle (node, event, outbox);
  gspan_usage_reports_handle (node, event, outbox);
  gspan_capacity_orders_handle (node, event, outbox);
}

static void
take_permits (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  gspan_permits_receive_grant (node, message, outbox);
  gspan_gateway_send_waiting (node, outbox);
  gspan_placement_schedule (node, outbox);
  gspan_rewards_schedule (node, outbox);
}

/* Calls and items that wait for a way to a replica may have one now. */
static void
take_relay_offer (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  gspan_relay_offers_receive (node, message);
  gspan_links_update_reach (node);
  gspan_gateway_send_waiting (node, outbox);
  gspan_placement_schedule (node, outbox);
  gspan_rewards_schedule (node, outbox);
}

static void
take_streams (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  gspan_streams_receive (node, message);
  gspan_origin_store_write_due (node, outbox);
  gspan_gateway_send_waiting (node, outbox);
}

/* A message of another node. */
static void
take_datagram (struct GspanNode *node, struct GspanStr payload, struct GspanOutbox *outbox)
{
  json_t *message = json_loadb (payload.data, payload.len, 0, NULL);
  const char *kind = json_string_value (json_object_get (message, "kind"));
  const char *from = json_string_value (json_object_get (message, "from"));

  if (from != NULL)
    gspan_heartbeats_note (node, from);
  if (g_strcmp0 (kind, "alive") == 0)
    gspan_heartbeats_receive (node, message, outbox);
  else if (g_strcmp0 (kind, "unregistered") == 0)
    gspan_registration_doubt (node);
  else if (g_strcmp0 (kind, "feed") == 0)
    gspan_feed_receive (node, message, outbox);
  else if (g_strcmp0 (kind, "crashes") == 0)
    gspan_crash_reports_receive (node, message, outbox);
  else if (g_strcmp0 (kind, "limits") == 0)
    gspan_limits_receive (node, message, outbox);
  else if (g_strcmp0 (kind, "permits-ask") == 0)
    gspan_permits_receive_ask (node, message, outbox);
  else if (g_strcmp0 (kind, "permits") == 0)
    take_permits (node, message, outbox);
  else if (g_strcmp0 (kind, "streams") == 0)
    take_streams (node, message, outbox);
  else if (g_strcmp0 (kind, "software") == 0)
    gspan_version_history_receive (node, message);
  else if (g_strcmp0 (kind, "stream-ask") == 0)
    gspan_streams_receive_ask (node, message, outbox);
  else if (g_strcmp0 (kind, "relay-ask") == 0)
    gspan_relay_server_receive_ask (node, message, outbox);
  else if (g_strcmp0 (kind, "usage") == 0)
    gspan_usage_reports_receive (node, message, outbox);
  else if (g_strcmp0 (kind, "usage-ack") == 0)
    gspan_usage_reports_receive_ack (node, message);
  else if (g_strcmp0 (kind, "demand") == 0)
    gspan_demand_receive (node, message);
  else if (g_strcmp0 (kind, "capacity") == 0)
    gspan_capacity_orders_receive (node, message);
  else if (g_strcmp0 (kind, "relay-offer") == 0)
    take_relay_offer (node, message, outbox);
  else
    gspan_owner_handle_datagram (node, message, outbox);
  json_decref (message);
}

/* Any call tells whether the store is there, not only those that follow it. */
static void
note_store_result (struct GspanNode *node, const struct GspanEvent *event,
                   struct GspanOutbox *outbox)
{
  enum GspanStoreResult result;

  if (event->kind != GSPAN_EVENT_STORE_DONE)
    return;
  gspan_odd_objects_log_reply (node, event->u.store.call->kind, event->u.store.reply, outbox);
  result = event->u.store.reply->result;
  if (result == GSPAN_STORE_UNAVAILABLE || result == GSPAN_STORE_UNKNOWN)
    gspan_outage_note_failure (node, event->u.store.call);
  else
    gspan_outage_note_answer (node, outbox);
}

static void
stamp_store_calls (const struct GspanNode *node, struct GspanOutbox *outbox)
{
  for (guint i = 0; i < outbox->actions->len; i++)
    {
      struct GspanAction *action = g_ptr_array_index (outbox->actions, i);

      if (action->kind == GSPAN_ACTION_STORE)
        action->u.store.sent_at_us = node->now;
    }
}

static void
dispatch (struct GspanNode *node, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  switch (event->kind)
    {
    case GSPAN_EVENT_DRAIN:
      node->draining = true;
      node->draining_since = node->now;
      gspan_heartbeats_tell_drain (node, outbox);
      tell_all (node, event, outbox);
      break;
    case GSPAN_EVENT_TICK:
    case GSPAN_EVENT_CALLER_DISCONNECTED:
      tell_all (node, event, outbox);
      break;
    case GSPAN_EVENT_REQUEST:
      take_request (node, event, outbox);
      break;
    case GSPAN_EVENT_RELAY_REQUEST:
    case GSPAN_EVENT_RELAY_SENDER_GONE:
      gspan_relay_server_handle (node, event, outbox);
      break;
    case GSPAN_EVENT_DATAGRAM:
      take_datagram (node, event->u.datagram.payload, outbox);
      break;
    default:
      tell_owner (node, event, outbox);
      break;
    }
}

/* What served before, and which streams of it are open, is told and kept before this node may die.
 */
static void
heed_new_versions (struct GspanNode *node, struct GspanOutbox *outbox)
{
  if (!node->versions.has_new)
    return;
  node->versions.has_new = false;
  gspan_streams_note_new_version (node, outbox);
  gspan_version_history_note_new_version (node, outbox);
  gspan_origin_store_write_due (node, outbox);
}

void
gspan_node_handle (struct GspanNode *node, const struct GspanEvent *event, guint64 now,
                   gint64 wall_ms, struct GspanOutbox *outbox)
{
  struct GspanEvent seen = *event;

  node->now = MAX (node->now, now);
  node->wall_ms = wall_ms;
  note_store_result (node, event, outbox);
  if (gspan_exchanges_take_event (node, &seen, outbox))
    dispatch (node, &seen, outbox);
  gspan_held_answers_bound (node, &seen, outbox);
  heed_new_versions (node, outbox);
  stamp_store_calls (node, outbox);
  gspan_exchanges_route (node, outbox);
}

bool
gspan_node_wants_body (const struct GspanNode *node, struct GspanStr method, struct GspanStr path,
                       const struct GspanHeaders *headers)
{
  const struct GspanConfig *config = &node->catalog.config;
  const struct GspanConfigRoute *route;
  struct GspanAccountCheck check = { 0 };
  struct GspanWireRequest wire;
  struct GspanWireTarget target;
  bool other;
  bool refused;

  gspan_wire_read_path (method, path, headers, &target);
  other = target.kind == GSPAN_WIRE_PATH_OTHER;
  gspan_wire_path_finish (&target);
  gspan_wire_read_request (headers, &wire);
  route = other ? gspan_config_match (config, wire.host, path) : NULL;
  if (route == NULL)
    return false;
  gspan_accounts_check (&config->accounts, headers, route->allow_anonymous, &check);
  refused = gspan_account_verdict_is_refusal (check.verdict);
  gspan_account_check_finish (&check);
  return !refused;
}

guint64
gspan_node_answers_until (const struct GspanNode *node)
{
  guint64 grace_us = node->limits.grace_us;

  if (!node->draining)
    return G_MAXUINT64;
  return node->draining_since + grace_us - MIN (grace_us, END_RESERVE_US);
}

bool
gspan_node_ready (const struct GspanNode *node)
{
  return node->self.takes_requests && !node->draining && gspan_catalog_known (&node->catalog);
}

bool
gspan_node_has_open_tasks (const struct GspanNode *node)
{
  return gspan_gateway_has_calls (&node->gateway) || gspan_jobs_is_busy (&node->jobs)
         || gspan_relay_server_open (&node->relay_server) > 0;
}

bool
gspan_node_has_open_work (const struct GspanNode *node)
{
  return gspan_node_has_open_tasks (node) || gspan_registration_is_leaving (node);
}

void
gspan_node_update_gauges (struct GspanNode *node)
{
  struct GspanMetrics *metrics = &node->metrics;

  gspan_metrics_set (metrics, GSPAN_GAUGE_DESK_CALLS, g_hash_table_size (node->gateway.calls));
  gspan_metrics_set (metrics, GSPAN_GAUGE_UPSTREAMS, g_hash_table_size (node->catalog.replicas));
  gspan_metrics_set (metrics, GSPAN_GAUGE_LEASES_HELD, node->weights.lease.held);
  gspan_metrics_set (metrics, GSPAN_GAUGE_DRAINING, node->draining);
  gspan_metrics_set (metrics, GSPAN_GAUGE_CONFIG, node->catalog.config.number);
  gspan_metrics_set (metrics, GSPAN_GAUGE_JOBS, g_hash_table_size (node->jobs.by_id));
  gspan_metrics_set (metrics, GSPAN_GAUGE_RUNS, g_hash_table_size (node->runner.runs));
  gspan_metrics_set (metrics, GSPAN_GAUGE_REWARD_CALLS, g_hash_table_size (node->rewards.calls));
  gspan_metrics_set (metrics, GSPAN_GAUGE_UNSCORED_TEXTS, gspan_rewards_count_unscored (node));
  gspan_metrics_set (metrics, GSPAN_GAUGE_LIMITED_UPSTREAMS,
                     gspan_limits_count (&node->rate_limits));
  gspan_metrics_set (metrics, GSPAN_GAUGE_RELAYED_FOR_OTHERS,
                     gspan_relay_server_open (&node->relay_server));
  gspan_metrics_set (metrics, GSPAN_GAUGE_UPSTREAMS_AGE,
                     gspan_catalog_proof_age (&node->catalog, node->now) / GSPAN_MS);
  gspan_metrics_set (metrics, GSPAN_GAUGE_LINKS_CUT, node->links.cut);
  gspan_metrics_set (metrics, GSPAN_GAUGE_LINKS_DOWN, g_hash_table_size (node->links.down));
}

#include "weights/weights.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

#define CALL_TIMEOUT_US (500 * GSPAN_MS)  /* a replica that is well answers in a few ms */
#define LOAD_EXPECTED_US (850 * GSPAN_MS) /* then the replica is asked how far it is */
#define LOAD_REFUSES_US                                                                            \
  (1500 * GSPAN_MS) /* its requests go elsewhere for so long, or until it is done */
#define ASK_AGAIN_US (100 * GSPAN_MS)   /* the next load waits for the end of this one */
#define ASK_SILENT_US (500 * GSPAN_MS)  /* of a replica that gave no answer */
#define LOAD_MAX_US (10 * GSPAN_SECOND) /* then another replica may load in its place */

struct GspanNamedWeights
{
  char *model;
  guint64 weights;
  guint64 named_at; /* when this node learned of it */
};

/* A replica that was told to load, or is about to be. */
struct GspanLoad
{
  struct GspanReplica *replica;
  char *model;
  guint64 weights;
  guint64 call;    /* order or question under way; 0 is none */
  guint64 sent_at; /* CALL was */
  bool asking;     /* it is a question */
  bool ordered;    /* an order may have reached the replica */
  bool silent;     /* the last exchange got no answer; another replica loads in its place */
  guint64 started;
  guint64 next_at; /* next question or order */
};

static void
named_free (gpointer data)
{
  struct GspanNamedWeights *named = data;

  g_free (named->model);
  g_free (named);
}

static void
load_free (gpointer data)
{
  struct GspanLoad *load = data;

  gspan_replica_unref (load->replica);
  g_free (load->model);
  g_free (load);
}

void
gspan_weights_init (struct GspanWeights *weights)
{
  gspan_order_lease_init (&weights->lease);
  weights->named = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, named_free);
  weights->loads = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, load_free);
  gspan_plan_homes_init (&weights->homes);
}

void
gspan_weights_finish (struct GspanWeights *weights)
{
  g_hash_table_unref (weights->named);
  g_hash_table_unref (weights->loads);
  gspan_plan_homes_finish (&weights->homes);
  gspan_order_lease_finish (&weights->lease);
}

void
gspan_weights_apply (struct GspanNode *node, const struct GspanStoreObject *object,
                     struct GspanOutbox *outbox)
{
  struct GspanNamedWeights *named;
  struct GspanError error = { 0 };
  struct GspanLine line;
  guint64 weights = 0;
  char *model = NULL;

  if (object->removed)
    return;
  if (!gspan_wire_read_weight_version (object->spec, &model, &weights, &error))
    {
      gspan_odd_objects_log (node, gspan_wire_kind_weight_versions, object, error.message, outbox);
      return;
    }
  named = g_hash_table_lookup (node->weights.named, model);
  if (named == NULL)
    {
      named = g_new0 (struct GspanNamedWeights, 1);
      named->model = g_strdup (model);
      g_hash_table_insert (node->weights.named, named->model, named);
    }
  g_free (model);
  if (weights <= named->weights)
    return;
  named->weights = weights;
  named->named_at = node->now;
  gspan_line_init (&line, "weights-named");
  gspan_line_cstr (&line, "model", named->model);
  gspan_line_u64 (&line, "weights", weights);
  gspan_line_u64 (&line, "revision", object->revision);
  gspan_outbox_log (outbox, "weights", GSPAN_PRIORITY_NOTICE, &line);
}

/* True where results of a route of MODEL's service have to be of one version. */
static bool
wants_single_version (const struct GspanNode *node)
{
  const GPtrArray *routes = node->catalog.config.routes;

  for (guint i = 0; i < routes->len; i++)
    {
      if (((const struct GspanConfigRoute *)g_ptr_array_index (routes, i))->single_version)
        return true;
    }
  return false;
}

static void
log_load (const struct GspanNode *node, const struct GspanLoad *load, const char *event, int status,
          struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "upstream", load->replica->id);
  gspan_line_cstr (&line, "model", load->model);
  gspan_line_u64 (&line, "weights", load->weights);
  gspan_line_u64 (&line, "has", gspan_replica_weights (load->replica, load->model));
  gspan_line_u64 (&line, "expect", load->replica->orders_accepted);
  gspan_line_u64 (&line, "fence", node->weights.lease.fence);
  gspan_line_int (&line, "status", status);
  gspan_line_u64 (&line, "elapsed_us", node->now - load->started);
  gspan_outbox_log (outbox, "weights", GSPAN_PRIORITY_INFO, &line);
}

static struct GspanActionHttp *
start_exchange (struct GspanNode *node, struct GspanLoad *load, const char *method,
                const char *path, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_WEIGHTS, gspan_node_next_id (node) };
  struct GspanActionHttp *http
      = gspan_permits_send (node, load->replica, GSPAN_TRAFFIC_ORDERS, ref, outbox);

  load->call = ref.id;
  load->sent_at = node->now;
  http->method = g_strdup (method);
  http->url = g_strdup_printf ("http://%s%s", load->replica->address, path);
  http->timeout_us = CALL_TIMEOUT_US;
  http->http_framing_only = true;
  return http;
}

static void
send_order (struct GspanNode *node, struct GspanLoad *load, struct GspanOutbox *outbox)
{
  struct GspanWireOrder order = { 0 };
  struct GspanActionHttp *http = start_exchange (node, load, "POST", gspan_wire_order_path, outbox);

  order.model = load->model;
  order.weight_version = load->weights;
  order.running_requests
      = wants_single_version (node) ? GSPAN_WIRE_RUNNING_FINISH_FIRST : GSPAN_WIRE_RUNNING_CONTINUE;
  order.holder = node->self.name;
  order.fencing_token = node->weights.lease.fence;
  order.expected_orders_accepted = load->replica->orders_accepted;
  http->body = gspan_wire_write_order (&order, load->replica->id, &http->headers);
  http->new_connection = true;
  http->start_deadline_us = node->weights.lease.held_until;
  load->asking = false;
  load->ordered = true;
  node->weights.lease.last_order = node->now;
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_ORDERS, 1);
  log_load (node, load, "order-sent", 0, outbox);
}

static void
ask (struct GspanNode *node, struct GspanLoad *load, struct GspanOutbox *outbox)
{
  start_exchange (node, load, "GET", gspan_wire_report_path, outbox);
  load->asking = true;
  log_load (node, load, "report-asked", 0, outbox);
}

/* Sends what LOAD needs next, once the replica's limit leaves room for it. */
static void
send_next (struct GspanNode *node, struct GspanLoad *load, struct GspanOutbox *outbox)
{
  gspan_permits_want (node, load->replica, GSPAN_TRAFFIC_ORDERS, 1, outbox);
  if (!gspan_permits_allow (&node->rate_limits, load->replica, GSPAN_TRAFFIC_ORDERS, node->now))
    return;
  if (load->ordered || !load->replica->orders_known)
    ask (node, load, outbox);
  else
    send_order (node, load, outbox);
}

static void
start_load (struct GspanNode *node, const struct GspanNamedWeights *named,
            struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  struct GspanLoad *load = g_new0 (struct GspanLoad, 1);

  load->replica = gspan_replica_ref (replica);
  load->model = g_strdup (named->model);
  load->weights = named->weights;
  load->started = node->now;
  load->next_at = node->now;
  g_hash_table_insert (node->weights.loads, replica->id, load);
  send_next (node, load, outbox);
}

/* Of all models the load that is furthest behind, and of equals the one that waits for longest. */
static const struct GspanNamedWeights *
pick_load (const struct GspanNode *node, struct GspanReplica **replica)
{
  const struct GspanNamedWeights *best = NULL;
  guint64 best_behind = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->weights.named);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanNamedWeights *named = value;
      struct GspanPlanQuery query = { named->model, named->weights,      named->named_at,
                                      node->now,    node->weights.loads, &node->weights.homes };
      struct GspanReplica *next = gspan_plan_next (node->catalog.replicas, &query);
      guint64 behind;

      if (next == NULL)
        continue;
      behind = named->weights - gspan_replica_weights (next, named->model);
      if (best != NULL
          && (behind < best_behind || (behind == best_behind && named->named_at >= best->named_at)))
        continue;
      best = named;
      best_behind = behind;
      *replica = next;
    }
  return best;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
deal_out_replicas (struct GspanNode *node)
{
  GPtrArray *models = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, node->weights.named);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (models, key);
  g_ptr_array_sort (models, compare_names);
  gspan_plan_homes_update (&node->weights.homes, node->catalog.replicas, models);
  g_ptr_array_unref (models);
}

/* Loads that draw on the platform's store of weights. */
static guint
count_loads (const struct GspanWeights *weights)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, weights->loads);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += !((const struct GspanLoad *)value)->silent;
  return count;
}

/* All models share what the platform's store of weights bears. */
static void
start_loads (struct GspanNode *node, struct GspanOutbox *outbox)
{
  guint most = gspan_plan_loads_at_once (gspan_plan_count (node->catalog.replicas));

  while (count_loads (&node->weights) < most)
    {
      struct GspanReplica *replica = NULL;
      const struct GspanNamedWeights *named = pick_load (node, &replica);

      if (named == NULL)
        return;
      start_load (node, named, replica, outbox);
    }
}

static bool
is_over (const struct GspanNode *node, const struct GspanLoad *load)
{
  return load->replica->removed || load->replica->misdirected
         || gspan_replica_is_leaving (load->replica) || (load->silent && !load->ordered)
         || gspan_replica_weights (load->replica, load->model) >= load->weights
         || node->now - load->started > LOAD_MAX_US;
}

static void
check_loads (struct GspanNode *node, struct GspanOutbox *outbox)
{
  bool allowed = gspan_order_lease_allows (&node->weights.lease, node->now);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->weights.loads);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanLoad *load = value;

      if (is_over (node, load) || !allowed)
        {
          log_load (node, load, "load-over", 0, outbox);
          g_hash_table_iter_remove (&iter);
        }
      else if (load->call == 0 && node->now >= load->next_at)
        send_next (node, load, outbox);
    }
}

/* A replica that gives no answer may be gone: others load in its place meanwhile. */
static void
note_silence (struct GspanNode *node, struct GspanLoad *load, const struct GspanEventHttp *answer)
{
  bool silent = answer->result != GSPAN_HTTP_COMPLETE;

  if (silent)
    gspan_replica_failed (load->replica, node->now);
  load->silent = silent;
  load->next_at = node->now + (silent ? ASK_SILENT_US : ASK_AGAIN_US);
}

static void
on_order_answer (struct GspanNode *node, struct GspanLoad *load,
                 const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  bool whole = answer->result == GSPAN_HTTP_COMPLETE;

  log_load (node, load, "order-answered", whole ? answer->status : 0, outbox);
  note_silence (node, load, answer);
  if (whole && answer->status == 202)
    {
      load->replica->orders_accepted++;
      load->replica->loading_until = node->now + LOAD_REFUSES_US;
      load->next_at = node->now + LOAD_EXPECTED_US;
      return;
    }
  if (whole && answer->status == 200)
    {
      gspan_replica_set_weights (load->replica, load->model, load->weights);
      return;
    }
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_ORDERS_FAILED, 1);
  load->replica->orders_known = false;
  if (whole && answer->status == 421)
    load->replica->misdirected = true;
  else if (whole && answer->status == 409)
    load->next_at = node->now; /* its report says what it expects */
}

static void
on_report (struct GspanNode *node, struct GspanLoad *load, const struct GspanEventHttp *answer,
           struct GspanOutbox *outbox)
{
  struct GspanWireReport report;
  struct GspanError error = { 0 };

  note_silence (node, load, answer);
  if (answer->result != GSPAN_HTTP_COMPLETE || answer->status != 200)
    {
      log_load (node, load, "report-missing", answer->status, outbox);
      return;
    }
  if (!gspan_wire_read_report (gspan_str_from_bytes (answer->body), load->model, &report, &error))
    {
      log_load (node, load, "report-unreadable", answer->status, outbox);
      return;
    }
  if (report.weight_version > 0)
    gspan_replica_set_weights (load->replica, load->model, report.weight_version);
  load->replica->orders_accepted = report.orders_accepted;
  load->replica->orders_known = true;
  if (report.busy || report.weight_version >= load->weights)
    return;
  load->ordered = false;
  load->next_at = node->now;
}

static void
on_answer (struct GspanNode *node, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  struct GspanWireResponse wire;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->weights.loads);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanLoad *load = value;

      if (load->call != event->ref.id)
        continue;
      load->call = 0;
      gspan_wire_read_response (event->u.http.status, event->u.http.headers, &wire);
      gspan_leaving_note_answer (node, load->replica, &wire, outbox);
      gspan_limits_note_answer (node, load->replica, &wire, load->sent_at, outbox);
      if (load->asking)
        on_report (node, load, &event->u.http, outbox);
      else
        on_order_answer (node, load, &event->u.http, outbox);
      return;
    }
}

/* A load that is under way or due needs the lease's word that orders may follow. */
static bool
has_orders (struct GspanNode *node)
{
  struct GspanReplica *replica = NULL;

  return g_hash_table_size (node->weights.loads) > 0 || pick_load (node, &replica) != NULL;
}

void
gspan_weights_handle (struct GspanNode *node, const struct GspanEvent *event,
                      struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;

  gspan_order_lease_handle (node, event, outbox);
  gspan_catalog_want (&node->catalog, GSPAN_FOLLOW_WEIGHTS, lease->held);
  if (event->kind == GSPAN_EVENT_HTTP_DONE)
    on_answer (node, event, outbox);
  check_loads (node, outbox);
  if (!gspan_order_lease_settled (lease, node->now))
    return;
  deal_out_replicas (node);
  gspan_order_lease_want (lease,
                          has_orders (node) || gspan_usage_reports_wanted (node)
                              || gspan_capacity_orders_wanted (node),
                          node->now);
  if (gspan_order_lease_allows (lease, node->now))
    start_loads (node, outbox);
}

#include "duties/capacity_orders.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

#define PLAN_EVERY_US (250 * GSPAN_MS)
#define TELL_EVERY_US (GSPAN_SECOND)
#define CALL_TIMEOUT_US (2 * GSPAN_SECOND)
#define LEFT_MAX_US (3600 * GSPAN_SECOND) /* replicas don't take longer to start */
#define TOO_MANY_PAUSE_US (GSPAN_SECOND)  /* after 429 */
/* Until the other nodes have told the holder their demand at least once. */
#define HEARD_AFTER_US (1500 * GSPAN_MS)

enum
{
  CALLS_MAX = 4,     /* under way at once: a slow platform doesn't hold all services up */
  ORDERS_A_PLAN = 2, /* sent at once; with PLAN_EVERY_US, 8 a second */
  FOLLOWERS = 2,     /* of the holder, that know what it has ordered */
  MESSAGE_BYTES = 1000,
  BYTES_BESIDE_NAMES = 80,
  TOLD_MAX = 1000, /* counts kept of the holder's */
  COUNT_MAX = 10000,
  FORMAT_VERSION = 1,
  STATUS_TOO_MANY = 429
};

/* A count that the holder has ordered, of which some replicas may still be starting. */
struct Told
{
  char *service;
  char *zone;
  bool spot;
  guint count;
  guint64 until;
};

static void
told_free (gpointer data)
{
  struct Told *told = data;

  g_free (told->service);
  g_free (told->zone);
  g_free (told);
}

void
gspan_capacity_orders_init (struct GspanCapacityOrders *orders)
{
  *orders = (struct GspanCapacityOrders){ 0 };
  gspan_demand_init (&orders->demand);
  gspan_capacity_init (&orders->plan);
  orders->told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, told_free);
  orders->calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, gspan_capacity_order_free);
}

void
gspan_capacity_orders_finish (struct GspanCapacityOrders *orders)
{
  g_hash_table_unref (orders->calls);
  g_hash_table_unref (orders->told);
  gspan_capacity_finish (&orders->plan);
  gspan_demand_finish (&orders->demand);
}

bool
gspan_capacity_orders_wanted (const struct GspanNode *node)
{
  const struct GspanCapacityOrders *orders = &node->capacity_orders;

  return orders->fence != 0 && orders->fence == node->weights.lease.fence
         && gspan_demand_enabled (node)
         && (orders->due || g_hash_table_size (orders->calls) > 0
             || gspan_capacity_is_unsettled (&orders->plan));
}

/* Telling the nodes that would follow. */

struct Teller
{
  struct GspanNode *node;
  struct GspanOutbox *outbox;
  json_t *counts;
  size_t bytes;
};

/* Sends what has been collected, if there is anything, and begins anew. */
static void
flush (struct Teller *teller)
{
  const char *names[FOLLOWERS];
  struct GspanNode *node = teller->node;
  guint count = gspan_peers_takeover_candidates (node, GSPAN_ORDER_LEASE_NAME, node->self.name,
                                                 names, FOLLOWERS);
  json_t *message;

  if (json_array_size (teller->counts) == 0)
    return;
  message = json_pack ("{s:s, s:i, s:s, s:s, s:I, s:o}", "kind", "capacity", "format",
                       FORMAT_VERSION, "from", node->self.name, "udp", node->self.udp_address,
                       "fence", (json_int_t)node->weights.lease.fence, "counts", teller->counts);
  for (guint i = 0; i < count; i++)
    gspan_peers_send (node, names[i], message, teller->outbox);
  json_decref (message);
  teller->counts = json_array ();
  teller->bytes = 0;
}

static void
tell_count (const char *service, const char *zone, bool spot, guint count, guint64 until,
            void *user)
{
  struct Teller *teller = user;
  size_t bytes = strlen (service) + strlen (zone) + BYTES_BESIDE_NAMES;

  if (teller->bytes + bytes > MESSAGE_BYTES)
    flush (teller);
  teller->bytes += bytes;
  json_array_append_new (teller->counts,
                         json_pack ("{s:s, s:s, s:b, s:I, s:I}", "service", service, "zone", zone,
                                    "spot", (int)spot, "count", (json_int_t)count, "left_us",
                                    (json_int_t)(until - teller->node->now)));
}

static void
tell_followers (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct Teller teller = { node, outbox, json_array (), 0 };

  node->capacity_orders.next_tell_at = node->now + TELL_EVERY_US;
  gspan_capacity_foreach_starting (&node->capacity_orders.plan, node->now, tell_count, &teller);
  flush (&teller);
  json_decref (teller.counts);
}

static gboolean
is_over (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return ((const struct Told *)value)->until <= *(const guint64 *)now;
}

static bool
is_zone_of (const struct GspanConfigService *service, const char *name)
{
  for (guint i = 0; i < service->scaling.zones->len; i++)
    {
      const struct GspanConfigZone *zone = g_ptr_array_index (service->scaling.zones, i);

      if (strcmp (zone->name, name) == 0)
        return true;
    }
  return false;
}

static void
receive_count (struct GspanNode *node, json_t *value)
{
  const char *service = json_string_value (json_object_get (value, "service"));
  const char *zone = json_string_value (json_object_get (value, "zone"));
  json_int_t count = json_integer_value (json_object_get (value, "count"));
  json_int_t left_us = json_integer_value (json_object_get (value, "left_us"));
  bool spot = json_is_true (json_object_get (value, "spot"));
  GHashTable *all = node->capacity_orders.told;
  struct Told *told;

  if (service == NULL || zone == NULL || count < 1 || count > COUNT_MAX || left_us <= 0
      || !gspan_demand_is_scaled (node, service)
      || !is_zone_of (gspan_config_service (&node->catalog.config, service), zone)
      || g_hash_table_size (all) >= TOLD_MAX)
    return;
  told = g_new0 (struct Told, 1);
  told->service = g_strdup (service);
  told->zone = g_strdup (zone);
  told->spot = spot;
  told->count = (guint)count;
  told->until = node->now + MIN ((guint64)left_us, LEFT_MAX_US);
  g_hash_table_replace (all, g_strdup_printf ("%s %s %d", service, zone, (int)spot), told);
}

void
gspan_capacity_orders_receive (struct GspanNode *node, json_t *message)
{
  const char *from = json_string_value (json_object_get (message, "from"));
  const char *udp = json_string_value (json_object_get (message, "udp"));
  const struct GspanPeer *peer
      = from != NULL ? g_hash_table_lookup (node->peers.items, from) : NULL;
  json_t *value;
  size_t index;

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION || peer == NULL
      || g_strcmp0 (peer->udp_address, udp) != 0 || node->weights.lease.held
      || (guint64)json_integer_value (json_object_get (message, "fence"))
             < node->weights.lease.fence
      || !gspan_demand_enabled (node))
    return;
  g_hash_table_foreach_remove (node->capacity_orders.told, is_over, &node->now);
  json_array_foreach (json_object_get (message, "counts"), index, value)
      receive_count (node, value);
}

/* The holder. */

static void
keep_count (const char *service, const char *zone, bool spot, guint count, guint64 until,
            void *user)
{
  gspan_capacity_note_told (user, service, zone, spot, count, until);
}

/* What this node knows of earlier orders, by itself or another, is kept while it matters. */
static void
begin_holding (struct GspanNode *node)
{
  struct GspanCapacityOrders *orders = &node->capacity_orders;
  struct GspanCapacity before = orders->plan;
  GHashTableIter iter;
  gpointer value;

  orders->fence = node->weights.lease.fence;
  orders->due = false;
  orders->next_plan_at = node->now + HEARD_AFTER_US;
  g_hash_table_remove_all (orders->calls);
  gspan_capacity_init (&orders->plan);
  gspan_capacity_foreach_starting (&before, node->now, keep_count, &orders->plan);
  gspan_capacity_finish (&before);
  g_hash_table_iter_init (&iter, orders->told);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct Told *told = value;

      if (told->until > node->now && gspan_demand_is_scaled (node, told->service))
        gspan_capacity_note_told (&orders->plan, told->service, told->zone, told->spot, told->count,
                                  told->until);
    }
  g_hash_table_remove_all (orders->told);
}

/* Those of SERVICE, as struct GspanCapacityReplica; strings are borrowed. */
static GArray *
replicas_of (const struct GspanNode *node, const char *service)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct GspanCapacityReplica));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;
      struct GspanCapacityReplica seen = { replica->id, replica->zone, replica->slots,
                                           replica->spot, gspan_replica_is_leaving (replica) };

      if (g_strcmp0 (replica->service, service) == 0)
        g_array_append_val (found, seen);
    }
  return found;
}

static void
plan_service (struct GspanNode *node, const struct GspanConfigService *service, GPtrArray *planned)
{
  GArray *replicas = replicas_of (node, service->name);
  struct GspanCapacityInput input = { 0 };

  input.now = node->now;
  input.service = service;
  input.replicas = (const struct GspanCapacityReplica *)(const void *)replicas->data;
  input.replica_count = replicas->len;
  input.demand = gspan_demand_of (node, service->name);
  input.demand_is_whole = !node->catalog.store_fails && gspan_demand_is_whole (node, service->name);
  gspan_capacity_plan (&node->capacity_orders.plan, &input, planned);
  g_array_unref (replicas);
}

static GPtrArray *
plan_all (struct GspanNode *node)
{
  GPtrArray *planned = g_ptr_array_new_with_free_func (gspan_capacity_order_free);
  GHashTableIter iter;
  gpointer value;

  gspan_capacity_forget_unscaled (&node->capacity_orders.plan, &node->catalog.config);
  g_hash_table_iter_init (&iter, node->catalog.config.services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanConfigService *service = value;

      if (service->scaling.enabled)
        plan_service (node, service, planned);
    }
  return planned;
}

/* Takes over ORDER. */
static void
send_order (struct GspanNode *node, struct GspanCapacityOrder *order, struct GspanOutbox *outbox)
{
  struct GspanCapacityOrders *orders = &node->capacity_orders;
  struct GspanRef ref = { GSPAN_OWNER_DUTIES, gspan_node_next_id (node) };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref);
  struct GspanActionHttp *http = &action->u.http;

  http->method = g_strdup ("POST");
  http->url = g_strdup_printf ("http://%s%s", node->self.duties_address, gspan_wire_capacity_path);
  http->timeout_us = CALL_TIMEOUT_US;
  http->start_deadline_us = node->weights.lease.held_until;
  http->http_framing_only = true;
  http->new_connection = true;
  gspan_wire_write_duty_headers (node->self.name, node->weights.lease.fence, &http->headers);
  http->body = gspan_wire_write_capacity (order->service, order->zone, order->count, order->spot);
  node->weights.lease.last_order = node->now;
  gspan_capacity_note_sent (&orders->plan, order, node->now);
  g_hash_table_insert (orders->calls, g_memdup2 (&ref.id, sizeof ref.id), order);
}

static void
plan_and_send (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCapacityOrders *orders = &node->capacity_orders;
  GPtrArray *planned = plan_all (node);
  guint sent = 0;

  orders->due = planned->len > 0;
  orders->next_plan_at = node->now + PLAN_EVERY_US;
  while (planned->len > 0 && sent < ORDERS_A_PLAN && g_hash_table_size (orders->calls) < CALLS_MAX
         && gspan_order_lease_allows (&node->weights.lease, node->now))
    {
      send_order (node, g_ptr_array_steal_index (planned, 0), outbox);
      sent++;
    }
  g_ptr_array_unref (planned);
  if (orders->due && !gspan_order_lease_allows (&node->weights.lease, node->now))
    orders->next_plan_at = node->now; /* the lease's word may come at any time */
  if (sent > 0)
    tell_followers (node, outbox);
}

static enum GspanCapacityResult
result_of (int status)
{
  if (status >= 200 && status < 300)
    return GSPAN_CAPACITY_ACCEPTED;
  if (status == STATUS_TOO_MANY)
    return GSPAN_CAPACITY_NOT_TAKEN;
  if (status >= 400 && status < 500)
    return GSPAN_CAPACITY_NONE_THERE;
  return GSPAN_CAPACITY_UNKNOWN;
}

static void
log_order (const struct GspanNode *node, const struct GspanCapacityOrder *order, int status,
           struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "capacity-order");
  gspan_line_cstr (&line, "service", order->service);
  gspan_line_cstr (&line, "zone", order->zone);
  gspan_line_u64 (&line, "spot", order->spot);
  gspan_line_u64 (&line, "before", order->before);
  gspan_line_u64 (&line, "wanted", order->count);
  gspan_line_cstr (&line, "reason", order->reason);
  gspan_line_u64 (&line, "fence", node->capacity_orders.fence);
  gspan_line_int (&line, "status", status);
  gspan_outbox_log (outbox, "duties", GSPAN_PRIORITY_INFO, &line);
}

static void
on_answer (struct GspanNode *node, const struct GspanEvent *event, struct GspanOutbox *outbox)
{
  struct GspanCapacityOrders *orders = &node->capacity_orders;
  struct GspanCapacityOrder *order = g_hash_table_lookup (orders->calls, &event->ref.id);
  int status = event->u.http.result == GSPAN_HTTP_COMPLETE ? event->u.http.status : 0;
  enum GspanCapacityResult result = result_of (status);

  if (order == NULL)
    return;
  log_order (node, order, status, outbox);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_DUTY_CALLS, 1);
  if (result != GSPAN_CAPACITY_ACCEPTED)
    gspan_metrics_add (&node->metrics, GSPAN_METRIC_DUTY_CALLS_FAILED, 1);
  gspan_capacity_note_result (&orders->plan, order, result, node->now);
  g_hash_table_remove (orders->calls, &event->ref.id);
  if (result == GSPAN_CAPACITY_NOT_TAKEN)
    orders->paused_until = node->now + TOO_MANY_PAUSE_US;
  orders->next_plan_at = node->now; /* what the answer allows or asks for follows at once */
}

static void
act_as_holder (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCapacityOrders *orders = &node->capacity_orders;

  if (!gspan_order_lease_settled (&node->weights.lease, node->now))
    return;
  if (orders->fence != node->weights.lease.fence)
    begin_holding (node);
  if (node->now >= MAX (orders->next_plan_at, orders->paused_until)
      && gspan_catalog_known (&node->catalog))
    plan_and_send (node, outbox);
  if (node->now >= orders->next_tell_at)
    tell_followers (node, outbox);
}

void
gspan_capacity_orders_handle (struct GspanNode *node, const struct GspanEvent *event,
                              struct GspanOutbox *outbox)
{
  if (event->kind == GSPAN_EVENT_HTTP_DONE)
    on_answer (node, event, outbox);
  if (!gspan_demand_enabled (node))
    return;
  gspan_demand_tick (node, outbox);
  act_as_holder (node, outbox);
}

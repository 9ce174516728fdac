#include "weights/order_lease.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define LEASE_KIND "leases"
#define POLL_US (GSPAN_SECOND)           /* of nodes that don't hold it */
#define POLL_SILENT_US (200 * GSPAN_MS)  /* as above, once a renewal is overdue */
#define POLL_SPARE_US (5 * GSPAN_SECOND) /* of those that would be the last to take it */
#define HEARD_PAUSE_US (1200 * GSPAN_MS) /* the holder's own word makes a look needless */
#define RANK_US (100 * GSPAN_MS)         /* the next in rank waits for so much longer */
#define RETRY_US (200 * GSPAN_MS)

/*
 * Parts of the shortest time between the orders of two holders: renewals come at every sixth, the
 * holder stops after a third without one, and another may take over after half.
 */
enum
{
  RENEW_DIVISOR = 6,
  HELD_DIVISOR = 3,
  TAKE_OVER_DIVISOR = 2,
  RANKS = 6,       /* that look for a silent holder */
  SPARE_LEASES = 3 /* lengths of the lease that all others wait */
};

void
gspan_order_lease_init (struct GspanOrderLease *lease)
{
  *lease = (struct GspanOrderLease){ 0 };
}

void
gspan_order_lease_finish (struct GspanOrderLease *lease)
{
  g_free (lease->holder);
  json_decref (lease->written);
}

bool
gspan_order_lease_settled (const struct GspanOrderLease *lease, guint64 now)
{
  return lease->held && now < lease->held_until && now >= lease->orders_from;
}

bool
gspan_order_lease_allows (const struct GspanOrderLease *lease, guint64 now)
{
  return lease->declared && gspan_order_lease_settled (lease, now);
}

void
gspan_order_lease_want (struct GspanOrderLease *lease, bool wanted, guint64 now)
{
  lease->wanted = wanted;
  if (wanted && lease->held && !lease->declared)
    lease->next_at = now;
}

static void
log_lease (const struct GspanNode *node, const char *event, struct GspanOutbox *outbox)
{
  const struct GspanOrderLease *lease = &node->weights.lease;
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "lease", GSPAN_ORDER_LEASE_NAME);
  gspan_line_cstr (&line, "holder", lease->holder != NULL ? lease->holder : "");
  gspan_line_u64 (&line, "fence", lease->fence);
  gspan_line_u64 (&line, "revision", lease->revision);
  gspan_line_u64 (&line, "unchanged_us", node->now - lease->seen_at);
  gspan_outbox_log (outbox, "weights", GSPAN_PRIORITY_NOTICE, &line);
}

static void
start_read (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;
  struct GspanRef ref = { GSPAN_OWNER_WEIGHTS, gspan_node_next_id (node) };
  struct GspanStoreCall *call
      = gspan_outbox_store (outbox, ref, GSPAN_STORE_GET, LEASE_KIND, GSPAN_ORDER_LEASE_NAME);

  call->allow_stale = !lease->held && !lease->must_read;
  lease->call = ref.id;
  lease->call_renews = false;
  lease->call_sent = node->now;
}

/* No order was sent to a replica after this, by this node or by the holder before. */
static guint64
last_order_of (const struct GspanNode *node)
{
  const struct GspanOrderLease *lease = &node->weights.lease;

  if (lease->held)
    return lease->last_order;
  if (lease->revision == 0)
    return 0;
  return lease->seen_idle ? lease->idle_from
                          : lease->seen_at + node->limits.lease_us / HELD_DIVISOR;
}

static void
start_write (struct GspanNode *node, enum GspanStoreOp op, const char *holder, guint64 fence,
             struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;
  struct GspanRef ref = { GSPAN_OWNER_WEIGHTS, gspan_node_next_id (node) };
  struct GspanStoreCall *call
      = gspan_outbox_store (outbox, ref, op, LEASE_KIND, GSPAN_ORDER_LEASE_NAME);
  guint64 last = MIN (node->now, last_order_of (node));

  lease->renewals++;
  lease->write_declares = lease->held && lease->wanted && holder[0] != '\0';
  /* From the moment at which the word to the contrary leaves, no order may follow. */
  lease->declared = lease->declared && lease->write_declares;
  call->revision = op == GSPAN_STORE_REPLACE ? lease->revision : 0;
  call->value = json_pack ("{s:s, s:I, s:I, s:I, s:b, s:I}", "holder", holder, "fence",
                           (json_int_t)fence, "renewal", (json_int_t)lease->renewals, "start",
                           (json_int_t)node->incarnation, "orders", (int)lease->write_declares,
                           "quiet_us", (json_int_t)(node->now - last));
  lease->call = ref.id;
  lease->call_renews = true;
  lease->call_sent = node->now;
}

static void
lose (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;

  if (!lease->held)
    return;
  lease->held = false;
  lease->declared = false;
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_LEASES_LOST, 1);
  log_lease (node, "lease-lost", outbox);
}

/*
 * The fencing token in OBJECT. It began at 1 and rose by 1 in some of the store's changes: one that
 * isn't between 1 and the revision is another writer's, and none before was higher than that.
 */
static guint64
fence_in (const struct GspanStoreObject *object)
{
  json_int_t fence = json_integer_value (json_object_get (object->spec, "fence"));

  if (fence < 1 || (guint64)fence > object->revision)
    return object->revision;
  return (guint64)fence;
}

/* Takes in the lease as it stands in the store. */
static void
see (struct GspanNode *node, const struct GspanStoreObject *object, struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;
  const char *holder = json_string_value (json_object_get (object->spec, "holder"));
  guint64 start = (guint64)json_integer_value (json_object_get (object->spec, "start"));
  bool idle = json_is_false (json_object_get (object->spec, "orders"));
  guint64 quiet = (guint64)json_integer_value (json_object_get (object->spec, "quiet_us"));

  if (object->revision <= lease->revision)
    return;
  lease->seen_idle = idle;
  lease->idle_from = node->now - MIN (quiet, node->limits.lease_us);
  lease->revision = object->revision;
  lease->seen_at = node->now;
  lease->fence = MAX (lease->fence, fence_in (object));
  json_decref (lease->written);
  lease->written = json_incref (object->spec);
  g_free (lease->holder);
  lease->holder = g_strdup (holder != NULL ? holder : "");
  if (g_strcmp0 (lease->holder, node->self.name) != 0 || start != node->incarnation)
    lose (node, outbox);
}

void
gspan_order_lease_receive (struct GspanNode *node, json_t *spec, guint64 revision,
                           struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;
  struct GspanStoreObject object = { 0 };

  if (!json_is_object (spec) || revision <= lease->revision)
    return;
  object.spec = spec;
  object.revision = revision;
  see (node, &object, outbox);
  lease->next_at = MAX (lease->next_at, node->now + HEARD_PAUSE_US);
}

/* Our write is in the store. */
static void
written (struct GspanNode *node, const struct GspanStoreObject *object, struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;
  bool new_holder = !lease->held;
  bool after_another = lease->holder != NULL && strcmp (lease->holder, node->self.name) != 0;
  guint64 last_order = last_order_of (node);

  see (node, object, outbox);
  if (g_strcmp0 (lease->holder, node->self.name) != 0)
    return;
  lease->held = true;
  lease->declared = lease->write_declares;
  lease->held_until = lease->call_sent + node->limits.lease_us / HELD_DIVISOR;
  if (!new_holder)
    return;
  lease->last_order = last_order;
  lease->orders_from = after_another ? last_order + node->limits.lease_us : node->now;
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_LEASES_TAKEN, 1);
  log_lease (node, "lease-taken", outbox);
}

/* Place of this node among those that would take the lease over, 0 first. */
static guint
rank_of (const struct GspanNode *node)
{
  const char *holder = node->weights.lease.holder;

  return gspan_peers_takeover_rank (node, GSPAN_ORDER_LEASE_NAME, holder != NULL ? holder : "");
}

static guint64
next_call (struct GspanNode *node)
{
  const struct GspanOrderLease *lease = &node->weights.lease;
  guint64 unchanged = node->now - lease->seen_at;
  guint64 pause = unchanged > node->limits.lease_us / HELD_DIVISOR ? POLL_SILENT_US : POLL_US;

  if (rank_of (node) >= RANKS)
    pause = POLL_SPARE_US;
  if (lease->held)
    return lease->call_sent + node->limits.lease_us / RENEW_DIVISOR;
  return node->now + pause / 2 + (guint64)g_rand_int_range (node->random, 0, (gint32)pause);
}

/* True where another node is to have the lease: orders take links that this one may have lost. */
static bool
gives_lease_up (const struct GspanNode *node)
{
  return node->draining || (node->links.cut && gspan_relay_offers_any (node));
}

static void
on_done (struct GspanNode *node, const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;
  const struct GspanStoreObject *object = gspan_store_reply_first (reply);
  bool wrote = lease->call_renews;
  bool settles = lease->must_read;

  lease->call = 0;
  lease->next_at = node->now + RETRY_US;
  lease->must_read = false;
  switch (reply->result)
    {
    case GSPAN_STORE_OK:
      if (wrote && object != NULL)
        written (node, object, outbox);
      else if (object != NULL)
        see (node, object, outbox);
      /* a renewal whose fate wasn't known may be overdue */
      lease->next_at = settles && lease->held ? node->now : next_call (node);
      break;
    case GSPAN_STORE_CONFLICT:
      if (object != NULL)
        see (node, object, outbox);
      break;
    case GSPAN_STORE_MISSING:
      if (wrote)
        lease->revision = 0;
      else if (!gives_lease_up (node) && lease->missed)
        start_write (node, GSPAN_STORE_CREATE, node->self.name, lease->fence + 1, outbox);
      else
        lease->next_at = node->now + RANK_US * MIN (RANKS, rank_of (node));
      lease->missed = !wrote;
      break;
    case GSPAN_STORE_UNKNOWN:
      lease->must_read = true;
      break;
    case GSPAN_STORE_GAP:
    case GSPAN_STORE_UNAVAILABLE:
      break;
    }
}

/* How long the lease may stay unchanged until this node takes it over. */
static guint64
patience_of (const struct GspanNode *node)
{
  guint64 patience = node->limits.lease_us / TAKE_OVER_DIVISOR;
  guint rank = rank_of (node);

  if (rank >= RANKS) /* what it knows may be seconds old */
    patience = node->limits.lease_us * SPARE_LEASES;
  return patience + rank * RANK_US;
}

static bool
may_take_over (const struct GspanNode *node)
{
  const struct GspanOrderLease *lease = &node->weights.lease;

  if (lease->revision == 0 || gives_lease_up (node))
    return false;
  return lease->holder[0] == '\0' || strcmp (lease->holder, node->self.name) == 0
         || node->now - lease->seen_at >= patience_of (node);
}

static void
act (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;

  if (lease->held && !lease->must_read)
    start_write (node, GSPAN_STORE_REPLACE, gives_lease_up (node) ? "" : node->self.name,
                 lease->fence, outbox);
  else if (!lease->must_read && may_take_over (node))
    start_write (node, GSPAN_STORE_REPLACE, node->self.name, lease->fence + 1, outbox);
  else if (lease->must_read || !node->draining)
    start_read (node, outbox);
}

void
gspan_order_lease_handle (struct GspanNode *node, const struct GspanEvent *event,
                          struct GspanOutbox *outbox)
{
  struct GspanOrderLease *lease = &node->weights.lease;

  if (event->kind == GSPAN_EVENT_STORE_DONE && event->ref.id == lease->call && lease->call != 0)
    on_done (node, event->u.store.reply, outbox);
  if (event->kind == GSPAN_EVENT_DRAIN)
    lease->next_at = 0;
  if (lease->held && node->now >= lease->held_until
      && node->now - lease->call_sent > node->limits.lease_us)
    lose (node, outbox);
  if (lease->call != 0 || node->now < lease->next_at || (node->catalog.store_fails && !lease->held))
    return;
  act (node, outbox);
}

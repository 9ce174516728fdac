#include "control/control.h"

#include <jansson.h>
#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "control/pool.h"

enum
{
  POLLS_PER_S = 40,            /* of one pool; a larger one is polled less often */
  POLLS_PER_S_UNCHECKED = 100, /* where a late order can change a replica behind our back */
  RETRY_DOUBLINGS_MAX = 4
};

#define TEND_PERIOD_US (250 * GSPAN_MS)
#define FETCH_PERIOD_US (1 * GSPAN_SECOND)
#define POLL_PERIOD_MIN_US (1 * GSPAN_SECOND)
#define POLL_TIMEOUT_US (2 * GSPAN_SECOND)
#define ORDER_LIFE_US                                                                              \
  (10 * GSPAN_SECOND) /* then the order is given up and its connection closed                      \
                       */
#define RETRY_PAUSE_US (500 * GSPAN_MS)

enum ExchangeKind
{
  EXCHANGE_STATE, /* the replica's own report */
  EXCHANGE_ORDER
};

struct Exchange
{
  guint64 id;
  enum ExchangeKind kind;
  char *pool;
  char *replica;
};

static void
exchange_free (gpointer data)
{
  struct Exchange *exchange = data;

  g_free (exchange->pool);
  g_free (exchange->replica);
  g_free (exchange);
}

void
gspan_control_init (struct GspanControl *control)
{
  control->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gspan_pool_work_free);
  control->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, exchange_free);
}

void
gspan_control_finish (struct GspanControl *control)
{
  g_hash_table_unref (control->pools);
  g_hash_table_unref (control->exchanges);
}

static struct GspanPoolWork *
find_work (struct GspanBoard *board, const char *name)
{
  struct GspanPoolWork *work = g_hash_table_lookup (board->control->pools, name);
  char *lease_name;

  if (work != NULL)
    return work;
  work = gspan_pool_work_new (name);
  work->fetch_id = gspan_board_next_id (board);
  lease_name = g_strdup_printf ("pool.%s", name);
  work->lease = gspan_leases_acquire (&board->leases, lease_name);
  g_free (lease_name);
  g_hash_table_insert (board->control->pools, work->name, work);
  return work;
}

static struct GspanAction *
start_exchange (struct GspanBoard *board, const struct GspanPoolWork *work,
                const struct GspanReplica *replica, enum ExchangeKind kind,
                struct GspanOutbox *outbox)
{
  struct Exchange *exchange = g_new0 (struct Exchange, 1);
  struct GspanRef ref = { GSPAN_OWNER_CONTROL, 0 };

  exchange->id = gspan_board_next_id (board);
  exchange->kind = kind;
  exchange->pool = g_strdup (work->name);
  exchange->replica = g_strdup (replica->name);
  g_hash_table_insert (board->control->exchanges, &exchange->id, exchange);
  ref.id = exchange->id;
  return gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref);
}

static void
log_order (const struct GspanPoolWork *work, const struct GspanReplica *replica, const char *event,
           const char *detail, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "pool", work->name);
  gspan_line_cstr (&line, "replica", replica->name);
  gspan_line_u64 (&line, "weight", work->target);
  gspan_line_u64 (&line, "fence", work->lease->fencing_token);
  gspan_line_cstr (&line, "detail", detail);
  gspan_outbox_log (outbox, "control", GSPAN_PRIORITY_INFO, &line);
}

static void
poll_replica (struct GspanBoard *board, struct GspanPoolWork *work, struct GspanReplica *replica,
              const char *address, guint64 period, struct GspanOutbox *outbox)
{
  struct GspanAction *action;

  if (replica->polling != 0 || replica->ordered != 0 || board->now < replica->poll_at)
    return;
  action = start_exchange (board, work, replica, EXCHANGE_STATE, outbox);
  replica->polling = action->ref.id;
  replica->poll_at
      = board->now + period - (guint64)g_rand_int_range (board->random, 0, (gint32)period / 4);
  action->u.http.method = g_strdup ("GET");
  action->u.http.url = g_strdup_printf ("http://%s/v1/state", address);
  action->u.http.timeout_us = POLL_TIMEOUT_US;
}

static void
order_replica (struct GspanBoard *board, struct GspanPoolWork *work, struct GspanReplica *replica,
               const char *address, struct GspanOutbox *outbox)
{
  struct GspanAction *action = start_exchange (board, work, replica, EXCHANGE_ORDER, outbox);
  json_t *body
      = json_pack ("{s:s, s:I, s:I, s:I}", "op", "load_weights", "version",
                   (json_int_t)work->target, "fence", (json_int_t)work->lease->fencing_token,
                   "deadline_ms", (json_int_t)(ORDER_LIFE_US / GSPAN_MS));
  char *text = json_dumps (body, JSON_COMPACT);

  replica->ordered = action->ref.id;
  action->u.http.method = g_strdup ("POST");
  action->u.http.url = g_strdup_printf ("http://%s/v1/order", address);
  action->u.http.body = g_bytes_new_with_free_func (text, strlen (text), free, text);
  action->u.http.timeout_us = ORDER_LIFE_US;
  action->u.http.start_deadline_us = work->lease->held_until_us;
  action->u.http.new_connection = true;
  gspan_headers_add (&action->u.http.headers, "Content-Type", GSPAN_STR ("application/json"));
  gspan_access_add_order_token (board->access, &action->u.http.headers);
  json_decref (body);
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_ORDERS, 1);
  log_order (work, replica, "order", replica->uncertain ? "uncertain" : "behind", outbox);
}

static void
fetch_target (struct GspanBoard *board, struct GspanPoolWork *work, const struct GspanPool *record,
              struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_CONTROL, work->fetch_id };
  char *path;

  if (work->fetching || board->now < work->fetch_at)
    return;
  work->fetching = true;
  work->fetch_at = board->now + FETCH_PERIOD_US;
  path = g_strdup_printf ("v1/weights/%s", record->model);
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_FETCH, path, 0, NULL);
  g_free (path);
}

/* Brings the replicas up with the VM list; gives the addresses of live ones by name, borrowed. */
static GHashTable *
follow_list (struct GspanBoard *board, struct GspanPoolWork *work, const char *service)
{
  GHashTable *addresses = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < board->upstreams.items->len; i++)
    {
      const struct GspanUpstream *upstream = g_ptr_array_index (board->upstreams.items, i);

      if (strcmp (upstream->service, service) != 0 || upstream->state != GSPAN_UPSTREAM_LIVE)
        continue;
      gspan_pool_work_replica (work, upstream->name);
      g_hash_table_insert (addresses, upstream->name, upstream->address);
    }
  g_hash_table_iter_init (&iter, work->replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanReplica *replica = value;

      replica->listed = g_hash_table_contains (addresses, replica->name);
      if (!replica->listed && replica->ordered == 0)
        g_hash_table_iter_remove (&iter);
    }
  return addresses;
}

static bool
checks_fence (const struct GspanBoard *board, const char *service)
{
  const struct GspanRecord *traits
      = gspan_records_find (&board->records, GSPAN_RECORD_UPSTREAM, service);

  return traits != NULL && traits->u.upstream.checks_fence;
}

static guint64
poll_period (const struct GspanBoard *board, const struct GspanPoolWork *work, const char *service)
{
  guint64 per_s = checks_fence (board, service) ? POLLS_PER_S : POLLS_PER_S_UNCHECKED;

  return MAX (POLL_PERIOD_MIN_US, g_hash_table_size (work->replicas) * GSPAN_SECOND / per_s);
}

/* False while an order of the holder before may still reach an engine that would take it. */
static bool
may_order_now (const struct GspanBoard *board, const struct GspanPoolWork *work,
               const char *service)
{
  return checks_fence (board, service) || work->lease->previous_holder_released
         || board->now >= work->lease->acquired_at_us + ORDER_LIFE_US;
}

static void
tend_replicas (struct GspanBoard *board, struct GspanPoolWork *work,
               const struct GspanRecord *record, struct GspanOutbox *outbox)
{
  const struct GspanPool *pool = &record->u.pool;
  GHashTable *addresses = follow_list (board, work, pool->service);
  guint64 period = poll_period (board, work, pool->service);
  struct GspanReplica *replica;
  GHashTableIter iter;
  gpointer name;
  gpointer address;

  g_hash_table_iter_init (&iter, addresses);
  while (g_hash_table_iter_next (&iter, &name, &address))
    poll_replica (board, work, gspan_pool_work_replica (work, name), address, period, outbox);
  while (!record->paused && may_order_now (board, work, pool->service)
         && (replica = gspan_pool_work_next (work, pool->max_out, board->now)) != NULL)
    order_replica (board, work, replica, g_hash_table_lookup (addresses, replica->name), outbox);
  g_hash_table_unref (addresses);
}

static void
add_condition (json_t *list, const char *type, bool holds, const char *reason)
{
  json_array_append_new (list, json_pack ("{s:s, s:s, s:s}", "type", type, "status",
                                          holds ? "true" : "false", "reason", reason));
}

static json_t *
make_conditions (const struct GspanBoard *board, const struct GspanPoolWork *work,
                 const struct GspanRecord *record, const struct GspanPoolCounts *counts)
{
  bool waiting = !may_order_now (board, work, record->u.pool.service);
  bool rolled = counts->at_target + counts->ahead == counts->live && work->target != 0;
  json_t *list = json_array ();
  const char *reason = "under way";

  if (record->paused)
    reason = "paused by its record";
  else if (work->target == 0)
    reason = "the weight store has named no version";
  else if (waiting)
    reason = "an order of the holder before may still be open";
  add_condition (list, "rolled_out", rolled, rolled ? "" : reason);
  add_condition (list, "store_reachable", !work->store_failing,
                 work->store_failing ? "its last read failed" : "");
  add_condition (list, "replicas_certain", counts->uncertain == 0,
                 counts->uncertain == 0 ? "" : "a weight swap failed");
  add_condition (list, "replicas_reachable", counts->unreachable == 0,
                 counts->unreachable == 0 ? "" : "no report");
  return list;
}

static void
report_status (struct GspanBoard *board, const struct GspanPoolWork *work,
               const struct GspanRecord *record)
{
  struct GspanPoolCounts counts = gspan_pool_work_count (work);

  gspan_statuses_set (
      &board->statuses, work->lease->name,
      json_pack ("{s:s, s:s, s:I, s:I, s:I, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:o}", "kind",
                 "pool", "owner", board->self.name, "fence", (json_int_t)work->lease->fencing_token,
                 "observed_version", (json_int_t)record->version, "target",
                 (json_int_t)work->target, "replicas", (int)counts.live, "at_target",
                 (int)counts.at_target, "ordered", (int)counts.ordered, "behind",
                 (int)counts.behind, "ahead", (int)counts.ahead, "uncertain", (int)counts.uncertain,
                 "set_aside", (int)counts.set_aside, "unreachable", (int)counts.unreachable,
                 "conditions", make_conditions (board, work, record, &counts)));
}

static guint
open_orders (const struct GspanControl *control, const char *pool)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, control->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct Exchange *exchange = value;

      count += exchange->kind == EXCHANGE_ORDER && strcmp (exchange->pool, pool) == 0;
    }
  return count;
}

/* Closes the connections of a pool's orders: an engine that has not begun one won't. */
static void
cancel_orders (struct GspanBoard *board, const char *pool, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, board->control->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct Exchange *exchange = value;
      struct GspanRef ref = { GSPAN_OWNER_CONTROL, exchange->id };

      if (exchange->kind != EXCHANGE_ORDER || strcmp (exchange->pool, pool) != 0)
        continue;
      gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
      g_hash_table_iter_remove (&iter);
    }
}

/* Without the lease nothing new is begun; while it is being given up, open orders may end. */
static void
stand_down (struct GspanBoard *board, struct GspanPoolWork *work, struct GspanOutbox *outbox)
{
  bool giving_up = board->now < work->lease->held_until_us;

  if (!giving_up)
    cancel_orders (board, work->name, outbox);
  g_hash_table_remove_all (work->replicas);
  gspan_statuses_drop (&board->statuses, work->lease->name);
  work->lease->has_open_work = giving_up && open_orders (board->control, work->name) > 0;
}

static void
tend (struct GspanBoard *board, struct GspanPoolWork *work, struct GspanOutbox *outbox)
{
  const struct GspanRecord *record
      = gspan_records_find (&board->records, GSPAN_RECORD_POOL, work->name);

  if (record == NULL || !gspan_lease_held (work->lease, board->now))
    {
      stand_down (board, work, outbox);
      return;
    }
  if (board->now < work->tend_at)
    return;
  work->tend_at = board->now + TEND_PERIOD_US;
  fetch_target (board, work, &record->u.pool, outbox);
  tend_replicas (board, work, record, outbox);
  report_status (board, work, record);
  work->lease->has_open_work = open_orders (board->control, work->name) > 0;
}

static void
on_tick (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  GPtrArray *list = gspan_records_list (&board->records, GSPAN_RECORD_POOL);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < list->len; i++)
    find_work (board, ((const struct GspanRecord *)g_ptr_array_index (list, i))->name);
  g_ptr_array_unref (list);
  g_hash_table_iter_init (&iter, board->control->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tend (board, value, outbox);
}

static struct GspanPoolWork *
work_by_fetch (struct GspanControl *control, guint64 id)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((struct GspanPoolWork *)value)->fetch_id == id)
        return value;
    }
  return NULL;
}

static void
on_target (struct GspanBoard *board, const struct GspanEvent *event)
{
  struct GspanPoolWork *work = work_by_fetch (board->control, event->ref.id);
  struct GspanStr text = gspan_str_from_bytes (event->u.object.body);
  json_t *root = NULL;
  json_int_t version;

  if (work == NULL)
    return;
  work->fetching = false;
  if (event->u.object.result == GSPAN_OBJECT_OK && text.data != NULL)
    root = json_loadb (text.data, text.len, 0, NULL);
  version = json_integer_value (json_object_get (root, "version"));
  work->store_failing = version <= 0;
  if (version > 0 && (guint64)version > work->target)
    {
      work->target = (guint64)version;
      work->tend_at = 0;
    }
  json_decref (root);
}

/* An engine that has seen a higher fencing number says so; ours rises above it, if still ours. */
static void
note_refusal (struct GspanPoolWork *work, const struct GspanEventHttp *answer)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *root;
  json_int_t fence;

  if (answer->status != 409 || text.data == NULL)
    return;
  root = json_loadb (text.data, text.len, 0, NULL);
  fence = json_integer_value (json_object_get (root, "fence"));
  gspan_lease_raise_fencing_token (work->lease, (guint64)MAX (fence, 0));
  json_decref (root);
}

static void
on_order_done (struct GspanBoard *board, struct GspanPoolWork *work, struct GspanReplica *replica,
               const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  bool good = answer->result == GSPAN_HTTP_COMPLETE && answer->status == 200;
  guint64 pause = RETRY_PAUSE_US << MIN (replica->failures, (guint)RETRY_DOUBLINGS_MAX);

  replica->ordered = 0;
  replica->known = false;
  replica->poll_at = 0;
  work->tend_at = 0;
  if (good)
    {
      replica->failures = 0;
      return;
    }
  replica->failures++;
  replica->order_at
      = board->now + pause - (guint64)g_rand_int_range (board->random, 0, (gint32)pause / 4);
  note_refusal (work, answer);
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_ORDERS_FAILED, 1);
  log_order (work, replica, "order-failed",
             answer->status == 409 ? "refused: old fence" : "no good answer", outbox);
}

static void
on_exchange_done (struct GspanBoard *board, const struct GspanEvent *event,
                  struct GspanOutbox *outbox)
{
  struct Exchange *exchange = g_hash_table_lookup (board->control->exchanges, &event->ref.id);
  struct GspanPoolWork *work;
  struct GspanReplica *replica;

  if (exchange == NULL)
    return;
  work = g_hash_table_lookup (board->control->pools, exchange->pool);
  replica = g_hash_table_lookup (work->replicas, exchange->replica);
  if (replica != NULL && replica->ordered == event->ref.id)
    on_order_done (board, work, replica, &event->u.http, outbox);
  else if (replica != NULL && replica->polling == event->ref.id)
    {
      gspan_replica_take_report (replica, &event->u.http);
      if (replica->known && (replica->uncertain || replica->weight < work->target))
        work->tend_at = 0;
    }
  g_hash_table_remove (board->control->exchanges, &event->ref.id);
}

void
gspan_control_handle (struct GspanBoard *board, const struct GspanEvent *event,
                      struct GspanOutbox *outbox)
{
  if (event->kind == GSPAN_EVENT_TICK)
    on_tick (board, outbox);
  else if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    on_target (board, event);
  else if (event->kind == GSPAN_EVENT_HTTP_DONE)
    on_exchange_done (board, event, outbox);
}

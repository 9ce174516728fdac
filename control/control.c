#include "control/control.h"

#include <jansson.h>
#include <string.h>

#include "board/board.h"
#include "common/clock.h"

#define POLL_PERIOD_US (1 * GSPAN_SECOND)
#define POLL_TIMEOUT_US (2 * GSPAN_SECOND)
#define ORDER_TIMEOUT_US (20 * GSPAN_SECOND)
#define RETRY_PAUSE_US (1 * GSPAN_SECOND)

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

/* What the holder knows of one replica from that replica's own word. */
struct Replica
{
  char *name;
  bool known;
  bool uncertain;
  guint64 weight;
  guint64 ordered; /* exchange of the order under way; 0 is none */
  guint64 polling; /* exchange of the report under way; 0 is none */
  guint64 poll_at;
  guint64 order_at;
};

struct Pool
{
  char *name;
  struct GspanLease *lease;
  guint64 id; /* of its reads of the weight store */
  bool fetching;
  guint64 fetch_at;
  guint64 target;       /* newest version in the weight store */
  GHashTable *replicas; /* name to struct Replica, owns them */
};

static void
exchange_free (gpointer data)
{
  struct Exchange *exchange = data;

  g_free (exchange->pool);
  g_free (exchange->replica);
  g_free (exchange);
}

static void
replica_free (gpointer data)
{
  struct Replica *replica = data;

  g_free (replica->name);
  g_free (replica);
}

static void
pool_free (gpointer data)
{
  struct Pool *pool = data;

  g_free (pool->name);
  g_hash_table_unref (pool->replicas);
  g_free (pool);
}

void
gspan_control_init (struct GspanControl *control)
{
  control->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  control->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, exchange_free);
}

void
gspan_control_finish (struct GspanControl *control)
{
  g_hash_table_unref (control->pools);
  g_hash_table_unref (control->exchanges);
}

static struct Pool *
find_pool (struct GspanBoard *board, const char *name)
{
  struct Pool *pool = g_hash_table_lookup (board->control->pools, name);
  char *lease_name;

  if (pool != NULL)
    return pool;
  pool = g_new0 (struct Pool, 1);
  pool->name = g_strdup (name);
  pool->id = gspan_board_next_id (board);
  pool->replicas = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, replica_free);
  lease_name = g_strdup_printf ("pool.%s", name);
  pool->lease = gspan_leases_want (&board->leases, lease_name);
  g_free (lease_name);
  g_hash_table_insert (board->control->pools, pool->name, pool);
  return pool;
}

static struct Replica *
find_replica (struct Pool *pool, const char *name)
{
  struct Replica *replica = g_hash_table_lookup (pool->replicas, name);

  if (replica != NULL)
    return replica;
  replica = g_new0 (struct Replica, 1);
  replica->name = g_strdup (name);
  g_hash_table_insert (pool->replicas, replica->name, replica);
  return replica;
}

static struct GspanAction *
start_exchange (struct GspanBoard *board, struct Pool *pool, struct Replica *replica,
                enum ExchangeKind kind, struct GspanOutbox *outbox)
{
  struct Exchange *exchange = g_new0 (struct Exchange, 1);
  struct GspanRef ref = { GSPAN_OWNER_CONTROL, 0 };

  exchange->id = gspan_board_next_id (board);
  exchange->kind = kind;
  exchange->pool = g_strdup (pool->name);
  exchange->replica = g_strdup (replica->name);
  g_hash_table_insert (board->control->exchanges, &exchange->id, exchange);
  ref.id = exchange->id;
  return gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref);
}

static void
poll_replica (struct GspanBoard *board, struct Pool *pool, struct Replica *replica,
              const struct GspanUpstream *upstream, struct GspanOutbox *outbox)
{
  struct GspanAction *action;

  if (replica->polling != 0 || replica->ordered != 0 || board->now < replica->poll_at)
    return;
  action = start_exchange (board, pool, replica, EXCHANGE_STATE, outbox);
  replica->polling = action->ref.id;
  replica->poll_at = board->now + POLL_PERIOD_US;
  action->u.http.method = g_strdup ("GET");
  action->u.http.url = g_strdup_printf ("http://%s/v1/state", upstream->address);
  action->u.http.timeout_us = POLL_TIMEOUT_US;
}

static void
log_order (const struct Pool *pool, const struct Replica *replica, const char *event,
           const char *detail, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "pool", pool->name);
  gspan_line_cstr (&line, "replica", replica->name);
  gspan_line_u64 (&line, "weight", pool->target);
  gspan_line_u64 (&line, "fence", pool->lease->fence);
  gspan_line_cstr (&line, "detail", detail);
  gspan_outbox_log (outbox, "control", GSPAN_PRIORITY_INFO, &line);
}

static void
order_replica (struct GspanBoard *board, struct Pool *pool, struct Replica *replica,
               const struct GspanUpstream *upstream, struct GspanOutbox *outbox)
{
  struct GspanAction *action = start_exchange (board, pool, replica, EXCHANGE_ORDER, outbox);
  json_t *body = json_pack ("{s:s, s:I, s:I, s:I}", "op", "load_weights", "version",
                            (json_int_t)pool->target, "fence", (json_int_t)pool->lease->fence,
                            "deadline_ms", (json_int_t)(ORDER_TIMEOUT_US / GSPAN_MS));
  char *text = json_dumps (body, JSON_COMPACT);

  replica->ordered = action->ref.id;
  action->u.http.method = g_strdup ("POST");
  action->u.http.url = g_strdup_printf ("http://%s/v1/order", upstream->address);
  action->u.http.body = g_bytes_new_with_free_func (text, strlen (text), free, text);
  action->u.http.timeout_us = ORDER_TIMEOUT_US;
  gspan_headers_add (&action->u.http.headers, "Content-Type", GSPAN_STR ("application/json"));
  json_decref (body);
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_ORDERS, 1);
  log_order (pool, replica, "order", replica->uncertain ? "uncertain" : "behind", outbox);
}

static bool
needs_order (const struct GspanBoard *board, const struct Pool *pool, const struct Replica *replica)
{
  return replica->known && replica->ordered == 0 && board->now >= replica->order_at
         && pool->target != 0 && (replica->uncertain || replica->weight != pool->target);
}

static guint
count_ordered (const struct Pool *pool)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, pool->replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((struct Replica *)value)->ordered != 0;
  return count;
}

static void
fetch_target (struct GspanBoard *board, struct Pool *pool, const struct GspanPool *record,
              struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_CONTROL, pool->id };
  char *path;

  if (pool->fetching || board->now < pool->fetch_at)
    return;
  pool->fetching = true;
  pool->fetch_at = board->now + POLL_PERIOD_US;
  path = g_strdup_printf ("v1/weights/%s", record->model);
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_FETCH, path, 0, NULL);
  g_free (path);
}

static void
tend_replicas (struct GspanBoard *board, struct Pool *pool, const struct GspanPool *record,
               struct GspanOutbox *outbox)
{
  guint ordered = count_ordered (pool);

  for (guint i = 0; i < board->upstreams.items->len; i++)
    {
      struct GspanUpstream *upstream = g_ptr_array_index (board->upstreams.items, i);
      struct Replica *replica;

      if (strcmp (upstream->service, record->service) != 0
          || upstream->state != GSPAN_UPSTREAM_LIVE)
        continue;
      replica = find_replica (pool, upstream->name);
      poll_replica (board, pool, replica, upstream, outbox);
      if (!needs_order (board, pool, replica) || ordered >= record->max_out)
        continue;
      order_replica (board, pool, replica, upstream, outbox);
      ordered++;
    }
}

static void
report_status (struct GspanBoard *board, const struct Pool *pool, const struct GspanRecord *record)
{
  GHashTableIter iter;
  gpointer value;
  int known = 0;
  int at_target = 0;
  int uncertain = 0;

  g_hash_table_iter_init (&iter, pool->replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct Replica *replica = value;

      known += replica->known;
      uncertain += replica->known && replica->uncertain;
      at_target += replica->known && !replica->uncertain && replica->weight == pool->target;
    }
  gspan_statuses_set (&board->statuses, pool->name,
                      json_pack ("{s:s, s:s, s:I, s:I, s:I, s:i, s:i, s:i}", "kind", "pool",
                                 "owner", board->self.name, "fence", (json_int_t)pool->lease->fence,
                                 "observed_version", (json_int_t)record->version, "target",
                                 (json_int_t)pool->target, "replicas", known, "at_target",
                                 at_target, "uncertain", uncertain));
}

static void
tend_pool (struct GspanBoard *board, const struct GspanRecord *record, struct GspanOutbox *outbox)
{
  struct Pool *pool = find_pool (board, record->name);

  if (!gspan_lease_held (pool->lease, board->now))
    {
      g_hash_table_remove_all (pool->replicas);
      gspan_statuses_drop (&board->statuses, pool->name);
      return;
    }
  fetch_target (board, pool, &record->u.pool, outbox);
  if (!record->paused)
    tend_replicas (board, pool, &record->u.pool, outbox);
  report_status (board, pool, record);
}

static void
on_tick (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  GPtrArray *list = gspan_records_list (&board->records, GSPAN_RECORD_POOL);

  for (guint i = 0; i < list->len; i++)
    tend_pool (board, g_ptr_array_index (list, i), outbox);
  g_ptr_array_unref (list);
}

static struct Pool *
pool_by_id (struct GspanControl *control, guint64 id)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((struct Pool *)value)->id == id)
        return value;
    }
  return NULL;
}

static void
on_target (struct GspanBoard *board, const struct GspanEvent *event)
{
  struct Pool *pool = pool_by_id (board->control, event->ref.id);
  struct GspanStr text = gspan_str_from_bytes (event->u.object.body);
  json_t *root;

  if (pool == NULL)
    return;
  pool->fetching = false;
  if (event->u.object.result != GSPAN_OBJECT_OK)
    return;
  root = json_loadb (text.data, text.len, 0, NULL);
  pool->target
      = MAX (pool->target, (guint64)json_integer_value (json_object_get (root, "version")));
  json_decref (root);
}

/* Takes in the replica's own report; no order's success is believed without it. */
static void
take_report (struct Replica *replica, const struct GspanEventHttp *answer)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *root = json_loadb (text.data != NULL ? text.data : "", text.len, 0, NULL);
  json_t *weight = json_object_get (root, "weight");

  replica->known = json_is_object (root);
  replica->uncertain = !json_is_integer (weight);
  replica->weight = (guint64)json_integer_value (weight);
  json_decref (root);
}

static void
on_order_done (struct GspanBoard *board, struct Pool *pool, struct Replica *replica,
               const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  bool good = answer->result == GSPAN_HTTP_WHOLE && answer->status == 200;

  replica->ordered = 0;
  replica->known = false;
  replica->poll_at = 0;
  if (good)
    return;
  replica->order_at = board->now + RETRY_PAUSE_US;
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_ORDERS_FAILED, 1);
  log_order (pool, replica, "order-failed",
             answer->status == 409 ? "refused: old fence" : "no good answer", outbox);
}

static void
on_exchange_done (struct GspanBoard *board, const struct GspanEvent *event,
                  struct GspanOutbox *outbox)
{
  struct Exchange *exchange = g_hash_table_lookup (board->control->exchanges, &event->ref.id);
  const struct GspanEventHttp *answer = &event->u.http;
  struct Pool *pool;
  struct Replica *replica;

  if (exchange == NULL)
    return;
  pool = g_hash_table_lookup (board->control->pools, exchange->pool);
  replica = g_hash_table_lookup (pool->replicas, exchange->replica);
  if (replica != NULL && replica->ordered == event->ref.id)
    on_order_done (board, pool, replica, answer, outbox);
  else if (replica != NULL && replica->polling == event->ref.id)
    {
      replica->polling = 0;
      if (answer->result == GSPAN_HTTP_WHOLE && answer->status == 200)
        take_report (replica, answer);
      else
        replica->known = false;
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

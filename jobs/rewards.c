#include "jobs/rewards.h"

#include "catalog/pick.h"
#include "common/clock.h"
#include "jobs/checkpoint.h"
#include "jobs/run.h"
#include "node/node.h"
#include "platform/wire.h"

#define SCHEDULE_INTERVAL_US (50 * GSPAN_MS)
#define REPORT_INTERVAL_US (GSPAN_SECOND)
#define BUSY_BACKOFF_US (100 * GSPAN_MS) /* of a replica that rejected a call */

enum
{
  STATUS_INTERNAL_ERROR = 500
};

/* What a call brought. */
enum Outcome
{
  OUTCOME_SCORED,
  OUTCOME_SERVER_ERROR, /* a response of 500: counts toward abandoning the item */
  OUTCOME_REJECTED,     /* the replica didn't run it */
  OUTCOME_FAILED,       /* another answer of the replica */
  OUTCOME_LOST          /* no answer, or one that isn't the replica's */
};

static void
call_free (gpointer data)
{
  struct GspanRewardCall *call = data;

  call->replica->open--;
  call->item->reward.open_calls--;
  gspan_replica_unref (call->replica);
  g_free (call);
}

void
gspan_rewards_init (struct GspanRewards *rewards)
{
  *rewards = (struct GspanRewards){ 0 };
  rewards->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
}

void
gspan_rewards_finish (struct GspanRewards *rewards)
{
  g_hash_table_unref (rewards->calls);
}

guint
gspan_rewards_count_unscored (const struct GspanNode *node)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->jobs.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanJob *job = value;

      count += job->is_owner ? job->unscored_items.length : 0;
    }
  return count;
}

static const struct GspanConfigRoute *
route_of (const struct GspanNode *node, const struct GspanItem *item)
{
  const struct GspanRewardRequest *reward = item->submitted->reward;

  return gspan_config_match (&node->catalog.config, gspan_str_from (reward->host),
                             gspan_str_from (reward->path));
}

static void
line_init (struct GspanLine *line, const char *event, const struct GspanJob *job,
           const struct GspanItem *item)
{
  gspan_line_init (line, event);
  gspan_line_cstr (line, "job", job->id);
  gspan_line_cstr (line, "item", item->submitted->id);
  gspan_line_cstr (line, "id", item->submitted->reward->id);
}

static void
log_start (const struct GspanRewardCall *call, const char *relay, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  line_init (&line, "reward-call-started", call->job, call->item);
  gspan_line_cstr (&line, "upstream", call->replica->id);
  gspan_line_u64 (&line, "failures", call->item->reward.failures);
  gspan_line_u64 (&line, "open", call->item->reward.open_calls);
  gspan_line_u64 (&line, "open_there", call->replica->open);
  gspan_line_cstr (&line, "relay", relay != NULL ? relay : "");
  gspan_outbox_log (outbox, "rewards", GSPAN_PRIORITY_INFO, &line);
}

static void
log_end (const struct GspanNode *node, const struct GspanRewardCall *call, enum Outcome outcome,
         int status, struct GspanOutbox *outbox)
{
  static const char *const names[] = { "scored", "server-error", "rejected", "failed", "lost" };
  struct GspanLine line;

  line_init (&line, "reward-call-ended", call->job, call->item);
  gspan_line_cstr (&line, "upstream", call->replica->id);
  gspan_line_cstr (&line, "outcome", names[outcome]);
  gspan_line_int (&line, "status", status);
  gspan_line_u64 (&line, "server_errors", call->item->reward.server_errors);
  gspan_line_u64 (&line, "elapsed_us", node->now - call->sent_at_us);
  gspan_outbox_log (outbox, "rewards", GSPAN_PRIORITY_INFO, &line);
}

/* Calls of ITEM in flight, of struct GspanRewardCall. Release with g_list_free (). */
static GList *
calls_of (const struct GspanNode *node, const struct GspanItem *item)
{
  GList *found = NULL;
  GHashTableIter iter;
  gpointer value;

  if (item->reward.open_calls == 0)
    return NULL;
  g_hash_table_iter_init (&iter, node->rewards.calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((const struct GspanRewardCall *)value)->item == item)
        found = g_list_prepend (found, value);
    }
  return found;
}

static void
cancel_call (struct GspanNode *node, struct GspanRewardCall *call, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_REWARDS, call->id };

  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
  g_hash_table_remove (node->rewards.calls, &call->id);
}

static void
cancel_calls_of (struct GspanNode *node, const struct GspanItem *item, struct GspanOutbox *outbox)
{
  GList *calls = calls_of (node, item);

  for (GList *entry = calls; entry != NULL; entry = entry->next)
    cancel_call (node, entry->data, outbox);
  g_list_free (calls);
}

void
gspan_rewards_stop (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  GList *calls = g_hash_table_get_values (node->rewards.calls);

  for (GList *entry = calls; entry != NULL; entry = entry->next)
    {
      struct GspanRewardCall *call = entry->data;

      if (call->job == job)
        cancel_call (node, call, outbox);
    }
  g_list_free (calls);
}

static void
start_call (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
            struct GspanReplica *replica, guint64 timeout_us, struct GspanOutbox *outbox)
{
  const struct GspanRewardRequest *reward = item->submitted->reward;
  struct GspanRewardCall *call = g_new0 (struct GspanRewardCall, 1);
  struct GspanRef ref = { GSPAN_OWNER_REWARDS, gspan_node_next_id (node) };
  struct GspanActionHttp *http
      = gspan_permits_send (node, replica, GSPAN_TRAFFIC_RUNS, ref, outbox);

  call->id = ref.id;
  call->job = job;
  call->item = item;
  call->replica = gspan_replica_ref (replica);
  call->sent_at_us = node->now;
  replica->open++;
  item->reward.open_calls++;
  item->reward.last_sent_at_us = node->now;
  g_hash_table_insert (node->rewards.calls, &call->id, call);
  http->method = g_strdup ("POST");
  http->url = g_strdup_printf ("http://%s%s", replica->address, reward->path);
  http->body = g_bytes_ref (reward->body);
  http->timeout_us = timeout_us;
  http->http_framing_only = true;
  http->tcp_keepalive = true;
  http->required_header = gspan_wire_attempt_id_line (gspan_str_from (reward->id));
  gspan_wire_write_reward_headers (reward, replica->id, timeout_us, &http->headers);
  if (node->catalog.config.accounts.enabled)
    gspan_wire_set_account (&http->headers, job->account);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_REWARD_CALLS, 1);
  log_start (call, gspan_exchanges_relay_of (node, ref.id), outbox);
}

/* Ids of the replicas that have a call of ITEM. Release with g_ptr_array_unref (). */
static GPtrArray *
replicas_with_call (const struct GspanNode *node, const struct GspanItem *item)
{
  GPtrArray *ids = g_ptr_array_new ();
  GList *calls = calls_of (node, item);

  for (GList *entry = calls; entry != NULL; entry = entry->next)
    g_ptr_array_add (ids, ((struct GspanRewardCall *)entry->data)->replica->id);
  g_list_free (calls);
  return ids;
}

/*
 * Returns the replica of SERVICE for the next call of ITEM, or NULL if none has room. Asks for a
 * permit at those that lack only that.
 */
static struct GspanReplica *
pick_replica (struct GspanNode *node, const struct GspanItem *item, const char *service,
              struct GspanOutbox *outbox)
{
  GPtrArray *tried = replicas_with_call (node, item);
  GPtrArray *without_permit = g_ptr_array_new ();
  struct GspanPickQuery query = { 0 };
  struct GspanReplica *replica;

  query.service = service;
  query.now = node->now;
  query.zone = node->self.zone;
  query.tried = tried;
  query.open_percent = GSPAN_REWARD_SLOTS_PERCENT;
  query.draw = g_rand_int (node->random);
  query.limits = &node->rate_limits;
  query.traffic = GSPAN_TRAFFIC_RUNS;
  query.without_permit = without_permit;
  replica = gspan_pick_replica (node->catalog.replicas, &query);
  for (guint i = 0; replica == NULL && i < without_permit->len; i++)
    gspan_permits_want (node, g_ptr_array_index (without_permit, i), GSPAN_TRAFFIC_RUNS, 1, outbox);
  g_ptr_array_unref (without_permit);
  g_ptr_array_unref (tried);
  return replica;
}

/* Logs that texts of JOB wait for a replica, for which REASON. */
static void
report_wait (struct GspanNode *node, const struct GspanJob *job, const struct GspanItem *item,
             const char *reason, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  if (node->now < node->rewards.next_report_at_us)
    return;
  node->rewards.next_report_at_us = node->now + REPORT_INTERVAL_US;
  line_init (&line, "reward-calls-wait", job, item);
  gspan_line_cstr (&line, "reason", reason);
  gspan_line_u64 (&line, "waiting", job->unscored_items.length);
  gspan_line_u64 (&line, "calls", g_hash_table_size (node->rewards.calls));
  gspan_line_u64 (&line, "config", node->catalog.config.number);
  gspan_line_u64 (&line, "list_age_us", gspan_catalog_replicas_age (&node->catalog, node->now));
  gspan_outbox_log (outbox, "rewards", GSPAN_PRIORITY_WARNING, &line);
}

/* Sends the next call of ITEM, if one is due and a replica has room. */
static void
try_call (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
          struct GspanOutbox *outbox)
{
  const struct GspanConfigRoute *route = route_of (node, item);
  const char *service
      = route != NULL ? gspan_config_pick_service (route, g_rand_int (node->random)) : NULL;
  struct GspanReplica *replica;

  if (service == NULL)
    {
      report_wait (node, job, item, "no route", outbox);
      return;
    }
  if (!gspan_reward_call_due (&item->reward, node->now, route->target_us))
    return;
  replica = pick_replica (node, item, service, outbox);
  if (replica != NULL)
    start_call (node, job, item, replica, gspan_reward_timeout_us (route->timeout_us), outbox);
  else if (item->reward.open_calls == 0)
    report_wait (node, job, item, "no replica has room", outbox);
}

/* Unscored items of JOB whose text may be scored now, of struct GspanRewardRank, in order. */
static GArray *
rank_items (const struct GspanNode *node, const struct GspanJob *job)
{
  GArray *ranks = g_array_new (FALSE, FALSE, sizeof (struct GspanRewardRank));

  for (const GList *entry = job->unscored_items.head; entry != NULL; entry = entry->next)
    {
      const struct GspanItem *item = entry->data;
      struct GspanRewardRank rank;

      if (!gspan_checkpoint_covers (node, job, item))
        continue;
      rank.server_errors = item->reward.server_errors;
      rank.index = (guint)(item - job->items);
      rank.missing_count = gspan_groups_missing_count (&job->groups, rank.index);
      g_array_append_val (ranks, rank);
    }
  g_array_sort (ranks, gspan_reward_rank_compare);
  return ranks;
}

static void
schedule_job (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  GArray *ranks = rank_items (node, job);

  for (guint i = 0; i < ranks->len; i++)
    {
      struct GspanItem *item = &job->items[g_array_index (ranks, struct GspanRewardRank, i).index];

      if (item->reward.open_calls == 0 && gspan_run_abandon_if_due (node, job, item, outbox))
        continue;
      if (item->reward.owed_since_us == 0)
        item->reward.owed_since_us = node->now;
      try_call (node, job, item, outbox);
    }
  g_array_unref (ranks);
}

void
gspan_rewards_schedule (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GList *jobs = gspan_jobs_by_age (&node->jobs);

  node->rewards.next_schedule_at_us = node->now + SCHEDULE_INTERVAL_US;
  for (GList *entry = jobs; entry != NULL; entry = entry->next)
    {
      struct GspanJob *job = entry->data;

      if (gspan_job_is_run_here (job) && job->unscored_items.length > 0)
        schedule_job (node, job, outbox);
    }
  g_list_free (jobs);
}

void
gspan_rewards_add (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
                   struct GspanOutbox *outbox)
{
  if (item->state == GSPAN_ITEM_COMMITTED)
    return;
  gspan_job_set_state (job, item, GSPAN_ITEM_UNSCORED);
  item->reward.owed_since_us = node->now;
  gspan_checkpoint_write_if_due (node, job, false, outbox);
  gspan_rewards_schedule (node, outbox);
}

/* Responses of 500 after which ITEM may be abandoned: what both of its routes allow. */
static guint
server_errors_max (const struct GspanNode *node, const struct GspanJob *job,
                   const struct GspanItem *item)
{
  const struct GspanConfigRoute *of_call = route_of (node, item);
  const struct GspanConfigRoute *of_job = gspan_jobs_route_of (node, job);

  return MAX (of_call != NULL ? of_call->attempts_max : 1,
              of_job != NULL ? of_job->attempts_max : 1);
}

static enum Outcome
outcome_of (const struct GspanEventHttp *answer, const struct GspanWireResponse *wire)
{
  if (answer->result != GSPAN_HTTP_COMPLETE)
    return OUTCOME_LOST;
  if (wire->not_run)
    return OUTCOME_REJECTED;
  /* What is no text fits in no result. */
  if (!wire->signed_by_replica
      || !g_utf8_validate (wire->signature.data, (gssize)wire->signature.len, NULL))
    return OUTCOME_LOST;
  if (answer->status >= 200 && answer->status < 300)
    return OUTCOME_SCORED;
  return answer->status == STATUS_INTERNAL_ERROR ? OUTCOME_SERVER_ERROR : OUTCOME_FAILED;
}

/* Notes what OUTCOME shows of REPLICA. */
static void
note_replica (const struct GspanNode *node, struct GspanReplica *replica, enum Outcome outcome,
              const struct GspanEventHttp *answer, const struct GspanWireResponse *wire)
{
  switch (outcome)
    {
    case OUTCOME_SCORED:
      gspan_replica_worked (replica);
      break;
    case OUTCOME_REJECTED:
      replica->misdirected = replica->misdirected || wire->misdirected;
      replica->avoid_until = MAX (replica->avoid_until, node->now + BUSY_BACKOFF_US);
      break;
    case OUTCOME_LOST:
      if (!answer->failed_at_relay)
        gspan_replica_failed (replica, node->now);
      break;
    case OUTCOME_SERVER_ERROR:
    case OUTCOME_FAILED:
      break;
    }
}

static void
finish_scored (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
               struct GspanStr score, struct GspanOutbox *outbox)
{
  cancel_calls_of (node, item, outbox);
  item->result->score = gspan_str_dup (score);
  gspan_metrics_observe (&node->metrics, GSPAN_HISTOGRAM_REWARD,
                         node->now - item->reward.owed_since_us);
  gspan_run_finish_item (node, job, item, true, outbox);
}

static void
note_failure (struct GspanNode *node, struct GspanJob *job, struct GspanItem *item,
              enum Outcome outcome, struct GspanOutbox *outbox)
{
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_REWARD_CALLS_FAILED, 1);
  gspan_reward_note_failure (&item->reward, node->now, g_rand_int (node->random));
  if (outcome != OUTCOME_SERVER_ERROR)
    return;
  item->reward.server_errors++;
  if (item->reward.server_errors < server_errors_max (node, job, item))
    return;
  cancel_calls_of (node, item, outbox);
  gspan_run_finish_item (node, job, item, false, outbox);
}

static void
on_done (struct GspanNode *node, struct GspanRewardCall *call, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanJob *job = call->job;
  struct GspanItem *item = call->item;
  struct GspanWireResponse wire;
  enum Outcome outcome;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  gspan_leaving_note_answer (node, call->replica, &wire, outbox);
  gspan_limits_note_answer (node, call->replica, &wire, call->sent_at_us, outbox);
  outcome = outcome_of (answer, &wire);
  log_end (node, call, outcome, answer->status, outbox);
  note_replica (node, call->replica, outcome, answer, &wire);
  g_hash_table_remove (node->rewards.calls, &call->id);
  if (item->state != GSPAN_ITEM_UNSCORED)
    return;
  if (outcome == OUTCOME_SCORED)
    finish_scored (node, job, item, wire.signature, outbox);
  else
    note_failure (node, job, item, outcome, outbox);
}

void
gspan_rewards_handle (struct GspanNode *node, const struct GspanEvent *event,
                      struct GspanOutbox *outbox)
{
  struct GspanRewardCall *call;

  if (event->kind == GSPAN_EVENT_TICK && node->now >= node->rewards.next_schedule_at_us)
    gspan_rewards_schedule (node, outbox);
  if (event->kind != GSPAN_EVENT_HTTP_DONE)
    return;
  call = g_hash_table_lookup (node->rewards.calls, &event->ref.id);
  if (call == NULL)
    return;
  on_done (node, call, &event->u.http, outbox);
  gspan_rewards_schedule (node, outbox);
}

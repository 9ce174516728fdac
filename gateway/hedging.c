#include "gateway/hedging.h"

#include "catalog/pick.h"
#include "common/clock.h"
#include "gateway/attempts.h"
#include "gateway/hedge_budget.h"
#include "gateway/latency.h"
#include "node/node.h"

#define QUANTILE_LIFE_US (100 * GSPAN_MS) /* it is asked for at each tick by each open call */
#define SERVICE_LIFE_US (600 * GSPAN_SECOND)

enum
{
  QUANTILE_PERCENT = 95
};

enum Reason
{
  REASON_SENT,
  REASON_OFF,
  REASON_BUDGET,
  REASON_BUSY,
  REASON_NO_REPLICA, /* none takes it now, or it waits for a permit */
  REASON_LINKS_DOWN  /* sent through another node; no part of the share */
};

struct Service
{
  struct GspanHedgeBudget budget;
  struct GspanLatency latency;
  guint64 usual_us;   /* quantile of LATENCY when it was last computed */
  guint64 usual_till; /* it is computed anew after this */
  guint64 used_at;
};

void
gspan_hedging_init (struct GspanHedging *hedging, bool has_share, guint share_percent)
{
  hedging->has_share = has_share;
  hedging->share_percent = share_percent;
  hedging->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gspan_hedging_finish (struct GspanHedging *hedging)
{
  g_hash_table_unref (hedging->services);
}

static gboolean
is_unused (gpointer name, gpointer value, gpointer user)
{
  const struct Service *service = value;
  const guint64 *now = user;

  (void)name;
  return *now >= service->used_at + SERVICE_LIFE_US;
}

static struct Service *
find_service (struct GspanNode *node, const struct GspanCall *call)
{
  GHashTable *services = node->gateway.hedging.services;
  struct Service *service = g_hash_table_lookup (services, call->service);

  if (service == NULL)
    {
      g_hash_table_foreach_remove (services, is_unused, &node->now);
      service = g_new0 (struct Service, 1);
      g_hash_table_insert (services, g_strdup (call->service), service);
    }
  service->used_at = node->now;
  return service;
}

static guint64
usual_us_of (const struct GspanNode *node, struct Service *service)
{
  if (node->now >= service->usual_till)
    {
      service->usual_us = gspan_latency_quantile (&service->latency, node->now, QUANTILE_PERCENT);
      service->usual_till = node->now + QUANTILE_LIFE_US;
    }
  return service->usual_us;
}

/* Logs and counts the decision, once for each call and reason. */
static void
note_decision (struct GspanNode *node, struct GspanCall *call, enum Reason reason,
               const struct Service *service, struct GspanOutbox *outbox)
{
  static const char *const names[]
      = { "sent", "off", "budget", "busy", "no-replica", "links-down" };
  const struct GspanAttempt *first = g_ptr_array_index (call->open, 0);
  struct GspanPickLoad load;
  struct GspanLine line;

  if ((call->hedge_reasons & 1U << reason) != 0)
    return;
  call->hedge_reasons |= 1U << reason;
  if (reason == REASON_BUDGET)
    gspan_metrics_add (&node->metrics, GSPAN_METRIC_HEDGES_NO_BUDGET, 1);
  if (reason == REASON_BUSY)
    gspan_metrics_add (&node->metrics, GSPAN_METRIC_HEDGES_BUSY, 1);
  if (reason == REASON_OFF)
    return;
  load = gspan_pick_load (node->catalog.replicas, call->service, node->now);
  gspan_line_init (&line, "hedge");
  gspan_line_cstr (&line, "id", call->caller_id);
  gspan_line_cstr (&line, "service", call->service);
  gspan_line_cstr (&line, "reason", names[reason]);
  gspan_line_u64 (&line, "budget_percent", service->budget.credit);
  gspan_line_u64 (&line, "share_percent", node->gateway.hedging.share_percent);
  gspan_line_u64 (&line, "usual_us", call->state.usual_latency_us);
  gspan_line_u64 (&line, "waited_us", node->now - first->sent);
  gspan_line_u64 (&line, "open_there", load.open);
  gspan_line_u64 (&line, "slots", load.slots);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
}

/* Sends another attempt; false where none has gone out. */
static bool
send_another (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  guint before = call->open->len;

  gspan_attempts_try_next (node, call, outbox);
  return call->open->len > before;
}

static bool
send_hedge (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  struct GspanAttempt *attempt;

  if (!send_another (node, call, outbox))
    return false;
  attempt = g_ptr_array_index (call->open, call->open->len - 1);
  attempt->is_hedge = true;
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_HEDGES, 1);
  return true;
}

/*
 * True where CALL's open attempt went over links of this node that are known to be down. Another
 * one then replaces it, as a retry does, and is no part of the share: otherwise only a share of the
 * calls that were open when the links were cut would be answered.
 */
static bool
is_cut_off (const struct GspanNode *node, const struct GspanCall *call)
{
  const struct GspanAttempt *attempt = g_ptr_array_index (call->open, 0);

  return node->links.cut && gspan_exchanges_relay_of (node, attempt->id) == NULL;
}

/* REASON_SENT where nothing speaks against a second attempt. */
static enum Reason
decide (const struct GspanNode *node, const struct GspanCall *call, const struct Service *service)
{
  struct GspanPickLoad load;

  if (is_cut_off (node, call))
    return REASON_LINKS_DOWN;
  if (node->gateway.hedging.share_percent == 0)
    return REASON_OFF;
  if (!gspan_hedge_budget_has_room (&service->budget))
    return REASON_BUDGET;
  load = gspan_pick_load (node->catalog.replicas, call->service, node->now);
  return gspan_hedge_is_overload (load.open, load.slots) ? REASON_BUSY : REASON_SENT;
}

static void
send_within_share (struct GspanNode *node, struct GspanCall *call, struct Service *service,
                   struct GspanOutbox *outbox)
{
  enum Reason reason = decide (node, call, service);

  if (reason == REASON_LINKS_DOWN)
    reason = send_another (node, call, outbox) ? reason : REASON_NO_REPLICA;
  else if (reason != REASON_SENT)
    gspan_attempts_doubt_links (node, call, outbox);
  else if (send_hedge (node, call, outbox))
    gspan_hedge_budget_spend (&service->budget);
  else
    reason = REASON_NO_REPLICA;
  note_decision (node, call, reason, service, outbox);
}

void
gspan_hedging_check (struct GspanNode *node, struct GspanCall *call, struct GspanOutbox *outbox)
{
  struct Service *service;

  if (call->state.repeat != GSPAN_REPEAT_ALLOWED)
    return;
  if (!node->gateway.hedging.has_share)
    {
      if (gspan_hedge_due (&call->state))
        send_hedge (node, call, outbox);
      return;
    }
  service = find_service (node, call);
  call->state.usual_latency_us = usual_us_of (node, service);
  if (gspan_hedge_due (&call->state))
    send_within_share (node, call, service, outbox);
}

bool
gspan_hedging_replaces (const struct GspanNode *node, const struct GspanCall *call, bool not_run)
{
  return not_run || call->open->len == 0 || call->state.repeat != GSPAN_REPEAT_ALLOWED
         || !node->gateway.hedging.has_share;
}

void
gspan_hedging_note_sent (struct GspanNode *node, struct GspanCall *call)
{
  const struct GspanHedging *hedging = &node->gateway.hedging;

  if (!hedging->has_share || call->is_in_share)
    return;
  call->is_in_share = true;
  gspan_hedge_budget_earn (&find_service (node, call)->budget, hedging->share_percent);
}

static void
note_time (struct GspanNode *node, const struct GspanAttempt *attempt)
{
  gspan_latency_note (&find_service (node, attempt->call)->latency, node->now,
                      node->now - attempt->sent);
}

void
gspan_hedging_note_answer (struct GspanNode *node, const struct GspanAttempt *attempt)
{
  const struct GspanCall *call = attempt->call;

  if (attempt->is_hedge)
    gspan_metrics_add (&node->metrics, GSPAN_METRIC_HEDGES_WON, 1);
  if (!node->gateway.hedging.has_share || call->state.repeat != GSPAN_REPEAT_ALLOWED)
    return;
  note_time (node, attempt);
  /* Without the first attempts that lost, each hedge would take a slow sample away. */
  for (guint i = 0; i < call->open->len; i++)
    {
      const struct GspanAttempt *other = g_ptr_array_index (call->open, i);

      if (other != attempt && !other->is_hedge)
        note_time (node, other);
    }
}

void
gspan_hedging_note_timeout (struct GspanNode *node, const struct GspanAttempt *attempt)
{
  if (node->gateway.hedging.has_share && !attempt->is_hedge
      && attempt->call->state.repeat == GSPAN_REPEAT_ALLOWED)
    note_time (node, attempt);
}

#include "links/exchanges.h"

#include <string.h>

#include "common/clock.h"
#include "links/relay_headers.h"
#include "node/node.h"

#define SILENCE_US (500 * GSPAN_MS)         /* without a byte of any replica puts links in doubt */
#define STALLED_US (400 * GSPAN_MS)         /* without a byte over a link that is down */
#define CONNECT_TIMEOUT_US (250 * GSPAN_MS) /* leaves callers time for another way */
#define OUTCOME_MARGIN_US (50 * GSPAN_MS)   /* the other node gives up before this one does */

#define CANCELLED_SILENT_US (50 * GSPAN_MS) /* an exchange cancelled sooner shows nothing */

enum
{
  SILENT_EXCHANGES = 2 /* in a row: a single one is common beside a hedge */
};

static const char url_scheme[] = "http://";

struct GspanExchange
{
  struct GspanRef ref;
  struct GspanReplica *replica;
  char *relay; /* name of the node that it goes through; NULL is none */
  char *relay_address;
  char *relay_key;
  guint64 sent_at;
  guint64 heard_at;  /* last byte of the answer; 0 is none */
  bool runs_once;    /* may not be repeated */
  bool relay_failed; /* the answer that comes is the other node's own */
};

static void
exchange_free (gpointer data)
{
  struct GspanExchange *exchange = data;

  gspan_replica_unref (exchange->replica);
  g_free (exchange->relay);
  g_free (exchange->relay_address);
  g_free (exchange->relay_key);
  g_free (exchange);
}

void
gspan_exchanges_init (struct GspanExchanges *exchanges)
{
  *exchanges = (struct GspanExchanges){ 0 };
  exchanges->items = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, exchange_free);
  gspan_headers_init (&exchanges->nothing);
}

void
gspan_exchanges_finish (struct GspanExchanges *exchanges)
{
  gspan_headers_finish (&exchanges->nothing);
  g_hash_table_unref (exchanges->items);
}

static void
forget (struct GspanNode *node, struct GspanExchange *exchange)
{
  if (exchange->relay != NULL)
    gspan_relay_offers_count (node, exchange->relay, -1);
  g_hash_table_remove (node->exchanges.items, &exchange->ref.id);
}

void
gspan_exchanges_begin_own (struct GspanNode *node, struct GspanReplica *replica,
                           struct GspanRef ref)
{
  struct GspanExchange *exchange = g_new0 (struct GspanExchange, 1);

  exchange->ref = ref;
  exchange->replica = gspan_replica_ref (replica);
  exchange->sent_at = node->now;
  g_hash_table_insert (node->exchanges.items, &exchange->ref.id, exchange);
}

void
gspan_exchanges_prefer_relay (struct GspanNode *node, struct GspanRef ref)
{
  struct GspanExchange *exchange = g_hash_table_lookup (node->exchanges.items, &ref.id);
  const struct GspanPeer *peer = gspan_relay_offers_pick (node);

  if (exchange == NULL || exchange->relay != NULL || peer == NULL)
    return;
  exchange->relay = g_strdup (peer->name);
  exchange->relay_address = g_strdup (peer->relay_address);
  exchange->relay_key = g_strdup (peer->relay_key);
  gspan_relay_offers_count (node, exchange->relay, 1);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RELAYED, 1);
}

void
gspan_exchanges_begin (struct GspanNode *node, struct GspanReplica *replica,
                       enum GspanTraffic traffic, struct GspanRef ref)
{
  gspan_exchanges_begin_own (node, replica, ref);
  if (traffic != GSPAN_TRAFFIC_ORDERS && gspan_links_is_down (&node->links, replica))
    gspan_exchanges_prefer_relay (node, ref);
}

const char *
gspan_exchanges_relay_of (const struct GspanNode *node, guint64 id)
{
  const struct GspanExchange *exchange = g_hash_table_lookup (node->exchanges.items, &id);

  return exchange != NULL ? exchange->relay : NULL;
}

void
gspan_exchanges_note_silence (struct GspanNode *node, guint64 id)
{
  const char *relay = gspan_exchanges_relay_of (node, id);

  if (relay != NULL)
    gspan_relay_offers_avoid (node, relay);
}

/* Events of an exchange over this node's own link. */
static void
note_own (struct GspanNode *node, struct GspanExchange *exchange, const struct GspanEvent *event,
          struct GspanOutbox *outbox)
{
  const struct GspanEventHttp *answer = &event->u.http;

  if (event->kind != GSPAN_EVENT_HTTP_DONE || answer->result == GSPAN_HTTP_COMPLETE
      || answer->status != 0)
    {
      exchange->heard_at = node->now;
      exchange->replica->silent_exchanges = 0;
      gspan_links_note_heard (node);
    }
  else if (exchange->heard_at == 0)
    gspan_links_note_failure (node, exchange->replica, outbox);
}

static void
log_relay_failure (const struct GspanNode *node, const struct GspanExchange *exchange,
                   const char *why, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "relay-failed");
  gspan_line_cstr (&line, "relay", exchange->relay);
  gspan_line_cstr (&line, "upstream", exchange->replica->id);
  gspan_line_cstr (&line, "why", why);
  gspan_line_u64 (&line, "elapsed_us", node->now - exchange->sent_at);
  gspan_outbox_log (outbox, "links", GSPAN_PRIORITY_INFO, &line);
}

/* The other node, or the way to it, failed: that says nothing of the replica. */
static void
set_relay_failure (struct GspanNode *node, struct GspanExchange *exchange,
                   struct GspanEventHttp *answer, const char *why, struct GspanOutbox *outbox)
{
  answer->failed_at_relay = true;
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RELAYED_FAILED, 1);
  if (answer->result == GSPAN_HTTP_LOST || answer->result == GSPAN_HTTP_TIMEOUT)
    gspan_relay_offers_avoid (node, exchange->relay);
  else
    gspan_relay_offers_withdraw (node, exchange->relay);
  log_relay_failure (node, exchange, why, outbox);
}

/* Makes ANSWER what the owner would have seen if the exchange had ended as RESULT by itself. */
static void
set_result (const struct GspanNode *node, struct GspanEventHttp *answer,
            enum GspanHttpResult result)
{
  answer->result = result;
  answer->status = 0;
  answer->headers = &node->exchanges.nothing;
}

/*
 * The other node's own answer in place of a replica's. That it didn't pass the request on says
 * nothing of a sending before, which it may have passed on.
 */
static void
read_outcome (struct GspanNode *node, struct GspanExchange *exchange, struct GspanEventHttp *answer,
              struct GspanOutbox *outbox)
{
  enum GspanHttpResult not_sent = answer->send_count > 1 ? GSPAN_HTTP_LOST : GSPAN_HTTP_NOT_SENT;
  struct GspanStr why;
  char *text;

  switch (gspan_relay_read_outcome (answer->headers, &why))
    {
    case GSPAN_RELAY_ANSWERED:
      break;
    case GSPAN_RELAY_REFUSED:
      text = gspan_str_dup (why);
      set_relay_failure (node, exchange, answer, text, outbox);
      g_free (text);
      set_result (node, answer, not_sent);
      break;
    case GSPAN_RELAY_NOT_SENT:
      set_result (node, answer, not_sent);
      break;
    case GSPAN_RELAY_LOST:
      set_result (node, answer, GSPAN_HTTP_LOST);
      break;
    case GSPAN_RELAY_TIMEOUT:
      set_result (node, answer, GSPAN_HTTP_TIMEOUT);
      break;
    case GSPAN_RELAY_TOO_LONG:
      set_result (node, answer, GSPAN_HTTP_TOO_LONG);
      break;
    }
}

static bool
is_relays_own (const struct GspanEventHttp *answer)
{
  struct GspanStr why;

  return gspan_relay_read_outcome (answer->headers, &why) != GSPAN_RELAY_ANSWERED;
}

/* Events of an exchange that goes through another node. */
static bool
take_relayed (struct GspanNode *node, struct GspanExchange *exchange, struct GspanEvent *event,
              struct GspanOutbox *outbox)
{
  struct GspanEventHttp *answer = &event->u.http;

  answer->relayed = true;
  if (gspan_relay_read_until_close (answer->headers))
    answer->trace.framing = GSPAN_BODY_FRAMING_CLOSE;
  if (event->kind != GSPAN_EVENT_HTTP_DONE)
    {
      exchange->heard_at = node->now;
      exchange->relay_failed = is_relays_own (answer);
      return !exchange->relay_failed;
    }
  if (answer->result == GSPAN_HTTP_COMPLETE)
    read_outcome (node, exchange, answer, outbox);
  else if (answer->result == GSPAN_HTTP_NOT_SENT)
    set_relay_failure (node, exchange, answer, "can't be reached", outbox);
  else if (exchange->heard_at == 0 && answer->result != GSPAN_HTTP_TOO_LONG)
    set_relay_failure (node, exchange, answer, "no answer", outbox);
  return true;
}

bool
gspan_exchanges_take_event (struct GspanNode *node, struct GspanEvent *event,
                            struct GspanOutbox *outbox)
{
  struct GspanExchange *exchange;
  bool tell = true;

  if (event->kind != GSPAN_EVENT_HTTP_HEAD && event->kind != GSPAN_EVENT_HTTP_DATA
      && event->kind != GSPAN_EVENT_HTTP_DONE)
    return true;
  exchange = g_hash_table_lookup (node->exchanges.items, &event->ref.id);
  if (exchange == NULL)
    return true;
  if (exchange->relay != NULL)
    tell = take_relayed (node, exchange, event, outbox);
  else
    note_own (node, exchange, event, outbox);
  if (event->kind == GSPAN_EVENT_HTTP_DONE)
    forget (node, exchange);
  return tell;
}

/* Has HTTP go to the node of EXCHANGE, with all that this node has to know to pass it on. */
static void
wrap (const struct GspanExchange *exchange, struct GspanActionHttp *http)
{
  struct GspanRelayRequest request = { 0 };
  size_t replaced = strlen (url_scheme) + strlen (exchange->replica->address);
  char *url = g_strconcat (url_scheme, exchange->relay_address, http->url + replaced, NULL);

  g_free (http->url);
  http->url = url;
  http->close_after = http->new_connection; /* else they pile up at the other node */
  http->echo_exempt_header = g_strdup (gspan_relay_outcome_header);
  request.key = gspan_str_from (exchange->relay_key);
  request.upstream = gspan_str_from (exchange->replica->id);
  request.timeout_us = http->timeout_us - MIN (http->timeout_us / 10, OUTCOME_MARGIN_US);
  request.stream = http->stream;
  request.new_connection = http->new_connection;
  request.send_once = http->send_once;
  request.of_caller = exchange->ref.owner == GSPAN_OWNER_GATEWAY;
  gspan_relay_write_request (&request, &http->headers);
}

static void
route (struct GspanNode *node, struct GspanExchange *exchange, struct GspanActionHttp *http)
{
  exchange->runs_once = http->new_connection;
  if (http->required_header == NULL) /* a late answer to another request would pass for its own */
    http->new_connection = true;
  http->connect_timeout_us = CONNECT_TIMEOUT_US;
  if (exchange->relay != NULL)
    wrap (exchange, http);
  else if (gspan_links_is_down (&node->links, exchange->replica))
    http->new_connection = true; /* fails soon, where a kept one would hang */
}

/*
 * An own exchange is cancelled, mostly since another replica was faster. Where that happens again
 * and again, the link to its replica may be down while others stand.
 */
static void
note_cancelled (struct GspanNode *node, const struct GspanExchange *exchange,
                struct GspanOutbox *outbox)
{
  if (exchange->relay != NULL || exchange->heard_at != 0
      || node->now < exchange->sent_at + CANCELLED_SILENT_US)
    return;
  exchange->replica->silent_exchanges++;
  if (exchange->replica->silent_exchanges >= SILENT_EXCHANGES)
    gspan_links_note_silence (node, exchange->replica, outbox);
}

void
gspan_exchanges_route (struct GspanNode *node, struct GspanOutbox *outbox)
{
  for (guint i = 0; i < outbox->actions->len; i++)
    {
      struct GspanAction *action = g_ptr_array_index (outbox->actions, i);
      struct GspanExchange *exchange;

      if (action->kind != GSPAN_ACTION_HTTP && action->kind != GSPAN_ACTION_HTTP_CANCEL)
        continue;
      exchange = g_hash_table_lookup (node->exchanges.items, &action->ref.id);
      if (exchange == NULL)
        continue;
      if (action->kind == GSPAN_ACTION_HTTP)
        route (node, exchange, &action->u.http);
      else
        {
          note_cancelled (node, exchange, outbox);
          forget (node, exchange);
        }
    }
}

/* An own exchange that has waited for long, while no replica was heard; NULL is none. */
static struct GspanExchange *
find_silent (const struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->exchanges.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanExchange *exchange = value;
      guint64 since = MAX (exchange->sent_at, node->links.heard_at);

      if (exchange->relay == NULL && node->now >= since + SILENCE_US)
        return exchange;
    }
  return NULL;
}

void
gspan_exchanges_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanExchange *silent = find_silent (node);

  if (silent != NULL)
    gspan_links_note_silence (node, silent->replica, outbox);
}

static bool
is_stalled (const struct GspanNode *node, const struct GspanExchange *exchange)
{
  return exchange->relay == NULL && !exchange->runs_once
         && gspan_links_is_surely_down (node, exchange->replica)
         && node->now >= MAX (exchange->sent_at, exchange->heard_at) + STALLED_US;
}

bool
gspan_exchanges_take_stalled (struct GspanNode *node, struct GspanRef *ref,
                              struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  if (node->links.reach_is_direct)
    return false;
  g_hash_table_iter_init (&iter, node->exchanges.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanExchange *exchange = value;

      if (!is_stalled (node, exchange))
        continue;
      *ref = exchange->ref;
      gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, *ref);
      forget (node, exchange);
      return true;
    }
  return false;
}

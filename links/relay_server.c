#include "links/relay_server.h"

#include <string.h>

#include "common/clock.h"
#include "links/relay_headers.h"
#include "node/node.h"
#include "platform/wire.h"

#define LINKS_KNOWN_US (GSPAN_SECOND)     /* a replica heard so lately shows that the links stand */
#define DRAINING_MAX_US (1500 * GSPAN_MS) /* leaves time to end what was taken until then */
#define TIMEOUT_MAX_US (60 * GSPAN_SECOND)

enum
{
  REQUESTS_MAX = 96,     /* passed on at once */
  BODIES_MAX = 16 << 20, /* bytes of their bodies */
  ASKERS_MAX = 64,
  STATUS_REFUSED = 503,
  STATUS_FAILED = 502
};

struct GspanRelayed
{
  guint64 request; /* of the sender */
  guint64 id;      /* of the exchange with the replica */
  char *caller_id;
  struct GspanReplica *replica;
  guint64 fingerprint; /* of a request that may crash the replica; 0 is none
                          (gateway/crash_reports.h) */
  guint64 started;
  size_t body_bytes;
  guint pieces; /* of the answer, received so far */
  bool begun;   /* the head of the answer has been passed on */
};

static void
relayed_free (gpointer data)
{
  struct GspanRelayed *relayed = data;

  g_free (relayed->caller_id);
  gspan_replica_unref (relayed->replica);
  g_free (relayed);
}

void
gspan_relay_server_init (struct GspanRelayServer *server)
{
  *server = (struct GspanRelayServer){ 0 };
  server->by_request = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, relayed_free);
  server->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  server->askers = g_ptr_array_new_with_free_func (g_free);
}

void
gspan_relay_server_finish (struct GspanRelayServer *server)
{
  g_ptr_array_unref (server->askers);
  g_hash_table_unref (server->by_id);
  g_hash_table_unref (server->by_request);
}

guint
gspan_relay_server_open (const struct GspanRelayServer *server)
{
  return g_hash_table_size (server->by_request);
}

/* Why no request can be passed on now; NULL where one can. */
static const char *
why_unavailable (const struct GspanNode *node)
{
  if (node->draining && node->now >= node->draining_since + DRAINING_MAX_US)
    return "this node is draining";
  if (node->links.cut)
    return "this node reaches no replica itself";
  if (gspan_relay_server_open (&node->relay_server) >= REQUESTS_MAX
      || node->relay_server.body_bytes >= BODIES_MAX)
    return "this node passes on as much as it can";
  return NULL;
}

/* Runs of items, which may take long, are not begun on a node that is about to end. */
static const char *
why_refused (const struct GspanNode *node, const struct GspanRelayRequest *relay)
{
  if (node->draining && !relay->of_caller)
    return "this node is draining";
  if (relay->new_connection && node->now + relay->timeout_us > gspan_node_answers_until (node))
    return "this node is draining";
  return why_unavailable (node);
}

static void
offer (struct GspanNode *node, const char *to, struct GspanOutbox *outbox)
{
  json_t *message = json_pack ("{s:s, s:s, s:b, s:i}", "kind", "relay-offer", "from",
                               node->self.name, "draining", (int)node->draining, "load",
                               (int)gspan_relay_server_open (&node->relay_server));

  gspan_peers_send (node, to, message, outbox);
  json_decref (message);
}

static bool
has_checked_links (const struct GspanNode *node)
{
  return gspan_links_proven_since (&node->links, node->now - MIN (node->now, LINKS_KNOWN_US));
}

void
gspan_relay_server_receive_ask (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  GPtrArray *askers = node->relay_server.askers;
  const char *from = json_string_value (json_object_get (message, "from"));

  if (from == NULL || why_unavailable (node) != NULL)
    return;
  if (has_checked_links (node))
    {
      offer (node, from, outbox);
      return;
    }
  if (askers->len < ASKERS_MAX
      && !g_ptr_array_find_with_equal_func (askers, from, g_str_equal, NULL))
    g_ptr_array_add (askers, g_strdup (from));
  gspan_links_check_one (node, outbox);
}

void
gspan_relay_server_answer_asks (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GPtrArray *askers = node->relay_server.askers;

  if (askers->len == 0 || (!has_checked_links (node) && why_unavailable (node) == NULL))
    return;
  for (guint i = 0; i < askers->len && why_unavailable (node) == NULL; i++)
    offer (node, g_ptr_array_index (askers, i), outbox);
  g_ptr_array_set_size (askers, 0);
}

static void
log_relayed (const struct GspanNode *node, const struct GspanRelayed *relayed, const char *event,
             const char *outcome, int status, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "id", relayed->caller_id);
  gspan_line_cstr (&line, "upstream", relayed->replica->id);
  gspan_line_cstr (&line, "outcome", outcome);
  gspan_line_int (&line, "status", status);
  gspan_line_u64 (&line, "open", gspan_relay_server_open (&node->relay_server));
  gspan_line_u64 (&line, "elapsed_us", node->now - relayed->started);
  gspan_outbox_log (outbox, "relay", GSPAN_PRIORITY_INFO, &line);
}

static struct GspanActionReply *
add_reply (struct GspanOutbox *outbox, enum GspanActionKind kind, guint64 request)
{
  struct GspanAction *action = gspan_outbox_add (outbox, kind, (struct GspanRef){ 0 });

  action->u.reply.request = request;
  action->u.reply.to_node = true;
  return &action->u.reply;
}

static void
reply_outcome (guint64 request, int status, enum GspanRelayOutcome outcome, const char *why,
               struct GspanOutbox *outbox)
{
  struct GspanActionReply *reply = add_reply (outbox, GSPAN_ACTION_REPLY, request);

  reply->status = status;
  gspan_relay_write_outcome (outcome, why, &reply->headers);
}

static void
refuse (struct GspanNode *node, const struct GspanEventRequest *request, const char *why,
        struct GspanOutbox *outbox)
{
  struct GspanRelayRequest relay;
  struct GspanWireRequest wire;
  struct GspanLine line;

  gspan_relay_read_request (request->headers, &relay);
  gspan_wire_read_request (request->headers, &wire);
  gspan_line_init (&line, "relay-refused");
  gspan_line_str (&line, "id", wire.attempt_id);
  gspan_line_str (&line, "upstream", relay.upstream);
  gspan_line_cstr (&line, "why", why);
  gspan_outbox_log (outbox, "relay", GSPAN_PRIORITY_INFO, &line);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RELAY_REFUSED, 1);
  reply_outcome (request->request, STATUS_REFUSED, GSPAN_RELAY_REFUSED, why, outbox);
}

/* True where KEY is this node's, in a time that doesn't tell how much of it is right. */
static bool
is_own_key (const struct GspanNode *node, struct GspanStr key)
{
  size_t len = node->self.relay_key != NULL ? strlen (node->self.relay_key) : 0;
  unsigned char differs = 0;

  if (len == 0 || key.len != len)
    return false;
  for (size_t i = 0; i < len; i++)
    differs |= (unsigned char)(key.data[i] ^ node->self.relay_key[i]);
  return differs == 0;
}

bool
gspan_relay_server_admits (const struct GspanNode *node, const struct GspanHeaders *headers)
{
  struct GspanRelayRequest relay;

  gspan_relay_read_request (headers, &relay);
  return is_own_key (node, relay.key);
}

/* The replica that RELAY names, as this node knows it; NULL with WHY set where it can't be used. */
static struct GspanReplica *
find_replica (const struct GspanNode *node, const struct GspanRelayRequest *relay, const char **why)
{
  char *id = gspan_str_dup (relay->upstream);
  struct GspanReplica *replica = g_hash_table_lookup (node->catalog.replicas, id);

  g_free (id);
  *why = NULL;
  if (replica == NULL || replica->removed || replica->misdirected)
    *why = "this node doesn't know the replica";
  else if (gspan_replica_is_leaving (replica))
    *why = "the replica is leaving";
  return *why == NULL ? replica : NULL;
}

static void
copy_headers (const struct GspanHeaders *from, struct GspanHeaders *to)
{
  for (guint i = 0; i < from->items->len; i++)
    {
      const char *line = g_ptr_array_index (from->items, i);

      if (!gspan_wire_is_hop_by_hop_header (line) && !gspan_relay_is_header (line))
        g_ptr_array_add (to->items, g_strdup (line));
    }
}

static void
pass_on (struct GspanNode *node, struct GspanRelayed *relayed,
         const struct GspanEventRequest *request, const struct GspanRelayRequest *relay,
         struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_RELAY, relayed->id };
  struct GspanActionHttp *http = &gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref)->u.http;

  http->method = gspan_str_dup (request->method);
  http->url = g_strdup_printf ("http://%s%.*s", replica->address, (int)request->path.len,
                               request->path.data);
  http->body = g_bytes_ref (request->body);
  http->timeout_us = MIN (relay->timeout_us, TIMEOUT_MAX_US);
  http->new_connection = relay->new_connection;
  http->send_once = relay->send_once;
  http->stream = relay->stream;
  http->http_framing_only = true;
  http->tcp_keepalive = true;
  http->required_header = relayed->caller_id[0] != '\0'
                              ? gspan_wire_attempt_id_line (gspan_str_from (relayed->caller_id))
                              : NULL;
  copy_headers (request->headers, &http->headers);
  gspan_exchanges_begin_own (node, replica, ref);
}

static guint64
fingerprint_of (const struct GspanReplica *replica, const struct GspanEventRequest *request)
{
  char *path = gspan_str_dup (request->path);
  guint64 fingerprint = gspan_poison_requests_fingerprint (replica->service, path,
                                                           gspan_str_from_bytes (request->body));

  g_free (path);
  return fingerprint;
}

static void
on_request (struct GspanNode *node, const struct GspanEventRequest *request,
            struct GspanOutbox *outbox)
{
  struct GspanRelayServer *server = &node->relay_server;
  struct GspanRelayRequest relay;
  struct GspanWireRequest wire;
  struct GspanRelayed *relayed;
  struct GspanReplica *replica;
  const char *why;

  gspan_relay_read_request (request->headers, &relay);
  if (!is_own_key (node, relay.key))
    {
      refuse (node, request, "the key is not this node's", outbox);
      return;
    }
  replica = find_replica (node, &relay, &why);
  if (replica != NULL)
    why = why_refused (node, &relay);
  if (why != NULL)
    {
      refuse (node, request, why, outbox);
      return;
    }
  gspan_wire_read_request (request->headers, &wire);
  relayed = g_new0 (struct GspanRelayed, 1);
  relayed->request = request->request;
  relayed->id = gspan_node_next_id (node);
  relayed->caller_id = gspan_str_dup (wire.attempt_id);
  relayed->replica = gspan_replica_ref (replica);
  relayed->started = node->now;
  relayed->body_bytes = g_bytes_get_size (request->body);
  server->body_bytes += relayed->body_bytes;
  relayed->fingerprint = relay.of_caller ? fingerprint_of (replica, request) : 0;
  g_hash_table_insert (server->by_request, &relayed->request, relayed);
  g_hash_table_insert (server->by_id, &relayed->id, relayed);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RELAYED_FOR_OTHERS, 1);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_RELAY_BYTES, g_bytes_get_size (request->body));
  pass_on (node, relayed, request, &relay, replica, outbox);
}

static void
forget (struct GspanRelayServer *server, struct GspanRelayed *relayed)
{
  server->body_bytes -= relayed->body_bytes;
  g_hash_table_remove (server->by_id, &relayed->id);
  g_hash_table_remove (server->by_request, &relayed->request);
}

/* The request has no answer so far, and is about to be cancelled. */
static void
note_silence (struct GspanNode *node, const struct GspanRelayed *relayed,
              struct GspanOutbox *outbox)
{
  if (relayed->fingerprint != 0 && relayed->pieces <= 1)
    gspan_crash_reports_note_silence (node, relayed->fingerprint, relayed->replica,
                                      node->now - relayed->started, outbox);
}

/* What the replica says of itself in ANSWER, its head or the whole, holds for this node too. */
static void
note_replica (struct GspanNode *node, const struct GspanRelayed *relayed,
              const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanWireResponse wire;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  gspan_leaving_note_answer (node, relayed->replica, &wire, outbox);
  gspan_limits_note_answer (node, relayed->replica, &wire, relayed->started, outbox);
}

/* Records what the end of the request shows of it. */
static void
note_end (struct GspanNode *node, const struct GspanRelayed *relayed,
          const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanWireResponse wire;

  if (relayed->fingerprint == 0)
    return;
  gspan_wire_read_response (answer->status, answer->headers, &wire);
  if (answer->result == GSPAN_HTTP_COMPLETE && wire.signed_by_replica && !wire.not_run)
    gspan_crash_reports_note_answer (node, relayed->fingerprint, relayed->replica, outbox);
  else if (answer->result == GSPAN_HTTP_LOST && relayed->pieces <= 1)
    gspan_crash_reports_note_lost (node, relayed->fingerprint, relayed->replica, answer, outbox);
  else if (answer->result == GSPAN_HTTP_TIMEOUT)
    note_silence (node, relayed, outbox);
}

static void
on_sender_gone (struct GspanNode *node, guint64 request, struct GspanOutbox *outbox)
{
  struct GspanRelayed *relayed = g_hash_table_lookup (node->relay_server.by_request, &request);
  struct GspanRef ref = { GSPAN_OWNER_RELAY, 0 };

  if (relayed == NULL)
    return;
  log_relayed (node, relayed, "relay-ended", "sender left", 0, outbox);
  note_silence (node, relayed, outbox);
  ref.id = relayed->id;
  gspan_outbox_add (outbox, GSPAN_ACTION_HTTP_CANCEL, ref);
  forget (&node->relay_server, relayed);
}

static void
count_bytes (struct GspanNode *node, GBytes *body)
{
  if (body != NULL)
    gspan_metrics_add (&node->metrics, GSPAN_METRIC_RELAY_BYTES, g_bytes_get_size (body));
}

/* Between nodes each answer has an end of its own, so that it is known whether a node cut it. */
static void
copy_head (const struct GspanEventHttp *answer, struct GspanActionReply *reply)
{
  reply->status = answer->status;
  copy_headers (answer->headers, &reply->headers);
  if (answer->trace.framing == GSPAN_BODY_FRAMING_CLOSE)
    gspan_relay_write_until_close (&reply->headers);
}

static void
on_head (struct GspanNode *node, struct GspanRelayed *relayed, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  struct GspanActionReply *reply = add_reply (outbox, GSPAN_ACTION_REPLY_BEGIN, relayed->request);

  note_replica (node, relayed, answer, outbox);
  relayed->begun = true;
  copy_head (answer, reply);
}

static void
on_data (struct GspanNode *node, struct GspanRelayed *relayed, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  relayed->pieces++;
  count_bytes (node, answer->body);
  add_reply (outbox, GSPAN_ACTION_REPLY_DATA, relayed->request)->body = g_bytes_ref (answer->body);
}

static void
pass_answer (struct GspanNode *node, const struct GspanRelayed *relayed,
             const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanActionReply *reply;

  if (relayed->begun)
    {
      add_reply (outbox, GSPAN_ACTION_REPLY_END, relayed->request);
      return;
    }
  count_bytes (node, answer->body);
  reply = add_reply (outbox, GSPAN_ACTION_REPLY, relayed->request);
  reply->body = answer->body != NULL ? g_bytes_ref (answer->body) : NULL;
  copy_head (answer, reply);
}

static enum GspanRelayOutcome
outcome_of (enum GspanHttpResult result)
{
  switch (result)
    {
    case GSPAN_HTTP_COMPLETE:
      return GSPAN_RELAY_ANSWERED;
    case GSPAN_HTTP_NOT_SENT:
      return GSPAN_RELAY_NOT_SENT;
    case GSPAN_HTTP_LOST:
      return GSPAN_RELAY_LOST;
    case GSPAN_HTTP_TIMEOUT:
      return GSPAN_RELAY_TIMEOUT;
    case GSPAN_HTTP_TOO_LONG:
      return GSPAN_RELAY_TOO_LONG;
    }
  return GSPAN_RELAY_LOST;
}

/* A replica's word that it didn't run the request is no answer to a sending before. */
static enum GspanHttpResult
result_of (const struct GspanEventHttp *answer)
{
  struct GspanWireResponse wire;

  gspan_wire_read_response (answer->status, answer->headers, &wire);
  if (answer->result == GSPAN_HTTP_COMPLETE && wire.not_run && answer->send_count > 1)
    return GSPAN_HTTP_LOST;
  return answer->result;
}

static void
on_done (struct GspanNode *node, struct GspanRelayed *relayed, const struct GspanEventHttp *answer,
         struct GspanOutbox *outbox)
{
  static const char *const results[] = { "whole", "not-sent", "lost", "timeout", "too-long" };
  enum GspanHttpResult result = result_of (answer);

  if (result == GSPAN_HTTP_COMPLETE)
    pass_answer (node, relayed, answer, outbox);
  else if (relayed->begun)
    add_reply (outbox, GSPAN_ACTION_REPLY_ABORT, relayed->request);
  else
    reply_outcome (relayed->request, STATUS_FAILED, outcome_of (result), "", outbox);
  log_relayed (node, relayed, "relay-ended", results[result], answer->status, outbox);
  if (!relayed->begun)
    note_replica (node, relayed, answer, outbox);
  note_end (node, relayed, answer, outbox);
  forget (&node->relay_server, relayed);
}

void
gspan_relay_server_handle (struct GspanNode *node, const struct GspanEvent *event,
                           struct GspanOutbox *outbox)
{
  struct GspanRelayed *relayed;

  if (event->kind == GSPAN_EVENT_RELAY_REQUEST)
    on_request (node, &event->u.request, outbox);
  else if (event->kind == GSPAN_EVENT_RELAY_SENDER_GONE)
    on_sender_gone (node, event->u.disconnected_request, outbox);
  else if (event->kind == GSPAN_EVENT_TICK)
    gspan_relay_server_answer_asks (node, outbox);
  else
    {
      relayed = g_hash_table_lookup (node->relay_server.by_id, &event->ref.id);
      if (relayed == NULL)
        return;
      if (event->kind == GSPAN_EVENT_HTTP_HEAD)
        on_head (node, relayed, &event->u.http, outbox);
      else if (event->kind == GSPAN_EVENT_HTTP_DATA)
        on_data (node, relayed, &event->u.http, outbox);
      else if (event->kind == GSPAN_EVENT_HTTP_DONE)
        on_done (node, relayed, &event->u.http, outbox);
    }
}

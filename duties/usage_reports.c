#include "duties/usage_reports.h"

#include <string.h>

#include "common/clock.h"
#include "gateway/calls.h"
#include "node/node.h"
#include "platform/wire.h"

#define TELL_EVERY_US (GSPAN_SECOND)
#define RETRY_US (GSPAN_SECOND)
#define CALL_TIMEOUT_US (2 * GSPAN_SECOND)

enum
{
  CLOSE_AFTER_MS = 3000,  /* of the window's end, once all present nodes have told their shares */
  CLOSE_LATEST_MS = 6000, /* well before a report is due */
  LEFT_OUT_AFTER_MS = 40000, /* of the window's end */
  KEPT_WINDOWS = 10,
  FOLLOWERS = 2,        /* of the holder, that know what it has counted itself */
  MESSAGE_BYTES = 1000, /* of counts in a datagram */
  BYTES_BESIDE_NAME = 16,
  FORMAT_VERSION = 1
};

void
gspan_usage_reports_init (struct GspanUsageReports *reports, guint64 window_ms)
{
  *reports = (struct GspanUsageReports){ 0 };
  gspan_usage_init (&reports->usage, window_ms);
}

void
gspan_usage_reports_finish (struct GspanUsageReports *reports)
{
  gspan_usage_finish (&reports->usage);
  json_decref (reports->counts);
}

bool
gspan_usage_reports_enabled (const struct GspanNode *node)
{
  return node->usage_reports.usage.window_ms > 0 && node->self.duties_address != NULL;
}

static guint64
window_now (const struct GspanNode *node)
{
  return gspan_usage_window_at (&node->usage_reports.usage, node->wall_ms);
}

static struct GspanUsageShare *
own_share (struct GspanNode *node, guint64 window)
{
  return gspan_usage_share (&node->usage_reports.usage, window, node->self.name, node->incarnation);
}

void
gspan_usage_reports_note_run (struct GspanNode *node, struct GspanCall *call)
{
  if (call->is_counted || call->account == NULL || !gspan_usage_reports_enabled (node))
    return;
  call->is_counted = true;
  gspan_usage_add (own_share (node, window_now (node)), call->account);
}

/* Telling the others. */

static json_t *
new_message (const struct GspanNode *node, const char *kind)
{
  return json_pack ("{s:s, s:i, s:s, s:s, s:I}", "kind", kind, "format", FORMAT_VERSION, "from",
                    node->self.name, "udp", node->self.udp_address, "start",
                    (json_int_t)node->incarnation);
}

/* Takes over COUNTS. */
static void
tell_counts (struct GspanNode *node, const char *holder, guint64 window,
             const struct GspanUsageShare *share, json_t *counts, struct GspanOutbox *outbox)
{
  json_t *message = new_message (node, "usage");

  json_object_set_new (message, "window", json_integer ((json_int_t)window));
  json_object_set_new (message, "ended", json_boolean (share->ended));
  json_object_set_new (message, "accounts", json_integer (g_hash_table_size (share->counts)));
  json_object_set_new (message, "counts", counts);
  gspan_peers_send (node, holder, message, outbox);
  json_decref (message);
}

/* Tells SHARE, in as many datagrams as it takes. */
static void
tell_share (struct GspanNode *node, const char *holder, guint64 window,
            const struct GspanUsageShare *share, struct GspanOutbox *outbox)
{
  json_t *counts = json_object ();
  size_t bytes = 0;
  GHashTableIter iter;
  gpointer account;
  gpointer count;

  g_hash_table_iter_init (&iter, share->counts);
  while (g_hash_table_iter_next (&iter, &account, &count))
    {
      bytes += strlen (account) + BYTES_BESIDE_NAME;
      if (bytes > MESSAGE_BYTES && json_object_size (counts) > 0)
        {
          tell_counts (node, holder, window, share, counts, outbox);
          counts = json_object ();
          bytes = strlen (account) + BYTES_BESIDE_NAME;
        }
      json_object_set_new (counts, account, json_integer ((json_int_t) * (guint64 *)count));
    }
  tell_counts (node, holder, window, share, counts, outbox);
}

/*
 * The nodes that are to know this node's shares: the holder, or, of the holder itself, those that
 * would follow it. Names are borrowed.
 */
static guint
receivers (const struct GspanNode *node, const char **names)
{
  const char *holder = node->weights.lease.holder;

  if (holder == NULL || holder[0] == '\0')
    return 0;
  if (strcmp (holder, node->self.name) == 0)
    return gspan_peers_takeover_candidates (node, GSPAN_ORDER_LEASE_NAME, holder, names, FOLLOWERS);
  names[0] = holder;
  return 1;
}

/* True where SHARE isn't known to whom it has to be told. */
static bool
has_to_be_told (const struct GspanNode *node, const struct GspanUsageShare *share)
{
  return share->untold || (share->ended && share->told_fence != node->weights.lease.fence);
}

/* Ends the own shares of windows that are over; tells what isn't known to others. */
static void
tell_shares (struct GspanNode *node, struct GspanOutbox *outbox)
{
  const char *names[FOLLOWERS];
  guint count = receivers (node, names);
  guint64 now = window_now (node);
  guint64 first = MAX (node->usage_reports.first_window, now - MIN (now, KEPT_WINDOWS - 1));

  for (guint64 window = first; window <= now; window++)
    {
      struct GspanUsageShare *share = own_share (node, window);

      share->ended = window < now;
      if (!has_to_be_told (node, share))
        continue;
      for (guint i = 0; i < count; i++)
        tell_share (node, names[i], window, share, outbox);
      share->untold = share->untold && count == 0;
      if (share->ended && node->weights.lease.held) /* followers don't acknowledge */
        share->told_fence = node->weights.lease.fence;
    }
}

/* True where WINDOW is one that nodes tell of now; their clocks may differ by a little. */
static bool
is_told_now (const struct GspanNode *node, json_int_t window)
{
  guint64 now = window_now (node);

  return window > 0 && (guint64)window + KEPT_WINDOWS >= now && (guint64)window <= now + 1;
}

/*
 * True where MESSAGE is of another node of the fleet, about a window that is told of now: anybody
 * may send to the port that it came by.
 */
static bool
is_taken (const struct GspanNode *node, json_t *message)
{
  const char *from = json_string_value (json_object_get (message, "from"));

  return gspan_usage_reports_enabled (node) && from != NULL && strcmp (from, node->self.name) != 0
         && json_integer_value (json_object_get (message, "format")) == FORMAT_VERSION
         && g_hash_table_contains (node->peers.items, from)
         && is_told_now (node, json_integer_value (json_object_get (message, "window")));
}

void
gspan_usage_reports_receive (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  const char *from = json_string_value (json_object_get (message, "from"));
  json_int_t start = json_integer_value (json_object_get (message, "start"));
  json_int_t window = json_integer_value (json_object_get (message, "window"));
  json_int_t accounts = json_integer_value (json_object_get (message, "accounts"));
  bool ended = json_is_true (json_object_get (message, "ended"));
  json_t *answer;

  if (!is_taken (node, message) || accounts < 0)
    return;
  ended = gspan_usage_merge (&node->usage_reports.usage, (guint64)window, from, (guint64)start,
                             json_object_get (message, "counts"), ended, (guint)accounts);
  if (!ended || !node->weights.lease.held)
    return;
  answer = new_message (node, "usage-ack");
  json_object_set_new (answer, "window", json_integer (window));
  json_object_set_new (answer, "fence", json_integer ((json_int_t)node->weights.lease.fence));
  gspan_peers_send (node, from, answer, outbox);
  json_decref (answer);
}

void
gspan_usage_reports_receive_ack (struct GspanNode *node, json_t *message)
{
  json_int_t window = json_integer_value (json_object_get (message, "window"));
  json_int_t fence = json_integer_value (json_object_get (message, "fence"));

  if (!is_taken (node, message) || fence <= 0 || (guint64)window < node->usage_reports.first_window
      || (guint64)window > window_now (node))
    return;
  own_share (node, (guint64)window)->told_fence = (guint64)fence;
}

/* The holder. */

/* Present nodes that count, and haven't told the end of WINDOW. */
static guint
count_missing (const struct GspanNode *node, guint64 window)
{
  guint missing = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanPeer *peer = value;

      missing += peer->counts_usage && strcmp (peer->name, node->self.name) != 0
                 && gspan_heartbeats_is_present (node, peer)
                 && !gspan_usage_has_ended (&node->usage_reports.usage, window, peer->name);
    }
  return missing;
}

static bool
may_close (const struct GspanNode *node, guint64 window)
{
  gint64 over_ms = node->wall_ms - gspan_usage_end_of (&node->usage_reports.usage, window);

  return over_ms >= CLOSE_LATEST_MS
         || (over_ms >= CLOSE_AFTER_MS && count_missing (node, window) == 0);
}

/* The window that is to be reported next; 0 is none. */
static guint64
next_window (const struct GspanNode *node)
{
  const struct GspanUsageReports *reports = &node->usage_reports;
  guint64 oldest = window_now (node) - LEFT_OUT_AFTER_MS / reports->usage.window_ms - 1;
  guint64 first = gspan_usage_first (&reports->usage);

  if (reports->window > 0)
    return MAX (reports->window + 1, oldest);
  return first > 0 ? MAX (first, oldest) : 0;
}

static struct GspanStoreCall *
start_store_call (struct GspanNode *node, enum GspanStoreOp op, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_DUTIES, gspan_node_next_id (node) };

  node->usage_reports.call = ref.id;
  node->usage_reports.call_writes = op != GSPAN_STORE_GET;
  return gspan_outbox_store (outbox, ref, op, GSPAN_USAGE_KIND, GSPAN_USAGE_NAME);
}

static void
write_window (struct GspanNode *node, guint64 window, struct GspanOutbox *outbox)
{
  struct GspanUsageReports *reports = &node->usage_reports;
  enum GspanStoreOp op = reports->revision != 0 ? GSPAN_STORE_REPLACE : GSPAN_STORE_CREATE;
  struct GspanStoreCall *call = start_store_call (node, op, outbox);

  json_decref (reports->counts);
  reports->counts = gspan_usage_total (&reports->usage, window);
  reports->window = window;
  call->revision = reports->revision;
  call->value = json_pack ("{s:i, s:I, s:O}", "format", FORMAT_VERSION, "window",
                           (json_int_t)window, "counts", reports->counts);
}

static void
send_report (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanUsageReports *reports = &node->usage_reports;
  struct GspanRef ref = { GSPAN_OWNER_DUTIES, gspan_node_next_id (node) };
  struct GspanAction *action = gspan_outbox_add (outbox, GSPAN_ACTION_HTTP, ref);
  struct GspanActionHttp *http = &action->u.http;

  reports->call = ref.id;
  http->method = g_strdup ("POST");
  http->url = g_strdup_printf ("http://%s%s", node->self.duties_address, gspan_wire_usage_path);
  http->timeout_us = CALL_TIMEOUT_US;
  http->start_deadline_us = node->weights.lease.held_until;
  http->http_framing_only = true;
  http->new_connection = true;
  gspan_wire_write_duty_headers (node->self.name, node->weights.lease.fence, &http->headers);
  http->body = gspan_wire_write_usage (reports->window, reports->counts);
  node->weights.lease.last_order = node->now;
}

static void
log_report (const struct GspanNode *node, int status, struct GspanOutbox *outbox)
{
  const struct GspanUsageReports *reports = &node->usage_reports;
  json_int_t total = 0;
  const char *account;
  json_t *count;
  struct GspanLine line;

  json_object_foreach (reports->counts, account, count) total += json_integer_value (count);
  gspan_line_init (&line, "usage-sent");
  gspan_line_u64 (&line, "window", reports->window);
  gspan_line_u64 (&line, "accounts", json_object_size (reports->counts));
  gspan_line_u64 (&line, "requests", (guint64)total);
  gspan_line_u64 (&line, "missing_nodes", count_missing (node, reports->window));
  gspan_line_u64 (&line, "fence", node->weights.lease.fence);
  gspan_line_int (&line, "status", status);
  gspan_line_int (&line, "after_ms",
                  (int)(node->wall_ms - gspan_usage_end_of (&reports->usage, reports->window)));
  gspan_outbox_log (outbox, "duties", GSPAN_PRIORITY_INFO, &line);
}

/* Takes in what the holder before has written. */
static void
on_read (struct GspanNode *node, const struct GspanStoreReply *reply)
{
  struct GspanUsageReports *reports = &node->usage_reports;
  const struct GspanStoreObject *object = gspan_store_reply_first (reply);
  json_int_t window;

  if (reply->result == GSPAN_STORE_MISSING)
    {
      reports->revision = 0;
      reports->window = 0;
      reports->step = GSPAN_USAGE_CLOSE;
      return;
    }
  if (reply->result != GSPAN_STORE_OK || object == NULL)
    return;
  window = json_integer_value (json_object_get (object->spec, "window"));
  reports->revision = object->revision;
  reports->window = window > 0 ? (guint64)window : 0;
  json_decref (reports->counts);
  reports->counts = json_deep_copy (json_object_get (object->spec, "counts"));
  reports->step = reports->window > 0 && json_is_object (reports->counts) ? GSPAN_USAGE_SEND
                                                                          : GSPAN_USAGE_CLOSE;
}

static void
on_written (struct GspanUsageReports *reports, const struct GspanStoreReply *reply)
{
  const struct GspanStoreObject *object = gspan_store_reply_first (reply);

  /* Else it isn't known what the store holds. */
  reports->step = GSPAN_USAGE_READ;
  if (reply->result != GSPAN_STORE_OK || object == NULL)
    return;
  reports->revision = object->revision;
  reports->step = GSPAN_USAGE_SEND;
}

static void
on_store_done (struct GspanNode *node, const struct GspanStoreReply *reply)
{
  struct GspanUsageReports *reports = &node->usage_reports;

  reports->call = 0;
  if (reply->result == GSPAN_STORE_UNAVAILABLE || reply->result == GSPAN_STORE_UNKNOWN)
    reports->next_call_at = node->now + RETRY_US;
  if (reports->call_writes)
    on_written (reports, reply);
  else
    on_read (node, reply);
}

/* True where a report that was answered with STATUS is not to be sent again. */
static bool
is_settled (int status)
{
  return (status >= 200 && status < 300) || status == 400 || status == 404 || status == 409;
}

static void
on_answer (struct GspanNode *node, const struct GspanEventHttp *answer, struct GspanOutbox *outbox)
{
  struct GspanUsageReports *reports = &node->usage_reports;
  int status = answer->result == GSPAN_HTTP_COMPLETE ? answer->status : 0;

  reports->call = 0;
  log_report (node, status, outbox);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_DUTY_CALLS, 1);
  if (is_settled (status))
    {
      reports->step = GSPAN_USAGE_CLOSE;
      return;
    }
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_DUTY_CALLS_FAILED, 1);
  reports->next_call_at = node->now + RETRY_US;
}

/* True where a report that is written is worth sending still. */
static bool
is_worth_sending (const struct GspanNode *node)
{
  const struct GspanUsageReports *reports = &node->usage_reports;

  return node->wall_ms - gspan_usage_end_of (&reports->usage, reports->window) < LEFT_OUT_AFTER_MS;
}

bool
gspan_usage_reports_wanted (const struct GspanNode *node)
{
  const struct GspanUsageReports *reports = &node->usage_reports;

  return gspan_usage_reports_enabled (node) && reports->fence == node->weights.lease.fence
         && reports->step == GSPAN_USAGE_SEND;
}

static void
act (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanUsageReports *reports = &node->usage_reports;
  guint64 next;

  switch (reports->step)
    {
    case GSPAN_USAGE_READ:
      if (!node->catalog.store_fails)
        start_store_call (node, GSPAN_STORE_GET, outbox);
      break;
    case GSPAN_USAGE_CLOSE:
      next = next_window (node);
      if (next > 0 && !node->catalog.store_fails && may_close (node, next))
        write_window (node, next, outbox);
      break;
    case GSPAN_USAGE_SEND:
      if (!is_worth_sending (node))
        reports->step = GSPAN_USAGE_CLOSE;
      else if (gspan_order_lease_allows (&node->weights.lease, node->now))
        send_report (node, outbox);
      break;
    }
}

static void
act_as_holder (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanUsageReports *reports = &node->usage_reports;

  if (!gspan_order_lease_settled (&node->weights.lease, node->now))
    return;
  if (reports->fence != node->weights.lease.fence)
    {
      reports->fence = node->weights.lease.fence;
      reports->step = GSPAN_USAGE_READ;
      reports->call = 0;
      reports->next_call_at = 0;
    }
  if (reports->call == 0 && node->now >= reports->next_call_at)
    act (node, outbox);
}

void
gspan_usage_reports_handle (struct GspanNode *node, const struct GspanEvent *event,
                            struct GspanOutbox *outbox)
{
  struct GspanUsageReports *reports = &node->usage_reports;

  if (!gspan_usage_reports_enabled (node))
    return;
  if (reports->first_window == 0)
    reports->first_window = window_now (node);
  if (reports->call != 0 && event->ref.id == reports->call)
    {
      if (event->kind == GSPAN_EVENT_STORE_DONE)
        on_store_done (node, event->u.store.reply);
      else if (event->kind == GSPAN_EVENT_HTTP_DONE)
        on_answer (node, &event->u.http, outbox);
    }
  if (node->now >= reports->next_tell_at)
    {
      reports->next_tell_at = node->now + TELL_EVERY_US;
      if (node->self.takes_requests)
        tell_shares (node, outbox);
      gspan_usage_forget_before (&reports->usage, window_now (node) - KEPT_WINDOWS);
    }
  act_as_holder (node, outbox);
}

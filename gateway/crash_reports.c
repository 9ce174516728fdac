#include "gateway/crash_reports.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define TOLD_FOR_US (GSPAN_SECOND) /* datagrams get lost */
#define TELL_NEW_US (20 * GSPAN_MS)
#define TELL_AGAIN_US (300 * GSPAN_MS)
#define SILENCE_LEAST_US (400 * GSPAN_MS) /* sound replicas have mostly answered by then */
#define OTHERS_WAIT_US (2 * GSPAN_SECOND) /* for whoever recorded the last crash to write */
#define RETRY_US (500 * GSPAN_MS)

enum
{
  REPORTS_MAX = 64, /* in a datagram of some 8 KB */
  FORMAT_VERSION = 1
};

/* Names of evidence in messages and log lines; one more says that the request was answered. */
static const char *const evidence_names[] = { "exposed", "suspected", "crashed" };
static const char answered_name[] = "answered";

struct Report
{
  guint64 fingerprint;
  char *upstream;
  const char *what; /* static */
  guint64 at;
};

struct Verdict
{
  bool stored;
  guint64 write_at_us; /* not stored: not written before */
  guint64 revision;    /* of an old one in the store that is to be replaced; 0 is none */
};

static void
report_free (gpointer data)
{
  struct Report *report = data;

  g_free (report->upstream);
  g_free (report);
}

void
gspan_crash_reports_init (struct GspanCrashReports *reports)
{
  *reports = (struct GspanCrashReports){ 0 };
  reports->recent = g_ptr_array_new_with_free_func (report_free);
  reports->verdicts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
gspan_crash_reports_finish (struct GspanCrashReports *reports)
{
  g_hash_table_unref (reports->verdicts);
  g_ptr_array_unref (reports->recent);
}

/* What tells two starts of a replica apart. Released with g_free (). */
static char *
start_of (const struct GspanReplica *replica)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, replica->id, replica->born);
}

static char *
hex_of (guint64 fingerprint)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x", fingerprint);
}

static void
log_report (const struct GspanNode *node, guint64 fingerprint, const char *upstream,
            const char *what, const char *source, struct GspanOutbox *outbox)
{
  char *content = hex_of (fingerprint);
  struct GspanLine line;

  gspan_line_init (&line, "request-evidence");
  gspan_line_cstr (&line, "content", content);
  gspan_line_cstr (&line, "upstream", upstream);
  gspan_line_cstr (&line, "evidence", what);
  gspan_line_cstr (&line, "source", source);
  gspan_line_u64 (
      &line, "crashes",
      gspan_poison_requests_crash_count (&node->poison_requests, fingerprint, node->now));
  gspan_outbox_log (outbox, "crashes", GSPAN_PRIORITY_INFO, &line);
  g_free (content);
}

static void
log_verdict (const struct GspanNode *node, guint64 fingerprint, const char *event, guint64 until,
             struct GspanOutbox *outbox)
{
  char *content = hex_of (fingerprint);
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "content", content);
  gspan_line_u64 (&line, "life_us", until > node->now ? until - node->now : 0);
  gspan_outbox_log (outbox, "crashes", GSPAN_PRIORITY_NOTICE, &line);
  g_free (content);
}

static struct Verdict *
add_verdict (struct GspanNode *node, guint64 fingerprint)
{
  struct Verdict *verdict = g_new0 (struct Verdict, 1);

  g_hash_table_replace (node->crash_reports.verdicts, g_memdup2 (&fingerprint, sizeof fingerprint),
                        verdict);
  return verdict;
}

/* Has a verdict that is new here written to the store, by this node first if OWN. */
static void
check_verdict (struct GspanNode *node, guint64 fingerprint, bool own, struct GspanOutbox *outbox)
{
  guint64 until
      = gspan_poison_requests_condemned_until (&node->poison_requests, fingerprint, node->now);
  guint64 wait = OTHERS_WAIT_US;

  if (until == 0 || g_hash_table_contains (node->crash_reports.verdicts, &fingerprint))
    return;
  wait += (guint64)g_rand_int_range (node->random, 0, (gint32)OTHERS_WAIT_US);
  add_verdict (node, fingerprint)->write_at_us = own ? node->now : node->now + wait;
  log_verdict (node, fingerprint, "request-condemned", until, outbox);
}

static void
tell (struct GspanNode *node, guint64 fingerprint, const char *upstream, const char *what)
{
  struct Report *report = g_new0 (struct Report, 1);

  report->fingerprint = fingerprint;
  report->upstream = g_strdup (upstream);
  report->what = what;
  report->at = node->now;
  g_ptr_array_add (node->crash_reports.recent, report);
  node->crash_reports.has_new = true;
}

/* What was told of a request before it was answered. */
static void
forget_recent (struct GspanCrashReports *reports, guint64 fingerprint)
{
  for (guint i = reports->recent->len; i > 0; i--)
    {
      const struct Report *report = g_ptr_array_index (reports->recent, i - 1);

      if (report->fingerprint == fingerprint)
        g_ptr_array_remove_index (reports->recent, i - 1);
    }
}

static void
send_recent (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCrashReports *reports = &node->crash_reports;
  guint count = reports->recent->len;
  guint first = count - MIN (count, (guint)REPORTS_MAX);
  json_t *list = json_array ();
  json_t *message;

  for (guint i = first; i < reports->recent->len; i++)
    {
      const struct Report *report = g_ptr_array_index (reports->recent, i);
      char *content = hex_of (report->fingerprint);

      json_array_append_new (list, json_pack ("{s:s, s:s, s:s, s:I}", "content", content,
                                              "upstream", report->upstream, "what", report->what,
                                              "age_us", (json_int_t)(node->now - report->at)));
      g_free (content);
    }
  message
      = json_pack ("{s:s, s:i, s:o}", "kind", "crashes", "format", FORMAT_VERSION, "reports", list);
  gspan_peers_send_all (node, message, outbox);
  json_decref (message);
  reports->has_new = false;
}

static void
tell_recent (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCrashReports *reports = &node->crash_reports;
  guint64 pause;

  while (reports->recent->len > 0)
    {
      const struct Report *oldest = g_ptr_array_index (reports->recent, 0);

      if (oldest->at + TOLD_FOR_US >= node->now)
        break;
      g_ptr_array_remove_index (reports->recent, 0);
    }
  pause = reports->has_new ? TELL_NEW_US : TELL_AGAIN_US;
  if (reports->recent->len == 0 || node->now < reports->told_at_us + pause)
    return;
  send_recent (node, outbox);
  reports->told_at_us = node->now;
}

void
gspan_crash_reports_note (struct GspanNode *node, guint64 fingerprint,
                          const struct GspanReplica *replica, enum GspanPoisonEvidence evidence,
                          struct GspanOutbox *outbox)
{
  char *upstream = start_of (replica);
  int stands = gspan_poison_requests_record (&node->poison_requests, fingerprint, upstream,
                                             evidence, node->now);

  if (stands >= GSPAN_POISON_SUSPECTED)
    {
      log_report (node, fingerprint, upstream, evidence_names[stands], "own", outbox);
      tell (node, fingerprint, upstream, evidence_names[stands]);
      check_verdict (node, fingerprint, true, outbox);
      tell_recent (node, outbox);
    }
  g_free (upstream);
}

void
gspan_crash_reports_note_silence (struct GspanNode *node, guint64 fingerprint,
                                  const struct GspanReplica *replica, guint64 elapsed_us,
                                  struct GspanOutbox *outbox)
{
  gspan_crash_reports_note (
      node, fingerprint, replica,
      elapsed_us >= SILENCE_LEAST_US ? GSPAN_POISON_SUSPECTED : GSPAN_POISON_EXPOSED, outbox);
}

void
gspan_crash_reports_note_answer (struct GspanNode *node, guint64 fingerprint,
                                 const struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  char *upstream = start_of (replica);

  if (replica->failures > 0)
    gspan_poison_requests_upstream_works (&node->poison_requests, upstream);
  if (gspan_poison_requests_clear (&node->poison_requests, fingerprint))
    {
      log_report (node, fingerprint, upstream, answered_name, "own", outbox);
      forget_recent (&node->crash_reports, fingerprint);
      tell (node, fingerprint, upstream, answered_name);
      tell_recent (node, outbox);
    }
  g_free (upstream);
}

void
gspan_crash_reports_replica_ended (struct GspanNode *node, const struct GspanReplica *replica,
                                   struct GspanOutbox *outbox)
{
  GArray *changed = g_array_new (FALSE, FALSE, sizeof (guint64));
  char *upstream = start_of (replica);

  gspan_poison_requests_upstream_ended (&node->poison_requests, upstream, node->now, changed);
  gspan_gateway_replica_ended (node, replica, outbox);
  gspan_runner_replica_ended (node, replica, outbox);
  for (guint i = 0; i < changed->len; i++)
    {
      guint64 fingerprint = g_array_index (changed, guint64, i);
      const char *crashed = evidence_names[GSPAN_POISON_CRASHED];

      log_report (node, fingerprint, upstream, crashed, "own", outbox);
      tell (node, fingerprint, upstream, crashed);
      check_verdict (node, fingerprint, true, outbox);
    }
  tell_recent (node, outbox);
  g_array_unref (changed);
  g_free (upstream);
}

static bool
parse_hex (const char *text, guint64 *number)
{
  char *end = NULL;

  if (text == NULL || strlen (text) != 16)
    return false;
  *number = g_ascii_strtoull (text, &end, 16);
  return *end == '\0' && *number != 0;
}

static void
receive_report (struct GspanNode *node, json_t *report, struct GspanOutbox *outbox)
{
  struct GspanPoisonRequests *poison = &node->poison_requests;
  const char *upstream = json_string_value (json_object_get (report, "upstream"));
  const char *what = json_string_value (json_object_get (report, "what"));
  gint64 age_us = json_integer_value (json_object_get (report, "age_us"));
  guint64 seen_at = node->now - MIN ((guint64)MAX (0, age_us), TOLD_FOR_US);
  guint64 fingerprint;
  int stands = -1;

  if (!parse_hex (json_string_value (json_object_get (report, "content")), &fingerprint)
      || upstream == NULL || what == NULL)
    return;
  if (strcmp (what, answered_name) == 0)
    {
      gspan_poison_requests_clear (poison, fingerprint);
      forget_recent (&node->crash_reports, fingerprint);
      return;
    }
  for (int evidence = GSPAN_POISON_SUSPECTED; evidence <= GSPAN_POISON_CRASHED; evidence++)
    {
      if (strcmp (what, evidence_names[evidence]) == 0)
        stands = gspan_poison_requests_record (poison, fingerprint, upstream, evidence, seen_at);
    }
  if (stands < 0)
    return;
  /* each node would say again what one of them has seen; only what this leads to here is new */
  if (gspan_poison_requests_refused_until (poison, fingerprint, node->now) != 0)
    log_report (node, fingerprint, upstream, evidence_names[stands], "peer", outbox);
  check_verdict (node, fingerprint, false, outbox);
}

void
gspan_crash_reports_receive (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  json_t *report;
  size_t index;

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION)
    return;
  json_array_foreach (json_object_get (message, "reports"), index, report)
  {
    receive_report (node, report, outbox);
  }
}

void
gspan_crash_reports_apply (struct GspanNode *node, const struct GspanStoreObject *object,
                           struct GspanOutbox *outbox)
{
  gint64 until_ms = json_integer_value (json_object_get (object->spec, "until_ms"));
  gint64 life_ms = until_ms - node->wall_ms;
  guint64 fingerprint;

  if (!parse_hex (object->name, &fingerprint))
    return;
  if (object->removed)
    {
      g_hash_table_remove (node->crash_reports.verdicts, &fingerprint);
      gspan_poison_requests_clear (&node->poison_requests, fingerprint);
      return;
    }
  add_verdict (node, fingerprint)->stored = true;
  if (life_ms <= 0)
    return;
  gspan_poison_requests_merge (&node->poison_requests, fingerprint, (guint64)life_ms * GSPAN_MS,
                               node->now);
  log_verdict (
      node, fingerprint, "request-condemned",
      gspan_poison_requests_condemned_until (&node->poison_requests, fingerprint, node->now),
      outbox);
}

static struct GspanStoreCall *
start_call (struct GspanNode *node, enum GspanStoreOp op, guint64 fingerprint,
            struct GspanOutbox *outbox)
{
  struct GspanCrashReports *reports = &node->crash_reports;
  struct GspanRef ref = { GSPAN_OWNER_CRASHES, gspan_node_next_id (node) };
  char *name = hex_of (fingerprint);
  struct GspanStoreCall *call
      = gspan_outbox_store (outbox, ref, op, GSPAN_CRASH_REPORTS_KIND, name);

  reports->call = ref.id;
  reports->call_verdict = fingerprint;
  reports->call_removes = op == GSPAN_STORE_REMOVE;
  g_free (name);
  return call;
}

static void
write_verdict (struct GspanNode *node, guint64 fingerprint, const struct Verdict *verdict,
               guint64 until, struct GspanOutbox *outbox)
{
  enum GspanStoreOp op = verdict->revision != 0 ? GSPAN_STORE_REPLACE : GSPAN_STORE_CREATE;
  gint64 until_ms = node->wall_ms + (gint64)((until - node->now) / GSPAN_MS);
  struct GspanStoreCall *call = start_call (node, op, fingerprint, outbox);

  call->revision = verdict->revision;
  call->value = json_pack ("{s:I, s:s}", "until_ms", (json_int_t)until_ms, "by", node->self.name);
}

/* Writes a verdict that isn't stored, or has one removed that is over; one at a time. */
static void
sync_verdicts (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCrashReports *reports = &node->crash_reports;
  bool cleans_up = gspan_feed_publishes (node);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, reports->verdicts);
  while (reports->call == 0 && g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct Verdict *verdict = value;
      guint64 fingerprint = *(const guint64 *)key;
      guint64 until
          = gspan_poison_requests_condemned_until (&node->poison_requests, fingerprint, node->now);

      if (until == 0 && !verdict->stored)
        g_hash_table_iter_remove (&iter);
      else if (until == 0 && cleans_up)
        start_call (node, GSPAN_STORE_REMOVE, fingerprint, outbox);
      else if (until != 0 && !verdict->stored && node->now >= verdict->write_at_us)
        write_verdict (node, fingerprint, verdict, until, outbox);
    }
}

/* A verdict stands in the store already; one that is over there has to be replaced. */
static void
on_conflict (const struct GspanNode *node, struct Verdict *verdict,
             const struct GspanStoreObject *object)
{
  json_t *until_ms = object != NULL ? json_object_get (object->spec, "until_ms") : NULL;

  verdict->stored = object == NULL || json_integer_value (until_ms) > node->wall_ms;
  verdict->revision = object != NULL ? object->revision : 0;
}

static void
on_call_done (struct GspanNode *node, const struct GspanStoreReply *reply)
{
  struct GspanCrashReports *reports = &node->crash_reports;
  struct Verdict *verdict = g_hash_table_lookup (reports->verdicts, &reports->call_verdict);

  reports->call = 0;
  if (verdict == NULL)
    return;
  switch (reply->result)
    {
    case GSPAN_STORE_OK:
      if (reports->call_removes)
        g_hash_table_remove (reports->verdicts, &reports->call_verdict);
      else
        verdict->stored = true;
      break;
    case GSPAN_STORE_CONFLICT:
      on_conflict (node, verdict, gspan_store_reply_first (reply));
      break;
    case GSPAN_STORE_MISSING: /* removed meanwhile */
      g_hash_table_remove (reports->verdicts, &reports->call_verdict);
      break;
    case GSPAN_STORE_GAP:
    case GSPAN_STORE_UNAVAILABLE:
    case GSPAN_STORE_UNKNOWN:
      reports->next_call_at_us = node->now + RETRY_US;
      break;
    }
}

void
gspan_crash_reports_handle (struct GspanNode *node, const struct GspanEvent *event,
                            struct GspanOutbox *outbox)
{
  struct GspanCrashReports *reports = &node->crash_reports;

  if (event->kind == GSPAN_EVENT_STORE_DONE && event->ref.id == reports->call)
    on_call_done (node, event->u.store.reply);
  tell_recent (node, outbox);
  if (node->catalog.store_fails)
    gspan_poison_requests_keep_unconfirmed (&node->poison_requests, node->now);
  else if (reports->call == 0 && node->now >= reports->next_call_at_us)
    sync_verdicts (node, outbox);
}

#include "gateway/crash_reports.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define RESEND_FOR_US (GSPAN_SECOND) /* a report is repeated, since datagrams get lost */
#define SEND_NEW_INTERVAL_US (20 * GSPAN_MS)
#define RESEND_INTERVAL_US (300 * GSPAN_MS)
#define HELD_MAX_US (500 * GSPAN_MS)    /* links that stand have shown it by then */
#define SILENCE_MIN_US (400 * GSPAN_MS) /* healthy replicas have mostly answered by then */

enum
{
  REPORTS_MAX = 64, /* in a datagram of some 8 KB */
  FORMAT_VERSION = 1
};

/* Report types in messages and log lines: one for each evidence, and one for an answer. */
static const char *const evidence_names[] = { "exposed", "suspected", "crashed" };
static const char answered_name[] = "answered";

struct Report
{
  guint64 fingerprint;
  char *upstream;
  const char *type; /* one of the names above */
  guint64 at;
};

struct Held
{
  guint64 fingerprint;
  struct GspanReplica *replica;
  enum GspanPoisonEvidence evidence;
  guint64 at;
};

static void
held_free (gpointer data)
{
  struct Held *held = data;

  gspan_replica_unref (held->replica);
  g_free (held);
}

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
  reports->held = g_ptr_array_new_with_free_func (held_free);
}

void
gspan_crash_reports_finish (struct GspanCrashReports *reports)
{
  g_ptr_array_unref (reports->held);
  g_ptr_array_unref (reports->recent);
}

/* Released with g_free (). */
static char *
incarnation_of (const struct GspanReplica *replica)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, replica->id, replica->born);
}

static void
log_report (const struct GspanNode *node, guint64 fingerprint, const char *upstream,
            const char *type, const char *source, struct GspanOutbox *outbox)
{
  char *content = gspan_poison_fingerprint_format (fingerprint);
  struct GspanLine line;

  gspan_line_init (&line, "request-evidence");
  gspan_line_cstr (&line, "content", content);
  gspan_line_cstr (&line, "upstream", upstream);
  gspan_line_cstr (&line, "evidence", type);
  gspan_line_cstr (&line, "source", source);
  gspan_line_u64 (
      &line, "crashes",
      gspan_poison_requests_crash_count (&node->poison_requests, fingerprint, node->now));
  gspan_outbox_log (outbox, "crashes", GSPAN_PRIORITY_INFO, &line);
  g_free (content);
}

static void
queue_report (struct GspanNode *node, guint64 fingerprint, const char *upstream, const char *type)
{
  struct Report *report = g_new0 (struct Report, 1);

  report->fingerprint = fingerprint;
  report->upstream = g_strdup (upstream);
  report->type = type;
  report->at = node->now;
  g_ptr_array_add (node->crash_reports.recent, report);
  node->crash_reports.has_new = true;
}

/* Drops the reports on a request that has been answered since. */
static void
drop_reports (struct GspanCrashReports *reports, guint64 fingerprint)
{
  for (guint i = reports->recent->len; i > 0; i--)
    {
      const struct Report *report = g_ptr_array_index (reports->recent, i - 1);

      if (report->fingerprint == fingerprint)
        g_ptr_array_remove_index (reports->recent, i - 1);
    }
}

static void
send_reports (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCrashReports *reports = &node->crash_reports;
  guint count = reports->recent->len;
  guint first = count - MIN (count, (guint)REPORTS_MAX);
  json_t *list = json_array ();
  json_t *message;

  for (guint i = first; i < reports->recent->len; i++)
    {
      const struct Report *report = g_ptr_array_index (reports->recent, i);
      char *content = gspan_poison_fingerprint_format (report->fingerprint);

      json_array_append_new (list, json_pack ("{s:s, s:s, s:s, s:I}", "content", content,
                                              "upstream", report->upstream, "what", report->type,
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
send_reports_if_due (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanCrashReports *reports = &node->crash_reports;
  guint64 pause;

  while (reports->recent->len > 0)
    {
      const struct Report *oldest = g_ptr_array_index (reports->recent, 0);

      if (oldest->at + RESEND_FOR_US >= node->now)
        break;
      g_ptr_array_remove_index (reports->recent, 0);
    }
  pause = reports->has_new ? SEND_NEW_INTERVAL_US : RESEND_INTERVAL_US;
  if (reports->recent->len == 0 || node->now < reports->sent_at_us + pause)
    return;
  send_reports (node, outbox);
  reports->sent_at_us = node->now;
}

static void
record (struct GspanNode *node, guint64 fingerprint, const struct GspanReplica *replica,
        enum GspanPoisonEvidence evidence, struct GspanOutbox *outbox)
{
  char *upstream = incarnation_of (replica);
  int recorded = gspan_poison_requests_record (&node->poison_requests, fingerprint, upstream,
                                               evidence, node->now);

  if (recorded >= GSPAN_POISON_SUSPECTED)
    {
      log_report (node, fingerprint, upstream, evidence_names[recorded], "own", outbox);
      queue_report (node, fingerprint, upstream, evidence_names[recorded]);
      gspan_verdicts_check (node, fingerprint, true, outbox);
      send_reports_if_due (node, outbox);
    }
  g_free (upstream);
}

void
gspan_crash_reports_note (struct GspanNode *node, guint64 fingerprint, struct GspanReplica *replica,
                          enum GspanPoisonEvidence evidence, struct GspanOutbox *outbox)
{
  struct Held *held;

  if (evidence == GSPAN_POISON_CRASHED)
    {
      record (node, fingerprint, replica, evidence, outbox);
      return;
    }
  held = g_new0 (struct Held, 1);
  held->fingerprint = fingerprint;
  held->replica = gspan_replica_ref (replica);
  held->evidence = evidence;
  held->at = node->now;
  g_ptr_array_add (node->crash_reports.held, held);
  gspan_links_check_one (node, outbox);
}

void
gspan_crash_reports_links_stand (struct GspanNode *node, guint64 since, struct GspanOutbox *outbox)
{
  GPtrArray *held = node->crash_reports.held;

  while (held->len > 0 && ((const struct Held *)g_ptr_array_index (held, 0))->at <= since)
    {
      struct Held *first = g_ptr_array_steal_index (held, 0);

      record (node, first->fingerprint, first->replica, first->evidence, outbox);
      held_free (first);
    }
}

guint
gspan_crash_reports_held (const struct GspanNode *node, guint64 fingerprint)
{
  const GPtrArray *held = node->crash_reports.held;
  guint count = 0;

  for (guint i = 0; i < held->len; i++)
    count += ((const struct Held *)g_ptr_array_index (held, i))->fingerprint == fingerprint;
  return count;
}

/* Drops evidence for which no replica was heard in time: it was the links. */
static void
drop_held (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GPtrArray *held = node->crash_reports.held;

  while (held->len > 0)
    {
      const struct Held *oldest = g_ptr_array_index (held, 0);
      char *upstream;

      if (!node->links.cut && node->now < oldest->at + HELD_MAX_US)
        return;
      upstream = incarnation_of (oldest->replica);
      log_report (node, oldest->fingerprint, upstream, "dropped", "own", outbox);
      g_free (upstream);
      g_ptr_array_remove_index (held, 0);
    }
}

void
gspan_crash_reports_note_lost (struct GspanNode *node, guint64 fingerprint,
                               struct GspanReplica *replica, const struct GspanEventHttp *answer,
                               struct GspanOutbox *outbox)
{
  gspan_crash_reports_note (node, fingerprint, replica,
                            answer->trace.foreign ? GSPAN_POISON_EXPOSED : GSPAN_POISON_SUSPECTED,
                            outbox);
}

void
gspan_crash_reports_note_silence (struct GspanNode *node, guint64 fingerprint,
                                  struct GspanReplica *replica, guint64 elapsed_us,
                                  struct GspanOutbox *outbox)
{
  gspan_crash_reports_note (
      node, fingerprint, replica,
      elapsed_us >= SILENCE_MIN_US ? GSPAN_POISON_SUSPECTED : GSPAN_POISON_EXPOSED, outbox);
}

void
gspan_crash_reports_note_answer (struct GspanNode *node, guint64 fingerprint,
                                 const struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  char *upstream = incarnation_of (replica);

  if (replica->failures > 0)
    gspan_poison_requests_upstream_works (&node->poison_requests, upstream);
  if (gspan_poison_requests_clear (&node->poison_requests, fingerprint))
    {
      log_report (node, fingerprint, upstream, answered_name, "own", outbox);
      drop_reports (&node->crash_reports, fingerprint);
      queue_report (node, fingerprint, upstream, answered_name);
      send_reports_if_due (node, outbox);
    }
  g_free (upstream);
}

void
gspan_crash_reports_replica_ended (struct GspanNode *node, const struct GspanReplica *replica,
                                   struct GspanOutbox *outbox)
{
  GArray *changed = g_array_new (FALSE, FALSE, sizeof (guint64));
  char *upstream = incarnation_of (replica);

  gspan_poison_requests_upstream_ended (&node->poison_requests, upstream, node->now, changed);
  gspan_gateway_replica_ended (node, replica, outbox);
  for (guint i = 0; i < changed->len; i++)
    {
      guint64 fingerprint = g_array_index (changed, guint64, i);
      const char *crashed = evidence_names[GSPAN_POISON_CRASHED];

      log_report (node, fingerprint, upstream, crashed, "own", outbox);
      queue_report (node, fingerprint, upstream, crashed);
      gspan_verdicts_check (node, fingerprint, true, outbox);
    }
  send_reports_if_due (node, outbox);
  g_array_unref (changed);
  g_free (upstream);
}

static void
receive_report (struct GspanNode *node, json_t *report, struct GspanOutbox *outbox)
{
  struct GspanPoisonRequests *poison = &node->poison_requests;
  const char *upstream = json_string_value (json_object_get (report, "upstream"));
  const char *type = json_string_value (json_object_get (report, "what"));
  gint64 age_us = json_integer_value (json_object_get (report, "age_us"));
  guint64 seen_at = node->now - MIN ((guint64)MAX (0, age_us), RESEND_FOR_US);
  guint64 fingerprint;
  int recorded = -1;

  if (!gspan_poison_fingerprint_parse (json_string_value (json_object_get (report, "content")),
                                       &fingerprint)
      || upstream == NULL || type == NULL)
    return;
  if (strcmp (type, answered_name) == 0)
    {
      gspan_poison_requests_clear (poison, fingerprint);
      drop_reports (&node->crash_reports, fingerprint);
      return;
    }
  for (int evidence = GSPAN_POISON_SUSPECTED; evidence <= GSPAN_POISON_CRASHED; evidence++)
    {
      if (strcmp (type, evidence_names[evidence]) == 0)
        recorded = gspan_poison_requests_record (poison, fingerprint, upstream, evidence, seen_at);
    }
  if (recorded < 0)
    return;
  /* the node that saw it has logged it; here only a refusal that results from it is news */
  if (gspan_poison_requests_refused_until (poison, fingerprint, node->now) != 0)
    log_report (node, fingerprint, upstream, evidence_names[recorded], "peer", outbox);
  gspan_verdicts_check (node, fingerprint, false, outbox);
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
gspan_crash_reports_handle (struct GspanNode *node, struct GspanOutbox *outbox)
{
  drop_held (node, outbox);
  if (node->crash_reports.held->len > 0)
    gspan_links_check_one (node, outbox);
  send_reports_if_due (node, outbox);
  if (node->catalog.store_fails)
    gspan_poison_requests_keep_unconfirmed (&node->poison_requests, node->now);
}

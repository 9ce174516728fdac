#include <string.h>

#include "catalog/outage.h"
#include "common/clock.h"
#include "jobs/checkpoint.h"
#include "jobs/jobs.h"
#include "jobs/progress.h"
#include "node/node.h"

/*
 * Ownership of jobs. A job is run by the node that its head names as owner. The owner sends
 * heartbeats by datagram to the first nodes in the job's rank order, its takeover candidates; all
 * other nodes that know the job request a heartbeat now and then. If heartbeats cease, the first in
 * rank takes the job over by a conditional write of the head. Nodes may differ for some seconds in
 * who is present and so in their ranks: a candidate that gets no heartbeats requests them before it
 * takes over. Two nodes may run a job for a moment;
 * no item is committed twice even then (jobs/job.h). The owner reads the head periodically, since a
 * caller may end the job at any node and another node may have taken it over.
 */

enum
{
  CANDIDATES_MAX = 2,
  HANDOVER_TRIES_MAX = 4
};

#define HEARTBEAT_INTERVAL_US (400 * GSPAN_MS)
#define HEAD_CHECK_INTERVAL_US (1500 * GSPAN_MS)         /* an ended job must stop within seconds */
#define HEARTBEAT_REQUEST_INTERVAL_US (2 * GSPAN_SECOND) /* at rank 0; longer at later ranks */
#define CANDIDATE_REQUEST_INTERVAL_US (400 * GSPAN_MS)
#define CANDIDATE_QUIET_US (900 * GSPAN_MS) /* two missed heartbeats: a candidate requests them */
#define OWNER_TIMEOUT_US (1600 * GSPAN_MS)  /* four missed heartbeats: the owner has failed */
#define UNOWNED_TIMEOUT_US (100 * GSPAN_MS) /* no owner, or one that is cut off from the store */
#define RANK_DELAY_US (700 * GSPAN_MS)      /* added to the timeout for each earlier rank */
#define APPEND_STALL_US (GSPAN_SECOND)      /* after so long without a working append it is stuck */
#define RETRY_DELAY_US (300 * GSPAN_MS)
#define HANDOVER_INTERVAL_US (120 * GSPAN_MS) /* several round trips between any two nodes */

/*
 * A store failure at this node up to so long before the owner's last report counts as the same
 * outage.
 */
#define OUTAGE_WINDOW_US (2 * GSPAN_SECOND)

static void
log_job (const struct GspanJob *job, const char *event, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_cstr (&line, "owner", job->owner);
  gspan_line_u64 (&line, "revision", job->head_revision);
  gspan_line_u64 (&line, "listed", gspan_job_committed_count (job));
  gspan_line_u64 (&line, "total", job->item_count);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_NOTICE, &line);
}

static json_t *
message_with_head (const struct GspanNode *node, const struct GspanJob *job, const char *kind)
{
  return json_pack ("{s:s, s:s, s:s, s:o, s:I}", "kind", kind, "job", job->id, "from",
                    node->self.name, "head", gspan_job_encode_head (job, job->owner), "revision",
                    (json_int_t)job->head_revision);
}

static void
notify_candidates (struct GspanNode *node, const struct GspanJob *job, const char *kind,
                   struct GspanOutbox *outbox)
{
  const char *names[CANDIDATES_MAX];
  guint count
      = gspan_peers_takeover_candidates (node, job->id, node->self.name, names, CANDIDATES_MAX);
  json_t *message = message_with_head (node, job, kind);

  for (guint i = 0; i < count; i++)
    {
      gspan_peers_send (node, names[i], message, outbox);
      gspan_peers_ask (node, names[i], outbox);
    }
  json_decref (message);
}

void
gspan_owner_update (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  bool is_owner = strcmp (job->owner, node->self.name) == 0 && !job->ended;

  if (is_owner == job->is_owner)
    return;
  log_job (job, is_owner ? "job-taken" : job->ended ? "job-ended" : "job-left", outbox);
  if (job->ended)
    notify_candidates (node, job, "over", outbox);
  job->is_owner = is_owner;
  job->handing_over = false;
  job->last_active_us = node->now;
  job->owner_heartbeat_at_us = node->now;
  if (is_owner)
    {
      if (job->first_cached > 0 || job->segment_count > job->segment_starts->len)
        gspan_job_unload (job);
      gspan_segments_advance (node, job, outbox);
      return;
    }
  gspan_runner_stop (node, job, outbox);
  gspan_rewards_stop (node, job, outbox);
  /* A new owner may commit results from now on, so readers here wait for a list call. */
  job->segments_up_to_date = false;
  job->append_call = 0;
  gspan_job_discard_ready (job);
}

static void
write_owner (struct GspanNode *node, struct GspanJob *job, const char *owner,
             struct GspanOutbox *outbox)
{
  struct GspanJobCall *job_call;
  struct GspanStoreCall *call
      = gspan_jobs_start_call (node, GSPAN_JOB_SET_OWNER, job->id, GSPAN_STORE_REPLACE,
                               GSPAN_JOBS_KIND, job->id, outbox, &job_call);

  call->revision = job->head_revision;
  call->value = gspan_job_encode_head (job, owner);
  job->head_write_call = job_call->id;
}

/* Notifies the FORMER_OWNER, which may not reach the store, so that it stops its runs. */
static void
notify_former_owner (struct GspanNode *node, const struct GspanJob *job, const char *former_owner,
                     struct GspanOutbox *outbox)
{
  json_t *message = message_with_head (node, job, "taken");

  gspan_peers_send (node, former_owner, message, outbox);
  json_decref (message);
}

static void
read_head (struct GspanNode *node, const char *id, struct GspanOutbox *outbox)
{
  gspan_jobs_start_call (node, GSPAN_JOB_CHECK_HEAD, id, GSPAN_STORE_GET, GSPAN_JOBS_KIND, id,
                         outbox, NULL);
}

/* Applies HEAD. It may show an earlier write of this node that had no answer to have been done. */
static void
apply_read_head (struct GspanNode *node, const struct GspanStoreObject *head,
                 struct GspanOutbox *outbox)
{
  const struct GspanJob *job = gspan_jobs_find (&node->jobs, head->name);
  char *former_owner = g_strdup (job != NULL ? job->owner : "");

  gspan_jobs_apply_head (node, head, outbox);
  job = gspan_jobs_find (&node->jobs, head->name); /* freed if its head is invalid */
  if (job != NULL && job->is_owner && strcmp (former_owner, node->self.name) != 0)
    notify_former_owner (node, job, former_owner, outbox);
  g_free (former_owner);
}

void
gspan_owner_write_done (struct GspanNode *node, struct GspanJob *job,
                        const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);

  job->head_write_call = 0;
  job->owner_heartbeat_at_us = node->now;
  job->owner_stuck = false;
  if (head != NULL)
    apply_read_head (node, head, outbox);
  else if (reply->result == GSPAN_STORE_UNKNOWN)
    read_head (node, job->id, outbox); /* this node may be the owner */
}

static bool
is_over (const struct GspanJob *job)
{
  return job->ended
         || (job->segments_up_to_date && gspan_job_committed_count (job) >= job->item_count);
}

static void
send_message (struct GspanNode *node, const char *to, const char *kind, const char *job_id,
              struct GspanOutbox *outbox)
{
  json_t *message
      = json_pack ("{s:s, s:s, s:s}", "kind", kind, "job", job_id, "from", node->self.name);

  gspan_peers_send (node, to, message, outbox);
  json_decref (message);
}

void
gspan_owner_read_done (struct GspanNode *node, const char *job_id,
                       const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  struct GspanStoreObject removed_head = { 0 };
  struct GspanJob *job;

  if (reply->result == GSPAN_STORE_OK && head != NULL)
    apply_read_head (node, head, outbox);
  job = gspan_jobs_find (&node->jobs, job_id);
  if (reply->result == GSPAN_STORE_OK && job != NULL)
    job->head_read_at_us = node->now;
  if (reply->result != GSPAN_STORE_MISSING)
    return;
  removed_head.name = (char *)job_id;
  removed_head.removed = true;
  gspan_jobs_apply_head (node, &removed_head, outbox);
}

/* True unless appends to the store have been failing or pending for too long. */
static bool
can_append (const struct GspanNode *node, const struct GspanJob *job)
{
  if (job->append_call != 0 && node->now - job->append_sent_at_us > APPEND_STALL_US)
    return false;
  return job->append_failing_since_us == 0
         || node->now - job->append_failing_since_us <= APPEND_STALL_US;
}

/* Reports that this owner can't append, so that a candidate that reaches the store takes over. */
static void
report_stuck (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (job->stuck_reported)
    return;
  job->stuck_reported = true;
  log_job (job, "job-owner-stuck", outbox);
  notify_candidates (node, job, "stuck", outbox);
}

/* For a job that this node owns: sends heartbeats, writes checkpoints and rereads the head. */
static void
tick_owned_job (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (!can_append (node, job))
    report_stuck (node, job, outbox);
  else if (node->now - job->heartbeat_sent_at_us >= HEARTBEAT_INTERVAL_US)
    {
      job->heartbeat_sent_at_us = node->now;
      job->stuck_reported = false;
      notify_candidates (node, job, "runs", outbox);
    }
  gspan_checkpoint_write_if_due (node, job, false, outbox);
  if (node->now - job->head_check_sent_at_us >= HEAD_CHECK_INTERVAL_US
      && !node->catalog.store_fails)
    {
      job->head_check_sent_at_us = node->now;
      read_head (node, job->id, outbox);
    }
}

/*
 * Takes JOB over from an owner considered failed, once the store has replied to this node after
 * SILENT_SINCE_US. In an outage of the store an owner that can't commit results falls silent too,
 * and it resumes right after the outage with all that it has generated meanwhile, which a new owner
 * would have to generate again.
 */
static void
take_over (struct GspanNode *node, struct GspanJob *job, guint64 silent_since_us,
           struct GspanOutbox *outbox)
{
  if (job->head_read_at_us > silent_since_us)
    {
      log_job (job, "job-owner-silent", outbox);
      write_owner (node, job, node->self.name, outbox);
    }
  else if (node->now >= job->next_head_read_at_us)
    {
      job->next_head_read_at_us = node->now + RETRY_DELAY_US;
      read_head (node, job->id, outbox);
    }
}

/*
 * This node's rank in taking over JOB, 0 first. Only the holder of the order lease searches for
 * jobs that have lost their owner and all candidates, so it ranks right after the candidates.
 */
static guint
takeover_rank (const struct GspanNode *node, const struct GspanJob *job)
{
  guint rank = gspan_peers_takeover_rank (node, job->id, job->owner);

  return node->weights.lease.held ? MIN (rank, CANDIDATES_MAX) : rank;
}

/*
 * True if the owner of JOB can't reach the store while this node can. In an outage for all nodes
 * the owner keeps the job.
 */
static bool
is_owner_cut_off (const struct GspanNode *node, const struct GspanJob *job)
{
  guint64 failed_at = gspan_outage_last_failure (&node->catalog, job->owner);

  return job->owner_stuck
         && (failed_at == 0 || failed_at + OUTAGE_WINDOW_US < job->owner_heartbeat_at_us);
}

/* A node that becomes a candidate hasn't had the owner's heartbeats before. */
static void
note_rank (const struct GspanNode *node, struct GspanJob *job, bool is_candidate)
{
  if (is_candidate && job->candidate_since_us == 0)
    job->candidate_since_us = node->now;
  else if (!is_candidate)
    job->candidate_since_us = 0;
}

/* True where this node, which may be a candidate, is to request a heartbeat from the owner. */
static bool
is_request_due (const struct GspanNode *node, const struct GspanJob *job, guint rank)
{
  guint64 passed = node->now - job->heartbeat_requested_at_us;

  if (passed >= HEARTBEAT_REQUEST_INTERVAL_US * (1 + rank))
    return true;
  return rank < CANDIDATES_MAX && passed >= CANDIDATE_REQUEST_INTERVAL_US
         && node->now - job->owner_heartbeat_at_us >= CANDIDATE_QUIET_US;
}

/* For a job that another node owns, or none: requests heartbeats and takes over after a timeout. */
static void
monitor_owner (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  guint rank = takeover_rank (node, job);
  guint64 failed_at = gspan_outage_last_failure (&node->catalog, job->owner);
  bool no_working_owner = job->owner[0] == '\0' || is_owner_cut_off (node, job);
  bool is_candidate = rank < CANDIDATES_MAX;
  guint64 silent_since_us;
  guint64 timeout_us = (no_working_owner ? UNOWNED_TIMEOUT_US : OWNER_TIMEOUT_US)
                       + rank * RANK_DELAY_US
                       + (is_candidate ? 0 : 2 * HEARTBEAT_REQUEST_INTERVAL_US * (1 + rank));

  note_rank (node, job, is_candidate);
  silent_since_us = MAX (MAX (job->owner_heartbeat_at_us, job->candidate_since_us), failed_at);
  if (job->head_write_call != 0 || node->catalog.store_fails)
    return;
  if (node->now - silent_since_us >= timeout_us)
    take_over (node, job, silent_since_us, outbox);
  else if (!no_working_owner && is_request_due (node, job, rank))
    {
      job->heartbeat_requested_at_us = node->now;
      send_message (node, job->owner, "ask", job->id, outbox);
    }
}

static void
tell_dispatcher (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  json_t *message = message_with_head (node, job, "taken");

  job->handover_tries++;
  job->handover_next_at_us = node->now + HANDOVER_INTERVAL_US;
  gspan_peers_send (node, job->owner, message, outbox);
  send_message (node, job->owner, "ask", job->id, outbox);
  json_decref (message);
}

void
gspan_owner_begin_handover (struct GspanNode *node, const char *id, struct GspanOutbox *outbox)
{
  struct GspanJob *job = gspan_jobs_find (&node->jobs, id);

  if (job == NULL || job->is_owner || job->ended || job->owner[0] == '\0')
    return;
  job->handover_tries = 0;
  tell_dispatcher (node, job, outbox);
}

/* Tells the owner again that hasn't answered since this node accepted JOB, or takes its place. */
static void
continue_handover (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (node->now < job->handover_next_at_us)
    return;
  if (job->handover_tries < HANDOVER_TRIES_MAX)
    {
      tell_dispatcher (node, job, outbox);
      return;
    }
  job->handover_next_at_us = 0;
  if (job->head_write_call != 0 || node->catalog.store_fails)
    return;
  log_job (job, "job-owner-silent", outbox);
  write_owner (node, job, node->self.name, outbox);
}

/*
 * Hands JOB over while this node drains: stops its runs, writes a last checkpoint, commits what is
 * ready, and then clears the owner.
 */
static void
hand_over (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  job->handing_over = true;
  gspan_runner_stop (node, job, outbox);
  gspan_rewards_stop (node, job, outbox);
  gspan_checkpoint_write_if_due (node, job, true, outbox);
  if (gspan_checkpoint_pending (node, job) || job->ready_results->len > 0 || job->append_call != 0
      || job->head_write_call != 0 || node->catalog.store_fails
      || node->now < job->next_write_at_us)
    return;
  log_job (job, "job-handed-back", outbox);
  write_owner (node, job, "", outbox);
  notify_candidates (node, job, "left", outbox);
  job->next_write_at_us = node->now + RETRY_DELAY_US;
}

void
gspan_owner_tick (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (is_over (job))
    return;
  if (job->reported_over && !job->is_owner)
    return;
  if (job->is_owner && node->draining)
    hand_over (node, job, outbox);
  else if (job->is_owner)
    tick_owned_job (node, job, outbox);
  else if (job->handover_next_at_us != 0)
    continue_handover (node, job, outbox);
  else if (!node->draining)
    monitor_owner (node, job, outbox);
}

static void
reply_to_heartbeat_request (struct GspanNode *node, const char *job_id, const char *from,
                            struct GspanOutbox *outbox)
{
  const struct GspanJob *job = gspan_jobs_find (&node->jobs, job_id);

  if (job != NULL && job->head_known && is_over (job))
    send_message (node, from, "over", job_id, outbox);
  else if (job != NULL && job->is_owner && can_append (node, job))
    send_message (node, from, "runs", job_id, outbox);
}

void
gspan_owner_notify_end (struct GspanNode *node, const struct GspanJob *job,
                        struct GspanOutbox *outbox)
{
  if (strcmp (job->owner, node->self.name) != 0)
    send_message (node, job->owner, "ended", job->id, outbox);
}

/* Applies the head in a MESSAGE of the node that has written it or owns the job. */
static void
apply_sent_head (struct GspanNode *node, const char *id, json_t *message,
                 struct GspanOutbox *outbox)
{
  struct GspanStoreObject head = { 0 };

  if (!gspan_job_id_is_valid (id))
    return;
  head.name = (char *)id;
  head.spec = json_object_get (message, "head");
  head.revision = (guint64)json_integer_value (json_object_get (message, "revision"));
  if (json_is_object (head.spec) && head.revision > 0)
    gspan_jobs_apply_head (node, &head, outbox);
}

static void
handle_message (struct GspanNode *node, const char *kind, const char *id, const char *from,
                json_t *message, struct GspanOutbox *outbox)
{
  struct GspanJob *job = gspan_jobs_find (&node->jobs, id);

  if (strcmp (kind, "ask") == 0)
    reply_to_heartbeat_request (node, id, from, outbox);
  else if (strcmp (kind, "taken") == 0 || (job == NULL && strcmp (kind, "runs") == 0))
    /* A new candidate gets the head from a heartbeat, which lets it take the job over. */
    apply_sent_head (node, id, message, outbox);
  else if (job == NULL)
    return;
  else if (strcmp (kind, "runs") == 0 || strcmp (kind, "stuck") == 0)
    {
      job->owner_heartbeat_at_us = node->now;
      if (strcmp (from, job->owner) == 0)
        job->handover_next_at_us = 0;
      job->owner_stuck = strcmp (kind, "stuck") == 0;
    }
  else if (strcmp (kind, "reads") == 0 || strcmp (kind, "listed") == 0)
    gspan_progress_receive (node, job, kind, from, message, outbox);
  else if (strcmp (kind, "over") == 0)
    job->reported_over = true;
  else if (strcmp (kind, "ended") == 0)
    {
      /* The sender's write of the status has succeeded, so the head need not be read. */
      job->ended = true;
      gspan_owner_update (node, job, outbox);
    }
  else if (strcmp (kind, "left") == 0)
    read_head (node, id, outbox);
}

void
gspan_owner_handle_datagram (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  const char *kind = json_string_value (json_object_get (message, "kind"));
  const char *id = json_string_value (json_object_get (message, "job"));
  const char *from = json_string_value (json_object_get (message, "from"));

  if (kind != NULL && id != NULL && from != NULL)
    handle_message (node, kind, id, from, message, outbox);
}

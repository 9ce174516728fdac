#include <string.h>

#include "common/clock.h"
#include "jobs/checkpoint.h"
#include "jobs/jobs.h"
#include "jobs/progress.h"
#include "node/node.h"

/*
 * Each job is run by the node that its head names. That node tells two deputies by datagram that it
 * does; other nodes that know of the job ask it now and then. Where it falls silent, the first in
 * rank names itself by a conditional write. Two nodes may run a job for a moment; its list stays
 * right all the same (jobs/job.h). The owner reads the head now and then: an end is asked for at
 * any node, and another owner may have taken over.
 */

enum
{
  DEPUTIES = 2
};

#define TELL_US (400 * GSPAN_MS)     /* between two words to the deputies */
#define CHECK_US (1500 * GSPAN_MS)   /* between two looks at the head; an end counts in seconds */
#define ASK_US (2 * GSPAN_SECOND)    /* between two questions of the first in rank */
#define SILENCE_US (1600 * GSPAN_MS) /* four words that didn't come */
#define HANDED_BACK_US (100 * GSPAN_MS)
#define RANK_US (700 * GSPAN_MS) /* the next in rank waits for so much longer */
#define STUCK_US (GSPAN_SECOND)  /* an owner that can't list results for so long says so */
#define OUTAGE_US                                                                                  \
  (2 * GSPAN_SECOND) /* a failure here so long before an owner's is another matter */
#define RETRY_US (300 * GSPAN_MS)

static void
log_owner (const struct GspanJob *job, const char *event, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "job", job->id);
  gspan_line_cstr (&line, "owner", job->owner);
  gspan_line_u64 (&line, "revision", job->revision);
  gspan_line_u64 (&line, "listed", job->listed->len);
  gspan_line_u64 (&line, "total", job->total);
  gspan_outbox_log (outbox, "jobs", GSPAN_PRIORITY_NOTICE, &line);
}

static json_t *
message_with_head (const struct GspanNode *node, const struct GspanJob *job, const char *kind)
{
  return json_pack ("{s:s, s:s, s:s, s:o, s:I}", "kind", kind, "job", job->id, "from",
                    node->self.name, "head", gspan_job_write_head (job, job->owner), "revision",
                    (json_int_t)job->revision);
}

static void
tell_deputies (struct GspanNode *node, const struct GspanJob *job, const char *kind,
               struct GspanOutbox *outbox)
{
  const char *names[DEPUTIES];
  guint count = gspan_peers_takeover_candidates (node, job->id, node->self.name, names, DEPUTIES);
  json_t *message = message_with_head (node, job, kind);

  for (guint i = 0; i < count; i++)
    gspan_peers_send (node, names[i], message, outbox);
  json_decref (message);
}

void
gspan_owner_update (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  bool mine = strcmp (job->owner, node->self.name) == 0 && !job->ended;

  if (mine == job->mine)
    return;
  log_owner (job, mine ? "job-taken" : job->ended ? "job-ended" : "job-left", outbox);
  if (job->ended)
    tell_deputies (node, job, "over", outbox);
  job->mine = mine;
  job->handing_over = false;
  job->used_at = node->now;
  job->heard_at = node->now;
  if (mine)
    {
      gspan_segments_advance (node, job, outbox);
      return;
    }
  gspan_runner_stop (node, job, outbox);
  /* What another owner lists from now on has to be read before it is told. */
  job->read_all = false;
  job->append_call = 0;
  gspan_job_drop_ready (job);
}

static void
name_owner (struct GspanNode *node, struct GspanJob *job, const char *owner,
            struct GspanOutbox *outbox)
{
  struct GspanJobCall *item;
  struct GspanStoreCall *call = gspan_jobs_call (node, GSPAN_JOB_TAKE, job->id, GSPAN_STORE_REPLACE,
                                                 GSPAN_JOBS_KIND, job->id, outbox, &item);

  call->revision = job->revision;
  call->value = gspan_job_write_head (job, owner);
  job->head_call = item->id;
}

/* The owner of before may not reach the store, but stops its runs when it hears of it. */
static void
tell_taken (struct GspanNode *node, const struct GspanJob *job, const char *before,
            struct GspanOutbox *outbox)
{
  json_t *message = message_with_head (node, job, "taken");

  gspan_peers_send (node, before, message, outbox);
  json_decref (message);
}

void
gspan_owner_done (struct GspanNode *node, struct GspanJob *job, const struct GspanStoreReply *reply,
                  struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  char *before = g_strdup (job->owner);

  job->head_call = 0;
  job->heard_at = node->now;
  job->owner_stuck = false;
  if (head != NULL)
    {
      gspan_jobs_apply_head (node, head, outbox);
      job = gspan_jobs_find (&node->jobs, head->name); /* dropped where its head can't be read */
    }
  if (reply->result == GSPAN_STORE_OK && job != NULL && job->mine
      && strcmp (before, node->self.name) != 0)
    tell_taken (node, job, before, outbox);
  g_free (before);
}

static bool
is_over (const struct GspanJob *job)
{
  return job->ended || (job->read_all && job->listed->len >= job->total);
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

static void
check_head (struct GspanNode *node, const char *id, struct GspanOutbox *outbox)
{
  gspan_jobs_call (node, GSPAN_JOB_CHECK, id, GSPAN_STORE_GET, GSPAN_JOBS_KIND, id, outbox, NULL);
}

void
gspan_owner_checked (struct GspanNode *node, const char *job_id,
                     const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *head = gspan_store_reply_first (reply);
  struct GspanStoreObject gone = { 0 };
  struct GspanJob *job;

  if (reply->result == GSPAN_STORE_OK && head != NULL)
    gspan_jobs_apply_head (node, head, outbox);
  job = gspan_jobs_find (&node->jobs, job_id);
  if (reply->result == GSPAN_STORE_OK && job != NULL)
    job->looked_up_at = node->now;
  if (reply->result != GSPAN_STORE_MISSING)
    return;
  gone.name = (char *)job_id;
  gone.removed = true;
  gspan_jobs_apply_head (node, &gone, outbox);
}

/* True where the owner can do what it is there for. */
static bool
is_able (const struct GspanNode *node, const struct GspanJob *job)
{
  if (job->append_call != 0 && node->now - job->append_sent > STUCK_US)
    return false;
  return job->append_failing_since == 0 || node->now - job->append_failing_since <= STUCK_US;
}

/* A deputy that reaches the store goes on with a job whose owner doesn't. */
static void
tell_stuck (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (job->told_stuck)
    return;
  job->told_stuck = true;
  log_owner (job, "job-owner-stuck", outbox);
  tell_deputies (node, job, "stuck", outbox);
}

/* Of a job that this node runs. */
static void
keep_job (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (!is_able (node, job))
    tell_stuck (node, job, outbox);
  else if (node->now - job->told_at >= TELL_US)
    {
      job->told_at = node->now;
      job->told_stuck = false;
      tell_deputies (node, job, "runs", outbox);
    }
  gspan_checkpoint_advance (node, job, false, outbox);
  if (node->now - job->checked_at >= CHECK_US && !node->catalog.store_fails)
    {
      job->checked_at = node->now;
      check_head (node, job->id, outbox);
    }
}

/*
 * The owner has been silent for long enough. It is replaced only once the store has answered here:
 * in an outage an owner that can't list results falls silent too, and goes on right after it with
 * all that it has generated meanwhile, which a new owner would generate again.
 */
static void
replace_owner (struct GspanNode *node, struct GspanJob *job, guint64 silent_since,
               struct GspanOutbox *outbox)
{
  if (job->looked_up_at > silent_since)
    {
      log_owner (job, "job-owner-silent", outbox);
      name_owner (node, job, node->self.name, outbox);
    }
  else if (node->now >= job->look_up_after)
    {
      job->look_up_after = node->now + RETRY_US;
      check_head (node, job->id, outbox);
    }
}

/*
 * Place among those that would take JOB over. The holder of the lease of orders alone looks for
 * jobs that lost their owner and its deputies, so it follows right after these.
 */
static guint
rank_for (const struct GspanNode *node, const struct GspanJob *job)
{
  guint rank = gspan_peers_takeover_rank (node, job->id, job->owner);

  return node->weights.lease.held ? MIN (rank, DEPUTIES) : rank;
}

/* True where JOB's owner alone doesn't reach the store; in an outage it keeps the job. */
static bool
is_cut_off (const struct GspanNode *node, const struct GspanJob *job)
{
  return job->owner_stuck
         && (node->catalog.store_failed_at == 0
             || node->catalog.store_failed_at + OUTAGE_US < job->heard_at);
}

/* Of a job that another node runs, or none. */
static void
watch_owner (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  guint rank = rank_for (node, job);
  guint64 silent_since = MAX (job->heard_at, node->catalog.store_failed_at);
  bool handed_back = job->owner[0] == '\0' || is_cut_off (node, job);
  bool deputy = rank < DEPUTIES;
  guint64 patience = (handed_back ? HANDED_BACK_US : SILENCE_US) + rank * RANK_US
                     + (deputy ? 0 : 2 * ASK_US * (1 + rank));

  if (job->head_call != 0 || node->catalog.store_fails)
    return;
  if (node->now - silent_since >= patience)
    replace_owner (node, job, silent_since, outbox);
  else if (!handed_back && node->now - job->asked_at >= ASK_US * (1 + rank))
    {
      job->asked_at = node->now;
      send_message (node, job->owner, "ask", job->id, outbox);
    }
}

static void
hand_back (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  job->handing_over = true;
  gspan_runner_stop (node, job, outbox);
  gspan_checkpoint_advance (node, job, true, outbox);
  if (gspan_checkpoint_pending (node, job) || job->ready->len > 0 || job->append_call != 0
      || job->head_call != 0 || node->catalog.store_fails || node->now < job->append_after)
    return;
  log_owner (job, "job-handed-back", outbox);
  name_owner (node, job, "", outbox);
  tell_deputies (node, job, "left", outbox);
  job->append_after = node->now + RETRY_US;
}

void
gspan_owner_tick (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  if (is_over (job))
    return;
  if (job->let_be && !job->mine)
    return;
  if (job->mine && node->draining)
    hand_back (node, job, outbox);
  else if (job->mine)
    keep_job (node, job, outbox);
  else if (!job->mine && !node->draining)
    watch_owner (node, job, outbox);
}

static void
answer_question (struct GspanNode *node, const char *job_id, const char *from,
                 struct GspanOutbox *outbox)
{
  const struct GspanJob *job = gspan_jobs_find (&node->jobs, job_id);

  if (job != NULL && job->known && is_over (job))
    send_message (node, from, "over", job_id, outbox);
  else if (job != NULL && job->mine && is_able (node, job))
    send_message (node, from, "runs", job_id, outbox);
}

void
gspan_owner_tell_end (struct GspanNode *node, const struct GspanJob *job,
                      struct GspanOutbox *outbox)
{
  if (strcmp (job->owner, node->self.name) != 0)
    send_message (node, job->owner, "ended", job->id, outbox);
}

/* The head as the node that wrote or runs it has told it. */
static void
take_head (struct GspanNode *node, const char *id, json_t *message, struct GspanOutbox *outbox)
{
  struct GspanStoreObject head = { 0 };

  if (!gspan_job_id_ok (id))
    return;
  head.name = (char *)id;
  head.spec = json_object_get (message, "head");
  head.revision = (guint64)json_integer_value (json_object_get (message, "revision"));
  if (json_is_object (head.spec) && head.revision > 0)
    gspan_jobs_apply_head (node, &head, outbox);
}

static void
take_message (struct GspanNode *node, const char *kind, const char *id, const char *from,
              json_t *message, struct GspanOutbox *outbox)
{
  struct GspanJob *job = gspan_jobs_find (&node->jobs, id);

  if (strcmp (kind, "ask") == 0)
    answer_question (node, id, from, outbox);
  else if (strcmp (kind, "taken") == 0 || (job == NULL && strcmp (kind, "runs") == 0))
    take_head (node, id, message, outbox); /* a new deputy has to know it to take the job over */
  else if (job == NULL)
    return;
  else if (strcmp (kind, "runs") == 0 || strcmp (kind, "stuck") == 0)
    {
      job->heard_at = node->now;
      job->owner_stuck = strcmp (kind, "stuck") == 0;
    }
  else if (strcmp (kind, "reads") == 0 || strcmp (kind, "listed") == 0)
    gspan_progress_receive (node, job, kind, from, message, outbox);
  else if (strcmp (kind, "over") == 0)
    job->let_be = true;
  else if (strcmp (kind, "ended") == 0)
    {
      /* The store has said so to the node that sent it. */
      job->ended = true;
      gspan_owner_update (node, job, outbox);
    }
  else if (strcmp (kind, "left") == 0)
    check_head (node, id, outbox);
}

void
gspan_owner_handle_datagram (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  const char *kind = json_string_value (json_object_get (message, "kind"));
  const char *id = json_string_value (json_object_get (message, "job"));
  const char *from = json_string_value (json_object_get (message, "from"));

  if (kind != NULL && id != NULL && from != NULL)
    take_message (node, kind, id, from, message, outbox);
}

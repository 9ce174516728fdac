#include "jobs/progress.h"

#include <string.h>

#include "common/clock.h"
#include "jobs/jobs.h"
#include "node/node.h"

#define ASK_US (300 * GSPAN_MS)         /* between two questions to the owner */
#define ANSWER_MAX_US (150 * GSPAN_MS)  /* the owner's first message to a new reader */
#define SILENCE_US (700 * GSPAN_MS)     /* two answers that didn't come */
#define ASKER_KEPT_US (1500 * GSPAN_MS) /* a reader waits for a second, and asks again */

/* A node that has asked; its name follows. */
static void
note_asker (struct GspanJob *job, const char *from, guint64 now)
{
  guint64 *until = g_new (guint64, 1);

  *until = now + ASKER_KEPT_US;
  g_hash_table_replace (job->askers, g_strdup (from), until);
}

/* Since the store last said what of JOB is listed, also where this VM was suspended meanwhile. */
static guint64
age_of (const struct GspanNode *node, const struct GspanJob *job)
{
  guint64 age = node->now - MIN (node->now, job->looked_at);
  gint64 wall_ms = node->wall_ms - job->looked_wall_ms;

  return MAX (age, (guint64)MAX (0, wall_ms) * GSPAN_MS);
}

static void
send_listed (struct GspanNode *node, const struct GspanJob *job, const char *to,
             struct GspanOutbox *outbox)
{
  json_t *message = json_pack ("{s:s, s:s, s:s, s:I, s:I}", "kind", "listed", "job", job->id,
                               "from", node->self.name, "segments", (json_int_t)job->segments,
                               "age_us", (json_int_t)age_of (node, job));

  gspan_peers_send (node, to, message, outbox);
  json_decref (message);
}

void
gspan_progress_publish (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer name;
  gpointer until;

  g_hash_table_iter_init (&iter, job->askers);
  while (g_hash_table_iter_next (&iter, &name, &until))
    {
      if (*(const guint64 *)until < node->now)
        g_hash_table_iter_remove (&iter);
      else
        send_listed (node, job, name, outbox);
    }
}

void
gspan_progress_request (struct GspanNode *node, struct GspanJob *job, struct GspanOutbox *outbox)
{
  json_t *message;

  if (job->mine || job->readers->len == 0 || job->owner[0] == '\0'
      || node->now < job->asked_news_at + ASK_US)
    return;
  job->asked_news_at = node->now;
  message = json_pack ("{s:s, s:s, s:s}", "kind", "reads", "job", job->id, "from", node->self.name);
  gspan_peers_send (node, job->owner, message, outbox);
  json_decref (message);
}

bool
gspan_progress_needs_list (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanJobReader *first = g_ptr_array_index (job->readers, 0);

  if (!job->read_all || job->owner[0] == '\0' || job->news_segments > job->segments)
    return true;
  return node->now >= job->heard_news_at + SILENCE_US
         && node->now >= first->arrived + ANSWER_MAX_US;
}

bool
gspan_progress_defers_reply (const struct GspanNode *node, const struct GspanJob *job,
                             const struct GspanJobReader *reader)
{
  return !job->mine && job->news_segments > job->segments && !node->catalog.store_fails
         && node->now < reader->arrived + ANSWER_MAX_US;
}

static void
take_listed (struct GspanNode *node, struct GspanJob *job, json_t *message,
             struct GspanOutbox *outbox)
{
  guint segments = (guint)json_integer_value (json_object_get (message, "segments"));
  guint64 age = (guint64)json_integer_value (json_object_get (message, "age_us"));

  job->heard_news_at = node->now;
  job->news_segments = MAX (job->news_segments, segments);
  if (job->read_all && segments <= job->segments)
    job->looked_at = MAX (job->looked_at, node->now - MIN (node->now, age));
  else
    job->fetch_after = 0;
  gspan_serve_readers (node, job, outbox);
  gspan_segments_advance (node, job, outbox);
}

void
gspan_progress_receive (struct GspanNode *node, struct GspanJob *job, const char *kind,
                        const char *from, json_t *message, struct GspanOutbox *outbox)
{
  if (strcmp (kind, "listed") == 0 && !job->mine)
    take_listed (node, job, message, outbox);
  else if (strcmp (kind, "reads") == 0 && job->mine && job->read_all)
    {
      note_asker (job, from, node->now);
      send_listed (node, job, from, outbox);
    }
}

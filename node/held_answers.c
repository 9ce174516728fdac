#include "node/held_answers.h"

#include "gateway/answers.h"
#include "jobs/run.h"
#include "node/node.h"

enum
{
  UNCHECKED_MAX = 64 << 10 /* bytes after which all are added up again */
};

static size_t
memory_of (const GString *text)
{
  return text->len > 0 ? text->allocated_len : 0;
}

static size_t
held_by_attempt (const struct GspanAttempt *attempt)
{
  size_t of_event = attempt->passes_on ? memory_of (attempt->call->events.pending) : 0;

  return memory_of (attempt->body) + of_event;
}

static struct GspanAttempt *
longest_attempt (const struct GspanNode *node, size_t *total)
{
  struct GspanAttempt *longest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->gateway.attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      *total += held_by_attempt (value);
      if (longest == NULL || held_by_attempt (value) > held_by_attempt (longest))
        longest = value;
    }
  return longest;
}

static struct GspanRun *
longest_run (const struct GspanNode *node, size_t *total)
{
  struct GspanRun *longest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->runner.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanRun *run = value;

      *total += memory_of (run->events.pending);
      if (longest == NULL || memory_of (run->events.pending) > memory_of (longest->events.pending))
        longest = run;
    }
  return longest;
}

size_t
gspan_held_answers_total (const struct GspanNode *node)
{
  size_t total = 0;

  longest_attempt (node, &total);
  longest_run (node, &total);
  return total;
}

/* Breaks the longest answer off. False where all fit. */
static bool
break_longest (struct GspanNode *node, struct GspanOutbox *outbox)
{
  size_t total = 0;
  struct GspanAttempt *attempt = longest_attempt (node, &total);
  struct GspanRun *run = longest_run (node, &total);
  size_t of_attempt = attempt != NULL ? held_by_attempt (attempt) : 0;

  if (total <= node->limits.held_answers_max)
    return false;
  if (run != NULL && memory_of (run->events.pending) > of_attempt)
    gspan_runner_break_off (node, run, outbox);
  else
    gspan_answers_break_off (node, attempt, outbox);
  return true;
}

void
gspan_held_answers_bound (struct GspanNode *node, const struct GspanEvent *event,
                          struct GspanOutbox *outbox)
{
  struct GspanHeldAnswers *held = &node->held_answers;

  if (event->kind != GSPAN_EVENT_HTTP_DATA)
    return;
  held->unchecked += g_bytes_get_size (event->u.http.body);
  if (held->unchecked < UNCHECKED_MAX)
    return;
  held->unchecked = 0;
  while (break_longest (node, outbox))
    continue;
}

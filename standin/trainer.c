#include <string.h>

#include "common/clock.h"
#include "standin/standin.h"

/*
 * Stand-in for a trainer: pulls a batch, books it together with the cursor, learns for a while,
 * publishes new weights, pulls again. A restart goes on from the book.
 */

#define PULL_TIMEOUT_US (40 * GSPAN_SECOND)
#define PUBLISH_TIMEOUT_US (5 * GSPAN_SECOND)
#define RETRY_S 0.2

enum TrainerState
{
  TRAINER_PULLING,
  TRAINER_LEARNING,
  TRAINER_PUBLISHING
};

struct Trainer
{
  struct GspanStandin *standin;
  enum TrainerState state;
  char **entries;
  guint next_entry;
  char *cursor;
  guint64 weight;
  guint64 asked_at; /* when the trainer became idle */
  guint64 exchange;
  ev_timer timer;
};

static void
pull (struct Trainer *trainer)
{
  const char *entry = trainer->entries[trainer->next_entry++ % g_strv_length (trainer->entries)];
  char *url = g_strdup_printf ("http://%s/v1/pull", entry);

  trainer->state = TRAINER_PULLING;
  trainer->exchange = gspan_standin_send (
      trainer->standin, "POST", url,
      json_pack ("{s:s, s:I, s:s}", "attachment", trainer->standin->attachment, "weight",
                 (json_int_t)trainer->weight, "cursor", trainer->cursor),
      PULL_TIMEOUT_US);
  g_free (url);
}

static void
publish (struct Trainer *trainer)
{
  char *url = g_strdup_printf ("http://%s/v1/weights/%s", trainer->standin->platform,
                               trainer->standin->model);

  trainer->state = TRAINER_PUBLISHING;
  trainer->exchange = gspan_standin_send (
      trainer->standin, "POST", url, json_pack ("{s:I}", "version", (json_int_t)trainer->weight),
      PUBLISH_TIMEOUT_US);
  g_free (url);
}

static void
wait (struct Trainer *trainer, double seconds)
{
  ev_timer_stop (trainer->standin->loop, &trainer->timer);
  ev_timer_set (&trainer->timer, seconds, 0);
  ev_timer_start (trainer->standin->loop, &trainer->timer);
}

static json_t *
note_samples (json_t *samples)
{
  json_t *notes = json_array ();
  json_t *sample;
  size_t index;

  json_array_foreach (samples, index, sample)
  {
    json_array_append_new (notes,
                           json_pack ("{s:O, s:O, s:O}", "id", json_object_get (sample, "id"),
                                      "text", json_object_get (sample, "text"), "segments",
                                      json_object_get (sample, "segments")));
  }
  return notes;
}

/* Taking the batch and remembering the cursor are one line of the book. */
static void
take_batch (struct Trainer *trainer, json_t *batch)
{
  guint64 now = gspan_clock_now ();
  const char *cursor = json_string_value (json_object_get (batch, "cursor"));

  gspan_standin_book (
      trainer->standin,
      json_pack ("{s:O, s:s, s:I, s:I, s:i, s:o}", "batch", json_object_get (batch, "batch"),
                 "cursor", cursor, "weight", (json_int_t)trainer->weight, "idle_us",
                 (json_int_t)(now - trainer->asked_at), "train_ms", trainer->standin->train_ms,
                 "samples", note_samples (json_object_get (batch, "samples"))));
  g_free (trainer->cursor);
  trainer->cursor = g_strdup (cursor);
  trainer->state = TRAINER_LEARNING;
  wait (trainer, trainer->standin->train_ms / 1000.0);
}

/* True where the batch is the one after this trainer's own cursor. */
static bool
follows (const struct Trainer *trainer, json_t *batch)
{
  const char *after = json_string_value (json_object_get (batch, "after"));

  return trainer->cursor[0] == '\0' || g_strcmp0 (after, trainer->cursor) == 0;
}

static void
on_pulled (struct Trainer *trainer, const struct GspanEventHttp *answer)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *batch = NULL;

  if (answer->result == GSPAN_HTTP_COMPLETE && answer->status == 200)
    batch = json_loadb (text.data, text.len, 0, NULL);
  if (json_is_string (json_object_get (batch, "cursor")) && follows (trainer, batch))
    take_batch (trainer, batch);
  else
    wait (trainer, RETRY_S);
  json_decref (batch);
}

static void
on_exchange (void *user, const struct GspanEvent *event)
{
  struct Trainer *trainer = user;

  if (event->kind != GSPAN_EVENT_HTTP_DONE || event->ref.id != trainer->exchange)
    return;
  if (trainer->state == TRAINER_PULLING)
    on_pulled (trainer, &event->u.http);
  else if (event->u.http.result != GSPAN_HTTP_COMPLETE || event->u.http.status != 200)
    wait (trainer, RETRY_S);
  else
    pull (trainer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct Trainer *trainer = timer->data;

  (void)loop;
  (void)events;
  switch (trainer->state)
    {
    case TRAINER_PULLING:
      pull (trainer);
      break;
    case TRAINER_LEARNING:
      trainer->weight++;
      trainer->asked_at = gspan_clock_now ();
      publish (trainer);
      break;
    case TRAINER_PUBLISHING:
      publish (trainer);
      break;
    }
}

static void
read_book (struct Trainer *trainer)
{
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (trainer->standin->book, &text, NULL, NULL))
    return;
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      json_t *line = json_loads (lines[i], 0, NULL);
      const char *cursor = json_string_value (json_object_get (line, "cursor"));

      if (cursor != NULL)
        {
          g_free (trainer->cursor);
          trainer->cursor = g_strdup (cursor);
          trainer->weight = (guint64)json_integer_value (json_object_get (line, "weight")) + 1;
        }
      json_decref (line);
    }
  g_strfreev (lines);
  g_free (text);
}

void
gspan_standin_run_trainer (struct GspanStandin *standin)
{
  struct Trainer trainer = { 0 };

  trainer.standin = standin;
  trainer.entries = g_strsplit (standin->entries, ",", -1);
  trainer.cursor = g_strdup ("");
  trainer.weight = 1;
  if (standin->book != NULL)
    read_book (&trainer);
  standin->on_exchange = on_exchange;
  standin->user = &trainer;
  ev_timer_init (&trainer.timer, on_timer, 0, 0);
  trainer.timer.data = &trainer;
  trainer.asked_at = gspan_clock_now ();
  publish (&trainer);
  ev_run (standin->loop, 0);
}

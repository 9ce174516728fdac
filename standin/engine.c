#include <math.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "standin/standin.h"

/*
 * Stand-in for a model engine: batches continuously, desk before rollout, slower per sequence the
 * more of them run; swaps weights on order, in mid-sequence too, and says per segment which version
 * generated it.
 */

enum
{
  TOKENS_MIN = 4,
  REPORTED_PROMPT = 1024
};

#define STEP_S 0.01
#define TAIL_EXPONENT 1.6
#define SLOWDOWN_PER_SEQUENCE 0.03

struct Sequence
{
  guint64 request;
  bool desk;
  bool stream;
  bool begun;
  char *run; /* names this run in the books */
  char *prompt;
  guint64 tokens; /* to generate in all */
  double done;
  guint64 told; /* tokens already streamed */
  json_t *segments;
};

struct Engine
{
  struct GspanStandin *standin;
  GQueue waiting; /* struct Sequence */
  GPtrArray *running;
  guint64 runs;
  guint64 weight; /* 0 is uncertain */
  guint64 fence;
  guint64 swap_until; /* 0 where no swap is under way */
  guint64 swap_weight;
  guint64 swap_request;
  guint64 stepped_at;
  ev_timer timer;
};

static void
sequence_free (gpointer data)
{
  struct Sequence *sequence = data;

  g_free (sequence->run);
  g_free (sequence->prompt);
  json_decref (sequence->segments);
  g_free (sequence);
}

static json_t *
version_json (const struct Engine *engine)
{
  return engine->weight != 0 ? json_integer ((json_int_t)engine->weight) : json_null ();
}

static void
note_tokens (const struct Engine *engine, struct Sequence *sequence, guint64 count)
{
  size_t len = json_array_size (sequence->segments);
  json_t *last = len > 0 ? json_array_get (sequence->segments, len - 1) : NULL;
  json_t *version = version_json (engine);

  if (last != NULL && json_equal (json_object_get (last, "version"), version))
    {
      json_t *tokens = json_object_get (last, "tokens");

      json_integer_set (tokens, json_integer_value (tokens) + (json_int_t)count);
      json_decref (version);
    }
  else
    json_array_append_new (sequence->segments, json_pack ("{s:o, s:I}", "version", version,
                                                          "tokens", (json_int_t)count));
}

static char *
answer_text (const struct Sequence *sequence)
{
  return g_strdup_printf ("run=%s tokens=%" G_GUINT64_FORMAT " prompt=%.*s", sequence->run,
                          sequence->tokens, REPORTED_PROMPT, sequence->prompt);
}

static json_t *
answer_json (const struct Sequence *sequence, const char *text, const char *reason)
{
  return json_pack ("{s:s, s:s, s:[{s:i, s:s, s:s?}], s:O, s:{s:I}}", "id", sequence->run, "object",
                    "text_completion", "choices", "index", 0, "text", text, "finish_reason", reason,
                    "weight_segments", sequence->segments, "usage", "completion_tokens",
                    (json_int_t)sequence->tokens);
}

static void
fill_headers (const struct Engine *engine, struct GspanHeaders *headers, const char *type)
{
  gspan_headers_init (headers);
  gspan_headers_add (headers, "Content-Type", gspan_str_from (type));
  gspan_headers_add_u64 (headers, "X-Load", engine->running->len + engine->waiting.length);
  if (engine->weight != 0)
    gspan_headers_add_u64 (headers, "X-Weight-Version", engine->weight);
  else
    gspan_headers_add (headers, "X-Weight-Version", GSPAN_STR ("uncertain"));
}

static void
send_event (struct Engine *engine, struct Sequence *sequence, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  char *line = g_strdup_printf ("data: %s\n\n", text);
  GBytes *data = g_bytes_new_take (line, strlen (line));

  gspan_http_server_data (engine->standin->server, sequence->request, data);
  g_bytes_unref (data);
  free (text);
  json_decref (value);
}

static void
stream_tokens (struct Engine *engine, struct Sequence *sequence, guint64 count)
{
  struct GspanHeaders headers;
  GString *text = g_string_new (NULL);

  if (!sequence->begun)
    {
      sequence->begun = true;
      fill_headers (engine, &headers, "text/event-stream");
      gspan_http_server_begin (engine->standin->server, sequence->request, 200, &headers);
      gspan_headers_finish (&headers);
    }
  for (guint64 i = 0; i < count; i++)
    g_string_append_printf (text, "t%" G_GUINT64_FORMAT " ", sequence->told + i);
  sequence->told += count;
  send_event (engine, sequence, answer_json (sequence, text->str, NULL));
  g_string_free (text, TRUE);
}

static void
finish_stream (struct Engine *engine, struct Sequence *sequence, const char *text)
{
  static const char done[] = "data: [DONE]\n\n";
  GBytes *mark = g_bytes_new_static (done, sizeof done - 1);

  send_event (engine, sequence, answer_json (sequence, text, "stop"));
  gspan_http_server_data (engine->standin->server, sequence->request, mark);
  gspan_http_server_end (engine->standin->server, sequence->request);
  g_bytes_unref (mark);
}

static void
finish_sequence (struct Engine *engine, struct Sequence *sequence)
{
  char *text = answer_text (sequence);
  struct GspanHeaders headers;
  json_t *answer;
  char *body;
  GBytes *bytes;

  gspan_standin_book (engine->standin,
                      json_pack ("{s:s, s:s, s:O}", "run", sequence->run, "prompt",
                                 sequence->prompt, "segments", sequence->segments));
  if (sequence->stream)
    finish_stream (engine, sequence, text);
  else
    {
      answer = answer_json (sequence, text, "stop");
      body = json_dumps (answer, JSON_COMPACT);
      bytes = g_bytes_new_with_free_func (body, strlen (body), free, body);
      fill_headers (engine, &headers, "application/json");
      gspan_http_server_reply (engine->standin->server, sequence->request, 200, &headers, bytes);
      gspan_headers_finish (&headers);
      g_bytes_unref (bytes);
      json_decref (answer);
    }
  g_free (text);
}

static void
advance_sequence (struct Engine *engine, struct Sequence *sequence, double tokens)
{
  guint64 before = (guint64)sequence->done;
  guint64 after;

  sequence->done = MIN (sequence->done + tokens, (double)sequence->tokens);
  after = (guint64)sequence->done;
  if (after == before)
    return;
  note_tokens (engine, sequence, after - before);
  if (sequence->stream)
    stream_tokens (engine, sequence, after - before);
}

static void
admit (struct Engine *engine)
{
  while (engine->running->len < (guint)engine->standin->slots && engine->waiting.length > 0)
    g_ptr_array_add (engine->running, g_queue_pop_head (&engine->waiting));
}

static void
finish_swap (struct Engine *engine)
{
  bool fails
      = g_rand_int_range (engine->standin->random, 0, 100) < engine->standin->swap_fail_percent;

  engine->swap_until = 0;
  engine->weight = fails ? 0 : engine->swap_weight;
  gspan_standin_reply (engine->standin, engine->swap_request, fails ? 500 : 200,
                       json_pack ("{s:o}", "weight", version_json (engine)), 0);
}

static void
on_step (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct Engine *engine = timer->data;
  guint64 now = gspan_clock_now ();
  double seconds = (double)(now - engine->stepped_at) / (double)GSPAN_SECOND;
  double rate = engine->standin->tokens_per_s / (1 + SLOWDOWN_PER_SEQUENCE * engine->running->len);

  (void)loop;
  (void)events;
  engine->stepped_at = now;
  if (engine->swap_until != 0 && now < engine->swap_until)
    return;
  if (engine->swap_until != 0)
    finish_swap (engine);
  for (guint i = engine->running->len; i > 0; i--)
    {
      struct Sequence *sequence = g_ptr_array_index (engine->running, i - 1);

      advance_sequence (engine, sequence, rate * seconds);
      if (sequence->done < (double)sequence->tokens)
        continue;
      finish_sequence (engine, sequence);
      g_ptr_array_remove_index (engine->running, i - 1);
    }
  admit (engine);
}

/*
 * Heavy-tailed length: most answers are short, a few are many times longer. A request that brings
 * its own SEED gets the same length on every engine.
 */
static guint64
draw_tokens (struct Engine *engine, guint64 max, json_t *seed)
{
  GRand *random = json_is_integer (seed) ? g_rand_new_with_seed ((guint32)json_integer_value (seed))
                                         : g_rand_copy (engine->standin->random);
  double uniform = g_rand_double_range (random, 1e-6, 1.0);
  double tokens = (double)max / 8 * pow (uniform, -1 / TAIL_EXPONENT);

  g_rand_free (random);
  g_rand_double (engine->standin->random);
  return CLAMP ((guint64)tokens, MIN (TOKENS_MIN, max), max);
}

static void
take_completion (struct Engine *engine, const struct GspanHttpIncoming *incoming)
{
  json_t *body = gspan_standin_body (incoming);
  json_t *max = json_object_get (body, "max_tokens");
  const char *prompt = json_string_value (json_object_get (body, "prompt"));
  struct Sequence *sequence;

  if (prompt == NULL)
    {
      gspan_standin_reply (engine->standin, incoming->id, 400,
                           json_pack ("{s:s}", "error", "prompt: missing"), 0);
      json_decref (body);
      return;
    }
  sequence = g_new0 (struct Sequence, 1);
  sequence->request = incoming->id;
  sequence->desk
      = gspan_str_equal (gspan_headers_get (incoming->headers, "X-Priority"), GSPAN_STR ("desk"));
  sequence->stream = json_is_true (json_object_get (body, "stream"));
  sequence->prompt = g_strdup (prompt);
  sequence->run = g_strdup_printf ("%s-%x-%" G_GUINT64_FORMAT, engine->standin->name,
                                   (guint)getpid (), ++engine->runs);
  sequence->tokens = draw_tokens (
      engine, json_is_integer (max) ? MAX (1, (guint64)json_integer_value (max)) : 64,
      json_object_get (body, "seed"));
  sequence->segments = json_array ();
  json_decref (body);
  if (sequence->desk)
    g_queue_push_head (&engine->waiting, sequence);
  else
    g_queue_push_tail (&engine->waiting, sequence);
  admit (engine);
}

static void
take_order (struct Engine *engine, const struct GspanHttpIncoming *incoming)
{
  json_t *body = gspan_standin_body (incoming);
  guint64 fence = (guint64)json_integer_value (json_object_get (body, "fence"));
  guint64 weight = (guint64)json_integer_value (json_object_get (body, "version"));

  json_decref (body);
  if (!engine->standin->ignores_fence && fence < engine->fence)
    {
      gspan_standin_reply (engine->standin, incoming->id, 409,
                           json_pack ("{s:I}", "fence", (json_int_t)engine->fence), 0);
      return;
    }
  engine->fence = MAX (engine->fence, fence);
  if (engine->swap_until != 0 || weight == 0)
    {
      gspan_standin_reply (engine->standin, incoming->id, 503,
                           json_pack ("{s:s}", "error", "a swap is under way"), 0);
      return;
    }
  gspan_standin_book (engine->standin, json_pack ("{s:I, s:I}", "order_fence", (json_int_t)fence,
                                                  "order_version", (json_int_t)weight));
  engine->swap_weight = weight;
  engine->swap_request = incoming->id;
  engine->swap_until = gspan_clock_now () + (guint64)engine->standin->swap_ms * GSPAN_MS;
}

static void
on_request (void *user, const struct GspanHttpIncoming *incoming)
{
  struct Engine *engine = user;

  if (gspan_str_equal (incoming->path, GSPAN_STR ("/v1/completions")))
    take_completion (engine, incoming);
  else if (gspan_str_equal (incoming->path, GSPAN_STR ("/v1/order")))
    take_order (engine, incoming);
  else if (gspan_str_equal (incoming->path, GSPAN_STR ("/v1/state")))
    gspan_standin_reply (engine->standin, incoming->id, 200,
                         json_pack ("{s:o, s:I}", "weight", version_json (engine), "load",
                                    (json_int_t)engine->running->len + engine->waiting.length),
                         0);
  else
    gspan_standin_reply (engine->standin, incoming->id, 404, json_object (), 0);
}

static void
on_gone (void *user, guint64 id)
{
  struct Engine *engine = user;

  for (guint i = engine->running->len; i > 0; i--)
    {
      struct Sequence *sequence = g_ptr_array_index (engine->running, i - 1);

      if (sequence->request != id)
        continue;
      gspan_standin_book (engine->standin, json_pack ("{s:s, s:I}", "cancelled", sequence->run,
                                                      "tokens", (json_int_t)sequence->done));
      g_ptr_array_remove_index (engine->running, i - 1);
    }
  for (GList *item = engine->waiting.head; item != NULL; item = item->next)
    {
      struct Sequence *sequence = item->data;

      if (sequence->request != id)
        continue;
      g_queue_delete_link (&engine->waiting, item);
      sequence_free (sequence);
      return;
    }
}

void
gspan_standin_add_engine (struct GspanStandin *standin)
{
  struct Engine *engine = g_new0 (struct Engine, 1);

  engine->standin = standin;
  engine->weight = 1;
  engine->running = g_ptr_array_new_with_free_func (sequence_free);
  g_queue_init (&engine->waiting);
  engine->stepped_at = gspan_clock_now ();
  standin->handler.request = on_request;
  standin->handler.gone = on_gone;
  standin->handler.user = engine;
  ev_timer_init (&engine->timer, on_step, STEP_S, STEP_S);
  engine->timer.data = engine;
  ev_timer_start (standin->loop, &engine->timer);
}

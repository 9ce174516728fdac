#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/version.h"
#include "http/client.h"

/*
 * Load tool: desk callers with open-loop arrivals. Latency counts from the intended start. Each
 * call is one line of the book: what was asked, what was answered, and whether that answers the
 * question.
 */

enum
{
  PERCENT = 100,
  EXTRA_WAIT_S = 60,
  PREFIX_LEN = 256,
  TRIES_MAX = 6
};

#define CALL_TIMEOUT_US (45 * GSPAN_SECOND)

struct Load
{
  struct ev_loop *loop;
  struct GspanHttpClient *client;
  GRand *random;
  GHashTable *calls; /* number to struct Call */
  int book_fd;
  ev_timer timer;
  guint64 started;
  guint64 sent;
  guint64 next_at;
  guint64 stop_at;
  /* settings */
  char *entries;
  char *completions;
  char *orders;
  char *book;
  char *name;
  gint seconds;
  gint rate;
  gint orders_percent;
  gint stream_percent;
  gint seed;
  gint prefixes;
  gint max_tokens;
  gboolean version;
  char *filler; /* shared beginning of the prompts of one family */
};

struct Call
{
  guint64 number;
  char *id;
  bool order;
  bool stream;
  guint tries;
  json_t *body;
  guint64 intended;
  GString *text; /* of a streamed answer */
};

static void
call_free (gpointer data)
{
  struct Call *call = data;

  g_free (call->id);
  json_decref (call->body);
  g_string_free (call->text, TRUE);
  g_free (call);
}

/* Sends the call to the next entry, as a balancer would where one takes no connection. */
static void
send_call (struct Load *load, struct Call *call)
{
  char **entries = g_strsplit (load->entries, ",", -1);
  struct GspanRef ref = { 0, call->number };
  struct GspanActionHttp http = { 0 };
  char *text = json_dumps (call->body, JSON_COMPACT);
  char *path = call->order ? g_strdup_printf ("/call/%s/order", load->orders)
                           : g_strdup ("/v1/completions");
  guint64 turn = call->number + call->tries++;

  gspan_headers_init (&http.headers);
  gspan_headers_add (&http.headers, "Content-Type", GSPAN_STR ("application/json"));
  http.method = "POST";
  http.url = g_strdup_printf ("http://%s%s", entries[turn % g_strv_length (entries)], path);
  http.body = g_bytes_new_with_free_func (text, strlen (text), free, text);
  http.timeout_us = CALL_TIMEOUT_US;
  http.new_connection = call->order;
  http.stream = call->stream;
  gspan_http_client_start (load->client, ref, &http);
  gspan_headers_finish (&http.headers);
  g_bytes_unref (http.body);
  g_free (http.url);
  g_free (path);
  g_strfreev (entries);
}

static void
start_call (struct Load *load, guint64 intended)
{
  struct Call *call = g_new0 (struct Call, 1);
  char *prompt;

  call->number = ++load->sent;
  call->id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, load->name, call->number);
  call->intended = intended;
  call->text = g_string_new (NULL);
  call->order
      = load->orders != NULL && g_rand_int_range (load->random, 0, PERCENT) < load->orders_percent;
  call->stream = !call->order && g_rand_int_range (load->random, 0, PERCENT) < load->stream_percent;
  g_hash_table_insert (load->calls, &call->number, call);
  if (call->order)
    {
      call->body = json_pack ("{s:s}", "order", call->id);
      send_call (load, call);
      return;
    }
  prompt = g_strdup_printf ("family %d %s call=%s ",
                            g_rand_int_range (load->random, 0, load->prefixes), load->filler,
                            call->id);
  call->body = json_pack ("{s:s, s:s, s:i, s:b}", "model", load->completions, "prompt", prompt,
                          "max_tokens", load->max_tokens, "stream", call->stream);
  send_call (load, call);
  g_free (prompt);
}

static void
append_line (struct Load *load, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  char *line = g_strconcat (text, "\n", NULL);

  if (write (load->book_fd, line, strlen (line)) < 0)
    perror ("gspan-load");
  g_free (line);
  free (text);
  json_decref (value);
}

/* True where the answer is whole and answers this very call. */
static bool
answers_call (const struct Call *call, struct GspanStr text)
{
  char *copy = gspan_str_dup (text);
  char *wanted = g_strdup_printf (call->order ? "\"order\":\"%s\"" : "call=%s ", call->id);
  bool ok = strstr (copy, wanted) != NULL;

  if (call->stream)
    ok = ok && strstr (copy, "data: [DONE]") != NULL;
  g_free (wanted);
  g_free (copy);
  return ok;
}

static const char *
outcome_of (const struct Call *call, const struct GspanEventHttp *answer, char *buffer, size_t size)
{
  struct GspanStr outcome = gspan_headers_get (answer->headers, "Gspan-Outcome");

  if (answer->result == GSPAN_HTTP_NOT_SENT)
    return "no-entry";
  if (answer->result != GSPAN_HTTP_COMPLETE)
    return "broken";
  if (call->stream && answer->status == 200)
    return strstr (call->text->str, ": Gspan-Outcome: complete") != NULL ? "complete" : "broken";
  g_snprintf (buffer, size, "%.*s", (int)outcome.len, outcome.data != NULL ? outcome.data : "");
  return buffer;
}

static void
finish_call (struct Load *load, struct Call *call, const struct GspanEventHttp *answer)
{
  struct GspanStr text = call->stream ? (struct GspanStr){ call->text->str, call->text->len }
                                      : gspan_str_from_bytes (answer->body);
  char buffer[32];
  const char *outcome = outcome_of (call, answer, buffer, sizeof buffer);

  append_line (load, json_pack ("{s:s, s:s, s:s, s:i, s:b, s:I}", "id", call->id, "kind",
                                call->order ? "order" : (call->stream ? "stream" : "completion"),
                                "outcome", outcome, "status", answer->status, "whole",
                                answers_call (call, text), "latency_us",
                                (json_int_t)(gspan_clock_now () - call->intended)));
  g_hash_table_remove (load->calls, &call->number);
}

static void
on_exchange (void *user, const struct GspanEvent *event)
{
  struct Load *load = user;
  struct Call *call = g_hash_table_lookup (load->calls, &event->ref.id);
  struct GspanStr data = gspan_str_from_bytes (event->u.http.body);

  if (call == NULL)
    return;
  if (event->kind == GSPAN_EVENT_HTTP_DATA)
    g_string_append_len (call->text, data.data, (gssize)data.len);
  else if (event->kind == GSPAN_EVENT_HTTP_DONE && event->u.http.result == GSPAN_HTTP_NOT_SENT
           && call->tries < TRIES_MAX)
    send_call (load, call);
  else if (event->kind == GSPAN_EVENT_HTTP_DONE)
    finish_call (load, call, &event->u.http);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct Load *load = timer->data;
  guint64 now = gspan_clock_now ();
  guint64 gap = GSPAN_SECOND / (guint64)load->rate;

  (void)events;
  while (load->next_at <= now && load->next_at < load->stop_at)
    {
      start_call (load, load->next_at);
      load->next_at += gap / 2 + (guint64)g_rand_int_range (load->random, 0, (gint32)gap + 1);
    }
  if (now >= load->stop_at
      && (g_hash_table_size (load->calls) == 0
          || now >= load->stop_at + EXTRA_WAIT_S * GSPAN_SECOND))
    ev_break (loop, EVBREAK_ALL);
}

static int
run (struct Load *load)
{
  load->book_fd = load->book != NULL
                      ? open (load->book, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)
                      : STDOUT_FILENO;
  if (load->book_fd < 0)
    {
      perror (load->book);
      return 1;
    }
  load->loop = ev_default_loop (0);
  load->random = g_rand_new_with_seed ((guint32)load->seed);
  load->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  load->client = gspan_http_client_new (load->loop, on_exchange, load);
  load->started = gspan_clock_now ();
  load->filler = g_strnfill (PREFIX_LEN, 'x');
  load->next_at = load->started;
  load->stop_at = load->started + (guint64)load->seconds * GSPAN_SECOND;
  ev_timer_init (&load->timer, on_timer, 0.002, 0.002);
  load->timer.data = load;
  ev_timer_start (load->loop, &load->timer);
  ev_run (load->loop, 0);
  return 0;
}

static void
free_settings (struct Load *load)
{
  g_free (load->entries);
  g_free (load->completions);
  g_free (load->orders);
  g_free (load->book);
  g_free (load->name);
  g_free (load->filler);
}

static int
run_with_settings (struct Load *load)
{
  if (load->version)
    {
      printf ("gspan-load %s\n", GSPAN_VERSION);
      return 0;
    }
  if (load->entries == NULL || load->completions == NULL || load->rate < 1 || load->prefixes < 1)
    {
      fprintf (stderr, "gspan-load: --entries and --completions are required, --rate and "
                       "--prefixes are 1 or more\n");
      return 2;
    }
  return run (load);
}

int
main (int argc, char **argv)
{
  struct Load load = { 0 };
  const GOptionEntry entries[] = {
    { "entries", 0, 0, G_OPTION_ARG_STRING, &load.entries, "entries to call", "IP:PORT,..." },
    { "completions", 0, 0, G_OPTION_ARG_STRING, &load.completions, "completions route", "ROUTE" },
    { "orders", 0, 0, G_OPTION_ARG_STRING, &load.orders, "plain route for orders", "ROUTE" },
    { "book", 0, 0, G_OPTION_ARG_FILENAME, &load.book, "file of the calls", "FILE" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &load.name, "prefix of the calls' ids", "NAME" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &load.seconds, "length of the run", "N" },
    { "rate", 0, 0, G_OPTION_ARG_INT, &load.rate, "calls a second", "N" },
    { "orders-percent", 0, 0, G_OPTION_ARG_INT, &load.orders_percent, "share of orders", "%" },
    { "stream-percent", 0, 0, G_OPTION_ARG_INT, &load.stream_percent, "share of streams", "%" },
    { "prefixes", 0, 0, G_OPTION_ARG_INT, &load.prefixes, "prompt families", "N" },
    { "max-tokens", 0, 0, G_OPTION_ARG_INT, &load.max_tokens, "longest answer", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &load.seed, "seed of random choices", "N" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &load.version, "print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL }
  };
  GOptionContext *options = g_option_context_new ("- desk callers with open-loop arrivals");
  GError *problem = NULL;
  int code;

  signal (SIGPIPE, SIG_IGN);
  load.seconds = 10;
  load.rate = 20;
  load.orders_percent = 50;
  load.stream_percent = 30;
  load.prefixes = 8;
  load.max_tokens = 64;
  load.seed = 1;
  load.name = g_strdup ("call");
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &problem))
    {
      fprintf (stderr, "gspan-load: %s\n", problem->message);
      return 2;
    }
  g_option_context_free (options);
  code = run_with_settings (&load);
  free_settings (&load);
  return code;
}

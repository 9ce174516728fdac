#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "standin/standin.h"

enum
{
  BODY_MAX = 64 << 20,
  CONNECTIONS = 4000
};

void
gspan_standin_book (struct GspanStandin *standin, json_t *value)
{
  char *text;
  char *line;

  json_object_set_new (value, "at_us", json_integer ((json_int_t)gspan_clock_now ()));
  text = json_dumps (value, JSON_COMPACT);
  line = g_strconcat (text, "\n", NULL);
  if (standin->book_fd >= 0 && write (standin->book_fd, line, strlen (line)) < 0)
    perror (standin->book);
  g_free (line);
  free (text);
  json_decref (value);
}

void
gspan_standin_reply (struct GspanStandin *standin, guint64 id, int status, json_t *value,
                     guint64 revision)
{
  struct GspanHeaders headers;
  char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  GBytes *body = g_bytes_new (text, strlen (text));

  gspan_headers_init (&headers);
  gspan_headers_add (&headers, "Content-Type", GSPAN_STR ("application/json"));
  if (revision != 0)
    gspan_headers_add_u64 (&headers, "X-Revision", revision);
  gspan_http_server_reply (standin->server, id, status, &headers, body);
  gspan_headers_finish (&headers);
  g_bytes_unref (body);
  free (text);
  json_decref (value);
}

guint64
gspan_standin_send (struct GspanStandin *standin, const char *method, const char *url, json_t *body,
                    guint64 timeout_us)
{
  struct GspanRef ref = { 0, ++standin->next_ref };
  struct GspanActionHttp http = { 0 };
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;

  gspan_headers_init (&http.headers);
  gspan_headers_add (&http.headers, "Content-Type", GSPAN_STR ("application/json"));
  http.method = (char *)method;
  http.url = (char *)url;
  http.body = text != NULL ? g_bytes_new (text, strlen (text)) : NULL;
  http.timeout_us = timeout_us;
  gspan_http_client_start (standin->client, ref, &http);
  gspan_headers_finish (&http.headers);
  g_clear_pointer (&http.body, g_bytes_unref);
  free (text);
  json_decref (body);
  return ref.id;
}

guint64
gspan_standin_query (struct GspanStr path, const char *name, guint64 fallback)
{
  char *text = gspan_str_dup (path);
  char *key = g_strdup_printf ("%s=", name);
  char *query = strchr (text, '?');
  guint64 value = fallback;

  while (query != NULL)
    {
      query++;
      if (g_str_has_prefix (query, key))
        value = g_ascii_strtoull (query + strlen (key), NULL, 10);
      query = strchr (query, '&');
    }
  g_free (key);
  g_free (text);
  return value;
}

json_t *
gspan_standin_body (const struct GspanHttpIncoming *incoming)
{
  struct GspanStr body = gspan_str_from_bytes (incoming->body);

  return json_loadb (body.data != NULL ? body.data : "", body.len, 0, NULL);
}

static void
on_request (void *user, const struct GspanHttpIncoming *incoming)
{
  struct GspanStandin *standin = user;

  standin->handler.request (standin->handler.user, incoming);
}

static void
on_gone (void *user, guint64 id)
{
  struct GspanStandin *standin = user;

  if (standin->handler.gone != NULL)
    standin->handler.gone (standin->handler.user, id);
}

static void
on_exchange (void *user, const struct GspanEvent *event)
{
  struct GspanStandin *standin = user;

  if (standin->on_exchange != NULL)
    standin->on_exchange (standin->user, event);
}

static bool
open_standin (struct GspanStandin *standin)
{
  struct GspanHttpLimits limits = { BODY_MAX, CONNECTIONS, 0, 0, 0, 0, NULL };
  struct GspanHttpHandler handler = { on_request, on_gone, standin, NULL };
  struct GspanError error = { 0 };

  standin->loop = ev_default_loop (0);
  standin->random = g_rand_new_with_seed ((guint32)standin->seed);
  standin->book_fd = -1;
  if (standin->book != NULL)
    standin->book_fd = open (standin->book, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  standin->client = gspan_http_client_new (standin->loop, on_exchange, standin);
  if (standin->listen == NULL)
    return true;
  standin->server
      = gspan_http_server_new (standin->loop, standin->listen, &limits, &handler, &error);
  if (standin->server == NULL)
    fprintf (stderr, "gspan-standin: %s\n", error.message);
  return standin->server != NULL;
}

/* One engine on each address of --listen; the second and later ones are called NAME-2 and so on. */
static void
run_engines (struct GspanStandin *first)
{
  char **addresses = g_strsplit (first->listen, ",", -1);

  for (guint i = 0; addresses[i] != NULL; i++)
    {
      struct GspanStandin *engine = first;

      if (i > 0)
        {
          engine = g_memdup2 (first, sizeof *first);
          engine->name = g_strdup_printf ("%s-%u", first->name, i + 1);
          engine->seed += (gint)i;
        }
      engine->listen = addresses[i];
      if (!open_standin (engine))
        exit (1);
      gspan_standin_add_engine (engine);
    }
  ev_run (first->loop, 0);
}

static int
run_role (struct GspanStandin *standin)
{
  static const struct
  {
    const char *name;
    void (*run) (struct GspanStandin *standin);
  } roles[] = { { "platform", gspan_standin_run_platform },
                { "engine", run_engines },
                { "service", gspan_standin_run_service },
                { "trainer", gspan_standin_run_trainer },
                { "wire", gspan_standin_run_wire } };

  for (size_t i = 0; i < G_N_ELEMENTS (roles); i++)
    {
      if (standin->role == NULL || strcmp (standin->role, roles[i].name) != 0)
        continue;
      if (roles[i].run != run_engines && !open_standin (standin))
        return 1;
      roles[i].run (standin);
      return 0;
    }
  fprintf (stderr, "gspan-standin: --role is one of platform engine service trainer wire\n");
  return 2;
}

int
main (int argc, char **argv)
{
  struct GspanStandin s = { 0 };
  const GOptionEntry entries[] = {
    { "role", 0, 0, G_OPTION_ARG_STRING, &s.role, "platform, engine, service, trainer or wire",
      "ROLE" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &s.name, "name in the VM list", "NAME" },
    { "listen", 0, 0, G_OPTION_ARG_STRING, &s.listen,
      "address to serve; engine: several, split by commas", "IP:PORT" },
    { "platform", 0, 0, G_OPTION_ARG_STRING, &s.platform, "the platform", "IP:PORT" },
    { "book", 0, 0, G_OPTION_ARG_FILENAME, &s.book, "file of what was done", "FILE" },
    { "entries", 0, 0, G_OPTION_ARG_STRING, &s.entries, "trainer: entries", "IP:PORT,..." },
    { "pairs", 0, 0, G_OPTION_ARG_STRING, &s.pairs, "wire: forwards", "LISTEN=TARGET,..." },
    { "attachment", 0, 0, G_OPTION_ARG_STRING, &s.attachment, "trainer: attachment", "NAME" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &s.model, "model in the weight store", "NAME" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &s.seed, "seed of random choices", "N" },
    { "tokens-per-s", 0, 0, G_OPTION_ARG_INT, &s.tokens_per_s, "engine: of one sequence", "N" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &s.slots, "engine: sequences at once", "N" },
    { "swap-ms", 0, 0, G_OPTION_ARG_INT, &s.swap_ms, "engine: length of a weight swap", "MS" },
    { "swap-fail", 0, 0, G_OPTION_ARG_INT, &s.swap_fail_percent, "engine: failing swaps", "%" },
    { "ignores-fence", 0, 0, G_OPTION_ARG_NONE, &s.ignores_fence, "engine: takes any order", NULL },
    { "train-ms", 0, 0, G_OPTION_ARG_INT, &s.train_ms, "trainer: length of a step", "MS" },
    { "service-ms", 0, 0, G_OPTION_ARG_INT, &s.service_ms, "service: length of a call", "MS" },
    { "list-lag-ms", 0, 0, G_OPTION_ARG_INT, &s.list_lag_ms, "platform: lag of the VM list", "MS" },
    { "rate", 0, 0, G_OPTION_ARG_INT, &s.rate, "platform: calls a second; 0 is no limit", "N" },
    { NULL, 0, 0, 0, NULL, NULL, NULL }
  };
  GOptionContext *options = g_option_context_new ("- stand-in for what stands around gentianspan");
  GError *problem = NULL;

  signal (SIGPIPE, SIG_IGN);
  s.tokens_per_s = 400;
  s.slots = 16;
  s.swap_ms = 300;
  s.train_ms = 1000;
  s.service_ms = 20;
  s.seed = 1;
  s.name = g_strdup ("standin");
  s.model = g_strdup ("model");
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &problem))
    {
      fprintf (stderr, "gspan-standin: %s\n", problem->message);
      return 2;
    }
  g_option_context_free (options);
  return run_role (&s);
}

#include "http/client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "common/clock.h"
#include "http/answer_head.h"
#include "http/collected.h"
#include "http/curl_loop.h"
#include "http/request.h"
#include "http/sent_ids.h"
#include "http/stray_upstreams.h"
#include "http/tcp.h"

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  KEEPALIVE_IDLE_S = 2,
  PROBE_IDLE_S = 1, /* as above, for exchanges that ask for probes of silence */
  PROBE_COUNT = 2,  /* that may stay without an answer */
  KEEPALIVE_INTERVAL_S = 1,
  UNACKNOWLEDGED_MAX_MS = 4000, /* sent bytes without an acknowledgement end the connection */
  PROBED_MAX_MS = 1000 * (PROBE_IDLE_S + PROBE_COUNT * KEEPALIVE_INTERVAL_S),
  SENDS_MAX = 2, /* of a request that may run twice: libcurl repeats it once */
  CONNECTIONS_KEPT = 512,
  IDLE_AGE_MAX_S = 12,   /* a connection idle for longer isn't used again */
  ANSWER_MAX = 8 << 20,  /* bytes of an answer that is collected */
  ANSWERS_MAX = 32 << 20 /* of memory for all that are collected at once */
};

#define SILENCE_CHECK_S 0.02
#define REPEAT_WITHIN_US (250 * GSPAN_MS) /* a kept connection that had ended shows it by then */

struct Exchange
{
  struct GspanHttpClient *client;
  struct GspanRef ref;
  CURL *easy;
  struct curl_slist *fields;
  GBytes *body;
  struct GspanAnswerHead head;
  struct GspanCollected answer; /* of those that don't stream */
  struct GspanFraming framing;
  bool stream;
  bool once; /* never sent a second time */
  bool plain_framing;
  bool probe_silence;
  bool connect_only;
  bool head_told;
  bool cancelled;
  bool head_too_long; /* broken off at a bound */
  bool foreign;       /* the answer that came belongs to another request */
  int new_socket;     /* opened for the next sending; -1 is none */
  bool withheld;      /* not sent: its connection held bytes that belong to no request */
  bool renewed;       /* then started once more, on a new connection */
  guint sends;        /* times that libcurl began to send the request */
  guint64 started;
  guint64 sent_at; /* of the first sending */
  guint64 silence_us;
  guint64 heard_at; /* last answer byte; 0 before the first */
};

struct GspanHttpClient
{
  struct ev_loop *loop;
  CURLM *multi;
  struct GspanCurlLoop curl_loop;
  ev_timer silence; /* runs while exchanges with a limit on silence are open */
  guint limited;    /* their number */
  struct GspanCollection answers;
  struct GspanCollection platform_answers; /* bounded apart from the others */
  GHashTable *exchanges;                   /* struct GspanRef to struct Exchange */
  bool inside;         /* libcurl is on the stack and takes no handle in or out */
  GPtrArray *starting; /* exchanges to add once libcurl is off the stack */
  GPtrArray *doomed;   /* cancelled exchanges to free then */
  struct GspanSentIds sent_ids;
  struct GspanStrayUpstreams strays;
  struct GspanTcpTable sockets;
  GspanHttpClientCallback callback;
  void *user;
  char *source; /* address that connections come from, as libcurl writes it; NULL is any */
};

static guint
ref_hash (gconstpointer key)
{
  const struct GspanRef *ref = key;

  return (guint)(ref->id * 0x9e3779b97f4a7c15ULL >> 32) ^ (guint)ref->owner;
}

static gboolean
ref_equal (gconstpointer a, gconstpointer b)
{
  const struct GspanRef *x = a;
  const struct GspanRef *y = b;

  return x->owner == y->owner && x->id == y->id;
}

static void
exchange_free (gpointer data)
{
  struct Exchange *exchange = data;

  if (exchange->silence_us > 0)
    exchange->client->limited--;
  gspan_collected_finish (&exchange->answer);
  curl_multi_remove_handle (exchange->client->multi, exchange->easy);
  curl_easy_cleanup (exchange->easy);
  curl_slist_free_all (exchange->fields);
  g_clear_pointer (&exchange->body, g_bytes_unref);
  gspan_answer_head_finish (&exchange->head);
  gspan_framing_finish (&exchange->framing);
  g_free (exchange);
}

static int
answer_status (struct Exchange *exchange)
{
  long status = 0;

  curl_easy_getinfo (exchange->easy, CURLINFO_RESPONSE_CODE, &status);
  return (int)status;
}

static struct GspanAnswerTrace
trace_of (const struct Exchange *exchange)
{
  const struct GspanFraming *framing = &exchange->framing;
  struct GspanAnswerTrace trace = { 0 };
  long connects = 0;

  curl_easy_getinfo (exchange->easy, CURLINFO_NUM_CONNECTS, &connects);
  trace.used_connection = exchange->sends > 0 && connects == 0;
  trace.head_ended = framing->head_ended;
  trace.framing = framing->body;
  trace.declared_bytes = framing->declared_bytes;
  trace.body_bytes = framing->body_bytes;
  trace.echo = exchange->head.echo;
  trace.foreign = exchange->foreign;
  return trace;
}

static void
tell (struct Exchange *exchange, enum GspanEventKind kind, enum GspanHttpResult result,
      GBytes *body)
{
  struct GspanHttpClient *client = exchange->client;
  struct GspanEvent event = { 0 };

  if (exchange->cancelled)
    return;
  event.kind = kind;
  event.ref = exchange->ref;
  event.u.http.result = result;
  event.u.http.status = answer_status (exchange);
  event.u.http.headers = &exchange->head.headers;
  event.u.http.body = body;
  event.u.http.elapsed_us = gspan_clock_now () - exchange->started;
  event.u.http.send_count = exchange->sends;
  if (kind != GSPAN_EVENT_HTTP_DATA)
    event.u.http.trace = trace_of (exchange);
  client->callback (client->user, &event);
}

/*
 * An answer to another request, left over on the connection, ends the exchange as lost: returning
 * less than was given makes libcurl close the connection.
 */
static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct Exchange *exchange = user;
  struct GspanStr line = { data, size * count };
  enum GspanHeadResult result;

  exchange->heard_at = gspan_clock_now ();
  result = gspan_answer_head_take (&exchange->head, &exchange->framing, line,
                                   answer_status (exchange));
  exchange->head_too_long = result == GSPAN_HEAD_TOO_LONG;
  exchange->foreign = result == GSPAN_HEAD_FOREIGN;
  return result == GSPAN_HEAD_OK ? line.len : 0;
}

static size_t
on_data (char *data, size_t size, size_t count, void *user)
{
  struct Exchange *exchange = user;
  size_t len = size * count;
  GBytes *body;

  if (exchange->cancelled)
    return 0;
  exchange->heard_at = gspan_clock_now ();
  gspan_framing_data (&exchange->framing, (struct GspanStr){ data, len });
  if (!exchange->stream)
    {
      return gspan_collected_add (&exchange->answer, data, len) ? len : 0;
    }
  if (!exchange->head_told)
    {
      exchange->head_told = true;
      tell (exchange, GSPAN_EVENT_HTTP_HEAD, GSPAN_HTTP_COMPLETE, NULL);
    }
  body = g_bytes_new (data, len);
  tell (exchange, GSPAN_EVENT_HTTP_DATA, GSPAN_HTTP_COMPLETE, body);
  g_bytes_unref (body);
  return len;
}

/* True where a byte of the request has left. */
static bool
was_sent (struct Exchange *exchange)
{
  long request_bytes = 0;

  curl_easy_getinfo (exchange->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return exchange->sends > 1 || (exchange->sends == 1 && request_bytes > 0);
}

/*
 * False where EXCHANGE has gone out as often as it may. A request with an id also says how long its
 * caller waits, which holds from the first sending on.
 */
static bool
may_send (struct Exchange *exchange)
{
  if (!was_sent (exchange))
    return true;
  if (exchange->once || exchange->sends >= SENDS_MAX)
    return false;
  return exchange->head.required == NULL
         || gspan_clock_now () < exchange->sent_at + REPEAT_WITHIN_US;
}

/* Notes that the request goes to the authority of URL. True if it did so before. */
static bool
note_sending (struct Exchange *exchange, const char *url, guint64 now)
{
  return gspan_sent_ids_note (&exchange->client->sent_ids, url, exchange->head.required, now);
}

/*
 * Called before each sending, the ones that libcurl repeats by itself too. A request that may not
 * run twice is never sent a second time, whatever libcurl's reason. A sending that failed before
 * its first byte, on a kept connection that had been reset, doesn't count. None goes out on a
 * connection where bytes wait: libcurl would read them as its answer.
 */
static int
on_send (void *user, char *peer_ip, char *local_ip, int peer_port, int local_port)
{
  struct Exchange *exchange = user;
  struct GspanTcpTable *sockets = &exchange->client->sockets;
  char *url = NULL;
  int fd;

  (void)local_ip;
  if (!may_send (exchange))
    return CURL_PREREQFUNC_ABORT;
  if (exchange->new_socket >= 0)
    gspan_tcp_table_note (sockets, local_port, exchange->new_socket);
  exchange->new_socket = -1;
  fd = gspan_tcp_table_find (sockets, local_port, peer_ip, peer_port);
  if (!exchange->renewed && fd >= 0 && gspan_tcp_has_input (fd))
    {
      exchange->withheld = !was_sent (exchange);
      return CURL_PREREQFUNC_ABORT;
    }
  if (!was_sent (exchange))
    exchange->sent_at = gspan_clock_now ();
  if (exchange->sends == 0 || was_sent (exchange))
    exchange->sends++;
  curl_easy_getinfo (exchange->easy, CURLINFO_EFFECTIVE_URL, &url);
  if (exchange->head.required != NULL && url != NULL)
    note_sending (exchange, url, (guint64)g_get_monotonic_time ());
  return CURL_PREREQFUNC_OK;
}

/*
 * Ends a connection whose peer no longer acknowledges anything. TCP_USER_TIMEOUT also decides when
 * probes give up, and TCP_KEEPCNT doesn't then. No connection is made for a sending that may not
 * be.
 */
static int
on_socket_created (void *user, curl_socket_t fd, curlsocktype purpose)
{
  struct Exchange *exchange = user;
  const unsigned timeout_ms = exchange->probe_silence ? PROBED_MAX_MS : UNACKNOWLEDGED_MAX_MS;

  (void)purpose;
  if (!may_send (exchange))
    return CURL_SOCKOPT_ERROR;
  exchange->new_socket = fd;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
  return CURL_SOCKOPT_OK;
}

/* Notes that bytes came which belong to no request. */
static void
note_stray (struct Exchange *exchange)
{
  char *url = NULL;

  curl_easy_getinfo (exchange->easy, CURLINFO_EFFECTIVE_URL, &url);
  if (url != NULL)
    gspan_stray_upstreams_note (&exchange->client->strays, url, gspan_clock_now ());
}

static enum GspanHttpResult
classify (struct Exchange *exchange, CURLcode code)
{
  if (exchange->head_too_long || exchange->answer.is_too_long)
    return GSPAN_HTTP_TOO_LONG;
  if (exchange->connect_only)
    return code == CURLE_OK ? GSPAN_HTTP_COMPLETE : GSPAN_HTTP_NOT_SENT;
  if (code == CURLE_OK && gspan_framing_whole_by_http (&exchange->framing)
      && (exchange->plain_framing
          || gspan_framing_whole (&exchange->framing, answer_status (exchange),
                                  &exchange->head.headers)))
    return GSPAN_HTTP_COMPLETE;
  /* libcurl gives up by itself on a line of a head that doesn't end */
  if (code == CURLE_OUT_OF_MEMORY)
    return GSPAN_HTTP_TOO_LONG;
  if (!was_sent (exchange))
    return GSPAN_HTTP_NOT_SENT;
  return code == CURLE_OPERATION_TIMEDOUT ? GSPAN_HTTP_TIMEOUT : GSPAN_HTTP_LOST;
}

static void
finish_exchange (struct GspanHttpClient *client, struct Exchange *exchange, CURLcode code)
{
  enum GspanHttpResult result = classify (exchange, code);
  GBytes *body;

  g_hash_table_steal (client->exchanges, &exchange->ref);
  if (exchange->foreign)
    note_stray (exchange);
  if (exchange->stream && !exchange->head_told && result == GSPAN_HTTP_COMPLETE)
    tell (exchange, GSPAN_EVENT_HTTP_HEAD, result, NULL);
  body = gspan_collected_steal (&exchange->answer);
  tell (exchange, GSPAN_EVENT_HTTP_DONE, result, body);
  g_bytes_unref (body);
  exchange_free (exchange);
}

/* Starts an exchange that was withheld once more; libcurl has closed its connection. */
static void
renew (struct GspanHttpClient *client, struct Exchange *exchange)
{
  note_stray (exchange);
  exchange->withheld = false;
  exchange->renewed = true;
  curl_multi_remove_handle (client->multi, exchange->easy);
  curl_easy_setopt (exchange->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle (client->multi, exchange->easy);
}

static bool
is_silent (const struct Exchange *exchange, guint64 now)
{
  return exchange->silence_us > 0 && exchange->heard_at != 0
         && now - exchange->heard_at >= exchange->silence_us;
}

/* Gives up exchanges that went silent; taking them out of libcurl closes their connections. */
static void
on_silence (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct GspanHttpClient *client = watcher->data;
  GArray *silent = g_array_new (FALSE, FALSE, sizeof (struct GspanRef));
  guint64 now = gspan_clock_now ();
  GHashTableIter iter;
  gpointer value;

  (void)events;
  g_hash_table_iter_init (&iter, client->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (is_silent (value, now))
        g_array_append_val (silent, ((struct Exchange *)value)->ref);
    }
  for (guint i = 0; i < silent->len; i++)
    {
      struct GspanRef *ref = &g_array_index (silent, struct GspanRef, i);
      struct Exchange *exchange = g_hash_table_lookup (client->exchanges, ref);

      if (exchange != NULL)
        finish_exchange (client, exchange, CURLE_OPERATION_TIMEDOUT);
    }
  g_array_unref (silent);
  if (client->limited == 0)
    ev_timer_stop (loop, &client->silence);
}

static void
check_done (struct GspanHttpClient *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      struct Exchange *exchange = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&exchange);
      if (exchange->withheld)
        renew (client, exchange);
      else
        finish_exchange (client, exchange, code);
    }
}

static void
run_curl (void *user, curl_socket_t fd, int action)
{
  struct GspanHttpClient *client = user;
  int running;

  client->inside = true;
  curl_multi_socket_action (client->multi, fd, action, &running);
  client->inside = false;
  g_ptr_array_set_size (client->doomed, 0);
  for (guint i = 0; i < client->starting->len; i++)
    {
      struct Exchange *exchange = g_ptr_array_index (client->starting, i);

      curl_multi_add_handle (client->multi, exchange->easy);
    }
  g_ptr_array_set_size (client->starting, 0);
  check_done (client);
}

struct GspanHttpClient *
gspan_http_client_new (struct ev_loop *loop, GspanHttpClientCallback callback, void *user)
{
  struct GspanHttpClient *client = g_new0 (struct GspanHttpClient, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->loop = loop;
  client->callback = callback;
  client->user = user;
  client->exchanges = g_hash_table_new_full (ref_hash, ref_equal, NULL, exchange_free);
  client->starting = g_ptr_array_new ();
  client->doomed = g_ptr_array_new_with_free_func (exchange_free);
  gspan_collection_init (&client->answers, ANSWERS_MAX);
  gspan_collection_init (&client->platform_answers, ANSWERS_MAX);
  gspan_sent_ids_init (&client->sent_ids);
  gspan_stray_upstreams_init (&client->strays);
  gspan_tcp_table_init (&client->sockets);
  client->multi = curl_multi_init ();
  gspan_curl_loop_init (&client->curl_loop, loop, client->multi, run_curl, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)CONNECTIONS_KEPT);
  ev_timer_init (&client->silence, on_silence, SILENCE_CHECK_S, SILENCE_CHECK_S);
  client->silence.data = client;
  return client;
}

void
gspan_http_client_set_bounds (struct GspanHttpClient *client, size_t answers, size_t platform,
                              guint kept)
{
  client->answers.most = answers;
  client->platform_answers.most = platform;
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)kept);
}

void
gspan_http_client_set_source (struct GspanHttpClient *client, const char *ip)
{
  g_free (client->source);
  client->source = ip[0] != '\0' ? g_strdup_printf ("host!%s", ip) : NULL;
}

void
gspan_http_client_free (struct GspanHttpClient *client)
{
  g_ptr_array_unref (client->starting);
  g_ptr_array_unref (client->doomed);
  g_hash_table_unref (client->exchanges);
  gspan_sent_ids_finish (&client->sent_ids);
  gspan_stray_upstreams_finish (&client->strays);
  gspan_tcp_table_finish (&client->sockets);
  curl_multi_cleanup (client->multi);
  gspan_curl_loop_finish (&client->curl_loop);
  ev_timer_stop (client->loop, &client->silence);
  g_free (client->source);
  g_free (client);
}

static void
set_limits (struct Exchange *exchange, const struct GspanActionHttp *http)
{
  CURL *easy = exchange->easy;

  if (exchange->client->source != NULL)
    curl_easy_setopt (easy, CURLOPT_INTERFACE, exchange->client->source);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    http->connect_timeout_us > 0 ? (long)(http->connect_timeout_us / GSPAN_MS)
                                                 : (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)MAX (1, http->timeout_us / GSPAN_MS));
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE,
                    (long)(http->tcp_keepalive ? PROBE_IDLE_S : KEEPALIVE_IDLE_S));
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, (long)KEEPALIVE_INTERVAL_S);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)IDLE_AGE_MAX_S);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, exchange);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, exchange);
  if (http->connect_only)
    curl_easy_setopt (easy, CURLOPT_CONNECT_ONLY, 1L);
  if (http->close_after || http->connect_only)
    curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  if (http->new_connection || http->connect_only)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
}

/* Keeps a request with an id off connections on which an answer to it may still come. */
static void
set_connection (struct Exchange *exchange, const struct GspanActionHttp *http)
{
  struct GspanHttpClient *client = exchange->client;
  guint64 now = (guint64)g_get_monotonic_time ();
  bool repeated;
  bool stray;
  guint age_max_s;

  if (http->required_header == NULL)
    return;
  repeated = note_sending (exchange, http->url, now);
  stray = gspan_stray_upstreams_has (&client->strays, http->url, exchange->started);
  age_max_s = gspan_sent_ids_connection_age_max_s (&client->sent_ids, now);
  curl_easy_setopt (exchange->easy, CURLOPT_MAXLIFETIME_CONN, (long)age_max_s);
  if (repeated || stray || age_max_s == 0) /* 0 is any age to libcurl */
    curl_easy_setopt (exchange->easy, CURLOPT_FRESH_CONNECT, 1L);
  if (stray) /* no other request would use it */
    curl_easy_setopt (exchange->easy, CURLOPT_FORBID_REUSE, 1L);
}

void
gspan_http_client_start (struct GspanHttpClient *client, struct GspanRef ref,
                         const struct GspanActionHttp *http)
{
  struct Exchange *exchange = g_new0 (struct Exchange, 1);

  exchange->client = client;
  exchange->new_socket = -1;
  exchange->ref = ref;
  exchange->stream = http->stream;
  exchange->once = http->new_connection || http->send_once;
  exchange->plain_framing = http->http_framing_only;
  exchange->probe_silence = http->tcp_keepalive;
  exchange->connect_only = http->connect_only;
  exchange->silence_us = http->idle_timeout_us;
  gspan_framing_init (&exchange->framing, http->method);
  exchange->started = gspan_clock_now ();
  exchange->body = http->body != NULL ? g_bytes_ref (http->body) : NULL;
  gspan_collected_init (&exchange->answer,
                        http->from_platform ? &client->platform_answers : &client->answers);
  gspan_answer_head_init (&exchange->head, http->required_header, http->echo_exempt_header);
  exchange->easy = curl_easy_init ();
  exchange->fields = gspan_http_set_request (exchange->easy, http);
  set_limits (exchange, http);
  set_connection (exchange, http);
  curl_easy_setopt (exchange->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (exchange->easy, CURLOPT_HEADERDATA, exchange);
  curl_easy_setopt (exchange->easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (exchange->easy, CURLOPT_WRITEDATA, exchange);
  curl_easy_setopt (exchange->easy, CURLOPT_PRIVATE, exchange);
  curl_easy_setopt (exchange->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (exchange->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (exchange->easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (exchange->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  g_hash_table_insert (client->exchanges, &exchange->ref, exchange);
  if (exchange->silence_us > 0 && client->limited++ == 0)
    ev_timer_again (client->loop, &client->silence);
  if (client->inside)
    g_ptr_array_add (client->starting, exchange);
  else
    curl_multi_add_handle (client->multi, exchange->easy);
}

void
gspan_http_client_cancel (struct GspanHttpClient *client, struct GspanRef ref)
{
  struct Exchange *exchange = g_hash_table_lookup (client->exchanges, &ref);

  if (exchange == NULL)
    return;
  exchange->cancelled = true;
  gspan_collected_finish (&exchange->answer);
  g_hash_table_steal (client->exchanges, &ref);
  g_ptr_array_remove (client->starting, exchange);
  if (client->inside)
    g_ptr_array_add (client->doomed, exchange);
  else
    exchange_free (exchange);
}

guint
gspan_http_client_open (const struct GspanHttpClient *client)
{
  return g_hash_table_size (client->exchanges);
}

size_t
gspan_http_client_buffered (const struct GspanHttpClient *client)
{
  return client->answers.held + client->platform_answers.held;
}

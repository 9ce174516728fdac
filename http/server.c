#define _GNU_SOURCE /* POLLRDHUP */

#include "http/server.h"

#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "common/address.h"
#include "common/clock.h"
#include "http/body.h"
#include "http/connections.h"
#include "http/mhd_loop.h"
#include "http/tcp.h"

enum
{
  ROOM_RETRY_S = 1,
  STREAM_BLOCK = 16384,
  CONNECTION_MEMORY = 32768, /* bytes; holds a request's head */
  ROOM_STEP = 64 << 10,      /* bytes; a body that waits goes on once so much is free */
  HEAD_COPIES = 3,           /* of a head's fields, here and on the way to a replica */
  FIELD_BYTES = 64           /* of memory for each of these, beside its text */
};

#define WATCH_S 0.1
#define ROOM_WAIT_US (500 * GSPAN_MS) /* for room; then a body without progress gives its own */
#define ROOM_WAIT_MAX_US (10 * GSPAN_SECOND) /* then the request is refused */
#define BOUND_FROM ((size_t)16 << 10)        /* bytes; shorter outputs needn't be added up */

enum RequestState
{
  REQUEST_HEAD,
  REQUEST_READING,
  REQUEST_WAITING,   /* handed over, no answer yet */
  REQUEST_ANSWERED,  /* the answer is known, not queued yet */
  REQUEST_STREAMING, /* the answer's head is known or queued, data may follow */
};

struct Request
{
  guint64 id;
  struct GspanHttpServer *server;
  struct MHD_Connection *connection;
  enum RequestState state;
  char *method;
  GString *path;
  struct GspanHeaders headers;
  struct GspanBody body;
  size_t head_room;      /* bytes of the budget for the head */
  bool is_held_back;     /* the body isn't read, for want of room */
  guint64 no_room_since; /* the body has found no room since then; 0 is it has */
  bool is_refused;       /* for want of room; the rest of its body isn't kept */
  bool is_malformed;     /* a header's name isn't one */
  bool is_http_1_0; /* a stream to the caller has no sign of its end but that of the connection */
  bool until_close; /* the answer has none either, whoever the caller is */
  bool suspended;
  bool queued;
  int status;
  struct GspanHeaders reply_headers;
  GString *out;
  size_t out_taken;
  size_t handed_over; /* bytes of a whole answer that libmicrohttpd has, with OUT gone */
  bool ended;
  bool given; /* all of it is with the kernel; only for what has ended while streaming */
  bool cut;
  bool gone; /* the caller went away, and the handler knows it */
};

struct GspanHttpServer
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  struct GspanHttpLimits limits;
  struct GspanHttpHandler handler;
  GHashTable *requests; /* id to struct Request */
  struct GspanConnections connections;
  struct GspanBudget unbounded; /* where the limits name no budget */
  GQueue held_back; /* struct Request whose bodies wait for room, the longest wait at the head */
  struct GspanHttpRefusals refusals;
  guint64 next_id;
  guint16 port;
  bool closing; /* answers close their connections */
  struct GspanMhdLoop mhd_loop;
  ev_timer watch;
};

static struct GspanConnection *
connection_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info->socket_context;
}

/*
 * libmicrohttpd takes spaces before the colon for a part of the name. Readers of the header further
 * on may not, and would see one that was never checked here.
 */
static bool
is_name (const char *text)
{
  const char *at = text;

  while (g_ascii_isgraph (*at))
    at++;
  return at != text && *at == '\0';
}

static enum MHD_Result
copy_header (void *user, enum MHD_ValueKind kind, const char *key, const char *value)
{
  struct Request *request = user;

  (void)kind;
  request->is_malformed = request->is_malformed || !is_name (key);
  gspan_headers_add (&request->headers, key, gspan_str_from (value));
  return MHD_YES;
}

/*
 * Called with the request line, before the head has come in: the target as the caller wrote it,
 * with its query, since libmicrohttpd decodes what it hands over later.
 */
static void *
on_target (void *user, const char *target, struct MHD_Connection *connection)
{
  struct Request *request = g_new0 (struct Request, 1);

  request->server = user;
  request->connection = connection;
  request->state = REQUEST_HEAD;
  request->path = g_string_new (target);
  gspan_headers_init (&request->headers);
  gspan_headers_init (&request->reply_headers);
  gspan_body_init (&request->body, request->server->limits.budget);
  request->out = g_string_new (NULL);
  request->id = ++request->server->next_id;
  g_hash_table_insert (request->server->requests, &request->id, request);
  return request;
}

static void
take_head (struct Request *request, const char *method)
{
  struct MHD_Connection *connection = request->connection;
  guint64 announced = 0;

  request->state = REQUEST_READING;
  request->method = g_strdup (method);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, copy_header, request);
  gspan_headers_get_u64 (&request->headers, "Content-Length", &announced);
  request->body.announced = MIN (announced, G_MAXSIZE);
  gspan_connection_begin (connection_of (connection), true, gspan_clock_now ());
}

/* Takes room for what the head takes, here and on its way. */
static bool
take_head_room (struct Request *request)
{
  size_t bytes = request->path->len;

  for (guint i = 0; i < request->headers.items->len; i++)
    bytes += strlen (g_ptr_array_index (request->headers.items, i)) + FIELD_BYTES;
  bytes *= HEAD_COPIES;
  if (!gspan_budget_take (request->server->limits.budget, bytes, 0))
    return false;
  request->head_room = bytes;
  return true;
}

static void
request_free (gpointer data)
{
  struct Request *request = data;

  if (request->is_held_back)
    g_queue_remove (&request->server->held_back, request);
  gspan_budget_give (request->server->limits.budget, request->head_room);
  g_free (request->method);
  g_string_free (request->path, TRUE);
  gspan_headers_finish (&request->headers);
  gspan_headers_finish (&request->reply_headers);
  gspan_body_finish (&request->body);
  if (request->out != NULL)
    g_string_free (request->out, TRUE);
  g_free (request);
}

/* Forgets the output, which was taken or isn't wanted any more; much memory isn't kept for it. */
static void
empty_output (struct Request *request)
{
  request->out_taken = 0;
  g_string_truncate (request->out, 0);
  if (request->out->allocated_len <= BOUND_FROM)
    return;
  g_string_free (request->out, TRUE);
  request->out = g_string_new (NULL);
}

static void
request_suspend (struct Request *request)
{
  if (request->suspended)
    return;
  request->suspended = true;
  MHD_suspend_connection (request->connection);
}

static void
request_resume (struct Request *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  gspan_mhd_loop_run_again (&request->server->mhd_loop);
  MHD_resume_connection (request->connection);
}

/* True where only the connection's end tells the caller that the answer is whole. */
static bool
ends_with_connection (const struct Request *request)
{
  return (request->is_http_1_0 || request->until_close) && request->state == REQUEST_STREAMING;
}

/* An end by FIN would make an answer that is cut look whole where only the connection's end tells.
 */
static void
break_off (const struct Request *request)
{
  if (ends_with_connection (request) && !request->given)
    gspan_tcp_reset (connection_of (request->connection)->fd);
}

static ssize_t
read_stream (void *user, uint64_t position, char *buffer, size_t max)
{
  struct Request *request = user;
  size_t left = request->out->len - request->out_taken;
  size_t count = MIN (left, max);

  (void)position;
  gspan_connection_note_answer (connection_of (request->connection), left > count, count > 0,
                                gspan_clock_now ());
  if (count > 0)
    {
      memcpy (buffer, request->out->str + request->out_taken, count);
      request->out_taken += count;
      if (request->out_taken == request->out->len)
        empty_output (request);
      return (ssize_t)count;
    }
  if (request->cut)
    {
      break_off (request);
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  if (request->ended)
    {
      request->given = true; /* the last block has been sent, or this wouldn't be called */
      if (ends_with_connection (request))
        gspan_tcp_set_reset_on_close (connection_of (request->connection)->fd, false);
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
  request_suspend (request);
  return 0;
}

static void
add_reply_headers (struct MHD_Response *response, const struct GspanHeaders *headers)
{
  for (guint i = 0; i < headers->items->len; i++)
    {
      char **parts = g_strsplit (g_ptr_array_index (headers->items, i), ":", 2);

      MHD_add_response_header (response, parts[0], g_strstrip (parts[1]));
      g_strfreev (parts);
    }
}

/* A response that owns the output, without a copy. */
static struct MHD_Response *
hand_over_output (struct Request *request)
{
  size_t len = request->out->len;

  request->handed_over = len;
  request->out_taken = 0;
  return MHD_create_response_from_buffer (
      len, g_string_free (g_steal_pointer (&request->out), FALSE), MHD_RESPMEM_MUST_FREE);
}

static enum MHD_Result
queue_response (struct Request *request)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (request->state == REQUEST_STREAMING)
    response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK, read_stream,
                                                  request, NULL);
  else
    response = hand_over_output (request);
  if (request->until_close)
    MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
  add_reply_headers (response, &request->reply_headers);
  if (request->server->closing)
    MHD_add_response_header (response, "Connection", "close");
  if (ends_with_connection (request)) /* a kill of this process may not look like its end */
    gspan_tcp_set_reset_on_close (connection_of (request->connection)->fd, true);
  result = MHD_queue_response (request->connection, (unsigned)request->status, response);
  MHD_destroy_response (response);
  gspan_connection_note_answer (connection_of (request->connection),
                                request->state == REQUEST_ANSWERED, false, gspan_clock_now ());
  request->queued = true;
  return result;
}

/* What the handler gets of REQUEST, but for its body. */
static struct GspanHttpIncoming
incoming_of (const struct Request *request)
{
  struct GspanHttpIncoming incoming = { 0 };

  incoming.id = request->id;
  incoming.method = gspan_str_from (request->method);
  incoming.path = (struct GspanStr){ request->path->str, request->path->len };
  incoming.headers = &request->headers;
  return incoming;
}

static void
hand_over (struct Request *request)
{
  struct GspanHttpServer *server = request->server;
  struct GspanHttpIncoming incoming = incoming_of (request);

  request->state = REQUEST_WAITING;
  connection_of (request->connection)->reading_since = 0;
  request_suspend (request);
  incoming.body_dropped = request->body.is_dropped && request->body.received > 0;
  incoming.body = gspan_body_steal (&request->body);
  server->handler.request (server->handler.user, &incoming);
  g_bytes_unref (incoming.body);
}

static void
refuse (struct Request *request, int status, const char *field, const char *message)
{
  request->state = REQUEST_ANSWERED;
  request->status = status;
  g_string_printf (request->out, "{\"error\":{\"field\":\"%s\",\"message\":\"%s\"}}", field,
                   message);
  gspan_headers_add (&request->reply_headers, "Content-Type", GSPAN_STR ("application/json"));
}

static void
refuse_too_large (struct Request *request)
{
  request->server->refusals.too_large++;
  refuse (request, 413, "body", "too large");
}

/* The request has not run and never will. */
static void
refuse_for_room (struct Request *request)
{
  request->server->refusals.no_room++;
  refuse (request, 503, "request", "too much is being read");
  gspan_headers_add_u64 (&request->reply_headers, "Retry-After", ROOM_RETRY_S);
}

static bool
keeps_body (const struct Request *request)
{
  const struct GspanHttpHandler *handler = &request->server->handler;
  struct GspanHttpIncoming head = incoming_of (request);

  return handler->keeps_body == NULL || handler->keeps_body (handler->user, &head);
}

static gint
compare_waits (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct Request *x = a;
  const struct Request *y = b;

  (void)user;
  if (x->no_room_since == y->no_room_since)
    return 0;
  return x->no_room_since < y->no_room_since ? -1 : 1;
}

/*
 * Stops reading the body of REQUEST until there is room for more of it. Its wait goes on from where
 * it began if another took the room that it was to have.
 */
static void
hold_back (struct Request *request)
{
  if (request->no_room_since == 0)
    request->no_room_since = gspan_clock_now ();
  if (!request->is_held_back)
    g_queue_insert_sorted (&request->server->held_back, request, compare_waits, NULL);
  request->is_held_back = true;
  connection_of (request->connection)->is_held_back = true;
  request_suspend (request);
}

/* Goes on reading the body of REQUEST. */
static void
let_go_on (struct Request *request)
{
  g_queue_remove (&request->server->held_back, request);
  request->is_held_back = false;
  gspan_connection_begin (connection_of (request->connection), true, gspan_clock_now ());
  request_resume (request);
}

/*
 * True where there is room for the body of REQUEST to go on, beside PROMISED bytes, which are
 * raised then.
 */
static bool
may_go_on (const struct Request *request, size_t *promised)
{
  const struct GspanBody *body = &request->body;
  bool small = body->wanted <= GSPAN_BUDGET_SMALL;
  size_t bytes = *promised + (small ? body->wanted - body->allocated : ROOM_STEP);

  if (!gspan_budget_has_room (body->budget, bytes, small))
    return false;
  *promised = bytes;
  return true;
}

/* Goes on with as many bodies as there is room for, the longest wait first. */
static void
go_on_with_bodies (struct GspanHttpServer *server)
{
  GList *next;
  size_t promised = 0;

  for (GList *link = server->held_back.head; link != NULL; link = next)
    {
      next = link->next;
      if (may_go_on (link->data, &promised))
        let_go_on (link->data);
    }
}

static void
read_body (struct Request *request, const char *data, size_t *size)
{
  enum GspanBodyResult result
      = gspan_body_add (&request->body, data, *size, request->server->limits.body_max);

  if (result == GSPAN_BODY_NO_ROOM)
    {
      hold_back (request);
      return;
    }
  request->no_room_since = 0;
  gspan_connection_note_body (connection_of (request->connection), request->body.received,
                              gspan_clock_now ());
  *size = 0;
}

/* The whole request has come. True where it was handed over, false where its answer is known. */
static bool
finish_reading (struct Request *request)
{
  if (request->body.is_too_long)
    refuse_too_large (request);
  else if (request->is_refused)
    refuse_for_room (request);
  else
    hand_over (request);
  return request->state == REQUEST_WAITING;
}

/* True where the request's own Content-Length is above the bound: its body needn't be read. */
static bool
announces_too_much (const struct Request *request)
{
  guint64 length;

  return gspan_headers_get_u64 (&request->headers, "Content-Length", &length)
         && length > request->server->limits.body_max;
}

/* The head of REQUEST has come. */
static enum MHD_Result
begin_reading (struct Request *request)
{
  if (request->is_malformed)
    refuse (request, 400, "request", "a header's name is malformed");
  else if (announces_too_much (request))
    refuse_too_large (request);
  else if (!take_head_room (request))
    refuse_for_room (request);
  else if (!keeps_body (request))
    gspan_body_drop (&request->body);
  return request->state == REQUEST_READING ? MHD_YES : queue_response (request);
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url, const char *method,
           const char *version, const char *data, size_t *data_size, void **context)
{
  struct Request *request = *context;

  (void)user;
  (void)connection;
  (void)url;
  if (request->state == REQUEST_HEAD)
    {
      request->is_http_1_0 = strcmp (version, MHD_HTTP_VERSION_1_0) == 0;
      take_head (request, method);
      return begin_reading (request);
    }
  if (request->gone)
    return MHD_NO;
  if (*data_size > 0)
    {
      read_body (request, data, data_size);
      return MHD_YES;
    }
  if (request->state == REQUEST_READING && finish_reading (request))
    return MHD_YES;
  if (!request->queued && request->state != REQUEST_WAITING)
    return queue_response (request);
  return MHD_YES;
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct GspanHttpServer *server = user;
  struct Request *request = *context;
  guint64 id;
  bool gone;

  if (request == NULL)
    return;
  id = request->id;
  gspan_connection_begin (connection_of (connection), false, gspan_clock_now ());
  gone = !request->gone && code != MHD_REQUEST_TERMINATED_COMPLETED_OK
         && request->state > REQUEST_READING;
  *context = NULL;
  g_hash_table_remove (server->requests, &id);
  go_on_with_bodies (server);
  if (gone)
    server->handler.gone (server->handler.user, id);
}

static void
on_connection (void *user, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct GspanHttpServer *server = user;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      gspan_connections_remove (&server->connections, *context);
      return;
    }
  *context = gspan_connections_add (
      &server->connections,
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd,
      gspan_clock_now ());
  server->refusals.surplus
      += gspan_connections_close_surplus (&server->connections, gspan_clock_now ());
}

/* Tells the handler that the caller went away, and lets libmicrohttpd close the connection. */
static void
abandon (struct Request *request)
{
  struct GspanHttpServer *server = request->server;
  guint64 id = request->id;
  bool is_known = request->state > REQUEST_READING;

  request->gone = true;
  request->cut = true;
  request_resume (request);
  if (is_known)
    server->handler.gone (server->handler.user, id);
}

/*
 * Makes room where bodies have waited for it: one that has made no progress is closed, and one that
 * has waited for too long is refused.
 */
static void
make_room (struct GspanHttpServer *server, guint64 now)
{
  struct Request *first;

  go_on_with_bodies (server);
  first = g_queue_peek_head (&server->held_back);
  if (first != NULL && now - first->no_room_since > ROOM_WAIT_US)
    server->refusals.stalled += gspan_connections_close_stalled_body (&server->connections, now);
  while (first != NULL && now - first->no_room_since > ROOM_WAIT_MAX_US)
    {
      first->is_refused = true;
      gspan_body_drop (&first->body);
      let_go_on (first);
      go_on_with_bodies (server); /* there may be room for the others now */
      first = g_queue_peek_head (&server->held_back);
    }
}

/*
 * Finds callers that closed their end: libmicrohttpd doesn't look at a suspended connection. Events
 * are asked for by poll (), since bytes of a next request may stand before the end.
 */
static void
find_gone_callers (struct GspanHttpServer *server)
{
  GArray *polls = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, server->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct Request *request = value;
      struct pollfd item = { 0 };

      if (!request->suspended)
        continue;
      item.fd = connection_of (request->connection)->fd;
      item.events = POLLRDHUP;
      g_array_append_val (polls, item);
      g_array_append_val (ids, request->id);
    }
  poll ((struct pollfd *)(void *)polls->data, polls->len, 0);
  for (guint i = 0; i < polls->len; i++)
    {
      struct Request *request
          = g_hash_table_lookup (server->requests, &g_array_index (ids, guint64, i));

      if (request != NULL && g_array_index (polls, struct pollfd, i).revents != 0)
        abandon (request);
    }
  g_array_unref (polls);
  g_array_unref (ids);
}

static void
on_watch (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct GspanHttpServer *server = watcher->data;
  guint64 now = gspan_clock_now ();

  (void)loop;
  (void)events;
  server->refusals.stalled += gspan_connections_close_slow (&server->connections, now);
  server->refusals.surplus += gspan_connections_close_surplus (&server->connections, now);
  make_room (server, now);
  if (g_hash_table_size (server->requests) > 0)
    find_gone_callers (server);
}

struct GspanHttpServer *
gspan_http_server_new (struct ev_loop *loop, const char *address,
                       const struct GspanHttpLimits *limits, const struct GspanHttpHandler *handler,
                       struct GspanError *error)
{
  struct GspanHttpServer *server;
  struct sockaddr_in where;

  if (!gspan_address_parse (address, &where))
    {
      gspan_error_set (error, GSPAN_ERROR_INPUT, "%s: not an IP:PORT address", address);
      return NULL;
    }
  server = g_new0 (struct GspanHttpServer, 1);
  server->loop = loop;
  server->limits = *limits;
  server->handler = *handler;
  server->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, request_free);
  gspan_connections_init (&server->connections, limits->connections,
                          (guint64)limits->read_timeout_ms * GSPAN_MS);
  gspan_budget_init (&server->unbounded, G_MAXSIZE);
  if (server->limits.budget == NULL)
    server->limits.budget = &server->unbounded;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, server,
      MHD_OPTION_SOCK_ADDR, &where, MHD_OPTION_URI_LOG_CALLBACK, on_target, server,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_NOTIFY_CONNECTION,
      on_connection, server, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
      MHD_OPTION_CONNECTION_LIMIT, limits->connections, MHD_OPTION_CONNECTION_TIMEOUT,
      limits->idle_timeout_s, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      gspan_error_set (error, GSPAN_ERROR_SYSTEM, "%s: can't listen", address);
      g_hash_table_unref (server->requests);
      gspan_connections_finish (&server->connections);
      g_free (server);
      return NULL;
    }
  server->port = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  gspan_mhd_loop_init (&server->mhd_loop, loop, server->daemon);
  ev_timer_init (&server->watch, on_watch, WATCH_S, WATCH_S);
  server->watch.data = server;
  ev_timer_start (loop, &server->watch);
  return server;
}

void
gspan_http_server_free (struct GspanHttpServer *server)
{
  GHashTableIter iter;
  gpointer value;

  gspan_mhd_loop_finish (&server->mhd_loop);
  ev_timer_stop (server->loop, &server->watch);
  g_hash_table_iter_init (&iter, server->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct Request *request = value;

      request->cut = true;
      break_off (request);
      request_resume (request);
    }
  MHD_stop_daemon (server->daemon);
  g_hash_table_unref (server->requests);
  gspan_connections_finish (&server->connections);
  g_free (server);
}

guint16
gspan_http_server_port (const struct GspanHttpServer *server)
{
  return server->port;
}

struct GspanHttpRefusals
gspan_http_server_refusals (const struct GspanHttpServer *server)
{
  return server->refusals;
}

guint
gspan_http_server_open_requests (const struct GspanHttpServer *server)
{
  return g_hash_table_size (server->requests);
}

void
gspan_http_server_close_after_answers (struct GspanHttpServer *server)
{
  server->closing = true;
}

static void
copy_headers (struct GspanHeaders *to, const struct GspanHeaders *from)
{
  for (guint i = 0; i < from->items->len; i++)
    g_ptr_array_add (to->items, g_strdup (g_ptr_array_index (from->items, i)));
}

static struct Request *
begin_answer (struct GspanHttpServer *server, guint64 id, int status,
              const struct GspanHeaders *headers, enum RequestState state)
{
  struct Request *request = g_hash_table_lookup (server->requests, &id);

  if (request == NULL || request->gone || request->state != REQUEST_WAITING)
    return NULL;
  request->state = state;
  request->status = status;
  copy_headers (&request->reply_headers, headers);
  return request;
}

void
gspan_http_server_end_by_close (struct GspanHttpServer *server, guint64 id)
{
  struct Request *request = g_hash_table_lookup (server->requests, &id);

  if (request != NULL)
    request->until_close = true;
}

/* Memory for what waits for the caller of REQUEST. */
static size_t
waiting_for (const struct Request *request)
{
  if (request->state < REQUEST_ANSWERED || request->cut)
    return 0;
  if (request->out == NULL)
    return request->handed_over;
  return request->out->len > 0 ? request->out->allocated_len : 0;
}

/* The request with the most memory; TOTAL gets that of all. */
static struct Request *
longest_output (const struct GspanHttpServer *server, size_t *total)
{
  struct Request *longest = NULL;
  GHashTableIter iter;
  gpointer value;

  *total = 0;
  g_hash_table_iter_init (&iter, server->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      *total += waiting_for (value);
      if (longest == NULL || waiting_for (value) > waiting_for (longest))
        longest = value;
    }
  return longest;
}

size_t
gspan_http_server_waiting (const struct GspanHttpServer *server)
{
  size_t total;

  longest_output (server, &total);
  return total;
}

/* Cuts an answer short; libmicrohttpd frees what it has of it once it sees the connection's end. */
static void
cut_output (struct Request *request)
{
  if (request->out != NULL)
    empty_output (request);
  if (request->state == REQUEST_ANSWERED) /* no callback says that it ends early */
    shutdown (connection_of (request->connection)->fd, SHUT_RDWR);
  abandon (request);
}

/* Callers that read slowly may not fill the memory together either. */
static void
bound_output (struct GspanHttpServer *server)
{
  size_t total;
  struct Request *longest = longest_output (server, &total);

  if (server->limits.outputs_max != 0 && total > server->limits.outputs_max)
    cut_output (longest);
}

void
gspan_http_server_reply (struct GspanHttpServer *server, guint64 id, int status,
                         const struct GspanHeaders *headers, GBytes *body)
{
  struct Request *request = begin_answer (server, id, status, headers, REQUEST_ANSWERED);
  struct GspanStr text = gspan_str_from_bytes (body);

  if (request == NULL)
    return;
  if (request->until_close) /* libmicrohttpd gives a length to all but streams */
    {
      request->state = REQUEST_STREAMING;
      request->ended = true;
    }
  g_string_append_len (request->out, text.data, (gssize)text.len);
  request_resume (request);
  if (text.len > BOUND_FROM)
    bound_output (server);
}

void
gspan_http_server_begin (struct GspanHttpServer *server, guint64 id, int status,
                         const struct GspanHeaders *headers)
{
  struct Request *request = begin_answer (server, id, status, headers, REQUEST_STREAMING);

  if (request != NULL)
    request_resume (request);
}

static struct Request *
find_stream (struct GspanHttpServer *server, guint64 id)
{
  struct Request *request = g_hash_table_lookup (server->requests, &id);

  if (request == NULL || request->state != REQUEST_STREAMING || request->ended || request->cut)
    return NULL;
  return request;
}

void
gspan_http_server_data (struct GspanHttpServer *server, guint64 id, GBytes *data)
{
  struct Request *request = find_stream (server, id);
  struct GspanStr text = gspan_str_from_bytes (data);

  if (request == NULL)
    return;
  g_string_append_len (request->out, text.data, (gssize)text.len);
  request_resume (request);
  if (server->limits.stream_max != 0
      && request->out->len - request->out_taken > server->limits.stream_max)
    abandon (request);
  else if (request->out->len > BOUND_FROM)
    bound_output (server);
}

void
gspan_http_server_end (struct GspanHttpServer *server, guint64 id)
{
  struct Request *request = find_stream (server, id);

  if (request == NULL)
    return;
  request->ended = true;
  request_resume (request);
}

void
gspan_http_server_cut (struct GspanHttpServer *server, guint64 id)
{
  struct Request *request = find_stream (server, id);

  if (request == NULL)
    return;
  request->cut = true;
  request_resume (request);
}

#pragma once

#include <ev.h>
#include "common/error.h"
#include "common/headers.h"
#include "http/budget.h"

/*
 * HTTP server on a libev loop, by libmicrohttpd. Requests are handed over whole, by number; the
 * answer may come at any later moment. Answers to a number whose caller went away are dropped.
 */
struct GspanHttpServer;

struct GspanHttpIncoming
{
  guint64 id;
  struct GspanStr method;
  struct GspanStr path; /* with its query */
  const struct GspanHeaders *headers;
  GBytes *body;
  bool body_dropped; /* it had one that wasn't kept */
};

struct GspanHttpHandler
{
  void (*request) (void *user, const struct GspanHttpIncoming *incoming);
  void (*gone) (void *user, guint64 id); /* the caller went away before its answer ended */
  void *user;

  /*
   * False where nobody will look at the body of the request whose head has come: it is read and not
   * kept, and REQUEST gets none. NULL keeps all.
   */
  bool (*keeps_body) (void *user, const struct GspanHttpIncoming *head);
};

struct GspanHttpLimits
{
  size_t body_max;       /* bytes of a request body */
  guint connections;     /* open connections at once */
  guint idle_timeout_s;  /* a connection without traffic is closed after this; 0 is never */
  guint read_timeout_ms; /* longest for a request's head, and for its body; 0 is no limit */
  size_t stream_max;     /* bytes of a stream that wait for a slow caller; above them it is cut */
  size_t outputs_max;    /* bytes of memory for all that waits; above, the longest is cut; 0: any */
  struct GspanBudget *budget; /* for heads and bodies, perhaps of several servers; NULL: no bound */
};

/* Clients that were turned away so far. */
struct GspanHttpRefusals
{
  guint64 too_large; /* bodies above the limit: 413 */
  guint64 no_room;   /* no room in the budget in time: 503, not run */
  guint64 stalled;   /* bodies without progress, closed */
  guint64 surplus;   /* connections without progress, closed since there were too many */
};

/* Listens on ADDRESS ("IP:PORT"; port 0 asks the kernel). NULL with ERROR set on failure. */
struct GspanHttpServer *gspan_http_server_new (struct ev_loop *loop, const char *address,
                                               const struct GspanHttpLimits *limits,
                                               const struct GspanHttpHandler *handler,
                                               struct GspanError *error);
void gspan_http_server_free (struct GspanHttpServer *server);

/* Bytes of memory for what waits for callers. */
size_t gspan_http_server_waiting (const struct GspanHttpServer *server);

guint16 gspan_http_server_port (const struct GspanHttpServer *server);

struct GspanHttpRefusals gspan_http_server_refusals (const struct GspanHttpServer *server);

/* Requests that wait for the end of their answer. */
guint gspan_http_server_open_requests (const struct GspanHttpServer *server);

/* From now on each answer closes its connection, so that callers go to another VM. */
void gspan_http_server_close_after_answers (struct GspanHttpServer *server);

/*
 * The answer to ID, which hasn't begun, is to have neither length nor chunks: the end of its
 * connection is that of the answer. For an answer whose own end nothing else tells, so that a
 * caller isn't promised more than is known.
 */
void gspan_http_server_end_by_close (struct GspanHttpServer *server, guint64 id);

/* Whole answer. BODY may be NULL. */
void gspan_http_server_reply (struct GspanHttpServer *server, guint64 id, int status,
                              const struct GspanHeaders *headers, GBytes *body);

/* Streamed answer: begin once, data any number of times, then end or cut. */
void gspan_http_server_begin (struct GspanHttpServer *server, guint64 id, int status,
                              const struct GspanHeaders *headers);
void gspan_http_server_data (struct GspanHttpServer *server, guint64 id, GBytes *data);
void gspan_http_server_end (struct GspanHttpServer *server, guint64 id);

/* Closes the connection without the end mark, so that the caller sees the answer as broken. */
void gspan_http_server_cut (struct GspanHttpServer *server, guint64 id);

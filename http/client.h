#pragma once

#include <ev.h>
#include "board/message.h"

/* HTTP client on a libev loop, by libcurl's multi interface. */
struct GspanHttpClient;

/* All pointers in the event are borrowed until the callback returns. */
typedef void (*GspanHttpClientCallback) (void *user, const struct GspanEvent *event);

struct GspanHttpClient *gspan_http_client_new (struct ev_loop *loop,
                                               GspanHttpClientCallback callback, void *user);

/*
 * Bounds the bytes of memory for answers that are collected, those of the platform's store apart,
 * and the idle connections that are kept.
 */
void gspan_http_client_set_bounds (struct GspanHttpClient *client, size_t answers, size_t platform,
                                   guint kept);

/* Has connections come from the address IP from now on; empty is any. */
void gspan_http_client_set_source (struct GspanHttpClient *client, const char *ip);
void gspan_http_client_free (struct GspanHttpClient *client);

/*
 * Starts an exchange under REF. HTTP_HEAD and HTTP_DATA events come for streamed exchanges only;
 * exactly one HTTP_DONE ends each exchange that is not cancelled; an answer whose head, or whose
 * body where it is collected, goes on beyond a bound is broken off as GSPAN_HTTP_TOO_LONG. One that
 * only connects ends as GSPAN_HTTP_COMPLETE or GSPAN_HTTP_NOT_SENT. No callback from within this
 * call.
 */
void gspan_http_client_start (struct GspanHttpClient *client, struct GspanRef ref,
                              const struct GspanActionHttp *http);

/* Ends the exchange under REF and closes its connection. No further event comes for it. */
void gspan_http_client_cancel (struct GspanHttpClient *client, struct GspanRef ref);

/* Bytes of memory for answers that are being collected, which are bounded (http/collected.h). */
size_t gspan_http_client_buffered (const struct GspanHttpClient *client);

guint gspan_http_client_open (const struct GspanHttpClient *client);

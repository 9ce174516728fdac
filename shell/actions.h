#pragma once

#include "http/client.h"
#include "http/server.h"

/* What the shells of all daemons do alike between a controller and the HTTP libraries. */

/* Does ACTION, one of the five on the response to a request, at SERVER. */
void gspan_actions_reply (struct GspanHttpServer *server, const struct GspanAction *action);

/*
 * Starts the exchange HTTP of REF at CLIENT. One whose start deadline has passed, since the process
 * was paused after the decision, ends as not sent: CALLBACK is called with USER before the return.
 */
void gspan_actions_start_http (struct GspanHttpClient *client, struct GspanRef ref,
                               const struct GspanActionHttp *http, GspanHttpClientCallback callback,
                               void *user);

/* Responds to the request ID with STATUS and a page of plain TEXT. */
void gspan_actions_reply_text (struct GspanHttpServer *server, guint64 id, int status,
                               const char *text);

/* The event of KIND that hands INCOMING on, whose memory it borrows. */
struct GspanEvent gspan_actions_request_event (enum GspanEventKind kind,
                                               const struct GspanHttpIncoming *incoming);

/* The event of KIND that says that the sender of the request ID is gone. */
struct GspanEvent gspan_actions_gone_event (enum GspanEventKind kind, guint64 id);

#pragma once

#include "common/headers.h"

/*
 * Headers of requests that one node passes on for another (links/relay_server.h). Requests bear
 * the key of the node that is to pass them on, which nodes read in the store: nobody else knows it.
 */

struct GspanRelayRequest
{
  struct GspanStr key;
  struct GspanStr upstream; /* id of the replica */
  guint64 timeout_us;       /* until the sender gives up */
  bool stream;              /* the answer is passed on as it comes */
  bool new_connection;      /* never on a used connection: the request may not run twice */
  bool send_once;
  bool of_caller; /* who tries again at any node: evidence against the request is kept */
};

/* How a request that was passed on ended. */
enum GspanRelayOutcome
{
  GSPAN_RELAY_ANSWERED, /* the answer is the replica's */
  GSPAN_RELAY_REFUSED,  /* not passed on */
  GSPAN_RELAY_NOT_SENT, /* the replica could not be reached */
  GSPAN_RELAY_LOST,     /* sent, and no whole answer came */
  GSPAN_RELAY_TIMEOUT,  /* as LOST, given up at the timeout */
  GSPAN_RELAY_TOO_LONG  /* as LOST, broken off at a bound */
};

void gspan_relay_write_request (const struct GspanRelayRequest *request,
                                struct GspanHeaders *headers);

/* Strings of REQUEST are borrowed from HEADERS; empty where the headers don't hold them. */
void gspan_relay_read_request (const struct GspanHeaders *headers,
                               struct GspanRelayRequest *request);

/* Adds OUTCOME, and WHY it was so, to the headers of an answer that isn't a replica's. */
void gspan_relay_write_outcome (enum GspanRelayOutcome outcome, const char *why,
                                struct GspanHeaders *headers);

/* GSPAN_RELAY_ANSWERED where HEADERS name none. WHY is borrowed from them, and may be empty. */
enum GspanRelayOutcome gspan_relay_read_outcome (const struct GspanHeaders *headers,
                                                 struct GspanStr *why);

/* Says in the headers of a replica's answer that only the end of its connection ended it. */
void gspan_relay_write_until_close (struct GspanHeaders *headers);
bool gspan_relay_read_until_close (const struct GspanHeaders *headers);

/* Name of the header that marks an answer as the node's own; a replica's answer never has it. */
extern const char *const gspan_relay_outcome_header;

/* True if LINE is a header of this module. */
bool gspan_relay_is_header (const char *line);

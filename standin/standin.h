#pragma once

#include <ev.h>
#include <jansson.h>

#include "http/client.h"
#include "http/server.h"

/* What the stand-ins share: one loop, one HTTP server and client, one book on disk. */

struct GspanStandin
{
  struct ev_loop *loop;
  struct GspanHttpServer *server;
  struct GspanHttpClient *client;
  struct GspanHttpHandler handler;
  GspanHttpClientCallback on_exchange;
  void *user;
  int book_fd; /* -1 is none */
  GRand *random;
  guint64 next_ref;
  /* settings */
  char *role;
  char *name;
  char *listen;
  char *platform;
  char *book;
  char *entries; /* trainer: addresses of entries, separated by commas */
  char *pairs;   /* wire: LISTEN=TARGET, separated by commas */
  char *attachment;
  char *model;
  gint seed;
  gint tokens_per_s; /* engine: of one sequence alone */
  gint slots;        /* engine: sequences that run at once */
  gint swap_ms;      /* engine: out of service for a weight swap */
  gint swap_fail_percent;
  gint train_ms;
  gint service_ms;
  gint list_lag_ms;
  gint rate;
  gboolean ignores_fence;
};

/* Appends VALUE as one JSON line; written before the call returns. Takes over the reference. */
void gspan_standin_book (struct GspanStandin *standin, json_t *value);

/* Answers with VALUE, whose reference is taken over. REVISION 0 sends no revision header. */
void gspan_standin_reply (struct GspanStandin *standin, guint64 id, int status, json_t *value,
                          guint64 revision);

/* Sends a request; the answer comes to on_exchange under the number returned. BODY may be NULL. */
guint64 gspan_standin_send (struct GspanStandin *standin, const char *method, const char *url,
                            json_t *body, guint64 timeout_us);

/* Value of NAME in the query of PATH as a number; FALLBACK where there is none. */
guint64 gspan_standin_query (struct GspanStr path, const char *name, guint64 fallback);

/* Body of a request as JSON; NULL where it is none. A new reference. */
json_t *gspan_standin_body (const struct GspanHttpIncoming *incoming);

void gspan_standin_run_platform (struct GspanStandin *standin);

/* Serves one engine on STANDIN, which lives as long as the process; the caller runs the loop. */
void gspan_standin_add_engine (struct GspanStandin *standin);
void gspan_standin_run_service (struct GspanStandin *standin);
void gspan_standin_run_trainer (struct GspanStandin *standin);
void gspan_standin_run_wire (struct GspanStandin *standin);

#pragma once

#include "common/headers.h"

enum GspanUpstreamState
{
  GSPAN_UPSTREAM_LIVE,
  GSPAN_UPSTREAM_LEAVING,
  GSPAN_UPSTREAM_GONE /* no longer listed; kept while exchanges are open */
};

/* What became of one exchange, as far as it says something about the upstream. */
enum GspanUpstreamFeedback
{
  GSPAN_FEEDBACK_GOOD,    /* a whole answer, whatever its status */
  GSPAN_FEEDBACK_REFUSED, /* said that it is too busy */
  GSPAN_FEEDBACK_BROKEN,  /* no connection, or the answer was lost */
  GSPAN_FEEDBACK_NONE     /* cancelled by us */
};

/* One replica of a service, with what this process knows of it. */
struct GspanUpstream
{
  char *name;
  char *service;
  char *zone;
  char *address; /* "IP:PORT" */
  enum GspanUpstreamState state;
  guint inflight;                     /* exchanges of this process */
  guint64 reported_load;              /* the upstream's last own report, in requests */
  guint64 load_reported_at_us;        /* when that came, microseconds; 0 is never */
  guint64 weight_version;             /* weight version that it last reported; 0 is not known */
  bool weight_version_uncertain;      /* its weight version is uncertain: takes no work */
  guint consecutive_failures;         /* broken exchanges in a row */
  guint64 breaker_open_until_us;      /* breaker: no work before this, then one probe */
  guint64 breaker_backoff_us;         /* microseconds, doubles from failure to failure */
  guint64 exchanges_begun;            /* exchanges begun so far */
  guint suspect_inflight;             /* of INFLIGHT, requests under which another upstream broke */
  guint64 fresh_connections_until_us; /* used connections may be silent: fresh ones before this */
};

struct GspanUpstreams
{
  GPtrArray *items;
};

void gspan_upstreams_init (struct GspanUpstreams *upstreams);
void gspan_upstreams_finish (struct GspanUpstreams *upstreams);

/* The upstream of that NAME and ADDRESS, created live where it is new. */
struct GspanUpstream *gspan_upstreams_add (struct GspanUpstreams *upstreams, const char *name,
                                           const char *service, const char *zone,
                                           const char *address);

/* Marks every upstream gone, so that a fresh list can mark what it holds as live or leaving. */
void gspan_upstreams_mark_gone (struct GspanUpstreams *upstreams);

/* Drops gone upstreams without open exchanges. */
void gspan_upstreams_remove_gone (struct GspanUpstreams *upstreams);

void gspan_upstream_begin_exchange (struct GspanUpstream *upstream);
void gspan_upstream_end_exchange (struct GspanUpstream *upstream,
                                  enum GspanUpstreamFeedback feedback, guint64 now);

/* Takes in what an answer's headers report: load and weight version. HEADERS may be NULL. */
void gspan_upstream_update_from_headers (struct GspanUpstream *upstream,
                                         const struct GspanHeaders *headers, guint64 now);

#pragma once

#include "route/upstreams.h"

enum GspanRoutePolicy
{
  GSPAN_ROUTE_AFFINITY,     /* prompt prefix with bounded load, else least load */
  GSPAN_ROUTE_ROUND_ROBIN,  /* baseline */
  GSPAN_ROUTE_LEAST_LOADED, /* baseline */
};

/* Why an upstream was chosen, for the log. */
enum GspanRouteReason
{
  GSPAN_ROUTE_BY_AFFINITY,
  GSPAN_ROUTE_BY_LOAD,
  GSPAN_ROUTE_BY_TURN,
  GSPAN_ROUTE_NO_CANDIDATE
};

struct GspanRouteQuery
{
  enum GspanRoutePolicy policy;
  const char *service;
  const char *zone;        /* of the asking VM */
  guint64 prefix_hash;     /* 0 is no affinity */
  guint64 now;             /* microseconds */
  guint inflight_max;      /* of this process at one upstream; 0 is no limit */
  GPtrArray *excluded;     /* struct GspanUpstream not to be chosen; may be NULL */
  GPtrArray *failed_names; /* names of upstreams that failed this request; may be NULL */
  bool is_suspect;         /* an upstream broke under it: not where another such request is */
};

struct GspanRouteChoice
{
  struct GspanUpstream *upstream; /* NULL where there is no candidate */
  enum GspanRouteReason reason;
  guint candidates;
};

/* Picks the upstream for one exchange. Draws nothing at random and changes nothing. */
struct GspanRouteChoice gspan_route_choose (const struct GspanUpstreams *upstreams,
                                            const struct GspanRouteQuery *query);

const char *gspan_route_reason_name (enum GspanRouteReason reason);
bool gspan_route_policy_parse (const char *text, enum GspanRoutePolicy *policy);

/* Affinity hash of the first bytes of a prompt; never 0. */
guint64 gspan_route_prefix_hash (struct GspanStr prompt);

#include "route/choose.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

enum
{
  PREFIX_BYTES = 256,
  LOAD_HEADROOM_PERCENT = 125, /* of the mean, above which affinity gives way */
  LOAD_HEADROOM_REQUESTS = 2,
  FAR_ZONE_COST = 1
};

#define REPORT_LIFE_US (2 * GSPAN_SECOND)

static const char *const reason_names[] = { "affinity", "load", "turn", "no-candidate" };
static const char *const policy_names[] = { "affinity", "round-robin", "least-loaded" };

const char *
gspan_route_reason_name (enum GspanRouteReason reason)
{
  return reason_names[reason];
}

bool
gspan_route_policy_parse (const char *text, enum GspanRoutePolicy *policy)
{
  for (guint i = 0; i < G_N_ELEMENTS (policy_names); i++)
    {
      if (strcmp (text, policy_names[i]) != 0)
        continue;
      *policy = (enum GspanRoutePolicy)i;
      return true;
    }
  return false;
}

guint64
gspan_route_prefix_hash (struct GspanStr prompt)
{
  guint64 hash = XXH3_64bits (prompt.data, MIN (prompt.len, (size_t)PREFIX_BYTES));

  return hash != 0 ? hash : 1;
}

static bool
is_candidate (const struct GspanUpstream *upstream, const struct GspanRouteQuery *query)
{
  if (upstream->state != GSPAN_UPSTREAM_LIVE || upstream->weight_version_uncertain)
    return false;
  if (strcmp (upstream->service, query->service) != 0)
    return false;
  if (query->inflight_max != 0 && upstream->inflight >= query->inflight_max)
    return false;
  if (upstream->breaker_open_until_us > query->now)
    return false;
  if (upstream->breaker_open_until_us != 0 && upstream->inflight > 0)
    return false;
  if (query->is_suspect && upstream->suspect_inflight > 0)
    return false;
  if (query->failed_names != NULL
      && g_ptr_array_find_with_equal_func (query->failed_names, upstream->name, g_str_equal, NULL))
    return false;
  return query->excluded == NULL || !g_ptr_array_find (query->excluded, upstream, NULL);
}

/* Requests that wait there: our own, or the upstream's report while it is young, if that is more.
 */
static guint64
load_of (const struct GspanUpstream *upstream, guint64 now)
{
  guint64 reported = 0;
  guint64 age = now - upstream->load_reported_at_us;

  if (upstream->load_reported_at_us != 0 && age < REPORT_LIFE_US)
    reported = upstream->reported_load * (REPORT_LIFE_US - age) / REPORT_LIFE_US;
  return MAX (reported, upstream->inflight);
}

static guint64
cost_of (const struct GspanUpstream *upstream, const struct GspanRouteQuery *query)
{
  bool far = strcmp (upstream->zone, query->zone) != 0;

  return load_of (upstream, query->now) + (far ? FAR_ZONE_COST : 0);
}

static guint64
affinity_of (const struct GspanUpstream *upstream, guint64 prefix_hash)
{
  return XXH3_64bits_withSeed (upstream->name, strlen (upstream->name), prefix_hash);
}

struct Scan
{
  guint candidates;
  guint64 load_sum;
  struct GspanUpstream *least;
  struct GspanUpstream *next_turn;
};

static struct Scan
scan (const struct GspanUpstreams *upstreams, const struct GspanRouteQuery *query)
{
  struct Scan scan = { 0 };

  for (guint i = 0; i < upstreams->items->len; i++)
    {
      struct GspanUpstream *upstream = g_ptr_array_index (upstreams->items, i);

      if (!is_candidate (upstream, query))
        continue;
      scan.candidates++;
      scan.load_sum += load_of (upstream, query->now);
      if (scan.least == NULL || cost_of (upstream, query) < cost_of (scan.least, query)
          || (cost_of (upstream, query) == cost_of (scan.least, query)
              && upstream->exchanges_begun < scan.least->exchanges_begun))
        scan.least = upstream;
      if (scan.next_turn == NULL || upstream->exchanges_begun < scan.next_turn->exchanges_begun)
        scan.next_turn = upstream;
    }
  return scan;
}

static struct GspanUpstream *
choose_by_prefix (const struct GspanUpstreams *upstreams, const struct GspanRouteQuery *query,
                  const struct Scan *scan)
{
  guint64 mean = scan->load_sum / scan->candidates;
  guint64 bound = mean * LOAD_HEADROOM_PERCENT / 100 + LOAD_HEADROOM_REQUESTS;
  struct GspanUpstream *best = NULL;
  guint64 best_score = 0;

  for (guint i = 0; i < upstreams->items->len; i++)
    {
      struct GspanUpstream *upstream = g_ptr_array_index (upstreams->items, i);
      guint64 score;

      if (!is_candidate (upstream, query) || load_of (upstream, query->now) > bound)
        continue;
      score = affinity_of (upstream, query->prefix_hash);
      if (best != NULL && score <= best_score)
        continue;
      best = upstream;
      best_score = score;
    }
  return best;
}

struct GspanRouteChoice
gspan_route_choose (const struct GspanUpstreams *upstreams, const struct GspanRouteQuery *query)
{
  struct Scan found = scan (upstreams, query);
  struct GspanRouteChoice choice = { NULL, GSPAN_ROUTE_NO_CANDIDATE, found.candidates };

  if (found.candidates == 0)
    return choice;
  if (query->policy == GSPAN_ROUTE_ROUND_ROBIN)
    {
      choice.upstream = found.next_turn;
      choice.reason = GSPAN_ROUTE_BY_TURN;
      return choice;
    }
  if (query->policy == GSPAN_ROUTE_AFFINITY && query->prefix_hash != 0)
    {
      choice.upstream = choose_by_prefix (upstreams, query, &found);
      choice.reason = GSPAN_ROUTE_BY_AFFINITY;
    }
  if (choice.upstream != NULL)
    return choice;
  choice.upstream = found.least;
  choice.reason = GSPAN_ROUTE_BY_LOAD;
  return choice;
}

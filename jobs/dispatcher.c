#include "jobs/dispatcher.h"

#include <string.h>

#include "jobs/jobs.h"
#include "node/node.h"

enum
{
  REPLICAS_EACH = 64,  /* of a service, for each of its dispatchers */
  STRONG_PERCENT = 75, /* of the strongest node's processor share; weak ones fall behind */
  DISPATCHERS_MAX = 64 /* of a service */
};

/* The processor share that the strongest of the present nodes has, in thousandths. */
static guint
most_cpu_present (const struct GspanNode *node)
{
  guint most = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanPeer *peer = value;

      if (gspan_heartbeats_is_present (node, peer))
        most = MAX (most, peer->cpu_milli);
    }
  return most;
}

static guint
count_replicas (const struct GspanNode *node, const char *service)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += strcmp (((const struct GspanReplica *)value)->service, service) == 0;
  return count;
}

/* The service that most of the jobs of ROUTE run at. */
static const char *
main_service (const struct GspanConfigRoute *route)
{
  const struct GspanRouteShare *main = NULL;

  for (guint i = 0; i < route->shares->len; i++)
    {
      const struct GspanRouteShare *share = g_ptr_array_index (route->shares, i);

      if (main == NULL || share->weight > main->weight)
        main = share;
    }
  return main != NULL ? main->service : NULL;
}

const char *
gspan_dispatcher_of (const struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanConfigRoute *route = gspan_jobs_route_of (node, job);
  const char *service = route != NULL ? main_service (route) : NULL;
  const char *names[DISPATCHERS_MAX];
  guint least_cpu;
  guint wanted;
  guint count;

  if (!node->self.dispatches_jobs || service == NULL || gspan_heartbeats_is_isolated (node))
    return node->self.name;
  least_cpu = most_cpu_present (node) * STRONG_PERCENT / 100;
  wanted = MIN (DISPATCHERS_MAX, 1 + count_replicas (node, service) / REPLICAS_EACH);
  count = gspan_peers_draw (node, service, "", least_cpu, names, wanted);
  return count > 0 ? names[g_str_hash (job->id) % count] : node->self.name;
}

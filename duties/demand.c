#include "duties/demand.h"

#include <string.h>

#include "common/clock.h"
#include "gateway/calls.h"
#include "jobs/run.h"
#include "node/node.h"

#define SAMPLE_EVERY_US (100 * GSPAN_MS)
#define TELL_EVERY_US (GSPAN_SECOND)
#define TOLD_HOLDS_US (3500 * GSPAN_MS) /* three datagrams may be lost in a row */

#define DEMAND_MAX 1e6 /* of one node for a service; what is told beyond it is another's fault */

enum
{
  MESSAGE_BYTES = 1000, /* of services in a datagram */
  BYTES_BESIDE_NAME = 32,
  FORMAT_VERSION = 1
};

struct Own
{
  double sum; /* of the samples of this second */
  guint samples;
  double mean; /* over the last second */
  double now;  /* within a sample */
};

struct Told
{
  double demand;
  guint64 at;
};

void
gspan_demand_init (struct GspanDemand *demand)
{
  *demand = (struct GspanDemand){ 0 };
  demand->own = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  demand->nodes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_unref);
}

void
gspan_demand_finish (struct GspanDemand *demand)
{
  g_hash_table_unref (demand->own);
  g_hash_table_unref (demand->nodes);
}

bool
gspan_demand_is_scaled (const struct GspanNode *node, const char *service)
{
  const struct GspanConfigService *found = gspan_config_service (&node->catalog.config, service);

  return found != NULL && found->scaling.enabled;
}

bool
gspan_demand_enabled (const struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  if (!node->self.orders_capacity || node->self.duties_address == NULL)
    return false;
  g_hash_table_iter_init (&iter, node->catalog.config.services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((const struct GspanConfigService *)value)->scaling.enabled)
        return true;
    }
  return false;
}

/* Counting. */

/* Has exactly the services that are scaled in DEMAND's own counts. */
static void
begin_sample (struct GspanNode *node)
{
  GHashTable *own = node->capacity_orders.demand.own;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, own);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      ((struct Own *)value)->now = 0;
      if (!gspan_demand_is_scaled (node, name))
        g_hash_table_iter_remove (&iter);
    }
  g_hash_table_iter_init (&iter, node->catalog.config.services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      if (((const struct GspanConfigService *)value)->scaling.enabled
          && !g_hash_table_contains (own, name))
        g_hash_table_insert (own, g_strdup (name), g_new0 (struct Own, 1));
    }
}

static void
add (struct GspanNode *node, const char *service, double count)
{
  struct Own *own
      = service != NULL ? g_hash_table_lookup (node->capacity_orders.demand.own, service) : NULL;

  if (own != NULL)
    own->now += count;
}

/* COUNT items of ROUTE, by the shares that its services have. */
static void
add_to_route (struct GspanNode *node, const struct GspanConfigRoute *route, double count)
{
  double total = 0;

  if (route == NULL || count <= 0)
    return;
  for (guint i = 0; i < route->shares->len; i++)
    total += ((struct GspanRouteShare *)g_ptr_array_index (route->shares, i))->weight;
  for (guint i = 0; i < route->shares->len && total > 0; i++)
    {
      const struct GspanRouteShare *share = g_ptr_array_index (route->shares, i);

      add (node, share->service, count * share->weight / total);
    }
}

/* Each once, also where a second attempt is under way: what is slow doesn't need more for that. */
static void
add_requests (struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->gateway.calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add (node, ((const struct GspanCall *)value)->service, 1);
}

static void
add_running_items (struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->runner.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add (node, ((const struct GspanRun *)value)->replica->service, 1);
}

/* Whole texts whose reward calls are owed or under way; most of a job's go to one place. */
static void
add_unscored_items (struct GspanNode *node, const struct GspanJob *job)
{
  const struct GspanRewardRequest *first = NULL;
  const struct GspanConfigRoute *route = NULL;

  for (const GList *link = job->unscored_items.head; link != NULL; link = link->next)
    {
      const struct GspanItem *item = link->data;
      const struct GspanRewardRequest *reward = item->submitted->reward;

      if (reward == NULL)
        continue;
      if (first == NULL || g_strcmp0 (first->host, reward->host) != 0
          || g_strcmp0 (first->path, reward->path) != 0)
        {
          first = reward;
          route = gspan_config_match (&node->catalog.config, gspan_str_from (reward->host),
                                      gspan_str_from (reward->path));
        }
      add_to_route (node, route, 1);
    }
}

static void
add_waiting_items (struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->jobs.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanJob *job = value;

      if (!gspan_job_is_run_here (job))
        continue;
      add_to_route (node, gspan_jobs_route_of (node, job), job->waiting_items.length);
      add_unscored_items (node, job);
    }
}

static void
sample (struct GspanNode *node)
{
  GHashTableIter iter;
  gpointer value;

  begin_sample (node);
  add_requests (node);
  add_running_items (node);
  add_waiting_items (node);
  g_hash_table_iter_init (&iter, node->capacity_orders.demand.own);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct Own *own = value;

      own->sum += own->now;
      own->samples++;
    }
}

/* Telling. */

/* Takes over SERVICES. */
static void
tell_services (struct GspanNode *node, const char *holder, json_t *services,
               struct GspanOutbox *outbox)
{
  json_t *message
      = json_pack ("{s:s, s:i, s:s, s:s, s:o}", "kind", "demand", "format", FORMAT_VERSION, "from",
                   node->self.name, "udp", node->self.udp_address, "services", services);

  gspan_peers_send (node, holder, message, outbox);
  json_decref (message);
}

/* Ends the second that has been sampled. */
static void
take_means (struct GspanDemand *demand)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, demand->own);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct Own *own = value;

      own->mean = own->samples > 0 ? own->sum / own->samples : 0;
      own->sum = 0;
      own->samples = 0;
    }
}

static void
tell (struct GspanNode *node, struct GspanOutbox *outbox)
{
  const char *holder = node->weights.lease.holder;
  json_t *services = json_object ();
  size_t bytes = 0;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, node->capacity_orders.demand.own);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      size_t more = strlen (name) + BYTES_BESIDE_NAME;

      if (bytes + more > MESSAGE_BYTES && json_object_size (services) > 0)
        {
          tell_services (node, holder, services, outbox);
          services = json_object ();
          bytes = 0;
        }
      bytes += more;
      json_object_set_new (services, name, json_real (((const struct Own *)value)->mean));
    }
  tell_services (node, holder, services, outbox);
}

static bool
is_told_to_another (const struct GspanNode *node)
{
  const char *holder = node->weights.lease.holder;

  return holder != NULL && holder[0] != '\0' && strcmp (holder, node->self.name) != 0;
}

/* Drops the nodes that haven't told anything for long. */
static void
forget_silent (struct GspanNode *node)
{
  GHashTableIter nodes;
  gpointer services;

  g_hash_table_iter_init (&nodes, node->capacity_orders.demand.nodes);
  while (g_hash_table_iter_next (&nodes, NULL, &services))
    {
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, services);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          if (node->now >= ((const struct Told *)value)->at + TOLD_HOLDS_US)
            g_hash_table_iter_remove (&iter);
        }
      if (g_hash_table_size (services) == 0)
        g_hash_table_iter_remove (&nodes);
    }
}

void
gspan_demand_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanDemand *demand = &node->capacity_orders.demand;

  if (node->now < demand->next_sample_at)
    return;
  demand->next_sample_at = node->now + SAMPLE_EVERY_US;
  sample (node);
  if (node->now < demand->next_tell_at)
    return;
  demand->next_tell_at = node->now + TELL_EVERY_US;
  take_means (demand);
  forget_silent (node);
  if (is_told_to_another (node))
    tell (node, outbox);
}

/* Being told. */

static GHashTable *
services_of (struct GspanDemand *demand, const char *name)
{
  GHashTable *services = g_hash_table_lookup (demand->nodes, name);

  if (services != NULL)
    return services;
  services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (demand->nodes, g_strdup (name), services);
  return services;
}

void
gspan_demand_receive (struct GspanNode *node, json_t *message)
{
  const char *from = json_string_value (json_object_get (message, "from"));
  const char *udp = json_string_value (json_object_get (message, "udp"));
  const struct GspanPeer *peer
      = from != NULL ? g_hash_table_lookup (node->peers.items, from) : NULL;
  GHashTable *services;
  const char *name;
  json_t *value;

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION || peer == NULL
      || g_strcmp0 (peer->udp_address, udp) != 0 || strcmp (from, node->self.name) == 0
      || !gspan_demand_enabled (node))
    return;
  services = services_of (&node->capacity_orders.demand, from);
  json_object_foreach (json_object_get (message, "services"), name, value)
  {
    struct Told *told;

    if (!json_is_number (value) || !gspan_demand_is_scaled (node, name))
      continue;
    told = g_new0 (struct Told, 1);
    told->demand = CLAMP (json_number_value (value), 0.0, DEMAND_MAX);
    told->at = node->now;
    g_hash_table_replace (services, g_strdup (name), told);
  }
}

static const struct Told *
told_by (const struct GspanNode *node, const char *peer, const char *service)
{
  GHashTable *services = g_hash_table_lookup (node->capacity_orders.demand.nodes, peer);
  const struct Told *told = services != NULL ? g_hash_table_lookup (services, service) : NULL;

  return told != NULL && node->now < told->at + TOLD_HOLDS_US ? told : NULL;
}

double
gspan_demand_of (const struct GspanNode *node, const char *service)
{
  const struct GspanDemand *demand = &node->capacity_orders.demand;
  const struct Own *own = g_hash_table_lookup (demand->own, service);
  double sum = own != NULL ? own->mean : 0;
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, demand->nodes);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const struct Told *told = told_by (node, name, service);

      sum += told != NULL ? told->demand : 0;
    }
  return sum;
}

bool
gspan_demand_is_whole (const struct GspanNode *node, const char *service)
{
  GHashTableIter iter;
  gpointer value;

  if (!node->catalog.followers[GSPAN_FOLLOW_NODES].synced)
    return false;
  g_hash_table_iter_init (&iter, node->peers.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanPeer *peer = value;

      if (strcmp (peer->name, node->self.name) != 0 && gspan_heartbeats_is_present (node, peer)
          && told_by (node, peer->name, service) == NULL)
        return false;
    }
  return true;
}

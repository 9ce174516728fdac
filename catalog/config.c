#include "catalog/config.h"

#include <string.h>

static void
share_free (gpointer data)
{
  struct GspanRouteShare *share = data;

  g_free (share->service);
  g_free (share);
}

static void
route_free (gpointer data)
{
  struct GspanConfigRoute *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_ptr_array_unref (route->shares);
  g_free (route);
}

static void
zone_free (gpointer data)
{
  struct GspanConfigZone *zone = data;

  g_free (zone->name);
  g_free (zone);
}

static void
service_free (gpointer data)
{
  struct GspanConfigService *service = data;

  g_free (service->name);
  g_ptr_array_unref (service->scaling.zones);
  g_ptr_array_unref (service->models);
  g_free (service);
}

void
gspan_config_init (struct GspanConfig *config)
{
  *config = (struct GspanConfig){ 0 };
  config->routes = g_ptr_array_new_with_free_func (route_free);
  config->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  gspan_accounts_init (&config->accounts);
}

void
gspan_config_finish (struct GspanConfig *config)
{
  g_ptr_array_unref (config->routes);
  g_hash_table_unref (config->services);
  gspan_accounts_finish (&config->accounts);
}

struct GspanConfigRoute *
gspan_config_add_route (struct GspanConfig *config)
{
  struct GspanConfigRoute *route = g_new0 (struct GspanConfigRoute, 1);

  route->shares = g_ptr_array_new_with_free_func (share_free);
  g_ptr_array_add (config->routes, route);
  return route;
}

struct GspanConfigService *
gspan_config_add_service (struct GspanConfig *config, const char *name)
{
  struct GspanConfigService *service = g_new0 (struct GspanConfigService, 1);

  service->name = g_strdup (name);
  service->models = g_ptr_array_new_with_free_func (g_free);
  service->scaling.zones = g_ptr_array_new_with_free_func (zone_free);
  g_hash_table_replace (config->services, service->name, service);
  return service;
}

void
gspan_config_add_zone (struct GspanConfigService *service, const char *name, double price)
{
  struct GspanConfigZone *zone = g_new0 (struct GspanConfigZone, 1);

  zone->name = g_strdup (name);
  zone->price = price;
  g_ptr_array_add (service->scaling.zones, zone);
}

static bool
host_matches (const char *host, struct GspanStr asked)
{
  const char *colon = memchr (asked.data, ':', asked.len);
  size_t len = colon != NULL ? (size_t)(colon - asked.data) : asked.len;

  return strlen (host) == len && g_ascii_strncasecmp (host, asked.data, len) == 0;
}

const struct GspanConfigRoute *
gspan_config_match (const struct GspanConfig *config, struct GspanStr host, struct GspanStr path)
{
  const struct GspanConfigRoute *best = NULL;
  size_t best_len = 0;

  if (host.data == NULL)
    return NULL;
  for (guint i = 0; i < config->routes->len; i++)
    {
      const struct GspanConfigRoute *route = g_ptr_array_index (config->routes, i);
      size_t len = strlen (route->prefix);

      if (len <= best_len || !gspan_str_has_prefix (path, gspan_str_from (route->prefix))
          || !host_matches (route->host, host))
        continue;
      best = route;
      best_len = len;
    }
  return best;
}

const char *
gspan_config_pick_service (const struct GspanConfigRoute *route, guint32 draw)
{
  guint total = 0;

  for (guint i = 0; i < route->shares->len; i++)
    total += ((struct GspanRouteShare *)g_ptr_array_index (route->shares, i))->weight;
  if (total == 0)
    return NULL;
  draw %= total;
  for (guint i = 0; i < route->shares->len; i++)
    {
      const struct GspanRouteShare *share = g_ptr_array_index (route->shares, i);

      if (draw < share->weight)
        return share->service;
      draw -= share->weight;
    }
  return NULL;
}

const struct GspanConfigService *
gspan_config_service (const struct GspanConfig *config, const char *name)
{
  return g_hash_table_lookup (config->services, name);
}

#pragma once

#include <glib.h>
#include <stdbool.h>

#include "accounts/accounts.h"
#include "common/str.h"

/* What the operator has configured: routes of callers to services. */

enum GspanRepeat
{
  GSPAN_REPEAT_ALLOWED,   /* idempotent: may run more than once */
  GSPAN_REPEAT_FORBIDDEN, /* runs at most once */
  GSPAN_REPEAT_RESUMED,   /* a stream: a repeat goes on after the last event that was passed on */
  GSPAN_REPEAT_BATCH      /* a batch job's route: its items are idempotent and resumable */
};

struct GspanRouteShare
{
  char *service;
  guint weight;
};

struct GspanConfigRoute
{
  char *name;
  char *host;
  char *prefix;
  enum GspanRepeat repeat;
  bool stream;
  GPtrArray *shares;        /* struct GspanRouteShare */
  guint64 timeout_us;       /* longest wait of a caller; 0 is no limit */
  guint64 target_us;        /* latency that the operator aims at */
  guint64 results_due_us;   /* BATCH: after the first submission */
  guint64 give_up_after_us; /* BATCH: an item may be given up this long after it; 0 is never */
  guint attempts_max;
  guint priority;
  bool single_version;  /* BATCH: one version of the weights for each result */
  bool allow_anonymous; /* callers without a key are let in */
};

struct GspanConfigZone
{
  char *name;
  double price; /* of a replica there, for each second */
};

/* How many replicas of a service may be ordered. Counts are for each zone, spot replicas included.
 */
struct GspanConfigScaling
{
  bool enabled; /* else the service is never ordered */
  guint replicas_min;
  guint replicas_max;
  guint64 boot_us;   /* from an order to the service of its replicas */
  double spot_price; /* part of a zone's price; 0 has no spot replicas */
  GPtrArray *zones;  /* struct GspanConfigZone, in which replicas may be ordered */
};

struct GspanConfigService
{
  char *name;
  guint slots;        /* requests that a replica runs at once; 0 is not known */
  guint64 tokens_max; /* of a replica's memory; 0 is not known */
  GPtrArray *models;  /* names; empty for a plain service */
  struct GspanConfigScaling scaling;
};

struct GspanConfig
{
  guint64 number; /* rises with each change; 0 where none is known */
  GPtrArray *routes;
  GHashTable *services; /* name to struct GspanConfigService */
  struct GspanAccounts accounts;
  guint64 body_max; /* bytes */
  guint64 idle_us;  /* a caller's connection may stay idle for so long */
};

void gspan_config_init (struct GspanConfig *config);
void gspan_config_finish (struct GspanConfig *config);
struct GspanConfigRoute *gspan_config_add_route (struct GspanConfig *config);
struct GspanConfigService *gspan_config_add_service (struct GspanConfig *config, const char *name);
void gspan_config_add_zone (struct GspanConfigService *service, const char *name, double price);

/* The route of HOST with the longest prefix of PATH; NULL where there is none. */
const struct GspanConfigRoute *gspan_config_match (const struct GspanConfig *config,
                                                   struct GspanStr host, struct GspanStr path);

/* One of ROUTE's services, each as often as its weight says. DRAW is uniform. */
const char *gspan_config_pick_service (const struct GspanConfigRoute *route, guint32 draw);

const struct GspanConfigService *gspan_config_service (const struct GspanConfig *config,
                                                       const char *name);

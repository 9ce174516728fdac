#pragma once

#include <glib.h>
#include <stdbool.h>

#include "common/str.h"

/* One start of an upstream of a service, as it registered itself, and what this process saw of it.
 */

struct GspanReplicaModel
{
  char *name;
  guint64 weights; /* version of the model's weights; only rises */
};

/* The way that requests of this node take to a replica (links/links.h). */
enum GspanReach
{
  GSPAN_REACH_DIRECT,
  GSPAN_REACH_BY_RELAY, /* the link is down, and another node passes requests on */
  GSPAN_REACH_NONE      /* the link is down, and no node offers to */
};

struct GspanReplica
{
  guint refs;
  char *id;
  char *service;
  char *address; /* "IP:PORT" */
  char *zone;
  char *software; /* version of what it runs; empty where its entry names none */
  guint slots;
  bool draining;       /* as its entry says */
  bool entry_unusable; /* its entry can't be read now, or is another writer's */
  bool removed;        /* no longer registered */
  bool spot;           /* it costs less, and the platform may reclaim it */
  guint64 leaves_ms;   /* DRAINING: when it is gone, in its entry's words; 0 is not said */
  guint64 born;        /* Unix milliseconds of its start; 0 is not known */
  GPtrArray *models;   /* struct GspanReplicaModel */

  /* What this process knows by itself. */
  enum GspanReach reach;
  guint silent_exchanges; /* over the own link, cancelled in a row without a byte in answer */
  bool leaving;           /* this incarnation has announced it (catalog/leaving.h) */
  guint open;             /* requests of ours that it has now */
  guint suspects;         /* of these, those that may crash it (desk/poison_requests.h) */
  guint failures;         /* in a row */
  guint64 avoid_until;    /* after failures */
  guint64 remove_at;      /* its removal, seen beside an outage of the store, counts then; 0 none */
  bool orders_known;      /* ORDERS_ACCEPTED is */
  guint64 orders_accepted; /* since its start */
  bool misdirected;        /* somebody else answers at its address */
  guint64 loading_until;   /* takes new weights and refuses requests for about so long */
  guint64 event_us;        /* smoothed time between two events of its streams (catalog/pace.h) */
  guint64 paced_at;        /* last event that EVENT_US follows from */
  guint paced_events;      /* that it follows from */
};

struct GspanReplica *gspan_replica_new (const char *id);
struct GspanReplica *gspan_replica_ref (struct GspanReplica *replica);
void gspan_replica_unref (struct GspanReplica *replica);

/* Version of MODEL's weights at REPLICA; 0 where it doesn't serve MODEL. */
guint64 gspan_replica_weights (const struct GspanReplica *replica, const char *model);

/* Notes that REPLICA has at least version WEIGHTS of MODEL. */
void gspan_replica_set_weights (struct GspanReplica *replica, const char *model, guint64 weights);

/*
 * True if it is about to leave, as its entry or one of its responses says, or if its entry names no
 * replica to use any more. Requests that it has go on.
 */
bool gspan_replica_is_leaving (const struct GspanReplica *replica);

/* True where it may get new requests at NOW. */
bool gspan_replica_usable (const struct GspanReplica *replica, guint64 now);

/* Counts a failed exchange at NOW: the more in a row, the longer it is avoided. */
void gspan_replica_failed (struct GspanReplica *replica, guint64 now);
void gspan_replica_worked (struct GspanReplica *replica);

#pragma once

#include "catalog/permits.h"
#include "catalog/replica.h"

/*
 * Placement of one request on a replica, apart from any I/O. Answers these loads: replicas of
 * unlike speed (a slow one keeps its requests longer, so it has more of them open and is passed
 * over), many nodes that each see only their own requests (equals are drawn by lot, so that they
 * don't all choose the same), and groups that share a prompt (the replica that read it goes first
 * while it has room).
 */

struct GspanPickQuery
{
  const char *service;
  guint64 now;
  const char *zone;       /* goes first among equals */
  const GPtrArray *tried; /* ids that are passed over; NULL is none */
  const char *model;      /* NULL for plain services */
  guint64 weights_min;    /* of MODEL */
  guint64 weights_max;    /* of MODEL; 0 is no limit */
  const char *software;   /* version that a text can go on at; NULL is any */
  const char *preferred;  /* id of the replica that has the prompt; NULL is none */
  guint open_max;         /* of our own requests at one replica; 0 is no limit */
  guint open_percent;     /* of a replica's slots, one at least; as open_max; 0 is no limit */
  guint32 draw;           /* by lot */
  guint64 typical_us;     /* between two events; replicas far slower are passed over; 0 is none */
  bool is_suspect;        /* may crash it: not beside another such request, so that a crash tells
                             which of them caused it */
  bool last_resort;       /* replicas that are avoided since they failed will do, too */
  const struct GspanLimits *limits; /* replicas without a permit are passed over; NULL: none is */
  enum GspanTraffic traffic;        /* that the permit has to be for */
  GPtrArray *without_permit; /* gets those that lack only that, struct GspanReplica; may be NULL */
};

/* Requests at replicas, as far as this node knows. */
struct GspanPickLoad
{
  guint64 open; /* its own */
  guint64 slots;
};

/* The best of REPLICAS (id to struct GspanReplica); NULL where none may get the request now. */
struct GspanReplica *gspan_pick_replica (GHashTable *replicas, const struct GspanPickQuery *query);

/* The load of those replicas of SERVICE that may get a request now. */
struct GspanPickLoad gspan_pick_load (GHashTable *replicas, const char *service, guint64 now);

/* True if replicas of SERVICE with that version of their SOFTWARE are there to stay. */
bool gspan_pick_has_software (GHashTable *replicas, const char *service, const char *software);

/*
 * When the soonest replica of SERVICE that is avoided now may be tried again; 0 where there is
 * none to wait for.
 */
guint64 gspan_pick_retry_at (GHashTable *replicas, const char *service, guint64 now);

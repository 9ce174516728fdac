#pragma once

#include <jansson.h>

#include "catalog/rate.h"
#include "catalog/replica.h"

struct GspanNode;
struct GspanOutbox;
struct GspanWireResponse;

/*
 * Replicas that limit the requests that they take from all nodes together, as their answers say.
 * Each change is told to all nodes by datagram. One node, the allocator of that replica, issues the
 * permits without which no node sends to it (catalog/permits.h): at first the node that saw the
 * limit first, and whoever asks an allocator in vain takes its place. Permits end with their
 * allocator.
 *
 * What is known of a replica is a statement with a version. A node that changes it writes the next
 * version; of two that were written at once all nodes keep the same one. A limit holds for one
 * incarnation of the replica, until an answer to a request that was sent when the limit was known
 * names none.
 */

/* Kinds of requests to replicas, which don't use one another's permits. */
enum GspanTraffic
{
  GSPAN_TRAFFIC_CALLS,  /* of desk callers */
  GSPAN_TRAFFIC_RUNS,   /* of items, and their reward calls */
  GSPAN_TRAFFIC_ORDERS, /* and questions about them */
  GSPAN_TRAFFIC_COUNT
};

enum
{
  GSPAN_PERMITS_MAX = 8 /* that a node holds for one replica and kind of traffic */
};

/* Permits of this node for one kind of traffic to one replica, and what it has asked for. */
struct GspanPermitPool
{
  guint64 due_at[GSPAN_PERMITS_MAX]; /* times at which each may be used, ascending */
  guint count;
  guint64 full_until;  /* the allocator has none to give before then */
  guint64 empty_since; /* none has been given since then; 0 was given at the last question */
  guint64 ask;         /* question under way; 0 is none */
  guint64 asked_at;
  guint asked_count; /* permits asked for */
  guint tries;       /* times that the question was sent */
};

struct GspanLimit
{
  char *upstream;
  guint64 born;
  bool holds;            /* else it has ended */
  double requests_per_s; /* from all nodes */
  guint64 version;       /* of the statement */
  char *allocator;       /* name of the node that issues permits */
  char *allocator_udp;   /* where it is asked */
  guint64 learned_at;    /* this node last saw the limit, or heard of it first */
  guint64 told_at;       /* this node last told the others; 0 is never */
  guint tell_again;      /* times that it still has to, since datagrams get lost */
  struct GspanRate rate; /* of the permits, where this node is the allocator */
  guint64 issues_from;   /* as above: none is issued before */
  struct GspanPermitPool pools[GSPAN_TRAFFIC_COUNT];
};

struct GspanLimits
{
  GHashTable *items; /* upstream id to struct GspanLimit */
  guint64 last_ask;
};

/* INCARNATION of this node keeps its questions apart from those before its start. */
void gspan_limits_init (struct GspanLimits *limits, guint32 incarnation);
void gspan_limits_finish (struct GspanLimits *limits);

/*
 * Notes the limit that ANSWER, complete or only its head, names for REPLICA, or that it has none.
 * SENT_AT is the time of the request. Called once for each answer, with the first that came of it.
 */
void gspan_limits_note_answer (struct GspanNode *node, const struct GspanReplica *replica,
                               const struct GspanWireResponse *answer, guint64 sent_at,
                               struct GspanOutbox *outbox);

/* The limit of REPLICA, or of a later start of it that its entry doesn't show yet; NULL is none. */
struct GspanLimit *gspan_limits_find (const struct GspanLimits *limits,
                                      const struct GspanReplica *replica);

/* True where this node issues the permits of LIMIT. */
bool gspan_limits_is_allocator (const struct GspanNode *node, const struct GspanLimit *limit);

/* Makes this node the allocator of LIMIT, whose allocator doesn't answer. */
void gspan_limits_take_over (struct GspanNode *node, struct GspanLimit *limit,
                             struct GspanOutbox *outbox);

/* Takes in the statements in MESSAGE, from another node. */
void gspan_limits_receive (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox);

/* LIMIT as a statement in messages. Released with json_decref (). */
json_t *gspan_limits_encode (const struct GspanLimit *limit);

/* Tells the node at UDP_ADDRESS what is known of LIMIT. */
void gspan_limits_tell_one (const struct GspanLimit *limit, const char *udp_address,
                            struct GspanOutbox *outbox);

/* Takes in one statement. */
void gspan_limits_merge (struct GspanNode *node, json_t *statement, struct GspanOutbox *outbox);

/* Tells the others what is due, and forgets limits of replicas that are gone. */
void gspan_limits_tick (struct GspanNode *node, struct GspanOutbox *outbox);

/* Number of replicas with a limit. */
guint gspan_limits_count (const struct GspanLimits *limits);

#pragma once

#include "board/message.h"
#include "catalog/config.h"
#include "catalog/feed.h"
#include "catalog/known_objects.h"
#include "catalog/leaving.h"
#include "catalog/odd_objects.h"
#include "catalog/outage.h"
#include "catalog/replica.h"

struct GspanNode;

/*
 * What others wrote to the store, followed by lists and watches: the configuration in force, the
 * replicas, batch jobs, the other nodes, requests to empty a VM. While the store fails, one
 * follower alone asks whether it is back.
 *
 * A watch tells soon; only a whole list proves that nothing was missed. The store may drop its
 * history between two watches, and the next one then waits and ends without a word about the gap.
 * So each watch that ends without an event is followed by a list, a watch begins only right after
 * another answer, and the age of what is known counts from the last whole list.
 */

enum GspanFollowed
{
  GSPAN_FOLLOW_CONFIG,
  GSPAN_FOLLOW_REPLICAS,
  GSPAN_FOLLOW_JOBS,
  GSPAN_FOLLOW_NODES,
  GSPAN_FOLLOW_RETIREMENTS,
  GSPAN_FOLLOW_WEIGHTS,  /* by the holder of the lease of orders only */
  GSPAN_FOLLOW_VERDICTS, /* on requests that crash replicas (gateway/verdicts.h) */
  GSPAN_FOLLOW_COUNT
};

/* What brought the last update of the replicas. */
enum GspanReplicaSource
{
  GSPAN_SOURCE_LIST,
  GSPAN_SOURCE_WATCH,
  GSPAN_SOURCE_FEED /* another node (catalog/feed.h) */
};

/* A list under way, page by page. */
struct GspanListing
{
  char *after;      /* last name of the page before; NULL where there was none */
  guint64 began_at; /* its first page was asked for */
  gint64 began_wall_ms;
  guint64 revision;       /* of the store, at the first page */
  guint64 newest;         /* revision of the newest object met */
  bool tells_differences; /* to the other nodes, of what was known before */
  GHashTable *names;      /* of the objects met */
  GHashTable *changed;    /* name to guint64, see gspan_reading_apply_events () */
};

struct GspanFollower
{
  const char *kind;
  bool wanted;
  bool synced;            /* has read a whole list since the start */
  guint64 synced_at;      /* the first one */
  bool watching;          /* the next call, or the one under way, is a watch, else a list */
  guint64 call;           /* under way; 0 is none */
  guint64 called_at;      /* CALL was sent */
  guint64 wait_us;        /* that CALL may take, if it is a watch */
  guint64 newest;         /* revision of the newest object read, but for unfinished lists */
  guint64 newest_read;    /* as above, with these */
  guint64 fed_newest;     /* as above, as another node has told (catalog/feed.h) */
  guint64 missing_since;  /* something newer than NEWEST was first told; while it is missing */
  guint64 overdue_log_at; /* a change that is overdue is logged again from then on */
  guint64 next_at;        /* the next call isn't made before */
  guint64 revision;       /* all changes up to it are known, as far as the store has told */
  guint64 listed_at;      /* the last whole list was asked for; 0 is never */
  gint64 listed_wall_ms;  /* the same by the wall clock */
  guint64 wanted_since;   /* somebody waits for a list asked for after this; 0 is nobody */
  bool in_doubt;          /* another node knows other objects: only a list is believed now */
  struct GspanKnownObjects known;
  struct GspanListing listing;
};

struct GspanCatalog
{
  struct GspanFollower followers[GSPAN_FOLLOW_COUNT];
  struct GspanConfig config;
  GHashTable *replicas;   /* id to struct GspanReplica */
  guint64 replicas_as_of; /* time at which the store held what is known of them; 0 is never */
  enum GspanReplicaSource replicas_source;
  guint64 replicas_proven_at;     /* no change of them from before then is unknown; 0 is never */
  gint64 replicas_proven_wall_ms; /* the same by the wall clock */
  guint64
      replicas_gap_at; /* for long until then, a replica may have come and gone unseen; 0 none */
  struct GspanLeaving leaving;
  struct GspanFeed feed;
  struct GspanOddObjects odd_objects;
  bool store_fails;        /* a follower's call failed, and no call has been answered since */
  guint64 store_ok_at;     /* the store last answered any call of this node; 0 is never */
  guint64 store_failed_at; /* last failure of any call, cut watches too; 0 is none */
  guint64 told_failed_at;  /* likewise, as another node has told of its own calls */
  char *told_failed_by;    /* that node; NULL is none */
  bool store_failed;       /* a call of any kind failed, and none has been answered since */
  struct GspanOutage outage;
  bool many_removed; /* the answer being taken in removes half of the replicas or more */
  guint failures;    /* in a row */
};

void gspan_catalog_init (struct GspanCatalog *catalog, bool follows_retirements);
void gspan_catalog_finish (struct GspanCatalog *catalog);
void gspan_catalog_handle (struct GspanNode *node, const struct GspanEvent *event,
                           struct GspanOutbox *outbox);

/*
 * Takes in changes of replicas that another node has read AGE_US ago, in place of a watch that
 * waits now. A list that is under way goes on. That these are all changes is claimed apart.
 */
void gspan_catalog_receive_replicas (struct GspanNode *node, const struct GspanStoreReply *reply,
                                     guint64 age_us, struct GspanOutbox *outbox);

/* Another node has told that the newest object of WHICH has the revision NEWEST. */
void gspan_catalog_note_newest (struct GspanNode *node, enum GspanFollowed which, guint64 newest);

/*
 * Lists the configuration and the replicas next, in place of a watch that waits now. A list that is
 * under way goes on.
 */
void gspan_catalog_list_again (struct GspanCatalog *catalog);

/* While the store fails, asks whether it is back without a pause. */
void gspan_catalog_probe_now (struct GspanCatalog *catalog, guint64 now);

/* Starts or stops following WHICH. */
void gspan_catalog_want (struct GspanCatalog *catalog, enum GspanFollowed which, bool wanted);

/* Age of what is known of the replicas, in microseconds; G_MAXUINT64 before the first list. */
guint64 gspan_catalog_replicas_age (const struct GspanCatalog *catalog, guint64 now);

/* Age of the last proof that no change of the replicas is unknown, in microseconds; 0 before it. */
guint64 gspan_catalog_proof_age (const struct GspanCatalog *catalog, guint64 now);

/*
 * Lists the replicas, unless they are known as of SINCE. A list that is under way and was asked for
 * before is followed by another one.
 */
void gspan_catalog_want_replicas (struct GspanNode *node, guint64 since);

/* True where a configuration is in force and the replicas are known. */
bool gspan_catalog_known (const struct GspanCatalog *catalog);

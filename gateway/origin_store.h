#pragma once

#include "store/store.h"

struct GspanEvent;
struct GspanNode;
struct GspanOutbox;

/*
 * Origins of streams in the store, for the case that all nodes die at once: a few nodes keep those
 * that they are told of, each in one object under its own name, while a service has several
 * versions. A node whose peers don't know an attempt lists these objects.
 */

#define GSPAN_ORIGIN_STORE_KIND "streams"
#define GSPAN_ORIGIN_STORE_LATE_US (400 * G_TIME_SPAN_MILLISECOND) /* for the store's answer */

struct GspanOriginStore
{
  guint64 call; /* to the store, under way; 0 is none */
  enum GspanStoreOp op;
  guint64 called_at; /* CALL was sent */
  bool write_failed; /* the last write, or the read before it, and none has been done since */
  guint64 next_call_at;
  guint64 may_wait_until; /* changes that may wait are written then; 0 is none */
  bool changed;           /* what this node keeps, since its last write */
  bool own_read;          /* this node's object has been read since the start or the last failure */
  bool may_exist;         /* it may have been written before: it has to be read */
  guint64 revision;       /* of it; 0 is none */
  guint64 write;          /* number of this node's last write; 0 is none */
  guint64 empty_at;       /* it was last seen that this node keeps nothing; 0 is that it does */
  bool wanted;            /* a call waits for a list */
  guint64 listed_at;      /* beginning of the last list that was whole; 0 is none */
  guint64 list_began_at;
  guint64 next_list_at;
  char *after; /* last name of the list's page before; NULL is none */
};

void gspan_origin_store_init (struct GspanOriginStore *store);
void gspan_origin_store_finish (struct GspanOriginStore *store);

/* True where this node is one of the two that keep ATTEMPT. */
bool gspan_origin_store_is_keeper (const struct GspanNode *node, const char *attempt);

/* Names of the two nodes, this one aside, that keep ATTEMPT; how many. They are borrowed. */
guint gspan_origin_store_keepers (const struct GspanNode *node, const char *attempt,
                                  const char **names);

/*
 * True where no record is to be expected soon: the store fails, it has turned the last write away
 * or lost its answer, or a call has had none for 0.4 s.
 */
bool gspan_origin_store_is_late (const struct GspanNode *node);

/* True where all that was kept at SINCE, or five seconds before, has been read. */
bool gspan_origin_store_is_read (const struct GspanNode *node, guint64 since);

/* True where all that was kept at SINCE has been read. */
bool gspan_origin_store_is_read_since (const struct GspanNode *node, guint64 since);

/* Has all that is kept read; SOON, without regard to when that was done last. */
void gspan_origin_store_want (struct GspanNode *node, bool soon);

/* What this node keeps has changed; where that MAY_WAIT, it is written with what comes later. */
void gspan_origin_store_note_change (struct GspanNode *node, bool may_wait);

/* Writes what this node was told to keep, or begins to, if it is due; ticks may be far apart. */
void gspan_origin_store_write_due (struct GspanNode *node, struct GspanOutbox *outbox);

void gspan_origin_store_handle (struct GspanNode *node, const struct GspanEvent *event,
                                struct GspanOutbox *outbox);

#pragma once

#include <jansson.h>

#include "common/str.h"

struct GspanNode;
struct GspanOutbox;

/*
 * Which software version began the streams of desk callers. A caller takes a stream up again at any
 * node and names the attempt that brought its first event; the node that served that may be dead by
 * then. So a node tells some others before it passes a first event on, where a service has several
 * versions, and asks all where it doesn't know an attempt. For the case that all nodes die at once,
 * what is told is also kept in the store.
 */

struct GspanOrigin
{
  char *attempt;
  char *service;
  char *software;
  guint64 noted_at;
  bool began;       /* its first event is being passed on, so that its version is settled */
  bool recorded;    /* the store has it, as it is here, by this node */
  guint64 write;    /* of this node's object, the last that held it; 0 is none */
  guint64 sent_at;  /* the first write that may have put it into the store; 0 is none */
  bool in_doubt;    /* a write that held it, as it is or was, had no answer: it may be done yet */
  guint tell_again; /* 0 for those that others have told */
  GQueue *queue;    /* of the two below; NULL is neither */
  GList *link;      /* in QUEUE */
  bool kept;        /* in the store, by this node (gateway/origin_store.h) */
};

struct GspanStreams
{
  GHashTable *origins; /* attempt to struct GspanOrigin, owns them */
  GQueue order;        /* struct GspanOrigin, oldest first */
  GQueue waiting;      /* of these, those to be told once their service has a second version */
  GQueue telling;      /* of these, those that others have to be told of, the next at the tail */
  guint kept_count;    /* of these, those that this node keeps */
  guint64 next_tell_us;
};

void gspan_streams_init (struct GspanStreams *streams);
void gspan_streams_finish (struct GspanStreams *streams);

/* ATTEMPT is about to get its first event, from a replica of SERVICE with the version SOFTWARE. */
void gspan_streams_note_begin (struct GspanNode *node, const char *attempt, const char *service,
                               const char *software, struct GspanOutbox *outbox);

/*
 * This node goes on with the stream of ATTEMPT, which callers will name again. Whoever knew that it
 * began at SOFTWARE may be dead by the time that SERVICE has a second version.
 */
void gspan_streams_note_resumed (struct GspanNode *node, const char *attempt, const char *service,
                                 const char *software);

/*
 * Has the origin of ATTEMPT, which may be about to begin at a replica of SERVICE with the version
 * SOFTWARE, written to the store by this node. Another version that was given before is forgotten.
 */
void gspan_streams_record (struct GspanNode *node, const char *attempt, const char *service,
                           const char *software);

/* True where the store has SOFTWARE as the version of ATTEMPT. */
bool gspan_streams_is_recorded (const struct GspanStreams *streams, const char *attempt,
                                const char *software);

/*
 * Time at which ATTEMPT's origin was first sent to the store, as it is; 0 is that it wasn't, or
 * that the store has done none of those writes.
 */
guint64 gspan_streams_sent_at (const struct GspanStreams *streams, const char *attempt);

/* Forgets that ATTEMPT was to be recorded. False where the store may have it, now or later. */
bool gspan_streams_withdraw (struct GspanNode *node, const char *attempt);

/* The write WRITE of this node's object, which is about to be sent, holds ORIGIN. */
void gspan_streams_note_sent (const struct GspanNode *node, struct GspanOrigin *origin,
                              guint64 write);

/* The store has done WRITE: it has the origins that this held and that haven't changed since. */
void gspan_streams_note_written (struct GspanStreams *streams, guint64 write);

/* WRITE has failed. The store hasn't done it; where IN_DOUBT it may have, or do so later. */
void gspan_streams_note_not_written (struct GspanStreams *streams, guint64 write, bool in_doubt);

/* The stream of ATTEMPT has been passed on to its end: nobody will take it up. */
void gspan_streams_note_end (struct GspanNode *node, const char *attempt);

/* A version was noted that its service hadn't lately: tells of the streams of before. */
void gspan_streams_note_new_version (struct GspanNode *node, struct GspanOutbox *outbox);

/* Software version that began the stream of ATTEMPT; NULL where it isn't known. */
const char *gspan_streams_find (const struct GspanStreams *streams, const char *attempt);

/* Takes in what the store holds of ATTEMPT; OWN says that this node kept it there. */
void gspan_streams_add_kept (struct GspanNode *node, const char *attempt, const char *service,
                             const char *software, bool own);

/* Asks the other nodes for the origin of ATTEMPT. */
void gspan_streams_ask (struct GspanNode *node, const char *attempt, struct GspanOutbox *outbox);

/* Takes in origins, or a question for one, from another node. */
void gspan_streams_receive (struct GspanNode *node, json_t *message);
void gspan_streams_receive_ask (struct GspanNode *node, json_t *message,
                                struct GspanOutbox *outbox);

/* Tells others again, since datagrams get lost, and forgets old origins. */
void gspan_streams_tick (struct GspanNode *node, struct GspanOutbox *outbox);

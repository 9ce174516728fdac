#pragma once

#include <jansson.h>

#include "store/store.h"

struct GspanEvent;
struct GspanNode;
struct GspanOutbox;

/*
 * The versions that a service has had lately, in the store: one object for each service whose
 * streams may be resumed. It also names the base, the version of all streams whose origin isn't
 * recorded (gateway/origin_records.h): the only one that the service had when the object was
 * written. The base stays until it has had no replica for longer than a stream lasts, and another
 * version is alone; builds before this one leave it out as they write. Nodes that have all died at
 * once read there what served before. One node writes it where the set changes, and tells the
 * others; if it fails to, others do so later.
 */

#define GSPAN_VERSION_HISTORY_KIND "software"

struct GspanVersionHistory
{
  GHashTable *services; /* name to struct Stored, owns them */
  guint64 began_at;     /* this node's first tick; 0 is none so far */
  guint64 call;         /* to the store, under way; 0 is none */
  char *service;        /* that CALL is about */
  GHashTable *writes;   /* versions that CALL writes; NULL where it reads */
  char *writes_base;    /* base that it writes; NULL is none */
  guint64 next_call_at;
  guint64 next_look_at;
};

void gspan_version_history_init (struct GspanVersionHistory *history);
void gspan_version_history_finish (struct GspanVersionHistory *history);

/*
 * True where gspan_versions_lately () holds all that has served SERVICE lately: this node has
 * followed the replicas for long enough without a gap, or has learnt what the store holds since.
 */
bool gspan_version_history_is_known (const struct GspanNode *node, const char *service);

/*
 * The base of SERVICE, borrowed until the next event; NULL where none is to be relied on: it isn't
 * known, has left long ago, or a node of a build before this one, which records nothing, may run.
 */
const char *gspan_version_history_base (const struct GspanNode *node, const char *service);

/* True where the object of SERVICE has been read, without a gap since. */
bool gspan_version_history_is_read (const struct GspanNode *node, const char *service);

/* True where it has been read at SINCE or later, which is no time of the future. */
bool gspan_version_history_is_read_since (const struct GspanNode *node, const char *service,
                                          guint64 since);

/* True where the object of SERVICE, as last read or written, names SOFTWARE as its base. */
bool gspan_version_history_names_base (const struct GspanNode *node, const char *service,
                                       const char *software);

/* A stream waits until the object of SERVICE names a base: has it written without delay. */
void gspan_version_history_need_base (struct GspanNode *node, const char *service);

/* Has the object of SERVICE read. */
void gspan_version_history_want (struct GspanNode *node, const char *service);

/* A version was noted that its service hadn't lately: has it kept without waiting for a tick. */
void gspan_version_history_note_new_version (struct GspanNode *node, struct GspanOutbox *outbox);

/* Takes in what another node has found in the store or has written. */
void gspan_version_history_receive (struct GspanNode *node, json_t *message);

void gspan_version_history_handle (struct GspanNode *node, const struct GspanEvent *event,
                                   struct GspanOutbox *outbox);

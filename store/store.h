#pragma once

#include <jansson.h>

#include "common/str.h"

/*
 * The platform's metadata store as the product sees it: objects by kind and name, each with the
 * revision of its last change. Calls leave as actions, results come back as events; the codec of
 * the wire is platform/objects.h.
 */

enum GspanStoreOp
{
  GSPAN_STORE_GET,
  GSPAN_STORE_LIST,
  GSPAN_STORE_WATCH,
  GSPAN_STORE_CREATE,
  GSPAN_STORE_REPLACE,    /* of the spec */
  GSPAN_STORE_SET_STATUS, /* of the status alone */
  GSPAN_STORE_REMOVE
};

enum GspanStoreResult
{
  GSPAN_STORE_OK,
  GSPAN_STORE_CONFLICT,    /* exists already, or has another revision */
  GSPAN_STORE_MISSING,     /* no such object */
  GSPAN_STORE_GAP,         /* the history from the asked revision on is gone */
  GSPAN_STORE_UNAVAILABLE, /* refused or never sent: this call did nothing and never will */
  GSPAN_STORE_UNKNOWN      /* sent, no answer: may have been done, or may still be */
};

/* One call. KIND and NAME are static or owned by whoever owns the call. */
struct GspanStoreCall
{
  enum GspanStoreOp op;
  char *kind;
  char *name;         /* GET and the writes; for a LIST the name after which to go on, or NULL */
  guint64 revision;   /* WATCH: from where; writes: the expected one, 0 for any */
  guint wait_ms;      /* WATCH: longest wait for an event */
  bool allow_stale;   /* GET, LIST: seconds-old data will do, at a tenth of the price */
  json_t *value;      /* CREATE, REPLACE: the spec; SET_STATUS: the status; else NULL */
  guint64 sent_at_us; /* steady clock; set by the node that sends it */
};

struct GspanStoreObject
{
  char *name;
  guint64 revision;
  bool removed;
  json_t *spec;   /* may be NULL */
  json_t *status; /* may be NULL */
  char *problem;  /* what can't be read of it, and then SPEC and STATUS are NULL; else NULL */
};

struct GspanStoreReply
{
  enum GspanStoreResult result;
  GPtrArray *objects; /* struct GspanStoreObject, owned; for GET and writes at most one */
  guint64 revision;   /* LIST and WATCH: of the store; the next watch begins there */
  bool has_more;      /* LIST: go on after the last name */
  guint send_count;   /* times that the call went out; a write at most once */
};

void gspan_store_call_finish (struct GspanStoreCall *call);
void gspan_store_reply_init (struct GspanStoreReply *reply);
void gspan_store_reply_finish (struct GspanStoreReply *reply);

/* Appends an empty object to REPLY. */
struct GspanStoreObject *gspan_store_reply_add (struct GspanStoreReply *reply);

/* The only object of REPLY; NULL where there is none. */
const struct GspanStoreObject *gspan_store_reply_first (const struct GspanStoreReply *reply);

/* True for calls that change the store. */
bool gspan_store_op_is_write (enum GspanStoreOp op);

/* Name of RESULT in log lines. */
const char *gspan_store_result_name (enum GspanStoreResult result);

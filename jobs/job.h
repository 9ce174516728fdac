#pragma once

#include "board/message.h"
#include "common/error.h"
#include "jobs/document.h"
#include "jobs/groups.h"
#include "jobs/result.h"

/*
 * One batch job. In the store it is an object of GSPAN_JOBS_KIND (its head: who runs it, whether it
 * is ended) and, under a kind of its own, its content in parts and its results in segments. A
 * segment is created only if absent, by a node that has read all before it, so two nodes that both
 * take themselves for the owner can't list an item twice.
 */

#define GSPAN_JOBS_KIND "jobs"

enum GspanItemState
{
  GSPAN_ITEM_WAITING, /* in the job's queue */
  GSPAN_ITEM_RUNNING,
  GSPAN_ITEM_FINISHED, /* its result waits for its place in the list */
  GSPAN_ITEM_LISTED
};

/* Progress of an item at its owner. */
struct GspanItem
{
  const struct GspanJobItem *source;
  enum GspanItemState state;
  struct GspanJobResult *result; /* what has been generated so far; NULL before the first event */
  guint64 last_event;
  guint64 kept_event; /* last one when the job's checkpoint was last written */
  guint failures;     /* answers of 500 */
  guint losses;       /* runs in a row that broke without an event */
  guint64 not_before; /* the next run starts then at the earliest */
};

/* A caller that waits for results. */
struct GspanJobReader
{
  guint64 request;
  guint64 after;
  guint64 arrived;
  guint64 until; /* "nothing yet" is said then, if the store has said so since it arrived */
};

/* A caller that waits for an item's body. */
struct GspanItemReader
{
  guint64 request;
  char *item;
  guint64 until;
};

struct GspanJob
{
  char *id;
  char *kind; /* of its parts and segments */
  char *host;
  char *path;       /* that it was submitted to */
  char *owner;      /* node that runs it; empty where it was handed back */
  guint64 revision; /* of its head */
  guint parts;
  guint total;        /* items */
  gint64 received_ms; /* Unix time of its acceptance */
  bool ended;

  bool loaded;           /* its content is known */
  GPtrArray *part_texts; /* GBytes, while it is read */
  struct GspanJobDocument document;
  struct GspanItem *items;
  GHashTable *index; /* item id to its struct GspanItem */
  struct GspanGroups groups;

  GPtrArray *listed;     /* struct GspanJobResult, by position */
  guint segments;        /* read so far */
  bool read_all;         /* all that was listed at LOOKED_AT */
  guint64 looked_at;     /* the store's word on what is listed came last; 0 is never */
  gint64 looked_wall_ms; /* the same by the wall clock, which goes on while a VM is suspended */
  char *page_after;      /* last name of the page before */
  guint64 fetch_call;
  guint64 fetch_after; /* the next look is not before */

  bool mine;           /* this node runs it */
  GQueue waiting;      /* struct GspanItem */
  GHashTable *prompts; /* group to id of the replica that has its prompt */
  GPtrArray *ready;    /* struct GspanJobResult that wait to be listed */
  guint64 append_call;
  guint64 append_sent; /* APPEND_CALL was sent */
  guint append_count;
  bool append_left;    /* more results were ready than fit into that segment */
  guint groups_listed; /* complete groups when the last segment was written */
  guint64 appended_at; /* that was then */
  guint64 append_after;
  guint64 append_failing_since; /* 0 while it works */
  bool kept;                    /* the store has a checkpoint (jobs/checkpoint.h) */
  json_t *checkpoint;           /* as it was read, until the content is loaded; may be NULL */
  guint64 keep_call;
  guint64 keep_after; /* the next checkpoint is not before */
  bool handing_over;

  GHashTable *askers;    /* owner: name of a node whose callers read it to guint64, until when */
  guint64 asked_news_at; /* reader's node: its owner was asked what is listed */
  guint64 heard_news_at; /* and said so */
  guint news_segments;   /* that its owner has listed */

  GPtrArray *readers;      /* struct GspanJobReader */
  GPtrArray *item_readers; /* struct GspanItemReader */
  guint64 used_at;

  guint64 head_call; /* a change of the head under way */
  guint64 heard_at;  /* its owner said that it runs it */
  guint64 asked_at;
  guint64 told_at;       /* owner: the deputies heard that it runs here */
  bool told_stuck;       /* owner: the deputies heard that it can't list results */
  bool owner_stuck;      /* deputy: its owner said so */
  guint64 checked_at;    /* owner: the head was read */
  guint64 looked_up_at;  /* deputy: the store answered a look at the head */
  guint64 look_up_after; /* deputy: the next look is not before */
  bool known;            /* its head has been read */
  bool let_be;           /* its owner says that it is over: nobody has to take it over */
};

struct GspanJob *gspan_job_new (const char *id);
void gspan_job_free (gpointer job);

/* Drops content and results that this node can read again. */
void gspan_job_unload (struct GspanJob *job);

/* Reads the head's SPEC and STATUS; false with ERROR set where it is none. */
bool gspan_job_read_head (struct GspanJob *job, json_t *spec, json_t *status,
                          struct GspanError *error);

/* The head's spec with OWNER. Released with json_decref (). */
json_t *gspan_job_write_head (const struct GspanJob *job, const char *owner);

/* Takes over BODY as the content; false with ERROR set where it can't be read. */
bool gspan_job_load (struct GspanJob *job, struct GspanStr body, struct GspanError *error);

/* Puts ITEM into STATE and counts the groups that are complete by it. */
void gspan_job_set_state (struct GspanJob *job, struct GspanItem *item, enum GspanItemState state);

/* Takes RESULT, whose ownership it gets, at the next position. */
void gspan_job_list (struct GspanJob *job, struct GspanJobResult *result);

/* The store has just said, to the call that was answered at NOW, what of JOB is listed. */
void gspan_job_looked (struct GspanJob *job, guint64 now, gint64 wall_ms);

/* Drops results that aren't listed; their items wait for another run. */
void gspan_job_drop_ready (struct GspanJob *job);

/* Names of parts and segments: parts come first in order. Released with g_free (). */
char *gspan_job_part_name (guint number);
char *gspan_job_segment_name (guint number);

/* Number of the part or segment NAME; false where it isn't one. */
bool gspan_job_parse_part (const char *name, guint *number);
bool gspan_job_parse_segment (const char *name, guint *number);

/* True where ID can name objects of the store. */
bool gspan_job_id_ok (const char *id);

#pragma once

#include "board/message.h"
#include "common/error.h"
#include "jobs/document.h"
#include "jobs/groups.h"
#include "jobs/result.h"
#include "jobs/reward_plan.h"

/*
 * One batch job, with what this node has cached of it. In the store a job is its head, an object of
 * kind GSPAN_JOBS_KIND that names the owner and says whether the job was ended, and objects of a
 * kind of its own: its content in parts, its results in segments and a checkpoint of its unfinished
 * runs. A result is committed once a segment in the store holds it; its position in the job's
 * result list never changes after that.
 *
 * A segment is created under the next number, only if absent, by a node that has read all segments
 * before it. Two nodes that both consider themselves the owner therefore can't commit an item
 * twice.
 *
 * Times ending in `_us` are microseconds of the node's steady clock, and 0 is never. Fields ending
 * in `_call` hold the id of a store call in flight, and 0 is none.
 */

#define GSPAN_JOBS_KIND "jobs"

enum GspanItemState
{
  GSPAN_ITEM_WAITING, /* queued in waiting_items */
  GSPAN_ITEM_RUNNING,
  GSPAN_ITEM_UNSCORED, /* its text is whole; queued in unscored_items for its reward call */
  GSPAN_ITEM_FINISHED, /* its result is in ready_results, not yet committed */
  GSPAN_ITEM_COMMITTED
};

/* Generation state of an item at the job's owner. */
struct GspanItem
{
  const struct GspanJobItem *submitted;
  enum GspanItemState state;
  struct GspanJobResult *result;  /* generated so far; NULL before the first event */
  guint64 last_event_id;          /* 0 before the first event */
  guint64 closed_after;           /* event after which only a connection's end ended a run */
  guint64 checkpointed_event_id;  /* last_event_id at the last checkpoint, even if it had no room */
  guint server_errors;            /* responses with status 500, at all owners */
  guint checkpointed_errors;      /* failures at the last checkpoint, of runs and reward calls */
  struct GspanRewardState reward; /* of its reward call; counts from the whole text on */
  guint64 resumable_since_us;     /* waits for a replica that takes it since then; 0 doesn't yet */
};

/* A caller that waits for results, by long poll. */
struct GspanJobReader
{
  guint64 request;
  guint64 after; /* position of the first result that the caller wants */
  guint64 arrived_at_us;
  guint64 wait_until_us; /* an empty page is sent then, if the cache was synced since arrival */
};

/* A caller that waits for an item's body. */
struct GspanItemReader
{
  guint64 request;
  char *item_id;
  guint64 deadline_us;
};

struct GspanJob
{
  char *id;
  char *content_kind; /* kind of the job's parts, segments and checkpoint */
  char *host;         /* host and path that the job was submitted to; they select its route */
  char *path;
  char *account; /* client account that submitted it; NULL is none */
  char *owner;   /* name of the node that runs the job; empty after a handover */
  guint64 head_revision;
  guint part_count;
  guint item_count;
  gint64 received_ms;     /* Unix time at which the job was accepted */
  guint64 known_since_us; /* this node has known the job since then */
  bool ended;

  bool content_loaded;   /* document, items, items_by_id and groups are filled */
  GPtrArray *part_texts; /* GBytes of the parts read so far, until the content is loaded */
  struct GspanJobDocument document;
  struct GspanItem *items;
  GHashTable *items_by_id; /* item id to struct GspanItem */
  struct GspanGroups groups;

  /*
   * A node that only serves readers may cache the results from a later position on, and skip the
   * segments before it; the owner has all.
   */
  GPtrArray *committed_results; /* struct GspanJobResult, by position from first_cached on */
  guint first_cached;           /* position of the first one */
  guint cache_restarts;         /* times that the cache was dropped to be read again */
  guint segment_count;          /* number of the next segment to read */
  GArray *segment_starts;       /* owner: guint, position of each segment's first result */
  bool segments_up_to_date;     /* all segments that existed at synced_at_us have been read */
  guint64 synced_at_us;         /* time of the store's state that the cache reflects */
  gint64 synced_wall_ms;        /* synced_at_us by the wall clock, which counts VM suspension */
  char *next_page_after;        /* name that the list's next page starts after; NULL is the first */
  guint64 list_call;
  guint64 next_list_at_us; /* no list call is sent earlier */

  bool is_owner;               /* this node runs the job */
  GQueue waiting_items;        /* struct GspanItem */
  GQueue unscored_items;       /* struct GspanItem: all in that state, also with a call under way */
  GHashTable *prompt_replicas; /* group to id of the replica that its prompt was last sent to */
  GPtrArray *ready_results;    /* struct GspanJobResult, finished but not committed */
  guint64 append_call;
  guint64 append_sent_at_us;
  guint append_result_count; /* results in the segment being appended */
  bool append_was_full;      /* not all ready results fitted into the segment last sent */
  guint groups_committed;    /* complete groups when the last segment was sent */
  guint64 last_append_at_us;
  guint64 next_write_at_us;        /* no segment is appended and no handover tried earlier */
  guint64 append_failing_since_us; /* 0 if the last append succeeded */
  bool has_checkpoint;             /* the store has a checkpoint (jobs/checkpoint.h) */
  guint64 checkpoint_revision;     /* of that; 0 is not known */
  json_t *checkpoint;              /* as read, until the content is loaded; NULL if there is none */
  guint64 checkpoint_call;
  guint64 next_checkpoint_at_us; /* no periodic checkpoint is written earlier */
  bool handing_over;

  GHashTable *subscribers;          /* owner: node name to guint64, end of its subscription */
  guint64 progress_requested_at_us; /* subscriber: last request to the owner */
  guint64 progress_received_at_us;  /* subscriber: last progress notification */
  guint owner_segment_count;        /* subscriber: highest segment count notified */

  GPtrArray *readers;      /* struct GspanJobReader */
  GPtrArray *item_readers; /* struct GspanItemReader */
  guint64 last_active_us;  /* last request of a caller or change of ownership */

  guint64 head_write_call;
  guint handover_tries; /* the owner, for which this node accepted the job, was told so often */
  guint64 handover_next_at_us;   /* when it is told again; 0 where it has answered, or isn't told */
  guint64 owner_heartbeat_at_us; /* last heartbeat of the owner, or last attempt to change it */
  guint64 candidate_since_us;    /* this node is a takeover candidate; 0 if it isn't */
  guint64 heartbeat_requested_at_us; /* other nodes: last request for a heartbeat */
  guint64 heartbeat_sent_at_us;      /* owner: last heartbeat to the takeover candidates */
  bool stuck_reported; /* owner: reported to the candidates that it cannot append segments */
  bool owner_stuck;    /* candidate: the owner reported that it cannot append segments */
  guint64 head_check_sent_at_us; /* owner: last periodic read of the head */
  guint64 head_read_at_us;       /* last reply of the store to a read of the head */
  guint64 next_head_read_at_us;  /* candidate: no read of the head is sent earlier */
  bool head_known;               /* the head has been read */
  bool reported_over; /* the owner reported that the job is over: no takeover is needed */
};

struct GspanJob *gspan_job_new (const char *id);
void gspan_job_free (gpointer job);

/* Drops the cached content and results, which can be read from the store again. */
void gspan_job_unload (struct GspanJob *job);

/*
 * Reads the head's SPEC and STATUS into JOB. Returns false and sets ERROR if SPEC lacks a field or
 * has one of another type.
 */
bool gspan_job_decode_head (struct GspanJob *job, json_t *spec, json_t *status,
                            struct GspanError *error);

/* Returns the spec of JOB's head with OWNER as owner. Release with json_decref (). */
json_t *gspan_job_encode_head (const struct GspanJob *job, const char *owner);

/*
 * Loads BODY as the job's content. Returns false and sets ERROR if it isn't a job; items that fit
 * in no request are abandoned once the job runs.
 */
bool gspan_job_load (struct GspanJob *job, struct GspanStr body, struct GspanError *error);

/*
 * Loads BODY as the content of JOB, a new one that was submitted to HOST and PATH. Returns false
 * and sets ERROR if it isn't a valid job, an item fits in no request, or its head couldn't be
 * written as JSON.
 */
bool gspan_job_load_submission (struct GspanJob *job, struct GspanStr host, struct GspanStr path,
                                struct GspanStr body, struct GspanError *error);

/* True while this node may start requests for the items of JOB. */
bool gspan_job_is_run_here (const struct GspanJob *job);

/* Responses with status 500 to runs and reward calls of ITEM. */
guint gspan_item_error_count (const struct GspanItem *item);

/*
 * Sets the state of ITEM, and updates the counts of finished items by group and the queue of
 * unscored ones.
 */
void gspan_job_set_state (struct GspanJob *job, struct GspanItem *item, enum GspanItemState state);

/* Committed results that are known here, counting those before the first cached one. */
guint gspan_job_committed_count (const struct GspanJob *job);

/* Number of the segment that holds the result at POSITION, or of the last one before it. */
guint gspan_job_segment_of (const struct GspanJob *job, guint64 position);

/* Drops the cached results, so that segments are read from number SEGMENT on. */
void gspan_job_restart_cache (struct GspanJob *job, guint segment);

/* Appends RESULT, of which it takes ownership, to the committed results. */
void gspan_job_commit_result (struct GspanJob *job, struct GspanJobResult *result);

/* Records that the cache reflects the store's state at NOW, which is WALL_MS by the wall clock. */
void gspan_job_set_synced (struct GspanJob *job, guint64 now, gint64 wall_ms);

/* Drops the results that aren't committed and queues their items for another run. */
void gspan_job_discard_ready (struct GspanJob *job);

/* Names of parts and segments; parts sort before segments. Release with g_free (). */
char *gspan_job_part_name (guint number);
char *gspan_job_segment_name (guint number);

/* Reads the number out of the NAME of a part or segment. Returns false if it isn't such a name. */
bool gspan_job_parse_part (const char *name, guint *number);
bool gspan_job_parse_segment (const char *name, guint *number);

/* True if ID may be part of object names: 1 to 64 ASCII letters, digits, hyphens or underscores. */
bool gspan_job_id_is_valid (const char *id);

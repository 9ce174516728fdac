#pragma once

#include "lease/lease.h"
#include "records/record.h"
#include "rollout/cursor.h"
#include "rollout/sample.h"

/* A pull that waits for its batch, which is built on the pull's own cursor. */
struct GspanFeedPull
{
  guint64 call; /* RPC call to answer */
  guint64 weight;
  guint64 give_up_at;
  struct GspanCursor cursor;
};

/* What a new owner knows before the first pull, from the status object that its predecessor left.
 */
enum GspanFeedHint
{
  GSPAN_FEED_HINT_NONE,    /* to be read */
  GSPAN_FEED_HINT_READING, /* a read is under way */
  GSPAN_FEED_HINT_USED,    /* the plan follows it; any pull replaces it */
  GSPAN_FEED_HINT_OVER
};

/* What the owner of one attachment works on. */
struct GspanFeed
{
  char *name;
  struct GspanLease *lease;
  bool cursor_known;         /* a pull under this lease has brought the cursor */
  struct GspanCursor cursor; /* what is planned for: the newest that a pull has brought */
  guint64 weight;            /* version that the trainer named with that cursor, or a higher one */
  char *recipe;       /* what the samples are made from, by the record they were begun under */
  GHashTable *groups; /* number to struct GspanGroup, owns them */
  GArray *pulls;      /* struct GspanFeedPull */
  enum GspanFeedHint hint;
  guint64 hint_ref;
  guint in_flight;     /* samples being generated or scored */
  guint share;         /* of these at most */
  char *behind;        /* cursor of the last pull that was behind the plan; NULL is none */
  guint64 behind_at;   /* when that cursor first came, microseconds */
  guint64 answered_at; /* of the last batch, microseconds; 0 is never */
  guint64 step_us;     /* from an answer to the next pull, smoothed; 0 is not known */
  guint64 sample_us;   /* from start to whole, of the slow samples; 0 is not known */
  guint64 mean_us;     /* from start to whole, of all samples; 0 is not known */
};

struct GspanFeed *gspan_feed_new (const char *name);
void gspan_feed_free (gpointer feed);

/* The group of that NUMBER, created where it is new. */
struct GspanGroup *gspan_feed_group (struct GspanFeed *feed, guint64 number, guint samples);

/* True where SAMPLE, delivered to a trainer at WEIGHT, would be over the staleness bound. */
bool gspan_feed_is_stale (const struct GspanAttachment *attachment,
                          const struct GspanSample *sample, guint64 weight);

/*
 * Body of the batch after the cursor of PULL; NULL where too few groups are whole and fresh. Groups
 * that would be too old for the next batch come first and are waited for, then the oldest whole
 * ones: what is slow to generate is put off, never thrown away for being slow. The groups handed
 * over are marked.
 */
GBytes *gspan_feed_build_batch (struct GspanFeed *feed, const struct GspanAttachment *attachment,
                                const struct GspanFeedPull *pull);

/* Makes the initialised NEXT the cursor that the trainer has if it took all that was handed over.
 */
void gspan_feed_expect (const struct GspanFeed *feed, struct GspanCursor *next);

/* Text that changes when samples made before no longer are what the record asks for. */
char *gspan_feed_recipe (const struct GspanAttachment *attachment);

/* Prompt of a group. Released with g_free (). */
char *gspan_feed_prompt (const struct GspanAttachment *attachment, guint64 group);

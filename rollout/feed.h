#pragma once

#include "platform/lease.h"
#include "records/record.h"
#include "rollout/cursor.h"
#include "rollout/sample.h"

/* A pull that waits for its batch. */
struct GspanFeedPull
{
  guint64 call; /* RPC call to answer */
  guint64 weight;
  guint64 give_up_at;
};

/* What the owner of one attachment works on. */
struct GspanFeed
{
  char *name;
  struct GspanLease *lease;
  bool cursor_known; /* a pull under this lease has brought the cursor */
  struct GspanCursor cursor;
  guint64 weight;     /* highest version that the trainer has named */
  GHashTable *groups; /* number to struct GspanGroup, owns them */
  GArray *pulls;      /* struct GspanFeedPull */
  guint64 batches;    /* handed over by this process */
};

struct GspanFeed *
gspan_feed_new (const char *name);
void
gspan_feed_free (gpointer feed);

/* The group of that NUMBER, created where it is new. */
struct GspanGroup *
gspan_feed_group (struct GspanFeed *feed, guint64 number, guint samples);

/* True where SAMPLE, delivered now, would be over the attachment's staleness bound. */
bool
gspan_feed_is_stale (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
                     const struct GspanSample *sample, guint64 weight);

/*
 * Body of the batch after the feed's cursor for a trainer at WEIGHT, oldest whole groups first;
 * NULL where too few groups are whole and fresh.
 */
GBytes *
gspan_feed_build_batch (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
                        guint64 weight);

/* Groups to work on at once, batch by batch. */
guint64
gspan_feed_window (const struct GspanAttachment *attachment);

/* Prompt of a group. Released with g_free (). */
char *
gspan_feed_prompt (const struct GspanAttachment *attachment, guint64 group);

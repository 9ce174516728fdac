#pragma once

#include "rollout/feed.h"

/*
 * How far ahead of its trainer an attachment is worked on, and on which engines. Staleness depends
 * on the version that an engine runs when a sample starts there, not on the moment; so work for the
 * next batch starts at once on engines that run the trainer's newest version, and on others only
 * when it would be late otherwise. How early that is follows the record's weighting.
 */
struct GspanPlan
{
  guint64 window; /* groups not taken to work on, counted from the oldest */
  bool pulled;    /* a pull waits for its batch */
  bool late;      /* the next pull is nearer than slow samples take */
};

void gspan_plan_init (struct GspanPlan *plan, const struct GspanFeed *feed,
                      const struct GspanAttachment *attachment, guint64 now);

/* Lowest weight version of an engine on which the INDEX-th group may start. */
guint64 gspan_plan_floor (const struct GspanPlan *plan, const struct GspanFeed *feed,
                          const struct GspanAttachment *attachment, guint64 index);

/* True where a sample has run for so long that a second run elsewhere may be faster. */
bool gspan_plan_hedges (const struct GspanPlan *plan, const struct GspanFeed *feed,
                        const struct GspanSample *sample, guint64 now);

/* Groups that a batch may be made of, counted from the oldest not taken. */
guint64 gspan_plan_window (const struct GspanFeed *feed, const struct GspanAttachment *attachment);

/* Takes a sample's time from start to whole into the estimate. */
void gspan_plan_note_sample (struct GspanFeed *feed, guint64 elapsed_us);

/* Takes the time from an answer to the next pull into the estimate. */
void gspan_plan_note_step (struct GspanFeed *feed, guint64 elapsed_us);

#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/*
 * Requests that ran for each client account, by windows of the time of day: window K covers the
 * WINDOW_MS milliseconds from K times that after 1970 on. A node counts its own share of each
 * window; the node that reports usage also takes in the shares of the others. Shares only grow, so
 * that a message that comes twice or late changes nothing.
 */

struct GspanUsage
{
  guint64 window_ms;   /* 0 counts nothing */
  GHashTable *windows; /* number to struct GspanUsageWindow */
};

/* What one start of one node has counted in a window. */
struct GspanUsageShare
{
  char *node;
  guint64 start;      /* of the node, tells its incarnations apart */
  GHashTable *counts; /* account to guint64 */
  bool ended;         /* nothing is added any more, and COUNTS is whole */
  bool untold;        /* own share: has grown since it was told */
  guint64 told_fence; /* own share, ENDED: of the holder that has acknowledged it; 0 is none */
};

struct GspanUsageWindow
{
  guint64 number;
  GPtrArray *shares; /* struct GspanUsageShare */
};

void gspan_usage_init (struct GspanUsage *usage, guint64 window_ms);
void gspan_usage_finish (struct GspanUsage *usage);

/* Number of the window at WALL_MS, Unix milliseconds, and the moment at which NUMBER ends. */
guint64 gspan_usage_window_at (const struct GspanUsage *usage, gint64 wall_ms);
gint64 gspan_usage_end_of (const struct GspanUsage *usage, guint64 number);

/* The share of NODE's START in window NUMBER, which is added where there is none. */
struct GspanUsageShare *gspan_usage_share (struct GspanUsage *usage, guint64 number,
                                           const char *node, guint64 start);

/* Counts a request of ACCOUNT in SHARE. */
void gspan_usage_add (struct GspanUsageShare *share, const char *account);

/*
 * Takes in COUNTS, a JSON object, that NODE's START has told of window NUMBER; smaller counts than
 * known are older ones. ACCOUNTS is how many accounts an ended share has, 0 for one that hasn't
 * ended: it is whole once so many are known. Returns true once the share has ended. What is kept of
 * messages is bounded; beyond that they are ignored.
 */
bool gspan_usage_merge (struct GspanUsage *usage, guint64 number, const char *node, guint64 start,
                        json_t *counts, bool ended, guint accounts);

/* True where a share of NODE in window NUMBER has ended. */
bool gspan_usage_has_ended (const struct GspanUsage *usage, guint64 number, const char *node);

/* Sums of all shares in window NUMBER, by account. Release with json_decref (). */
json_t *gspan_usage_total (const struct GspanUsage *usage, guint64 number);

/* The earliest window that is known; 0 where there is none. */
guint64 gspan_usage_first (const struct GspanUsage *usage);

void gspan_usage_forget_before (struct GspanUsage *usage, guint64 number);

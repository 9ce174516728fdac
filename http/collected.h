#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Answers that are collected until they are whole. Each may have 8 MB; all of a collection together
 * take so much memory as it is given. Beyond that the longest are given up, so that short answers
 * are collected whatever else comes.
 */

struct GspanCollection
{
  GQueue answers; /* struct GspanCollected */
  size_t held;    /* bytes of memory */
  size_t most;    /* of these */
};

/* One answer, in memory that its owner keeps in place. */
struct GspanCollected
{
  struct GspanCollection *collection;
  GList link; /* in COLLECTION */
  GString *bytes;
  bool is_too_long; /* given up; nothing is held of it */
};

void gspan_collection_init (struct GspanCollection *collection, size_t most);

void gspan_collected_init (struct GspanCollected *answer, struct GspanCollection *collection);

/* Forgets what was collected. May be called more than once. */
void gspan_collected_finish (struct GspanCollected *answer);

/* Adds bytes. False if the answer is, or was before, given up as too long. */
bool gspan_collected_add (struct GspanCollected *answer, const char *data, size_t len);

/* What was collected, released by the caller with g_bytes_unref (). ANSWER is finished. */
GBytes *gspan_collected_steal (struct GspanCollected *answer);

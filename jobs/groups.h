#pragma once

#include <glib.h>

#include "jobs/document.h"

/*
 * Counts how many groups of a job's items are complete. A trainer can use a group only once all of
 * its items are done, that is, have a result.
 */

struct GspanJobGroup
{
  guint item_count;
  guint done_count;
};

struct GspanGroups
{
  GArray *groups;        /* struct GspanJobGroup, by group index */
  GArray *group_of_item; /* guint: group index, by the item's index in the document */
  guint complete_count;  /* groups whose items are all done */
};

void gspan_groups_init (struct GspanGroups *groups);
void gspan_groups_finish (struct GspanGroups *groups);

/*
 * Replaces GROUPS by the groups of DOCUMENT, with no item done. Each item without a group is a
 * group by itself.
 */
void gspan_groups_load (struct GspanGroups *groups, const struct GspanJobDocument *document);

/* Items that the group of the item at INDEX lacks to be complete. */
guint gspan_groups_missing_count (const struct GspanGroups *groups, guint index);

/* Counts the item at INDEX of the document as done, or takes that back. */
void gspan_groups_mark_done (struct GspanGroups *groups, guint index);
void gspan_groups_unmark_done (struct GspanGroups *groups, guint index);

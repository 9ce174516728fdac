#pragma once

#include <glib.h>

#include "jobs/document.h"

/* How far the groups of a job's items are: a trainer can use a group once all its items are done.
 */

struct GspanGroup
{
  guint items;
  guint done; /* of them, finished or listed */
};

struct GspanGroups
{
  GArray *groups; /* struct GspanGroup, by index */
  GArray *of;     /* guint: index of the group of each item of the document */
  guint complete; /* groups with all items done */
};

void gspan_groups_init (struct GspanGroups *groups);
void gspan_groups_finish (struct GspanGroups *groups);

/* Begins anew with the items of DOCUMENT, none of them done. An item without a group is its own. */
void gspan_groups_load (struct GspanGroups *groups, const struct GspanJobDocument *document);

/* The item at INDEX of the document is done, or is so no longer. */
void gspan_groups_done (struct GspanGroups *groups, guint index);
void gspan_groups_undone (struct GspanGroups *groups, guint index);

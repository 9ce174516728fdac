#pragma once

#include <glib.h>

/*
 * The objects of one kind that this node has read of the platform's store: which revision of each.
 * Two nodes that know the same objects have the same digest.
 */

struct GspanKnownObjects
{
  GHashTable *revisions; /* name to guint64 */
  guint64 digest;
};

void gspan_known_objects_init (struct GspanKnownObjects *known);
void gspan_known_objects_finish (struct GspanKnownObjects *known);

/* Notes that the object NAME was read at REVISION. */
void gspan_known_objects_set (struct GspanKnownObjects *known, const char *name, guint64 revision);

/* Notes that there is no object NAME any more. */
void gspan_known_objects_remove (struct GspanKnownObjects *known, const char *name);

/* Revision at which the object NAME was read; 0 where there is none. */
guint64 gspan_known_objects_revision (const struct GspanKnownObjects *known, const char *name);

/* Names of all objects, as a list of borrowed strings that the caller frees. */
GList *gspan_known_objects_names (const struct GspanKnownObjects *known);

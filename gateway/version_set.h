#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* Sets of software versions: hash tables of strings that own them. */

/* Released with g_hash_table_unref (). */
GHashTable *gspan_version_set_new (void);

bool gspan_version_set_equal (GHashTable *one, GHashTable *other);

/* The MOST versions of SET that come first by name. Takes SET over; the caller owns the result. */
GHashTable *gspan_version_set_keep_first (GHashTable *set, guint most);

/* SET as a list of strings in no order; the caller owns it. */
json_t *gspan_version_set_encode (GHashTable *set);

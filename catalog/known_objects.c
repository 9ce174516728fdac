#include "catalog/known_objects.h"

#include <string.h>
#include <xxhash.h>

void
gspan_known_objects_init (struct GspanKnownObjects *known)
{
  known->revisions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  known->digest = 0;
}

void
gspan_known_objects_finish (struct GspanKnownObjects *known)
{
  g_hash_table_unref (known->revisions);
}

/* Of one object; the digest of several is the sum, so that their order doesn't matter. */
static guint64
digest_of (const char *name, guint64 revision)
{
  return XXH64 (name, strlen (name), revision);
}

void
gspan_known_objects_set (struct GspanKnownObjects *known, const char *name, guint64 revision)
{
  guint64 *copy = g_new (guint64, 1);

  gspan_known_objects_remove (known, name);
  *copy = revision;
  g_hash_table_insert (known->revisions, g_strdup (name), copy);
  known->digest += digest_of (name, revision);
}

void
gspan_known_objects_remove (struct GspanKnownObjects *known, const char *name)
{
  const guint64 *revision = g_hash_table_lookup (known->revisions, name);

  if (revision == NULL)
    return;
  known->digest -= digest_of (name, *revision);
  g_hash_table_remove (known->revisions, name);
}

guint64
gspan_known_objects_revision (const struct GspanKnownObjects *known, const char *name)
{
  const guint64 *revision = g_hash_table_lookup (known->revisions, name);

  return revision != NULL ? *revision : 0;
}

GList *
gspan_known_objects_names (const struct GspanKnownObjects *known)
{
  return g_hash_table_get_keys (known->revisions);
}

#include "gateway/versions.h"

#include <string.h>

#include "gateway/version_set.h"
#include "node/node.h"

void
gspan_versions_init (struct GspanVersions *versions)
{
  versions->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gspan_versions_finish (struct GspanVersions *versions)
{
  g_hash_table_unref (versions->seen);
}

static bool
is_lately (const struct GspanNode *node, guint64 named_at)
{
  return named_at + GSPAN_VERSIONS_LATELY_US >= node->now;
}

void
gspan_versions_note (struct GspanNode *node, const char *service, const char *software)
{
  char *key = g_strdup_printf ("%s\n%s", service, software);
  const guint64 *named_at = g_hash_table_lookup (node->versions.seen, key);

  if (named_at == NULL || !is_lately (node, *named_at))
    node->versions.has_new = true;
  g_hash_table_replace (node->versions.seen, key, g_memdup2 (&node->now, sizeof node->now));
}

void
gspan_versions_note_earlier (struct GspanNode *node, const char *service, const char *software)
{
  char *key = g_strdup_printf ("%s\n%s", service, software);

  if (!g_hash_table_contains (node->versions.seen, key))
    gspan_versions_note (node, service, software);
  g_free (key);
}

/* The version in KEY where that is one of SERVICE; else NULL. */
static const char *
version_in (const char *key, const char *service)
{
  size_t len = strlen (service);

  return strncmp (key, service, len) == 0 && key[len] == '\n' ? key + len + 1 : NULL;
}

/*
 * Calls EACH for the versions of SERVICE, some more than once, until it returns false. Those of
 * registered replicas count however long ago their entries changed.
 */
static void
visit (const struct GspanNode *node, const char *service,
       bool (*each) (const char *software, void *user), void *user)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;

      if (strcmp (replica->service, service) == 0 && !each (replica->software, user))
        return;
    }
  g_hash_table_iter_init (&iter, node->versions.seen);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const char *software = version_in (key, service);

      if (software != NULL && is_lately (node, *(const guint64 *)value) && !each (software, user))
        return;
    }
}

struct Difference
{
  const char *first;
  bool found; /* a version that differs from FIRST */
};

struct Search
{
  const char *software;
  bool found;
};

static bool
compare (const char *software, void *user)
{
  struct Difference *difference = user;

  if (difference->first == NULL)
    difference->first = software;
  difference->found = strcmp (difference->first, software) != 0;
  return !difference->found;
}

bool
gspan_versions_is_mixed (const struct GspanNode *node, const char *service)
{
  struct Difference difference = { 0 };

  visit (node, service, compare, &difference);
  return difference.found;
}

static bool
find (const char *software, void *user)
{
  struct Search *search = user;

  search->found = strcmp (search->software, software) == 0;
  return !search->found;
}

bool
gspan_versions_has_lately (const struct GspanNode *node, const char *service, const char *software)
{
  struct Search search = { software, false };

  visit (node, service, find, &search);
  return search.found;
}

static bool
add_to_set (const char *software, void *user)
{
  GHashTable *set = user;

  if (!g_hash_table_contains (set, software))
    g_hash_table_add (set, g_strdup (software));
  return true;
}

GHashTable *
gspan_versions_lately (const struct GspanNode *node, const char *service)
{
  GHashTable *set = gspan_version_set_new ();

  visit (node, service, add_to_set, set);
  return set;
}

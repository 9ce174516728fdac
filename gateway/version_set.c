#include "gateway/version_set.h"

#include <string.h>

GHashTable *
gspan_version_set_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

bool
gspan_version_set_equal (GHashTable *one, GHashTable *other)
{
  GHashTableIter iter;
  gpointer key;

  if (g_hash_table_size (one) != g_hash_table_size (other))
    return false;
  g_hash_table_iter_init (&iter, one);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (!g_hash_table_contains (other, key))
        return false;
    }
  return true;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

GHashTable *
gspan_version_set_keep_first (GHashTable *set, guint most)
{
  GHashTable *kept;
  GList *names;

  if (g_hash_table_size (set) <= most)
    return set;
  kept = gspan_version_set_new ();
  names = g_list_sort (g_hash_table_get_keys (set), compare_names);
  for (GList *item = names; g_hash_table_size (kept) < most; item = item->next)
    g_hash_table_add (kept, g_strdup (item->data));
  g_list_free (names);
  g_hash_table_unref (set);
  return kept;
}

json_t *
gspan_version_set_encode (GHashTable *set)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    json_array_append_new (list, json_string (key));
  return list;
}

#include "jobs/groups.h"

void
gspan_groups_init (struct GspanGroups *groups)
{
  groups->groups = g_array_new (FALSE, TRUE, sizeof (struct GspanJobGroup));
  groups->group_of_item = g_array_new (FALSE, TRUE, sizeof (guint));
  groups->complete_count = 0;
}

void
gspan_groups_finish (struct GspanGroups *groups)
{
  g_array_unref (groups->groups);
  g_array_unref (groups->group_of_item);
}

static guint
add_group (struct GspanGroups *groups)
{
  struct GspanJobGroup group = { 0 };

  g_array_append_val (groups->groups, group);
  return groups->groups->len - 1;
}

void
gspan_groups_load (struct GspanGroups *groups, const struct GspanJobDocument *document)
{
  GHashTable *by_name = g_hash_table_new (g_str_hash, g_str_equal);

  g_array_set_size (groups->groups, 0);
  g_array_set_size (groups->group_of_item, 0);
  groups->complete_count = 0;
  for (guint i = 0; i < document->items->len; i++)
    {
      const struct GspanJobItem *item = g_ptr_array_index (document->items, i);
      gpointer known;
      guint index;

      if (item->group[0] == '\0')
        index = add_group (groups);
      else if (g_hash_table_lookup_extended (by_name, item->group, NULL, &known))
        index = GPOINTER_TO_UINT (known);
      else
        {
          index = add_group (groups);
          g_hash_table_insert (by_name, item->group, GUINT_TO_POINTER (index));
        }
      g_array_append_val (groups->group_of_item, index);
      g_array_index (groups->groups, struct GspanJobGroup, index).item_count++;
    }
  g_hash_table_unref (by_name);
}

static struct GspanJobGroup *
find_group (const struct GspanGroups *groups, guint item)
{
  return &g_array_index (groups->groups, struct GspanJobGroup,
                         g_array_index (groups->group_of_item, guint, item));
}

guint
gspan_groups_missing_count (const struct GspanGroups *groups, guint index)
{
  const struct GspanJobGroup *group = find_group (groups, index);

  return group->item_count - group->done_count;
}

void
gspan_groups_mark_done (struct GspanGroups *groups, guint index)
{
  struct GspanJobGroup *group = find_group (groups, index);

  group->done_count++;
  if (group->done_count == group->item_count)
    groups->complete_count++;
}

void
gspan_groups_unmark_done (struct GspanGroups *groups, guint index)
{
  struct GspanJobGroup *group = find_group (groups, index);

  if (group->done_count == group->item_count)
    groups->complete_count--;
  group->done_count--;
}

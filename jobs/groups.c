#include "jobs/groups.h"

void
gspan_groups_init (struct GspanGroups *groups)
{
  groups->groups = g_array_new (FALSE, TRUE, sizeof (struct GspanGroup));
  groups->of = g_array_new (FALSE, TRUE, sizeof (guint));
  groups->complete = 0;
}

void
gspan_groups_finish (struct GspanGroups *groups)
{
  g_array_unref (groups->groups);
  g_array_unref (groups->of);
}

static guint
add_group (struct GspanGroups *groups)
{
  struct GspanGroup group = { 0 };

  g_array_append_val (groups->groups, group);
  return groups->groups->len - 1;
}

void
gspan_groups_load (struct GspanGroups *groups, const struct GspanJobDocument *document)
{
  GHashTable *by_name = g_hash_table_new (g_str_hash, g_str_equal);

  g_array_set_size (groups->groups, 0);
  g_array_set_size (groups->of, 0);
  groups->complete = 0;
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
      g_array_append_val (groups->of, index);
      g_array_index (groups->groups, struct GspanGroup, index).items++;
    }
  g_hash_table_unref (by_name);
}

static struct GspanGroup *
group_of (struct GspanGroups *groups, guint item)
{
  return &g_array_index (groups->groups, struct GspanGroup,
                         g_array_index (groups->of, guint, item));
}

void
gspan_groups_done (struct GspanGroups *groups, guint index)
{
  struct GspanGroup *group = group_of (groups, index);

  group->done++;
  if (group->done == group->items)
    groups->complete++;
}

void
gspan_groups_undone (struct GspanGroups *groups, guint index)
{
  struct GspanGroup *group = group_of (groups, index);

  if (group->done == group->items)
    groups->complete--;
  group->done--;
}

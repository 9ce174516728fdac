#include "duties/usage.h"

#include <string.h>

enum
{
  WINDOWS_MAX = 64,   /* that are known at once; others' messages add no more */
  STARTS_MAX = 8,     /* of one node in a window, likewise */
  ACCOUNTS_MAX = 1024 /* in a share, likewise */
};

static void
share_free (gpointer data)
{
  struct GspanUsageShare *share = data;

  g_free (share->node);
  g_hash_table_unref (share->counts);
  g_free (share);
}

static void
window_free (gpointer data)
{
  struct GspanUsageWindow *window = data;

  g_ptr_array_unref (window->shares);
  g_free (window);
}

void
gspan_usage_init (struct GspanUsage *usage, guint64 window_ms)
{
  usage->window_ms = window_ms;
  usage->windows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, window_free);
}

void
gspan_usage_finish (struct GspanUsage *usage)
{
  g_hash_table_unref (usage->windows);
}

guint64
gspan_usage_window_at (const struct GspanUsage *usage, gint64 wall_ms)
{
  return (guint64)MAX (0, wall_ms) / usage->window_ms;
}

gint64
gspan_usage_end_of (const struct GspanUsage *usage, guint64 number)
{
  return (gint64)((number + 1) * usage->window_ms);
}

static struct GspanUsageWindow *
find_window (const struct GspanUsage *usage, guint64 number)
{
  return g_hash_table_lookup (usage->windows, &number);
}

static struct GspanUsageWindow *
add_window (struct GspanUsage *usage, guint64 number)
{
  struct GspanUsageWindow *window = find_window (usage, number);

  if (window != NULL)
    return window;
  window = g_new0 (struct GspanUsageWindow, 1);
  window->number = number;
  window->shares = g_ptr_array_new_with_free_func (share_free);
  g_hash_table_insert (usage->windows, &window->number, window);
  return window;
}

static struct GspanUsageShare *
find_share (const struct GspanUsageWindow *window, const char *node, guint64 start)
{
  for (guint i = 0; window != NULL && i < window->shares->len; i++)
    {
      struct GspanUsageShare *share = g_ptr_array_index (window->shares, i);

      if (share->start == start && strcmp (share->node, node) == 0)
        return share;
    }
  return NULL;
}

struct GspanUsageShare *
gspan_usage_share (struct GspanUsage *usage, guint64 number, const char *node, guint64 start)
{
  struct GspanUsageWindow *window = add_window (usage, number);
  struct GspanUsageShare *share = find_share (window, node, start);

  if (share != NULL)
    return share;
  share = g_new0 (struct GspanUsageShare, 1);
  share->node = g_strdup (node);
  share->start = start;
  share->counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (window->shares, share);
  return share;
}

static guint64
count_of (const struct GspanUsageShare *share, const char *account)
{
  const guint64 *count = g_hash_table_lookup (share->counts, account);

  return count != NULL ? *count : 0;
}

static void
set_count (struct GspanUsageShare *share, const char *account, guint64 count)
{
  g_hash_table_replace (share->counts, g_strdup (account), g_memdup2 (&count, sizeof count));
}

void
gspan_usage_add (struct GspanUsageShare *share, const char *account)
{
  set_count (share, account, count_of (share, account) + 1);
  share->untold = true;
}

static guint
count_starts (const struct GspanUsageWindow *window, const char *node)
{
  guint count = 0;

  for (guint i = 0; window != NULL && i < window->shares->len; i++)
    {
      const struct GspanUsageShare *share = g_ptr_array_index (window->shares, i);

      count += strcmp (share->node, node) == 0;
    }
  return count;
}

/* True where a message of NODE's START may add what it takes to know its share of NUMBER. */
static bool
may_add_share (const struct GspanUsage *usage, guint64 number, const char *node, guint64 start)
{
  const struct GspanUsageWindow *window = find_window (usage, number);

  if (window == NULL)
    return g_hash_table_size (usage->windows) < WINDOWS_MAX;
  return find_share (window, node, start) != NULL || count_starts (window, node) < STARTS_MAX;
}

/* Takes in that ACCOUNT had COUNT requests, unless more are known. */
static void
raise_count (struct GspanUsageShare *share, const char *account, json_int_t count)
{
  guint64 known = count_of (share, account);

  if (count <= 0 || (guint64)count <= known
      || (known == 0 && g_hash_table_size (share->counts) >= ACCOUNTS_MAX))
    return;
  set_count (share, account, (guint64)count);
}

bool
gspan_usage_merge (struct GspanUsage *usage, guint64 number, const char *node, guint64 start,
                   json_t *counts, bool ended, guint accounts)
{
  struct GspanUsageShare *share;
  const char *account;
  json_t *value;

  if (!may_add_share (usage, number, node, start))
    return false;
  share = gspan_usage_share (usage, number, node, start);
  json_object_foreach (counts, account, value)
      raise_count (share, account, json_integer_value (value));
  share->ended = share->ended || (ended && g_hash_table_size (share->counts) >= accounts);
  return share->ended;
}

bool
gspan_usage_has_ended (const struct GspanUsage *usage, guint64 number, const char *node)
{
  const struct GspanUsageWindow *window = find_window (usage, number);

  for (guint i = 0; window != NULL && i < window->shares->len; i++)
    {
      const struct GspanUsageShare *share = g_ptr_array_index (window->shares, i);

      if (share->ended && strcmp (share->node, node) == 0)
        return true;
    }
  return false;
}

json_t *
gspan_usage_total (const struct GspanUsage *usage, guint64 number)
{
  const struct GspanUsageWindow *window = find_window (usage, number);
  json_t *total = json_object ();
  GHashTableIter iter;
  gpointer account;
  gpointer count;

  for (guint i = 0; window != NULL && i < window->shares->len; i++)
    {
      const struct GspanUsageShare *share = g_ptr_array_index (window->shares, i);

      g_hash_table_iter_init (&iter, share->counts);
      while (g_hash_table_iter_next (&iter, &account, &count))
        {
          json_int_t before = json_integer_value (json_object_get (total, account));

          json_object_set_new (total, account,
                               json_integer (before + (json_int_t) * (const guint64 *)count));
        }
    }
  return total;
}

guint64
gspan_usage_first (const struct GspanUsage *usage)
{
  guint64 first = 0;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, usage->windows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      guint64 number = *(const guint64 *)key;

      first = first == 0 ? number : MIN (first, number);
    }
  return first;
}

void
gspan_usage_forget_before (struct GspanUsage *usage, guint64 number)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, usage->windows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (*(const guint64 *)key < number)
        g_hash_table_iter_remove (&iter);
    }
}

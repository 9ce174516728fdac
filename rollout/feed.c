#include "rollout/feed.h"

struct GspanFeed *
gspan_feed_new (const char *name)
{
  struct GspanFeed *feed = g_new0 (struct GspanFeed, 1);

  feed->name = g_strdup (name);
  gspan_cursor_init (&feed->cursor);
  feed->groups = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, gspan_group_free);
  feed->pulls = g_array_new (FALSE, FALSE, sizeof (struct GspanFeedPull));
  return feed;
}

void
gspan_feed_free (gpointer data)
{
  struct GspanFeed *feed = data;

  g_free (feed->name);
  gspan_cursor_finish (&feed->cursor);
  g_hash_table_unref (feed->groups);
  g_array_unref (feed->pulls);
  g_free (feed);
}

struct GspanGroup *
gspan_feed_group (struct GspanFeed *feed, guint64 number, guint samples)
{
  struct GspanGroup *group = g_hash_table_lookup (feed->groups, &number);

  if (group != NULL)
    return group;
  group = gspan_group_new (number, samples);
  g_hash_table_insert (feed->groups, &group->number, group);
  return group;
}

bool
gspan_feed_is_stale (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
                     const struct GspanSample *sample, guint64 weight)
{
  (void)feed;
  return sample->oldest + attachment->staleness_bound < weight;
}

guint64
gspan_feed_window (const struct GspanAttachment *attachment)
{
  return attachment->batch_groups * (attachment->staleness_bound > 0 ? 2 : 1);
}

char *
gspan_feed_prompt (const struct GspanAttachment *attachment, guint64 group)
{
  return g_strdup_printf ("%s %" G_GUINT64_FORMAT, attachment->prompt, group);
}

static bool
is_deliverable (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
                const struct GspanGroup *group, guint64 weight)
{
  if (!gspan_group_is_whole (group) || group->count != attachment->group_samples)
    return false;
  for (guint i = 0; i < group->count; i++)
    {
      if (gspan_feed_is_stale (feed, attachment, &group->samples[i], weight))
        return false;
    }
  return true;
}

static GArray *
choose_groups (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
               guint64 weight)
{
  GArray *chosen = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint64 window = gspan_feed_window (attachment) + feed->cursor.deferred->len;

  for (guint64 i = 0; i < window && chosen->len < attachment->batch_groups; i++)
    {
      guint64 number = gspan_cursor_nth (&feed->cursor, i);
      const struct GspanGroup *group = g_hash_table_lookup (feed->groups, &number);

      if (group != NULL && is_deliverable (feed, attachment, group, weight))
        g_array_append_val (chosen, number);
    }
  return chosen;
}

static json_t *
describe_groups (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
                 const GArray *chosen)
{
  json_t *samples = json_array ();

  for (guint i = 0; i < chosen->len; i++)
    {
      const struct GspanGroup *group
          = g_hash_table_lookup (feed->groups, &g_array_index (chosen, guint64, i));
      char *prompt = gspan_feed_prompt (attachment, group->number);

      for (guint k = 0; k < group->count; k++)
        json_array_append_new (samples, gspan_sample_describe (&group->samples[k], feed->name,
                                                               group->number, k, prompt));
      g_free (prompt);
    }
  return samples;
}

GBytes *
gspan_feed_build_batch (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
                        guint64 weight)
{
  GArray *chosen = choose_groups (feed, attachment, weight);
  struct GspanCursor next;
  GBytes *bytes = NULL;

  if (chosen->len == attachment->batch_groups)
    {
      char *cursor;
      char *text;
      json_t *body;

      gspan_cursor_init (&next);
      gspan_cursor_advance (&feed->cursor, chosen, &next);
      cursor = gspan_cursor_format (&next, feed->name);
      body = json_pack ("{s:s, s:I, s:s, s:o}", "attachment", feed->name, "batch",
                        (json_int_t)next.batch, "cursor", cursor, "samples",
                        describe_groups (feed, attachment, chosen));
      text = json_dumps (body, JSON_COMPACT);
      bytes = g_bytes_new_with_free_func (text, strlen (text), free, text);
      json_decref (body);
      g_free (cursor);
      gspan_cursor_finish (&next);
    }
  g_array_unref (chosen);
  return bytes;
}

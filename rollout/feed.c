#include "rollout/feed.h"

#include "rollout/fault.h"
#include "rollout/plan.h"

enum
{
  FAILURES_TO_PUT_OFF = 4
};

static void
pull_clear (gpointer data)
{
  struct GspanFeedPull *pull = data;

  gspan_cursor_finish (&pull->cursor);
}

struct GspanFeed *
gspan_feed_new (const char *name)
{
  struct GspanFeed *feed = g_new0 (struct GspanFeed, 1);

  feed->name = g_strdup (name);
  gspan_cursor_init (&feed->cursor);
  feed->groups = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, gspan_group_free);
  feed->pulls = g_array_new (FALSE, FALSE, sizeof (struct GspanFeedPull));
  g_array_set_clear_func (feed->pulls, pull_clear);
  return feed;
}

void
gspan_feed_free (gpointer data)
{
  struct GspanFeed *feed = data;

  g_free (feed->name);
  g_free (feed->recipe);
  g_free (feed->behind);
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
gspan_feed_is_stale (const struct GspanAttachment *attachment, const struct GspanSample *sample,
                     guint64 weight)
{
  return sample->oldest + attachment->staleness_bound < weight;
}

char *
gspan_feed_recipe (const struct GspanAttachment *attachment)
{
  return g_strdup_printf ("%s\n%s\n%s\n%" G_GUINT64_FORMAT "\n%" G_GUINT64_FORMAT, attachment->pool,
                          attachment->scorer, attachment->prompt, attachment->group_samples,
                          attachment->max_tokens);
}

char *
gspan_feed_prompt (const struct GspanAttachment *attachment, guint64 group)
{
  return g_strdup_printf ("%s %" G_GUINT64_FORMAT, attachment->prompt, group);
}

static bool
is_deliverable (const struct GspanAttachment *attachment, const struct GspanGroup *group,
                guint64 weight)
{
  if (!gspan_group_is_whole (group) && !GSPAN_SEEDED_FAULT (GSPAN_FAULT_PARTIAL_GROUP))
    return false;
  for (guint i = 0; i < group->count; i++)
    {
      if (gspan_feed_is_stale (attachment, &group->samples[i], weight)
          && !GSPAN_SEEDED_FAULT (GSPAN_FAULT_SKIP_STALENESS)
          && group->samples[i].state == GSPAN_SAMPLE_WHOLE)
        return false;
    }
  return true;
}

static bool
keeps_failing (const struct GspanGroup *group)
{
  for (guint i = 0; i < group->count; i++)
    {
      if (group->samples[i].failures >= FAILURES_TO_PUT_OFF)
        return true;
    }
  return false;
}

/*
 * True where GROUP can go into a batch at WEIGHT but would be too old for the one after it. One
 * that keeps failing, perhaps since it crashes what runs it, is not waited for.
 */
static bool
is_last_chance (const struct GspanAttachment *attachment, const struct GspanGroup *group,
                guint64 weight)
{
  guint64 oldest = gspan_group_oldest (group);

  return !attachment->fixed_ahead && oldest != 0 && oldest + attachment->staleness_bound == weight
         && !keeps_failing (group);
}

/* Adds to CHOSEN the groups of the window that are at their last chance, or those that are not. */
static bool
choose_groups (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
               const struct GspanCursor *cursor, guint64 weight, bool last_chance, GArray *chosen)
{
  guint64 window = gspan_plan_window (feed, attachment);

  for (guint64 i = 0; i < window && chosen->len < attachment->batch_groups; i++)
    {
      guint64 number = gspan_cursor_nth (cursor, i);
      const struct GspanGroup *group = g_hash_table_lookup (feed->groups, &number);

      if (group == NULL || is_last_chance (attachment, group, weight) != last_chance)
        continue;
      if (is_deliverable (attachment, group, weight))
        g_array_append_val (chosen, number);
      else if (last_chance)
        return false;
    }
  return true;
}

static gint
compare_numbers (gconstpointer a, gconstpointer b)
{
  guint64 x = *(const guint64 *)a;
  guint64 y = *(const guint64 *)b;

  return x < y ? -1 : x > y;
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
        {
          if (GSPAN_SEEDED_FAULT (GSPAN_FAULT_PARTIAL_GROUP)
              && group->samples[k].state != GSPAN_SAMPLE_WHOLE)
            continue;
          json_array_append_new (samples, gspan_sample_describe (&group->samples[k], feed->name,
                                                                 group->number, k, prompt));
        }
      g_free (prompt);
    }
  return samples;
}

static void
forget_deferred (struct GspanCursor *next)
{
  if (GSPAN_SEEDED_FAULT (GSPAN_FAULT_DROP_DEFERRED))
    g_array_set_size (next->deferred, 0);
}

static GBytes *
describe_batch (const struct GspanFeed *feed, const struct GspanAttachment *attachment,
                const struct GspanCursor *cursor, const GArray *chosen)
{
  struct GspanCursor next;
  char *before = gspan_cursor_format (cursor, feed->name);
  char *after;
  char *text;
  json_t *body;

  gspan_cursor_init (&next);
  gspan_cursor_advance (cursor, chosen, &next);
  forget_deferred (&next);
  after = gspan_cursor_format (&next, feed->name);
  body = json_pack ("{s:s, s:I, s:s, s:s, s:o}", "attachment", feed->name, "batch",
                    (json_int_t)next.batch, "after", before, "cursor", after, "samples",
                    describe_groups (feed, attachment, chosen));
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  g_free (before);
  g_free (after);
  gspan_cursor_finish (&next);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}

static void
mark_handed (const struct GspanFeed *feed, const GArray *chosen)
{
  for (guint i = 0; i < chosen->len; i++)
    {
      struct GspanGroup *group
          = g_hash_table_lookup (feed->groups, &g_array_index (chosen, guint64, i));

      group->handed = true;
    }
}

GBytes *
gspan_feed_build_batch (struct GspanFeed *feed, const struct GspanAttachment *attachment,
                        const struct GspanFeedPull *pull)
{
  const struct GspanCursor *cursor
      = GSPAN_SEEDED_FAULT (GSPAN_FAULT_SHARED_CURSOR) ? &feed->cursor : &pull->cursor;
  GArray *chosen = g_array_new (FALSE, FALSE, sizeof (guint64));
  GBytes *bytes = NULL;

  if (choose_groups (feed, attachment, cursor, pull->weight, true, chosen)
      && choose_groups (feed, attachment, cursor, pull->weight, false, chosen)
      && chosen->len == attachment->batch_groups)
    {
      g_array_sort (chosen, compare_numbers);
      bytes = describe_batch (feed, attachment, cursor, chosen);
      mark_handed (feed, chosen);
    }
  g_array_unref (chosen);
  return bytes;
}

void
gspan_feed_expect (const struct GspanFeed *feed, struct GspanCursor *next)
{
  GArray *handed = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanGroup *group = value;

      if (group->handed && gspan_cursor_wants (&feed->cursor, group->number))
        g_array_append_val (handed, group->number);
    }
  g_array_sort (handed, compare_numbers);
  if (handed->len > 0)
    gspan_cursor_advance (&feed->cursor, handed, next);
  else
    gspan_cursor_copy (&feed->cursor, next);
  g_array_unref (handed);
}

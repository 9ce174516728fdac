#include "rollout/sample.h"

#include "common/clock.h"
#include "rollout/fault.h"

enum
{
  BACKOFF_DOUBLINGS = 6,
  LOSS_DOUBLINGS = 9
};

#define BACKOFF_MIN_US (50 * GSPAN_MS)
#define LOSS_BACKOFF_MIN_US (1 * GSPAN_SECOND)

struct GspanGroup *
gspan_group_new (guint64 number, guint count)
{
  struct GspanGroup *group = g_new0 (struct GspanGroup, 1);

  group->number = number;
  group->count = count;
  group->samples = g_new0 (struct GspanSample, count);
  for (guint i = 0; i < count; i++)
    group->samples[i].segments = g_array_new (FALSE, FALSE, sizeof (struct GspanSegment));
  return group;
}

void
gspan_group_free (gpointer data)
{
  struct GspanGroup *group = data;

  for (guint i = 0; i < group->count; i++)
    {
      g_free (group->samples[i].text);
      g_array_unref (group->samples[i].segments);
    }
  g_free (group->samples);
  g_free (group);
}

bool
gspan_group_is_whole (const struct GspanGroup *group)
{
  for (guint i = 0; i < group->count; i++)
    {
      if (group->samples[i].state != GSPAN_SAMPLE_WHOLE)
        return false;
    }
  return true;
}

guint64
gspan_group_oldest (const struct GspanGroup *group)
{
  guint64 oldest = 0;

  for (guint i = 0; i < group->count; i++)
    {
      const struct GspanSample *sample = &group->samples[i];
      guint64 weight = sample->oldest != 0 ? sample->oldest : sample->foreseen;

      if (sample->state == GSPAN_SAMPLE_WAITING || weight == 0)
        continue;
      oldest = oldest == 0 ? weight : MIN (oldest, weight);
    }
  return oldest;
}

void
gspan_sample_reset (struct GspanSample *sample)
{
  sample->state = GSPAN_SAMPLE_WAITING;
  sample->exchange = 0;
  sample->hedge = 0;
  sample->foreseen = 0;
  sample->oldest = 0;
  g_clear_pointer (&sample->text, g_free);
  g_array_set_size (sample->segments, 0);
}

void
gspan_sample_fail (struct GspanSample *sample, bool lost, guint64 now)
{
  sample->failures++;
  sample->losses += lost;
  sample->retry_at = now + (BACKOFF_MIN_US << MIN (sample->failures, BACKOFF_DOUBLINGS));
  if (lost && sample->losses > 1)
    sample->retry_at = now + (LOSS_BACKOFF_MIN_US << MIN (sample->losses, LOSS_DOUBLINGS));
}

void
gspan_sample_succeed (struct GspanSample *sample)
{
  sample->failures = 0;
  sample->losses = 0;
}

static bool
take_segment (const struct GspanSample *sample, json_t *item, struct GspanSegment *segment)
{
  json_t *weight = json_object_get (item, "version");
  json_t *tokens = json_object_get (item, "tokens");

  if (!json_is_integer (tokens) || json_integer_value (tokens) <= 0)
    return false;
  segment->tokens = (guint64)json_integer_value (tokens);
  segment->weight = (guint64)json_integer_value (weight);
  if (json_is_integer (weight) && json_integer_value (weight) > 0)
    return true;
  segment->weight = sample->foreseen;
  return GSPAN_SEEDED_FAULT (GSPAN_FAULT_TAKE_UNCERTAIN);
}

static guint64
older_of (const struct GspanSample *sample, guint64 weight)
{
  if (sample->oldest == 0)
    return weight;
  if (GSPAN_SEEDED_FAULT (GSPAN_FAULT_COUNT_FROM_NEWEST))
    return MAX (sample->oldest, weight);
  return MIN (sample->oldest, weight);
}

static bool
take_segments (struct GspanSample *sample, json_t *list, json_t *total, struct GspanError *error)
{
  guint64 tokens = 0;
  json_t *item;
  size_t index;

  if (json_array_size (list) == 0)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "weight_segments: missing or empty");
  json_array_foreach (list, index, item)
  {
    struct GspanSegment segment = { 0 };

    if (!take_segment (sample, item, &segment))
      return gspan_error_set (error, GSPAN_ERROR_INPUT, "weight_segments[%zu]: not certain", index);
    if (GSPAN_SEEDED_FAULT (GSPAN_FAULT_LABEL_BY_BELIEF))
      segment.weight = sample->foreseen;
    tokens += segment.tokens;
    sample->oldest = older_of (sample, segment.weight);
    g_array_append_val (sample->segments, segment);
  }
  if (json_is_integer (total) && (guint64)json_integer_value (total) != tokens)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "weight_segments: tokens unaccounted for");
  return true;
}

static bool
take_root (struct GspanSample *sample, json_t *root, struct GspanError *error)
{
  json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  json_t *text = json_object_get (choice, "text");
  json_t *reason = json_object_get (choice, "finish_reason");
  json_t *total = json_object_get (json_object_get (root, "usage"), "completion_tokens");

  if (!json_is_string (text))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "choices[0].text: missing or no string");
  if (!json_is_string (reason))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "choices[0].finish_reason: not finished");
  if (!take_segments (sample, json_object_get (root, "weight_segments"), total, error))
    return false;
  sample->text = g_strdup (json_string_value (text));
  return true;
}

bool
gspan_sample_take_answer (struct GspanSample *sample, struct GspanStr body,
                          struct GspanError *error)
{
  json_t *root = json_loadb (body.data != NULL ? body.data : "", body.len, 0, NULL);
  bool ok;

  if (root == NULL)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "the answer is no JSON");
  ok = take_root (sample, root, error);
  json_decref (root);
  return ok;
}

bool
gspan_sample_take_score (struct GspanSample *sample, struct GspanStr body, struct GspanError *error)
{
  json_t *root = json_loadb (body.data != NULL ? body.data : "", body.len, 0, NULL);
  json_t *reward = json_object_get (root, "reward");
  bool ok = json_is_number (reward);

  if (ok)
    sample->reward = json_number_value (reward);
  else
    gspan_error_set (error, GSPAN_ERROR_INPUT, "reward: missing or no number");
  json_decref (root);
  return ok;
}

json_t *
gspan_sample_describe (const struct GspanSample *sample, const char *attachment, guint64 group,
                       guint index, const char *prompt)
{
  json_t *segments = json_array ();
  char *id = g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%u", attachment, group, index);
  json_t *value;

  for (guint i = 0; i < sample->segments->len; i++)
    {
      struct GspanSegment *segment = &g_array_index (sample->segments, struct GspanSegment, i);

      json_array_append_new (segments,
                             json_pack ("{s:I, s:I}", "version", (json_int_t)segment->weight,
                                        "tokens", (json_int_t)segment->tokens));
    }
  value = json_pack ("{s:s, s:I, s:i, s:s, s:s, s:f, s:o}", "id", id, "group", (json_int_t)group,
                     "index", (int)index, "prompt", prompt, "text", sample->text, "reward",
                     sample->reward, "segments", segments);
  g_free (id);
  return value;
}

#include "jobs/result.h"

struct GspanJobResult *
gspan_job_result_new (const char *item_id)
{
  struct GspanJobResult *result = g_new0 (struct GspanJobResult, 1);

  result->item_id = g_strdup (item_id);
  result->text = g_string_new (NULL);
  result->weight_versions = g_array_new (FALSE, FALSE, sizeof (guint64));
  return result;
}

void
gspan_job_result_free (gpointer data)
{
  struct GspanJobResult *result = data;

  g_free (result->item_id);
  g_free (result->software);
  g_free (result->score);
  g_string_free (result->text, TRUE);
  g_array_unref (result->weight_versions);
  g_free (result);
}

void
gspan_job_result_add_version (struct GspanJobResult *result, guint64 weight_version)
{
  for (guint i = 0; i < result->weight_versions->len; i++)
    {
      guint64 known = g_array_index (result->weight_versions, guint64, i);

      if (known == weight_version)
        return;
      if (known > weight_version)
        {
          g_array_insert_val (result->weight_versions, i, weight_version);
          return;
        }
    }
  g_array_append_val (result->weight_versions, weight_version);
}

json_t *
gspan_job_result_encode (const struct GspanJobResult *result)
{
  json_t *versions = json_array ();

  for (guint i = 0; i < result->weight_versions->len; i++)
    json_array_append_new (
        versions, json_integer ((json_int_t)g_array_index (result->weight_versions, guint64, i)));
  return json_pack ("{s:s, s:b, s:s%, s:o, s:s*}", "item", result->item_id, "completed",
                    (int)result->completed, "text", result->text->str, result->text->len,
                    "versions", versions, "score", result->score);
}

struct GspanJobResult *
gspan_job_result_decode (json_t *value)
{
  const char *item_id = json_string_value (json_object_get (value, "item"));
  json_t *text = json_object_get (value, "text");
  struct GspanJobResult *result;
  json_t *version;
  size_t index;

  if (item_id == NULL || !json_is_string (text))
    return NULL;
  result = gspan_job_result_new (item_id);
  result->completed = json_is_true (json_object_get (value, "completed"));
  result->score = g_strdup (json_string_value (json_object_get (value, "score")));
  g_string_append_len (result->text, json_string_value (text), (gssize)json_string_length (text));
  json_array_foreach (json_object_get (value, "versions"), index, version)
      gspan_job_result_add_version (result, (guint64)json_integer_value (version));
  return result;
}

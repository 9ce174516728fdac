#include "records/record.h"

#include <string.h>

#include "records/convert.h"

enum FieldType
{
  FIELD_TEXT,
  FIELD_NUMBER,
  FIELD_FLAG
};

/* One field of a record in the newest schema. */
struct Field
{
  const char *key;
  enum FieldType type;
  bool required;
  guint64 min;
  guint64 max;
  guint64 fallback;
  size_t offset;
};

#define IN_POOL(name) offsetof (struct GspanRecord, u.pool.name)
#define IN_ATTACHMENT(name) offsetof (struct GspanRecord, u.attachment.name)
#define IN_ROUTE(name) offsetof (struct GspanRecord, u.route.name)
#define IN_UPSTREAM(name) offsetof (struct GspanRecord, u.upstream.name)

static const struct Field common_fields[]
    = { { "firm", FIELD_TEXT, true, 0, 0, 0, offsetof (struct GspanRecord, firm) },
        { "shared_with", FIELD_TEXT, false, 0, 0, 0, offsetof (struct GspanRecord, shared_with) },
        { "paused", FIELD_FLAG, false, 0, 1, 0, offsetof (struct GspanRecord, paused) } };

static const struct Field pool_fields[]
    = { { "service", FIELD_TEXT, true, 0, 0, 0, IN_POOL (service) },
        { "model", FIELD_TEXT, true, 0, 0, 0, IN_POOL (model) },
        { "max_out", FIELD_NUMBER, false, 1, 10000, 2, IN_POOL (max_out) } };

static const struct Field attachment_fields[]
    = { { "pool", FIELD_TEXT, true, 0, 0, 0, IN_ATTACHMENT (pool) },
        { "scorer", FIELD_TEXT, true, 0, 0, 0, IN_ATTACHMENT (scorer) },
        { "prompt", FIELD_TEXT, true, 0, 0, 0, IN_ATTACHMENT (prompt) },
        { "batch_groups", FIELD_NUMBER, true, 1, 4096, 0, IN_ATTACHMENT (batch_groups) },
        { "group_samples", FIELD_NUMBER, true, 1, 256, 0, IN_ATTACHMENT (group_samples) },
        { "staleness_bound", FIELD_NUMBER, true, 0, 1000, 0, IN_ATTACHMENT (staleness_bound) },
        { "max_tokens", FIELD_NUMBER, false, 1, 1048576, 256, IN_ATTACHMENT (max_tokens) },
        { "ahead_batches", FIELD_NUMBER, false, 0, 16, 2, IN_ATTACHMENT (ahead_batches) },
        { "fixed_ahead", FIELD_FLAG, false, 0, 1, 0, IN_ATTACHMENT (fixed_ahead) },
        { "idle_weight", FIELD_NUMBER, false, 0, 100, 50, IN_ATTACHMENT (idle_weight) },
        { "staleness_weight", FIELD_NUMBER, false, 0, 100, 50, IN_ATTACHMENT (staleness_weight) } };

static const struct Field route_fields[]
    = { { "service", FIELD_TEXT, true, 0, 0, 0, IN_ROUTE (service) },
        { "completions", FIELD_FLAG, false, 0, 1, 0, IN_ROUTE (completions) },
        { "idempotent", FIELD_FLAG, false, 0, 1, 0, IN_ROUTE (idempotent) },
        { "timeout_us", FIELD_NUMBER, false, 1000, 3600000000, 30000000, IN_ROUTE (timeout_us) } };

static const struct Field upstream_fields[]
    = { { "checks_fence", FIELD_FLAG, false, 0, 1, 0, IN_UPSTREAM (checks_fence) },
        { "refusal_is_safe", FIELD_FLAG, false, 0, 1, 0, IN_UPSTREAM (refusal_is_safe) } };

struct KindFields
{
  const char *name;
  const struct Field *fields;
  size_t count;
};

static const struct KindFields kinds[GSPAN_RECORD_KINDS]
    = { { "pool", pool_fields, G_N_ELEMENTS (pool_fields) },
        { "attachment", attachment_fields, G_N_ELEMENTS (attachment_fields) },
        { "route", route_fields, G_N_ELEMENTS (route_fields) },
        { "upstream", upstream_fields, G_N_ELEMENTS (upstream_fields) } };

const char *
gspan_record_kind_name (enum GspanRecordKind kind)
{
  return kinds[kind].name;
}

bool
gspan_record_kind_parse (struct GspanStr text, enum GspanRecordKind *kind)
{
  for (int i = 0; i < GSPAN_RECORD_KINDS; i++)
    {
      if (!gspan_str_equal (text, gspan_str_from (kinds[i].name)))
        continue;
      *kind = (enum GspanRecordKind)i;
      return true;
    }
  return false;
}

static bool
has_field (const struct Field *fields, size_t count, const char *key)
{
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (fields[i].key, key) == 0)
        return true;
    }
  return false;
}

bool
gspan_record_has_field (enum GspanRecordKind kind, const char *key)
{
  return has_field (common_fields, G_N_ELEMENTS (common_fields), key)
         || has_field (kinds[kind].fields, kinds[kind].count, key);
}

bool
gspan_record_serves (const struct GspanRecord *record, const char *firm)
{
  char **others;
  bool serves;

  if (record == NULL || firm == NULL || strcmp (record->firm, firm) == 0)
    return record != NULL;
  if (record->shared_with == NULL)
    return false;
  others = g_strsplit (record->shared_with, " ", -1);
  serves = g_strv_contains ((const char *const *)others, firm);
  g_strfreev (others);
  return serves;
}

static void
read_number (const struct Field *field, json_t *value, guint64 *out, const char *file,
             struct GspanFindings *findings)
{
  if (!json_is_integer (value))
    gspan_findings_add (findings, file, 0, 0, field->key, "wrong type, allowed is an integer");
  else if (json_integer_value (value) < (json_int_t)field->min
           || json_integer_value (value) > (json_int_t)field->max)
    gspan_findings_add (findings, file, 0, 0, field->key,
                        "%" JSON_INTEGER_FORMAT " is out of range, allowed is %" G_GUINT64_FORMAT
                        " to %" G_GUINT64_FORMAT,
                        json_integer_value (value), field->min, field->max);
  else
    *out = (guint64)json_integer_value (value);
}

static void
read_field (struct GspanRecord *record, const struct Field *field, json_t *value, const char *file,
            struct GspanFindings *findings)
{
  void *out = (char *)record + field->offset;

  switch (field->type)
    {
    case FIELD_TEXT:
      if (json_is_string (value) && json_string_length (value) > 0)
        *(char **)out = g_strdup (json_string_value (value));
      else
        gspan_findings_add (findings, file, 0, 0, field->key,
                            "wrong type, allowed is a string of one byte or more");
      break;
    case FIELD_NUMBER:
      read_number (field, value, out, file, findings);
      break;
    case FIELD_FLAG:
      if (json_is_boolean (value))
        *(bool *)out = json_is_true (value);
      else
        gspan_findings_add (findings, file, 0, 0, field->key,
                            "wrong type, allowed is true or false");
      break;
    }
}

static void
read_fields (struct GspanRecord *record, const struct Field *fields, size_t count, json_t *value,
             const char *file, struct GspanFindings *findings)
{
  for (size_t i = 0; i < count; i++)
    {
      json_t *item = json_object_get (value, fields[i].key);

      if (item != NULL)
        read_field (record, &fields[i], item, file, findings);
      else if (fields[i].required)
        gspan_findings_add (findings, file, 0, 0, fields[i].key, "missing, required");
      else if (fields[i].type == FIELD_NUMBER)
        *(guint64 *)(void *)((char *)record + fields[i].offset) = fields[i].fallback;
    }
}

static void
free_texts (struct GspanRecord *record, const struct Field *fields, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (fields[i].type == FIELD_TEXT)
        g_free (*(char **)(void *)((char *)record + fields[i].offset));
    }
}

static bool
is_found (const struct GspanFindings *findings, guint first, const char *key)
{
  for (guint i = first; i < gspan_findings_count (findings); i++)
    {
      if (strcmp (gspan_findings_get (findings, i)->key, key) == 0)
        return true;
    }
  return false;
}

/*
 * Adds the findings about version 2 fields under the names that the record's writer knows, but for
 * fields that have a finding of their conversion, from FIRST on.
 */
static void
add_findings (const struct GspanFindings *found, const struct GspanRecord *record, guint first,
              const char *file, struct GspanFindings *findings)
{
  int schema = gspan_record_schema (record->raw);
  guint last = gspan_findings_count (findings);

  for (guint i = 0; i < gspan_findings_count (found); i++)
    {
      const struct GspanFinding *finding = gspan_findings_get (found, i);
      const char *name = gspan_record_field_name (record->kind, finding->key, schema);

      if (last > first && is_found (findings, first, name))
        continue;
      if (strcmp (name, finding->key) == 0)
        gspan_findings_add (findings, file, 0, 0, name, "%s", finding->text);
      else
        gspan_findings_add (findings, file, 0, 0, name, "as %s: %s", finding->key, finding->text);
    }
}

bool
gspan_record_init (struct GspanRecord *record, enum GspanRecordKind kind, const char *name,
                   guint64 version, json_t *value, const char *file, struct GspanFindings *findings)
{
  const struct KindFields *fields = &kinds[kind];
  guint before = gspan_findings_count (findings);
  struct GspanFindings found;
  json_t *newest;

  memset (record, 0, sizeof *record);
  record->kind = kind;
  record->name = g_strdup (name);
  record->version = version;
  record->raw = json_incref (value);
  newest = gspan_record_raise (kind, value, file, findings);
  gspan_findings_init (&found);
  read_fields (record, common_fields, G_N_ELEMENTS (common_fields), newest, file, &found);
  read_fields (record, fields->fields, fields->count, newest, file, &found);
  add_findings (&found, record, before, file, findings);
  gspan_findings_finish (&found);
  json_decref (newest);
  if (gspan_findings_count (findings) == before)
    return true;
  gspan_record_finish (record);
  return false;
}

void
gspan_record_finish (struct GspanRecord *record)
{
  free_texts (record, common_fields, G_N_ELEMENTS (common_fields));
  free_texts (record, kinds[record->kind].fields, kinds[record->kind].count);
  g_free (record->name);
  json_decref (record->raw);
  memset (record, 0, sizeof *record);
}

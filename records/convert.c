#include "records/convert.h"

#include <string.h>

enum ValueType
{
  VALUE_TEXT,
  VALUE_NUMBER,
  VALUE_FLAG
};

enum
{
  PAIR_MAX = 2,
  US_PER_MS = 1000
};

enum RuleKind
{
  RULE_SCALED, /* one number under another name, and FACTOR times as large in version 2 */
  RULE_PAIRS   /* one text "KEY:VALUE,KEY:VALUE" for two fields */
};

struct Rule
{
  enum RuleKind kind;
  const char *old_key;
  const char *keys[PAIR_MAX]; /* of version 2 */
  enum ValueType type;
  json_int_t factor;
  const char *form;
};

static const struct Rule pool_rules[]
    = { { RULE_PAIRS, "target", { "service", "model" }, VALUE_TEXT, 1, "\"service:S,model:M\"" },
        { RULE_SCALED, "max_unavailable", { "max_out" }, VALUE_NUMBER, 1, "an integer" } };

static const struct Rule attachment_rules[]
    = { { RULE_PAIRS,
          "weighting",
          { "idle_weight", "staleness_weight" },
          VALUE_NUMBER,
          1,
          "\"idle_weight:N,staleness_weight:N\"" },
        { RULE_SCALED, "max_staleness", { "staleness_bound" }, VALUE_NUMBER, 1, "an integer" } };

static const struct Rule route_rules[]
    = { { RULE_PAIRS,
          "calls",
          { "completions", "idempotent" },
          VALUE_FLAG,
          1,
          "\"completions:B,idempotent:B\", B being true or false" },
        { RULE_SCALED, "timeout_ms", { "timeout_us" }, VALUE_NUMBER, US_PER_MS, "an integer" } };

struct KindRules
{
  const struct Rule *rules;
  size_t count;
};

static const struct KindRules all_rules[GSPAN_RECORD_KINDS]
    = { { pool_rules, G_N_ELEMENTS (pool_rules) },
        { attachment_rules, G_N_ELEMENTS (attachment_rules) },
        { route_rules, G_N_ELEMENTS (route_rules) },
        { NULL, 0 } };

int
gspan_record_schema (const json_t *value)
{
  json_t *schema = json_object_get (value, "schema");

  if (!json_is_integer (schema) || json_integer_value (schema) < GSPAN_SCHEMA_MIN
      || json_integer_value (schema) > GSPAN_SCHEMA_MAX)
    return 0;
  return (int)json_integer_value (schema);
}

static const struct Rule *
find_rule (enum GspanRecordKind kind, const char *key)
{
  for (size_t i = 0; i < all_rules[kind].count; i++)
    {
      const struct Rule *rule = &all_rules[kind].rules[i];

      for (int k = 0; k < PAIR_MAX && rule->keys[k] != NULL; k++)
        {
          if (strcmp (rule->keys[k], key) == 0)
            return rule;
        }
    }
  return NULL;
}

const char *
gspan_record_field_name (enum GspanRecordKind kind, const char *key, int schema)
{
  const struct Rule *rule = schema == GSPAN_SCHEMA_MIN ? find_rule (kind, key) : NULL;

  return rule != NULL ? rule->old_key : key;
}

/* The fields of RULE that RECORD of version 2 has. */
static json_t *
pick (const struct Rule *rule, const json_t *record)
{
  json_t *picked = json_object ();

  for (int k = 0; k < PAIR_MAX && rule->keys[k] != NULL; k++)
    {
      json_t *value = json_object_get (record, rule->keys[k]);

      if (value != NULL)
        json_object_set (picked, rule->keys[k], value);
    }
  return picked;
}

static bool
append_pair (GString *text, const char *key, enum ValueType type, const json_t *value)
{
  g_string_append_printf (text, "%s%s:", text->len > 0 ? "," : "", key);
  switch (type)
    {
    case VALUE_TEXT:
      g_string_append (text, json_is_string (value) ? json_string_value (value) : "");
      return json_is_string (value);
    case VALUE_NUMBER:
      g_string_append_printf (text, "%" JSON_INTEGER_FORMAT, json_integer_value (value));
      return json_is_integer (value);
    case VALUE_FLAG:
      g_string_append (text, json_is_true (value) ? "true" : "false");
      return json_is_boolean (value);
    }
  return false;
}

/* The version 1 field for the version 2 fields PICKED; NULL where one has the wrong type. */
static json_t *
join (const struct Rule *rule, const json_t *picked)
{
  json_t *first = json_object_get (picked, rule->keys[0]);
  bool ok = true;
  json_t *joined;
  GString *text;

  if (rule->kind == RULE_SCALED)
    return json_is_integer (first) ? json_integer (json_integer_value (first) / rule->factor)
                                   : NULL;
  text = g_string_new (NULL);
  for (int k = 0; k < PAIR_MAX; k++)
    {
      json_t *value = json_object_get (picked, rule->keys[k]);

      if (value != NULL)
        ok = append_pair (text, rule->keys[k], rule->type, value) && ok;
    }
  joined = ok ? json_stringn (text->str, text->len) : NULL;
  g_string_free (text, TRUE);
  return joined;
}

static json_t *
parse_value (enum ValueType type, const char *text)
{
  guint64 number;

  switch (type)
    {
    case VALUE_TEXT:
      return text[0] != '\0' ? json_string (text) : NULL;
    case VALUE_NUMBER:
      if (!gspan_str_to_u64 (gspan_str_from (text), &number) || number > G_MAXINT64
          || (text[0] == '0' && text[1] != '\0'))
        return NULL;
      return json_integer ((json_int_t)number);
    case VALUE_FLAG:
      if (strcmp (text, "true") != 0 && strcmp (text, "false") != 0)
        return NULL;
      return json_boolean (strcmp (text, "true") == 0);
    }
  return NULL;
}

/* Adds the field that PART states. Only the fields' own order is taken: one text, one meaning. */
static bool
split_part (const struct Rule *rule, const char *part, int *next, json_t *fields)
{
  for (; *next < PAIR_MAX; (*next)++)
    {
      const char *key = rule->keys[*next];
      json_t *value;

      if (!g_str_has_prefix (part, key) || part[strlen (key)] != ':')
        continue;
      value = parse_value (rule->type, part + strlen (key) + 1);
      if (value == NULL)
        return false;
      json_object_set_new (fields, key, value);
      (*next)++;
      return true;
    }
  return false;
}

static bool
split_pairs (const struct Rule *rule, const json_t *old, json_t *fields)
{
  char **parts;
  int next = 0;
  bool ok = true;

  if (!json_is_string (old) || json_string_length (old) == 0)
    return false;
  parts = g_strsplit (json_string_value (old), ",", -1);
  for (guint i = 0; ok && parts[i] != NULL; i++)
    ok = split_part (rule, parts[i], &next, fields);
  g_strfreev (parts);
  return ok;
}

/* The version 2 fields for the version 1 field OLD; NULL where it has the wrong form. */
static json_t *
split (const struct Rule *rule, const json_t *old)
{
  json_t *fields = json_object ();
  json_int_t number = json_integer_value (old);
  bool ok;

  if (rule->kind == RULE_PAIRS)
    ok = split_pairs (rule, old, fields);
  else
    {
      ok = json_is_integer (old) && number <= G_MAXINT64 / rule->factor
           && number >= G_MININT64 / rule->factor;
      if (ok)
        json_object_set_new (fields, rule->keys[0], json_integer (number * rule->factor));
    }
  if (ok)
    return fields;
  json_decref (fields);
  return NULL;
}

/* The exact fields that travelled along, where OLD is still what they were written as. */
static json_t *
restore (const struct Rule *rule, const json_t *record, const json_t *old)
{
  json_t *picked = pick (rule, json_object_get (record, GSPAN_RECORD_NEWER));
  json_t *joined = join (rule, picked);
  bool same = json_object_size (picked) > 0 && joined != NULL && json_equal (joined, old);

  json_decref (joined);
  if (same)
    return picked;
  json_decref (picked);
  return NULL;
}

static void
refuse_foreign (const json_t *value, const char *key, const char *own, int schema, const char *file,
                struct GspanFindings *findings)
{
  if (json_object_get (value, key) != NULL)
    gspan_findings_add (findings, file, 0, 0, key, "no field of schema %d, which has %s", schema,
                        own);
}

static void
raise_rule (const struct Rule *rule, json_t *value, json_t *out, const char *file,
            struct GspanFindings *findings)
{
  json_t *old = json_object_get (value, rule->old_key);
  json_t *fields;

  for (int k = 0; k < PAIR_MAX && rule->keys[k] != NULL; k++)
    refuse_foreign (value, rule->keys[k], rule->old_key, GSPAN_SCHEMA_MIN, file, findings);
  if (old == NULL)
    return;
  fields = restore (rule, value, old);
  if (fields == NULL)
    fields = split (rule, old);
  if (fields == NULL)
    {
      gspan_findings_add (findings, file, 0, 0, rule->old_key, "wrong form, allowed is %s",
                          rule->form);
      return;
    }
  json_object_del (out, rule->old_key);
  json_object_update (out, fields);
  json_decref (fields);
}

/* Keeps PICKED aside where JOINED does not say exactly the same. */
static void
keep_exact (const struct Rule *rule, json_t *picked, const json_t *joined, json_t *newer)
{
  json_t *again = split (rule, joined);

  if (again == NULL || !json_equal (again, picked))
    json_object_update (newer, picked);
  json_decref (again);
}

static void
lower_rule (const struct Rule *rule, json_t *value, json_t *out, json_t *newer, const char *file,
            struct GspanFindings *findings)
{
  json_t *picked = pick (rule, value);
  json_t *joined = join (rule, picked);

  refuse_foreign (value, rule->old_key, rule->keys[0], GSPAN_SCHEMA_MAX, file, findings);
  if (json_object_size (picked) > 0 && joined == NULL)
    gspan_findings_add (findings, file, 0, 0, rule->keys[0], "wrong type");
  else if (json_object_size (picked) > 0)
    {
      for (int k = 0; k < PAIR_MAX && rule->keys[k] != NULL; k++)
        json_object_del (out, rule->keys[k]);
      json_object_set (out, rule->old_key, joined);
      keep_exact (rule, picked, joined, newer);
    }
  json_decref (joined);
  json_decref (picked);
}

static void
convert_rules (enum GspanRecordKind kind, json_t *value, int to, json_t *out, const char *file,
               struct GspanFindings *findings)
{
  json_t *newer = json_object ();

  for (size_t i = 0; i < all_rules[kind].count; i++)
    {
      if (to == GSPAN_SCHEMA_MAX)
        raise_rule (&all_rules[kind].rules[i], value, out, file, findings);
      else
        lower_rule (&all_rules[kind].rules[i], value, out, newer, file, findings);
    }
  if (to == GSPAN_SCHEMA_MAX)
    json_object_del (out, GSPAN_RECORD_NEWER);
  else
    refuse_foreign (value, GSPAN_RECORD_NEWER, "no need of it", GSPAN_SCHEMA_MAX, file, findings);
  if (json_object_size (newer) > 0)
    json_object_set (out, GSPAN_RECORD_NEWER, newer);
  json_decref (newer);
}

static json_t *
convert (enum GspanRecordKind kind, json_t *value, int to, const char *file,
         struct GspanFindings *findings)
{
  int from = gspan_record_schema (value);
  json_t *out;

  if (from == 0)
    gspan_findings_add (findings, file, 0, 0, "schema", "unknown, allowed is %d to %d",
                        GSPAN_SCHEMA_MIN, GSPAN_SCHEMA_MAX);
  if (from == to || from == 0)
    return json_incref (value);
  out = json_copy (value);
  json_object_set_new (out, "schema", json_integer (to));
  convert_rules (kind, value, to, out, file, findings);
  return out;
}

json_t *
gspan_record_convert (enum GspanRecordKind kind, json_t *value, int to, const char *file,
                      struct GspanFindings *findings)
{
  guint before = gspan_findings_count (findings);
  json_t *out = convert (kind, value, to, file, findings);

  if (gspan_findings_count (findings) == before)
    return out;
  json_decref (out);
  return NULL;
}

json_t *
gspan_record_raise (enum GspanRecordKind kind, json_t *value, const char *file,
                    struct GspanFindings *findings)
{
  return convert (kind, value, GSPAN_SCHEMA_MAX, file, findings);
}

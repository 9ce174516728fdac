#include "settings/options.h"

#include <string.h>

#include "common/address.h"
#include "settings/toml.h"

enum
{
  KEY_LEN_MAX = 64,
  NAME_LEN_MAX = 64
};

static void *
field (const struct GspanOption *option, void *target)
{
  return (char *)target + option->offset;
}

static bool
is_text (const struct GspanOption *option)
{
  return option->type <= GSPAN_OPTION_CHOICE;
}

static bool
choice_ok (const struct GspanOption *option, const char *text)
{
  char **choices = g_strsplit (option->choices, " ", -1);
  bool ok = g_strv_contains ((const char *const *)choices, text);

  g_strfreev (choices);
  return ok;
}

/* Names go into log lines, paths and header lines as they are. */
static bool
name_ok (const char *text)
{
  size_t len = strlen (text);

  for (size_t i = 0; i < len; i++)
    {
      if (!g_ascii_isalnum (text[i]) && strchr ("._-", text[i]) == NULL)
        return false;
    }
  return len > 0 && len <= NAME_LEN_MAX;
}

/* What is wrong with TEXT as a value of OPTION; NULL where nothing is. */
static char *
fault_of_text (const struct GspanOption *option, const char *text)
{
  struct sockaddr_in address;

  if (option->type == GSPAN_OPTION_ADDRESS && !gspan_address_parse (text, &address))
    return g_strdup_printf ("\"%s\" is no address, allowed is \"IP:PORT\"", text);
  if (option->type == GSPAN_OPTION_CHOICE && !choice_ok (option, text))
    return g_strdup_printf ("\"%s\" is unknown, allowed is one of: %s", text, option->choices);
  if (option->type == GSPAN_OPTION_NAME && !name_ok (text))
    return g_strdup_printf ("\"%s\" is no name, allowed are letters, digits, \".\", \"_\" and "
                            "\"-\", at most %d",
                            text, NAME_LEN_MAX);
  if (option->type == GSPAN_OPTION_NETWORKS && !gspan_networks_parse (text, NULL))
    return g_strdup_printf ("\"%s\" is no list of networks, allowed is \"IP/BITS IP/BITS\"", text);
  if (text[0] == '\0')
    return g_strdup ("is empty, allowed is a string of one byte or more");
  return NULL;
}

static void
set_text (const struct GspanOption *option, const struct GspanTomlValue *value, const char *file,
          void *target, struct GspanFindings *findings)
{
  char **text = field (option, target);
  char *fault;

  if (value->type != GSPAN_TOML_STRING)
    {
      gspan_findings_add (findings, file, value->line, value->column, option->key,
                          "wrong type, is %s, allowed is a string", value->type_name);
      return;
    }
  fault = fault_of_text (option, value->text);
  if (fault != NULL)
    gspan_findings_add (findings, file, value->line, value->column, option->key, "%s", fault);
  else
    {
      g_free (*text);
      *text = g_strdup (value->text);
    }
  g_free (fault);
}

static void
set_number (const struct GspanOption *option, const struct GspanTomlValue *value, const char *file,
            void *target, struct GspanFindings *findings)
{
  gint64 *number = field (option, target);
  bool boolean = option->type == GSPAN_OPTION_BOOLEAN;
  const char *unit = option->unit != NULL ? option->unit : "";

  if (value->type != (boolean ? GSPAN_TOML_BOOLEAN : GSPAN_TOML_INTEGER))
    gspan_findings_add (findings, file, value->line, value->column, option->key,
                        "wrong type, is %s, allowed is %s", value->type_name,
                        boolean ? "true or false" : "an integer");
  else if (!boolean && (value->number < option->min || value->number > option->max))
    gspan_findings_add (findings, file, value->line, value->column, option->key,
                        "%" G_GINT64_FORMAT " is out of range, allowed is %" G_GINT64_FORMAT
                        " to %" G_GINT64_FORMAT "%s%s",
                        value->number, option->min, option->max, *unit != '\0' ? " " : "", unit);
  else
    *number = value->number;
}

static void
set_fraction (const struct GspanOption *option, const struct GspanTomlValue *value,
              const char *file, void *target, struct GspanFindings *findings)
{
  double *number = field (option, target);

  if (value->type != GSPAN_TOML_INTEGER && value->type != GSPAN_TOML_FLOAT)
    gspan_findings_add (findings, file, value->line, value->column, option->key,
                        "wrong type, is %s, allowed is a number", value->type_name);
  else if (!(value->real >= (double)option->min && value->real <= (double)option->max))
    gspan_findings_add (
        findings, file, value->line, value->column, option->key,
        "%g is out of range, allowed is %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " %s",
        value->real, option->min, option->max, option->unit != NULL ? option->unit : "");
  else
    *number = value->real;
}

static void
set_fallback (const struct GspanOption *option, void *target)
{
  if (is_text (option))
    *(char **)field (option, target) = g_strdup (option->fallback);
  else if (option->fallback != NULL && option->type == GSPAN_OPTION_FRACTION)
    *(double *)field (option, target) = g_ascii_strtod (option->fallback, NULL);
  else if (option->fallback != NULL)
    *(gint64 *)field (option, target) = g_ascii_strtoll (option->fallback, NULL, 10);
}

static guint
distance (const char *a, const char *b)
{
  guint row[KEY_LEN_MAX + 1];
  size_t len_b = MIN (strlen (b), KEY_LEN_MAX);

  for (size_t j = 0; j <= len_b; j++)
    row[j] = (guint)j;
  for (size_t i = 0; a[i] != '\0'; i++)
    {
      guint diagonal = row[0];

      row[0] = (guint)i + 1;
      for (size_t j = 0; j < len_b; j++)
        {
          guint cost = diagonal + (a[i] != b[j]);

          diagonal = row[j + 1];
          row[j + 1] = MIN (cost, MIN (row[j], diagonal) + 1);
        }
    }
  return row[len_b];
}

static const struct GspanOption *
find_option (const struct GspanOption *options, size_t count, const char *key)
{
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (options[i].key, key) == 0)
        return &options[i];
    }
  return NULL;
}

static const char *
nearest_key (const struct GspanOption *options, size_t count, const char *key)
{
  const char *best = options[0].key;

  for (size_t i = 1; i < count; i++)
    {
      if (distance (key, options[i].key) < distance (key, best))
        best = options[i].key;
    }
  return best;
}

/* The option of another table whose last part is that of KEY; NULL where there is none. */
static const struct GspanOption *
find_in_other_table (const struct GspanOption *options, size_t count, const char *key)
{
  const char *dot = strrchr (key, '.');
  const char *leaf = dot != NULL ? dot + 1 : key;

  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (strrchr (options[i].key, '.') + 1, leaf) == 0)
        return &options[i];
    }
  return NULL;
}

static bool
is_table (const struct GspanOption *options, size_t count, const char *key)
{
  size_t len = strlen (key);

  for (size_t i = 0; i < count; i++)
    {
      if (strncmp (options[i].key, key, len) == 0 && options[i].key[len] == '.')
        return true;
    }
  return false;
}

static void
add_unknown (const struct GspanOption *options, size_t count, const char *file,
             const struct GspanTomlValue *value, struct GspanFindings *findings)
{
  const struct GspanOption *moved = find_in_other_table (options, count, value->key);

  if (value->type == GSPAN_TOML_EMPTY && is_table (options, count, value->key))
    return;
  if (is_table (options, count, value->key))
    gspan_findings_add (findings, file, value->line, value->column, value->key,
                        "wrong type, is %s, allowed is a table", value->type_name);
  else if (moved != NULL)
    gspan_findings_add (findings, file, value->line, value->column, value->key,
                        "in the wrong table, the setting is %s", moved->key);
  else
    gspan_findings_add (findings, file, value->line, value->column, value->key,
                        "unknown setting, the nearest known one is %s",
                        nearest_key (options, count, value->key));
}

static void
set_value (const struct GspanOption *option, const struct GspanTomlValue *value, const char *file,
           void *target, struct GspanFindings *findings)
{
  if (is_text (option))
    set_text (option, value, file, target, findings);
  else if (option->type == GSPAN_OPTION_FRACTION)
    set_fraction (option, value, file, target, findings);
  else
    set_number (option, value, file, target, findings);
}

void
gspan_options_load (const struct GspanOption *options, size_t count, const char *file, void *target,
                    struct GspanFindings *findings)
{
  guint before = gspan_findings_count (findings);
  GPtrArray *values = gspan_toml_read (file, findings);
  bool *seen = g_new0 (bool, count);

  for (size_t i = 0; i < count; i++)
    set_fallback (&options[i], target);
  for (guint i = 0; i < values->len; i++)
    {
      const struct GspanTomlValue *value = g_ptr_array_index (values, i);
      const struct GspanOption *option = find_option (options, count, value->key);

      if (option == NULL)
        {
          add_unknown (options, count, file, value, findings);
          continue;
        }
      seen[option - options] = true;
      set_value (option, value, file, target, findings);
    }
  for (size_t i = 0; i < count && (values->len > 0 || gspan_findings_count (findings) == before);
       i++)
    {
      if (options[i].fallback == NULL && !seen[i])
        gspan_findings_add (findings, file, 0, 0, options[i].key, "missing, required: %s",
                            options[i].help);
    }
  gspan_findings_sort (findings);
  g_free (seen);
  g_ptr_array_unref (values);
}

void
gspan_options_finish (const struct GspanOption *options, size_t count, void *target)
{
  for (size_t i = 0; i < count; i++)
    {
      if (is_text (&options[i]))
        g_clear_pointer ((char **)field (&options[i], target), g_free);
    }
}

static void
describe_range (GString *text, const struct GspanOption *option)
{
  switch (option->type)
    {
    case GSPAN_OPTION_STRING:
      g_string_append (text, "string");
      break;
    case GSPAN_OPTION_NAME:
      g_string_append (text, "name");
      break;
    case GSPAN_OPTION_ADDRESS:
      g_string_append (text, "IP:PORT");
      break;
    case GSPAN_OPTION_NETWORKS:
      g_string_append (text, "IP/BITS IP/BITS");
      break;
    case GSPAN_OPTION_CHOICE:
      g_string_append (text, option->choices);
      break;
    case GSPAN_OPTION_INTEGER:
    case GSPAN_OPTION_FRACTION:
      g_string_append_printf (text, "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT "%s%s", option->min,
                              option->max, option->unit != NULL ? " " : "",
                              option->unit != NULL ? option->unit : "");
      break;
    case GSPAN_OPTION_BOOLEAN:
      g_string_append (text, "true or false");
      break;
    }
}

static const char *
describe_fallback (const struct GspanOption *option)
{
  if (option->fallback == NULL)
    return "required";
  return option->fallback[0] != '\0' ? option->fallback : "unset";
}

char *
gspan_options_describe (const struct GspanOption *options, size_t count)
{
  GString *text = g_string_new ("| setting | allowed | default | meaning |\n|---|---|---|---|\n");

  for (size_t i = 0; i < count; i++)
    {
      const struct GspanOption *option = &options[i];

      g_string_append_printf (text, "| `%s` | ", option->key);
      describe_range (text, option);
      g_string_append_printf (text, " | %s | %s |\n", describe_fallback (option), option->help);
    }
  return g_string_free (text, FALSE);
}

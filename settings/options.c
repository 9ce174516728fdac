#include "settings/options.h"

#include <string.h>

#include "common/address.h"
#include "settings/toml.h"

enum
{
  KEY_LEN_MAX = 64
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

static void
set_text (const struct GspanOption *option, const struct GspanTomlValue *value, const char *file,
          void *target, struct GspanFindings *findings)
{
  char **text = field (option, target);
  struct sockaddr_in address;

  if (value->type != GSPAN_TOML_STRING)
    gspan_findings_add (findings, file, value->line, value->column, option->key,
                        "wrong type, allowed is a string");
  else if (option->type == GSPAN_OPTION_ADDRESS && !gspan_address_parse (value->text, &address))
    gspan_findings_add (findings, file, value->line, value->column, option->key,
                        "\"%s\" is no address, allowed is \"IP:PORT\"", value->text);
  else if (option->type == GSPAN_OPTION_CHOICE && !choice_ok (option, value->text))
    gspan_findings_add (findings, file, value->line, value->column, option->key,
                        "\"%s\" is unknown, allowed is one of: %s", value->text, option->choices);
  else if (value->text[0] == '\0')
    gspan_findings_add (findings, file, value->line, value->column, option->key,
                        "is empty, allowed is a string of one byte or more");
  else
    {
      g_free (*text);
      *text = g_strdup (value->text);
    }
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
                        "wrong type, allowed is %s", boolean ? "true or false" : "an integer");
  else if (!boolean && (value->number < option->min || value->number > option->max))
    gspan_findings_add (findings, file, value->line, value->column, option->key,
                        "%" G_GINT64_FORMAT " is out of range, allowed is %" G_GINT64_FORMAT
                        " to %" G_GINT64_FORMAT "%s%s",
                        value->number, option->min, option->max, *unit != '\0' ? " " : "", unit);
  else
    *number = value->number;
}

static void
set_fallback (const struct GspanOption *option, void *target)
{
  if (is_text (option))
    *(char **)field (option, target) = g_strdup (option->fallback);
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
          gspan_findings_add (findings, file, value->line, value->column, value->key,
                              "unknown setting, the nearest known one is %s",
                              nearest_key (options, count, value->key));
          continue;
        }
      seen[option - options] = true;
      if (is_text (option))
        set_text (option, value, file, target, findings);
      else
        set_number (option, value, file, target, findings);
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
    case GSPAN_OPTION_ADDRESS:
      g_string_append (text, "IP:PORT");
      break;
    case GSPAN_OPTION_CHOICE:
      g_string_append (text, option->choices);
      break;
    case GSPAN_OPTION_INTEGER:
      g_string_append_printf (text, "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " %s", option->min,
                              option->max, option->unit != NULL ? option->unit : "");
      break;
    case GSPAN_OPTION_BOOLEAN:
      g_string_append (text, "true or false");
      break;
    }
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
      g_string_append_printf (text, " | %s | %s |\n",
                              option->fallback != NULL ? option->fallback : "required",
                              option->help);
    }
  return g_string_free (text, FALSE);
}

#include <fstream>
#include <sstream>
#include <string>
#include <toml++/toml.h>

#include <glib.h>

extern "C"
{
#include "settings/toml.h"
}

static void
value_free (gpointer data)
{
  auto *value = static_cast<struct GspanTomlValue *> (data);

  g_free (value->key);
  g_free (value->text);
  g_free (value);
}

static void
add_value (GPtrArray *values, const std::string &key, const toml::node &node)
{
  auto *value = g_new0 (struct GspanTomlValue, 1);

  value->key = g_strdup (key.c_str ());
  value->line = node.source ().begin.line;
  value->column = node.source ().begin.column;
  value->type = GSPAN_TOML_OTHER;
  if (const auto *text = node.as_string ())
    {
      value->type = GSPAN_TOML_STRING;
      value->text = g_strndup (text->get ().data (), text->get ().size ());
    }
  else if (const auto *number = node.as_integer ())
    {
      value->type = GSPAN_TOML_INTEGER;
      value->number = number->get ();
    }
  else if (const auto *flag = node.as_boolean ())
    {
      value->type = GSPAN_TOML_BOOLEAN;
      value->number = flag->get () ? 1 : 0;
    }
  g_ptr_array_add (values, value);
}

static void
add_table (GPtrArray *values, const std::string &prefix, const toml::table &table)
{
  for (const auto &[key, node] : table)
    {
      std::string path
          = prefix.empty () ? std::string (key.str ()) : prefix + "." + std::string (key.str ());

      if (const auto *inner = node.as_table ())
        add_table (values, path, *inner);
      else
        add_value (values, path, node);
    }
}

extern "C" GPtrArray *
gspan_toml_read (const char *file, struct GspanFindings *findings)
{
  GPtrArray *values = g_ptr_array_new_with_free_func (value_free);
  std::ifstream stream (file, std::ios::binary);
  std::stringstream text;

  if (!stream)
    {
      gspan_findings_add (findings, file, 0, 0, "file", "can't be read");
      return values;
    }
  text << stream.rdbuf ();
  try
    {
      add_table (values, "", toml::parse (text.str (), std::string (file)));
    }
  catch (const toml::parse_error &problem)
    {
      gspan_findings_add (findings, file, problem.source ().begin.line,
                          problem.source ().begin.column, "syntax", "%s",
                          std::string (problem.description ()).c_str ());
    }
  return values;
}

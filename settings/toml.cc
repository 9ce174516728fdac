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

/* What the file's values and faults are put into. */
struct Reading
{
  const char *file;
  GPtrArray *values;
  GspanFindings *findings;
};

static const char *
name_of (toml::node_type type)
{
  switch (type)
    {
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::boolean:
      return "true or false";
    case toml::node_type::floating_point:
      return "a float";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::table:
      return "a table";
    default:
      return "a date or time";
    }
}

static bool
text_ok (const Reading &reading, const std::string &key, const toml::node &node)
{
  const auto *text = node.as_string ();

  if (text == nullptr || text->get ().find ('\0') == std::string::npos)
    return true;
  gspan_findings_add (reading.findings, reading.file, node.source ().begin.line,
                      node.source ().begin.column, key.c_str (), "holds a NUL character");
  return false;
}

static void
add_value (const Reading &reading, const std::string &key, const toml::node &node)
{
  auto *value = g_new0 (struct GspanTomlValue, 1);

  value->key = g_strdup (key.c_str ());
  value->line = node.source ().begin.line;
  value->column = node.source ().begin.column;
  value->type = node.is_table () ? GSPAN_TOML_EMPTY : GSPAN_TOML_OTHER;
  value->type_name = name_of (node.type ());
  if (const auto *text = node.as_string ())
    {
      value->type = GSPAN_TOML_STRING;
      value->text = g_strndup (text->get ().data (), text->get ().size ());
    }
  else if (const auto *number = node.as_integer ())
    {
      value->type = GSPAN_TOML_INTEGER;
      value->number = number->get ();
      value->real = (double)number->get ();
    }
  else if (const auto *real = node.as_floating_point ())
    {
      value->type = GSPAN_TOML_FLOAT;
      value->real = real->get ();
    }
  else if (const auto *flag = node.as_boolean ())
    {
      value->type = GSPAN_TOML_BOOLEAN;
      value->number = flag->get () ? 1 : 0;
    }
  g_ptr_array_add (reading.values, value);
}

/* A dot in a key would read as a table, a NUL would cut it short. */
static bool
key_ok (const Reading &reading, const std::string &prefix, const toml::key &key)
{
  std::string_view text = key.str ();

  if (!text.empty () && text.find ('.') == std::string_view::npos
      && text.find ('\0') == std::string_view::npos)
    return true;
  gspan_findings_add (reading.findings, reading.file, key.source ().begin.line,
                      key.source ().begin.column, prefix.empty () ? "file" : prefix.c_str (),
                      "a key is empty or holds a dot or a NUL");
  return false;
}

static void
add_table (const Reading &reading, const std::string &prefix, const toml::table &table)
{
  for (const auto &[key, node] : table)
    {
      std::string path
          = prefix.empty () ? std::string (key.str ()) : prefix + "." + std::string (key.str ());
      const auto *inner = node.as_table ();

      if (!key_ok (reading, prefix, key) || !text_ok (reading, path, node))
        continue;
      if (inner != nullptr && !inner->empty ())
        add_table (reading, path, *inner);
      else
        add_value (reading, path, node);
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
      add_table ({ file, values, findings }, "", toml::parse (text.str (), std::string (file)));
    }
  catch (const toml::parse_error &problem)
    {
      gspan_findings_add (findings, file, problem.source ().begin.line,
                          problem.source ().begin.column, "syntax", "%s",
                          std::string (problem.description ()).c_str ());
    }
  return values;
}

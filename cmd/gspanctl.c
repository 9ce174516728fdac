#include <stdio.h>
#include <string.h>

#include "cmd/daemon.h"
#include "cmd/fetch.h"
#include "common/version.h"
#include "records/file.h"

struct Context
{
  char *platform; /* "IP:PORT" */
  gboolean json;
  gboolean version;
  char **words; /* of the command line, without the command */
};

struct Command
{
  const char *name;
  const char *words;
  const char *help;
  int (*run) (struct Context *context);
};

static int
fail (const char *message)
{
  fprintf (stderr, "gspanctl: %s\n", message);
  return GSPAN_EXIT_FAILURE;
}

static GPtrArray *
read_file (const char *file, bool *ok)
{
  struct GspanFindings findings;
  GPtrArray *list;
  char *text;

  gspan_findings_init (&findings);
  list = gspan_records_read_file (file, &findings);
  text = gspan_findings_format (&findings);
  fputs (text, stderr);
  g_free (text);
  *ok = gspan_findings_count (&findings) == 0;
  gspan_findings_finish (&findings);
  return list;
}

static int
run_check (struct Context *context)
{
  bool ok;
  GPtrArray *list = read_file (context->words[0], &ok);

  if (ok)
    printf ("%u records are good\n", list->len);
  g_ptr_array_unref (list);
  return ok ? GSPAN_EXIT_OK : GSPAN_EXIT_USAGE;
}

static char *
object_url (const struct Context *context, const char *kind, const char *name)
{
  return g_strdup_printf ("http://%s/v1/objects/%s/%s", context->platform, kind, name);
}

/* Writes VALUE over the version that is current now. */
static bool
put_record (const struct Context *context, const char *kind, const char *name, const char *value,
            struct GspanError *error)
{
  char *url = object_url (context, kind, name);
  struct GspanFetch fetch;
  guint64 expect = 0;
  char *put_url;
  bool ok = gspan_fetch (&fetch, "GET", url, NULL, error);

  if (ok && fetch.status == 200)
    expect = fetch.revision;
  gspan_fetch_finish (&fetch);
  put_url = g_strdup_printf ("%s?expect=%" G_GUINT64_FORMAT, url, expect);
  if (ok)
    {
      ok = gspan_fetch (&fetch, "PUT", put_url, value, error);
      if (ok && fetch.status == 200)
        printf ("%s/%s version %" G_GUINT64_FORMAT "\n", kind, name, fetch.revision);
      else if (ok)
        ok = gspan_error_set (error, GSPAN_ERROR_CONFLICT, "%s/%s: status %ld: %s", kind, name,
                              fetch.status, fetch.body->str);
      gspan_fetch_finish (&fetch);
    }
  g_free (put_url);
  g_free (url);
  return ok;
}

static int
run_apply (struct Context *context)
{
  bool ok;
  GPtrArray *list = read_file (context->words[0], &ok);
  int code = ok ? GSPAN_EXIT_OK : GSPAN_EXIT_USAGE;

  for (guint i = 0; ok && i < list->len; i++)
    {
      const struct GspanFileRecord *record = g_ptr_array_index (list, i);
      struct GspanError error = { 0 };
      char *value = json_dumps (record->value, JSON_COMPACT);

      if (!put_record (context, gspan_record_kind_name (record->kind), record->name, value, &error))
        code = fail (error.message);
      free (value);
    }
  g_ptr_array_unref (list);
  return code;
}

static int
run_get (struct Context *context)
{
  char *url = object_url (context, context->words[0], context->words[1]);
  struct GspanError error = { 0 };
  struct GspanFetch fetch;
  int code = GSPAN_EXIT_OK;

  if (!gspan_fetch (&fetch, "GET", url, NULL, &error))
    code = fail (error.message);
  else if (fetch.status != 200)
    code = fail (fetch.body->str);
  else
    printf ("%s\n", fetch.body->str);
  gspan_fetch_finish (&fetch);
  g_free (url);
  return code;
}

static void
print_status (json_t *object)
{
  json_t *value = json_object_get (object, "value");
  char *text;

  printf ("%-11s %-24s %-12s ", json_string_value (json_object_get (value, "kind")),
          json_string_value (json_object_get (object, "name")),
          json_string_value (json_object_get (value, "owner")));
  json_object_del (value, "kind");
  json_object_del (value, "owner");
  text = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS);
  printf ("%s\n", text);
  free (text);
}

static int
run_status (struct Context *context)
{
  char *url = g_strdup_printf ("http://%s/v1/objects?kinds=status", context->platform);
  struct GspanError error = { 0 };
  struct GspanFetch fetch;
  json_t *root = NULL;
  json_t *object;
  size_t index;
  int code = GSPAN_EXIT_OK;

  if (!gspan_fetch (&fetch, "GET", url, NULL, &error))
    code = fail (error.message);
  else if (context->json)
    printf ("%s\n", fetch.body->str);
  else
    root = json_loadb (fetch.body->str, fetch.body->len, 0, NULL);
  json_array_foreach (json_object_get (root, "objects"), index, object)
  {
    print_status (object);
  }
  json_decref (root);
  gspan_fetch_finish (&fetch);
  g_free (url);
  return code;
}

static int
run_drain (struct Context *context)
{
  char *url = g_strdup_printf ("http://%s/-/drain", context->words[0]);
  struct GspanError error = { 0 };
  struct GspanFetch fetch;
  int code = GSPAN_EXIT_OK;

  if (!gspan_fetch (&fetch, "POST", url, "", &error))
    code = fail (error.message);
  else
    printf ("%s", fetch.body->str);
  gspan_fetch_finish (&fetch);
  g_free (url);
  return code;
}

static const struct Command commands[]
    = { { "check", "FILE", "check the records of a file", run_check },
        { "apply", "FILE", "write the records of a file", run_apply },
        { "get", "KIND NAME", "print an object", run_get },
        { "status", "", "print what the system reports of its records", run_status },
        { "drain", "IP:PORT", "shut a process down gracefully", run_drain } };

static char *
describe_commands (void)
{
  GString *text = g_string_new ("Commands:\n");

  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %-6s %-10s %s\n", commands[i].name, commands[i].words,
                            commands[i].help);
  g_string_append (text, "\nExit codes: 0 done, 1 failed, 2 wrong usage or input.");
  return g_string_free (text, FALSE);
}

static int
usage (const char *message)
{
  fprintf (stderr, "gspanctl: %s; see gspanctl --help\n", message);
  return GSPAN_EXIT_USAGE;
}

static guint
count_words (const char *words)
{
  char **parts = g_strsplit (words, " ", -1);
  guint count = words[0] != '\0' ? g_strv_length (parts) : 0;

  g_strfreev (parts);
  return count;
}

static int
dispatch (struct Context *context, int argc, char **argv)
{
  if (context->version)
    {
      printf ("gspanctl %s\n", GSPAN_VERSION);
      return GSPAN_EXIT_OK;
    }
  if (argc < 2)
    return usage ("no command");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct Command *command = &commands[i];

      if (strcmp (argv[1], command->name) != 0)
        continue;
      if ((guint)argc - 2 != count_words (command->words))
        return usage ("wrong number of words");
      context->words = argv + 2;
      return command->run (context);
    }
  return usage ("unknown command");
}

int
main (int argc, char **argv)
{
  struct Context context = { 0 };
  const GOptionEntry entries[]
      = { { "platform", 'p', 0, G_OPTION_ARG_STRING, &context.platform, "the platform's object API",
            "IP:PORT" },
          { "json", 0, 0, G_OPTION_ARG_NONE, &context.json, "print JSON instead of a table", NULL },
          { "version", 0, 0, G_OPTION_ARG_NONE, &context.version, "print the version and exit",
            NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  GOptionContext *options = g_option_context_new ("COMMAND [WORDS]");
  char *description = describe_commands ();
  GError *problem = NULL;
  int code;

  g_option_context_set_description (options, description);
  g_option_context_add_main_entries (options, entries, NULL);
  if (g_option_context_parse (options, &argc, &argv, &problem))
    code = dispatch (&context, argc, argv);
  else
    {
      code = usage (problem->message);
      g_error_free (problem);
    }
  g_option_context_free (options);
  g_free (description);
  g_free (context.platform);
  return code;
}

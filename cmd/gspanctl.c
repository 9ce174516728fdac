#include <stdio.h>
#include <string.h>

#include "cmd/ctl.h"
#include "cmd/fetch.h"
#include "common/address.h"
#include "common/version.h"
#include "records/merge.h"
#include "settings/secrets.h"

enum
{
  NAME_LEN_MAX = 200,
  MANY = 1000 /* words */
};

struct Command
{
  const char *name;
  const char *words;
  guint words_min;
  guint words_max;
  bool needs_platform;
  const char *help;
  int (*run) (const struct GspanCtl *ctl);
};

int
gspan_ctl_fail (const char *what, const struct GspanError *error)
{
  fprintf (stderr, "gspanctl: %s: %s\n", what, error->message);
  switch (error->code)
    {
    case GSPAN_ERROR_INPUT:
      return GSPAN_EXIT_USAGE;
    case GSPAN_ERROR_CONFLICT:
      return GSPAN_EXIT_CONFLICT;
    case GSPAN_ERROR_UNAVAILABLE:
      return GSPAN_EXIT_UNAVAILABLE;
    case GSPAN_ERROR_UNKNOWN:
      return GSPAN_EXIT_UNKNOWN;
    case GSPAN_ERROR_NONE:
    case GSPAN_ERROR_SYSTEM:
      break;
    }
  return GSPAN_EXIT_FAILURE;
}

int
gspan_ctl_usage (const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "gspanctl: %s; see gspanctl --help\n", text);
  g_free (text);
  return GSPAN_EXIT_USAGE;
}

static bool
word_ok (const char *word)
{
  size_t len = strlen (word);

  if (len == 0 || len > NAME_LEN_MAX)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      if (!g_ascii_isalnum (word[i]) && strchr ("._-", word[i]) == NULL)
        return false;
    }
  return true;
}

char *
gspan_ctl_path (const struct GspanCtl *ctl)
{
  for (guint i = 0; i < 2; i++)
    {
      if (word_ok (ctl->words[i]))
        continue;
      gspan_ctl_usage ("\"%s\" is no %s: letters, digits, \".\", \"_\" and \"-\", at most %d",
                       ctl->words[i], i == 0 ? "kind" : "name", NAME_LEN_MAX);
      return NULL;
    }
  return g_strdup_printf ("%s/%s", ctl->words[0], ctl->words[1]);
}

void
gspan_ctl_print_value (const char *prefix, const json_t *value)
{
  json_t *shown = json_copy ((json_t *)value);
  char *text;

  json_object_del (shown, GSPAN_RECORD_WRITER);
  text = shown != NULL ? json_dumps (shown, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY) : NULL;
  fprintf (stderr, "%s %s\n", prefix, text != NULL ? text : "none");
  free (text);
  json_decref (shown);
}

int
gspan_ctl_drain (const struct GspanCtl *ctl)
{
  struct GspanFetchRequest request = { .method = "POST", .body = "", .token = ctl->token };
  struct GspanError error = { 0 };
  struct GspanFetch fetch;
  struct sockaddr_in address;
  int code = GSPAN_EXIT_OK;
  char *url;

  if (!gspan_address_parse (ctl->words[0], &address))
    return gspan_ctl_usage ("\"%s\" is no address, allowed is IP:PORT", ctl->words[0]);
  url = g_strdup_printf ("http://%s/-/drain", ctl->words[0]);
  request.url = url;
  if (!gspan_fetch (&fetch, &request, &error))
    code = gspan_ctl_fail (ctl->words[0], &error);
  else if (fetch.status != 200)
    {
      gspan_error_set (&error, GSPAN_ERROR_SYSTEM, "status %ld: %.200s", fetch.status,
                       fetch.body->str);
      code = gspan_ctl_fail (ctl->words[0], &error);
    }
  else
    printf ("%s", fetch.body->str);
  gspan_fetch_finish (&fetch);
  g_free (url);
  return code;
}

static const struct Command commands[]
    = { { "check", "FILE", 1, 1, false, "check the records of a file", gspan_ctl_check },
        { "apply", "FILE", 1, 1, true,
          "put the records of a file in force, merged with others' edits", gspan_ctl_apply },
        { "get", "KIND NAME", 2, 2, true, "print an object and its version", gspan_ctl_get },
        { "edit", "KIND NAME FIELD=VALUE...", 3, MANY, true,
          "change fields of a record; FIELD= takes one out", gspan_ctl_edit },
        { "delete", "KIND NAME", 2, 2, true, "delete a record", gspan_ctl_delete },
        { "watch", "[KINDS]", 0, 1, true, "print each change of records, or of KINDS (pool,route)",
          gspan_ctl_watch },
        { "status", "", 0, 0, true, "print what the system reports of its records",
          gspan_ctl_status },
        { "explain", "ID LOGFILE...", 2, MANY, false,
          "say why a request or sample went where it went", gspan_ctl_explain },
        { "drain", "IP:PORT", 1, 1, false, "shut a process down gracefully", gspan_ctl_drain } };

static const char exit_codes[] = "\nExit codes:\n"
                                 "  0  done\n"
                                 "  1  failed: no such object, refused\n"
                                 "  2  wrong usage, settings or file; nothing was done\n"
                                 "  3  conflict: somebody else changed it first; not written\n"
                                 "  4  no answer from the other side; nothing was done\n"
                                 "  5  an answer was lost and could not be settled; done or not\n"
                                 "Of several records apply gives the highest code.";

static char *
describe_commands (void)
{
  GString *text = g_string_new ("Commands:\n");

  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %s %s\n      %s\n", commands[i].name, commands[i].words,
                            commands[i].help);
  g_string_append (text, exit_codes);
  return g_string_free (text, FALSE);
}

static bool
platform_ok (struct GspanCtl *ctl)
{
  struct sockaddr_in address;

  if (ctl->platform == NULL)
    ctl->platform = g_getenv ("GSPAN_PLATFORM");
  if (ctl->platform == NULL || ctl->platform[0] == '\0')
    gspan_ctl_usage ("where is the platform? Give --platform IP:PORT or set GSPAN_PLATFORM");
  else if (!gspan_address_parse (ctl->platform, &address))
    gspan_ctl_usage ("\"%s\" is no address of the platform, allowed is IP:PORT", ctl->platform);
  else
    return true;
  return false;
}

static int
dispatch (struct GspanCtl *ctl, int argc, char **argv)
{
  if (argc < 2)
    return gspan_ctl_usage ("no command");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct Command *command = &commands[i];

      if (strcmp (argv[1], command->name) != 0)
        continue;
      ctl->words = argv + 2;
      ctl->word_count = (guint)argc - 2;
      if (ctl->word_count < command->words_min || ctl->word_count > command->words_max)
        return gspan_ctl_usage ("wrong number of words: gspanctl %s %s", command->name,
                                command->words);
      if (command->needs_platform && !platform_ok (ctl))
        return GSPAN_EXIT_USAGE;
      return command->run (ctl);
    }
  return gspan_ctl_usage ("unknown command \"%s\"", argv[1]);
}

static bool
read_token (const char *file, char **token)
{
  struct GspanFindings findings;
  char *text;
  bool ok;

  gspan_findings_init (&findings);
  *token = gspan_secret_read (file, &findings);
  text = gspan_findings_format (&findings);
  fputs (text, stderr);
  g_free (text);
  ok = gspan_findings_count (&findings) == 0;
  gspan_findings_finish (&findings);
  return ok;
}

int
main (int argc, char **argv)
{
  struct GspanCtl ctl = { .expect = GSPAN_ANY_VERSION };
  char *platform = NULL;
  char *editor = NULL;
  char *token_file = NULL;
  char *token = NULL;
  gboolean json = FALSE;
  gboolean version = FALSE;
  const GOptionEntry entries[]
      = { { "platform", 'p', 0, G_OPTION_ARG_STRING, &platform,
            "the platform's object API; without it GSPAN_PLATFORM of the environment", "IP:PORT" },
          { "expect", 0, 0, G_OPTION_ARG_INT64, &ctl.expect,
            "edit, delete: only over this version of the record", "VERSION" },
          { "count", 0, 0, G_OPTION_ARG_INT64, &ctl.count, "watch: end after so many changes",
            "N" },
          { "editor", 0, 0, G_OPTION_ARG_STRING, &editor,
            "apply, edit: name that others see; without it the system's user name", "NAME" },
          { "token-file", 0, 0, G_OPTION_ARG_FILENAME, &token_file,
            "drain: file of the operator's token", "FILE" },
          { "json", 0, 0, G_OPTION_ARG_NONE, &json, "status: print JSON instead of a table", NULL },
          { "version", 0, 0, G_OPTION_ARG_NONE, &version, "print the version and exit", NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  GOptionContext *options = g_option_context_new ("COMMAND [WORDS]");
  char *description = describe_commands ();
  GError *problem = NULL;
  int code = GSPAN_EXIT_OK;

  g_option_context_set_description (options, description);
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &problem))
    code = gspan_ctl_usage ("%s", problem->message);
  else if (version)
    printf ("gspanctl %s\n", GSPAN_VERSION);
  else
    {
      ctl.platform = platform;
      ctl.editor = editor != NULL ? editor : g_get_user_name ();
      ctl.json = json;
      if (token_file != NULL && !read_token (token_file, &token))
        code = GSPAN_EXIT_USAGE;
      else
        {
          ctl.token = token;
          code = dispatch (&ctl, argc, argv);
        }
    }
  g_clear_error (&problem);
  g_option_context_free (options);
  g_free (description);
  g_free (platform);
  g_free (editor);
  g_free (token_file);
  g_free (token);
  return code;
}

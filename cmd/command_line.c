#include "cmd/command_line.h"

#include <signal.h>
#include <stdio.h>

#include "common/metrics.h"
#include "cmd/exit.h"
#include "common/version.h"

struct Arguments
{
  char *config;
  gboolean check;
  gboolean version;
  gboolean help_settings;
  gboolean help_metrics;
};

static bool
parse_arguments (const struct GspanCommandLine *line, struct Arguments *arguments, int *argc,
                 char ***argv)
{
  const GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &arguments->config, "settings file", "FILE" },
    { "check", 0, 0, G_OPTION_ARG_NONE, &arguments->check, "check the settings and exit", NULL },
    { "help-settings", 0, 0, G_OPTION_ARG_NONE, &arguments->help_settings,
      "print the reference of all settings and exit", NULL },
    { "help-metrics", 0, 0, G_OPTION_ARG_NONE, &arguments->help_metrics,
      "print the reference of all metrics and exit", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &arguments->version, "print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL }
  };
  GOptionContext *context = g_option_context_new (NULL);
  GError *problem = NULL;
  bool ok;

  g_option_context_set_summary (context, line->summary);
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, &problem);
  if (!ok)
    {
      fprintf (stderr, "%s: %s\n", line->name, problem->message);
      g_error_free (problem);
    }
  g_option_context_free (context);
  return ok;
}

/* Takes over TABLE. */
static int
print_reference (const char *head, char *table)
{
  printf ("%s%s", head, table);
  g_free (table);
  return GSPAN_EXIT_OK;
}

bool
gspan_command_line_report (struct GspanFindings *findings)
{
  char *text = gspan_findings_format (findings);
  bool ok = gspan_findings_count (findings) == 0;

  fputs (text, stderr);
  g_free (text);
  gspan_findings_finish (findings);
  return ok;
}

int
gspan_command_line_main (const struct GspanCommandLine *line, int argc, char **argv,
                         GspanCommandLineRun run, void *user)
{
  struct Arguments arguments = { 0 };
  int code;

  signal (SIGPIPE, SIG_IGN);
  if (!parse_arguments (line, &arguments, &argc, &argv))
    return GSPAN_EXIT_USAGE;
  if (arguments.version)
    {
      printf ("%s %s\n", line->name, GSPAN_VERSION);
      return GSPAN_EXIT_OK;
    }
  if (arguments.help_settings)
    return print_reference (line->settings_head,
                            gspan_options_describe (line->options, line->option_count));
  if (arguments.help_metrics)
    return print_reference (line->metrics_head, gspan_metrics_describe ());
  if (arguments.config == NULL)
    {
      fprintf (stderr, "%s: --config FILE is required\n", line->name);
      return GSPAN_EXIT_USAGE;
    }
  code = run (arguments.config, arguments.check, user);
  g_free (arguments.config);
  return code;
}

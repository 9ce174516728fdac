#include "cmd/daemon.h"

#include <signal.h>
#include <stdio.h>

#include "common/clock.h"
#include "common/version.h"
#include "settings/secrets.h"
#include "shell/shell.h"

static const char settings_head[]
    = "# Settings\n\n"
      "One TOML file a process, the same settings for all daemons. `gspan-entry --config FILE "
      "--check`\n"
      "prints every finding with its line and column and exits. This page is the output of\n"
      "`gspan-entry --help-settings`.\n\n";

static const char metrics_head[]
    = "# Metrics\n\n"
      "Counters of each process's own, served as text at `/-/metrics` of its `listen.http` "
      "address.\n"
      "Every daemon serves all of them; what it does not do stays at 0. Counters start at 0 with "
      "the\n"
      "process. [OPERATIONS.md](OPERATIONS.md) names the alarms. This page is the output of\n"
      "`gspan-entry --help-metrics`.\n\n";

struct Arguments
{
  char *config;
  gboolean check;
  gboolean version;
  gboolean help_settings;
  gboolean help_metrics;
};

static bool
parse_arguments (const struct GspanDaemon *daemon, struct Arguments *arguments, int *argc,
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

  g_option_context_set_summary (context, daemon->summary);
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, &problem);
  if (!ok)
    {
      fprintf (stderr, "%s: %s\n", daemon->name, problem->message);
      g_error_free (problem);
    }
  g_option_context_free (context);
  return ok;
}

static bool
load_settings (const char *file, struct GspanNodeSettings *settings, struct GspanAccess *access)
{
  struct GspanFindings findings;
  char *text;
  bool ok;

  gspan_findings_init (&findings);
  gspan_options_load (gspan_node_options, gspan_node_option_count, file, settings, &findings);
  if (gspan_findings_count (&findings) == 0)
    gspan_secrets_load (settings, access, &findings);
  text = gspan_findings_format (&findings);
  fputs (text, stderr);
  g_free (text);
  ok = gspan_findings_count (&findings) == 0;
  gspan_findings_finish (&findings);
  return ok;
}

static int
serve (const struct GspanDaemon *daemon, const struct GspanNodeSettings *settings,
       const struct GspanAccess *access)
{
  struct GspanBoardConfig config = { 0 };
  struct GspanError error = { 0 };
  struct GspanBoard board;
  struct GspanShell *shell;

  config.self.name = settings->name;
  config.self.firm = settings->firm;
  config.self.zone = settings->zone;
  config.self.rpc = settings->rpc;
  config.self.udp = settings->udp;
  config.self.relay = settings->relay;
  config.self.seeds = settings->seeds;
  config.seed = settings->seed != 0 ? (guint32)settings->seed : g_random_int ();
  config.access = access;
  config.lease_duration_us = (guint64)settings->lease_ms * GSPAN_MS;
  config.request_timeout_us = (guint64)settings->request_timeout_ms * GSPAN_MS;
  gspan_route_policy_parse (settings->policy, &config.route_policy);
  gspan_board_init (&board, &config);
  daemon->compose (&board);
  shell = gspan_shell_new (settings, daemon->name, &board, &error);
  if (shell == NULL)
    {
      fprintf (stderr, "%s: %s\n", daemon->name, error.message);
      gspan_board_finish (&board);
      return GSPAN_EXIT_FAILURE;
    }
  gspan_shell_run (shell);
  gspan_shell_free (shell);
  gspan_board_finish (&board);
  return GSPAN_EXIT_OK;
}

static int
run_with_settings (const struct GspanDaemon *daemon, const struct Arguments *arguments)
{
  struct GspanNodeSettings settings = { 0 };
  struct GspanAccess access;
  int code = GSPAN_EXIT_OK;

  gspan_access_init (&access);
  if (!load_settings (arguments->config, &settings, &access))
    code = GSPAN_EXIT_USAGE;
  else if (!arguments->check)
    code = serve (daemon, &settings, &access);
  gspan_options_finish (gspan_node_options, gspan_node_option_count, &settings);
  gspan_access_finish (&access);
  return code;
}

/* Takes over TABLE. */
static int
print_reference (const char *head, char *table)
{
  printf ("%s%s", head, table);
  g_free (table);
  return GSPAN_EXIT_OK;
}

int
gspan_daemon_main (const struct GspanDaemon *daemon, int argc, char **argv)
{
  struct Arguments arguments = { 0 };
  int code;

  signal (SIGPIPE, SIG_IGN);
  if (!parse_arguments (daemon, &arguments, &argc, &argv))
    return GSPAN_EXIT_USAGE;
  if (arguments.version)
    {
      printf ("%s %s\n", daemon->name, GSPAN_VERSION);
      return GSPAN_EXIT_OK;
    }
  if (arguments.help_settings)
    return print_reference (settings_head,
                            gspan_options_describe (gspan_node_options, gspan_node_option_count));
  if (arguments.help_metrics)
    return print_reference (metrics_head, gspan_metrics_describe ());
  if (arguments.config == NULL)
    {
      fprintf (stderr, "%s: --config FILE is required\n", daemon->name);
      return GSPAN_EXIT_USAGE;
    }
  code = run_with_settings (daemon, &arguments);
  g_free (arguments.config);
  return code;
}

#include "cmd/daemon.h"

#include <stdio.h>

#include "cmd/command_line.h"
#include "common/clock.h"
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

static bool
load_settings (const char *file, struct GspanNodeSettings *settings, struct GspanAccess *access)
{
  struct GspanFindings findings;

  gspan_findings_init (&findings);
  gspan_options_load (gspan_node_options, gspan_node_option_count, file, settings, &findings);
  if (gspan_findings_count (&findings) == 0)
    gspan_secrets_load (settings, access, &findings);
  return gspan_command_line_report (&findings);
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

/* DAEMON is a struct GspanDaemon. */
static int
run_with_settings (const char *file, bool check, void *daemon)
{
  struct GspanNodeSettings settings = { 0 };
  struct GspanAccess access;
  int code = GSPAN_EXIT_OK;

  gspan_access_init (&access);
  if (!load_settings (file, &settings, &access))
    code = GSPAN_EXIT_USAGE;
  else if (!check)
    code = serve (daemon, &settings, &access);
  gspan_options_finish (gspan_node_options, gspan_node_option_count, &settings);
  gspan_access_finish (&access);
  return code;
}

int
gspan_daemon_main (const struct GspanDaemon *daemon, int argc, char **argv)
{
  const struct GspanCommandLine line = {
    .name = daemon->name,
    .summary = daemon->summary,
    .settings_head = settings_head,
    .metrics_head = metrics_head,
    .options = gspan_node_options,
    .option_count = gspan_node_option_count,
  };

  return gspan_command_line_main (&line, argc, argv, run_with_settings, (void *)daemon);
}

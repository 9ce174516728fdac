#include <signal.h>
#include <stdio.h>
#include <sys/random.h>

#include "cmd/exit.h"
#include "common/clock.h"
#include "common/version.h"
#include "node/shell.h"

/* One process a VM: requests of callers, batch jobs and orders of weights on one blackboard. */

struct Arguments
{
  char *config;
  gboolean check;
  gboolean version;
  gboolean help_settings;
  gboolean help_metrics;
};

static bool
parse_arguments (struct Arguments *arguments, int *argc, char ***argv)
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

  g_option_context_set_summary (context, "Takes requests and batch jobs on one VM of the fleet.");
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, &problem);
  if (!ok)
    {
      fprintf (stderr, "gspan-node: %s\n", problem->message);
      g_error_free (problem);
    }
  g_option_context_free (context);
  return ok;
}

static bool
load_settings (const char *file, struct GspanFleetSettings *settings)
{
  struct GspanFindings findings;
  char *text;
  bool ok;

  gspan_findings_init (&findings);
  gspan_options_load (gspan_fleet_options, gspan_fleet_option_count, file, settings, &findings);
  text = gspan_findings_format (&findings);
  fputs (text, stderr);
  g_free (text);
  ok = gspan_findings_count (&findings) == 0;
  gspan_findings_finish (&findings);
  return ok;
}

enum
{
  RELAY_KEY_BYTES = 16
};

/* Fills KEY with hex digits that nobody can guess. */
static bool
draw_relay_key (char key[2 * RELAY_KEY_BYTES + 1])
{
  unsigned char bytes[RELAY_KEY_BYTES];

  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    return false;
  for (guint i = 0; i < RELAY_KEY_BYTES; i++)
    g_snprintf (key + 2 * (gsize)i, 3, "%02x", bytes[i]);
  return true;
}

static int
serve (const struct GspanFleetSettings *settings, const char *file)
{
  struct GspanNodeConfig config = { 0 };
  struct GspanError error = { 0 };
  struct GspanNodeShell *shell;
  char relay_key[2 * RELAY_KEY_BYTES + 1];
  struct GspanNode node;

  if (!draw_relay_key (relay_key))
    {
      fprintf (stderr, "gspan-node: the system gives no random numbers\n");
      return GSPAN_EXIT_FAILURE;
    }
  config.self.name = settings->name;
  config.self.zone = settings->zone;
  config.self.udp_address = settings->peers;
  config.self.relay_address = settings->relay[0] != '\0' ? settings->relay : NULL;
  config.self.relay_key = relay_key;
  config.self.takes_requests = settings->callers[0] != '\0';
  config.self.keeps_disk = settings->keeps_disk != 0;
  config.limits.lease_us = (guint64)(settings->lease_ms * (double)GSPAN_MS);
  config.limits.job_retention_us = (guint64)(settings->job_kept_s * (double)GSPAN_SECOND);
  config.limits.drain_notice_us = (guint64)(settings->drain_notice_ms * (double)GSPAN_MS);
  config.limits.heartbeat_us = (guint64)(settings->heartbeat_ms * (double)GSPAN_MS);
  config.limits.object_max_bytes = (guint64)settings->value_max;
  config.seed = settings->seed != 0 ? (guint32)settings->seed : g_random_int ();
  gspan_node_init (&node, &config);
  shell = gspan_node_shell_new (settings, file, &node, &error);
  if (shell == NULL)
    {
      fprintf (stderr, "gspan-node: %s\n", error.message);
      gspan_node_finish (&node);
      return GSPAN_EXIT_FAILURE;
    }
  gspan_node_shell_run (shell);
  gspan_node_shell_free (shell);
  gspan_node_finish (&node);
  return GSPAN_EXIT_OK;
}

static const char settings_head[]
    = "# Settings of gspan-node\n\n"
      "One TOML file a process. `gspan-node --config FILE --check` prints every finding with its "
      "line "
      "and\n"
      "column and exits. This page is the output of `gspan-node --help-settings`.\n\n";

/* Takes over TABLE. */
static int
print_reference (const char *head, char *table)
{
  printf ("%s%s", head, table);
  g_free (table);
  return GSPAN_EXIT_OK;
}

static int
run_with_settings (const struct Arguments *arguments)
{
  struct GspanFleetSettings settings = { 0 };
  int code = GSPAN_EXIT_OK;

  if (!load_settings (arguments->config, &settings))
    code = GSPAN_EXIT_USAGE;
  else if (!arguments->check)
    code = serve (&settings, arguments->config);
  gspan_options_finish (gspan_fleet_options, gspan_fleet_option_count, &settings);
  return code;
}

int
main (int argc, char **argv)
{
  struct Arguments arguments = { 0 };
  int code;

  signal (SIGPIPE, SIG_IGN);
  if (!parse_arguments (&arguments, &argc, &argv))
    return GSPAN_EXIT_USAGE;
  if (arguments.version)
    {
      printf ("gspan-node %s\n", GSPAN_VERSION);
      return GSPAN_EXIT_OK;
    }
  if (arguments.help_settings)
    return print_reference (settings_head,
                            gspan_options_describe (gspan_fleet_options, gspan_fleet_option_count));
  if (arguments.help_metrics)
    return print_reference ("", gspan_metrics_describe ());
  if (arguments.config == NULL)
    {
      fprintf (stderr, "gspan-node: --config FILE is required\n");
      return GSPAN_EXIT_USAGE;
    }
  code = run_with_settings (&arguments);
  g_free (arguments.config);
  return code;
}

#include <stdio.h>
#include <sys/random.h>

#include "cmd/command_line.h"
#include "cmd/exit.h"
#include "common/clock.h"
#include "node/shell.h"

/* One process a VM: requests of callers, batch jobs and orders of weights on one blackboard. */

static bool
load_settings (const char *file, struct GspanFleetSettings *settings)
{
  struct GspanFindings findings;

  gspan_findings_init (&findings);
  gspan_options_load (gspan_fleet_options, gspan_fleet_option_count, file, settings, &findings);
  return gspan_command_line_report (&findings);
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
  struct GspanMachine machine;
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
  config.self.duties_address = settings->duties[0] != '\0' ? settings->duties : NULL;
  config.self.orders_capacity = settings->scaling != 0;
  config.self.takes_requests = settings->callers[0] != '\0';
  config.self.dispatches_jobs = settings->dispatchers != 0;
  config.self.cpu_milli = (guint)(settings->cpu_share * 1000.0);
  config.self.keeps_disk = settings->keeps_disk != 0;
  config.limits.lease_us = (guint64)(settings->lease_ms * (double)GSPAN_MS);
  config.limits.job_retention_us = (guint64)(settings->job_kept_s * (double)GSPAN_SECOND);
  config.limits.drain_notice_us = (guint64)(settings->drain_notice_ms * (double)GSPAN_MS);
  config.limits.heartbeat_us = (guint64)(settings->heartbeat_ms * (double)GSPAN_MS);
  config.limits.grace_us = (guint64)(settings->grace_s * (double)GSPAN_SECOND);
  gspan_machine_divide (&machine, (guint64)settings->memory_mb, (guint)settings->descriptors,
                        (gsize)settings->body_max, (guint)settings->connections);
  config.limits.held_answers_max = machine.held_bytes;
  config.limits.job_values_max = machine.job_values;
  config.limits.usage_window_ms = (guint64)(settings->usage_window_s * 1000.0);
  config.limits.has_hedge_share = settings->hedge_share_percent >= 0;
  config.limits.hedge_share_percent = (guint)MAX (0, settings->hedge_share_percent);
  config.limits.object_max_bytes = (guint64)settings->value_max;
  config.seed = settings->seed != 0 ? (guint32)settings->seed : g_random_int ();
  gspan_node_init (&node, &config);
  shell = gspan_node_shell_new (settings, file, &machine, &node, &error);
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

static int
run_with_settings (const char *file, bool check, void *user)
{
  struct GspanFleetSettings settings = { 0 };
  int code = GSPAN_EXIT_OK;

  (void)user;
  if (!load_settings (file, &settings))
    code = GSPAN_EXIT_USAGE;
  else if (!check)
    code = serve (&settings, file);
  gspan_options_finish (gspan_fleet_options, gspan_fleet_option_count, &settings);
  return code;
}

int
main (int argc, char **argv)
{
  const struct GspanCommandLine line = {
    .name = "gspan-node",
    .summary = "Takes requests and batch jobs on one VM of the fleet.",
    .settings_head = settings_head,
    .metrics_head = "",
    .options = gspan_fleet_options,
    .option_count = gspan_fleet_option_count,
  };

  return gspan_command_line_main (&line, argc, argv, run_with_settings, NULL);
}

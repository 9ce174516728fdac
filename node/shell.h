#pragma once

#include "common/error.h"
#include "node/machine.h"
#include "node/node.h"
#include "settings/fleet.h"

/* Connects a node's blackboard to sockets, signals and clocks on one libev loop. */
struct GspanNodeShell;

/* NULL with ERROR set where an address can't be listened on. All is borrowed. */
struct GspanNodeShell *gspan_node_shell_new (const struct GspanFleetSettings *settings,
                                             const char *settings_file,
                                             const struct GspanMachine *machine,
                                             struct GspanNode *node, struct GspanError *error);
void gspan_node_shell_free (struct GspanNodeShell *shell);

/* Runs until SIGTERM or SIGINT and the drain after it. */
void gspan_node_shell_run (struct GspanNodeShell *shell);

#pragma once

#include <ev.h>

#include "board/board.h"
#include "settings/node.h"

/*
 * Runs one board on one libev loop: turns what comes in from callers, upstreams, the platform and
 * other processes into events, and does the actions that come back.
 */
struct GspanShell;

/* NULL with ERROR set where an address can't be had. SETTINGS and BOARD outlive the shell. */
struct GspanShell *gspan_shell_new (const struct GspanNodeSettings *settings, const char *program,
                                    struct GspanBoard *board, struct GspanError *error);
void gspan_shell_free (struct GspanShell *shell);

/* Serves until SIGTERM or SIGINT, then drains and returns. */
void gspan_shell_run (struct GspanShell *shell);

#pragma once

#include "board/board.h"
#include "cmd/exit.h"

/* What the daemons have in common: command line, settings, board and shell. */

struct GspanDaemon
{
  const char *name;                           /* of the program */
  const char *summary;                        /* one line for --help */
  void (*compose) (struct GspanBoard *board); /* puts the program's controllers on the board */
};

/* Runs the program until it is told to stop. Returns its exit code. */
int gspan_daemon_main (const struct GspanDaemon *daemon, int argc, char **argv);

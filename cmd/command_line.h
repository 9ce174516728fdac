#pragma once

#include "common/error.h"
#include "settings/options.h"

/* The command line of a daemon, and the references that it prints. */
struct GspanCommandLine
{
  const char *name;
  const char *summary;
  const char *settings_head; /* goes before the table of settings */
  const char *metrics_head;  /* as above, of metrics */
  const struct GspanOption *options;
  size_t option_count;
};

/* Runs a daemon by the settings FILE, or checks that only. Returns the exit status. */
typedef int (*GspanCommandLineRun) (const char *file, bool check, void *user);

/*
 * Reads ARGV, and prints what it asks for or calls RUN with USER. Returns the exit status, which is
 * that of bad usage where ARGV can't be read or names no settings file.
 */
int gspan_command_line_main (const struct GspanCommandLine *line, int argc, char **argv,
                             GspanCommandLineRun run, void *user);

/* Prints FINDINGS to stderr and finishes them. True if there are none. */
bool gspan_command_line_report (struct GspanFindings *findings);

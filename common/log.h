#pragma once

#include "common/line.h"

/* Priorities of syslog (3), the ones in use. */
enum GspanPriority
{
  GSPAN_PRIORITY_ERROR = 3,
  GSPAN_PRIORITY_WARNING = 4,
  GSPAN_PRIORITY_NOTICE = 5,
  GSPAN_PRIORITY_INFO = 6,
  GSPAN_PRIORITY_DEBUG = 7
};

/* Handle of one module. Lines below LEVEL are dropped. All strings are borrowed. */
struct GspanLog
{
  const char *program;
  const char *module;
  enum GspanPriority level;
};

/*
 * Writes "<PRIORITY>PROGRAM[PID]: time=TIME module=MODULE TEXT" to standard error as one line. TIME
 * is the VM's wall clock in UTC, to the microsecond; it only puts lines in order for readers.
 */
void gspan_log_text (const struct GspanLog *log, enum GspanPriority priority, const char *text);

/* Writes LINE and finishes it. */
void gspan_log_line (const struct GspanLog *log, enum GspanPriority priority,
                     struct GspanLine *line);

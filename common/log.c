#include "common/log.h"

#include <stdio.h>
#include <unistd.h>

void
gspan_log_text (const struct GspanLog *log, enum GspanPriority priority, const char *text)
{
  if (priority > log->level)
    return;
  fprintf (stderr, "<%d>%s[%d]: module=%s %s\n", (int)priority, log->program, (int)getpid (),
           log->module, text);
}

void
gspan_log_line (const struct GspanLog *log, enum GspanPriority priority, struct GspanLine *line)
{
  gspan_log_text (log, priority, line->text->str);
  gspan_line_finish (line);
}

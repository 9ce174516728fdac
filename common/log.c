#include "common/log.h"

#include <stdio.h>
#include <time.h>
#include <unistd.h>

void
gspan_log_text (const struct GspanLog *log, enum GspanPriority priority, const char *text)
{
  char stamp[32];
  struct timespec now;
  struct tm utc;

  if (priority > log->level)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  fprintf (stderr, "<%d>%s[%d]: time=%s.%06ldZ module=%s %s\n", (int)priority, log->program,
           (int)getpid (), stamp, now.tv_nsec / 1000, log->module, text);
}

void
gspan_log_line (const struct GspanLog *log, enum GspanPriority priority, struct GspanLine *line)
{
  gspan_log_text (log, priority, line->text->str);
  gspan_line_finish (line);
}

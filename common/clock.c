#include "common/clock.h"

#include <time.h>

guint64
gspan_clock_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (guint64)ts.tv_sec * GSPAN_SECOND + (guint64)ts.tv_nsec / 1000;
}

#pragma once

#include <glib.h>

#define GSPAN_MS ((guint64)1000)
#define GSPAN_SECOND ((guint64)1000000)

/* Microseconds since boot, suspended time included, so that a lease runs out during a suspend. */
guint64 gspan_clock_now (void);

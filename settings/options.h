#pragma once

#include "common/error.h"
#include <stddef.h>

enum GspanOptionType
{
  GSPAN_OPTION_STRING,   /* char * */
  GSPAN_OPTION_NAME,     /* char *, letters, digits, ".", "_" and "-", at most 64 */
  GSPAN_OPTION_ADDRESS,  /* char *, "IP:PORT" */
  GSPAN_OPTION_NETWORKS, /* char *, "IP/BITS" separated by blanks */
  GSPAN_OPTION_CHOICE,   /* char *, one of CHOICES */
  GSPAN_OPTION_INTEGER,  /* gint64, between MIN and MAX */
  GSPAN_OPTION_BOOLEAN,  /* gint64, 0 or 1 */
  GSPAN_OPTION_FRACTION  /* double, between MIN and MAX, written with a point or without */
};

/* One setting. A module declares its settings as a table of these. */
struct GspanOption
{
  const char *key; /* "table.key" */
  enum GspanOptionType type;
  const char *unit; /* NULL where it has none */
  gint64 min;
  gint64 max;
  const char *choices;  /* separated by blanks */
  const char *fallback; /* as text; NULL makes the setting required, "" leaves a string unset */
  const char *help;
  size_t offset; /* of the field in the module's settings struct */
};

/*
 * Fills TARGET from FILE by the COUNT options. Every finding is collected; an unknown key names the
 * nearest known one. TARGET is usable only where no finding was added, but always to be finished.
 */
void gspan_options_load (const struct GspanOption *options, size_t count, const char *file,
                         void *target, struct GspanFindings *findings);

/* Releases the strings that gspan_options_load () put into TARGET. */
void gspan_options_finish (const struct GspanOption *options, size_t count, void *target);

/* The table as a reference in Markdown. Released with g_free (). */
char *gspan_options_describe (const struct GspanOption *options, size_t count);

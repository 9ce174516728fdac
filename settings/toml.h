#pragma once

#include "common/error.h"

/* TOML 1.0 files as a flat list of values, by toml++. */

enum GspanTomlType
{
  GSPAN_TOML_STRING,
  GSPAN_TOML_INTEGER,
  GSPAN_TOML_BOOLEAN,
  GSPAN_TOML_OTHER
};

struct GspanTomlValue
{
  char *key; /* "table.key" */
  enum GspanTomlType type;
  char *text;    /* STRING */
  gint64 number; /* INTEGER, and BOOLEAN as 0 or 1 */
  guint line;
  guint column;
};

/* Reads FILE. A file that can't be read or parsed gives one finding and no values. */
GPtrArray *
gspan_toml_read (const char *file, struct GspanFindings *findings);

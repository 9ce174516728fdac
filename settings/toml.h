#pragma once

#include "common/error.h"

/* TOML 1.0 files as a flat list of values, by toml++. */

enum GspanTomlType
{
  GSPAN_TOML_STRING,
  GSPAN_TOML_INTEGER,
  GSPAN_TOML_BOOLEAN,
  GSPAN_TOML_FLOAT,
  GSPAN_TOML_OTHER, /* a date, time or array */
  GSPAN_TOML_EMPTY  /* a table without keys */
};

struct GspanTomlValue
{
  char *key; /* "table.key" */
  enum GspanTomlType type;
  const char *type_name; /* "a string", for findings; static */
  char *text;            /* STRING */
  gint64 number;         /* INTEGER, and BOOLEAN as 0 or 1 */
  double real;           /* FLOAT, and INTEGER too */
  guint line;
  guint column;
};

/*
 * Reads FILE. A file that can't be read or parsed gives one finding and no values; a duplicate key
 * is such a fault. A key that is empty or holds a dot, and a text with a NUL, give a finding each
 * and are left out, since they would be taken for something else.
 */
GPtrArray *gspan_toml_read (const char *file, struct GspanFindings *findings);

#pragma once

#include "records/record.h"

/* One record of an operator's file, as it goes to the platform. */
struct GspanFileRecord
{
  enum GspanRecordKind kind;
  char *name;
  json_t *value;
};

/*
 * Reads a TOML file of tables called [KIND.NAME]. Every finding has its line and column. The list
 * holds struct GspanFileRecord, the good ones only; released with g_ptr_array_unref ().
 */
GPtrArray *gspan_records_read_file (const char *file, struct GspanFindings *findings);

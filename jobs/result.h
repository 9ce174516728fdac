#pragma once

#include <jansson.h>

#include "common/str.h"

/* What became of one item of a batch job. */
struct GspanJobResult
{
  char *item_id;
  bool completed;          /* else it was given up */
  GString *text;           /* data of all its events, separated by line feeds */
  GArray *weight_versions; /* guint64: versions of the weights that generated it, rising */
};

struct GspanJobResult *gspan_job_result_new (const char *item);
void gspan_job_result_free (gpointer result);

/* Notes that an event of RESULT was generated under WEIGHTS. */
void gspan_job_result_add_version (struct GspanJobResult *result, guint64 weights);

/* As kept in the store, and back; NULL where VALUE is none. */
json_t *gspan_job_result_encode (const struct GspanJobResult *result);
struct GspanJobResult *gspan_job_result_decode (json_t *value);

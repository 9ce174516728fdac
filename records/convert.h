#pragma once

#include "records/record.h"

/*
 * The schema versions of a record and the way between them. Version 2 is what the system works
 * with; version 1 differs from it by these fields, all others are the same:
 *
 *   kind        version 1                              version 2
 *   pool        target "service:S,model:M"             service, model
 *               max_unavailable                        max_out
 *   attachment  weighting "idle_weight:N,              idle_weight, staleness_weight
 *               staleness_weight:N"
 *               max_staleness                          staleness_bound
 *   route       calls "completions:B,idempotent:B"     completions, idempotent
 *               timeout_ms (milliseconds)              timeout_us (microseconds)
 *
 * Conversion is lossless both ways and keeps unknown fields. What version 1 can't express exactly
 * travels in its object "newer_schema", which counts only while the field beside it is unchanged.
 */

/* Member of a version 1 record that holds exact version 2 fields. */
#define GSPAN_RECORD_NEWER "newer_schema"

/* Schema version that VALUE states, or 0 where it states none that is known. */
int gspan_record_schema (const json_t *value);

/*
 * VALUE in the schema version TO, as a new reference. NULL with a finding for each field that has
 * the wrong form or belongs to the other version. FILE is the place that findings report.
 */
json_t *gspan_record_convert (enum GspanRecordKind kind, json_t *value, int to, const char *file,
                              struct GspanFindings *findings);

/* As gspan_record_convert () to the newest version, with all fields that could be converted. */
json_t *gspan_record_raise (enum GspanRecordKind kind, json_t *value, const char *file,
                            struct GspanFindings *findings);

/* The name in schema version SCHEMA of the version 2 field KEY. */
const char *gspan_record_field_name (enum GspanRecordKind kind, const char *key, int schema);

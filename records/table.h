#pragma once

#include "records/record.h"

/* The records in force on this node: of each record the highest version seen, never a lower one. */
struct GspanRecords
{
  GHashTable *by_path;  /* "KIND/NAME" to struct GspanRecord */
  GHashTable *versions; /* "KIND/NAME" to the highest version seen, good or not */
  guint64 changes;      /* rises with each change of the table */
};

void
gspan_records_init (struct GspanRecords *records);
void
gspan_records_finish (struct GspanRecords *records);

/*
 * Puts the object KIND/NAME of VERSION in force. VALUE is NULL for a deleted one. A version that is
 * not above the highest seen changes nothing; one with findings leaves the last good one in force.
 * True where the table changed.
 */
bool
gspan_records_put (struct GspanRecords *records, enum GspanRecordKind kind, const char *name,
                   guint64 version, json_t *value, struct GspanFindings *findings);

/* The record in force, or NULL. Valid until the next put. */
const struct GspanRecord *
gspan_records_find (const struct GspanRecords *records, enum GspanRecordKind kind,
                    const char *name);

/* All records of KIND, sorted by name. Released with g_ptr_array_unref (); records are borrowed. */
GPtrArray *
gspan_records_list (const struct GspanRecords *records, enum GspanRecordKind kind);

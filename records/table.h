#pragma once

#include "records/record.h"

/* What this node knows of one object of the platform, a deleted one too. */
struct GspanRecordState
{
  enum GspanRecordKind kind;
  char *name;
  guint64 version;  /* the highest seen, good or not */
  json_t *value;    /* of that version; NULL where it is deleted */
  char *findings;   /* about that version; NULL where there are none */
  guint64 in_force; /* version in force, which only rises; a deletion counts */
  guint64 digest;   /* of path and version; 0 where it is deleted */
};

/*
 * The records in force on this node: of each record the highest good version seen, never a lower
 * one. Versions are revisions of the platform's store, so they order all records' changes.
 */
struct GspanRecords
{
  GHashTable *by_path;  /* "KIND/NAME" to struct GspanRecord, the ones in force */
  GHashTable *states;   /* "KIND/NAME" to struct GspanRecordState */
  guint64 changes;      /* rises with each change of what is in force */
  guint64 seen_changes; /* rises with each new version seen, good or not */
  guint64 complete;     /* every change up to this revision is in the table */
  guint64 history_from; /* every change after this revision is still told apart, deletions too */
  guint64 digest;       /* of the highest versions seen; equal tables have equal ones */
};

void gspan_records_init (struct GspanRecords *records);
void gspan_records_finish (struct GspanRecords *records);

/*
 * Takes in the object KIND/NAME of VERSION. VALUE is NULL for a deleted one. A version that is not
 * above the one in force changes nothing, nor does one of an unknown object from before the
 * revision up to which the table is complete: that object was deleted. One with findings leaves the
 * last good version in force. True where what is in force changed.
 */
bool gspan_records_put (struct GspanRecords *records, enum GspanRecordKind kind, const char *name,
                        guint64 version, json_t *value, struct GspanFindings *findings);

/* Notes that every change up to REVISION was put. A lower revision than before changes nothing. */
void gspan_records_set_complete (struct GspanRecords *records, guint64 revision);

/*
 * Notes that the table equals another one that is complete up to REVISION. Deletions between are
 * unknown here, so history starts anew.
 */
void gspan_records_skip_to (struct GspanRecords *records, guint64 revision);

/*
 * Around the puts of a whole list that was read at REVISION. A list behind the table gives nothing
 * back: objects that it lacks count as deleted only where REVISION covers the version seen here.
 * Finish returns their paths, released with g_ptr_array_unref (), after removing them.
 */
void gspan_records_begin_list (struct GspanRecords *records, guint64 revision);
GPtrArray *gspan_records_finish_list (struct GspanRecords *records, guint64 revision,
                                      GHashTable *listed);

/* State of the object at PATH ("KIND/NAME"), or NULL. Valid until the next put. */
const struct GspanRecordState *gspan_records_state (const struct GspanRecords *records,
                                                    const char *path);

/* The record in force, or NULL. Valid until the next put. */
const struct GspanRecord *gspan_records_find (const struct GspanRecords *records,
                                              enum GspanRecordKind kind, const char *name);

/* All records of KIND, sorted by name. Released with g_ptr_array_unref (); records are borrowed. */
GPtrArray *gspan_records_list (const struct GspanRecords *records, enum GspanRecordKind kind);

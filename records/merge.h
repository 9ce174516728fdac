#pragma once

#include "records/record.h"

/* Bookkeeping members of a stored record. Neither is part of what an operator edits. */
#define GSPAN_RECORD_WRITER "writer"       /* token of the last write */
#define GSPAN_RECORD_EDITED_BY "edited_by" /* version 2 field to who changed it last */

/* An operator's edit of a record. Each value may be of another schema version; all are borrowed. */
struct GspanRecordEdit
{
  json_t *base;       /* what the operator started from; NULL where there was no record */
  json_t *stored;     /* what the platform holds now; NULL where there is no record */
  json_t *edit;       /* what the operator wants; all known fields are stated */
  const char *editor; /* name of the operator, for others to read */
  const char *writer; /* token unique to this write: settles a write whose answer was lost */
};

/*
 * The value to write over EDIT->stored, as a new reference: the stored one with the changes that
 * EDIT makes to its base. The caller writes it on condition that the stored version is still the
 * current one, and on a conflict reads again and merges again with the same base.
 *
 * A known field that the base has and the edit leaves out is removed. A field that no schema
 * version knows is removed only where the edit sets it to null. What an older schema version can't
 * express stays as stored unless the edit changes the field that stands for it. The result is in
 * the newer of the stored and the edit's schema versions.
 *
 * NULL with findings where a value is malformed, where the record was deleted meanwhile, and for
 * each field that somebody else changed differently since the base: the finding says who and how.
 * FILE is the place that findings report. Findings about the merged record itself (ranges, missing
 * fields) are for gspan_record_init ().
 */
json_t *gspan_record_merge (enum GspanRecordKind kind, const struct GspanRecordEdit *edit,
                            const char *file, struct GspanFindings *findings);

#pragma once

#include <glib.h>
#include <stdbool.h>

enum GspanErrorCode
{
  GSPAN_ERROR_NONE,
  GSPAN_ERROR_INPUT,       /* what the caller gave is wrong */
  GSPAN_ERROR_CONFLICT,    /* somebody else changed the object first */
  GSPAN_ERROR_UNAVAILABLE, /* the other side did not answer, nothing was done */
  GSPAN_ERROR_UNKNOWN,     /* the answer was lost, the effect is not known */
  GSPAN_ERROR_SYSTEM       /* the operating system refused */
};

/* Why a call failed. Passed down by the caller; a callee sets it once, where the failure happens.
 */
struct GspanError
{
  enum GspanErrorCode code;
  char message[512];
};

/* Sets ERROR and returns false, so that a failing function may return it. ERROR may be NULL. */
bool gspan_error_set (struct GspanError *error, enum GspanErrorCode code, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* One thing wrong with an input, with its place. LINE and COLUMN count from 1; 0 means not known.
 */
struct GspanFinding
{
  char *file;
  guint line;
  guint column;
  char *key;
  char *text;
};

/* All findings about one input, in the order in which they were met. */
struct GspanFindings
{
  GPtrArray *items;
};

void gspan_findings_init (struct GspanFindings *findings);
void gspan_findings_finish (struct GspanFindings *findings);
void gspan_findings_add (struct GspanFindings *findings, const char *file, guint line, guint column,
                         const char *key, const char *format, ...) G_GNUC_PRINTF (6, 7);
guint gspan_findings_count (const struct GspanFindings *findings);
const struct GspanFinding *gspan_findings_get (const struct GspanFindings *findings, guint index);

/* Puts the findings of one file into the order of their places. */
void gspan_findings_sort (struct GspanFindings *findings);

/* All findings as lines of "FILE:LINE:COLUMN: KEY: TEXT". Released with g_free (). */
char *gspan_findings_format (const struct GspanFindings *findings);

#pragma once

#include <jansson.h>

#include "cmd/exit.h"
#include "common/error.h"

/* What the commands of gspanctl share. */

enum
{
  GSPAN_ANY_VERSION = -1
};

/* Options and words of one call. Commands are given the number of words that their table names. */
struct GspanCtl
{
  const char *platform; /* "IP:PORT"; NULL where neither option nor environment names one */
  const char *token;    /* of the operator; NULL is none */
  const char *editor;   /* name that edits are noted under */
  bool json;
  gint64 expect; /* version that an edit is made over, or GSPAN_ANY_VERSION */
  gint64 count;  /* changes after which a watch ends; 0 is never */
  char **words;
  guint word_count;
};

/* Writes "gspanctl: WHAT: MESSAGE" to standard error and returns the exit code of ERROR. */
int gspan_ctl_fail (const char *what, const struct GspanError *error);

/* Says what is wrong with the words and returns GSPAN_EXIT_USAGE. */
int gspan_ctl_usage (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* "KIND/NAME" of the first two words; NULL, with the fault said, where they can't be one. */
char *gspan_ctl_path (const struct GspanCtl *ctl);

/* Prints "PREFIX VALUE" on a line; a NULL value is printed as "none". */
void gspan_ctl_print_value (const char *prefix, const json_t *value);

int gspan_ctl_apply (const struct GspanCtl *ctl);
int gspan_ctl_check (const struct GspanCtl *ctl);
int gspan_ctl_delete (const struct GspanCtl *ctl);
int gspan_ctl_drain (const struct GspanCtl *ctl);
int gspan_ctl_edit (const struct GspanCtl *ctl);
int gspan_ctl_explain (const struct GspanCtl *ctl);
int gspan_ctl_get (const struct GspanCtl *ctl);
int gspan_ctl_status (const struct GspanCtl *ctl);
int gspan_ctl_watch (const struct GspanCtl *ctl);

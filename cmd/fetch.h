#pragma once

#include "common/error.h"
#include "common/str.h"

/* Answer of one blocking HTTP exchange of a command. */
struct GspanFetch
{
  long status;
  guint64 revision; /* X-Revision, 0 where there is none */
  GString *body;
};

/* BODY may be NULL. False with ERROR set where no whole answer came. FETCH is to be finished
 * always. */
bool
gspan_fetch (struct GspanFetch *fetch, const char *method, const char *url, const char *body,
             struct GspanError *error);
void
gspan_fetch_finish (struct GspanFetch *fetch);

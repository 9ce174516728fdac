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

/* What is to be asked. Fields that are not named are NULL or 0. */
struct GspanFetchRequest
{
  const char *method;
  const char *url;
  const char *body;
  const char *token; /* sent as a bearer token */
  long timeout_ms;   /* 0 takes 10000 */
};

/*
 * Sends REQUEST once, on a connection of its own. False where no whole answer came, with ERROR
 * UNAVAILABLE where the request surely did not leave and UNKNOWN where it may have. FETCH is to be
 * finished always.
 */
bool gspan_fetch (struct GspanFetch *fetch, const struct GspanFetchRequest *request,
                  struct GspanError *error);
void gspan_fetch_finish (struct GspanFetch *fetch);

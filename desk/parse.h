#pragma once

#include "board/message.h"
#include "records/table.h"

/* A caller's request, understood: which route it names and what goes upstream. */
struct GspanDeskTarget
{
  const struct GspanRecord *route;
  char *path; /* at the upstream */
  bool stream;
  guint64 prefix_hash; /* 0 for a plain service */
};

/*
 * Understands "/v1/completions" (the body's "model" names the route) and "/call/ROUTE/PATH". On
 * failure false, with STATUS, FIELD and ERROR set for the answer. TARGET is to be finished always.
 */
bool gspan_desk_target_init (struct GspanDeskTarget *target,
                             const struct GspanEventRequest *request,
                             const struct GspanRecords *records, int *status, const char **field,
                             struct GspanError *error);
void gspan_desk_target_finish (struct GspanDeskTarget *target);

#pragma once

#include "board/message.h"
#include "records/record.h"

/* What a caller is told about its call. This is the one place that decides it. */
enum GspanOutcome
{
  GSPAN_OUTCOME_COMPLETE, /* ran, here is the whole answer */
  GSPAN_OUTCOME_FAILED,   /* ran or was looked at, and the upstream said no */
  GSPAN_OUTCOME_NOT_RUN,  /* surely did not run */
  GSPAN_OUTCOME_UNKNOWN   /* bytes left and no whole answer came */
};

const char *gspan_outcome_name (enum GspanOutcome outcome);

/* Outcome of one attempt. */
enum GspanOutcome gspan_outcome_decide (enum GspanHttpResult result, int status,
                                        const struct GspanUpstreamTraits *traits);

/* True where another attempt may follow without a risk of running the call twice. */
bool gspan_outcome_may_retry (enum GspanOutcome outcome, bool idempotent);

/* Status line for a caller who gets no upstream answer passed on. */
int gspan_outcome_status (enum GspanOutcome outcome);

#include "desk/outcome.h"

static const char *const names[] = { "complete", "failed", "not-run", "unknown" };

const char *
gspan_outcome_name (enum GspanOutcome outcome)
{
  return names[outcome];
}

enum GspanOutcome
gspan_outcome_decide (enum GspanHttpResult result, int status,
                      const struct GspanUpstreamTraits *traits)
{
  switch (result)
    {
    case GSPAN_HTTP_NOT_SENT:
      return GSPAN_OUTCOME_NOT_RUN;
    case GSPAN_HTTP_LOST:
    case GSPAN_HTTP_TIMEOUT:
    case GSPAN_HTTP_TOO_LONG:
      return GSPAN_OUTCOME_UNKNOWN;
    case GSPAN_HTTP_COMPLETE:
      break;
    }
  if (status >= 200 && status < 300)
    return GSPAN_OUTCOME_COMPLETE;
  if ((status == 429 || status == 503) && traits->refusal_is_safe)
    return GSPAN_OUTCOME_NOT_RUN;
  return GSPAN_OUTCOME_FAILED;
}

bool
gspan_outcome_may_retry (enum GspanOutcome outcome, bool idempotent)
{
  switch (outcome)
    {
    case GSPAN_OUTCOME_NOT_RUN:
      return true;
    case GSPAN_OUTCOME_UNKNOWN:
      return idempotent;
    case GSPAN_OUTCOME_COMPLETE:
    case GSPAN_OUTCOME_FAILED:
      return false;
    }
  return false;
}

int
gspan_outcome_status (enum GspanOutcome outcome)
{
  return outcome == GSPAN_OUTCOME_NOT_RUN ? 503 : 502;
}

#include "gateway/hedge_budget.h"

enum
{
  ATTEMPT = 100 /* hundredths, so that a share in percent is added without rounding */
};

void
gspan_hedge_budget_earn (struct GspanHedgeBudget *budget, guint share_percent)
{
  guint earned = MIN (share_percent, (guint)GSPAN_HEDGE_SHARE_MAX);

  budget->credit = MIN (budget->credit + earned, (guint)GSPAN_HEDGE_BURST * ATTEMPT);
}

bool
gspan_hedge_budget_has_room (const struct GspanHedgeBudget *budget)
{
  return budget->credit >= ATTEMPT;
}

void
gspan_hedge_budget_spend (struct GspanHedgeBudget *budget)
{
  budget->credit -= MIN (budget->credit, (guint)ATTEMPT);
}

#include "http/budget.h"

#include <glib.h>

enum
{
  SMALL_DIVISOR = 4,
  SMALL_MAX = 8 << 20 /* bytes */
};

void
gspan_budget_init (struct GspanBudget *budget, size_t limit)
{
  budget->limit = limit;
  budget->small_for = MIN (limit / SMALL_DIVISOR, SMALL_MAX);
  budget->held = 0;
}

static bool
fits (const struct GspanBudget *budget, size_t bytes, size_t limit)
{
  return bytes <= limit && budget->held <= limit - bytes;
}

bool
gspan_budget_has_room (const struct GspanBudget *budget, size_t bytes, bool small)
{
  return fits (budget, bytes, small ? budget->limit : budget->limit - budget->small_for);
}

bool
gspan_budget_take (struct GspanBudget *budget, size_t bytes, size_t held)
{
  if (!gspan_budget_has_room (budget, bytes, held + bytes <= GSPAN_BUDGET_SMALL))
    return false;
  budget->held += bytes;
  return true;
}

void
gspan_budget_give (struct GspanBudget *budget, size_t bytes)
{
  budget->held -= MIN (bytes, budget->held);
}

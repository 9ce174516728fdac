#pragma once

#include <stdbool.h>
#include <stddef.h>

/*
 * Memory for what clients send and have not been answered yet: heads and bodies of requests. Room
 * is taken before bytes are kept and given back when the request ends. Answers the load of many
 * clients with large bodies at once, most of which never end: a part of the room is left for small
 * requests, so that ordinary ones are read whatever else is held.
 */

enum
{
  GSPAN_BUDGET_SMALL = 64 << 10 /* bytes; a request up to this size may use the whole room */
};

struct GspanBudget
{
  size_t limit;     /* bytes */
  size_t small_for; /* bytes of these that only small requests may take */
  size_t held;
};

/* A quarter of LIMIT, 8 MB at most, is left for small requests. */
void gspan_budget_init (struct GspanBudget *budget, size_t limit);

/*
 * Takes BYTES for a request that holds HELD bytes already. False, with nothing taken, where there
 * is no room now.
 */
bool gspan_budget_take (struct GspanBudget *budget, size_t bytes, size_t held);

/* True where a request, which is SMALL or not, could take BYTES now. */
bool gspan_budget_has_room (const struct GspanBudget *budget, size_t bytes, bool small);
void gspan_budget_give (struct GspanBudget *budget, size_t bytes);

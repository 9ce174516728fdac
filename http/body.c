#include "http/body.h"

#include <string.h>

enum
{
  STEP_LEAST = 4096,
  STEP_DIVISOR = 4 /* of what was allocated before */
};

void
gspan_body_init (struct GspanBody *body, struct GspanBudget *budget)
{
  *body = (struct GspanBody){ .budget = budget };
}

void
gspan_body_finish (struct GspanBody *body)
{
  g_clear_pointer (&body->data, g_free);
  gspan_budget_give (body->budget, body->allocated);
  body->allocated = 0;
  body->len = 0;
}

void
gspan_body_drop (struct GspanBody *body)
{
  body->is_dropped = true;
  gspan_body_finish (body);
}

/* Bytes to allocate for a body of LEN bytes that may have MAX. */
static size_t
size_for (const struct GspanBody *body, size_t len, size_t max)
{
  size_t step = MAX (STEP_LEAST, body->allocated / STEP_DIVISOR);
  size_t most = body->announced != 0 ? MIN (body->announced, max) : max;

  return MAX (len, MIN (body->allocated + step, most));
}

static bool
grow (struct GspanBody *body, size_t len, size_t max)
{
  size_t size = size_for (body, len, max);

  if (len <= body->allocated)
    return true;
  if (!gspan_budget_take (body->budget, size - body->allocated, body->allocated))
    {
      /* Where a whole step finds no room, less may. */
      size = len;
      if (!gspan_budget_take (body->budget, size - body->allocated, body->allocated))
        return false;
    }
  body->data = g_realloc (body->data, size);
  body->allocated = size;
  return true;
}

enum GspanBodyResult
gspan_body_add (struct GspanBody *body, const char *data, size_t len, size_t max)
{
  if (body->received + len > max)
    {
      body->is_too_long = true;
      gspan_body_drop (body);
    }
  if (!body->is_dropped && !grow (body, body->len + len, max))
    {
      body->wanted = body->len + len;
      return GSPAN_BODY_NO_ROOM;
    }
  body->received += len;
  if (body->is_dropped)
    return body->is_too_long ? GSPAN_BODY_TOO_LONG : GSPAN_BODY_ADDED;
  memcpy (body->data + body->len, data, len);
  body->len += len;
  return GSPAN_BODY_ADDED;
}

GBytes *
gspan_body_steal (struct GspanBody *body)
{
  return g_bytes_new_take (g_steal_pointer (&body->data), body->len);
}

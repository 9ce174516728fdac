#pragma once

#include <glib.h>
#include <stdbool.h>

#include "http/budget.h"

/*
 * The body of a request while it comes in, in memory of a budget. It grows in steps, so that it
 * takes little more than has come, whatever length was announced.
 */

enum GspanBodyResult
{
  GSPAN_BODY_ADDED,
  GSPAN_BODY_NO_ROOM, /* nothing was added; the budget has no room now */
  GSPAN_BODY_TOO_LONG /* the body is above its limit; nothing of it is kept from then on */
};

struct GspanBody
{
  struct GspanBudget *budget;
  char *data;
  size_t len;
  size_t allocated;
  size_t announced; /* by the request; 0 is not known */
  size_t received;  /* kept or not */
  size_t wanted;    /* bytes of memory that it found no room for last */
  bool is_dropped;  /* bytes are counted, not kept */
  bool is_too_long;
};

void gspan_body_init (struct GspanBody *body, struct GspanBudget *budget);

/* Releases the memory and its room. */
void gspan_body_finish (struct GspanBody *body);

/* From now on nothing is kept; what was is released. */
void gspan_body_drop (struct GspanBody *body);

/* Adds LEN bytes of a body that may have MAX. */
enum GspanBodyResult gspan_body_add (struct GspanBody *body, const char *data, size_t len,
                                     size_t max);

/*
 * The whole body, without a copy; its room stays taken until gspan_body_finish (). Release with
 * g_bytes_unref ().
 */
GBytes *gspan_body_steal (struct GspanBody *body);

#pragma once

#include <jansson.h>

#include "board/message.h"

struct GspanBoard;

/*
 * Controller that writes status objects, "status/NAME", to the platform: each only when its value
 * has changed and at most every two seconds. Writes are conditional; after a conflict or a lost
 * reply the object is read back. If it then holds a higher fencing token (field "fence"), it was
 * written by a newer lease holder and is left alone.
 */
struct GspanStatuses
{
  GPtrArray *items;
};

void gspan_statuses_init (struct GspanStatuses *statuses);
void gspan_statuses_finish (struct GspanStatuses *statuses);

/* Sets the value to be written to "status/NAME". Takes ownership of the reference to VALUE. */
void gspan_statuses_set (struct GspanStatuses *statuses, const char *name, json_t *value);

/* Stops writing "status/NAME", for another process reports it now. */
void gspan_statuses_drop (struct GspanStatuses *statuses, const char *name);

void gspan_statuses_handle (struct GspanBoard *board, const struct GspanEvent *event,
                            struct GspanOutbox *outbox);

#pragma once

#include <jansson.h>

#include "board/message.h"

struct GspanBoard;

/*
 * Controller that writes status objects back, each at most once in a while and only when changed.
 * Writes are conditional; after a conflict or a lost answer the object is read back, and a status
 * there whose "fence" is higher than ours is a newer holder's and stays.
 */
struct GspanStatuses
{
  GPtrArray *items;
};

void gspan_statuses_init (struct GspanStatuses *statuses);
void gspan_statuses_finish (struct GspanStatuses *statuses);

/* Wants the object "status/NAME" to hold VALUE, whose reference is taken over. */
void gspan_statuses_set (struct GspanStatuses *statuses, const char *name, json_t *value);

/* Wants nothing of that object any more: somebody else reports now. */
void gspan_statuses_drop (struct GspanStatuses *statuses, const char *name);

void gspan_statuses_handle (struct GspanBoard *board, const struct GspanEvent *event,
                            struct GspanOutbox *outbox);

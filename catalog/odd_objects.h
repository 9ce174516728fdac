#pragma once

#include "store/store.h"

struct GspanNode;
struct GspanOutbox;

/*
 * Objects of the store that can't be read or used, as another writer left them there. Each is told
 * in one log line of bounded length, however often lists and watches bring it again.
 */

struct GspanOddObjects
{
  GHashTable *logged; /* hash of kind and name to the revision that was logged */
};

void gspan_odd_objects_init (struct GspanOddObjects *odd);
void gspan_odd_objects_finish (struct GspanOddObjects *odd);

/* Logs that OBJECT of KIND is not used because of PROBLEM, unless this revision of it is logged. */
void gspan_odd_objects_log (struct GspanNode *node, const char *kind,
                            const struct GspanStoreObject *object, const char *problem,
                            struct GspanOutbox *outbox);

/* The same for all objects of KIND in REPLY that can't be read. */
void gspan_odd_objects_log_reply (struct GspanNode *node, const char *kind,
                                  const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

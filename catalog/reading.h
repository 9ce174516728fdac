#pragma once

#include "catalog/catalog.h"

struct GspanOutbox;

/*
 * Takes in what answers of the store, and other nodes, show of a kind that is followed
 * (catalog/catalog.h). What is known advances with each object; the revision up to which all
 * changes are known, only with a whole list or with all changes since.
 */

void gspan_listing_init (struct GspanListing *listing);
void gspan_listing_finish (struct GspanListing *listing);

/* A list is asked for now. */
void gspan_listing_begin (struct GspanListing *listing, guint64 now, gint64 wall_ms);

/* Gives up the list under way, if any; what was read of it stays known. */
void gspan_listing_abandon (struct GspanListing *listing);

/* Takes in a page of a list. True where it was the last one. */
bool gspan_reading_take_page (struct GspanNode *node, enum GspanFollowed which,
                              const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/*
 * Takes in changes that hold as of the revision of REPLY. The revision that is known stays. A list
 * that is under way, and older than that, decides nothing about the objects that changed.
 */
void gspan_reading_apply_events (struct GspanNode *node, enum GspanFollowed which,
                                 const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

/* Takes in all changes since the revision that is known, up to that of REPLY. */
void gspan_reading_take_events (struct GspanNode *node, enum GspanFollowed which,
                                const struct GspanStoreReply *reply, struct GspanOutbox *outbox);

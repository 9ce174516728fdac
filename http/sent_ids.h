#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Which requests this process sent to which upstreams lately. An upstream may answer twice, the
 * second time after the next request on the same connection was written; the id tells the answers
 * of two requests apart, but not those of two sendings of one. A request that is sent again within
 * GSPAN_SENT_ID_KEPT_US therefore needs a connection that didn't carry it before; one that opened
 * longer ago than that may not be used for requests with an id at all.
 *
 * Bounded: above 65536 requests within that time the oldest are forgotten sooner. Two requests may
 * be taken for the same one, which costs a connection.
 */
struct GspanSentIds
{
  GHashTable *current;  /* set of hashes */
  GHashTable *previous; /* as above, of the time before */
  guint64 since;        /* start of the time of CURRENT */
};

#define GSPAN_SENT_ID_KEPT_US (60 * G_GUINT64_CONSTANT (1000000))

void gspan_sent_ids_init (struct GspanSentIds *ids);
void gspan_sent_ids_finish (struct GspanSentIds *ids);

/*
 * Notes at NOW that the request with the header line ID goes to the authority of URL. True if it
 * did so before.
 */
bool gspan_sent_ids_note (struct GspanSentIds *ids, const char *url, const char *id, guint64 now);

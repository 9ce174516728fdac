#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Which requests this process sent to which upstreams lately. An upstream may answer twice, the
 * second time after the next request on the same connection was written; the id tells the answers
 * of two requests apart, but not those of two sendings of one. A request that is sent again within
 * GSPAN_SENT_ID_KEPT_US therefore needs a connection that didn't carry it before; one that opened
 * longer ago than that, or may have carried an id that is forgotten, may not be used for requests
 * with an id at all.
 *
 * Bounded: above 65536 requests within that time the oldest are forgotten sooner, and connections
 * are used for a shorter time. Two requests may be taken for the same one, which costs a
 * connection.
 *
 * Times are of CLOCK_MONOTONIC, by which libcurl counts the age of a connection.
 */
struct GspanSentIds
{
  GHashTable *current;  /* set of hashes */
  GHashTable *previous; /* as above, of the time before */
  guint64 since;        /* start of the time of CURRENT */
  guint64 all_since;    /* none is forgotten that was noted since then */
};

#define GSPAN_SENT_ID_KEPT_US (60 * G_GUINT64_CONSTANT (1000000))

void gspan_sent_ids_init (struct GspanSentIds *ids);
void gspan_sent_ids_finish (struct GspanSentIds *ids);

/*
 * Notes at NOW that the request with the header line ID goes to the authority of URL. True if it
 * did so before. To be noted before a connection is chosen, and once more when it goes out: no
 * connection then carries an id that was noted before the connection opened.
 */
bool gspan_sent_ids_note (struct GspanSentIds *ids, const char *url, const char *id, guint64 now);

/*
 * Whole seconds of age, rounded down, that a connection may have at NOW for a request with an id; 0
 * is none.
 */
guint gspan_sent_ids_connection_age_max_s (const struct GspanSentIds *ids, guint64 now);

#pragma once

#include "common/str.h"

/*
 * Requests that crash the upstreams that run them, by content. A request that was in flight at the
 * crashes of two different upstreams is given up, on every entry that hears of it.
 */

#define GSPAN_POISON_TTL_US (10 * 60 * GSPAN_SECOND)

enum
{
  GSPAN_POISON_CRASH_THRESHOLD = 2, /* of different upstreams */
  GSPAN_POISON_ENTRIES_MAX = 4096   /* fingerprints kept; the oldest goes first */
};

struct GspanPoisonRequests
{
  GHashTable *items; /* fingerprint to struct Item, owns them */
  GQueue order;      /* struct Item, oldest first */
};

/* One fingerprint as told to peers. */
struct GspanPoisonReport
{
  guint64 fingerprint;
  guint64 life_us; /* what is left of it */
};

void gspan_poison_requests_init (struct GspanPoisonRequests *poison);
void gspan_poison_requests_finish (struct GspanPoisonRequests *poison);

/* Fingerprint of a request's content; never 0. */
guint64 gspan_poison_requests_fingerprint (const char *service, const char *path,
                                           struct GspanStr body);

/* Notes that a request was in flight when UPSTREAM broke its connection. */
void gspan_poison_requests_record_crash (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                         const char *upstream, guint64 now);

/* Number of different upstreams that broke under it lately; GSPAN_POISON_CRASH_THRESHOLD is enough.
 */
guint gspan_poison_requests_crash_count (const struct GspanPoisonRequests *poison,
                                         guint64 fingerprint, guint64 now);

/* Takes a peer's word for a poisonous fingerprint. LIFE_US is cut at GSPAN_POISON_TTL_US. */
void gspan_poison_requests_merge (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                  guint64 life_us, guint64 now);

/* Fills FACTS with up to MAX poisonous fingerprints, the newest first; their number. */
guint gspan_poison_requests_list (const struct GspanPoisonRequests *poison,
                                  struct GspanPoisonReport *facts, guint max, guint64 now);

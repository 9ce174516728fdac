#pragma once

#include "common/str.h"

/*
 * Requests that crash the upstreams that run them, by content. A request that was in flight at the
 * crashes of two different upstreams is given up, on every entry that hears of it.
 */

#define GSPAN_POISON_LIFE_US (10 * 60 * GSPAN_SECOND)

enum
{
  GSPAN_POISON_CRASHES = 2, /* of different upstreams */
  GSPAN_POISON_MAX = 4096   /* fingerprints kept; the oldest goes first */
};

struct GspanPoison
{
  GHashTable *items; /* fingerprint to struct Item, owns them */
  GQueue order;      /* struct Item, oldest first */
};

/* One fingerprint as told to peers. */
struct GspanPoisonFact
{
  guint64 fingerprint;
  guint64 life_us; /* what is left of it */
};

void gspan_poison_init (struct GspanPoison *poison);
void gspan_poison_finish (struct GspanPoison *poison);

/* Fingerprint of a request's content; never 0. */
guint64 gspan_poison_fingerprint (const char *service, const char *path, struct GspanStr body);

/* Notes that a request was in flight when UPSTREAM broke its connection. */
void gspan_poison_note (struct GspanPoison *poison, guint64 fingerprint, const char *upstream,
                        guint64 now);

/* Number of different upstreams that broke under it lately; GSPAN_POISON_CRASHES is enough. */
guint gspan_poison_crashes (const struct GspanPoison *poison, guint64 fingerprint, guint64 now);

/* Takes a peer's word for a poisonous fingerprint. LIFE_US is cut at GSPAN_POISON_LIFE_US. */
void gspan_poison_learn (struct GspanPoison *poison, guint64 fingerprint, guint64 life_us,
                         guint64 now);

/* Fills FACTS with up to MAX poisonous fingerprints, the newest first; their number. */
guint gspan_poison_facts (const struct GspanPoison *poison, struct GspanPoisonFact *facts,
                          guint max, guint64 now);

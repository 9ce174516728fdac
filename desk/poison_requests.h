#pragma once

#include "common/str.h"

/*
 * Requests that crash the upstreams that run them, identified by content. The evidence against a
 * request is the set of upstream incarnations from which it got no answer; an answer to the same
 * content clears it. UPSTREAM names an incarnation, not only an upstream.
 *
 * Evidence weaker than a crash expires: within that time it becomes known whether the upstream has
 * ended, which turns the evidence into a crash. A request that counts against two upstreams is
 * refused for a short time only, since it may merely have been in flight at two crashes. A request
 * with three crashes is condemned.
 *
 * Times are microseconds of the steady clock.
 */

#define GSPAN_POISON_TTL_US (10 * 60 * GSPAN_SECOND)   /* of a crash, and of a verdict */
#define GSPAN_POISON_QUARANTINE_US (10 * GSPAN_SECOND) /* after two crashes */

enum
{
  GSPAN_POISON_CRASH_THRESHOLD = 2,   /* of different upstreams: no more for a while */
  GSPAN_POISON_VERDICT_THRESHOLD = 3, /* as above: condemned */
  GSPAN_POISON_ENTRIES_MAX = 4096     /* fingerprints kept; the oldest goes first */
};

/* In ascending order of strength. */
enum GspanPoisonEvidence
{
  GSPAN_POISON_EXPOSED,   /* cancelled before an answer; counts only if the upstream ends */
  GSPAN_POISON_SUSPECTED, /* the upstream gave no answer */
  GSPAN_POISON_CRASHED    /* the upstream ended while it had the request */
};

struct GspanPoisonRequests
{
  GHashTable *items;      /* fingerprint to struct Item, owns them */
  GQueue order;           /* struct Item, oldest first */
  GHashTable *ended;      /* upstreams that ended lately, to when */
  guint64 unconfirmed_us; /* how long evidence short of a crash lasts */
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

/* FINGERPRINT in messages, names of objects and log lines: 16 hex digits, released with g_free ().
 */
char *gspan_poison_fingerprint_format (guint64 fingerprint);

/* False where TEXT, which may be NULL, is none. */
bool gspan_poison_fingerprint_parse (const char *text, guint64 *fingerprint);

/*
 * Records EVIDENCE that a request crashes UPSTREAM, seen at NOW. If UPSTREAM is known to have
 * ended, any evidence is a crash. Returns the evidence recorded, or -1 if as much was known before.
 */
int gspan_poison_requests_record (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                  const char *upstream, enum GspanPoisonEvidence evidence,
                                  guint64 now);

/* As above, for an upstream that broke the request's connection. */
void gspan_poison_requests_record_crash (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                         const char *upstream, guint64 now);

/*
 * UPSTREAM has ended unplanned, which turns all evidence with its name into crashes. Appends the
 * fingerprints that are affected to CHANGED (of guint64).
 */
void gspan_poison_requests_upstream_ended (struct GspanPoisonRequests *poison, const char *upstream,
                                           guint64 now, GArray *changed);

/* UPSTREAM answers again: suspicions with its name count only if it turns out to have ended. */
void gspan_poison_requests_upstream_works (struct GspanPoisonRequests *poison,
                                           const char *upstream);

/* Drops all evidence, since the same content was answered. False if there was none. */
bool gspan_poison_requests_clear (struct GspanPoisonRequests *poison, guint64 fingerprint);

/* Prolongs evidence weaker than a crash while the end of an upstream could not be noticed. */
void gspan_poison_requests_keep_unconfirmed (struct GspanPoisonRequests *poison, guint64 now);

/*
 * Number of different upstreams that count against it; GSPAN_POISON_CRASH_THRESHOLD is enough to
 * refuse it.
 */
guint gspan_poison_requests_crash_count (const struct GspanPoisonRequests *poison,
                                         guint64 fingerprint, guint64 now);

/* Time until which the request is refused; 0 if it isn't. */
guint64 gspan_poison_requests_refused_until (const struct GspanPoisonRequests *poison,
                                             guint64 fingerprint, guint64 now);

/* Time until which the request is condemned; 0 if it isn't. */
guint64 gspan_poison_requests_condemned_until (const struct GspanPoisonRequests *poison,
                                               guint64 fingerprint, guint64 now);

/* Applies a peer's verdict on a fingerprint. LIFE_US is limited to GSPAN_POISON_TTL_US. */
void gspan_poison_requests_merge (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                  guint64 life_us, guint64 now);

/* Fills FACTS with up to MAX poisonous fingerprints, the newest first; their number. */
guint gspan_poison_requests_list (const struct GspanPoisonRequests *poison,
                                  struct GspanPoisonReport *facts, guint max, guint64 now);
